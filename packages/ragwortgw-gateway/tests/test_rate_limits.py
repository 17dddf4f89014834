"""Tests of limits that backend servers announce."""

import unittest

from ragwortgw_gateway import events
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gauges
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
