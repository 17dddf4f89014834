"""A TCP relay that can drop bytes for good, one way too, reset or delay."""

import asyncio
from collections.abc import Callable
import contextlib
import json
import socket
from typing import Any, Literal

from ragwortgw_fakes import http
from ragwortgw_fakes import serving

#: There is towards the target, back is towards who connected.
Direction = Literal['there', 'back']
DIRECTIONS: tuple[Direction, ...] = ('there', 'back')
PIECE_BYTES = 64 * 1024
MAX_QUEUED_PIECES = 256


class Link:
    """One relayed connection.

    Attributes:
      silent: Directions in which bytes are lost, for good.
    """

    def __init__(self, cable: 'Cable') -> None:
        self._cable = cable
        self.silent: set[Direction] = set(cable.blocked)
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task] = []

    def relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Starts to pass bytes on in one direction."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            MAX_QUEUED_PIECES
        )
        self.tasks.append(asyncio.create_task(self._read(reader, queue)))
        self.tasks.append(
            asyncio.create_task(self._write(queue, writer, direction))
        )

    async def _read(
        self, reader: asyncio.StreamReader, queue: asyncio.Queue
    ) -> None:
        loop = asyncio.get_running_loop()
        data = b'-'
        while data:
            try:
                data = await reader.read(PIECE_BYTES)
            except ConnectionError:
                data = b''
            due_s = loop.time() + self._cable.delay_ms / 1000
            await queue.put((due_s, data))

    async def _write(
        self,
        queue: asyncio.Queue,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await queue.get()
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            if direction in self.silent:
                continue
            with contextlib.suppress(ConnectionError, RuntimeError):
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()

    def reset(self) -> None:
        """Resets both ends."""
        for writer in self.writers:
            sock = writer.get_extra_info('socket')
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, http.LINGER_NONE
                )
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()


class Cable:
    """Relays a listener to a target; an async context manager.

    Args:
      target: 'ip:port' that connections are passed to.
      address: 'ip:port' to listen on; port 0 takes a free one.
    """

    def __init__(
        self, target: str, address: str = f'{serving.LOOPBACK}:0'
    ) -> None:
        self.target = target
        self.address = address
        self.delay_ms = 0
        self.blocked: set[Direction] = set()
        self.links: set[Link] = set()
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> 'Cable':
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._connected, host, int(port)
        )
        name = self._server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.close()

    def silence(self) -> int:
        """Drops all bytes of the open connections for good.

        New ones work. Returns: The number of silenced connections.
        """
        for link in self.links:
            link.silent.update(DIRECTIONS)
        return len(self.links)

    def partition(self, *directions: Direction) -> None:
        """Drops the bytes of open and new connections.

        Args:
          directions: Only in these; none given means both.
        """
        self.blocked.update(directions or DIRECTIONS)
        for link in self.links:
            link.silent |= self.blocked

    def heal(self) -> None:
        """Lets new connections work; silenced ones stay silent."""
        self.blocked.clear()

    def cut(self) -> None:
        """Resets all open connections."""
        for link in list(self.links):
            link.reset()
        self.links.clear()

    async def close(self) -> None:
        """Stops listening and resets what is open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.cut()
        await asyncio.sleep(0)

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        link = Link(self)
        link.writers.append(writer)
        self.links.add(link)
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            link.reset()
            self.links.discard(link)
            return
        link.writers.append(far_writer)
        link.relay(reader, far_writer, 'there')
        link.relay(far_reader, writer, 'back')


class CableFake(serving.Fake):
    """The relay as a process; control fields:

    mode: 'silence' (open connections), 'partition', 'heal' or 'cut'.
    delay_ms: Delay in each direction.
    """

    def __init__(self, target: str) -> None:
        super().__init__()
        self.cable = Cable(target)

    async def open(self, address: str) -> None:
        await super().open(f'{serving.LOOPBACK}:0')
        self.cable.address = address
        await self.cable.__aenter__()

    async def close(self) -> None:
        await self.cable.close()
        await super().close()

    def ready_line(self) -> str:
        return json.dumps(
            {
                **json.loads(super().ready_line()),
                'address': self.cable.address,
            }
        )

    async def control(self, fields: dict[str, Any]) -> dict[str, Any]:
        self.cable.delay_ms = fields.get('delay_ms', self.cable.delay_ms)
        modes: dict[str, Callable[[], Any]] = {
            'silence': self.cable.silence,
            'partition': self.cable.partition,
            'heal': self.cable.heal,
            'cut': self.cable.cut,
        }
        if 'mode' in fields:
            modes[fields['mode']]()
        return self.records()

    def records(self) -> dict[str, Any]:
        return {
            'connections': self.cable.connections,
            'open': len(self.cable.links),
            'silent': sum(bool(link.silent) for link in self.cable.links),
        }


def main(*, target: str, port: int = 0) -> None:
    """Relays TCP connections to a target.

    Args:
      target: 'ip:port' that connections are passed to.
      port: TCP port; 0 takes a free one.
    """
    serving.run(CableFake(target), port)
