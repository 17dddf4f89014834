"""A small HTTP/1.1 server over asyncio and h11, shared by the stand-ins."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging
import socket
import struct
from typing import Any, NamedTuple
import urllib.parse

import h11
import msgspec

from ragwortgw_fakes import ports

Headers = tuple[tuple[str, str], ...]

LOG = logging.getLogger(__name__)

LINGER_NONE = struct.pack('ii', 1, 0)
MAX_HEADER_BYTES = 64 * 1024


class Request(NamedTuple):
    """One request, read whole; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes
    content_type: str = 'application/json'
    headers: Headers = ()


class StreamResponse(NamedTuple):
    """An answer whose pieces are sent as they come."""

    status: int
    pieces: AsyncGenerator[bytes, None]
    content_type: str = 'text/event-stream'
    headers: Headers = ()


class Drop(Exception):
    """Raised by a handler: the connection is reset without an answer."""


class Tear(Exception):
    """Raised by a handler: its answer ends in order inside the head.

    Args:
      answer: The answer that begins.
    """

    def __init__(self, answer: Response) -> None:
        super().__init__(answer)
        self.answer = answer


Handler = Callable[[Request], Awaitable[Response | StreamResponse]]


def json_response(
    status: int, document: Any, headers: Headers = ()
) -> Response:
    """Encodes a document as a JSON answer.

    Args:
      status: HTTP status code.
      document: Anything that msgspec encodes.
      headers: Further headers.
    Returns: The answer.
    """
    return Response(status, msgspec.json.encode(document), headers=headers)


def error_response(status: int, code: str) -> Response:
    """Builds the JSON answer of a refusal.

    Args:
      status: HTTP status code.
      code: What was wrong, as a constant word.
    Returns: The answer.
    """
    return json_response(status, {'error': {'code': code}})


class Connection(asyncio.Protocol):
    """One connection of a client; one request at a time."""

    def __init__(self, server: 'Server') -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._transport: Any = None
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._task: asyncio.Task | None = None
        self._copy = b''
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._server.connections.add(self)
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self._server.accepting:
            self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._writable.set()
        if self._task is not None and self._server.cancel_on_disconnect:
            self._task.cancel()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            self._pump()
        except h11.RemoteProtocolError:
            self._transport.close()

    def reset(self) -> None:
        """Closes the connection at once; the client sees a reset."""
        sock = self._transport.get_extra_info('socket')
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self._transport.abort()

    def _pump(self) -> None:
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                self._head = event
                self._body = []
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._start()
            elif isinstance(event, h11.ConnectionClosed):
                self._transport.close()
                return
            else:
                return

    def _start(self) -> None:
        assert self._head is not None
        target = self._head.target.decode('ascii', 'replace')
        path, _, query = target.partition('?')
        request = Request(
            self._head.method.decode('ascii'),
            path,
            dict(urllib.parse.parse_qsl(query)),
            {k.decode(): v.decode('latin-1') for k, v in self._head.headers},
            b''.join(self._body),
        )
        self._task = asyncio.get_running_loop().create_task(
            self._serve(request)
        )

    async def _serve(self, request: Request) -> None:
        try:
            answer = await self._server.handler(request)
            self._send_copy()
            if isinstance(answer, Response):
                self._send_whole(answer)
            else:
                await self._send_stream(answer)
        except Drop:
            self.reset()
            return
        except Tear as tear:
            self._send_torn(tear.answer)
            return
        except Exception:
            LOG.exception('%s %s failed', request.method, request.path)
            self.reset()
            return
        finally:
            self._task = None
        self._next_cycle()

    def _next_cycle(self) -> None:
        if self._transport.is_closing():
            return
        if self._h11.our_state is not h11.DONE:
            self._transport.close()
            return
        self._h11.start_next_cycle()
        try:
            self._pump()
        except h11.RemoteProtocolError:
            self._transport.close()

    def _write(self, *events: h11.Event) -> bytes:
        data = b''.join(self._h11.send(event) or b'' for event in events)
        if not self._transport.is_closing():
            self._transport.write(data)
        return data

    def _send_copy(self) -> None:
        """Sends an earlier answer once more, before the present one."""
        copy, self._copy = self._copy, b''
        if copy and not self._transport.is_closing():
            self._transport.write(copy)

    def _send_torn(self, answer: Response) -> None:
        head = self._h11.send(_response(answer)) or b''
        if not self._transport.is_closing():
            self._transport.write(head[: len(head) * 3 // 4])
            self._transport.close()

    def _send_whole(self, answer: Response) -> None:
        sent = self._write(
            _response(answer),
            h11.Data(data=answer.body),
            h11.EndOfMessage(),
        )
        if self._server.copies_next:
            self._server.copies_next -= 1
            self._copy = sent

    async def _send_stream(self, answer: StreamResponse) -> None:
        headers = [
            ('content-type', answer.content_type),
            ('transfer-encoding', 'chunked'),
            *answer.headers,
        ]
        self._write(h11.Response(status_code=answer.status, headers=headers))
        async with contextlib.aclosing(answer.pieces) as pieces:
            async for piece in pieces:
                self._write(h11.Data(data=piece))
                await self._writable.wait()
        self._write(h11.EndOfMessage())


def _response(answer: Response) -> h11.Response:
    headers = [
        ('content-type', answer.content_type),
        ('content-length', str(len(answer.body))),
        *answer.headers,
    ]
    return h11.Response(status_code=answer.status, headers=headers)


class Server:
    """Listens on one address; an async context manager.

    Args:
      handler: Coroutine that answers one request.
      cancel_on_disconnect: Whether the handler is cancelled when the client
        closes its connection; if not, it runs to its end unheard.
    """

    def __init__(
        self, handler: Handler, cancel_on_disconnect: bool = True
    ) -> None:
        self.handler = handler
        self.cancel_on_disconnect = cancel_on_disconnect
        self.connections: set[Connection] = set()
        self.accepting = True
        #: The next N whole answers are sent once more, each before the next
        #: answer on its connection.
        self.copies_next = 0
        self.address = ''
        self._server: asyncio.Server | None = None
        #: Keeps the port from other processes while nothing listens there.
        self._reservation: socket.socket | None = None

    async def __aenter__(self) -> 'Server':
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.close()

    async def listen(self, address: str) -> None:
        """Binds and listens.

        Args:
          address: 'ip:port'; port 0 takes a free one.
        """
        host, _, port = address.rpartition(':')
        if self._reservation is None:
            self._reservation = ports.reserve(host, int(port))
            port = self._reservation.getsockname()[1]
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self),
            host,
            int(port),
            backlog=1024,
            reuse_address=True,
        )
        name = self._server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'

    def refuse(self) -> None:
        """Stops listening, so that new connections are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def listen_again(self) -> None:
        """Listens on the former address again."""
        if self._server is None:
            await self.listen(self.address)

    def reset_all(self) -> None:
        """Resets every open connection."""
        for connection in list(self.connections):
            connection.reset()

    async def close(self) -> None:
        """Stops listening and closes every connection."""
        self.refuse()
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None
        self.reset_all()
        await asyncio.sleep(0)
