"""A token bucket on the monotonic clock."""

import time


class TokenBucket:
    """Allows rate takes a second, with a burst of one second's worth.

    Args:
      rate: Takes a second; 0 is no limit.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._at_s = time.monotonic()

    def take(self, amount: float = 1) -> bool:
        """Takes tokens if there are enough.

        Args:
          amount: How many.
        Returns: Whether they were taken.
        """
        if self._rate == 0:
            return True
        self._refill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def wait_s(self, amount: float) -> float:
        """Takes tokens on credit; returns the time until they are earned.

        Args:
          amount: How many.
        Returns: Seconds to wait.
        """
        if self._rate == 0:
            return 0.0
        self._refill()
        self._tokens -= amount
        return max(0.0, -self._tokens / self._rate)

    def _refill(self) -> None:
        now_s = time.monotonic()
        earned = (now_s - self._at_s) * self._rate
        self._tokens = min(self._rate, self._tokens + earned)
        self._at_s = now_s
