"""Compares the cascade planner's cost at the quality target.

Each request has a hidden difficulty. The rating of an answer falls as the
difficulty exceeds the model's skill, with noise. The planner is compared
with fixed rules and with an oracle, which knows the difficulties and picks
one model for each request, so that each organisation meets the target on
average at the lowest cost.
"""

import argparse
import collections
from collections.abc import Iterator
import math
import random
import sys
from typing import NamedTuple

from ragwortgw_core import cascades
from ragwortgw_core import documents
from ragwortgw_core import events
from ragwortgw_core import quality
from ragwortgw_core import request_classes

from benchmarks import report

TARGET = 0.8
START_MS = 1_800_000_000_000
REQUEST_GAP_MS = 50
LATE_MS = 5_000
MISSING_SHARE = 0.3
SLOPE = 0.12
NOISE = 0.07
DRIFTED_MODEL = 'medium'
DRIFT = 0.25
SKILLS = {'small': 0.42, 'medium': 0.62, 'large': 0.92}
INPUT_MICROS = {'small': 150, 'medium': 900, 'large': 4_000}
CASCADE = documents.Cascade(
    id='proof', stages=list(SKILLS), target=TARGET, priority='interactive'
)
MODELS_BY_ID = {
    name: documents.Model(
        id=name,
        kind='chat',
        input_micros=INPUT_MICROS[name],
        output_micros=INPUT_MICROS[name] * 4,
        call_micros=0,
        prior_quality=0.7,
        priority='interactive',
        routes=[],
    )
    for name in SKILLS
}
#: Kinds of requests: prompt length in characters, share of the requests,
#: mean difficulty, and mean length of the answer in tokens.
KINDS = (
    (200, 0.4, 0.25, 80),
    (1_200, 0.3, 0.4, 200),
    (5_000, 0.2, 0.55, 600),
    (14_000, 0.1, 0.7, 900),
)
ORGANISATIONS = 10
SCENARIOS = (
    'normal',
    'late',
    'missing',
    'drift',
    'late+drift',
    'missing+drift',
)


class Call(NamedTuple):
    """A request, with the score that each model would get on it.

    Args:
      index: Position in the run.
      now_ms: Time of arrival, Unix ms.
      organisation: Id of the organisation.
      request_class: Class by kind and length, as the planner sees it.
      input_tokens: Length of the prompt.
      output_tokens: Length of an answer.
      difficulty: Hidden difficulty, 0 to 1.
      expected_by_model: Mean score of each model at this difficulty.
      score_by_model: Score that each model gets, with noise.
      seed: Random seed for the planner.
    """

    index: int
    now_ms: int
    organisation: str
    request_class: str
    input_tokens: int
    output_tokens: int
    difficulty: float
    expected_by_model: dict[str, float]
    score_by_model: dict[str, float]
    seed: int


class Result(NamedTuple):
    """What a policy did with a request.

    Args:
      cost: Cost of all model calls, micro-units.
      score: Score of the answer that the caller got.
      calls: Number of model calls.
      explored: Whether the planner chose the first model to learn from it.
    """

    cost: float
    score: float
    calls: int
    explored: bool = False


def expected_score(model: str, difficulty: float, drifted: bool) -> float:
    """Returns the mean score of a model at a difficulty."""
    skill_margin = (SKILLS[model] - difficulty) / SLOPE
    score = 0.2 + 0.75 / (1 + math.exp(-skill_margin))
    if drifted and model == DRIFTED_MODEL:
        score -= DRIFT
    return max(score, 0.0)


def make_calls(scenario: str, count: int, seed: int) -> list[Call]:
    """Draws the requests of a run.

    Args:
      scenario: One of SCENARIOS.
      count: Number of requests.
      seed: Seed of the run.
    """
    rng = random.Random(f'{seed} {count}')
    difficulty_shifts = [
        rng.uniform(-0.08, 0.08) for _ in range(ORGANISATIONS)
    ]
    weights = [1 / (rank + 1) for rank in range(ORGANISATIONS)]
    calls = []
    for index in range(count):
        organisation = rng.choices(range(ORGANISATIONS), weights)[0]
        chars, _, mean_difficulty, answer_tokens = rng.choices(
            KINDS, [kind[1] for kind in KINDS]
        )[0]
        chars = int(chars * rng.uniform(0.7, 1.3))
        mean_difficulty = min(
            max(mean_difficulty + difficulty_shifts[organisation], 0.05), 0.95
        )
        difficulty = rng.betavariate(
            mean_difficulty * 6, (1 - mean_difficulty) * 6
        )
        drifted = 'drift' in scenario and count <= 2 * index < 2 * count * 0.8
        expected = {
            model: expected_score(model, difficulty, drifted)
            for model in SKILLS
        }
        scores = {
            model: min(max(score + rng.gauss(0, NOISE), 0.0), 1.0)
            for model, score in expected.items()
        }
        calls.append(
            Call(
                index,
                START_MS + index * REQUEST_GAP_MS,
                f'organisation-{organisation}',
                request_classes.classify(chars, 'chat'),
                request_classes.estimate_input_tokens(chars),
                round(answer_tokens * rng.uniform(0.5, 1.5)),
                difficulty,
                expected,
                scores,
                rng.getrandbits(64),
            )
        )
    return calls


def price(call: Call, model: str) -> float:
    """Returns the cost of one call of a model, micro-units."""
    return cascades.call_cost_micros(
        MODELS_BY_ID[model], call.input_tokens, call.output_tokens
    )


def run_fixed(call: Call, models: list[str]) -> Result:
    """Calls models in order until one reaches the target."""
    cost = 0.0
    for calls, name in enumerate(models, start=1):
        cost += price(call, name)
        score = call.score_by_model[name]
        if score >= TARGET:
            break
    return Result(cost, score, calls)


def run_fixed_unrated(call: Call, rated: bool) -> Result:
    """Calls the cheapest model first; accepts an answer without a rating."""
    if rated:
        return run_fixed(call, list(SKILLS))
    return run_fixed(call, list(SKILLS)[:1])


def run_oracle(calls: list[Call]) -> list[Result]:
    """Picks one model for each request, knowing its difficulty.

    A bisection finds, for each organisation, the lowest value of quality in
    micro-units at which the mean score meets the target.
    """
    calls_by_organisation = collections.defaultdict(list)
    for call in calls:
        calls_by_organisation[call.organisation].append(call)
    results = []
    for members in calls_by_organisation.values():
        low_value, high_value = 1.0, 1e8
        for _ in range(40):
            quality_value = math.sqrt(low_value * high_value)
            chosen = [_best_model(call, quality_value) for call in members]
            scores = [
                call.score_by_model[name]
                for call, name in zip(members, chosen)
            ]
            if sum(scores) / len(scores) >= TARGET:
                high_value = quality_value
            else:
                low_value = quality_value
        for call in members:
            name = _best_model(call, high_value)
            results.append(
                Result(price(call, name), call.score_by_model[name], 1)
            )
    return results


def _best_model(call: Call, quality_value: float) -> str:
    return max(
        SKILLS,
        key=lambda name: (
            quality_value * call.expected_by_model[name] - price(call, name)
        ),
    )


def run_learned(scenario: str, calls: list[Call]) -> Iterator[Result]:
    """Runs the planner as an entry does, with its ratings as they arrive."""
    estimator = quality.QualityEstimator()
    rng = random.Random(f'{scenario} ratings')
    pending_ratings: collections.deque = collections.deque()
    for call in calls:
        while pending_ratings and pending_ratings[0][0] <= call.now_ms:
            _, *rating = pending_ratings.popleft()
            cascades.record_late_rating(estimator, *rating, call.now_ms)
        plan = cascades.plan(
            CASCADE,
            MODELS_BY_ID,
            estimator,
            call.organisation,
            call.request_class,
            call.input_tokens,
            frozenset(SKILLS),
            events.Stamp(call.now_ms, call.seed),
        )
        assert plan is not None
        cost = 0.0
        scores: list[float | None] = []
        for stage in range(plan.start, len(plan.stages)):
            model = plan.stages[stage]
            cost += price(call, model)
            estimator.record_output_tokens(
                call.request_class, model, call.output_tokens
            )
            score = call.score_by_model[model]
            unrated = rng.random() < MISSING_SHARE
            known_score = score
            if 'late' in scenario or ('missing' in scenario and unrated):
                known_score = None
            scores.append(known_score)
            if cascades.evaluate(plan, stage, known_score) == 'Accept':
                break
        recorded_answer = cascades.record_answer(
            estimator, plan, scores, call.now_ms
        )
        if 'late' in scenario:
            for offset in range(len(scores)):
                late_score = call.score_by_model[plan.stages[offset]]
                due_ms = call.now_ms + LATE_MS
                pending_ratings.append(
                    (due_ms, recorded_answer, offset, late_score)
                )
        yield Result(cost, score, len(scores), plan.explored)


def run_policy(name: str, scenario: str, calls: list[Call]) -> list[Result]:
    """Runs one policy of POLICIES over the requests of a scenario."""
    rng = random.Random(f'{scenario} ratings')
    if name == 'oracle':
        return run_oracle(calls)
    if name == 'learned':
        return list(run_learned(scenario, calls))
    if name == 'costliest':
        return [run_fixed(call, ['large']) for call in calls]
    if name == 'random':
        models = list(SKILLS)
        return [run_fixed(call, [rng.choice(models)]) for call in calls]
    results = []
    for call in calls:
        unrated = rng.random() < MISSING_SHARE
        unrated = 'missing' in scenario and unrated
        rated = 'late' not in scenario and not unrated
        results.append(run_fixed_unrated(call, rated))
    return results


POLICIES = ('costliest', 'random', 'fixed', 'learned', 'oracle')


def measure(scenario: str, count: int, seeds: int) -> list[dict]:
    """Runs all policies on the same requests.

    Args:
      scenario: One of SCENARIOS.
      count: Number of requests in a run.
      seeds: Number of runs.
    Returns: A row for each policy, with means over the runs.
    """
    rows_by_policy: dict[str, list[dict]] = collections.defaultdict(list)
    for seed in range(seeds):
        calls = make_calls(scenario, count, seed)
        for name in POLICIES:
            results = run_policy(name, scenario, calls)
            rows_by_policy[name].append(_summary(name, calls, results))
    rows = []
    for name in POLICIES:
        runs = rows_by_policy[name]
        row: dict = {'scenario': scenario, 'policy': name}
        for column in runs[0]:
            row[column] = sum(each[column] for each in runs) / len(runs)
        row['lowest_run'] = min(each['quality'] for each in runs)
        rows.append(row)
    costliest, oracle = rows[0]['cost'], rows[-1]['cost']
    for row in rows:
        row['gap_closed'] = (costliest - row['cost']) / (costliest - oracle)
        row['target_met'] = row['quality'] >= TARGET
    return rows


def _summary(name: str, calls: list[Call], results: list[Result]) -> dict:
    scores_by_organisation = collections.defaultdict(list)
    if name != 'oracle':
        for call, result in zip(calls, results):
            scores_by_organisation[call.organisation].append(result.score)
    means = [
        sum(scores) / len(scores) for scores in scores_by_organisation.values()
    ]
    count = len(results)
    scores = [result.score for result in results]
    window = max(count // 10, 1)
    windows = [
        sum(scores[start : start + window]) / window
        for start in range(0, count, window)
    ]
    return {
        'cost': sum(result.cost for result in results) / count,
        'quality': sum(scores) / count,
        'lowest_organisation': min(means, default=float('nan')),
        'lowest_tenth': min(windows) if name != 'oracle' else float('nan'),
        'calls': sum(result.calls for result in results) / count,
        'explored': sum(result.explored for result in results) / count,
    }


def main() -> int:
    """Runs the benchmark and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=12_000)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--scenarios', default=','.join(SCENARIOS))
    options = parser.parse_args()
    rows = []
    bounds = []
    for scenario in options.scenarios.split(','):
        measured = measure(scenario, options.count, options.seeds)
        rows += measured
        learned = measured[POLICIES.index('learned')]
        bounds.append(
            report.Bound(f'{scenario}', learned['lowest_run'], TARGET)
        )
    return report.show('cascades', rows, bounds)


if __name__ == '__main__':
    sys.exit(main())
