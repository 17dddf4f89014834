"""Tests of what is learned about the waits in servers' queues."""

import unittest

from ragwortgw_gateway import queue_waits

NOW_MS = 1_000
LIMIT_MS = 5_000
QUEUE = queue_waits.Queue('s', 'label', 2)


class WaitTrackerTest(unittest.TestCase):
    def setUp(self):
        self.waits = queue_waits.WaitTracker()

    def observe(
        self,
        forecast_ms,
        measured_ms,
        count=40,
        limit_ms=LIMIT_MS,
        answered=True,
    ):
        for _ in range(count):
            self.waits.observe(
                QUEUE, limit_ms, forecast_ms, measured_ms, answered, NOW_MS
            )

    def factor(self, queue=QUEUE, now_ms=NOW_MS):
        return self.waits.factor(queue, now_ms)

    def test_forecasts_are_right_at_first(self):
        self.assertEqual(1.0, self.factor())

    def test_factor_follows_waits_that_are_longer(self):
        self.observe(1_000.0, 4_000.0)
        self.assertAlmostEqual(4.0, self.factor(), delta=0.2)

    def test_waits_without_an_answer_would_have_been_longer(self):
        """One in two requests is answered, the others give up in between."""
        self.observe(1_000.0, 1_000.0)
        self.observe(1_000.0, 2_000.0, answered=False)
        self.assertAlmostEqual(3.0, self.factor(), delta=0.1)

    def test_waits_without_any_answer_have_no_upper_bound(self):
        self.observe(500.0, 3_000.0, count=4, answered=False)
        first = self.factor()
        self.observe(500.0, 3_000.0, count=4, answered=False)
        self.assertGreater(self.factor(), 1.5 * first)

    def test_shorter_waits_make_no_request_faster(self):
        self.observe(1_000.0, 200.0)
        self.assertEqual(1.0, self.factor())

    def test_a_few_short_waits_say_little(self):
        self.observe(0.0, 60.0, count=3)
        self.assertLess(self.factor(), 1.2)

    def test_queues_are_separate(self):
        self.observe(1_000.0, 4_000.0)
        for other in (
            QUEUE._replace(urgency=0),
            QUEUE._replace(service='t'),
            QUEUE._replace(route_id='chat'),
        ):
            self.assertEqual(1.0, self.factor(other))

    def test_waits_are_forgotten(self):
        self.observe(1_000.0, 4_000.0, count=4)
        later_ms = NOW_MS + 10 * LIMIT_MS
        self.assertAlmostEqual(1.0, self.factor(now_ms=later_ms), delta=0.01)

    def test_waits_count_for_as_long_as_one_may_take(self):
        """Requests that may wait for a minute end unanswered after that."""
        self.observe(
            6_000.0, 60_000.0, count=4, limit_ms=60_000, answered=False
        )
        first = self.factor()
        later = self.factor(now_ms=NOW_MS + 30_000)
        self.assertGreater(later, 0.5 * first)

    def test_scale_of_time_does_not_matter(self):
        self.observe(300.0, 900.0, count=3, limit_ms=5_000)
        other = queue_waits.WaitTracker()
        for _ in range(3):
            other.observe(QUEUE, 50_000, 3_000.0, 9_000.0, True, NOW_MS)
        self.assertAlmostEqual(self.factor(), other.factor(QUEUE, NOW_MS))
