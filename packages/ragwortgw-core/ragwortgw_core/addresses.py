"""Addresses of processes, as 'ip:port' in IPv4."""

import ipaddress
from typing import NamedTuple

MAX_PORT = 65_535


class Address(NamedTuple):
    """Where a process listens."""

    host: str
    port: int


def parse(text: str) -> Address | None:
    """Reads an address.

    Names are none: to look one up would block the process.

    Args:
      text: 'ip:port'.
    Returns: The address, None if the text is none.
    """
    host, _, digits = text.rpartition(':')
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 5):
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    port = int(digits)
    return Address(host, port) if 0 < port <= MAX_PORT else None
