"""The gateway's view of the fleet of backend servers."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from ragwortgw_gateway import documents

#: Registrations that lapsed in an outage of the store are renewed about two
#: seconds after its end, if the server is alive.
LAPSE_GRACE_MS = 2_200


#: Processes that are remembered to be leaving; the oldest are dropped first.
MAX_LEAVING = 4_096
#: The same for processes whose registration was deleted.
MAX_DEPARTED = 4_096


class ServerProcess(NamedTuple):
    """One run of a backend server's process.

    Args:
      id: Id of the server.
      started_ms: When the process started, by its own clock.
    """

    id: str
    started_ms: int


class FleetChange(NamedTuple):
    """Changes of the fleet by an update; ids of backend servers."""

    added: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


class Fleet:
    """Backend servers by id.

    A server whose registration may only have lapsed in an outage of the
    store stays until a deadline. A server that announced that it leaves, or
    registered as draining, does not come back: only another start of it does.

    Attributes:
      servers_by_id: Servers that accept work or are draining.
      leaving_ids: Ids of those that are known to be leaving.
    """

    def __init__(self) -> None:
        self.servers_by_id: dict[str, documents.BackendServer] = {}
        self.leaving_ids: set[str] = set()
        #: When servers whose registration was deleted are removed, in ms.
        self._lapse_deadlines_by_id: dict[str, int] = {}
        #: (id, started_ms) of servers whose address another one has now.
        self._replaced: set[tuple[str, int]] = set()
        #: Processes whose registration was deleted.
        self._departed: collections.OrderedDict[ServerProcess, None] = (
            collections.OrderedDict()
        )
        #: When it became known that a process leaves, in ms.
        self._leaving_since_ms: collections.OrderedDict[ServerProcess, int] = (
            collections.OrderedDict()
        )

    def available_servers(
        self, service: str, now_ms: int, leaving_ms: int = 0
    ) -> list[documents.BackendServer]:
        """Returns the servers of a service that accept new work.

        Args:
          service: The service.
          now_ms: The time.
          leaving_ms: Time for which a server that announced its leaving
            still accepts work.
        """
        return [
            server
            for server in self.servers_by_id.values()
            if server.service == service
            and not server.draining
            and (
                server.id not in self.leaving_ids
                or now_ms - self._leaving_since_ms[_process(server)]
                < leaving_ms
            )
        ]

    def leaving_processes(self) -> dict[ServerProcess, int]:
        """Returns the leaving processes that are registered as serving.

        Returns: Since when each is known to be leaving, in ms.
        """
        processes = [
            _process(self.servers_by_id[server_id])
            for server_id in self.leaving_ids
            if not self.servers_by_id[server_id].draining
        ]
        return {each: self._leaving_since_ms[each] for each in processes}

    def mark_leaving(
        self, process: ServerProcess, since_ms: int
    ) -> FleetChange:
        """Records that a process of a backend server is about to end.

        Args:
          process: The process; a later start of the server is not meant.
          since_ms: When that became known.
        Returns: The changes of the fleet.
        """
        known_ms = self._leaving_since_ms.get(process, since_ms)
        self._leaving_since_ms[process] = min(known_ms, since_ms)
        self._forget_oldest_leaving()
        server = self.servers_by_id.get(process.id)
        if server is None or _process(server) != process:
            return FleetChange()
        if process.id in self.leaving_ids:
            return FleetChange()
        self.leaving_ids.add(process.id)
        return FleetChange(leaving=(process.id,))

    def _forget_oldest_leaving(self) -> None:
        while len(self._leaving_since_ms) > MAX_LEAVING:
            process, _ = self._leaving_since_ms.popitem(last=False)
            server = self.servers_by_id.get(process.id)
            if server is not None and _process(server) == process:
                self.leaving_ids.discard(process.id)

    def register(
        self,
        servers: Iterable[documents.BackendServer],
        may_be_old: bool = False,
    ) -> FleetChange:
        """Applies registrations that are new or changed.

        Args:
          servers: The servers as registered.
          may_be_old: Whether the registrations may be from an older copy of
            the store. Those that had been deleted, and those of an earlier
            start of a server, are ignored then.
        Returns: The changes of the fleet.
        """
        added = []
        draining = []
        for server in servers:
            if (server.id, server.started_ms) in self._replaced:
                continue
            previous = self.servers_by_id.get(server.id)
            if may_be_old and self._is_past(server, previous):
                continue
            self._lapse_deadlines_by_id.pop(server.id, None)
            self._departed.pop(_process(server), None)
            self.servers_by_id[server.id] = server
            if previous is None or previous.started_ms != server.started_ms:
                added.append(server.id)
            if server.draining and not (previous and previous.draining):
                draining.append(server.id)
            if server.draining:
                self._leaving_since_ms.setdefault(_process(server), 0)
                self._forget_oldest_leaving()
            if _process(server) in self._leaving_since_ms:
                self.leaving_ids.add(server.id)
            else:
                self.leaving_ids.discard(server.id)
        return FleetChange(tuple(added), tuple(draining))

    def _is_past(
        self,
        server: documents.BackendServer,
        previous: documents.BackendServer | None,
    ) -> bool:
        """Returns whether a registration is known to be out of date."""
        if previous is not None and server.started_ms < previous.started_ms:
            return True
        return _process(server) in self._departed

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
            self._departed[_process(server)] = None
            if len(self._departed) > MAX_DEPARTED:
                self._departed.popitem(last=False)
            del self.servers_by_id[server_id]
            self.leaving_ids.discard(server_id)
            self._lapse_deadlines_by_id.pop(server_id, None)
            removed.append(server_id)
        return FleetChange(removed=tuple(removed))

    def mark_replaced(self, server_id: str) -> FleetChange:
        """Removes a server at whose address another one answers.

        It is ignored if it is registered again with the same start time.
        """
        server = self.servers_by_id.pop(server_id, None)
        if server is None:
            return FleetChange()
        self.leaving_ids.discard(server_id)
        self._replaced.add((server_id, server.started_ms))
        return FleetChange(removed=(server_id,))

    def expire(self, now_ms: int) -> FleetChange:
        """Removes servers whose registration was not renewed in time."""
        expired = [
            server_id
            for server_id, deadline_ms in self._lapse_deadlines_by_id.items()
            if deadline_ms <= now_ms
        ]
        return self.deregister(expired)


def _process(server: documents.BackendServer) -> ServerProcess:
    return ServerProcess(server.id, server.started_ms)
