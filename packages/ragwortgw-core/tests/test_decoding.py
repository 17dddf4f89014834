"""Tests that no bytes raise anything but Undecodable."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from ragwortgw_core import decoding

DEPTH = 100_000


class Known(msgspec.Struct):
    count: int
    size: float = 0.0


class DecodingTest(unittest.TestCase):
    def test_values_of_the_type_are_decoded(self):
        self.assertEqual(Known(3), decoding.from_json(b'{"count":3}', Known))
        self.assertEqual([1], decoding.from_msgpack(b'\x91\x01'))

    def test_nested_json_is_undecodable(self):
        for data in (
            b'[' * DEPTH + b']' * DEPTH,
            b'{"count":1,"x":' + b'[' * DEPTH + b']' * DEPTH + b'}',
            b'{"x":' * DEPTH + b'1' + b'}' * DEPTH,
        ):
            for type_ in (Known, dict, list):
                with self.assertRaises(decoding.Undecodable):
                    decoding.from_json(data, type_)

    def test_nested_msgpack_is_undecodable(self):
        with self.assertRaises(decoding.Undecodable):
            decoding.from_msgpack(b'\x91' * DEPTH + b'\x01')

    def test_numbers_out_of_range_are_undecodable(self):
        for number in (b'1e999', b'9' * 9_000, b'1.5'):
            with self.assertRaises(decoding.Undecodable):
                decoding.from_json(b'{"count":' + number + b'}', Known)

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(strategies.binary(max_size=100))
    def test_no_bytes_raise_anything_else(self, data):
        for decode in (decoding.from_json, decoding.from_msgpack):
            for type_ in (Known, dict):
                try:
                    decode(data, type_)
                except decoding.Undecodable:
                    pass
