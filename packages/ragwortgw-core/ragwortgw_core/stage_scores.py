"""Regression of a later stage's score on that of an earlier stage.

In a cascade, a later model answers a request only if the answer of the
earlier model scored too low. How well it does on such requests is
estimated from pairs of scores, shrunk towards priors while there are few.
"""

import math

from ragwortgw_core import cascade_policies

#: Pairs of scores after which the weight of an older pair falls to 1/e.
DECAY_PAIRS = 200.0
#: Weight of the priors of slope, deviation and intercept, in pairs.
PRIOR_PAIRS = 8.0
#: Greatest weight, in pairs, of a wider group on a narrower one.
POOLED_PAIRS = 16.0
PRIOR_SLOPE = 0.4
PRIOR_DEVIATION = 0.15
MIN_DEVIATION = 0.03
MAX_SLOPE = 1.0
MAX_CELLS = 10_000
#: Groups with at most this many keys are not specific to an organisation.
MAX_SHARED_GROUP_KEYS = 3


class _Cell:
    """Exponentially discounted sums over pairs of scores.

    x is the score of the earlier model, y that of the later one.
    """

    __slots__ = ('pairs', 'x', 'y', 'xx', 'xy', 'yy')

    def __init__(self) -> None:
        self.pairs = 0.0
        self.x = self.y = self.xx = self.xy = self.yy = 0.0

    def observe(self, x: float, y: float) -> None:
        decay = 1 - 1 / DECAY_PAIRS
        self.pairs = self.pairs * decay + 1
        self.x = self.x * decay + x
        self.y = self.y * decay + y
        self.xx = self.xx * decay + x * x
        self.xy = self.xy * decay + x * y
        self.yy = self.yy * decay + y * y

    def slope(self) -> float:
        """Returns the least-squares slope, shrunk towards the prior slope."""
        sum_xx = self.xx - self.x * self.x / self.pairs
        sum_xy = self.xy - self.x * self.y / self.pairs
        prior = PRIOR_PAIRS * PRIOR_DEVIATION**2
        slope = (sum_xy + prior * PRIOR_SLOPE) / (sum_xx + prior)
        return min(max(slope, 0.0), MAX_SLOPE)

    def deviation(self, slope: float) -> float:
        """Returns the standard deviation around a line of the given slope."""
        sum_xx = self.xx - self.x * self.x / self.pairs
        sum_xy = self.xy - self.x * self.y / self.pairs
        sum_yy = self.yy - self.y * self.y / self.pairs
        residual = sum_yy - 2 * slope * sum_xy + slope * slope * sum_xx
        prior = PRIOR_PAIRS * PRIOR_DEVIATION**2
        variance = (max(residual, 0.0) + prior) / (self.pairs + PRIOR_PAIRS)
        return max(math.sqrt(variance), MIN_DEVIATION)


class StageScoreEstimator:
    """Estimates scores of later stages from those of earlier ones.

    Pairs of scores are grouped by the two models, then also by the class
    of the request, then also by the organisation. Estimates of a narrow
    group are shrunk towards those of the wider ones.
    """

    def __init__(self) -> None:
        self._cells_by_group: dict[tuple[str, ...], _Cell] = {}

    def observe(
        self,
        organisation: str,
        request_class: str,
        earlier: tuple[str, float],
        later: tuple[str, float],
    ) -> None:
        """Records the scores of two models that answered the same request.

        Args:
          organisation: Id of the organisation.
          request_class: Class of the request.
          earlier: Model id and score of the answer that was not accepted.
          later: Model id and score of the next answer.
        """
        models = (earlier[0], later[0])
        if len(self._cells_by_group) >= MAX_CELLS:
            self._drop_oldest()
        for group in _groups(organisation, request_class, models):
            cell = self._cells_by_group.setdefault(group, _Cell())
            cell.observe(earlier[1], later[1])

    def estimate_regression(
        self,
        organisation: str,
        request_class: str,
        models: tuple[str, str],
        means: tuple[float, float],
    ) -> cascade_policies.ScoreRegression:
        """Estimates the later score as a linear function of the earlier one.

        Slope and deviation come from all pairs of the two models; the
        intercept is refined from the widest group to the narrowest.

        Args:
          organisation: Id of the organisation.
          request_class: Class of the request.
          models: Ids of the earlier and the later model.
          means: Their expected scores when tried first.
        Returns: The line.
        """
        slope, deviation = PRIOR_SLOPE, PRIOR_DEVIATION
        widest = self._cells_by_group.get(models)
        if widest is not None:
            slope = widest.slope()
            deviation = widest.deviation(slope)
        intercept = means[1] - slope * means[0]
        weight = PRIOR_PAIRS
        for group in _groups(organisation, request_class, models):
            cell = self._cells_by_group.get(group)
            if cell is None:
                continue
            group_intercept = (cell.y - slope * cell.x) / cell.pairs
            intercept = intercept * weight + group_intercept * cell.pairs
            intercept /= weight + cell.pairs
            weight = min(weight + cell.pairs, POOLED_PAIRS)
        return cascade_policies.ScoreRegression(intercept, slope, deviation)

    def _drop_oldest(self) -> None:
        """Drops the older half of the cells of organisations."""
        organisation_groups = [
            group
            for group in self._cells_by_group
            if len(group) > MAX_SHARED_GROUP_KEYS
        ]
        for group in organisation_groups[: len(organisation_groups) // 2]:
            del self._cells_by_group[group]


def _groups(
    organisation: str, request_class: str, models: tuple[str, str]
) -> tuple[tuple[str, ...], ...]:
    """Returns the groups of a pair from the widest to the narrowest."""
    return (
        models,
        (*models, request_class),
        (*models, request_class, organisation),
    )
