"""Connected TCP sockets with bounded buffers, as one circuits component."""

import asyncio
import collections
from collections.abc import Callable
import errno
import logging
import socket
import ssl
import struct
from typing import Any

from circuits.core import components
from circuits.core import handlers

from ragwortgw_core import addresses
from ragwortgw_server import loop as loops
from ragwortgw_server import memory_budget

LOG = logging.getLogger(__name__)

READ_BYTES = 65536
#: The same while memory is scarce.
SMALL_READ_BYTES = 8192
MAX_SEND_BYTES = 262144
LINGER_S = 2
#: Receive buffer that the kernel is asked for; it takes up to twice that. What
#: has come and is not read yet is part of what a process holds.
RECEIVE_BUFFER_BYTES = 65536
MAX_QUEUED_BYTES = 2 * RECEIVE_BUFFER_BYTES
#: Bytes that the kernel accepts beyond those that the peer has room for.
UNSENT_BYTES = 65536
QUEUE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    (socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES),
)
#: SO_LINGER by which the end of a socket resets the connection, and by which
#: it sends what is left.
RESET = struct.pack('ii', 1, 0)
NO_RESET = struct.pack('ii', 0, 0)
#: A peer whose host is gone, or a path that lost the connection, shows
#: after about three seconds without an answer to the kernel's probes.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)

_WOULD_BLOCK = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


class Connection:
    """A connected socket; owns it and what is still to be sent on it.

    Attributes:
      bytes_sent: Bytes accepted by the kernel so far.
      reset: Whether an error of the socket ended the connection.
      on_data: Called with each piece that arrives.
      on_closed: Called once when the connection is gone.
    """

    def __init__(
        self, owner: 'Connections', sock: Any, handshake: bool
    ) -> None:
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.on_closed: Callable[[], None] = lambda: None
        self.bytes_sent = 0
        self.closed = False
        self.reset = False
        self._owner = owner
        self._sock = sock
        self._secure = isinstance(sock, ssl.SSLSocket)
        self._handshaking = handshake
        self._closing = False
        self._paused = False
        self._unframed = False
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        #: Part of them that the budget of the process counts.
        self._counted_bytes = 0
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    @property
    def secure(self) -> bool:
        """Tells whether TLS runs on the connection."""
        return self._secure

    @property
    def buffered_bytes(self) -> int:
        """Bytes that the kernel has not accepted yet."""
        return self._pending_bytes

    @property
    def budget(self) -> memory_budget.MemoryBudget:
        """Counts what the process holds."""
        return self._owner.budget

    @property
    def peer(self) -> str:
        """Address of the other end as 'ip:port', '' when it is gone."""
        try:
            host, port = self._sock.getpeername()[:2]
        except OSError:
            return ''
        return f'{host}:{port}'

    def write(self, data: bytes) -> None:
        """Sends data, at once as far as the kernel takes it.

        Args:
          data: Bytes; dropped when the connection is closed.
        """
        if self.closed or self._closing or not data:
            return
        self._pending.append(data)
        self._pending_bytes += len(data)
        if len(self._pending) == 1 and not self._handshaking:
            self._send()
        if self._pending and not self.closed:
            self._owner.watch_writes(self._sock, True)
            self._count()

    async def drained(self, limit_bytes: int) -> None:
        """Waits until less is buffered, or the connection is gone.

        Args:
          limit_bytes: Returns once at most this much is buffered.
        """
        if self.closed or self._pending_bytes <= limit_bytes:
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((limit_bytes, waiter))
        await waiter

    def when_drained(
        self, limit_bytes: int, callback: Callable[[], None]
    ) -> None:
        """Calls back once less is buffered, or the connection is gone.

        Args:
          limit_bytes: Calls back once at most this much is buffered.
          callback: What to call.
        """
        waiter = self._owner.create_future()
        waiter.add_done_callback(lambda _: callback())
        self._waiters.append((limit_bytes, waiter))
        self._wake_waiters()

    def pause(self) -> None:
        """Stops reading until resume()."""
        if not self.closed and not self._paused:
            self._paused = True
            self._owner.watch_reads(self._sock, False)

    def resume(self) -> None:
        """Reads again."""
        if not self.closed and self._paused:
            self._paused = False
            self._owner.watch_reads(self._sock, True)
            if self._secure and self._sock.pending():
                self._owner.call_soon(self.receive)

    def begin_unframed(self) -> None:
        """Begins a message that ends where the connection does.

        Unless close() ends it, the connection is reset, also if the process
        is killed: a peer would take an orderly end for that of the message.
        """
        if not self.closed:
            self._unframed = True
            self._set_linger(RESET)

    def close(self) -> None:
        """Closes once everything written is sent.

        What the peer still sends is read and dropped for a while, since
        closing with unread data would destroy what it has not read yet.
        """
        if self.closed or self._closing:
            return
        self._closing = True
        if not self._pending:
            self._linger()

    def abort(self) -> None:
        """Closes at once; what is still buffered is dropped."""
        if self.closed:
            return
        self.closed = True
        self._owner.forget(self._sock)
        if not self._unframed:
            self._shut(socket.SHUT_RDWR)
        self._sock.close()
        self._pending.clear()
        self._pending_bytes = 0
        self._count()
        self._wake_waiters()
        self._owner.call_soon(self.on_closed)

    def receive(self) -> None:
        """Reads what has arrived; called when the socket is readable."""
        if self._handshaking:
            self._handshake()
            return
        while not self.closed and not self._paused:
            try:
                data = self._sock.recv(self._owner.read_bytes)
            except _WOULD_BLOCK:
                return
            except OSError:
                self.reset = True
                data = b''
            if not data:
                self.abort()
                return
            self.on_data(data)
            if not (self._secure and not self.closed and self._sock.pending()):
                return

    def flush(self) -> None:
        """Sends what is buffered; called when the socket is writable."""
        if self._handshaking:
            self._handshake()
            return
        self._send()
        if self.closed or self._pending:
            return
        self._owner.watch_writes(self._sock, False)
        if self._closing:
            self._linger()

    def _send(self) -> None:
        while self._pending:
            data = self._next_piece()
            try:
                count = self._sock.send(data)
            except _WOULD_BLOCK:
                return
            except OSError:
                self.reset = True
                self.abort()
                return
            self.bytes_sent += count
            self._pending_bytes -= count
            if count == len(data):
                self._pending.popleft()
            else:
                self._pending[0] = data[count:]
                break
        if self._counted_bytes:
            self._count()
        self._wake_waiters()

    def _count(self) -> None:
        change_bytes = self._pending_bytes - self._counted_bytes
        self._counted_bytes = self._pending_bytes
        self._owner.budget.hold('unsent', change_bytes)

    def _next_piece(self) -> bytes:
        if len(self._pending) > 1 and self._pending_bytes <= MAX_SEND_BYTES:
            joined = b''.join(self._pending)
            self._pending.clear()
            self._pending.append(joined)
        return self._pending[0]

    def _handshake(self) -> None:
        try:
            self._sock.do_handshake()
        except ssl.SSLWantReadError:
            self._owner.watch_writes(self._sock, False)
            return
        except ssl.SSLWantWriteError:
            self._owner.watch_writes(self._sock, True)
            return
        except OSError:
            self.reset = True
            self.abort()
            return
        self._handshaking = False
        if self._pending:
            self._owner.watch_writes(self._sock, True)
        self.receive()

    def _wake_waiters(self) -> None:
        if not self._waiters:
            return
        still = []
        for limit_bytes, waiter in self._waiters:
            if not self.closed and self._pending_bytes > limit_bytes:
                still.append((limit_bytes, waiter))
            elif not waiter.done():
                waiter.set_result(None)
        self._waiters = still

    def _linger(self) -> None:
        if self._unframed:
            self._unframed = False
            self._set_linger(NO_RESET)
        self._shut(socket.SHUT_WR)
        self._owner.call_later(LINGER_S, self.abort)

    def _set_linger(self, option: bytes) -> None:
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        except OSError:
            # The peer is gone: nobody can mistake the end of the message.
            pass

    def _shut(self, how: int) -> None:
        try:
            self._sock.shutdown(how)
        except OSError:
            pass


class Connections(components.BaseComponent):
    """Carries all connected sockets of a process.

    circuits' own TCPServer and TCPClient take a TLS handshake or a connect
    in progress by blocking or by polling ten times a second, and close a
    TLS socket on a partial record; this component does neither.
    """

    channel = 'connections'

    def __init__(self, loop: loops.Loop) -> None:
        super().__init__(channel=self.channel)
        self._asyncio_loop = loop.asyncio_loop
        self._poller: Any = loop.root.poller
        self._connections_by_sock: dict[Any, Connection] = {}
        #: Whether the kernel is to probe connections that are silent.
        self.probes = False
        self.budget = memory_budget.MemoryBudget()

    def __len__(self) -> int:
        return len(self._connections_by_sock)

    @property
    def read_bytes(self) -> int:
        """How much is read at once from a connection."""
        return SMALL_READ_BYTES if self.budget.scarce else READ_BYTES

    def adopt(
        self,
        sock: socket.socket,
        tls: ssl.SSLContext | None,
        server_side: bool,
        server_hostname: str | None = None,
    ) -> Connection:
        """Takes over a connected socket.

        Args:
          sock: The socket.
          tls: Context when TLS runs on it.
          server_side: Whether this end is the server of the handshake.
          server_hostname: Name or address that the peer must prove.
        Returns: The connection; set its callbacks at once.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.probes:
            for option in KEEPALIVE_OPTIONS:
                sock.setsockopt(*option)
        if tls is not None:
            sock = tls.wrap_socket(
                sock,
                server_side=server_side,
                server_hostname=server_hostname,
                do_handshake_on_connect=False,
            )
        connection = Connection(self, sock, handshake=tls is not None)
        self._connections_by_sock[sock] = connection
        self._poller.addReader(self, sock)
        if tls is not None and not server_side:
            self.call_soon(connection.receive)
        return connection

    async def connect(
        self, address: str, tls: ssl.SSLContext | None = None
    ) -> Connection:
        """Opens a connection.

        Args:
          address: 'ip:port'.
          tls: Context when TLS is wanted.
        Returns: The connection.
        Raises:
          OSError: The peer can not be reached.
        """
        parsed = addresses.parse(address)
        if parsed is None:
            raise OSError(errno.EINVAL, 'no address', address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        limit_queues(sock)
        try:
            await self._asyncio_loop.sock_connect(sock, parsed)
        except BaseException:
            sock.close()
            raise
        return self.adopt(
            sock, tls, server_side=False, server_hostname=parsed.host
        )

    def create_future(self) -> asyncio.Future[None]:
        """Creates a future of the loop."""
        return self._asyncio_loop.create_future()

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Calls back after the present handler is done."""
        if not self._asyncio_loop.is_closed():
            self._asyncio_loop.call_soon(callback)

    def call_later(
        self, delay_s: float, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Calls back after a time."""
        return self._asyncio_loop.call_later(delay_s, callback)

    def watch_reads(self, sock: Any, wanted: bool) -> None:
        """Starts or stops to wait for data to arrive."""
        if wanted:
            self._poller.addReader(self, sock)
        else:
            self._poller.removeReader(sock)

    def watch_writes(self, sock: Any, wanted: bool) -> None:
        """Starts or stops to wait for room to send."""
        if wanted == self._poller.isWriting(sock):
            return
        if wanted:
            self._poller.addWriter(self, sock)
        else:
            self._poller.removeWriter(sock)

    def forget(self, sock: Any) -> None:
        """Stops watching a socket that is about to be closed."""
        self._connections_by_sock.pop(sock, None)
        self._poller.discard(sock)

    def close(self) -> None:
        """Closes every connection at once."""
        for connection in list(self._connections_by_sock.values()):
            connection.abort()

    @handlers.handler('_read')
    def _on_read(self, sock: Any) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is None:
            return
        try:
            connection.receive()
        except Exception:
            LOG.exception('reader of a connection failed')
            connection.abort()

    @handlers.handler('_write')
    def _on_write(self, sock: Any) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is not None:
            connection.flush()


def limit_queues(sock: socket.socket) -> None:
    """Bounds what the kernel keeps of what arrives on a socket, and unsent.

    A socket is writable as soon as less is unsent, so that bytes_sent follows
    what the peer takes, whatever the size of the kernel's send buffer.

    Args:
      sock: One that is not connected yet; connections that a listening one
        accepts have the same bounds.
    """
    for level, option, value in QUEUE_OPTIONS:
        try:
            sock.setsockopt(level, option, value)
        except OSError as error:
            # The kernel's own bound holds.
            LOG.debug('no bound on a queue: %s', error)


def open_connections(loop: loops.Loop) -> Connections:
    """Returns the connections of a loop; there is one set for each loop.

    Args:
      loop: The loop that they run on.
    Returns: The component, registered.
    """
    for component in loop.root.components:
        if isinstance(component, Connections):
            return component
    return Connections(loop).register(loop.root)
