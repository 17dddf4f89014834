"""Tests of following the store."""

from ragwortgw_core import platform
from ragwortgw_gateway import digests
from ragwortgw_gateway import store_watch
from tests import store_case


class FollowingTest(store_case.StoreCase):
    def setUp(self):
        super().setUp()
        self.followed = store_watch.PrefixWatch(self.calls, '')
        self.component = self.followed

    def start(self):
        self.tick()
        self.on_answer(platform.Listed('', (platform.Found('a', b'1', 5),), 5))

    def test_lists_then_watches_from_there(self):
        self.assertEqual([platform.List('')], self.tick())
        found = platform.Found('a', b'1', 5)
        (notice,) = self.on_answer(platform.Listed('', (found,), 7))
        self.assertEqual((found,), notice.written)
        (call,) = self.tick()
        self.assertEqual(('', 7), (call.prefix, call.revision))

    def test_one_call_at_a_time(self):
        self.tick()
        self.assertEqual(1, len(self.tick(50)))

    def test_changes(self):
        self.start()
        self.tick()
        changes = (
            platform.Found('b', b'2', 6),
            platform.Absent('a', 7),
            platform.Absent('never-there', 8),
        )
        (notice,) = self.on_answer(platform.Changes('', changes, 8))
        self.assertEqual(['b'], [each.key for each in notice.written])
        self.assertEqual(('a',), notice.deleted)
        self.assertEqual(8, self.followed.revision)

    def test_written_and_deleted_in_one_answer(self):
        self.start()
        self.tick()
        changes = (platform.Found('b', b'2', 6), platform.Absent('b', 7))
        self.on_answer(platform.Changes('', changes, 7))
        self.assertIsNone(self.followed.get('b'))

    def test_forgotten_history_is_listed_again(self):
        self.start()
        self.tick()
        self.on_answer(platform.Compacted(''))
        self.assertEqual([platform.List('')], self.tick())
        (notice,) = self.on_answer(platform.Listed('', (), 20))
        self.assertEqual(('a',), notice.deleted)

    def test_change_that_a_watch_missed_shows_in_the_next_list(self):
        self.start()
        self.tick()
        # The store forgot its history while the watch waited: it comes
        # back with a newer revision and without the change.
        self.on_answer(platform.Changes('', (), 9))
        self.tick(store_watch.RELIST_INTERVAL_MS)
        (notice,) = self.on_answer(
            platform.Listed('', (platform.Found('a', b'2', 8),), 9)
        )
        self.assertEqual(b'2', notice.written[0].value)

    def test_no_watch_is_longer_than_the_bound_for_configurations(self):
        self.start()
        (call,) = self.tick()
        self.assertLess(call.wait_ms, 2_000)

    def test_unanswered_calls_are_repeated_ever_more_slowly(self):
        waits = []
        for _ in range(6):
            self.tick()
            before_ms = self.now_ms
            self.on_answer(platform.Unavailable(False))
            while not self.tick(10):
                pass
            waits.append(self.now_ms - before_ms)
        self.assertEqual(sorted(waits), waits)
        self.assertLessEqual(waits[-1], store_watch.MAX_RETRY_MS + 10)

    def test_late_answer_after_a_restart_is_ignored(self):
        self.start()
        self.tick()
        self.followed.restart()
        self.tick()
        late = platform.Changes('', (platform.Found('a', b'0', 6),), 6)
        self.assertEqual([], self.on_answer(late))
        self.assertEqual(b'1', self.followed.get('a').value)

    def test_offer_of_another_gateway(self):
        self.start()
        newer = (platform.Found('b', b'2', 8),)
        beliefs = digests.StoreView(9, newer, ('a', 'b'), 0)
        (notice,) = self.followed.merge_view(self.stamp(), beliefs)
        self.assertTrue(notice.relayed)
        self.assertEqual(newer, notice.written)
        self.assertEqual(b'1', self.followed.get('a').value)
        self.assertEqual(9, self.followed.revision)

    def test_offer_that_lacks_a_key_deletes_it(self):
        self.start()
        (notice,) = self.followed.merge_view(
            self.stamp(), digests.StoreView(9, (), (), 0)
        )
        self.assertEqual(('a',), notice.deleted)

    def test_older_offer_changes_nothing(self):
        self.start()
        self.assertEqual(
            [],
            self.followed.merge_view(
                self.stamp(), digests.StoreView(5, (), (), 0)
            ),
        )

    def test_older_list_after_an_offer_changes_nothing(self):
        self.tick()
        newer = (platform.Found('a', b'9', 9),)
        self.followed.merge_view(
            self.stamp(), digests.StoreView(9, newer, ('a',), 0)
        )
        old = platform.Listed('', (platform.Found('a', b'1', 5),), 5)
        self.assertEqual([], self.on_answer(old))
        self.assertEqual(b'9', self.followed.get('a').value)

    def test_since_names_all_keys_but_sends_only_what_is_newer(self):
        self.start()
        beliefs = self.followed.view_since(5, 0)
        self.assertEqual(((), ('a',)), (beliefs.newer, beliefs.keys))
        self.assertEqual(1, len(self.followed.view_since(4, 0).newer))
