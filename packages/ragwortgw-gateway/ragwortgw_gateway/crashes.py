"""Finds requests that crash the backend servers that begin them.

Load it answers: one request that comes again after each crash takes down
one backend server after the other.
"""

import collections
from collections.abc import Iterable

from ragwortgw_gateway import digests

#: How long a crash counts against a request; a caller that repeats does
#: so within seconds.
CRASH_LIFETIME_MS = 60_000
#: Crashes of different servers after which a request is refused. A
#: request that is merely unlucky is seldom about to begin at two of them.
MAX_CRASHES = 2
MAX_CRASHES_KEPT = 1_024


class CrashTracker:
    """Crashes by the requests that were about to begin."""

    def __init__(self) -> None:
        self._crashed_ms: collections.OrderedDict[
            tuple[int, str], tuple[int, bool]
        ] = collections.OrderedDict()

    def record_crash(
        self, fingerprint: int, server: str, now_ms: int, local: bool = True
    ) -> None:
        """Takes note that a server broke before it began a request.

        Args:
          fingerprint: The request.
          server: Names one start of the server.
          now_ms: When it broke.
          own: Whether this gateway saw it.
        """
        key = (fingerprint, server)
        if key in self._crashed_ms:
            return
        self._crashed_ms[key] = (now_ms, local)
        while len(self._crashed_ms) > MAX_CRASHES_KEPT:
            self._crashed_ms.popitem(last=False)

    def merge_remote(
        self, crashes: Iterable[digests.Crash], now_ms: int
    ) -> None:
        """Takes crashes that another gateway saw."""
        for crash in crashes:
            at_ms = now_ms - crash.age_ms
            self.record_crash(
                crash.fingerprint, crash.server, at_ms, local=False
            )

    def expire(self, now_ms: int) -> None:
        """Forgets old crashes."""
        oldest_ms = now_ms - CRASH_LIFETIME_MS
        for key, (at_ms, _) in list(self._crashed_ms.items()):
            if at_ms < oldest_ms:
                del self._crashed_ms[key]

    def is_quarantined(self, fingerprint: int) -> bool:
        """Tells whether a request is not to be sent any more."""
        if not self._crashed_ms:
            return False
        servers = {
            server
            for known, server in self._crashed_ms
            if known == fingerprint
        }
        return len(servers) >= MAX_CRASHES

    def local(self, now_ms: int) -> tuple[digests.Crash, ...]:
        """Returns the crashes that this gateway saw, to tell others."""
        return tuple(
            digests.Crash(fingerprint, server, now_ms - at_ms)
            for (fingerprint, server), (at_ms, own) in self._crashed_ms.items()
            if own
        )
