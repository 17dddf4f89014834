"""Keeps the mean score of the final answers at a cascade's target.

Feedback control per organisation and cascade: a deficit of quality raises
the score that the next plans aim at, an excess lowers it. For each set of
usable models, the price of quality that reaches that score and the
policies at that price are cached and recomputed now and then.
"""

from collections.abc import Callable

from ragwortgw_core import cascade_policies

#: Requests over which a deficit or an excess of quality is compensated.
CORRECTION_REQUESTS = 100.0
MAX_CORRECTION = 0.1
#: Deficit that a controller begins with, in score units.
INITIAL_DEFICIT = 0.3
MAX_DEFICIT = 60.0
#: Requests after which an observation's weight has fallen to 1/e.
DECAY_REQUESTS = 200.0
#: The same for the bias of predictions.
BIAS_DECAY_REQUESTS = 60.0
#: Bounds of the number of requests between two refreshes of the policies.
REFRESH_REQUESTS = 50
MIN_REFRESH_REQUESTS = 5
#: Fraction of the expected cost that may be spent on exploration.
EXPLORE_COST_FRACTION = 0.02
MAX_POLICY_TABLES = 32
#: Bisection steps for the price, over the full range and near the last one.
INITIAL_PRICE_STEPS = 10
REFINE_PRICE_STEPS = 3
#: Factor around the last price within which it is refined.
PRICE_RANGE = 2.0
#: Bounds of the price of a unit of score, in multiples of the costliest
#: call.
MIN_PRICE_FACTOR = 0.02
MAX_PRICE_FACTOR = 200.0


class ClassDemand:
    """Recent demand of one class: its weight and mean prompt length."""

    __slots__ = ('weight', 'input_tokens')

    def __init__(self) -> None:
        self.weight = 0.0
        self.input_tokens = 0.0


class PolicyTable:
    """The price of quality and the policies for one set of usable models.

    policies_by_class is filled on demand after each change of the price.
    """

    __slots__ = ('price', 'refresh_at', 'policies_by_class')

    def __init__(self) -> None:
        self.price = 0.0
        self.refresh_at = 0
        self.policies_by_class: dict[
            str, tuple[cascade_policies.Policy, ...]
        ] = {}

    def update_price(
        self,
        wanted_score: float,
        highest_cost: float,
        score_at: Callable[[float], float],
    ) -> None:
        """Sets the lowest price of quality that reaches a mean score.

        The price is found by bisection on a logarithmic scale. Cached
        policies are dropped.

        Args:
          wanted_score: The mean score to reach, 0..1.
          highest_cost: Cost of the costliest call, micro-units.
          score_at: Returns the expected mean score at a price.
        """
        self.policies_by_class.clear()
        low = highest_cost * MIN_PRICE_FACTOR
        high = highest_cost * MAX_PRICE_FACTOR
        near_low = max(self.price / PRICE_RANGE, low)
        near_high = min(self.price * PRICE_RANGE, high)
        steps = INITIAL_PRICE_STEPS
        if self.price and score_at(near_low) < wanted_score <= score_at(
            near_high
        ):
            low, high = near_low, near_high
            steps = REFINE_PRICE_STEPS
        for _ in range(steps):
            middle = (low * high) ** 0.5
            if score_at(middle) >= wanted_score:
                high = middle
            else:
                low = middle
        self.price = high


class TargetController:
    """Controls quality and cost of an organisation's use of a cascade.

    deficit is the sum of the shortfalls of the delivered answers against
    the target, in score units; an excess is negative. missing_fraction is
    the recent fraction of answers without a rating in time, bias the mean
    error of the predicted scores.
    """

    def __init__(self) -> None:
        self.deficit = INITIAL_DEFICIT
        self.missing_fraction = 0.0
        self.bias = 0.0
        self.demand_by_class: dict[str, ClassDemand] = {}
        self._tables_by_models: dict[tuple[str, ...], PolicyTable] = {}
        self._recorded_answers = 0
        self._cost_micros = 0.0
        self._explored_micros = 0.0

    def record_request(self, request_class: str, input_tokens: int) -> None:
        """Adds a request to the recent mix of classes.

        Args:
          request_class: Class of the request.
          input_tokens: Tokens of its prompt.
        """
        for demand in self.demand_by_class.values():
            demand.weight *= 1 - 1 / DECAY_REQUESTS
        demand = self.demand_by_class.setdefault(request_class, ClassDemand())
        demand.weight += 1
        change = (input_tokens - demand.input_tokens) / min(demand.weight, 50)
        demand.input_tokens += change if demand.weight > 1 else input_tokens
        demand.input_tokens = max(demand.input_tokens, 1.0)

    def policy_table(self, models: tuple[str, ...]) -> PolicyTable:
        """Returns the policy table of a set of usable models."""
        if models not in self._tables_by_models:
            if len(self._tables_by_models) >= MAX_POLICY_TABLES:
                self._tables_by_models.clear()
            self._tables_by_models[models] = PolicyTable()
        return self._tables_by_models[models]

    def claim_refresh(self, policy_table: PolicyTable) -> bool:
        """Returns whether a table is due for a refresh; schedules the next.

        The interval grows with the number of answers recorded so far.
        """
        if self._recorded_answers < policy_table.refresh_at:
            return False
        interval = min(
            MIN_REFRESH_REQUESTS + self._recorded_answers // 10,
            REFRESH_REQUESTS,
        )
        policy_table.refresh_at = self._recorded_answers + interval
        return True

    def target_offset(self) -> float:
        """Returns how far above the target to aim, given the deficit."""
        offset = self.deficit / CORRECTION_REQUESTS
        return min(max(offset, -MAX_CORRECTION), MAX_CORRECTION)

    def record_answer(self, shortfall: float, rated: bool) -> None:
        """Records a final answer.

        Args:
          shortfall: Target minus its score, or minus the expected one.
          rated: Whether the rating arrived in time.
        """
        self._recorded_answers += 1
        self.adjust_deficit(shortfall)
        self.missing_fraction += (
            (not rated) - self.missing_fraction
        ) / DECAY_REQUESTS

    def record_prediction_error(self, error: float) -> None:
        """Records the prediction error of a first answer's score.

        Args:
          error: Score minus the expected one.
        """
        self.bias += (error - self.bias) / BIAS_DECAY_REQUESTS

    def adjust_deficit(self, shortfall: float) -> None:
        """Adds a shortfall, or the correction by a late rating."""
        self.deficit = min(
            max(self.deficit + shortfall, -MAX_DEFICIT), MAX_DEFICIT
        )

    def record_expected_cost(self, cost_micros: float) -> None:
        """Adds a request's expected cost to the base of the budget."""
        self._cost_micros += cost_micros

    def try_explore(self, extra_micros: float) -> bool:
        """Charges the exploration budget, unless it would be exceeded.

        Args:
          extra_micros: Expected cost beyond the best plan's, micro-units.
        Returns: Whether the request may explore.
        """
        explored_micros = self._explored_micros + max(extra_micros, 0.0)
        if explored_micros > EXPLORE_COST_FRACTION * self._cost_micros:
            return False
        self._explored_micros = explored_micros
        return True
