"""Tests of the runner that passes over known failures."""

import io
import unittest

from ragwortgw_fakes import unit

KNOWN = """Red, and not part of CI.

1. A limit is not kept
   Test: ragwortgw-core tests.test_limits.LimitTest.test_one
   Test: ragwortgw-wire tests.test_frames.FrameTest.test_two
"""


class Sample(unittest.TestCase):
    """Tests that only run() runs: discovery skips names without 'test'."""

    def passes(self):
        """Passes."""

    def fails(self):
        """Fails."""
        self.fail('always')


def run(*methods, known=()):
    """Runs samples, of which some are known to fail.

    Returns: The result, and the known tests that do not exist.
    """
    suite = unittest.TestSuite(
        [unittest.TestSuite(Sample(name) for name in methods)]
    )
    names = frozenset(f'{__name__}.Sample.{name}' for name in known)
    missing = unit.expect_failures(suite, names)
    runner = unittest.TextTestRunner(stream=io.StringIO())
    return runner.run(suite), missing


class KnownTestsTest(unittest.TestCase):
    def test_names_of_the_package_are_read(self):
        self.assertEqual(
            unit.read_known_tests(KNOWN, 'ragwortgw-core'),
            {'tests.test_limits.LimitTest.test_one'},
        )

    def test_known_failure_is_passed_over(self):
        result, missing = run('passes', 'fails', known=('fails',))
        self.assertTrue(result.wasSuccessful())
        self.assertEqual(len(result.expectedFailures), 1)
        self.assertFalse(missing)

    def test_other_failure_fails_the_run(self):
        result, _ = run('fails', known=('passes',))
        self.assertFalse(result.wasSuccessful())

    def test_known_failure_that_passes_fails_the_run(self):
        result, _ = run('passes', known=('passes',))
        self.assertFalse(result.wasSuccessful())

    def test_name_without_a_test_is_reported(self):
        _, missing = run('passes', known=('gone',))
        self.assertEqual(missing, {f'{__name__}.Sample.gone'})
