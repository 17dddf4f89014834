"""Cost at the quality target against fixed rules and an oracle.

Requests have a hidden difficulty; the rating of an answer falls with the
difficulty beyond the model's skill, with noise. The oracle knows the
difficulty and picks, for each organisation, one model for each request at
the lowest cost that meets the target on average.
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
#: Length in characters, share of requests, mean difficulty, and mean
#: length of an answer in tokens.
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
    """A request with what the models would score on it."""

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
    """What a policy did with a request."""

    cost: float
    score: float
    calls: int
    explored: bool = False


def expected_score(model: str, difficulty: float, drifted: bool) -> float:
    """Gives the mean rating of a model at a difficulty."""
    beyond = (SKILLS[model] - difficulty) / SLOPE
    score = 0.2 + 0.75 / (1 + math.exp(-beyond))
    if drifted and model == DRIFTED_MODEL:
        score -= DRIFT
    return max(score, 0.0)


def make_calls(scenario: str, count: int, seed: int) -> list[Call]:
    """Draws the requests of a run."""
    source = random.Random(f'{seed} {count}')
    shifts = [source.uniform(-0.08, 0.08) for _ in range(ORGANISATIONS)]
    weights = [1 / (rank + 1) for rank in range(ORGANISATIONS)]
    made = []
    for index in range(count):
        organisation = source.choices(range(ORGANISATIONS), weights)[0]
        chars, _, mean, answer = source.choices(
            KINDS, [kind[1] for kind in KINDS]
        )[0]
        chars = int(chars * source.uniform(0.7, 1.3))
        mean = min(max(mean + shifts[organisation], 0.05), 0.95)
        difficulty = source.betavariate(mean * 6, (1 - mean) * 6)
        drifted = 'drift' in scenario and count <= 2 * index < 2 * count * 0.8
        expected = {
            model: expected_score(model, difficulty, drifted)
            for model in SKILLS
        }
        scores = {
            model: min(max(score + source.gauss(0, NOISE), 0.0), 1.0)
            for model, score in expected.items()
        }
        made.append(
            Call(
                index,
                START_MS + index * REQUEST_GAP_MS,
                f'organisation-{organisation}',
                request_classes.classify(chars, 'chat'),
                request_classes.estimate_input_tokens(chars),
                round(answer * source.uniform(0.5, 1.5)),
                difficulty,
                expected,
                scores,
                source.getrandbits(64),
            )
        )
    return made


def price(call: Call, model: str) -> float:
    """Gives the cost of one call of a model, micro-units."""
    return cascades.call_cost_micros(
        MODELS_BY_ID[model], call.input_tokens, call.output_tokens
    )


def run_fixed(call: Call, names: list[str]) -> Result:
    """Tries models in order until one reaches the target."""
    cost = 0.0
    for calls, name in enumerate(names, start=1):
        cost += price(call, name)
        score = call.score_by_model[name]
        if score >= TARGET:
            break
    return Result(cost, score, calls)


def run_fixed_unrated(call: Call, scored: bool) -> Result:
    """Cheapest first; accepts an answer whose rating does not come."""
    if scored:
        return run_fixed(call, list(SKILLS))
    return run_fixed(call, list(SKILLS)[:1])


def run_oracle(calls: list[Call]) -> list[Result]:
    """Picks one model for each request, knowing its difficulty."""
    calls_by_organisation = collections.defaultdict(list)
    for call in calls:
        calls_by_organisation[call.organisation].append(call)
    results = []
    for group in calls_by_organisation.values():
        low, high = 1.0, 1e8
        for _ in range(40):
            middle = math.sqrt(low * high)
            chosen = [_best_at(call, middle) for call in group]
            scores = [
                call.score_by_model[name] for call, name in zip(group, chosen)
            ]
            if sum(scores) / len(scores) >= TARGET:
                high = middle
            else:
                low = middle
        for call in group:
            name = _best_at(call, high)
            results.append(
                Result(price(call, name), call.score_by_model[name], 1)
            )
    return results


def _best_at(call: Call, worth: float) -> str:
    return max(
        SKILLS,
        key=lambda name: (
            worth * call.expected_by_model[name] - price(call, name)
        ),
    )


def run_learned(scenario: str, calls: list[Call]) -> Iterator[Result]:
    """Runs the planner as an entry would."""
    book = quality.QualityEstimator()
    source = random.Random(f'{scenario} ratings')
    late: collections.deque = collections.deque()
    for call in calls:
        while late and late[0][0] <= call.now_ms:
            _, *rating = late.popleft()
            cascades.record_late_rating(book, *rating, call.now_ms)
        plan = cascades.plan(
            CASCADE,
            MODELS_BY_ID,
            book,
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
            book.record_output_tokens(
                call.request_class, model, call.output_tokens
            )
            score = call.score_by_model[model]
            missing = source.random() < MISSING_SHARE
            seen = score
            if 'late' in scenario or ('missing' in scenario and missing):
                seen = None
            scores.append(seen)
            if cascades.evaluate(plan, stage, seen) == 'Accept':
                break
        settlement = cascades.record_answer(book, plan, scores, call.now_ms)
        if 'late' in scenario:
            for offset in range(len(scores)):
                truth = call.score_by_model[plan.stages[offset]]
                due_ms = call.now_ms + LATE_MS
                late.append((due_ms, settlement, offset, truth))
        yield Result(cost, score, len(scores), plan.explored)


def run_policy(name: str, scenario: str, calls: list[Call]) -> list[Result]:
    """Runs one policy over the requests of a scenario."""
    source = random.Random(f'{scenario} ratings')
    if name == 'oracle':
        return run_oracle(calls)
    if name == 'learned':
        return list(run_learned(scenario, calls))
    if name == 'costliest':
        return [run_fixed(call, ['large']) for call in calls]
    if name == 'random':
        names = list(SKILLS)
        return [run_fixed(call, [source.choice(names)]) for call in calls]
    results = []
    for call in calls:
        missing = source.random() < MISSING_SHARE
        missing = 'missing' in scenario and missing
        rated = 'late' not in scenario and not missing
        results.append(run_fixed_unrated(call, rated))
    return results


POLICIES = ('costliest', 'random', 'fixed', 'learned', 'oracle')


def measure(scenario: str, count: int, seeds: int) -> list[dict]:
    """Runs all policies on the same requests."""
    rows_by_policy: dict[str, list[dict]] = collections.defaultdict(list)
    for seed in range(seeds):
        calls = make_calls(scenario, count, seed)
        for name in POLICIES:
            results = run_policy(name, scenario, calls)
            rows_by_policy[name].append(_summary(name, calls, results))
    rows = []
    for name in POLICIES:
        group = rows_by_policy[name]
        row: dict = {'scenario': scenario, 'policy': name}
        for column in group[0]:
            row[column] = sum(each[column] for each in group) / len(group)
        row['lowest_run'] = min(each['quality'] for each in group)
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
    """Runs the benchmark; gives the exit code."""
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
