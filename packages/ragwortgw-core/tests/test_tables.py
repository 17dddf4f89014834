"""Tests of filtering, grouping, sorting and limiting tables."""

import unittest

from returns.result import Failure

from ragwortgw_core import language
from ragwortgw_core import tables

TABLE = tables.new_table(
    ('version', 'zone', 'running', 'healthy'),
    [
        ('a@1', 'z1', 3, True),
        ('a@2', 'z1', 10, False),
        ('b@1', 'z2', 2, True),
    ],
)


def run(text):
    """Applies a query to TABLE."""
    return tables.apply_query(language.parse(text).unwrap(), TABLE)


def rows(text):
    """Returns the rows that a valid query selects."""
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
                selected = rows(f'show it where {clause}')
                self.assertEqual(versions, [row[0] for row in selected])

    def test_groups_have_row_counts_and_sums(self):
        grouped = run('show it by zone').unwrap()
        self.assertEqual(('zone', 'count', 'running'), grouped.columns)
        self.assertEqual((('z1', 2, 13), ('z2', 1, 2)), grouped.rows)

    def test_order_and_limit(self):
        selected = rows('show it order by running desc limit 2')
        self.assertEqual([10, 3], [row[2] for row in selected])
        selected = rows('show it by zone order by count')
        self.assertEqual(['z2', 'z1'], [row[0] for row in selected])

    def test_grouping_no_rows_gives_no_rows(self):
        self.assertEqual([], rows('show it where zone = z9 by zone'))
        self.assertEqual(
            [], rows('show it where zone = z9 by zone order by count')
        )

    def test_sums_of_no_rows_can_be_sorted_by(self):
        text = 'show it where zone = z9 by zone order by running'
        self.assertEqual([], rows(text))

    def test_unknown_columns_get_a_suggestion(self):
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
