"""The agent's end of the control stream of one entry."""

import asyncio
from collections.abc import Callable
import contextlib
from typing import Any, NamedTuple

from returns.result import Success

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import requests
from ragwortgw_server import clock
from ragwortgw_server import frames
from ragwortgw_server import grpc_transport
from ragwortgw_server import registries
from ragwortgw_server import silence
from ragwortgw_server import stamps
from ragwortgw_server import timeline
from ragwortgw_wire import convert
from ragwortgw_wire import ragwortgw_pb2 as pb

Emit = Callable[[Any], None]


class Status(NamedTuple):
    """What an agent tells entries of itself."""

    agent_id: str
    backend: str
    zone: str
    versions: tuple[str, ...]
    slots: int
    revision: int
    confirmed_at_ms: int


GetStatus = Callable[[], Status]

#: Functions (stream, message) by the kind of an entry's frame.
handles = registries.Registry()


class EntryStream:
    """Answers pings, turns frames into events and sends queued ones.

    Attributes:
      entry_id: The entry.
      revision: The revision that its hello named.
      frames: Frames to send.
      floor_ms: All frames that arrive from now on were made after this
        time, Unix ms; ages in them count from here.
    """

    def __init__(
        self,
        stream: Any,
        hello: pb.EntryHello,
        status: GetStatus,
        emit: Emit,
        silence_ms: int,
        line: timeline.Timeline | None = None,
    ) -> None:
        self.entry_id = hello.entry_id
        self.revision = hello.revision
        self.frames = frames.FrameQueue()
        self.emit = emit
        self.floor_ms = clock.now_ms()
        self._sent_at_ms_by_sequence: dict[int, int] = {}
        self._reported: effects.Report | None = None
        self._load: requests.Load | None = None
        self._stream = stream
        self._status = status
        self._silence_ms = silence_ms
        self._line = line

    async def serve(self) -> None:
        """Serves until the stream ends or is silent for too long."""
        writer = asyncio.create_task(self._write())
        try:
            with silence.SilenceWatch(self._silence_ms, self.abort) as watch:
                async for frame in self._stream:
                    watch.heard()
                    stamps.take(frame, self._line)
                    self._on_frame(frame)
        finally:
            writer.cancel()

    def abort(self) -> None:
        """Drops the connection and all attempts on it."""
        grpc_transport.abort_connection(self._stream)

    def _on_frame(self, frame: pb.EntryFrame) -> None:
        kind = frame.WhichOneof('kind')
        handler = handles.get(kind)
        if handler is not None:
            handler(self, getattr(frame, kind))

    def report(self, report: effects.Report) -> None:
        """Sends a report at once, or with the next pong if only load moved.

        Args:
          report: The agent's report.
        """
        told = self._reported
        if told is not None and told._replace(load=report.load) == report:
            self._load = report.load
            return
        self._reported = report
        self._load = None
        self.frames.put_latest('report', _report_frame(report))

    def send_pong(self, sequence: int) -> None:
        """Answers a ping."""
        status = self._status()
        now_ms = clock.now_ms()
        self._sent_at_ms_by_sequence[sequence] = now_ms
        pong = pb.Ping(
            sequence=sequence,
            revision=status.revision,
            confirmed_age_ms=max(0, now_ms - status.confirmed_at_ms),
            load=self._take_load(now_ms),
        )
        self.frames.put_latest('pong', pb.AgentFrame(pong=pong))

    def _take_load(self, now_ms: int) -> pb.Load | None:
        load, self._load = self._load, None
        return convert.load_to_wire(load, now_ms) if load else None

    def note_echo(self, sequence: int) -> None:
        """Takes note that the entry received a pong."""
        sent_at_ms = self._sent_at_ms_by_sequence.get(sequence)
        if sent_at_ms is None:
            return
        self.floor_ms = sent_at_ms
        for earlier in list(self._sent_at_ms_by_sequence):
            if earlier <= sequence:
                del self._sent_at_ms_by_sequence[earlier]

    async def _write(self) -> None:
        with contextlib.suppress(Exception):
            while True:
                frame = stamps.put(await self.frames.get(), self._line)
                await self._stream.send_message(frame)


def _report_frame(report: effects.Report) -> pb.AgentFrame:
    return pb.AgentFrame(
        report=pb.Report(
            load=convert.load_to_wire(report.load, clock.now_ms()),
            versions=report.versions,
            healthy=report.healthy,
            draining=report.draining,
            revision=report.revision,
        )
    )


async def accept(
    stream: Any,
    status: GetStatus,
    emit: Emit,
    silence_ms: int,
    line: timeline.Timeline | None = None,
) -> EntryStream | None:
    """Exchanges hellos with an entry.

    Args:
      stream: The gRPC stream.
      status: Tells what the agent serves.
      emit: Takes events.
      silence_ms: Time without a frame after which the stream is ended.
      line: The time line of the process, None where there is none.
    Returns: The entry's stream; None when it did not start with a hello.
    """
    first = await stream.recv_message()
    if first is None or not first.hello.entry_id:
        return None
    entry = EntryStream(stream, first.hello, status, emit, silence_ms, line)
    fields = status()._asdict()
    del fields['confirmed_at_ms']
    await stream.send_message(pb.AgentFrame(hello=pb.AgentHello(**fields)))
    return entry


@handles('ping')
def on_ping(entry: EntryStream, message: pb.Ping) -> None:
    """Answers a ping with the agent's own revision."""
    entry.note_echo(message.echo)
    entry.send_pong(message.sequence)
    confirmed_at_ms = max(0, entry.floor_ms - message.confirmed_age_ms)
    entry.emit(
        events.RevisionHinted(
            entry.entry_id, message.revision, confirmed_at_ms
        )
    )


@handles('configuration')
def on_configuration(entry: EntryStream, message: pb.Configuration) -> None:
    """Passes a configuration on, or what changed in it."""
    if message.base_revision:
        confirmed_at_ms = max(0, entry.floor_ms - message.confirmed_age_ms)
        entry.emit(
            events.DifferenceReceived(
                entry.entry_id,
                message.head,
                dict(message.documents),
                confirmed_at_ms,
            )
        )
        return
    read = convert.configuration_from_wire(message, entry.floor_ms)
    if isinstance(read, Success):
        entry.emit(
            events.ConfigurationReceived(entry.entry_id, *read.unwrap())
        )


@handles('bill')
def on_bill(entry: EntryStream, message: pb.Bill) -> None:
    """Passes the copy of a bill on."""
    read = convert.bill_from_wire(message)
    if isinstance(read, Success):
        entry.emit(events.BillReceived(entry.entry_id, read.unwrap()))


@handles('bills_flushed')
def on_bills_flushed(entry: EntryStream, message: pb.BillsFlushed) -> None:
    """Passes on which bills are counted."""
    entry.emit(events.BillsFlushed(entry.entry_id, tuple(message.bill_ids)))


@handles('strike')
def on_strike(entry: EntryStream, message: pb.StrikeNotice) -> None:
    """Passes on that a request ran at a crash."""
    entry.emit(
        events.StrikeReceived(
            entry.entry_id,
            message.fingerprint,
            message.crash_id,
            message.members,
        )
    )
