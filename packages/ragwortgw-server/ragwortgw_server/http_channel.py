"""One connection of the HTTP client, with one request at a time on it."""

import asyncio
import collections
from collections.abc import Mapping
import itertools
import time
from typing import Literal, NamedTuple

from returns.result import Success

from ragwortgw_server import clock
from ragwortgw_server import connections
from ragwortgw_server import http_parsing

#: Bytes of a response's head, with all interim heads before it.
MAX_HEAD_BYTES = 65536
#: Bytes of responses to earlier requests that are read past.
MAX_SKIPPED_BYTES = 1024 * 1024
STREAM_BUFFER_BYTES = 16384
#: A server may cut an answer off that stays unread for some seconds. One that
#: ends by a reset after it was not read for so long was cut for that.
UNREAD_MS = 1_000

MS_PER_S = 1_000

Reason = Literal['refused', 'timeout', 'reset', 'protocol']


class HttpFailure(NamedTuple):
    """No whole response came.

    sent False says that certainly not one byte of the request left.
    """

    reason: Reason
    sent: bool


class Call(NamedTuple):
    """A request, ready to be sent; deadline in Unix ms.

    host is the Host header, the address where it is empty; lines are
    headers of which there may be several of one name.
    """

    method: str
    address: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline_ms: int
    host: str = ''
    lines: http_parsing.Lines = ()


_numbers = itertools.count(1)


class Channel:
    """One connection with at most one request on it at a time.

    Attributes:
      number: Unique in the process, for the log.
      uses: Requests that were sent on it.
      carried_ids: Ids of those requests, where its user sets them.
    """

    def __init__(self, connection: connections.Connection) -> None:
        self.connection = connection
        self.number = next(_numbers)
        self.idle_since_ms = 0
        self.idle_deadline_ms = 0
        self.uses = 0
        self.carried_ids: set[str] = set()
        self.head: http_parsing.ResponseHead | None = None
        self.failure: HttpFailure | None = None
        self.answered = False
        self._start_bytes = 0
        self._tried = False
        self._method = ''
        self._raw = b''
        self._head_bytes = 0
        self._interim_bytes = 0
        self._skipped_bytes = 0
        self._body: http_parsing.Body | None = None
        self._pieces: collections.deque[bytes] = collections.deque()
        self._piece_bytes = 0
        self._paused_at_s = 0.0
        self._longest_pause_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._waiter: asyncio.Future[None] | None = None
        connection.on_data = self._on_data
        connection.on_closed = self._on_closed

    @property
    def sent(self) -> bool:
        """Whether a byte of the present request may have left."""
        if self.connection.secure:
            return self._tried
        return self.connection.bytes_sent > self._start_bytes

    @property
    def length_bytes(self) -> int | None:
        """Length of the response's body, None if its head names none."""
        if self.head is None or self._method == 'HEAD':
            return None
        if not isinstance(self._body, http_parsing.LengthBody):
            return None
        return int(self.head.headers.get('content-length', '0'))

    @property
    def left_unread(self) -> bool:
        """Whether the response was not read for long, and is not whole."""
        pause_s = self._longest_pause_s
        if self._paused:
            pause_s = max(pause_s, time.monotonic() - self._paused_at_s)
        return pause_s * MS_PER_S >= UNREAD_MS and not self.done

    @property
    def unread_bytes(self) -> int:
        """Bytes that wait for next_piece(), and may wait in the kernel."""
        queued_bytes = connections.MAX_QUEUED_BYTES if self._paused else 0
        return self._piece_bytes + queued_bytes

    @property
    def _paused(self) -> bool:
        return self._paused_at_s > 0

    @property
    def done(self) -> bool:
        """Whether the response is whole."""
        return self._body is not None and self._body.done

    @property
    def _ends_with_connection(self) -> bool:
        return isinstance(self._body, http_parsing.OpenBody)

    @property
    def reusable(self) -> bool:
        """Whether another request may follow on the connection."""
        return (
            self.done
            and self.failure is None
            and not self.connection.closed
            and self.head is not None
            and self.head.keep_alive
            and self._body is not None
            and not self._body.leftover
            and not self.connection.buffered_bytes
        )

    def send(self, call: Call) -> None:
        """Sends a request."""
        self.uses += 1
        self.head = None
        self.failure = None
        self.answered = False
        self._start_bytes = self.connection.bytes_sent
        self._tried = True
        self._method = call.method
        self._raw = b''
        self._interim_bytes = 0
        self._skipped_bytes = 0
        self._body = None
        self._longest_pause_s = 0.0
        self._stop_timer()
        left_ms = max(0, call.deadline_ms - clock.now_ms())
        self._timer = asyncio.get_running_loop().call_later(
            left_ms / 1000, self._on_deadline
        )
        self.connection.write(encode(call))
        if self.connection.closed:
            self._fail('reset')

    async def wait_head(self) -> None:
        """Waits for the head of the response, or a failure."""
        while self.head is None and self.failure is None:
            await self._wait()

    async def skip_response(self) -> None:
        """Reads past a response that answers an earlier request.

        The next response, if any, is the one to wait for. It fails after
        MAX_SKIPPED_BYTES of them.
        """
        self._skipped_bytes += self._head_bytes
        while piece := await self.next_piece():
            self._skipped_bytes += len(piece)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                break
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail('protocol')
            return
        if self.failure is not None or self._body is None:
            return
        if self._ends_with_connection:
            self._fail('protocol')
            return
        rest = self._body.leftover
        self.head = None
        self._body = None
        if rest:
            self._on_data(rest)

    async def next_piece(self) -> bytes:
        """Waits for a piece of the body; b'' at its end or a failure."""
        while not self._pieces:
            if self.done or self.failure is not None:
                return b''
            await self._wait()
        piece = self._pieces.popleft()
        self._count(-len(piece))
        if self._piece_bytes <= STREAM_BUFFER_BYTES:
            self._resume()
        return piece

    def abort(self) -> None:
        """Closes the connection at once and frees what nobody will read."""
        self.connection.abort()
        self._pieces.clear()
        self._count(-self._piece_bytes)
        self._resume()

    def _count(self, change_bytes: int) -> None:
        self._piece_bytes += change_bytes
        self.connection.budget.hold('unread', change_bytes)

    def _resume(self) -> None:
        if not self._paused:
            return
        pause_s = time.monotonic() - self._paused_at_s
        self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self._paused_at_s = 0.0
        budget = self.connection.budget
        budget.hold('unread', -connections.MAX_QUEUED_BYTES)
        self.connection.resume()

    def _pause(self) -> None:
        if self._paused:
            return
        self._paused_at_s = time.monotonic()
        self.connection.pause()
        self.connection.budget.hold('unread', connections.MAX_QUEUED_BYTES)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _on_data(self, data: bytes) -> None:
        self.answered = True
        if self.uses == 0 or self.done or self.failure is not None:
            self._fail('protocol')
            return
        if self.head is None:
            data = self._read_head(data)
        if self.head is not None and (data or self._body is None):
            self._read_body(data)
        self._wake()

    def _read_head(self, data: bytes) -> bytes:
        self._raw += data
        while True:
            end = self._raw.find(http_parsing.HEAD_END)
            if end < 0:
                if len(self._raw) > MAX_HEAD_BYTES:
                    self._fail('protocol')
                return b''
            end += len(http_parsing.HEAD_END)
            self._head_bytes = end
            parsed = http_parsing.parse_response_head(self._raw[:end])
            self._raw = self._raw[end:]
            if not isinstance(parsed, Success):
                self._fail('protocol')
                return b''
            head = parsed.unwrap()
            if head.status >= 200:
                break
            self._interim_bytes += end
            if self._interim_bytes > MAX_HEAD_BYTES:
                self._fail('protocol')
                return b''
        framed = http_parsing.response_body(self._method, head)
        if not isinstance(framed, Success):
            self._fail('protocol')
            return b''
        self.head = head
        self._body = framed.unwrap()
        rest, self._raw = self._raw, b''
        return rest

    def _read_body(self, data: bytes) -> None:
        if self._body is None or not data:
            return
        if self._body.done:
            self._body.leftover = data
            return
        self._decode(self._body, data)
        if self._body.done:
            self._stop_timer()

    def _decode(self, body: http_parsing.Body, data: bytes) -> None:
        decoded = body.feed(data)
        if not isinstance(decoded, Success):
            self._fail('protocol')
            return
        piece = decoded.unwrap()
        if not piece:
            return
        self._pieces.append(piece)
        self._count(len(piece))
        if self._piece_bytes > STREAM_BUFFER_BYTES:
            self._pause()

    def _on_closed(self) -> None:
        if self._ends_with_connection and not self.connection.reset:
            assert self._body is not None
            self._body.done = True
        elif not self.done and self.failure is None:
            self.failure = HttpFailure('reset', self.sent)
        self._stop_timer()
        self._wake()

    def _on_deadline(self) -> None:
        if not self.done:
            self._fail('timeout')

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fail(self, reason: Reason) -> None:
        if self.failure is None:
            self.failure = HttpFailure(reason, self.sent)
        self.connection.abort()
        self._wake()


def encode(call: Call) -> bytes:
    host = call.host or call.address
    lines = [f'{call.method} {call.path} HTTP/1.1', f'Host: {host}']
    if call.body or call.method in ('POST', 'PUT', 'PATCH'):
        lines.append(f'Content-Length: {len(call.body)}')
    lines.extend(f'{name}: {value}' for name, value in call.headers.items())
    lines.extend(f'{name}: {value}' for name, value in call.lines)
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + call.body
