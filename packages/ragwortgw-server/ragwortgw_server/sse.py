"""Server-sent events: splits a byte stream into whole events."""

from typing import NamedTuple

DONE = b'[DONE]'


class Event(NamedTuple):
    """One event: its bytes with the blank line, and its joined data."""

    raw: bytes
    data: bytes


class EventReader:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, piece: bytes) -> list[Event]:
        """Takes bytes in.

        Args:
          piece: The next bytes of the stream.
        Returns: The events that are whole now, with line ends as LF.
        """
        text = self._rest + piece
        held = b''
        if text.endswith(b'\r'):
            text, held = text[:-1], b'\r'
        text = text.replace(b'\r\n', b'\n')
        *wholes, rest = text.split(b'\n\n')
        self._rest = rest + held
        return [_event(whole + b'\n\n') for whole in wholes]

    @property
    def empty(self) -> bool:
        """Whether no part of an event waits for its end."""
        return not self._rest.strip()


def _event(raw: bytes) -> Event:
    lines = [
        line[5:].removeprefix(b' ')
        for line in raw.split(b'\n')
        if line.startswith(b'data:')
    ]
    return Event(raw, b'\n'.join(lines))
