"""Requests exposed to a bad version, against a roll-out in fixed steps.

The fixed roll-out holds each step for a number of requests, then compares
the means by a z-test of the same alpha. Both withdraw with the same delay.
"""

import argparse
from collections.abc import Callable
import math
import random
import sys
from typing import Any, NamedTuple

from ragwortgw_core import documents
from ragwortgw_core import events
from ragwortgw_core import evidence
from ragwortgw_core import rollouts

from benchmarks import report

PLAN = [100, 500, 2_500, 5_000, 10_000]
REQUEST_GAP_MS = 20
EVALUATE_REQUESTS = 50
FIXED_STEP_REQUESTS = 5_000
MAX_REQUESTS = 60_000
ENTRIES = 4
START_MS = 1_800_000_000_000
MEAN, DEVIATION = 0.82, 0.12
FAILURES = 0.005
MISSING = 0.3
#: One-sided 0.01, spread over 4 looks at 2 measures.
Z_BOUND = 3.023
BASELINE, CANDIDATE = 'proof@v1', 'proof@v2'


class Fault(NamedTuple):
    """How a candidate differs, from a request of its own on.

    With late, it differs only from LATE_REQUESTS after the roll-out was
    done.
    """

    name: str
    score: float = 0.0
    failures: float = 0.0
    after: int = 0
    late: bool = False


FAULTS = (
    Fault('none'),
    Fault('score -0.05', score=-0.05),
    Fault('score -0.1', score=-0.1),
    Fault('score -0.2', score=-0.2),
    Fault('failures +5%', failures=0.05),
    Fault('failures +20%', failures=0.2),
    Fault('score -0.2 after 300', score=-0.2, after=300),
)
LATE_FAULTS = (
    Fault('none, done', late=True),
    Fault('score -0.1, done', score=-0.1, late=True),
    Fault('score -0.2, done', score=-0.2, late=True),
    Fault('failures +20%, done', failures=0.2, late=True),
)
LATE_REQUESTS = 2_000
NEVER = 10**9


class Run(NamedTuple):
    """How a roll-out went; exposed counts requests while it was bad."""

    withdrawn: bool
    exposed: int
    requests: int


def new_rollout() -> documents.Rollout:
    """Makes a roll-out that is about to begin."""
    return documents.Rollout(
        id='proof',
        steps=[],
        candidate=CANDIDATE,
        baseline=BASELINE,
        plan=PLAN,
        next_step=0,
        state='running',
        fencing=0,
    )


def draw(
    source: random.Random, fault: Fault, is_candidate: bool, served: int
) -> tuple[float | None, bool]:
    """Draws rating and failure of one request."""
    bad = is_candidate and served >= fault.after
    failures = FAILURES + (fault.failures if bad else 0.0)
    mean = MEAN + (fault.score if bad else 0.0)
    score = min(max(source.gauss(mean, DEVIATION), 0.0), 1.0)
    rating = None if source.random() < MISSING else score
    return rating, source.random() < failures


def run_sequential_test(fault: Fault, seed: int) -> Run:
    """Runs a roll-out that the sequential test drives, over entries."""
    source = random.Random(f'{fault.name} {seed}')
    books = [
        evidence.VersionEvidence(f'entry-{index}') for index in range(ENTRIES)
    ]
    versions_by_id = {
        name: documents.Version(
            id=name, model='proof', state='ready', reason=''
        )
        for name in (BASELINE, CANDIDATE)
    }
    rollout = new_rollout()
    pool = None
    served = exposed = 0
    if fault.late:
        fault = fault._replace(after=NEVER)
    for number in range(MAX_REQUESTS):
        now_ms = round(START_MS + number * REQUEST_GAP_MS)
        if number % EVALUATE_REQUESTS == 0:
            pool = exchange(books, rollout, pool)
            verdict = books[number % ENTRIES].verdict(rollout)
            stamp = events.Stamp(now_ms, 0)
            changed = rollouts.advance(rollout, verdict, versions_by_id, stamp)
            rollout = changed or rollout
            if rollout['state'] == 'done':
                if not fault.late:
                    return Run(False, exposed, number)
                if fault.after == NEVER:
                    fault = fault._replace(after=served + LATE_REQUESTS)
        if rollout['state'] == 'withdrawn':
            break
        is_candidate = source.random() * 10_000 < share_at(rollout, now_ms)
        score, failed = draw(source, fault, is_candidate, served)
        version = CANDIDATE if is_candidate else BASELINE
        book = books[source.randrange(ENTRIES)]
        book.observe('proof', version, score, failed, now_ms)
        served += is_candidate
        exposed += is_candidate and served > fault.after
    return Run(rollout['state'] == 'withdrawn', exposed, number)


def exchange(
    books: list[evidence.VersionEvidence],
    rollout: documents.Rollout,
    pool: evidence.Pool | None,
) -> evidence.Pool | None:
    """Lets all entries write to and read from the pool."""
    for index, book in enumerate(books):
        batch = book.next_batch(rollout)
        if batch is not None:
            pool = evidence.add_batch(pool, rollout, f'entry-{index}', batch)
    for book in books:
        if pool is not None:
            book.apply_pool(rollout, pool)
    return pool


def share_at(rollout: documents.Rollout, now_ms: int) -> int:
    """Gives the candidate's share in force, in basis points."""
    share = 0
    for step in rollout['steps']:
        if step['effective_at_ms'] <= now_ms:
            share = step['shares'].get(CANDIDATE, 0)
    return share


def run_fixed_steps(fault: Fault, seed: int) -> Run:
    """Runs a roll-out in steps of fixed length, tested at their ends."""
    source = random.Random(f'{fault.name} {seed}')
    scores_by_arm: dict[bool, list[float]] = {True: [], False: []}
    failures_by_arm: dict[bool, list[float]] = {True: [], False: []}
    served = exposed = 0
    for number in range(FIXED_STEP_REQUESTS * len(PLAN)):
        if number and number % FIXED_STEP_REQUESTS == 0:
            if _worse(scores_by_arm, 1) or _worse(failures_by_arm, -1):
                return Run(True, exposed, number)
        share = PLAN[number // FIXED_STEP_REQUESTS]
        is_candidate = source.random() * 10_000 < share
        score, failed = draw(source, fault, is_candidate, served)
        if score is not None:
            scores_by_arm[is_candidate].append(0.0 if failed else score)
        failures_by_arm[is_candidate].append(float(failed))
        served += is_candidate
        exposed += is_candidate and served > fault.after
    return Run(False, exposed, number)


def _worse(values_by_arm: dict[bool, list[float]], sign: int) -> bool:
    moments = []
    for arm in (True, False):
        values = values_by_arm[arm]
        if len(values) < 2:
            return False
        mean = sum(values) / len(values)
        squares = sum((value - mean) ** 2 for value in values)
        moments.append((mean, squares / (len(values) - 1) / len(values)))
    (candidate, error), (baseline, other_error) = moments
    deviation = math.sqrt(error + other_error) or 1e-9
    return sign * (baseline - candidate) / deviation > Z_BOUND


POLICIES: dict[str, Callable[[Fault, int], Run]] = {
    'fixed': run_fixed_steps,
    'tested': run_sequential_test,
}


def measure(seeds: int) -> list[dict[str, Any]]:
    """Runs both roll-outs with each fault."""
    rows = []
    for fault in FAULTS:
        for name, run in POLICIES.items():
            runs = [run(fault, seed) for seed in range(seeds)]
            rows.append(_row(fault, name, runs))
    return rows


def _row(fault: Fault, name: str, runs: list[Run]) -> dict[str, Any]:
    exposed = sorted(each.exposed for each in runs)
    count = len(runs)
    return {
        'fault': fault.name,
        'policy': name,
        'withdrawn': sum(each.withdrawn for each in runs) / count,
        'exposed_mean': sum(exposed) / count,
        'exposed_p95': exposed[int(count * 0.95)],
        'requests': sum(each.requests for each in runs) / count,
    }


def measure_late(seeds: int) -> list[dict[str, Any]]:
    """Runs roll-outs whose candidate turns bad once it serves all."""
    rows = []
    for fault in LATE_FAULTS:
        runs = [run_sequential_test(fault, seed) for seed in range(seeds)]
        rows.append(_row(fault, 'tested', runs))
    return rows


def main() -> int:
    """Runs the benchmark; gives the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=100)
    options = parser.parse_args()
    rows = measure(options.seeds)
    bounds = []
    for fixed, tested in zip(rows[::2], rows[1::2]):
        name = fixed['fault']
        withdrawn = tested['withdrawn']
        if name == 'none':
            alpha = evidence.FALSE_ALARM_ALPHA
            bounds.append(report.Bound('false alarms', withdrawn, high=alpha))
            continue
        ratio = tested['exposed_mean'] / fixed['exposed_mean']
        bounds.append(report.Bound(f'{name}: exposed', ratio, high=1.0))
        bounds.append(report.Bound(f'{name}: found', withdrawn, low=0.95))
    late = measure_late(max(options.seeds // 5, 1))
    alpha = evidence.FALSE_ALARM_ALPHA
    bounds.append(
        report.Bound('false alarms, done', late[0]['withdrawn'], high=alpha)
    )
    for row in late[1:]:
        name = f'{row["fault"]}: found'
        bounds.append(report.Bound(name, row['withdrawn'], low=0.95))
    return report.show('evidence', [*rows, *late], bounds)


if __name__ == '__main__':
    sys.exit(main())
