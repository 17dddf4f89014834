"""One request of a caller and the answer to it."""

from collections.abc import Callable
from collections.abc import Iterable
from email import utils
from typing import Any, Literal, Protocol

from circuits.web import constants

from ragwortgw_server import connections
from ragwortgw_server import http_parsing
from ragwortgw_server import problems

#: A streamed answer waits for the caller beyond this much unsent data.
STREAM_BUFFER_BYTES = 32768

Headers = Iterable[tuple[str, str]]
State = Literal['open', 'streaming', 'done']


class Owner(Protocol):
    """The connection's state machine, as far as an exchange needs it."""

    connection: connections.Connection

    def closes_after(self, exchange: 'Exchange') -> bool:
        """Tells whether the connection ends with this answer."""

    def finished(self, exchange: 'Exchange') -> None:
        """Takes note that the answer is written."""


class Exchange:
    """A whole request, and the means to answer it.

    Attributes:
      method: HTTP method.
      path: Path, as sent.
      query: Query string without '?'.
      headers: Headers by name in lower case.
      target: Path and query, as sent.
      lines: Headers, as sent.
      body: Whole body.
      gone: Whether the caller closed its connection.
      on_gone: Called once if that happens before the answer is whole.
    """

    def __init__(
        self, owner: Owner, head: http_parsing.RequestHead, body: bytes
    ) -> None:
        self.method = head.method
        self.path = head.path
        self.query = head.query
        self.headers = head.headers
        self.target = head.target
        self.lines = head.lines
        self.body = body
        self.gone = False
        self.on_gone: Callable[[], None] = lambda: None
        self.keep_alive = head.keep_alive
        self._http_1_0 = head.http_1_0
        self._owner = owner
        self._connection = owner.connection
        self._state: State = 'open'
        self._chunked = False

    @property
    def state(self) -> State:
        """How far the answer is."""
        return self._state

    @property
    def peer(self) -> str:
        """Address of the caller, 'ip:port'."""
        return self._connection.peer

    @property
    def connection(self) -> connections.Connection:
        """The caller's connection."""
        return self._connection

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the answer that the kernel has not taken yet."""
        return self._connection.buffered_bytes

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer; nothing happens if one was begun.

        Args:
          status: HTTP status code.
          headers: (name, value) pairs; Content-Length is added.
          body: Whole body.
        """
        if self._state != 'open':
            return
        lines = [*headers, ('Content-Length', str(len(body)))]
        head = self._head(status, lines)
        self._write(head if self.method == 'HEAD' else head + body)
        self._finish()

    def refuse(self, failure: Any, headers: problems.Headers = ()) -> None:
        """Sends a typed failure as a whole answer.

        Args:
          failure: An instance of a registered failure type.
          headers: Further (name, value) pairs.
        """
        self.respond(*problems.problem_response(failure, headers))

    def start_stream(
        self, status: int, headers: Headers, length_bytes: int | None = None
    ) -> None:
        """Begins an answer whose body follows in pieces.

        Args:
          status: HTTP status code.
          headers: (name, value) pairs.
          length_bytes: Length of the body, None if it is unknown.
        """
        if self._state != 'open':
            return
        self._state = 'streaming'
        framed = length_bytes is not None
        self._chunked = not self._http_1_0 and not framed
        self.keep_alive = self.keep_alive and (self._chunked or framed)
        lines = list(headers)
        if framed:
            lines.append(('Content-Length', str(length_bytes)))
        elif self._chunked:
            lines.append(('Transfer-Encoding', 'chunked'))
        else:
            self._connection.begin_unframed()
        self._write(self._head(status, lines))

    def write(self, data: bytes) -> None:
        """Sends a piece of a streamed answer."""
        if self._state != 'streaming' or not data or self.method == 'HEAD':
            return
        if self._chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._write(data)

    def finish(self) -> None:
        """Ends a streamed answer."""
        if self._state != 'streaming':
            return
        if self._chunked and self.method != 'HEAD':
            self._write(b'0\r\n\r\n')
        self._finish()

    def abort(self) -> None:
        """Cuts the connection, so that no partial answer looks whole."""
        if self._state != 'done':
            self._state = 'done'
            self._connection.abort()

    async def drained(self, limit_bytes: int = STREAM_BUFFER_BYTES) -> None:
        """Waits until little is buffered or the caller is gone.

        Args:
          limit_bytes: Returns once at most this much is buffered.
        """
        await self._connection.drained(limit_bytes)

    def lose(self) -> None:
        """Takes note that the caller is gone."""
        self.gone = True
        if self._state != 'done':
            self._state = 'done'
            self.on_gone()

    def _write(self, data: bytes) -> None:
        self._connection.write(data)

    def _finish(self) -> None:
        self._state = 'done'
        self._owner.finished(self)

    def _head(self, status: int, headers: Headers) -> bytes:
        lines = list(headers)
        if self._owner.closes_after(self):
            lines.append(('Connection', 'close'))
        elif self._http_1_0:
            lines.append(('Connection', 'keep-alive'))
        return encode_head(status, lines)


def encode_head(status: int, headers: Headers) -> bytes:
    """Encodes the head of a response.

    Args:
      status: HTTP status code.
      headers: (name, value) pairs; line ends in values become spaces.
    Returns: Status line, Date, the headers and the empty line.
    """
    reason = constants.HTTP_STATUS_CODES.get(status, '')
    lines = [
        f'HTTP/1.1 {status} {reason}',
        f'Date: {utils.formatdate(usegmt=True)}',
    ]
    lines.extend(f'{name}: {_clean(value)}' for name, value in headers)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1', 'replace')


def refusal(failure: Any) -> bytes:
    """Encodes a whole refusal after which the connection closes.

    Args:
      failure: An instance of a registered failure type.
    Returns: Head and body.
    """
    status, headers, body = problems.problem_response(failure)
    lines = [
        *headers,
        ('Content-Length', str(len(body))),
        ('Connection', 'close'),
    ]
    return encode_head(status, lines) + body


def _clean(value: str) -> str:
    return value.replace('\r', ' ').replace('\n', ' ')
