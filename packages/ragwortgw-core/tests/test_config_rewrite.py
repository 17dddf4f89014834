"""Tests that a configuration in force survives a restore of the service."""

import unittest

import msgspec

from ragwortgw_core import config_rewrite
from ragwortgw_core import config_store
from ragwortgw_core import configuration
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import restores
from tests import platform_model
from tests import test_config_store
from tests import test_configuration
from tests import test_orders


class Entry(test_orders.Entry):
    """A process that also writes a lost configuration again."""

    def __init__(self, world, name):
        super().__init__(world, name)
        self.rewriter = config_rewrite.new_rewriter(
            self.process.calls, self.store
        )
        self.process.components.append(self.rewriter)


class RewriteTest(unittest.TestCase):
    def setUp(self):
        self.world = platform_model.World()
        self.entries = [Entry(self.world, name) for name in ('ana', 'bor')]
        self.world.run(500)
        self.apply(test_configuration.documents())
        self.world.run(2_000)
        self.copy = self.world.platform.copy()

    def apply(self, changes, entry=0):
        answer = test_orders.apply(self.entries[entry], changes)
        self.assertEqual(200, answer.status, answer.body)
        return answer.body['revision']

    def drain(self, identity):
        return {f'drain/{identity}': {'id': identity, 'reason': ''}}

    def restore(self, copy=None):
        self.world.platform.restore(copy or self.copy)

    def stored_drains(self):
        objects = test_orders.stored_head(self.world)['objects']
        return {path for path in objects if path.startswith('drain/')}

    def logged(self, entry, message):
        return [
            each
            for each in entry.process.emitted_of_type(effects.LogChange)
            if each.message == message
        ]

    def test_lost_configuration_is_written_again_by_one_entry(self):
        self.apply(self.drain('b1'))
        self.world.run(1_000)
        self.restore()
        self.assertEqual(set(), self.stored_drains())
        self.world.run(restores.SETTLE_MS)
        self.assertEqual({'drain/b1'}, self.stored_drains())
        heads = [
            each
            for each in self.world.platform.writes
            if each.key == configuration.HEAD_KEY
            and platform.epoch_of(each.revision)
        ]
        self.assertEqual(1, len(heads))
        for entry in self.entries:
            self.assertEqual([1, 2], entry.revisions_seen)

    def test_document_that_the_copy_lacks_can_be_read_by_new_entries(self):
        self.apply(self.drain('b1'))
        self.world.run(1_000)
        self.restore()
        self.world.run(restores.SETTLE_MS)
        self.entries.append(Entry(self.world, 'cene'))
        self.world.run(2_000)
        self.assertIn('b1', self.entries[-1].store.snapshot.drains_by_id)

    def test_entry_that_starts_waits_before_it_takes_an_order(self):
        self.apply(self.drain('b1'))
        self.world.run(1_000)
        self.restore()
        self.entries.append(Entry(self.world, 'cene'))
        revision = self.apply(self.drain('b2'), entry=2)
        self.assertEqual(3, revision)
        self.assertEqual({'drain/b1', 'drain/b2'}, self.stored_drains())

    def test_order_in_progress_at_the_restore_is_applied_once(self):
        self.apply(self.drain('b1'))
        op_id = self.entries[1].order(self.drain('b2'))
        self.world.run(1)
        self.restore()
        self.world.run(6_000)
        self.assertEqual(200, self.entries[1].answer(op_id).status)
        self.assertEqual({'drain/b1', 'drain/b2'}, self.stored_drains())
        commands = test_orders.stored_head(self.world)['commands']
        self.assertEqual(3, len({each['id'] for each in commands}))
        self.assertEqual(3, len(commands))

    def test_copy_without_any_configuration(self):
        self.restore(platform_model.Copy({}, 0))
        self.world.platform.revision = 1
        self.world.run(4_000)
        self.assertEqual(1, test_orders.stored_head(self.world)['revision'])

    def test_service_that_fails_meanwhile_gets_it_later(self):
        self.apply(self.drain('b1'))
        self.world.run(1_000)
        self.restore()
        self.world.run(50)
        self.world.platform.down = True
        self.world.run(3_000)
        self.world.platform.down = False
        self.world.run(5_000)
        self.assertEqual({'drain/b1'}, self.stored_drains())

    def test_other_configuration_of_the_lost_revision_is_not_confirmed(self):
        """It was ordered by an entry that knew the older copy alone."""
        self.apply(self.drain('b1'))
        self.world.run(1_000)
        self.restore()
        head = test_orders.stored_head(self.world)
        other = {**head, 'revision': 2}
        held = self.world.platform.values_by_key[configuration.HEAD_KEY]
        self.world.platform.apply(
            platform.Put(
                configuration.HEAD_KEY,
                msgspec.json.encode(other),
                held.revision,
            )
        )
        self.world.run(500)
        entry = self.entries[0]
        confirmed_ms = entry.store.confirmed_at_ms
        self.world.run(6_000)
        self.assertEqual(confirmed_ms, entry.store.confirmed_at_ms)
        self.assertIn('b1', entry.store.snapshot.drains_by_id)
        self.assertTrue(self.logged(entry, 'diverged configuration ignored'))

    def test_document_of_another_order_is_not_replaced(self):
        self.apply(self.drain('b1'))
        self.world.run(1_000)
        self.restore()
        key = configuration.object_key('drain/b1', 2)
        self.world.platform.apply(platform.Put(key, b'{}', 0))
        self.world.run(3_000)
        self.assertEqual(set(), self.stored_drains())
        self.assertTrue(
            any(
                self.logged(entry, 'lost configuration was replaced')
                for entry in self.entries
            )
        )


class NewerOfferTest(unittest.TestCase):
    """A peer offers a newer configuration while one is written again."""

    def setUp(self):
        self.calls = platform_calls.PlatformCalls()
        self.store = config_store.new_store(self.calls)
        self.rewriter = config_rewrite.new_rewriter(self.calls, self.store)
        self.stamp = events.Stamp(platform_model.START_MS, 0)
        self.offer(5)

    def offer(self, revision):
        self.store.offer(self.stamp, *test_config_store.offer_of(revision))

    def answer(self, effect, result):
        return [
            output
            for output in self.calls.on_answer(
                self.stamp, effect.op_id, result
            )
            if isinstance(output, effects.CallPlatform)
        ]

    def test_head_is_written_with_the_documents_that_it_names(self):
        revision = platform.revision_in_epoch(1, 9)
        older, _ = test_config_store.offer_of(4)
        found = platform.Found(configuration.HEAD_KEY, older, revision)
        self.calls.restores.observe(self.stamp, found)
        self.rewriter.on_older_head(self.stamp)
        self.stamp = self.stamp._replace(now_ms=self.stamp.now_ms + 1_000)
        (read,) = self.rewriter.on_tick(self.stamp)
        documents = self.answer(read, found)
        self.assertGreater(len(documents), 0)
        self.offer(6)
        heads = []
        for effect in documents:
            written = platform.Written(effect.call.key, revision + 1)
            heads += self.answer(effect, written)
        (head,) = heads
        self.assertEqual(5, msgspec.json.decode(head.call.value)['revision'])
