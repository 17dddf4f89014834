"""Tests of retries, fallbacks and refusals after failed attempts."""

import unittest

from ragwortgw_core import cascades
from ragwortgw_core import effects
from ragwortgw_core import entry
from ragwortgw_core import entry_state
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import requests
from tests import platform_model
from tests import test_config_store
from tests import test_configuration

START_MS = platform_model.START_MS
ANSWER = requests.Answer(
    200, 'application/json', b'{}', {'input_tokens': 5, 'output_tokens': 7}
)


def chat_request(request_id, deadline_ms=5_000):
    """Builds a chat request to the model 'm'."""
    return requests.Request(
        id=request_id,
        key_hash='h',
        kind='chat',
        target='m',
        method='POST',
        path='/v1/chat/completions',
        body=b'{}',
        stream=False,
        session='',
        idempotency_key='',
        deadline_ms=START_MS + deadline_ms,
        prompt_chars=10,
        prefix='',
        fingerprint='f',
    )


class EntryRetriesTest(unittest.TestCase):
    def setUp(self):
        self.state = entry.new_entry('e', 'inc', 'z', 'r', entry.Options())
        documents = {
            'model/m': test_configuration.model('m'),
            'version/m@1': test_configuration.version('m@1'),
            'organisation/o': test_configuration.organisation('o', ['m', 'c']),
            'key/h': {'id': 'h', 'organisation': 'o', 'label': ''},
            'model/n': test_configuration.model('n'),
            'version/n@1': test_configuration.version('n@1'),
            'cascade/c': {
                'id': 'c',
                'stages': ['m', 'n'],
                'target': 0.8,
                'priority': 'interactive',
            },
        }
        self.documents = documents
        self.install(1)

    def install(self, revision, documents=None, now_ms=0):
        """Installs a configuration; returns the effects."""
        head, values = test_config_store.head_of(
            revision, documents or self.documents
        )
        stamp = events.Stamp(START_MS + now_ms, 1)
        outputs = self.state.store.offer(
            stamp, head, values, START_MS + now_ms
        )
        return entry_state.apply_notices(self.state, stamp, outputs)

    def reduce(self, event, now_ms=0):
        stamp = events.Stamp(START_MS + now_ms, 1)
        return entry.REDUCER.reduce(self.state, stamp, event)[1]

    def connect(self, *agent_ids, now_ms=0):
        """Puts agents into the host list and connects them."""
        hosts = tuple(
            platform.HostEntry(name, 'agent', 'a:1', 'z', 'r', 'live')
            for name in agent_ids
        )
        stamp = events.Stamp(START_MS + now_ms, 1)
        self.state.membership.apply_host_list(stamp, hosts)
        for name in agent_ids:
            self.reduce(
                events.AgentConnected(
                    name, f'b-{name}', 'z', ('m@1', 'n@1'), 4, 1
                ),
                now_ms,
            )

    def attempts(self, emitted):
        return [e for e in emitted if isinstance(e, effects.SendAttempt)]

    def refusals(self, emitted):
        return [
            errors.problem(effect.failure)
            for effect in emitted
            if isinstance(effect, effects.Refuse)
        ]

    def break_attempt(self, attempt, ran, now_ms=10):
        return self.reduce(
            events.AttemptBroken(
                attempt.dispatch.attempt_id, ran, 0, False, 'reset'
            ),
            now_ms,
        )

    def test_old_configuration_is_served_when_agents_confirm_it(self):
        late_ms = 3_600_000
        self.connect('a', now_ms=late_ms)
        emitted = self.reduce(
            events.RequestReceived(chat_request('inc-1', 2 * late_ms)), late_ms
        )
        self.assertEqual(1, len(self.attempts(emitted)))

    def test_ran_is_unknown_when_the_attempt_may_have_run(self):
        self.connect('a')
        sent = self.reduce(events.RequestReceived(chat_request('inc-1')))
        emitted = self.break_attempt(self.attempts(sent)[0], 'unknown')
        (refusal,) = self.refusals(emitted)
        self.assertTrue(refusal['type'].endswith(':no-backend'))
        self.assertEqual('unknown', refusal['ran'])

    def test_ran_is_no_when_the_attempt_did_not_run(self):
        self.connect('a')
        sent = self.reduce(events.RequestReceived(chat_request('inc-1')))
        emitted = self.break_attempt(self.attempts(sent)[0], 'no')
        (refusal,) = self.refusals(emitted)
        self.assertEqual('no', refusal['ran'])

    def test_attempt_that_did_not_run_is_retried_without_retry_budget(self):
        self.connect('a', 'b')
        while self.state.retries.allow(events.Stamp(START_MS, 1)):
            pass
        sent = self.reduce(events.RequestReceived(chat_request('inc-1')))
        first = self.attempts(sent)[0]
        second = self.attempts(self.break_attempt(first, 'no', 0))[0]
        self.assertNotEqual(first.agent_id, second.agent_id)

    def test_broken_attempt_is_retried_at_another_agent(self):
        self.connect('a', 'b')
        sent = self.reduce(events.RequestReceived(chat_request('inc-1')))
        first = self.attempts(sent)[0]
        second = self.attempts(self.break_attempt(first, 'unknown'))[0]
        self.assertNotEqual(first.agent_id, second.agent_id)
        self.assertNotEqual(
            first.dispatch.attempt_id, second.dispatch.attempt_id
        )

    def refuse_by_all_agents(self, revision):
        """Has both agents refuse a request since they know a newer revision.

        Returns: The effects of the last refusal.
        """
        self.connect('a', 'b')
        emitted = self.reduce(events.RequestReceived(chat_request('inc-1')))
        failure = errors.ConfigurationNewer(revision)
        while attempts := self.attempts(emitted):
            attempt_id = attempts[0].dispatch.attempt_id
            emitted = self.reduce(
                events.AttemptRefused(attempt_id, failure, revision)
            )
        return emitted

    def test_request_waits_for_the_configuration_that_agents_know(self):
        self.assertEqual([], self.refusals(self.refuse_by_all_agents(2)))
        documents = {
            **self.documents,
            'version/m@1': test_configuration.version('m@1', 'withdrawn'),
            'version/m@2': test_configuration.version('m@2'),
        }
        for agent_id in ('a', 'b'):
            self.state.agents_by_id[agent_id].versions = ('m@1', 'm@2')
        emitted = self.install(2, documents, now_ms=50)
        (attempt,) = self.attempts(emitted)
        self.assertEqual('m@2', attempt.dispatch.version)

    def test_request_is_refused_if_the_new_configuration_forbids_it(self):
        self.refuse_by_all_agents(2)
        documents = {
            **self.documents,
            'version/m@1': test_configuration.version('m@1', 'withdrawn'),
        }
        (refusal,) = self.refusals(self.install(2, documents, now_ms=50))
        self.assertTrue(refusal['type'].endswith(':withdrawn'))
        self.assertEqual('no', refusal['ran'])

    def test_request_is_refused_if_the_configuration_does_not_arrive(self):
        self.refuse_by_all_agents(2)
        self.assertEqual([], self.refusals(self.reduce(events.Tick(), 1_900)))
        (refusal,) = self.refusals(self.reduce(events.Tick(), 2_100))
        self.assertTrue(refusal['type'].endswith(':configuration-stale'))
        self.assertEqual('no', refusal['ran'])

    def escalate(self):
        """Escalates a cascade to its second stage; returns its attempt."""
        self.connect('a')
        sent = self.reduce(
            events.RequestReceived(chat_request('inc-1')._replace(target='c'))
        )
        active = self.state.requests_by_id['inc-1']
        active.plan = cascades.Plan(
            ('m', 'n'), 0, (0.9, 0.0), 1.0, False, (0.5, 0.9)
        )
        active.stage_index = 0
        active.version = 'm@1'
        emitted = self.reduce(
            events.AttemptFinished(
                self.attempts(sent)[0].dispatch.attempt_id, ANSWER
            )
        )
        (rating,) = [e for e in emitted if isinstance(e, effects.RateAnswer)]
        emitted = self.reduce(events.Rated(rating.op_id, 0.1))
        (second,) = self.attempts(emitted)
        self.assertEqual('n', second.dispatch.model)
        return second

    def test_earlier_answer_is_delivered_when_the_next_stage_fails(self):
        self.assert_first_stage_delivered(
            self.break_attempt(self.escalate(), 'unknown')
        )

    def test_earlier_answer_is_delivered_at_the_deadline(self):
        second = self.escalate()
        emitted = self.reduce(events.Tick(), 5_001)
        cancelled = [
            e for e in emitted if isinstance(e, effects.CancelAttempt)
        ]
        self.assertEqual(second.dispatch.attempt_id, cancelled[0].attempt_id)
        self.assert_first_stage_delivered(emitted)

    def assert_first_stage_delivered(self, emitted):
        self.assertEqual([], self.refusals(emitted))
        (answer,) = [e for e in emitted if isinstance(e, effects.Respond)]
        self.assertEqual(ANSWER.body, answer.body)
        (bill,) = [e.bill for e in emitted if isinstance(e, effects.SendBill)]
        self.assertEqual(('m', 'm@1'), (bill.model, bill.version))

    def test_streamed_answer_is_rated_and_not_sent_again(self):
        self.connect('a')
        request = chat_request('inc-1')._replace(stream=True)
        sent = self.reduce(events.RequestReceived(request))
        attempt_id = self.attempts(sent)[0].dispatch.attempt_id
        self.reduce(events.AttemptFirstChunk(attempt_id))
        emitted = self.reduce(events.AttemptFinished(attempt_id, ANSWER))
        kinds = [type(effect) for effect in emitted]
        self.assertIn(effects.RateAnswer, kinds)
        self.assertIn(effects.FinishRelay, kinds)
        self.assertNotIn(effects.Respond, kinds)
