"""Decides which agents an entry connects to and which of them it uses.

Each entry connects to a subset of the agents, chosen from the host list by
rendezvous hashing. The list may be outdated; what the entry itself learns
from its connections takes precedence over it.
"""

from collections.abc import Iterable
from typing import Any, Literal, NamedTuple

import xxhash

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform

SUBSET_SIZE = 200
#: Fraction of the subset that is chosen from other regions.
OTHER_REGIONS_FRACTION = 0.1
#: How far the host list may lag behind the agents' actual state.
HOST_LIST_LAG_MS = 30_000
#: Time without any message from an agent after which it gets no new work.
SILENCE_LIMIT_MS = 3_000

State = Literal['connecting', 'connected', 'lost', 'leaving']


class EntryLocation(NamedTuple):
    """The id of an entry, and where it runs."""

    entry_id: str
    zone: str
    region: str


class Member:
    """An agent of the entry's subset.

    since_ms is when the state was entered, last_seen_at_ms when the agent
    last sent anything (0: never), both in Unix ms.
    """

    __slots__ = ('last_seen_at_ms', 'host', 'left_at_ms', 'since_ms', 'state')

    def __init__(self, host: platform.HostEntry, now_ms: int) -> None:
        self.host = host
        self.state: State = 'connecting'
        self.since_ms = now_ms
        self.last_seen_at_ms = 0
        self.left_at_ms = 0


class Membership:
    """Tracks the agents that the entry connects to, and their states.

    Args:
      location: Where this entry runs.
      subset_size: The most agents to be connected to.
    """

    def __init__(
        self, location: EntryLocation, subset_size: int = SUBSET_SIZE
    ) -> None:
        self._location = location
        self._subset_size = subset_size
        self._members_by_id: dict[str, Member] = {}
        self._leaving_since_ms_by_id: dict[str, int] = {}

    def apply_host_list(
        self,
        stamp: events.Stamp,
        hosts: Iterable[platform.HostEntry],
        busy_agent_ids: frozenset[str] = frozenset(),
    ) -> list[Any]:
        """Applies a host list, which may be out of date.

        A connected agent that still responds stays, even if it is not
        listed. An agent that announced its departure is not connected
        again because of an old list that still contains it.

        Args:
          stamp: Time and randomness.
          hosts: All hosts of the list.
          busy_agent_ids: Agents with attempts in progress; they are kept.
        Returns: ConnectAgent and DropAgent effects.
        """
        agents = {host.id: host for host in hosts if host.role == 'agent'}
        candidates = [
            host
            for host in agents.values()
            if host.state == 'live' and not self._is_leaving(stamp, host.id)
        ]
        subset = {host.id: host for host in self._subset(candidates)}
        connection_effects: list[Any] = []
        for agent_id, member in list(self._members_by_id.items()):
            listed_host = agents.get(agent_id)
            if listed_host is not None and listed_host.state != 'live':
                self._apply_listed_leaving(stamp, member)
            if agent_id in subset or agent_id in busy_agent_ids:
                continue
            if self._should_keep(stamp, member, listed_host):
                continue
            del self._members_by_id[agent_id]
            connection_effects.append(effects.DropAgent(agent_id))
        for agent_id, host in sorted(subset.items()):
            connection_effects += self._connect(stamp, host)
        return connection_effects

    def record_connected(self, agent_id: str, stamp: events.Stamp) -> None:
        """Records that the control stream to an agent is established."""
        member = self._members_by_id.get(agent_id)
        if member is None:
            return
        member.state = 'connected'
        member.since_ms = stamp.now_ms
        member.last_seen_at_ms = stamp.now_ms
        self._leaving_since_ms_by_id.pop(agent_id, None)

    def record_report(self, agent_id: str, stamp: events.Stamp) -> None:
        """Records a message from an agent (a pong or a report)."""
        member = self._members_by_id.get(agent_id)
        if member is not None:
            member.last_seen_at_ms = stamp.now_ms

    def record_lost(self, agent_id: str, stamp: events.Stamp) -> None:
        """Records that the control stream was lost or refused."""
        member = self._members_by_id.get(agent_id)
        if member is not None:
            member.state = 'lost'
            member.since_ms = stamp.now_ms

    def record_leaving(self, agent_id: str, stamp: events.Stamp) -> None:
        """Records an agent's announcement that it takes no new work."""
        self._leaving_since_ms_by_id[agent_id] = stamp.now_ms
        member = self._members_by_id.get(agent_id)
        if member is not None:
            member.state = 'leaving'
            member.since_ms = stamp.now_ms

    def is_usable(self, agent_id: str, stamp: events.Stamp) -> bool:
        """Returns whether new work may be sent to an agent."""
        member = self._members_by_id.get(agent_id)
        if member is None or member.state != 'connected':
            return False
        return stamp.now_ms - member.last_seen_at_ms <= SILENCE_LIMIT_MS

    def member_ids(self) -> frozenset[str]:
        """Returns the ids of the agents in the subset."""
        return frozenset(self._members_by_id)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Forgets departures that the host list must reflect by now.

        Returns: No effects.
        """
        for agent_id, since_ms in list(self._leaving_since_ms_by_id.items()):
            if stamp.now_ms - since_ms > 2 * HOST_LIST_LAG_MS:
                del self._leaving_since_ms_by_id[agent_id]
        return []

    def _is_leaving(self, stamp: events.Stamp, agent_id: str) -> bool:
        since_ms = self._leaving_since_ms_by_id.get(agent_id)
        return (
            since_ms is not None
            and stamp.now_ms - since_ms <= 2 * HOST_LIST_LAG_MS
        )

    def _apply_listed_leaving(
        self, stamp: events.Stamp, member: Member
    ) -> None:
        """Marks a connected agent that the list reports as leaving.

        An agent that connected recently may have been restarted since the
        list was made, so it is not marked.
        """
        if member.state != 'connected':
            return
        if stamp.now_ms - member.since_ms > 2 * HOST_LIST_LAG_MS:
            member.state = 'leaving'

    def _should_keep(
        self,
        stamp: events.Stamp,
        member: Member,
        listed_host: platform.HostEntry | None,
    ) -> bool:
        """Returns whether an idle agent outside the subset is kept.

        A leaving agent is kept until its connection is lost. An agent that
        is not listed as live is kept while it responds. One that is live
        but not chosen any more is dropped.
        """
        if member.state == 'leaving':
            return True
        if listed_host is not None and listed_host.state == 'live':
            return False
        return self.is_usable(member.host.id, stamp)

    def _connect(
        self, stamp: events.Stamp, host: platform.HostEntry
    ) -> list[Any]:
        member = self._members_by_id.get(host.id)
        if member is not None and member.host.address == host.address:
            return []
        self._members_by_id[host.id] = Member(host, stamp.now_ms)
        connection_effects: list[Any] = []
        if member is not None:
            connection_effects.append(effects.DropAgent(host.id))
        connection_effects.append(effects.ConnectAgent(host.id, host.address))
        return connection_effects

    def _subset(
        self, hosts: list[platform.HostEntry]
    ) -> list[platform.HostEntry]:
        """Chooses the agents to connect to, most of them in this region."""
        if len(hosts) <= self._subset_size:
            return hosts
        local = [h for h in hosts if h.region == self._location.region]
        remote = [h for h in hosts if h.region != self._location.region]
        remote_size = int(self._subset_size * OTHER_REGIONS_FRACTION)
        local_size = self._subset_size - min(remote_size, len(remote))
        chosen = self._highest_ranked(local, local_size)
        remaining = self._subset_size - len(chosen)
        return chosen + self._highest_ranked(remote, remaining)

    def _highest_ranked(
        self, hosts: list[platform.HostEntry], size: int
    ) -> list[platform.HostEntry]:
        ranked = sorted(hosts, key=self._rank, reverse=True)
        return ranked[:size]

    def _rank(self, host: platform.HostEntry) -> int:
        return xxhash.xxh64_intdigest(
            f'{self._location.entry_id} {host.id}'.encode()
        )


def new_membership(
    location: EntryLocation, subset_size: int = SUBSET_SIZE
) -> Membership:
    """Builds a membership without agents.

    Args:
      location: Where this entry runs.
      subset_size: The most agents to be connected to.
    Returns: The membership.
    """
    return Membership(location, subset_size)
