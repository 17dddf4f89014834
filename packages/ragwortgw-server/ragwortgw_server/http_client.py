"""HTTP/1.1 client with pooled connections, on the process's loop."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import ssl
from typing import Any, NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_server import clock
from ragwortgw_server import connections
from ragwortgw_server import http_channel
from ragwortgw_server import loop as loops

MAX_BODY_BYTES = 64 * 1024 * 1024
IDLE_LIMIT_MS = 30_000
MAX_IDLE_PER_ADDRESS = 64

HttpFailure = http_channel.HttpFailure


class Response(NamedTuple):
    """A whole response; header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class StreamBroken(Exception):
    """A streamed response broke off."""

    def __init__(self, failure: HttpFailure) -> None:
        super().__init__(failure)
        self.failure = failure


class Stream:
    """A response whose body is read piece by piece.

    Iterate over it for the pieces; StreamBroken is raised when it breaks
    off. close() before the end drops the connection.
    """

    def __init__(
        self,
        client: 'HttpClient',
        call: http_channel.Call,
        channel: http_channel.Channel,
    ) -> None:
        assert channel.head is not None
        self.status = channel.head.status
        self.headers = channel.head.headers
        self._client = client
        self._call = call
        self._channel = channel
        self._released = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while True:
            piece = await self.read()
            if not piece:
                return
            yield piece

    async def read(self) -> bytes:
        """Waits for the next piece.

        Returns: The piece; b'' when the body is whole.
        Raises:
          StreamBroken: The response broke off or the deadline passed.
        """
        if self._released:
            return b''
        piece = await self._channel.next_piece()
        if piece:
            return piece
        failure = self._channel.failure
        if failure is not None:
            self.close()
            self._client.note_failure(self._call.address, failure)
            raise StreamBroken(failure)
        self._released = True
        self._client.release(self._call.address, self._channel)
        return b''

    def close(self) -> None:
        """Gives the response up; the connection is closed."""
        if not self._released:
            self._released = True
            self._channel.abort()


class HttpClient:
    """Sends requests over pooled connections; a context manager."""

    def __init__(
        self, loop: loops.Loop, tls: ssl.SSLContext | None = None
    ) -> None:
        self._connections = connections.open_connections(loop)
        self._tls = tls
        self._idle_by_address: dict[str, list[http_channel.Channel]] = {}
        self._closed = False

    def __enter__(self) -> 'HttpClient':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Closes the idle connections; those in use close after use."""
        self._closed = True
        for channels in self._idle_by_address.values():
            for channel in channels:
                channel.abort()
        self._idle_by_address.clear()

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline_ms: int,
        repeatable: bool = False,
    ) -> Result[Response, HttpFailure]:
        """Sends a request and waits for the whole response.

        Args:
          method: HTTP method.
          address: 'ip:port' of the server.
          path: Path and query.
          headers: Headers; Host and Content-Length are added.
          body: Whole body.
          deadline_ms: When to give up, Unix ms.
          repeatable: Whether a request that may have arrived may be sent
            again when its pooled connection turns out to be closed.
        Returns: The response, or why there is none.
        """
        opened = await self.open_stream(
            method, address, path, headers, body, deadline_ms, repeatable
        )
        if not isinstance(opened, Success):
            return Failure(opened.failure())
        stream = opened.unwrap()
        pieces: list[bytes] = []
        total_bytes = 0
        try:
            async for piece in stream:
                pieces.append(piece)
                total_bytes += len(piece)
                if total_bytes > MAX_BODY_BYTES:
                    return Failure(HttpFailure('protocol', True))
        except StreamBroken as broken:
            return Failure(broken.failure)
        finally:
            stream.close()
        return Success(
            Response(stream.status, stream.headers, b''.join(pieces))
        )

    async def open_stream(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline_ms: int,
        repeatable: bool = False,
    ) -> Result[Stream, HttpFailure]:
        """Sends a request and waits for the head of the response.

        Args: As for request().
        Returns: The response as a stream, or why there is none.
        """
        call = http_channel.Call(
            method, address, path, headers, body, deadline_ms
        )
        while True:
            if clock.now_ms() >= deadline_ms:
                return Failure(HttpFailure('timeout', False))
            pooled = self._take(address)
            result = await self._attempt(call, pooled)
            if isinstance(result, Success) or pooled is None:
                return result
            failure = result.failure()
            if failure.reason != 'reset' or pooled.answered:
                return result
            if failure.sent and not repeatable:
                return result

    def release(self, address: str, channel: http_channel.Channel) -> None:
        """Takes a channel back whose response is whole."""
        idle = self._idle_by_address.setdefault(address, [])
        if (
            self._closed
            or not channel.reusable
            or len(idle) >= MAX_IDLE_PER_ADDRESS
        ):
            channel.abort()
            return
        channel.idle_since_ms = clock.now_ms()
        idle.append(channel)

    def note_failure(self, address: str, failure: HttpFailure) -> None:
        """Closes the idle connections to an address that fell silent.

        When one connection falls silent, those opened before may be silent
        too; each would cost a timeout.

        Args:
          address: 'ip:port' of the server.
          failure: How a request to it failed.
        """
        if failure.reason != 'timeout' or not failure.sent:
            return
        for channel in self._idle_by_address.pop(address, []):
            channel.abort()

    def _take(self, address: str) -> http_channel.Channel | None:
        idle = self._idle_by_address.get(address)
        oldest_ms = clock.now_ms() - IDLE_LIMIT_MS
        while idle:
            channel = idle.pop()
            if not channel.reusable:
                continue
            if channel.idle_since_ms >= oldest_ms:
                return channel
            channel.abort()
        self._idle_by_address.pop(address, None)
        return None

    async def _attempt(
        self, call: http_channel.Call, pooled: http_channel.Channel | None
    ) -> Result[Stream, HttpFailure]:
        channel = pooled
        if channel is None:
            connected = await self._connect(call)
            if not isinstance(connected, Success):
                return Failure(connected.failure())
            channel = connected.unwrap()
        opened = False
        try:
            channel.send(call)
            await channel.wait_head()
            opened = channel.failure is None
        finally:
            if not opened:
                channel.abort()
        if channel.failure is not None:
            self.note_failure(call.address, channel.failure)
            return Failure(channel.failure)
        return Success(Stream(self, call, channel))

    async def _connect(
        self, call: http_channel.Call
    ) -> Result[http_channel.Channel, HttpFailure]:
        left_ms = max(0, call.deadline_ms - clock.now_ms())
        try:
            async with asyncio.timeout(left_ms / 1000):
                connection = await self._connections.connect(
                    call.address, self._tls
                )
        except TimeoutError:
            return Failure(HttpFailure('timeout', False))
        except OSError:
            return Failure(HttpFailure('refused', False))
        return Success(http_channel.Channel(connection))


def open_http_client(loop: loops.Loop, **options: Any) -> HttpClient:
    """Creates a client on a loop.

    Args:
      loop: The process's loop.
      options: tls: context when TLS is wanted.
    Returns: The client, to be closed by its owner.
    """
    return HttpClient(loop, **options)
