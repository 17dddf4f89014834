"""Detects and quarantines requests that crash backend servers.

It protects against a request that the client retries after each crash, and
that takes down one backend server after the other.

Such a request is never answered: one that was answered a short time ago only
waited at servers that crashed for another reason, as do many that are alike.
A server that resets a connection may only have lost an answer: it has not
crashed if it sends anything to any gateway afterwards.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable

from ragwortgw_gateway import digests
from ragwortgw_gateway import fleet

#: How long a crash counts against a request; clients retry within seconds.
CRASH_LIFETIME_MS = 60_000
#: Crashes of different servers after which a request is quarantined. A
#: request that did not cause them is seldom waiting for its answer at two
#: servers that crash.
MAX_CRASHES = 2
#: What a server sent before a reset may be read later by this much.
READ_DELAY_MS = 500
#: A server that nobody received anything from for this long after a reset has
#: crashed; peers report what they received within a second.
CONFIRM_MS = 1_500
#: Crashes that are remembered; the oldest are dropped first.
MAX_TRACKED_CRASHES = 1_024
#: Requests that are remembered as answered, the latest ones.
MAX_SOUND = 4_096


def _never_alive(process: fleet.ServerProcess, since_ms: int) -> bool:
    return False


class CrashTracker:
    """Tracks server crashes by the requests that awaited an answer.

    Args:
      is_alive: Returns whether a server's process has sent anything to any
        gateway since a time in ms.
    """

    def __init__(
        self,
        is_alive: Callable[[fleet.ServerProcess, int], bool] = _never_alive,
    ) -> None:
        self._is_alive = is_alive
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
        return len(self._crash_times_ms(fingerprint)) >= MAX_CRASHES

    def is_unconfirmed(self, fingerprint: int, now_ms: int) -> bool:
        """Returns whether a server may still prove that it did not crash.

        Args:
          fingerprint: Hash of a request that is in quarantine.
          now_ms: The time.
        """
        times_ms = sorted(self._crash_times_ms(fingerprint))
        if len(times_ms) < MAX_CRASHES:
            return False
        return now_ms - times_ms[MAX_CRASHES - 1] < CONFIRM_MS

    def _crash_times_ms(self, fingerprint: int) -> list[int]:
        """Returns when a request crashed servers, as far as is known."""
        if not self._crashes or fingerprint in self._sound_ms_by_fingerprint:
            return []
        return [
            at_ms
            for (crash_fingerprint, server), (at_ms, _) in (
                self._crashes.items()
            )
            if crash_fingerprint == fingerprint
            and not self._is_alive(_process(server), at_ms + READ_DELAY_MS)
        ]

    def local(self, now_ms: int) -> tuple[digests.Crash, ...]:
        """Returns the crashes that this gateway observed, for its digest.

        Those of requests that are known to be sound are left out.
        """
        return tuple(
            digests.Crash(fingerprint, server, now_ms - at_ms)
            for (fingerprint, server), (at_ms, local) in self._crashes.items()
            if local and fingerprint not in self._sound_ms_by_fingerprint
        )


def _process(server: str) -> fleet.ServerProcess:
    """Returns the process that 'ID/STARTED_MS' names."""
    server_id, _, started_ms = server.rpartition('/')
    return fleet.ServerProcess(server_id, int(started_ms or 0))
