"""Polls the platform service for the list of hosts.

The poll interval grows with the length of the list and with the number of
entries that read it, so that the load on the service stays bounded.
"""

from collections.abc import Callable
from typing import Any

from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

OWNER = 'hosts'
CALL_TIMEOUT_MS = 2_000
#: Approximate size of one host in the list.
LINE_BYTES = 125
#: Bytes of the list that one entry reads per second, on average.
READ_BYTES_PER_S = 9_000
#: Reads per second by all entries together.
FLEET_READS_PER_S = 20
MS_PER_S = 1_000

Listener = Callable[[events.Stamp, tuple[platform.HostEntry, ...]], list[Any]]


class HostListPoller:
    """Keeps the newest host list and passes each new list to a callback.

    Args:
      calls: Makes the platform calls.
      min_interval_ms: Shortest time between two reads.
      on_listed: Called with each new list; returns effects and notices.
    """

    def __init__(
        self,
        calls: platform_calls.PlatformCalls,
        min_interval_ms: int,
        on_listed: Listener,
    ) -> None:
        self.hosts: tuple[platform.HostEntry, ...] = ()
        self._calls = calls
        self._min_interval_ms = min_interval_ms
        self._on_listed = on_listed
        self._next_read_ms = 0
        calls.register(OWNER, self)

    def count(self, role: str) -> int:
        """Returns the number of listed hosts of a role."""
        return sum(host.role == role for host in self.hosts)

    def interval_ms(self) -> int:
        """Returns the time between two reads, without jitter."""
        by_size_ms = (
            len(self.hosts) * LINE_BYTES * MS_PER_S // READ_BYTES_PER_S
        )
        by_readers_ms = self.count('entry') * MS_PER_S // FLEET_READS_PER_S
        return max(self._min_interval_ms, by_size_ms, by_readers_ms)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Reads the list when the next read is due."""
        if stamp.now_ms < self._next_read_ms:
            return []
        self._schedule_next_read(stamp)
        return self._calls.call(
            stamp,
            OWNER,
            None,
            platform.Hosts(),
            stamp.now_ms + CALL_TIMEOUT_MS,
        )

    def on_peer_list(
        self,
        stamp: events.Stamp,
        hosts: tuple[platform.HostEntry, ...],
    ) -> list[Any]:
        """Uses a peer's list if the platform service has not sent one yet."""
        if self.hosts:
            return []
        self.hosts = hosts
        return self._on_listed(stamp, hosts)

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies a new list; keeps the old one if the call failed."""
        if not isinstance(result, platform.HostList):
            retry_at_ms = stamp.now_ms + self._min_interval_ms
            self._next_read_ms = min(self._next_read_ms, retry_at_ms)
            return []
        self.hosts = result.hosts
        self._schedule_next_read(stamp)
        return self._on_listed(stamp, result.hosts)

    def _schedule_next_read(self, stamp: events.Stamp) -> None:
        interval_ms = self.interval_ms()
        jitter_ms = stamp.seed % (interval_ms // 4 + 1)
        self._next_read_ms = stamp.now_ms + interval_ms - jitter_ms
