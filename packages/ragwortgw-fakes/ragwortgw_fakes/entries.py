"""Stand-in for many entries connected to one agent."""

import asyncio
import contextlib
from typing import Any

from ragwortgw_core import configuration
from ragwortgw_fakes import http
from ragwortgw_fakes import serving
from ragwortgw_fakes import traffic_counts
from ragwortgw_server import grpc_transport
from ragwortgw_wire import ragwortgw_grpc
from ragwortgw_wire import ragwortgw_pb2 as pb

PING_INTERVAL_S = 1.0


class Known:
    """The revision that one entry holds."""

    def __init__(self) -> None:
        self.revision = 0


class EntriesFake(serving.Fake):
    """Keeps control streams open; control field 'entries' is their number.

    Args:
      agent: 'ip:port' of the agent's gRPC listener.
    """

    def __init__(self, agent: str) -> None:
        super().__init__()
        self.traffic = traffic_counts.Traffic()
        self._agent = agent
        self._links: list[asyncio.Task[None]] = []

    async def close(self) -> None:
        self._resize(0)
        await super().close()

    async def control(self, fields: dict[str, Any]) -> dict[str, Any]:
        await super().control(fields)
        if 'entries' in fields:
            self._resize(fields['entries'])
        return {}

    def records(self) -> dict[str, Any]:
        return self.traffic.document()

    async def handle(self, request: http.Request) -> http.Response:
        return http.error_response(404, 'unknown-path')

    def _resize(self, count: int) -> None:
        while len(self._links) > count:
            self._links.pop().cancel()
        while len(self._links) < count:
            entry_id = f'standin-entry-{len(self._links)}'
            self._links.append(asyncio.create_task(self._link(entry_id)))

    async def _link(self, entry_id: str) -> None:
        channel = grpc_transport.open_channel(self._agent, None)
        try:
            stub = ragwortgw_grpc.AgentStub(channel)
            with contextlib.suppress(*grpc_transport.RPC_ERRORS):
                async with stub.Link.open() as stream:
                    await self._exchange(stream, entry_id, channel)
        finally:
            channel.abort()

    async def _exchange(
        self, stream: Any, entry_id: str, channel: grpc_transport.Channel
    ) -> None:
        hello = pb.EntryHello(entry_id=entry_id, zone='zone-a')
        await self._send(stream, pb.EntryFrame(hello=hello))
        stream_socket = channel._transport.get_extra_info('socket')
        self.traffic.opened(stream_socket)
        known = Known()
        pings = asyncio.create_task(self._ping(stream, known))
        try:
            async for frame in stream:
                kind = frame.WhichOneof('kind')
                self.traffic.received_by_kind[kind] += 1
                if kind == 'configuration':
                    head = configuration.load_head(frame.configuration.head)
                    known.revision = head.unwrap()['revision']
        finally:
            pings.cancel()
            self.traffic.closed(stream_socket)

    async def _ping(self, stream: Any, known: Known) -> None:
        sequence = 0
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            sequence += 1
            ping = pb.Ping(
                sequence=sequence,
                echo=sequence - 1,
                revision=known.revision,
            )
            await self._send(stream, pb.EntryFrame(ping=ping))

    async def _send(self, stream: Any, frame: pb.EntryFrame) -> None:
        self.traffic.sent_by_kind[frame.WhichOneof('kind')] += 1
        await stream.send_message(frame)


def main(*, agent: str, port: int = 0) -> None:
    """Connects to an agent as many entries.

    Args:
      agent: 'ip:port' of the agent's gRPC listener.
      port: TCP port for control; 0 takes a free one.
    """
    serving.run(EntriesFake(agent), port)
