"""Tests of operators' commands on an entry with a platform service."""

import unittest

import msgspec

from ragwortgw_core import effects
from ragwortgw_core import entry
from ragwortgw_core import entry_state
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import reports
from ragwortgw_core import requests
from tests import platform_model
from tests import test_orders

KEY_HASH = 'ef' * 32
SESSION_KEY = '0123456789abcdef' * 2
START_MS = platform_model.START_MS
CONFIGURATION = f"""
create model small input 1 output 2
create model big input 1 output 2
create version small@1
create version big@1
create cascade any stages small, big target 0.8
create organisation litoral permits any rate 5
create operator ana hash {'aa' * 32} role operate
create operator ben hash {'bb' * 32} role read
"""


class Entry:
    """An entry whose platform calls are answered immediately."""

    def __init__(self):
        options = entry_state.Options(bootstrap_hash=KEY_HASH)
        self.state = entry.new_entry('e', 'e-1', 'z', 'r', options)
        self.platform = platform_model.PlatformModel()
        self.records = []
        self.logged = []
        self.answers_by_op_id = {}
        self.now_ms = START_MS
        self.last_op_id = 0
        self.tick()

    def feed(self, event):
        """Handles an event and all events that result from it."""
        queue = [event]
        while queue:
            self.now_ms += 1
            stamp = events.Stamp(self.now_ms, self.now_ms)
            _, out = entry_state.REDUCER.reduce(
                self.state, stamp, queue.pop(0)
            )
            queue += self.apply(out)

    def apply(self, out):
        """Records effects; returns the events that result from them."""
        resulting = []
        for effect in out:
            if isinstance(effect, effects.LogChange):
                self.logged.append(effect.message)
            if isinstance(effect, effects.Record):
                self.records.append(effect)
            if isinstance(effect, effects.AnswerOrder):
                self.answers_by_op_id[effect.op_id] = effect
            if isinstance(effect, effects.CallPlatform):
                resulting += self.call(effect)
        return resulting

    def offer(self, exported):
        """Offers the configuration of a peer to the entry's store."""
        stamp = events.Stamp(self.now_ms, 1)
        out = self.state.store.offer(stamp, *exported)
        applied = entry_state.apply_notices(self.state, stamp, out)
        for event in self.apply(applied):
            self.feed(event)

    def call(self, effect):
        """Answers a platform call; watches and host lists stay open."""
        if isinstance(effect.call, platform.Watch | platform.Hosts):
            return []
        result = self.platform.apply(effect.call)
        return [events.PlatformAnswered(effect.op_id, result)]

    def tick(self):
        for _ in range(3):
            self.now_ms += 100
            self.feed(events.Tick())

    def run(self, text, key_hash=KEY_HASH, **fields):
        """Runs a statement and returns the answer."""
        self.last_op_id += 1
        command_id = fields.get('command_id') or test_orders.command_id(
            self.now_ms, self.last_op_id
        )
        self.feed(
            events.CommandReceived(
                self.last_op_id,
                key_hash,
                command_id,
                text,
                fields.get('if_revision', 0),
                fields.get('dry_run', False),
            )
        )
        for _ in range(5):
            if self.last_op_id in self.answers_by_op_id:
                break
            self.tick()
        return self.answers_by_op_id[self.last_op_id]

    def rows(self, text):
        """Runs a query and returns its rows as dicts by column name."""
        answer = self.run(text)
        assert answer.status == 200, answer
        columns = answer.body['columns']
        return [dict(zip(columns, row)) for row in answer.body['rows']]


class CommandCase(unittest.TestCase):
    def setUp(self):
        self.entry = Entry()
        for line in CONFIGURATION.strip().splitlines():
            answer = self.entry.run(line)
            self.assertEqual(200, answer.status, answer)


class QueryTest(CommandCase):
    def test_every_subject_has_the_listed_columns(self):
        rows = self.entry.rows('show subjects')
        subjects = [row['subject'] for row in rows]
        self.assertEqual(sorted(subjects), subjects)
        for subject in ('queue', 'hosts', 'bills', 'cost', 'audit'):
            self.assertIn(subject, subjects)
        for row in rows:
            answer = self.entry.run(f'show {row["subject"]}')
            self.assertEqual(200, answer.status, answer)
            self.assertEqual(
                row['columns'].split(), list(answer.body['columns'])
            )

    def test_rows_are_sorted_by_their_first_column(self):
        rows = self.entry.rows('show models')
        self.assertEqual(['big', 'small'], [row['model'] for row in rows])

    def test_key_can_be_deleted_by_its_shown_id(self):
        self.entry.run(f'create key {"ab" * 32} organisation litoral')
        (row,) = self.entry.rows('show keys')
        answer = self.entry.run(f'delete key {row["key"]}')
        self.assertEqual(200, answer.status, answer)

    def test_unknown_subject_gets_a_suggestion(self):
        answer = self.entry.run('show modles')
        self.assertEqual(
            (400, 6, 'models'),
            (answer.status, answer.body['column'], answer.body['suggestion']),
        )

    def test_statements_and_properties_are_listed(self):
        forms = [
            row['statement'] for row in self.entry.rows('show statements')
        ]
        self.assertTrue(any(form.startswith('rollout') for form in forms))
        rows = self.entry.rows('show properties where kind = cascade')
        self.assertEqual(
            ['priority', 'stages', 'target'],
            sorted(row['property'] for row in rows),
        )


class OrderTest(CommandCase):
    def test_dry_run_shows_the_changes_and_applies_nothing(self):
        answer = self.entry.run('set cascade any target 0.5', dry_run=True)
        self.assertEqual(200, answer.status)
        self.assertEqual(
            [
                {
                    'path': 'cascade/any',
                    'field': 'target',
                    'before': 0.8,
                    'after': 0.5,
                }
            ],
            answer.body['changes'],
        )
        (row,) = self.entry.rows('show cascades')
        self.assertEqual(0.8, row['target'])

    def test_order_bound_to_an_old_revision_conflicts(self):
        revision = self.entry.rows('show configuration')[0]['revision']
        answer = self.entry.run('drain b1', if_revision=revision - 1)
        self.assertEqual(409, answer.status)
        self.assertIn('bootstrap', answer.body['detail'])
        answer = self.entry.run('drain b1', if_revision=revision)
        self.assertEqual(200, answer.status)

    def test_operators_need_a_key_and_the_required_role(self):
        for key_hash, text, status in (
            ('aa' * 32, 'drain b1', 200),
            ('aa' * 32, 'delete cascade any', 403),
            ('bb' * 32, 'show audit', 200),
            ('bb' * 32, 'undrain b1', 403),
            ('cc' * 32, 'show audit', 401),
            ('', 'show audit', 401),
        ):
            with self.subTest(text, key_hash=key_hash[:2]):
                answer = self.entry.run(text, key_hash)
                self.assertEqual(status, answer.status, answer)

    def test_orders_are_recorded_in_the_time_line(self):
        answer = self.entry.run('drain b1')
        command = answer.body['command_id']
        kinds = [
            record.kind
            for record in self.entry.records
            if record.fields.get('command') == command
        ]
        self.assertEqual(['order-received', 'order-answered'], kinds)

    def test_retried_create_is_answered_as_applied(self):
        command_id = test_orders.command_id(self.entry.now_ms, 900)
        for _ in range(2):
            answer = self.entry.run(
                'create version big@2', command_id=command_id
            )
            self.assertEqual(200, answer.status, answer)


class FreshnessTest(CommandCase):
    def test_age_is_negative_until_the_configuration_is_confirmed(self):
        (row,) = Entry().rows('show configuration')
        self.assertEqual(-1, row['confirmed_age_ms'])
        (row,) = self.entry.rows('show configuration')
        self.assertGreaterEqual(row['confirmed_age_ms'], 0)

    def test_start_with_the_configuration_of_a_peer_logs_no_outage(self):
        new_entry = Entry()
        new_entry.offer(self.entry.state.store.export())
        new_entry.tick()
        self.assertEqual(
            self.entry.state.store.revision, new_entry.state.store.revision
        )
        self.assertNotIn('configuration unconfirmed', new_entry.logged)
        new_entry.now_ms += 20_000
        new_entry.tick()
        self.assertIn('configuration unconfirmed', new_entry.logged)

    def test_outage_is_logged_once_at_its_start_and_once_at_its_end(self):
        entry = self.entry
        entry.tick()
        entry.logged.clear()
        entry.now_ms += 20_000
        entry.tick()
        entry.tick()
        self.assertEqual(['configuration unconfirmed'], entry.logged)
        entry.state.store.freshness.confirm(entry.now_ms, direct=True)
        entry.tick()
        self.assertEqual('configuration confirmed', entry.logged[-1])
        self.assertEqual(2, len(entry.logged))


class SecretTest(CommandCase):
    def test_session_key_is_not_shown_anywhere(self):
        text = f'set system system session-key {SESSION_KEY}'
        answers = [
            self.entry.run(text, dry_run=True),
            self.entry.run(text),
            self.entry.run(f'{text}0'),
            self.entry.run(f'set system system session-kye {SESSION_KEY}'),
        ]
        self.assertEqual(
            [200, 200, 200, 400], [answer.status for answer in answers]
        )
        snapshot = self.entry.state.store.snapshot
        self.assertEqual(SESSION_KEY + '0', snapshot.system['session_key'])
        for row in self.entry.rows('show subjects'):
            answers.append(self.entry.run(f'show {row["subject"]}'))
        shown = repr([answers, self.entry.records, snapshot.head['commands']])
        self.assertNotIn(SESSION_KEY, shown)
        self.assertIn('session-key secret:', shown)
        self.assertNotIn(
            'aa' * 32,
            repr(
                [self.entry.run('show operators'), self.entry.run('show keys')]
            ),
        )


def bill(sequence, **fields):
    """Builds a bill with some fields replaced."""
    bill_fields = {
        'id': f'e-1-{sequence}',
        'organisation': 'litoral',
        'target': 'any',
        'model': 'small',
        'version': 'small@1',
        'revision': 8,
        'input_tokens': 10,
        'output_tokens': 20,
        'cost_micros': 5,
        'at_ms': START_MS,
        **fields,
    }
    return requests.Bill(**bill_fields)


class ReportTest(CommandCase):
    def setUp(self):
        super().setUp()
        stamp = events.Stamp(self.entry.now_ms, 1)
        hour_ms = 3_600_000
        for added in (
            bill(1),
            bill(2, at_ms=START_MS + hour_ms, cost_micros=7),
            bill(3, at_ms=START_MS + hour_ms, organisation='savinja'),
        ):
            for effect in self.entry.state.bills.add(stamp, added):
                if isinstance(effect, effects.CallPlatform):
                    for event in self.entry.call(effect):
                        self.entry.feed(event)
        self.entry.now_ms += 5_000
        self.entry.tick()

    def test_cost_is_summed_by_hour_and_by_day(self):
        rows = self.entry.rows(
            'show cost where organisation = litoral by hour order by hour'
        )
        hours = [
            reports.format_time(START_MS + hours * 3_600_000)[:13]
            for hours in (0, 1)
        ]
        self.assertEqual(
            [(hours[0], 1, 5), (hours[1], 1, 7)],
            [
                (row['hour'], row['requests'], row['cost_micros'])
                for row in rows
            ],
        )
        rows = self.entry.rows(f'show cost where hour >= {hours[1]} by day')
        self.assertEqual(
            [(2, 12)], [(row['requests'], row['cost_micros']) for row in rows]
        )

    def test_unknown_column_of_a_report_gets_a_suggestion(self):
        text = 'show cost where organisaton = litoral'
        answer = self.entry.run(text)
        self.assertEqual(
            (400, 17, 'organisation'),
            (answer.status, answer.body['column'], answer.body['suggestion']),
        )
        self.assertIn('unknown column', answer.body['detail'])

    def test_bills_can_be_filtered(self):
        rows = self.entry.rows('show bills where organisation = savinja')
        self.assertEqual(['e-1-3'], [row['request'] for row in rows])

    def test_explain_includes_orders_of_the_audit(self):
        page = [
            command
            for command in self.entry.state.store.head()['commands']
            if 'organisation/litoral' in command['changed']
        ]
        page[0] = {**page[0], 'revision': 0, 'text': 'an older order'}
        self.entry.platform.apply(
            platform.Put(
                f'{reports.AUDIT_PREFIX}0', msgspec.json.encode(page), 0
            )
        )
        answer = self.entry.run('explain request e-1-1')
        self.assertEqual(200, answer.status, answer)
        body = answer.body
        self.assertEqual(
            ('small@1', 5, 8),
            (body['version'], body['cost_micros'], body['revision']),
        )
        self.assertIn('an older order', body['allowed_by'][0])
        texts = ' '.join(body['allowed_by'])
        self.assertIn('create organisation litoral', texts)
        self.assertNotIn('create operator', texts)
        self.assertIn('audit_since', body)

    def test_explain_of_an_unknown_request_is_not_found(self):
        for name in ('e-1-9', 'nonsense'):
            answer = self.entry.run(f'explain request {name}')
            self.assertEqual(404, answer.status)

    def test_audit_lists_each_order_once(self):
        rows = self.entry.rows('show audit where operator = bootstrap')
        revisions = [row['revision'] for row in rows]
        self.assertEqual(sorted(set(revisions)), revisions)
        self.assertEqual(
            CONFIGURATION.strip().splitlines(), [row['text'] for row in rows]
        )
