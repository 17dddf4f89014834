"""Tests of the belief in backend servers."""

import unittest

from ragwortgw_gateway import fleet
from tests import harness


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet()
        self.fleet.register([harness.make_server('s1')])

    def available_servers(self):
        return [each.id for each in self.fleet.available_servers('proofs')]

    def test_draining_gets_nothing(self):
        change = self.fleet.register(
            [harness.make_server('s1', draining=True)]
        )
        self.assertEqual(('s1',), change.draining)
        self.assertEqual([], self.available_servers())

    def test_other_service(self):
        self.assertEqual([], self.fleet.available_servers('orders'))

    def test_deleted_is_gone_at_once(self):
        self.assertEqual(('s1',), self.fleet.deregister(['s1']).removed)
        self.assertEqual([], self.available_servers())

    def test_lapsed_in_an_outage_stays_for_a_while(self):
        self.fleet.deregister(['s1'], 5_000)
        self.assertEqual(['s1'], self.available_servers())
        self.assertEqual((), self.fleet.expire(4_999).removed)
        self.assertEqual(('s1',), self.fleet.expire(5_000).removed)

    def test_lapsed_that_comes_back_stays(self):
        self.fleet.deregister(['s1'], 5_000)
        self.fleet.register([harness.make_server('s1')])
        self.assertEqual((), self.fleet.expire(9_000).removed)

    def test_draining_that_lapses_is_gone_at_once(self):
        self.fleet.register([harness.make_server('s1', draining=True)])
        self.assertEqual(('s1',), self.fleet.deregister(['s1'], 5_000).removed)

    def test_new_start_under_the_same_id_counts_as_new(self):
        change = self.fleet.register([harness.make_server('s1', started_ms=2)])
        self.assertEqual(('s1',), change.added)
        again = self.fleet.register([harness.make_server('s1', started_ms=2)])
        self.assertEqual((), again.added)

    def test_replaced_stays_away_until_it_starts_anew(self):
        self.assertEqual(('s1',), self.fleet.mark_replaced('s1').removed)
        self.fleet.register([harness.make_server('s1')])
        self.assertEqual([], self.available_servers())
        self.fleet.register([harness.make_server('s1', started_ms=2)])
        self.assertEqual(['s1'], self.available_servers())
