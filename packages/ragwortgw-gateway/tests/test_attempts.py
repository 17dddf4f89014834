"""Tests of what is logged of attempts and of their requests' ends."""

import unittest

from ragwortgw_gateway import events
from ragwortgw_gateway import requests
from tests import harness

PROMPT = requests.Prompt(
    3_000,
    100,
    (
        requests.PrefixBlock('festival', 1_000),
        requests.PrefixBlock('x' * 100, 1_000),
        requests.PrefixBlock('own', 1_000),
    ),
)


class BrokenAttemptLogTest(unittest.TestCase):
    def setUp(self):
        self.gateway = harness.GatewayDriver().start()

    def broken(self):
        return self.gateway.logged_fields('attempt-broke')[0]

    def test_names_the_blocks_that_other_requests_may_share(self):
        dispatch = self.gateway.arrive('r1', 'draft', prompt=PROMPT)
        self.gateway.break_attempt(dispatch)
        self.assertEqual(self.broken()['blocks'], ['festival', 'x' * 64])

    def test_tells_how_long_the_answer_had_been_coming(self):
        dispatch = self.gateway.arrive('r1', 'draft', prompt=PROMPT)
        self.gateway.now_ms += 300
        self.gateway.receive_answer_head(dispatch, confidence=100)
        self.gateway.now_ms += 120
        self.gateway.break_attempt(dispatch)
        self.assertEqual(self.broken()['answering_ms'], 120)
        self.assertEqual(self.broken()['after_ms'], 420)

    def test_tells_that_no_answer_had_begun(self):
        dispatch = self.gateway.arrive('r1')
        self.gateway.break_attempt(dispatch)
        self.assertEqual(self.broken()['answering_ms'], 0)
        self.assertEqual(self.broken()['blocks'], [])


class JudgedAnswerLogTest(unittest.TestCase):
    def setUp(self):
        self.gateway = harness.GatewayDriver().start()

    def test_tells_what_the_answer_was_taken_for_and_its_connection(self):
        dispatch = self.gateway.arrive('r1', 'order')
        self.gateway.now_ms += 30
        self.gateway.reduce(
            events.AnswerJudged(
                dispatch.attempt_id, 'earlier', 503, 'r0', 7, 3
            )
        )
        (line,) = self.gateway.logged_fields('answer-judged')
        self.assertEqual(
            {
                'request': 'r1',
                'server': dispatch.server_id,
                'attempt_id': dispatch.attempt_id,
                'verdict': 'earlier',
                'status': 503,
                'answered_id': 'r0',
                'connection': 7,
                'uses': 3,
                'after_ms': 30,
            },
            line,
        )

    def test_answer_to_an_attempt_that_was_given_up_is_not_logged(self):
        self.gateway.reduce(
            events.AnswerJudged('r9.1', 'not-run', 503, 'r9', 1, 1)
        )
        self.assertEqual([], self.gateway.effects)


class RequestEndedLogTest(unittest.TestCase):
    def ended(self, gateway):
        (line,) = gateway.logged_fields('request-ended')
        return line['status'], line['sent']

    def test_tells_which_status_left_and_how_many_attempts_were_sent(self):
        gateway = harness.GatewayDriver().start()
        for request_id, status in (('r1', 200), ('r2', 500)):
            dispatch = gateway.arrive(request_id, 'order')
            gateway.finish_attempt(dispatch, status)
            self.assertEqual((status, 1), self.ended(gateway))
        gateway.arrive('r3', 'order', key='wrong')
        self.assertEqual((401, 0), self.ended(gateway))

    def test_tells_the_status_of_a_refusal(self):
        gateway = harness.GatewayDriver().start(servers=())
        gateway.arrive('r1', 'order')
        self.assertEqual((503, 0), self.ended(gateway))
