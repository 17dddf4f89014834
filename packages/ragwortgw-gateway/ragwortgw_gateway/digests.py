"""What gateways tell each other.

A digest is what one gateway knows at a moment, several times a second. A
note is what it has just sent to a backend server: until the next digest
others would believe that server idle, and all send there.
"""

from typing import NamedTuple

import msgspec

from ragwortgw_core import platform
from ragwortgw_gateway import requests


class StoreView(NamedTuple):
    """What one gateway holds of the store, as another asks for it.

    Args:
      revision: Store revision up to which it knows all.
      newer: Values newer than the revision that the other one named.
      keys: All keys that it holds.
      lapse_ms: For how much longer entries that are gone may come back,
        since the store itself was away; 0 if they are gone for good.
    """

    revision: int
    newer: tuple[platform.Found, ...]
    keys: tuple[str, ...]
    lapse_ms: int


class ServerLoad(NamedTuple):
    """Work of one gateway at a backend server.

    Args:
      running: Requests in progress there.
      pending_ms: Time that the server needs to read their prompts.
      work_ms: Time that it needs to finish them.
      tokens: Tokens of memory that they take.
    """

    running: int
    pending_ms: int
    work_ms: int
    tokens: int


class RolloutEvidence(NamedTuple):
    """What one gateway saw of a roll-out since it began.

    Args:
      order: Store revision of the order.
      elapsed_ms: Time since the order was given.
      requests: Requests to the service.
      candidate_requests: Those that the candidate answered.
      candidate_failures: Those that it answered with a failure.
      baseline_requests: Those that the other versions answered.
      baseline_failures: Those that they answered with a failure.
      candidate_slowness: Sum of log(measured / expected time).
      candidate_timed: Answers in that sum.
      baseline_slowness: As above, for the other versions.
      baseline_timed: Answers in that sum.
    """

    order: int
    elapsed_ms: int = 0
    requests: int = 0
    candidate_requests: int = 0
    candidate_failures: int = 0
    baseline_requests: int = 0
    baseline_failures: int = 0
    candidate_slowness: float = 0.0
    candidate_timed: int = 0
    baseline_slowness: float = 0.0
    baseline_timed: int = 0


class Crash(NamedTuple):
    """A backend server broke while it was to begin a request.

    Args:
      fingerprint: Hash of the request's path, key and body.
      server: Names one start of the backend server.
      age_ms: How long ago it was.
    """

    fingerprint: int
    server: str
    age_ms: int


class Prefill(NamedTuple):
    """A prompt that one gateway had a backend server read.

    Args:
      server: Id of the backend server.
      model: The model.
      parts: Parts in order; others are told only those that other requests
        may share.
      ready_in_ms: Time until the server is expected to have read them.
    """

    server: str
    model: str
    blocks: tuple[requests.PrefixBlock, ...]
    ready_in_ms: int


class Note(NamedTuple):
    """What one gateway has just sent to a backend server.

    Args:
      sender: Id of its host.
      sequence: Its latest digest; later digests count what is told here.
      load: What the attempt adds to its work at the server.
      read: The prompt, with the parts that others may share.
    """

    sender: str
    sequence: int
    load: ServerLoad
    prefill: Prefill


class Digest(NamedTuple):
    """What one gateway knows at a moment.

    Args:
      sender: Id of its host.
      incarnation: Names one start of the process.
      sequence: Counts its digests.
      address: 'ip:port' where it sends and receives digests.
      stopping: Whether it takes no new callers.
      revision: Store revision of the last change that it has seen.
      store_age_ms: Time since the store itself told it anything.
      loads_by_server: Its work by backend server; idle ones are left out.
      crashes: Crashes of the last minute that it saw itself.
      evidence_by_service: Roll-outs under way.
    """

    sender: str
    incarnation: str
    sequence: int
    address: str
    stopping: bool
    revision: int
    store_age_ms: int
    loads_by_server: dict[str, ServerLoad]
    crashes: tuple[Crash, ...]
    evidence_by_service: dict[str, RolloutEvidence]


#: First byte of a datagram, by what follows.
TAGS_BY_TYPE: dict[type, bytes] = {Digest: b'd', Note: b'n'}
TYPES_BY_TAG = {tag: kind for kind, tag in TAGS_BY_TYPE.items()}


def encode(message: Digest | Note) -> bytes:
    """Encodes a digest or a note as one datagram."""
    return TAGS_BY_TYPE[type(message)] + msgspec.msgpack.encode(message)


def decode(data: bytes) -> Digest | Note | None:
    """Decodes a datagram.

    Args:
      data: The datagram.
    Returns: The digest or note, None if the bytes are neither.
    """
    kind = TYPES_BY_TAG.get(data[:1])
    if kind is None:
        return None
    try:
        return msgspec.msgpack.decode(memoryview(data)[1:], type=kind)
    except msgspec.MsgspecError:
        return None
