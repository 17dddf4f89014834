"""Measures processor time per decision and memory per item of state.

The figures depend on the host and have no bounds; docs/CAPACITY.md takes
its slopes from them.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import itertools
import sys
import time
import tracemalloc
from typing import Any

from ragwortgw_core import documents
from ragwortgw_core import events
from ragwortgw_core import evidence
from ragwortgw_core import limits
from ragwortgw_core import quality
from ragwortgw_core import queueing
from ragwortgw_core import rollouts
from ragwortgw_core import routing

from benchmarks import bench_cascades
from benchmarks import bench_evidence
from benchmarks import report

ROUNDS = 5
SESSION = '01890a5d-ac96-774b-bcce-b302099a8057'
STAMP = events.Stamp(1_800_000_000_000, 0x1234_5678_9ABC_DEF0)


def measure_time_us(call: Callable[[], Any], count: int) -> float:
    """Returns the mean time per call in the fastest of ROUNDS rounds, us."""
    best = float('inf')
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(count):
            call()
        best = min(best, time.perf_counter() - began)
    return best / count * 1e6


def measure_item_bytes(build: Callable[[int], Any], count: int) -> float:
    """Returns the bytes per item of a state that holds `count` items."""
    tracemalloc.start()
    state = build(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return size / count


def make_candidates(count: int) -> list[routing.Candidate]:
    return [
        routing.Candidate(
            f'agent-{number}', 'a', 16, number % 9, 1, 0, False, True, 1
        )
        for number in range(count)
    ]


def make_item(number: int) -> queueing.Item:
    now_ms = STAMP.now_ms
    return queueing.Item(
        f'entry-{number}',
        f'organisation-{number % 100}',
        1.0,
        'interactive',
        now_ms + 60_000 + number,
        1.0,
        now_ms,
        ('model',),
    )


def offer_and_take(queue: queueing.FairQueue, numbers: Iterator[int]) -> None:
    queue.offer(make_item(next(numbers)), STAMP)
    queue.take(lambda each: True, STAMP)


def fill_queue(count: int) -> queueing.FairQueue:
    queue = queueing.FairQueue()
    for number in range(count):
        queue.offer(make_item(number), STAMP)
    return queue


def fill_quality(count: int) -> quality.QualityEstimator:
    qualities = quality.QualityEstimator()
    for number in range(count):
        name = f'organisation-{number}'
        qualities.observe(name, 'chat-short', 'small', 0.5, STAMP.now_ms)
    return qualities


def time_cascade_us() -> float:
    """Returns the mean time to plan, evaluate and settle a cascade, us."""
    calls = bench_cascades.make_calls('normal', 6_000, 0)
    began = time.perf_counter()
    collections.deque(bench_cascades.run_learned('normal', calls), maxlen=0)
    return (time.perf_counter() - began) / len(calls) * 1e6


def main() -> int:
    """Runs the benchmark and returns the exit status."""
    few_candidates, many_candidates = make_candidates(30), make_candidates(300)
    queue = fill_queue(1_000)
    numbers = itertools.count(10**6)
    organisation_limits = limits.OrganisationLimits()
    organisation = documents.Organisation(
        id='a', permits=[], rate=1e9, burst=1e9, concurrency=10**9, weight=1.0
    )
    rollout = bench_evidence.new_rollout()
    rollout['steps'] = [
        documents.Step(effective_at_ms=number, shares={'proof@v1': 10_000})
        for number in range(60)
    ]
    versions = [
        documents.Version(
            id='proof@v1', model='proof', state='ready', reason=''
        )
    ]
    version_evidence = evidence.VersionEvidence('entry')
    version_evidence.follow(rollout)
    observe = version_evidence.observe
    times = {
        'choose among 30 agents': measure_time_us(
            lambda: routing.choose_agent(few_candidates, 'key', 'a', STAMP),
            500,
        ),
        'choose among 300 agents': measure_time_us(
            lambda: routing.choose_agent(many_candidates, 'key', 'a', STAMP),
            100,
        ),
        'offer and take, 1,000 queued, 100 organisations': measure_time_us(
            lambda: offer_and_take(queue, numbers), 500
        ),
        'give up late ones, 1,000 queued': measure_time_us(
            lambda: queue.remove_late(STAMP), 50
        ),
        'plan, judge and settle a cascade': time_cascade_us(),
        'pin a session, 60 steps': measure_time_us(
            lambda: rollouts.pin(rollout, versions, SESSION, STAMP), 2_000
        ),
        'read a session id': measure_time_us(
            lambda: rollouts.read_session(SESSION, 'key', STAMP.now_ms), 2_000
        ),
        'evidence of a request': measure_time_us(
            lambda: observe('proof', 'proof@v1', 0.8, False, 0), 5_000
        ),
        'admit and release': measure_time_us(
            lambda: (
                organisation_limits.admit(organisation, 4, STAMP),
                organisation_limits.release('a'),
            ),
            5_000,
        ),
    }
    rows = [
        {'what': name, 'us': value, 'bytes': float('nan')}
        for name, value in times.items()
    ]
    sizes = {
        'queued request': measure_item_bytes(fill_queue, 2_000),
        'learned organisation, class and model': measure_item_bytes(
            fill_quality, 2_000
        ),
    }
    rows += [
        {'what': name, 'us': float('nan'), 'bytes': value}
        for name, value in sizes.items()
    ]
    return report.show('calls', rows, [])


if __name__ == '__main__':
    sys.exit(main())
