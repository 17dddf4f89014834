"""Tests of the gateway's view of the backend servers."""

import unittest

from ragwortgw_gateway import fleet
from tests import harness


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet()
        self.fleet.register([harness.make_server('s1')])

    def available_servers(self):
        return [each.id for each in self.fleet.available_servers('proofs', 0)]

    def test_draining_server_is_not_usable(self):
        change = self.fleet.register(
            [harness.make_server('s1', draining=True)]
        )
        self.assertEqual(('s1',), change.draining)
        self.assertEqual([], self.available_servers())

    def test_server_of_another_service_is_not_usable(self):
        self.assertEqual([], self.fleet.available_servers('orders', 0))

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


LEAVING = fleet.ServerProcess('s1', 1)


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet()
        self.register()

    def register(self, **changes):
        return self.fleet.register([harness.make_server('s1', **changes)])

    def available(self, now_ms, leaving_ms=0):
        servers = self.fleet.available_servers('proofs', now_ms, leaving_ms)
        return [each.id for each in servers]

    def test_leaving_server_accepts_work_for_a_time(self):
        change = self.fleet.mark_leaving(LEAVING, 1_000)
        self.assertEqual(('s1',), change.leaving)
        self.assertEqual(['s1'], self.available(1_499, 500))
        self.assertEqual([], self.available(1_500, 500))

    def test_later_announcement_does_not_extend_the_time(self):
        self.fleet.mark_leaving(LEAVING, 1_000)
        change = self.fleet.mark_leaving(LEAVING, 2_000)
        self.assertEqual((), change.leaving)
        self.assertEqual([], self.available(1_500, 500))

    def test_another_start_of_the_server_is_not_barred(self):
        self.fleet.mark_leaving(LEAVING, 1_000)
        self.register(started_ms=2)
        self.assertEqual(['s1'], self.available(9_000))
        self.assertEqual({}, self.fleet.leaving_processes())

    def test_announcement_of_an_earlier_start_is_ignored(self):
        self.register(started_ms=2)
        change = self.fleet.mark_leaving(LEAVING, 1_000)
        self.assertEqual((), change.leaving)
        self.assertEqual(['s1'], self.available(9_000))

    def test_announcement_may_precede_the_registration(self):
        other = fleet.ServerProcess('s2', 7)
        self.fleet.mark_leaving(other, 1_000)
        self.fleet.register([harness.make_server('s2', started_ms=7)])
        self.assertEqual(['s1'], self.available(9_000))
        self.assertEqual({other: 1_000}, self.fleet.leaving_processes())

    def test_drained_server_does_not_serve_again(self):
        self.register(draining=True)
        self.register()
        self.assertEqual([], self.available(9_000))

    def test_deregistered_server_stays_barred_if_it_comes_back(self):
        self.fleet.mark_leaving(LEAVING, 1_000)
        self.fleet.deregister(['s1'])
        self.assertEqual({}, self.fleet.leaving_processes())
        self.register()
        self.assertEqual([], self.available(9_000))

    def test_processes_are_remembered_up_to_a_bound(self):
        self.fleet.mark_leaving(LEAVING, 1_000)
        for number in range(fleet.MAX_LEAVING):
            process = fleet.ServerProcess(f'x{number}', 1)
            self.fleet.mark_leaving(process, 2_000)
        self.assertEqual(['s1'], self.available(9_000))
        self.assertEqual({}, self.fleet.leaving_processes())


class RestoredRegistrationTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet()
        self.server = harness.make_server('s1')
        self.fleet.register([self.server])
        self.fleet.deregister(['s1'])

    def test_deleted_registration_does_not_come_back_with_an_older_copy(self):
        change = self.fleet.register([self.server], may_be_old=True)
        self.assertEqual(((), {}), (change.added, self.fleet.servers_by_id))

    def test_server_that_registers_later_is_added(self):
        self.assertEqual(('s1',), self.fleet.register([self.server]).added)

    def test_another_start_of_the_server_is_added(self):
        restarted = harness.make_server('s1', started_ms=2)
        change = self.fleet.register([restarted], may_be_old=True)
        self.assertEqual(('s1',), change.added)

    def test_registered_server_is_kept(self):
        self.fleet.register([self.server])
        self.fleet.register([self.server], may_be_old=True)
        self.assertIn('s1', self.fleet.servers_by_id)

    def test_processes_are_remembered_up_to_a_bound(self):
        for number in range(fleet.MAX_DEPARTED):
            self.fleet.register([harness.make_server(f'x{number}')])
            self.fleet.deregister([f'x{number}'])
        change = self.fleet.register([self.server], may_be_old=True)
        self.assertEqual(('s1',), change.added)
