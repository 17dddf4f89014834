"""Outlier ejection: suspends backend servers whose requests fail.

It protects against a server that crashes, hangs or fails a part of its
requests while its health check passes.
"""

from typing import Literal, NamedTuple

#: How an attempt failed: connection refused, connection reset, nothing sent
#: to anybody, no answer in time, malformed answer, HTTP error status, no
#: capacity.
FailureKind = Literal[
    'refused', 'reset', 'silent', 'overdue', 'garbled', 'failed', 'full'
]

#: First and longest suspension; it doubles with each one that follows
#: without a success in between.
INITIAL_SUSPENSION_MS = 300
MAX_SUSPENSION_MS = 2_400
#: Weight of a new outcome in a server's failure rate.
OUTCOME_WEIGHT = 0.15
#: Failure rate beyond that of the service at which a server is suspended.
MAX_EXCESS_RATE = 0.35
#: Outcomes of a server before its failure rate is considered.
MIN_OUTCOMES = 5
#: Highest failure rate of a service that counts as normal.
MAX_SERVICE_RATE = 0.3
#: Resets within this time of each other are one event: all connections of
#: a server that crashed break at once.
SAME_EVENT_MS = 100
#: One reset alone does not suspend a server, since some connections break
#: for other reasons.
RESETS_TO_SUSPEND = 2
#: Resets further apart than this are unrelated.
RESET_WINDOW_MS = 3_000

#: Failures that show that the server is down or unreachable.
DOWN: frozenset[FailureKind] = frozenset({'refused', 'silent'})


class Suspension(NamedTuple):
    """The suspension that a failure leads to.

    Args:
      until_ms: When it ends; 0 if the failure suspends no server.
      reason: Kind of the failure that led to it.
    """

    until_ms: int
    reason: str


NOT_SUSPENDED = Suspension(0, '')


class _ServerRecord:
    """Outcomes of one server.

    Attributes:
      failure_rate: Moving average of its failures, 0 to 1.
      outcomes: Outcomes in that average.
      suspension_ms: Length of the next suspension.
      until_ms: End of the latest suspension, 0 without one.
      last_reset_ms: Time of the last reset that was counted.
      resets: Resets since the last success, or since more than
        RESET_WINDOW_MS passed between two of them.
    """

    __slots__ = (
        'failure_rate',
        'outcomes',
        'suspension_ms',
        'until_ms',
        'last_reset_ms',
        'resets',
    )

    def __init__(self) -> None:
        self.failure_rate = 0.0
        self.outcomes = 0
        self.suspension_ms = INITIAL_SUSPENSION_MS
        self.until_ms = 0
        self.last_reset_ms = 0
        self.resets = 0


class OutlierDetector:
    """Tracks failures by backend server and suspends outliers."""

    def __init__(self) -> None:
        self._records_by_server: dict[str, _ServerRecord] = {}
        self._failure_rates_by_service: dict[str, float] = {}

    def record_success(self, server_id: str, service: str) -> None:
        """Counts an answer that is no failure of the server."""
        record = self._record(server_id)
        record.outcomes += 1
        record.failure_rate -= OUTCOME_WEIGHT * record.failure_rate
        record.suspension_ms = INITIAL_SUSPENSION_MS
        record.resets = 0
        self._update_service_rate(service, 0.0)

    def record_failure(
        self,
        server_id: str,
        service: str,
        failure_kind: FailureKind,
        now_ms: int,
    ) -> Suspension:
        """Counts a failure.

        Args:
          server_id: The backend server.
          service: Its service.
          failure_kind: What happened.
          now_ms: The time.
        Returns: The suspension that it leads to, or NOT_SUSPENDED.
        """
        record = self._record(server_id)
        if failure_kind in DOWN:
            return self._suspend(record, now_ms, failure_kind)
        if failure_kind == 'full':
            return NOT_SUSPENDED
        record.outcomes += 1
        record.failure_rate += OUTCOME_WEIGHT * (1.0 - record.failure_rate)
        self._update_service_rate(service, 1.0)
        if failure_kind == 'reset':
            if now_ms - record.last_reset_ms > RESET_WINDOW_MS:
                record.resets = 0
            if (
                now_ms - record.last_reset_ms > SAME_EVENT_MS
                or not record.resets
            ):
                record.resets += 1
                record.last_reset_ms = now_ms
            if record.resets >= RESETS_TO_SUSPEND:
                return self._suspend(record, now_ms, failure_kind)
        service_rate = min(
            self._failure_rates_by_service.get(service, 0.0), MAX_SERVICE_RATE
        )
        if (
            record.outcomes >= MIN_OUTCOMES
            and record.failure_rate > service_rate + MAX_EXCESS_RATE
        ):
            return self._suspend(record, now_ms, failure_kind)
        return NOT_SUSPENDED

    def suspended(self, server_id: str, now_ms: int) -> bool:
        """Returns whether a server is suspended and gets no new work."""
        record = self._records_by_server.get(server_id)
        return record is not None and record.until_ms > now_ms

    def failure_share(self, server_id: str, service: str) -> float:
        """Returns a server's failure rate beyond its service's, 0 to 1."""
        record = self._records_by_server.get(server_id)
        if record is None:
            return 0.0
        service_rate = self._failure_rates_by_service.get(service, 0.0)
        return max(0.0, record.failure_rate - service_rate)

    def forget(self, server_id: str) -> None:
        """Removes a server that is gone or was restarted."""
        self._records_by_server.pop(server_id, None)

    def _record(self, server_id: str) -> _ServerRecord:
        record = self._records_by_server.get(server_id)
        if record is None:
            record = self._records_by_server[server_id] = _ServerRecord()
        return record

    def _update_service_rate(self, service: str, failed: float) -> None:
        """Updates the failure rate of a service.

        Args:
          service: The service.
          failed: The outcome, 1 for a failure and 0 for a success.
        """
        service_rate = self._failure_rates_by_service.get(service, 0.0)
        service_rate += OUTCOME_WEIGHT / 4 * (failed - service_rate)
        self._failure_rates_by_service[service] = service_rate

    def _suspend(
        self, record: _ServerRecord, now_ms: int, reason: str
    ) -> Suspension:
        if record.until_ms > now_ms:
            return NOT_SUSPENDED
        record.until_ms = now_ms + record.suspension_ms
        record.suspension_ms = min(record.suspension_ms * 2, MAX_SUSPENSION_MS)
        return Suspension(record.until_ms, reason)
