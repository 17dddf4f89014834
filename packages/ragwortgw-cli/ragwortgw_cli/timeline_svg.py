"""Draws events of the time line as one self-contained SVG file."""

from collections.abc import Sequence
from xml.sax import saxutils

from ragwortgw_cli import timeline_merge
from ragwortgw_cli import timeline_text

LEFT_PX = 150
TOP_PX = 50
LANE_PX = 260
ROW_PX = 18
DOT_RADIUS_PX = 4
FONT = 'font-family="monospace" font-size="11"'
COLOURS_BY_ROLE = {'entry': '#1f5fa8', 'agent': '#2e7d32'}
OTHER_COLOUR = '#555555'
ENGINE_PREFIX = 'engine-'
LABEL_FIELDS = ('version', 'failure', 'reason')


def render(lines: Sequence[timeline_merge.Line]) -> str:
    """Draws one lane for each process and one row for each event.

    A backend server has a lane of its own beside that of its agent.

    Args:
      lines: Events in order.
    Returns: The SVG document.
    """
    lanes = list(dict.fromkeys(lane_of(line) for line in lines))
    width = LEFT_PX + LANE_PX * max(len(lanes), 1)
    height = TOP_PX + ROW_PX * (len(lines) + 1)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}"'
        f' height="{height}" {FONT}>',
        f'<rect width="{width}" height="{height}" fill="white"/>',
    ]
    parts += [
        draw_lane(lane, place, height) for place, lane in enumerate(lanes)
    ]
    parts += draw_links(lines, lanes)
    parts += [
        draw_event(line, lanes.index(lane_of(line)), row)
        for row, line in enumerate(lines)
    ]
    return '\n'.join([*parts, '</svg>\n'])


def lane_of(line: timeline_merge.Line) -> str:
    """Names the lane of an event."""
    if line['kind'].startswith(ENGINE_PREFIX):
        return f'engine of {line["process"]}'
    return line['process']


def label_of(line: timeline_merge.Line) -> str:
    """Returns the text beside an event."""
    shown = [str(line['fields'].get(name, '')) for name in LABEL_FIELDS]
    return ' '.join([line['kind'], *filter(None, shown)])


def lane_x(place: int) -> int:
    """Returns the horizontal position of a lane, in px."""
    return LEFT_PX + LANE_PX * place


def row_y(row: int) -> int:
    """Returns the vertical position of an event, in px."""
    return TOP_PX + ROW_PX * row


def escape(text: str) -> str:
    """Makes text fit for XML, which allows no control characters."""
    return saxutils.escape(timeline_text.printable(text))


def draw_lane(process: str, place: int, height: int) -> str:
    """Draws the head and line of a process."""
    x = lane_x(place)
    name = escape(process)
    return (
        f'<text x="{x}" y="20" font-weight="bold">{name}</text>'
        f'<line x1="{x}" y1="30" x2="{x}" y2="{height}" stroke="#ccc"/>'
    )


def draw_links(
    lines: Sequence[timeline_merge.Line], lanes: Sequence[str]
) -> list[str]:
    """Draws a line between successive events of an attempt."""
    last_by_attempt: dict[str, tuple[int, int]] = {}
    parts = []
    for row, line in enumerate(lines):
        attempt = line['fields'].get('attempt')
        if not attempt:
            continue
        x, y = lane_x(lanes.index(lane_of(line))), row_y(row)
        if attempt in last_by_attempt:
            before_x, before_y = last_by_attempt[attempt]
            parts.append(
                f'<line x1="{before_x}" y1="{before_y}" x2="{x}" y2="{y}"'
                ' stroke="#e09f3e"/>'
            )
        last_by_attempt[attempt] = (x, y)
    return parts


def draw_event(line: timeline_merge.Line, place: int, row: int) -> str:
    """Draws one event with its time; its fields show on hovering."""
    x, y = lane_x(place), row_y(row)
    colour = COLOURS_BY_ROLE.get(line['role'], OTHER_COLOUR)
    fields = escape(timeline_text.show_fields(line['fields']))
    label = escape(label_of(line))
    time = timeline_text.show_time(line['at_ms'])
    return (
        f'<text x="8" y="{y + 4}" fill="#777">{time}</text>'
        f'<circle cx="{x}" cy="{y}" r="{DOT_RADIUS_PX}" fill="{colour}"/>'
        f'<text x="{x + 10}" y="{y + 4}">{label}'
        f'<title>{fields}</title></text>'
    )
