"""Tests of tiers, budgets, suspicion, refusal and version evidence."""

import random
import unittest

from ragwortgw_gateway import admission
from ragwortgw_gateway import digests
from ragwortgw_gateway import outlier_ejection
from ragwortgw_gateway import placement
from ragwortgw_gateway import retry_budget
from ragwortgw_gateway import tiers
from ragwortgw_gateway import version_evidence
from tests import harness

TIERS = ('small', 'middle', 'large')
COSTS = {'small': 0.0075, 'middle': 0.056, 'large': 0.11}


class TierTest(unittest.TestCase):
    def setUp(self):
        self.book = tiers.TierSelector()

    def choose_first(self, may_repeat=True):
        return self.book.choose_first(TIERS, COSTS, may_repeat)

    def test_smallest_first_while_it_pays(self):
        self.assertEqual(
            tiers.ModelChoice('small', False), self.choose_first()
        )

    def test_largest_if_nothing_may_be_dropped(self):
        self.assertEqual(
            tiers.ModelChoice('large', True), self.choose_first(False)
        )

    def test_model_that_never_suffices_is_not_asked(self):
        for _ in range(100):
            self.book.accept_answer('small', 3)
            self.book.accept_answer('middle', 3)
        self.assertEqual(tiers.ModelChoice('large', True), self.choose_first())

    def test_middle_if_only_that_suffices(self):
        for _ in range(100):
            self.book.accept_answer('small', 3)
            self.book.accept_answer('middle', 99)
        self.assertEqual('middle', self.choose_first().model)

    def test_answer_without_opinion_is_taken(self):
        self.assertTrue(self.book.accept_answer('small', None))

    def test_busy_larger_model_makes_content_with_less(self):
        between = (tiers.MIN_IDLE_CONFIDENCE + tiers.MIN_BUSY_CONFIDENCE) // 2
        self.assertFalse(self.book.accept_answer('small', between, 0.0))
        self.assertTrue(self.book.accept_answer('small', between, 1.0))
        self.assertFalse(self.book.accept_answer('small', 5, 1.0))

    def test_single_model(self):
        choice = self.book.choose_first(('only',), {}, True)
        self.assertEqual(tiers.ModelChoice('only', True), choice)


class RetryBudgetTest(unittest.TestCase):
    def test_never_beyond_the_rule_in_any_window(self):
        """Several gateways under storms of failures; sliding windows."""
        ratio, slack, window_ms, gateways_count = 0.9, 54, 10_000, 4
        rng = random.Random(5)
        budgets = [
            retry_budget.RetryBudget(ratio, slack, window_ms)
            for _ in range(gateways_count)
        ]
        requests, repeats = [], []
        for now_ms in range(0, 60_000, 10):
            busy = (now_ms // 7_000) % 2
            for budget in budgets:
                if rng.random() < (0.05 if busy else 0.01):
                    budget.count_request('s', now_ms)
                    requests.append(now_ms)
                while rng.random() < 0.7:
                    if budget.try_spend('s', gateways_count, now_ms):
                        repeats.append(now_ms)
        for end_ms in range(window_ms, 60_000, 250):
            begin_ms = end_ms - window_ms

            def count(times, shift_ms=0):
                return sum(
                    begin_ms - shift_ms < each <= end_ms - shift_ms
                    for each in times
                )

            most = max(
                count(requests),
                count(requests, window_ms // 2),
                count(requests, window_ms),
            )
            self.assertLessEqual(count(repeats), ratio * most + slack)
        self.assertGreater(len(repeats), 0.5 * len(requests))

    def test_services_are_apart(self):
        budget = retry_budget.RetryBudget(0.9, 10, 10_000)
        while budget.try_spend('a', 1, 0):
            pass
        self.assertTrue(budget.try_spend('b', 1, 0))


class SuspicionTest(unittest.TestCase):
    def setUp(self):
        self.book = outlier_ejection.OutlierDetector()

    def test_unreachable_is_suspended_ever_longer(self):
        now_ms, pauses = 1_000, []
        for _ in range(5):
            verdict = self.book.record_failure('s', 'x', 'refused', now_ms)
            pauses.append(verdict.until_ms - now_ms)
            self.assertTrue(self.book.suspended('s', verdict.until_ms - 1))
            now_ms = verdict.until_ms
            self.assertFalse(self.book.suspended('s', now_ms))
        self.assertEqual(sorted(pauses), pauses)
        self.assertEqual(outlier_ejection.MAX_SUSPENSION_MS, pauses[-1])

    def test_success_forgives(self):
        self.book.record_failure('s', 'x', 'refused', 1_000)
        self.book.record_success('s', 'x')
        verdict = self.book.record_failure('s', 'x', 'refused', 5_000)
        self.assertEqual(
            5_000 + outlier_ejection.INITIAL_SUSPENSION_MS, verdict.until_ms
        )

    def test_failing_part_of_the_work_suspends(self):
        rng = random.Random(3)
        until_ms = 0
        for n in range(200):
            if rng.random() < 0.5:
                verdict = self.book.record_failure('bad', 'x', 'failed', n)
                until_ms = until_ms or verdict.until_ms
            else:
                self.book.record_success('bad', 'x')
            for _ in range(5):
                self.book.record_success('good', 'x')
        self.assertGreater(until_ms, 0)
        self.assertFalse(self.book.suspended('good', 1))

    def test_service_that_fails_a_little_everywhere_suspends_nobody(self):
        rng = random.Random(4)
        for n in range(2_000):
            server = f's{n % 4}'
            if rng.random() < 0.14:
                self.book.record_failure(server, 'x', 'failed', n)
            else:
                self.book.record_success(server, 'x')
        suspended = [
            n for n in range(4) if self.book.suspended(f's{n}', 2_000)
        ]
        self.assertEqual([], suspended)

    def test_connections_of_one_crash_are_one_event(self):
        for n in range(10):
            verdict = self.book.record_failure('s', 'x', 'reset', 1_000 + n)
            if self.book.suspended('s', 1_000 + n):
                break
        self.assertGreaterEqual(n, outlier_ejection.MIN_OUTCOMES - 1)
        self.assertIsNotNone(verdict)

    def test_full_server_is_not_suspended(self):
        verdict = self.book.record_failure('s', 'x', 'full', 1_000)
        self.assertEqual(outlier_ejection.NOT_SUSPENDED, verdict)


def placed(first_byte_ms, backlog_ms=0.0, work_ms=100.0):
    return placement.ServerChoice(
        harness.make_server('s'),
        0.0,
        first_byte_ms,
        work_ms,
        backlog_ms,
        0,
        False,
    )


class RefusalTest(unittest.TestCase):
    def excess(self, rank, first_byte_ms, backlog_ms=0.0, is_retry=False):
        asked = admission.Requirements(rank, 4_000, 12_000, 12_000, is_retry)
        return admission.excess_ms(asked, placed(first_byte_ms, backlog_ms))

    def test_in_time_is_admitted(self):
        for rank in range(4):
            self.assertLessEqual(self.excess(rank, 100.0), 0)

    def test_less_urgent_is_refused_first(self):
        self.assertGreater(self.excess(2, 3_000.0), 0)
        self.assertLessEqual(self.excess(0, 3_000.0), 0)
        self.assertGreater(self.excess(0, 4_500.0), 0)

    def test_server_that_could_not_finish_is_not_given_more(self):
        self.assertGreater(self.excess(0, 100.0, backlog_ms=9_000.0), 0)

    def test_pressure_is_one_where_refusals_begin(self):
        asked = admission.Requirements(1, 4_000, 12_000, 12_000, False)
        for first_ms, backlog_ms in ((3_200.0, 0.0), (0.0, 5_660.0)):
            there = placed(first_ms, backlog_ms)
            self.assertAlmostEqual(1.0, admission.pressure(asked, there))
            self.assertAlmostEqual(0.0, admission.excess_ms(asked, there))

    def test_what_a_request_needs_itself_is_no_pressure(self):
        asked = admission.Requirements(1, 4_000, 12_000, 12_000, False)
        alone = placed(1_500.0, 0.0)._replace(
            prefill_ms=1_500.0, work_ms=2_000.0
        )
        self.assertEqual(0.0, admission.pressure(asked, alone))
        behind = alone._replace(first_byte_ms=2_350.0)
        self.assertAlmostEqual(0.5, admission.pressure(asked, behind))

    def test_returned_one_goes_before_its_rank(self):
        self.assertLessEqual(self.excess(2, 3_000.0, is_retry=True), 0)

    def test_retry_after_is_the_wait_but_a_third_of_what_is_left(self):
        for seed in range(1_024):
            wait_ms = admission.retry_after_ms(1_000.0, 12_000, seed)
            self.assertTrue(700 <= wait_ms <= 1_300, wait_ms)
            capped_ms = admission.retry_after_ms(60_000.0, 3_000, seed)
            self.assertLessEqual(capped_ms, 1_000)


class EvidenceTest(unittest.TestCase):
    def judge(self, **fields):
        return version_evidence.evaluate(digests.RolloutEvidence(1, **fields))

    def test_few_failures_do_not_condemn(self):
        self.assertEqual(
            'undecided',
            self.judge(candidate_requests=2, candidate_failures=2),
        )

    def test_failing_candidate_is_bad(self):
        self.assertEqual(
            'bad',
            self.judge(
                candidate_requests=8,
                candidate_failures=4,
                baseline_requests=100,
            ),
        )

    def test_candidate_like_a_failing_baseline_is_good(self):
        self.assertEqual(
            'good',
            self.judge(
                candidate_requests=20,
                candidate_failures=4,
                baseline_requests=200,
                baseline_failures=30,
            ),
        )

    def test_slow_candidate_is_bad(self):
        self.assertEqual(
            'bad',
            self.judge(
                candidate_requests=10,
                candidate_timed=10,
                candidate_slowness=18.0,
                baseline_timed=50,
            ),
        )

    def test_false_alarms_are_rare(self):
        rng = random.Random(6)
        alarms = 0
        for _ in range(300):
            candidate = sum(rng.random() < 0.1 for _ in range(40))
            baseline = sum(rng.random() < 0.1 for _ in range(400))
            alarms += (
                self.judge(
                    candidate_requests=40,
                    candidate_failures=candidate,
                    baseline_requests=400,
                    baseline_failures=baseline,
                )
                == 'bad'
            )
        self.assertLessEqual(alarms, 3)

    def test_pool_takes_one_order_only(self):
        parts = [
            digests.RolloutEvidence(1, candidate_requests=2),
            digests.RolloutEvidence(2, candidate_requests=50),
            digests.RolloutEvidence(1, candidate_requests=3, elapsed_ms=7),
        ]
        pooled = version_evidence.pool(parts, 1)
        self.assertEqual(5, pooled.candidate_requests)
        self.assertEqual(7, pooled.elapsed_ms)
