"""Tests of refusals of calls with an idempotency key.

Until the ledger has answered, an earlier call with the same key may have
been executed, so a refusal may not claim that nothing ran.
"""

import unittest

from ragwortgw_core import effects
from ragwortgw_core import entry
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import requests
from tests import platform_model
from tests import test_config_store
from tests import test_configuration
from tests import test_ledger

START_MS = platform_model.START_MS
SERVICE = {
    'kind': 'service',
    'routes': [
        {
            'method': 'POST',
            'prefix': '/',
            'repeatable': False,
            'priority': 'interactive',
        }
    ],
}


def service_request(request_id, key='', deadline_ms=5_000):
    """Builds a request to the plain service 'x'."""
    return requests.Request(
        id=request_id,
        key_hash='h',
        kind='service',
        target='x',
        method='POST',
        path='/top-ups',
        body=b'{}',
        stream=False,
        session='',
        idempotency_key=key,
        deadline_ms=START_MS + deadline_ms,
        prompt_chars=0,
        prefix='',
        fingerprint='f',
    )


class EntryRefusalsTest(unittest.TestCase):
    def setUp(self):
        self.state = entry.new_entry('e', 'inc', 'z', 'r', entry.Options())
        self.key = test_ledger.key_at(START_MS)

    def reduce(self, event, now_ms=0):
        stamp = events.Stamp(START_MS + now_ms, 1)
        return entry.REDUCER.reduce(self.state, stamp, event)[1]

    def refusals(self, emitted):
        return [
            errors.problem(effect.failure)
            for effect in emitted
            if isinstance(effect, effects.Refuse)
        ]

    def configure(self):
        model = {**test_configuration.model('x'), **SERVICE}
        documents = {
            'model/x': model,
            'version/x@1': test_configuration.version('x@1'),
            'organisation/o': (test_configuration.organisation('o', ['x'])),
            'key/h': {'id': 'h', 'organisation': 'o', 'label': ''},
        }
        stamp = events.Stamp(START_MS, 1)
        head, values = test_config_store.head_of(1, documents)
        self.state.store.offer(stamp, head, values, START_MS)

    def test_ran_is_unknown_when_refused_before_the_key_lookup(self):
        without_key = self.reduce(
            events.RequestReceived(service_request('inc-1'))
        )
        with_key = self.reduce(
            events.RequestReceived(service_request('inc-2', self.key))
        )
        (plain,), (keyed,) = (
            self.refusals(without_key),
            self.refusals(with_key),
        )
        self.assertEqual('no', plain['ran'])
        self.assertEqual('unknown', keyed['ran'])
        self.assertEqual({**plain, 'ran': 'unknown'}, keyed)

    def test_ran_is_unknown_when_the_deadline_passes_during_the_key_lookup(
        self,
    ):
        self.configure()
        emitted = self.reduce(
            events.RequestReceived(service_request('inc-1', self.key, 500))
        )
        puts = [
            effect.call
            for effect in emitted
            if isinstance(effect, effects.CallPlatform)
        ]
        self.assertIsInstance(puts[0], platform.Put)
        (refusal,) = self.refusals(self.reduce(events.Tick(), 501))
        self.assertEqual('unknown', refusal['ran'])
