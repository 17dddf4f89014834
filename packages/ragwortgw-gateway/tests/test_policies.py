"""Tests of tiers, retry budget, suspension and evidence."""

import random
import unittest

from ragwortgw_gateway import digests
from ragwortgw_gateway import outlier_ejection
from ragwortgw_gateway import retry_budget
from ragwortgw_gateway import tiers
from ragwortgw_gateway import version_evidence

TIERS = ('small', 'middle', 'large')
COSTS = {'small': 0.0075, 'middle': 0.056, 'large': 0.11}


class TierSelectorTest(unittest.TestCase):
    def setUp(self):
        self.selector = tiers.TierSelector()

    def choose_first(self, may_repeat=True):
        return self.selector.choose_first(TIERS, COSTS, may_repeat)

    def test_smallest_model_is_first_while_that_is_cheaper(self):
        self.assertEqual(
            tiers.ModelChoice('small', False), self.choose_first()
        )

    def test_largest_model_is_chosen_if_answers_may_not_be_dropped(self):
        self.assertEqual(
            tiers.ModelChoice('large', True), self.choose_first(False)
        )

    def test_model_whose_answers_are_never_accepted_is_not_chosen(self):
        for _ in range(100):
            self.selector.accept_answer('small', 3)
            self.selector.accept_answer('middle', 3)
        self.assertEqual(tiers.ModelChoice('large', True), self.choose_first())

    def test_middle_model_is_first_if_only_its_answers_are_accepted(self):
        for _ in range(100):
            self.selector.accept_answer('small', 3)
            self.selector.accept_answer('middle', 99)
        self.assertEqual('middle', self.choose_first().model)

    def test_answer_without_confidence_is_accepted(self):
        self.assertTrue(self.selector.accept_answer('small', None))

    def test_lower_confidence_is_accepted_while_the_larger_model_is_busy(self):
        medium_confidence = (
            tiers.MIN_IDLE_CONFIDENCE + tiers.MIN_BUSY_CONFIDENCE
        ) // 2
        self.assertFalse(
            self.selector.accept_answer('small', medium_confidence, 0.0)
        )
        self.assertTrue(
            self.selector.accept_answer('small', medium_confidence, 1.0)
        )
        self.assertFalse(self.selector.accept_answer('small', 5, 1.0))

    def test_single_model_is_final(self):
        choice = self.selector.choose_first(('only',), {}, True)
        self.assertEqual(tiers.ModelChoice('only', True), choice)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_of_all_gateways_keep_to_the_ratio_in_any_window(self):
        """Plays bursts of failures at several gateways.

        Checks the retries in each sliding window against the requests in it,
        and in the windows that end half a length and a length before it.
        """
        ratio, slack, window_ms, gateway_count = 0.9, 54, 10_000, 4
        rng = random.Random(5)
        budgets = [
            retry_budget.RetryBudget(ratio, slack, window_ms)
            for _ in range(gateway_count)
        ]
        request_times, retry_times = [], []
        for now_ms in range(0, 60_000, 10):
            is_burst = (now_ms // 7_000) % 2
            for budget in budgets:
                if rng.random() < (0.05 if is_burst else 0.01):
                    budget.count_request('s', now_ms)
                    request_times.append(now_ms)
                while rng.random() < 0.7:
                    if budget.try_spend('s', gateway_count, now_ms):
                        retry_times.append(now_ms)
        for end_ms in range(window_ms, 60_000, 250):
            begin_ms = end_ms - window_ms

            def count(times, shift_ms=0):
                return sum(
                    begin_ms - shift_ms < each <= end_ms - shift_ms
                    for each in times
                )

            max_requests = max(
                count(request_times),
                count(request_times, window_ms // 2),
                count(request_times, window_ms),
            )
            self.assertLessEqual(
                count(retry_times), ratio * max_requests + slack
            )
        self.assertGreater(len(retry_times), 0.5 * len(request_times))

    def test_each_service_has_its_own_budget(self):
        budget = retry_budget.RetryBudget(0.9, 10, 10_000)
        while budget.try_spend('a', 1, 0):
            pass
        self.assertTrue(budget.try_spend('b', 1, 0))


class OutlierDetectorTest(unittest.TestCase):
    def setUp(self):
        self.detector = outlier_ejection.OutlierDetector()

    def test_unreachable_server_is_suspended_for_longer_each_time(self):
        now_ms, durations_ms = 1_000, []
        for _ in range(5):
            verdict = self.detector.record_failure('s', 'x', 'refused', now_ms)
            durations_ms.append(verdict.until_ms - now_ms)
            self.assertTrue(self.detector.suspended('s', verdict.until_ms - 1))
            now_ms = verdict.until_ms
            self.assertFalse(self.detector.suspended('s', now_ms))
        self.assertEqual(sorted(durations_ms), durations_ms)
        self.assertEqual(outlier_ejection.MAX_SUSPENSION_MS, durations_ms[-1])

    def test_success_resets_the_time_of_suspension(self):
        self.detector.record_failure('s', 'x', 'refused', 1_000)
        self.detector.record_success('s', 'x')
        verdict = self.detector.record_failure('s', 'x', 'refused', 5_000)
        self.assertEqual(
            5_000 + outlier_ejection.INITIAL_SUSPENSION_MS, verdict.until_ms
        )

    def test_server_that_fails_half_its_requests_is_suspended(self):
        rng = random.Random(3)
        suspended_until_ms = 0
        for n in range(200):
            if rng.random() < 0.5:
                verdict = self.detector.record_failure('bad', 'x', 'failed', n)
                suspended_until_ms = suspended_until_ms or verdict.until_ms
            else:
                self.detector.record_success('bad', 'x')
            for _ in range(5):
                self.detector.record_success('good', 'x')
        self.assertGreater(suspended_until_ms, 0)
        self.assertFalse(self.detector.suspended('good', 1))

    def test_no_server_is_suspended_for_the_services_usual_failures(self):
        rng = random.Random(4)
        for n in range(2_000):
            server = f's{n % 4}'
            if rng.random() < 0.14:
                self.detector.record_failure(server, 'x', 'failed', n)
            else:
                self.detector.record_success(server, 'x')
        suspended = [
            n for n in range(4) if self.detector.suspended(f's{n}', 2_000)
        ]
        self.assertEqual([], suspended)

    def test_resets_of_one_crash_do_not_suspend_at_once(self):
        for n in range(10):
            verdict = self.detector.record_failure(
                's', 'x', 'reset', 1_000 + n
            )
            if self.detector.suspended('s', 1_000 + n):
                break
        self.assertGreaterEqual(n, outlier_ejection.MIN_OUTCOMES - 1)
        self.assertIsNotNone(verdict)

    def test_server_that_is_full_is_not_suspended(self):
        verdict = self.detector.record_failure('s', 'x', 'full', 1_000)
        self.assertEqual(outlier_ejection.NOT_SUSPENDED, verdict)


class VersionEvidenceTest(unittest.TestCase):
    def evaluate(self, **fields):
        return version_evidence.evaluate(digests.RolloutEvidence(1, **fields))

    def test_few_failures_are_doubtful(self):
        self.assertEqual(
            'doubtful',
            self.evaluate(candidate_requests=2, candidate_failures=2),
        )

    def test_candidate_with_more_failures_is_bad(self):
        self.assertEqual(
            'bad',
            self.evaluate(
                candidate_requests=8,
                candidate_failures=4,
                baseline_requests=100,
            ),
        )

    def test_candidate_that_fails_like_the_baseline_is_good(self):
        self.assertEqual(
            'good',
            self.evaluate(
                candidate_requests=20,
                candidate_failures=4,
                baseline_requests=200,
                baseline_failures=30,
            ),
        )

    def test_slow_candidate_is_bad(self):
        self.assertEqual(
            'bad',
            self.evaluate(
                candidate_requests=10,
                candidate_timed=10,
                candidate_slow=6,
                baseline_timed=50,
            ),
        )

    def test_candidate_that_is_slow_like_the_baseline_is_good(self):
        self.assertEqual(
            'good',
            self.evaluate(
                candidate_requests=20,
                candidate_timed=20,
                candidate_slow=5,
                baseline_timed=200,
                baseline_slow=40,
            ),
        )

    def test_route_that_is_slow_on_any_version_hides_no_slow_candidate(self):
        slow_on_any = digests.RolloutEvidence(
            0,
            candidate_timed=15,
            candidate_slow=15,
            baseline_timed=60,
            baseline_slow=60,
        )
        other = digests.RolloutEvidence(
            0,
            candidate_timed=25,
            candidate_slow=12,
            baseline_timed=100,
            baseline_slow=2,
        )
        pooled = version_evidence.pool([slow_on_any, other], 0)
        self.assertEqual('undecided', version_evidence.evaluate(pooled))
        by_route = {'slow': slow_on_any, 'other': other}
        verdict = version_evidence.evaluate(pooled, by_route)
        self.assertEqual('bad', verdict)

    def test_candidate_that_is_bad_on_one_route_is_bad(self):
        sound = digests.RolloutEvidence(
            0, candidate_requests=90, baseline_requests=400
        )
        bad = digests.RolloutEvidence(
            0, candidate_requests=8, candidate_failures=4, baseline_requests=40
        )
        pooled = version_evidence.pool([sound, bad], 0)
        by_route = {'sound': sound, 'bad': bad}
        verdict = version_evidence.evaluate(pooled, by_route)
        self.assertEqual('bad', verdict)

    def test_sound_candidate_on_many_routes_is_seldom_doubtful(self):
        rng = random.Random(7)
        doubtful = 0
        for _ in range(200):
            routes = {}
            for number in range(8):
                rate = 0.02 * number
                routes[f'r{number}'] = digests.RolloutEvidence(
                    0,
                    candidate_requests=20,
                    candidate_failures=sum(
                        rng.random() < rate for _ in range(20)
                    ),
                    baseline_requests=100,
                    baseline_failures=sum(
                        rng.random() < rate for _ in range(100)
                    ),
                )
            pooled = version_evidence.pool(routes.values(), 0)
            verdict = version_evidence.evaluate(pooled, routes)
            self.assertNotEqual('bad', verdict)
            doubtful += verdict == 'doubtful'
        self.assertLessEqual(doubtful, 20)

    def test_slow_answers_say_nothing_without_a_baseline(self):
        self.assertEqual(
            'good',
            self.evaluate(
                candidate_requests=20, candidate_timed=20, candidate_slow=20
            ),
        )

    def test_false_alarms_are_rare(self):
        rng = random.Random(6)
        false_alarms = 0
        for _ in range(300):
            candidate = sum(rng.random() < 0.1 for _ in range(40))
            baseline = sum(rng.random() < 0.1 for _ in range(400))
            false_alarms += (
                self.evaluate(
                    candidate_requests=40,
                    candidate_failures=candidate,
                    baseline_requests=400,
                    baseline_failures=baseline,
                )
                == 'bad'
            )
        self.assertLessEqual(false_alarms, 3)

    def test_pool_adds_up_the_evidence_of_one_order_only(self):
        evidence_of_gateways = [
            digests.RolloutEvidence(1, candidate_requests=2),
            digests.RolloutEvidence(2, candidate_requests=50),
            digests.RolloutEvidence(1, candidate_requests=3, elapsed_ms=7),
        ]
        pooled = version_evidence.pool(evidence_of_gateways, 1)
        self.assertEqual(5, pooled.candidate_requests)
        self.assertEqual(7, pooled.elapsed_ms)
