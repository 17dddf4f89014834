"""Tests of granting keys to agents by time interval."""

import unittest

import hypothesis
from hypothesis import strategies

from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import grants
from ragwortgw_core import key_table
from tests import platform_model
from tests import properties
from tests import test_ledger

HOLDERS = [grants.Holder(f'a{n}', 'i1') for n in range(3)]
FAULTS = platform_model.Faults(
    lose_request=0.1, lose_answer=0.15, late=0.2, refuse=0.05
)


def at(now_ms):
    """Builds a stamp."""
    return events.Stamp(now_ms, 0)


class GrantTableTest(unittest.TestCase):
    def entry(self, world, name, holders):
        process = world.process(name)
        table = grants.GrantTable(process.calls)
        table.agents(holders)
        process.components.append(table)
        return table

    @properties.settings(30)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_all_entries_know_the_same_holder(self, seed):
        world = platform_model.World(seed, FAULTS)
        tables = [
            self.entry(world, f'e{n}', HOLDERS[: n + 1]) for n in range(3)
        ]
        holders_by_key = {}
        for number in range(100):
            world.run(400)
            key = test_ledger.key_at(world.now_ms + 20_000, number)
            for table in tables:
                holder = table.holder(key)
                if holder is not None:
                    holders_by_key.setdefault(key, set()).add(holder)
        self.assertTrue(holders_by_key)
        for holders in holders_by_key.values():
            self.assertEqual(1, len(holders))

    def test_keys_have_holders_through_an_outage_of_a_minute(self):
        world = platform_model.World()
        table = self.entry(world, 'e', HOLDERS)
        world.run(1_000)
        world.platform.down = True
        for number in range(60):
            world.run(1_000)
            key = test_ledger.key_at(world.now_ms, number)
            self.assertIn(table.holder(key), HOLDERS)


class KeyTableTest(unittest.TestCase):
    def setUp(self):
        self.table = key_table.KeyTable(HOLDERS[0])
        self.key = test_ledger.key_at(platform_model.START_MS)

    def start(self, key='', fingerprint='f', holder=HOLDERS[0]):
        stamp = at(platform_model.START_MS)
        key = key or self.key
        return self.table.start(stamp, key, fingerprint, holder)

    def failure(self, **fields):
        verdict = self.start(**fields)
        self.assertIsInstance(verdict, key_table.Deny)
        return type(verdict.failure)

    def test_key_runs_once(self):
        self.assertEqual(key_table.Run(), self.start())
        self.assertEqual(errors.CallInProgress, self.failure())
        self.assertEqual(errors.KeyReused, self.failure(fingerprint='g'))
        self.table.finish(self.key, test_ledger.ANSWER)
        replay = key_table.Replay(test_ledger.ANSWER)
        self.assertEqual(replay, self.start(key=self.key.upper()))

    def test_unknown_outcome_is_not_run_again(self):
        self.start()
        self.table.mark_unknown(self.key)
        self.assertEqual(errors.OutcomeUnknown, self.failure())

    def test_released_key_runs_again(self):
        self.start()
        self.table.release(self.key)
        self.assertEqual(key_table.Run(), self.start())

    def test_grant_of_an_earlier_incarnation_is_refused(self):
        earlier = HOLDERS[0]._replace(incarnation='i0')
        self.assertEqual(errors.OutcomeUnknown, self.failure(holder=earlier))

    def test_evicted_keys_do_not_run_again(self):
        keys = [
            test_ledger.key_at(platform_model.START_MS + n, n)
            for n in range(key_table.MAX_KEYS + 1)
        ]
        for key in keys:
            self.assertEqual(key_table.Run(), self.start(key=key))
        for key in keys:
            self.assertNotEqual(key_table.Run(), self.start(key=key))
