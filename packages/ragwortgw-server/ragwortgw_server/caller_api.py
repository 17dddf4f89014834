"""Callers' HTTP interface: requests become events, effects answers."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_server import caller_parsing
from ragwortgw_server import clock
from ragwortgw_server import http_exchange
from ragwortgw_server import problems

MODELS_PATH = '/v1/models'
REQUEST_ID_HEADER = 'Ragwortgw-Request-Id'
STREAM_CONTENT_TYPE = 'text/event-stream; charset=utf-8'

ListModels = Callable[[str], Result[Sequence[str], Any]]


def _no_models(key_hash: str) -> Result[Sequence[str], Any]:
    return Failure(errors.ConfigurationMissing(retry_after_ms=1000))


class CallerApi:
    """Holds the exchanges of callers by request id.

    handle() takes an exchange from the HTTP server. The other methods
    apply effects; each does nothing once the caller is gone.
    """

    def __init__(
        self,
        incarnation: str,
        timeout_ms: int,
        on_event: Callable[[Any], None],
        list_models: ListModels = _no_models,
    ) -> None:
        self._incarnation = incarnation
        self._timeout_ms = timeout_ms
        self._on_event = on_event
        self._list_models = list_models
        self._sequence = 0
        self._exchanges_by_request_id: dict[str, http_exchange.Exchange] = {}

    def __len__(self) -> int:
        return len(self._exchanges_by_request_id)

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Takes a caller's request.

        Args:
          exchange: The exchange; it is answered now or by later effects.
        """
        path = exchange.path
        if path == MODELS_PATH:
            self._answer_models(exchange)
            return
        if path == caller_parsing.CHAT_PATH:
            parse = caller_parsing.parse_chat
        elif path.startswith(caller_parsing.SERVICES_PREFIX):
            parse = caller_parsing.parse_service
        else:
            exchange.refuse(errors.UnknownPath(path))
            return
        origin = caller_parsing.Origin(
            self._next_id(), clock.now_ms(), self._timeout_ms
        )
        id_header = (REQUEST_ID_HEADER, origin.request_id)
        parsed = parse(exchange, origin)
        if not isinstance(parsed, Success):
            exchange.refuse(parsed.failure(), (id_header,))
            return
        self._begin(exchange, origin.request_id)
        try:
            self._on_event(events.RequestReceived(parsed.unwrap()))
        except BaseException:
            self._end(origin.request_id)
            raise

    def respond(self, effect: effects.Respond) -> None:
        """Sends a whole answer."""
        exchange = self._end(effect.request_id)
        if exchange is None:
            return
        headers = (*effect.headers, (REQUEST_ID_HEADER, effect.request_id))
        exchange.respond(effect.status, headers, effect.body)

    def refuse(self, effect: effects.Refuse) -> None:
        """Sends a typed failure at once.

        On a stream already begun it becomes an error event and the end.
        """
        exchange = self._end(effect.request_id)
        if exchange is None:
            return
        if exchange.state == 'streaming':
            exchange.write(_error_event(effect.failure))
            exchange.finish()
            return
        headers = (*effect.headers, (REQUEST_ID_HEADER, effect.request_id))
        exchange.refuse(effect.failure, headers)

    def start_relay(self, effect: effects.StartRelay) -> None:
        """Begins a streamed answer."""
        exchange = self._exchanges_by_request_id.get(effect.request_id)
        if exchange is None:
            return
        headers = [
            *effect.headers,
            (REQUEST_ID_HEADER, effect.request_id),
            ('Cache-Control', 'no-cache'),
        ]
        if not any(name.lower() == 'content-type' for name, _ in headers):
            headers.append(('Content-Type', STREAM_CONTENT_TYPE))
        exchange.start_stream(200, headers)

    def relay(self, request_id: str, data: bytes) -> bool:
        """Sends a piece of a streamed answer.

        Args:
          request_id: The request.
          data: Server-sent events, as the engine wrote them.
        Returns: False when the caller is gone.
        """
        exchange = self._exchanges_by_request_id.get(request_id)
        if exchange is None:
            return False
        exchange.write(data)
        return True

    async def drained(self, request_id: str) -> None:
        """Waits until the caller took most of what was relayed.

        Args:
          request_id: The request; returns at once when it is over.
        """
        exchange = self._exchanges_by_request_id.get(request_id)
        if exchange is not None:
            await exchange.drained()

    def finish_relay(self, effect: effects.FinishRelay) -> None:
        """Ends a streamed answer."""
        exchange = self._end(effect.request_id)
        if exchange is not None:
            exchange.finish()

    def _begin(
        self, exchange: http_exchange.Exchange, request_id: str
    ) -> None:
        self._exchanges_by_request_id[request_id] = exchange
        exchange.on_gone = lambda: self._on_gone(request_id)

    def _end(self, request_id: str) -> http_exchange.Exchange | None:
        return self._exchanges_by_request_id.pop(request_id, None)

    def _on_gone(self, request_id: str) -> None:
        if self._end(request_id) is not None:
            self._on_event(events.CallerGone(request_id))

    def _next_id(self) -> str:
        self._sequence += 1
        return f'{self._incarnation}-{self._sequence}'

    def _answer_models(self, exchange: http_exchange.Exchange) -> None:
        if exchange.method not in ('GET', 'HEAD'):
            exchange.refuse(errors.MethodNotAllowed(exchange.method))
            return
        caller = caller_parsing.key_hash(exchange)
        listed = self._list_models(caller)
        if not isinstance(listed, Success):
            exchange.refuse(listed.failure())
            return
        models = [
            {'id': model, 'object': 'model', 'created': 0, 'owned_by': ''}
            for model in listed.unwrap()
        ]
        body = msgspec.json.encode({'object': 'list', 'data': models})
        exchange.respond(200, [('Content-Type', 'application/json')], body)


def _error_event(failure: Any) -> bytes:
    problem = errors.problem(failure)
    body = {**problem, 'error': problems.openai_error(failure)}
    return b'data: ' + msgspec.json.encode(body) + b'\n\n'


def new_caller_api(
    incarnation: str,
    timeout_ms: int,
    on_event: Callable[[Any], None],
    list_models: ListModels = _no_models,
) -> CallerApi:
    """Creates the callers' interface of an entry.

    Args:
      incarnation: Id of this run of the entry, unique over all entries.
      timeout_ms: Time allowed for a request that names none, in ms.
      on_event: Takes RequestReceived and CallerGone.
      list_models: Returns what the owner of a key (SHA-256 in hex) may
        use, or a typed failure.
    Returns: The interface.
    """
    return CallerApi(incarnation, timeout_ms, on_event, list_models)
