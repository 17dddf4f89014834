"""Tests of the subset of agents, and of direct evidence about agents.

What the entry learns from its own connections takes precedence over the
host list, which may be out of date.
"""

import unittest

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import membership
from ragwortgw_core import platform


def at(now_ms):
    """Builds the stamp of a time after the start."""
    return events.Stamp(1_000_000 + now_ms, 0)


def host(number, region='r0', state='live', port=1):
    """Builds an agent's entry in the host list."""
    return platform.HostEntry(
        f'a{number}', 'agent', f'10.0.0.{number}:{port}', 'z', region, state
    )


def connected_ids(emitted):
    """Returns the ids of the agents to connect to."""
    return {e.agent_id for e in emitted if isinstance(e, effects.ConnectAgent)}


def dropped_ids(emitted):
    """Returns the ids of the agents to drop."""
    return {e.agent_id for e in emitted if isinstance(e, effects.DropAgent)}


class MembershipTest(unittest.TestCase):
    def setUp(self):
        place = membership.EntryLocation('e1', 'z', 'r0')
        self.membership = membership.new_membership(place)

    def join(self, *numbers, now_ms=0):
        self.membership.apply_host_list(at(now_ms), [host(n) for n in numbers])
        for number in numbers:
            self.membership.record_connected(f'a{number}', at(now_ms))

    def test_connects_to_each_listed_agent_once(self):
        hosts = [host(1), host(2)]
        emitted = self.membership.apply_host_list(at(0), hosts)
        self.assertEqual({'a1', 'a2'}, connected_ids(emitted))
        self.assertEqual([], self.membership.apply_host_list(at(1), hosts))
        self.assertFalse(self.membership.is_usable('a1', at(1)))

    def test_silent_agent_gets_no_work_until_it_responds(self):
        self.join(1)
        limit_ms = membership.SILENCE_LIMIT_MS
        self.assertTrue(self.membership.is_usable('a1', at(limit_ms)))
        self.assertFalse(self.membership.is_usable('a1', at(limit_ms + 1)))
        self.membership.record_report('a1', at(limit_ms + 2))
        self.assertTrue(self.membership.is_usable('a1', at(limit_ms + 2)))

    def test_leaving_agent_gets_no_work_although_it_is_listed(self):
        self.join(1)
        self.membership.record_leaving('a1', at(5))
        self.assertFalse(self.membership.is_usable('a1', at(5)))
        emitted = self.membership.apply_host_list(at(6), [host(1)])
        self.assertEqual(
            (set(), set()), (connected_ids(emitted), dropped_ids(emitted))
        )
        self.membership.record_lost('a1', at(7))
        emitted = self.membership.apply_host_list(at(8), [host(1)])
        self.assertEqual(
            (set(), {'a1'}), (connected_ids(emitted), dropped_ids(emitted))
        )

    def test_returning_agent_is_connected_after_the_list_lag(self):
        self.join(1)
        self.membership.record_leaving('a1', at(5))
        self.membership.record_lost('a1', at(6))
        late_ms = 3 * membership.HOST_LIST_LAG_MS
        self.membership.apply_host_list(at(7), [host(1)])
        emitted = self.membership.apply_host_list(at(late_ms), [host(1)])
        self.assertEqual({'a1'}, connected_ids(emitted))

    def test_responding_agent_is_kept_although_it_is_not_listed(self):
        self.join(1)
        emitted = self.membership.apply_host_list(at(1), [])
        self.assertEqual(set(), dropped_ids(emitted))
        self.assertTrue(self.membership.is_usable('a1', at(1)))
        emitted = self.membership.apply_host_list(at(60_000), [])
        self.assertEqual({'a1'}, dropped_ids(emitted))

    def test_leaving_state_of_the_list_is_ignored_after_a_reconnect(self):
        gone = [host(1, state='leaving')]
        late_ms = 2 * membership.HOST_LIST_LAG_MS + 1
        self.join(1)
        self.membership.record_report('a1', at(late_ms))
        self.membership.apply_host_list(at(late_ms), gone)
        self.assertFalse(self.membership.is_usable('a1', at(late_ms)))
        self.membership.record_connected('a1', at(late_ms + 1))
        self.membership.apply_host_list(at(late_ms + 2), gone)
        self.assertTrue(self.membership.is_usable('a1', at(late_ms + 2)))

    def test_agent_with_attempts_is_not_dropped(self):
        self.join(1)
        emitted = self.membership.apply_host_list(
            at(60_000), [], frozenset(['a1'])
        )
        self.assertEqual(set(), dropped_ids(emitted))

    def test_new_address_causes_a_new_connection(self):
        self.join(1)
        emitted = self.membership.apply_host_list(at(1), [host(1, port=2)])
        self.assertEqual({'a1'}, dropped_ids(emitted))
        self.assertEqual({'a1'}, connected_ids(emitted))
        self.assertFalse(self.membership.is_usable('a1', at(1)))


class SubsetTest(unittest.TestCase):
    def subset(self, hosts, size=50):
        place = membership.EntryLocation('e1', 'z', 'r0')
        tracker = membership.new_membership(place, size)
        return connected_ids(tracker.apply_host_list(at(0), hosts))

    def test_most_agents_are_chosen_from_the_own_region(self):
        hosts = [host(n, f'r{n % 4}') for n in range(800)]
        chosen = self.subset(hosts)
        own = [h for h in hosts if h.id in chosen and h.region == 'r0']
        self.assertEqual((50, 45), (len(chosen), len(own)))

    def test_small_region_is_supplemented_from_others(self):
        hosts = [host(n, 'r0' if n < 5 else 'r1') for n in range(100)]
        chosen = self.subset(hosts)
        self.assertEqual(50, len(chosen))
        self.assertLessEqual({f'a{n}' for n in range(5)}, chosen)

    def test_removal_of_one_host_changes_one_connection(self):
        hosts = [host(n) for n in range(400)]
        before = self.subset(hosts)
        gone = sorted(before)[0]
        after = self.subset([h for h in hosts if h.id != gone])
        self.assertEqual({gone}, before - after)
        self.assertEqual(1, len(after - before))

    def test_connections_are_spread_over_the_agents(self):
        hosts = [host(n) for n in range(400)]
        counts = dict.fromkeys((h.id for h in hosts), 0)
        for number in range(80):
            place = membership.EntryLocation(f'e{number}', 'z', 'r0')
            tracker = membership.new_membership(place, 50)
            for agent_id in connected_ids(
                tracker.apply_host_list(at(0), hosts)
            ):
                counts[agent_id] += 1
        self.assertLess(max(counts.values()), 3 * 80 * 50 / 400)
        self.assertGreater(min(counts.values()), 0)
