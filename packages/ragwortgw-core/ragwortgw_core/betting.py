"""Wealth processes (test martingales) on the difference of two versions.

Each block pairs the mean of some baseline outcomes with the mean of some
candidate outcomes of the same period, all in 0..1. For a fixed bet b, the
wealth, which is the product of (1 + b * difference) over the blocks, is a
nonnegative supermartingale as long as the difference is at most zero on
average. By Ville's inequality it then ever reaches 1/alpha with probability
at most alpha, so the test may be evaluated at any time. A weighted mean of
the wealth of several bets has the same property. Bets on failures are placed
one by one: at equal failure rates, a failure is the candidate's with the
probability of its traffic share. Log wealth is additive, so that the
evidence of several entries can be pooled.
"""

import collections
from collections.abc import Sequence
import math
from typing import NamedTuple

#: Fractions of the wealth that are bet in parallel, and their weights.
BET_FRACTIONS = (0.05, 0.1, 0.2, 0.4, 0.7, 0.95)
BET_WEIGHTS = (0.05, 0.05, 0.1, 0.2, 0.3, 0.3)
#: A candidate whose score is lower by less than this is not withdrawn.
TOLERATED_DIFFERENCE = 0.01
#: A candidate whose failure rate is at most this multiple of the baseline's
#: is not withdrawn.
TOLERATED_FAILURE_RATIO = 2.0
#: Decay constant of the estimate of the candidate's traffic share, in
#: requests.
SHARE_WINDOW_REQUESTS = 500.0
#: Margins of the non-inferiority tests.
NONINFERIORITY_MARGINS = (0.2, 0.1, 0.05, 0.025)

#: Most outcomes of one version in a block; older ones are dropped.
MAX_BLOCK_OUTCOMES = 128

SCORE_ROW = 0
RANK_ROW = 1
FAILURE_ROW = 2
#: Rows that test for a worse candidate; the others for non-inferiority.
INFERIORITY_ROWS = (SCORE_ROW, RANK_ROW, FAILURE_ROW)
SCORE_NONINFERIORITY_ROW = 3
FAILURE_NONINFERIORITY_ROW = SCORE_NONINFERIORITY_ROW + len(
    NONINFERIORITY_MARGINS
)
ROWS = FAILURE_NONINFERIORITY_ROW + len(NONINFERIORITY_MARGINS)
SIZE = ROWS * len(BET_FRACTIONS)


class Sums(NamedTuple):
    """Evidence as sums that can be added over entries and steps.

    Args:
      log_wealth: Log wealth by row, then by bet. The rows bet that the
        candidate's mean score is lower; that its scores are lower more
        often than higher; that it fails more often; then, for each of
        NONINFERIORITY_MARGINS, that its mean score is lower by no more than
        the margin; then the same for its failure rate.
      candidate_requests: Requests served by the candidate.
      baseline_requests: Requests served by the baseline.
      ratings: Number of ratings of the candidate.
      score_total: Sum of these ratings.
      failures: Requests that the candidate failed to answer.
    """

    log_wealth: tuple[float, ...] = (0.0,) * SIZE
    candidate_requests: int = 0
    baseline_requests: int = 0
    ratings: int = 0
    score_total: float = 0.0
    failures: int = 0


class _Block(NamedTuple):
    """Outcomes of both versions from the same period."""

    baseline: tuple[float, ...]
    candidate: tuple[float, ...]

    def difference(self) -> float:
        """Returns the candidate's mean minus the baseline's."""
        candidate = sum(self.candidate) / len(self.candidate)
        return candidate - sum(self.baseline) / len(self.baseline)

    def net_loss_rate(self) -> float:
        """Returns P(candidate worse) - P(candidate better) over all pairs.

        The candidate gets a bonus of the tolerated difference.
        """
        signs = 0
        for candidate in self.candidate:
            level = candidate + TOLERATED_DIFFERENCE
            for baseline in self.baseline:
                signs += (baseline > level) - (baseline < level)
        return signs / (len(self.candidate) * len(self.baseline))


def add(left: Sums, right: Sums) -> Sums:
    """Adds up evidence from two disjoint sets of requests."""
    pairs = zip(left.log_wealth, right.log_wealth)
    return Sums(
        tuple(a + b for a, b in pairs),
        left.candidate_requests + right.candidate_requests,
        left.baseline_requests + right.baseline_requests,
        left.ratings + right.ratings,
        left.score_total + right.score_total,
        left.failures + right.failures,
    )


def log_mean_wealth(sums: Sums, row: int) -> float:
    """Returns the log of the weighted mean wealth of a row's bets."""
    start = row * len(BET_FRACTIONS)
    logs = sums.log_wealth[start : start + len(BET_FRACTIONS)]
    return log_mean_exp(logs, BET_WEIGHTS)


def log_mean_exp(logs: Sequence[float], weights: Sequence[float]) -> float:
    """Returns the log of a weighted sum of exponentials."""
    highest = max(logs)
    pairs = zip(logs, weights)
    total = sum(weight * math.exp(log - highest) for log, weight in pairs)
    return highest + math.log(total)


class _BlockCollector:
    """Collects outcomes until there are some of both versions."""

    __slots__ = ('_baseline', '_candidate')

    def __init__(self) -> None:
        self._baseline: collections.deque[float] = collections.deque(
            maxlen=MAX_BLOCK_OUTCOMES
        )
        self._candidate: collections.deque[float] = collections.deque(
            maxlen=MAX_BLOCK_OUTCOMES
        )

    def add(self, is_candidate: bool, outcome: float) -> _Block | None:
        """Adds an outcome; returns the block that it completes, or None."""
        outcomes = self._candidate if is_candidate else self._baseline
        outcomes.append(outcome)
        if not self._baseline or not self._candidate:
            return None
        block = _Block(tuple(self._baseline), tuple(self._candidate))
        self._baseline.clear()
        self._candidate.clear()
        return block


class _ShareEstimate:
    """Exponentially weighted estimate of the candidate's traffic share.

    At equal failure rates a failure is the candidate's with the
    probability of its share. The estimate is biased upwards, in favour of
    the candidate.
    """

    __slots__ = ('_candidate', '_requests')

    def __init__(self) -> None:
        self._candidate = 0.0
        self._requests = 0.0

    def observe(self, is_candidate: bool) -> None:
        decay = 1 - 1 / SHARE_WINDOW_REQUESTS
        self._candidate = self._candidate * decay + is_candidate
        self._requests = self._requests * decay + 1

    def failure_payoff(self, is_candidate: bool) -> float:
        """Returns the payoff of a bet on who caused a failure.

        Its mean is above zero if the candidate's failure rate exceeds the
        tolerated multiple of the baseline's.

        Args:
          is_candidate: Whether the candidate failed, not the baseline.
        Returns: -1 if the baseline failed, else the odds against the
          candidate.
        """
        share = (self._candidate + 2) / (self._requests + 2)
        allowed = TOLERATED_FAILURE_RATIO * share
        expected = allowed / (allowed + 1 - share)
        return (1 - expected) / expected if is_candidate else -1.0


class WealthProcesses:
    """Updates the wealth processes with the outcomes of two versions."""

    def __init__(self) -> None:
        self._scores = _BlockCollector()
        self._failures = _BlockCollector()
        self._share_estimate = _ShareEstimate()
        self._clear()

    def observe(
        self, is_candidate: bool, score: float | None, failed: bool
    ) -> None:
        """Adds the outcome of one request.

        Args:
          is_candidate: Whether the candidate served it, not the baseline.
          score: Rating in 0..1; None if it is missing.
          failed: Whether the version failed to answer; counts as score 0.
        """
        if is_candidate:
            self._candidate_requests += 1
            self._failure_count += failed
        else:
            self._baseline_requests += 1
        if failed:
            self._bet(
                FAILURE_ROW, self._share_estimate.failure_payoff(is_candidate)
            )
            score = 0.0
        self._share_estimate.observe(is_candidate)
        block = self._failures.add(is_candidate, float(failed))
        if block is not None:
            self._bet_on_margins(
                FAILURE_NONINFERIORITY_ROW, -block.difference()
            )
        if score is not None:
            self.rate(is_candidate, score)

    def rate(self, is_candidate: bool, score: float) -> None:
        """Adds the rating of a request that was observed without one.

        Args:
          is_candidate: Whether the candidate served it, not the baseline.
          score: The rating in 0..1.
        """
        score = min(max(score, 0.0), 1.0)
        if is_candidate:
            self._ratings += 1
            self._score_total += score
        block = self._scores.add(is_candidate, score)
        if block is None:
            return
        difference = block.difference()
        self._bet(RANK_ROW, block.net_loss_rate())
        self._bet(SCORE_ROW, -difference - TOLERATED_DIFFERENCE)
        self._bet_on_margins(SCORE_NONINFERIORITY_ROW, difference)

    def reset_shares(self) -> None:
        """Resets the share estimate; called when the planned share changes."""
        self._share_estimate = _ShareEstimate()

    def pop_sums(self) -> Sums:
        """Returns the sums since the last call and resets them."""
        sums = self.current_sums()
        self._clear()
        return sums

    def current_sums(self) -> Sums:
        """Returns the sums since the last call of pop_sums()."""
        return Sums(
            tuple(self._log_wealth),
            self._candidate_requests,
            self._baseline_requests,
            self._ratings,
            self._score_total,
            self._failure_count,
        )

    def _clear(self) -> None:
        self._log_wealth = [0.0] * SIZE
        self._candidate_requests = 0
        self._baseline_requests = 0
        self._ratings = 0
        self._score_total = 0.0
        self._failure_count = 0

    def _bet_on_margins(self, first_row: int, improvement: float) -> None:
        for row, margin in enumerate(NONINFERIORITY_MARGINS, start=first_row):
            self._bet(row, improvement + margin)

    def _bet(self, row: int, difference: float) -> None:
        """Places all bets of a row on a mean difference above zero.

        The difference must be at least -1.01, so that wealth stays positive.
        """
        start = row * len(BET_FRACTIONS)
        for column, bet in enumerate(BET_FRACTIONS, start=start):
            self._log_wealth[column] += math.log1p(bet * difference)
