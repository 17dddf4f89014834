"""Compares the versions of a roll-out by the evidence of all gateways."""

from collections.abc import Iterable
import math
from typing import Literal

from ragwortgw_gateway import digests

Verdict = Literal['bad', 'good', 'undecided']

#: A candidate is bad if a version with the baseline's failure rate would
#: have as many failures with a probability below this.
MAX_FALSE_ALARM = 0.001
#: Fewest failures for that conclusion.
MIN_FAILURES = 3
#: Failure rate that is tolerated beyond the baseline's.
TOLERATED_FAILURE_RATE = 0.04
#: Factor on the baseline's measured failure rate, which is not exact.
BASELINE_MARGIN = 1.5
#: Slowdown of the candidate relative to the baseline from which it is bad.
MAX_SLOWDOWN_RATIO = 3.0
#: Fewest timed answers of each version for that conclusion.
MIN_TIMED = 6
#: Answers after which a candidate that is not bad counts as good.
MIN_GOOD_ANSWERS = 5


def pool(
    parts: Iterable[digests.RolloutEvidence], order: int
) -> digests.RolloutEvidence:
    """Adds up the evidence of several gateways on one order.

    The elapsed time is the longest that any gateway reports.

    Args:
      parts: Evidence of each gateway; that on other orders is ignored.
      order: Store revision of the order.
    """
    total = digests.RolloutEvidence(order)
    for part in parts:
        if part.order != order:
            continue
        total = digests.RolloutEvidence(
            order,
            max(total.elapsed_ms, part.elapsed_ms),
            total.requests + part.requests,
            total.candidate_requests + part.candidate_requests,
            total.candidate_failures + part.candidate_failures,
            total.baseline_requests + part.baseline_requests,
            total.baseline_failures + part.baseline_failures,
            total.candidate_slowness + part.candidate_slowness,
            total.candidate_timed + part.candidate_timed,
            total.baseline_slowness + part.baseline_slowness,
            total.baseline_timed + part.baseline_timed,
        )
    return total


def evaluate(pooled: digests.RolloutEvidence) -> Verdict:
    """Evaluates the candidate of a roll-out by its failures and latency.

    Args:
      pooled: Evidence of all gateways.
    """
    if _fails_more(pooled) or _is_slow(pooled):
        return 'bad'
    if pooled.candidate_requests >= MIN_GOOD_ANSWERS:
        return 'good'
    return 'undecided'


def binomial_tail(count: int, trials: int, chance: float) -> float:
    """Returns the upper tail of a binomial distribution.

    Args:
      count: Least number of hits.
      trials: Number of trials.
      chance: Probability of a hit in one trial.
    Returns: Probability of at least count hits.
    """
    if count <= 0:
        return 1.0
    if chance >= 1.0:
        return 1.0
    below = sum(
        math.comb(trials, hits)
        * chance**hits
        * (1 - chance) ** (trials - hits)
        for hits in range(count)
    )
    return max(0.0, 1.0 - below)


def _fails_more(pooled: digests.RolloutEvidence) -> bool:
    if pooled.candidate_failures < MIN_FAILURES:
        return False
    baseline_rate = 0.0
    if pooled.baseline_requests:
        baseline_rate = pooled.baseline_failures / pooled.baseline_requests
    tolerated_rate = min(
        1.0, baseline_rate * BASELINE_MARGIN + TOLERATED_FAILURE_RATE
    )
    probability = binomial_tail(
        pooled.candidate_failures, pooled.candidate_requests, tolerated_rate
    )
    return probability < MAX_FALSE_ALARM


def _is_slow(pooled: digests.RolloutEvidence) -> bool:
    if min(pooled.candidate_timed, pooled.baseline_timed) < MIN_TIMED:
        return False
    candidate = pooled.candidate_slowness / pooled.candidate_timed
    baseline = pooled.baseline_slowness / pooled.baseline_timed
    return candidate - baseline > math.log(MAX_SLOWDOWN_RATIO)
