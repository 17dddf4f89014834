"""One gRPC connection of an entry to an agent, with its control stream."""

import asyncio
from collections.abc import Callable
import contextlib
import ssl
from typing import Any, NamedTuple

from ragwortgw_server import clock
from ragwortgw_server import frames
from ragwortgw_server import grpc_transport
from ragwortgw_server import silence
from ragwortgw_server import stamps
from ragwortgw_server import timeline
from ragwortgw_wire import ragwortgw_grpc
from ragwortgw_wire import ragwortgw_pb2 as pb


class Options(NamedTuple):
    """Times of the links, in ms."""

    ping_interval_ms: int = 1_000
    silence_ms: int = 3_000
    connect_ms: int = 1_000
    backoff_min_ms: int = 100
    backoff_max_ms: int = 5_000


class Status(NamedTuple):
    """What an entry tells agents of itself.

    entry_id is the incarnation, another one after each start.
    """

    entry_id: str
    zone: str
    revision: int
    confirmed_at_ms: int


class Connection:
    """Connects once, greets, pings, and ends when broken or silent.

    A context manager; close() drops the connection at once.

    Attributes:
      frames: Frames to send.
      hello: The agent's hello, None until it came.
      closed: Whether close() was called.
      report: The agent's last report on this connection.
      floor_ms: All frames that arrive from now on were made after this
        time, Unix ms; ages in them count from here.
    """

    def __init__(
        self,
        address: str,
        status: Callable[[], Status],
        on_greeted: Callable[['Connection'], None],
        on_frame: Callable[['Connection', pb.AgentFrame], None],
        options: Options,
        tls: ssl.SSLContext | None,
        line: timeline.Timeline | None = None,
    ) -> None:
        self.frames = frames.FrameQueue()
        self.hello: pb.AgentHello | None = None
        self.closed = False
        self.report: pb.Report | None = None
        self.floor_ms = 0
        self._sent_at_ms_by_sequence: dict[int, int] = {}
        self._echo = 0
        self._status = status
        self._on_greeted = on_greeted
        self._on_frame = on_frame
        self._line = line
        self._options = options
        self._channel = grpc_transport.open_channel(address, tls)
        self.stub = ragwortgw_grpc.AgentStub(self._channel)
        self._greeted = asyncio.Event()
        self._silent = False
        self._watch: silence.SilenceWatch | None = None
        self._task = asyncio.create_task(self._serve())

    def __enter__(self) -> 'Connection':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Drops the connection; attempts on it break off."""
        self.closed = True
        self._task.cancel()
        self._channel.abort()

    def heard(self) -> None:
        """Tells that bytes of the agent arrived on this connection."""
        if self._watch is not None:
            self._watch.heard()

    async def greeted(self) -> bool:
        """Waits for the agent's hello; False when none came in time."""
        waiter = asyncio.create_task(self._greeted.wait())
        await asyncio.wait(
            {waiter, self._task},
            timeout=self._options.connect_ms / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        waiter.cancel()
        return self.hello is not None and not self._task.done()

    async def ended(self) -> str:
        """Waits until the connection is of no use any more.

        Returns: 'silent' or 'broken'.
        """
        await asyncio.wait({self._task})
        return 'silent' if self._silent else 'broken'

    async def _serve(self) -> None:
        with contextlib.suppress(*grpc_transport.RPC_ERRORS):
            async with self.stub.Link.open() as stream:
                await self._greet(stream)
                await self._exchange(stream)

    async def _greet(self, stream: Any) -> None:
        status = self._status()
        hello = pb.EntryHello(
            entry_id=status.entry_id,
            zone=status.zone,
            revision=status.revision,
        )
        self.floor_ms = clock.now_ms()
        await stream.send_message(pb.EntryFrame(hello=hello))
        first = await stream.recv_message()
        if first is None or not first.hello.agent_id:
            raise grpc_transport.ConnectionGone('no hello')
        self.hello = first.hello
        self._greeted.set()
        self._on_greeted(self)

    async def _exchange(self, stream: Any) -> None:
        helpers = [
            asyncio.create_task(self._write(stream)),
            asyncio.create_task(self._ping()),
        ]
        self._watch = silence.SilenceWatch(
            self._options.silence_ms, self._on_silent
        )
        try:
            with self._watch as watch:
                async for frame in stream:
                    watch.heard()
                    stamps.take(frame, self._line)
                    self._note_pong(frame.pong.sequence)
                    self._on_frame(self, frame)
        finally:
            for helper in helpers:
                helper.cancel()

    def _note_pong(self, sequence: int) -> None:
        sent_at_ms = self._sent_at_ms_by_sequence.get(sequence)
        if sent_at_ms is None:
            return
        self.floor_ms = sent_at_ms
        self._echo = sequence
        for earlier in list(self._sent_at_ms_by_sequence):
            if earlier <= sequence:
                del self._sent_at_ms_by_sequence[earlier]

    def _on_silent(self) -> None:
        self._silent = True
        self._task.cancel()

    async def _write(self, stream: Any) -> None:
        with contextlib.suppress(*grpc_transport.RPC_ERRORS):
            while True:
                frame = stamps.put(await self.frames.get(), self._line)
                await stream.send_message(frame)

    async def _ping(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            self._send_ping(sequence)
            await asyncio.sleep(self._options.ping_interval_ms / 1000)

    def _send_ping(self, sequence: int) -> None:
        status = self._status()
        now_ms = clock.now_ms()
        self._sent_at_ms_by_sequence[sequence] = now_ms
        ping = pb.Ping(
            sequence=sequence,
            revision=status.revision,
            confirmed_age_ms=max(0, now_ms - status.confirmed_at_ms),
            echo=self._echo,
        )
        self.frames.put_latest('ping', pb.EntryFrame(ping=ping))
