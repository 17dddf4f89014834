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


def feed(book, requests, candidate_score, seed=1, failed=0.0):
    source = random.Random(seed)
    for _ in range(requests):
        for version, mean in ((BASELINE, 0.8), (CANDIDATE, candidate_score)):
            score = min(max(source.gauss(mean, 0.1), 0.0), 1.0)
            bad = version == CANDIDATE and source.random() < failed
            book.observe('proof', version, None if bad else score, bad, 0)


def running(next_step):
    rollout = bench_evidence.new_rollout()
    rollout['next_step'] = next_step
    rollout['fencing'] = next_step
    return rollout


class VerdictTest(unittest.TestCase):
    def setUp(self):
        self.book = evidence.VersionEvidence('entry')
        self.rollout = running(1)
        self.book.follow(self.rollout)

    def test_undecided_without_evidence(self):
        self.assertEqual('undecided', self.book.verdict(self.rollout))

    def test_worse_ratings_are_bad(self):
        feed(self.book, 40, 0.6)
        self.assertEqual('bad', self.book.verdict(self.rollout))

    def test_failures_are_bad_without_any_rating(self):
        for _ in range(100):
            self.book.observe('proof', BASELINE, None, False, 0)
            self.book.observe('proof', CANDIDATE, None, True, 0)
        self.assertEqual('bad', self.book.verdict(self.rollout))

    def test_equal_ratings_are_good(self):
        feed(self.book, 300, 0.8)
        self.assertEqual('good', self.book.verdict(self.rollout))

    def test_only_a_plain_service_passes_without_ratings(self):
        for _ in range(600):
            for version in (BASELINE, CANDIDATE):
                self.book.observe('proof', version, None, False, 0)
        self.assertEqual('undecided', self.book.verdict(self.rollout))
        verdict = self.book.verdict(self.rollout, rated=False)
        self.assertEqual('good', verdict)

    def test_a_rating_that_comes_later_counts_no_request(self):
        for _ in range(40):
            for version, score in ((BASELINE, 0.8), (CANDIDATE, 0.6)):
                self.book.observe('proof', version, None, False, 0)
                self.book.rated('proof', version, score, 0)
        sums = self.book.pooled_sums(self.rollout)[1]
        self.assertEqual(40, sums.candidate_requests)
        self.assertEqual('bad', self.book.verdict(self.rollout))

    def test_each_step_needs_requests_of_its_own(self):
        feed(self.book, 600, 0.8)
        self.assertEqual('undecided', self.book.verdict(running(2)))

    def test_finds_a_version_that_turned_bad_after_a_step(self):
        feed(self.book, 2_000, 0.8)
        later = running(2)
        self.book.follow(later)
        feed(self.book, 60, 0.6)
        self.assertEqual('bad', self.book.verdict(later))

    def test_other_versions_are_ignored(self):
        self.book.observe('proof', 'proof@v0', 0.0, True, 0)
        self.assertEqual({}, self.book.pooled_sums(self.rollout))

    def test_a_new_candidate_starts_anew(self):
        feed(self.book, 40, 0.6)
        other = running(1)
        other['candidate'] = 'proof@v3'
        self.assertEqual('undecided', self.book.verdict(other))


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.books_by_entry = {
            name: evidence.VersionEvidence(name) for name in ('a', 'b')
        }
        for seed, book in enumerate(self.books_by_entry.values()):
            book.follow(ROLLOUT)
            feed(book, 7, 0.55, seed)

    def requests(self, book):
        sums = book.pooled_sums(ROLLOUT).values()
        return sum(each.candidate_requests for each in sums)

    def test_entries_decide_together_what_none_can_alone(self):
        pool = None
        for name, book in self.books_by_entry.items():
            self.assertEqual('undecided', book.verdict(ROLLOUT))
            batch = book.next_batch(ROLLOUT)
            pool = evidence.add_batch(pool, ROLLOUT, name, batch)
        for book in self.books_by_entry.values():
            book.apply_pool(ROLLOUT, pool)
            self.assertEqual('bad', book.verdict(ROLLOUT))
            self.assertEqual(14, self.requests(book))

    def test_a_write_with_a_lost_answer_counts_once(self):
        book = self.books_by_entry['a']
        pool = evidence.add_batch(None, ROLLOUT, 'a', book.next_batch(ROLLOUT))
        feed(book, 5, 0.8)
        pool = evidence.add_batch(pool, ROLLOUT, 'a', book.next_batch(ROLLOUT))
        book.apply_pool(ROLLOUT, pool)
        self.assertEqual(12, self.requests(book))
        pool = evidence.add_batch(pool, ROLLOUT, 'a', book.next_batch(ROLLOUT))
        book.apply_pool(ROLLOUT, pool)
        self.assertEqual(12, self.requests(book))
        self.assertIsNone(book.next_batch(ROLLOUT))

    def test_a_pool_of_another_candidate_is_replaced(self):
        batch = self.books_by_entry['a'].next_batch(ROLLOUT)
        for track in ('x:y', f'{CANDIDATE}:{BASELINE}:{betting.SIZE - 1}'):
            old = evidence.Pool(track, {1: betting.Sums()}, {'a': 9})
            pool = evidence.add_batch(old, ROLLOUT, 'a', batch)
            self.assertEqual({'a': 1}, pool.numbers_by_entry)


class AnyPoolingTest(unittest.TestCase):
    @properties.settings(100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('ab'),
                strategies.sampled_from(
                    ['see', 'write', 'lose', 'late', 'read', 'step']
                ),
            ),
            max_size=60,
        )
    )
    def test_each_request_counts_once(self, actions):
        """Writes may be lost, and take effect after a failure is seen."""
        books = {name: evidence.VersionEvidence(name) for name in 'ab'}
        rollout = running(1)
        pool = None
        seen = 0
        for book in books.values():
            book.follow(rollout)
        for name, action in actions:
            book = books[name]
            if action == 'see':
                book.observe('proof', CANDIDATE, 0.8, False, 0)
                seen += 1
            elif action == 'read' and pool is not None:
                book.apply_pool(rollout, pool)
            elif action == 'step':
                rollout = running(min(rollout['next_step'] + 1, 4))
            elif action in ('write', 'lose', 'late'):
                batch = book.next_batch(rollout)
                if batch is None or action == 'lose':
                    continue
                pool = evidence.add_batch(pool, rollout, name, batch)
                if action == 'write':
                    book.apply_pool(rollout, pool)
        for _ in range(2):
            for name, book in books.items():
                batch = book.next_batch(rollout)
                if batch is not None:
                    pool = evidence.add_batch(pool, rollout, name, batch)
                if pool is not None:
                    book.apply_pool(rollout, pool)
        for book in books.values():
            if pool is not None:
                book.apply_pool(rollout, pool)
            sums = book.pooled_sums(rollout).values()
            self.assertEqual(
                seen, sum(each.candidate_requests for each in sums)
            )


class BenchmarkTest(unittest.TestCase):
    """Bounds from the benchmark; seeded, in simulated time."""

    def test_a_version_that_turns_bad_after_its_rollout_is_withdrawn(self):
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
