"""Notices when nothing was heard for too long."""

import asyncio
from collections.abc import Callable


class SilenceWatch:
    """Calls back once when heard() was not called for a time."""

    def __init__(self, limit_ms: int, on_silent: Callable[[], None]) -> None:
        self._limit = limit_ms / 1000
        self._on_silent = on_silent
        self._loop = asyncio.get_running_loop()
        self._heard_at = self._loop.time()
        self._timer = self._loop.call_later(self._limit, self._check)

    def __enter__(self) -> 'SilenceWatch':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def heard(self) -> None:
        """Starts the time anew."""
        self._heard_at = self._loop.time()

    def close(self) -> None:
        """Ends the watch."""
        self._timer.cancel()

    def _check(self) -> None:
        left = self._heard_at + self._limit - self._loop.time()
        if left <= 0:
            self._on_silent()
            return
        self._timer = self._loop.call_later(left, self._check)
