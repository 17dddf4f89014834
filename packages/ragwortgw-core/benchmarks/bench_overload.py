"""Plays overload in a deployment with long answers.

Its urgent kinds of requests have much time, and its least urgent one has
little. Compares what callers get from the gateway with what they get if it
refuses nobody, refuses by the sum of the work of a server, by rank alone,
or treats all kinds alike.
"""

import sys
from typing import Any

from ragwortgw_fakes import gateway_simulation
from ragwortgw_gateway import shares

from benchmarks import report

SIZE = gateway_simulation.LONG_ANSWERS
#: Longer than the time over which rates of service are averaged.
DURATION_MS = 24_000
SEEDS = (1, 2)
#: Part of the runners' time that the least work of all requests takes:
#: there is room, a third too much, twice as much as can be done.
ROOM = 0.65
OVERLOADS = (1.3, 2.0)
GATEWAY = 'gateway'
RANK_ALONE = 'rank alone'
BASELINES = (
    'refuse nothing',
    'serial work',
    RANK_ALONE,
    'first come first served',
)
COLUMNS = ('benefit', 'served', 'on_time', 'weak', 'refused', 'unserved')
#: What an urgent kind gets at least of what it gets by rank alone.
URGENT_FRACTION = 0.9


def measure(utilisation: float) -> list[dict[str, Any]]:
    """Simulates all policies at one load.

    Args:
      utilisation: Part of the runners' time that the least work takes.
    Returns: A row for each policy, with means over SEEDS.
    """
    load = gateway_simulation.load_for(utilisation, SIZE, DURATION_MS)
    rows = []
    for name in (GATEWAY, *BASELINES):
        figures = gateway_simulation.mean(
            [
                gateway_simulation.simulate(
                    name, load, DURATION_MS, SIZE, seed
                )
                for seed in SEEDS
            ]
        )
        row: dict[str, Any] = {'utilisation': utilisation, 'policy': name}
        row |= {column: getattr(figures, column) for column in COLUMNS}
        for kind in SIZE.kinds:
            row[f'{kind.name} served'] = figures.served_by_kind[kind.name]
            row[f'{kind.name} benefit'] = figures.benefit_by_kind[kind.name]
        rows.append(row)
    return rows


def bounds(rows: list[dict[str, Any]]) -> list[report.Bound]:
    """Returns the bounds, all of them on the gateway."""
    found = []
    for utilisation in (ROOM, *OVERLOADS):
        by_policy = {
            row['policy']: row
            for row in rows
            if row['utilisation'] == utilisation
        }
        own = by_policy[GATEWAY]
        if utilisation == ROOM:
            found.append(
                report.Bound(
                    f'refused at {utilisation}', own['refused'], high=0.0
                )
            )
        for name in BASELINES:
            found.append(
                report.Bound(
                    f'gateway / {name} at {utilisation}',
                    own['benefit'] / max(by_policy[name]['benefit'], 1e-9),
                    low=1.0,
                )
            )
        if utilisation != ROOM:
            found += _kind_bounds(utilisation, own, by_policy[RANK_ALONE])
    return found


def _kind_bounds(
    utilisation: float, own: dict[str, Any], by_rank: dict[str, Any]
) -> list[report.Bound]:
    """Returns the bounds on the kinds of requests under overload."""
    kept = shares.KEPT_FRACTION * own['served']
    found = [
        report.Bound(
            f'{kind.name} served / share kept at {utilisation}',
            own[f'{kind.name} served'] / kept,
            low=1.0,
        )
        for kind in SIZE.kinds
    ]
    least_urgent = max(kind.rank for kind in SIZE.kinds)
    for kind in SIZE.kinds:
        if kind.rank < least_urgent:
            column = f'{kind.name} benefit'
            found.append(
                report.Bound(
                    f'{column} / by rank alone at {utilisation}',
                    own[column] / by_rank[column],
                    low=URGENT_FRACTION,
                )
            )
    return found


def main() -> int:
    """Simulates all policies at all loads."""
    rows = [row for each in (ROOM, *OVERLOADS) for row in measure(each)]
    return report.show('overload', rows, bounds(rows))


if __name__ == '__main__':
    sys.exit(main())
