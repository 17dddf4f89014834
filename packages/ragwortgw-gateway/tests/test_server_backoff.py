"""Tests of the pauses that backend servers ask for."""

import unittest

from ragwortgw_gateway import server_backoff
from tests import harness

NOW_MS = 1_000
#: Seed of the shortest and of the longest delay of a pause's end.
SHORTEST = 0
LONGEST = server_backoff.SPREAD_STEPS - 1


class BackoffTrackerTest(unittest.TestCase):
    def setUp(self):
        self.backoff = server_backoff.BackoffTracker()
        self.server = harness.make_server('s1', started_ms=5)
        self.other = harness.make_server('s2', started_ms=5)

    def pause(self, pause_ms, now_ms=NOW_MS, seed=SHORTEST, server_id='s1'):
        return self.backoff.pause(server_id, 5, pause_ms, now_ms, seed)

    def test_server_is_paused_until_the_end(self):
        self.assertEqual(3_000, self.pause(2_000))
        self.assertTrue(self.backoff.paused(self.server, 2_999))
        self.assertFalse(self.backoff.paused(self.server, 3_000))
        self.assertFalse(self.backoff.paused(self.other, NOW_MS))

    def test_shorter_pause_does_not_replace_a_longer_one(self):
        self.pause(2_000)
        self.assertEqual(3_000, self.pause(100, NOW_MS + 500))

    def test_another_start_of_the_server_is_not_bound(self):
        self.pause(2_000)
        restarted = self.server._replace(started_ms=6)
        self.assertFalse(self.backoff.paused(restarted, NOW_MS))

    def test_restarted_server_may_ask_for_a_shorter_pause(self):
        self.pause(2_000)
        until_ms = self.backoff.pause('s1', 6, 100, NOW_MS, SHORTEST)
        self.assertEqual(NOW_MS + 100, until_ms)

    def test_absurd_pauses_are_bounded(self):
        until_ms = self.pause(10**12, seed=LONGEST)
        longest_ms = server_backoff.MAX_PAUSE_MS + server_backoff.MAX_SPREAD_MS
        self.assertLessEqual(until_ms - NOW_MS, longest_ms)

    def test_ends_of_equal_pauses_are_spread_and_never_early(self):
        ends_ms = {
            self.pause(2_000, seed=seed, server_id=f'x{seed}')
            for seed in range(0, server_backoff.SPREAD_STEPS, 64)
        }
        self.assertGreater(len(ends_ms), 10)
        self.assertGreaterEqual(min(ends_ms), NOW_MS + 2_000)
        self.assertLess(max(ends_ms), NOW_MS + 2_500)

    def test_server_that_is_gone_is_forgotten(self):
        self.pause(2_000)
        self.backoff.forget('s1')
        self.assertEqual(0, self.backoff.until_ms(self.server))
