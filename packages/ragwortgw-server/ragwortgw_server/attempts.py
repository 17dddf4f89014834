"""An entry's side of one attempt: relays pieces, checks them, ends once."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from returns.result import Success

from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import requests
from ragwortgw_server import agent_connections
from ragwortgw_server import clock
from ragwortgw_server import grpc_transport
from ragwortgw_server import registries
from ragwortgw_server import sse
from ragwortgw_server import stamps
from ragwortgw_server import timeline
from ragwortgw_wire import convert
from ragwortgw_wire import ragwortgw_pb2 as pb

Emit = Callable[[Any], None]
Sink = Callable[[bytes], Awaitable[None]]

#: Async functions (attempt, message) by the kind of an agent's frame; they
#: return the event that ends the attempt, or None.
handles = registries.Registry()


MAX_RATED_BYTES = 65_536


class _BreakOff(Exception):
    """Ends the gRPC stream of a broken attempt by a reset."""


class Attempt:
    """Runs a dispatch over a connection and emits how it ended, once.

    Attributes:
      dispatch: The attempt.
      emit: Takes events.
      next_offset: Pieces that the caller has, those of earlier attempts
        at the request included.
      sink: Takes the pieces, once the reducer starts to relay.
    """

    def __init__(
        self,
        dispatch: requests.Dispatch,
        entry_id: str,
        emit: Emit,
        line: timeline.Timeline | None = None,
    ) -> None:
        self._line = line
        self.dispatch = dispatch
        self.emit = emit
        self.next_offset = dispatch.resume_offset
        self.sink: asyncio.Future[Sink] = (
            asyncio.get_running_loop().create_future()
        )
        #: The pieces with the stream's end mark, until the end is known.
        self.held: pb.Chunk | None = None
        self._relayed: list[bytes] = []
        self._relayed_bytes = 0
        self._entry_id = entry_id
        self._sent = False
        self._expired = False
        self._ended = False
        self._task: asyncio.Task[None] | None = None

    def start(
        self,
        connection: agent_connections.Connection,
        on_done: Callable[['Attempt'], None],
    ) -> None:
        """Starts to run.

        Args:
          connection: A live connection to the agent.
          on_done: Called when nothing of the attempt is left.
        """
        self._task = asyncio.create_task(self._run(connection))
        self._task.add_done_callback(lambda _: on_done(self))

    def relay(self, sink: Sink) -> None:
        """Sends the pieces to a caller from now on.

        Args:
          sink: Takes bytes; its wait is the caller's back-pressure.
        """
        if not self.sink.done():
            self.sink.set_result(sink)

    async def take(self, message: pb.Chunk) -> None:
        """Relays pieces, at the caller's pace."""
        sink = await self.sink
        self.next_offset += message.pieces
        self._keep(message.data)
        await sink(message.data)

    async def take_held(self) -> None:
        """Relays what was held back, if anything."""
        message, self.held = self.held, None
        if message is not None:
            await self.take(message)

    def _keep(self, data: bytes) -> None:
        """Keeps a copy of what was relayed, while it is not too long."""
        self._relayed_bytes += len(data)
        if self._relayed_bytes <= MAX_RATED_BYTES:
            self._relayed.append(data)
        else:
            self._relayed.clear()

    def relayed_answer(self) -> bytes:
        """Returns the streamed answer to be rated; b'' for a part of one."""
        if self.dispatch.resume_offset:
            return b''
        return b''.join(self._relayed)

    def cancel(self) -> None:
        """Gives the attempt up, without an event."""
        self._ended = True
        if self._task is not None:
            self._task.cancel()

    def broken(
        self, ran: errors.Ran, reason: str, crashed: bool = False
    ) -> events.AttemptBroken:
        """Builds the event of a break."""
        return events.AttemptBroken(
            self.dispatch.attempt_id, ran, self.next_offset, crashed, reason
        )

    async def _run(self, connection: agent_connections.Connection) -> None:
        left_ms = max(0, self.dispatch.deadline_ms - clock.now_ms())
        timer = asyncio.get_running_loop().call_later(
            left_ms / 1000, self._expire
        )
        try:
            await self._exchange(connection)
        except asyncio.CancelledError:
            if not self._expired:
                raise
            self._end(self._lost('deadline'))
        except _BreakOff:
            pass
        except grpc_transport.RPC_ERRORS as error:
            self._end(self._lost(type(error).__name__))
        finally:
            timer.cancel()
            self.sink.cancel()

    def _expire(self) -> None:
        self._expired = True
        if self._task is not None:
            self._task.cancel()

    def _lost(self, reason: str) -> events.AttemptBroken:
        return self.broken('unknown' if self._sent else 'no', reason)

    def _end(self, event: Any) -> None:
        if self._ended:
            return
        self._ended = True
        self.emit(event)

    async def _exchange(
        self, connection: agent_connections.Connection
    ) -> None:
        if connection.closed:
            raise grpc_transport.ConnectionGone('the connection is closed')
        async with connection.stub.Run.open() as stream:
            await stream.send_request()
            self._sent = True
            message = convert.dispatch_to_wire(
                self.dispatch, self._entry_id, clock.now_ms()
            )
            stamps.put(message, self._line)
            await stream.send_message(message)
            event = await self._read(stream, connection)
            self._end(event)
            if isinstance(event, events.AttemptBroken):
                raise _BreakOff
            await stream.end()

    async def _read(
        self, stream: Any, connection: agent_connections.Connection
    ) -> Any:
        async for frame in stream:
            connection.heard()
            stamps.take(frame, self._line)
            kind = frame.WhichOneof('kind')
            handler = handles.get(kind)
            if handler is None:
                continue
            event = await handler(self, getattr(frame, kind))
            if event is not None:
                return event
        return self.broken('unknown', 'ended-early')


@handles('started')
async def on_started(attempt: Attempt, message: pb.Started) -> Any:
    """Tells that the backend server took the request."""
    attempt.emit(events.AttemptStarted(attempt.dispatch.attempt_id))
    return None


@handles('chunk')
async def on_chunk(attempt: Attempt, message: pb.Chunk) -> Any:
    """Relays pieces, in order and without a gap.

    A caller that has the end mark may leave at once. It gets the mark
    together with the end, so that its leaving never cancels an answer
    that it has whole, and that has to be billed.
    """
    await attempt.take_held()
    if message.offset > attempt.next_offset:
        return attempt.broken('yes', 'pieces-missing')
    if message.offset < attempt.next_offset:
        return attempt.broken('yes', 'pieces-doubled')
    if not attempt.sink.done():
        attempt.emit(events.AttemptFirstChunk(attempt.dispatch.attempt_id))
    if message.data.rstrip().endswith(sse.DONE):
        attempt.held = message
    else:
        await attempt.take(message)
    return None


@handles('finished')
async def on_finished(attempt: Attempt, message: pb.Finished) -> Any:
    """Checks that no piece is missing."""
    await attempt.take_held()
    if message.pieces != attempt.next_offset:
        return attempt.broken('yes', 'pieces-missing')
    read = convert.finished_from_wire(message)
    if not isinstance(read, Success):
        return attempt.broken('yes', 'malformed-answer')
    answer = read.unwrap()
    if not answer.body:
        answer = answer._replace(body=attempt.relayed_answer())
    return events.AttemptFinished(attempt.dispatch.attempt_id, answer)


@handles('refused')
async def on_refused(attempt: Attempt, message: pb.Refused) -> Any:
    """Passes the typed refusal on."""
    refusal = convert.refusal_from_wire(message)
    return events.AttemptRefused(
        attempt.dispatch.attempt_id, refusal.failure, refusal.revision
    )


@handles('broken')
async def on_broken(attempt: Attempt, message: pb.Broken) -> Any:
    """Passes on how the backend server's answer broke off."""
    read = convert.broken_from_wire(message)
    return attempt.broken(read.ran, read.reason, read.crashed)
