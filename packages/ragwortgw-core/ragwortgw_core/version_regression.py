"""Detects that a version became worse than it was before.

After a roll-out is done no baseline is left to compare with. A change in the
requests can look like a worse version here, so a detection only makes the
version suspect; a new comparison with the baseline then decides.
"""

import math

from ragwortgw_core import betting

#: A window ends after this many ratings or requests.
MIN_RATINGS = 60
MIN_REQUESTS = 100
#: Failures in a window below which its failure rate is not compared.
MIN_FAILURES = 5
#: A drop of the mean score counts if it exceeds this and the standard error
#: times DROP_DEVIATIONS.
SCORE_DROP = 0.05
DROP_DEVIATIONS = 4.0
#: Assumed standard deviation of a single score.
SCORE_DEVIATION = 0.15
#: A failure rate counts as higher above FAILURE_RATIO times the earlier rate
#: plus FAILURE_RISE.
FAILURE_RATIO = 2.0
FAILURE_RISE = 0.02


class RegressionDetector:
    """Compares each window of a version's outcomes with those before it.

    After a window that is worse, the reference starts over with that window.
    """

    def __init__(self) -> None:
        self._reference_start = betting.Sums()
        self._window_start: betting.Sums | None = None

    def detects_regression(self, total: betting.Sums) -> bool:
        """Ends the current window if it is large enough, and compares it.

        Args:
          total: All outcomes of the version, counted as the candidate.
        Returns: Whether a window has just ended that is clearly worse.
        """
        window_start = self._window_start
        if (
            window_start is None
            or total.candidate_requests < window_start.candidate_requests
        ):
            self._reference_start, self._window_start = betting.Sums(), total
            return False
        ratings = total.ratings - window_start.ratings
        requests = total.candidate_requests - window_start.candidate_requests
        if ratings < MIN_RATINGS and requests < MIN_REQUESTS:
            return False
        worse = _score_dropped(self._reference_start, window_start, total)
        worse = worse or _failure_rate_rose(
            self._reference_start, window_start, total
        )
        if worse:
            self._reference_start = window_start
        self._window_start = total
        return worse


def _score_dropped(
    reference_start: betting.Sums,
    window_start: betting.Sums,
    total: betting.Sums,
) -> bool:
    ratings_before = window_start.ratings - reference_start.ratings
    ratings_since = total.ratings - window_start.ratings
    if ratings_before < MIN_RATINGS or ratings_since < MIN_RATINGS // 2:
        return False
    drop = (
        window_start.score_total - reference_start.score_total
    ) / ratings_before
    drop -= (total.score_total - window_start.score_total) / ratings_since
    error = SCORE_DEVIATION * math.sqrt(1 / ratings_before + 1 / ratings_since)
    return drop > max(SCORE_DROP, DROP_DEVIATIONS * error)


def _failure_rate_rose(
    reference_start: betting.Sums,
    window_start: betting.Sums,
    total: betting.Sums,
) -> bool:
    requests_before = (
        window_start.candidate_requests - reference_start.candidate_requests
    )
    requests_since = total.candidate_requests - window_start.candidate_requests
    failures = total.failures - window_start.failures
    if requests_before < MIN_REQUESTS or failures < MIN_FAILURES:
        return False
    rate_before = (
        window_start.failures - reference_start.failures
    ) / requests_before
    return (
        failures / requests_since > FAILURE_RATIO * rate_before + FAILURE_RISE
    )
