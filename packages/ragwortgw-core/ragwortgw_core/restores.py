"""Notices that the platform service was restored from an older copy.

What was written since the copy is then lost. Components that hold such
writes repeat them, and nobody relies on what the service lacks until all
have had the time to do so.
"""

from typing import Any, Protocol

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform

#: Longest age of the copy, and thus the time for which writes are repeated.
MAX_COPY_AGE_MS = 30_000
#: Time after which every process that reaches the service has seen its new
#: epoch and repeated its writes.
SETTLE_MS = 2_500


class Listener(Protocol):
    """A component that repeats its writes."""

    def on_restored(self, stamp: events.Stamp) -> list[Any]:
        """Repeats what may be lost; returns effects and notices."""


class RestoreTracker:
    """Follows the epoch of the platform service.

    A process that starts in a later epoch than the first can't know how
    long ago it began, and waits as after a restore.

    Attributes:
      epoch: The latest epoch seen.
      settled_at_ms: When all processes have repeated their writes, Unix
        ms; 0 before a restore.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.settled_at_ms = 0
        self._answered = False
        self._listeners: list[Listener] = []

    def register(self, listener: Listener) -> None:
        """Adds a component, to be called when the service was restored."""
        self._listeners.append(listener)

    def settling(self, now_ms: int) -> bool:
        """Returns whether the service may still lack what others wrote."""
        return now_ms < self.settled_at_ms

    def outdated(self, result: platform.Result) -> bool:
        """Returns whether a result is from before the latest restore."""
        revision = getattr(result, 'revision', 0)
        return revision > 0 and platform.epoch_of(revision) < self.epoch

    def observe(
        self, stamp: events.Stamp, result: platform.Result
    ) -> list[Any]:
        """Looks for a later epoch in a result of the service.

        Args:
          stamp: Time and randomness.
          result: The result.
        Returns: Effects and notices of the listeners.
        """
        revision = getattr(result, 'revision', 0)
        epoch = platform.epoch_of(revision)
        at_start = not self._answered
        self._answered = self._answered or revision > 0
        if epoch <= self.epoch:
            return []
        fields = {'epoch': epoch, 'epoch_before': self.epoch}
        self.epoch = epoch
        self.settled_at_ms = stamp.now_ms + SETTLE_MS
        if at_start or not self._listeners:
            return []
        outputs: list[Any] = [
            effects.Count('platform_restores', ()),
            effects.Record('platform-restored', fields),
            effects.LogChange('platform service was restored', fields),
        ]
        for listener in self._listeners:
            outputs += listener.on_restored(stamp)
        return outputs
