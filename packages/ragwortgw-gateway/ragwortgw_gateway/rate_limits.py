"""Limits on the requests that all gateways together send to a server.

A backend server in need names a limit in its answers for as long as it has
one.
"""

from typing import NamedTuple

from ragwortgw_gateway import documents
from ragwortgw_gateway import fleet


class Announcement(NamedTuple):
    """What a server last said of its limit.

    Args:
      per_s: Requests a second, None for no limit.
      at_ms: When it said so.
    """

    per_s: float | None
    at_ms: int


class RateLimits:
    """Limits in force by backend server."""

    def __init__(self) -> None:
        self._announcements_by_process: dict[
            fleet.ServerProcess, Announcement
        ] = {}

    def announce(
        self, process: fleet.ServerProcess, per_s: float | None, at_ms: int
    ) -> bool:
        """Records what a server said of its limit.

        Args:
          process: The server; another start of it has its own limit.
          per_s: Requests a second, None for no limit.
          at_ms: When it said so.
        Returns: Whether that changes the limit in force.
        """
        known = self._announcements_by_process.get(
            process, Announcement(None, 0)
        )
        if at_ms < known.at_ms or (per_s is None and not known.at_ms):
            return False
        self._announcements_by_process[process] = Announcement(per_s, at_ms)
        return per_s != known.per_s

    def limit_per_s(self, server: documents.BackendServer) -> float | None:
        """Returns the limit in force, None if there is none."""
        process = fleet.ServerProcess(server.id, server.started_ms)
        announcement = self._announcements_by_process.get(process)
        return None if announcement is None else announcement.per_s

    def forget(self, server_id: str) -> None:
        """Removes a server that is gone or was restarted."""
        for process in list(self._announcements_by_process):
            if process.id == server_id:
                del self._announcements_by_process[process]
