"""Tests of what is done about a prefix block that crashes servers."""

import unittest

from ragwortgw_gateway import crash_evidence
from ragwortgw_gateway import digests
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gauges
from ragwortgw_gateway import quarantine
from ragwortgw_gateway import report_schedule
from ragwortgw_gateway import requests
from tests import fleet_driver

BAD = fleet_driver.BAD_BLOCK
#: Time in which gateways that can reach each other agree.
CONTACT_MS = 3_000
#: Crashes after which a block counts as known to crash servers.
CRASHES = 5
#: Requests with such a block that may reach servers after that.
MAX_SENT = 3
INTERVAL_MS = 400


class Traffic:
    """Sends sound requests and such with the bad block, in turn."""

    def __init__(self, crashing):
        self.fleet = crashing
        self.turn = 0
        self.sound_ids = []

    def run(self, duration_ms, bad=True):
        """Sends requests for some time."""
        until_ms = self.fleet.now_ms + duration_ms
        while self.fleet.now_ms < until_ms:
            self.turn += 1
            gateways = self.fleet.gateways
            gateway = gateways[self.turn % len(gateways)]
            sound = [f'festival-{self.turn % 3}', f'brief-{self.turn % 7}']
            self.sound_ids.append(self.fleet.send(gateway, sound))
            other = gateways[(self.turn // 2) % len(gateways)]
            if bad:
                self.fleet.send(other, [f'festival-{self.turn % 3}', BAD])
            self.fleet.run(INTERVAL_MS)


class BadBlockTest(unittest.TestCase):
    def sent_late(self, crashing):
        """Returns how many bad requests reached servers too late."""
        self.assertGreaterEqual(len(crashing.crashed), 1)
        if len(crashing.crashed) < CRASHES:
            return 0
        known_ms = crashing.crashed[CRASHES - 1][0] + CONTACT_MS
        return sum(sent_ms > known_ms for sent_ms in crashing.bad_sent)

    def test_different_requests_with_one_bad_block_stop_crashing_servers(self):
        crashing = fleet_driver.FleetDriver()
        Traffic(crashing).run(30_000)
        self.assertLessEqual(self.sent_late(crashing), MAX_SENT)

    def test_gateways_agree_on_the_block_without_the_store(self):
        crashing = fleet_driver.FleetDriver()
        crashing.store_reachable = False
        Traffic(crashing).run(30_000)
        self.assertLessEqual(self.sent_late(crashing), MAX_SENT)
        for gateway in crashing.gateways:
            self.assertEqual({BAD}, gateway.state.quarantine.blocks)

    def test_sound_requests_with_the_other_blocks_are_served(self):
        crashing = fleet_driver.FleetDriver()
        traffic = Traffic(crashing)
        traffic.run(10_000)
        traffic.sound_ids.clear()
        traffic.run(10_000)
        crashing.run(2_000)
        self.assertEqual(
            set(), set(traffic.sound_ids) - set(crashing.answered)
        )

    def test_requests_in_progress_are_withdrawn_before_they_begin(self):
        crashing = fleet_driver.FleetDriver()
        gateway = crashing.gateways[0]
        request_id = crashing.send(gateway, ['festival', BAD])
        gateway.state.quarantine.add('other', crashing.stamp())
        report = digests.CrashReport(
            'edge-1', (), {}, (digests.QuarantinedBlock(BAD, 60_000),)
        )
        gateway.receive_message(report)
        crashing.run(2_000)
        self.assertEqual([request_id], crashing.refused)
        self.assertEqual([], crashing.crashed)

    def test_gateway_that_restarts_knows_the_block_from_the_store(self):
        crashing = fleet_driver.FleetDriver()
        Traffic(crashing).run(10_000)
        for gateway in list(crashing.gateways):
            crashing.restart(gateway)
        sent = len(crashing.bad_sent)
        crashing.send(crashing.gateways[0], ['festival', BAD])
        crashing.run(1_000)
        self.assertEqual(sent, len(crashing.bad_sent))

    def test_gateway_that_restarts_without_the_store_asks_its_peers(self):
        crashing = fleet_driver.FleetDriver()
        Traffic(crashing).run(10_000)
        crashing.forget_stored()
        restarted = crashing.restart(crashing.gateways[0])
        crashing.run(1_000)
        self.assertEqual({BAD}, restarted.state.quarantine.blocks)

    def test_values_that_a_restored_store_lost_are_written_again(self):
        crashing = fleet_driver.FleetDriver()
        Traffic(crashing).run(10_000)
        crashing.forget_stored()
        gateway = crashing.gateways[0]
        gateway.state.quarantine.on_store_restored(crashing.stamp())
        crashing.run(3_000)
        self.assertEqual(1, len(crashing.stored))

    def test_block_is_released_when_its_value_is_deleted(self):
        crashing = fleet_driver.FleetDriver()
        Traffic(crashing).run(10_000)
        (key,) = crashing.stored
        for gateway in crashing.gateways:
            gateway.delete(key)
        crashing.run(2_000)
        for gateway in crashing.gateways:
            self.assertFalse(gateway.state.quarantine.blocks)

    def test_gauge_counts_the_blocks(self):
        crashing = fleet_driver.FleetDriver()
        Traffic(crashing).run(10_000)
        state = crashing.gateways[0].state
        value_by_metric = {
            gauge.metric: gauge.value
            for gauge in gauges.collect(state, crashing.now_ms)
        }
        self.assertEqual(1, value_by_metric['gateway_blocks_in_quarantine'])

    def test_block_is_released_in_time_and_deleted(self):
        crashing = fleet_driver.FleetDriver()
        Traffic(crashing).run(10_000)
        (key,) = crashing.stored
        gateway = crashing.gateways[0]
        gateway.tick(quarantine.LIFETIME_MS)
        calls = [each.call for each in gateway.store_calls]
        deleted = [each.key for each in calls if hasattr(each, 'key')]
        self.assertIn(key, deleted)
        self.assertFalse(gateway.state.quarantine.blocks)


class SoundBlockTest(unittest.TestCase):
    """Other faults of servers put no block in quarantine."""

    def setUp(self):
        self.fleet = fleet_driver.FleetDriver()
        self.traffic = Traffic(self.fleet)

    def check_nothing_quarantined(self):
        for gateway in self.fleet.gateways:
            self.assertFalse(gateway.state.quarantine.blocks)

    def test_servers_that_lose_power_together(self):
        self.traffic.run(2_000, bad=False)
        for gateway in self.fleet.gateways:
            for _ in range(8):
                self.fleet.send(gateway, ['festival-0', 'brief-0'])
        self.fleet.run(fleet_driver.STEP_MS)
        self.fleet.crash(*self.fleet.servers[:5])
        self.fleet.run(2_000)
        self.check_nothing_quarantined()

    def test_servers_that_die_one_after_the_other(self):
        for _ in range(6):
            self.traffic.run(1_200, bad=False)
            self.fleet.send(self.fleet.gateways[0], ['festival-0', 'brief-0'])
            self.fleet.run(fleet_driver.STEP_MS)
            self.fleet.crash(self.fleet.servers[0])
        self.fleet.run(3_000)
        self.check_nothing_quarantined()

    def test_connections_that_servers_reset(self):
        rare = ['festival-0', 'rare']
        for _ in range(4):
            self.fleet.send(self.fleet.gateways[0], rare)
            self.fleet.run(fleet_driver.STEP_MS)
            for server_id in list(self.fleet.servers):
                self.fleet.reset_connections(server_id)
            for gateway in self.fleet.gateways:
                self.fleet.send(gateway, ['festival-1', 'brief-1'])
            self.traffic.run(800, bad=False)
        self.check_nothing_quarantined()

    def test_one_request_that_crashes_servers_and_is_sent_again(self):
        for _ in range(4):
            self.fleet.send(
                self.fleet.gateways[0],
                ['festival-0', 'rare'],
                fingerprint=7,
                crashes=True,
            )
            self.fleet.run(1_500)
        self.assertGreaterEqual(len(self.fleet.crashed), 2)
        self.check_nothing_quarantined()


class ReportScheduleTest(unittest.TestCase):
    def test_news_are_collected_sent_and_repeated(self):
        schedule = report_schedule.ReportSchedule(50, 250, 1_000)
        self.assertFalse(schedule.take_due(0))
        schedule.add_news(10)
        schedule.add_news(40)
        self.assertFalse(schedule.take_due(50))
        self.assertTrue(schedule.take_due(60))
        schedule.add_news(70)
        self.assertFalse(schedule.take_due(200))
        self.assertTrue(schedule.take_due(310))
        self.assertFalse(schedule.take_due(1_200))
        self.assertTrue(schedule.take_due(1_310))
        self.assertFalse(schedule.take_due(9_000))


class CrashReportTest(unittest.TestCase):
    def test_report_fits_into_a_datagram(self):
        evidence = crash_evidence.CrashEvidence(lambda process, since_ms: True)
        blocks = tuple(f'{n:064}' for n in range(requests.MAX_SHARED_BLOCKS))
        for server in range(40):
            for number in range(crash_evidence.MAX_SUSPECTS):
                evidence.record_broken(
                    fleet.ServerProcess(f's{server}', 1),
                    crash_evidence.Suspect(900, number, blocks[:4]),
                    1_000,
                )
        crashes = evidence.local_crashes(1_000, 5_000)
        self.assertTrue(crashes)
        report = digests.CrashReport('edge-0', crashes, {}, ())
        self.assertLess(len(digests.encode(report)), 60_000)
