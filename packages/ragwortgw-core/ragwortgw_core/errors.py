"""Typed failures with their HTTP status and problem documents.

Each failure also states whether the request may have been executed, so
that a client knows if a retry is safe. Slugs and field names appear in
problem documents and between processes.
"""

import typing
from typing import Any, Literal, NamedTuple, TypedDict

Ran = Literal['no', 'unknown', 'yes']

#: Failure types by the slug that ends their problem type URI.
by_slug: dict[str, type['Failure']] = {}

PROBLEM_TYPE_PREFIX = 'urn:ragwortgw:problem:'


class Problem(TypedDict):
    """An RFC 9457 problem document."""

    type: str
    title: str
    status: int
    detail: str
    ran: Ran
    retry_after_ms: int | None


class Failure(typing.Protocol):
    """Interface of all typed failures; see the failure decorator."""

    slug: str
    status: int
    title: str
    ran: Ran

    def _asdict(self) -> dict[str, Any]:
        """Returns the fields of the failure by name."""


def failure(
    slug: str, status: int, title: str, ran: Ran = 'no'
) -> typing.Callable[[type], Any]:
    """Registers a NamedTuple as a failure type.

    Args:
      slug: Unique name, the last part of the problem type URI.
      status: HTTP status code sent to the caller.
      title: Short constant summary in English.
      ran: Whether the request may have been executed; a field of the
        same name takes precedence.
    Returns: A class decorator.
    """

    def decorate(cls: type) -> Any:
        cls.slug = slug  # type: ignore[attr-defined]
        cls.status = status  # type: ignore[attr-defined]
        cls.title = title  # type: ignore[attr-defined]
        cls.ran = ran  # type: ignore[attr-defined]
        by_slug[slug] = cls
        return cls

    return decorate


class Unsettled(NamedTuple):
    """A failure of a request that may have been executed before.

    It wraps a failure that by itself says that nothing ran, because an
    earlier attempt, or an earlier call with the same idempotency key that
    could not be looked up, may have run.
    """

    failure: Any
    ran: Ran = 'unknown'

    @property
    def slug(self) -> str:
        """Slug of the failure."""
        return str(self.failure.slug)

    @property
    def status(self) -> int:
        """HTTP status of the failure."""
        return int(self.failure.status)


def problem(error: Any) -> Problem:
    """Builds the problem document of a failure.

    Args:
      error: An instance of a registered failure type, or Unsettled.
    Returns: The document, ready to be encoded as JSON.
    """
    if isinstance(error, Unsettled):
        document = problem(error.failure)
        document['ran'] = error.ran
        return document
    fields = error._asdict()
    retry_after_ms = fields.pop('retry_after_ms', None)
    ran = fields.pop('ran', error.ran)
    detail = ', '.join(f'{name}: {value}' for name, value in fields.items())
    return Problem(
        type=PROBLEM_TYPE_PREFIX + error.slug,
        title=error.title,
        status=error.status,
        detail=detail,
        ran=ran,
        retry_after_ms=retry_after_ms,
    )


def command_problem(error: Any) -> dict[str, Any]:
    """Builds the problem document of an operator's statement.

    Args:
      error: An instance of a registered failure type.
    Returns: The document. For a statement that could not be parsed or
      applied it also has the column (from 1) and a suggested word, ''
      if there is none.
    """
    document: dict[str, Any] = dict(problem(error))
    if isinstance(error, BadOrder):
        document['column'] = error.column
        document['suggestion'] = error.suggestion
        document['detail'] = error.reason
    return document


@failure('malformed-request', 400, 'The request could not be parsed')
class MalformedRequest(NamedTuple):
    reason: str


@failure('missing-key', 401, 'An API key is required')
class MissingKey(NamedTuple):
    pass


@failure('unknown-key', 401, 'The API key is not known')
class UnknownKey(NamedTuple):
    pass


@failure('not-permitted', 403, 'The organisation may not use this model')
class NotPermitted(NamedTuple):
    organisation: str
    model: str


@failure('unknown-model', 404, 'No such model, cascade or service')
class UnknownModel(NamedTuple):
    model: str


@failure('unknown-path', 404, 'No such path')
class UnknownPath(NamedTuple):
    path: str


@failure('method-not-allowed', 405, 'The method is not allowed here')
class MethodNotAllowed(NamedTuple):
    method: str


@failure('body-too-large', 413, 'The request body is too large')
class BodyTooLarge(NamedTuple):
    limit_bytes: int


@failure('headers-too-large', 431, 'The request headers are too large')
class HeadersTooLarge(NamedTuple):
    limit_bytes: int


@failure('header-timeout', 408, 'The request did not arrive in time')
class HeaderTimeout(NamedTuple):
    limit_ms: int


@failure('pipelining', 400, 'Pipelined requests are not supported')
class PipelinedRequest(NamedTuple):
    pass


@failure('missing-idempotency-key', 400, 'An idempotency key is required')
class MissingIdempotencyKey(NamedTuple):
    pass


@failure('bad-idempotency-key', 400, 'The idempotency key is not valid')
class BadIdempotencyKey(NamedTuple):
    reason: str


@failure('key-reused', 422, 'The idempotency key belongs to another body')
class KeyReused(NamedTuple):
    idempotency_key: str


@failure(
    'in-progress', 409, 'The first call with this key still runs', 'unknown'
)
class CallInProgress(NamedTuple):
    idempotency_key: str
    retry_after_ms: int


@failure(
    'outcome-unknown',
    409,
    'The call may have run; it is not repeated',
    'unknown',
)
class OutcomeUnknown(NamedTuple):
    idempotency_key: str


@failure(
    'key-out-of-time',
    409,
    'The time in the idempotency key is too far from now',
    'unknown',
)
class KeyOutOfTime(NamedTuple):
    key_ms: int
    now_ms: int


@failure('ledger-full', 503, 'Too many calls with keys of this interval')
class LedgerFull(NamedTuple):
    retry_after_ms: int
    ran: Ran = 'no'


@failure('billing-full', 503, 'Too many bills wait to be counted')
class BillingFull(NamedTuple):
    waiting: int
    retry_after_ms: int


@failure('rate-limited', 429, 'The limit of the organisation is reached')
class RateLimited(NamedTuple):
    organisation: str
    retry_after_ms: int


@failure('overloaded', 503, 'The request can not meet its deadline')
class Overloaded(NamedTuple):
    retry_after_ms: int


@failure('no-backend', 503, 'No backend server can serve the request')
class NoBackendServer(NamedTuple):
    model: str
    retry_after_ms: int


@failure('no-home-server', 503, 'No server in the permitted regions')
class NoHomeServer(NamedTuple):
    service: str
    retry_after_ms: int


@failure('withdrawn', 503, 'Every permitted version is withdrawn')
class AllWithdrawn(NamedTuple):
    model: str
    retry_after_ms: int


@failure('suspected', 503, 'The request crashed backend servers before')
class RequestSuspected(NamedTuple):
    fingerprint: str
    retry_after_ms: int


@failure('stopping', 503, 'The process is stopping')
class Stopping(NamedTuple):
    retry_after_ms: int


@failure('platform-unavailable', 503, 'The platform service is unavailable')
class PlatformUnavailable(NamedTuple):
    retry_after_ms: int
    ran: Ran = 'no'


@failure('configuration-missing', 503, 'No configuration is known yet')
class ConfigurationMissing(NamedTuple):
    retry_after_ms: int


@failure('configuration-stale', 503, 'The configuration is not confirmed')
class ConfigurationStale(NamedTuple):
    age_ms: int
    retry_after_ms: int


@failure('configuration-newer', 409, 'The agent knows a newer configuration')
class ConfigurationNewer(NamedTuple):
    revision: int


@failure('configuration-older', 409, 'The agent knows an older configuration')
class ConfigurationOlder(NamedTuple):
    revision: int


@failure('version-not-loaded', 503, 'The backend server lacks the version')
class VersionNotLoaded(NamedTuple):
    version: str


@failure('duplicate-attempt', 409, 'The attempt was sent before', 'unknown')
class DuplicateAttempt(NamedTuple):
    attempt_id: str


@failure('draining', 503, 'The backend server takes no new work')
class Draining(NamedTuple):
    backend: str
    retry_after_ms: int


@failure('deadline-exceeded', 504, 'The deadline passed', 'unknown')
class DeadlineExceeded(NamedTuple):
    deadline_ms: int
    ran: Ran
    retry_after_ms: int = 1_000


@failure('backend-failed', 502, 'The backend server failed', 'unknown')
class BackendFailed(NamedTuple):
    backend: str
    ran: Ran
    retry_after_ms: int | None


@failure('internal', 500, 'The process failed', 'unknown')
class InternalError(NamedTuple):
    pass


@failure('conflict', 409, 'Another order changed the configuration first')
class OrderConflict(NamedTuple):
    revision: int
    operator: str
    changed: tuple[str, ...]


@failure('invalid-object', 422, 'A configuration object is not valid')
class InvalidObject(NamedTuple):
    path: str
    reason: str


@failure('not-found', 404, 'No such configuration object')
class ObjectNotFound(NamedTuple):
    path: str


@failure('forbidden', 403, 'The role of the operator does not allow this')
class Forbidden(NamedTuple):
    role: str
    needed: str


@failure('bad-order', 400, 'The order could not be understood')
class BadOrder(NamedTuple):
    reason: str
    column: int
    suggestion: str


@failure('order-unknown', 504, 'The order may have been applied', 'unknown')
class OrderUnknown(NamedTuple):
    command_id: str


@failure('malformed-message', 502, 'A message of another process is wrong')
class MalformedMessage(NamedTuple):
    message: str
    field: str


@failure('unknown-refusal', 502, 'An agent refused for an unknown reason')
class UnknownRefusal(NamedTuple):
    refusal: str
