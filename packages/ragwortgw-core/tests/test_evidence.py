"""Tests of the sequential test and of pooling its evidence."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from benchmarks import bench_evidence
from ragwortgw_core import betting
from ragwortgw_core import evidence
from tests import properties

ROLLOUT = bench_evidence.new_rollout()
CANDIDATE = bench_evidence.CANDIDATE
BASELINE = bench_evidence.BASELINE


def feed(collected, requests, candidate_score, seed=1, failed=0.0):
    """Adds requests of both versions; the baseline's mean score is 0.8."""
    rng = random.Random(seed)
    for _ in range(requests):
        for version, mean in ((BASELINE, 0.8), (CANDIDATE, candidate_score)):
            score = min(max(rng.gauss(mean, 0.1), 0.0), 1.0)
            has_failed = version == CANDIDATE and rng.random() < failed
            collected.observe(
                'proof', version, None if has_failed else score, has_failed, 0
            )


def running(next_step):
    """Builds a running roll-out at a step."""
    rollout = bench_evidence.new_rollout()
    rollout['next_step'] = next_step
    rollout['fencing'] = next_step
    return rollout


class VerdictTest(unittest.TestCase):
    def setUp(self):
        self.collected = evidence.VersionEvidence('entry')
        self.rollout = running(1)
        self.collected.follow(self.rollout)

    def test_undecided_without_evidence(self):
        self.assertEqual('undecided', self.collected.verdict(self.rollout))

    def test_lower_ratings_give_bad(self):
        feed(self.collected, 40, 0.6)
        self.assertEqual('bad', self.collected.verdict(self.rollout))

    def test_failures_give_bad_without_any_rating(self):
        for _ in range(100):
            self.collected.observe('proof', BASELINE, None, False, 0)
            self.collected.observe('proof', CANDIDATE, None, True, 0)
        self.assertEqual('bad', self.collected.verdict(self.rollout))

    def test_equal_ratings_give_good(self):
        feed(self.collected, 300, 0.8)
        self.assertEqual('good', self.collected.verdict(self.rollout))

    def test_only_a_plain_service_gets_good_without_ratings(self):
        for _ in range(600):
            for version in (BASELINE, CANDIDATE):
                self.collected.observe('proof', version, None, False, 0)
        self.assertEqual('undecided', self.collected.verdict(self.rollout))
        verdict = self.collected.verdict(self.rollout, rated=False)
        self.assertEqual('good', verdict)

    def test_rating_that_arrives_later_counts_no_request(self):
        for _ in range(40):
            for version, score in ((BASELINE, 0.8), (CANDIDATE, 0.6)):
                self.collected.observe('proof', version, None, False, 0)
                self.collected.rated('proof', version, score, 0)
        sums = self.collected.pooled_sums(self.rollout)[1]
        self.assertEqual(40, sums.candidate_requests)
        self.assertEqual('bad', self.collected.verdict(self.rollout))

    def test_each_step_needs_a_minimum_of_requests(self):
        feed(self.collected, 600, 0.8)
        self.assertEqual('undecided', self.collected.verdict(running(2)))

    def test_version_that_turns_bad_after_a_step_is_detected(self):
        feed(self.collected, 2_000, 0.8)
        later = running(2)
        self.collected.follow(later)
        feed(self.collected, 60, 0.6)
        self.assertEqual('bad', self.collected.verdict(later))

    def test_other_versions_are_ignored(self):
        self.collected.observe('proof', 'proof@v0', 0.0, True, 0)
        self.assertEqual({}, self.collected.pooled_sums(self.rollout))

    def test_new_candidate_starts_without_evidence(self):
        feed(self.collected, 40, 0.6)
        other = running(1)
        other['candidate'] = 'proof@v3'
        self.assertEqual('undecided', self.collected.verdict(other))


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.collected_by_entry = {
            name: evidence.VersionEvidence(name) for name in ('a', 'b')
        }
        for seed, collected in enumerate(self.collected_by_entry.values()):
            collected.follow(ROLLOUT)
            feed(collected, 7, 0.55, seed)

    def requests(self, collected):
        sums = collected.pooled_sums(ROLLOUT).values()
        return sum(each.candidate_requests for each in sums)

    def test_pooled_evidence_decides_where_no_entry_can_alone(self):
        pool = None
        for name, collected in self.collected_by_entry.items():
            self.assertEqual('undecided', collected.verdict(ROLLOUT))
            batch = collected.next_batch(ROLLOUT)
            pool = evidence.add_batch(pool, ROLLOUT, name, batch)
        for collected in self.collected_by_entry.values():
            collected.apply_pool(ROLLOUT, pool)
            self.assertEqual('bad', collected.verdict(ROLLOUT))
            self.assertEqual(14, self.requests(collected))

    def test_write_with_unknown_result_counts_once(self):
        collected = self.collected_by_entry['a']
        pool = evidence.add_batch(
            None, ROLLOUT, 'a', collected.next_batch(ROLLOUT)
        )
        feed(collected, 5, 0.8)
        pool = evidence.add_batch(
            pool, ROLLOUT, 'a', collected.next_batch(ROLLOUT)
        )
        collected.apply_pool(ROLLOUT, pool)
        self.assertEqual(12, self.requests(collected))
        pool = evidence.add_batch(
            pool, ROLLOUT, 'a', collected.next_batch(ROLLOUT)
        )
        collected.apply_pool(ROLLOUT, pool)
        self.assertEqual(12, self.requests(collected))
        self.assertIsNone(collected.next_batch(ROLLOUT))

    def test_pool_of_another_track_is_replaced(self):
        batch = self.collected_by_entry['a'].next_batch(ROLLOUT)
        for track in ('x:y', f'{CANDIDATE}:{BASELINE}:{betting.SIZE - 1}'):
            old = evidence.Pool(track, {1: betting.Sums()}, {'a': 9})
            pool = evidence.add_batch(old, ROLLOUT, 'a', batch)
            self.assertEqual({'a': 1}, pool.numbers_by_entry)


class PoolingPropertyTest(unittest.TestCase):
    @properties.settings(100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('ab'),
                strategies.sampled_from(
                    ['serve', 'write', 'lose', 'late', 'read', 'step']
                ),
            ),
            max_size=60,
        )
    )
    def test_each_request_counts_once(self, actions):
        """Writes may be lost, or take effect although they seemed to fail."""
        collected_by_entry = {
            name: evidence.VersionEvidence(name) for name in 'ab'
        }
        rollout = running(1)
        pool = None
        served = 0
        for collected in collected_by_entry.values():
            collected.follow(rollout)
        for name, action in actions:
            collected = collected_by_entry[name]
            if action == 'serve':
                collected.observe('proof', CANDIDATE, 0.8, False, 0)
                served += 1
            elif action == 'read' and pool is not None:
                collected.apply_pool(rollout, pool)
            elif action == 'step':
                rollout = running(min(rollout['next_step'] + 1, 4))
            elif action in ('write', 'lose', 'late'):
                batch = collected.next_batch(rollout)
                if batch is None or action == 'lose':
                    continue
                pool = evidence.add_batch(pool, rollout, name, batch)
                if action == 'write':
                    collected.apply_pool(rollout, pool)
        for _ in range(2):
            for name, collected in collected_by_entry.items():
                batch = collected.next_batch(rollout)
                if batch is not None:
                    pool = evidence.add_batch(pool, rollout, name, batch)
                if pool is not None:
                    collected.apply_pool(rollout, pool)
        for collected in collected_by_entry.values():
            if pool is not None:
                collected.apply_pool(rollout, pool)
            sums = collected.pooled_sums(rollout).values()
            self.assertEqual(
                served, sum(each.candidate_requests for each in sums)
            )


class BenchmarkTest(unittest.TestCase):
    """Bounds on the benchmark's results; seeded, in simulated time."""

    def test_version_that_turns_bad_after_its_rollout_is_withdrawn(self):
        _, _, worse, failing = bench_evidence.LATE_FAULTS
        for fault in (worse, failing):
            self.assertTrue(
                bench_evidence.run_sequential_test(fault, 1).withdrawn
            )

    def test_good_versions_pass_and_bad_ones_do_not(self):
        none, *_, worst, _, _, _ = bench_evidence.FAULTS
        for seed in range(5):
            good = bench_evidence.run_sequential_test(none, seed)
            self.assertFalse(good.withdrawn)
            bad = bench_evidence.run_sequential_test(worst, seed)
            self.assertTrue(bad.withdrawn)
            fixed = bench_evidence.run_fixed_steps(worst, seed)
            self.assertLess(bad.exposed, fixed.exposed)
