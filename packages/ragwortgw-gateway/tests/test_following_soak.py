"""Plays several gateways that follow one store and tell each other."""

import random
import unittest

from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_gateway import digests
from ragwortgw_gateway import store_watch

KEYS = [f'k{n}' for n in range(8)] + [f'k1{n}' for n in range(6)]
PAGE = 3


class ModelStore:
    """Keys with revisions; remembers the last change of each key."""

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

    def last_change(self, key):
        found = [each for each in self.changes if each.key == key]
        return found[-1] if found else None


class Follower:
    """One gateway's view, with a call that may be on its way."""

    def __init__(self, store):
        self.store = store
        self.calls = platform_calls.PlatformCalls()
        self.followed = store_watch.PrefixWatch(self.calls, '', 'k1')
        self.now_ms = 0
        self.pending = []
        self.pages = []

    def stamp(self):
        return events.Stamp(self.now_ms, 0)

    def tick(self, passed_ms):
        self.now_ms += passed_ms
        self.pending += self.followed.on_tick(self.stamp())
        self.calls.on_tick(self.stamp())

    def answer(self, rng):
        """Answers the oldest call, a list page by page."""
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
                # The revision that an answer names may be that of a change
                # which came after its events were collected.
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
        """Reads the next page; the store may change between pages."""
        after = self.pages[-1][1][-1].key if self.pages else ''
        prefix = self.pending[0].call.prefix
        keys = sorted(
            key
            for key in self.store.values_by_key
            if key > after and key.startswith(prefix)
        )
        found = [self.store.values_by_key[key] for key in keys[:PAGE]]
        if found:
            self.pages.append((self.store.revision, found))
        if len(keys) > PAGE:
            return None
        pages, self.pages = self.pages, []
        revision = pages[0][0] if pages else self.store.revision
        items = tuple(item for _, page in pages for item in page)
        return platform.Listed(prefix, items, revision)

    def check(self, test):
        """What is held is right for all that changed up to its revision."""
        for key in KEYS:
            last = self.store.last_change(key)
            if last is None or last.revision > self.followed.revision:
                continue
            held = self.followed.get(key)
            if isinstance(last, platform.Found):
                test.assertEqual(last, held)
            else:
                test.assertIsNone(held, (last, held))


class FollowingSoakTest(unittest.TestCase):
    def play(self, seed):
        rng = random.Random(seed)
        store = ModelStore()
        followers = [Follower(store) for _ in range(3)]
        asked = []
        for _ in range(300):
            one = rng.choice(followers)
            step = rng.random()
            if step < 0.25:
                store.change(rng)
            elif step < 0.5:
                one.tick(rng.choice((10, 50, 200, 2_000)))
            elif step < 0.75:
                one.answer(rng)
            elif step < 0.8:
                one.followed.restart()
                one.pages = []
                one.pending.clear()
            elif step < 0.9:
                other = rng.choice(followers)
                asked.append((one, other, one.followed.revision))
            elif asked:
                asker, other, revision = asked.pop(0)
                beliefs = other.followed.view_since(revision, 0)
                beliefs = digests.StoreView(*beliefs)
                asker.followed.merge_view(asker.stamp(), beliefs)
            for each in followers:
                each.check(self)

    def test_nothing_is_missed(self):
        for seed in range(150):
            with self.subTest(seed=seed):
                self.play(seed)
