"""Reads the platform's list of hosts at intervals."""

from collections.abc import Callable
from typing import Any

from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

OWNER = 'hosts'
CALL_TIMEOUT_MS = 2_000
#: Bytes of one line of the list, about, and what one reader spends on it.
LINE_BYTES = 125
READ_BYTES_PER_S = 9_000
#: Reads a second that all entries together make.
FLEET_READS_PER_S = 20
MS_PER_S = 1_000

Listener = Callable[[events.Stamp, tuple[platform.HostEntry, ...]], list[Any]]


class HostListPoller:
    """Keeps the newest host list and passes each one on.

    Args:
      calls: Makes the platform calls.
      interval_ms: Shortest time between two reads; it grows with the
        list and with the number of its readers.
      on_listed: Takes each list; returns effects and notices.
    """

    def __init__(
        self,
        calls: platform_calls.PlatformCalls,
        interval_ms: int,
        on_listed: Listener,
    ) -> None:
        self.hosts: tuple[platform.HostEntry, ...] = ()
        self._calls = calls
        self._interval_ms = interval_ms
        self._on_listed = on_listed
        self._deadline_ms = 0
        calls.register(OWNER, self)

    def count(self, role: str) -> int:
        """Returns how many hosts of a role are listed."""
        return sum(host.role == role for host in self.hosts)

    def interval_ms(self) -> int:
        """Returns the time between two reads, without its spread."""
        by_size_ms = (
            len(self.hosts) * LINE_BYTES * MS_PER_S // READ_BYTES_PER_S
        )
        by_readers_ms = self.count('entry') * MS_PER_S // FLEET_READS_PER_S
        return max(self._interval_ms, by_size_ms, by_readers_ms)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Asks for the list when it is due."""
        if stamp.now_ms < self._deadline_ms:
            return []
        self._plan(stamp)
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
        """Takes a peer's list while the platform service gave none."""
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
        """Takes a new list; without an answer the old one stays."""
        if not isinstance(result, platform.HostList):
            retry_at_ms = stamp.now_ms + self._interval_ms
            self._deadline_ms = min(self._deadline_ms, retry_at_ms)
            return []
        self.hosts = result.hosts
        self._plan(stamp)
        return self._on_listed(stamp, result.hosts)

    def _plan(self, stamp: events.Stamp) -> None:
        interval_ms = self.interval_ms()
        spread_ms = stamp.seed % (interval_ms // 4 + 1)
        self._deadline_ms = stamp.now_ms + interval_ms - spread_ms
