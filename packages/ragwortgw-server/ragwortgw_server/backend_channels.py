"""Connections to backend servers, kept by server and shared out."""

import asyncio

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_server import clock
from ragwortgw_server import connections
from ragwortgw_server import http_channel
from ragwortgw_server import loop as loops

HttpFailure = http_channel.HttpFailure

#: A server that does not accept a connection by then can't be reached.
CONNECT_TIMEOUT_MS = 1_000
#: A kept connection is not used in the last part of the time that its
#: server keeps it, so that request and close don't cross.
KEEP_MARGIN_MS = 1_500
#: How long a connection is kept whose server does not say.
UNKNOWN_KEEP_MS = 700
#: A request that must not run twice goes on a connection that was in use
#: this short a time ago, or on a new one.
FRESH_MS = 500
MAX_IDLE = 32
#: A connection that has carried so many requests is replaced, which bounds
#: the ids that are remembered of them.
MAX_USES = 128


class ChannelPool:
    """Connections by backend server; a context manager."""

    def __init__(self, loop: loops.Loop) -> None:
        self._connections = connections.open_connections(loop)
        self._idle_by_server: dict[str, list[http_channel.Channel]] = {}
        self._open_by_server: dict[str, int] = {}
        self.opened = 0

    def __enter__(self) -> 'ChannelPool':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for server_id in list(self._idle_by_server):
            self.drop(server_id)

    def kept(
        self, server_id: str, request_id: str, fresh: bool
    ) -> http_channel.Channel | None:
        """Takes an idle connection, the last used first.

        All attempts of a request have its id, and a server may send an
        answer twice: a connection carries at most one of them, so that an
        answer with the id can only be that one's.

        Args:
          server_id: The backend server.
          request_id: The request to be sent.
          fresh: Whether only one that was in use just now will do.
        """
        idle = self._idle_by_server.get(server_id, [])
        now_ms = clock.now_ms()
        for channel in reversed(idle[:]):
            if not channel.reusable or channel.idle_deadline_ms <= now_ms:
                idle.remove(channel)
                self.discard(server_id, channel)
            elif fresh and channel.idle_since_ms < now_ms - FRESH_MS:
                return None
            elif request_id not in channel.carried_ids:
                idle.remove(channel)
                return channel
        return None

    async def open(
        self, server_id: str, address: str, limit: int, deadline_ms: int
    ) -> Result[http_channel.Channel, HttpFailure]:
        """Opens a connection.

        Args:
          server_id: The backend server.
          address: Its 'ip:port'.
          limit: Connections to it that may be open.
          deadline_ms: When to give up, Unix ms.
        Returns: The connection, or why there is none; nothing was sent.
        """
        if self._open_by_server.get(server_id, 0) >= limit:
            idle = self._idle_by_server.get(server_id)
            if not idle:
                return Failure(HttpFailure('refused', False))
            self.discard(server_id, idle.pop(0))
        self._count(server_id, 1)
        left_ms = min(CONNECT_TIMEOUT_MS, deadline_ms - clock.now_ms())
        try:
            async with asyncio.timeout(max(0, left_ms) / 1000):
                connection = await self._connections.connect(address)
        except TimeoutError:
            self._count(server_id, -1)
            return Failure(HttpFailure('timeout', False))
        except OSError:
            self._count(server_id, -1)
            return Failure(HttpFailure('refused', False))
        except BaseException:
            self._count(server_id, -1)
            raise
        self.opened += 1
        return Success(http_channel.Channel(connection))

    def release(
        self,
        server_id: str,
        channel: http_channel.Channel,
        keep_alive_ms: int | None,
    ) -> None:
        """Takes a connection back whose answer is whole.

        Args:
          server_id: The backend server.
          channel: The connection.
          keep_alive_ms: How long the server keeps it, None if unknown.
        """
        idle = self._idle_by_server.setdefault(server_id, [])
        keep_ms = UNKNOWN_KEEP_MS
        if keep_alive_ms is not None:
            keep_ms = keep_alive_ms - KEEP_MARGIN_MS
        if (
            not channel.reusable
            or channel.uses >= MAX_USES
            or len(idle) >= MAX_IDLE
            or keep_ms <= 0
        ):
            self.discard(server_id, channel)
            return
        channel.idle_since_ms = clock.now_ms()
        channel.idle_deadline_ms = channel.idle_since_ms + keep_ms
        idle.append(channel)

    def discard(self, server_id: str, channel: http_channel.Channel) -> None:
        """Closes a connection, whatever its state."""
        channel.abort()
        self._count(server_id, -1)

    def drop(self, server_id: str) -> None:
        """Closes the idle connections to a server."""
        for channel in self._idle_by_server.pop(server_id, []):
            self.discard(server_id, channel)

    def _count(self, server_id: str, change: int) -> None:
        count = self._open_by_server.get(server_id, 0) + change
        if count > 0:
            self._open_by_server[server_id] = count
        else:
            self._open_by_server.pop(server_id, None)
