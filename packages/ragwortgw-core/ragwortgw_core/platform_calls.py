"""Issues calls to the platform service within the call budget.

Every component of a process makes its platform calls here. Calls beyond
the budget are held and sent later, those of urgent owners first, and each
result is passed to the component that made the call.
"""

import collections
from typing import Any, NamedTuple, Protocol

from ragwortgw_core import budgets
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import restores

#: Owners of calls, the most urgent first.
OWNERS_BY_URGENCY = (
    'ledger',
    'configuration',
    'lost configuration',
    'billing',
    'orders',
    'strikes',
)
#: Fraction of the bucket's burst that each rank of urgency leaves to the
#: ranks above it.
RESERVED_FRACTION_PER_RANK = 0.05
MAX_HELD_CALLS = 4096
WRITES = (platform.Put, platform.Delete, platform.Grant, platform.Revoke)
#: A sent call without an answer ends this long after its deadline.
ANSWER_GRACE_MS = 1_000


class PendingCall(NamedTuple):
    """A held or sent platform call and the owner of its result."""

    owner: str
    tag: Any
    call: platform.Call
    deadline_ms: int


class ResultHandler(Protocol):
    """A component that makes platform calls and handles their results."""

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the result of a call; returns effects and notices."""


class PlatformCalls:
    """Sends or holds platform calls and routes results to their owners.

    Args:
      budget: Bucket that every call takes one token from; None for no
        limit.

    Attributes:
      restores: Notices from the results that the service was restored.
    """

    def __init__(self, budget: budgets.TokenBucket | None = None) -> None:
        self.budget = budget
        self.restores = restores.RestoreTracker()
        self._handlers_by_owner: dict[str, ResultHandler] = {}
        self._pending_by_id: dict[int, PendingCall] = {}
        self._held_by_owner: dict[str, collections.deque[PendingCall]] = {}
        self._rejected: list[PendingCall] = []
        self._last_id = 0
        self._held_count = 0

    def register(self, owner: str, handler: ResultHandler) -> None:
        """Sets the component that handles the results of an owner's calls."""
        self._handlers_by_owner[owner] = handler

    def call(
        self,
        stamp: events.Stamp,
        owner: str,
        tag: Any,
        call: platform.Call,
        deadline_ms: int,
    ) -> list[Any]:
        """Makes a platform call, or holds it until the budget allows it.

        If too many calls are held, the call fails on the next tick.

        Args:
          stamp: Time and randomness.
          owner: Name that the component registered with.
          tag: Passed back with the result.
          call: The call.
          deadline_ms: Unix ms after which the result is Unavailable.
        Returns: The effect that sends the call, or that counts it as held;
          empty if it was rejected.
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
        """Removes a call from the pending ones and returns it.

        Args:
          op_id: Number of the call.
        Returns: The call; None if it was answered or timed out before.
        """
        return self._pending_by_id.pop(op_id, None)

    def on_answer(
        self, stamp: events.Stamp, op_id: int, result: platform.Result
    ) -> list[Any]:
        """Passes the result of a call to the owner of the call.

        Args:
          stamp: Time and randomness.
          op_id: Number of the call.
          result: Its result.
        Returns: Effects and notices of the owner, and of the components
          that repeat writes if the service was restored.
        """
        pending = self.pop_pending(op_id)
        if pending is None:
            return []
        if self.restores.outdated(result):
            # What it says does not hold in the restored service.
            result = platform.Unavailable(isinstance(pending.call, WRITES))
        outputs = self.restores.observe(stamp, result)
        return outputs + self._deliver(stamp, pending, result)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Fails overdue calls and sends held ones, urgent owners first."""
        out = self._fail_overdue(stamp)
        for owner in sorted(self._held_by_owner, key=_urgency_rank):
            held = self._held_by_owner[owner]
            while held and self._allowed(stamp, owner):
                self._held_count -= 1
                out.append(self._send(held.popleft()))
        return out

    def _fail_overdue(self, stamp: events.Stamp) -> list[Any]:
        overdue = [(pending, False) for pending in self._rejected]
        self._rejected = []
        for held in self._held_by_owner.values():
            still_held = [p for p in held if p.deadline_ms > stamp.now_ms]
            expired = [p for p in held if p.deadline_ms <= stamp.now_ms]
            overdue += [(pending, False) for pending in expired]
            held.clear()
            held.extend(still_held)
            self._held_count -= len(expired)
        limit_ms = stamp.now_ms - ANSWER_GRACE_MS
        for op_id, pending in list(self._pending_by_id.items()):
            if pending.deadline_ms <= limit_ms:
                del self._pending_by_id[op_id]
                overdue.append((pending, True))
        out: list[Any] = []
        for pending, maybe_done in overdue:
            result = platform.Unavailable(maybe_done)
            out += self._deliver(stamp, pending, result)
        return out

    def _deliver(
        self,
        stamp: events.Stamp,
        pending: PendingCall,
        result: platform.Result,
    ) -> list[Any]:
        handler = self._handlers_by_owner[pending.owner]
        return handler.on_result(stamp, pending.tag, pending.call, result)

    def _allowed(self, stamp: events.Stamp, owner: str) -> bool:
        """Takes a token from the budget; returns whether there was one."""
        if self.budget is None:
            return True
        rank = _urgency_rank(owner)
        reserve = self.budget.burst * RESERVED_FRACTION_PER_RANK * rank
        return self.budget.take(stamp.now_ms, reserve=reserve)

    def _send(self, pending: PendingCall) -> effects.CallPlatform:
        self._last_id += 1
        self._pending_by_id[self._last_id] = pending
        return effects.CallPlatform(
            self._last_id, pending.call, pending.deadline_ms
        )


def _urgency_rank(owner: str) -> int:
    """Returns 0 for the most urgent owner."""
    if owner in OWNERS_BY_URGENCY:
        return OWNERS_BY_URGENCY.index(owner)
    return len(OWNERS_BY_URGENCY)
