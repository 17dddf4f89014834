"""The queue of requests that wait for a free slot of a backend server.

Two priorities, each with fair queueing among organisations and earliest
deadline first within one. Background work gets a minimum fraction of the
work; interactive requests that would miss their deadline are refused at
once, with the time after which to retry.
"""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import flows
from ragwortgw_core import throughput

Item = flows.Item
Runnable = flows.Runnable

MIN_BACKGROUND_FRACTION = throughput.MIN_BACKGROUND_FRACTION
#: The most credit of background items, in items of mean service time.
MAX_CREDIT_ITEMS = 2.0
#: Service times to assume until some have been observed.
INITIAL_SERVICE_MS = {'interactive': 10.0, 'background': 1_000.0}
#: Fraction of the slots that background items leave to interactive ones.
RESERVED_FRACTION = 0.25
#: Time without interactive items after which no slots are reserved.
RESERVATION_IDLE_MS = 10_000
#: Fraction of the estimated wait that is regarded as certain.
CERTAIN_WAIT_FRACTION = 0.7
MAX_ITEMS = 20_000
#: Bounds of the Retry-After of refused items, before it is spread.
MIN_RETRY_MS = 100
MAX_RETRY_MS = 60_000
INTERACTIVE = 'interactive'
BACKGROUND = 'background'


class FairQueue:
    """Queue by priority, fair among organisations within a priority.

    Interactive items go before background ones. While background items
    wait, each interactive item that starts on the same models earns them
    credit; a background item whose service time the credit covers goes
    first, so that background work gets its minimum fraction.
    """

    def __init__(self) -> None:
        self._flows_by_priority = {
            INTERACTIVE: flows.FlowScheduler(),
            BACKGROUND: flows.FlowScheduler(),
        }
        self._items_by_id: dict[str, Item] = {}
        self._credit_by_models: dict[tuple[str, ...], float] = {}
        self._interactive_at_ms = -RESERVATION_IDLE_MS
        self._throughput_by_models: dict[
            tuple[str, ...], throughput.ThroughputEstimator
        ] = {}

    def __len__(self) -> int:
        return len(self._items_by_id)

    def offer(
        self, item: Item, stamp: events.Stamp
    ) -> Result[None, errors.Overloaded]:
        """Queues an item, or refuses it if it would miss its deadline.

        An item with the id of a queued one replaces that one.

        Args:
          item: The item.
          stamp: Time and randomness.
        Returns: Success, or the failure that says when to retry.
        """
        if item.priority == INTERACTIVE:
            self._interactive_at_ms = stamp.now_ms
        self.remove(item.id)
        late_ms = self._late_ms(item, stamp)
        if late_ms > 0 or len(self) >= MAX_ITEMS:
            return Failure(_overloaded(late_ms, stamp))
        self._items_by_id[item.id] = item
        self._flows_by_priority[item.priority].append(item)
        return Success(None)

    def take(self, runnable: Runnable, stamp: events.Stamp) -> Item | None:
        """Removes and returns the item that runs next.

        Args:
          runnable: Returns whether an item can be started now.
          stamp: Time and randomness.
        Returns: The item; None when none can be started.
        """
        item = (
            self._find_credited_background(runnable, stamp)
            or self._flows_by_priority[INTERACTIVE].find_runnable(
                runnable, stamp.seed
            )
            or self._flows_by_priority[BACKGROUND].find_runnable(
                runnable, stamp.seed
            )
        )
        if item is None:
            return None
        self._update_credit(item)
        self._flows_by_priority[item.priority].take(item)
        del self._items_by_id[item.id]
        return item

    def reserved_fraction(self, item: Item, stamp: events.Stamp) -> float:
        """Returns the fraction of a backend server's slots to leave free.

        Args:
          item: The item that is to start.
          stamp: Time and randomness.
        Returns: RESERVED_FRACTION for a background item while interactive
          ones arrive, else 0.
        """
        idle_ms = stamp.now_ms - self._interactive_at_ms
        if item.priority == INTERACTIVE or idle_ms > RESERVATION_IDLE_MS:
            return 0.0
        return RESERVED_FRACTION

    def remove(self, item_id: str) -> None:
        """Removes an item; unknown ids are ignored."""
        item = self._items_by_id.pop(item_id, None)
        if item is not None:
            self._flows_by_priority[item.priority].remove(item)

    def remove_late(
        self, stamp: events.Stamp
    ) -> list[tuple[Item, errors.Overloaded]]:
        """Removes the interactive items that can not make their deadline.

        Background items stay: once accepted, they are never dropped.

        Args:
          stamp: Time and randomness.
        Returns: The removed items, each with its failure.
        """
        candidates = [
            item
            for flow in self._flows_by_priority[INTERACTIVE].flows()
            if self._slack_ms(flow.at(0), stamp)
            < self._longest_wait_ms(flow.at(0))
            for item in flow
        ]
        removed = []
        for item in candidates:
            if self._is_surely_late(item, stamp):
                late_ms = self._late_ms(item, stamp)
                self.remove(item.id)
                removed.append((item, _overloaded(late_ms, stamp)))
        return removed

    def _is_surely_late(self, item: Item, stamp: events.Stamp) -> bool:
        slack_ms = self._slack_ms(item, stamp)
        if slack_ms < 0:
            return True
        if slack_ms >= self._longest_wait_ms(item):
            return False
        return slack_ms < self._wait_ms(item) * CERTAIN_WAIT_FRACTION

    def _slack_ms(self, item: Item, stamp: events.Stamp) -> float:
        """Returns the time until an item has to start, ms."""
        service_ms = self._throughput(item.models).service_ms(item.priority)
        return item.deadline_ms - stamp.now_ms - service_ms

    def _longest_wait_ms(self, item: Item) -> float:
        """Returns the certain wait if all other items went first, ms."""
        estimator = self._throughput(item.models)
        return (
            estimator.wait_ms(len(self), item.priority) * CERTAIN_WAIT_FRACTION
        )

    def record_served(
        self, item: Item, service_ms: int, stamp: events.Stamp
    ) -> None:
        """Records the service time of an item that ended.

        Args:
          item: The item as take() returned it.
          service_ms: Time from its start to its end.
          stamp: Time and randomness.
        """
        backlog = any(
            not set(item.models).isdisjoint(models)
            for queued in self._flows_by_priority.values()
            for models in queued.models()
        )
        self._throughput(item.models).observe(
            item.priority, service_ms, backlog, stamp.now_ms
        )

    def _throughput(
        self, models: tuple[str, ...]
    ) -> throughput.ThroughputEstimator:
        return self._throughput_by_models.setdefault(
            models, throughput.ThroughputEstimator()
        )

    def _find_credited_background(
        self, runnable: Runnable, stamp: events.Stamp
    ) -> Item | None:
        """Finds a runnable background item that its models' credit covers."""
        if not any(credit > 0 for credit in self._credit_by_models.values()):
            return None

        def credited(item: Item) -> bool:
            credit = self._credit_by_models.get(item.models, 0.0)
            return credit >= self._work_ms(item) and runnable(item)

        return self._flows_by_priority[BACKGROUND].find_runnable(
            credited, stamp.seed
        )

    def _update_credit(self, item: Item) -> None:
        """Updates the credit of background items when an item starts.

        A background item spends credit, an interactive one earns some for
        the background items that wait for any of its models. Credit that
        no item waits for is dropped.
        """
        credit_by_models = self._credit_by_models
        waiting = self._flows_by_priority[BACKGROUND].models()
        for models in [
            models for models in credit_by_models if models not in waiting
        ]:
            del credit_by_models[models]
        work_ms = self._work_ms(item)
        if item.priority == BACKGROUND:
            credit = credit_by_models.get(item.models, 0.0) - work_ms
            credit_by_models[item.models] = max(credit, 0.0)
            return
        earned = (
            work_ms * MIN_BACKGROUND_FRACTION / (1 - MIN_BACKGROUND_FRACTION)
        )
        wanted = set(item.models)
        for models in waiting:
            if wanted.isdisjoint(models):
                continue
            max_credit = MAX_CREDIT_ITEMS * self._background_ms(models)
            credit = credit_by_models.get(models, 0.0) + earned
            credit_by_models[models] = min(credit, max_credit)

    def _work_ms(self, item: Item) -> float:
        service_ms = self._throughput(item.models).service_ms(item.priority)
        return service_ms or INITIAL_SERVICE_MS[item.priority]

    def _background_ms(self, models: tuple[str, ...]) -> float:
        service_ms = self._throughput(models).service_ms(BACKGROUND)
        return service_ms or INITIAL_SERVICE_MS[BACKGROUND]

    def _late_ms(self, item: Item, stamp: events.Stamp) -> float:
        """Estimates how late an item would end, ms; negative if in time."""
        service_ms = self._throughput(item.models).service_ms(item.priority)
        wait_ms = self._wait_ms(item)
        return stamp.now_ms + wait_ms + service_ms - item.deadline_ms

    def _wait_ms(self, item: Item) -> float:
        """Estimates the wait from the items ahead and the throughput."""
        ahead = self._flows_by_priority[item.priority].count_ahead(item)
        estimator = self._throughput(item.models)
        return estimator.wait_ms(ahead, item.priority)


def _overloaded(late_ms: float, stamp: events.Stamp) -> errors.Overloaded:
    """Builds the refusal; Retry-After is jittered to spread the retries."""
    spread = 1 + (stamp.seed % 1_024) / 2_048
    retry_ms = min(max(late_ms, MIN_RETRY_MS), MAX_RETRY_MS) * spread
    return errors.Overloaded(retry_after_ms=round(retry_ms))
