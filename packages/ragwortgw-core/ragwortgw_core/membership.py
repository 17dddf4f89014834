"""Decides which agents an entry is connected to and which it may use."""

from collections.abc import Iterable
from typing import Any, Literal, NamedTuple

import xxhash

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import platform

SUBSET_SIZE = 200
#: Share of the subset that other regions than the entry's own fill.
OTHER_REGIONS_FRACTION = 0.1
#: How far the host list lags behind the truth.
HOST_LIST_LAG_MS = 30_000
#: Time without a sign of life after which no new work is sent.
SILENCE_LIMIT_MS = 3_000

State = Literal['connecting', 'connected', 'lost', 'leaving']


class EntryLocation(NamedTuple):
    """Where an entry is."""

    entry_id: str
    zone: str
    region: str


class Member:
    """An agent that the entry is or was connected to."""

    __slots__ = ('heard_at_ms', 'host', 'left_at_ms', 'since_ms', 'state')

    def __init__(self, host: platform.HostEntry, now_ms: int) -> None:
        self.host = host
        self.state: State = 'connecting'
        self.since_ms = now_ms
        self.heard_at_ms = 0
        self.left_at_ms = 0


class Membership:
    """Keeps the entry's subset of agents; what it saw itself goes first.

    Args:
      place: Where this entry is.
      subset_size: The most agents to be connected to.
    """

    def __init__(
        self, place: EntryLocation, subset_size: int = SUBSET_SIZE
    ) -> None:
        self._place = place
        self._subset_size = subset_size
        self._members_by_id: dict[str, Member] = {}
        self._left_at_ms_by_id: dict[str, int] = {}

    def listed(
        self,
        stamp: events.Stamp,
        hosts: Iterable[platform.HostEntry],
        busy: frozenset[str] = frozenset(),
    ) -> list[Any]:
        """Takes the host list, which may be old.

        An agent that still answers stays although the list lacks it; one
        that said it leaves does not come back by an old line.

        Args:
          stamp: Time and randomness.
          hosts: All lines of the list.
          busy: Agents with attempts in progress; they are not dropped.
        Returns: ConnectAgent and DropAgent effects.
        """
        agents = {host.id: host for host in hosts if host.role == 'agent'}
        candidates = [
            host
            for host in agents.values()
            if host.state == 'live' and not self._left(stamp, host.id)
        ]
        wanted = {host.id: host for host in self._subset(candidates)}
        out: list[Any] = []
        for agent_id, member in list(self._members_by_id.items()):
            listed = agents.get(agent_id)
            if listed is not None and listed.state != 'live':
                self._listed_leaving(stamp, member)
            if agent_id in wanted or agent_id in busy:
                continue
            if self._stays(stamp, member, listed):
                continue
            del self._members_by_id[agent_id]
            out.append(effects.DropAgent(agent_id))
        for agent_id, host in sorted(wanted.items()):
            out += self._connect(stamp, host)
        return out

    def record_connected(self, agent_id: str, stamp: events.Stamp) -> None:
        """Notes that the control stream to an agent is up."""
        member = self._members_by_id.get(agent_id)
        if member is None:
            return
        member.state = 'connected'
        member.since_ms = stamp.now_ms
        member.heard_at_ms = stamp.now_ms
        self._left_at_ms_by_id.pop(agent_id, None)

    def record_report(self, agent_id: str, stamp: events.Stamp) -> None:
        """Notes a sign of life (a ping's answer, a report)."""
        member = self._members_by_id.get(agent_id)
        if member is not None:
            member.heard_at_ms = stamp.now_ms

    def record_lost(self, agent_id: str, stamp: events.Stamp) -> None:
        """Notes that the control stream broke or was refused."""
        member = self._members_by_id.get(agent_id)
        if member is not None:
            member.state = 'lost'
            member.since_ms = stamp.now_ms

    def record_leaving(self, agent_id: str, stamp: events.Stamp) -> None:
        """Notes that the agent itself said that it takes no new work."""
        self._left_at_ms_by_id[agent_id] = stamp.now_ms
        member = self._members_by_id.get(agent_id)
        if member is not None:
            member.state = 'leaving'
            member.since_ms = stamp.now_ms

    def is_usable(self, agent_id: str, stamp: events.Stamp) -> bool:
        """Tells whether new work may be sent to an agent."""
        member = self._members_by_id.get(agent_id)
        if member is None or member.state != 'connected':
            return False
        return stamp.now_ms - member.heard_at_ms <= SILENCE_LIMIT_MS

    def members(self) -> frozenset[str]:
        """Returns the ids of the agents in the subset."""
        return frozenset(self._members_by_id)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Forgets departures that the host list must show by now."""
        for agent_id, at_ms in list(self._left_at_ms_by_id.items()):
            if stamp.now_ms - at_ms > 2 * HOST_LIST_LAG_MS:
                del self._left_at_ms_by_id[agent_id]
        return []

    def _left(self, stamp: events.Stamp, agent_id: str) -> bool:
        at_ms = self._left_at_ms_by_id.get(agent_id)
        return (
            at_ms is not None and stamp.now_ms - at_ms <= 2 * HOST_LIST_LAG_MS
        )

    def _listed_leaving(self, stamp: events.Stamp, member: Member) -> None:
        if member.state != 'connected':
            return
        if stamp.now_ms - member.since_ms > 2 * HOST_LIST_LAG_MS:
            member.state = 'leaving'

    def _stays(
        self,
        stamp: events.Stamp,
        member: Member,
        listed: platform.HostEntry | None,
    ) -> bool:
        if member.state == 'leaving':
            return True
        if listed is not None and listed.state == 'live':
            return False
        return self.is_usable(member.host.id, stamp)

    def _connect(
        self, stamp: events.Stamp, host: platform.HostEntry
    ) -> list[Any]:
        member = self._members_by_id.get(host.id)
        if member is not None and member.host.address == host.address:
            return []
        self._members_by_id[host.id] = Member(host, stamp.now_ms)
        out: list[Any] = []
        if member is not None:
            out.append(effects.DropAgent(host.id))
        out.append(effects.ConnectAgent(host.id, host.address))
        return out

    def _subset(
        self, hosts: list[platform.HostEntry]
    ) -> list[platform.HostEntry]:
        if len(hosts) <= self._subset_size:
            return hosts
        own = [h for h in hosts if h.region == self._place.region]
        foreign = [h for h in hosts if h.region != self._place.region]
        foreign_size = int(self._subset_size * OTHER_REGIONS_FRACTION)
        own_size = self._subset_size - min(foreign_size, len(foreign))
        chosen = self._highest(own, own_size)
        left = self._subset_size - len(chosen)
        return chosen + self._highest(foreign, left)

    def _highest(
        self, hosts: list[platform.HostEntry], size: int
    ) -> list[platform.HostEntry]:
        ranked = sorted(hosts, key=self._rank, reverse=True)
        return ranked[:size]

    def _rank(self, host: platform.HostEntry) -> int:
        return xxhash.xxh64_intdigest(
            f'{self._place.entry_id} {host.id}'.encode()
        )


def new_membership(
    place: EntryLocation, subset_size: int = SUBSET_SIZE
) -> Membership:
    """Builds a membership without agents.

    Args:
      place: Where this entry is.
      subset_size: The most agents to be connected to.
    Returns: The membership.
    """
    return Membership(place, subset_size)
