"""Tests of the subset of agents and of first-hand evidence."""

import unittest

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import membership
from ragwortgw_core import platform


def at(now_ms):
    """Builds a stamp."""
    return events.Stamp(1_000_000 + now_ms, 0)


def host(number, region='r0', state='live', port=1):
    """Builds a line of the host list."""
    return platform.HostEntry(
        f'a{number}', 'agent', f'10.0.0.{number}:{port}', 'z', region, state
    )


def connects(said):
    """Returns the ids of the agents to connect to."""
    return {e.agent_id for e in said if isinstance(e, effects.ConnectAgent)}


def drops(said):
    """Returns the ids of the agents to drop."""
    return {e.agent_id for e in said if isinstance(e, effects.DropAgent)}


class MembershipTest(unittest.TestCase):
    def setUp(self):
        place = membership.EntryLocation('e1', 'z', 'r0')
        self.members = membership.new_membership(place)

    def join(self, *numbers, now_ms=0):
        self.members.listed(at(now_ms), [host(n) for n in numbers])
        for number in numbers:
            self.members.record_connected(f'a{number}', at(now_ms))

    def test_listed_agents_are_connected_once(self):
        hosts = [host(1), host(2)]
        said = self.members.listed(at(0), hosts)
        self.assertEqual({'a1', 'a2'}, connects(said))
        self.assertEqual([], self.members.listed(at(1), hosts))
        self.assertFalse(self.members.is_usable('a1', at(1)))

    def test_silent_agent_gets_no_work_until_it_answers(self):
        self.join(1)
        limit_ms = membership.SILENCE_LIMIT_MS
        self.assertTrue(self.members.is_usable('a1', at(limit_ms)))
        self.assertFalse(self.members.is_usable('a1', at(limit_ms + 1)))
        self.members.record_report('a1', at(limit_ms + 2))
        self.assertTrue(self.members.is_usable('a1', at(limit_ms + 2)))

    def test_leaving_agent_gets_no_work_though_listed(self):
        self.join(1)
        self.members.record_leaving('a1', at(5))
        self.assertFalse(self.members.is_usable('a1', at(5)))
        said = self.members.listed(at(6), [host(1)])
        self.assertEqual((set(), set()), (connects(said), drops(said)))
        self.members.record_lost('a1', at(7))
        said = self.members.listed(at(8), [host(1)])
        self.assertEqual((set(), {'a1'}), (connects(said), drops(said)))

    def test_agent_back_after_the_lag_is_connected(self):
        self.join(1)
        self.members.record_leaving('a1', at(5))
        self.members.record_lost('a1', at(6))
        late_ms = 3 * membership.HOST_LIST_LAG_MS
        self.members.listed(at(7), [host(1)])
        said = self.members.listed(at(late_ms), [host(1)])
        self.assertEqual({'a1'}, connects(said))

    def test_answering_agent_stays_though_not_listed(self):
        self.join(1)
        said = self.members.listed(at(1), [])
        self.assertEqual(set(), drops(said))
        self.assertTrue(self.members.is_usable('a1', at(1)))
        said = self.members.listed(at(60_000), [])
        self.assertEqual({'a1'}, drops(said))

    def test_listed_as_leaving_counts_unless_it_came_back(self):
        gone = [host(1, state='leaving')]
        late_ms = 2 * membership.HOST_LIST_LAG_MS + 1
        self.join(1)
        self.members.record_report('a1', at(late_ms))
        self.members.listed(at(late_ms), gone)
        self.assertFalse(self.members.is_usable('a1', at(late_ms)))
        self.members.record_connected('a1', at(late_ms + 1))
        self.members.listed(at(late_ms + 2), gone)
        self.assertTrue(self.members.is_usable('a1', at(late_ms + 2)))

    def test_busy_agent_is_not_dropped(self):
        self.join(1)
        said = self.members.listed(at(60_000), [], frozenset(['a1']))
        self.assertEqual(set(), drops(said))

    def test_new_address_means_a_new_connection(self):
        self.join(1)
        said = self.members.listed(at(1), [host(1, port=2)])
        self.assertEqual({'a1'}, drops(said))
        self.assertEqual({'a1'}, connects(said))
        self.assertFalse(self.members.is_usable('a1', at(1)))


class SubsetTest(unittest.TestCase):
    def subset(self, hosts, size=50):
        place = membership.EntryLocation('e1', 'z', 'r0')
        members = membership.new_membership(place, size)
        return connects(members.listed(at(0), hosts))

    def test_own_region_comes_first(self):
        hosts = [host(n, f'r{n % 4}') for n in range(800)]
        chosen = self.subset(hosts)
        own = [h for h in hosts if h.id in chosen and h.region == 'r0']
        self.assertEqual((50, 45), (len(chosen), len(own)))

    def test_small_region_is_filled_up(self):
        hosts = [host(n, 'r0' if n < 5 else 'r1') for n in range(100)]
        chosen = self.subset(hosts)
        self.assertEqual(50, len(chosen))
        self.assertLessEqual({f'a{n}' for n in range(5)}, chosen)

    def test_one_host_less_changes_one_connection(self):
        hosts = [host(n) for n in range(400)]
        before = self.subset(hosts)
        gone = sorted(before)[0]
        after = self.subset([h for h in hosts if h.id != gone])
        self.assertEqual({gone}, before - after)
        self.assertEqual(1, len(after - before))

    def test_entries_spread_over_agents(self):
        hosts = [host(n) for n in range(400)]
        counts = dict.fromkeys((h.id for h in hosts), 0)
        for number in range(80):
            place = membership.EntryLocation(f'e{number}', 'z', 'r0')
            members = membership.new_membership(place, 50)
            for agent_id in connects(members.listed(at(0), hosts)):
                counts[agent_id] += 1
        self.assertLess(max(counts.values()), 3 * 80 * 50 / 400)
        self.assertGreater(min(counts.values()), 0)
