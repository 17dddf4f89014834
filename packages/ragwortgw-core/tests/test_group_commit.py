"""Tests of pages that many processes change by compare-and-swap."""

import unittest

from ragwortgw_core import configuration
from ragwortgw_core import errors
from ragwortgw_core import ids
from ragwortgw_core import ledger
from ragwortgw_core import notices
from ragwortgw_core import requests
from tests import platform_model

ANSWER = requests.Answer(
    200, 'text/plain', b'printed', {'input_tokens': 0, 'output_tokens': 0}
)


class StalePageTest(unittest.TestCase):
    """A page read once must not answer for what others wrote since."""

    def test_second_claim_sees_that_the_call_finished_meanwhile(self):
        world = platform_model.World()
        first, second = (self.start(world, name) for name in ('a', 'b'))
        key = ids.new_uuid7(world.now_ms, 1)
        self.claim(first, key, 'a-1')
        world.run(200)
        self.claim(second, key, 'b-1')
        world.run(200)
        self.assertIsInstance(
            second.emitted_of_type(notices.ClaimDenied)[0].failure,
            errors.CallInProgress,
        )
        book = first.components[0]
        first.do(lambda stamp: book.finish(stamp, key, ANSWER))
        world.run(200)
        self.claim(second, key, 'b-2')
        world.run(200)
        self.assertEqual(
            ['b-2'],
            [
                n.request_id
                for n in second.emitted_of_type(notices.ClaimReplayed)
            ],
        )

    def test_read_for_a_claim_given_up_does_not_answer_later(self):
        world = platform_model.World(rtt_ms=200)
        first, second = (self.start(world, name) for name in ('a', 'b'))
        key = ids.new_uuid7(world.now_ms, 1)
        self.claim(first, key, 'a-1')
        world.run(1_000)
        second.components[0]._pages._conflict_share = 1.0
        self.claim(second, key, 'b-1', deadline_ms=world.now_ms + 100)
        world.run(1_000)
        self.assertEqual(
            ['b-1'],
            [
                n.request_id
                for n in second.emitted_of_type(notices.ClaimDenied)
            ],
        )
        book = first.components[0]
        first.do(lambda stamp: book.finish(stamp, key, ANSWER))
        world.run(2_000)
        self.claim(second, key, 'b-2')
        world.run(2_000)
        self.assertEqual(
            ['b-2'],
            [
                n.request_id
                for n in second.emitted_of_type(notices.ClaimReplayed)
            ],
        )

    def start(self, world, name):
        process = world.process(name)
        process.components.append(ledger.new_ledger(process.calls))
        return process

    def claim(self, process, key, request_id, deadline_ms=0):
        book = process.components[0]
        process.do(
            lambda stamp: book.claim(
                stamp,
                key,
                'f',
                request_id,
                configuration.DEFAULT_SYSTEM,
                deadline_ms,
            )
        )
