"""Optimal stopping over the stages of a cascade, at a price of quality.

A stage's answer is accepted when its score is worth more than what
escalating is expected to gain, net of its cost, at a price in micro-units
of currency per unit of score. Raising the price raises the expected score
and the expected cost. Solved by backward induction from the last stage.
"""

import bisect
from collections.abc import Sequence
import math
from typing import NamedTuple

#: Bins of the distribution of a score, with the score at each one's middle.
BINS = 16
BIN_SCORES = tuple((index + 0.5) / BINS for index in range(BINS))
#: Steps between the scores (GRID) at which outcomes are tabulated.
GRID_STEPS = 10
#: Bound, in standard deviations from the mean, below which the mean of a
#: truncated normal variable is approximated by the bound itself.
MIN_STANDARD_BOUND = -5.0
GRID = tuple(index / GRID_STEPS for index in range(GRID_STEPS + 1))
#: Points and weights of three-point Gauss-Hermite quadrature: they match
#: the moments of a standard normal variable.
NORMAL_POINTS = ((-1.7320508, 1 / 6), (0.0, 2 / 3), (1.7320508, 1 / 6))


class ScoreRegression(NamedTuple):
    """Linear regression of a later stage's score on an earlier one's.

    Args:
      intercept: Expected score when the earlier score is 0.
      slope: Increase per unit of the earlier score.
      deviation: Standard deviation of the residuals.
    """

    intercept: float
    slope: float
    deviation: float


class Stage(NamedTuple):
    """One stage of a cascade for one class of requests.

    Args:
      cost: Cost of a call, micro-units.
      probabilities: Probability of each of BIN_SCORES if it is tried first.
      mean: Expected score if it is tried first.
      regressions: Regression of each later stage's score on this one's, in
        the order of the stages.
    """

    cost: float
    probabilities: Sequence[float]
    mean: float
    regressions: Sequence[ScoreRegression]


class ExpectedOutcome(NamedTuple):
    """Expected score (0..1) and cost (micro-units) of a course of action."""

    score: float
    cost: float


class Policy(NamedTuple):
    """The optimal policy for requests that begin with a given stage.

    Args:
      path: Indices of the stages to try, in order.
      thresholds: Lowest score to accept, by element of path.
      scores: Expected score of each element of path, given that the
        earlier ones were not accepted.
      outcome: Expected score and total cost.
      value: Value of the outcome at the price, net of its cost.
    """

    path: tuple[int, ...]
    thresholds: tuple[float, ...]
    scores: tuple[float, ...]
    outcome: ExpectedOutcome
    value: float


class _Escalation(NamedTuple):
    """The best escalation from a stage, by the score of its answer.

    Args:
      next_stage: Index of the stage to escalate to.
      threshold: Lowest score at which the answer is accepted instead.
      scores: Expected score after escalating, at each point of GRID. The
        last value is repeated, so that each point has a next one.
      costs: Expected further cost, likewise.
    """

    next_stage: int
    threshold: float
    scores: list[float]
    costs: list[float]


def solve(
    stages: Sequence[Stage], price: float, missing_fraction: float
) -> tuple[Policy, ...]:
    """Finds the optimal policy for each stage to begin with.

    Args:
      stages: Stages from cheap to costly.
      price: Micro-units of currency that a unit of score is worth.
      missing_fraction: Fraction of the answers that are evaluated without
        a rating, by their expected score, 0..1.
    Returns: One policy for each stage, in their order.
    """
    escalations: list[_Escalation | None] = [None] * len(stages)
    for index in range(len(stages) - 2, -1, -1):
        escalations[index] = _find_escalation(
            stages, escalations, index, price, missing_fraction
        )
    return tuple(
        _build_policy(stages, escalations, index, price, missing_fraction)
        for index in range(len(stages))
    )


def _find_escalation(
    stages: Sequence[Stage],
    escalations: Sequence[_Escalation | None],
    index: int,
    price: float,
    missing_fraction: float,
) -> _Escalation:
    """Chooses the stage to escalate to from a stage, and the threshold."""
    best = None
    best_gain = -1.0
    for offset, regression in enumerate(stages[index].regressions):
        later = index + 1 + offset
        outcomes = [
            _outcome_after(
                stages[later],
                escalations[later],
                regression,
                score,
                missing_fraction,
            )
            for score in GRID
        ]
        outcomes.append(outcomes[-1])
        scores = [outcome.score for outcome in outcomes]
        costs = [outcome.cost for outcome in outcomes]
        escalation = _Escalation(
            later, _find_threshold(outcomes, price), scores, costs
        )
        gain = _mean_gain(stages[index], escalation, price)
        if gain > best_gain:
            best_gain = gain
            best = escalation
    assert best is not None
    return best


def _outcome_after(
    stage: Stage,
    escalation: _Escalation | None,
    regression: ScoreRegression,
    earlier_score: float,
    missing_fraction: float,
) -> ExpectedOutcome:
    """Returns the expected outcome of trying a stage after another.

    Args:
      stage: The stage to try.
      escalation: The best escalation from it; None at the last stage.
      regression: Regression of its score on the earlier one.
      earlier_score: Score of the earlier stage's answer.
      missing_fraction: As in solve().
    Returns: Expected final score, and cost from this stage on.
    """
    mean = min(
        max(regression.intercept + regression.slope * earlier_score, 0.0), 1.0
    )
    total_score = 0.0
    total_cost = stage.cost
    for point, weight in NORMAL_POINTS:
        score = min(max(mean + point * regression.deviation, 0.0), 1.0)
        if escalation is not None and score < escalation.threshold:
            next_score, next_cost = _interpolate(escalation, score)
            total_score += weight * next_score
            total_cost += weight * next_cost
        else:
            total_score += weight * score
    rated = ExpectedOutcome(total_score, total_cost)
    if not missing_fraction or escalation is None:
        return rated
    return _mix(
        rated, _unrated_outcome(stage.cost, mean, escalation), missing_fraction
    )


def _mix(
    rated: ExpectedOutcome, unrated: ExpectedOutcome, missing_fraction: float
) -> ExpectedOutcome:
    """Weighs the outcomes with and without a rating."""
    return ExpectedOutcome(
        rated.score + missing_fraction * (unrated.score - rated.score),
        rated.cost + missing_fraction * (unrated.cost - rated.cost),
    )


def _interpolate(escalation: _Escalation, score: float) -> tuple[float, float]:
    """Returns expected score and further cost of escalating at a score."""
    position = score * GRID_STEPS
    low = int(position)
    fraction = position - low
    scores, costs = escalation.scores, escalation.costs
    return (
        scores[low] + fraction * (scores[low + 1] - scores[low]),
        costs[low] + fraction * (costs[low + 1] - costs[low]),
    )


def _mean_gain(stage: Stage, escalation: _Escalation, price: float) -> float:
    """Returns the mean gain of escalating over accepting every answer."""
    total = 0.0
    for score, weight in zip(BIN_SCORES, stage.probabilities):
        if score >= escalation.threshold:
            break
        next_score, next_cost = _interpolate(escalation, score)
        total += weight * (price * (next_score - score) - next_cost)
    return total


def _find_threshold(
    outcomes: Sequence[ExpectedOutcome], price: float
) -> float:
    """Returns the lowest score at which accepting is worth more.

    Args:
      outcomes: Expected outcome of escalating, at each point of GRID.
      price: Micro-units of currency that a unit of score is worth.
    Returns: The score, interpolated; 0 when escalating never gains.
    """
    gains = [
        price * (outcome.score - score) - outcome.cost
        for score, outcome in zip(GRID, outcomes)
    ]
    for index in range(GRID_STEPS, -1, -1):
        if gains[index] <= 0:
            continue
        if index == GRID_STEPS:
            return 1.0
        fraction = gains[index] / (gains[index] - gains[index + 1])
        return (index + fraction) / GRID_STEPS
    return 0.0


def _build_policy(
    stages: Sequence[Stage],
    escalations: Sequence[_Escalation | None],
    start: int,
    price: float,
    missing_fraction: float,
) -> Policy:
    stage = stages[start]
    escalation = escalations[start]
    rated = _rated_outcome(stage, escalation)
    if escalation is not None and missing_fraction > 0:
        unrated = _unrated_outcome(stage.cost, stage.mean, escalation)
        rated = _mix(rated, unrated, missing_fraction)
    path, thresholds, scores = _follow_path(stages, escalations, start)
    value = price * rated.score - rated.cost
    return Policy(path, thresholds, scores, rated, value)


def _rated_outcome(
    stage: Stage, escalation: _Escalation | None
) -> ExpectedOutcome:
    """Returns the expected outcome of a first stage that gets a rating."""
    if escalation is None:
        return ExpectedOutcome(stage.mean, stage.cost)
    total_score = 0.0
    total_cost = stage.cost
    for score, weight in zip(BIN_SCORES, stage.probabilities):
        if score >= escalation.threshold:
            total_score += weight * score
            continue
        next_score, next_cost = _interpolate(escalation, score)
        total_score += weight * next_score
        total_cost += weight * next_cost
    return ExpectedOutcome(total_score, total_cost)


def _unrated_outcome(
    cost: float, mean: float, escalation: _Escalation
) -> ExpectedOutcome:
    """Returns the expected outcome of a stage that gets no rating.

    Its answer is accepted or not by its expected score.
    """
    if mean >= escalation.threshold:
        return ExpectedOutcome(mean, cost)
    next_score, next_cost = _interpolate(escalation, mean)
    return ExpectedOutcome(next_score, cost + next_cost)


def _follow_path(
    stages: Sequence[Stage],
    escalations: Sequence[_Escalation | None],
    start: int,
) -> tuple[tuple[int, ...], tuple[float, ...], tuple[float, ...]]:
    """Follows the escalations from a first stage to the last one.

    Returns: The indices of the stages, their thresholds, and their
      expected scores given that the answers before were not accepted.
    """
    path = [start]
    thresholds = []
    scores = [stages[start].mean]
    rejected_mean = _mean_below(stages[start], escalations[start])
    escalation = escalations[start]
    while escalation is not None:
        thresholds.append(escalation.threshold)
        regression = stages[path[-1]].regressions[
            escalation.next_stage - path[-1] - 1
        ]
        mean = min(
            max(regression.intercept + regression.slope * rejected_mean, 0.0),
            1.0,
        )
        path.append(escalation.next_stage)
        scores.append(mean)
        escalation = escalations[escalation.next_stage]
        if escalation is not None:
            rejected_mean = _normal_below(
                mean, regression.deviation, escalation.threshold
            )
    return tuple(path), (*thresholds, 0.0), tuple(scores)


def _normal_below(mean: float, deviation: float, bound: float) -> float:
    """Returns the mean of a normal variable truncated above at a bound."""
    standard = (bound - mean) / deviation
    if standard < MIN_STANDARD_BOUND:
        return bound
    density = math.exp(-standard * standard / 2) / math.sqrt(2 * math.pi)
    probability = (1 + math.erf(standard / math.sqrt(2))) / 2
    return mean - deviation * density / probability


def _mean_below(stage: Stage, escalation: _Escalation | None) -> float:
    """Returns the mean of the scores of a first stage below the threshold."""
    if escalation is None:
        return stage.mean
    end = bisect.bisect_left(BIN_SCORES, escalation.threshold)
    total = sum(stage.probabilities[:end])
    if total <= 0:
        return min(stage.mean, escalation.threshold)
    pairs = zip(BIN_SCORES[:end], stage.probabilities)
    return sum(score * weight for score, weight in pairs) / total
