"""Tests that roll-outs advance with any number of entries."""

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
    """Drivers that share a platform model; results arrive one tick later."""

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
            member = rollout_driver.RolloutDriver(
                calls,
                name,
                name,
                evidence.VersionEvidence(name),
                lambda stamp, order: self.steps.append(stamp.now_ms) or [],
            )
            member.configure(snapshot)
            member.set_entry_count(entries)
            self.drivers.append((member, calls, []))

    def run(self, duration_ms):
        for _ in range(duration_ms // TICK_MS):
            self.now_ms += TICK_MS
            self._expire_lease()
            for number, (member, calls, sent) in enumerate(self.drivers):
                stamp = events.Stamp(self.now_ms, 977 * number)
                answered = list(sent)
                sent.clear()
                outputs = []
                for effect in answered:
                    result = self._apply(effect.call)
                    outputs += calls.on_answer(stamp, effect.op_id, result)
                outputs += member.on_tick(stamp)
                sent += [
                    output
                    for output in outputs
                    if isinstance(output, effects.CallPlatform)
                ]

    def _expire_lease(self):
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


class RolloutDriverTest(unittest.TestCase):
    def test_step_is_taken_with_few_and_with_many_entries(self):
        for entries in (1, 100, 360):
            with self.subTest(entries=entries):
                fleet = Fleet(entries, 4)
                fleet.run(60_000)
                self.assertGreater(len(fleet.steps), 0)

    def test_evidence_that_can_not_be_read_is_replaced(self):
        # It ended the handler each time: the roll-out stood still.
        key = rollout_driver.POOL_PREFIX + 'big'
        for value in (b'\xff', b'[]', b'[' * 5_000 + b']' * 5_000):
            with self.subTest(value[:9]):
                fleet = Fleet(4, 4)
                fleet.platform.apply(platform.Put(key, value, 0))
                fleet.run(60_000)
                self.assertGreater(len(fleet.steps), 0)

    def test_only_the_lease_holder_renews_often(self):
        fleet = Fleet(360, 4)
        fleet.run(120_000)
        self.assertGreater(
            fleet.grants, 120_000 // rollout_driver.LEASE_TTL_MS
        )
        holder_grants = 2 * 120_000 // rollout_driver.LEASE_RETRY_MS
        other_grants = 3 * 120_000 // 12_000
        self.assertLess(fleet.grants, holder_grants + other_grants)
        holders = [
            member
            for member, _, _ in fleet.drivers
            if member.holds_lease(fleet.now_ms)
        ]
        self.assertEqual(1, len(holders))
