"""Tests of what backend servers announce in their answers."""

import unittest

from ragwortgw_core import effects as core_effects
from ragwortgw_core import errors
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gateway
from tests import harness

DRAIN_MS = 2_000


class AnnouncementCase(unittest.TestCase):
    def setUp(self):
        self.gateway = harness.GatewayDriver(
            options=gateway.Options(drain_ms=DRAIN_MS)
        ).start()

    def announce(
        self,
        server_id='s1',
        leaving=False,
        pause_ms=0,
        malformed='',
        started_ms=1,
    ):
        return self.gateway.reduce(
            events.ServerAnnounced(
                fleet.ServerProcess(server_id, started_ms),
                leaving,
                pause_ms,
                malformed,
            )
        )

    def servers_of(self, count, **changes):
        """Returns the ids of the servers that some requests are sent to."""
        server_ids = set()
        for number in range(count):
            request_id = f'r{self.gateway.now_ms}-{number}'
            dispatch = self.gateway.arrive(request_id, **changes)
            server_ids.add(dispatch and dispatch.server_id)
        return server_ids


class LeavingTest(AnnouncementCase):
    def test_leaving_server_gets_no_requests_while_another_is_left(self):
        self.announce(leaving=True)
        self.assertEqual({'s2'}, self.servers_of(20))
        self.assertEqual({'s2'}, self.servers_of(20, route_id='draft'))

    def test_leaving_is_logged_once(self):
        self.announce(leaving=True)
        (fields,) = self.gateway.logged_fields('server')
        self.assertEqual(
            ('s1', 'leaving'), (fields['server'], fields['change'])
        )
        self.announce(leaving=True)
        self.assertEqual([], self.gateway.logged_fields('server'))

    def test_what_runs_at_a_leaving_server_is_not_cancelled(self):
        first = self.gateway.arrive('r1')
        self.announce(first.server_id, leaving=True)
        self.assertEqual([], self.gateway.effects_of(effects.Cancel))
        self.gateway.finish_attempt(first)
        self.assertEqual(1, len(self.gateway.effects_of(effects.Respond)))

    def test_last_servers_serve_for_a_part_of_the_time_that_is_left(self):
        self.announce('s1', leaving=True)
        self.announce('s2', leaving=True)
        self.gateway.now_ms += DRAIN_MS // 2 - 1
        self.assertNotIn(None, self.servers_of(4))
        self.gateway.now_ms += 1
        self.assertEqual({None}, self.servers_of(4))
        self.assertIsInstance(self.gateway.refusal(), errors.NoBackendServer)

    def test_repeats_avoid_a_leaving_server(self):
        first = self.gateway.arrive('r1')
        self.announce(first.server_id, leaving=True)
        self.gateway.now_ms += DRAIN_MS
        self.gateway.break_attempt(first)
        self.assertNotEqual(
            first.server_id, self.gateway.dispatched().server_id
        )

    def test_restarted_server_gets_requests(self):
        self.announce(leaving=True)
        restarted = harness.make_server('s1', started_ms=2)
        self.gateway.write('servers/s1', restarted)
        self.gateway.tick(3_000)
        self.assertEqual({'s1', 's2'}, self.servers_of(20))

    def test_peers_learn_of_a_leaving_server(self):
        other = harness.GatewayDriver('edge-2').start()
        self.announce(leaving=True)
        other.receive_digest_from(self.gateway)
        (fields,) = other.logged_fields('server')
        self.assertTrue(fields['second_hand'])
        dispatches = {other.arrive(f'r{n}').server_id for n in range(20)}
        self.assertEqual({'s2'}, dispatches)

    def test_time_of_a_last_resort_runs_from_the_first_announcement(self):
        other = harness.GatewayDriver('edge-2').start(servers=('s1',))
        self.announce(leaving=True)
        self.gateway.now_ms += DRAIN_MS // 2
        other.now_ms = self.gateway.now_ms
        other.receive_digest_from(self.gateway)
        self.assertIsNone(other.arrive('r1'))


class PauseTest(AnnouncementCase):
    def refuse(self, dispatch, pause_ms=3_000):
        """Has a server refuse an attempt and ask for a pause."""
        self.announce(dispatch.server_id, pause_ms=pause_ms)
        announced = self.gateway.effects
        self.gateway.reduce(events.AttemptRefused(dispatch.attempt_id, False))
        return announced

    def test_paused_server_gets_nothing_until_the_end(self):
        first = self.gateway.arrive('r1')
        self.refuse(first)
        second = self.gateway.dispatched()
        self.assertNotEqual(first.server_id, second.server_id)
        self.gateway.now_ms += 2_999
        self.assertEqual({second.server_id}, self.servers_of(20))
        self.gateway.now_ms += 1
        self.assertIn(first.server_id, self.servers_of(20))

    def test_attempts_that_are_not_sent_yet_are_withdrawn(self):
        announced = self.refuse(self.gateway.arrive('r1'))
        paused = [
            each for each in announced if isinstance(each, effects.PauseServer)
        ]
        self.assertEqual(1, len(paused))

    def test_withdrawn_attempt_goes_elsewhere_at_no_cost(self):
        first = self.gateway.arrive('r1', 'order')
        self.announce(first.server_id, pause_ms=3_000)
        self.gateway.break_attempt(first, 'paused', 'no')
        second = self.gateway.dispatched()
        self.assertNotEqual(first.server_id, second.server_id)
        suspensions = self.gateway.logged_fields('server-suspended')
        self.assertEqual([], suspensions)
        failures = self.gateway.state.outliers.failure_share(
            first.server_id, 'proofs'
        )
        self.assertEqual(0.0, failures)

    def test_requests_are_refused_at_once_if_all_servers_pause(self):
        first = self.gateway.arrive('r1', 'order')
        self.refuse(first, 3_000)
        second = self.gateway.dispatched()
        self.refuse(second, 1_000)
        self.assertIsInstance(self.gateway.refusal(), errors.NoBackendServer)
        self.assertIsNone(self.gateway.arrive('r2'))
        retry_ms = self.gateway.refusal().retry_after_ms
        self.assertLessEqual(retry_ms, 1_300)
        self.assertGreaterEqual(retry_ms, 700)

    def test_request_that_may_have_run_waits_for_the_end(self):
        first = self.gateway.arrive('r1')
        self.announce('s1', pause_ms=1_000)
        self.announce('s2', pause_ms=1_000)
        self.gateway.break_attempt(first)
        self.assertIsNone(self.gateway.refusal())
        self.assertIsNone(self.gateway.dispatched())
        self.gateway.tick(999)
        self.assertIsNone(self.gateway.dispatched())
        self.gateway.tick(1)
        self.assertIsNotNone(self.gateway.dispatched())

    def test_pause_is_logged(self):
        self.announce(pause_ms=3_000)
        (fields,) = self.gateway.logged_fields('server-paused')
        self.assertEqual(('s1', 3_000), (fields['server'], fields['asked_ms']))
        counts = self.gateway.effects_of(core_effects.Count)
        self.assertEqual('gateway_server_pauses', counts[0].metric)

    def test_malformed_pause_is_logged_and_ignored(self):
        self.announce(malformed='soon')
        (fields,) = self.gateway.logged_fields('server-pause-ignored')
        self.assertEqual('soon', fields['retry_after'])
        self.assertEqual({'s1', 's2'}, self.servers_of(20))

    def test_nothing_is_copied_from_a_paused_server(self):
        self.announce(pause_ms=3_000)
        dispatch = self.gateway.arrive('r1', 'draft')
        self.assertEqual(('s2', ''), (dispatch.server_id, dispatch.copy_from))
