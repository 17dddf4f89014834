"""Tests of addresses."""

import unittest

from ragwortgw_core import addresses


class ParseTest(unittest.TestCase):
    def test_ip_and_port(self):
        self.assertEqual(('10.0.0.1', 8080), addresses.parse('10.0.0.1:8080'))
        self.assertEqual(65_535, addresses.parse('10.0.0.1:65535').port)

    def test_anything_else_is_no_address(self):
        for text in (
            '',
            ':',
            '10.0.0.1',
            '10.0.0.1:',
            ':80',
            '10.0.0.1:0',
            '10.0.0.1:65536',
            '10.0.0.1:-1',
            '10.0.0.1:+80',
            '10.0.0.1:8 0',
            '10.0.0.1:٣',
            '10.0.0.1:' + '9' * 5_000,
            '10.0.0.256:80',
            'localhost:80',
            f'{"x" * 300}:80',
            '10.0.0.1\r\nX: y:80',
            '\ud800:80',
        ):
            with self.subTest(text):
                self.assertIsNone(addresses.parse(text))
