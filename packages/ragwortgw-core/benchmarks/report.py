"""Prints the results of a benchmark and checks their bounds."""

from collections.abc import Mapping
from collections.abc import Sequence
import sys
from typing import Any, NamedTuple

import msgspec


class Bound(NamedTuple):
    """A range that a figure must lie in.

    Args:
      name: Name in the output.
      value: The figure.
      low: Lowest value allowed, or None.
      high: Highest value allowed, or None.
    """

    name: str
    value: float
    low: float | None = None
    high: float | None = None

    def holds(self) -> bool:
        """Returns whether the figure lies in the range."""
        if self.low is not None and self.value < self.low:
            return False
        return self.high is None or self.value <= self.high


def show(
    name: str, rows: Sequence[Mapping[str, Any]], bounds: Sequence[Bound]
) -> int:
    """Prints the figures as a table and as JSON, and the bounds.

    Args:
      name: Name of the benchmark.
      rows: Figures by column; all rows have the same columns.
      bounds: The bounds.
    Returns: The exit status: 1 if a bound does not hold, else 0.
    """
    columns = list(rows[0])
    cells = [[_format(row[column]) for column in columns] for row in rows]
    widths = [
        max(len(row_cells[index]) for row_cells in [columns, *cells])
        for index in range(len(columns))
    ]
    print(f'# {name}')
    for row_cells in [columns, *cells]:
        padded = [cell.ljust(width) for cell, width in zip(row_cells, widths)]
        print('  '.join(padded).rstrip())
    exceeded = [bound for bound in bounds if not bound.holds()]
    for bound in bounds:
        state = 'kept' if bound.holds() else 'BROKEN'
        limits = f'low={bound.low} high={bound.high}'
        print(f'{state}: {bound.name} = {bound.value:.4g} ({limits})')
    document = {
        'benchmark': name,
        'rows': [dict(row) for row in rows],
        'bounds': [
            {**bound._asdict(), 'kept': bound.holds()} for bound in bounds
        ],
    }
    sys.stdout.write(msgspec.json.encode(document).decode() + '\n')
    return 1 if exceeded else 0


def _format(value: Any) -> str:
    return f'{value:.4g}' if isinstance(value, float) else str(value)
