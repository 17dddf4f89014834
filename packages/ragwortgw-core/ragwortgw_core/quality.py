"""Estimates answer quality from ratings, by model, class, organisation.

Ratings are discounted by age and by the number of later ones. A group
with few ratings borrows from the wider groups that contain it (shrinkage):
organisation and class from the class, the class from the model.
"""

import array
from collections.abc import Sequence
import math
from typing import NamedTuple

from ragwortgw_core import cascade_policies
from ragwortgw_core import quality_targets
from ragwortgw_core import stage_scores

#: Number of ratings that a model's configured prior counts for.
PRIOR_RATINGS = 4.0
#: The most ratings that a wider group counts for in a narrower one.
MAX_POOLED_RATINGS = 12.0
PRIOR_DEVIATION = 0.2
#: Later ratings after which a rating's weight has fallen to 1/e.
DECAY_RATINGS = 300.0
#: Window of the moving average that is compared to detect drift, ratings.
RECENT_RATINGS = 20.0
#: Standard errors by which the averages differ when drift is assumed.
DRIFT_DEVIATIONS = 4.0
#: Total weight of the ratings that are kept after drift.
RATINGS_AFTER_DRIFT = 10.0
#: Time after which a rating's weight has halved.
HALF_LIFE_MS = 6 * 3_600_000
MAX_CELLS = 10_000
#: Answers after which an observed answer length's weight has fallen to 1/e.
DECAY_ANSWERS = 50.0
#: Length of an answer to assume before the first one.
INITIAL_OUTPUT_TOKENS = 256.0
#: Groups of at most this many keys are not specific to an organisation.
MAX_SHARED_GROUP_KEYS = 2


class Estimate(NamedTuple):
    """Estimated score of an answer.

    Args:
      mean: Expected score, 0..1.
      ratings: Discounted number of ratings that it is based on.
      standard_error: Standard error of the mean.
    """

    mean: float
    ratings: float
    standard_error: float


class _Cell:
    """Discounted rating statistics of one group.

    weights is a histogram over the score bins, recent_mean a moving average
    over the last RECENT_RATINGS ratings, to detect drift. drift_count is
    the number of drifts that were detected.
    """

    __slots__ = (
        'weights',
        'ratings',
        'total',
        'recent_mean',
        'recent_ratings',
        'observed_at_ms',
        'drift_count',
    )

    def __init__(self) -> None:
        self.weights = array.array('d', bytes(8 * cascade_policies.BINS))
        self.ratings = 0.0
        self.total = 0.0
        self.recent_mean = 0.0
        self.recent_ratings = 0.0
        self.observed_at_ms = 0
        self.drift_count = 0

    def observe(self, score: float, now_ms: int) -> None:
        self._scale((1 - 1 / DECAY_RATINGS) * self._age_factor(now_ms))
        self.observed_at_ms = max(now_ms, self.observed_at_ms)
        self.ratings += 1
        self.total += score
        bin_index = min(
            int(score * cascade_policies.BINS), cascade_policies.BINS - 1
        )
        self.weights[bin_index] += 1
        self.recent_ratings = min(self.recent_ratings + 1, RECENT_RATINGS)
        self.recent_mean += (score - self.recent_mean) / self.recent_ratings

    def effective_ratings(self, now_ms: int) -> float:
        return self.ratings * self._age_factor(now_ms)

    def mean(self) -> float:
        return self.total / self.ratings

    def drifted(self) -> bool:
        """Returns whether the recent ratings differ from the older ones."""
        if self.recent_ratings < RECENT_RATINGS:
            return False
        if self.ratings < 2 * RECENT_RATINGS:
            return False
        # An exponentially weighted mean with a window of n values has the
        # variance of a plain mean over 2n values.
        error = self._deviation() / math.sqrt(2 * RECENT_RATINGS)
        return abs(self.recent_mean - self.mean()) > DRIFT_DEVIATIONS * error

    def forget(self) -> None:
        """Reduces the weight of all ratings, so that new ones dominate."""
        if self.ratings > RATINGS_AFTER_DRIFT:
            self._scale(RATINGS_AFTER_DRIFT / self.ratings)
        self.drift_count += 1

    def _scale(self, factor: float) -> None:
        self.ratings *= factor
        self.total *= factor
        for index, weight in enumerate(self.weights):
            self.weights[index] = weight * factor

    def _age_factor(self, now_ms: int) -> float:
        age_ms = max(now_ms - self.observed_at_ms, 0)
        return 0.5 ** (age_ms / HALF_LIFE_MS)

    def _deviation(self) -> float:
        mean = self.mean()
        squares = sum(
            weight * (score - mean) ** 2
            for weight, score in zip(self.weights, cascade_policies.BIN_SCORES)
        )
        return max(
            math.sqrt(squares / self.ratings), 1 / cascade_policies.BINS
        )


class QualityEstimator:
    """Estimates scores and answer lengths of models from observed answers.

    Also holds the controller of each organisation's use of a cascade, and
    the statistics of scores of consecutive stages.
    """

    def __init__(self) -> None:
        self._cells_by_group: dict[tuple[str, ...], _Cell] = {}
        self._controllers_by_cascade: dict[
            tuple[str, str], quality_targets.TargetController
        ] = {}
        self._output_tokens_by_group: dict[tuple[str, str], float] = {}
        self.stage_scores = stage_scores.StageScoreEstimator()

    def record_output_tokens(
        self, request_class: str, model: str, output_tokens: int
    ) -> None:
        """Records the length of an answer.

        Args:
          request_class: Class of the request.
          model: Id of the model that answered.
          output_tokens: Tokens of its answer.
        """
        group = (model, request_class)
        mean = self._output_tokens_by_group.get(group, float(output_tokens))
        change = (output_tokens - mean) / DECAY_ANSWERS
        self._output_tokens_by_group[group] = mean + change

    def output_tokens(self, request_class: str, model: str) -> float:
        """Returns the expected number of tokens of an answer."""
        group = (model, request_class)
        return self._output_tokens_by_group.get(group, INITIAL_OUTPUT_TOKENS)

    def controller(
        self, organisation: str, cascade: str
    ) -> quality_targets.TargetController:
        """Returns the controller of an organisation's use of a cascade."""
        return self._controllers_by_cascade.setdefault(
            (organisation, cascade), quality_targets.TargetController()
        )

    def estimate_score(
        self,
        organisation: str,
        request_class: str,
        model: str,
        prior: float,
        now_ms: int,
    ) -> Estimate:
        """Estimates the score of a model's answer.

        Args:
          organisation: Id of the organisation.
          request_class: Class of the request.
          model: Id of the model.
          prior: Expected score before any rating, 0..1.
          now_ms: Unix ms.
        Returns: The estimate.
        """
        mean, ratings = prior, PRIOR_RATINGS
        for group in _groups(organisation, request_class, model):
            cell = self._cells_by_group.get(group)
            if cell is None:
                continue
            observed = cell.effective_ratings(now_ms)
            pooled = min(ratings, MAX_POOLED_RATINGS)
            mean = (mean * pooled + cell.mean() * observed) / (
                pooled + observed
            )
            ratings = pooled + observed
        return Estimate(mean, ratings, PRIOR_DEVIATION / math.sqrt(ratings))

    def score_distribution(
        self,
        organisation: str,
        request_class: str,
        model: str,
        prior: float,
        now_ms: int,
    ) -> Sequence[float]:
        """Estimates the distribution of the scores of a model's answers.

        Args:
          organisation: Id of the organisation.
          request_class: Class of the request.
          model: Id of the model.
          prior: Expected score before any rating, 0..1.
          now_ms: Unix ms.
        Returns: The probability of each of cascade_policies.BIN_SCORES.
        """
        distribution = _prior_distribution(prior)
        ratings = PRIOR_RATINGS
        for group in _groups(organisation, request_class, model):
            cell = self._cells_by_group.get(group)
            if cell is None:
                continue
            observed = cell.effective_ratings(now_ms)
            pooled = min(ratings, MAX_POOLED_RATINGS)
            pooled_factor = pooled / (pooled + observed)
            observed_factor = (1 - pooled_factor) / cell.ratings
            distribution = [
                old * pooled_factor + new * observed_factor
                for old, new in zip(distribution, cell.weights)
            ]
            ratings = pooled + observed
        return distribution

    def observe(
        self,
        organisation: str,
        request_class: str,
        model: str,
        score: float,
        now_ms: int,
    ) -> None:
        """Records the rating of a model that was tried first.

        A drift that a wider group detects resets the narrower ones, too.

        Args:
          organisation: Id of the organisation.
          request_class: Class of the request.
          model: Id of the model that answered.
          score: Rating, 0..1; clamped to that range.
          now_ms: Unix ms.
        """
        score = min(max(score, 0.0), 1.0)
        drift_count = 0
        if len(self._cells_by_group) >= MAX_CELLS:
            self._drop_idle()
        for group in _groups(organisation, request_class, model):
            cell = self._cells_by_group.setdefault(group, _Cell())
            if cell.drift_count < drift_count:
                cell.forget()
                cell.drift_count = drift_count
            cell.observe(score, now_ms)
            if cell.drifted():
                cell.forget()
            drift_count = max(drift_count, cell.drift_count)

    def _drop_idle(self) -> None:
        """Drops the older half of the cells specific to an organisation."""
        candidates = sorted(
            (cell.observed_at_ms, group)
            for group, cell in self._cells_by_group.items()
            if len(group) > MAX_SHARED_GROUP_KEYS
        )
        for _, group in candidates[: len(candidates) // 2]:
            del self._cells_by_group[group]


def _prior_distribution(prior: float) -> list[float]:
    """Returns the bin probabilities of a normal distribution at the prior."""
    weights = [
        math.exp(-(((score - prior) / PRIOR_DEVIATION) ** 2) / 2)
        for score in cascade_policies.BIN_SCORES
    ]
    total = sum(weights)
    return [weight / total for weight in weights]


def _groups(
    organisation: str, request_class: str, model: str
) -> tuple[tuple[str, ...], ...]:
    """Returns the groups of a rating, from the widest to the narrowest."""
    return (
        (model,),
        (model, request_class),
        (model, request_class, organisation),
    )
