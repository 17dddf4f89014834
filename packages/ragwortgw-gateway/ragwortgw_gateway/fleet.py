"""The gateway's view of the fleet of backend servers."""

from collections.abc import Iterable
from typing import NamedTuple

from ragwortgw_gateway import documents

#: Registrations that lapsed in an outage of the store are renewed about two
#: seconds after its end, if the server is alive.
LAPSE_GRACE_MS = 2_200


class FleetChange(NamedTuple):
    """Changes of the fleet by an update; ids of backend servers."""

    added: tuple[str, ...]
    draining: tuple[str, ...]
    removed: tuple[str, ...]


class Fleet:
    """Backend servers by id.

    A server whose registration may only have lapsed in an outage of the
    store stays until a deadline.

    Attributes:
      servers_by_id: Servers that accept work or are draining.
    """

    def __init__(self) -> None:
        self.servers_by_id: dict[str, documents.BackendServer] = {}
        #: When servers whose registration was deleted are removed, in ms.
        self._lapse_deadlines_by_id: dict[str, int] = {}
        #: (id, started_ms) of servers whose address another one has now.
        self._replaced: set[tuple[str, int]] = set()

    def available_servers(self, service: str) -> list[documents.BackendServer]:
        """Returns the servers of a service that accept new work."""
        return [
            server
            for server in self.servers_by_id.values()
            if server.service == service and not server.draining
        ]

    def register(
        self, servers: Iterable[documents.BackendServer]
    ) -> FleetChange:
        """Applies registrations that are new or changed.

        Args:
          servers: The servers as registered.
        Returns: The changes of the fleet.
        """
        added = []
        draining = []
        for server in servers:
            self._lapse_deadlines_by_id.pop(server.id, None)
            if (server.id, server.started_ms) in self._replaced:
                continue
            previous = self.servers_by_id.get(server.id)
            self.servers_by_id[server.id] = server
            if previous is None or previous.started_ms != server.started_ms:
                added.append(server.id)
            if server.draining and not (previous and previous.draining):
                draining.append(server.id)
        return FleetChange(tuple(added), tuple(draining), ())

    def deregister(
        self, server_ids: Iterable[str], grace_until_ms: int = 0
    ) -> FleetChange:
        """Handles registrations that were deleted.

        Args:
          server_ids: Ids of the servers.
          grace_until_ms: When the servers are removed unless they register
            again; 0 for at once. Draining servers are removed at once.
        Returns: The changes of the fleet.
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
        """Removes a server at whose address another one answers.

        It is ignored if it is registered again with the same start time.
        """
        server = self.servers_by_id.pop(server_id, None)
        if server is None:
            return FleetChange((), (), ())
        self._replaced.add((server_id, server.started_ms))
        return FleetChange((), (), (server_id,))

    def expire(self, now_ms: int) -> FleetChange:
        """Removes servers whose registration was not renewed in time."""
        expired = [
            server_id
            for server_id, deadline_ms in self._lapse_deadlines_by_id.items()
            if deadline_ms <= now_ms
        ]
        return self.deregister(expired)
