"""Tests of moving averages."""

import math
import unittest

from ragwortgw_gateway import moving


class MeanTest(unittest.TestCase):
    def test_first_samples_have_equal_weight(self):
        mean = moving.Mean()
        for sample in (1.0, 2.0, 6.0):
            mean.add(sample)
        self.assertAlmostEqual(3.0, mean.value)

    def test_later_samples_replace_earlier_ones(self):
        mean = moving.Mean()
        for sample in [1.0] * 50 + [5.0] * 100:
            mean.add(sample)
        self.assertAlmostEqual(5.0, mean.value, delta=0.01)


class SpreadTest(unittest.TestCase):
    def test_deviation_of_equal_samples_is_zero(self):
        spread = moving.Spread()
        for _ in range(10):
            spread.add(4.0)
        self.assertEqual((4.0, 0.0), (spread.mean, spread.deviation))

    def test_deviation_of_two_values(self):
        spread = moving.Spread()
        for number in range(1_000):
            spread.add(float(number % 2) * 2)
        self.assertAlmostEqual(1.0, spread.mean, delta=0.1)
        self.assertAlmostEqual(1.0, spread.deviation, delta=0.1)


class DecayingSumTest(unittest.TestCase):
    def test_terms_lose_weight_with_their_age(self):
        total = moving.DecayingSum(2_000.0, 1_000)
        total.add(10.0, 1_000)
        self.assertAlmostEqual(10.0 / math.e, total.value(3_000))
        total.add(5.0, 3_000)
        self.assertAlmostEqual(10.0 / math.e + 5.0, total.value(3_000))

    def test_value_does_not_change_the_sum(self):
        total = moving.DecayingSum(2_000.0, 0)
        total.add(10.0, 0)
        total.value(9_000)
        self.assertAlmostEqual(10.0, total.value(0))
