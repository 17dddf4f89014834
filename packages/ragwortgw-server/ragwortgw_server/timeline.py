"""Time line: one JSON line for each event, in an order over processes."""

import asyncio
from collections.abc import Callable
import sys
from typing import Any, NamedTuple, Protocol

import msgspec

from ragwortgw_core import effects
from ragwortgw_server import clock

FLUSH_LINES = 64
FLUSH_INTERVAL_MS = 200
#: Largest order that a message can carry.
MAX_ORDER = 2**32 - 1


class Target(Protocol):
    """Where lines go: a text file, or something like it."""

    def write(self, text: str, /) -> int:
        """Takes whole lines."""

    def flush(self) -> None:
        """Passes on what was taken."""

    def close(self) -> None:
        """Ends it."""


class HybridStamp(NamedTuple):
    """A hybrid logical time; stamps compare like events they follow.

    Args:
      at_ms: Largest time seen so far, Unix ms.
      order: Order among events of the same at_ms.
    """

    at_ms: int
    order: int


class HybridClock:
    """Gives stamps that follow both the clock and what was received."""

    def __init__(self) -> None:
        self._last = HybridStamp(0, 0)

    def tick(self, now_ms: int) -> HybridStamp:
        """Stamps an event of this process.

        Args:
          now_ms: The present time, Unix ms.
        Returns: A stamp above all earlier and all observed ones.
        """
        last = self._last
        if now_ms > last.at_ms:
            self._last = HybridStamp(now_ms, 0)
        elif last.order >= MAX_ORDER:
            self._last = HybridStamp(last.at_ms + 1, 0)
        else:
            self._last = HybridStamp(last.at_ms, last.order + 1)
        return self._last

    def observe(self, remote: HybridStamp) -> None:
        """Takes note of a stamp that came with a message.

        Args:
          remote: The stamp of the sender.
        """
        self._last = max(self._last, remote)


class Timeline:
    """Writes records; a context manager.

    Lines are buffered for at most FLUSH_INTERVAL_MS while a loop runs;
    flush() or close() writes what is left.
    """

    def __init__(
        self,
        process_id: str,
        role: str,
        zone: str,
        target: Target | None,
        now_ms: Callable[[], int] = clock.now_ms,
    ) -> None:
        self.now_ms = now_ms
        self.hybrid_clock = HybridClock()
        self._process_id = process_id
        self._role = role
        self._zone = zone
        self._target = target
        self._lines: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> 'Timeline':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def observe(self, remote: HybridStamp) -> None:
        """Takes note of a stamp that came from another process."""
        self.hybrid_clock.observe(remote)

    def stamp(self) -> HybridStamp:
        """Returns a stamp to send along with a message."""
        return self.hybrid_clock.tick(self.now_ms())

    def record(self, effect: effects.Record) -> None:
        """Writes an event.

        Args:
          effect: Its kind and fields.
        """
        if self._target is not None:
            self._append(self.stamp(), effect.kind, effect.fields)

    def flush(self) -> None:
        """Writes what is buffered."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._target is None or not self._lines:
            return
        text = b'\n'.join(self._lines).decode() + '\n'
        self._lines.clear()
        self._target.write(text)
        self._target.flush()

    def close(self) -> None:
        """Writes what is buffered and closes a file that was opened."""
        self.flush()
        if self._target not in (None, sys.stderr):
            assert self._target is not None
            self._target.close()
        self._target = None

    def _append(
        self, stamp: HybridStamp, kind: str, fields: dict[str, Any]
    ) -> None:
        line = {
            'at_ms': stamp.at_ms,
            'order': stamp.order,
            'process': self._process_id,
            'role': self._role,
            'zone': self._zone,
            'kind': kind,
            'fields': fields,
        }
        self._lines.append(msgspec.json.encode(line, enc_hook=str))
        if len(self._lines) >= FLUSH_LINES:
            self.flush()
        elif self._timer is None:
            self._flush_later()

    def _flush_later(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._timer = loop.call_later(FLUSH_INTERVAL_MS / 1000, self.flush)


def open_timeline(
    process_id: str, role: str, zone: str, target: str
) -> Timeline:
    """Opens the time line of a process.

    Args:
      process_id: Id of the process.
      role: Its role.
      zone: Its availability zone.
      target: Path of a file to append to, '-' for stderr, '' for off.
    Returns: The time line, to be closed by its owner.
    Raises:
      OSError: The file can not be opened.
    """
    stream: Target | None = None
    if target == '-':
        stream = sys.stderr
    elif target:
        stream = open(target, 'a', encoding='utf-8')
    return Timeline(process_id, role, zone, stream)
