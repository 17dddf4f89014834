"""The requests of one caller's connection, one after the other."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from returns.result import Success

from ragwortgw_core import errors
from ragwortgw_server import connections
from ragwortgw_server import http_exchange
from ragwortgw_server import http_parsing

TLS_HANDSHAKE_BYTE = 0x16
BUSY_RETRY_MS = 1_000
#: A connection is not read while so much of earlier answers is unsent.
UNSENT_BYTES = 65_536


class Limits(NamedTuple):
    """What one caller may take up.

    Args:
      head_bytes: Start line and headers of a request.
      body_bytes: Body of a request.
      head_ms: Time for the head to arrive.
      body_ms: Time for the body to arrive, from the end of the head.
      idle_ms: Time between requests, and time without progress while an
        answer is sent.
      connections: Connections at a time; fewer where the process may not
        open as many files.
      total_body_bytes: Bodies of requests that have no whole answer yet,
        received in part or whole, all together.
    """

    head_bytes: int = 16384
    body_bytes: int = 1048576
    head_ms: int = 10_000
    body_ms: int = 30_000
    idle_ms: int = 60_000
    connections: int = 4096
    total_body_bytes: int = 67_108_864


class Server(Protocol):
    """The server, as far as a session needs it."""

    limits: Limits
    draining: bool

    def exchange_began(self, exchange: http_exchange.Exchange) -> None:
        """Passes a whole request on."""

    def exchange_ended(self) -> None:
        """Takes note that an answer is written, or its caller gone."""

    def hold_body(self, size_bytes: int) -> bool:
        """Counts bytes of a body; False when there is no room."""

    def release_body(self, size_bytes: int) -> None:
        """Takes back what hold_body() counted."""

    def request_refused(self, failure: Any) -> None:
        """Reports a request that was refused before it was whole."""

    def session_ended(self, session: 'Session') -> None:
        """Takes note that a connection is gone."""

    def call_later(
        self, delay_ms: int, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Calls back after a time."""


class Session:
    """Requests of one connection, one after the other."""

    def __init__(
        self, server: Server, connection: connections.Connection
    ) -> None:
        self.connection = connection
        self._server = server
        self._buffer = b''
        self._head: http_parsing.RequestHead | None = None
        self._body: http_parsing.Body | None = None
        self._body_data = bytearray()
        self._body_bytes = 0
        self._held_bytes = 0
        self._held_head_bytes = 0
        self._exchange: http_exchange.Exchange | None = None
        self._pipelined = False
        self._ending = False
        self._timer: asyncio.TimerHandle | None = None
        self._seen_bytes_sent = 0
        connection.on_data = self._on_data
        connection.on_closed = self._on_closed
        self._arm(self._limits.head_ms, self._on_head_late)

    @property
    def _limits(self) -> Limits:
        """The limits in force, which may change while it is open."""
        return self._server.limits

    @property
    def idle(self) -> bool:
        """Whether no request is under way."""
        return self._exchange is None and not self._buffer and not self._head

    @property
    def reading(self) -> bool:
        """Whether a request has arrived in part."""
        return not self._ending and bool(self._buffer or self._head)

    @property
    def flushing(self) -> bool:
        """Whether the caller has not taken all that was answered."""
        return self._ending or self.connection.buffered_bytes > 0

    def close_idle(self) -> None:
        """Closes the connection if no request is under way on it.

        A request that is on its way meanwhile is dropped unread: its
        caller sees a connection that ended before it was read.
        """
        if self.idle and not self._ending:
            self._end()

    def closes_after(self, exchange: http_exchange.Exchange) -> bool:
        return self._ending or not exchange.keep_alive or self._server.draining

    def finished(self, exchange: http_exchange.Exchange) -> None:
        if exchange is not self._exchange:
            return
        self._exchange = None
        self._drop_body()
        self._server.exchange_ended()
        if self._pipelined and not self._ending:
            self._refuse(errors.PipelinedRequest())
        elif self.closes_after(exchange):
            self._end()
        else:
            self._arm(self._limits.idle_ms, self._on_idle)
            if self.connection.buffered_bytes > UNSENT_BYTES:
                self.connection.pause()
                self.connection.when_drained(
                    UNSENT_BYTES, self.connection.resume
                )

    def _on_data(self, data: bytes) -> None:
        if self._ending:
            return
        if self._exchange is not None:
            if data.strip(b'\r\n'):
                self._pipelined = True
            return
        if self._head is None:
            self._read_head(data)
        else:
            self._read_body(data)

    def _read_head(self, data: bytes) -> None:
        if not self._buffer:
            data = data.lstrip(b'\r\n')
            if not data:
                return
            if data[0] == TLS_HANDSHAKE_BYTE:
                self.connection.abort()
                return
            self._arm(self._limits.head_ms, self._on_head_late)
        self._buffer += data
        end = self._buffer.find(http_parsing.HEAD_END)
        size = end if end >= 0 else len(self._buffer)
        if size > self._limits.head_bytes:
            self._refuse(errors.HeadersTooLarge(self._limits.head_bytes))
            return
        if end < 0:
            self._hold_head(len(data))
            return
        self._release_head()
        end += len(http_parsing.HEAD_END)
        block, rest = self._buffer[:end], self._buffer[end:]
        self._buffer = b''
        self._begin_body(block, rest)

    def _hold_head(self, size_bytes: int) -> None:
        """Counts a part of a head that is not whole."""
        if not self._server.hold_body(size_bytes):
            self._refuse(errors.Overloaded(BUSY_RETRY_MS))
            return
        self._held_head_bytes += size_bytes

    def _release_head(self) -> None:
        if self._held_head_bytes:
            self._server.release_body(self._held_head_bytes)
            self._held_head_bytes = 0

    def _begin_body(self, block: bytes, rest: bytes) -> None:
        parsed = http_parsing.parse_request_head(block)
        if not isinstance(parsed, Success):
            self._refuse(errors.MalformedRequest(parsed.failure().reason))
            return
        head = parsed.unwrap()
        framed = http_parsing.request_body(head)
        if not isinstance(framed, Success):
            self._refuse(errors.MalformedRequest(framed.failure().reason))
            return
        self._head = head
        self._body = framed.unwrap()
        self._body_data = bytearray()
        self._body_bytes = 0
        if self._declared_bytes(head) > self._limits.body_bytes:
            self._refuse(errors.BodyTooLarge(self._limits.body_bytes))
            return
        if not self._body.done:
            self._arm(self._limits.body_ms, self._on_body_late)
            if head.headers.get('expect', '').lower() == '100-continue':
                self.connection.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        self._read_body(rest)

    def _declared_bytes(self, head: http_parsing.RequestHead) -> int:
        return int(head.headers.get('content-length', '0'))

    def _read_body(self, data: bytes) -> None:
        assert self._body is not None
        if self._body.done:
            self._body.leftover = data
        else:
            decoded = self._body.feed(data)
            if not isinstance(decoded, Success):
                self._refuse(errors.MalformedRequest(decoded.failure().reason))
                return
            if not self._take_piece(decoded.unwrap()):
                return
        if self._body.done:
            self._pass_on()

    def _take_piece(self, piece: bytes) -> bool:
        if not piece:
            return True
        self._body_bytes += len(piece)
        if self._body_bytes > self._limits.body_bytes:
            self._refuse(errors.BodyTooLarge(self._limits.body_bytes))
            return False
        self._body_data += piece
        if not self._server.hold_body(len(piece)):
            self._refuse(errors.Overloaded(BUSY_RETRY_MS))
            return False
        self._held_bytes += len(piece)
        return True

    def _drop_body(self) -> None:
        self._release_head()
        if self._held_bytes:
            self._server.release_body(self._held_bytes)
            self._held_bytes = 0
        self._body_data = bytearray()

    def _pass_on(self) -> None:
        assert self._head is not None
        assert self._body is not None
        exchange = http_exchange.Exchange(
            self, self._head, bytes(self._body_data)
        )
        self._pipelined = bool(self._body.leftover.strip(b'\r\n'))
        self._head = None
        self._body = None
        # The body counts until the answer is whole: it may be sent again.
        self._body_data = bytearray()
        self._exchange = exchange
        self._arm(self._limits.idle_ms, self._on_idle)
        self._server.exchange_began(exchange)

    def _refuse(self, failure: Any) -> None:
        """Answers a request that never became whole, then ends."""
        self._ending = True
        self._buffer = b''
        self._body = None
        self._drop_body()
        head = self._head or http_parsing.RequestHead(
            'GET', '/', '', {}, False, False
        )
        self._head = None
        exchange = http_exchange.Exchange(self, head, b'')
        exchange.refuse(failure)
        self._server.request_refused(failure)
        self._end()

    def _end(self) -> None:
        self._ending = True
        self._arm(self._limits.idle_ms, self._on_idle)
        self.connection.close()

    def _on_closed(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._buffer = b''
        self._drop_body()
        self._server.session_ended(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._server.exchange_ended()
            exchange.lose()

    def _on_head_late(self) -> None:
        if not self._buffer:
            self.connection.abort()
            return
        self._refuse(errors.HeaderTimeout(self._limits.head_ms))

    def _on_body_late(self) -> None:
        self._refuse(errors.HeaderTimeout(self._limits.body_ms))

    def _on_idle(self) -> None:
        """Cuts a connection that neither takes data nor sends requests."""
        connection = self.connection
        progressed = connection.bytes_sent != self._seen_bytes_sent
        if connection.buffered_bytes:
            live = progressed
        else:
            live = self._exchange is not None
        if not live:
            connection.abort()
            return
        self._seen_bytes_sent = connection.bytes_sent
        self._arm(self._limits.idle_ms, self._on_idle)

    def _arm(self, delay_ms: int, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._server.call_later(delay_ms, callback)
