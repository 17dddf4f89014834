"""Value types of requests, attempts, answers and bills."""

from typing import NamedTuple

from ragwortgw_core import documents


class Request(NamedTuple):
    """A request as received: parsed, but not yet checked.

    Args:
      id: '<incarnation>-<sequence>', unique over all entries.
      key_hash: SHA-256 of the bearer key, in hex; '' if there is none.
      kind: 'chat' or 'service'.
      target: Model or cascade id, or the id of the plain service.
      method: HTTP method.
      path: Path sent to the backend server.
      body: The complete body.
      stream: Whether the caller requested server-sent events.
      session: Session id as received; '' if there is none.
      idempotency_key: As received; '' if there is none.
      deadline_ms: Time after which the answer is useless, Unix ms.
      prompt_chars: Length of the prompt, in characters.
      prefix: Hash of the first part of the prompt, for cache affinity.
      fingerprint: SHA-256 of key_hash, target, method, path and body, in
        hex.
    """

    id: str
    key_hash: str
    kind: documents.ModelKind
    target: str
    method: str
    path: str
    body: bytes
    stream: bool
    session: str
    idempotency_key: str
    deadline_ms: int
    prompt_chars: int
    prefix: str
    fingerprint: str


class Prices(NamedTuple):
    """Prices of an attempt, in micro-units of currency.

    input_micros and output_micros are per 1,000 tokens, call_micros per
    call; spent_micros is the cost of the request's earlier stages.
    """

    input_micros: int = 0
    output_micros: int = 0
    call_micros: int = 0
    spent_micros: int = 0


class Dispatch(NamedTuple):
    """One attempt of a request, as sent by an entry to an agent.

    revision is that of the entry's configuration. deadline_ms is in Unix
    ms. repeatable says whether the request may be executed again after an
    attempt failed. resume_offset is the number of stream pieces that
    earlier attempts already sent to the caller; 0 for none. target and
    prices let the agent make the bill if the entry fails. billable is set
    if this attempt's answer will be delivered to the caller.
    """

    attempt_id: str
    request_id: str
    organisation: str
    model: str
    version: str
    revision: int
    kind: documents.ModelKind
    method: str
    path: str
    body: bytes
    stream: bool
    session: str
    idempotency_key: str
    repeatable: bool
    priority: documents.Priority
    deadline_ms: int
    fingerprint: str
    resume_offset: int
    target: str = ''
    prices: Prices = Prices()
    billable: bool = True


class Answer(NamedTuple):
    """A complete answer of a backend server."""

    status: int
    content_type: str
    body: bytes
    usage: documents.Usage


class Bill(NamedTuple):
    """The bill of one request.

    id is the request's id, revision that of the configuration when the
    bill was made. cost_micros is in micro-units of currency, at_ms in Unix ms.
    """

    id: str
    organisation: str
    target: str
    model: str
    version: str
    revision: int
    input_tokens: int
    output_tokens: int
    cost_micros: int
    at_ms: int


class Load(NamedTuple):
    """Load of a backend server, as of its report at at_ms (Unix ms).

    running and waiting count requests; slots is the most that run at once.
    cache_fill is the fraction of the prefix cache in use, 0..1.
    """

    at_ms: int
    running: int
    waiting: int
    slots: int
    cache_fill: float


def cost_micros(prices: Prices, input_tokens: int, output_tokens: int) -> int:
    """Returns the cost of an attempt and of the stages before it.

    Args:
      prices: Prices of the attempt.
      input_tokens: Tokens of the prompt.
      output_tokens: Tokens generated.
    Returns: The cost in micro-units of currency, rounded up.
    """
    token_price = (
        input_tokens * prices.input_micros
        + output_tokens * prices.output_micros
    )
    return -(-token_price // 1000) + prices.call_micros + prices.spent_micros
