"""The backend servers that a gateway believes in."""

from collections.abc import Iterable
from typing import NamedTuple

from ragwortgw_gateway import documents

#: Registrations that lapsed in an outage of the store are back about two
#: seconds after its return, if the server lives.
LAPSE_GRACE_MS = 2_200


class FleetChange(NamedTuple):
    """What an update changed; ids of backend servers."""

    added: tuple[str, ...]
    draining: tuple[str, ...]
    removed: tuple[str, ...]


class Fleet:
    """Backend servers by id, with those that lapsed in an outage.

    Attributes:
      servers_by_id: Those that may get requests, or are draining.
    """

    def __init__(self) -> None:
        self.servers_by_id: dict[str, documents.BackendServer] = {}
        self._lapse_deadlines_by_id: dict[str, int] = {}
        self._replaced: set[tuple[str, int]] = set()

    def available_servers(self, service: str) -> list[documents.BackendServer]:
        """Returns the servers of a service that take new work."""
        return [
            server
            for server in self.servers_by_id.values()
            if server.service == service and not server.draining
        ]

    def register(
        self, servers: Iterable[documents.BackendServer]
    ) -> FleetChange:
        """Takes registrations that are new or changed.

        Args:
          servers: The servers as registered.
        Returns: What changed.
        """
        added = []
        draining = []
        for server in servers:
            self._lapse_deadlines_by_id.pop(server.id, None)
            if (server.id, server.started_ms) in self._replaced:
                continue
            before = self.servers_by_id.get(server.id)
            self.servers_by_id[server.id] = server
            if before is None or before.started_ms != server.started_ms:
                added.append(server.id)
            if server.draining and not (before and before.draining):
                draining.append(server.id)
        return FleetChange(tuple(added), tuple(draining), ())

    def deregister(
        self, server_ids: Iterable[str], grace_until_ms: int = 0
    ) -> FleetChange:
        """Takes note that registrations are gone.

        Args:
          server_ids: Ids of the servers.
          grace_until_ms: When to believe it; 0 at once. Draining servers
            are gone at once.
        Returns: What changed.
        """
        removed = []
        for server_id in server_ids:
            server = self.servers_by_id.get(server_id)
            if server is None:
                continue
            if grace_until_ms and not server.draining:
                self._lapse_deadlines_by_id.setdefault(
                    server_id, grace_until_ms
                )
                continue
            del self.servers_by_id[server_id]
            self._lapse_deadlines_by_id.pop(server_id, None)
            removed.append(server_id)
        return FleetChange((), (), tuple(removed))

    def mark_replaced(self, server_id: str) -> FleetChange:
        """Takes note that another server answers at a server's address."""
        server = self.servers_by_id.pop(server_id, None)
        if server is None:
            return FleetChange((), (), ())
        self._replaced.add((server_id, server.started_ms))
        return FleetChange((), (), (server_id,))

    def expire(self, now_ms: int) -> FleetChange:
        """Drops servers whose registration did not come back."""
        due = [
            server_id
            for server_id, deadline_ms in self._lapse_deadlines_by_id.items()
            if deadline_ms <= now_ms
        ]
        return self.deregister(due)
