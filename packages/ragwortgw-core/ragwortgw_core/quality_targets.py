"""Keeps the mean rating of final answers at a cascade's target."""

from collections.abc import Callable

from ragwortgw_core import cascade_policies

#: Requests over which an excess or a lack of quality is made up.
REPAY_REQUESTS = 100.0
MAX_CORRECTION = 0.1
#: Lack of quality that an account begins with, in score units.
INITIAL_DEBT = 0.3
MAX_DEBT = 60.0
MEMORY_REQUESTS = 200.0
BIAS_REQUESTS = 60.0
REFRESH_REQUESTS = 50
MIN_REFRESH_REQUESTS = 5
EXPLORE_COST_SHARE = 0.02
MAX_MARKETS = 32
FIRST_PRICE_STEPS = 10
NEXT_PRICE_STEPS = 3
PRICE_RANGE = 2.0
#: Prices of a unit of score, in multiples of the costliest call.
LOWEST_PRICE = 0.02
HIGHEST_PRICE = 200.0


class ClassDemand:
    """What the requests of one class asked for of late."""

    __slots__ = ('weight', 'input_tokens')

    def __init__(self) -> None:
        self.weight = 0.0
        self.input_tokens = 0.0


class PolicyTable:
    """Price of quality and policies for one set of usable models."""

    __slots__ = ('price', 'refresh_at', 'policies_by_class')

    def __init__(self) -> None:
        self.price = 0.0
        self.refresh_at = 0
        self.policies_by_class: dict[
            str, tuple[cascade_policies.Policy, ...]
        ] = {}

    def update_price(
        self,
        wanted: float,
        highest_cost: float,
        score_at: Callable[[float], float],
    ) -> None:
        """Finds the lowest price of quality that gives a mean score.

        Args:
          wanted: The mean score, 0..1.
          highest_cost: Cost of the costliest call, micro-units.
          score_at: Gives the expected mean score at a price.
        """
        self.policies_by_class.clear()
        low = highest_cost * LOWEST_PRICE
        high = highest_cost * HIGHEST_PRICE
        near_low = max(self.price / PRICE_RANGE, low)
        near_high = min(self.price * PRICE_RANGE, high)
        steps = FIRST_PRICE_STEPS
        if self.price and score_at(near_low) < wanted <= score_at(near_high):
            low, high = near_low, near_high
            steps = NEXT_PRICE_STEPS
        for _ in range(steps):
            middle = (low * high) ** 0.5
            if score_at(middle) >= wanted:
                high = middle
            else:
                low = middle
        self.price = high


class TargetController:
    """Quality and cost of one organisation's use of one cascade."""

    def __init__(self) -> None:
        self.deficit = INITIAL_DEBT
        self.missing_fraction = 0.0
        self.bias = 0.0
        self.demand_by_class: dict[str, ClassDemand] = {}
        self._markets_by_models: dict[tuple[str, ...], PolicyTable] = {}
        self._settled = 0
        self._cost_micros = 0.0
        self._explored_micros = 0.0

    def record_request(self, request_class: str, input_tokens: int) -> None:
        """Counts a request into the mix of classes.

        Args:
          request_class: Class of the request.
          input_tokens: Tokens of its prompt.
        """
        for needs in self.demand_by_class.values():
            needs.weight *= 1 - 1 / MEMORY_REQUESTS
        needs = self.demand_by_class.setdefault(request_class, ClassDemand())
        needs.weight += 1
        change = (input_tokens - needs.input_tokens) / min(needs.weight, 50)
        needs.input_tokens += change if needs.weight > 1 else input_tokens
        needs.input_tokens = max(needs.input_tokens, 1.0)

    def policy_table(self, models: tuple[str, ...]) -> PolicyTable:
        """Gives the market of the usable models."""
        if models not in self._markets_by_models:
            if len(self._markets_by_models) >= MAX_MARKETS:
                self._markets_by_models.clear()
            self._markets_by_models[models] = PolicyTable()
        return self._markets_by_models[models]

    def claim_refresh(self, policy_table: PolicyTable) -> bool:
        """Tells whether a market is to be worked out anew, once."""
        if self._settled < policy_table.refresh_at:
            return False
        wait = min(
            MIN_REFRESH_REQUESTS + self._settled // 10, REFRESH_REQUESTS
        )
        policy_table.refresh_at = self._settled + wait
        return True

    def target_offset(self) -> float:
        """Gives how far above the target to aim, to make up a lack."""
        wanted = self.deficit / REPAY_REQUESTS
        return min(max(wanted, -MAX_CORRECTION), MAX_CORRECTION)

    def record_answer(self, lack: float, rated: bool) -> None:
        """Books a final answer.

        Args:
          lack: Target minus its score, or minus the expected one.
          rated: Whether the rating came in time.
        """
        self._settled += 1
        self.adjust_deficit(lack)
        self.missing_fraction += (
            (not rated) - self.missing_fraction
        ) / MEMORY_REQUESTS

    def record_prediction_error(self, surprise: float) -> None:
        """Learns by how much first answers differ from what is expected.

        Args:
          surprise: Score minus the expected one.
        """
        self.bias += (surprise - self.bias) / BIAS_REQUESTS

    def adjust_deficit(self, lack: float) -> None:
        """Corrects the debt once a late rating has come."""
        self.deficit = min(max(self.deficit + lack, -MAX_DEBT), MAX_DEBT)

    def record_expected_cost(self, cost_micros: float) -> None:
        """Counts the expected cost of a request."""
        self._cost_micros += cost_micros

    def try_explore(self, extra_micros: float) -> bool:
        """Takes from the exploration budget, unless that is spent.

        Args:
          extra_micros: Expected cost beyond the best plan's, micro-units.
        Returns: Whether the request may explore.
        """
        wanted = self._explored_micros + max(extra_micros, 0.0)
        if wanted > EXPLORE_COST_SHARE * self._cost_micros:
            return False
        self._explored_micros = wanted
        return True
