"""Decides whether a held configuration is fresh enough for new work."""

from typing import NamedTuple

from ragwortgw_core import errors
from ragwortgw_core import events

RETRY_AFTER_MS = 500
#: How long a newer revision may be known of without being held.
MAX_BEHIND_MS = 2_000
#: Age of the last confirmation from which a cut-off is suspected.
MAX_CONFIRMATION_AGE_MS = 8_000
#: How recent a sign of life of another process must be.
CONTACT_TIMEOUT_MS = 4_000


class Evidence(NamedTuple):
    """What another process last said of its configuration."""

    heard_at_ms: int
    revision: int
    confirmed_at_ms: int


class Freshness:
    """Knows what other processes hold and when it was confirmed.

    Times of confirmation come from the service itself (own) or from
    other processes. Only own ones are passed on by an entry: a time that
    went round would be renewed by each transit and never grow old.
    """

    def __init__(self) -> None:
        self.confirmed_at_ms = 0
        self.direct_confirmed_at_ms = 0
        self.known_revision = 0
        self.limit_ms = MAX_CONFIRMATION_AGE_MS
        self._known_at_ms = 0
        self._evidence_by_source: dict[str, Evidence] = {}

    def confirm(self, at_ms: int, direct: bool) -> None:
        """Notes a time at which the held revision was the newest.

        Args:
          at_ms: Unix ms.
          own: Whether the service said so to this very process.
        """
        self.confirmed_at_ms = max(self.confirmed_at_ms, at_ms)
        if direct:
            self.direct_confirmed_at_ms = max(
                self.direct_confirmed_at_ms, at_ms
            )

    def record_revision(
        self, stamp: events.Stamp, revision: int, held: int
    ) -> None:
        """Notes that a revision exists.

        Args:
          stamp: Time and randomness.
          revision: The revision.
          held: The revision that this process holds.
        """
        if revision <= self.known_revision:
            return
        if self.known_revision <= held:
            self._known_at_ms = stamp.now_ms
        self.known_revision = revision

    def record_installed(self, stamp: events.Stamp) -> None:
        """Notes that a newer revision was taken."""
        self._known_at_ms = stamp.now_ms

    def behind_ms(self, stamp: events.Stamp, held: int) -> int:
        """Returns how long a newer revision has been known of; 0 if none."""
        if self.known_revision <= held:
            return 0
        return stamp.now_ms - self._known_at_ms

    def record_report(self, source: str, evidence: Evidence) -> None:
        """Notes what another process last said."""
        self._evidence_by_source[source] = evidence

    def forget_source(self, source: str) -> None:
        """Drops what a process said that is no longer connected."""
        self._evidence_by_source.pop(source, None)

    def check(
        self, stamp: events.Stamp, held: int, listed_processes: int
    ) -> errors.ConfigurationMissing | errors.ConfigurationStale | None:
        """Decides whether new work may start on the held revision.

        Work is refused while a newer revision is known of but not held,
        and when the service has confirmed nothing for long while this
        process hears from less than half of the others: then it may be
        the one that is cut off. A process that hears from most others,
        none of them confirmed later, takes it as an outage and goes on,
        since in an outage nobody can change the configuration.

        Args:
          stamp: Time and randomness.
          held: The revision in force; 0 when there is none.
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
        heard = sum(
            evidence.heard_at_ms >= limit_ms
            for evidence in self._evidence_by_source.values()
        )
        if 2 * heard >= listed_processes:
            return None
        return errors.ConfigurationStale(age_ms, RETRY_AFTER_MS)
