"""Shapes of the JSON documents that backend servers send."""

from typing import Any, TypedDict, TypeVar


from ragwortgw_core import decoding

Document = TypeVar('Document')


class TokenDetails(TypedDict, total=False):
    """Details of the prompt's tokens."""

    cached_tokens: int | None


class TokenUsage(TypedDict, total=False):
    """Usage as an engine reports it."""

    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: TokenDetails | None


class Choice(TypedDict, total=False):
    """One choice of a completion, whole (message) or a part (delta)."""

    message: dict[str, Any]
    delta: dict[str, Any] | None
    finish_reason: str | None


class Completion(TypedDict, total=False):
    """A chat.completion or a chat.completion.chunk."""

    choices: list[Choice] | None
    usage: TokenUsage | None
    error: Any


class Message(TypedDict, total=False):
    """A message of a chat request."""

    content: Any


class ChatRequest(TypedDict):
    """What matters here of a chat request."""

    messages: list[Message]


class LoadReport(TypedDict):
    """The load report."""

    at_ms: float
    running: int
    waiting: int
    slots: int
    cache_fill: float
    versions: list[str]
    incarnation: str


class CacheEvent(TypedDict):
    """One cache event."""

    sequence: int
    prefix: str
    present: bool


class CacheEvents(TypedDict):
    """The answer to a query for cache events."""

    events: list[CacheEvent]


class ErrorCode(TypedDict):
    """What a refusal says."""

    code: str


class Refusal(TypedDict):
    """The answer of a backend server that did not run a request."""

    error: ErrorCode


class Fencing(TypedDict):
    """The answer to an order."""

    fencing: int


def decode(data: bytes, shape: type[Document]) -> Document | None:
    """Decodes a JSON document.

    Args:
      data: The document.
      shape: One of the types above.
    Returns: The document; None if the data does not have this shape.
    """
    try:
        return decoding.from_json(data, shape)
    except decoding.Undecodable:
        return None
