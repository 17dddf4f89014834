"""Tests of group commit on pages that several processes change."""

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
    """An operation must not be decided on a stale copy of a page."""

    def test_claim_is_replayed_after_another_process_finished_the_call(self):
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
        ledger_of_first = first.components[0]
        first.do(lambda stamp: ledger_of_first.finish(stamp, key, ANSWER))
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

    def test_read_for_an_expired_claim_does_not_decide_a_later_claim(self):
        world = platform_model.World(rtt_ms=200)
        first, second = (self.start(world, name) for name in ('a', 'b'))
        key = ids.new_uuid7(world.now_ms, 1)
        self.claim(first, key, 'a-1')
        world.run(1_000)
        # With many conflicts, pages are read before they are written.
        second.components[0]._pages._conflict_fraction = 1.0
        self.claim(second, key, 'b-1', deadline_ms=world.now_ms + 100)
        world.run(1_000)
        self.assertEqual(
            ['b-1'],
            [
                n.request_id
                for n in second.emitted_of_type(notices.ClaimDenied)
            ],
        )
        ledger_of_first = first.components[0]
        first.do(lambda stamp: ledger_of_first.finish(stamp, key, ANSWER))
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
        process_ledger = process.components[0]
        process.do(
            lambda stamp: process_ledger.claim(
                stamp,
                key,
                'f',
                request_id,
                configuration.DEFAULT_SYSTEM,
                deadline_ms,
            )
        )
