"""Hypothesis settings: fixed examples in CI, more of them in a soak run."""

import os

import hypothesis

#: Multiplies the number of examples in a soak run; 0 in CI.
SOAK_FACTOR = int(os.environ.get('SOAK_FACTOR', '0'))


def settings(max_examples=100):
    """Builds the settings of a property test.

    Args:
      max_examples: Number of examples in CI, where they are always the
        same.
    Returns: The settings; with SOAK_FACTOR set, the examples are random
      and SOAK_FACTOR times as many.
    """
    return hypothesis.settings(
        derandomize=not SOAK_FACTOR,
        max_examples=max_examples * max(SOAK_FACTOR, 1),
        deadline=None,
    )
