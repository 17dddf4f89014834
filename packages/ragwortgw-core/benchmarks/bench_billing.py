"""Measures the platform writes that billing costs, by size of the fleet.

Run from packages/ragwortgw-core: python -m benchmarks.bench_billing
A few simulated entries stand for the fleet: each flushes its bills at the
interval that applies to the full fleet, and the counts are extrapolated.
The exit status is 1 if a bound is exceeded.
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
    """A fleet of entries.

    Args:
      entries: Number of entries.
      requests_per_s: Billed requests of all entries together, a second.
    """

    entries: int
    requests_per_s: float


FLEETS = (Fleet(3, 50.0), Fleet(3, 500.0), Fleet(360, 13_000.0))


class BillingCost(NamedTuple):
    """What it costs a fleet to record its bills.

    Args:
      writes_per_s: Platform writes of all entries, a second.
      writes_per_1000_bills: Platform writes for 1,000 bills.
      mean_waiting: Mean number of bills that wait in one entry.
      stored: Values that the platform holds at the end.
    """

    writes_per_s: float
    writes_per_1000_bills: float
    mean_waiting: float
    stored: int


def measure(fleet: Fleet) -> BillingCost:
    """Measures a fleet by running a few of its entries in virtual time.

    Args:
      fleet: The fleet.
    Returns: The cost, extrapolated to all entries.
    """
    world = platform_model.World(SEED, rtt_ms=RTT_MS)
    sample = min(SAMPLE_ENTRIES, fleet.entries)
    entries = []
    for number in range(sample):
        process = world.process(f'e{number}')
        buffer = billing.new_bill_buffer(process.calls)
        buffer.set_entry_count(fleet.entries)
        process.components.append(buffer)
        entries.append((process, buffer))
    entry_requests_per_s = fleet.requests_per_s / fleet.entries
    bills_added = [0] * sample
    waiting_counts = []
    for elapsed_ms in range(100, DURATION_MS + 100, 100):
        for number, (process, buffer) in enumerate(entries):
            while (
                bills_added[number] < entry_requests_per_s * elapsed_ms / 1000
            ):
                bill = requests.Bill(
                    f'inc{number}-{bills_added[number]}',
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
                process.do(
                    lambda stamp, b=buffer, added=bill: b.add(stamp, added)
                )
                bills_added[number] += 1
            waiting_counts.append(buffer.pending_count())
        world.run(100)
    writes = world.platform.counts_by_call['Put']
    return BillingCost(
        writes_per_s=writes * 1000 / DURATION_MS * fleet.entries / sample,
        writes_per_1000_bills=1000 * writes / sum(bills_added),
        mean_waiting=sum(waiting_counts) / len(waiting_counts),
        stored=len(world.platform.values_by_key),
    )


def main() -> int:
    """Prints a line for each fleet and returns the exit status."""
    exceeded = 0
    print('entries requests/s writes/s writes/1000 bills waiting/entry')
    for fleet in FLEETS:
        cost = measure(fleet)
        print(
            f'{fleet.entries:7} {fleet.requests_per_s:10g} '
            f'{cost.writes_per_s:8.1f} '
            f'{cost.writes_per_1000_bills:17.1f} '
            f'{cost.mean_waiting:13.1f}'
        )
        exceeded += cost.writes_per_s > MAX_FLEET_WRITES_PER_S
    return 1 if exceeded else 0


if __name__ == '__main__':
    sys.exit(main())
