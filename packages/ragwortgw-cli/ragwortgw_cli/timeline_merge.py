"""Reads time line files and merges them into one order."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
from typing import Any, NamedTuple, TypedDict

import msgspec


CONFIGURATION = 'configuration'
RECORD_BEGIN = b'{"at_ms"'


class Line(TypedDict):
    """One event as its process wrote it."""

    at_ms: int
    order: int
    process: str
    role: str
    zone: str
    kind: str
    fields: dict[str, Any]


Test = Callable[[Line], bool]


class Selection(NamedTuple):
    """Which events to show; '' leaves a field open."""

    request: str = ''
    session: str = ''
    rollout: str = ''
    command: str = ''
    kind: str = ''


class ReadLines(NamedTuple):
    """The events of all files in order, and how many lines were bad."""

    lines: list[Line]
    bad: int


def read(paths: Iterable[pathlib.Path]) -> ReadLines:
    """Reads files and merges their events.

    The order is that of the hybrid logical stamps, which place an event
    after every one it follows, whatever the skew of the hosts' clocks.

    Args:
      paths: Time line files.
    Returns: The events; a line cut short by a crash counts as bad.
    """
    lines: list[Line] = []
    bad = 0
    for path in paths:
        for text in path.read_bytes().splitlines():
            # A collector of logs may put its own columns before a line.
            record = text[max(0, text.find(RECORD_BEGIN)) :]
            try:
                lines.append(msgspec.json.decode(record, type=Line))
            except msgspec.MsgspecError:
                bad += 1
    lines.sort(key=lambda line: (line['at_ms'], line['order']))
    return ReadLines(lines, bad)


def select(lines: Iterable[Line], selection: Selection) -> Iterator[Line]:
    """Keeps the events that a selection asks for.

    A request is followed over its attempts, whose ids start with that of
    the request; a session over its requests; an order over the processes
    that took its revision; a roll-out over its orders and the attempts of
    its model's versions.

    Args:
      lines: Events in order.
      selection: What to keep.
    Returns: The events kept.
    """
    lines = list(lines)
    tests = [
        make(lines, getattr(selection, name))
        for name, make in matchers_by_field.items()
        if getattr(selection, name)
    ]
    for line in lines:
        if all(test(line) for test in tests):
            yield line


def match_kind(lines: list[Line], kind: str) -> Test:
    """Makes the test for events of one kind."""
    return lambda line: line['kind'] == kind


def match_request(lines: list[Line], request: str) -> Test:
    """Makes the test for events of a request."""
    return lambda line: request_of(line['fields']) == request


def match_session(lines: list[Line], session: str) -> Test:
    """Makes the test for events of a session's requests."""
    requests = {
        request_of(line['fields'])
        for line in lines
        if line['fields'].get('session') == session
    }
    return lambda line: request_of(line['fields']) in requests - {''}


def match_rollout(lines: list[Line], model: str) -> Test:
    """Makes the test for events of a roll-out."""

    def test(line: Line) -> bool:
        fields = line['fields']
        if f'rollout/{model}' in fields.get('changed', ()):
            return True
        return str(fields.get('version', '')).startswith(f'{model}@')

    return test


def match_command(lines: list[Line], command: str) -> Test:
    """Makes the test for events of an order and of its revision."""
    revisions = {
        line['fields'].get('revision')
        for line in lines
        if line['fields'].get('command') == command
    }

    def test(line: Line) -> bool:
        fields = line['fields']
        if fields.get('command') == command:
            return True
        taken = line['kind'] == CONFIGURATION
        return taken and fields.get('revision') in revisions - {None}

    return test


matchers_by_field: dict[str, Callable[[list[Line], str], Test]] = {
    'kind': match_kind,
    'request': match_request,
    'session': match_session,
    'rollout': match_rollout,
    'command': match_command,
}


def request_of(fields: dict[str, Any]) -> str:
    """Returns the request that an event's fields name; '' for none."""
    if 'request' in fields:
        return str(fields['request'])
    return str(fields.get('attempt', '')).rpartition('.')[0]
