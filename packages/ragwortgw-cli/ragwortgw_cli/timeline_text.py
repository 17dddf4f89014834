"""Shows events of the time line as text."""

from collections.abc import Iterable
import datetime
from typing import Any

from ragwortgw_cli import timeline_merge

MS_PER_S = 1_000


def render(lines: Iterable[timeline_merge.Line]) -> str:
    """Renders events one a line: time, process, zone, kind, fields."""
    lines = list(lines)
    width = max((len(line['process']) for line in lines), default=0)
    return '\n'.join(printable(render_line(line, width)) for line in lines)


def render_line(line: timeline_merge.Line, width: int) -> str:
    """Renders one event; width is that of the process's column."""
    return (
        f'{show_time(line["at_ms"])}+{line["order"]:<3}'
        f' {line["process"]:<{width}} {line["zone"]:<8} {line["kind"]:<18}'
        f' {show_fields(line["fields"])}'
    ).rstrip()


def printable(text: str) -> str:
    """Shows control characters, which a file may hold, as escapes."""
    return ''.join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )


def show_time(at_ms: int) -> str:
    """Renders Unix ms as the time of day in UTC, to the ms."""
    at = datetime.datetime.fromtimestamp(at_ms / MS_PER_S, datetime.UTC)
    return at.strftime('%H:%M:%S.') + f'{at_ms % MS_PER_S:03}'


def show_fields(fields: dict[str, Any]) -> str:
    """Renders fields that are not empty as name=value pairs."""
    return ' '.join(
        f'{name}={show_value(value)}'
        for name, value in fields.items()
        if value not in ('', None, [])
    )


def show_value(value: Any) -> str:
    """Renders one value; the members of a list by commas."""
    if isinstance(value, list):
        return ','.join(map(str, value))
    return str(value)
