"""Tests of the typed failures."""

import unittest

from ragwortgw_core import errors


class ProblemTest(unittest.TestCase):
    def test_problem_has_type_status_and_execution(self):
        document = errors.problem(errors.Overloaded(retry_after_ms=250))
        self.assertEqual('urn:ragwortgw:problem:overloaded', document['type'])
        self.assertEqual(503, document['status'])
        self.assertEqual('no', document['ran'])
        self.assertEqual(250, document['retry_after_ms'])

    def test_field_overrides_the_default_of_ran(self):
        document = errors.problem(errors.DeadlineExceeded(7, 'no'))
        self.assertEqual('no', document['ran'])
        self.assertEqual('deadline_ms: 7', document['detail'])

    def test_failure_types_are_registered_by_slug(self):
        self.assertIs(errors.Overloaded, errors.by_slug['overloaded'])
