"""Tests of the configuration store: offers, lost watches and staleness."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from ragwortgw_core import config_store
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import freshness
from ragwortgw_core import notices
from tests import platform_model
from tests import properties
from tests import test_configuration
from tests import test_orders

START_MS = platform_model.START_MS


def at(now_ms):
    """Builds a stamp."""
    return events.Stamp(START_MS + now_ms, 0)


def offer_of(revision):
    """Builds a head and its documents at a revision."""
    documents = test_configuration.documents()
    documents[f'drain/r{revision}'] = {'id': f'r{revision}', 'reason': ''}
    return head_of(revision, documents)


def head_of(revision, documents):
    """Encodes documents, all written at a revision, and their head."""
    head = {
        'revision': revision,
        'objects': dict.fromkeys(documents, revision),
        'commands': [],
    }
    values = {
        path: msgspec.json.encode(document)
        for path, document in documents.items()
    }
    return msgspec.json.encode(head), values


class OfferTest(unittest.TestCase):
    def setUp(self):
        self.store = config_store.new_store()

    def test_newer_offer_is_installed_and_older_is_ignored(self):
        outputs = self.store.offer(at(0), *offer_of(5))
        self.assertIn(notices.ConfigurationChanged(0, 5), outputs)
        self.assertEqual([], self.store.offer(at(1), *offer_of(4)))
        self.assertEqual(5, self.store.revision)
        self.assertEqual(offer_of(5), self.store.export())
        self.store.offer(at(2), *offer_of(6))
        self.assertEqual(6, self.store.revision)

    def test_invalid_offers_change_nothing(self):
        head, values = offer_of(5)
        broken = {**values, 'model/big': b'{'}
        missing = dict(list(values.items())[1:])
        for offered in (broken, missing):
            self.store.offer(at(0), head, offered)
            self.assertEqual(0, self.store.revision)
        self.store.offer(at(0), b'{"revision": 9}', values)
        self.assertEqual(0, self.store.revision)

    def test_offer_may_omit_documents_already_held(self):
        self.store.offer(at(0), *offer_of(5))
        head, values = offer_of(5)
        new_head = msgspec.json.decode(head)
        new_head['revision'] = 6
        new_head['objects']['drain/x'] = 6
        change = {'drain/x': b'{"id": "x", "reason": ""}'}
        self.store.offer(at(1), msgspec.json.encode(new_head), change)
        self.assertEqual(6, self.store.revision)
        self.assertEqual(change, self.store.changes_since(5))
        self.assertEqual({**values, **change}, self.store.export()[1])

    @properties.settings(50)
    @hypothesis.given(strategies.lists(strategies.integers(1, 6)))
    def test_revision_never_decreases(self, revisions):
        store = config_store.new_store()
        highest = 0
        for now_ms, revision in enumerate(revisions):
            store.offer(at(now_ms), *offer_of(revision))
            highest = max(highest, revision)
            self.assertEqual(highest, store.revision)
            drains = store.snapshot.drains_by_id
            self.assertEqual([f'r{highest}'], list(drains))


class ServiceTest(unittest.TestCase):
    def setUp(self):
        self.world = platform_model.World()
        self.first = test_orders.Entry(self.world, 'ana')
        self.second = test_orders.Entry(self.world, 'bor')
        self.world.run(500)
        self.order({'model/x': test_configuration.model('x')})
        self.world.run(1_000)

    def order(self, changes):
        answer = test_orders.apply(self.first, changes)
        self.assertEqual(200, answer.status, answer.body)

    def drain(self):
        self.order({'drain/b': {'id': 'b', 'reason': ''}})

    def stamp(self):
        return events.Stamp(self.world.now_ms, 0)

    def test_process_started_in_an_outage_uses_a_peers_configuration(self):
        self.world.platform.down = True
        late = test_orders.Entry(self.world, 'cor')
        self.world.run(2_000)
        missing = late.store.check(self.stamp(), 2)
        self.assertIsInstance(missing, errors.ConfigurationMissing)
        head, documents = self.first.store.export()
        confirmed_at_ms = self.first.store.advertised_at_ms
        late.store.offer(self.stamp(), head, documents, confirmed_at_ms)
        self.assertEqual(1, late.store.revision)
        self.assertIsNone(late.store.check(self.stamp(), 2))

    def test_state_loss_in_the_service_does_not_revert_the_revision(self):
        old = dict(self.world.platform.values_by_key)
        self.drain()
        self.world.run(500)
        for key, found in old.items():
            self.world.platform.revision += 1
            self.world.platform.values_by_key[key] = found._replace(
                revision=self.world.platform.revision
            )
        self.world.run(30_000)
        self.assertEqual(2, self.second.store.revision)

    def test_lost_watch_is_bypassed_when_a_peer_has_a_newer_revision(self):
        self.world.run(100)
        calls = self.second.process.calls
        for op_id in list(calls._pending_by_id):
            calls.pop_pending(op_id)
        self.drain()
        self.world.run(200)
        self.assertEqual(1, self.second.store.revision)
        outputs = self.second.store.record_report(self.stamp(), 'agent', 2, 0)
        self.assertEqual([notices.ConfigurationNeeded('agent', 2)], outputs)
        self.world.run(1_000)
        self.assertEqual(2, self.second.store.revision)

    def test_watch_without_changes_confirms_the_revision(self):
        self.world.run(60_000)
        age_ms = self.second.store.age_ms(self.stamp())
        self.assertLess(age_ms, freshness.MAX_CONFIRMATION_AGE_MS)

    def test_only_the_process_cut_off_refuses_and_in_time(self):
        self.second.process.cut_off = True
        refused_ms = None
        for elapsed_ms in range(0, 60_000, 100):
            self.world.run(100)
            self.assertIsNone(self.first.store.check(self.stamp(), 9))
            if self.second.store.check(self.stamp(), 9) is not None:
                refused_ms = refused_ms or elapsed_ms
        self.assertLess(refused_ms, 11_000)

    def test_many_entries_watch_less_often(self):
        self.second.store.set_entry_count(360)
        before = dict(self.world.platform.counts_by_call)
        self.first.process.alive = False
        self.world.run(60_000)
        after = self.world.platform.counts_by_call
        self.assertLessEqual(after['Watch'] - before['Watch'], 7)
        self.assertIsNone(self.second.store.check(self.stamp(), 9))


class FreshnessTest(unittest.TestCase):
    def setUp(self):
        self.store = config_store.new_store()
        self.store.offer(at(0), *offer_of(5), START_MS)
        self.late_ms = freshness.MAX_CONFIRMATION_AGE_MS + 1_000

    def receive_reports(self, count, now_ms, confirmed_ms=0, revision=5):
        for number in range(count):
            self.store.record_report(
                at(now_ms), f'p{number}', revision, START_MS + confirmed_ms
            )

    def test_outage_seen_by_most_processes_does_not_refuse(self):
        self.receive_reports(5, self.late_ms)
        self.assertIsNone(self.store.check(at(self.late_ms), 9))

    def test_contact_with_a_minority_refuses(self):
        self.receive_reports(4, self.late_ms)
        stale = self.store.check(at(self.late_ms), 9)
        self.assertIsInstance(stale, errors.ConfigurationStale)

    def test_refuses_while_a_newer_revision_is_missing(self):
        self.store.record_report(at(100), 'agent', 6, 0)
        limit_ms = 100 + freshness.MAX_BEHIND_MS
        self.assertIsNone(self.store.check(at(limit_ms), 0))
        stale = self.store.check(at(limit_ms + 1), 0)
        self.assertIsInstance(stale, errors.ConfigurationStale)
        self.store.offer(at(limit_ms + 2), *offer_of(6))
        self.assertIsNone(self.store.check(at(limit_ms + 2), 0))

    def test_old_reports_of_peers_do_not_count(self):
        self.receive_reports(
            9, self.late_ms - freshness.CONTACT_TIMEOUT_MS - 1
        )
        stale = self.store.check(at(self.late_ms), 9)
        self.assertIsInstance(stale, errors.ConfigurationStale)

    def test_confirmation_by_one_peer_is_enough(self):
        self.receive_reports(
            1, self.late_ms, confirmed_ms=self.late_ms - 2_000
        )
        self.assertIsNone(self.store.check(at(self.late_ms), 9))

    def test_relayed_confirmation_is_not_passed_on(self):
        world = platform_model.World()
        entry = test_orders.Entry(world, 'ana')
        entry.store.offer(at(0), *offer_of(5), START_MS)
        entry.store.record_report(at(900), 'agent', 5, START_MS + 800)
        self.assertEqual(START_MS + 800, entry.store.confirmed_at_ms)
        self.assertEqual(0, entry.store.advertised_at_ms)
