"""Tests that roll-outs go on however many entries there are."""

import unittest

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import evidence
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import rollout_driver
from tests import platform_model
from tests import test_configuration

TICK_MS = 50


class Fleet:
    """Drivers that share a platform; answers come a tick after calls."""

    def __init__(self, entries, drivers):
        self.platform = platform_model.PlatformModel()
        self.now_ms = platform_model.START_MS
        self.steps = []
        self.grants = 0
        self.deadlines_by_lease = {}
        self.drivers = []
        rollout = test_configuration.rollout({'big@1': 10_000}, next_step=0)
        snapshot = test_configuration.load({'rollout/big': rollout}).unwrap()
        for number in range(drivers):
            calls = platform_calls.PlatformCalls()
            name = f'entry-{number}'
            each = rollout_driver.RolloutDriver(
                calls,
                name,
                name,
                evidence.VersionEvidence(name),
                lambda stamp, order: self.steps.append(stamp.now_ms) or [],
            )
            each.configure(snapshot)
            each.set_entry_count(entries)
            self.drivers.append((each, calls, []))

    def run(self, duration_ms):
        for _ in range(duration_ms // TICK_MS):
            self.now_ms += TICK_MS
            self._lapse()
            for number, (each, calls, sent) in enumerate(self.drivers):
                stamp = events.Stamp(self.now_ms, 977 * number)
                answered = list(sent)
                sent.clear()
                outputs = []
                for effect in answered:
                    result = self._apply(effect.call)
                    outputs += calls.on_answer(stamp, effect.op_id, result)
                outputs += each.on_tick(stamp)
                sent += [
                    o for o in outputs if isinstance(o, effects.CallPlatform)
                ]

    def _lapse(self):
        held = self.platform.values_by_key.get(rollout_driver.DRIVER_KEY)
        if held is None:
            return
        lease = f'rollout-driver-{held.value.decode()}'
        if self.deadlines_by_lease[lease] < self.now_ms:
            del self.platform.values_by_key[rollout_driver.DRIVER_KEY]

    def _apply(self, call):
        if not isinstance(call, platform.Grant):
            return self.platform.apply(call)
        self.grants += 1
        deadline_ms = self.now_ms + call.ttl_ms
        self.deadlines_by_lease[call.lease] = deadline_ms
        return platform.Granted(call.lease, deadline_ms)


class DriverTest(unittest.TestCase):
    def test_a_step_is_taken_with_few_and_with_many_entries(self):
        for entries in (1, 100, 360):
            with self.subTest(entries=entries):
                fleet = Fleet(entries, 4)
                fleet.run(60_000)
                self.assertGreater(len(fleet.steps), 0)

    def test_only_the_driver_renews_its_lease_often(self):
        fleet = Fleet(360, 4)
        fleet.run(120_000)
        self.assertGreater(
            fleet.grants, 120_000 // rollout_driver.LEASE_TTL_MS
        )
        own = 2 * 120_000 // rollout_driver.LEASE_RETRY_MS
        others = 3 * 120_000 // 12_000
        self.assertLess(fleet.grants, own + others)
        holding = [
            each
            for each, _, _ in fleet.drivers
            if each.holds_lease(fleet.now_ms)
        ]
        self.assertEqual(1, len(holding))
