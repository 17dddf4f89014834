"""Selects the model of requests that leave the choice to the gateway.

Large models take several times the time and cost of small ones, and small
ones are good enough for some of the requests. A small model is asked first;
the confidence that it reports with its answer decides whether the caller
gets that answer or a larger model is asked instead (a cascade).
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

#: Lowest confidence, 0 to 100, at which an answer is accepted while the
#: larger model is idle. At 50 an answer is as likely too weak as not; a weak
#: one is worth almost nothing, so that a cascade pays until the answer is
#: rather likely to be good.
MIN_IDLE_CONFIDENCE = 62
#: The same while the larger model could just begin in time: its capacity for
#: this answer would be taken from other requests.
MIN_BUSY_CONFIDENCE = 35
#: Prior of the acceptance rate: its weight in answers, and its value.
PRIOR_ANSWERS = 4.0
PRIOR_ACCEPTED = 0.5
#: Lowest weight of a new answer in the acceptance rate.
MIN_WEIGHT = 0.02
#: A small model is asked first only if the expected cost is lower by more
#: than this fraction, since each dropped answer also costs time.
MIN_SAVING = 0.1


class _Acceptance:
    """Moving average of the accepted answers of one model, 0 to 1."""

    __slots__ = ('answers', 'accepted')

    def __init__(self) -> None:
        self.answers = PRIOR_ANSWERS
        self.accepted = PRIOR_ACCEPTED


class ModelChoice(NamedTuple):
    """A model to ask.

    Args:
      model: The model.
      final: Whether its answer is accepted whatever its confidence.
    """

    model: str
    final: bool


class TierSelector:
    """Chooses models by cost and by the acceptance rate of their answers."""

    def __init__(self) -> None:
        self._acceptance_by_model: dict[str, _Acceptance] = {}

    def choose_first(
        self,
        tiers: Sequence[str],
        costs_by_model: Mapping[str, float],
        may_cascade: bool,
    ) -> ModelChoice:
        """Chooses the model to ask first.

        Args:
          tiers: Models that may answer, smallest first.
          costs_by_model: Cost of 1,000 generated tokens by model.
          may_cascade: Whether the answer may be dropped for a larger
            model's.
        Returns: The choice.
        """
        largest = tiers[-1]
        if not may_cascade or len(tiers) == 1:
            return ModelChoice(largest, True)
        largest_cost = costs_by_model.get(largest, 1.0)
        best, best_cost = largest, largest_cost * (1 - MIN_SAVING)
        for model in tiers[:-1]:
            drop_rate = 1 - self.accepted_share(model)
            cost = (
                costs_by_model.get(model, largest_cost)
                + drop_rate * largest_cost
            )
            if cost < best_cost:
                best, best_cost = model, cost
        return ModelChoice(best, best == largest)

    def accept_answer(
        self, model: str, confidence: int | None, pressure: float = 0.0
    ) -> bool:
        """Decides whether an answer is accepted, and records the decision.

        Args:
          model: The model that answered.
          confidence: Its confidence in the answer, 0 to 100; None if it
            reported none, which is accepted.
          pressure: How busy the larger model is: 0 if it could begin at
            once, 1 if it could just begin in time.
        Returns: Whether the caller gets the answer.
        """
        if confidence is None:
            return True
        reduction = (MIN_IDLE_CONFIDENCE - MIN_BUSY_CONFIDENCE) * min(
            1.0, pressure
        )
        accepted = confidence >= MIN_IDLE_CONFIDENCE - reduction
        acceptance = self._acceptance_by_model.setdefault(model, _Acceptance())
        acceptance.answers += 1
        weight = max(MIN_WEIGHT, 1 / acceptance.answers)
        acceptance.accepted += weight * (accepted - acceptance.accepted)
        return accepted

    def accepted_share(self, model: str) -> float:
        """Returns the fraction of a model's answers that was accepted."""
        acceptance = self._acceptance_by_model.get(model)
        return PRIOR_ACCEPTED if acceptance is None else acceptance.accepted
