"""gRPC channels and servers with the options that links need."""

import asyncio
import logging
import ssl
from typing import Any

from grpclib import client
from grpclib import config
from grpclib import exceptions
from grpclib import protocol
from grpclib import server
from h2 import exceptions as h2_exceptions
from h2 import settings

STREAM_WINDOW_BYTES = 65_535
CONNECTION_WINDOW_BYTES = 32 * 1024 * 1024
MAX_STREAMS = CONNECTION_WINDOW_BYTES // STREAM_WINDOW_BYTES

#: What an RPC raises when its connection or stream fails.
RPC_ERRORS: tuple[type[Exception], ...] = (
    OSError,
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
    h2_exceptions.ProtocolError,
)


class ConnectionGone(OSError):
    """The channel's only connection is lost."""


class Channel(client.Channel):
    """A channel that never connects a second time."""

    _transport: Any = None

    async def __connect__(self) -> protocol.H2Protocol:
        if self._protocol is not None and not self._connected:
            raise ConnectionGone('the connection is lost')
        return await super().__connect__()

    async def _create_connection(self) -> protocol.H2Protocol:
        created = await super()._create_connection()
        self._transport = created.connection._transport
        return created

    def abort(self) -> None:
        """Drops the connection without sending what is buffered."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
        self.close()


class Server(server.Server):
    """A server that takes many streams on one connection."""

    def _protocol_factory(self) -> protocol.H2Protocol:
        created = super()._protocol_factory()
        made = created.connection_made

        def connection_made(transport: asyncio.BaseTransport) -> None:
            made(transport)
            created.connection._connection.update_settings(
                {settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS}
            )
            created.connection.flush()

        created.connection_made = connection_made  # type: ignore
        return created


def open_channel(address: str, tls: ssl.SSLContext | None) -> Channel:
    """Creates a channel; it connects with its first call.

    Args:
      address: 'ip:port' of the server.
      tls: Client context where TLS is wanted.
    Returns: The channel.
    """
    host, _, port = address.rpartition(':')
    return Channel(host, int(port), ssl=tls, config=_configuration())


def new_server(handlers: list[Any]) -> server.Server:
    """Creates a server of gRPC services.

    Args:
      handlers: Instances of generated service classes.
    Returns: The server, not yet started.
    """
    logging.getLogger('grpclib').setLevel(logging.WARNING)
    return Server(handlers, config=_configuration())


async def listen(
    grpc_server: server.Server,
    host: str,
    port: int,
    tls: ssl.SSLContext | None,
) -> str:
    """Starts a server.

    Args:
      grpc_server: The server.
      host: Address to listen on.
      port: Port; 0 takes a free one.
      tls: Server context where TLS is wanted.
    Returns: 'ip:port' that it listens on.
    """
    await grpc_server.start(host, port, ssl=tls)
    assert isinstance(grpc_server._server, asyncio.Server)
    name = grpc_server._server.sockets[0].getsockname()
    return f'{name[0]}:{name[1]}'


def abort_connection(stream: Any) -> None:
    """Drops the connection that carries a stream of a server.

    Args:
      stream: A stream that grpclib passed to a service's method.
    """
    stream.peer._transport.abort()


def _configuration() -> config.Configuration:
    return config.Configuration(
        http2_stream_window_size=STREAM_WINDOW_BYTES,
        http2_connection_window_size=CONNECTION_WINDOW_BYTES,
    )
