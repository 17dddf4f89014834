"""Start-time fair queueing among organisations, within one priority."""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import itertools
from typing import NamedTuple

import xxhash

#: Items of a flow that are looked at when its first one can not start.
LOOKAHEAD = 8
#: Items per set of models that are tried in order, and then at random.
MAX_TRIES = 16
RANDOM_TRIES = 4
MIN_WEIGHT = 1e-6
MAX_IDLE_TAGS = 1_024


class Item(NamedTuple):
    """A request that waits.

    Args:
      id: Request id.
      organisation: Id of the organisation.
      weight: Weight of the organisation in the fair share.
      priority: 'interactive' or 'background'.
      deadline_ms: Time by which the answer is worthless, Unix ms.
      cost: Work of the request in units of the caller's choice.
      enqueued_at_ms: When it came, Unix ms.
      models: Models that can serve it.
    """

    id: str
    organisation: str
    weight: float
    priority: str
    deadline_ms: int
    cost: float
    enqueued_at_ms: int
    models: tuple[str, ...]


Runnable = Callable[[Item], bool]


class Flow:
    """Items that wait for the same models, by deadline."""

    __slots__ = ('_keys', '_items_by_key', '_keys_by_id')

    def __init__(self) -> None:
        self._keys: list[tuple[int, int, str]] = []
        self._items_by_key: dict[tuple[int, int, str], Item] = {}
        self._keys_by_id: dict[str, tuple[int, int, str]] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def __iter__(self) -> Iterator[Item]:
        return (self._items_by_key[key] for key in self._keys)

    def add(self, item: Item) -> None:
        key = (item.deadline_ms, item.enqueued_at_ms, item.id)
        bisect.insort(self._keys, key)
        self._items_by_key[key] = item
        self._keys_by_id[item.id] = key

    def remove(self, item: Item) -> None:
        key = self._keys_by_id.pop(item.id)
        del self._items_by_key[key]
        del self._keys[bisect.bisect_left(self._keys, key)]

    def count_before(self, item: Item) -> int:
        """Counts the items that go before one, queued or not."""
        key = (item.deadline_ms, item.enqueued_at_ms, item.id)
        return bisect.bisect_left(self._keys, key)

    def at(self, position: int) -> Item:
        """Gives an item by its place in the order of deadlines."""
        return self._items_by_key[self._keys[position]]


class FlowScheduler:
    """Items by organisation; the one with the least service goes first.

    Within an organisation the earliest deadline goes first. The tag of an
    organisation is the virtual time at which its next item starts; taking
    an item moves the tag on by its cost over its weight.
    """

    def __init__(self) -> None:
        self._flows_by_organisation: dict[
            str, dict[tuple[str, ...], Flow]
        ] = {}
        self._tags_by_organisation: dict[str, float] = {}
        self._virtual_time = 0.0
        self._items = 0

    def __len__(self) -> int:
        return self._items

    def flows(self) -> list[Flow]:
        """Gives the flows; none is empty."""
        return [
            flow
            for flows in self._flows_by_organisation.values()
            for flow in flows.values()
        ]

    def append(self, item: Item) -> None:
        """Adds an item."""
        flows = self._flows_by_organisation.get(item.organisation)
        if flows is None:
            flows = self._flows_by_organisation[item.organisation] = {}
            tag = self._tags_by_organisation.get(item.organisation, 0.0)
            tag = max(tag, self._virtual_time)
            self._tags_by_organisation[item.organisation] = tag
        flows.setdefault(item.models, Flow()).add(item)
        self._items += 1

    def find_runnable(self, runnable: Runnable, seed: int) -> Item | None:
        """Finds the item to run next, and leaves it queued.

        For each set of models a bounded number of items is tried in
        order, then a few at random, so that items that can not start do
        not block those behind them for ever.

        Args:
          runnable: Tells whether an item can be started now.
          seed: 64 random bits.
        Returns: The item, or None when none was found.
        """
        tries_by_models: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        passed_over: list[Flow] = []
        organisations = sorted(
            self._flows_by_organisation,
            key=self._tags_by_organisation.__getitem__,
        )
        for organisation in organisations:
            found = []
            flows = self._flows_by_organisation[organisation]
            for models, flow in flows.items():
                item = _first_of(flow, models, runnable, tries_by_models)
                if item is None:
                    passed_over.append(flow)
                else:
                    found.append(item)
            if found:
                return min(found, key=lambda item: item.deadline_ms)
        return _any_of(passed_over, runnable, seed)

    def take(self, item: Item) -> None:
        """Removes an item that starts, and charges its organisation."""
        tag = self._tags_by_organisation[item.organisation]
        self._virtual_time = max(self._virtual_time, tag)
        tag += item.cost / max(item.weight, MIN_WEIGHT)
        self._tags_by_organisation[item.organisation] = tag
        self.remove(item)

    def remove(self, item: Item) -> None:
        """Removes an item without a charge."""
        flows = self._flows_by_organisation[item.organisation]
        flow = flows[item.models]
        flow.remove(item)
        self._items -= 1
        if not flow:
            del flows[item.models]
        if not flows:
            del self._flows_by_organisation[item.organisation]
            self._forget_idle()

    def models(self) -> set[tuple[str, ...]]:
        """Gives the sets of models that items wait for."""
        return {
            models
            for flows in self._flows_by_organisation.values()
            for models in flows
        }

    def count_ahead(self, item: Item) -> int:
        """Counts the items that would start before one.

        Args:
          item: The item, queued or not.
        Returns: Its organisation's items with an earlier deadline, and of
          each other one's as many as the weights let start meanwhile.
        """
        own_flows = self._sharing(item.organisation, item.models)
        own = sum(flow.count_before(item) for flow in own_flows)
        rounds = (own + 1) / max(item.weight, MIN_WEIGHT)
        total = own
        for organisation in self._flows_by_organisation:
            if organisation == item.organisation:
                continue
            flows = self._sharing(organisation, item.models)
            waiting = sum(len(flow) for flow in flows)
            if waiting:
                share = round(rounds * self._weight(organisation))
                total += min(waiting, share)
        return total

    def _sharing(
        self, organisation: str, models: tuple[str, ...]
    ) -> list[Flow]:
        """Gives an organisation's flows that need some of the models."""
        flows = self._flows_by_organisation.get(organisation, {})
        wanted = set(models)
        return [
            flow
            for other, flow in flows.items()
            if not wanted.isdisjoint(other)
        ]

    def _weight(self, organisation: str) -> float:
        flow = next(iter(self._flows_by_organisation[organisation].values()))
        return next(iter(flow)).weight

    def _forget_idle(self) -> None:
        """Drops tags that would no longer delay their organisation."""
        if len(self._tags_by_organisation) <= MAX_IDLE_TAGS:
            return
        self._tags_by_organisation = {
            organisation: tag
            for organisation, tag in self._tags_by_organisation.items()
            if tag > self._virtual_time
            or organisation in self._flows_by_organisation
        }


def _first_of(
    flow: Flow,
    models: tuple[str, ...],
    runnable: Runnable,
    tries_by_models: collections.Counter[tuple[str, ...]],
) -> Item | None:
    for item in itertools.islice(flow, LOOKAHEAD):
        if tries_by_models[models] >= MAX_TRIES:
            return None
        tries_by_models[models] += 1
        if runnable(item):
            return item
    return None


def _any_of(
    flows: Sequence[Flow], runnable: Runnable, seed: int
) -> Item | None:
    """Tries a few items at random."""
    if not flows:
        return None
    for number in range(RANDOM_TRIES):
        bits = xxhash.xxh64_intdigest(number.to_bytes(1, 'big'), seed)
        flow = flows[bits % len(flows)]
        item = flow.at((bits >> 32) % len(flow))
        if runnable(item):
            return item
    return None
