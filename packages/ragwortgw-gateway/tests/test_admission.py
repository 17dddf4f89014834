"""Tests of the pressure on a request, and of its Retry-After."""

import unittest

from ragwortgw_gateway import admission
from ragwortgw_gateway import batching
from ragwortgw_gateway import latency_estimates
from ragwortgw_gateway import loads
from ragwortgw_gateway import placement
from ragwortgw_gateway import requests
from tests import harness


def make_choice(**times_ms):
    """Returns a choice of a server whose idle times are 0 by default."""
    forecast = batching.Forecast(prefill_ms=0.0, first_byte_ms=0.0)
    return placement.ServerChoice(
        harness.make_server('s'), forecast._replace(**times_ms), 0, False
    )


class PressureTest(unittest.TestCase):
    def pressure(self, choice, **changes):
        required = admission.Requirements(4_000, 12_000)
        return admission.pressure(required._replace(**changes), choice)

    def new_newcomer(self, tokens):
        latency = latency_estimates.LatencyEstimator()
        prompt = requests.Prompt(tokens, 0, ())
        return batching.new_newcomer(latency, 'r', 'large', prompt, 0, 1)

    def test_pressure_is_one_at_the_limit_of_the_first_byte(self):
        at_limit = self.pressure(make_choice(first_byte_ms=4_000.0))
        self.assertEqual((1.0, 'first byte', 0.0), at_limit[:3])
        self.assertEqual((4_000.0, 4_000, 4_000.0), at_limit[3:])
        late = self.pressure(make_choice(first_byte_ms=4_500.0))
        self.assertGreater(late.value, 1)
        self.assertEqual(500.0, late.wait_ms)

    def test_request_leaves_time_for_more_urgent_ones(self):
        choice = make_choice(first_byte_ms=3_000.0)
        self.assertLess(self.pressure(choice).value, 1)
        self.assertGreater(self.pressure(choice, urgent_share=0.4).value, 1)

    def test_request_that_need_not_wait_is_admitted_whatever_its_rank(self):
        choice = make_choice(first_byte_ms=900.0, idle_first_byte_ms=900.0)
        self.assertEqual(0.0, self.pressure(choice, urgent_share=1.5).value)
        delayed = make_choice(first_byte_ms=950.0, idle_first_byte_ms=900.0)
        self.assertLess(self.pressure(delayed, urgent_share=1.5).value, 0.1)

    def test_answer_that_could_not_end_in_time_is_pressure(self):
        choice = make_choice(first_byte_ms=100.0, stream_ms=12_500.0)
        pressure = self.pressure(choice)
        self.assertGreater(pressure.value, 1)
        self.assertEqual('end', pressure.reason)
        self.assertEqual(600.0, pressure.wait_ms)

    def test_batch_in_which_all_answers_end_in_time_is_no_overload(self):
        """Guards against adding up what requests need in a batch.

        A server runs them side by side: many long answers in progress do
        not delay the first byte of the next one.
        """
        tracker = loads.LoadTracker()
        for n in range(20):
            tracker.add_attempt(str(n), 's', 0.0, 5_000.0, 1_000, 1)
        server = batching.Server(tracker.remaining('s', 1), 64, 500_000, 1.0)
        forecast = batching.forecast(self.new_newcomer(1_000), server, 500)
        choice = make_choice()._replace(forecast=forecast)
        self.assertLess(self.pressure(choice).value, 0.1)

    def test_streams_that_would_end_late_are_pressure(self):
        need = batching.StreamNeed(2_000.0, 7_000.0, 8_000.0)
        pressure = self.pressure(make_choice(), needs=(need,))
        self.assertAlmostEqual(5 / 6, pressure.value)
        self.assertEqual('streams', pressure.reason)
        late = need._replace(present_ms=9_000.0)
        pressure = self.pressure(make_choice(), needs=(need, late))
        self.assertGreater(pressure.value, 1)
        self.assertGreater(pressure.wait_ms, 0)

    def test_own_time_of_a_request_is_not_pressure(self):
        alone = make_choice(
            prefill_ms=1_500.0,
            first_byte_ms=1_500.0,
            stream_ms=2_000.0,
            idle_first_byte_ms=1_500.0,
            idle_stream_ms=2_000.0,
        )
        self.assertEqual(0.0, self.pressure(alone).value)
        delayed = alone._replace(
            forecast=alone.forecast._replace(first_byte_ms=2_750.0)
        )
        self.assertAlmostEqual(0.5, self.pressure(delayed).value)

    def test_answer_too_long_for_any_server_is_tried_at_an_idle_one(self):
        alone = make_choice(stream_ms=20_000.0, idle_stream_ms=20_000.0)
        self.assertEqual(0.0, self.pressure(alone).value)

    def test_long_prompt_is_served_late_rather_than_never(self):
        choice = make_choice(first_byte_ms=5_000.0, idle_first_byte_ms=5_000.0)
        self.assertEqual(0.0, self.pressure(choice).value)

    def test_more_urgent_requests_lengthen_the_wait_only(self):
        """A wait of 1 s takes 2 s where half of the time is theirs."""
        choice = make_choice(first_byte_ms=1_200.0, idle_first_byte_ms=200.0)
        pressure = self.pressure(choice, urgent_share=0.5)
        self.assertAlmostEqual(2_200.0, pressure.first_ms)

    def test_answer_that_would_not_begin_before_the_deadline(self):
        """Such requests lately waited six times as long as forecast."""
        choice = make_choice(first_byte_ms=1_200.0, idle_first_byte_ms=200.0)
        pressure = self.pressure(choice, remaining_ms=5_000, wait_factor=6.0)
        self.assertEqual('begin', pressure.reason)
        self.assertGreater(pressure.value, 1)
        self.assertAlmostEqual(1_200.0, pressure.wait_ms)
        self.assertLess(self.pressure(choice, wait_factor=6.0).value, 1)


class RetryAfterTest(unittest.TestCase):
    def test_retry_after_is_the_wait_up_to_a_third_of_the_time_left(self):
        for seed in range(1_024):
            wait_ms = admission.retry_after_ms(1_000.0, 12_000, seed)
            self.assertTrue(700 <= wait_ms <= 1_300, wait_ms)
            capped_ms = admission.retry_after_ms(60_000.0, 3_000, seed)
            self.assertLessEqual(capped_ms, 1_000)

    def test_clients_do_not_all_come_back_at_once(self):
        waits_ms = {
            admission.retry_after_ms(1_000.0, 60_000, seed)
            for seed in range(1_024)
        }
        self.assertGreaterEqual(min(waits_ms), 750)
        self.assertLessEqual(max(waits_ms), 1_250)
        self.assertGreater(len(waits_ms), 100)

    def test_shortest_wait(self):
        self.assertEqual(
            admission.MIN_RETRY_MS, admission.retry_after_ms(0.0, 3_000, 0)
        )
