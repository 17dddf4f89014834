"""Drives a reducer: events in, effects out, a tick, an optional record."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import json
import logging
import secrets
import sys
import typing
from typing import Any, BinaryIO

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import recording
from ragwortgw_core import reducer
from ragwortgw_server import clock
from ragwortgw_server import logs
from ragwortgw_server import loop as loops
from ragwortgw_server import metrics
from ragwortgw_server import registries
from ragwortgw_server import timeline

LOG = logging.getLogger(__name__)
TICK_INTERVAL_MS = 50
SEED_BITS = 64
#: Time beyond the stop deadline after which the process ends at any rate.
EXIT_GRACE_MS = 5_000

#: Functions (process, effect) for the effects that both roles have.
applies = registries.Registry()


class Shell:
    """Applies events to the state, one at a time, and runs the effects.

    A context manager; close() ends the record and the time line.

    Attributes:
      state: The reducer's state.
      loop: The process's loop.
      metrics: Counters and histograms.
      timeline: The time line.
    """

    def __init__(
        self,
        loop: loops.Loop,
        machine: reducer.Reducer[Any],
        new_state: Callable[..., Any],
        start: recording.Start,
        process_timeline: timeline.Timeline,
        recording_path: str = '',
    ) -> None:
        self.loop = loop
        self.state = new_state(*start.arguments)
        self.metrics = metrics.new_metrics()
        self.timeline = process_timeline
        self._machine = machine
        self._handlers: list[registries.Registry] = [applies]
        self._waiting: collections.deque[Any] = collections.deque()
        self._busy = False
        self._record: BinaryIO | None = None
        if recording_path:
            self._record = open(recording_path, 'wb')
            self._record.write(recording.encode_start(start))

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Ends the record and the time line."""
        if self._record is not None:
            self._record.close()
            self._record = None
        self.timeline.close()

    def use(self, handlers: registries.Registry) -> None:
        """Adds the handlers of a role's effects."""
        self._handlers.insert(0, handlers)

    async def start(self) -> None:
        """Starts to listen and to work."""
        raise NotImplementedError

    def stop(self) -> None:
        """Begins a planned stop."""
        self.emit(events.StopRequested())

    def emit(self, event: Any) -> None:
        """Applies an event; one that comes meanwhile waits its turn.

        Events from circuits' own handlers come between two runs of the
        asyncio loop; they are applied inside the next one, since effects
        need it.

        Args:
          event: The event.
        """
        if not in_asyncio():
            self.loop.asyncio_loop.call_soon(self.emit, event)
            return
        self._waiting.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._waiting:
                self._apply(self._waiting.popleft())
        finally:
            self._busy = False

    def answer_failure(self, event: Any) -> None:
        """Answers whoever waits for an event that the reducer failed on.

        Args:
          event: The event.
        """

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Runs an effect that takes time."""
        self.loop.spawn(coroutine)

    def start_ticks(self) -> None:
        """Emits a Tick now and at each interval; writes the time line."""
        self.emit(events.Tick())
        self.timeline.flush()
        self.loop.asyncio_loop.call_later(
            TICK_INTERVAL_MS / 1000, self.start_ticks
        )

    def _apply(self, event: Any) -> None:
        stamp = events.Stamp(clock.now_ms(), secrets.randbits(SEED_BITS))
        try:
            self.state, outputs = self._machine.reduce(
                self.state, stamp, event
            )
        except Exception:
            LOG.exception('reducer failed on %s', type(event).__name__)
            self.metrics.count(effects.Count('reducer_failures', ()))
            self.answer_failure(event)
            return
        if self._record is not None:
            self._record.write(recording.encode_step(stamp, event, outputs))
        for effect in outputs:
            self._run(effect)

    def _run(self, effect: Any) -> None:
        for registry in self._handlers:
            handler = registry.get(type(effect))
            if handler is not None:
                break
        else:
            LOG.error('no handler for %s', type(effect).__name__)
            return
        try:
            handler(self, effect)
        except Exception:
            LOG.exception('effect %s failed', type(effect).__name__)
            self.metrics.count(effects.Count('effect_failures', ()))


@applies(effects.Count)
def apply_count(process: Shell, effect: effects.Count) -> None:
    """Adds to a counter."""
    process.metrics.count(effect)


@applies(effects.Observe)
def apply_observe(process: Shell, effect: effects.Observe) -> None:
    """Adds to a histogram."""
    process.metrics.observe(effect)


@applies(effects.Record)
def apply_record(process: Shell, effect: effects.Record) -> None:
    """Writes an event of the time line."""
    process.timeline.record(effect)


@applies(effects.LogChange)
def apply_log_change(process: Shell, effect: effects.LogChange) -> None:
    """Logs a change of state."""
    logs.log_change(LOG, effect.message, effect.fields)


def run(process: Shell, stop_timeout_ms: int) -> None:
    """Runs a process until its planned stop ends, or its time is over.

    Args:
      process: The process.
      stop_timeout_ms: Time that a planned stop may take.
    """
    loop = process.loop

    def stop() -> None:
        process.stop()
        limit_s = (stop_timeout_ms + EXIT_GRACE_MS) / 1000
        loop.asyncio_loop.call_later(limit_s, loop.stop)

    loops.on_stop_signal(loop, stop)
    loop.spawn(process.start())
    loop.run()


def in_asyncio() -> bool:
    """Returns whether the asyncio loop runs at this moment."""
    try:
        asyncio.get_running_loop()
    except RuntimeError:
        return False
    return True


def print_ready(**addresses: str) -> None:
    """Writes the line that says that the process listens.

    Args:
      addresses: 'ip:port' of each listener by name.
    """
    line = json.dumps({'ready': True, **addresses})
    sys.stdout.write(line + '\n')
    sys.stdout.flush()
