"""Limits on the requests that all gateways together send to a server.

A backend server in need names a limit in its answers for as long as it has
one. Gateways tell each other what they send there, and each counts all of it
against the limit, so that those with much traffic may use what others leave.
"""

from typing import NamedTuple

from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import fleet

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
    """Limits in force by backend server, and how far they are used up."""

    def __init__(self) -> None:
        self._announcements_by_process: dict[
            fleet.ServerProcess, Announcement
        ] = {}
        #: When the requests sent so far would all have come at the rate of
        #: the limit, in ms.
        self._used_until_ms: dict[fleet.ServerProcess, float] = {}

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
        """Returns the limit in force, None if there is none."""
        announcement = self._announcements_by_process.get(_process(server))
        return None if announcement is None else announcement.per_s

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
        used_until_ms = self._used_until_ms.get(_process(server), 0.0)
        allowed_ms = round(used_until_ms) - BURST_MS
        return allowed_ms if allowed_ms > now_ms else 0

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
        for process in list(self._announcements_by_process):
            if process.id == server_id:
                del self._announcements_by_process[process]
                self._used_until_ms.pop(process, None)


def _interval_ms(per_s: float) -> float:
    return MS_PER_S / max(MIN_RATE_PER_S, per_s)


def _process(server: documents.BackendServer) -> fleet.ServerProcess:
    return fleet.ServerProcess(server.id, server.started_ms)
