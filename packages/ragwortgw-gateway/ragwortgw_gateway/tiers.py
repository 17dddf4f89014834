"""Chooses the model that answers where the caller leaves it open.

Load it answers: large models take several times the time and cost of
small ones, and small ones are strong enough for part of the requests. A
small model is asked first; what it thinks of its own answer decides
whether the caller gets it or a larger model is asked instead.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

#: Opinion of a model from which its answer is taken, of 100, while the
#: larger model has time. At 50 an answer is as likely too weak as not; a
#: weak one is worth almost nothing, so that asking again pays until it is
#: rather likely to be good.
MIN_IDLE_CONFIDENCE = 62
#: The same when the larger model could just begin in time: what it would
#: do for this answer is taken from others.
MIN_BUSY_CONFIDENCE = 35
#: Opinions seen before the share of accepted answers is trusted.
PRIOR_ANSWERS = 4.0
PRIOR_ACCEPTED = 0.5
#: Weight of a new opinion once there are many.
MIN_WEIGHT = 0.02
#: A small model is asked first only if that is cheaper on average by more
#: than this share: each answer that is dropped also costs time.
MIN_SAVING = 0.1


class _Opinions:
    __slots__ = ('answers', 'accepted')

    def __init__(self) -> None:
        self.answers = PRIOR_ANSWERS
        self.accepted = PRIOR_ACCEPTED


class ModelChoice(NamedTuple):
    """A model to ask; final tells that its answer is taken anyway."""

    model: str
    final: bool


class TierSelector:
    """Shares of accepted answers by model, learned from what came."""

    def __init__(self) -> None:
        self._opinions_by_model: dict[str, _Opinions] = {}

    def choose_first(
        self,
        tiers: Sequence[str],
        costs_by_model: Mapping[str, float],
        may_repeat: bool,
    ) -> ModelChoice:
        """Chooses the model to ask first.

        Args:
          tiers: Models that may answer, smallest first.
          costs_by_model: Cost of each.
          may_repeat: Whether a dropped answer may be asked for again.
        Returns: The choice.
        """
        largest = tiers[-1]
        if not may_repeat or len(tiers) == 1:
            return ModelChoice(largest, True)
        full = costs_by_model.get(largest, 1.0)
        best, best_cost = largest, full * (1 - MIN_SAVING)
        for model in tiers[:-1]:
            dropped = 1 - self.accepted_share(model)
            cost = costs_by_model.get(model, full) + dropped * full
            if cost < best_cost:
                best, best_cost = model, cost
        return ModelChoice(best, best == largest)

    def accept_answer(
        self, model: str, confidence: int | None, pressure: float = 0.0
    ) -> bool:
        """Judges an answer by the model's opinion, and learns from it.

        Args:
          model: The model that answered.
          confidence: Its opinion, None where it gave none.
          pressure: How busy the larger model is: 0 if it could begin at
            once, 1 if it could just begin in time.
        Returns: Whether the caller gets the answer.
        """
        if confidence is None:
            return True
        eased = (MIN_IDLE_CONFIDENCE - MIN_BUSY_CONFIDENCE) * min(
            1.0, pressure
        )
        accepted = confidence >= MIN_IDLE_CONFIDENCE - eased
        opinions = self._opinions_by_model.setdefault(model, _Opinions())
        opinions.answers += 1
        weight = max(MIN_WEIGHT, 1 / opinions.answers)
        opinions.accepted += weight * (accepted - opinions.accepted)
        return accepted

    def accepted_share(self, model: str) -> float:
        """Returns the share of a model's answers that was accepted."""
        opinions = self._opinions_by_model.get(model)
        return PRIOR_ACCEPTED if opinions is None else opinions.accepted
