"""Filters, groups and orders the rows that answer a query."""

from collections.abc import Callable
from collections.abc import Sequence
import operator
from typing import Any, NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import errors
from ragwortgw_core import language
from ragwortgw_core import object_properties

Cell = str | int | float | bool
COUNT_COLUMN = 'count'


class Table(NamedTuple):
    """Named columns and rows of cells in their order."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]


comparisons_by_operator: dict[str, Callable[[Any, Any], bool]] = {
    '=': operator.eq,
    '!=': operator.ne,
    '<': operator.lt,
    '<=': operator.le,
    '>': operator.gt,
    '>=': operator.ge,
}


def new_table(columns: Sequence[str], rows: Sequence[Sequence[Cell]]) -> Table:
    """Makes a table of columns and rows."""
    return Table(tuple(columns), tuple(tuple(row) for row in rows))


def apply_query(
    query: language.Show, whole: Table
) -> Result[Table, errors.BadOrder]:
    """Applies a query's clauses to all rows of its subject.

    Args:
      query: The query.
      whole: All rows of the subject.
    Returns: The rows asked for, or the failure that names a wrong column.
    """
    unknown = unknown_column(query, whole)
    if unknown is not None:
        return Failure(unknown)
    found = whole
    for condition in query.conditions:
        found = filter_rows(found, condition)
    if query.group:
        found = group_rows(found, [word.text for word in query.group])
    if query.order is not None:
        if query.order.text not in found.columns:
            return Failure(
                object_properties.unknown_word(
                    'column', query.order, found.columns
                )
            )
        found = sort_rows(found, query.order.text, query.descending)
    if query.limit:
        found = found._replace(rows=found.rows[: query.limit])
    return Success(found)


def unknown_column(
    query: language.Show, whole: Table
) -> errors.BadOrder | None:
    """Returns the failure of the first column that does not exist."""
    words = [condition.field for condition in query.conditions]
    for word in [*words, *query.group]:
        if word.text not in whole.columns:
            return object_properties.unknown_word(
                'column', word, whole.columns
            )
    return None


def filter_rows(found: Table, condition: language.Condition) -> Table:
    """Keeps the rows that meet a condition."""
    index = found.columns.index(condition.field.text)
    compare = comparisons_by_operator[condition.operator]
    rows = [
        row
        for row in found.rows
        if matches(row[index], compare, condition.value.text)
    ]
    return new_table(found.columns, rows)


def matches(
    cell: Cell, compare: Callable[[Any, Any], bool], written: str
) -> bool:
    """Compares a cell with a value as written; numbers as numbers."""
    if isinstance(cell, bool):
        return compare(str(cell).lower(), written.lower())
    if isinstance(cell, str):
        return compare(cell, written)
    try:
        return compare(cell, float(written))
    except ValueError:
        return False


def group_rows(found: Table, names: list[str]) -> Table:
    """Groups rows by columns; counts them and adds up their numbers."""
    keys = [found.columns.index(name) for name in names]
    numbers = [
        index
        for index, name in enumerate(found.columns)
        if name not in names and is_numeric(found, index)
    ]
    sums_by_key: dict[tuple[Cell, ...], list[Any]] = {}
    for row in found.rows:
        key = tuple(row[index] for index in keys)
        sums = sums_by_key.setdefault(key, [0] * (len(numbers) + 1))
        sums[0] += 1
        for place, index in enumerate(numbers, start=1):
            sums[place] += row[index]
    columns = [*names, COUNT_COLUMN]
    columns += [found.columns[index] for index in numbers]
    rows = [[*key, *sums] for key, sums in sorted(sums_by_key.items())]
    return new_table(columns, rows)


def is_numeric(found: Table, index: int) -> bool:
    """Returns whether all cells of a column are numbers."""
    return all(
        isinstance(row[index], int | float)
        and not isinstance(row[index], bool)
        for row in found.rows
    )


def sort_rows(found: Table, name: str, descending: bool) -> Table:
    """Orders rows by one column."""
    index = found.columns.index(name)
    rows = sorted(found.rows, key=lambda row: row[index], reverse=descending)
    return new_table(found.columns, rows)


def to_document(found: Table) -> dict[str, Any]:
    """Returns a table as plain values for JSON."""
    return {'columns': list(found.columns), 'rows': list(found.rows)}
