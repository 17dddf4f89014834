"""What ratings have taught about models, by organisation and class."""

import array
from collections.abc import Sequence
import math
from typing import NamedTuple

from ragwortgw_core import cascade_policies
from ragwortgw_core import quality_targets
from ragwortgw_core import stage_scores

PRIOR_RATINGS = 4.0
#: How many ratings a wider group counts for at most in a narrower one.
POOLED_RATINGS = 12.0
PRIOR_DEVIATION = 0.2
#: A rating counts e times less after this many later ones.
MEMORY_RATINGS = 300.0
FAST_RATINGS = 20.0
DRIFT_DEVIATIONS = 4.0
RATINGS_AFTER_DRIFT = 10.0
HALF_LIFE_MS = 6 * 3_600_000
MAX_CELLS = 10_000
MEMORY_ANSWERS = 50.0
INITIAL_OUTPUT_TOKENS = 256.0
#: Groups of at most these keys hold no organisation.
SHARED_KEYS = 2


class Estimate(NamedTuple):
    """Expected rating of an answer.

    Args:
      mean: Expected score, 0..1.
      ratings: Number of ratings that it rests on, discounted.
      spread: Standard error of the mean.
    """

    mean: float
    ratings: float
    standard_error: float


class _Cell:
    """Discounted ratings of one group."""

    __slots__ = (
        'weights',
        'ratings',
        'total',
        'fast_mean',
        'fast_ratings',
        'seen_at_ms',
        'drifts',
    )

    def __init__(self) -> None:
        self.weights = array.array('d', bytes(8 * cascade_policies.BINS))
        self.ratings = 0.0
        self.total = 0.0
        self.fast_mean = 0.0
        self.fast_ratings = 0.0
        self.seen_at_ms = 0
        self.drifts = 0

    def observe(self, score: float, now_ms: int) -> None:
        self._scale((1 - 1 / MEMORY_RATINGS) * self._age_factor(now_ms))
        self.seen_at_ms = max(now_ms, self.seen_at_ms)
        self.ratings += 1
        self.total += score
        bin_index = min(
            int(score * cascade_policies.BINS), cascade_policies.BINS - 1
        )
        self.weights[bin_index] += 1
        self.fast_ratings = min(self.fast_ratings + 1, FAST_RATINGS)
        self.fast_mean += (score - self.fast_mean) / self.fast_ratings

    def effective_ratings(self, now_ms: int) -> float:
        return self.ratings * self._age_factor(now_ms)

    def mean(self) -> float:
        return self.total / self.ratings

    def drifted(self) -> bool:
        """Tells whether recent ratings differ from older ones."""
        if self.fast_ratings < FAST_RATINGS:
            return False
        if self.ratings < 2 * FAST_RATINGS:
            return False
        # An exponential mean over n values has the variance of 2n values.
        error = self._deviation() / math.sqrt(2 * FAST_RATINGS)
        return abs(self.fast_mean - self.mean()) > DRIFT_DEVIATIONS * error

    def forget(self) -> None:
        """Keeps only as much as recent ratings can replace soon."""
        if self.ratings > RATINGS_AFTER_DRIFT:
            self._scale(RATINGS_AFTER_DRIFT / self.ratings)
        self.drifts += 1

    def _scale(self, factor: float) -> None:
        self.ratings *= factor
        self.total *= factor
        for index, weight in enumerate(self.weights):
            self.weights[index] = weight * factor

    def _age_factor(self, now_ms: int) -> float:
        age_ms = max(now_ms - self.seen_at_ms, 0)
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
    """Ratings by model, class and organisation, pooled where few."""

    def __init__(self) -> None:
        self._cells_by_group: dict[tuple[str, ...], _Cell] = {}
        self._accounts_by_cascade: dict[
            tuple[str, str], quality_targets.TargetController
        ] = {}
        self._output_tokens_by_group: dict[tuple[str, str], float] = {}
        self.stage_scores = stage_scores.StageScoreEstimator()

    def record_output_tokens(
        self, request_class: str, model: str, output_tokens: int
    ) -> None:
        """Learns how long a model's answers are.

        Args:
          request_class: Class of the request.
          model: Id of the model that answered.
          output_tokens: Tokens of its answer.
        """
        group = (model, request_class)
        known = self._output_tokens_by_group.get(group, float(output_tokens))
        change = (output_tokens - known) / MEMORY_ANSWERS
        self._output_tokens_by_group[group] = known + change

    def output_tokens(self, request_class: str, model: str) -> float:
        """Gives the expected tokens of an answer."""
        group = (model, request_class)
        return self._output_tokens_by_group.get(group, INITIAL_OUTPUT_TOKENS)

    def controller(
        self, organisation: str, cascade: str
    ) -> quality_targets.TargetController:
        """Gives the account of an organisation's use of a cascade."""
        return self._accounts_by_cascade.setdefault(
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
        """Estimates the rating of a model's answer.

        Args:
          organisation: Id of the organisation.
          request_class: Class of the request.
          model: Id of the model.
          prior: Expected score without any rating, 0..1.
          now_ms: Unix ms.
        Returns: The estimate.
        """
        mean, ratings = prior, PRIOR_RATINGS
        for group in _groups(organisation, request_class, model):
            cell = self._cells_by_group.get(group)
            if cell is None:
                continue
            seen = cell.effective_ratings(now_ms)
            trust = min(ratings, POOLED_RATINGS)
            mean = (mean * trust + cell.mean() * seen) / (trust + seen)
            ratings = trust + seen
        return Estimate(mean, ratings, PRIOR_DEVIATION / math.sqrt(ratings))

    def weights(
        self,
        organisation: str,
        request_class: str,
        model: str,
        prior: float,
        now_ms: int,
    ) -> Sequence[float]:
        """Estimates the distribution of a model's ratings.

        Args:
          organisation: Id of the organisation.
          request_class: Class of the request.
          model: Id of the model.
          prior: Expected score without any rating, 0..1.
          now_ms: Unix ms.
        Returns: The probability of each of policies.BIN_SCORES.
        """
        weights = _prior_weights(prior)
        ratings = PRIOR_RATINGS
        for group in _groups(organisation, request_class, model):
            cell = self._cells_by_group.get(group)
            if cell is None:
                continue
            seen = cell.effective_ratings(now_ms)
            trust = min(ratings, POOLED_RATINGS)
            kept = trust / (trust + seen)
            added = (1 - kept) / cell.ratings
            weights = [
                old * kept + new * added
                for old, new in zip(weights, cell.weights)
            ]
            ratings = trust + seen
        return weights

    def observe(
        self,
        organisation: str,
        request_class: str,
        model: str,
        score: float,
        now_ms: int,
    ) -> None:
        """Learns from the rating of a model that was tried first.

        Args:
          organisation: Id of the organisation.
          request_class: Class of the request.
          model: Id of the model that answered.
          score: Rating, 0..1.
          now_ms: Unix ms.
        """
        score = min(max(score, 0.0), 1.0)
        drifts = 0
        if len(self._cells_by_group) >= MAX_CELLS:
            self._drop_idle()
        for group in _groups(organisation, request_class, model):
            cell = self._cells_by_group.setdefault(group, _Cell())
            if cell.drifts < drifts:
                cell.forget()
                cell.drifts = drifts
            cell.observe(score, now_ms)
            if cell.drifted():
                cell.forget()
            drifts = max(drifts, cell.drifts)

    def _drop_idle(self) -> None:
        """Drops those organisations' cells that were idle for longest."""
        narrow = sorted(
            (cell.seen_at_ms, group)
            for group, cell in self._cells_by_group.items()
            if len(group) > SHARED_KEYS
        )
        for _, group in narrow[: len(narrow) // 2]:
            del self._cells_by_group[group]


def _prior_weights(prior: float) -> list[float]:
    weights = [
        math.exp(-(((score - prior) / PRIOR_DEVIATION) ** 2) / 2)
        for score in cascade_policies.BIN_SCORES
    ]
    total = sum(weights)
    return [weight / total for weight in weights]


def _groups(
    organisation: str, request_class: str, model: str
) -> tuple[tuple[str, ...], ...]:
    """Lists the groups of a rating from the widest to the narrowest."""
    return (
        (model,),
        (model, request_class),
        (model, request_class, organisation),
    )
