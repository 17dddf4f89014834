"""Heads and bodies of HTTP/1.1 messages, on circuits' parser.

circuits.web.parsers.HttpParser reads the heads, once they keep to the grammar
of RFC 9112: it takes any white space for a separator, so that it and a strict
reader could see different messages. One tab may separate the parts of a
request line, as section 3 allows; the parser gets a space in its place. The
parser decodes backslash escapes, so that a header could gain a line end:
backslashes are doubled first. Its chunk reader fails when a read ends between
a chunk and the chunk's line end, and drops what follows the last chunk: bodies
are read here.
"""

import re
from typing import NamedTuple

from circuits.web import parsers
from returns.result import Failure
from returns.result import Result
from returns.result import Success

HEAD_END = b'\r\n\r\n'
MAX_CHUNK_LINE_BYTES = 256
MAX_HEADER_LINES = 100
#: Framing that a chunked body may have beyond its own size; more would
#: let a sender of tiny chunks take up the processor.
SPARE_FRAMING_BYTES = 4096

_REQUEST_LINE = re.compile(
    rb'(?P<method>[A-Z]{1,20})[ \t](?P<target>[!-~]+)[ \t]'
    rb'HTTP/1\.(?P<minor>[01])\r\n'
)
_HEADER = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*\Z")
_DIGITS = re.compile(r'[0-9]{1,15}\Z')
_CHUNK_SIZE = re.compile(rb'[0-9A-Fa-f]{1,8}\Z')
#: Headers that decide where a message goes or ends; two of one kind could
#: be read in two ways.
_SINGLE_HEADERS = frozenset({b'host', b'content-length', b'transfer-encoding'})
#: The begin of a response; in the midst of a head, that of another one.
_STATUS = re.compile(rb'HTTP/1\.[01] [0-9]{3}[ \r]')
_STATUS_LINE = re.compile(
    rb'(HTTP/1\.[01] [0-9]{3})(?: [\t -~\x80-\xff]*)?\r\n'
)


class BadMessage(NamedTuple):
    """A message that breaks the rules of HTTP/1.1."""

    reason: str


Lines = tuple[tuple[str, str], ...]


class RequestHead(NamedTuple):
    """Start line and headers of a request; header names in lower case.

    target and lines hold the request target and the headers as sent.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    keep_alive: bool
    http_1_0: bool
    target: str = '/'
    lines: Lines = ()


class ResponseHead(NamedTuple):
    """Start line and headers of a response; header names in lower case.

    lines holds the headers as sent.
    """

    status: int
    headers: dict[str, str]
    keep_alive: bool
    lines: Lines = ()


class LengthBody:
    """A body of known length, in bytes."""

    def __init__(self, length_bytes: int) -> None:
        self._left = length_bytes
        self.done = length_bytes == 0
        self.leftover = b''

    def feed(self, data: bytes) -> Result[bytes, BadMessage]:
        """Takes bytes of the body; what follows it stays in leftover."""
        piece = data[: self._left]
        self._left -= len(piece)
        if self._left == 0:
            self.done = True
            self.leftover = data[len(piece) :]
        return Success(piece)


class OpenBody:
    """A body that ends where the connection does."""

    done = False
    leftover = b''

    def feed(self, data: bytes) -> Result[bytes, BadMessage]:
        """Takes bytes of the body."""
        return Success(data)


class ChunkedBody:
    """A body in chunks."""

    def __init__(self) -> None:
        self.done = False
        self.leftover = b''
        self._buffer = b''
        self._left = 0
        self._framing_bytes = 0
        self._data_bytes = 0
        self._state = self._read_size

    def feed(self, data: bytes) -> Result[bytes, BadMessage]:
        """Takes encoded bytes and gives back decoded ones.

        Args:
          data: Bytes as they arrived.
        Returns: The part of the body in them, or why it is not valid.
        """
        self._buffer = self._buffer + data if self._buffer else data
        self._offset = 0
        pieces: list[bytes] = []
        while not self.done:
            problem = self._state(pieces)
            if problem == '':
                break
            if problem is not None:
                return Failure(BadMessage(problem))
        self._buffer = self._buffer[self._offset :]
        if self.done:
            self.leftover = self._buffer
        return Success(b''.join(pieces))

    def _line(self) -> bytes | None:
        end = self._buffer.find(b'\r\n', self._offset)
        if end < 0:
            return None
        line = self._buffer[self._offset : end]
        self._framing_bytes += end + 2 - self._offset
        self._offset = end + 2
        return line

    def _no_line(self) -> str:
        if len(self._buffer) - self._offset > MAX_CHUNK_LINE_BYTES:
            return 'line in chunked body too long'
        return ''

    def _read_size(self, pieces: list[bytes]) -> str | None:
        line = self._line()
        if line is None:
            return self._no_line()
        size = line.split(b';', 1)[0].strip()
        if _CHUNK_SIZE.match(size) is None:
            return 'invalid chunk size'
        if self._framing_bytes > self._data_bytes + SPARE_FRAMING_BYTES:
            return 'chunks too small'
        self._left = int(size, 16)
        self._state = self._read_data if self._left else self._read_trailer
        return None

    def _read_data(self, pieces: list[bytes]) -> str | None:
        piece = self._buffer[self._offset : self._offset + self._left]
        if not piece:
            return ''
        pieces.append(piece)
        self._offset += len(piece)
        self._data_bytes += len(piece)
        self._left -= len(piece)
        if self._left == 0:
            self._state = self._read_data_end
        return None

    def _read_data_end(self, pieces: list[bytes]) -> str | None:
        end = self._buffer[self._offset : self._offset + 2]
        if not b'\r\n'.startswith(end):
            return 'chunk without line end'
        if len(end) < 2:
            return ''
        self._offset += 2
        self._framing_bytes += 2
        self._state = self._read_size
        return None

    def _read_trailer(self, pieces: list[bytes]) -> str | None:
        line = self._line()
        if line is None:
            return self._no_line()
        self.done = line == b''
        if self._framing_bytes > self._data_bytes + SPARE_FRAMING_BYTES:
            return 'trailer too long'
        return None


Body = LengthBody | OpenBody | ChunkedBody


def parse_request_head(block: bytes) -> Result[RequestHead, BadMessage]:
    """Parses the head of a request.

    Args:
      block: Start line and headers, with the empty line that ends them.
    Returns: The head, or why it is not valid.
    """
    request_line = _REQUEST_LINE.match(block)
    if request_line is None:
        return Failure(BadMessage('invalid request line'))
    problem = _check_lines(block)
    if problem is not None:
        return Failure(problem)
    normal = b'%b %b HTTP/1.%b\r\n' % request_line.groups()
    normal += block[request_line.end() :]
    normal = normal.replace(b'\\', b'\\\\')
    parser = parsers.HttpParser(0)
    try:
        parser.execute(normal, len(normal))
    except ValueError:
        return Failure(BadMessage('invalid request target'))
    if parser.errno is not None or not parser.is_headers_complete():
        return Failure(BadMessage('invalid request target or header'))
    headers = _headers(parser)
    http_1_0 = request_line['minor'] == b'0'
    if not http_1_0 and 'host' not in headers:
        return Failure(BadMessage('no Host header'))
    return Success(
        RequestHead(
            method=request_line['method'].decode('ascii'),
            path=parser.get_path() or '/',
            query=parser.get_query_string(),
            headers=headers,
            keep_alive=_keep_alive(parser.get_version(), headers),
            http_1_0=http_1_0,
            target=request_line['target'].decode('ascii'),
            lines=_lines(block),
        )
    )


def parse_response_head(block: bytes) -> Result[ResponseHead, BadMessage]:
    """Parses the head of a response.

    Args:
      block: Status line and headers, with the empty line that ends them.
    Returns: The head, or why it is not valid.
    """
    status_line = _STATUS_LINE.match(block)
    problem = _check_lines(block)
    if problem is not None or status_line is None:
        return Failure(problem or BadMessage('invalid status line'))
    if _STATUS.search(block, 1) is not None:
        return Failure(BadMessage('second response inside a head'))
    rest = block[status_line.end() :].replace(b'\\', b'\\\\')
    parser = parsers.HttpParser(1)
    normal = status_line.group(1) + b' OK\r\n' + rest
    parser.execute(normal, len(normal))
    if parser.errno is not None or not parser.is_headers_complete():
        return Failure(BadMessage('invalid status line or header'))
    headers = _headers(parser)
    return Success(
        ResponseHead(
            status=parser.get_status_code(),
            headers=headers,
            keep_alive=_keep_alive(parser.get_version(), headers),
            lines=_lines(block),
        )
    )


def request_body(head: RequestHead) -> Result[Body, BadMessage]:
    """Finds out how the body of a request is framed.

    Args:
      head: The head of the request.
    Returns: The reader of the body, or why the framing is not valid.
    """
    if head.http_1_0 and 'transfer-encoding' in head.headers:
        return Failure(BadMessage('transfer encoding in HTTP/1.0'))
    return _framed_body(head.headers, LengthBody(0))


def response_body(method: str, head: ResponseHead) -> Result[Body, BadMessage]:
    """Finds out how the body of a response is framed.

    Args:
      method: Method of the request.
      head: The head of the response.
    Returns: The reader of the body, or why the framing is not valid.
    """
    if method == 'HEAD' or head.status in (204, 304):
        return Success(LengthBody(0))
    return _framed_body(head.headers, OpenBody())


def _framed_body(
    headers: dict[str, str], otherwise: Body
) -> Result[Body, BadMessage]:
    length = headers.get('content-length')
    encoding = headers.get('transfer-encoding')
    if encoding is not None:
        if length is not None:
            return Failure(BadMessage('both length and transfer encoding'))
        if encoding.strip().lower() != 'chunked':
            return Failure(BadMessage('transfer encoding not supported'))
        return Success(ChunkedBody())
    if length is None:
        return Success(otherwise)
    if _DIGITS.match(length) is None:
        return Failure(BadMessage('invalid content length'))
    return Success(LengthBody(int(length)))


def _check_lines(block: bytes) -> BadMessage | None:
    lines = block[: -len(HEAD_END)].split(b'\r\n')
    if len(lines) > MAX_HEADER_LINES + 1:
        return BadMessage('too many header lines')
    framing: set[bytes] = set()
    for line in lines[1:]:
        if _HEADER.match(line) is None:
            return BadMessage('invalid header line')
        name = line.split(b':', 1)[0].lower()
        if name in _SINGLE_HEADERS:
            if name in framing:
                return BadMessage(f'{name.decode()} given twice')
            framing.add(name)
    return None


def _lines(block: bytes) -> Lines:
    pairs = (
        line.partition(':')
        for line in block.decode('latin-1').split('\r\n')[1:-2]
    )
    return tuple((name, value.strip(' \t')) for name, _, value in pairs)


def _headers(parser: parsers.HttpParser) -> dict[str, str]:
    return {
        name.lower(): value for name, value in parser.get_headers().items()
    }


def _keep_alive(version: tuple[int, int], headers: dict[str, str]) -> bool:
    options = [
        option.strip()
        for option in headers.get('connection', '').lower().split(',')
    ]
    if 'close' in options:
        return False
    return version == (1, 1) or 'keep-alive' in options
