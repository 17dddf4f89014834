"""Tests of an agent whose backend server crashes repeatedly."""

import unittest
from unittest import mock

from ragwortgw_core import agent
from ragwortgw_core import agent_admission
from ragwortgw_core import agent_state
from ragwortgw_core import bill_copies
from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from tests import test_billing


class AgentCrashTest(unittest.TestCase):
    def setUp(self):
        self.state = agent.new_agent('a', 'b', 'z', (), 4, agent.Options())

    def run_until_crash(self, now_ms, *attempt_ids):
        """Admits attempts, then breaks all of them by one crash."""
        stamp = events.Stamp(1_000_000 + now_ms, 0)
        for attempt_id in attempt_ids:
            dispatch = test_billing.dispatch_of(attempt_id)
            self.state.attempts_by_id[attempt_id] = agent_state.Attempt(
                dispatch, 'e', stamp.now_ms
            )
            self.state.strikes.attempt_started('b', attempt_id, attempt_id[0])
        emitted = []
        for attempt_id in attempt_ids:
            broken = events.EngineBroken(attempt_id, 'unknown', True, 'reset')
            emitted += agent.REDUCER.reduce(self.state, stamp, broken)[1]
        return emitted

    def test_crashes_before_the_next_report_count_separately(self):
        self.run_until_crash(0, 'p.1')
        self.run_until_crash(10, 'p.2')
        stamp = events.Stamp(1_000_020, 0)
        self.assertIsNotNone(self.state.strikes.check(stamp, 'p'))

    def test_crashed_backend_server_is_unhealthy_until_it_reports(self):
        self.state.engine_incarnation = 'first'
        emitted = self.run_until_crash(0, 'p.1')
        reports = [e for e in emitted if isinstance(e, effects.Report)]
        self.assertEqual([False], [e.healthy for e in reports])
        loaded = events.EngineReported(self.state.load, ('m@1',), 'second')
        agent.REDUCER.reduce(self.state, events.Stamp(1_000_500, 0), loaded)
        self.assertTrue(self.state.healthy)

    def test_attempt_is_refused_when_its_bill_can_not_be_buffered(self):
        self.state.bill_copies = bill_copies.BillCopies(capacity=0)
        stamp = events.Stamp(1_000_000, 0)
        dispatch = test_billing.dispatch_of('p.1')
        with mock.patch.object(
            agent_admission, 'check_attempt', autospec=True, return_value=None
        ):
            emitted = agent.REDUCER.reduce(
                self.state, stamp, events.DispatchReceived('e', dispatch)
            )[1]
        refusals = [e for e in emitted if isinstance(e, effects.RefuseAttempt)]
        self.assertIsInstance(refusals[0].failure, errors.BillingFull)

    def test_attempts_broken_by_one_crash_share_its_crash_id(self):
        emitted = self.run_until_crash(0, 'p.1', 'n.1')
        reasons = [
            e.reason for e in emitted if isinstance(e, effects.BreakAttempt)
        ]
        strikes = [e for e in emitted if isinstance(e, effects.SpreadStrike)]
        self.assertEqual(2, len(reasons))
        self.assertEqual(1, len(set(reasons)))
        self.assertEqual({reasons[0]}, {e.crash_id for e in strikes})
        self.assertEqual(2, len(strikes))
