"""Divides the other gateways by availability zone.

Traffic between zones costs money, and each message to all gateways crosses
zones once for each of them. A gateway sends to those of its own zone, and to
one of each other zone, the relay, which passes the message on in its zone.
The relay is another one each time: one that is dead, frozen or cut off loses
few of the messages, and the next digest makes good what they reported.

Gateways whose zone is not known get everything directly; processes that
register no zone can't relay.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple


class PeerZones(NamedTuple):
    """Addresses of other gateways, 'ip:port' each.

    Args:
      near: Those of the own zone, and those whose zone is not known.
      far_by_zone: Those of each other zone.
    """

    near: list[str]
    far_by_zone: dict[str, list[str]]

    def near_fanout(self, total: int) -> int:
        """Returns how many of a zone get a message that goes to some.

        Args:
          total: How many of all zones get it.
        """
        return max(1, total // (1 + len(self.far_by_zone)))


def divide(
    own_zone: str,
    addresses_by_id: Iterable[tuple[str, str]],
    zones_by_id: Mapping[str, str],
) -> PeerZones:
    """Divides gateways by zone.

    Args:
      own_zone: Zone of this gateway, '' if it has none.
      addresses_by_id: Host id and address of the other gateways.
      zones_by_id: Zones as registered, by host id.
    """
    zones = PeerZones([], {})
    for host_id, address in addresses_by_id:
        zone = zones_by_id.get(host_id, '') if own_zone else ''
        if zone in ('', own_zone):
            zones.near.append(address)
        else:
            zones.far_by_zone.setdefault(zone, []).append(address)
    return zones


def in_turn(
    addresses: Sequence[str], turn: int, count: int
) -> tuple[str, ...]:
    """Returns some of the addresses, chosen round robin by turn."""
    count = min(len(addresses), count)
    first = turn * count
    return tuple(addresses[(first + n) % len(addresses)] for n in range(count))


def relays(
    far_by_zone: Mapping[str, Sequence[str]],
    turn: int,
    alive: frozenset[str],
    count: int = 1,
) -> tuple[str, ...]:
    """Chooses the relays of a message, some in each zone.

    Args:
      far_by_zone: Addresses of the gateways by zone.
      turn: Number of the message.
      alive: Addresses of those that sent something lately; the others are
        chosen only in a zone without any of them.
      count: Relays in each zone.
    """
    chosen: list[str] = []
    for addresses in far_by_zone.values():
        preferred = [each for each in addresses if each in alive]
        chosen += in_turn(preferred or addresses, turn, count)
    return tuple(chosen)
