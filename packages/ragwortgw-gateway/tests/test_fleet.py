"""Tests of the gateway's view of the backend servers."""

import unittest

from ragwortgw_gateway import fleet
from tests import harness


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet()
        self.fleet.register([harness.make_server('s1')])

    def available_servers(self):
        return [each.id for each in self.fleet.available_servers('proofs')]

    def test_draining_server_is_not_usable(self):
        change = self.fleet.register(
            [harness.make_server('s1', draining=True)]
        )
        self.assertEqual(('s1',), change.draining)
        self.assertEqual([], self.available_servers())

    def test_server_of_another_service_is_not_usable(self):
        self.assertEqual([], self.fleet.available_servers('orders'))

    def test_deleted_server_is_removed_at_once(self):
        self.assertEqual(('s1',), self.fleet.deregister(['s1']).removed)
        self.assertEqual([], self.available_servers())

    def test_server_that_lapsed_in_an_outage_is_removed_later(self):
        self.fleet.deregister(['s1'], 5_000)
        self.assertEqual(['s1'], self.available_servers())
        self.assertEqual((), self.fleet.expire(4_999).removed)
        self.assertEqual(('s1',), self.fleet.expire(5_000).removed)

    def test_lapsed_server_is_kept_if_it_registers_again(self):
        self.fleet.deregister(['s1'], 5_000)
        self.fleet.register([harness.make_server('s1')])
        self.assertEqual((), self.fleet.expire(9_000).removed)

    def test_draining_server_that_lapses_is_removed_at_once(self):
        self.fleet.register([harness.make_server('s1', draining=True)])
        self.assertEqual(('s1',), self.fleet.deregister(['s1'], 5_000).removed)

    def test_restarted_server_counts_as_added(self):
        change = self.fleet.register([harness.make_server('s1', started_ms=2)])
        self.assertEqual(('s1',), change.added)
        repeated = self.fleet.register(
            [harness.make_server('s1', started_ms=2)]
        )
        self.assertEqual((), repeated.added)

    def test_replaced_server_is_not_usable_until_it_restarts(self):
        self.assertEqual(('s1',), self.fleet.mark_replaced('s1').removed)
        self.fleet.register([harness.make_server('s1')])
        self.assertEqual([], self.available_servers())
        self.fleet.register([harness.make_server('s1', started_ms=2)])
        self.assertEqual(['s1'], self.available_servers())
