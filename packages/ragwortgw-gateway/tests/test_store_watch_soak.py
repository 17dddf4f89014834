"""Soak test of gateways that watch one store and relay it to each other.

Plays random changes, faults, restarts and fetches between gateways; a
gateway must never miss a change up to the revision that it claims to hold.
With restores of the store from older copies, it must never take a value of
an earlier epoch for a later one, and hold what the store holds in the end.
"""

import random
import unittest

from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_gateway import digests
from ragwortgw_gateway import store_watch

KEYS = [f'k{n}' for n in range(8)] + [f'k1{n}' for n in range(6)]
PAGE_SIZE = 3


class StoreModel:
    """A store of keys with revisions, and the history of its changes."""

    def __init__(self):
        self.revision = 1
        self.values_by_key = {}
        self.changes = []

    def change(self, rng):
        self.revision += 1
        key = rng.choice(KEYS)
        if key in self.values_by_key and rng.random() < 0.4:
            del self.values_by_key[key]
            change = platform.Absent(key, self.revision)
        else:
            value = str(self.revision).encode()
            change = platform.Found(key, value, self.revision)
            self.values_by_key[key] = change
        self.changes.append(change)

    def restore(self, rng):
        """Goes back to an older copy; its revisions are given out again."""
        number = platform.number_of(self.revision)
        epoch = platform.epoch_of(self.revision) + 1
        kept = rng.randrange(max(1, number - 12), number + 1)
        self.revision = platform.revision_in_epoch(epoch, kept)
        self.changes = [
            change._replace(
                revision=platform.revision_in_epoch(
                    epoch, platform.number_of(change.revision)
                )
            )
            for change in self.changes
            if platform.number_of(change.revision) <= kept
        ]
        self.values_by_key = {}
        for change in self.changes:
            self.values_by_key[change.key] = change
            if isinstance(change, platform.Absent):
                del self.values_by_key[change.key]

    def last_change(self, key):
        changes = [each for each in self.changes if each.key == key]
        return changes[-1] if changes else None


class Follower:
    """One gateway's copy of the store, with the calls that it waits for."""

    def __init__(self, store):
        self.store = store
        self.calls = platform_calls.PlatformCalls()
        self.watch = store_watch.PrefixWatch(self.calls, '', 'k1')
        self.now_ms = 0
        self.pending = []
        self.pages = []
        #: A call whose answer is on its way, and that answer.
        self.late_answer = None

    def stamp(self):
        return events.Stamp(self.now_ms, 0)

    def tick(self, elapsed_ms):
        self.now_ms += elapsed_ms
        self.pending += self.watch.on_tick(self.stamp())
        self.calls.on_tick(self.stamp())

    def answer(self, rng):
        """Answers the oldest call; a list takes one turn for each page."""
        if not self.pending:
            return
        effect = self.pending[0]
        if rng.random() < 0.2:
            self.pending.pop(0)
            self.pages = []
            result = platform.Unavailable(False)
        elif isinstance(effect.call, platform.WatchPrefix):
            self.pending.pop(0)
            changes = tuple(
                change
                for change in self.store.changes
                if change.revision > effect.call.revision
            )
            if rng.random() < 0.3:
                # The revision in the answer may be that of a change made
                # after the answer's events were collected.
                self.store.change(rng)
            if changes and rng.random() < 0.1:
                result = platform.Compacted('')
            else:
                result = platform.Changes('', changes, self.store.revision)
        else:
            result = self.page()
            if result is None:
                return
            self.pending.pop(0)
        self.calls.on_answer(self.stamp(), effect.op_id, result)

    def page(self):
        """Reads the next page; the store may change between pages.

        Returns: The complete list, None while there are more pages.
        """
        after = self.pages[-1][1][-1].key if self.pages else ''
        prefix = self.pending[0].call.prefix
        keys = sorted(
            key
            for key in self.store.values_by_key
            if key > after and key.startswith(prefix)
        )
        values = [self.store.values_by_key[key] for key in keys[:PAGE_SIZE]]
        if values:
            self.pages.append((self.store.revision, values))
        if len(keys) > PAGE_SIZE:
            return None
        pages, self.pages = self.pages, []
        revision = pages[0][0] if pages else self.store.revision
        items = tuple(item for _, page in pages for item in page)
        return platform.Listed(prefix, items, revision)

    def check(self, test):
        """Checks all keys whose last change the copy's revision includes."""
        for key in KEYS:
            last = self.store.last_change(key)
            if last is None or last.revision > self.watch.revision:
                continue
            held = self.watch.get(key)
            if isinstance(last, platform.Found):
                test.assertEqual(last, held)
            else:
                test.assertIsNone(held, (last, held))


class RestoredFollower(Follower):
    """A gateway whose store may be restored while answers are on their way."""

    def send_answer(self):
        """Has the store answer the oldest call; the answer arrives later."""
        if self.late_answer is None and self.pending:
            call = self.pending[0].call
            result = self.store_answer(call)
            self.late_answer = (self.pending.pop(0), result)

    def store_answer(self, call):
        if isinstance(call, platform.List):
            found = tuple(
                each
                for key, each in sorted(self.store.values_by_key.items())
                if key.startswith(call.prefix)
            )
            return platform.Listed(call.prefix, found, self.store.revision)
        epoch = platform.epoch_of(self.store.revision)
        if platform.epoch_of(call.revision) != epoch:
            return platform.Compacted('')
        changes = tuple(
            change
            for change in self.store.changes
            if change.revision > call.revision
        )
        return platform.Changes('', changes, self.store.revision)

    def receive_answer(self):
        if self.late_answer is not None:
            (effect, result), self.late_answer = self.late_answer, None
            self.calls.on_answer(self.stamp(), effect.op_id, result)

    def check(self, test):
        epoch = platform.epoch_of(self.store.revision)
        if self.watch.epoch == epoch:
            super().check(test)
        for key in KEYS:
            held = self.watch.get(key)
            if held is not None:
                test.assertEqual(
                    self.watch.epoch, platform.epoch_of(held.revision)
                )


class RestoreSoakTest(unittest.TestCase):
    def play(self, seed):
        rng = random.Random(seed)
        store = StoreModel()
        followers = [RestoredFollower(store) for _ in range(3)]
        fetches = []
        epochs = [0, 0, 0]
        for _ in range(300):
            follower = rng.choice(followers)
            action = rng.random()
            if action < 0.2:
                store.change(rng)
            elif action < 0.4:
                follower.tick(rng.choice((10, 50, 200, 2_000)))
            elif action < 0.52:
                follower.send_answer()
            elif action < 0.62:
                follower.receive_answer()
            elif action < 0.66:
                store.restore(rng)
            elif action < 0.68:
                follower.watch.restart()
            elif action < 0.84:
                peer = rng.choice(followers)
                view = peer.watch.view_since(follower.watch.revision, 0)
                fetches.append((follower, view))
            elif fetches:
                fetcher, view = fetches.pop(rng.randrange(len(fetches)))
                fetcher.watch.merge_view(fetcher.stamp(), view)
            for each in followers:
                each.check(self)
            after = [each.watch.epoch for each in followers]
            self.assertTrue(
                all(a >= b for a, b in zip(after, epochs, strict=True))
            )
            epochs = after
        self.assert_all_hold_what_the_store_holds(store, followers)

    def assert_all_hold_what_the_store_holds(self, store, followers):
        for follower in followers:
            for _ in range(40):
                follower.receive_answer()
                follower.tick(500)
                follower.send_answer()
            held = {each.key: each for each in follower.watch.found}
            self.assertEqual(store.values_by_key, held)

    def test_gateways_follow_a_store_that_is_restored(self):
        for seed in range(200):
            with self.subTest(seed=seed):
                self.play(seed)


class PrefixWatchSoakTest(unittest.TestCase):
    def play(self, seed):
        rng = random.Random(seed)
        store = StoreModel()
        followers = [Follower(store) for _ in range(3)]
        fetches = []
        for _ in range(300):
            follower = rng.choice(followers)
            action = rng.random()
            if action < 0.25:
                store.change(rng)
            elif action < 0.5:
                follower.tick(rng.choice((10, 50, 200, 2_000)))
            elif action < 0.75:
                follower.answer(rng)
            elif action < 0.8:
                follower.watch.restart()
                follower.pages = []
                follower.pending.clear()
            elif action < 0.9:
                peer = rng.choice(followers)
                fetches.append((follower, peer, follower.watch.revision))
            elif fetches:
                fetcher, peer, revision = fetches.pop(0)
                view = peer.watch.view_since(revision, 0)
                view = digests.StoreView(*view)
                fetcher.watch.merge_view(fetcher.stamp(), view)
            for each in followers:
                each.check(self)

    def test_no_change_is_missed(self):
        for seed in range(150):
            with self.subTest(seed=seed):
                self.play(seed)
