"""The queue of requests that wait for a backend server."""

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
MAX_CREDIT_ITEMS = 2.0
#: Service times taken for granted until some are known.
INITIAL_SERVICE_MS = {'interactive': 10.0, 'background': 1_000.0}
#: Share of the slots that background items leave to interactive ones.
RESERVED_FRACTION = 0.25
RESERVATION_IDLE_MS = 10_000
#: Share of the estimated wait that is taken as certain.
CERTAIN_WAIT_FRACTION = 0.7
MAX_ITEMS = 20_000
MIN_RETRY_MS = 100
MAX_RETRY_MS = 60_000
INTERACTIVE = 'interactive'
BACKGROUND = 'background'


class FairQueue:
    """Interactive before background, fair among organisations.

    While background items wait, each interactive one that starts on the
    same models earns them credit; with enough of it a background item
    goes first, so that they get their minimum share of the work.
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
        """Accepts an item, or refuses it at once.

        An item with the id of a queued one takes its place.

        Args:
          item: The item.
          stamp: Time and randomness.
        Returns: Success, or the failure that says when to come back.
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
        """Takes the item that runs next.

        Args:
          runnable: Tells whether an item can be started now.
          stamp: Time and randomness.
        Returns: The item, no longer queued; None when none can start.
        """
        item = (
            self._due_background(runnable, stamp)
            or self._flows_by_priority[INTERACTIVE].find_runnable(
                runnable, stamp.seed
            )
            or self._flows_by_priority[BACKGROUND].find_runnable(
                runnable, stamp.seed
            )
        )
        if item is None:
            return None
        self._account(item)
        self._flows_by_priority[item.priority].take(item)
        del self._items_by_id[item.id]
        return item

    def reserved_fraction(self, item: Item, stamp: events.Stamp) -> float:
        """Gives the share of a backend server's slots to leave free.

        Args:
          item: The item that is to start.
          stamp: Time and randomness.
        Returns: RESERVED_SHARE for a background item while interactive
          ones come in, else 0.
        """
        idle_ms = stamp.now_ms - self._interactive_at_ms
        if item.priority == INTERACTIVE or idle_ms > RESERVATION_IDLE_MS:
            return 0.0
        return RESERVED_FRACTION

    def remove(self, item_id: str) -> None:
        """Drops an item whose caller is gone; unknown ids are ignored."""
        item = self._items_by_id.pop(item_id, None)
        if item is not None:
            self._flows_by_priority[item.priority].remove(item)

    def remove_late(
        self, stamp: events.Stamp
    ) -> list[tuple[Item, errors.Overloaded]]:
        """Gives up interactive items that can not make their deadline.

        Background items are accepted for good: they are never given up.

        Args:
          stamp: Time and randomness.
        Returns: The items, no longer queued, each with its failure.
        """
        late = [
            item
            for flow in self._flows_by_priority[INTERACTIVE].flows()
            if self._left_ms(flow.at(0), stamp) < self._longest_ms(flow.at(0))
            for item in flow
        ]
        given_up = []
        for item in late:
            if self._must_be_late(item, stamp):
                late_ms = self._late_ms(item, stamp)
                self.remove(item.id)
                given_up.append((item, _overloaded(late_ms, stamp)))
        return given_up

    def _must_be_late(self, item: Item, stamp: events.Stamp) -> bool:
        left_ms = self._left_ms(item, stamp)
        if left_ms < 0:
            return True
        if left_ms >= self._longest_ms(item):
            return False
        return left_ms < self._wait_ms(item) * CERTAIN_WAIT_FRACTION

    def _left_ms(self, item: Item, stamp: events.Stamp) -> float:
        """Gives the time in which an item has to start."""
        service_ms = self._throughput(item.models).service_ms(item.priority)
        return item.deadline_ms - stamp.now_ms - service_ms

    def _longest_ms(self, item: Item) -> float:
        """Gives the wait that is certain if all others went first."""
        known = self._throughput(item.models)
        return known.wait_ms(len(self), item.priority) * CERTAIN_WAIT_FRACTION

    def record_served(
        self, item: Item, service_ms: int, stamp: events.Stamp
    ) -> None:
        """Learns from an item that ended.

        Args:
          item: The item as it was taken.
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

    def _due_background(
        self, runnable: Runnable, stamp: events.Stamp
    ) -> Item | None:
        """Finds a background item that has earned enough credit."""
        if not any(credit > 0 for credit in self._credit_by_models.values()):
            return None

        def due(item: Item) -> bool:
            credit = self._credit_by_models.get(item.models, 0.0)
            return credit >= self._work_ms(item) and runnable(item)

        return self._flows_by_priority[BACKGROUND].find_runnable(
            due, stamp.seed
        )

    def _account(self, item: Item) -> None:
        """Moves the credit of background items on."""
        credit_by_models = self._credit_by_models
        waiting = self._flows_by_priority[BACKGROUND].models()
        for models in [
            each for each in credit_by_models if each not in waiting
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
            most = MAX_CREDIT_ITEMS * self._background_ms(models)
            credit = credit_by_models.get(models, 0.0) + earned
            credit_by_models[models] = min(credit, most)

    def _work_ms(self, item: Item) -> float:
        known_ms = self._throughput(item.models).service_ms(item.priority)
        return known_ms or INITIAL_SERVICE_MS[item.priority]

    def _background_ms(self, models: tuple[str, ...]) -> float:
        known_ms = self._throughput(models).service_ms(BACKGROUND)
        return known_ms or INITIAL_SERVICE_MS[BACKGROUND]

    def _late_ms(self, item: Item, stamp: events.Stamp) -> float:
        service_ms = self._throughput(item.models).service_ms(item.priority)
        wait_ms = self._wait_ms(item)
        return stamp.now_ms + wait_ms + service_ms - item.deadline_ms

    def _wait_ms(self, item: Item) -> float:
        """Estimates the wait from the work ahead and how fast it drains."""
        ahead = self._flows_by_priority[item.priority].count_ahead(item)
        known = self._throughput(item.models)
        return known.wait_ms(ahead, item.priority)


def _overloaded(late_ms: float, stamp: events.Stamp) -> errors.Overloaded:
    """Spreads the time to come back, so that not all come at once."""
    spread = 1 + (stamp.seed % 1_024) / 2_048
    retry_ms = min(max(late_ms, MIN_RETRY_MS), MAX_RETRY_MS) * spread
    return errors.Overloaded(retry_after_ms=round(retry_ms))
