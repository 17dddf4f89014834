"""Tests of what is logged of attempts that end without an answer."""

import unittest

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
