"""Counts the service writes that bills cost, for small and large fleets.

Run from packages/ragwortgw-core: python -m benchmarks.bench_billing
A few entries stand for a fleet of any size: each flushes at the interval
of that size. Exit status 1 tells that a bound was exceeded.
"""

import sys
from typing import NamedTuple

from ragwortgw_core import billing
from ragwortgw_core import requests
from tests import platform_model

SEED = 20_261_204
RTT_MS = 4
DURATION_MS = 60_000
SAMPLE_ENTRIES = 4

#: Bounds that must hold for every fleet.
MAX_FLEET_WRITES_PER_S = 200.0


class Fleet(NamedTuple):
    """A number of entries and the requests that all together bill."""

    entries: int
    requests_per_s: float


FLEETS = (Fleet(3, 50.0), Fleet(3, 500.0), Fleet(360, 13_000.0))


class Figures(NamedTuple):
    """What a fleet's bills cost."""

    writes_per_s: float
    writes_per_1000_bills: float
    mean_waiting: float
    stored: int


def measure(fleet: Fleet) -> Figures:
    """Runs a few entries of a fleet in virtual time.

    Args:
      fleet: The fleet that they stand for.
    Returns: The figures, extrapolated to the fleet.
    """
    world = platform_model.World(SEED, rtt_ms=RTT_MS)
    sample = min(SAMPLE_ENTRIES, fleet.entries)
    processes = []
    for number in range(sample):
        process = world.process(f'e{number}')
        book = billing.new_bill_buffer(process.calls)
        book.set_entry_count(fleet.entries)
        process.components.append(book)
        processes.append((process, book))
    per_entry = fleet.requests_per_s / fleet.entries
    made = [0] * sample
    waiting = []
    for elapsed_ms in range(100, DURATION_MS + 100, 100):
        for number, (process, book) in enumerate(processes):
            while made[number] < per_entry * elapsed_ms / 1000:
                bill = requests.Bill(
                    f'inc{number}-{made[number]}',
                    'savinja',
                    'm',
                    'm',
                    'm@1',
                    1,
                    10,
                    20,
                    5,
                    world.now_ms,
                )
                process.do(lambda s, b=book, line=bill: b.add(s, line))
                made[number] += 1
            waiting.append(book.pending_count())
        world.run(100)
    writes = world.platform.counts_by_call['Put']
    return Figures(
        writes_per_s=writes * 1000 / DURATION_MS * fleet.entries / sample,
        writes_per_1000_bills=1000 * writes / sum(made),
        mean_waiting=sum(waiting) / len(waiting),
        stored=len(world.platform.values_by_key),
    )


def main() -> int:
    """Prints a line for each fleet."""
    broken = 0
    print('entries requests/s writes/s writes/1000 bills waiting/entry')
    for fleet in FLEETS:
        figures = measure(fleet)
        print(
            f'{fleet.entries:7} {fleet.requests_per_s:10g} '
            f'{figures.writes_per_s:8.1f} '
            f'{figures.writes_per_1000_bills:17.1f} '
            f'{figures.mean_waiting:13.1f}'
        )
        broken += figures.writes_per_s > MAX_FLEET_WRITES_PER_S
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
