"""Compares the versions of a roll-out by the evidence of all gateways."""

from collections.abc import Iterable
import math
from typing import Literal, NamedTuple

from ragwortgw_gateway import digests

Verdict = Literal['bad', 'good', 'undecided']

#: A candidate is bad if a version with the baseline's failure rate would
#: have as many failures with a probability below this.
MAX_FALSE_ALARM = 0.001
#: Fewest failures for that conclusion.
MIN_FAILURES = 3
#: Failure rate that is tolerated beyond the baseline's.
TOLERATED_FAILURE_RATE = 0.04
#: Factor on the baseline's measured rates, which are not exact.
BASELINE_MARGIN = 1.5
#: Fewest slow answers of the candidate, and timed ones of the baseline, for
#: the same conclusion from slow answers.
MIN_SLOW = 4
MIN_TIMED = 6
#: Rate of slow answers that is tolerated beyond the baseline's: the
#: candidate's servers have just started, and have nothing cached.
TOLERATED_SLOW_RATE = 0.1
#: Answers after which a candidate that is not bad counts as good.
MIN_GOOD_ANSWERS = 5


class _Sample(NamedTuple):
    """Answers of one version, and how many of them are bad."""

    bad: int
    total: int


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
            total.candidate_slow + part.candidate_slow,
            total.candidate_timed + part.candidate_timed,
            total.baseline_slow + part.baseline_slow,
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
    return _is_more(
        _Sample(pooled.candidate_failures, pooled.candidate_requests),
        _Sample(pooled.baseline_failures, pooled.baseline_requests),
        MIN_FAILURES,
        TOLERATED_FAILURE_RATE,
    )


def _is_slow(pooled: digests.RolloutEvidence) -> bool:
    if pooled.baseline_timed < MIN_TIMED:
        return False
    return _is_more(
        _Sample(round(pooled.candidate_slow), pooled.candidate_timed),
        _Sample(round(pooled.baseline_slow), pooled.baseline_timed),
        MIN_SLOW,
        TOLERATED_SLOW_RATE,
    )


def _is_more(
    candidate: _Sample,
    baseline: _Sample,
    fewest: int,
    tolerated: float,
) -> bool:
    """Returns whether bad answers are certainly more frequent.

    Args:
      candidate: Answers of the candidate.
      baseline: Answers of the other versions.
      fewest: Fewest bad answers for that conclusion.
      tolerated: Rate that is tolerated beyond the baseline's.
    """
    if candidate.bad < fewest:
        return False
    baseline_rate = baseline.bad / baseline.total if baseline.total else 0.0
    tolerated_rate = min(1.0, baseline_rate * BASELINE_MARGIN + tolerated)
    probability = binomial_tail(candidate.bad, candidate.total, tolerated_rate)
    return probability < MAX_FALSE_ALARM
