"""Tests of the interval at which the host list is read."""

import unittest

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import hosts
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

BASE_MS = 2_000


def host_list(agents, entries):
    """Builds a host list with these numbers of agents and entries."""
    names = [('agent', n) for n in range(agents)]
    names += [('entry', n) for n in range(entries)]
    hosts_listed = [
        platform.HostEntry(
            f'{role}-{n}', role, '127.0.0.1:9', 'z', 'r', 'live'
        )
        for role, n in names
    ]
    return platform.HostList(tuple(hosts_listed))


class IntervalTest(unittest.TestCase):
    def setUp(self):
        self.calls = platform_calls.PlatformCalls()
        self.poller = hosts.HostListPoller(
            self.calls, BASE_MS, lambda stamp, listed: []
        )

    def count_reads(self, until_ms, result, seed=0):
        """Ticks every second, answers reads with result and counts them."""
        count = 0
        for now_ms in range(0, until_ms, 1_000):
            stamp = events.Stamp(now_ms + 1_000_000, seed)
            for effect in self.poller.on_tick(stamp):
                self.assertIsInstance(effect, effects.CallPlatform)
                count += 1
                self.calls.on_answer(stamp, effect.op_id, result)
        return count

    def test_short_list_is_read_at_the_minimum_interval(self):
        self.assertEqual(30, self.count_reads(60_000, host_list(10, 4)))

    def test_long_list_is_read_within_the_byte_rate(self):
        listed = host_list(12_000, 360)
        bytes_read = self.count_reads(1_000_000, listed)
        bytes_read *= len(listed.hosts) * hosts.LINE_BYTES
        self.assertLess(bytes_read, 1_200 * hosts.READ_BYTES_PER_S)

    def test_interval_grows_with_the_number_of_entries(self):
        self.assertLessEqual(self.count_reads(360_000, host_list(0, 360)), 21)

    def test_interval_has_jitter(self):
        listed = host_list(12_000, 360)
        counts = set()
        for seed in (0, 7_000, 40_000):
            self.setUp()
            self.count_reads(1_000, listed, seed)
            counts.add((seed, self.count_reads(150_000, listed, seed)))
        self.assertEqual({(0, 0), (7_000, 0), (40_000, 1)}, counts)

    def test_failed_read_is_retried_at_the_minimum_interval(self):
        self.count_reads(1_000, host_list(12_000, 360))
        self.assertEqual(
            4, self.count_reads(180_000, platform.Unavailable(True))
        )
