"""Tests of route lookup."""

import collections
import unittest

from ragwortgw_gateway import documents
from ragwortgw_gateway import routes
from tests import harness


class MatchTest(unittest.TestCase):
    def setUp(self):
        configured = (
            harness.make_route('a', prefix='/a/'),
            harness.make_route('ab', prefix='/a/b/'),
            harness.make_route('other', host='other.example', prefix='/a/'),
        )
        self.table = routes.RouteTable(
            harness.make_configuration(routes=configured)
        )

    def match(self, host, path):
        route = self.table.match(host, path)
        return None if route is None else route.id

    def test_longest_prefix_matches(self):
        self.assertEqual('ab', self.match('print.example', '/a/b/c'))
        self.assertEqual('a', self.match('print.example', '/a/bc'))
        self.assertEqual('a', self.match('print.example', '/a/'))

    def test_prefix_ends_at_a_slash(self):
        self.assertIsNone(self.match('print.example', '/a'))
        self.assertIsNone(self.match('print.example', 'a/'))

    def test_only_routes_of_the_host_match(self):
        self.assertEqual('other', self.match('other.example', '/a/b/c'))
        self.assertIsNone(self.match('third.example', '/a/b/c'))

    def test_key_belongs_to_its_organisation(self):
        self.assertEqual(
            'festival', self.table.find_organisation(harness.KEY).id
        )
        self.assertIsNone(self.table.find_organisation('other'))
        self.assertIsNone(self.table.find_organisation(''))


class TargetTest(unittest.TestCase):
    def test_shares_follow_the_weights(self):
        targets = (documents.Target('a', 90), documents.Target('b', 10))
        route = harness.make_route('r', targets=targets)
        counts = collections.Counter(
            routes.choose_target(route, str(n)) for n in range(5_000)
        )
        self.assertAlmostEqual(500, counts['b'], delta=100)

    def test_target_with_weight_zero_is_not_chosen(self):
        targets = (documents.Target('a', 0), documents.Target('b', 10))
        route = harness.make_route('r', targets=targets)
        chosen = {routes.choose_target(route, str(n)) for n in range(1_000)}
        self.assertEqual({'b'}, chosen)


class UrgentRoutesTest(unittest.TestCase):
    def test_routes_of_a_rank_are_those_up_to_it(self):
        configured = tuple(
            harness.make_route(name, priority=rank)
            for rank, name in enumerate('abc')
        )
        table = routes.RouteTable(
            harness.make_configuration(routes=configured)
        )

        def names(service, rank):
            found = table.routes_up_to(service, rank)
            return ''.join(route.id for route in found)

        self.assertEqual('a', names('proofs', 0))
        self.assertEqual('ab', names('proofs', 1))
        self.assertEqual('abc', names('proofs', 2))
        self.assertEqual('', names('other', 2))
