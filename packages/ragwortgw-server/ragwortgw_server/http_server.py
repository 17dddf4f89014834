"""HTTP server that bounds what a caller may take up."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import logging
import resource
import socket
import ssl
from typing import Any

from circuits.net import sockets

from ragwortgw_core import errors
from ragwortgw_server import connections
from ragwortgw_server import http_exchange
from ragwortgw_server import http_session
from ragwortgw_server import loop as loops

LOG = logging.getLogger(__name__)

ACCEPT_BATCH = 64
ACCEPT_PAUSE_S = 0.1
#: Files that callers' connections leave to the rest of the process.
RESERVED_FILES = 256
MIN_CONNECTIONS = 16

FLUSH_POLL_S = 0.02
Handle = Callable[[http_exchange.Exchange], None]
Limits = http_session.Limits


class HttpServer(sockets.TCPServer):
    """Listens for callers and passes whole requests to a callback.

    Requests on one connection are answered one at a time; a second one
    that comes before the answer is refused after it.
    """

    _sock: Any

    def __init__(
        self,
        loop: loops.Loop,
        bind: tuple[str, int],
        handle: Handle,
        limits: Limits = Limits(),
        tls: ssl.SSLContext | None = None,
        on_refused: Callable[[Any], None] = lambda failure: None,
    ) -> None:
        super().__init__(bind, channel=f'http-{id(self):x}')
        self.limits = limits
        self.draining = False
        self._stopped = False
        self._loop = loop
        self._handle = handle
        self._tls = tls
        self._on_refused = on_refused
        self._sockets = connections.open_connections(loop)
        connections.limit_queues(self._sock)
        self._sessions: dict[http_session.Session, None] = {}
        self._active = 0
        self._held_body_bytes = 0
        self._most_sessions = _most_connections(limits.connections)
        self._accept_failed = False
        self._idle_waiters: list[asyncio.Future[None]] = []

    def __enter__(self) -> 'HttpServer':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.shut()

    @property
    def address(self) -> str:
        """Where it listens, 'ip:port'."""
        return f'{self.host}:{self.port}'

    @property
    def active(self) -> int:
        """Requests that are not answered whole yet."""
        return self._active

    @property
    def held_body_bytes(self) -> int:
        """Bytes of bodies of requests that have no whole answer yet."""
        return self._held_body_bytes

    @property
    def sessions(self) -> int:
        """Connections of callers."""
        return len(self._sessions)

    @property
    def reading(self) -> int:
        """Connections on which a request has arrived in part."""
        return sum(session.reading for session in self._sessions)

    @property
    def unflushed(self) -> int:
        """Connections whose caller has not taken all that was answered."""
        return sum(session.flushing for session in self._sessions)

    def retire(self) -> None:
        """Lets connections end with their next answer; listens on."""
        self.draining = True

    def close_idle(self) -> None:
        """Closes connections on which no request is under way."""
        for session in list(self._sessions):
            session.close_idle()

    def drain(self) -> None:
        """Stops listening; connections end with their present answer."""
        if self._stopped:
            return
        self._stopped = True
        self._accept()
        self.draining = True
        if self._poller is not None:
            self._close(self._sock)
        elif self._sock is not None:
            self._sock.close()
            self._sock = None

    async def wait_idle(self) -> None:
        """Waits until every request is answered."""
        while self._active:
            waiter = asyncio.get_running_loop().create_future()
            self._idle_waiters.append(waiter)
            await waiter

    async def wait_flushed(self) -> None:
        """Waits until callers have sent all and taken all.

        Returns in a turn of the loop in which no request is being read, in
        progress or unflushed.
        """
        while self._active or self.reading or self.unflushed:
            await asyncio.sleep(FLUSH_POLL_S)

    def shut(self) -> None:
        """Stops listening and cuts every connection."""
        self.drain()
        for session in list(self._sessions):
            session.connection.abort()

    def call_later(
        self, delay_ms: int, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Calls back after a time."""
        return self._loop.asyncio_loop.call_later(delay_ms / 1000, callback)

    def exchange_began(self, exchange: http_exchange.Exchange) -> None:
        """Passes a whole request to the callback."""
        self._active += 1
        try:
            self._handle(exchange)
        except Exception:
            LOG.exception('handler failed on %s', exchange.path)
            exchange.refuse(errors.InternalError())
            exchange.abort()

    def exchange_ended(self) -> None:
        """Takes note that an answer is written, or its caller gone."""
        self._active -= 1
        if self._active:
            return
        for waiter in self._idle_waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._idle_waiters.clear()

    def hold_body(self, size_bytes: int) -> bool:
        """Counts bytes of a body that arrived, until release_body().

        Args:
          size_bytes: Size of the new piece.
        Returns: False, without counting it, when there is no room.
        """
        held = self._held_body_bytes + size_bytes
        if held > self.limits.total_body_bytes:
            return False
        self._held_body_bytes = held
        self._sockets.budget.hold('requests', size_bytes)
        return True

    def release_body(self, size_bytes: int) -> None:
        """Takes back what hold_body() counted."""
        self._held_body_bytes -= size_bytes
        self._sockets.budget.hold('requests', -size_bytes)

    def caller_connections(self) -> Iterator[connections.Connection]:
        """Yields the connections of callers, the oldest first."""
        for session in self._sessions:
            yield session.connection

    def request_refused(self, failure: Any) -> None:
        """Reports a request that was refused before it was whole."""
        self._on_refused(failure)

    def session_ended(self, session: http_session.Session) -> None:
        """Takes note that a connection is gone."""
        self._sessions.pop(session, None)

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if self._sock is None:
                return
            try:
                sock, _address = self._sock.accept()
            except (BlockingIOError, ConnectionError):
                return
            except OSError as error:
                self._pause_accept(error)
                return
            self._accept_failed = False
            self._admit(sock)

    def _admit(self, sock: Any) -> None:
        if not self._make_room():
            self._turn_away(sock)
            return
        try:
            connection = self._sockets.adopt(sock, self._tls, server_side=True)
        except OSError:
            sock.close()
            return
        self._sessions[http_session.Session(self, connection)] = None

    def _make_room(self) -> bool:
        if len(self._sessions) < self._most_sessions:
            return True
        for session in self._sessions:
            if session.idle:
                session.connection.abort()
                del self._sessions[session]
                return True
        return False

    def _turn_away(self, sock: Any) -> None:
        """Refuses a connection with no more effort than one write."""
        failure = errors.Overloaded(http_session.BUSY_RETRY_MS)
        if self._tls is None:
            try:
                sock.setblocking(False)
                sock.send(http_exchange.refusal(failure))
                sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass
        sock.close()
        self._on_refused(failure)

    def _pause_accept(self, error: OSError) -> None:
        if not self._accept_failed:
            LOG.warning('accept failed: %s', error)
        self._accept_failed = True
        self._poller.removeReader(self._sock)
        self._loop.asyncio_loop.call_later(ACCEPT_PAUSE_S, self._resume_accept)

    def _resume_accept(self) -> None:
        if self._sock is not None and not self._stopped:
            self._poller.addReader(self, self._sock)


def _most_connections(limit: int) -> int:
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if files == resource.RLIM_INFINITY:
        return limit
    return min(limit, max(MIN_CONNECTIONS, files - RESERVED_FILES))


def open_http_server(
    loop: loops.Loop, bind: str, handle: Handle, **options: Any
) -> HttpServer:
    """Opens a listening server on a loop.

    Args:
      loop: The process's loop.
      bind: 'ip:port', port 0 for a free one.
      handle: Called with each whole request.
      options: limits, tls and on_refused, as for HttpServer.
    Returns: The server, to be shut by its owner.
    """
    host, _, port = bind.rpartition(':')
    server = HttpServer(loop, (host, int(port)), handle, **options)
    return server.register(loop.root)
