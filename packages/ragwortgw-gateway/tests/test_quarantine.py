"""Tests of what is done about a prefix block that crashes servers."""

import unittest

from tests import crash_fleet

BAD = crash_fleet.BAD_BLOCK
#: Time in which gateways that can reach each other agree.
CONTACT_MS = 3_000
#: Crashes after which a block counts as known to crash servers.
CRASHES = 5
#: Requests with such a block that may reach servers after that.
MAX_SENT = 3
INTERVAL_MS = 400


class Traffic:
    """Sends sound requests and such with the bad block, in turn."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.turn = 0
        self.sound_ids = []

    def run(self, duration_ms, bad=True, restart_at=()):
        """Sends requests for some time."""
        until_ms = self.fleet.now_ms + duration_ms
        while self.fleet.now_ms < until_ms:
            self.turn += 1
            gateways = self.fleet.gateways
            gateway = gateways[self.turn % len(gateways)]
            sound = [f'tenant-{self.turn % 3}', f'brief-{self.turn % 7}']
            self.sound_ids.append(self.fleet.send(gateway, sound))
            other = gateways[(self.turn // 2) % len(gateways)]
            if bad:
                self.fleet.send(other, [f'tenant-{self.turn % 3}', BAD])
            self.fleet.run(INTERVAL_MS)


class BadBlockTest(unittest.TestCase):
    def sent_late(self, fleet):
        """Returns how many bad requests reached servers too late."""
        self.assertGreaterEqual(len(fleet.crashed), 1)
        if len(fleet.crashed) < CRASHES:
            return 0
        known_ms = fleet.crashed[CRASHES - 1][0] + CONTACT_MS
        return sum(sent_ms > known_ms for sent_ms in fleet.bad_sent)

    def test_different_requests_with_one_bad_block_stop_crashing_servers(self):
        fleet = crash_fleet.CrashFleet()
        Traffic(fleet).run(30_000)
        self.assertLessEqual(self.sent_late(fleet), MAX_SENT)
