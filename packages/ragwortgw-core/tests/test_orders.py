"""Tests of orders and of the configuration store, also under faults."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec
import uuid_utils

from ragwortgw_core import config_store
from ragwortgw_core import configuration
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import order_changes
from ragwortgw_core import orders
from tests import platform_model
from tests import properties
from tests import test_configuration


def command_id(at_ms, number):
    """Builds a command id, a UUIDv7, with a given time."""
    text = f'{at_ms:012x}7{number % 4096:03x}8{number:015x}'
    return str(uuid_utils.UUID(text))


class Entry:
    """A process with a configuration store and an order processor."""

    last_op_id = 0

    def __init__(self, world, name):
        self.name = name
        self.world = world
        self.process = world.process(name)
        self.store = config_store.new_store(self.process.calls)
        self.orders = orders.new_order_processor(
            self.process.calls, self.store
        )
        self.process.components += [self.store, self.orders]
        self.revisions_seen = []
        self.store.listeners.append(self.on_change)

    def on_change(self, stamp):
        self.revisions_seen.append(self.store.revision)
        return []

    def order(self, changes, command='', **fields):
        """Submits an order; returns its op id."""
        Entry.last_op_id += 1
        op_id = Entry.last_op_id
        event = events.OrderReceived(
            op_id=op_id,
            operator=self.name,
            command_id=command or command_id(self.world.now_ms, op_id),
            text=fields.pop('text', f'order of {sorted(changes)}'),
            if_revision=fields.pop('if_revision', 0),
            dry_run=fields.pop('dry_run', False),
            changes=changes,
        )
        self.process.do(lambda stamp: self.orders.submit(stamp, event))
        return op_id

    def answer(self, op_id):
        """Returns the answer to an order, or None."""
        answers = [
            effect
            for effect in self.process.emitted_of_type(effects.AnswerOrder)
            if effect.op_id == op_id
        ]
        assert len(answers) <= 1, answers
        return answers[0] if answers else None


def apply(entry, changes, **fields):
    """Submits an order and returns its answer, after at most 20 s."""
    op_id = entry.order(changes, **fields)
    for _ in range(200):
        entry.world.run(100)
        if entry.answer(op_id):
            return entry.answer(op_id)
    raise AssertionError('no answer')


def stored_head(world):
    """Returns the head that the platform service holds."""
    value = world.platform.values_by_key[configuration.HEAD_KEY].value
    return msgspec.json.decode(value)


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.world = platform_model.World()
        self.first = Entry(self.world, 'ana')
        self.second = Entry(self.world, 'bor')
        self.world.run(500)
        answer = apply(self.first, test_configuration.documents())
        self.assertEqual(200, answer.status, answer.body)
        self.world.run(1_000)

    def drain(self, identity):
        return {f'drain/{identity}': {'id': identity, 'reason': ''}}

    def test_applied_order_reaches_the_other_entry(self):
        apply(self.first, self.drain('b1'))
        self.world.run(1_000)
        self.assertEqual(2, self.second.store.revision)
        self.assertIn('b1', self.second.store.snapshot.drains_by_id)

    def test_only_changed_documents_are_read(self):
        before = dict(self.world.platform.counts_by_call)
        apply(self.first, self.drain('b1'))
        self.world.run(1_000)
        after = self.world.platform.counts_by_call
        # The order reads the head; the other entry reads one document.
        self.assertEqual(2, after['Get'] - before['Get'])

    def test_concurrent_orders_on_one_document_conflict(self):
        first = self.first.order(self.drain('b1'))
        second = self.second.order(self.drain('b1'))
        self.world.run(2_000)
        answers = [self.first.answer(first), self.second.answer(second)]
        statuses = [answer.status for answer in answers]
        self.assertEqual([200, 409], sorted(statuses))
        winner = ('ana', 'bor')[statuses.index(200)]
        fields = answers[statuses.index(409)].body['fields']
        self.assertEqual(winner, fields['operator'])
        self.assertEqual(('drain/b1',), fields['changed'])

    def test_concurrent_orders_on_different_documents_both_apply(self):
        first = self.first.order(self.drain('b1'))
        second = self.second.order(self.drain('b2'))
        self.world.run(2_000)
        self.assertEqual(200, self.first.answer(first).status)
        self.assertEqual(200, self.second.answer(second).status)
        drains = self.first.store.snapshot.drains_by_id
        self.assertEqual({'b1', 'b2'}, set(drains))

    def test_order_planned_on_an_old_revision_conflicts(self):
        self.second.process.cut_off = True
        apply(self.first, self.drain('b1'))
        self.world.run(4_000)
        self.second.process.cut_off = False
        answer = apply(self.second, {'drain/b1': None})
        self.assertEqual(409, answer.status)

    def test_order_bound_to_an_old_revision_conflicts(self):
        apply(self.first, self.drain('b1'))
        answer = apply(self.second, self.drain('b2'), if_revision=1)
        self.assertEqual(409, answer.status)
        self.assertEqual('ana', answer.body['fields']['operator'])
        answer = apply(self.second, self.drain('b2'), if_revision=2)
        self.assertEqual(200, answer.status)

    def test_dry_run_changes_nothing(self):
        answer = apply(self.first, self.drain('b1'), dry_run=True)
        self.assertTrue(answer.body['dry_run'])
        self.assertEqual(['drain/b1'], answer.body['changed'])
        self.assertEqual(1, stored_head(self.world)['revision'])

    def test_invalid_order_is_refused_with_the_path(self):
        changes = {'key/1': {'id': '1', 'organisation': 'no', 'label': ''}}
        answer = apply(self.first, changes)
        self.assertEqual(422, answer.status)
        path = answer.body['fields']['path']
        self.assertEqual('key/1.organisation', path)
        answer = apply(self.first, {'model/small': None})
        self.assertEqual(422, answer.status)
        answer = apply(self.first, {'model/none': None})
        self.assertEqual(404, answer.status)

    def test_retried_command_is_applied_once(self):
        command = command_id(self.world.now_ms, 7)
        first = apply(self.first, self.drain('b1'), command=command)
        retried = apply(self.second, self.drain('b1'), command=command)
        self.assertEqual(first.body, retried.body)
        self.assertEqual(2, stored_head(self.world)['revision'])
        other = apply(
            self.first, self.drain('b2'), command=command, text='other'
        )
        self.assertEqual(400, other.status)

    def test_retry_of_an_applied_command_may_have_no_changes(self):
        command = command_id(self.world.now_ms, 7)
        first = apply(
            self.first, self.drain('b1'), command=command, text='drain b1'
        )
        retried = apply(self.second, {}, command=command, text='drain b1')
        self.assertEqual(first.body, retried.body)
        empty = apply(self.second, {})
        self.assertEqual(400, empty.status)

    def test_old_and_malformed_command_ids_are_refused(self):
        old = command_id(self.world.now_ms - 600_000, 1)
        answer = apply(self.first, self.drain('b1'), command=old)
        self.assertEqual('unknown', answer.body['ran'])
        answer = apply(self.first, self.drain('b1'), command='x')
        self.assertEqual(400, answer.status)

    def test_outage_before_the_head_is_written_has_a_certain_outcome(self):
        self.world.platform.down = True
        answer = apply(self.first, self.drain('b1'))
        self.assertEqual((503, 'no'), (answer.status, answer.body['ran']))

    def test_lost_answer_to_the_write_of_the_head_is_unknown(self):
        op_id = self.first.order(self.drain('b1'))
        self.world.run(4)
        self.world.faults = platform_model.Faults(lose_answer=1.0)
        self.world.run(12_000)
        answer = self.first.answer(op_id)
        self.assertEqual('unknown', answer.body['ran'])

    def test_commands_move_from_the_head_to_the_audit(self):
        count = order_changes.MAX_HEAD_COMMANDS + 10
        for number in range(count):
            change = None if number % 2 else {'id': 'b1', 'reason': ''}
            answer = apply(self.first, {'drain/b1': change})
            self.assertEqual(200, answer.status, answer.body)
            self.world.run(10_000)
        in_head = [c['revision'] for c in stored_head(self.world)['commands']]
        in_audit = [
            command['revision']
            for key, found in self.world.platform.values_by_key.items()
            if key.startswith(order_changes.AUDIT_PREFIX)
            for command in msgspec.json.decode(found.value)
        ]
        self.assertEqual(64, len(in_audit))
        self.assertEqual(list(range(1, count + 2)), in_audit + in_head)

    def test_superseded_documents_are_deleted(self):
        apply(self.first, self.drain('b1'))
        apply(self.first, {'drain/b1': None})
        self.world.run(orders.DELETE_DELAY_MS + 2_000)
        keys = [
            key
            for key in self.world.platform.values_by_key
            if key.startswith(configuration.OBJECT_PREFIX + 'drain')
        ]
        self.assertEqual([], keys)

    def test_unsupported_ledger_mode_is_refused(self):
        system = {**configuration.DEFAULT_SYSTEM, 'ledger_mode': 'grants'}
        answer = apply(self.first, {'system/system': system})
        self.assertEqual(422, answer.status)
        path = answer.body['fields']['path']
        self.assertEqual('system/system.ledger_mode', path)

    def test_change_of_ledger_shards_is_refused(self):
        system = dict(configuration.DEFAULT_SYSTEM)
        answer = apply(self.first, {'system/system': system})
        self.assertEqual(200, answer.status)
        changes = {'system/system': {**system, 'ledger_shards': 8}}
        answer = apply(self.first, changes)
        self.assertEqual(422, answer.status)


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((1, 20, 300, 2_500)),
        strategies.sampled_from(
            ('order',) * 5 + ('retry', 'kill', 'pause', 'cut', 'outage')
        ),
        strategies.integers(0, 2),
        strategies.integers(0, 2),
    ),
    min_size=4,
    max_size=20,
)
FAULTS = platform_model.Faults(
    lose_request=0.08, lose_answer=0.12, late=0.15, refuse=0.05
)


class FaultTest(unittest.TestCase):
    @properties.settings(50)
    @hypothesis.given(ACTIONS, strategies.integers(0, 2**32))
    def test_applied_orders_last_and_apply_once(self, actions, seed):
        world = platform_model.World(seed, FAULTS)
        names = iter('abcdefghijklmnopqrstuvwxyz')
        entries = [Entry(world, next(names)) for _ in range(3)]
        sent = []
        for gap_ms, action, entry_index, backend_index in actions:
            entry = entries[entry_index]
            if action == 'order':
                drain = {'id': f'b{backend_index}', 'reason': str(len(sent))}
                changes = {f'drain/b{backend_index}': drain}
                command = command_id(world.now_ms, len(sent))
                op_id = entry.order(changes, command)
                sent.append((entry, op_id, command, changes))
            elif action == 'retry' and sent:
                _, _, command, changes = sent[-1]
                op_id = entry.order(changes, command)
                sent.append((entry, op_id, command, changes))
            elif action == 'kill':
                entry.process.alive = False
                entries[entry_index] = Entry(world, next(names))
            elif action == 'pause':
                entry.process.paused_until_ms = world.now_ms + 3_000
            elif action == 'cut':
                entry.process.cut_off = not entry.process.cut_off
            elif action == 'outage':
                world.platform.down = not world.platform.down
            world.run(gap_ms)
        world.platform.down = False
        for entry in entries:
            entry.process.cut_off = False
        world.run(30_000)
        world.faults = platform_model.NO_FAULTS
        world.run(15_000)
        self._check_outcomes(world, entries, sent)

    def _check_outcomes(self, world, entries, sent):
        """Checks that answers, heads and stores agree.

        An order answered with 200 is in the last head; one that certainly
        did not run is not, unless the same command was sent again. No head
        or store goes back to an older revision.
        """
        heads = [
            msgspec.json.decode(found.value)
            for found in world.platform.writes
            if found.key == configuration.HEAD_KEY
        ]
        revisions = [head['revision'] for head in heads]
        self.assertEqual(sorted(set(revisions)), revisions)
        applied = [c['id'] for c in heads[-1]['commands']] if heads else []
        self.assertEqual(len(set(applied)), len(applied))
        for entry, op_id, command, _ in sent:
            answer = entry.answer(op_id)
            if not entry.process.alive:
                continue
            self.assertIsNotNone(answer)
            if answer.status == 200:
                self.assertIn(command, applied)
            elif answer.body['ran'] == 'no':
                others = [e.answer(o) for e, o, c, _ in sent if c == command]
                if len(others) == 1:
                    self.assertNotIn(command, applied)
        for entry in entries:
            self.assertEqual(
                sorted(set(entry.revisions_seen)), entry.revisions_seen
            )
            if heads:
                self.assertEqual(revisions[-1], entry.store.revision)
                drains = entry.store.snapshot.drains_by_id
                self._check_documents(drains, heads[-1], sent)

    def _check_documents(self, drains, head, sent):
        """Checks that the last command on each document has taken effect."""
        changes_by_command = {c: changes for _, _, c, changes in sent}
        expected = {}
        for command in head['commands']:
            for document in changes_by_command[command['id']].values():
                expected[document['id']] = document
        self.assertEqual(expected, drains)
