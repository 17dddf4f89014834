"""Compares a version with its own past, where no other one serves.

A change of the load can look like a worse version here. So this only
raises a suspicion; the comparison with the baseline then decides.
"""

import math

from ragwortgw_core import betting

MIN_RATINGS = 60
MIN_REQUESTS = 100
MIN_FAILURES = 5
SCORE_DROP = 0.05
DROP_DEVIATIONS = 4.0
SCORE_DEVIATION = 0.15
FAILURE_RATIO = 2.0
FAILURE_RISE = 0.02


class RegressionDetector:
    """Windows of a version's outcomes, each compared with those before."""

    def __init__(self) -> None:
        self._base = betting.Sums()
        self._mark: betting.Sums | None = None

    def detects_regression(self, total: betting.Sums) -> bool:
        """Looks at the outcomes since the last window.

        Args:
          total: All outcomes of the version as the candidate.
        Returns: Whether a window has just ended that is clearly worse.
        """
        mark = self._mark
        if mark is None or total.candidate_requests < mark.candidate_requests:
            self._base, self._mark = betting.Sums(), total
            return False
        ratings = total.ratings - mark.ratings
        requests = total.candidate_requests - mark.candidate_requests
        if ratings < MIN_RATINGS and requests < MIN_REQUESTS:
            return False
        worse = _rates_worse(self._base, mark, total)
        worse = worse or _fails_more(self._base, mark, total)
        if worse:
            self._base = mark
        self._mark = total
        return worse


def _rates_worse(
    base: betting.Sums, mark: betting.Sums, total: betting.Sums
) -> bool:
    before = mark.ratings - base.ratings
    since = total.ratings - mark.ratings
    if before < MIN_RATINGS or since < MIN_RATINGS // 2:
        return False
    drop = (mark.score_total - base.score_total) / before
    drop -= (total.score_total - mark.score_total) / since
    error = SCORE_DEVIATION * math.sqrt(1 / before + 1 / since)
    return drop > max(SCORE_DROP, DROP_DEVIATIONS * error)


def _fails_more(
    base: betting.Sums, mark: betting.Sums, total: betting.Sums
) -> bool:
    before = mark.candidate_requests - base.candidate_requests
    since = total.candidate_requests - mark.candidate_requests
    failures = total.failures - mark.failures
    if before < MIN_REQUESTS or failures < MIN_FAILURES:
        return False
    usual = (mark.failures - base.failures) / before
    return failures / since > FAILURE_RATIO * usual + FAILURE_RISE
