"""Compares the versions of a roll-out by the evidence of all gateways."""

from collections.abc import Callable, Collection, Iterable, Mapping
import math
from typing import Literal, NamedTuple

from ragwortgw_gateway import digests

#: A roll-out to a doubtful candidate waits; one that is doubtful to the end
#: is reverted.
Verdict = Literal['bad', 'doubtful', 'good', 'undecided']

#: A candidate is bad if a version like the baseline would have as many bad
#: answers with a probability below this, and doubtful below the other one.
MAX_FALSE_ALARM = 0.001
MAX_DOUBT = 0.05
#: Fewest bad answers for a doubt.
MIN_DOUBTFUL = 2
#: Failure rate that is tolerated beyond the baseline's.
TOLERATED_FAILURE_RATE = 0.04
#: Factor on the baseline's measured rates, which are not exact.
BASELINE_MARGIN = 1.5
#: Rate of slow answers that is tolerated beyond the baseline's: the
#: candidate's servers have just started, and have nothing cached.
TOLERATED_SLOW_RATE = 0.1
#: A route on which more answers than this are bad on any version says nothing
#: of the candidate.
MAX_USUAL_RATE = 0.5
#: Answers after which a candidate that is not bad counts as good.
MIN_GOOD_ANSWERS = 5


class _Sample(NamedTuple):
    """Answers of one version, and how many of them are bad."""

    bad: int
    total: int


class _Comparison(NamedTuple):
    """Answers of both versions, and the rate of bad ones that is tolerated.

    Args:
      candidate: Answers of the candidate.
      baseline: Answers of the other versions.
      tolerated: Rate that is tolerated beyond the baseline's.
    """

    candidate: _Sample
    baseline: _Sample
    tolerated: float

    @property
    def tolerated_rate(self) -> float:
        """Rate of bad answers of a version that is as good as the baseline."""
        usual = 0.0
        if self.baseline.total:
            usual = self.baseline.bad / self.baseline.total
        return min(1.0, usual * BASELINE_MARGIN + self.tolerated)


class _Measure(NamedTuple):
    """A kind of bad answers.

    Args:
      compare: Returns these answers of both versions.
      fewest: Fewest bad answers of the candidate for a conclusion.
      baseline: Fewest answers of the baseline.
    """

    compare: Callable[[digests.RolloutEvidence], _Comparison]
    fewest: int
    baseline: int

    def chance(self, compared: _Comparison) -> float:
        """Returns how likely a version like the baseline does as badly."""
        if compared.baseline.total < self.baseline:
            return 1.0
        chance = binomial_tail(*compared.candidate, compared.tolerated_rate)
        if compared.candidate.bad < self.fewest:
            # Too few to conclude from, whatever the chance.
            return max(MAX_FALSE_ALARM, chance)
        return chance


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


def evaluate(
    pooled: digests.RolloutEvidence,
    pooled_by_route: Mapping[str, digests.RolloutEvidence] | None = None,
) -> Verdict:
    """Evaluates the candidate of a roll-out by its failures and latency.

    Routes differ: some are slow, or fail, on any version, and a version may
    be bad on one route alone. The versions are compared on all routes
    together, by what is usual on each of them, and on each route.

    Args:
      pooled: Evidence of all gateways.
      pooled_by_route: The parts of it whose route is known.
    """
    routes = (pooled_by_route or {}).values()
    chance = min(_chance(measure, pooled, routes) for measure in MEASURES)
    if chance < MAX_FALSE_ALARM:
        return 'bad'
    if chance < MAX_DOUBT:
        return 'doubtful'
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


def poisson_tail(count: int, mean: float) -> float:
    """Returns the upper tail of a Poisson distribution.

    Args:
      count: Least number of hits.
      mean: Expected number of hits.
    Returns: Probability of at least count hits.
    """
    term = math.exp(-mean)
    below = 0.0
    for hits in range(count):
        below += term
        term *= mean / (hits + 1)
    return max(0.0, 1.0 - below)


def _failures(pooled: digests.RolloutEvidence) -> _Comparison:
    return _Comparison(
        _Sample(pooled.candidate_failures, pooled.candidate_requests),
        _Sample(pooled.baseline_failures, pooled.baseline_requests),
        TOLERATED_FAILURE_RATE,
    )


def _slow_answers(pooled: digests.RolloutEvidence) -> _Comparison:
    return _Comparison(
        _Sample(round(pooled.candidate_slow), pooled.candidate_timed),
        _Sample(round(pooled.baseline_slow), pooled.baseline_timed),
        TOLERATED_SLOW_RATE,
    )


#: What is compared, with the fewest bad answers for a conclusion and the
#: fewest answers of the baseline.
MEASURES = (
    _Measure(_failures, 3, 0),
    _Measure(_slow_answers, 4, 6),
)


def _chance(
    measure: _Measure,
    pooled: digests.RolloutEvidence,
    routes: Collection[digests.RolloutEvidence],
) -> float:
    """Returns how likely a version like the baseline does as badly.

    Args:
      measure: What is compared.
      pooled: Evidence of all routes.
      routes: Evidence of each route.
    """
    total = measure.compare(pooled)
    if total.candidate.bad < MIN_DOUBTFUL:
        return 1.0
    chances = [measure.chance(total)]
    by_route = [measure.compare(route) for route in routes]
    # The more routes there are, the sooner one of them is bad by chance.
    chances += [len(by_route) * measure.chance(each) for each in by_route]
    telling = [
        each for each in by_route if each.tolerated_rate < MAX_USUAL_RATE
    ]
    bad = sum(each.candidate.bad for each in telling)
    if bad >= measure.fewest and total.baseline.total >= measure.baseline:
        expected = sum(
            each.candidate.total * each.tolerated_rate for each in telling
        )
        chances.append(poisson_tail(bad, expected))
    return min(chances)
