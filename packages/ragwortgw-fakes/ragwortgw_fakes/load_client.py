"""HTTP client of the load tool: pooled connections, times of bytes."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

import h11

PIECE_BYTES = 64 * 1024
MAX_IDLE_S = 5.0


class Reply(NamedTuple):
    """A whole response; first_s is the loop time of its first body byte."""

    status: int
    headers: dict[str, str]
    body: bytes
    first_s: float


class Broken(Exception):
    """The connection broke before the response was whole.

    Attributes:
      status: Status of the response, 0 if none came.
      body: The part of it that came.
    """

    def __init__(self, reason: str, status: int = 0, body: bytes = b''):
        super().__init__(reason)
        self.status = status
        self.body = body


class Connection(NamedTuple):
    """One open connection and its protocol state."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    state: h11.Connection
    idle_s: float


class Pool:
    """Keeps connections open by address; a context manager.

    Args:
      max_idle_s: A connection that was idle for longer is not used again.
    """

    def __init__(self, max_idle_s: float = MAX_IDLE_S) -> None:
        self._max_idle_s = max_idle_s
        self._idle_by_address: dict[str, list[Connection]] = {}

    def __enter__(self) -> 'Pool':
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.writer.close()
        self._idle_by_address.clear()

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        pause_s: float = 0.0,
    ) -> Reply:
        """Sends a request and reads the whole response.

        Args:
          address: 'ip:port' of the server.
          method: HTTP method.
          path: Path and query.
          headers: Further headers.
          body: Whole body.
          pause_s: Pause in the midst of the body.
        Returns: The response.
        Raises:
          Broken: The connection broke.
          OSError: No connection came about.
        """
        connection = await self._take(address)
        try:
            return await self._exchange(
                connection, address, method, path, headers, body, pause_s
            )
        except (ConnectionError, h11.RemoteProtocolError) as error:
            raise Broken(str(error)) from error
        finally:
            self._put_back(address, connection)

    async def _take(self, address: str) -> Connection:
        idle = self._idle_by_address.setdefault(address, [])
        oldest_s = asyncio.get_running_loop().time() - self._max_idle_s
        while idle:
            connection = idle.pop()
            fresh = connection.idle_s > oldest_s
            if fresh and not connection.reader.at_eof():
                return connection
            connection.writer.close()
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        return Connection(reader, writer, h11.Connection(h11.CLIENT), 0.0)

    def _put_back(self, address: str, connection: Connection) -> None:
        state = connection.state
        if state.our_state is h11.DONE and state.their_state is h11.DONE:
            state.start_next_cycle()
            now_s = asyncio.get_running_loop().time()
            self._idle_by_address[address].append(
                connection._replace(idle_s=now_s)
            )
            return
        connection.writer.transport.abort()

    async def _exchange(
        self,
        connection: Connection,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        pause_s: float,
    ) -> Reply:
        fields = {
            'Host': address,
            'Content-Length': str(len(body)),
            **headers,
        }
        state = connection.state
        request = h11.Request(
            method=method, target=path, headers=list(fields.items())
        )
        parts = [request, h11.Data(data=body), h11.EndOfMessage()]
        data = b''.join(state.send(p) or b'' for p in parts)
        if pause_s:
            first = len(data) - len(body) // 2
            connection.writer.write(data[:first])
            await asyncio.sleep(pause_s)
            data = data[first:]
        connection.writer.write(data)
        await connection.writer.drain()
        return await self._read(connection)

    async def _read(self, connection: Connection) -> Reply:
        head: h11.Response | None = None
        pieces: list[bytes] = []
        first_s = 0.0
        try:
            while True:
                event = connection.state.next_event()
                if event is h11.NEED_DATA:
                    data = await connection.reader.read(PIECE_BYTES)
                    connection.state.receive_data(data)
                elif isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.Data):
                    first_s = first_s or asyncio.get_running_loop().time()
                    pieces.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise ConnectionError('closed')
        except (ConnectionError, h11.RemoteProtocolError) as error:
            status = 0 if head is None else head.status_code
            raise Broken(str(error), status, b''.join(pieces)) from error
        if head is None:
            raise Broken('no head')
        named = {k.decode(): v.decode('latin-1') for k, v in head.headers}
        return Reply(head.status_code, named, b''.join(pieces), first_s)
