"""Tests that refusals state correctly whether a call was executed."""

import unittest

from ragwortgw_core import documents
from ragwortgw_core import effects
from ragwortgw_core import entry
from ragwortgw_core import entry_dispatch
from ragwortgw_core import entry_state
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import requests

STAMP = events.Stamp(1_700_000_000_000, 7)
REQUEST = requests.Request(
    id='e-1',
    key_hash='k',
    kind='chat',
    target='proof',
    method='POST',
    path='/v1/chat/completions',
    body=b'{}',
    stream=True,
    session='',
    idempotency_key='',
    deadline_ms=STAMP.now_ms + 10_000,
    prompt_chars=2,
    prefix='p',
    fingerprint='f',
)
ORGANISATION = documents.Organisation(
    id='festival',
    permits=['proof'],
    rate=1.0,
    burst=1.0,
    concurrency=1,
    weight=1.0,
)


class EntryCase(unittest.TestCase):
    """An entry with one attempt in progress."""

    def setUp(self):
        self.state = entry.new_entry('e', 'e-x', 'z', 'r', entry.Options())
        self.active = entry_state.ActiveRequest(
            REQUEST,
            ORGANISATION,
            'proof',
            None,
            True,
            'interactive',
            STAMP.now_ms,
        )
        self.active.phase = 'running'
        self.active.attempt_id = 'e-1.1'
        self.state.requests_by_id['e-1'] = self.active
        self.state.request_ids_by_attempt['e-1.1'] = 'e-1'


class RanTest(EntryCase):
    def problem_after(self, event):
        _, emitted = entry.REDUCER.reduce(self.state, STAMP, event)
        refusals = [e for e in emitted if isinstance(e, effects.Refuse)]
        self.assertEqual(1, len(refusals))
        return errors.problem(refusals[0].failure)

    def test_ran_is_unknown_after_an_attempt_that_may_have_run(self):
        problem = self.problem_after(
            events.AttemptBroken('e-1.1', 'unknown', 3, False, 'reset')
        )
        self.assertEqual('unknown', problem['ran'])

    def test_ran_is_no_after_an_attempt_that_did_not_run(self):
        problem = self.problem_after(
            events.AttemptBroken('e-1.1', 'no', 0, False, 'refused')
        )
        self.assertEqual('no', problem['ran'])

    def test_ran_stays_yes_after_a_later_attempt_that_did_not_run(self):
        self.active.record_ran('yes')
        self.active.record_ran('no')
        refused, *_ = entry_dispatch.refuse_request(
            self.state, STAMP, self.active, errors.Overloaded(250)
        )
        problem = errors.problem(refused.failure)
        self.assertEqual('yes', problem['ran'])
        self.assertEqual(250, problem['retry_after_ms'])


class BegunStreamTest(EntryCase):
    def finish(self, status):
        """Ends the attempt of a begun stream; returns what ends the stream."""
        self.active.relaying = True
        answer = requests.Answer(
            status,
            'application/json',
            b'{}',
            documents.Usage(input_tokens=1, output_tokens=1, cached_tokens=0),
        )
        _, emitted = entry.REDUCER.reduce(
            self.state, STAMP, events.AttemptFinished('e-1.1', answer)
        )
        return [
            each
            for each in emitted
            if isinstance(
                each, effects.Refuse | effects.FinishRelay | effects.Respond
            )
        ]

    def test_failure_does_not_end_it_as_if_it_were_whole(self):
        for status in (400, 500):
            with self.subTest(status):
                self.setUp()
                (end,) = self.finish(status)
                self.assertIsInstance(end, effects.Refuse)
                self.assertEqual('yes', errors.problem(end.failure)['ran'])

    def test_success_ends_it(self):
        (end,) = self.finish(200)
        self.assertIsInstance(end, effects.FinishRelay)
