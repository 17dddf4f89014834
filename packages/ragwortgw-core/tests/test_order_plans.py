"""Tests of the changes that each order makes to the configuration."""

import unittest

import msgspec
from returns.result import Failure

from ragwortgw_core import configuration
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import language
from ragwortgw_core import object_properties
from ragwortgw_core import order_changes
from ragwortgw_core import order_plans
from tests import test_configuration

STAMP = events.Stamp(1_800_000_000_000, 7)
HASH = 'ab' * 32
SESSION_KEY = '0123456789abcdef' * 2


def documents():
    """Returns documents of each kind by path."""
    return {
        **test_configuration.documents(),
        f'key/{HASH}': {'id': HASH, 'organisation': 'savinja', 'label': ''},
        'operator/ana': {'id': 'ana', 'key_hash': HASH, 'role': 'read'},
        'drain/b1': {'id': 'b1', 'reason': ''},
    }


def encoded(by_path):
    """Encodes documents the way the configuration store holds them."""
    return {path: msgspec.json.encode(d) for path, d in by_path.items()}


def snapshot(changed=()):
    """Builds a snapshot of documents(), with some of them replaced."""
    by_path = {**documents(), **dict(changed)}
    head = configuration.EMPTY_HEAD.copy()
    head.update(revision=1, objects=dict.fromkeys(by_path, 1))
    return configuration.build(head, encoded(by_path)).unwrap()


def plan(text, changed=()):
    """Plans an order on snapshot(changed)."""
    order = language.parse(text).unwrap()
    return order_plans.plan_changes(order, snapshot(changed), STAMP)


class PlanCase(unittest.TestCase):
    def check(self, text, path, **fields):
        """Checks that an order changes only one document, and its fields."""
        changes = plan(text).unwrap()
        self.assertEqual([path], list(changes))
        document = changes[path]
        actual = {name: document[name] for name in fields}
        self.assertEqual(fields, actual)
        by_path = {**documents(), **changes}
        snapshot({path: document for path, document in by_path.items()})

    def check_deleted(self, text, path):
        """Checks that an order deletes only one document."""
        self.assertEqual({path: None}, plan(text).unwrap())

    def check_refused(self, text, column, suggestion='', reason='', **changed):
        """Checks the column, suggestion and reason of a refused order."""
        failed = plan(text, changed.get('documents', ()))
        self.assertIsInstance(failed, Failure, text)
        failure = failed.failure()
        self.assertIsInstance(failure, errors.BadOrder)
        self.assertEqual(
            (column, suggestion), (failure.column, failure.suggestion), failure
        )
        self.assertIn(reason, failure.reason)


class ObjectTest(PlanCase):
    def test_create_sets_properties_and_defaults(self):
        self.check(
            'create organisation litoral permits any, big rate 5.5',
            'organisation/litoral',
            permits=['any', 'big'],
            rate=5.5,
            burst=20.0,
        )
        other_hash = 'cd' * 32
        self.check(
            f'create key {other_hash} organisation savinja label "a b"',
            f'key/{other_hash}',
            label='a b',
        )
        self.check(
            f'create operator ben hash {HASH} role operate',
            'operator/ben',
            role='operate',
            key_hash=HASH,
        )
        self.check(
            'create version big@3', 'version/big@3', model='big', state='ready'
        )
        self.check(
            'create cascade c stages small, big target 0.5',
            'cascade/c',
            stages=['small', 'big'],
            target=0.5,
        )

    def test_routes_are_parsed_and_kept(self):
        text = 'kind service routes GET:/a:repeatable:background'
        route = {
            'method': 'GET',
            'prefix': '/a',
            'repeatable': True,
            'priority': 'background',
        }
        self.check(f'create model svc {text}', 'model/svc', routes=[route])
        self.check(f'set model big {text}', 'model/big', routes=[route])
        changed = {
            'model/big': test_configuration.model('big', routes=[route])
        }
        model = plan('set model big output 7', changed).unwrap()['model/big']
        self.assertEqual([route], model['routes'])
        for route in ('GET:/a:often:background', 'GET:/a', 'GET:/a:once:soon'):
            self.check_refused(
                f'set model big routes {route}',
                22,
                reason='expected METHOD:prefix',
            )

    def test_invalid_create_is_refused(self):
        self.check_refused('create modle x', 8, 'model')
        self.check_refused('create model big', 14, 'set', 'exists')
        self.check_refused('create organisation x rat 5', 23, 'rate')
        self.check_refused('create organisation x rate much', 28)
        self.check_refused('create version big', 16, reason='model@version')
        self.check_refused('create cascade c target 1.5', 25, reason='0..1')
        self.check_refused(
            'create model m kind chta', 21, reason='expected chat or service'
        )
        self.check_refused(
            'create model m input 1.5', 22, reason='whole number'
        )

    def test_key_in_plain_text_is_refused(self):
        self.check_refused(
            'create key my-key organisation savinja', 12, reason='SHA-256'
        )
        self.check_refused(
            'create operator ben hash my-key', 26, reason='SHA-256'
        )

    def test_set_changes_the_given_properties(self):
        self.check(
            'set cascade any target 0.7',
            'cascade/any',
            target=0.7,
            stages=['small', 'big'],
        )
        self.check(
            'set system system ledger grants',
            'system/system',
            ledger_mode='grants',
        )
        self.check_refused('set cascade anny target 0.7', 13, 'any')
        self.check_refused('set cascade any targt 0.7', 17, 'target')
        self.check_refused('set cascad any target 0.7', 5, 'cascade')

    def test_delete(self):
        self.check_deleted('delete cascade any', 'cascade/any')
        self.check_refused('delete cascade anny', 16, 'any')
        self.check_refused('delete system system', 8, 'system')

    def test_permit_and_forbid(self):
        self.check(
            'permit savinja use small, big@1',
            'organisation/savinja',
            permits=['any', 'small', 'big@1'],
        )
        self.check(
            'forbid savinja use any', 'organisation/savinja', permits=['big@1']
        )
        self.check_refused('permit savinj use any', 8, 'savinja')


class RolloutTest(PlanCase):
    def test_rollout_keeps_the_steps_and_increments_the_fencing(self):
        self.check(
            'rollout big to 2 from big@1 steps 2.5%, 100%',
            'rollout/big',
            candidate='big@2',
            baseline='big@1',
            plan=[250, 10_000],
            next_step=0,
            fencing=2,
            steps=documents()['rollout/big']['steps'],
        )

    def test_invalid_rollout_is_refused(self):
        self.check_refused('rollout bigg to 2 from 1 steps 9%', 9, 'big')
        self.check_refused('rollout big to 9 from 1 steps 9%', 16, 'big@2')
        self.check_refused(
            'rollout big to 2 from 2 steps 9%', 23, reason='same version'
        )
        for steps in ('50%, 10%', '0%, 10%', '10%, 10%'):
            self.check_refused(
                f'rollout big to 2 from 1 steps {steps}',
                31,
                reason='must grow',
            )
        for step in ('5', '101%', 'x%'):
            self.check_refused(f'rollout big to 2 from 1 steps {step}', 31)
        withdrawn = {
            'version/big@2': test_configuration.version('big@2', 'withdrawn')
        }
        self.check_refused(
            'rollout big to 2 from 1 steps 9%',
            16,
            reason='withdrawn',
            documents=withdrawn,
        )

    def test_pause_and_resume(self):
        self.check('pause big', 'rollout/big', state='paused', fencing=2)
        self.check_refused('resume big', 8, reason='running, not paused')
        self.check_refused('pause bigg', 7, 'big')

    def test_withdraw_ends_the_roll_out(self):
        changes = plan('withdraw big@2 reason "bad prices"').unwrap()
        self.assertEqual({'version/big@2', 'rollout/big'}, set(changes))
        version = changes['version/big@2']
        self.assertEqual(
            ('withdrawn', 'bad prices'), (version['state'], version['reason'])
        )
        rollout = changes['rollout/big']
        self.assertEqual('withdrawn', rollout['state'])
        self.assertEqual(10_000, rollout['steps'][-1]['shares']['big@1'])
        self.check('withdraw small@1', 'version/small@1', state='withdrawn')
        self.check_refused('withdraw big2', 10, 'big@2')

    def test_reinstate(self):
        self.check('reinstate big@1', 'version/big@1', state='ready')
        self.check_refused('reinstate big@9', 11, 'big@2')


class DrainTest(PlanCase):
    def test_drain_and_undrain(self):
        self.check('drain b2 reason disk', 'drain/b2', reason='disk')
        self.check_deleted('undrain b1', 'drain/b1')
        self.check_refused('undrain b', 9, 'b1')


class RoleTest(unittest.TestCase):
    def test_roles_are_required_and_checked(self):
        for text, role in (
            ('drain b', 'operate'),
            ('set cascade any target 1', 'administer'),
        ):
            order = language.parse(text).unwrap()
            self.assertEqual(role, order_plans.required_role(order))
        check_role = order_plans.check_role
        self.assertIsNone(check_role('administer', 'operate'))
        self.assertEqual(
            errors.Forbidden('read', 'operate'), check_role('read', 'operate')
        )


class SecretTest(PlanCase):
    TEXT = f'set system system session-key {SESSION_KEY}'

    def test_session_key_is_checked(self):
        self.check(self.TEXT, 'system/system', session_key=SESSION_KEY)
        for invalid in ('ab12', 'x' * 40, '""'):
            self.check_refused(
                f'set system system session-key {invalid}',
                31,
                reason='at least 32 hex digits',
            )

    def test_secrets_are_masked_in_order_texts(self):
        text = f'{self.TEXT} shards 8 # {SESSION_KEY}'
        order = language.parse(text).unwrap()
        masked = object_properties.mask_order(text, order)
        self.assertNotIn(SESSION_KEY, masked)
        self.assertIn('session-key secret:', masked)
        self.assertIn('shards 8', masked)
        plain = 'set cascade any target 0.5'
        order = language.parse(plain).unwrap()
        self.assertEqual(plain, object_properties.mask_order(plain, order))

    def test_secrets_are_masked_in_differences(self):
        differences = order_changes.compare_documents(
            {}, plan(self.TEXT).unwrap()
        )
        self.assertIn('session_key', [d.field for d in differences])
        self.assertNotIn(SESSION_KEY, repr(differences))


class DifferenceTest(unittest.TestCase):
    def test_fields_of_changed_created_and_deleted_documents_differ(self):
        before = encoded(documents())
        changed = plan('set cascade any target 0.7').unwrap()
        self.assertEqual(
            (('cascade/any', 'target', 0.9, 0.7),),
            order_changes.compare_documents(before, changed),
        )
        deleted = order_changes.compare_documents(before, {'drain/b1': None})
        self.assertEqual(
            [('id', 'b1', None), ('reason', '', None)],
            [difference[1:] for difference in deleted],
        )
        created = order_changes.compare_documents(
            before, plan('drain b2 reason disk').unwrap()
        )
        self.assertEqual(
            [('id', None, 'b2'), ('reason', None, 'disk')],
            [difference[1:] for difference in created],
        )
