"""Messages and bytes on the connections of a stand-in."""

import collections
import socket
import struct
from typing import Any

TCP_INFO_BYTES = 144
#: Place of tcpi_bytes_acked and tcpi_bytes_received in Linux's tcp_info.
BYTES_OFFSET = 120


class Traffic:
    """Counts frames by kind and reads bytes from the kernel.

    Bytes are those of TCP payloads, with HTTP/2 and gRPC framing.
    """

    def __init__(self) -> None:
        self.received_by_kind: collections.Counter[str] = collections.Counter()
        self.sent_by_kind: collections.Counter[str] = collections.Counter()
        self._sockets: list[Any] = []
        self._ended_sent = 0
        self._ended_received = 0

    def opened(self, stream_socket: Any) -> None:
        """Adds a connection."""
        self._sockets.append(stream_socket)

    def closed(self, stream_socket: Any) -> None:
        """Keeps the bytes of a connection that ends."""
        self._sockets.remove(stream_socket)
        sent, received = _bytes(stream_socket)
        self._ended_sent += sent
        self._ended_received += received

    def document(self) -> dict[str, Any]:
        """Returns all counts since the start."""
        pairs = [_bytes(each) for each in self._sockets]
        return {
            'connections': len(self._sockets),
            'received': dict(self.received_by_kind),
            'sent': dict(self.sent_by_kind),
            'received_bytes': self._ended_received + sum(p[1] for p in pairs),
            'sent_bytes': self._ended_sent + sum(p[0] for p in pairs),
        }


def _bytes(stream_socket: Any) -> tuple[int, int]:
    try:
        info = stream_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return 0, 0
    if len(info) < BYTES_OFFSET + 16:
        return 0, 0
    sent, received = struct.unpack_from('QQ', info, BYTES_OFFSET)
    return sent, received
