"""Tests of cascades: plans, acceptance of answers, and learning."""

import unittest

import hypothesis
from hypothesis import strategies

from benchmarks import bench_cascades
from ragwortgw_core import cascades
from ragwortgw_core import events
from ragwortgw_core import quality
from ragwortgw_core import stage_scores
from tests import properties

MODELS_BY_ID = bench_cascades.MODELS_BY_ID
CASCADE = bench_cascades.CASCADE
ALL = frozenset(MODELS_BY_ID)
NOW_MS = 1_800_000_000_000
#: A seed for which no plan explores.
SEED = 2**63


def make_plan(estimator, usable=ALL, cascade=CASCADE, seed=SEED, **models):
    return cascades.plan(
        cascade,
        {**MODELS_BY_ID, **models},
        estimator,
        'a',
        'chat-short',
        100,
        usable,
        events.Stamp(NOW_MS, seed),
    )


def record_scores(estimator, scores_by_model, count=100):
    """Records the same scores of first answers, many times."""
    for _ in range(count):
        for model, score in scores_by_model.items():
            estimator.observe('a', 'chat-short', model, score, NOW_MS)


class PlanTest(unittest.TestCase):
    def setUp(self):
        self.estimator = quality.QualityEstimator()

    def test_plan_starts_with_the_cheapest_model_that_meets_the_target(self):
        record_scores(
            self.estimator, {'small': 0.9, 'medium': 0.92, 'large': 0.95}
        )
        plan = make_plan(self.estimator)
        self.assertEqual('small', plan.stages[plan.start])
        self.assertTrue(plan.meets_target)

    def test_plan_skips_a_cheap_model_with_low_scores(self):
        record_scores(
            self.estimator, {'small': 0.1, 'medium': 0.85, 'large': 0.9}
        )
        plan = make_plan(self.estimator)
        self.assertEqual('medium', plan.stages[plan.start])

    def test_plan_contains_only_usable_models(self):
        self.assertIsNone(make_plan(self.estimator, usable=frozenset()))
        plan = make_plan(self.estimator, usable=frozenset({'large', 'other'}))
        self.assertEqual(('large',), plan.stages)

    def test_cost_is_unaffected_by_periods_without_one_model(self):
        cascade = {**CASCADE, 'target': 0.86}
        two_models = frozenset({'small', 'medium'})
        costs = []
        for usable_otherwise in (ALL, two_models):
            estimator = quality.QualityEstimator()
            record_scores(
                estimator, {'small': 0.2, 'medium': 0.85, 'large': 0.9}
            )
            total = 0.0
            for number in range(300):
                usable = usable_otherwise if number % 7 else ALL
                plan = make_plan(estimator, usable=usable, cascade=cascade)
                estimator.controller('a', CASCADE['id']).record_answer(
                    0.0, rated=True
                )
                if usable == ALL and number % 7 == 0:
                    total += plan.expected_cost_micros
            costs.append(total)
        self.assertLess(costs[1], 1.1 * costs[0])

    def test_plan_reports_that_the_target_is_out_of_reach(self):
        record_scores(
            self.estimator, {'small': 0.3, 'medium': 0.4, 'large': 0.5}
        )
        plan = make_plan(self.estimator)
        self.assertFalse(plan.meets_target)

    def test_class_without_ratings_uses_those_of_the_model(self):
        for _ in range(60):
            self.estimator.observe('b', 'chat-long', 'small', 0.2, NOW_MS)
        estimate = self.estimator.estimate_score(
            'a', 'chat-short', 'small', 0.7, NOW_MS
        )
        self.assertLess(estimate.mean, 0.35)


class EvaluateTest(unittest.TestCase):
    PLAN = cascades.Plan(
        ('small', 'large'), 0, (0.7, 0.0), 10.0, False, (0.6, 0.9)
    )

    def test_accepts_scores_from_the_threshold_up(self):
        self.assertEqual('Accept', cascades.evaluate(self.PLAN, 0, 0.7))
        self.assertEqual('Escalate', cascades.evaluate(self.PLAN, 0, 0.69))

    def test_accepts_any_score_of_the_last_stage(self):
        self.assertEqual('Accept', cascades.evaluate(self.PLAN, 1, 0.0))

    def test_uses_the_expected_score_without_a_rating(self):
        self.assertEqual('Escalate', cascades.evaluate(self.PLAN, 0, None))
        better = self.PLAN._replace(expected_scores=(0.8, 0.9))
        self.assertEqual('Accept', cascades.evaluate(better, 0, None))


class AnyCascadeTest(unittest.TestCase):
    @properties.settings(40)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 10**6), strategies.floats(0, 1)
            ),
            min_size=1,
            max_size=5,
        ),
        strategies.floats(0, 1),
        strategies.randoms(use_true_random=False),
    )
    def test_each_request_ends_with_an_accepted_answer(
        self, rows, target, random
    ):
        models_by_id = {
            f'm{number}': {
                **MODELS_BY_ID['small'],
                'id': f'm{number}',
                'input_micros': micros,
                'output_micros': micros,
                'prior_quality': prior,
            }
            for number, (micros, prior) in enumerate(rows)
        }
        cascade = {**CASCADE, 'stages': list(models_by_id), 'target': target}
        estimator = quality.QualityEstimator()
        for number in range(60):
            plan = cascades.plan(
                cascade,
                models_by_id,
                estimator,
                'a',
                random.choice(['chat-short', 'chat-long']),
                random.randrange(10_000),
                frozenset(models_by_id),
                events.Stamp(NOW_MS + number, random.getrandbits(64)),
            )
            self.assertEqual(len(plan.stages), len(plan.thresholds))
            self.assertEqual(len(plan.stages), len(plan.expected_scores))
            indices = [cascade['stages'].index(each) for each in plan.stages]
            self.assertEqual(sorted(set(indices)), indices)
            scores = []
            for stage in range(plan.start, len(plan.stages)):
                score = random.choice([None, random.random()])
                scores.append(score)
                if cascades.evaluate(plan, stage, score) == 'Accept':
                    break
            else:
                self.fail('the last stage must be accepted')
            recorded = cascades.record_answer(
                estimator, plan, scores, NOW_MS + number
            )
            if scores[-1] is None:
                last = len(scores) - 1
                cascades.record_late_rating(
                    estimator, recorded, last, 0.5, NOW_MS
                )

    def test_escalates_to_the_best_model_when_calls_are_free(self):
        free = {
            name: {**model, 'input_micros': 0, 'output_micros': 0}
            for name, model in MODELS_BY_ID.items()
        }
        score_by_model = {'small': 0.2, 'medium': 0.5, 'large': 0.9}
        estimator = quality.QualityEstimator()
        record_scores(estimator, score_by_model)
        plan = make_plan(estimator, **free)
        for stage in range(plan.start, len(plan.stages)):
            model = plan.stages[stage]
            score = score_by_model[model]
            if cascades.evaluate(plan, stage, score) == 'Accept':
                break
        self.assertEqual('large', model)


class RecordAnswerTest(unittest.TestCase):
    def setUp(self):
        self.estimator = quality.QualityEstimator()
        record_scores(
            self.estimator, {'small': 0.8, 'medium': 0.8, 'large': 0.8}
        )
        self.plan = make_plan(self.estimator)
        self.controller = self.estimator.controller('a', CASCADE['id'])

    def test_low_score_increases_the_deficit(self):
        before = self.controller.deficit
        cascades.record_answer(self.estimator, self.plan, [0.5], NOW_MS)
        self.assertAlmostEqual(before + 0.3, self.controller.deficit)

    def test_late_rating_replaces_the_expected_score(self):
        before = self.controller.deficit
        recorded = cascades.record_answer(
            self.estimator, self.plan, [None], NOW_MS
        )
        cascades.record_late_rating(self.estimator, recorded, 0, 0.4, NOW_MS)
        self.assertAlmostEqual(before + 0.4, self.controller.deficit)

    def test_rating_after_escalation_is_not_recorded_as_first_answer(self):
        before = self.estimator.estimate_score(
            'a', 'chat-short', 'large', 0.7, NOW_MS
        )
        plan = self.plan._replace(stages=('small', 'large'), start=0)
        plan = plan._replace(expected_scores=(0.8, 0.8))
        cascades.record_answer(self.estimator, plan, [0.1, 0.2], NOW_MS)
        after = self.estimator.estimate_score(
            'a', 'chat-short', 'large', 0.7, NOW_MS
        )
        self.assertEqual(before, after)


class DriftTest(unittest.TestCase):
    def test_estimate_follows_a_drift_within_forty_ratings(self):
        estimator = quality.QualityEstimator()
        record_scores(estimator, {'small': 0.9}, 1_000)
        record_scores(estimator, {'small': 0.5}, 40)
        estimate = estimator.estimate_score(
            'a', 'chat-short', 'small', 0.7, NOW_MS
        )
        self.assertLess(estimate.mean, 0.6)


class MemoryBoundTest(unittest.TestCase):
    def test_old_cells_are_evicted_and_the_newest_are_kept(self):
        estimator = quality.QualityEstimator()
        for number in range(quality.MAX_CELLS + 100):
            name = f'organisation-{number}'
            estimator.observe(
                name, 'chat-short', 'small', 0.2, NOW_MS + number
            )
            earlier, later = ('small', 0.2), ('large', 0.9)
            estimator.stage_scores.observe(name, 'chat-short', earlier, later)
        self.assertLessEqual(
            len(estimator._cells_by_group), quality.MAX_CELLS + 2
        )
        cells = estimator.stage_scores._cells_by_group
        self.assertLessEqual(len(cells), stage_scores.MAX_CELLS + 2)
        newest = ('small', 'chat-short', name)
        self.assertIn(newest, estimator._cells_by_group)


class BenchmarkTest(unittest.TestCase):
    """Runs the benchmark with a fixed seed, in simulated time."""

    def test_meets_the_target_at_lower_cost_than_fixed_thresholds(self):
        for scenario in ('normal', 'missing'):
            calls = bench_cascades.make_calls(scenario, 2_500, 1)
            learned, fixed = (
                bench_cascades.run_policy(name, scenario, calls)
                for name in ('learned', 'fixed')
            )
            scores = [result.score for result in learned]
            self.assertGreaterEqual(sum(scores) / len(scores), 0.8)
            cost = sum(result.cost for result in learned)
            self.assertLess(cost, sum(result.cost for result in fixed))
            explored = sum(result.explored for result in learned)
            self.assertLessEqual(explored, 0.03 * len(learned))
