"""Tests of the gateway's copy of the store."""

from ragwortgw_core import platform
from ragwortgw_gateway import digests
from ragwortgw_gateway import notices
from ragwortgw_gateway import store_watch
from tests import store_case


class PrefixWatchTest(store_case.StoreCase):
    def setUp(self):
        super().setUp()
        self.watch = store_watch.PrefixWatch(self.calls, '')
        self.component = self.watch

    def start(self):
        self.tick()
        self.answer_oldest(
            platform.Listed('', (platform.Found('a', b'1', 5),), 5)
        )

    def test_lists_then_watches_from_the_listed_revision(self):
        self.assertEqual([platform.List('')], self.tick())
        found = platform.Found('a', b'1', 5)
        (notice,) = self.answer_oldest(platform.Listed('', (found,), 7))
        self.assertEqual((found,), notice.written)
        (call,) = self.tick()
        self.assertEqual(('', 7), (call.prefix, call.revision))

    def test_makes_one_call_at_a_time(self):
        self.tick()
        self.assertEqual(1, len(self.tick(50)))

    def test_watch_applies_changes_and_skips_unknown_deletions(self):
        self.start()
        self.tick()
        changes = (
            platform.Found('b', b'2', 6),
            platform.Absent('a', 7),
            platform.Absent('never-there', 8),
        )
        (notice,) = self.answer_oldest(platform.Changes('', changes, 8))
        self.assertEqual(['b'], [each.key for each in notice.written])
        self.assertEqual(('a',), notice.deleted)
        self.assertEqual(8, self.watch.revision)

    def test_late_answers_bring_no_deleted_value_back(self):
        """The list was read before a deletion that a peer tells of."""
        self.watch = store_watch.PrefixWatch(self.calls, '', 'servers/')
        self.component = self.watch
        old = platform.Found('servers/a', b'1', 5)
        other = platform.Found('other', b'1', 4)
        self.tick()
        self.answer_oldest(platform.Listed('', (old, other), 5))
        self.tick()
        self.answer_oldest(platform.Changes('', (), 5))
        self.tick(store_watch.RELIST_INTERVAL_MS + 50)
        view = digests.StoreView(9, (), ('other',), 0)
        (notice,) = self.watch.merge_view(self.stamp(), view)
        self.assertEqual(('servers/a',), notice.deleted)
        late = platform.Listed('servers/', (old,), 6)
        self.assertEqual([], self.answer_oldest(late))
        self.assertIsNone(self.watch.get('servers/a'))
        self.tick(50)
        self.answer_oldest(platform.Changes('', (old,), 9))
        self.assertIsNone(self.watch.get('servers/a'))
        self.tick(2 * store_watch.WATCH_DELAY_MS)
        again = platform.Found('servers/a', b'2', 10)
        (notice,) = self.answer_oldest(platform.Changes('', (again,), 10))
        self.assertEqual((again,), notice.written)

    def time_to_next_watch(self, preceding_watchers):
        """Returns the time from a change to the next watch, in ms."""
        self.watch.preceding_watchers = preceding_watchers
        self.tick()
        changes = (platform.Found('b', b'2', self.watch.revision + 1),)
        self.answer_oldest(platform.Changes('', changes, changes[0].revision))
        for elapsed_ms in range(0, 2_000, 25):
            if self.tick(25):
                return elapsed_ms + 25
        raise AssertionError('no watch')

    def test_gateway_that_stands_by_watches_less_often(self):
        self.start()
        delays_ms = [self.time_to_next_watch(n) for n in range(3)]
        self.assertEqual([150, 375, 600], delays_ms)

    def test_value_written_and_deleted_in_one_answer_is_absent(self):
        self.start()
        self.tick()
        changes = (platform.Found('b', b'2', 6), platform.Absent('b', 7))
        self.answer_oldest(platform.Changes('', changes, 7))
        self.assertIsNone(self.watch.get('b'))

    def test_lists_again_after_a_compaction(self):
        self.start()
        self.tick()
        self.answer_oldest(platform.Compacted(''))
        self.assertEqual([platform.List('')], self.tick())
        (notice,) = self.answer_oldest(platform.Listed('', (), 20))
        self.assertEqual(('a',), notice.deleted)

    def test_change_missed_by_a_watch_is_found_by_the_next_list(self):
        self.start()
        self.tick()
        # The store compacted its history while the watch waited: the watch
        # returns a newer revision without the change.
        self.answer_oldest(platform.Changes('', (), 9))
        self.tick(store_watch.RELIST_INTERVAL_MS)
        (notice,) = self.answer_oldest(
            platform.Listed('', (platform.Found('a', b'2', 8),), 9)
        )
        self.assertEqual(b'2', notice.written[0].value)

    def test_watch_ends_within_the_bound_for_configurations(self):
        self.start()
        (call,) = self.tick()
        self.assertLess(call.wait_ms, 2_000)

    def test_failed_calls_are_retried_with_growing_delays(self):
        delays_ms = []
        for _ in range(6):
            self.tick()
            failed_ms = self.now_ms
            self.answer_oldest(platform.Unavailable(False))
            while not self.tick(10):
                pass
            delays_ms.append(self.now_ms - failed_ms)
        self.assertEqual(sorted(delays_ms), delays_ms)
        self.assertLessEqual(delays_ms[-1], store_watch.MAX_RETRY_MS + 10)

    def test_late_answer_after_a_restart_is_ignored(self):
        self.start()
        self.tick()
        self.watch.restart()
        self.tick()
        late_changes = platform.Changes('', (platform.Found('a', b'0', 6),), 6)
        self.assertEqual([], self.answer_oldest(late_changes))
        self.assertEqual(b'1', self.watch.get('a').value)

    def test_newer_offer_of_a_peer_is_applied(self):
        self.start()
        newer = (platform.Found('b', b'2', 8),)
        view = digests.StoreView(9, newer, ('a', 'b'), 0)
        (notice,) = self.watch.merge_view(self.stamp(), view)
        self.assertTrue(notice.relayed)
        self.assertEqual(newer, notice.written)
        self.assertEqual(b'1', self.watch.get('a').value)
        self.assertEqual(9, self.watch.revision)

    def test_key_missing_from_a_newer_offer_is_deleted(self):
        self.start()
        (notice,) = self.watch.merge_view(
            self.stamp(), digests.StoreView(9, (), (), 0)
        )
        self.assertEqual(('a',), notice.deleted)

    def test_offer_without_newer_revision_is_ignored(self):
        self.start()
        self.assertEqual(
            [],
            self.watch.merge_view(
                self.stamp(), digests.StoreView(5, (), (), 0)
            ),
        )

    def test_older_list_after_an_offer_is_ignored(self):
        self.tick()
        newer = (platform.Found('a', b'9', 9),)
        self.watch.merge_view(
            self.stamp(), digests.StoreView(9, newer, ('a',), 0)
        )
        older_list = platform.Listed('', (platform.Found('a', b'1', 5),), 5)
        self.assertEqual([], self.answer_oldest(older_list))
        self.assertEqual(b'9', self.watch.get('a').value)

    def test_since_returns_all_keys_but_only_newer_values(self):
        self.start()
        view = self.watch.view_since(5, 0)
        self.assertEqual(((), ('a',)), (view.newer, view.keys))
        self.assertEqual(1, len(self.watch.view_since(4, 0).newer))


class EarlierEpochTest(store_case.StoreCase):
    """Answers that were on their way when the store was restored."""

    def setUp(self):
        super().setUp()
        self.watch = store_watch.PrefixWatch(self.calls, '', 'k')
        self.component = self.watch
        self.tick()
        self.answer_oldest(platform.Listed('', (self.found(0, 5),), 5))

    def found(self, epoch, number, key='a'):
        revision = platform.revision_in_epoch(epoch, number)
        return platform.Found(key, b'x', revision)

    def learn_of_restore(self):
        """Gets the restored store's values from a peer."""
        found = self.found(1, 2)
        view = digests.StoreView(found.revision, (found,), ('a',), 0)
        self.watch.merge_view(self.stamp(), view)
        self.assertEqual(1, self.watch.epoch)

    def test_late_changes_are_ignored(self):
        self.tick()
        self.learn_of_restore()
        changes = (platform.Found('k1', b'lost', 9),)
        outputs = self.answer_oldest(platform.Changes('', changes, 9))
        self.assertEqual([], outputs)
        self.assertIsNone(self.watch.get('k1'))

    def test_late_list_is_ignored(self):
        self.tick(store_watch.RELIST_INTERVAL_MS)
        self.learn_of_restore()
        found = (platform.Found('k1', b'lost', 9),)
        outputs = self.answer_oldest(platform.Listed('k', found, 9))
        self.assertEqual([], outputs)
        self.assertIsNone(self.watch.get('k1'))

    def test_list_of_a_part_in_a_later_epoch_leads_to_a_whole_one(self):
        self.tick(store_watch.RELIST_INTERVAL_MS)
        found = (self.found(1, 4, 'k1'),)
        listed = platform.Listed('k', found, found[0].revision)
        self.assertEqual([], self.answer_oldest(listed))
        self.assertEqual([platform.List('')], self.tick())

    def test_later_epoch_is_reported_before_its_values(self):
        self.tick()
        self.answer_oldest(platform.Compacted(''))
        self.tick()
        found = self.found(2, 1)
        restored, changed = self.answer_oldest(
            platform.Listed('', (found,), found.revision)
        )
        self.assertEqual(notices.StoreRestored(0, 2, False), restored)
        self.assertEqual((found,), changed.written)
