"""Bounds how often requests are sent again to a service.

Load it answers: a bad backend server or a lossy network turns each request
into several, just when the service can least bear them.
"""

import collections

#: Share of the allowed ratio that is used, since other gateways can't be
#: asked in time.
SAFE_SHARE = 0.85
#: Part of the fixed allowance that is used; the rest covers repeats that
#: are counted late.
SAFE_SLACK_SHARE = 0.6
#: Part of the fixed allowance that a process has at its start; the rest
#: comes over the first window. What it spent before a restart it does not
#: know, but that counts on: with half, all may start anew once in a window.
START_SHARE = 0.5
BUCKET_MS = 500


class _Window:
    """Counts in a sliding window, in steps of BUCKET_MS."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
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
    """Repeats allowed to one gateway, by service.

    Args:
      ratio: Repeats allowed per request, of all gateways.
      slack: Repeats allowed besides, of all gateways.
      window_ms: Any window of this length counts.
    """

    def __init__(self, ratio: float, slack: float, window_ms: int) -> None:
        self.set_limits(ratio, slack)
        self._window_ms = window_ms
        self._began_ms: int | None = None
        self._requests_by_service: dict[str, _Window] = {}
        self._repeats_by_service: dict[str, _Window] = {}

    def set_limits(self, ratio: float, slack: float) -> None:
        """Changes what is allowed; what was spent stays spent.

        Args: As for the class.
        """
        self._ratio = ratio * SAFE_SHARE
        self._slack = slack * SAFE_SLACK_SHARE

    def count_request(self, service: str, now_ms: int) -> None:
        """Counts a new request of a caller."""
        if self._began_ms is None:
            self._began_ms = now_ms
        self._window(self._requests_by_service, service).add(now_ms)

    def available(
        self, service: str, gateway_count: int, now_ms: int
    ) -> float:
        """Returns how many repeats may be sent now.

        Args:
          service: The service.
          gateways: Gateways that share the allowance.
          now_ms: The time.
        """
        requests = self._window(self._requests_by_service, service)
        repeats = self._window(self._repeats_by_service, service)
        requests.expire(now_ms)
        repeats.expire(now_ms)
        slack = self._slack / max(1, gateway_count)
        slack *= self._grown_share(now_ms)
        return self._ratio * requests.total + slack - repeats.total

    def _grown_share(self, now_ms: int) -> float:
        """Returns the part of the fixed allowance that may be used."""
        if self._began_ms is None:
            return START_SHARE
        passed = min(1.0, (now_ms - self._began_ms) / self._window_ms)
        return START_SHARE + (1 - START_SHARE) * passed

    def services(self) -> tuple[str, ...]:
        """Returns the services that requests or repeats went to."""
        return tuple(self._requests_by_service)

    def try_spend(self, service: str, gateway_count: int, now_ms: int) -> bool:
        """Takes one repeat out of the budget, if it holds one."""
        if self.available(service, gateway_count, now_ms) < 1:
            return False
        self._window(self._repeats_by_service, service).add(now_ms)
        return True

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self._window_ms)
        return window
