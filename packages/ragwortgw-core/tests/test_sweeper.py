"""Tests that expired ledger pages are deleted and others are kept."""

import unittest

from ragwortgw_core import ledger
from ragwortgw_core import ledger_page
from ragwortgw_core import platform
from ragwortgw_core import sweeper
from tests import platform_model
from tests import test_ledger

AGE_MS = ledger.MAX_KEY_AGE_MS + sweeper.MARGIN_MS
SPAN_MS = 10 * ledger_page.BUCKET_MS


class SweeperTest(unittest.TestCase):
    def setUp(self):
        self.world = platform_model.World()
        self.entry = test_ledger.Entry(self.world, 'a', {})

    def start_sweepers(self):
        """Starts two sweepers, with the cursor just before the first page."""
        bucket = platform_model.START_MS // ledger_page.BUCKET_MS - 1
        value = str(bucket).encode()
        self.world.platform.apply(platform.Put(sweeper.CURSOR_KEY, value, 0))
        for name in 'xy':
            process = self.world.process(name)
            process.components.append(sweeper.new_sweeper(process.calls))

    def keys(self, prefix=ledger_page.PREFIX):
        values = self.world.platform.values_by_key
        return {key for key in values if key.startswith(prefix)}

    def test_expired_pages_are_deleted_with_their_answers(self):
        self.world.run(1_000)
        large = test_ledger.ANSWER._replace(body=b'x' * 5_000)
        for number in range(10):
            key = test_ledger.key_at(self.world.now_ms, number)
            self.entry.claim(key, fate='hold')
            self.world.run(ledger_page.BUCKET_MS // 2)
            self.entry.process.do(
                lambda stamp, key=key: self.entry.ledger.finish(
                    stamp, key, large
                )
            )
            self.world.run(ledger_page.BUCKET_MS // 2)
        self.assertEqual(10, len(self.keys()))
        self.assertEqual(10, len(self.keys('answers/')))
        self.world.now_ms += AGE_MS - SPAN_MS
        self.start_sweepers()
        self.world.run(SPAN_MS // 2)
        kept = self.keys()
        oldest = min(int(key.split('/')[1]) for key in kept)
        limit_ms = (
            self.world.now_ms - ledger.MAX_KEY_AGE_MS - sweeper.MARGIN_MS
        )
        self.assertGreaterEqual(oldest, limit_ms // ledger_page.BUCKET_MS - 2)
        self.assertTrue(0 < len(kept) < 10, kept)
        self.assertEqual(len(kept), len(self.keys('answers/')))
        self.world.run(SPAN_MS)
        self.assertEqual(set(), self.keys() | self.keys('answers/'))

    def test_nothing_is_deleted_while_keys_are_accepted(self):
        key = test_ledger.key_at(self.world.now_ms)
        self.entry.claim(key)
        self.world.run(1_000)
        self.world.now_ms += ledger.MAX_KEY_AGE_MS
        self.start_sweepers()
        self.world.run(600_000)
        self.assertEqual(1, len(self.keys()))

    def test_cursor_that_can_not_be_read_is_replaced(self):
        # It ended the handler for good: no page was deleted any more.
        for value in (b'\xff', b'{}', b'[' * 5_000 + b']' * 5_000):
            with self.subTest(value[:9]):
                self.setUp()
                self.world.platform.apply(
                    platform.Put(sweeper.CURSOR_KEY, value, 0)
                )
                process = self.world.process('x')
                process.components.append(sweeper.new_sweeper(process.calls))
                self.world.run(2 * ledger_page.BUCKET_MS)
                cursor = self.world.platform.values_by_key[sweeper.CURSOR_KEY]
                self.assertTrue(cursor.value.isdigit())
