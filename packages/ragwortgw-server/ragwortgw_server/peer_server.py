"""The gRPC service of an entry: the configuration it holds, for peers."""

from collections.abc import Callable
import ssl
from typing import Any

from ragwortgw_server import clock
from ragwortgw_server import grpc_transport
from ragwortgw_wire import convert
from ragwortgw_wire import ragwortgw_grpc
from ragwortgw_wire import ragwortgw_pb2 as pb

Holding = Callable[[], convert.HeldConfiguration | None]


class PeerServer(ragwortgw_grpc.EntryBase):
    """Answers peers; a context manager."""

    def __init__(self, holding: Holding) -> None:
        self._holding = holding
        self._server = grpc_transport.new_server([self])
        self._listening = False

    def __enter__(self) -> 'PeerServer':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    async def listen(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> str:
        """Starts to listen; returns 'ip:port'."""
        address = await grpc_transport.listen(self._server, host, port, tls)
        self._listening = True
        return address

    def close(self) -> None:
        """Stops listening."""
        if self._listening:
            self._listening = False
            self._server.close()

    async def GetConfiguration(self, stream: Any) -> None:  # noqa: N802
        """Sends the configuration if the peer does not know it yet."""
        request = await stream.recv_message()
        held = self._holding()
        if request is None or held is None:
            await stream.send_message(pb.Configuration())
            return
        if held.revision <= request.known_revision:
            await stream.send_message(pb.Configuration())
            return
        message = convert.configuration_to_wire(
            held.head, held.documents, held.confirmed_at_ms, clock.now_ms()
        )
        message.hosts.extend(convert.hosts_to_wire(held.hosts))
        await stream.send_message(message)
