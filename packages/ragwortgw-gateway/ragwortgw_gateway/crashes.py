"""Detects and quarantines requests that crash backend servers.

It protects against a request that the client retries after each crash, and
that takes down one backend server after the other.

Such a request is never answered: one that was answered a short time ago only
waited at servers that crashed for another reason, as do many that are alike.
"""

import collections
from collections.abc import Iterable

from ragwortgw_gateway import digests

#: How long a crash counts against a request; clients retry within seconds.
CRASH_LIFETIME_MS = 60_000
#: Crashes of different servers after which a request is quarantined. A
#: request that did not cause them is seldom waiting for its answer at two
#: servers that crash.
MAX_CRASHES = 2
#: Crashes that are remembered; the oldest are dropped first.
MAX_TRACKED_CRASHES = 1_024
#: Requests that are remembered as answered, the latest ones.
MAX_SOUND = 4_096


class CrashTracker:
    """Tracks server crashes by the requests that awaited an answer."""

    def __init__(self) -> None:
        #: (time in ms, whether observed by this gateway) by (fingerprint of
        #: the request, server).
        self._crashes: collections.OrderedDict[
            tuple[int, str], tuple[int, bool]
        ] = collections.OrderedDict()
        #: When requests were last answered, in ms by fingerprint.
        self._sound_ms_by_fingerprint: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def record_sound(self, fingerprint: int, now_ms: int) -> None:
        """Records that a server ran a request to its end.

        Args:
          fingerprint: Hash of the request.
          now_ms: When it was answered.
        """
        self._sound_ms_by_fingerprint[fingerprint] = now_ms
        self._sound_ms_by_fingerprint.move_to_end(fingerprint)
        if len(self._sound_ms_by_fingerprint) > MAX_SOUND:
            self._sound_ms_by_fingerprint.popitem(last=False)

    def record_crash(
        self, fingerprint: int, server: str, now_ms: int, local: bool = True
    ) -> None:
        """Records that a server crashed before it began to answer a request.

        Args:
          fingerprint: Hash of the request.
          server: Identifies one run of the server's process.
          now_ms: When it crashed.
          local: Whether this gateway observed it, rather than a peer.
        """
        key = (fingerprint, server)
        if key in self._crashes:
            return
        self._crashes[key] = (now_ms, local)
        while len(self._crashes) > MAX_TRACKED_CRASHES:
            self._crashes.popitem(last=False)

    def merge_remote(
        self, crashes: Iterable[digests.Crash], now_ms: int
    ) -> None:
        """Adds crashes that a peer observed."""
        for crash in crashes:
            at_ms = now_ms - crash.age_ms
            self.record_crash(
                crash.fingerprint, crash.server, at_ms, local=False
            )

    def expire(self, now_ms: int) -> None:
        """Removes what is older than CRASH_LIFETIME_MS."""
        oldest_ms = now_ms - CRASH_LIFETIME_MS
        while self._sound_ms_by_fingerprint:
            fingerprint = next(iter(self._sound_ms_by_fingerprint))
            if self._sound_ms_by_fingerprint[fingerprint] >= oldest_ms:
                break
            del self._sound_ms_by_fingerprint[fingerprint]
        for key, (at_ms, _) in list(self._crashes.items()):
            if at_ms < oldest_ms:
                del self._crashes[key]

    def is_quarantined(self, fingerprint: int) -> bool:
        """Returns whether a request crashed too many servers to be sent."""
        if not self._crashes or fingerprint in self._sound_ms_by_fingerprint:
            return False
        servers = {
            server
            for crash_fingerprint, server in self._crashes
            if crash_fingerprint == fingerprint
        }
        return len(servers) >= MAX_CRASHES

    def local(self, now_ms: int) -> tuple[digests.Crash, ...]:
        """Returns the crashes that this gateway observed, for its digest.

        Those of requests that are known to be sound are left out.
        """
        return tuple(
            digests.Crash(fingerprint, server, now_ms - at_ms)
            for (fingerprint, server), (at_ms, local) in self._crashes.items()
            if local and fingerprint not in self._sound_ms_by_fingerprint
        )
