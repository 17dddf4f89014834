"""Measures the retry budget in an outage and the rate limit over entries.

The first rows count attempts per request with and without the retry
budget: a failed request is retried at once, with MAX_ATTEMPTS attempts in
all, and a fraction of the attempts fails during the outage. The others
count how many of an organisation's requests are admitted if they are
spread over the entries unevenly.
"""

import random
import sys
from typing import Any

from returns.result import Success

from ragwortgw_core import documents
from ragwortgw_core import events
from ragwortgw_core import limits

from benchmarks import report

MAX_ATTEMPTS = 4
REQUESTS = 20_000
REQUESTS_PER_S = 100
#: First request of the outage, and the first after it.
OUTAGE = (5_000, 15_000)
FAILURE_FRACTIONS = (0.02, 0.5, 1.0)
ENTRIES = 4
RATE = 50.0


def run_retries(failure_fraction: float, budgeted: bool) -> dict[str, Any]:
    """Counts attempts while a fraction of them fails.

    Args:
      failure_fraction: Fraction of attempts that fail in the outage.
      budgeted: Whether retries are limited by the retry budget.
    Returns: The row of the table.
    """
    rng = random.Random(0)
    budget = limits.RetryBudget()
    attempts = outage_attempts = succeeded = 0
    for request_number in range(REQUESTS):
        stamp = events.Stamp(request_number * 1_000 // REQUESTS_PER_S, 0)
        is_outage = OUTAGE[0] <= request_number < OUTAGE[1]
        budget.on_request(stamp)
        for attempt in range(MAX_ATTEMPTS):
            if attempt and budgeted and not budget.allow(stamp):
                break
            attempts += 1
            outage_attempts += is_outage
            if not is_outage or rng.random() >= failure_fraction:
                succeeded += 1
                break
    return {
        'measure': f'retries, {failure_fraction:.0%} failing',
        'policy': 'budget' if budgeted else 'no budget',
        'attempts': attempts / REQUESTS,
        'attempts_in_outage': outage_attempts / (OUTAGE[1] - OUTAGE[0]),
        'succeeded': succeeded / REQUESTS,
    }


def run_rate(offered: float, skew: float) -> dict[str, Any]:
    """Counts how many of an organisation's requests the entries admit.

    Args:
      offered: Requests of the organisation, a second.
      skew: Factor by which each entry gets more requests than the next.
    Returns: The row of the table.
    """
    rng = random.Random(0)
    limits_by_entry = [limits.OrganisationLimits() for _ in range(ENTRIES)]
    organisation = documents.Organisation(
        id='a',
        permits=[],
        rate=RATE,
        burst=RATE,
        concurrency=10**6,
        weight=1.0,
    )
    weights = [skew**-rank for rank in range(ENTRIES)]
    admitted = 0
    count = round(offered * 60)
    for request_number in range(count):
        stamp = events.Stamp(round(request_number * 1_000 / offered), 0)
        entry = rng.choices(range(ENTRIES), weights)[0]
        result = limits_by_entry[entry].admit(organisation, ENTRIES, stamp)
        admitted += isinstance(result, Success)
    return {
        'measure': f'rate, {offered / RATE:.1f} of it offered',
        'policy': f'each entry {skew:g} times the next',
        'attempts': admitted / 60 / RATE,
        'attempts_in_outage': 0.0,
        'succeeded': admitted / count,
    }


def main() -> int:
    """Runs the benchmark and returns the exit status."""
    rows = []
    bounds = []
    for failure_fraction in FAILURE_FRACTIONS:
        for budgeted in (False, True):
            rows.append(run_retries(failure_fraction, budgeted))
        bounds.append(
            report.Bound(
                f'attempts with {failure_fraction:.0%} failing',
                rows[-1]['attempts_in_outage'],
                high=1.12,
            )
        )
    for offered in (0.8, 2.0):
        for skew in (1.0, 2.0):
            row = run_rate(RATE * offered, skew)
            rows.append(row)
            # The burst allowance of the previous minute may still be spent.
            bounds.append(
                report.Bound(row['measure'], row['attempts'], high=1.05)
            )
    return report.show('limits', rows, bounds)


if __name__ == '__main__':
    sys.exit(main())
