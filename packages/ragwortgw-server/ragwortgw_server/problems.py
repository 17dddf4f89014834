"""Typed failures as HTTP responses (RFC 9457)."""

from typing import Any, NamedTuple

import msgspec

from ragwortgw_core import errors

CONTENT_TYPE = 'application/problem+json'
MS_PER_SECOND = 1000
UNAUTHORIZED = 401

Headers = tuple[tuple[str, str], ...]


class ProblemResponse(NamedTuple):
    """A failure, ready to be sent."""

    status: int
    headers: Headers
    body: bytes


def retry_headers(retry_after_ms: int | None) -> Headers:
    """Builds the headers that say when to come back.

    Args:
      retry_after_ms: Time to wait, in ms; None where there is no advice.
    Returns: Retry-After, in whole seconds rounded up, and the same in ms.
    """
    if retry_after_ms is None:
        return ()
    seconds = -(-retry_after_ms // MS_PER_SECOND)
    return (
        ('Retry-After', str(seconds)),
        ('Ragwortgw-Retry-After-Ms', str(retry_after_ms)),
    )


def problem_response(failure: Any, headers: Headers = ()) -> ProblemResponse:
    """Builds the response for a failure.

    The body also carries the error member that OpenAI clients read.

    Args:
      failure: An instance of a registered failure type.
      headers: Further headers.
    Returns: The response.
    """
    document = errors.problem(failure)
    if document['status'] == UNAUTHORIZED:
        headers = (*headers, ('WWW-Authenticate', 'Bearer'))
    body = msgspec.json.encode({**document, 'error': openai_error(failure)})
    return ProblemResponse(
        document['status'],
        (
            ('Content-Type', CONTENT_TYPE),
            *retry_headers(document['retry_after_ms']),
            *headers,
        ),
        body,
    )


def openai_error(failure: Any) -> dict[str, str]:
    """Builds the error member that OpenAI clients read.

    Args:
      failure: An instance of a registered failure type.
    Returns: message, type and code.
    """
    document = errors.problem(failure)
    detail = document['detail']
    return {
        'message': document['title'] + (f' ({detail})' if detail else ''),
        'type': document['type'],
        'code': failure.slug,
    }
