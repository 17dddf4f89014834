"""Outgoing frames of a control stream, bounded."""

import asyncio
import collections
from typing import Any

MAX_FRAMES = 4096


class FrameQueue:
    """Frames that wait to be sent; of some kinds only the last counts."""

    def __init__(self) -> None:
        self._frames: collections.deque[Any] = collections.deque()
        self._latest_by_kind: dict[str, Any] = {}
        self._ready = asyncio.Event()

    def put(self, frame: Any) -> bool:
        """Adds a frame behind the others.

        Args:
          frame: The message.
        Returns: False when the queue is full and the frame is dropped.
        """
        if len(self._frames) >= MAX_FRAMES:
            return False
        self._frames.append(frame)
        self._ready.set()
        return True

    def put_latest(self, kind: str, frame: Any) -> None:
        """Adds a frame in place of an unsent one of the same kind."""
        self._latest_by_kind[kind] = frame
        self._ready.set()

    async def get(self) -> Any:
        """Waits for the next frame to send."""
        await self._ready.wait()
        if self._frames:
            frame = self._frames.popleft()
        else:
            kind = next(iter(self._latest_by_kind))
            frame = self._latest_by_kind.pop(kind)
        if not self._frames and not self._latest_by_kind:
            self._ready.clear()
        return frame
