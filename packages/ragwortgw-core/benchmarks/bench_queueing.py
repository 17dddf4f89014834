"""Measures latencies under load with the fair queue and with a FIFO queue.

Simulates one queue in front of one pool of slots in virtual time, mainly
for the latency of balance checks.
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
#: Loads as a multiple of the capacity, each with the number of slots that
#: are lost during DROP_MS.
LOADS = ((0.8, 0), (1.2, 0), (2.0, 0), (0.8, 9))
DROP_MS = (40_000, 70_000)
ORGANISATIONS = 10
MAX_ATTEMPTS = 3
MODELS = ('lunch',)


class Kind(NamedTuple):
    """A kind of request.

    Args:
      name: Name, the prefix of its columns.
      priority: 'interactive' or 'background'.
      work_share: Share of the slots' work, 0 to 1.
      service_ms: Mean service time.
      timeout_ms: Time until the deadline.
    """

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
    """A request of a run, with what the queue doesn't know of it.

    Args:
      item: The queue's item, with time of arrival and deadline.
      kind: Its kind.
      service_ms: Service time.
      attempts: Attempts of its caller, including this one.
    """

    item: queueing.Item
    kind: Kind
    service_ms: int
    attempts: int = 1


def make_arrivals(load: float, seed: int) -> list[Arrival]:
    """Draws the requests of a run, in order of arrival."""
    rng = random.Random(f'{load} {seed}')
    weights = [1 / (rank + 1) for rank in range(ORGANISATIONS)]
    arrivals = []
    for kind in KINDS:
        gap_ms = kind.service_ms / (load * SLOTS * kind.work_share)
        now_ms = rng.expovariate(1 / gap_ms)
        while now_ms < DURATION_MS:
            organisation = rng.choices(range(ORGANISATIONS), weights)[0]
            service_ms = rng.expovariate(1 / kind.service_ms)
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
            now_ms += rng.expovariate(1 / gap_ms)
    arrivals.sort(key=lambda arrival: arrival.item.enqueued_at_ms)
    return arrivals


class FifoQueue:
    """A queue that serves in order of arrival and refuses nothing."""

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
    """Outcome of a request.

    Args:
      arrival: The request.
      ended_at_ms: When it was served, None if it was refused or abandoned.
      waited_ms: How long it had waited when the queue abandoned it, else 0.
    """

    arrival: Arrival
    ended_at_ms: int | None
    waited_ms: int = 0


def make_retry(
    arrival: Arrival, now_ms: int, failure: errors.Overloaded
) -> Arrival | None:
    """Returns the retry of a refused request, after the time it was given.

    Args:
      arrival: The refused request.
      now_ms: Time of the refusal, Unix ms.
      failure: The refusal, which says when to retry.
    Returns: The next attempt, None after MAX_ATTEMPTS.
    """
    if arrival.attempts >= MAX_ATTEMPTS:
        return None
    at_ms = now_ms + failure.retry_after_ms
    item = arrival.item._replace(
        enqueued_at_ms=at_ms, deadline_ms=at_ms + arrival.kind.timeout_ms
    )
    return arrival._replace(item=item, attempts=arrival.attempts + 1)


def run(
    queue: Any,
    arrivals: list[Arrival],
    reserved_fraction: float,
    lost_slots: int = 0,
) -> list[Outcome]:
    """Runs the requests through a queue and a pool of slots.

    Args:
      queue: The queue.
      arrivals: The requests.
      reserved_fraction: Fraction of the slots that background requests may
        not use.
      lost_slots: Slots that are lost during DROP_MS.
    Returns: The outcomes, in order of time.
    """
    arrivals_by_id = {arrival.item.id: arrival for arrival in arrivals}
    outcomes: list[Outcome] = []
    # Events sort by time, then ends (0) before arrivals (1) before ticks (2).
    pending: list[tuple[int, int, int, Any]] = [
        (arrival.item.enqueued_at_ms, 1, index, arrival)
        for index, arrival in enumerate(arrivals)
    ]
    pending += [
        (at_ms, 2, at_ms, None) for at_ms in range(0, DURATION_MS, TICK_MS)
    ]
    heapq.heapify(pending)
    rng = random.Random(0)
    sequence = len(arrivals)
    running = 0
    slots = SLOTS
    reserved = 0

    def runnable(item: queueing.Item) -> bool:
        background = item.priority == 'background'
        return running < slots - (reserved if background else 0)

    while pending:
        now_ms, event_kind, _, event_arrival = heapq.heappop(pending)
        stamp = events.Stamp(now_ms, rng.getrandbits(64))
        is_drop = DROP_MS[0] <= now_ms < DROP_MS[1]
        slots = SLOTS - (lost_slots if is_drop else 0)
        reserved = int(slots * reserved_fraction)
        if event_kind == 0:
            running -= 1
            queue.record_served(
                event_arrival.item, event_arrival.service_ms, stamp
            )
            outcomes.append(Outcome(event_arrival, now_ms))
        elif event_kind == 1:
            offered = queue.offer(event_arrival.item, stamp)
            if not isinstance(offered, Success):
                retry = make_retry(event_arrival, now_ms, offered.failure())
                if retry is None:
                    outcomes.append(Outcome(event_arrival, None))
                    continue
                arrivals_by_id[retry.item.id] = retry
                at_ms = retry.item.enqueued_at_ms
                sequence += 1
                heapq.heappush(pending, (at_ms, 1, sequence, retry))
        for item, _ in queue.remove_late(stamp) if event_kind == 2 else ():
            arrival = arrivals_by_id[item.id]
            waited_ms = now_ms - arrival.item.enqueued_at_ms
            outcomes.append(Outcome(arrival, None, waited_ms))
        while running < slots:
            item = queue.take(runnable, stamp)
            if item is None:
                break
            running += 1
            sequence += 1
            arrival = arrivals_by_id[item.id]
            end_ms = now_ms + arrival.service_ms
            heapq.heappush(pending, (end_ms, 0, sequence, arrival))
    return outcomes


def percentile(values: list[float], fraction: float) -> float:
    """Returns the value below which a fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]


def summarise(
    load: float, policy: str, arrivals: list[Arrival], outcomes: list[Outcome]
) -> dict[str, Any]:
    """Returns the row of one run."""
    outcomes_by_kind = collections.defaultdict(list)
    for outcome in outcomes:
        outcomes_by_kind[outcome.arrival.kind.name].append(outcome)
    row: dict[str, Any] = {'load': load, 'policy': policy}
    for kind in KINDS:
        kind_outcomes = outcomes_by_kind[kind.name]
        done = [each for each in kind_outcomes if each.ended_at_ms is not None]
        in_time = [
            each
            for each in done
            if (each.ended_at_ms or 0) <= each.arrival.item.deadline_ms
        ]
        row[f'{kind.name}_in_time'] = len(in_time) / len(kind_outcomes)
        if kind.name == 'balance':
            latencies = [
                float(
                    (each.ended_at_ms or 0) - each.arrival.item.enqueued_at_ms
                )
                for each in done
            ]
            row['balance_p50_ms'] = percentile(latencies, 0.5)
            row['balance_p99_ms'] = percentile(latencies, 0.99)
            row['balance_refused'] = 1 - len(done) / len(kind_outcomes)
    abandoned = [each for each in outcomes if each.waited_ms]
    row['given_up'] = len(abandoned)
    row['given_up_wait_ms'] = sum(each.waited_ms for each in abandoned) / max(
        len(abandoned), 1
    )
    row['lost'] = len(arrivals) - len(outcomes)
    row['tries'] = sum(each.arrival.attempts for each in outcomes) / len(
        outcomes
    )
    statement_outcomes = outcomes_by_kind['statement']
    waits = [
        (each.ended_at_ms or 0) - each.arrival.item.enqueued_at_ms
        for each in statement_outcomes
        if each.ended_at_ms is not None
    ]
    row['statement_max_s'] = max(waits) / 1_000
    row['statement_refused'] = 1 - len(waits) / len(statement_outcomes)
    completed_statements = [
        each
        for each in statement_outcomes
        if each.ended_at_ms is not None and each.ended_at_ms <= DURATION_MS
    ]
    work_ms = sum(each.arrival.service_ms for each in completed_statements)
    row['statement_work'] = work_ms / (SLOTS * DURATION_MS)
    return row


POLICIES = (
    ('first-come', FifoQueue, 0),
    ('fair', queueing.FairQueue, 0),
    ('fair+reserve', queueing.FairQueue, queueing.RESERVED_FRACTION),
)


def measure(seed: int = 0) -> list[dict[str, Any]]:
    """Runs all policies at all loads and returns their rows."""
    rows = []
    for load, lost_slots in LOADS:
        arrivals = make_arrivals(load, seed)
        for name, make_queue, reserved_share in POLICIES:
            outcomes = run(make_queue(), arrivals, reserved_share, lost_slots)
            row = summarise(load, name, arrivals, outcomes)
            rows.append({'lost_slots': lost_slots, **row})
    return rows


def main() -> int:
    """Runs the benchmark and returns the exit status."""
    rows = measure()
    bounds = []
    for row in rows:
        if row['policy'] == 'first-come':
            fifo_row = row
            continue
        name = f'{row["policy"]} at {row["load"]} - {row["lost_slots"]}'
        bounds.append(report.Bound(f'{name}: lost', row['lost'], 0, 0))
        if row['load'] > 1 or row['lost_slots']:
            ratio = row['balance_p99_ms'] / fifo_row['balance_p99_ms']
            bound = report.Bound(f'{name}: p99 against', ratio, high=0.1)
            bounds.append(bound)
    return report.show('queueing', rows, bounds)


if __name__ == '__main__':
    sys.exit(main())
