"""Tests of the gateway's registration in the store."""

from ragwortgw_core import platform
from ragwortgw_gateway import notices
from ragwortgw_gateway import store_link
from tests import store_case


class StoreLinkTest(store_case.StoreCase):
    def setUp(self):
        super().setUp()
        self.link = store_link.StoreLink(self.calls, 'me', {'a': 1}, 'lease')
        self.component = self.link

    def answer(self, result):
        """Answers the oldest call; returns notices and keeps new calls."""
        effects = self.answer_oldest(result)
        self.pending += [each for each in effects if hasattr(each, 'op_id')]
        return [each for each in effects if not hasattr(each, 'op_id')]

    def register(self):
        self.tick()
        self.answer(platform.Granted('lease', 9_000))
        self.answer(platform.Written('me', 5))

    def test_registers_under_a_lease(self):
        self.tick()
        self.answer(platform.Granted('lease', 9_000))
        put = self.pending[0].call
        self.assertEqual(
            ('me', 0, 'lease'), (put.key, put.revision, put.lease)
        )

    def test_renewal_of_the_lease_does_not_write(self):
        self.register()
        self.tick(store_link.RENEW_INTERVAL_MS)
        self.answer(platform.Granted('lease', 9_000, True))
        self.assertEqual([], self.pending)

    def test_writes_again_after_the_lease_lapsed(self):
        self.register()
        self.tick(store_link.RENEW_INTERVAL_MS)
        self.answer(platform.Granted('lease', 9_000, False))
        self.assertIsInstance(self.pending[0].call, platform.Put)

    def test_registration_of_an_earlier_process_is_replaced(self):
        self.tick()
        self.answer(platform.Granted('lease', 9_000))
        self.answer(platform.Conflict('me', b'old', 7))
        self.tick()
        self.answer(platform.Granted('lease', 9_000, True))
        self.assertEqual(7, self.pending[0].call.revision)

    def test_outage_and_its_end_are_reported_once(self):
        self.register()
        notices_of_outage = []
        for _ in range(3):
            self.tick(store_link.RENEW_INTERVAL_MS)
            notices_of_outage += self.answer(platform.Unavailable(False))
        self.assertEqual([notices.StoreLost()], notices_of_outage)
        self.assertFalse(self.link.reachable)
        self.tick(store_link.RETRY_MS)
        (notice,) = self.answer(platform.Granted('lease', 9_000, True))
        self.assertIsInstance(notice, notices.StoreRecovered)
        self.assertTrue(self.link.reachable)
        self.assertEqual(self.now_ms, self.link.recovered_ms)

    def test_calls_during_an_outage_are_limited(self):
        self.register()
        calls = 0
        for _ in range(100):
            self.tick(50)
            while self.pending:
                calls += 1
                self.answer(platform.Unavailable(False))
                self.link.probe(self.stamp())
        self.assertLess(calls, 5_000 / store_link.RETRY_MS + 2)

    def test_release_revokes_the_lease(self):
        self.register()
        (effect,) = self.link.release(self.stamp())
        self.assertEqual(platform.Revoke('lease'), effect.call)
