"""Tests of filters, groups and order of rows."""

import unittest

from returns.result import Failure

from ragwortgw_core import language
from ragwortgw_core import tables

WHOLE = tables.new_table(
    ('version', 'zone', 'running', 'healthy'),
    [
        ('a@1', 'z1', 3, True),
        ('a@2', 'z1', 10, False),
        ('b@1', 'z2', 2, True),
    ],
)


def run(text):
    """Applies a query to the table."""
    return tables.apply_query(language.parse(text).unwrap(), WHOLE)


def rows(text):
    """Returns the rows of a query that must be right."""
    return [list(row) for row in run(text).unwrap().rows]


class TableTest(unittest.TestCase):
    def test_conditions(self):
        for clause, versions in (
            ('zone = z1', ['a@1', 'a@2']),
            ('zone != z1', ['b@1']),
            ('running > 2', ['a@1', 'a@2']),
            ('running <= 2.0', ['b@1']),
            ('healthy = TRUE', ['a@1', 'b@1']),
            ('running = many', []),
            ('zone = z1 and running >= 10', ['a@2']),
        ):
            with self.subTest(clause):
                found = rows(f'show it where {clause}')
                self.assertEqual(versions, [row[0] for row in found])

    def test_groups_count_and_add_up(self):
        found = run('show it by zone').unwrap()
        self.assertEqual(('zone', 'count', 'running'), found.columns)
        self.assertEqual((('z1', 2, 13), ('z2', 1, 2)), found.rows)

    def test_order_and_limit(self):
        found = rows('show it order by running desc limit 2')
        self.assertEqual([10, 3], [row[2] for row in found])
        found = rows('show it by zone order by count')
        self.assertEqual(['z2', 'z1'], [row[0] for row in found])

    def test_group_of_no_rows(self):
        self.assertEqual([], rows('show it where zone = z9 by zone'))
        self.assertEqual(
            [], rows('show it where zone = z9 by zone order by count')
        )

    def test_sums_of_no_rows_can_be_ordered_by(self):
        text = 'show it where zone = z9 by zone order by running'
        self.assertEqual([], rows(text))

    def test_unknown_columns_are_suggested(self):
        for text, column, suggestion in (
            ('show it where zon = z1', 15, 'zone'),
            ('show it by zone, helthy', 18, 'healthy'),
            ('show it order by runing', 18, 'running'),
            ('show it by zone order by version', 26, ''),
        ):
            with self.subTest(text):
                failed = run(text)
                self.assertIsInstance(failed, Failure)
                self.assertEqual(column, failed.failure().column)
                self.assertEqual(suggestion, failed.failure().suggestion)
