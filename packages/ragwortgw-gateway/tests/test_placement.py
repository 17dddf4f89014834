"""Tests of the choice of a backend server."""

import unittest

from ragwortgw_gateway import loads
from ragwortgw_gateway import pace
from ragwortgw_gateway import placement
from ragwortgw_gateway import prefixes
from ragwortgw_gateway import requests
from ragwortgw_gateway import suspicion
from tests import gateways

NOW_MS = 1_000


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.loads = loads.LoadBook()
        self.prefixes = prefixes.PrefixBook()
        self.pace = pace.PaceBook()
        self.suspects = suspicion.Suspicion()
        self.placement = placement.Placement(
            'zone-a', self.loads, self.prefixes, self.pace, self.suspects
        )
        self.servers = [gateways.server(f's{n}') for n in range(4)]

    def choose(self, request=None, servers=None, avoid=(), model='large'):
        made = request or gateways.request('r', 'draft')
        return self.placement.choose(
            made, model, servers or self.servers, avoid, 500_000, NOW_MS, 0
        )

    def home(self):
        key = gateways.PROMPT.affinity
        return min(
            self.servers, key=lambda s: prefixes.home_rank(key, s.id)
        ).id

    def test_shared_prefix_goes_home(self):
        self.assertEqual(self.home(), self.choose().server.id)

    def test_home_that_is_busy_for_longer_than_reading_is_left(self):
        self.loads.begin('a', self.home(), 5_000.0, 5_000.0, 0)
        self.assertNotEqual(self.home(), self.choose().server.id)

    def test_home_that_is_busy_for_a_moment_is_kept(self):
        self.prefixes.read(self.home(), 'large', gateways.PROMPT.parts, 0)
        self.loads.begin('a', self.home(), 10.0, 10.0, 0)
        self.assertEqual(self.home(), self.choose().server.id)

    def test_new_prefix_is_not_believed_to_be_cached(self):
        self.assertEqual(3_000, self.choose().unread_tokens)

    def test_server_that_holds_all_beats_its_equals(self):
        other = next(s for s in self.servers if s.id != self.home())
        self.loads.begin('a', self.home(), 200.0, 200.0, 0)
        self.prefixes.read(other.id, 'large', gateways.PROMPT.parts, 0)
        placed = self.choose()
        self.assertEqual(other.id, placed.server.id)
        self.assertEqual(0, placed.unread_tokens)

    def test_avoided_and_suspended_are_left_out(self):
        self.suspects.troubled('s0', 'proofs', 'refused', NOW_MS)
        placed = self.choose(avoid={'s1', 's2'})
        self.assertEqual('s3', placed.server.id)
        self.assertIsNone(self.choose(avoid={'s1', 's2', 's3'}))

    def test_no_server(self):
        self.assertIsNone(
            self.placement.choose(
                gateways.request('r', 'draft'), 'large', [], (), 0, NOW_MS, 0
            )
        )

    def test_full_memory_is_avoided(self):
        self.loads.begin('a', self.home(), 0.0, 0.0, 499_000)
        self.assertNotEqual(self.home(), self.choose().server.id)

    def test_slow_server_is_avoided(self):
        for _ in range(10):
            self.pace.observe_server(self.home(), 100.0, 900.0, NOW_MS)
        self.assertNotEqual(self.home(), self.choose().server.id)

    def test_plain_request_goes_to_the_least_busy(self):
        request = gateways.request('r')
        for server_id, running in (('s0', 40), ('s1', 20), ('s2', 60)):
            for n in range(running):
                self.loads.begin(f'{server_id}-{n}', server_id, 0, 1.0, 0)
        placed = self.choose(request, self.servers[:3], model='')
        self.assertEqual('s1', placed.server.id)

    def test_own_zone_is_preferred_among_equals(self):
        servers = [
            gateways.server('s0', zone='zone-b'),
            gateways.server('s1', zone='zone-a'),
            gateways.server('s2', zone='zone-c'),
        ]
        placed = self.choose(gateways.request('r'), servers, model='')
        self.assertEqual('s1', placed.server.id)

    def test_hot_prefix_spreads_under_load(self):
        """Plays one prefix that gets all the requests at once."""
        used = set()
        for n in range(40):
            placed = self.choose(
                gateways.request(f'r{n}', 'draft')._replace(
                    prompt=requests.Prompt(20_000, 100, gateways.PROMPT.parts)
                )
            )
            used.add(placed.server.id)
            self.loads.begin(
                str(n), placed.server.id, placed.prompt_ms, placed.work_ms, 0
            )
        works = [self.loads.at(each.id).work_ms for each in self.servers]
        self.assertEqual(4, len(used))
        self.assertLess(max(works), 1.6 * min(works))
