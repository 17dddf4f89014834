"""The gRPC service of an agent: control streams and attempts."""

import asyncio
from collections.abc import Callable
import ssl
from typing import Any

from returns.result import Success

from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_server import clock
from ragwortgw_server import entry_streams
from ragwortgw_server import grpc_transport
from ragwortgw_server import outlets
from ragwortgw_server import stamps
from ragwortgw_server import timeline
from ragwortgw_wire import convert
from ragwortgw_wire import ragwortgw_grpc
from ragwortgw_wire import ragwortgw_pb2 as pb

CONFIRM_LIMIT_MS = 5_000

Emit = Callable[[Any], None]


class AgentServer(ragwortgw_grpc.AgentBase):
    """Serves entries; events go to emit, effects come by its methods.

    A context manager; close() cancels what still runs.
    """

    def __init__(
        self,
        emit: Emit,
        status: entry_streams.GetStatus,
        silence_ms: int,
        line: timeline.Timeline | None = None,
    ) -> None:
        self._line = line
        self._emit = emit
        self._status = status
        self._silence_ms = silence_ms
        self._streams_by_entry: dict[str, entry_streams.EntryStream] = {}
        self._outlets_by_attempt: dict[str, outlets.Outlet] = {}
        self._runs: set[asyncio.Task[Any]] = set()
        self._runs_by_peer: dict[Any, set[asyncio.Task[Any]]] = {}
        self._server = grpc_transport.new_server([self])
        self._listening = False

    def __enter__(self) -> 'AgentServer':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    async def listen(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> str:
        """Starts to listen.

        Args:
          host: Address.
          port: Port; 0 takes a free one.
          tls: Server context where TLS is wanted.
        Returns: 'ip:port'.
        """
        address = await grpc_transport.listen(self._server, host, port, tls)
        self._listening = True
        return address

    def close(self) -> None:
        """Stops listening and cancels all streams."""
        if self._listening:
            self._listening = False
            self._server.close()

    async def finish_runs(self, limit_ms: int) -> None:
        """Waits until entries confirmed the end of each attempt.

        Args:
          limit_ms: Longest time to wait.
        """
        if self._runs:
            await asyncio.wait(set(self._runs), timeout=limit_ms / 1000)

    def outlet(self, attempt_id: str) -> outlets.Outlet | None:
        """Returns where an attempt's frames go, None once it is gone."""
        return self._outlets_by_attempt.get(attempt_id)

    def send(self, entry_id: str, frame: pb.AgentFrame) -> None:
        """Sends a frame to one entry, or to all of them.

        Args:
          entry_id: The entry; '' means all.
          frame: The message.
        """
        for stream in self._chosen(entry_id):
            stream.frames.put(frame)

    def report(self, report: effects.Report) -> None:
        """Reports load and state to the entries that the report names."""
        for stream in self._chosen(report.entry_id):
            stream.report(report._replace(entry_id=''))

    def _chosen(self, entry_id: str) -> list[entry_streams.EntryStream]:
        if not entry_id:
            return list(self._streams_by_entry.values())
        stream = self._streams_by_entry.get(entry_id)
        return [stream] if stream is not None else []

    async def Link(self, stream: Any) -> None:  # noqa: N802
        """Serves the control stream of one entry."""
        entry = await entry_streams.accept(
            stream,
            self._status,
            self._emit,
            self._silence_ms,
            self._line,
        )
        if entry is None:
            return
        replaced = self._streams_by_entry.get(entry.entry_id)
        self._streams_by_entry[entry.entry_id] = entry
        if replaced is not None:
            replaced.abort()
        self._emit(events.EntryConnected(entry.entry_id, entry.revision))
        try:
            await entry.serve()
        finally:
            self._drop_stream(entry, stream.peer.addr())

    def _drop_stream(
        self, entry: entry_streams.EntryStream, peer: Any
    ) -> None:
        for task in self._runs_by_peer.get(peer, ()):
            task.cancel()
        if self._streams_by_entry.get(entry.entry_id) is entry:
            del self._streams_by_entry[entry.entry_id]
            self._emit(events.EntryLost(entry.entry_id))

    async def Run(self, stream: Any) -> None:  # noqa: N802
        """Serves one attempt from its dispatch to its last frame."""
        message = await stream.recv_message()
        if message is None:
            return
        task = asyncio.current_task()
        assert task is not None
        peer = stream.peer.addr()
        runs = self._runs_by_peer.setdefault(peer, set())
        runs.add(task)
        self._runs.add(task)
        try:
            await self._serve_attempt(stream, message)
        finally:
            self._runs.discard(task)
            runs.discard(task)
            if not runs:
                self._runs_by_peer.pop(peer, None)

    async def _serve_attempt(self, stream: Any, message: pb.Dispatch) -> None:
        read = convert.dispatch_from_wire(message, clock.now_ms())
        if not isinstance(read, Success):
            await _send_refusal(stream, read.failure())
            return
        received = read.unwrap()
        stamps.take(message, self._line)
        attempt_id = received.dispatch.attempt_id
        if attempt_id in self._outlets_by_attempt:
            await _send_refusal(stream, errors.DuplicateAttempt(attempt_id))
            return
        outlet = outlets.Outlet(received.dispatch)
        self._outlets_by_attempt[attempt_id] = outlet
        try:
            self._emit(events.DispatchReceived(*received))
            await self._send_frames(stream, outlet)
            deadline_ms = received.dispatch.deadline_ms + CONFIRM_LIMIT_MS
            await _confirmed(stream, deadline_ms)
        finally:
            cancelled = not outlet.done
            outlet.close()
            del self._outlets_by_attempt[attempt_id]
            if cancelled:
                self._emit(events.CancelReceived(attempt_id))

    async def _send_frames(self, stream: Any, outlet: outlets.Outlet) -> None:
        while True:
            frame = await outlet.next_frame()
            kind = frame.WhichOneof('kind')
            if kind != 'chunk':
                stamps.put(frame, self._line)
            await stream.send_message(frame)
            if kind not in ('started', 'chunk'):
                return


async def _send_refusal(stream: Any, failure: Any) -> None:
    refused = convert.refusal_to_wire(failure, 0)
    await stream.send_message(pb.RunFrame(refused=refused))
    await _confirmed(stream, clock.now_ms() + CONFIRM_LIMIT_MS)


async def _confirmed(stream: Any, deadline_ms: int) -> None:
    """Waits until the entry ends its side of the stream."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None
    left = max(0, deadline_ms - clock.now_ms()) / 1000
    timer = loop.call_later(left, task.cancel)
    try:
        await stream.recv_message()
    finally:
        timer.cancel()
