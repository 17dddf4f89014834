"""Tests of plans and judgements of cascades, and of what they learn."""

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
#: A seed that does not explore.
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


def teach(estimator, scores_by_model, count=100):
    for _ in range(count):
        for model, score in scores_by_model.items():
            estimator.observe('a', 'chat-short', model, score, NOW_MS)


class PlanTest(unittest.TestCase):
    def setUp(self):
        self.estimator = quality.QualityEstimator()

    def test_cheapest_start_that_meets_the_target(self):
        teach(self.estimator, {'small': 0.9, 'medium': 0.92, 'large': 0.95})
        plan = make_plan(self.estimator)
        self.assertEqual('small', plan.stages[plan.start])
        self.assertTrue(plan.meets_target)

    def test_cheap_model_that_never_does_is_passed_over(self):
        teach(self.estimator, {'small': 0.1, 'medium': 0.85, 'large': 0.9})
        plan = make_plan(self.estimator)
        self.assertEqual('medium', plan.stages[plan.start])

    def test_only_usable_models_are_planned(self):
        self.assertIsNone(make_plan(self.estimator, usable=frozenset()))
        plan = make_plan(self.estimator, usable=frozenset({'large', 'other'}))
        self.assertEqual(('large',), plan.stages)

    def test_a_model_that_is_away_leaves_the_price_of_the_rest(self):
        cascade = {**CASCADE, 'target': 0.86}
        without = frozenset({'small', 'medium'})
        costs = []
        for others in (ALL, without):
            book = quality.QualityEstimator()
            teach(book, {'small': 0.2, 'medium': 0.85, 'large': 0.9})
            total = 0.0
            for number in range(300):
                usable = others if number % 7 else ALL
                plan = make_plan(book, usable=usable, cascade=cascade)
                book.controller('a', CASCADE['id']).record_answer(
                    0.0, rated=True
                )
                if usable == ALL and number % 7 == 0:
                    total += plan.expected_cost_micros
            costs.append(total)
        self.assertLess(costs[1], 1.1 * costs[0])

    def test_says_when_no_plan_meets_the_target(self):
        teach(self.estimator, {'small': 0.3, 'medium': 0.4, 'large': 0.5})
        plan = make_plan(self.estimator)
        self.assertFalse(plan.meets_target)

    def test_unlearned_class_takes_what_others_taught(self):
        for _ in range(60):
            self.estimator.observe('b', 'chat-long', 'small', 0.2, NOW_MS)
        seen = self.estimator.estimate_score(
            'a', 'chat-short', 'small', 0.7, NOW_MS
        )
        self.assertLess(seen.mean, 0.35)


class JudgeTest(unittest.TestCase):
    PLAN = cascades.Plan(
        ('small', 'large'), 0, (0.7, 0.0), 10.0, False, (0.6, 0.9)
    )

    def test_accepts_from_the_threshold_on(self):
        self.assertEqual('Accept', cascades.evaluate(self.PLAN, 0, 0.7))
        self.assertEqual('Escalate', cascades.evaluate(self.PLAN, 0, 0.69))

    def test_last_stage_is_always_accepted(self):
        self.assertEqual('Accept', cascades.evaluate(self.PLAN, 1, 0.0))

    def test_missing_rating_is_judged_by_the_expectation(self):
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
    def test_each_request_ends_with_a_settled_answer(
        self, rows, target, source
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
        book = quality.QualityEstimator()
        for number in range(60):
            plan = cascades.plan(
                cascade,
                models_by_id,
                book,
                'a',
                source.choice(['chat-short', 'chat-long']),
                source.randrange(10_000),
                frozenset(models_by_id),
                events.Stamp(NOW_MS + number, source.getrandbits(64)),
            )
            self.assertEqual(len(plan.stages), len(plan.thresholds))
            self.assertEqual(len(plan.stages), len(plan.expected_scores))
            order = [cascade['stages'].index(each) for each in plan.stages]
            self.assertEqual(sorted(set(order)), order)
            scores = []
            for stage in range(plan.start, len(plan.stages)):
                score = source.choice([None, source.random()])
                scores.append(score)
                if cascades.evaluate(plan, stage, score) == 'Accept':
                    break
            else:
                self.fail('the last stage must be accepted')
            settlement = cascades.record_answer(
                book, plan, scores, NOW_MS + number
            )
            if scores[-1] is None:
                last = len(scores) - 1
                cascades.record_late_rating(
                    book, settlement, last, 0.5, NOW_MS
                )

    def test_free_models_end_with_the_best_answer(self):
        free = {
            name: {**model, 'input_micros': 0, 'output_micros': 0}
            for name, model in MODELS_BY_ID.items()
        }
        score_by_model = {'small': 0.2, 'medium': 0.5, 'large': 0.9}
        book = quality.QualityEstimator()
        teach(book, score_by_model)
        plan = make_plan(book, **free)
        for stage in range(plan.start, len(plan.stages)):
            model = plan.stages[stage]
            score = score_by_model[model]
            if cascades.evaluate(plan, stage, score) == 'Accept':
                break
        self.assertEqual('large', model)


class SettleTest(unittest.TestCase):
    def setUp(self):
        self.estimator = quality.QualityEstimator()
        teach(self.estimator, {'small': 0.8, 'medium': 0.8, 'large': 0.8})
        self.plan = make_plan(self.estimator)
        self.controller = self.estimator.controller('a', CASCADE['id'])

    def test_a_lack_of_quality_is_owed(self):
        before = self.controller.deficit
        cascades.record_answer(self.estimator, self.plan, [0.5], NOW_MS)
        self.assertAlmostEqual(before + 0.3, self.controller.deficit)

    def test_a_late_rating_replaces_the_expected_one(self):
        before = self.controller.deficit
        settlement = cascades.record_answer(
            self.estimator, self.plan, [None], NOW_MS
        )
        cascades.record_late_rating(self.estimator, settlement, 0, 0.4, NOW_MS)
        self.assertAlmostEqual(before + 0.4, self.controller.deficit)

    def test_escalated_answer_does_not_count_as_a_first_one(self):
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
    def test_a_change_is_learned_within_a_few_dozen_ratings(self):
        book = quality.QualityEstimator()
        teach(book, {'small': 0.9}, 1_000)
        teach(book, {'small': 0.5}, 40)
        seen = book.estimate_score('a', 'chat-short', 'small', 0.7, NOW_MS)
        self.assertLess(seen.mean, 0.6)


class BoundTest(unittest.TestCase):
    def test_memory_is_bounded_and_the_newest_are_kept(self):
        book = quality.QualityEstimator()
        for number in range(quality.MAX_CELLS + 100):
            name = f'organisation-{number}'
            book.observe(name, 'chat-short', 'small', 0.2, NOW_MS + number)
            earlier, later = ('small', 0.2), ('large', 0.9)
            book.stage_scores.observe(name, 'chat-short', earlier, later)
        self.assertLessEqual(len(book._cells_by_group), quality.MAX_CELLS + 2)
        cells = book.stage_scores._cells_by_group
        self.assertLessEqual(len(cells), stage_scores.MAX_CELLS + 2)
        newest = ('small', 'chat-short', name)
        self.assertIn(newest, book._cells_by_group)


class BenchmarkTest(unittest.TestCase):
    """Bounds from the benchmark; seeded, in simulated time."""

    def test_meets_the_target_below_the_fixed_threshold_s_cost(self):
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
