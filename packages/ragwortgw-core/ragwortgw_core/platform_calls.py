"""Numbers platform calls and keeps them within the call budget."""

import collections
from typing import Any, NamedTuple, Protocol

from ragwortgw_core import budgets
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform

#: Owners in the order in which held calls are released.
OWNERS_BY_URGENCY = (
    'ledger',
    'configuration',
    'billing',
    'orders',
    'strikes',
)
#: Tokens that each step down in urgency leaves for the steps above.
RESERVED_FRACTION_PER_RANK = 0.05
MAX_HELD_CALLS = 4096
ANSWER_GRACE_MS = 1_000


class PendingCall(NamedTuple):
    """A platform call on its way, and who waits for the answer."""

    owner: str
    tag: Any
    call: platform.Call
    deadline_ms: int


class ResultHandler(Protocol):
    """A part of a process's state that makes platform calls."""

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the result of a call; returns effects and notices."""


class PlatformCalls:
    """Numbers platform calls and remembers who waits for each.

    Args:
      budget: Bucket that every call takes one token from, or None.
    """

    def __init__(self, budget: budgets.TokenBucket | None = None) -> None:
        self.budget = budget
        self._machines_by_owner: dict[str, ResultHandler] = {}
        self._pending_by_id: dict[int, PendingCall] = {}
        self._held_by_owner: dict[str, collections.deque[PendingCall]] = {}
        self._rejected: list[PendingCall] = []
        self._last_id = 0
        self._held_count = 0

    def register(self, owner: str, machine: ResultHandler) -> None:
        """Names the machine that takes the results of an owner's calls."""
        self._machines_by_owner[owner] = machine

    def call(
        self,
        stamp: events.Stamp,
        owner: str,
        tag: Any,
        call: platform.Call,
        deadline_ms: int,
    ) -> list[Any]:
        """Makes a platform call, or holds it until the budget allows it.

        Args:
          stamp: Time and randomness.
          owner: Name of the machine that gets the result.
          tag: Passed back with the result.
          call: The call.
          deadline_ms: Unix ms after which the result is Unavailable.
        Returns: The effect, or nothing while the call is held.
        """
        pending = PendingCall(owner, tag, call, deadline_ms)
        if not self._held_by_owner.get(owner) and self._allowed(stamp, owner):
            return [self._send(pending)]
        if self._held_count >= MAX_HELD_CALLS:
            self._rejected.append(pending)
            return []
        held = self._held_by_owner.setdefault(owner, collections.deque())
        held.append(pending)
        self._held_count += 1
        return [effects.Count('platform_calls_held', (('owner', owner),))]

    def pop_pending(self, op_id: int) -> PendingCall | None:
        """Forgets a call that was answered and returns it.

        Args:
          op_id: Number of the call.
        Returns: The call; None when it was settled or given up before.
        """
        return self._pending_by_id.pop(op_id, None)

    def on_answer(
        self, stamp: events.Stamp, op_id: int, result: platform.Result
    ) -> list[Any]:
        """Passes an answer to the machine that waits for it.

        Args:
          stamp: Time and randomness.
          op_id: Number of the call.
          result: Its result.
        Returns: Effects and notices of the machine.
        """
        pending = self.pop_pending(op_id)
        if pending is None:
            return []
        return self._deliver(stamp, pending, result)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Sends held calls, urgent owners first, and ends overdue ones."""
        out = self._end_overdue(stamp)
        for owner in sorted(self._held_by_owner, key=_urgency):
            held = self._held_by_owner[owner]
            while held and self._allowed(stamp, owner):
                self._held_count -= 1
                out.append(self._send(held.popleft()))
        return out

    def _end_overdue(self, stamp: events.Stamp) -> list[Any]:
        overdue = [(pending, False) for pending in self._rejected]
        self._rejected = []
        for held in self._held_by_owner.values():
            kept = [p for p in held if p.deadline_ms > stamp.now_ms]
            late = [p for p in held if p.deadline_ms <= stamp.now_ms]
            overdue += [(pending, False) for pending in late]
            held.clear()
            held.extend(kept)
            self._held_count -= len(late)
        limit_ms = stamp.now_ms - ANSWER_GRACE_MS
        for op_id, pending in list(self._pending_by_id.items()):
            if pending.deadline_ms <= limit_ms:
                del self._pending_by_id[op_id]
                overdue.append((pending, True))
        out: list[Any] = []
        for pending, sent in overdue:
            result = platform.Unavailable(sent)
            out += self._deliver(stamp, pending, result)
        return out

    def _deliver(
        self,
        stamp: events.Stamp,
        pending: PendingCall,
        result: platform.Result,
    ) -> list[Any]:
        machine = self._machines_by_owner[pending.owner]
        return machine.on_result(stamp, pending.tag, pending.call, result)

    def _allowed(self, stamp: events.Stamp, owner: str) -> bool:
        if self.budget is None:
            return True
        steps = _urgency(owner)
        reserve = self.budget.burst * RESERVED_FRACTION_PER_RANK * steps
        return self.budget.take(stamp.now_ms, reserve=reserve)

    def _send(self, pending: PendingCall) -> effects.CallPlatform:
        self._last_id += 1
        self._pending_by_id[self._last_id] = pending
        return effects.CallPlatform(
            self._last_id, pending.call, pending.deadline_ms
        )


def _urgency(owner: str) -> int:
    if owner in OWNERS_BY_URGENCY:
        return OWNERS_BY_URGENCY.index(owner)
    return len(OWNERS_BY_URGENCY)
