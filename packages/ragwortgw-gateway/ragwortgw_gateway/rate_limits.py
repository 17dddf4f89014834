"""Limits on the requests that all gateways together send to a server.

A backend server in need names a limit in its answers for as long as it has
one. Gateways tell each other what they send there, and each counts all of it
against the limit, so that those with much traffic may use what others leave.

A cold server crashes above its limit, which therefore holds without messages
too: gateways take turns (see send_turns), and what peers report only
withholds requests that a turn would allow.
"""

import math
from typing import Any, NamedTuple

from ragwortgw_gateway import cold_servers
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gateway_ring
from ragwortgw_gateway import send_turns

#: Requests that a server gets at once after a time without any, as the time
#: in which its limit allows them.
BURST_MS = 500
#: A server with a lower limit gets requests at this rate: only its answers
#: say that the limit has ended.
MIN_RATE_PER_S = 0.1
MS_PER_S = 1_000


class Announcement(NamedTuple):
    """What a server last said of its limit.

    Args:
      per_s: Requests a second, None for no limit.
      at_ms: When it said so.
      relayed: Whether it said so to a peer.
    """

    per_s: float | None
    at_ms: int
    relayed: bool = False


class RateLimits:
    """Limits in force by backend server, and how far they are used up.

    Args:
      host_id: Id of the gateway's host.
      cold: Servers that are cold.
      ring: Gateways that take turns at cold servers.
      cold_overrun: Requests that a cold server bears in a second, as a
        multiple of its limit.
      cold_tolerance: Requests that it bears besides.
    """

    def __init__(
        self,
        host_id: str,
        cold: cold_servers.ColdServers,
        ring: gateway_ring.GatewayRing,
        cold_overrun: float = 1.0,
        cold_tolerance: float = 0.0,
    ) -> None:
        self._host_id = host_id
        self._cold = cold
        self._ring = ring
        self._cold_overrun = cold_overrun
        self._cold_tolerance = cold_tolerance
        self._announcements_by_process: dict[
            fleet.ServerProcess, Announcement
        ] = {}
        #: When the requests sent so far would all have come at the rate of
        #: the limit, in ms.
        self._used_until_ms: dict[fleet.ServerProcess, float] = {}
        #: When the turn at a cold server began that was taken last.
        self._taken_ms: dict[fleet.ServerProcess, float] = {}
        #: Place in the order of turns by server, and for which gateways.
        self._positions: dict[str, tuple[tuple[str, ...], int]] = {}

    def set_cold_bound(self, overrun: float, tolerance: float) -> None:
        """Changes what cold servers bear, as for the constructor."""
        self._cold_overrun = overrun
        self._cold_tolerance = tolerance

    def announce(
        self,
        process: fleet.ServerProcess,
        per_s: float | None,
        at_ms: int,
        relayed: bool = False,
    ) -> bool:
        """Records what a server said of its limit.

        Args:
          process: The server; another start of it has its own limit.
          per_s: Requests a second, None for no limit.
          at_ms: When it said so.
          relayed: Whether it said so to a peer.
        Returns: Whether that changes the limit in force.
        """
        known = self._announcements_by_process.get(
            process, Announcement(None, 0)
        )
        if at_ms < known.at_ms or (per_s is None and not known.at_ms):
            return False
        self._announcements_by_process[process] = Announcement(
            per_s, at_ms, relayed
        )
        return per_s != known.per_s

    def limit_per_s(self, server: documents.BackendServer) -> float | None:
        """Returns the limit in force, None if there is none.

        That of a cold server is the lower one of what its service is
        configured to take and what it announced.
        """
        announcement = self._announcements_by_process.get(_process(server))
        announced = None if announcement is None else announcement.per_s
        cold = self._cold.limit_per_s(server)
        if not cold:
            return announced
        return cold if announced is None else min(cold, announced)

    def record_sent(
        self, server: documents.BackendServer, now_ms: int, count: float = 1.0
    ) -> None:
        """Counts requests that this gateway or a peer sent to a server."""
        per_s = self.limit_per_s(server)
        if per_s is None:
            return
        process = _process(server)
        used_until_ms = max(now_ms, self._used_until_ms.get(process, 0.0))
        self._used_until_ms[process] = used_until_ms + count * _interval_ms(
            per_s
        )

    def next_ms(self, server: documents.BackendServer, now_ms: int) -> int:
        """Returns when a server may get its next request, 0 for at once."""
        if self.limit_per_s(server) is None:
            return 0
        process = _process(server)
        used_until_ms = self._used_until_ms.get(process, 0.0)
        allowed_ms = round(used_until_ms) - BURST_MS
        turns = self._turns(server)
        if turns is not None:
            taken_ms = self._taken_ms.get(process, float('-inf'))
            turn_ms = math.ceil(turns.next_ms(taken_ms, now_ms))
            allowed_ms = max(allowed_ms, turn_ms, self._ring.share.begins_ms)
        return allowed_ms if allowed_ms > now_ms else 0

    def take_turn(self, server: documents.BackendServer, now_ms: int) -> None:
        """Uses up a turn at a cold server, for a request that is sent now."""
        turns = self._turns(server)
        if turns is not None:
            process = _process(server)
            taken_ms = self._taken_ms.get(process, float('-inf'))
            self._taken_ms[process] = turns.next_ms(taken_ms, now_ms)

    def _turns(
        self, server: documents.BackendServer
    ) -> send_turns.Turns | None:
        """Returns this gateway's turns, None if there are none to keep to."""
        cold = self._cold.find(server)
        cold_per_s = self._cold.limit_per_s(server)
        if cold is None or not cold_per_s:
            return None
        per_s = max(MIN_RATE_PER_S, self.limit_per_s(server) or 0.0)
        return send_turns.turns(
            self._position(server.id),
            self._ring.share.assumed,
            cold.began_ms,
            per_s,
            cold_per_s * self._cold_overrun + self._cold_tolerance,
        )

    def _position(self, server_id: str) -> int:
        """Returns this gateway's place in the order of turns at a server."""
        members = self._ring.share.members
        known_members, position = self._positions.get(server_id, ((), 0))
        if known_members != members:
            position = send_turns.position(server_id, self._host_id, members)
            self._positions[server_id] = members, position
        return position

    def describe(self, now_ms: int) -> tuple[digests.ServerLimit, ...]:
        """Returns what servers said to this gateway, for peers."""
        return tuple(
            digests.ServerLimit(
                *process, announcement.per_s, now_ms - announcement.at_ms
            )
            for process, announcement in self._announcements_by_process.items()
            if not announcement.relayed
        )

    def forget(self, server_id: str) -> None:
        """Removes a server that is gone or was restarted."""
        self._positions.pop(server_id, None)
        by_process: dict[fleet.ServerProcess, Any]
        for by_process in (
            self._announcements_by_process,
            self._used_until_ms,
            self._taken_ms,
        ):
            for process in list(by_process):
                if process.id == server_id:
                    del by_process[process]


def _interval_ms(per_s: float) -> float:
    return MS_PER_S / max(MIN_RATE_PER_S, per_s)


def _process(server: documents.BackendServer) -> fleet.ServerProcess:
    return fleet.ServerProcess(server.id, server.started_ms)
