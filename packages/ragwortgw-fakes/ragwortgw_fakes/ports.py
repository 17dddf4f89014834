"""Reserves TCP ports for stand-ins and for processes under test."""

import socket


def reserve(host: str, port: int = 0) -> socket.socket:
    """Reserves a port for a server that is to listen there, or again.

    Args:
      host: The IP address.
      port: The port; 0 takes a free one.
    Returns: A socket that keeps the port from other processes until it is
      closed. The server has to set SO_REUSEADDR.
    Raises: OSError if the port is taken.
    """
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock
