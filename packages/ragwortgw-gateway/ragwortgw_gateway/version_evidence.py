"""Evidence on the two versions of a roll-out, pooled over gateways."""

from collections.abc import Iterable
import math
from typing import Literal

from ragwortgw_gateway import digests

Verdict = Literal['bad', 'good', 'undecided']

#: A candidate is bad if as many failures would come by chance from a
#: version like the baseline less often than this.
FALSE_ALARM = 0.001
MIN_FAILURES = 3
#: Failures that every version may have besides the baseline's share.
SPARE_FAILURE_SHARE = 0.04
#: The baseline's share is not known exactly.
BASELINE_MARGIN = 1.5
#: A candidate that takes this many times as long, compared with the
#: baseline, is bad.
SLOW_RATIO = 3.0
MIN_TIMED = 6
#: Answers after which a candidate without trouble counts as good.
MIN_GOOD_ANSWERS = 5


def pool(
    parts: Iterable[digests.RolloutEvidence], order: int
) -> digests.RolloutEvidence:
    """Adds up the evidence of several gateways on one order."""
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
    """Judges the candidate of a roll-out."""
    if _fails_more(pooled) or _is_slow(pooled):
        return 'bad'
    if pooled.candidate_requests >= MIN_GOOD_ANSWERS:
        return 'good'
    return 'undecided'


def binomial_tail(count: int, trials: int, chance: float) -> float:
    """Returns the chance of at least count successes in some trials."""
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
    usual = 0.0
    if pooled.baseline_requests:
        usual = pooled.baseline_failures / pooled.baseline_requests
    chance = min(1.0, usual * BASELINE_MARGIN + SPARE_FAILURE_SHARE)
    found = binomial_tail(
        pooled.candidate_failures, pooled.candidate_requests, chance
    )
    return found < FALSE_ALARM


def _is_slow(pooled: digests.RolloutEvidence) -> bool:
    if min(pooled.candidate_timed, pooled.baseline_timed) < MIN_TIMED:
        return False
    candidate = pooled.candidate_slowness / pooled.candidate_timed
    baseline = pooled.baseline_slowness / pooled.baseline_timed
    return candidate - baseline > math.log(SLOW_RATIO)
