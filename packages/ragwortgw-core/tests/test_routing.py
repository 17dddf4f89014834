"""Tests of routing: affinity, load bound, zones and load estimates."""

import unittest

import hypothesis
from hypothesis import strategies

from ragwortgw_core import events
from ragwortgw_core import routing
from tests import properties

STAMP = events.Stamp(1_000_000, 0x1234_5678_9ABC_DEF0)


def make_candidate(number, **changes):
    fields = {
        'agent_id': f'agent-{number}',
        'zone': 'abc'[number % 3],
        'slots': 8,
        'running': 0,
        'inflight': 0,
        'report_age_ms': 0,
        'cache_hint': False,
        'healthy': True,
    }
    return routing.Candidate(**{**fields, **changes})


def choose(candidates, key='', zone='a', **changes):
    return routing.choose_agent(candidates, key, zone, STAMP, **changes)


class ChooseTest(unittest.TestCase):
    def test_key_keeps_its_agent_when_another_is_removed(self):
        candidates = [make_candidate(number) for number in range(9)]
        chosen = choose(candidates, 'key')
        self.assertEqual(chosen, choose(candidates[::-1], 'key', zone='b'))
        remaining = [each for each in candidates if each.agent_id != chosen]
        keys = [f'key-{number}' for number in range(50)]
        for key in keys:
            before = choose(candidates, key)
            if before != chosen:
                self.assertEqual(before, choose(remaining, key))

    def test_key_moves_to_another_agent_beyond_the_load_bound(self):
        candidates = [make_candidate(number) for number in range(4)]
        first = choose(candidates, 'key')
        loaded = [
            each._replace(running=5) if each.agent_id == first else each
            for each in candidates
        ]
        self.assertNotEqual(first, choose(loaded, 'key'))

    def test_agent_with_the_cached_prefix_is_preferred(self):
        candidates = [make_candidate(number) for number in range(6)]
        for number in range(6):
            with_hint = list(candidates)
            with_hint[number] = make_candidate(number, cache_hint=True)
            self.assertEqual(f'agent-{number}', choose(with_hint, 'key'))

    def test_own_zone_is_preferred_without_a_key(self):
        candidates = [make_candidate(number) for number in range(3)]
        self.assertEqual('agent-1', choose(candidates, zone='b'))
        candidates[1] = make_candidate(1, running=8)
        self.assertNotEqual('agent-1', choose(candidates, zone='b'))

    def test_no_agent_is_chosen_when_all_are_full_or_unhealthy(self):
        full = [make_candidate(1, running=8), make_candidate(2, healthy=False)]
        self.assertIsNone(choose(full))
        self.assertIsNone(choose(full, 'key'))
        self.assertIsNone(choose([], 'key'))

    def test_reserved_slots_stay_free(self):
        candidates = [make_candidate(1, running=6)]
        self.assertIsNone(choose(candidates, reserved_fraction=0.25))
        self.assertEqual('agent-1', choose(candidates))

    @properties.settings()
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 8),
                strategies.integers(0, 10),
                strategies.integers(0, 10),
                strategies.booleans(),
            ),
            max_size=8,
        ),
        strategies.sampled_from(['', 'key']),
    )
    def test_chosen_agent_is_healthy_and_has_a_free_slot(self, rows, key):
        candidates = [
            make_candidate(
                number,
                slots=slots,
                running=running,
                inflight=inflight,
                inflight_at_report=min(running, inflight),
                healthy=healthy,
            )
            for number, (slots, running, inflight, healthy) in enumerate(rows)
        ]
        chosen = choose(candidates, key)
        by_id = {each.agent_id: each for each in candidates}
        if chosen is None:
            for each in candidates:
                load = max(each.running, each.inflight)
                self.assertTrue(not each.healthy or load >= each.slots)
            return
        self.assertTrue(by_id[chosen].healthy)
        self.assertLess(by_id[chosen].inflight, by_id[chosen].slots)


class AgentLoadTest(unittest.TestCase):
    def test_own_attempts_in_a_report_are_not_counted_twice(self):
        load = routing.AgentLoadTracker()
        load.record_dispatched(100)
        load.record_dispatched(300)
        load.apply_report(5, 8, 200, 2_200)
        candidate = load.candidate('agent', 'a', 8, 2_200)
        self.assertEqual(5, candidate.running)
        self.assertEqual(1, candidate.inflight_at_report)
        self.assertEqual(2, candidate.inflight)
        self.assertEqual(2_000, candidate.report_age_ms)

    def test_ended_attempts_lower_the_estimate(self):
        load = routing.AgentLoadTracker()
        load.record_dispatched(100)
        load.apply_report(1, 8, 200, 200)
        load.record_ended(300)
        candidate = load.candidate('agent', 'a', 8, 300)
        [loaded] = routing.estimate_loads([candidate])
        self.assertEqual(0, loaded.load)

    def test_reports_out_of_order_are_ignored(self):
        load = routing.AgentLoadTracker()
        load.apply_report(1, 8, 200, 200)
        load.apply_report(7, 8, 100, 300)
        self.assertEqual(1, load.candidate('agent', 'a', 8, 300).running)
