"""Judges backend servers by what callers' requests met there.

Load it answers: a server that crashes, hangs or fails part of its work
while its health check passes.
"""

from typing import Literal, NamedTuple

FailureKind = Literal[
    'refused', 'reset', 'silent', 'garbled', 'failed', 'full'
]

#: First and longest time without new work after a trouble that says that
#: the server is down; it doubles each time.
INITIAL_SUSPENSION_MS = 300
MAX_SUSPENSION_MS = 2_400
#: Weight of a new outcome in the share of failures.
OUTCOME_WEIGHT = 0.15
#: Failures beyond the service's usual share that suspend a server.
EXCESS_SHARE = 0.35
MIN_OUTCOMES = 5
#: Failures of a service count as usual up to this share.
MAX_USUAL_SHARE = 0.3
#: Resets within this time of each other are one event: all connections of
#: a server that crashed break at once.
SAME_EVENT_MS = 100
#: A server is not suspended by one reset alone; some connections break
#: for other reasons.
RESETS_TO_SUSPEND = 2
RESET_MEMORY_MS = 3_000

#: Troubles that say that the server is down or can't be reached.
DOWN: frozenset[FailureKind] = frozenset({'refused', 'silent'})


class Suspension(NamedTuple):
    """What an outcome changed; until_ms is 0 if nothing."""

    until_ms: int
    reason: str


NOT_SUSPENDED = Suspension(0, '')


class _Record:
    __slots__ = (
        'failures',
        'outcomes',
        'pause_ms',
        'until_ms',
        'reset_ms',
        'resets',
    )

    def __init__(self) -> None:
        self.failures = 0.0
        self.outcomes = 0
        self.pause_ms = INITIAL_SUSPENSION_MS
        self.until_ms = 0
        self.reset_ms = 0
        self.resets = 0


class OutlierDetector:
    """Which backend servers to keep away from, and until when."""

    def __init__(self) -> None:
        self._records_by_server: dict[str, _Record] = {}
        self._usual_by_service: dict[str, float] = {}

    def record_success(self, server_id: str, service: str) -> None:
        """Counts an answer that was none of the server's failures."""
        record = self._record(server_id)
        record.outcomes += 1
        record.failures -= OUTCOME_WEIGHT * record.failures
        record.pause_ms = INITIAL_SUSPENSION_MS
        record.resets = 0
        self._count_usual(service, 0.0)

    def record_failure(
        self, server_id: str, service: str, trouble: FailureKind, now_ms: int
    ) -> Suspension:
        """Counts a trouble.

        Args:
          server_id: The backend server.
          service: Its service.
          trouble: What happened.
          now_ms: The time.
        Returns: Until when the server gets no new work, if that changed.
        """
        record = self._record(server_id)
        if trouble in DOWN:
            return self._suspend(record, now_ms, trouble)
        if trouble == 'full':
            return NOT_SUSPENDED
        record.outcomes += 1
        record.failures += OUTCOME_WEIGHT * (1.0 - record.failures)
        self._count_usual(service, 1.0)
        if trouble == 'reset':
            if now_ms - record.reset_ms > RESET_MEMORY_MS:
                record.resets = 0
            if now_ms - record.reset_ms > SAME_EVENT_MS or not record.resets:
                record.resets += 1
                record.reset_ms = now_ms
            if record.resets >= RESETS_TO_SUSPEND:
                return self._suspend(record, now_ms, trouble)
        usual = min(self._usual_by_service.get(service, 0.0), MAX_USUAL_SHARE)
        if (
            record.outcomes >= MIN_OUTCOMES
            and record.failures > usual + EXCESS_SHARE
        ):
            return self._suspend(record, now_ms, trouble)
        return NOT_SUSPENDED

    def suspended(self, server_id: str, now_ms: int) -> bool:
        """Tells whether a server gets no new work."""
        record = self._records_by_server.get(server_id)
        return record is not None and record.until_ms > now_ms

    def failure_share(self, server_id: str, service: str) -> float:
        """Returns the share of failures beyond the service's usual."""
        record = self._records_by_server.get(server_id)
        if record is None:
            return 0.0
        usual = self._usual_by_service.get(service, 0.0)
        return max(0.0, record.failures - usual)

    def forget(self, server_id: str) -> None:
        """Forgets a server that is gone or started anew."""
        self._records_by_server.pop(server_id, None)

    def _record(self, server_id: str) -> _Record:
        record = self._records_by_server.get(server_id)
        if record is None:
            record = self._records_by_server[server_id] = _Record()
        return record

    def _count_usual(self, service: str, failed: float) -> None:
        usual = self._usual_by_service.get(service, 0.0)
        usual += OUTCOME_WEIGHT / 4 * (failed - usual)
        self._usual_by_service[service] = usual

    def _suspend(
        self, record: _Record, now_ms: int, reason: str
    ) -> Suspension:
        if record.until_ms > now_ms:
            return NOT_SUSPENDED
        record.until_ms = now_ms + record.pause_ms
        record.pause_ms = min(record.pause_ms * 2, MAX_SUSPENSION_MS)
        return Suspension(record.until_ms, reason)
