"""Limits the retries that are sent to a service.

It protects against retry storms: a bad backend server or a lossy network
turns each request into several, just when the service has no capacity for
them.
"""

import collections

#: Fraction of the allowed ratio that is used, since the retries of other
#: gateways are not known in time.
SAFE_RATIO_FRACTION = 0.85
#: Fraction of the fixed allowance that is used; the rest covers retries
#: that are counted late.
SAFE_SLACK_FRACTION = 0.6
#: Fraction of the fixed allowance that a process has at its start; the rest
#: is added over the first window. Retries from before a restart still count
#: against the limit but are not known to the new process: with one half,
#: all gateways may restart once in a window.
START_FRACTION = 0.5
#: Length of the steps in which the window slides.
BUCKET_MS = 500


class _Window:
    """Counts in a sliding window, in steps of BUCKET_MS."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        #: [start in ms, count] of each step, oldest first.
        self._buckets: collections.deque[list[int]] = collections.deque()
        self.total = 0

    def add(self, now_ms: int) -> None:
        start_ms = now_ms - now_ms % BUCKET_MS
        if not self._buckets or self._buckets[-1][0] != start_ms:
            self._buckets.append([start_ms, 0])
        self._buckets[-1][1] += 1
        self.total += 1

    def expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._window_ms
        while self._buckets and self._buckets[0][0] < oldest_ms:
            self.total -= self._buckets.popleft()[1]


class RetryBudget:
    """Retries that one gateway may send, by service.

    Args:
      ratio: Retries per request that all gateways together may send.
      slack: Further retries that they may send in a window.
      window_ms: Length of the sliding window in which they are counted.
    """

    def __init__(self, ratio: float, slack: float, window_ms: int) -> None:
        self.set_limits(ratio, slack)
        self._window_ms = window_ms
        self._began_ms: int | None = None
        self._requests_by_service: dict[str, _Window] = {}
        self._retries_by_service: dict[str, _Window] = {}

    def set_limits(self, ratio: float, slack: float) -> None:
        """Changes the limits; retries already counted stay counted.

        Args: As for the class.
        """
        self._ratio = ratio * SAFE_RATIO_FRACTION
        self._slack = slack * SAFE_SLACK_FRACTION

    def count_request(self, service: str, now_ms: int) -> None:
        """Counts a new request of a caller."""
        if self._began_ms is None:
            self._began_ms = now_ms
        self._window(self._requests_by_service, service).add(now_ms)

    def available(
        self, service: str, gateway_count: int, now_ms: int
    ) -> float:
        """Returns how many retries may be sent now.

        Args:
          service: The service.
          gateway_count: Gateways that share the allowance.
          now_ms: The time.
        """
        requests = self._window(self._requests_by_service, service)
        retries = self._window(self._retries_by_service, service)
        requests.expire(now_ms)
        retries.expire(now_ms)
        slack = self._slack / max(1, gateway_count)
        slack *= self._slack_fraction(now_ms)
        return self._ratio * requests.total + slack - retries.total

    def _slack_fraction(self, now_ms: int) -> float:
        """Returns the fraction of the fixed allowance granted by now."""
        if self._began_ms is None:
            return START_FRACTION
        elapsed = min(1.0, (now_ms - self._began_ms) / self._window_ms)
        return START_FRACTION + (1 - START_FRACTION) * elapsed

    def services(self) -> tuple[str, ...]:
        """Returns the services that requests went to."""
        return tuple(self._requests_by_service)

    def try_spend(self, service: str, gateway_count: int, now_ms: int) -> bool:
        """Takes one retry out of the budget, if one is available."""
        if self.available(service, gateway_count, now_ms) < 1:
            return False
        self._window(self._retries_by_service, service).add(now_ms)
        return True

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self._window_ms)
        return window
