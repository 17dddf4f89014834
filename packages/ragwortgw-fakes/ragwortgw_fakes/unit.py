"""Runs a package's unit tests; known failures are passed over by name.

The file of known failures names a test in a line of its own, such as
'Test: ragwortgw-gateway tests.test_routes.MatchTest.test_longest_prefix'.
Such a test runs like the others and has to fail: one that passes, or that
does not exist, fails the run.
"""

from collections.abc import Iterator
import pathlib
import re
import sys
import unittest

#: Package and dotted name of a test that is known to fail.
KNOWN_TEST = re.compile(r'\s*Test: (\S+) (\S+)\s*')
FAILED_STATUS = 1


def read_known_tests(text: str, package: str) -> frozenset[str]:
    """Returns the tests of one package that are known to fail.

    Args:
      text: Content of the file of known failures.
      package: Name of the package.
    Returns: Dotted names of the tests.
    """
    matches = map(KNOWN_TEST.fullmatch, text.splitlines())
    return frozenset(
        match[2] for match in matches if match and match[1] == package
    )


def expect_failures(
    tests: unittest.TestSuite, known_tests: frozenset[str]
) -> frozenset[str]:
    """Marks the tests that are known to fail.

    Args:
      tests: The tests of a package.
      known_tests: Dotted names of those that are known to fail.
    Returns: The names to which there is no test.
    """
    missing = set(known_tests)
    for test in _flatten(tests):
        if test.id() in known_tests:
            missing.discard(test.id())
            # The mark that unittest.expectedFailure sets.
            test.__unittest_expecting_failure__ = True  # type: ignore
    return frozenset(missing)


def _flatten(tests: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in tests:
        if isinstance(test, unittest.TestSuite):
            yield from _flatten(test)
        else:
            yield test


def main(*, package: str, known: str) -> None:
    """Runs the tests below the working directory.

    Args:
      package: Name of the package.
      known: Path of the file of known failures.
    """
    tests = unittest.defaultTestLoader.discover('tests', top_level_dir='.')
    text = pathlib.Path(known).read_text(encoding='utf-8')
    known_tests = read_known_tests(text, package)
    missing = expect_failures(tests, known_tests)
    for name in sorted(known_tests):
        sys.stderr.write(f'known to fail: {package} {name}\n')
    for name in sorted(missing):
        sys.stderr.write(f'{known} names no test: {package} {name}\n')
    result = unittest.TextTestRunner(verbosity=0).run(tests)
    if missing or not result.wasSuccessful():
        sys.exit(FAILED_STATUS)
