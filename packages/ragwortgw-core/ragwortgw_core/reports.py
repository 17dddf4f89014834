"""Queries on stored values: cost, bills, audit, and single requests.

An answer follows after one or two reads from the platform service. The
subjects that an entry answers from its own state are in queries.
"""

import contextlib
import datetime
from typing import Any, NamedTuple

from returns.result import Failure

from ragwortgw_core import config_store
from ragwortgw_core import decoding
from ragwortgw_core import documents
from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import language
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import requests
from ragwortgw_core import tables
from ragwortgw_core import usage_page

OWNER = 'reports'
USAGE_PREFIX = 'usage/'
AUDIT_PREFIX = 'config/audit/'
CALL_TIMEOUT_MS = 5_000
RETRY_AFTER_MS = 1_000
MS_PER_S = 1_000
DAY_CHARS = len('2026-01-01')
HOUR_CHARS = len('2026-01-01T00')
COST_COLUMNS = (
    'organisation',
    'target',
    'model',
    'version',
    'day',
    'hour',
    'requests',
    'input_tokens',
    'output_tokens',
    'cost_micros',
)
BILL_COLUMNS = (
    'at',
    'request',
    'organisation',
    'target',
    'model',
    'version',
    'revision',
    'input_tokens',
    'output_tokens',
    'cost_micros',
)
AUDIT_COLUMNS = (
    'revision',
    'base_revision',
    'at',
    'operator',
    'command',
    'text',
    'changed',
)


class PendingQuery(NamedTuple):
    """A query that waits for the platform service.

    Args:
      op_id: Number of the command.
      query: The query; None for 'explain request', which first reads the
        bill of the request and then the audit.
      request_id: Request to explain; '' for other queries.
      bill: Bill of that request, once it was read.
    """

    op_id: int
    query: language.Show | None
    request_id: str
    bill: requests.Bill | None = None


class Reports:
    """Answers queries on values that the platform service stores.

    Args:
      calls: Makes the platform calls.
      store: Holds the configuration, whose head lists the newest commands.
    """

    columns_by_subject = {
        'audit': AUDIT_COLUMNS,
        'bills': BILL_COLUMNS,
        'cost': COST_COLUMNS,
    }
    subjects = tuple(columns_by_subject)

    def __init__(
        self,
        calls: platform_calls.PlatformCalls,
        store: config_store.ConfigurationStore,
    ) -> None:
        self._calls = calls
        self._store = store
        calls.register(OWNER, self)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Does nothing, since platform calls have their own deadlines."""
        return []

    def start(
        self, stamp: events.Stamp, op_id: int, query: language.Show
    ) -> list[Any]:
        """Starts a query on one of the subjects."""
        is_audit = query.subject.text == 'audit'
        call = platform.List(AUDIT_PREFIX if is_audit else USAGE_PREFIX)
        return self._read(stamp, PendingQuery(op_id, query, ''), call)

    def explain(
        self, stamp: events.Stamp, op_id: int, request_id: str
    ) -> list[Any]:
        """Starts to explain a request.

        Args:
          stamp: Time and randomness.
          op_id: Number of the command.
          request_id: Id of the request.
        Returns: Effects.
        """
        key = usage_page.page_key(request_id)
        if key is None:
            return refuse(op_id, errors.ObjectNotFound(request_id))
        pending = PendingQuery(op_id, None, request_id)
        return self._read(stamp, pending, platform.Get(key))

    def on_result(
        self,
        stamp: events.Stamp,
        tag: PendingQuery,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Answers the query, or reads on if it needs a second call."""
        if isinstance(result, platform.Unavailable):
            unavailable = errors.PlatformUnavailable(RETRY_AFTER_MS)
            return refuse(tag.op_id, unavailable)
        if tag.query is None:
            return self._explain(stamp, tag, result)
        assert isinstance(result, platform.Listed)
        complete = self._table(tag.query.subject.text, result)
        selected = tables.apply_query(tag.query, complete)
        if isinstance(selected, Failure):
            return refuse(tag.op_id, selected.failure())
        document = tables.to_document(selected.unwrap())
        return [effects.AnswerOrder(tag.op_id, 200, document)]

    def _read(
        self, stamp: events.Stamp, pending: PendingQuery, call: platform.Call
    ) -> list[Any]:
        deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        return self._calls.call(stamp, OWNER, pending, call, deadline_ms)

    def _table(self, subject: str, listed: platform.Listed) -> tables.Table:
        if subject == 'audit':
            return audit_table(listed, self._store.head()['commands'])
        if subject == 'bills':
            return bill_table(listed)
        return cost_table(listed)

    def _explain(
        self, stamp: events.Stamp, tag: PendingQuery, result: platform.Result
    ) -> list[Any]:
        if tag.bill is not None:
            assert isinstance(result, platform.Listed)
            commands = merge_commands(result, self._store.head()['commands'])
            body = build_explanation(tag.bill, commands)
            return [effects.AnswerOrder(tag.op_id, 200, body)]
        bill = None
        if isinstance(result, platform.Found):
            bill = find_bill(result, tag.request_id)
        if bill is None:
            return refuse(tag.op_id, errors.ObjectNotFound(tag.request_id))
        pending = tag._replace(bill=bill)
        return self._read(stamp, pending, platform.List(AUDIT_PREFIX))


def refuse(op_id: int, failure: Any) -> list[Any]:
    """Answers a query with a typed failure."""
    document = errors.command_problem(failure)
    return [effects.AnswerOrder(op_id, failure.status, document)]


def find_bill(page: platform.Found, request_id: str) -> requests.Bill | None:
    """Returns the bill of a request from a usage page, or None."""
    for bill in usage_page.read_bills(page.key, page.value) or []:
        if bill.id == request_id:
            return bill
    return None


def affects(command: documents.Command, bill: requests.Bill) -> bool:
    """Returns whether a command changed a document that a bill refers to."""
    paths = {
        f'organisation/{bill.organisation}',
        f'cascade/{bill.target}',
        f'model/{bill.model}',
        f'version/{bill.version}',
        f'rollout/{bill.model}',
    }
    return not paths.isdisjoint(command['changed'])


def cost_table(listed: platform.Listed) -> tables.Table:
    """Sums up bills by organisation, target, model, version and hour."""
    sums_by_key: dict[tuple[str, ...], list[int]] = {}
    for page in listed.found:
        for bill in usage_page.read_bills(page.key, page.value) or []:
            key = (
                bill.organisation,
                bill.target,
                bill.model,
                bill.version,
                format_time(bill.at_ms)[:DAY_CHARS],
                format_time(bill.at_ms)[:HOUR_CHARS],
            )
            sums = sums_by_key.setdefault(key, [0, 0, 0, 0])
            sums[0] += 1
            sums[1] += bill.input_tokens
            sums[2] += bill.output_tokens
            sums[3] += bill.cost_micros
    return tables.new_table(
        COST_COLUMNS,
        [[*key, *sums] for key, sums in sorted(sums_by_key.items())],
    )


def bill_table(listed: platform.Listed) -> tables.Table:
    """Lists the bills, the oldest first."""
    rows = []
    for page in listed.found:
        for bill in usage_page.read_bills(page.key, page.value) or []:
            fields = bill._asdict()
            fields['request'] = bill.id
            fields['at'] = format_time(bill.at_ms)
            rows.append([fields[name] for name in BILL_COLUMNS])
    rows.sort(key=lambda row: row[BILL_COLUMNS.index('at')])
    return tables.new_table(BILL_COLUMNS, rows)


def build_explanation(
    bill: requests.Bill, commands: list[documents.Command]
) -> dict[str, Any]:
    """Explains by what a request was allowed, served and billed.

    Args:
      bill: The request's bill.
      commands: The known commands, in order of revision.
    Returns: The body of the answer.
    """
    body: dict[str, Any] = dict(bill._asdict())
    body['at'] = format_time(body.pop('at_ms'))
    body['allowed_by'] = [
        f'revision {command["revision"]} by {command["operator"]}:'
        f' {command["text"]}'
        for command in commands
        if command['revision'] <= bill.revision and affects(command, bill)
    ]
    if commands:
        body['audit_since'] = format_time(commands[0]['at_ms'])
    return body


def merge_commands(
    listed: platform.Listed, newest: list[documents.Command]
) -> list[documents.Command]:
    """Merges the commands of the audit and of the head by revision.

    Args:
      listed: Pages of the audit.
      newest: Commands of the head; these may be in the audit, too.
    Returns: Each command once, in order of revision; without those of pages
      that can't be read.
    """
    commands = list(newest)
    for page in listed.found:
        with contextlib.suppress(decoding.Undecodable):
            commands += decoding.from_json(page.value, list[documents.Command])
    by_revision = {command['revision']: command for command in commands}
    return [command for _, command in sorted(by_revision.items())]


def audit_table(
    listed: platform.Listed, newest: list[documents.Command]
) -> tables.Table:
    """Lists the applied commands, the oldest first."""
    return tables.new_table(
        AUDIT_COLUMNS,
        [
            (
                command['revision'],
                command['base_revision'],
                format_time(command['at_ms']),
                command['operator'],
                command['id'],
                command['text'],
                ' '.join(command['changed']),
            )
            for command in merge_commands(listed, newest)
        ],
    )


def format_time(at_ms: int) -> str:
    """Formats a Unix time in ms as ISO 8601 in UTC, to the second."""
    at = datetime.datetime.fromtimestamp(at_ms // MS_PER_S, datetime.UTC)
    return at.strftime('%Y-%m-%dT%H:%M:%SZ')
