"""How a later stage scores on what an earlier one did badly."""

import math

from ragwortgw_core import cascade_policies

DECAY_PAIRS = 200.0
PRIOR_PAIRS = 8.0
POOLED_PAIRS = 16.0
PRIOR_SLOPE = 0.4
PRIOR_DEVIATION = 0.15
MIN_DEVIATION = 0.03
MAX_SLOPE = 1.0
MAX_CELLS = 10_000
#: Groups of at most these keys hold no organisation.
MAX_SHARED_GROUP_KEYS = 3


class _Cell:
    """Discounted moments of pairs of an earlier and a later score."""

    __slots__ = ('pairs', 'x', 'y', 'xx', 'xy', 'yy')

    def __init__(self) -> None:
        self.pairs = 0.0
        self.x = self.y = self.xx = self.xy = self.yy = 0.0

    def observe(self, x: float, y: float) -> None:
        keep = 1 - 1 / DECAY_PAIRS
        self.pairs = self.pairs * keep + 1
        self.x = self.x * keep + x
        self.y = self.y * keep + y
        self.xx = self.xx * keep + x * x
        self.xy = self.xy * keep + x * y
        self.yy = self.yy * keep + y * y

    def slope(self) -> float:
        """Regresses, drawn to the prior slope while pairs are few."""
        spread = self.xx - self.x * self.x / self.pairs
        joint = self.xy - self.x * self.y / self.pairs
        prior = PRIOR_PAIRS * PRIOR_DEVIATION**2
        slope = (joint + prior * PRIOR_SLOPE) / (spread + prior)
        return min(max(slope, 0.0), MAX_SLOPE)

    def deviation(self, slope: float) -> float:
        spread = self.xx - self.x * self.x / self.pairs
        joint = self.xy - self.x * self.y / self.pairs
        total = self.yy - self.y * self.y / self.pairs
        left = total - 2 * slope * joint + slope * slope * spread
        prior = PRIOR_PAIRS * PRIOR_DEVIATION**2
        variance = (max(left, 0.0) + prior) / (self.pairs + PRIOR_PAIRS)
        return max(math.sqrt(variance), MIN_DEVIATION)


class StageScoreEstimator:
    """Pairs of scores by models, class and organisation."""

    def __init__(self) -> None:
        self._cells_by_group: dict[tuple[str, ...], _Cell] = {}

    def observe(
        self,
        organisation: str,
        request_class: str,
        earlier: tuple[str, float],
        later: tuple[str, float],
    ) -> None:
        """Learns from two models that answered the same request.

        Args:
          organisation: Id of the organisation.
          request_class: Class of the request.
          earlier: Model id and score of the answer not accepted.
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
        """Estimates the later score from the earlier one.

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
        trust = PRIOR_PAIRS
        for group in _groups(organisation, request_class, models):
            cell = self._cells_by_group.get(group)
            if cell is None:
                continue
            here = (cell.y - slope * cell.x) / cell.pairs
            intercept = intercept * trust + here * cell.pairs
            intercept /= trust + cell.pairs
            trust = min(trust + cell.pairs, POOLED_PAIRS)
        return cascade_policies.ScoreRegression(intercept, slope, deviation)

    def _drop_oldest(self) -> None:
        """Drops half of the organisations' cells, the oldest ones."""
        narrow = [
            group
            for group in self._cells_by_group
            if len(group) > MAX_SHARED_GROUP_KEYS
        ]
        for group in narrow[: len(narrow) // 2]:
            del self._cells_by_group[group]


def _groups(
    organisation: str, request_class: str, models: tuple[str, str]
) -> tuple[tuple[str, ...], ...]:
    """Lists the groups of a pair from the widest to the narrowest."""
    return (
        models,
        (*models, request_class),
        (*models, request_class, organisation),
    )
