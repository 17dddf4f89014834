"""Tests of the shares that classes of requests keep under overload."""

import random
import unittest

from ragwortgw_gateway import shares
from tests import harness

LABEL = shares.RequestClass('route', 'label')
CHAT = shares.RequestClass('route', 'chat')


class ShareTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = shares.ShareTracker()

    def record(self, request_class, admitted, count=1, now_ms=1_000):
        for _ in range(count):
            self.tracker.record('s', [request_class], admitted, now_ms)

    def starved(self, *classes, now_ms=1_000):
        return self.tracker.starved_class('s', classes, now_ms)

    def fractions(self):
        fractions = self.tracker.fractions(shares.WHOLE_KINDS)
        return {each: fraction for (_, each), fraction in fractions.items()}

    def test_class_that_is_always_refused_is_starved(self):
        self.record(CHAT, True, 20)
        self.assertIsNone(self.starved(LABEL))
        self.record(LABEL, False, 5)
        self.assertEqual(LABEL, self.starved(CHAT, LABEL))
        self.assertIsNone(self.starved(CHAT))

    def test_one_refusal_does_not_starve_a_class(self):
        self.record(CHAT, True, 20)
        self.record(LABEL, False)
        self.assertIsNone(self.starved(LABEL))

    def test_class_keeps_half_of_the_overall_rate(self):
        """Refuses a class whenever it is not below its share."""
        rng = random.Random(4)
        admitted_by_class = {LABEL: 0, CHAT: 0}
        for n in range(4_000):
            request_class = CHAT if rng.random() < 0.6 else LABEL
            now_ms = 1_000 + n * 20
            admitted = request_class == CHAT or bool(
                self.starved(LABEL, now_ms=now_ms)
            )
            admitted_by_class[request_class] += admitted
            self.record(request_class, admitted, now_ms=now_ms)
        rates = self.fractions()
        overall = sum(admitted_by_class.values()) / 4_000
        self.assertAlmostEqual(
            shares.KEPT_FRACTION, rates[LABEL] / overall, delta=0.08
        )

    def test_share_is_one_of_requests_whatever_their_retries(self):
        """As above, where each refused label comes back once."""
        rng = random.Random(5)
        counts_by_class = {LABEL: [0, 0], CHAT: [0, 0]}
        for n in range(4_000):
            request_class = CHAT if rng.random() < 0.6 else LABEL
            now_ms = 1_000 + n * 20
            counts = counts_by_class[request_class]
            counts[0] += 1
            for is_retry in (False, True):
                admitted = request_class == CHAT or bool(
                    self.starved(LABEL, now_ms=now_ms)
                )
                self.tracker.record(
                    's', [request_class], admitted, now_ms, is_retry
                )
                if admitted:
                    counts[1] += 1
                    break
        label, chat = counts_by_class[LABEL], counts_by_class[CHAT]
        overall = (label[1] + chat[1]) / 4_000
        self.assertAlmostEqual(
            shares.KEPT_FRACTION, label[1] / label[0] / overall, delta=0.08
        )

    def test_admitted_request_without_an_answer_counts_as_refused(self):
        self.record(CHAT, True, 20)
        self.record(LABEL, True, 8)
        self.assertIsNone(self.starved(LABEL))
        for _ in range(6):
            self.tracker.record_unserved('s', [LABEL], 1_000)
        self.assertEqual(LABEL, self.starved(LABEL))

    def test_no_class_is_starved_where_nothing_is_admitted(self):
        self.record(CHAT, False, 20)
        self.record(LABEL, False, 20)
        self.assertIsNone(self.starved(CHAT, LABEL))

    def test_refusals_are_forgotten(self):
        self.record(CHAT, True, 20)
        self.record(LABEL, False, 5)
        self.assertIsNone(self.starved(LABEL, now_ms=100_000))

    def test_services_are_separate(self):
        self.record(CHAT, True, 20)
        self.record(LABEL, False, 5)
        self.assertIsNone(self.tracker.starved_class('t', [LABEL], 1_000))

    def test_memory_is_bounded(self):
        for n in range(shares.MAX_CLASSES):
            classes = [
                shares.RequestClass(kind, str(n))
                for kind in ('session', 'subject')
            ]
            self.tracker.record('s', classes, True, 1_000)
        self.assertEqual(
            shares.MAX_CLASSES,
            len(self.tracker.fractions(('session', 'subject'))),
        )


class ClassifyTest(unittest.TestCase):
    def test_request_belongs_to_its_route_owner_session_and_subject(self):
        request = harness.make_request('r', 'draft', session='a')
        route = harness.make_route('draft', 'streaming')
        found = shares.classify(request, route, 'festival')
        self.assertEqual(
            [
                ('route', 'draft'),
                ('organisation', 'festival'),
                ('session', 'a'),
                ('subject', 'shared'),
            ],
            [tuple(each) for each in found],
        )

    def test_plain_request_has_no_subject(self):
        request = harness.make_request('r')
        route = harness.make_route('status')
        found = shares.classify(request, route, '')
        self.assertEqual([('route', 'status')], [tuple(e) for e in found])

    def test_largest_tenth_and_the_fifth_below_it_are_classes(self):
        rng = random.Random(2)
        sizes = shares.SizeClassifier()
        counts = {'largest': 0, 'large': 0}
        for n in range(6_000):
            found = sizes.classify('r', rng.lognormvariate(8, 1.0))
            if found is not None and n >= 1_000:
                counts[found.id.rpartition('/')[2]] += 1
        self.assertAlmostEqual(500, counts['largest'], delta=100)
        self.assertAlmostEqual(1_000, counts['large'], delta=150)
