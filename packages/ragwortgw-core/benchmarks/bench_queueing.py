"""Latency of balance checks under load, against first come first served.

One pool of slots and one queue in simulated time; no clock is read.
"""

import collections
import heapq
import random
import sys
from typing import Any, NamedTuple

from returns.result import Success

from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import queueing

from benchmarks import report

SLOTS = 12
DURATION_MS = 120_000
TICK_MS = 50
#: Loads as a multiple of the capacity, each with the slots that are lost
#: for a part of the run.
LOADS = ((0.8, 0), (1.2, 0), (2.0, 0), (0.8, 9))
DROP_MS = (40_000, 70_000)
ORGANISATIONS = 10
MAX_TRIES = 3
MODELS = ('lunch',)


class Kind(NamedTuple):
    """A kind of request: its share of the work, and its times in ms."""

    name: str
    priority: str
    work_share: float
    service_ms: float
    timeout_ms: int


KINDS = (
    Kind('balance', 'interactive', 0.15, 20, 1_000),
    Kind('top-up', 'interactive', 0.1, 40, 5_000),
    Kind('question', 'interactive', 0.15, 300, 5_000),
    Kind('statement', 'background', 0.6, 800, 600_000),
)


class Arrival(NamedTuple):
    """A request of a run."""

    item: queueing.Item
    kind: Kind
    service_ms: int
    tries: int = 1


def make_arrivals(load: float, seed: int) -> list[Arrival]:
    """Draws the requests of a run, in order of time."""
    source = random.Random(f'{load} {seed}')
    weights = [1 / (rank + 1) for rank in range(ORGANISATIONS)]
    arrivals = []
    for kind in KINDS:
        gap_ms = kind.service_ms / (load * SLOTS * kind.work_share)
        now_ms = source.expovariate(1 / gap_ms)
        while now_ms < DURATION_MS:
            organisation = source.choices(range(ORGANISATIONS), weights)[0]
            service_ms = source.expovariate(1 / kind.service_ms)
            item = queueing.Item(
                f'{kind.name}-{len(arrivals)}',
                f'organisation-{organisation}',
                1.0,
                kind.priority,
                round(now_ms) + kind.timeout_ms,
                1.0,
                round(now_ms),
                MODELS,
            )
            arrivals.append(Arrival(item, kind, max(round(service_ms), 1)))
            now_ms += source.expovariate(1 / gap_ms)
    arrivals.sort(key=lambda arrival: arrival.item.enqueued_at_ms)
    return arrivals


class FirstCome:
    """First come first served, without refusals."""

    def __init__(self) -> None:
        self._items: collections.deque = collections.deque()

    def __len__(self) -> int:
        return len(self._items)

    def offer(self, item: queueing.Item, stamp: events.Stamp) -> Any:
        self._items.append(item)
        return Success(None)

    def take(self, runnable: Any, stamp: events.Stamp) -> Any:
        if not self._items or not runnable(self._items[0]):
            return None
        return self._items.popleft()

    def remove_late(self, stamp: events.Stamp) -> list:
        return []

    def record_served(self, *unused: Any) -> None:
        pass


class Outcome(NamedTuple):
    """What became of a request.

    ended_at_ms is None when it was refused; waited_ms is the time that it
    had waited when it was given up.
    """

    arrival: Arrival
    ended_at_ms: int | None
    waited_ms: int = 0


def come_back(
    arrival: Arrival, now_ms: int, failure: errors.Overloaded
) -> Arrival | None:
    """Lets a refused caller come back when it was told to."""
    if arrival.tries >= MAX_TRIES:
        return None
    at_ms = now_ms + failure.retry_after_ms
    item = arrival.item._replace(
        enqueued_at_ms=at_ms, deadline_ms=at_ms + arrival.kind.timeout_ms
    )
    return arrival._replace(item=item, tries=arrival.tries + 1)


def run(
    queue: Any,
    arrivals: list[Arrival],
    reserved_fraction: float,
    lost_slots: int = 0,
) -> list[Outcome]:
    """Runs the requests through a queue and a pool of slots."""
    arrivals_by_id = {arrival.item.id: arrival for arrival in arrivals}
    outcomes: list[Outcome] = []
    # Events sort by time, then ends before arrivals before ticks.
    pending: list[tuple[int, int, int, Any]] = [
        (arrival.item.enqueued_at_ms, 1, index, arrival)
        for index, arrival in enumerate(arrivals)
    ]
    pending += [
        (at_ms, 2, at_ms, None) for at_ms in range(0, DURATION_MS, TICK_MS)
    ]
    heapq.heapify(pending)
    source = random.Random(0)
    number = len(arrivals)
    running = 0
    slots = SLOTS
    reserved = 0

    def runnable(item: queueing.Item) -> bool:
        background = item.priority == 'background'
        return running < slots - (reserved if background else 0)

    while pending:
        now_ms, kind, _, value = heapq.heappop(pending)
        stamp = events.Stamp(now_ms, source.getrandbits(64))
        dropped = DROP_MS[0] <= now_ms < DROP_MS[1]
        slots = SLOTS - (lost_slots if dropped else 0)
        reserved = int(slots * reserved_fraction)
        if kind == 0:
            running -= 1
            queue.record_served(value.item, value.service_ms, stamp)
            outcomes.append(Outcome(value, now_ms))
        elif kind == 1:
            offered = queue.offer(value.item, stamp)
            if not isinstance(offered, Success):
                again = come_back(value, now_ms, offered.failure())
                if again is None:
                    outcomes.append(Outcome(value, None))
                    continue
                arrivals_by_id[again.item.id] = again
                at_ms = again.item.enqueued_at_ms
                number += 1
                heapq.heappush(pending, (at_ms, 1, number, again))
        for item, _ in queue.remove_late(stamp) if kind == 2 else ():
            arrival = arrivals_by_id[item.id]
            waited_ms = now_ms - arrival.item.enqueued_at_ms
            outcomes.append(Outcome(arrival, None, waited_ms))
        while running < slots:
            item = queue.take(runnable, stamp)
            if item is None:
                break
            running += 1
            number += 1
            arrival = arrivals_by_id[item.id]
            end_ms = now_ms + arrival.service_ms
            heapq.heappush(pending, (end_ms, 0, number, arrival))
    return outcomes


def percentile(values: list[float], share: float) -> float:
    """Gives the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def summarise(
    load: float, policy: str, arrivals: list[Arrival], outcomes: list[Outcome]
) -> dict[str, Any]:
    """Gives the row of one run."""
    outcomes_by_kind = collections.defaultdict(list)
    for outcome in outcomes:
        outcomes_by_kind[outcome.arrival.kind.name].append(outcome)
    row: dict[str, Any] = {'load': load, 'policy': policy}
    for kind in KINDS:
        group = outcomes_by_kind[kind.name]
        done = [each for each in group if each.ended_at_ms is not None]
        in_time = [
            each
            for each in done
            if (each.ended_at_ms or 0) <= each.arrival.item.deadline_ms
        ]
        row[f'{kind.name}_in_time'] = len(in_time) / len(group)
        if kind.name == 'balance':
            latencies = [
                float(
                    (each.ended_at_ms or 0) - each.arrival.item.enqueued_at_ms
                )
                for each in done
            ]
            row['balance_p50_ms'] = percentile(latencies, 0.5)
            row['balance_p99_ms'] = percentile(latencies, 0.99)
            row['balance_refused'] = 1 - len(done) / len(group)
    given_up = [each for each in outcomes if each.waited_ms]
    row['given_up'] = len(given_up)
    row['given_up_wait_ms'] = sum(each.waited_ms for each in given_up) / max(
        len(given_up), 1
    )
    row['lost'] = len(arrivals) - len(outcomes)
    row['tries'] = sum(each.arrival.tries for each in outcomes) / len(outcomes)
    statements = outcomes_by_kind['statement']
    waits = [
        (each.ended_at_ms or 0) - each.arrival.item.enqueued_at_ms
        for each in statements
        if each.ended_at_ms is not None
    ]
    row['statement_max_s'] = max(waits) / 1_000
    row['statement_refused'] = 1 - len(waits) / len(statements)
    ended = [
        each
        for each in statements
        if each.ended_at_ms is not None and each.ended_at_ms <= DURATION_MS
    ]
    work_ms = sum(each.arrival.service_ms for each in ended)
    row['statement_work'] = work_ms / (SLOTS * DURATION_MS)
    return row


POLICIES = (
    ('first-come', FirstCome, 0),
    ('fair', queueing.FairQueue, 0),
    ('fair+reserve', queueing.FairQueue, queueing.RESERVED_FRACTION),
)


def measure(seed: int = 0) -> list[dict[str, Any]]:
    """Runs all policies at all loads."""
    rows = []
    for load, lost_slots in LOADS:
        arrivals = make_arrivals(load, seed)
        for name, make, reserved_share in POLICIES:
            outcomes = run(make(), arrivals, reserved_share, lost_slots)
            row = summarise(load, name, arrivals, outcomes)
            rows.append({'lost_slots': lost_slots, **row})
    return rows


def main() -> int:
    """Runs the benchmark; gives the exit code."""
    rows = measure()
    bounds = []
    for row in rows:
        if row['policy'] == 'first-come':
            base = row
            continue
        name = f'{row["policy"]} at {row["load"]} - {row["lost_slots"]}'
        bounds.append(report.Bound(f'{name}: lost', row['lost'], 0, 0))
        if row['load'] > 1 or row['lost_slots']:
            ratio = row['balance_p99_ms'] / base['balance_p99_ms']
            bound = report.Bound(f'{name}: p99 against', ratio, high=0.1)
            bounds.append(bound)
    return report.show('queueing', rows, bounds)


if __name__ == '__main__':
    sys.exit(main())
