"""Tests of limits that backend servers announce."""

import unittest

from ragwortgw_gateway import events
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gauges
from tests import fleet_driver
from tests import harness


class AnnouncementTest(unittest.TestCase):
    def setUp(self):
        self.gateway = harness.GatewayDriver().start()

    def announce(self, limit_per_s, started_ms=1):
        process = fleet.ServerProcess('s1', started_ms)
        self.gateway.now_ms += 100
        return self.gateway.reduce(
            events.ServerAnnounced(process, False, 0, '', limit_per_s)
        )

    def limit(self):
        """Returns the limit of s1 that the metrics show, None for none."""
        samples = gauges.collect(self.gateway.state, self.gateway.now_ms)
        limits = [
            each.value
            for each in samples
            if each.metric == 'gateway_server_limit_per_s'
        ]
        return limits[0] if limits else None

    def test_limit_is_logged_when_it_changes(self):
        self.announce(1.3)
        (fields,) = self.gateway.logged_fields('server-limit')
        self.assertEqual(('s1', 1.3), (fields['id'], fields['limit_per_s']))
        self.announce(1.3)
        self.assertEqual([], self.gateway.logged_fields('server-limit'))

    def test_limit_lasts_until_an_answer_names_none(self):
        self.announce(1.3)
        self.assertEqual(1.3, self.limit())
        self.announce(None)
        self.assertIsNone(self.limit())

    def test_another_start_of_the_server_has_no_limit(self):
        self.announce(1.3)
        self.gateway.write(
            'servers/s1', harness.make_server('s1', started_ms=2)
        )
        self.assertIsNone(self.limit())


class LimitTest(unittest.TestCase):
    """All gateways together keep to the limit of a server."""

    LIMIT_PER_S = 1.3
    WINDOW_MS = 4_000
    #: Time in which gateways that can reach each other agree.
    CONTACT_MS = 3_000

    def setUp(self):
        self.fleet = fleet_driver.FleetDriver(gateway_count=4, server_count=3)
        self.fleet.limits_by_server['s0'] = self.LIMIT_PER_S
        self.began_ms = self.fleet.now_ms

    def most_in_a_window(self, server_id='s0'):
        """Returns the most requests that reached a server in a window."""
        times_ms = [
            at_ms
            for at_ms, reached in self.fleet.arrivals
            if reached == server_id and at_ms > self.began_ms + self.CONTACT_MS
        ]
        return max(
            sum(0 <= at_ms - first_ms < self.WINDOW_MS for at_ms in times_ms)
            for first_ms in times_ms
        )

    def send(self, duration_ms, interval_ms, route_id):
        """Sends requests to all gateways in turn.

        Returns: Their ids.
        """
        until_ms = self.fleet.now_ms + duration_ms
        request_ids = []
        while self.fleet.now_ms < until_ms:
            for gateway in self.fleet.gateways:
                request_ids.append(
                    self.fleet.send(gateway, ['festival'], route_id=route_id)
                )
            self.fleet.run(interval_ms)
        return request_ids

    def check_limit(self):
        allowed = 1.5 * self.LIMIT_PER_S * self.WINDOW_MS / 1_000 + 5
        self.assertLessEqual(self.most_in_a_window(), allowed)

    def test_server_gets_no_more_prompts_than_its_limit(self):
        self.send(16_000, 200, 'draft')
        self.check_limit()

    def test_server_gets_no_more_plain_requests_than_its_limit(self):
        self.send(16_000, 200, 'status')
        self.check_limit()

    def test_server_gets_about_what_it_takes(self):
        self.send(16_000, 200, 'draft')
        reached = sum(
            server_id == 's0' for _, server_id in self.fleet.arrivals
        )
        self.assertGreater(reached, 0.8 * 16 * self.LIMIT_PER_S)

    def test_other_servers_get_what_the_limit_leaves(self):
        request_ids = self.send(8_000, 400, 'status')
        self.fleet.run(2_000)
        self.assertEqual([], self.fleet.refused)
        self.assertEqual(set(request_ids), set(self.fleet.answered))

    def test_peers_keep_to_a_limit_that_one_gateway_was_told(self):
        told, *others = self.fleet.gateways
        server = harness.make_server('s0')
        self.fleet.announce(told, 's0')
        self.fleet.run(600)
        for gateway in others:
            limits = gateway.state.rate_limits
            self.assertEqual(self.LIMIT_PER_S, limits.limit_per_s(server))

    def test_gateway_that_starts_is_told_of_limits(self):
        self.send(2_000, 200, 'draft')
        started = self.fleet.add_gateway('edge-9')
        self.fleet.run(1_000)
        limits = started.state.rate_limits
        server = harness.make_server('s0')
        self.assertEqual(self.LIMIT_PER_S, limits.limit_per_s(server))

    def test_limit_ends_everywhere_when_an_answer_names_none(self):
        self.send(4_000, 200, 'draft')
        del self.fleet.limits_by_server['s0']
        self.send(4_000, 200, 'draft')
        for gateway in self.fleet.gateways:
            limits = gateway.state.rate_limits
            self.assertIsNone(limits.limit_per_s(harness.make_server('s0')))

    def test_server_that_takes_no_requests_is_asked_now_and_then(self):
        self.fleet.limits_by_server['s0'] = 0.0
        self.send(4_000, 200, 'draft')
        del self.fleet.limits_by_server['s0']
        self.fleet.arrivals.clear()
        self.send(12_000, 200, 'draft')
        reached = [each for each in self.fleet.arrivals if each[1] == 's0']
        self.assertTrue(reached)

    def test_request_is_refused_at_once_while_all_servers_are_at_limits(self):
        for server_id in self.fleet.servers:
            self.fleet.limits_by_server[server_id] = 1.0
            self.fleet.announce(self.fleet.gateways[0], server_id)
        gateway = self.fleet.gateways[0]
        for _ in self.fleet.servers:
            self.fleet.send(gateway, ['festival'])
        self.assertEqual([], self.fleet.refused)
        request_id = self.fleet.send(gateway, ['festival'])
        self.assertEqual([request_id], self.fleet.refused)
        self.assertLessEqual(gateway.refusal_retry_ms(), 1_000)
