"""Tests of platform calls: budget, urgency, timeouts and results."""

import unittest

from ragwortgw_core import budgets
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls


def at(offset_ms):
    """Builds a stamp at a time offset."""
    return events.Stamp(1_000_000 + offset_ms, 0)


class Recorder:
    """A component that records the results of its calls."""

    def __init__(self):
        self.results = []

    def on_result(self, stamp, tag, call, result):
        self.results.append((tag, result))
        return []


class PlatformCallsTest(unittest.TestCase):
    def setUp(self):
        self.bucket = budgets.TokenBucket(10.0, 10.0)
        self.calls = platform_calls.PlatformCalls(self.bucket)
        self.recorder = Recorder()
        for owner in ('ledger', 'billing', 'odd'):
            self.calls.register(owner, self.recorder)

    def call(self, owner, tag, now_ms=0, deadline_ms=5_000):
        return self.calls.call(
            at(now_ms), owner, tag, platform.Get(tag), 1_000_000 + deadline_ms
        )

    def sent_keys(self, out):
        return [e.call.key for e in out if isinstance(e, effects.CallPlatform)]

    def test_answer_is_delivered_to_its_owner_once(self):
        (effect,) = self.call('ledger', 'a')
        absent = platform.Absent('a', 0)
        self.calls.on_answer(at(1), effect.op_id, absent)
        self.calls.on_answer(at(2), effect.op_id, absent)
        self.assertEqual([('a', absent)], self.recorder.results)

    def test_held_calls_are_sent_by_urgency_of_their_owners(self):
        for number in range(20):
            self.call('odd', f'fill{number}')
        while self.sent_keys(self.call('billing', 'bill')):
            pass
        while self.sent_keys(self.call('ledger', 'claim')):
            pass
        out = self.calls.on_tick(at(500))
        self.assertEqual('claim', self.sent_keys(out)[0])
        self.assertEqual('bill', self.sent_keys(out)[1])

    def test_less_urgent_owners_leave_tokens_for_the_ledger(self):
        while self.sent_keys(self.call('odd', 'x')):
            pass
        self.assertEqual(
            ['claim'], self.sent_keys(self.call('ledger', 'claim'))
        )

    def test_overdue_calls_are_unavailable(self):
        """Only a call that was sent may have taken effect."""
        self.call('ledger', 'sent')
        while self.sent_keys(self.call('ledger', 'fill', deadline_ms=10**6)):
            pass
        self.call('ledger', 'held')
        self.calls.budget.resize(0.0, 0.0)
        self.calls.on_tick(at(7_000))
        results = dict(self.recorder.results)
        self.assertEqual(platform.Unavailable(True), results['sent'])
        self.assertEqual(platform.Unavailable(False), results['held'])

    def test_budget_is_divided_among_the_entries(self):
        only_entry = budgets.new_platform_budget(1)
        one_of_many = budgets.new_platform_budget(1_000)
        self.assertEqual(2000.0, only_entry.rate)
        self.assertEqual(4.0, one_of_many.rate)
        self.assertEqual(8.0, one_of_many.available(0))
