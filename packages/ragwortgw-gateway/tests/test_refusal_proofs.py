"""Tests that no request is called not run unless that is proved."""

import unittest
from unittest import mock

from ragwortgw_gateway import attempts
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from tests import harness

#: Statuses that promise that a request was not run and will not be.
PROMISES = (408, 421, 429, 503)


class RefusalProofTest(unittest.TestCase):
    def setUp(self):
        self.gateway = harness.GatewayDriver().start(servers=('s1',))

    def status(self):
        """Returns the status that left with the last event."""
        (line,) = self.gateway.logged_fields('request-ended')
        sent = [
            *(each.failure.status for each in self.refusals()),
            *(
                each.answer.status
                for each in self.gateway.effects_of(effects.Respond)
            ),
        ]
        self.assertEqual([line['status']], sent)
        return line['status']

    def refusals(self):
        return self.gateway.effects_of(effects.Refuse)

    def test_status_of_a_server_that_may_have_run_it_is_not_passed_on(self):
        for number, status in enumerate(PROMISES):
            with self.subTest(status):
                dispatch = self.gateway.arrive(f'r{number}', 'order')
                self.gateway.finish_attempt(dispatch, status)
                self.assertNotIn(self.status(), PROMISES)

    def test_failure_inside_the_gateway_is_no_proof(self):
        dispatch = self.gateway.arrive('r1', 'order')
        with mock.patch.object(
            attempts,
            'record_server_failure',
            autospec=True,
            side_effect=ArithmeticError,
        ):
            with self.assertRaises(ArithmeticError):
                self.gateway.break_attempt(dispatch)
        self.gateway.tick(20_000)
        self.assertNotIn(self.status(), PROMISES)

    def test_one_refusal_is_no_proof_for_another_attempt(self):
        first = self.gateway.arrive('r1', 'order')
        self.gateway.reduce(events.AttemptRefused(first.attempt_id, False))
        self.gateway.tick(200)
        second = self.gateway.dispatched()
        self.gateway.break_attempt(second)
        self.assertNotIn(self.status(), PROMISES)

    def test_refusals_of_all_attempts_are_a_proof(self):
        dispatch = self.gateway.arrive('r1', 'order')
        while not self.refusals():
            self.gateway.reduce(
                events.AttemptRefused(dispatch.attempt_id, False)
            )
            if not self.refusals():
                self.gateway.tick(200)
                dispatch = self.gateway.dispatched()
        self.assertEqual(503, self.status())
