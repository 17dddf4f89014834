"""Tests of the limits per organisation and of the retry budget."""

import unittest

import hypothesis
from hypothesis import strategies
from returns.result import Success

from ragwortgw_core import documents
from ragwortgw_core import events
from ragwortgw_core import limits
from tests import properties

START_MS = 1_000_000


def make_organisation(**changes):
    organisation = documents.Organisation(
        id='a', permits=[], rate=10.0, burst=5.0, concurrency=100, weight=1.0
    )
    organisation.update(changes)
    return organisation


def at(now_ms):
    return events.Stamp(now_ms, 1)


class OrganisationLimitsTest(unittest.TestCase):
    def setUp(self):
        self.limits = limits.OrganisationLimits()

    def admit(self, organisation, now_ms=START_MS, entries=1):
        return self.limits.admit(organisation, entries, at(now_ms))

    def test_refusal_states_when_the_next_token_is_available(self):
        organisation = make_organisation()
        for _ in range(5):
            self.assertIsInstance(self.admit(organisation), Success)
        wait_ms = self.admit(organisation).failure().retry_after_ms
        self.assertEqual(100, wait_ms)
        again = self.admit(organisation, START_MS + wait_ms)
        self.assertIsInstance(again, Success)

    def test_each_entry_applies_its_share(self):
        organisation = make_organisation(burst=20.0)
        admitted = [
            isinstance(self.admit(organisation, entries=4), Success)
            for _ in range(20)
        ]
        self.assertEqual(5, sum(admitted))

    def test_share_below_one_request_still_admits_one(self):
        organisation = make_organisation(burst=1.0, concurrency=1)
        result = self.admit(organisation, entries=360)
        self.assertIsInstance(result, Success)

    def test_release_frees_a_concurrency_slot(self):
        organisation = make_organisation(concurrency=1)
        self.admit(organisation)
        refused = self.admit(organisation).failure()
        self.assertGreater(refused.retry_after_ms, 0)
        self.limits.release('a')
        self.assertIsInstance(self.admit(organisation), Success)

    def test_refusal_for_concurrency_takes_no_token(self):
        organisation = make_organisation(concurrency=1, burst=2.0)
        self.admit(organisation)
        self.admit(organisation)
        self.limits.release('a')
        self.assertIsInstance(self.admit(organisation), Success)

    @properties.settings()
    @hypothesis.given(
        strategies.floats(0.5, 200),
        strategies.floats(1, 50),
        strategies.integers(1, 8),
        strategies.lists(strategies.integers(0, 2_000), max_size=100),
    )
    def test_never_admits_more_than_rate_and_burst(
        self, rate, burst, entries, gaps_ms
    ):
        organisation_limits = limits.OrganisationLimits()
        organisation = make_organisation(
            rate=rate, burst=burst, concurrency=10**6
        )
        now_ms = START_MS
        admitted = 0
        for gap_ms in gaps_ms:
            now_ms += gap_ms
            result = organisation_limits.admit(
                organisation, entries, at(now_ms)
            )
            admitted += isinstance(result, Success)
        allowed = max(burst / entries, limits.MIN_BURST_REQUESTS)
        allowed += rate / entries * (now_ms - START_MS) / 1_000
        self.assertLessEqual(admitted, allowed + 1e-6)

    @properties.settings()
    @hypothesis.given(strategies.floats(0.01, 5_000))
    def test_retry_after_the_stated_wait_is_admitted(self, rate):
        organisation_limits = limits.OrganisationLimits()
        organisation = make_organisation(rate=rate, burst=1.0)
        organisation_limits.admit(organisation, 1, at(START_MS))
        refused = organisation_limits.admit(
            organisation, 1, at(START_MS)
        ).failure()
        again_ms = START_MS + refused.retry_after_ms
        result = organisation_limits.admit(organisation, 1, at(again_ms))
        self.assertIsInstance(result, Success)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_a_fraction_of_the_requests(self):
        budget = limits.RetryBudget()
        retries = 0
        for number in range(10_000):
            stamp = at(START_MS + number)
            budget.on_request(stamp)
            retries += sum(budget.allow(stamp) for _ in range(3))
        allowed = limits.RETRY_BURST + 10_000 * limits.RETRY_RATIO
        allowed += 10 * limits.RETRY_MIN_PER_S
        self.assertLessEqual(retries, allowed)

    def test_entry_without_requests_may_still_retry(self):
        budget = limits.RetryBudget()
        while budget.allow(at(START_MS)):
            pass
        self.assertFalse(budget.allow(at(START_MS + 500)))
        self.assertTrue(budget.allow(at(START_MS + 1_000)))
