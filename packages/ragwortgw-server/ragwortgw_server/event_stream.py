"""Splits a stream of server-sent events without changing its bytes."""

from typing import NamedTuple

ID_FIELD = b'id:'


class RawEvent(NamedTuple):
    """One whole event: its bytes with the blank line, and its id.

    id is 0 where the event has none that is a number.
    """

    raw: bytes
    id: int


class EventSplitter:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, piece: bytes) -> list[RawEvent]:
        """Takes bytes in.

        Args:
          piece: The next bytes of the stream.
        Returns: The events that are whole now.
        """
        data = self._rest + piece if self._rest else piece
        events: list[RawEvent] = []
        begin = 0
        while True:
            end = _end_of_event(data, begin)
            if end < 0:
                break
            raw = data[begin:end]
            events.append(RawEvent(raw, _event_id(raw)))
            begin = end
        self._rest = data[begin:]
        return events


def _end_of_event(data: bytes, begin: int) -> int:
    ends = [
        found + len(mark)
        for mark in (b'\n\n', b'\r\n\r\n')
        if (found := data.find(mark, begin)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(raw: bytes) -> int:
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() and len(text) < 16 else 0
    return 0
