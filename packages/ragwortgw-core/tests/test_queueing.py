"""Tests of the queue: order, fairness, and neither loss nor starvation."""

import unittest

import hypothesis
from hypothesis import strategies
from returns.result import Success

from ragwortgw_core import events
from ragwortgw_core import queueing
from tests import properties

MODELS = ('m',)
NOW_MS = 1_000_000


def make_item(number, priority='interactive', **changes):
    fields = {
        'id': str(number),
        'organisation': 'a',
        'weight': 1.0,
        'priority': priority,
        'deadline_ms': NOW_MS + 60_000,
        'cost': 1.0,
        'enqueued_at_ms': NOW_MS + int(number),
        'models': MODELS,
    }
    return queueing.Item(**{**fields, **changes})


def at(now_ms=NOW_MS):
    return events.Stamp(now_ms, 7)


def always(item):
    return True


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = queueing.FairQueue()

    def offer(self, item, now_ms=NOW_MS):
        return isinstance(self.queue.offer(item, at(now_ms)), Success)

    def take(self):
        item = self.queue.take(always, at())
        return None if item is None else item.id

    def serve(self, count, service_ms, priority='interactive'):
        """Records items that end one after another during a backlog."""
        self.offer(make_item(9_000, priority))
        for number in range(count):
            now_ms = NOW_MS + (number + 1) * service_ms
            served_item = make_item(number, priority)
            self.queue.record_served(served_item, service_ms, at(now_ms))
        self.queue.remove('9000')

    def test_interactive_items_go_before_background_ones(self):
        self.offer(make_item(1, 'background'))
        self.offer(make_item(2))
        self.assertEqual(['2', '1', None], [self.take() for _ in range(3)])

    def test_earliest_deadline_within_an_organisation_goes_first(self):
        self.offer(make_item(1))
        self.offer(make_item(2, deadline_ms=NOW_MS + 500))
        self.assertEqual('2', self.take())

    def test_organisations_are_served_in_proportion_to_weight(self):
        for number in range(40):
            self.offer(make_item(number))
            other = make_item(100 + number, organisation='b', weight=3.0)
            self.offer(other)
        items = [self.queue.take(always, at()) for _ in range(40)]
        organisations = [item.organisation for item in items]
        self.assertEqual(30, organisations.count('b'))

    def test_item_with_the_same_id_replaces_the_queued_one(self):
        self.offer(make_item(1))
        self.offer(make_item(1))
        self.offer(make_item(1, 'background'))
        self.assertEqual(1, len(self.queue))
        self.assertEqual(['1', None], [self.take(), self.take()])
        self.assertEqual([], self.queue.remove_late(at(NOW_MS + 10**9)))

    def test_item_that_can_not_start_does_not_block_others(self):
        self.offer(make_item(1))
        self.offer(make_item(2, models=('other',)))
        item = self.queue.take(lambda item: item.models == ('other',), at())
        self.assertEqual('2', item.id)
        self.assertEqual(1, len(self.queue))

    def test_item_behind_many_blocked_ones_starts_eventually(self):
        for number in range(300):
            blocked = make_item(
                number, 'background', organisation=f'o{number % 30}'
            )
            self.offer(blocked)
        latest_ms = NOW_MS + 90_000
        self.offer(make_item(900, 'background', deadline_ms=latest_ms))
        tried_ids = []

        def runnable(item):
            tried_ids.append(item.id)
            return item.id == '900'

        for seed in range(2_000):
            tried_ids.clear()
            stamp = events.Stamp(NOW_MS, seed)
            item = self.queue.take(runnable, stamp)
            self.assertLessEqual(len(tried_ids), 20)
            if item is not None:
                break
        self.assertEqual('900', item.id)

    def test_background_gets_its_minimum_fraction_of_the_work(self):
        self.serve(50, 100, 'background')
        self.serve(50, 10)
        for number in range(1_000):
            self.offer(make_item(number))
            self.offer(make_item(5_000 + number, 'background'))
        items = [self.queue.take(always, at()) for _ in range(500)]
        priorities = [item.priority for item in items]
        background_ms = priorities.count('background') * 100
        interactive_ms = priorities.count('interactive') * 10
        fraction = background_ms / (background_ms + interactive_ms)
        self.assertGreaterEqual(fraction, 0.09)
        self.assertLessEqual(fraction, 0.15)

    def test_refuses_items_that_would_miss_their_deadline(self):
        self.serve(50, 100)
        items = [
            make_item(number, deadline_ms=NOW_MS + 1_400)
            for number in range(30)
        ]
        accepted = [self.offer(item) for item in items]
        # One at a time, 100 ms each; a tenth is reserved for background.
        self.assertEqual([True] * 12 + [False] * 18, accepted)
        failure = self.queue.offer(items[-1], at()).failure()
        self.assertGreaterEqual(failure.retry_after_ms, 100)

    def test_item_with_an_earlier_deadline_does_not_wait_for_later_ones(self):
        self.serve(50, 100)
        for number in range(10):
            self.assertTrue(self.offer(make_item(number)))
        self.assertTrue(self.offer(make_item(50, deadline_ms=NOW_MS + 150)))

    def test_displaced_items_are_removed_at_once(self):
        self.serve(50, 100)
        for number in range(8):
            self.offer(make_item(number, deadline_ms=NOW_MS + 1_000))
        for number in range(10, 18):
            self.offer(make_item(number, deadline_ms=NOW_MS + 900))
        removed_ids = [item.id for item, _ in self.queue.remove_late(at())]
        self.assertTrue(removed_ids)
        self.assertEqual(set(), set(removed_ids) - set('01234567'))

    def test_interactive_item_is_removed_once_it_must_be_late(self):
        self.serve(50, 100)
        self.offer(make_item(1, deadline_ms=NOW_MS + 5_000))
        self.assertEqual([], self.queue.remove_late(at(NOW_MS + 4_800)))
        [(item, failure)] = self.queue.remove_late(at(NOW_MS + 4_950))
        self.assertEqual('1', item.id)
        self.assertGreater(failure.retry_after_ms, 0)
        self.assertEqual(0, len(self.queue))

    def test_accepted_background_items_are_never_removed(self):
        self.offer(make_item(1, 'background'))
        self.assertEqual([], self.queue.remove_late(at(NOW_MS + 10**9)))
        self.assertEqual('1', self.take())

    def test_reservation_ends_without_interactive_items(self):
        self.offer(make_item(1))
        item = make_item(2, 'background')
        self.assertGreater(self.queue.reserved_fraction(item, at()), 0)
        later = at(NOW_MS + queueing.RESERVATION_IDLE_MS + 1)
        self.assertEqual(0.0, self.queue.reserved_fraction(item, later))

    @properties.settings(60)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['offer', 'take', 'remove', 'expire']),
                strategies.sampled_from(['interactive', 'background']),
                strategies.sampled_from('abc'),
                strategies.integers(0, 3_000),
            ),
            max_size=120,
        )
    )
    def test_each_accepted_item_leaves_exactly_once(self, steps):
        queue = queueing.FairQueue()
        accepted, removed = [], []
        now_ms = NOW_MS
        for number, (step, priority, organisation, amount) in enumerate(steps):
            now_ms += amount // 10
            stamp = events.Stamp(now_ms, number)
            if step == 'offer':
                item = make_item(
                    number,
                    priority,
                    organisation=organisation,
                    deadline_ms=now_ms + amount,
                )
                if isinstance(queue.offer(item, stamp), Success):
                    accepted.append(item.id)
            elif step == 'take':
                item = queue.take(always, stamp)
                if item is not None:
                    removed.append(item.id)
                    queue.record_served(item, amount, stamp)
            elif step == 'remove' and set(accepted) - set(removed):
                item_id = min(set(accepted) - set(removed))
                queue.remove(item_id)
                removed.append(item_id)
            elif step == 'expire':
                for item, _ in queue.remove_late(stamp):
                    self.assertEqual('interactive', item.priority)
                    removed.append(item.id)
        while (item := queue.take(always, at(now_ms))) is not None:
            removed.append(item.id)
        self.assertEqual(sorted(accepted), sorted(removed))
        self.assertEqual(0, len(queue))

    @properties.settings(30)
    @hypothesis.given(
        strategies.integers(1, 200),
        strategies.integers(1, 200),
        strategies.integers(0, 50),
    )
    def test_background_starts_under_any_interactive_load(
        self, interactive_ms, background_ms, seed
    ):
        queue = queueing.FairQueue()
        queue.offer(make_item(1, 'background'), at())
        spent_ms = 0
        for number in range(100_000):
            queue.offer(make_item(10 + number), events.Stamp(NOW_MS, seed))
            item = queue.take(always, at())
            if item.priority == 'background':
                break
            queue.record_served(item, interactive_ms, at(NOW_MS + spent_ms))
            spent_ms += interactive_ms
        # Its service time is assumed to be 1,000 ms: interactive items get
        # at most 9 times as much, and one item more.
        self.assertLess(spent_ms, 9_000 * 1.2 + 20 * interactive_ms)
