"""Decides whether the held configuration is fresh enough for new work.

The decision uses the last confirmation by the platform service and what
other processes last reported of their configuration. It distinguishes an
outage of the service, seen by most processes, from a process that alone is
cut off from it.
"""

from typing import NamedTuple

from ragwortgw_core import errors
from ragwortgw_core import events

RETRY_AFTER_MS = 500
#: How long a known newer revision may be missing here.
MAX_BEHIND_MS = 2_000
#: Age of the last confirmation from which this process may be cut off.
MAX_CONFIRMATION_AGE_MS = 8_000
#: How recent the last report of another process must be.
CONTACT_TIMEOUT_MS = 4_000


class Evidence(NamedTuple):
    """What another process last reported of its configuration.

    Times are in Unix ms.
    """

    heard_at_ms: int
    revision: int
    confirmed_at_ms: int


class Freshness:
    """Tracks confirmations of the held revision and reports of others.

    Confirmation times come from the service directly or are relayed by
    other processes. An entry passes on direct ones only: a relayed time
    that circulated among processes would be renewed by each of them and
    never expire.
    """

    def __init__(self) -> None:
        self.confirmed_at_ms = 0
        self.direct_confirmed_at_ms = 0
        self.known_revision = 0
        self.limit_ms = MAX_CONFIRMATION_AGE_MS
        self._behind_since_ms = 0
        self._evidence_by_source: dict[str, Evidence] = {}

    def confirm(self, at_ms: int, direct: bool) -> None:
        """Records a time at which the held revision was the newest.

        Args:
          at_ms: Unix ms.
          own: Whether the service confirmed it to this process directly.
        """
        self.confirmed_at_ms = max(self.confirmed_at_ms, at_ms)
        if direct:
            self.direct_confirmed_at_ms = max(
                self.direct_confirmed_at_ms, at_ms
            )

    def record_revision(
        self, stamp: events.Stamp, revision: int, held: int
    ) -> None:
        """Records that a revision exists.

        Args:
          stamp: Time and randomness.
          revision: The revision.
          held: The revision that this process holds.
        """
        if revision <= self.known_revision:
            return
        if self.known_revision <= held:
            self._behind_since_ms = stamp.now_ms
        self.known_revision = revision

    def record_installed(self, stamp: events.Stamp) -> None:
        """Records that a newer revision was installed."""
        self._behind_since_ms = stamp.now_ms

    def behind_ms(self, stamp: events.Stamp, held: int) -> int:
        """Returns for how many ms a newer revision is known; 0 if none is."""
        if self.known_revision <= held:
            return 0
        return stamp.now_ms - self._behind_since_ms

    def record_report(self, source: str, evidence: Evidence) -> None:
        """Records the last report of another process."""
        self._evidence_by_source[source] = evidence

    def forget_source(self, source: str) -> None:
        """Drops the last report of a process that disconnected."""
        self._evidence_by_source.pop(source, None)

    def check(
        self, stamp: events.Stamp, held: int, listed_processes: int
    ) -> errors.ConfigurationMissing | errors.ConfigurationStale | None:
        """Decides whether new work may start on the held revision.

        Work is refused while a newer revision is known but not held. It
        is also refused if the last confirmation is too old and less than
        half of the other processes reported recently, because this
        process may be cut off. If at least half of them did, and none had
        a later confirmation, the service itself is down. Work then goes
        on, since nobody can change the configuration during an outage.

        Args:
          stamp: Time and randomness.
          held: The revision in force; 0 if there is none.
          listed_processes: Other processes (peers and agents) that this
            one should be connected to.
        Returns: The refusal, or None.
        """
        if not held:
            return errors.ConfigurationMissing(RETRY_AFTER_MS)
        age_ms = stamp.now_ms - self.confirmed_at_ms
        if self.behind_ms(stamp, held) > MAX_BEHIND_MS:
            return errors.ConfigurationStale(age_ms, RETRY_AFTER_MS)
        if age_ms <= self.limit_ms:
            return None
        limit_ms = stamp.now_ms - CONTACT_TIMEOUT_MS
        recent_count = sum(
            evidence.heard_at_ms >= limit_ms
            for evidence in self._evidence_by_source.values()
        )
        if 2 * recent_count >= listed_processes:
            return None
        return errors.ConfigurationStale(age_ms, RETRY_AFTER_MS)
