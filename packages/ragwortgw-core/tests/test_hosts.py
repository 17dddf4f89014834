"""Tests of how often the host list is read."""

import unittest

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import hosts
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

BASE_MS = 2_000


def host_list(agents, entries):
    """Builds a list."""
    names = [('agent', n) for n in range(agents)]
    names += [('entry', n) for n in range(entries)]
    lines = [
        platform.HostEntry(
            f'{role}-{n}', role, '127.0.0.1:9', 'z', 'r', 'live'
        )
        for role, n in names
    ]
    return platform.HostList(tuple(lines))


class IntervalTest(unittest.TestCase):
    def setUp(self):
        self.calls = platform_calls.PlatformCalls()
        self.lister = hosts.HostListPoller(
            self.calls, BASE_MS, lambda stamp, listed: []
        )

    def reads(self, until_ms, result, seed=0):
        """Ticks each second; counts reads, each answered with result."""
        count = 0
        for now_ms in range(0, until_ms, 1_000):
            stamp = events.Stamp(now_ms + 1_000_000, seed)
            for effect in self.lister.on_tick(stamp):
                self.assertIsInstance(effect, effects.CallPlatform)
                count += 1
                self.calls.on_answer(stamp, effect.op_id, result)
        return count

    def test_a_short_list_is_read_at_the_base_interval(self):
        self.assertEqual(30, self.reads(60_000, host_list(10, 4)))

    def test_a_long_list_is_read_rarely(self):
        listed = host_list(12_000, 360)
        spent = self.reads(1_000_000, listed)
        spent *= len(listed.hosts) * hosts.LINE_BYTES
        self.assertLess(spent, 1_200 * hosts.READ_BYTES_PER_S)

    def test_many_readers_share_their_reads(self):
        self.assertLessEqual(self.reads(360_000, host_list(0, 360)), 21)

    def test_readers_are_spread(self):
        listed = host_list(12_000, 360)
        counts = set()
        for seed in (0, 7_000, 40_000):
            self.setUp()
            self.reads(1_000, listed, seed)
            counts.add((seed, self.reads(150_000, listed, seed)))
        self.assertEqual({(0, 0), (7_000, 0), (40_000, 1)}, counts)

    def test_a_read_that_fails_is_repeated_soon(self):
        self.reads(1_000, host_list(12_000, 360))
        self.assertEqual(4, self.reads(180_000, platform.Unavailable(True)))
