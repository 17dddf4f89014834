"""Tracks backend servers that have not warmed up yet.

A cold server is slow, takes few requests a second and crashes beyond. It
reports for how long that lasts, in its registration and in some answers, and
may become cold again at any moment. Clocks of servers differ from those of
gateways: only the remaining time counts, from when it was received.
"""

import math
from typing import NamedTuple

from ragwortgw_gateway import documents
from ragwortgw_gateway import fleet
from ragwortgw_gateway import moving

#: Longest time for which one report counts, whatever it says.
MAX_COLD_MS = 600_000
#: Bound of the slowdown that one answer can show.
MAX_SLOWDOWN = 16.0


class ColdServer(NamedTuple):
    """A server that is cold.

    Args:
      process: The process of the server.
      service: Its service.
      began_ms: When it became cold, as far as that is known: by how much is
        left of the time that the service's servers are cold.
      until_ms: When it is warm.
    """

    process: fleet.ServerProcess
    service: str
    began_ms: int
    until_ms: int


class ColdServers:
    """Cold servers.

    Attributes:
      by_id: Cold servers by the id of the server.
      services_by_id: Services as configured.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, ColdServer] = {}
        self.services_by_id: dict[str, documents.Service] = {}
        #: Store revision of the registration that was applied last.
        self._revisions_by_id: dict[str, int] = {}
        self._slowdowns_by_service: dict[str, moving.Mean] = {}

    def report(
        self,
        server: documents.BackendServer,
        left_ms: float,
        now_ms: int,
        revision: int = 0,
    ) -> bool:
        """Records how much longer a server is cold.

        A time that grows means that it became cold again.

        Args:
          server: The server.
          left_ms: Time until it is warm, 0 if it is.
          now_ms: The time.
          revision: Store revision of the registration that says so; one that
            was applied before is ignored, since its time has passed. 0 if an
            answer says so.
        Returns: Whether the server is cold now and was not before.
        """
        if revision:
            if self._revisions_by_id.get(server.id) == revision:
                return False
            self._revisions_by_id[server.id] = revision
        known = self.by_id.get(server.id)
        process = fleet.ServerProcess(server.id, server.started_ms)
        if left_ms <= 0:
            self.by_id.pop(server.id, None)
            return False
        until_ms = now_ms + round(min(left_ms, MAX_COLD_MS))
        service = self.services_by_id.get(server.service)
        whole_ms = 0 if service is None else service.cold_start_ms
        began_ms = min(now_ms, until_ms - whole_ms)
        if known is not None and known.process == process:
            # The turns of gateways stay where they are.
            self.by_id[server.id] = known._replace(until_ms=until_ms)
            return False
        self.by_id[server.id] = ColdServer(
            process, server.service, began_ms, until_ms
        )
        return True

    def find(self, server: documents.BackendServer) -> ColdServer | None:
        """Returns what is known of a cold server, None if it is warm."""
        cold = self.by_id.get(server.id)
        if cold is None or cold.process.started_ms != server.started_ms:
            return None
        return cold

    def limit_per_s(self, server: documents.BackendServer) -> float:
        """Returns the requests a second that a server takes while it is cold.

        Returns: The rate; 0 if the server is warm, or has no such limit.
        """
        service = self.services_by_id.get(server.service)
        if service is None or self.find(server) is None:
            return 0.0
        return service.cold_per_s

    def record_slowdown(self, service: str, factor: float) -> None:
        """Records by which factor a cold server was slower than usual."""
        mean = self._slowdowns_by_service.setdefault(service, moving.Mean())
        mean.add(math.log(min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, factor))))

    def slowdown(self, server: documents.BackendServer) -> float:
        """Returns by which factor a server is slower than a warm one.

        Returns: The geometric mean of what cold servers of its service
          were, at least 1; 1 if it is warm, or none was timed.
        """
        mean = self._slowdowns_by_service.get(server.service)
        if mean is None or self.find(server) is None:
            return 1.0
        return max(1.0, math.exp(mean.value))

    def expire(self, now_ms: int) -> tuple[ColdServer, ...]:
        """Removes and returns the servers that are warm by now."""
        warm = tuple(
            cold for cold in self.by_id.values() if cold.until_ms <= now_ms
        )
        for cold in warm:
            del self.by_id[cold.process.id]
        return warm

    def forget(self, server_id: str) -> None:
        """Removes a server that is gone or was restarted."""
        self.by_id.pop(server_id, None)
        self._revisions_by_id.pop(server_id, None)
