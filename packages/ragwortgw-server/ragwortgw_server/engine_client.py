"""Client of the backend server beside the agent."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import documents
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import requests
from ragwortgw_server import backend_answers
from ragwortgw_server import chat_stream
from ragwortgw_server import clock
from ragwortgw_server import engine_requests
from ragwortgw_server import http_client
from ragwortgw_server import sse

COMPLETIONS_PATH = '/v1/chat/completions'
STALL_MS = 5_000
PROBE_MS = 500
CANCEL_MS = 2_000
DRAIN_MS = 200

OnStarted = Callable[[], None]
OnChunk = Callable[[bytes], Awaitable[None]]


class EngineFailure(NamedTuple):
    """No whole answer came.

    ran is 'no' only if the backend server certainly did not run the
    request; crashed says that it crashed or restarted meanwhile.
    """

    ran: errors.Ran
    crashed: bool
    reason: str


class OrderFailure(NamedTuple):
    """An order was refused or not answered.

    fencing is the number that the backend server holds, None when no
    answer came.
    """

    fencing: int | None


class _Exchange(NamedTuple):
    dispatch: requests.Dispatch
    on_chunk: OnChunk
    incarnation: str


class EngineClient:
    """Runs dispatches on one backend server.

    Args:
      client: HTTP client, owned by the caller.
      address: 'ip:port' of the backend server.
      stall_ms: Silence within a stream after which it is given up.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        address: str,
        stall_ms: int = STALL_MS,
    ) -> None:
        self._client = client
        self._address = address
        self._stall_ms = stall_ms
        self._incarnation = ''
        self._tasks_by_attempt: dict[str, asyncio.Task] = {}

    async def run(
        self,
        dispatch: requests.Dispatch,
        on_started: OnStarted,
        on_chunk: OnChunk,
    ) -> Result[requests.Answer, EngineFailure]:
        """Runs one attempt.

        Args:
          dispatch: The attempt. A chat request goes out with the version as
            its model.
          on_started: Called just before the request is sent; from then on
            it may run.
          on_chunk: Awaited for each piece of a stream, in order; piece n
            holds content chunk n, counted from the resume offset, and the
            last one the end of the stream.
        Returns: The answer, its body empty if it was streamed; or why there
          is none.
        """
        on_started()
        exchange = _Exchange(dispatch, on_chunk, self._incarnation)
        task = asyncio.get_running_loop().create_task(self._run(exchange))
        self._tasks_by_attempt[dispatch.attempt_id] = task
        try:
            await asyncio.wait([task])
        finally:
            task.cancel()
            self._tasks_by_attempt.pop(dispatch.attempt_id, None)
        if task.cancelled():
            return Failure(EngineFailure('unknown', False, 'cancelled'))
        return task.result()

    async def cancel(self, attempt_id: str) -> None:
        """Gives an attempt up; its run() returns the reason 'cancelled'.

        Args:
          attempt_id: The attempt; unknown ones are cancelled at the backend
            server all the same.
        """
        task = self._tasks_by_attempt.pop(attempt_id, None)
        if task is not None:
            task.cancel()
        await self._post(
            '/v1/cancel', {'id': attempt_id}, clock.now_ms() + CANCEL_MS
        )

    async def load(self, deadline_ms: int) -> events.EngineReported:
        """Reads the load report.

        Args:
          deadline_ms: When to give up, Unix ms.
        Returns: The report; its load is None when there is none.
        """
        result = await self._get('/v1/load', deadline_ms)
        if not isinstance(result, Success):
            return events.EngineReported(None, (), '')
        report = backend_answers.load_report(result.unwrap())
        if report.load is not None:
            self._incarnation = report.incarnation
        return report

    async def order(
        self, action: str, version: str, fencing: int, deadline_ms: int
    ) -> Result[None, OrderFailure]:
        """Orders the backend server to load or unload a version.

        Args:
          action: 'load' or 'unload'.
          version: Version id.
          fencing: Number of the order; lower ones are refused after it by
            the backend servers that honour it.
          deadline_ms: When to give up, Unix ms.
        Returns: Nothing, or why the order is not known to be accepted.
        """
        order = {'action': action, 'version': version, 'fencing': fencing}
        result = await self._post('/v1/orders', order, deadline_ms)
        if not isinstance(result, Success):
            return Failure(OrderFailure(None))
        response = result.unwrap()
        if response.status == 200:
            return Success(None)
        return Failure(OrderFailure(backend_answers.fencing(response)))

    async def cache_events(
        self, after: int, deadline_ms: int
    ) -> tuple[backend_answers.CacheEvent, ...]:
        """Reads the cache events after a sequence number.

        Args:
          after: The last sequence number that was seen.
          deadline_ms: When to give up, Unix ms.
        Returns: The events, with gaps; none when no answer came.
        """
        path = f'/v1/cache-events?after={after}'
        result = await self._get(path, deadline_ms)
        if not isinstance(result, Success):
            return ()
        return backend_answers.cache_events(result.unwrap())

    async def _get(
        self, path: str, deadline_ms: int
    ) -> Result[http_client.Response, http_client.HttpFailure]:
        return await self._client.request(
            'GET', self._address, path, {}, b'', deadline_ms, repeatable=True
        )

    async def _post(
        self, path: str, document: dict[str, Any], deadline_ms: int
    ) -> Result[http_client.Response, http_client.HttpFailure]:
        return await self._client.request(
            'POST',
            self._address,
            path,
            {'Content-Type': 'application/json'},
            msgspec.json.encode(document),
            deadline_ms,
            repeatable=True,
        )

    async def _run(
        self, exchange: _Exchange
    ) -> Result[requests.Answer, EngineFailure]:
        dispatch = exchange.dispatch
        is_chat = dispatch.kind == 'chat'
        body, keep_usage = dispatch.body, False
        if is_chat:
            prepared = engine_requests.chat_body(dispatch)
            if prepared is None:
                return Failure(EngineFailure('no', False, 'malformed-body'))
            body, keep_usage = prepared
        opened = await self._client.open_stream(
            'POST' if is_chat else dispatch.method,
            self._address,
            COMPLETIONS_PATH if is_chat else dispatch.path,
            engine_requests.headers(dispatch),
            body,
            dispatch.deadline_ms,
        )
        if not isinstance(opened, Success):
            failure = opened.failure()
            if not failure.sent:
                return Failure(EngineFailure('no', False, failure.reason))
            return await self._broken(exchange, 'unknown', failure.reason)
        stream = opened.unwrap()
        try:
            if is_chat and dispatch.stream and stream.status == 200:
                return await self._relay(exchange, stream, keep_usage)
            return await self._collect(exchange, stream)
        finally:
            stream.close()

    async def _collect(
        self, exchange: _Exchange, stream: http_client.Stream
    ) -> Result[requests.Answer, EngineFailure]:
        try:
            body = b''.join([piece async for piece in stream])
        except http_client.StreamBroken as broken:
            reason = 'truncated'
            if broken.failure.reason == 'timeout':
                reason = 'timeout'
            return await self._broken(exchange, 'unknown', reason)
        response = http_client.Response(stream.status, stream.headers, body)
        read = backend_answers.read(exchange.dispatch.kind, response)
        if not isinstance(read, Success):
            return Failure(EngineFailure(*read.failure()))
        return Success(read.unwrap())

    async def _relay(
        self,
        exchange: _Exchange,
        stream: http_client.Stream,
        keep_usage: bool,
    ) -> Result[requests.Answer, EngineFailure]:
        offset = exchange.dispatch.resume_offset
        honoured = stream.headers.get('x-resume-offset') == str(offset)
        pieces = chat_stream.PieceBuilder(
            offset > 0, 0 if honoured else offset, keep_usage
        )
        reader = sse.EventReader()
        reason = await self._pump(exchange, stream, reader, pieces)
        if not reason and not (pieces.whole and reader.empty):
            reason = 'truncated'
        if reason:
            ran: errors.Ran = 'yes' if pieces.contents else 'unknown'
            return await self._broken(exchange, ran, reason)
        await exchange.on_chunk(pieces.last())
        await _drain(stream)
        usage = pieces.usage or documents.Usage(
            input_tokens=0, output_tokens=0
        )
        content_type = stream.headers.get('content-type', '')
        return Success(requests.Answer(200, content_type, b'', usage))

    async def _pump(
        self,
        exchange: _Exchange,
        stream: http_client.Stream,
        reader: sse.EventReader,
        pieces: chat_stream.PieceBuilder,
    ) -> str:
        """Passes pieces on; returns why the stream broke off, or ''."""
        while not pieces.done:
            try:
                data = await self._read(stream, pieces)
            except http_client.StreamBroken as broken:
                return broken.failure.reason
            except TimeoutError:
                return 'stalled'
            if not data:
                return ''
            try:
                for event in reader.feed(data):
                    piece = pieces.feed(event)
                    if piece is not None:
                        await exchange.on_chunk(piece)
            except chat_stream.MalformedChunk:
                return 'malformed'
        return ''

    async def _read(
        self, stream: http_client.Stream, pieces: chat_stream.PieceBuilder
    ) -> bytes:
        """Reads bytes; a stream that has begun must not fall silent."""
        if not pieces.contents:
            return await stream.read()
        async with asyncio.timeout(self._stall_ms / 1000):
            return await stream.read()

    async def _broken(
        self, exchange: _Exchange, ran: errors.Ran, reason: str
    ) -> Result[requests.Answer, EngineFailure]:
        crashed = await self._crashed(exchange.incarnation)
        return Failure(EngineFailure(ran, crashed, reason))

    async def _crashed(self, incarnation: str) -> bool:
        """Returns whether the backend server is gone or was replaced."""
        result = await self._get('/v1/load', clock.now_ms() + PROBE_MS)
        if not isinstance(result, Success):
            return result.failure().reason == 'refused'
        report = backend_answers.load_report(result.unwrap())
        if report.load is None:
            return False
        self._incarnation = report.incarnation
        return incarnation not in ('', report.incarnation)


async def _drain(stream: http_client.Stream) -> None:
    """Reads to the end of the body, so that the connection is kept."""
    with contextlib.suppress(http_client.StreamBroken, TimeoutError):
        async with asyncio.timeout(DRAIN_MS / 1000):
            while await stream.read():
                pass


def open_engine_client(
    client: http_client.HttpClient, address: str, stall_ms: int = STALL_MS
) -> EngineClient:
    """Makes a client of the backend server.

    Args:
      client: HTTP client, owned by the caller.
      address: 'ip:port' of the backend server.
      stall_ms: Silence within a stream after which it is given up.
    Returns: The client.
    """
    return EngineClient(client, address, stall_ms)
