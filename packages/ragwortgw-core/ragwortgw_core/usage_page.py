"""Pages of bills: the bills of 256 successive requests of one entry.

A page is one value of the platform service. Request ids number the
requests of an entry's incarnation, so the id of a bill determines its page.
"""

from typing import Any, TypedDict, cast

from ragwortgw_core import events
from ragwortgw_core import group_commit
from ragwortgw_core import ids
from ragwortgw_core import page_codec
from ragwortgw_core import requests

SEQUENCES_PER_PAGE = 256


class Line(TypedDict):
    """One bill; page and sequence give its id, see read_bills()."""

    organisation: str
    target: str
    model: str
    version: str
    revision: int
    input_tokens: int
    output_tokens: int
    cost_micros: int
    at_ms: int


class Totals(TypedDict):
    """Sums over the bills of one organisation on a page.

    cost_micros is in micro-units of currency.
    """

    requests: int
    input_tokens: int
    output_tokens: int
    cost_micros: int


class Content(TypedDict):
    """A decoded page: bills by sequence, totals by organisation."""

    lines_by_sequence: dict[int, Line]
    totals_by_organisation: dict[str, Totals]


class Counted:
    """Outcome of adding a bill: the page holds it."""


COUNTED = Counted()


def page_key(bill_id: str) -> str | None:
    """Returns the platform key of the page that holds a bill.

    Args:
      bill_id: '<incarnation>-<sequence>'.
    Returns: The key, or None for an id of another form.
    """
    parsed = ids.parse_request_id(bill_id)
    if parsed is None:
        return None
    page = parsed.sequence // SEQUENCES_PER_PAGE
    return f'usage/{parsed.incarnation}/{page}'


def read_bills(key: str, value: bytes) -> list[requests.Bill] | None:
    """Decodes the bills of a page.

    Args:
      key: The page's platform key.
      value: The encoded page.
    Returns: The bills in order of sequence; None if the page is damaged.
    """
    content = Codec().decode(value)
    if content is None:
        return None
    incarnation = key.split('/')[1]
    return [
        requests.Bill(id=f'{incarnation}-{sequence}', **line)
        for sequence, line in sorted(content['lines_by_sequence'].items())
    ]


def new_content() -> Content:
    """Builds the content of a page that does not exist yet."""
    return Content(lines_by_sequence={}, totals_by_organisation={})


class Codec(page_codec.PageCodec):
    """Decodes, encodes and changes pages of bills."""

    def __init__(self) -> None:
        super().__init__(Content, new_content)

    def apply(
        self, stamp: events.Stamp, content: Content, operation: Any
    ) -> group_commit.ApplyResult:
        """Adds a bill in place unless the page already holds its id."""
        bill: requests.Bill = operation
        parsed = ids.parse_request_id(bill.id)
        assert parsed is not None
        if parsed.sequence in content['lines_by_sequence']:
            return group_commit.ApplyResult(False, COUNTED)
        content['lines_by_sequence'][parsed.sequence] = _line(bill)
        _add_to_totals(content['totals_by_organisation'], bill)
        return group_commit.ApplyResult(True, COUNTED)


def _line(bill: requests.Bill) -> Line:
    fields = bill._asdict()
    del fields['id']
    return cast(Line, fields)


def _add_to_totals(
    totals_by_organisation: dict[str, Totals], bill: requests.Bill
) -> None:
    empty = Totals(requests=0, input_tokens=0, output_tokens=0, cost_micros=0)
    totals = totals_by_organisation.setdefault(bill.organisation, empty)
    totals['requests'] += 1
    totals['input_tokens'] += bill.input_tokens
    totals['output_tokens'] += bill.output_tokens
    totals['cost_micros'] += bill.cost_micros
