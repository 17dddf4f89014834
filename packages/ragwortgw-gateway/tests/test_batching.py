"""Tests of the model of backend servers that run requests in batches."""

import unittest

from ragwortgw_gateway import batching
from ragwortgw_gateway import latency_estimates
from ragwortgw_gateway import loads
from ragwortgw_gateway import requests

NOW_MS = 1_000
IDLE = loads.IDLE
SLOTS = 8
CACHE_TOKENS = 100_000


def make_newcomer(tokens=2_000, stream_ms=400.0, idle_stream_ms=400.0):
    """Makes a request of 10 ms, and 0.1 ms for each token."""
    pace = latency_estimates.Pace()
    pace.base_ms, pace.ms_per_token = 10.0, 0.1
    return batching.Newcomer(tokens, pace, idle_stream_ms, stream_ms)


def make_server(load=IDLE, slowdown=1.0):
    return batching.Server(load, SLOTS, CACHE_TOKENS, slowdown)


class ForecastTest(unittest.TestCase):
    def test_idle_server_takes_the_time_of_the_request(self):
        forecast = batching.forecast(make_newcomer(), make_server(), 1_000)
        self.assertAlmostEqual(100.0, forecast.prefill_ms)
        self.assertAlmostEqual(110.0, forecast.first_byte_ms)
        self.assertAlmostEqual(510.0, forecast.end_ms)
        self.assertEqual(forecast.end_ms, forecast.idle_end_ms)
        self.assertAlmostEqual(0.0, forecast.wait_ms)

    def test_queued_prefill_delays_the_first_byte(self):
        load = loads.Load(3, 700.0, 3_000.0, 6_000)
        forecast = batching.forecast(make_newcomer(), make_server(load), 1_000)
        self.assertAlmostEqual(810.0, forecast.first_byte_ms)
        self.assertAlmostEqual(110.0, forecast.idle_first_byte_ms)
        self.assertAlmostEqual(700.0, forecast.wait_ms)

    def test_request_waits_for_a_slot_and_for_memory(self):
        tracker = loads.LoadTracker()
        for n in range(16):
            tracker.add_attempt(str(n), 's', 0.0, 1_000.0, 10_000, 1)
        load = tracker.remaining('s', 1)

        def wait_ms(slots, cache_tokens):
            server = batching.Server(load, slots, cache_tokens, 1.0)
            forecast = batching.forecast(make_newcomer(40_000), server, 0)
            return forecast.first_byte_ms - forecast.idle_first_byte_ms

        self.assertEqual(0.0, wait_ms(64, 500_000))
        # One of 16 requests has to end, and a quarter of the memory be freed.
        self.assertAlmostEqual(1_000 / 16, wait_ms(16, 500_000))
        self.assertAlmostEqual(250.0, wait_ms(64, 160_000))

    def test_slow_server_is_slower_in_all_but_the_copy(self):
        load = loads.Load(1, 200.0, 500.0, 1_000)
        forecast = batching.forecast(
            make_newcomer(), make_server(load, 2.0), 1_000, copy_ms=30.0
        )
        self.assertAlmostEqual(200.0, forecast.prefill_ms)
        self.assertAlmostEqual(2 * (200 + 110) + 30, forecast.first_byte_ms)

    def test_busy_servers_write_more_slowly(self):
        newcomer = make_newcomer(stream_ms=900.0)
        forecast = batching.forecast(newcomer, make_server(), 0)
        self.assertAlmostEqual(910.0, forecast.end_ms)
        self.assertAlmostEqual(410.0, forecast.idle_end_ms)


class NewcomerTest(unittest.TestCase):
    def test_length_is_as_configured_before_the_first_answer(self):
        prompt = requests.Prompt(1_000, 200, ())
        latency = latency_estimates.LatencyEstimator()
        newcomer = batching.new_newcomer(
            latency, 'draft', 'small', prompt, 5, NOW_MS
        )
        self.assertEqual(1_200, newcomer.tokens)
        self.assertAlmostEqual(
            39 * latency_estimates.INITIAL_INTERVAL_MS,
            newcomer.idle_stream_ms,
        )

    def test_length_and_pace_follow_the_answers(self):
        prompt = requests.Prompt(1_000, 200, ())
        latency = latency_estimates.LatencyEstimator()
        for _ in range(20):
            latency.observe_stream('draft', 'small', 21, 200, 400.0)
        newcomer = batching.new_newcomer(
            latency, 'draft', 'small', prompt, 5, NOW_MS
        )
        self.assertAlmostEqual(400.0, newcomer.idle_stream_ms, delta=1.0)


class StreamHeadroomTest(unittest.TestCase):
    def test_idle_servers_use_none(self):
        need = batching.StreamNeed(500.0, 500.0, 2_000.0)
        self.assertEqual(0.0, batching.used_stream_headroom([need]))

    def test_route_with_the_least_headroom_decides(self):
        needs = [
            batching.StreamNeed(500.0, 800.0, 2_000.0),
            batching.StreamNeed(500.0, 1_500.0, 1_500.0),
        ]
        self.assertAlmostEqual(1.0, batching.used_stream_headroom(needs))

    def test_streams_that_are_always_late_are_left_out(self):
        need = batching.StreamNeed(3_000.0, 9_000.0, 2_000.0)
        self.assertEqual(0.0, batching.used_stream_headroom([need]))
