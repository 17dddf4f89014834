"""Recordings of a process as JSON lines, and their replay.

The first line is the Start; each further line is a step with the stamp,
the event and the effects of the reducer. NamedTuples are written under
their module, class and field names, so these are part of the format.
"""

import base64
from collections.abc import Iterable
import functools
import importlib
from typing import Any, NamedTuple

import msgspec

from ragwortgw_core import events
from ragwortgw_core import reducer

PACKAGE = 'ragwortgw_core'
TYPE_FIELD = 'type'
BYTES_FIELD = 'base64'
TEXT_FIELD = 'text'


class Step(NamedTuple):
    """One recorded step; the effects are in their encoded form."""

    stamp: events.Stamp
    event: Any
    effects: list[Any]


class Difference(NamedTuple):
    """A step whose effects differ from the recorded ones."""

    line: int
    event: Any
    recorded: list[Any]
    replayed: list[Any]


class Start(NamedTuple):
    """First line of a recording: the process and its initial state.

    Args:
      role: 'entry' or 'agent'.
      arguments: Arguments of the role's factory, new_entry or new_agent.
    """

    role: str
    arguments: tuple[Any, ...]


class UnknownType(Exception):
    """A recording contains a type that does not exist in the core."""


@functools.cache
def _type_named(name: str) -> Any:
    module_name, _, type_name = name.partition('.')
    if not module_name.isidentifier():
        raise UnknownType(name)
    module = importlib.import_module(f'{PACKAGE}.{module_name}')
    cls = getattr(module, type_name, None)
    if not hasattr(cls, '_fields'):
        raise UnknownType(name)
    return cls


def _name_of(cls: Any) -> str:
    return f'{cls.__module__.rpartition(".")[2]}.{cls.__name__}'


def encode(value: Any) -> Any:
    """Encodes a value for JSON.

    Args:
      value: A NamedTuple of the core, or a value within one.
    Returns: The value, with objects in place of NamedTuples (type and
      fields) and of bytes (text, or base64 if they are not UTF-8).
    """
    if hasattr(value, '_fields'):
        fields = {
            name: encode(item)
            for name, item in zip(value._fields, value, strict=True)
        }
        return {TYPE_FIELD: _name_of(type(value)), 'fields': fields}
    if isinstance(value, bytes):
        return _encode_bytes(value)
    if isinstance(value, dict):
        return {str(name): encode(item) for name, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(encode(item) for item in value)
    if isinstance(value, list | tuple):
        return [encode(item) for item in value]
    return value


def _encode_bytes(value: bytes) -> dict[str, str]:
    """Encodes bytes as text if they are UTF-8, to keep diffs readable."""
    try:
        return {TEXT_FIELD: value.decode()}
    except UnicodeDecodeError:
        return {BYTES_FIELD: base64.b64encode(value).decode('ascii')}


def decode(value: Any) -> Any:
    """Decodes a value; arrays within a NamedTuple become tuples.

    Args:
      value: Result of encode(), after a round trip through JSON.
    Returns: The value.
    Raises:
      UnknownType: The recording contains an unknown type.
    """
    if isinstance(value, list):
        return [decode(item) for item in value]
    if not isinstance(value, dict):
        return value
    if value.keys() == {BYTES_FIELD}:
        return base64.b64decode(value[BYTES_FIELD])
    if value.keys() == {TEXT_FIELD}:
        return value[TEXT_FIELD].encode()
    if value.keys() != {TYPE_FIELD, 'fields'}:
        return {name: decode(item) for name, item in value.items()}
    cls = _type_named(value[TYPE_FIELD])
    return cls(
        **{
            name: _immutable(decode(item))
            for name, item in value['fields'].items()
        }
    )


def _immutable(value: Any) -> Any:
    if isinstance(value, list):
        return tuple(_immutable(item) for item in value)
    return value


def encode_start(start: Start) -> bytes:
    """Encodes the first line of a recording."""
    return msgspec.json.encode(encode(start)) + b'\n'


def decode_start(line: bytes) -> Start:
    """Decodes the first line of a recording."""
    start: Start = decode(msgspec.json.decode(line))
    return start


def encode_step(stamp: events.Stamp, event: Any, effects: list[Any]) -> bytes:
    """Encodes one step as a line.

    Args:
      stamp: Time and randomness of the event.
      event: The event.
      effects: The effects that the reducer returned.
    Returns: One JSON object and a newline.
    """
    step = {
        'now_ms': stamp.now_ms,
        'seed': stamp.seed,
        'event': encode(event),
        'effects': encode(effects),
    }
    return msgspec.json.encode(step) + b'\n'


def decode_step(line: bytes) -> Step:
    """Decodes a line written by encode_step()."""
    step = msgspec.json.decode(line)
    stamp = events.Stamp(step['now_ms'], step['seed'])
    return Step(stamp, decode(step['event']), step['effects'])


def replay(
    process_reducer: reducer.Reducer[Any], state: Any, lines: Iterable[bytes]
) -> list[Difference]:
    """Replays a recording and compares the effects with the recorded ones.

    Args:
      process_reducer: The reducer of the process that was recorded.
      state: Its state before the first step.
      lines: The recording without its first line.
    Returns: The steps whose effects differ from the recorded ones.
    """
    differences = []
    for number, line in enumerate(lines, 2):
        step = decode_step(line)
        state, effects = process_reducer.reduce(state, step.stamp, step.event)
        replayed = msgspec.json.decode(msgspec.json.encode(encode(effects)))
        if replayed != step.effects:
            differences.append(
                Difference(number, step.event, step.effects, replayed)
            )
    return differences
