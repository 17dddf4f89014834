"""Callers of a gateway: their requests and the answers to them."""

import asyncio
from collections.abc import Callable
import logging
from typing import Any

from returns.result import Success

from ragwortgw_core import errors
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import requests
from ragwortgw_server import clock
from ragwortgw_server import connections
from ragwortgw_server import event_stream
from ragwortgw_server import gateway_protocol
from ragwortgw_server import http_exchange
from ragwortgw_server import problems

LOG = logging.getLogger(__name__)

#: A server holds what is not read, and cuts it off after some seconds: a
#: caller that reads nothing is cut before, or at about that time. A caller
#: that reads makes room only in steps, of up to a sixteenth of its receive
#: buffer (384 KiB of 6 MiB): a shorter time would cut one that reads 100 KiB
#: a second.
STALL_MS = 4_000
MS_PER_S = 1_000
#: Headers of a problem that the deployment's own replace.
REPLACED_HEADERS = frozenset({'retry-after'})


class _Caller:
    """A request whose answer is not whole."""

    __slots__ = ('request', 'exchange', 'last_event')

    def __init__(
        self, request: requests.Request, exchange: http_exchange.Exchange
    ) -> None:
        self.request = request
        self.exchange = exchange
        self.last_event = request.resumed_after


class GatewayCallers:
    """Turns exchanges into events, and effects into answers.

    Args:
      protocol: Headers of the deployment.
      on_event: Takes RequestArrived and CallerLeft.

    Attributes:
      stall_ms: Time for which a caller may read nothing while a server is
        not read for it.
      on_cut: Called with the reason when a caller is cut.
    """

    def __init__(
        self,
        protocol: gateway_protocol.BackendProtocol,
        on_event: Callable[[Any], None],
    ) -> None:
        self._protocol = protocol
        self._on_event = on_event
        self.stall_ms = STALL_MS
        self.on_cut: Callable[[str, str], None] = lambda request_id, why: None
        self._callers_by_id: dict[str, _Caller] = {}

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Takes a whole request."""
        read = self._protocol.read_request(exchange, clock.now_ms())
        if not isinstance(read, Success):
            self._refuse(exchange, '', read.failure())
            return
        request = read.unwrap()
        if request.id in self._callers_by_id:
            failure = errors.MalformedRequest('request id in use')
            self._refuse(exchange, request.id, failure)
            return
        self._callers_by_id[request.id] = _Caller(request, exchange)
        exchange.on_gone = lambda: self._on_gone(request.id)
        self._on_event(events.RequestArrived(request))

    def request(self, request_id: str) -> requests.Request | None:
        """Returns a request that is not answered yet."""
        caller = self._callers_by_id.get(request_id)
        return None if caller is None else caller.request

    def last_event(self, request_id: str) -> int:
        """Returns the last event that the caller has, 0 for none."""
        caller = self._callers_by_id.get(request_id)
        return 0 if caller is None else caller.last_event

    def respond(self, effect: effects.Respond) -> None:
        """Sends a whole answer; cuts one that has begun."""
        caller = self._callers_by_id.pop(effect.request_id, None)
        if caller is not None and not _cut_begun(caller.exchange):
            answer = effect.answer
            caller.exchange.respond(answer.status, answer.headers, answer.body)

    def refuse(self, request_id: str, failure: Any) -> None:
        """Sends a typed failure; cuts an answer that has begun."""
        caller = self._callers_by_id.pop(request_id, None)
        if caller is not None and not _cut_begun(caller.exchange):
            self._refuse(caller.exchange, request_id, failure)

    def connection(self, request_id: str) -> connections.Connection | None:
        """Returns the connection of a caller, None if it is gone."""
        caller = self._callers_by_id.get(request_id)
        return None if caller is None else caller.exchange.connection

    def begin_stream(
        self,
        request_id: str,
        head: requests.AnswerHead,
        length_bytes: int | None = None,
    ) -> None:
        """Begins an answer in pieces, unless that is done.

        Args:
          request_id: The request.
          head: Head of the answer.
          length_bytes: Length of its body, None if it is unknown.
        """
        caller = self._callers_by_id.get(request_id)
        if caller is not None and caller.exchange.state == 'open':
            caller.exchange.start_stream(
                head.status, head.headers, length_bytes
            )

    def write(self, request_id: str, event: event_stream.RawEvent) -> bool:
        """Sends an event of a stream.

        Returns: False if it is not the one that the caller needs next.
        """
        caller = self._callers_by_id.get(request_id)
        if caller is None:
            return True
        if event.id != caller.last_event + 1:
            return False
        caller.last_event = event.id
        caller.exchange.write(event.raw)
        return True

    def write_piece(self, request_id: str, piece: bytes) -> None:
        """Sends a piece of a plain answer."""
        caller = self._callers_by_id.get(request_id)
        if caller is not None:
            caller.exchange.write(piece)

    def lags(self, request_id: str) -> bool:
        """Returns whether the caller has to take more before it gets more."""
        caller = self._callers_by_id.get(request_id)
        if caller is None:
            return False
        return (
            caller.exchange.buffered_bytes > http_exchange.STREAM_BUFFER_BYTES
        )

    async def drained(self, request_id: str) -> None:
        """Waits until the caller took most of what was sent.

        One that takes nothing for stall_ms is cut; CallerLeft follows.
        """
        caller = self._callers_by_id.get(request_id)
        if caller is None:
            return
        exchange = caller.exchange
        while self.lags(request_id):
            sent_bytes = exchange.connection.bytes_sent
            try:
                async with asyncio.timeout(self.stall_ms / MS_PER_S):
                    await exchange.drained()
            except TimeoutError:
                if exchange.connection.bytes_sent == sent_bytes:
                    self.on_cut(request_id, 'unread')
                    exchange.connection.abort()
                    return

    def finish_stream(self, request_id: str) -> None:
        """Ends a streamed answer that is whole."""
        caller = self._callers_by_id.pop(request_id, None)
        if caller is not None:
            caller.exchange.finish()

    def cut_stream(self, request_id: str) -> None:
        """Cuts a streamed answer, so that it does not look whole."""
        caller = self._callers_by_id.pop(request_id, None)
        if caller is not None:
            caller.exchange.abort()

    def _on_gone(self, request_id: str) -> None:
        if self._callers_by_id.pop(request_id, None) is not None:
            self._on_event(events.CallerLeft(request_id))

    def _refuse(
        self, exchange: http_exchange.Exchange, request_id: str, failure: Any
    ) -> None:
        status, headers, body = problems.problem_response(failure)
        retry_after_ms = errors.problem(failure)['retry_after_ms']
        kept = [
            (name, value)
            for name, value in headers
            if name.lower() not in REPLACED_HEADERS
        ]
        own = self._protocol.refusal_headers(request_id, retry_after_ms)
        exchange.respond(status, [*kept, *own], body)


def _cut_begun(exchange: http_exchange.Exchange) -> bool:
    """Cuts an answer that has begun; returns whether there was one."""
    if exchange.state != 'streaming':
        return False
    LOG.error('a second answer to a request whose stream has begun')
    exchange.abort()
    return True
