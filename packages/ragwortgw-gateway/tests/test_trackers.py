"""Tests of what is remembered of backend servers and requests."""

import random
import unittest

from ragwortgw_gateway import crashes
from ragwortgw_gateway import digests
from ragwortgw_gateway import latency_estimates
from ragwortgw_gateway import loads
from ragwortgw_gateway import prefixes
from ragwortgw_gateway import refusal_history
from ragwortgw_gateway import requests
from ragwortgw_gateway import session_versions


class LoadTest(unittest.TestCase):
    def setUp(self):
        self.book = loads.LoadTracker()

    def test_life_of_an_attempt(self):
        self.book.add_attempt('a', 's1', 100.0, 300.0, 50, 1_000)
        self.assertEqual(
            loads.Load(1, 100.0, 300.0, 50), self.book.outstanding('s1')
        )
        self.book.prefill_done('a', 1_000)
        self.book.prefill_done('a', 1_000)
        self.assertEqual(
            loads.Load(1, 0.0, 200.0, 50), self.book.outstanding('s1')
        )
        self.book.remove_attempt('a', 1_000)
        self.book.remove_attempt('a', 1_000)
        self.assertEqual(loads.IDLE, self.book.outstanding('s1'))

    def test_others_count_until_they_fall_silent(self):
        self.book.add_attempt('a', 's1', 100.0, 300.0, 50, 1_000)
        self.book.merge_remote(
            'edge-2', {'s1': digests.ServerLoad(2, 5, 6, 7)}, 1_000
        )
        self.assertEqual(3, self.book.outstanding('s1').running)
        self.assertEqual(105.0, self.book.outstanding('s1').pending_ms)
        self.book.merge_remote('edge-2', {}, 1_100)
        self.assertEqual(1, self.book.outstanding('s1').running)
        self.book.merge_remote(
            'edge-2', {'s1': digests.ServerLoad(2, 5, 6, 7)}, 1_200
        )
        self.book.expire(1_201 + loads.DIGEST_LIFETIME_MS)
        self.assertEqual(1, self.book.outstanding('s1').running)

    def test_what_others_just_sent_counts_until_their_next_digest(self):
        sent = digests.ServerLoad(1, 40, 90, 7)
        self.book.add_remote('edge-2', 's1', sent, 1_000)
        self.assertEqual(loads.IDLE, self.book.outstanding('s1'))
        self.book.merge_remote('edge-2', {}, 1_000)
        self.book.add_remote('edge-2', 's1', sent, 1_000)
        self.book.add_remote('edge-2', 's1', sent, 1_000)
        self.assertEqual(
            loads.Load(2, 80.0, 180.0, 14), self.book.outstanding('s1')
        )
        self.book.merge_remote('edge-2', {'s1': sent}, 1_250)
        self.assertEqual(
            loads.Load(1, 40.0, 90.0, 7), self.book.outstanding('s1')
        )
        self.book.add_remote('edge-2', 's1', sent, 1_000)
        self.book.expire(1_251 + loads.DIGEST_LIFETIME_MS)
        self.assertEqual(loads.IDLE, self.book.outstanding('s1'))

    def test_sums_of_many_others_are_exact(self):
        rng = random.Random(1)
        told = {}
        for step in range(600):
            sender = f'edge-{rng.randrange(12)}'
            told[sender] = {
                f's{rng.randrange(9)}': digests.ServerLoad(
                    *(rng.randrange(900) for _ in range(4))
                )
                for _ in range(rng.randrange(5))
            }
            self.book.merge_remote(sender, told[sender], 1_000)
            for server in range(9):
                parts = [
                    each.get(f's{server}', digests.ServerLoad(0, 0, 0, 0))
                    for each in told.values()
                ]
                expected = loads.Load(*(sum(each) for each in zip(*parts)))
                self.assertEqual(expected, self.book.outstanding(f's{server}'))
        self.book.expire(1_001 + loads.DIGEST_LIFETIME_MS)
        self.assertEqual(loads.IDLE, self.book.outstanding('s1'))

    def test_oldest_prompt_is_read_as_time_passes(self):
        self.book.add_attempt('a', 's1', 100.0, 300.0, 0, 1_000)
        self.book.add_attempt('b', 's1', 50.0, 60.0, 0, 1_040)
        self.assertEqual(110.0, self.book.remaining('s1', 1_040).pending_ms)
        self.assertEqual(80.0, self.book.remaining('s1', 1_070).pending_ms)
        self.assertEqual(290.0, self.book.remaining('s1', 1_070).work_ms)

    def test_reading_goes_on_with_the_next_prompt(self):
        self.book.add_attempt('a', 's1', 100.0, 100.0, 0, 1_000)
        self.book.add_attempt('b', 's1', 50.0, 50.0, 0, 1_000)
        self.book.prefill_done('a', 1_120)
        self.assertEqual(30.0, self.book.remaining('s1', 1_120).pending_ms)
        self.book.prefill_done('b', 1_130)
        self.assertEqual(0.0, self.book.remaining('s1', 1_130).pending_ms)

    def test_prompt_that_was_answered_sooner_leaves_the_next_unread(self):
        self.book.add_attempt('a', 's1', 100.0, 100.0, 0, 1_000)
        self.book.add_attempt('b', 's1', 50.0, 50.0, 0, 1_000)
        self.book.prefill_done('a', 1_060)
        self.assertEqual(50.0, self.book.remaining('s1', 1_060).pending_ms)

    def test_queue_that_became_empty_begins_anew(self):
        self.book.add_attempt('a', 's1', 100.0, 100.0, 0, 1_000)
        self.book.prefill_done('a', 1_100)
        self.book.add_attempt('b', 's1', 80.0, 80.0, 0, 5_000)
        self.assertEqual(80.0, self.book.remaining('s1', 5_000).pending_ms)

    def test_server_that_is_overdue_is_no_idle_one(self):
        self.book.add_attempt('a', 's1', 100.0, 100.0, 0, 1_000)
        self.assertEqual(40.0, self.book.remaining('s1', 1_140).pending_ms)
        self.assertEqual(100.0, self.book.remaining('s1', 1_900).pending_ms)

    def test_what_others_told_is_read_too(self):
        told = digests.ServerLoad(1, 100, 100, 0)
        self.book.merge_remote('edge-2', {'s1': told}, 1_000)
        self.book.add_remote('edge-2', 's1', told, 1_020)
        self.assertEqual(150.0, self.book.remaining('s1', 1_050).pending_ms)
        self.book.merge_remote('edge-2', {'s1': told}, 1_110)
        self.assertEqual(90.0, self.book.remaining('s1', 1_110).pending_ms)
        self.book.merge_remote('edge-2', {}, 1_150)
        self.assertEqual(loads.IDLE, self.book.remaining('s1', 1_150))

    def test_own_leaves_idle_servers_out(self):
        self.book.add_attempt('a', 's1', 100.4, 300.0, 50, 1_000)
        self.book.add_attempt('b', 's2', 1.0, 3.0, 5, 1_000)
        self.book.remove_attempt('b', 1_000)
        self.assertEqual(
            {'s1': digests.ServerLoad(1, 100, 300, 50)}, self.book.local()
        )


class PrefixTest(unittest.TestCase):
    def setUp(self):
        self.book = prefixes.PrefixCacheIndex()
        self.blocks = [
            requests.PrefixBlock('a', 10),
            requests.PrefixBlock('b', 20),
            requests.PrefixBlock('c', 30),
        ]

    def cached(self, blocks, model='small', now_ms=0):
        return self.book.cached('s1', model, blocks, now_ms).tokens

    def record_prefill(self, blocks, cache_tokens=0, ready_in_ms=0, now_ms=0):
        read = digests.Prefill('s1', 'small', tuple(blocks), ready_in_ms)
        self.book.record_prefill(read, cache_tokens, now_ms)

    def test_counts_up_to_the_first_part_that_is_missing(self):
        self.record_prefill(self.blocks)
        other = requests.PrefixBlock('x', 40)
        self.assertEqual(60, self.cached(self.blocks))
        self.assertEqual(10, self.cached([self.blocks[0], other]))
        self.assertEqual(0, self.cached([other, *self.blocks]))

    def test_parts_can_be_copied_once_they_are_read(self):
        self.record_prefill(self.blocks[:1], ready_in_ms=50)
        self.record_prefill(self.blocks, ready_in_ms=300)
        for now_ms, ready_tokens in ((49, 0), (50, 10), (299, 10), (300, 60)):
            self.assertEqual(
                prefixes.CachedTokens(60, ready_tokens),
                self.book.cached('s1', 'small', self.blocks, now_ms),
            )

    def test_answer_shows_that_the_prompt_is_read(self):
        self.record_prefill(self.blocks, ready_in_ms=300)
        self.record_prefill(self.blocks, now_ms=20)
        cached = self.book.cached('s1', 'small', self.blocks, 20)
        self.assertEqual(60, cached.ready_tokens)

    def test_each_model_has_a_cache_of_its_own(self):
        self.record_prefill(self.blocks)
        self.assertEqual(0, self.cached(self.blocks, 'large'))

    def test_oldest_yields_and_the_first_part_last(self):
        self.record_prefill(self.blocks, 70)
        self.record_prefill([requests.PrefixBlock('d', 35)], 70)
        self.assertEqual(30, self.cached(self.blocks))
        self.record_prefill([requests.PrefixBlock('e', 20)], 70)
        self.assertEqual(10, self.cached(self.blocks))

    def test_forget(self):
        self.record_prefill(self.blocks)
        self.book.forget('s1')
        self.assertEqual(0, self.cached(self.blocks))

    def test_homes_are_spread_and_stay_when_another_server_leaves(self):
        servers = [f's{n}' for n in range(6)]

        def home(key, among):
            return min(among, key=lambda s: prefixes.rendezvous_rank(key, s))

        keys = [f'k{n}' for n in range(600)]
        homes = {key: home(key, servers) for key in keys}
        counts = [list(homes.values()).count(each) for each in servers]
        self.assertGreater(min(counts), 60)
        left = servers[1:]
        for key in keys:
            if homes[key] != 's0':
                self.assertEqual(homes[key], home(key, left))


class PaceTest(unittest.TestCase):
    def setUp(self):
        self.book = latency_estimates.LatencyEstimator()

    def test_learns_the_time_per_token_of_each_model(self):
        for _ in range(20):
            self.book.observe_model('small', 100, 20.0)
            self.book.observe_model('small', 10_000, 120.0)
            self.book.observe_model('large', 10_000, 620.0)
        small = self.book.estimate_model_request('small', 5_000)
        large = self.book.estimate_model_request('large', 5_000)
        self.assertAlmostEqual(50.0, small.prefill_ms, delta=5.0)
        self.assertAlmostEqual(300.0, large.prefill_ms, delta=15.0)
        self.assertGreater(large.work_ms, large.prefill_ms)

    def test_work_of_others_does_not_pass_for_the_models_pace(self):
        for n in range(60):
            # Every second answer came behind work that nobody told of.
            behind_ms = 900.0 if n % 2 else 0.0
            self.book.observe_model('small', 10_000, 120.0 + behind_ms)
        prompt_ms = self.book.estimate_model_request(
            'small', 10_000
        ).prefill_ms
        self.assertLess(prompt_ms, 300.0)

    def test_model_that_has_become_slower_is_learned(self):
        for _ in range(20):
            self.book.observe_model('small', 10_000, 120.0)
        for _ in range(300):
            self.book.observe_model('small', 10_000, 620.0)
        prompt_ms = self.book.estimate_model_request(
            'small', 10_000
        ).prefill_ms
        self.assertGreater(prompt_ms, 500.0)

    def test_no_server_is_faster_than_the_best_that_is_known(self):
        for _ in range(20):
            self.book.observe_server('s1', 500.0, 100.0, 1_000)
        self.assertEqual(1.0, self.book.slowdown('s1', 1_000))

    def test_slow_server_is_known_and_forgiven(self):
        for _ in range(20):
            self.book.observe_server('s1', 100.0, 500.0, 1_000)
        self.assertAlmostEqual(5.0, self.book.slowdown('s1', 1_000), delta=0.5)
        later_ms = 1_000 + 5 * latency_estimates.SLOWDOWN_HALF_LIFE_MS
        self.assertLess(self.book.slowdown('s1', later_ms), 1.1)
        self.assertEqual(1.0, self.book.slowdown('s2', 1_000))

    def test_one_sample_does_not_condemn(self):
        self.book.observe_server('s1', 1.0, 60_000.0, 1_000)
        self.assertLess(self.book.slowdown('s1', 1_000), 2.5)


class CrashTest(unittest.TestCase):
    def setUp(self):
        self.book = crashes.CrashTracker()

    def test_second_server_makes_guilty(self):
        self.book.record_crash(7, 's1/1', 1_000)
        self.book.record_crash(7, 's1/1', 1_100)
        self.assertFalse(self.book.is_quarantined(7))
        self.book.record_crash(7, 's2/1', 1_200)
        self.assertTrue(self.book.is_quarantined(7))
        self.assertFalse(self.book.is_quarantined(8))

    def test_crashes_that_others_saw_count(self):
        self.book.record_crash(7, 's1/1', 1_000)
        self.book.merge_remote([digests.Crash(7, 's2/1', 100)], 1_200)
        self.assertTrue(self.book.is_quarantined(7))
        self.assertEqual(1, len(self.book.local(1_200)))

    def test_same_crash_told_by_two_counts_once(self):
        self.book.record_crash(7, 's1/1', 1_000)
        self.book.merge_remote([digests.Crash(7, 's1/1', 100)], 1_200)
        self.assertFalse(self.book.is_quarantined(7))

    def test_is_forgotten(self):
        self.book.record_crash(7, 's1/1', 1_000)
        self.book.record_crash(7, 's2/1', 1_000)
        self.book.expire(1_001 + crashes.CRASH_LIFETIME_MS)
        self.assertFalse(self.book.is_quarantined(7))


class ReturnTest(unittest.TestCase):
    def test_refused_one_is_known_until_its_deadline(self):
        book = refusal_history.RefusalHistory()
        book.record_refusal(7, 1_000, 5_000)
        self.assertFalse(book.is_retry(7, 1_000))
        self.assertTrue(book.is_retry(7, 2_000))
        self.assertFalse(book.is_retry(7, 5_000))
        self.assertFalse(book.is_retry(8, 2_000))


class SessionTest(unittest.TestCase):
    def test_session_stays_for_its_lifetime(self):
        book = session_versions.SessionVersions(5_000)
        book.record_version('x', 'v1', 1_000)
        self.assertEqual('v1', book.version('x', 6_000))
        self.assertEqual('', book.version('x', 6_001))
        self.assertEqual('', book.version('y', 1_000))

    def test_request_without_session_is_not_remembered(self):
        book = session_versions.SessionVersions(5_000)
        book.record_version('', 'v1', 1_000)
        self.assertEqual('', book.version('', 1_000))
