"""Reads whole answers and reports of a backend server."""

from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import documents
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import requests
from ragwortgw_server import chat_stream
from ragwortgw_server import engine_documents
from ragwortgw_server import http_client

NO_USAGE = documents.Usage(input_tokens=0, output_tokens=0)

#: Codes by which a backend server says that it did not run a request.
NOT_RUN_CODES = frozenset(
    {
        'down',
        'model_not_found',
        'queue-full',
        'refused',
        'version-not-found',
    }
)
#: Statuses by which an engine refuses before it runs anything.
ENGINE_REFUSALS = frozenset({429, 503})


class Fault(NamedTuple):
    """Why an answer is no answer; the fields of an EngineFailure."""

    ran: errors.Ran
    crashed: bool
    reason: str


class CacheEvent(NamedTuple):
    """A prefix came into the cache or left it."""

    sequence: int
    prefix: str
    present: bool


def load_report(response: http_client.Response) -> events.EngineReported:
    """Reads a load report; its load is None when the answer is none."""
    report = engine_documents.decode(
        response.body, engine_documents.LoadReport
    )
    if report is None:
        return events.EngineReported(None, (), '')
    load = requests.Load(
        int(report['at_ms']),
        report['running'],
        report['waiting'],
        report['slots'],
        report['cache_fill'],
    )
    return events.EngineReported(
        load, tuple(report['versions']), report['incarnation']
    )


def fencing(response: http_client.Response) -> int | None:
    """Reads the fencing number out of a refused order."""
    answer = engine_documents.decode(response.body, engine_documents.Fencing)
    return answer['fencing'] if answer is not None else None


def cache_events(
    response: http_client.Response,
) -> tuple[CacheEvent, ...]:
    """Reads cache events; none if the answer is none."""
    answer = engine_documents.decode(
        response.body, engine_documents.CacheEvents
    )
    listed = answer['events'] if answer is not None else []
    return tuple(CacheEvent(**event) for event in listed)


def read(
    kind: documents.ModelKind, response: http_client.Response
) -> Result[requests.Answer, Fault]:
    """Reads the whole answer of a backend server.

    A plain service's own errors are answers; an engine's are not, but for
    those that blame the request.

    Args:
      kind: Kind of the request.
      response: What came.
    Returns: The answer, or why it is none.
    """
    if _not_run(kind, response):
        return Failure(Fault('no', False, f'status-{response.status}'))
    if kind == 'service':
        return Success(_answer(response, NO_USAGE))
    if response.status >= 500 or response.status == 499:
        return Failure(Fault('unknown', False, f'status-{response.status}'))
    if response.status >= 400:
        return Success(_answer(response, NO_USAGE))
    completion = engine_documents.decode(
        response.body, engine_documents.Completion
    )
    usage = chat_stream.usage_of(completion or {})
    if usage is None or not (completion or {}).get('choices'):
        return Failure(Fault('yes', False, 'truncated'))
    return Success(_answer(response, usage))


def _not_run(
    kind: documents.ModelKind, response: http_client.Response
) -> bool:
    if kind == 'chat' and response.status in ENGINE_REFUSALS:
        return True
    if response.status not in (404, 429, 503):
        return False
    refusal = engine_documents.decode(response.body, engine_documents.Refusal)
    return refusal is not None and refusal['error']['code'] in NOT_RUN_CODES


def _answer(
    response: http_client.Response, usage: documents.Usage
) -> requests.Answer:
    content_type = response.headers.get('content-type', '')
    return requests.Answer(response.status, content_type, response.body, usage)
