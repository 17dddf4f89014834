"""Shows answers as text tables or JSON."""

from collections.abc import Sequence
from typing import Any

import msgspec

GAP = '  '
LISTS = ('allowed_by', 'changes')


def as_json(body: dict[str, Any]) -> str:
    """Renders an answer as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(body), indent=2).decode()


def as_text(body: dict[str, Any]) -> str:
    """Renders an answer as a table, or as one line for each field."""
    if 'columns' in body:
        return as_table(body['columns'], body['rows'])
    lines = [
        f'{name}: {show(value)}'
        for name, value in body.items()
        if name not in LISTS
    ]
    for name in LISTS:
        lines += as_list(name, body.get(name, []))
    return '\n'.join(lines)


def as_list(name: str, values: Sequence[Any]) -> list[str]:
    """Renders a field that is a list, one line for each value."""
    if not values:
        return []
    if not isinstance(values[0], dict):
        return [f'{name}:', *(f'  {show(value)}' for value in values)]
    columns = list(values[0])
    rows = [[value[column] for column in columns] for value in values]
    return [f'{name}:', *as_table(columns, rows).splitlines()]


def as_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Renders columns and rows as aligned text."""
    cells = [[show(cell) for cell in row] for row in rows]
    widths = [
        max(len(line[index]) for line in [list(columns), *cells])
        for index in range(len(columns))
    ]
    lines = [list(columns), *cells]
    return '\n'.join(
        GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )


def show(value: Any) -> str:
    """Renders one value."""
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.10g}'
    if isinstance(value, list | dict):
        return msgspec.json.encode(value).decode()
    return str(value)


def as_problem(body: dict[str, Any], text: str) -> str:
    """Renders a refusal, pointing at the column where there is one."""
    lines = [f'{body.get("title", "refused")}: {body.get("detail", "")}']
    column = body.get('column', 0)
    if column:
        lines = [text, ' ' * (column - 1) + '^', *lines]
    if body.get('suggestion'):
        lines.append(f'did you mean {body["suggestion"]!r}?')
    return '\n'.join(lines)
