"""Attempts at backend servers: sends them and relays their answers."""

import asyncio
import collections
from collections.abc import Callable
import logging
from typing import Any

from returns.result import Success

from ragwortgw_core import errors
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet
from ragwortgw_gateway import requests
from ragwortgw_server import backend_channels
from ragwortgw_server import clock
from ragwortgw_server import connections
from ragwortgw_server import event_stream
from ragwortgw_server import gateway_callers
from ragwortgw_server import gateway_protocol
from ragwortgw_server import http_channel
from ragwortgw_server import loop as loops

LOG = logging.getLogger(__name__)

REASONS: dict[http_channel.Reason, events.Reason] = {
    'refused': 'refused',
    'timeout': 'silent',
    'reset': 'reset',
    'protocol': 'garbled',
}
#: A plain answer up to this size is passed on once it is whole, so that
#: another server may be asked if it breaks off; a larger one as it comes.
HELD_ANSWER_BYTES = 64 * 1024
#: Answers that are no success are passed on whole whatever their size; larger
#: ones are refused.
MAX_BODY_BYTES = 8 * 1024 * 1024
#: Bytes of all such answers that have begun to arrive. Beyond it, the largest
#: is given up: servers may send without end.
MAX_HELD_BYTES = 32 * 1024 * 1024
#: Bytes of an event of a stream.
MAX_EVENT_BYTES = 256 * 1024
#: What is read of the body of a refusal, whose head says all, so that its
#: connection can be kept.
MAX_REFUSAL_BYTES = 64 * 1024
REFUSAL_TIMEOUT_S = 0.25

#: Lowest HTTP status that is no success.
MIN_FAILURE_STATUS = 400

#: Servers with a limit that are remembered, until an answer names none.
MAX_LIMITED = 1_024

#: The reducer ends requests at their deadline; a connection that still
#: waits this much later is closed by itself.
DEADLINE_SPARE_MS = 500


class _Broken(Exception):
    """The attempt ended without a whole answer."""

    def __init__(self, reason: events.Reason, ran: errors.Ran) -> None:
        super().__init__(reason)
        self.reason = reason
        self.ran = ran


class _Call:
    """One attempt on its way."""

    def __init__(
        self, dispatch: requests.Dispatch, request: requests.Request
    ) -> None:
        self.dispatch = dispatch
        self.request = request
        self.task: asyncio.Task[Any] | None = None
        self.channel: http_channel.Channel | None = None
        self.head: requests.AnswerHead | None = None
        self.delivering = False
        self.held: list[event_stream.RawEvent] = []
        self.next_event = 0
        self.pieces: list[bytes] = []
        #: Whether a plain answer is too long to be held.
        self.grown = False
        self.body_bytes = 0
        #: Bytes of an event that is not whole yet.
        self.rest_bytes = 0


class BackendCalls:
    """Attempts by id.

    Args:
      loop: The process's loop.
      protocol: Headers of the deployment.
      callers: Where answers go.
      on_event: Takes the events of attempts.

    Attributes:
      held_bytes: Bytes of plain answers that have begun to arrive.
      held_answer_bytes: Size from which a plain answer is passed on as it
        comes.
      held_up: Attempts whose servers are not read since their callers do
        not read.
      heard: Servers from which something came since this was cleared.
      advanced: Events of streams in progress that came since this was
        cleared, without the first ones, by attempt.
      answer_bytes: Bytes of the bodies of answers that came since this was
        cleared, by server.
    """

    def __init__(
        self,
        loop: loops.Loop,
        protocol: gateway_protocol.BackendProtocol,
        callers: gateway_callers.GatewayCallers,
        on_event: Callable[[Any], None],
    ) -> None:
        self._loop = loop
        self._protocol = protocol
        self._callers = callers
        self._on_event = on_event
        self._calls_by_id: dict[str, _Call] = {}
        self.pool = backend_channels.ChannelPool(loop)
        self._budget = connections.open_connections(loop).budget
        #: Servers whose latest answers named a limit, the oldest first.
        self._limited: dict[fleet.ServerProcess, None] = {}
        self.held_bytes = 0
        self.held_answer_bytes = HELD_ANSWER_BYTES
        self.held_up: set[str] = set()
        self.heard: set[str] = set()
        self.advanced: collections.Counter[str] = collections.Counter()
        self.answer_bytes: collections.Counter[str] = collections.Counter()

    def send(self, dispatch: requests.Dispatch) -> None:
        """Sends an attempt; its events follow."""
        request = self._callers.request(dispatch.request_id)
        if request is None:
            return
        call = _Call(dispatch, request)
        call.next_event = self._callers.last_event(request.id) + 1
        self._calls_by_id[dispatch.attempt_id] = call
        call.task = self._loop.spawn(self._run(call), dispatch.attempt_id)

    def deliver(self, attempt_id: str) -> None:
        """Lets the events of an attempt go to its caller."""
        call = self._calls_by_id.get(attempt_id)
        if call is None or call.head is None:
            return
        if not call.head.streaming:
            if call.grown:
                self._begin_plain(call)
            return
        call.delivering = True
        self._callers.begin_stream(call.request.id, call.head)
        held, call.held = call.held, []
        for event in held:
            self._callers.write(call.request.id, event)

    def _begin_plain(self, call: _Call) -> None:
        """Begins a plain answer that is not whole yet."""
        assert call.channel is not None and call.head is not None
        call.delivering = True
        self._callers.begin_stream(
            call.request.id, call.head, call.channel.length_bytes
        )
        pieces, call.pieces = call.pieces, []
        self._release_body(call)
        for piece in pieces:
            self._callers.write_piece(call.request.id, piece)

    def bytes_by_request(self) -> dict[str, int]:
        """Returns what is held of answers, by request."""
        held: dict[str, int] = {}
        for call in self._calls_by_id.values():
            size_bytes = call.body_bytes + call.rest_bytes
            if call.channel is not None:
                size_bytes += call.channel.unread_bytes
            if size_bytes:
                request_id = call.request.id
                held[request_id] = held.get(request_id, 0) + size_bytes
        return held

    def cancel(self, attempt_id: str) -> None:
        """Gives an attempt up and closes its connection."""
        call = self._calls_by_id.pop(attempt_id, None)
        if call is None:
            return
        self._close(call)
        if call.task is not None and call.task is not asyncio.current_task():
            call.task.cancel()

    def abandon(self, attempt_id: str, reason: events.Reason) -> None:
        """Gives an attempt up that timed out; AttemptBroke follows."""
        call = self._calls_by_id.get(attempt_id)
        if call is None:
            return
        last_event = self._callers.last_event(call.request.id)
        self.cancel(attempt_id)
        self._on_event(
            events.AttemptBroke(attempt_id, reason, 'unknown', last_event)
        )

    def withdraw_unsent(self, server_id: str) -> None:
        """Gives the attempts up that wait for a connection to a server.

        AttemptBroke follows for each: a request must not reach the server
        after it asked for a pause.
        """
        unsent = [
            attempt_id
            for attempt_id, call in self._calls_by_id.items()
            if call.dispatch.server_id == server_id and call.channel is None
        ]
        for attempt_id in unsent:
            last_event = self._callers.last_event(
                self._calls_by_id[attempt_id].request.id
            )
            self.cancel(attempt_id)
            self._on_event(
                events.AttemptBroke(attempt_id, 'paused', 'no', last_event)
            )

    def close(self) -> None:
        """Gives all attempts up and closes all connections."""
        for attempt_id in list(self._calls_by_id):
            self.cancel(attempt_id)
        self.pool.close()

    async def _run(self, call: _Call) -> None:
        attempt_id = call.dispatch.attempt_id
        try:
            event = await self._attempt(call)
        except _Broken as broken:
            event = events.AttemptBroke(
                attempt_id,
                broken.reason,
                broken.ran,
                self._callers.last_event(call.request.id),
            )
        except asyncio.CancelledError:
            raise
        except Exception:
            LOG.exception('attempt %s failed', attempt_id)
            event = events.AttemptBroke(
                attempt_id,
                'garbled',
                'unknown',
                self._callers.last_event(call.request.id),
            )
        if self._calls_by_id.pop(attempt_id, None) is None:
            return
        self._close(call)
        self._on_event(event)

    async def _attempt(self, call: _Call) -> Any:
        """Sends the request and waits for the end of its answer."""
        await self._exchange(call)
        self.heard.add(call.dispatch.server_id)
        head, channel = call.head, call.channel
        assert head is not None and channel is not None
        if _judge(call, channel, head) == 'not-run':
            await self._end_refusal(call, channel)
            return events.AttemptRefused(
                call.dispatch.attempt_id, head.other_server
            )
        if head.streaming:
            return await self._relay(call)
        self._on_event(events.AttemptAnswered(call.dispatch.attempt_id, head))
        body = await self._body(call, channel)
        self._release(call)
        answer = requests.Answer(head.status, head.headers, body)
        return events.AttemptEnded(call.dispatch.attempt_id, answer, 0)

    async def _exchange(self, call: _Call) -> None:
        """Sends the request and waits for the head of its answer.

        A kept connection that turns out to be closed before a byte left
        is replaced by another one.
        """
        dispatch = call.dispatch
        fresh = not dispatch.repeatable
        while True:
            channel = self.pool.kept(
                dispatch.server_id, call.request.id, fresh
            )
            kept = channel is not None
            if channel is None:
                opened = await self.pool.open(
                    dispatch.server_id,
                    dispatch.address,
                    dispatch.connection_limit,
                    dispatch.deadline_ms,
                )
                if not isinstance(opened, Success):
                    raise _Broken(REASONS[opened.failure().reason], 'no')
                channel = opened.unwrap()
            call.channel = channel
            channel.carried_ids.add(call.request.id)
            channel.send(self._http_call(call))
            await self._wait_own_head(call, channel)
            failure = channel.failure
            if failure is None:
                return
            self._close(call)
            if kept and not failure.sent and failure.reason == 'reset':
                continue
            ran: errors.Ran = 'unknown' if failure.sent else 'no'
            raise _Broken(REASONS[failure.reason], ran)

    async def _wait_own_head(
        self, call: _Call, channel: http_channel.Channel
    ) -> None:
        """Waits for the answer to this request.

        The second answer to an earlier request may come first. One that
        does not name its request is this one's only if the connection has
        carried no other.
        """
        while True:
            await channel.wait_head()
            if channel.failure is not None:
                return
            assert channel.head is not None
            head = self._protocol.read_head(channel.head)
            self._announce(call, head)
            verdict = _judge(call, channel, head)
            if verdict is not None:
                self._report(call, channel, head, verdict)
            if verdict == 'garbled':
                raise _Broken('garbled', 'unknown')
            if verdict != 'earlier':
                # A plain service may answer with events as with other bytes.
                streaming = head.streaming and call.dispatch.streaming
                call.head = head._replace(streaming=streaming)
                return
            await channel.skip_response()

    def _report(
        self,
        call: _Call,
        channel: http_channel.Channel,
        head: requests.AnswerHead,
        verdict: events.Verdict,
    ) -> None:
        self._on_event(
            events.AnswerJudged(
                call.dispatch.attempt_id,
                verdict,
                head.status,
                head.request_id[: requests.MAX_ID_CHARS],
                channel.number,
                channel.uses,
            )
        )

    def _announce(self, call: _Call, head: requests.AnswerHead) -> None:
        """Passes on what a server says of itself, with whatever answer.

        An answer by another server at the address says nothing of this one.
        """
        if head.other_server:
            return
        process = fleet.ServerProcess(
            call.dispatch.server_id, call.dispatch.server_started_ms
        )
        concerns_limit = self._concerns_limit(process, head.limit_per_s)
        if not (
            head.leaving
            or head.pause_ms
            or head.malformed_pause
            or concerns_limit
            or head.cold_ms is not None
        ):
            return
        self._on_event(
            events.ServerAnnounced(
                process,
                head.leaving,
                head.pause_ms,
                head.malformed_pause,
                head.limit_per_s,
                head.cold_ms,
            )
        )

    def _concerns_limit(
        self, process: fleet.ServerProcess, limit_per_s: float | None
    ) -> bool:
        """Returns whether an answer names a limit, or ends one."""
        if limit_per_s is None:
            ends_limit = process in self._limited
            self._limited.pop(process, None)
            return ends_limit
        self._limited[process] = None
        if len(self._limited) > MAX_LIMITED:
            del self._limited[next(iter(self._limited))]
        return True

    def _http_call(self, call: _Call) -> http_channel.Call:
        request = call.request
        dispatch = call.dispatch
        return http_channel.Call(
            request.method,
            dispatch.address,
            request.target,
            {},
            request.body,
            dispatch.deadline_ms + DEADLINE_SPARE_MS,
            request.host,
            self._protocol.request_headers(request, dispatch, clock.now_ms()),
        )

    async def _end_refusal(
        self, call: _Call, channel: http_channel.Channel
    ) -> None:
        """Reads the rest of a refusal, and keeps its connection if it ends.

        What comes after its head changes nothing.
        """
        size_bytes = 0
        try:
            async with asyncio.timeout(REFUSAL_TIMEOUT_S):
                while piece := await channel.next_piece():
                    size_bytes += len(piece)
                    if size_bytes > MAX_REFUSAL_BYTES:
                        break
        except TimeoutError:
            LOG.info(
                'refusal of server %s does not end', call.dispatch.server_id
            )
        if channel.reusable:
            self._release(call)
        else:
            self._close(call)

    async def _body(self, call: _Call, channel: http_channel.Channel) -> bytes:
        """Reads a plain answer; passes it on meanwhile if it is long.

        Returns: The body, b'' if it was passed on.
        """
        while piece := await channel.next_piece():
            self.answer_bytes[call.dispatch.server_id] += len(piece)
            if call.delivering:
                self.heard.add(call.dispatch.server_id)
                self._callers.write_piece(call.request.id, piece)
                await self._wait_taken(call)
                continue
            self._hold(call, piece)
            if call.grown or call.body_bytes <= self.held_answer_bytes:
                continue
            call.grown = True
            assert call.head is not None
            self._on_event(
                events.AnswerGrew(call.dispatch.attempt_id, call.head)
            )
            self._check_wanted(call)
            await self._wait_taken(call)
        if channel.failure is not None:
            raise _broken(channel)
        body = b''.join(call.pieces)
        call.pieces = []
        return body

    def _hold(self, call: _Call, piece: bytes) -> None:
        """Keeps a piece of a plain answer until the answer is whole."""
        call.pieces.append(piece)
        call.body_bytes += len(piece)
        self.held_bytes += len(piece)
        self._budget.hold('answers', len(piece))
        if call.body_bytes > MAX_BODY_BYTES:
            raise _Broken('garbled', 'unknown')
        if self.held_bytes > MAX_HELD_BYTES:
            self._give_up_largest(call)

    def _count_rest(self, call: _Call, size_bytes: int) -> None:
        """Counts what is held of an event that is not whole yet."""
        if size_bytes != call.rest_bytes:
            self._budget.hold('answers', size_bytes - call.rest_bytes)
            call.rest_bytes = size_bytes

    def _release_body(self, call: _Call) -> None:
        """Takes back what is counted of an answer."""
        self._count_rest(call, 0)
        if not call.body_bytes:
            return
        self.held_bytes -= call.body_bytes
        self._budget.hold('answers', -call.body_bytes)
        call.body_bytes = 0

    async def _wait_taken(self, call: _Call) -> None:
        """Waits until the caller of an answer took most of it."""
        if not call.delivering or not self._callers.lags(call.request.id):
            return
        attempt_id = call.dispatch.attempt_id
        self.held_up.add(attempt_id)
        try:
            await self._callers.drained(call.request.id)
        finally:
            self.held_up.discard(attempt_id)
        self._check_wanted(call)

    def _check_wanted(self, call: _Call) -> None:
        """Ends an attempt that was cancelled meanwhile."""
        if call.dispatch.attempt_id not in self._calls_by_id:
            raise _Broken('reset', 'unknown')

    def _give_up_largest(self, call: _Call) -> None:
        """Gives up the largest of the answers that are held.

        Args:
          call: The one that grew beyond the limit of all.
        """
        largest = max(
            self._calls_by_id.values(), key=lambda each: each.body_bytes
        )
        if largest.body_bytes <= call.body_bytes:
            raise _Broken('garbled', 'unknown')
        self.abandon(largest.dispatch.attempt_id, 'garbled')

    async def _relay(self, call: _Call) -> Any:
        """Passes whole events on, in order, until the stream ends."""
        channel = call.channel
        assert channel is not None and call.head is not None
        splitter = event_stream.EventSplitter()
        announced = False
        count = 0
        while piece := await channel.next_piece():
            self.heard.add(call.dispatch.server_id)
            self.answer_bytes[call.dispatch.server_id] += len(piece)
            found = splitter.feed(piece)
            if len(splitter.rest) > MAX_EVENT_BYTES:
                raise _Broken('garbled', 'unknown')
            count += len(found)
            self._count_rest(call, len(splitter.rest))
            self._take(call, found)
            if not announced and found:
                announced = True
                self._on_event(
                    events.AttemptAnswered(call.dispatch.attempt_id, call.head)
                )
            elif found:
                self.advanced[call.dispatch.attempt_id] += len(found)
            self._check_wanted(call)
            await self._wait_taken(call)
        if channel.failure is not None:
            raise _broken(channel)
        if splitter.rest or not announced:
            # An answer without a length ends like this if its server does.
            raise _Broken('reset', 'unknown')
        self._release(call)
        answer = requests.Answer(call.head.status, (), b'')
        return events.AttemptEnded(call.dispatch.attempt_id, answer, count)

    def _take(self, call: _Call, found: list[event_stream.RawEvent]) -> None:
        for event in found:
            if event.id != call.next_event:
                raise _Broken('garbled', 'unknown')
            call.next_event += 1
            if call.delivering:
                self._callers.write(call.request.id, event)
            else:
                call.held.append(event)

    def _release(self, call: _Call) -> None:
        assert call.channel is not None and call.head is not None
        self._release_body(call)
        channel, call.channel = call.channel, None
        self.pool.release(
            call.dispatch.server_id, channel, call.head.keep_alive_ms
        )

    def _close(self, call: _Call) -> None:
        self._release_body(call)
        if call.channel is not None:
            channel, call.channel = call.channel, None
            self.pool.discard(call.dispatch.server_id, channel)


def _broken(channel: http_channel.Channel) -> _Broken:
    """Returns why an answer that has begun ended early."""
    assert channel.failure is not None
    reason = REASONS[channel.failure.reason]
    if reason == 'reset' and channel.left_unread:
        reason = 'unread'
    return _Broken(reason, 'unknown')


def _judge(
    call: _Call, channel: http_channel.Channel, head: requests.AnswerHead
) -> events.Verdict | None:
    """Decides what the head of an answer is to an attempt.

    Bytes that a server never meant for the attempt can come in its place,
    also on a new connection: an answer names the request, unless the server
    was not told its id, and a success is sealed.

    Args:
      call: The attempt.
      channel: The connection that it came on.
      head: The head.
    Returns: The verdict, None for an answer that is no failure.
    """
    request = call.request
    if head.request_id and head.request_id != request.id:
        return 'earlier'
    if not head.request_id and (request.names_itself or channel.uses > 1):
        return 'garbled'
    failed = head.status >= MIN_FAILURE_STATUS
    refused = head.proves_not_run or head.other_server
    if not failed and (refused or not head.sealed):
        return 'garbled'
    if refused and head.request_id:
        return 'not-run'
    return 'failed' if failed else None
