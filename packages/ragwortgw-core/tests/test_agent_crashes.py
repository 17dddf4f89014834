"""Tests of an agent whose backend server crashes again and again."""

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
        """Runs attempts until the backend server crashes under them."""
        stamp = events.Stamp(1_000_000 + now_ms, 0)
        for attempt_id in attempt_ids:
            dispatch = test_billing.dispatch_of(attempt_id)
            self.state.attempts_by_id[attempt_id] = agent_state.Attempt(
                dispatch, 'e', stamp.now_ms
            )
            self.state.strikes.attempt_started('b', attempt_id, attempt_id[0])
        said = []
        for attempt_id in attempt_ids:
            broken = events.EngineBroken(attempt_id, 'unknown', True, 'reset')
            said += agent.REDUCER.reduce(self.state, stamp, broken)[1]
        return said

    def test_crashes_before_the_next_report_count_apart(self):
        self.run_until_crash(0, 'p.1')
        self.run_until_crash(10, 'p.2')
        stamp = events.Stamp(1_000_020, 0)
        self.assertIsNotNone(self.state.strikes.check(stamp, 'p'))

    def test_crash_makes_the_backend_server_unhealthy_until_it_reports(self):
        self.state.engine_incarnation = 'first'
        said = self.run_until_crash(0, 'p.1')
        reports = [e for e in said if isinstance(e, effects.Report)]
        self.assertEqual([False], [e.healthy for e in reports])
        loaded = events.EngineReported(self.state.load, ('m@1',), 'second')
        agent.REDUCER.reduce(self.state, events.Stamp(1_000_500, 0), loaded)
        self.assertTrue(self.state.healthy)

    def test_no_attempt_is_admitted_without_room_for_its_bill(self):
        self.state.bill_copies = bill_copies.BillCopies(capacity=0)
        stamp = events.Stamp(1_000_000, 0)
        dispatch = test_billing.dispatch_of('p.1')
        with mock.patch.object(
            agent_admission, 'check_attempt', autospec=True, return_value=None
        ):
            said = agent.REDUCER.reduce(
                self.state, stamp, events.DispatchReceived('e', dispatch)
            )[1]
        refusals = [e for e in said if isinstance(e, effects.RefuseAttempt)]
        self.assertIsInstance(refusals[0].failure, errors.BillingFull)

    def test_attempts_of_one_crash_name_the_same_crash(self):
        said = self.run_until_crash(0, 'p.1', 'n.1')
        reasons = [
            e.reason for e in said if isinstance(e, effects.BreakAttempt)
        ]
        strikes = [e for e in said if isinstance(e, effects.SpreadStrike)]
        self.assertEqual(2, len(reasons))
        self.assertEqual(1, len(set(reasons)))
        self.assertEqual({reasons[0]}, {e.crash_id for e in strikes})
        self.assertEqual(2, len(strikes))
