"""Tests of decoding and validating configuration snapshots."""

import unittest

import msgspec
from returns.result import Failure

from ragwortgw_core import configuration
from ragwortgw_core import errors


def model(identity, **fields):
    """Builds a model document."""
    return {
        'id': identity,
        'kind': 'chat',
        'input_micros': 100,
        'output_micros': 300,
        'call_micros': 0,
        'prior_quality': 0.8,
        'priority': 'interactive',
        'routes': [],
        **fields,
    }


def version(identity, state='ready'):
    """Builds a version document."""
    name = identity.partition('@')[0]
    return {'id': identity, 'model': name, 'state': state, 'reason': ''}


def organisation(identity, permits):
    """Builds an organisation document."""
    return {
        'id': identity,
        'permits': permits,
        'rate': 10.0,
        'burst': 20.0,
        'concurrency': 8,
        'weight': 1.0,
    }


def rollout(shares, **fields):
    """Builds a roll-out document of the model 'big'."""
    return {
        'id': 'big',
        'steps': [{'effective_at_ms': 1, 'shares': shares}],
        'candidate': 'big@2',
        'baseline': 'big@1',
        'plan': [1_000, 10_000],
        'next_step': 1,
        'state': 'running',
        'fencing': 1,
        **fields,
    }


def documents():
    """Builds a configuration of two models and a cascade, by path."""
    return {
        'model/small': model('small'),
        'model/big': model('big'),
        'version/small@1': version('small@1'),
        'version/big@1': version('big@1'),
        'version/big@2': version('big@2'),
        'cascade/any': {
            'id': 'any',
            'stages': ['small', 'big'],
            'target': 0.9,
            'priority': 'interactive',
        },
        'organisation/savinja': organisation('savinja', ['any', 'big@1']),
        'rollout/big': rollout({'big@1': 9_000, 'big@2': 1_000}),
    }


def load(changed=(), revision=1):
    """Loads that configuration with some documents replaced or added."""
    by_path = {**documents(), **dict(changed)}
    values = {
        path: msgspec.json.encode(document)
        for path, document in by_path.items()
    }
    head = {
        'revision': revision,
        'objects': dict.fromkeys(by_path, 1),
        'commands': [],
    }
    return configuration.load(msgspec.json.encode(head), values)


class LoadTest(unittest.TestCase):
    def test_valid_configuration_loads(self):
        snapshot = load().unwrap()
        self.assertEqual(1, snapshot.revision)
        self.assertEqual({'small', 'big'}, set(snapshot.models_by_id))
        self.assertEqual(configuration.DEFAULT_SYSTEM, snapshot.system)

    def test_faults_name_the_path_of_the_field(self):
        for path, document, where in (
            ('model/x', model('y'), 'model/x.id'),
            ('model/x', model('x', kind='odd'), 'model/x.kind'),
            ('model/x', model('x', call_micros=-1), 'model/x.call_micros'),
            ('version/no@1', version('no@1'), 'version/no@1.model'),
            ('odd/x', {'id': 'x'}, 'odd/x'),
            (
                'key/1',
                {'id': '1', 'organisation': 'no', 'label': ''},
                'key/1.organisation',
            ),
            (
                'organisation/o',
                organisation('o', ['big', 'no']),
                'organisation/o.permits[1]',
            ),
            (
                'cascade/c',
                {**documents()['cascade/any'], 'id': 'c', 'stages': ['no']},
                'cascade/c.stages[0]',
            ),
            (
                'rollout/big',
                rollout({'big@1': 9_000}),
                'rollout/big.steps[0].shares',
            ),
            (
                'rollout/big',
                rollout({'small@1': 10_000}),
                'rollout/big.steps[0].shares',
            ),
        ):
            with self.subTest(where):
                loaded = load({path: document})
                self.assertIsInstance(loaded, Failure)
                fault = loaded.failure()
                self.assertIsInstance(fault, errors.InvalidObject)
                self.assertEqual(where, fault.path)

    def test_missing_document_is_a_fault(self):
        head = {'revision': 1, 'objects': {'model/x': 1}, 'commands': []}
        loaded = configuration.load(msgspec.json.encode(head), {})
        fault = errors.InvalidObject('model/x', 'missing')
        self.assertEqual(fault, loaded.failure())

    def test_undecodable_head_is_a_fault(self):
        for head in (b'', b'{', b'[]', b'{"revision": "1"}', b'\xff'):
            self.assertIsInstance(configuration.load(head, {}), Failure)


class PermittedVersionsTest(unittest.TestCase):
    def ids(self, snapshot, permits, name, target=''):
        versions = configuration.permitted_versions(
            snapshot, organisation('o', permits), name, target
        )
        return [version['id'] for version in versions]

    def test_permits_by_model_version_and_cascade(self):
        snapshot = load().unwrap()
        for permits, name, target, expected in (
            (['big'], 'big', 'big', ['big@1', 'big@2']),
            (['big@2'], 'big', 'big', ['big@2']),
            (['any'], 'big', 'any', ['big@1', 'big@2']),
            (['any'], 'big', 'big', []),
            (['any'], 'big', '', []),
            ([], 'big', 'any', []),
            (['big@1'], 'big', 'any', ['big@1']),
        ):
            with self.subTest(permits=permits, name=name, target=target):
                permitted = self.ids(snapshot, permits, name, target)
                self.assertEqual(expected, permitted)

    def test_withdrawn_version_is_never_permitted(self):
        withdrawn = {'version/big@2': version('big@2', 'withdrawn')}
        snapshot = load(withdrawn).unwrap()
        self.assertEqual(['big@1'], self.ids(snapshot, ['big'], 'big'))
        self.assertEqual([], self.ids(snapshot, ['big@2'], 'big'))
