"""Turns callers' HTTP requests into request values."""

import hashlib
from typing import Any, Literal, NamedTuple, NotRequired, TypedDict
from urllib import parse

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import xxhash

from ragwortgw_core import errors
from ragwortgw_core import requests
from ragwortgw_server import http_exchange

CHAT_PATH = '/v1/chat/completions'
SERVICES_PREFIX = '/services/'
PREFIX_CHARS = 1024
MAX_TIMEOUT_MS = 3_600_000
MAX_TOKEN_CHARS = 256
SERVICE_METHODS = frozenset(('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'))


class ContentPart(TypedDict):
    """One part of a message; only text parts count as prompt."""

    type: str
    text: NotRequired[str | None]


class Message(TypedDict):
    """One message of a chat."""

    role: str
    content: NotRequired[str | list[ContentPart] | None]


class ChatBody(TypedDict):
    """What the router reads of a chat request; the rest passes through."""

    model: str
    messages: list[Message]
    stream: NotRequired[bool | None]


class Origin(NamedTuple):
    """What does not come from the caller.

    Args:
      request_id: Id of the request, unique over all entries.
      now_ms: Time of arrival, Unix ms.
      timeout_ms: Time allowed where the caller names none.
    """

    request_id: str
    now_ms: int
    timeout_ms: int


_chat_decoder = msgspec.json.Decoder(ChatBody)

Parsed = Result[requests.Request, Any]


def key_hash(exchange: http_exchange.Exchange) -> str:
    """Returns the SHA-256 in hex of the bearer key, '' without one."""
    scheme, _, key = exchange.headers.get('authorization', '').partition(' ')
    key = key.strip()
    if scheme.lower() != 'bearer' or not key:
        return ''
    return hashlib.sha256(key.encode('latin-1', 'replace')).hexdigest()


def parse_chat(exchange: http_exchange.Exchange, origin: Origin) -> Parsed:
    """Reads a chat request.

    Args:
      exchange: The exchange.
      origin: What does not come from the caller.
    Returns: The request, or a typed failure.
    """
    if exchange.method != 'POST':
        return Failure(errors.MethodNotAllowed(exchange.method))
    try:
        chat = _chat_decoder.decode(exchange.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(errors.MalformedRequest(str(error)))
    texts = [_text(message) for message in chat['messages']]
    return _request(
        exchange,
        origin,
        kind='chat',
        target=chat['model'],
        path=exchange.path,
        stream=bool(chat.get('stream')),
        prompt_chars=sum(map(len, texts)),
        prefix=_prefix(texts),
    )


def parse_service(exchange: http_exchange.Exchange, origin: Origin) -> Parsed:
    """Reads a request to a plain service.

    Args:
      exchange: The exchange; its path starts with SERVICES_PREFIX.
      origin: What does not come from the caller.
    Returns: The request, or a typed failure.
    """
    if exchange.method not in SERVICE_METHODS:
        return Failure(errors.MethodNotAllowed(exchange.method))
    rest = exchange.path[len(SERVICES_PREFIX) :]
    service, slash, path = rest.partition('/')
    if not service or not slash:
        return Failure(errors.UnknownPath(exchange.path))
    if _has_dot_segments(path):
        return Failure(errors.MalformedRequest('dot segments in the path'))
    query = f'?{exchange.query}' if exchange.query else ''
    return _request(
        exchange,
        origin,
        kind='service',
        target=service,
        path=f'/{path}{query}',
        stream=False,
        prompt_chars=0,
        prefix='',
    )


def _has_dot_segments(path: str) -> bool:
    """Finds '.' and '..' that a backend server might resolve.

    A path resolved there could escape the route that it matched here.
    """
    segments = parse.unquote(path).replace('\\', '/').split('/')
    return '.' in segments or '..' in segments


def _request(
    exchange: http_exchange.Exchange,
    origin: Origin,
    kind: Literal['chat', 'service'],
    target: str,
    path: str,
    stream: bool,
    prompt_chars: int,
    prefix: str,
) -> Parsed:
    timeout = _timeout_ms(exchange, origin)
    if not isinstance(timeout, Success):
        return Failure(timeout.failure())
    for name in ('ragwortgw-session', 'idempotency-key'):
        if len(exchange.headers.get(name, '')) > MAX_TOKEN_CHARS:
            return Failure(errors.MalformedRequest(f'{name} is too long'))
    caller = key_hash(exchange)
    return Success(
        requests.Request(
            id=origin.request_id,
            key_hash=caller,
            kind=kind,
            target=target,
            method=exchange.method,
            path=path,
            body=exchange.body,
            stream=stream,
            session=exchange.headers.get('ragwortgw-session', ''),
            idempotency_key=exchange.headers.get('idempotency-key', ''),
            deadline_ms=origin.now_ms + timeout.unwrap(),
            prompt_chars=prompt_chars,
            prefix=prefix,
            fingerprint=_fingerprint(caller, target, exchange, path),
        )
    )


def _timeout_ms(
    exchange: http_exchange.Exchange, origin: Origin
) -> Result[int, Any]:
    text = exchange.headers.get('ragwortgw-timeout-ms')
    if text is None:
        return Success(origin.timeout_ms)
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        return Failure(
            errors.MalformedRequest('Ragwortgw-Timeout-Ms is not a number')
        )
    return Success(min(int(text), MAX_TIMEOUT_MS))


def _fingerprint(
    caller: str, target: str, exchange: http_exchange.Exchange, path: str
) -> str:
    digest = hashlib.sha256()
    for part in (caller, target, exchange.method, path):
        digest.update(part.encode())
        digest.update(b'\x00')
    digest.update(exchange.body)
    return digest.hexdigest()


def _text(message: Message) -> str:
    content = message.get('content')
    if content is None:
        return ''
    if isinstance(content, str):
        return content
    return ''.join(part.get('text') or '' for part in content)


def _prefix(texts: list[str]) -> str:
    """Names the first part of a prompt as engines' cache events do.

    A prompt that is shorter than that part has no prefix worth keeping.
    """
    prompt = '\n'.join(texts)
    if len(prompt) < PREFIX_CHARS:
        return ''
    return xxhash.xxh3_64_hexdigest(prompt[:PREFIX_CHARS].encode())
