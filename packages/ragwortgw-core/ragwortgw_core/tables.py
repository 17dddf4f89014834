"""Tables that answer queries, and the clauses of queries on them.

A table can be filtered, grouped, sorted and limited.
"""

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
    """Rows of cells under named columns.

    Args:
      columns: Names of the columns.
      rows: Rows, each with one cell per column.
    """

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
    """Builds a table from any sequences."""
    return Table(tuple(columns), tuple(tuple(row) for row in rows))


def apply_query(
    query: language.Show, complete: Table
) -> Result[Table, errors.BadOrder]:
    """Applies the clauses of a query to the table of its subject.

    Args:
      query: The query.
      complete: All rows of the subject.
    Returns: The selected rows, or the failure for an unknown column.
    """
    unknown = unknown_column(query, complete)
    if unknown is not None:
        return Failure(unknown)
    selected = complete
    for condition in query.conditions:
        selected = filter_rows(selected, condition)
    if query.group:
        selected = group_rows(selected, [word.text for word in query.group])
    if query.order is not None:
        if query.order.text not in selected.columns:
            return Failure(
                object_properties.unknown_word(
                    'column', query.order, selected.columns
                )
            )
        selected = sort_rows(selected, query.order.text, query.descending)
    if query.limit:
        selected = selected._replace(rows=selected.rows[: query.limit])
    return Success(selected)


def unknown_column(
    query: language.Show, complete: Table
) -> errors.BadOrder | None:
    """Returns the failure for the first unknown column, or None.

    The column to sort by is not checked, since grouping changes columns.
    """
    words = [condition.field for condition in query.conditions]
    for word in [*words, *query.group]:
        if word.text not in complete.columns:
            return object_properties.unknown_word(
                'column', word, complete.columns
            )
    return None


def filter_rows(source: Table, condition: language.Condition) -> Table:
    """Returns the rows that meet a condition."""
    index = source.columns.index(condition.field.text)
    compare = comparisons_by_operator[condition.operator]
    rows = [
        row
        for row in source.rows
        if matches(row[index], compare, condition.value.text)
    ]
    return new_table(source.columns, rows)


def matches(
    cell: Cell, compare: Callable[[Any, Any], bool], value: str
) -> bool:
    """Compares a cell with the value of a condition.

    A numeric cell never matches a value that is not a number; booleans
    are compared as 'true' and 'false', whatever the case.
    """
    if isinstance(cell, bool):
        return compare(str(cell).lower(), value.lower())
    if isinstance(cell, str):
        return compare(cell, value)
    try:
        return compare(cell, float(value))
    except ValueError:
        return False


def group_rows(source: Table, names: list[str]) -> Table:
    """Groups rows by columns, with row counts and sums of numeric columns."""
    key_indexes = [source.columns.index(name) for name in names]
    numeric_indexes = [
        index
        for index, name in enumerate(source.columns)
        if name not in names and is_numeric(source, index)
    ]
    sums_by_key: dict[tuple[Cell, ...], list[Any]] = {}
    for row in source.rows:
        key = tuple(row[index] for index in key_indexes)
        sums = sums_by_key.setdefault(key, [0] * (len(numeric_indexes) + 1))
        sums[0] += 1
        for place, index in enumerate(numeric_indexes, start=1):
            sums[place] += row[index]
    columns = [*names, COUNT_COLUMN]
    columns += [source.columns[index] for index in numeric_indexes]
    rows = [[*key, *sums] for key, sums in sorted(sums_by_key.items())]
    return new_table(columns, rows)


def is_numeric(source: Table, index: int) -> bool:
    """Returns whether all cells of a column are numbers.

    That includes a column without rows, so that a query on it does not
    fail depending on the data.
    """
    return all(
        isinstance(row[index], int | float)
        and not isinstance(row[index], bool)
        for row in source.rows
    )


def sort_rows(source: Table, name: str, descending: bool) -> Table:
    """Sorts rows by one column."""
    index = source.columns.index(name)
    rows = sorted(source.rows, key=lambda row: row[index], reverse=descending)
    return new_table(source.columns, rows)


def to_document(source: Table) -> dict[str, Any]:
    """Converts a table to plain values for JSON."""
    return {'columns': list(source.columns), 'rows': list(source.rows)}
