"""Tests of platform calls within their budget."""

import unittest

from ragwortgw_core import budgets
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls


def at(now_ms):
    """Builds a stamp."""
    return events.Stamp(1_000_000 + now_ms, 0)


class Listener:
    """A machine that notes its results."""

    def __init__(self):
        self.results = []

    def on_result(self, stamp, tag, call, result):
        self.results.append((tag, result))
        return []


class OperationsTest(unittest.TestCase):
    def setUp(self):
        self.bucket = budgets.TokenBucket(10.0, 10.0)
        self.calls = platform_calls.PlatformCalls(self.bucket)
        self.listener = Listener()
        for owner in ('ledger', 'billing', 'odd'):
            self.calls.register(owner, self.listener)

    def call(self, owner, tag, now_ms=0, deadline_ms=5_000):
        return self.calls.call(
            at(now_ms), owner, tag, platform.Get(tag), 1_000_000 + deadline_ms
        )

    def sent(self, said):
        return [
            e.call.key for e in said if isinstance(e, effects.CallPlatform)
        ]

    def test_answer_goes_to_its_owner_once(self):
        (effect,) = self.call('ledger', 'a')
        absent = platform.Absent('a', 0)
        self.calls.on_answer(at(1), effect.op_id, absent)
        self.calls.on_answer(at(2), effect.op_id, absent)
        self.assertEqual([('a', absent)], self.listener.results)

    def test_held_calls_go_urgent_owners_first(self):
        for number in range(20):
            self.call('odd', f'fill{number}')
        while self.sent(self.call('billing', 'bill')):
            pass
        while self.sent(self.call('ledger', 'claim')):
            pass
        said = self.calls.on_tick(at(500))
        self.assertEqual('claim', self.sent(said)[0])
        self.assertEqual('bill', self.sent(said)[1])

    def test_less_urgent_owners_leave_tokens_for_the_ledger(self):
        while self.sent(self.call('odd', 'x')):
            pass
        self.assertEqual(['claim'], self.sent(self.call('ledger', 'claim')))

    def test_overdue_calls_end_unavailable(self):
        self.call('ledger', 'sent')
        while self.sent(self.call('ledger', 'fill', deadline_ms=10**6)):
            pass
        self.call('ledger', 'held')
        self.calls.budget.resize(0.0, 0.0)
        self.calls.on_tick(at(7_000))
        results = dict(self.listener.results)
        self.assertEqual(platform.Unavailable(True), results['sent'])
        self.assertEqual(platform.Unavailable(False), results['held'])

    def test_budget_is_shared_by_the_entries(self):
        alone = budgets.new_platform_budget(1)
        many = budgets.new_platform_budget(1_000)
        self.assertEqual(2000.0, alone.rate)
        self.assertEqual(4.0, many.rate)
        self.assertEqual(8.0, many.available(0))
