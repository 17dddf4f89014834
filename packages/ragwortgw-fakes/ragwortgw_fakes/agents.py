"""Stand-in for many agents: each has a port and a control stream."""

from typing import Any

import msgspec

from ragwortgw_fakes import http
from ragwortgw_fakes import serving
from ragwortgw_fakes import traffic_counts
from ragwortgw_server import grpc_transport
from ragwortgw_wire import ragwortgw_grpc
from ragwortgw_wire import ragwortgw_pb2 as pb

SLOTS = 8


class Agent(ragwortgw_grpc.AgentBase):
    """One agent; answers pings and takes configurations.

    Args:
      agent_id: Its id.
      versions: Version ids that its backend server has loaded.
      traffic: Counts its messages.
    """

    def __init__(
        self,
        agent_id: str,
        versions: list[str],
        traffic: traffic_counts.Traffic,
    ) -> None:
        self.agent_id = agent_id
        self.revision = 0
        self.address = ''
        self._versions = versions
        self._traffic = traffic
        self._server = grpc_transport.new_server([self])

    async def listen(self) -> None:
        """Binds a free port."""
        self.address = await grpc_transport.listen(
            self._server, serving.LOOPBACK, 0, None
        )

    def close(self) -> None:
        """Stops listening."""
        self._server.close()

    async def Link(self, stream: Any) -> None:  # noqa: N802
        """Serves the control stream of one entry."""
        stream_socket = stream.peer._transport.get_extra_info('socket')
        self._traffic.opened(stream_socket)
        try:
            async for frame in stream:
                kind = frame.WhichOneof('kind')
                self._traffic.received_by_kind[kind] += 1
                for answer in self._answers(kind, frame):
                    self._traffic.sent_by_kind[answer.WhichOneof('kind')] += 1
                    await stream.send_message(answer)
        finally:
            self._traffic.closed(stream_socket)

    async def Run(self, stream: Any) -> None:  # noqa: N802
        """Refuses every attempt."""
        await stream.recv_message()
        refused = pb.Refused(slug='overloaded', fields=b'{}')
        await stream.send_message(pb.RunFrame(refused=refused))

    def _answers(self, kind: str, frame: pb.EntryFrame) -> list[pb.AgentFrame]:
        if kind == 'hello':
            hello = pb.AgentHello(
                agent_id=self.agent_id,
                backend=f'backend-{self.agent_id}',
                zone='zone-a',
                versions=self._versions,
                slots=SLOTS,
                revision=self.revision,
            )
            return [pb.AgentFrame(hello=hello), self._report()]
        if kind == 'ping':
            load = pb.Load(slots=SLOTS)
            pong = pb.Ping(
                sequence=frame.ping.sequence,
                revision=self.revision,
                confirmed_age_ms=frame.ping.confirmed_age_ms,
                load=load,
            )
            return [pb.AgentFrame(pong=pong)]
        if kind == 'configuration':
            head = msgspec.json.decode(frame.configuration.head)
            self.revision = head['revision']
            return [self._report()]
        return []

    def _report(self) -> pb.AgentFrame:
        report = pb.Report(
            load=pb.Load(slots=SLOTS),
            versions=self._versions,
            healthy=True,
            revision=self.revision,
        )
        return pb.AgentFrame(report=report)


class AgentsFake(serving.Fake):
    """Serves the agents; GET /_records tells addresses and counts."""

    def __init__(self, count: int, versions: list[str]) -> None:
        super().__init__()
        self.traffic = traffic_counts.Traffic()
        self.agents: list[Agent] = []
        self._count = count
        self._versions = versions

    async def started(self) -> None:
        for number in range(self._count):
            agent = Agent(f'standin-{number}', self._versions, self.traffic)
            self.agents.append(agent)
            await agent.listen()

    async def close(self) -> None:
        for agent in self.agents:
            agent.close()
        await super().close()

    def records(self) -> dict[str, Any]:
        addresses = {agent.agent_id: agent.address for agent in self.agents}
        return {'addresses': addresses, **self.traffic.document()}

    async def handle(self, request: http.Request) -> http.Response:
        return http.error_response(404, 'unknown-path')


def main(*, port: int = 0, count: int = 8, versions: str = '') -> None:
    """Serves many agents without backend servers.

    Args:
      port: TCP port for control; 0 takes a free one.
      count: Number of agents.
      versions: Version ids that each has loaded, parted by commas.
    """
    serving.run(AgentsFake(count, [v for v in versions.split(',') if v]), port)
