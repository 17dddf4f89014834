"""Simulates processes around an in-memory platform service.

Time is virtual. Calls may be delayed, lost or refused at random, from a
seed.
"""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any, NamedTuple

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

START_MS = 1_800_000_000_000
TICK_MS = 50


class Faults(NamedTuple):
    """Probabilities of faults per call.

    Args:
      lose_request: That the call never arrives.
      lose_answer: That the call is applied and its result lost.
      late: That a transfer is delayed by up to late_ms.
      late_ms: Longest delay, in ms.
      refuse: That the call fails immediately.
    """

    lose_request: float = 0.0
    lose_answer: float = 0.0
    late: float = 0.0
    late_ms: int = 3_000
    refuse: float = 0.0


NO_FAULTS = Faults()


class Copy(NamedTuple):
    """State of the platform service at some time."""

    values_by_key: dict[str, platform.Found]
    revision: int


class PlatformModel:
    """Values with revisions and one global revision counter.

    While down is set, all calls fail. epoch is the number of restores.
    """

    def __init__(self) -> None:
        self.values_by_key: dict[str, platform.Found] = {}
        self.revision = 0
        self.epoch = 0
        self.counts_by_call: dict[str, int] = {}
        self.writes: list[platform.Found] = []
        self.down = False

    def copy(self) -> Copy:
        """Copies the present state."""
        return Copy(dict(self.values_by_key), self.revision)

    def restore(self, copy: Copy) -> None:
        """Goes back to a copy; its revisions belong to a new epoch then."""
        self.epoch += 1
        self.revision = copy.revision
        self.values_by_key = {
            key: found._replace(
                revision=self._in_epoch(platform.number_of(found.revision))
            )
            for key, found in copy.values_by_key.items()
        }

    def _in_epoch(self, number: int) -> int:
        return platform.revision_in_epoch(self.epoch, number)

    def apply(self, call: platform.Call) -> platform.Result:
        """Applies a call immediately."""
        held = self.values_by_key.get(getattr(call, 'key', ''))
        if isinstance(call, platform.Get):
            return held or platform.Absent(
                call.key, self._in_epoch(self.revision)
            )
        if isinstance(call, platform.List):
            values = [
                value
                for key, value in sorted(self.values_by_key.items())
                if key.startswith(call.prefix)
            ]
            return platform.Listed(call.prefix, tuple(values))
        if isinstance(call, platform.Watch):
            if held and held.revision > call.revision:
                return held
            if platform.epoch_of(call.revision) != self.epoch:
                return platform.Absent(call.key, self._in_epoch(self.revision))
            return platform.Absent(call.key, call.revision)
        assert isinstance(call, platform.Put | platform.Delete)
        current = held.revision if held else 0
        if current != call.revision:
            value = held.value if held else b''
            return platform.Conflict(call.key, value, current)
        self.revision += 1
        if isinstance(call, platform.Delete):
            self.values_by_key.pop(call.key, None)
            return platform.Written(call.key, self._in_epoch(self.revision))
        revision = self._in_epoch(self.revision)
        written = platform.Found(call.key, call.value, revision)
        self.values_by_key[call.key] = written
        self.writes.append(written)
        return platform.Written(call.key, revision)


class Process:
    """One process: its components, their operations and outputs."""

    def __init__(self, world: 'World', name: str) -> None:
        self.world = world
        self.name = name
        self.calls = platform_calls.PlatformCalls()
        self.components: list[Any] = []
        self.emitted: list[Any] = []
        self.alive = True
        self.paused_until_ms = 0
        self.cut_off = False
        self.on_notice: Callable[[Any], None] = lambda notice: None

    def do(self, action: Callable[[events.Stamp], list[Any]]) -> None:
        """Runs an action now, or at the end of a pause."""
        if not self.alive:
            return
        if self.paused_until_ms > self.world.now_ms:
            self.world.at(self.paused_until_ms, lambda: self.do(action))
            return
        stamp = events.Stamp(
            self.world.now_ms, self.world.random.getrandbits(64)
        )
        for item in action(stamp):
            if isinstance(item, effects.CallPlatform):
                self.world.send(self, item)
                continue
            self.emitted.append(item)
            self.on_notice(item)

    def tick(self) -> None:
        """Ticks all components and schedules the next tick."""
        if not self.alive:
            return
        for component in [self.calls, *self.components]:
            self.do(component.on_tick)
        self.world.at(self.world.now_ms + TICK_MS, self.tick)

    def emitted_of_type(self, kind: type) -> list[Any]:
        """Returns the notices and effects of a type emitted so far."""
        return [item for item in self.emitted if isinstance(item, kind)]


class World:
    """Runs processes and one platform service in virtual time.

    Args:
      seed: Seed of delays and faults.
      faults: Probabilities of faults.
      rtt_ms: Round-trip time without faults, in ms.
    """

    def __init__(
        self, seed: int = 0, faults: Faults = NO_FAULTS, rtt_ms: int = 2
    ) -> None:
        self.random = random.Random(seed)
        self.faults = faults
        self.rtt_ms = rtt_ms
        self.platform = PlatformModel()
        self.now_ms = START_MS
        #: Delays of the next calls, used instead of random ones, in ms.
        self.next_delays_ms: list[int] = []
        self._queue: list[Any] = []
        self._order = itertools.count()

    def process(self, name: str) -> Process:
        """Starts a process whose ticks begin now."""
        process = Process(self, name)
        self.at(self.now_ms, process.tick)
        return process

    def at(self, at_ms: int, action: Callable[[], None]) -> None:
        """Schedules an action, Unix ms."""
        heapq.heappush(self._queue, (at_ms, next(self._order), action))

    def run(self, duration_ms: int) -> None:
        """Runs all actions that are due within a duration."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, at_ms)
            action()
        self.now_ms = end_ms

    def send(self, process: Process, effect: effects.CallPlatform) -> None:
        """Transfers a call to the service and its result back."""
        name = type(effect.call).__name__
        counts = self.platform.counts_by_call
        counts[name] = counts.get(name, 0) + 1
        answered: list[bool] = []

        def answer(result: platform.Result) -> None:
            if not answered:
                answered.append(True)
                op_id = effect.op_id
                process.do(lambda s: process.calls.on_answer(s, op_id, result))

        down = self.platform.down or process.cut_off
        if down or self.random.random() < self.faults.refuse:
            refused = platform.Unavailable(False)
            self.at(self.now_ms + self.rtt_ms, lambda: answer(refused))
            return
        lost = platform.Unavailable(True)
        self.at(effect.deadline_ms, lambda: answer(lost))
        if self.random.random() < self.faults.lose_request:
            return
        arrival_ms = self.now_ms + self._delay_ms()
        if self.next_delays_ms:
            arrival_ms = self.now_ms + self.next_delays_ms.pop(0)
        if isinstance(effect.call, platform.Watch):
            until_ms = self.now_ms + effect.call.wait_ms
            self._watch(effect.call, until_ms, answer)
            return
        self.at(arrival_ms, lambda: self._arrive(effect.call, answer))

    def _arrive(
        self, call: platform.Call, answer: Callable[[Any], None]
    ) -> None:
        result = self.platform.apply(call)
        if self.random.random() < self.faults.lose_answer:
            return
        self.at(self.now_ms + self._delay_ms(), lambda: answer(result))

    def _watch(
        self,
        call: platform.Watch,
        until_ms: int,
        answer: Callable[[Any], None],
    ) -> None:
        result = self.platform.apply(call)
        unchanged = platform.Absent(call.key, call.revision)
        if result != unchanged or self.now_ms >= until_ms:
            self.at(self.now_ms + self._delay_ms(), lambda: answer(result))
            return
        next_ms = min(self.now_ms + 10, until_ms)
        self.at(next_ms, lambda: self._watch(call, until_ms, answer))

    def _delay_ms(self) -> int:
        if self.random.random() < self.faults.late:
            return self.random.randrange(1, self.faults.late_ms)
        return max(self.rtt_ms // 2, 1)
