"""Optimal stopping over the stages of a cascade, at a price of quality.

A stage's answer is accepted when its score is worth more than what going
on is expected to bring, at a price in micro-units of currency per unit of
score. Raising the price raises the expected score and the expected cost.
"""

import bisect
from collections.abc import Sequence
import math
from typing import NamedTuple

BINS = 16
BIN_SCORES = tuple((index + 0.5) / BINS for index in range(BINS))
GRID_STEPS = 10
MIN_STANDARD_BOUND = -5.0
GRID = tuple(index / GRID_STEPS for index in range(GRID_STEPS + 1))
#: Three points and weights that match the moments of a normal variable.
NORMAL_POINTS = ((-1.7320508, 1 / 6), (0.0, 2 / 3), (1.7320508, 1 / 6))


class ScoreRegression(NamedTuple):
    """Score of a later stage, given that of an earlier one.

    Args:
      intercept: Expected score where the earlier one is 0.
      slope: Its growth per unit of the earlier score.
      deviation: Standard deviation around the line.
    """

    intercept: float
    slope: float
    deviation: float


class Stage(NamedTuple):
    """One stage of a cascade for one class of requests.

    Args:
      cost: Cost of a call, micro-units.
      weights: Probability of each of BIN_SCORES when it is tried first.
      mean: Expected score when it is tried first.
      lines: Lines towards the later stages, in their order.
    """

    cost: float
    probabilities: Sequence[float]
    mean: float
    regressions: Sequence[ScoreRegression]


class ExpectedOutcome(NamedTuple):
    """Expected score and cost of a way to go on."""

    score: float
    cost: float


class Policy(NamedTuple):
    """How to treat a request that begins with one stage.

    Args:
      path: Indices of the stages to try, in order.
      thresholds: Lowest score to accept, by element of path.
      scores: Expected score of each element of path, given that the
        earlier ones were not accepted.
      prospect: Expected score and cost of the whole.
      value: Worth of the prospect at the price.
    """

    path: tuple[int, ...]
    thresholds: tuple[float, ...]
    scores: tuple[float, ...]
    outcome: ExpectedOutcome
    value: float


class _Onward(NamedTuple):
    """Best way to go on from a stage, by score of its answer on GRID.

    scores and costs repeat their last value, so that each point of GRID
    has a next one.
    """

    next: int
    threshold: float
    scores: list[float]
    costs: list[float]


def solve(
    stages: Sequence[Stage], price: float, missing_fraction: float
) -> tuple[Policy, ...]:
    """Finds the best policy for each stage to begin with.

    Args:
      stages: Stages from cheap to costly.
      price: Micro-units of currency that a unit of score is worth.
      missing: Share of the ratings that are missing when judged.
    Returns: One policy for each stage, in their order.
    """
    onwards: list[_Onward | None] = [None] * len(stages)
    for index in range(len(stages) - 2, -1, -1):
        onwards[index] = _onward(
            stages, onwards, index, price, missing_fraction
        )
    return tuple(
        _policy(stages, onwards, index, price, missing_fraction)
        for index in range(len(stages))
    )


def _onward(
    stages: Sequence[Stage],
    onwards: Sequence[_Onward | None],
    index: int,
    price: float,
    missing_fraction: float,
) -> _Onward:
    """Chooses the stage that follows one, and the threshold between."""
    best = None
    best_gain = -1.0
    for offset, line in enumerate(stages[index].regressions):
        later = index + 1 + offset
        prospects = [
            _prospect_after(
                stages[later], onwards[later], line, score, missing_fraction
            )
            for score in GRID
        ]
        prospects.append(prospects[-1])
        scores = [prospect.score for prospect in prospects]
        costs = [prospect.cost for prospect in prospects]
        onward = _Onward(later, _threshold(prospects, price), scores, costs)
        gain = _mean_gain(stages[index], onward, price)
        if gain > best_gain:
            best_gain = gain
            best = onward
    assert best is not None
    return best


def _prospect_after(
    stage: Stage,
    onward: _Onward | None,
    line: ScoreRegression,
    earlier: float,
    missing_fraction: float,
) -> ExpectedOutcome:
    """Gives the prospect of trying a stage after an earlier score."""
    mean = min(max(line.intercept + line.slope * earlier, 0.0), 1.0)
    total_score = 0.0
    total_cost = stage.cost
    for point, weight in NORMAL_POINTS:
        score = min(max(mean + point * line.deviation, 0.0), 1.0)
        if onward is not None and score < onward.threshold:
            further_score, further_cost = _at(onward, score)
            total_score += weight * further_score
            total_cost += weight * further_cost
        else:
            total_score += weight * score
    rated = ExpectedOutcome(total_score, total_cost)
    if not missing_fraction or onward is None:
        return rated
    return _mixed(
        rated, _unrated_prospect(stage.cost, mean, onward), missing_fraction
    )


def _mixed(
    rated: ExpectedOutcome, unrated: ExpectedOutcome, missing_fraction: float
) -> ExpectedOutcome:
    return ExpectedOutcome(
        rated.score + missing_fraction * (unrated.score - rated.score),
        rated.cost + missing_fraction * (unrated.cost - rated.cost),
    )


def _at(onward: _Onward, score: float) -> tuple[float, float]:
    """Interpolates score and cost of going on between points of GRID."""
    position = score * GRID_STEPS
    low = int(position)
    part = position - low
    scores, costs = onward.scores, onward.costs
    return (
        scores[low] + part * (scores[low + 1] - scores[low]),
        costs[low] + part * (costs[low + 1] - costs[low]),
    )


def _mean_gain(stage: Stage, onward: _Onward, price: float) -> float:
    """Averages what going on is worth over accepting."""
    total = 0.0
    for score, weight in zip(BIN_SCORES, stage.probabilities):
        if score >= onward.threshold:
            break
        further_score, further_cost = _at(onward, score)
        total += weight * (price * (further_score - score) - further_cost)
    return total


def _threshold(prospects: Sequence[ExpectedOutcome], price: float) -> float:
    """Finds the score from which accepting is worth more."""
    gains = [
        price * (prospect.score - score) - prospect.cost
        for score, prospect in zip(GRID, prospects)
    ]
    for index in range(GRID_STEPS, -1, -1):
        if gains[index] <= 0:
            continue
        if index == GRID_STEPS:
            return 1.0
        part = gains[index] / (gains[index] - gains[index + 1])
        return (index + part) / GRID_STEPS
    return 0.0


def _policy(
    stages: Sequence[Stage],
    onwards: Sequence[_Onward | None],
    start: int,
    price: float,
    missing_fraction: float,
) -> Policy:
    stage = stages[start]
    onward = onwards[start]
    rated = _rated_prospect(stage, onward)
    if onward is not None and missing_fraction > 0:
        unrated = _unrated_prospect(stage.cost, stage.mean, onward)
        rated = _mixed(rated, unrated, missing_fraction)
    path, thresholds, scores = _path(stages, onwards, start)
    value = price * rated.score - rated.cost
    return Policy(path, thresholds, scores, rated, value)


def _rated_prospect(stage: Stage, onward: _Onward | None) -> ExpectedOutcome:
    if onward is None:
        return ExpectedOutcome(stage.mean, stage.cost)
    total_score = 0.0
    total_cost = stage.cost
    for score, weight in zip(BIN_SCORES, stage.probabilities):
        if score >= onward.threshold:
            total_score += weight * score
            continue
        further_score, further_cost = _at(onward, score)
        total_score += weight * further_score
        total_cost += weight * further_cost
    return ExpectedOutcome(total_score, total_cost)


def _unrated_prospect(
    cost: float, mean: float, onward: _Onward
) -> ExpectedOutcome:
    """Gives the prospect of an answer judged by its expected score."""
    if mean >= onward.threshold:
        return ExpectedOutcome(mean, cost)
    further_score, further_cost = _at(onward, mean)
    return ExpectedOutcome(further_score, cost + further_cost)


def _path(
    stages: Sequence[Stage], onwards: Sequence[_Onward | None], start: int
) -> tuple[tuple[int, ...], tuple[float, ...], tuple[float, ...]]:
    """Follows the stages to the end, with what each is expected to score."""
    path = [start]
    thresholds = []
    scores = [stages[start].mean]
    rejected = _mean_below(stages[start], onwards[start])
    onward = onwards[start]
    while onward is not None:
        thresholds.append(onward.threshold)
        line = stages[path[-1]].regressions[onward.next - path[-1] - 1]
        mean = min(max(line.intercept + line.slope * rejected, 0.0), 1.0)
        path.append(onward.next)
        scores.append(mean)
        onward = onwards[onward.next]
        if onward is not None:
            rejected = _normal_below(mean, line.deviation, onward.threshold)
    return tuple(path), (*thresholds, 0.0), tuple(scores)


def _normal_below(mean: float, deviation: float, bound: float) -> float:
    """Averages a normal variable over its values below a bound."""
    standard = (bound - mean) / deviation
    if standard < MIN_STANDARD_BOUND:
        return bound
    density = math.exp(-standard * standard / 2) / math.sqrt(2 * math.pi)
    below = (1 + math.erf(standard / math.sqrt(2))) / 2
    return mean - deviation * density / below


def _mean_below(stage: Stage, onward: _Onward | None) -> float:
    """Averages the scores that are not accepted."""
    if onward is None:
        return stage.mean
    end = bisect.bisect_left(BIN_SCORES, onward.threshold)
    weight = sum(stage.probabilities[:end])
    if weight <= 0:
        return min(stage.mean, onward.threshold)
    pairs = zip(BIN_SCORES[:end], stage.probabilities)
    return sum(score * part for score, part in pairs) / weight
