"""Encodes the changes of a configuration head since a revision.

A sender transmits the difference instead of the complete head. The receiver
verifies the result by its digest and otherwise needs the complete head.
"""

from typing import TypedDict

import msgspec
import xxhash

from ragwortgw_core import decoding
from ragwortgw_core import documents


class Difference(TypedDict):
    """Changes of a head; digest is that of the complete new head value.

    Removed objects are not included. After a removal the digest does not
    match, and the complete head must be sent.
    """

    revision: int
    objects: dict[str, int]
    commands: list[documents.Command]
    first_command: int
    digest: str


def encode(head: documents.Head, value: bytes, base_revision: int) -> bytes:
    """Builds the difference of a head since a revision.

    Args:
      head: The head.
      value: The encoded head, as stored.
      base_revision: Revision that the receiver holds.
    Returns: The difference as JSON.
    """
    commands = head['commands']
    objects = head['objects'].items()
    difference = Difference(
        revision=head['revision'],
        objects={
            path: revision
            for path, revision in objects
            if revision > base_revision
        },
        commands=[
            command
            for command in commands
            if command['revision'] > base_revision
        ],
        first_command=commands[0]['revision'] if commands else 0,
        digest=xxhash.xxh3_128_hexdigest(value),
    )
    return msgspec.json.encode(difference)


def apply(held: documents.Head, encoded: bytes) -> bytes | None:
    """Applies a difference to an older head.

    Args:
      held: The head that the receiver holds.
      encoded: The difference.
    Returns: The new head value; None if it differs from the sender's.
    """
    try:
        difference = decoding.from_json(encoded, Difference)
    except decoding.Undecodable:
        return None
    kept = [
        command
        for command in held['commands']
        if command['revision'] >= difference['first_command']
    ]
    held_revision = held['revision']
    new = [
        command
        for command in difference['commands']
        if command['revision'] > held_revision
    ]
    head = documents.Head(
        revision=difference['revision'],
        objects={**held['objects'], **difference['objects']},
        commands=kept + new,
    )
    value = msgspec.json.encode(head)
    matches = xxhash.xxh3_128_hexdigest(value) == difference['digest']
    return value if matches else None
