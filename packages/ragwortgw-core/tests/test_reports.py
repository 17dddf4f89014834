"""Tests of the tables that queries show."""

import unittest

from ragwortgw_core import platform
from ragwortgw_core import reports

ODD_PAGES = (b'\xff', b'{}', b'[' * 5_000 + b']' * 5_000)


class MergeCommandsTest(unittest.TestCase):
    def test_pages_that_can_not_be_read_hide_no_commands(self):
        # One such page left every query of the audit without an answer.
        newest = [{'revision': 7}, {'revision': 3}]
        found = tuple(
            platform.Found(f'audit/{number}', value, 1)
            for number, value in enumerate(ODD_PAGES)
        )
        listed = platform.Listed('audit/', found, 1)
        merged = reports.merge_commands(listed, newest)
        self.assertEqual([3, 7], [each['revision'] for each in merged])
