"""Start-time fair queueing among organisations, within one priority.

A flow holds an organisation's items that can be served by the same set of
models, in the order of their deadlines.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import itertools
from typing import NamedTuple

import xxhash

#: The most items of one flow that are tried in order.
LOOKAHEAD = 8
#: The most items of all flows of a set of models that are tried in order.
MAX_TRIES = 16
#: Items that are then tried at random.
RANDOM_TRIES = 4
MIN_WEIGHT = 1e-6
#: Number of tags above which those without queued items are pruned.
MAX_IDLE_TAGS = 1_024


class Item(NamedTuple):
    """A queued request.

    Args:
      id: Request id.
      organisation: Id of the organisation.
      weight: Weight of the organisation in fair queueing.
      priority: 'interactive' or 'background'.
      deadline_ms: Time after which the answer is useless, Unix ms.
      cost: Work of the request, in any unit common to all items.
      enqueued_at_ms: When the request was received, Unix ms.
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
    """Items of one organisation and set of models, by deadline."""

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
        """Counts the queued items that precede an item, queued or not."""
        key = (item.deadline_ms, item.enqueued_at_ms, item.id)
        return bisect.bisect_left(self._keys, key)

    def at(self, position: int) -> Item:
        """Returns an item by its position in the order of deadlines."""
        return self._items_by_key[self._keys[position]]


class FlowScheduler:
    """Schedules items by start-time fair queueing among organisations.

    The tag of an organisation is the virtual time at which its next item
    starts; each item that starts advances it by its cost divided by its
    weight. The organisation with the smallest tag goes first, and within
    it the item with the earliest deadline.
    """

    def __init__(self) -> None:
        self._flows_by_organisation: dict[
            str, dict[tuple[str, ...], Flow]
        ] = {}
        self._tags_by_organisation: dict[str, float] = {}
        self._virtual_time = 0.0
        self._item_count = 0

    def __len__(self) -> int:
        return self._item_count

    def flows(self) -> list[Flow]:
        """Returns the flows; none of them is empty."""
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
        self._item_count += 1

    def find_runnable(self, runnable: Runnable, seed: int) -> Item | None:
        """Finds the item to run next; it stays queued.

        A bounded number of items is tried in order for each set of models,
        then a few at random, so that items that can not start do not block
        those behind them forever.

        Args:
          runnable: Returns whether an item can be started now.
          seed: 64 random bits.
        Returns: The item, or None when none was found.
        """
        tries_by_models: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        blocked: list[Flow] = []
        organisations = sorted(
            self._flows_by_organisation,
            key=self._tags_by_organisation.__getitem__,
        )
        for organisation in organisations:
            runnable_items = []
            flows = self._flows_by_organisation[organisation]
            for models, flow in flows.items():
                item = _find_in_flow(flow, models, runnable, tries_by_models)
                if item is None:
                    blocked.append(flow)
                else:
                    runnable_items.append(item)
            if runnable_items:
                return min(runnable_items, key=lambda item: item.deadline_ms)
        return _find_random(blocked, runnable, seed)

    def take(self, item: Item) -> None:
        """Removes an item that starts and charges its organisation."""
        tag = self._tags_by_organisation[item.organisation]
        self._virtual_time = max(self._virtual_time, tag)
        tag += item.cost / max(item.weight, MIN_WEIGHT)
        self._tags_by_organisation[item.organisation] = tag
        self.remove(item)

    def remove(self, item: Item) -> None:
        """Removes an item without charging its organisation."""
        flows = self._flows_by_organisation[item.organisation]
        flow = flows[item.models]
        flow.remove(item)
        self._item_count -= 1
        if not flow:
            del flows[item.models]
        if not flows:
            del self._flows_by_organisation[item.organisation]
            self._prune_tags()

    def models(self) -> set[tuple[str, ...]]:
        """Returns the sets of models that items wait for."""
        return {
            models
            for flows in self._flows_by_organisation.values()
            for models in flows
        }

    def count_ahead(self, item: Item) -> int:
        """Estimates the number of items that start before an item.

        Only items that need some of the same models count.

        Args:
          item: The item, queued or not.
        Returns: The items of the same organisation with an earlier
          deadline, plus of each other organisation as many as its weight
          lets start in the same time.
        """
        own_flows = self._flows_needing(item.organisation, item.models)
        own = sum(flow.count_before(item) for flow in own_flows)
        rounds = (own + 1) / max(item.weight, MIN_WEIGHT)
        total = own
        for organisation in self._flows_by_organisation:
            if organisation == item.organisation:
                continue
            flows = self._flows_needing(organisation, item.models)
            queued = sum(len(flow) for flow in flows)
            if queued:
                started = round(rounds * self._weight(organisation))
                total += min(queued, started)
        return total

    def _flows_needing(
        self, organisation: str, models: tuple[str, ...]
    ) -> list[Flow]:
        """Returns an organisation's flows that need some of the models."""
        flows = self._flows_by_organisation.get(organisation, {})
        needed = set(models)
        return [
            flow
            for flow_models, flow in flows.items()
            if not needed.isdisjoint(flow_models)
        ]

    def _weight(self, organisation: str) -> float:
        flow = next(iter(self._flows_by_organisation[organisation].values()))
        return next(iter(flow)).weight

    def _prune_tags(self) -> None:
        """Drops the tags that would not delay their organisation any more."""
        if len(self._tags_by_organisation) <= MAX_IDLE_TAGS:
            return
        self._tags_by_organisation = {
            organisation: tag
            for organisation, tag in self._tags_by_organisation.items()
            if tag > self._virtual_time
            or organisation in self._flows_by_organisation
        }


def _find_in_flow(
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


def _find_random(
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
