"""Tests of the parser of the operators' language."""

import unittest

from returns.result import Failure

from ragwortgw_core import language


def parse(text):
    """Parses a valid statement."""
    return language.parse(text).unwrap()


class ParseTest(unittest.TestCase):
    def test_query_with_all_clauses(self):
        query = parse(
            'show cost where organisation = litoral and cost_micros >= 5'
            ' by model, day order by cost_micros desc limit 3;'
        )
        self.assertEqual('cost', query.subject.text)
        self.assertEqual(
            [('organisation', '=', 'litoral'), ('cost_micros', '>=', '5')],
            [
                (c.field.text, c.operator, c.value.text)
                for c in query.conditions
            ],
        )
        self.assertEqual(['model', 'day'], [w.text for w in query.group])
        self.assertEqual(
            ('cost_micros', True, 3),
            (query.order.text, query.descending, query.limit),
        )

    def test_query_without_clauses(self):
        query = parse('show backends')
        self.assertEqual(((), (), None, False, language.NO_LIMIT), query[1:])

    def test_orders_with_implied_kinds(self):
        order = parse('rollout proof to v2 from v1 steps 10%, 100%')
        self.assertEqual(('rollout', 'proof'), (order.verb, order.name.text))
        self.assertEqual(
            {'to': ['v2'], 'baseline': ['v1'], 'steps': ['10%', '100%']},
            {
                p.name.text: [v.text for v in p.values]
                for p in order.properties
            },
        )
        withdrawal = parse('withdraw proof@v2 reason "two words"')
        self.assertEqual('two words', withdrawal.properties[0].values[0].text)
        self.assertEqual((), parse('withdraw proof@v2').properties)

    def test_comments_and_whitespace_are_ignored(self):
        self.assertEqual('a', parse('  drain a  # later').name.text)

    def test_failures_have_column_and_suggestion(self):
        for text, column, suggestion, reason in (
            ('shwo backends', 1, 'show', "unexpected 'shwo'"),
            ('show cost were a = 1', 11, 'where', "unexpected 'were'"),
            ('show cost limit 0', 17, '', 'whole number above 0'),
            ('show cost limit many', 17, '', 'whole number above 0'),
            ('show', 5, '', 'ends early'),
            ('', 1, '', 'ends early'),
            ('drain "a', 7, '', 'unexpected character'),
            ('rollout proof too v2', 15, 'to', "unexpected 'too'"),
        ):
            with self.subTest(text):
                failed = language.parse(text)
                self.assertIsInstance(failed, Failure)
                failure = failed.failure()
                self.assertEqual(
                    (column, suggestion),
                    (failure.column, failure.suggestion),
                    failure,
                )
                self.assertIn(reason, failure.reason)


class AlternativesTest(unittest.TestCase):
    def test_alternatives_are_joined_with_or(self):
        self.assertEqual('', language.join_alternatives([]))
        self.assertEqual('a', language.join_alternatives(['a']))
        self.assertEqual(
            'a, b or c', language.join_alternatives(['a', 'b', 'c'])
        )
