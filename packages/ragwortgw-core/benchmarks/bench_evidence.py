"""Counts requests exposed to a bad version before it is withdrawn.

Compares the roll-out that the sequential test drives with one in fixed
steps, which holds each step for FIXED_STEP_REQUESTS and then compares the
means by a z-test of the same alpha. Both withdraw with the same delay.
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

#: Shares of the candidate by step, basis points.
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
#: One-sided alpha of 0.01, divided among 4 looks at 2 measures.
Z_BOUND = 3.023
BASELINE, CANDIDATE = 'proof@v1', 'proof@v2'


class Fault(NamedTuple):
    """How a faulty candidate differs from the baseline.

    Args:
      name: Name in the table.
      score: Change of its mean score.
      failures: Additional fraction of requests that fail.
      after: Requests that it serves correctly before the fault sets in.
      late: Whether the fault sets in only LATE_REQUESTS after the roll-out
        was done.
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
    """Outcome of a roll-out.

    Args:
      withdrawn: Whether the candidate was withdrawn.
      exposed: Requests that the candidate served while it was faulty.
      requests: Requests until the roll-out ended, of both versions.
    """

    withdrawn: bool
    exposed: int
    requests: int


def new_rollout() -> documents.Rollout:
    """Returns a roll-out that has not taken its first step."""
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


def draw_outcome(
    rng: random.Random, fault: Fault, is_candidate: bool, served: int
) -> tuple[float | None, bool]:
    """Draws the outcome of one request.

    Args:
      rng: Random numbers.
      fault: The candidate's fault.
      is_candidate: Whether the candidate serves the request.
      served: Requests that the candidate has served so far.
    Returns: The rating, None if there is none, and whether it failed.
    """
    is_faulty = is_candidate and served >= fault.after
    failures = FAILURES + (fault.failures if is_faulty else 0.0)
    mean = MEAN + (fault.score if is_faulty else 0.0)
    score = min(max(rng.gauss(mean, DEVIATION), 0.0), 1.0)
    rating = None if rng.random() < MISSING else score
    return rating, rng.random() < failures


def run_sequential_test(fault: Fault, seed: int) -> Run:
    """Runs a roll-out over ENTRIES entries, driven by the sequential test."""
    rng = random.Random(f'{fault.name} {seed}')
    entries = [
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
    for request_number in range(MAX_REQUESTS):
        now_ms = round(START_MS + request_number * REQUEST_GAP_MS)
        if request_number % EVALUATE_REQUESTS == 0:
            pool = exchange_evidence(entries, rollout, pool)
            verdict = entries[request_number % ENTRIES].verdict(rollout)
            stamp = events.Stamp(now_ms, 0)
            advanced = rollouts.advance(
                rollout, verdict, versions_by_id, stamp
            )
            rollout = advanced or rollout
            if rollout['state'] == 'done':
                if not fault.late:
                    return Run(False, exposed, request_number)
                if fault.after == NEVER:
                    fault = fault._replace(after=served + LATE_REQUESTS)
        if rollout['state'] == 'withdrawn':
            break
        is_candidate = rng.random() * 10_000 < candidate_share(rollout, now_ms)
        score, failed = draw_outcome(rng, fault, is_candidate, served)
        version = CANDIDATE if is_candidate else BASELINE
        entry = entries[rng.randrange(ENTRIES)]
        entry.observe('proof', version, score, failed, now_ms)
        served += is_candidate
        exposed += is_candidate and served > fault.after
    return Run(rollout['state'] == 'withdrawn', exposed, request_number)


def exchange_evidence(
    entries: list[evidence.VersionEvidence],
    rollout: documents.Rollout,
    pool: evidence.Pool | None,
) -> evidence.Pool | None:
    """Lets each entry add its evidence to the pool and read the total."""
    for index, entry in enumerate(entries):
        batch = entry.next_batch(rollout)
        if batch is not None:
            pool = evidence.add_batch(pool, rollout, f'entry-{index}', batch)
    for entry in entries:
        if pool is not None:
            entry.apply_pool(rollout, pool)
    return pool


def candidate_share(rollout: documents.Rollout, now_ms: int) -> int:
    """Returns the candidate's share of the requests, basis points."""
    share_bp = 0
    for step in rollout['steps']:
        if step['effective_at_ms'] <= now_ms:
            share_bp = step['shares'].get(CANDIDATE, 0)
    return share_bp


def run_fixed_steps(fault: Fault, seed: int) -> Run:
    """Runs a roll-out in steps of fixed length, with a test after each."""
    rng = random.Random(f'{fault.name} {seed}')
    scores_by_arm: dict[bool, list[float]] = {True: [], False: []}
    failures_by_arm: dict[bool, list[float]] = {True: [], False: []}
    served = exposed = 0
    for request_number in range(FIXED_STEP_REQUESTS * len(PLAN)):
        if request_number and request_number % FIXED_STEP_REQUESTS == 0:
            if _is_worse(scores_by_arm, 1) or _is_worse(failures_by_arm, -1):
                return Run(True, exposed, request_number)
        share_bp = PLAN[request_number // FIXED_STEP_REQUESTS]
        is_candidate = rng.random() * 10_000 < share_bp
        score, failed = draw_outcome(rng, fault, is_candidate, served)
        if score is not None:
            scores_by_arm[is_candidate].append(0.0 if failed else score)
        failures_by_arm[is_candidate].append(float(failed))
        served += is_candidate
        exposed += is_candidate and served > fault.after
    return Run(False, exposed, request_number)


def _is_worse(values_by_arm: dict[bool, list[float]], sign: int) -> bool:
    """Returns whether the candidate is significantly worse.

    Args:
      values_by_arm: Samples of the candidate (True) and baseline (False).
      sign: 1 if higher values are better, -1 if lower ones are.
    """
    moments = []
    for arm in (True, False):
        values = values_by_arm[arm]
        if len(values) < 2:
            return False
        mean = sum(values) / len(values)
        sum_of_squares = sum((value - mean) ** 2 for value in values)
        moments.append(
            (mean, sum_of_squares / (len(values) - 1) / len(values))
        )
    (candidate, squared_error), (baseline, other_squared_error) = moments
    standard_error = math.sqrt(squared_error + other_squared_error) or 1e-9
    return sign * (baseline - candidate) / standard_error > Z_BOUND


POLICIES: dict[str, Callable[[Fault, int], Run]] = {
    'fixed': run_fixed_steps,
    'tested': run_sequential_test,
}


def measure(seeds: int) -> list[dict[str, Any]]:
    """Runs both kinds of roll-out with each of FAULTS."""
    rows = []
    for fault in FAULTS:
        for name, run in POLICIES.items():
            runs = [run(fault, seed) for seed in range(seeds)]
            rows.append(_make_row(fault, name, runs))
    return rows


def _make_row(fault: Fault, name: str, runs: list[Run]) -> dict[str, Any]:
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
    """Runs roll-outs whose fault sets in after all traffic has moved."""
    rows = []
    for fault in LATE_FAULTS:
        runs = [run_sequential_test(fault, seed) for seed in range(seeds)]
        rows.append(_make_row(fault, 'tested', runs))
    return rows


def main() -> int:
    """Runs the benchmark and returns the exit status."""
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
