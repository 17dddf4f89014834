"""Bets on the difference between two versions; their logs add up.

Each block pairs the mean of some baseline outcomes with the mean of some
candidate outcomes that came in at the same time, all in 0..1. For a fixed
bet b the product of (1 + b * difference) over the blocks is a nonnegative
supermartingale while the difference is not above zero on average, so by
Ville's inequality it reaches 1/alpha with a probability of at most alpha,
whenever one looks. A mean over several bets keeps that. Failures are bet on
one by one: with equal rates, each hits the candidate by its share.
"""

import collections
from collections.abc import Sequence
import math
from typing import NamedTuple

BET_FRACTIONS = (0.05, 0.1, 0.2, 0.4, 0.7, 0.95)
BET_WEIGHTS = (0.05, 0.05, 0.1, 0.2, 0.3, 0.3)
#: A candidate that is worse by less than this is not withdrawn.
TOLERATED_DIFFERENCE = 0.01
#: A candidate that fails at most this times as often is not withdrawn.
TOLERATED_FAILURE_RATIO = 2.0
SHARE_WINDOW_REQUESTS = 500.0
#: Differences that a candidate may be shown not to be worse by.
NONINFERIORITY_MARGINS = (0.2, 0.1, 0.05, 0.025)

#: Baseline outcomes that a block keeps at most.
MAX_BLOCK_OUTCOMES = 128

SCORE_ROW = 0
RANK_ROW = 1
FAILURE_ROW = 2
#: Rows that speak against a candidate; the others speak for it.
INFERIORITY_ROWS = (SCORE_ROW, RANK_ROW, FAILURE_ROW)
SCORE_NONINFERIORITY_ROW = 3
FAILURE_NONINFERIORITY_ROW = SCORE_NONINFERIORITY_ROW + len(
    NONINFERIORITY_MARGINS
)
ROWS = FAILURE_NONINFERIORITY_ROW + len(NONINFERIORITY_MARGINS)
SIZE = ROWS * len(BET_FRACTIONS)


class Sums(NamedTuple):
    """Evidence as sums, which add up over entries and steps.

    Args:
      log_wealth: By row, then by bet: that the mean score is worse,
        that a score is worse more often than not, that failures are
        more, then that the mean score is not worse by more than each of
        PASS_DIFFERENCES, then the same for the share of failures.
      candidate_requests: Requests that the candidate served.
      baseline_requests: Requests that the baseline served.
      ratings: Ratings of the candidate.
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
    """Outcomes of both versions that came in at the same time."""

    baseline: tuple[float, ...]
    candidate: tuple[float, ...]

    def difference(self) -> float:
        """Gives the candidate's mean minus the baseline's."""
        candidate = sum(self.candidate) / len(self.candidate)
        return candidate - sum(self.baseline) / len(self.baseline)

    def worse(self) -> float:
        """Gives how much more often the candidate is worse than better."""
        signs = 0
        for candidate in self.candidate:
            level = candidate + TOLERATED_DIFFERENCE
            for baseline in self.baseline:
                signs += (baseline > level) - (baseline < level)
        return signs / (len(self.candidate) * len(self.baseline))


def add(left: Sums, right: Sums) -> Sums:
    """Pools evidence from two sources that share no request."""
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
    """Gives the log of the mean wealth over the bets of a row."""
    start = row * len(BET_FRACTIONS)
    logs = sums.log_wealth[start : start + len(BET_FRACTIONS)]
    return log_mean_exp(logs, BET_WEIGHTS)


def log_mean_exp(logs: Sequence[float], weights: Sequence[float]) -> float:
    """Gives the log of a weighted sum of exponentials."""
    highest = max(logs)
    pairs = zip(logs, weights)
    total = sum(weight * math.exp(log - highest) for log, weight in pairs)
    return highest + math.log(total)


class _Blocks:
    """Collects outcomes of two versions until both have some."""

    __slots__ = ('_baseline', '_candidate')

    def __init__(self) -> None:
        self._baseline: collections.deque[float] = collections.deque(
            maxlen=MAX_BLOCK_OUTCOMES
        )
        self._candidate: collections.deque[float] = collections.deque(
            maxlen=MAX_BLOCK_OUTCOMES
        )

    def add(self, is_candidate: bool, outcome: float) -> _Block | None:
        """Adds an outcome; gives the block that it completes."""
        arm = self._candidate if is_candidate else self._baseline
        arm.append(outcome)
        if not self._baseline or not self._candidate:
            return None
        block = _Block(tuple(self._baseline), tuple(self._candidate))
        self._baseline.clear()
        self._candidate.clear()
        return block


class _Shares:
    """Share of the requests that the candidate served of late.

    A failure is expected to hit the candidate with the odds of its share.
    The estimate errs upwards, in favour of the candidate.
    """

    __slots__ = ('_candidate', '_requests')

    def __init__(self) -> None:
        self._candidate = 0.0
        self._requests = 0.0

    def observe(self, is_candidate: bool) -> None:
        keep = 1 - 1 / SHARE_WINDOW_REQUESTS
        self._candidate = self._candidate * keep + is_candidate
        self._requests = self._requests * keep + 1

    def surprise(self, is_candidate: bool) -> float:
        """Gives a value above zero on average if it fails too often.

        Args:
          is_candidate: Whether the candidate failed.
        Returns: -1, or the odds against the candidate's having failed.
        """
        share = (self._candidate + 2) / (self._requests + 2)
        allowed = TOLERATED_FAILURE_RATIO * share
        expected = allowed / (allowed + 1 - share)
        return (1 - expected) / expected if is_candidate else -1.0


class WealthProcesses:
    """Turns outcomes of two versions into sums."""

    def __init__(self) -> None:
        self._scores = _Blocks()
        self._failures = _Blocks()
        self._shares = _Shares()
        self._clear()

    def observe(
        self, is_candidate: bool, score: float | None, failed: bool
    ) -> None:
        """Adds the outcome of one request.

        Args:
          is_candidate: Whether the candidate served it, or the baseline.
          score: Rating in 0..1; None where it is missing.
          failed: Whether the version failed to answer; rated as 0.
        """
        if is_candidate:
            self._candidate_requests += 1
            self._failed += failed
        else:
            self._baseline_requests += 1
        if failed:
            self._bet(FAILURE_ROW, self._shares.surprise(is_candidate))
            score = 0.0
        self._shares.observe(is_candidate)
        block = self._failures.add(is_candidate, float(failed))
        if block is not None:
            self._bet_on_pass(FAILURE_NONINFERIORITY_ROW, -block.difference())
        if score is not None:
            self.rate(is_candidate, score)

    def rate(self, is_candidate: bool, score: float) -> None:
        """Adds the rating of a request that was observed without one.

        Args:
          is_candidate: Whether the candidate served it, or the baseline.
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
        self._bet(RANK_ROW, block.worse())
        self._bet(SCORE_ROW, -difference - TOLERATED_DIFFERENCE)
        self._bet_on_pass(SCORE_NONINFERIORITY_ROW, difference)

    def reset_shares(self) -> None:
        """Forgets the candidate's share; to be called when it changes."""
        self._shares = _Shares()

    def pop_sums(self) -> Sums:
        """Gives the sums since the last call, and starts anew."""
        sums = self.current_sums()
        self._clear()
        return sums

    def current_sums(self) -> Sums:
        """Gives the sums since the last call of take()."""
        return Sums(
            tuple(self._log_wealth),
            self._candidate_requests,
            self._baseline_requests,
            self._ratings,
            self._score_total,
            self._failed,
        )

    def _clear(self) -> None:
        self._log_wealth = [0.0] * SIZE
        self._candidate_requests = 0
        self._baseline_requests = 0
        self._ratings = 0
        self._score_total = 0.0
        self._failed = 0

    def _bet_on_pass(self, first_row: int, better: float) -> None:
        for row, allowed in enumerate(NONINFERIORITY_MARGINS, start=first_row):
            self._bet(row, better + allowed)

    def _bet(self, row: int, difference: float) -> None:
        """Bets that a value of at least -1.01 is above zero on average."""
        start = row * len(BET_FRACTIONS)
        for column, bet in enumerate(BET_FRACTIONS, start=start):
            self._log_wealth[column] += math.log1p(bet * difference)
