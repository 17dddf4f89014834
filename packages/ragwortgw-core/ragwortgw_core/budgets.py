"""Token buckets that limit the rate of calls."""

#: Limit of the calls to the platform service by all entries together.
TOTAL_CALLS_PER_S = 2000.0
#: Minimum rate of one entry.
MIN_CALLS_PER_S = 4.0
#: Burst of an entry's bucket, as seconds of refill at its rate.
BURST_S = 2.0


class TokenBucket:
    """A token bucket; it starts full.

    Args:
      rate: Tokens added per second.
      burst: The most tokens that it holds.
    """

    __slots__ = ('rate', 'burst', '_tokens', '_at_ms')

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._at_ms: int | None = None

    def resize(self, rate: float, burst: float) -> None:
        """Changes rate and burst; tokens beyond the burst are lost."""
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def available(self, now_ms: int) -> float:
        """Returns the number of tokens available.

        Args:
          now_ms: Unix ms; a time before that of an earlier call adds no
            tokens.
        """
        if self._at_ms is None:
            self._at_ms = now_ms
        elapsed_ms = now_ms - self._at_ms
        if elapsed_ms > 0:
            refill = self.rate * elapsed_ms / 1000
            self._tokens = min(self.burst, self._tokens + refill)
            self._at_ms = now_ms
        return self._tokens

    def take(
        self, now_ms: int, amount: float = 1.0, reserve: float = 0.0
    ) -> bool:
        """Takes tokens if enough are available.

        Args:
          now_ms: Unix ms.
          amount: Tokens to take.
          reserve: Tokens that must remain, for more urgent calls.
        Returns: Whether the tokens were taken.
        """
        if self.available(now_ms) < amount + reserve:
            return False
        self._tokens -= amount
        return True

    def put(self, now_ms: int, amount: float) -> None:
        """Adds tokens, up to the burst."""
        available = self.available(now_ms)
        self._tokens = min(self.burst, available + amount)


def new_platform_budget(entries: int) -> TokenBucket:
    """Builds the bucket of one entry's share of the platform calls.

    Args:
      entries: Number of live entries, at least 1.
    Returns: The bucket.
    """
    bucket = TokenBucket(0.0, 0.0)
    resize_platform_budget(bucket, entries)
    bucket._tokens = bucket.burst
    return bucket


def resize_platform_budget(bucket: TokenBucket, entries: int) -> None:
    """Adapts an entry's bucket to the number of entries."""
    rate = max(TOTAL_CALLS_PER_S / max(entries, 1), MIN_CALLS_PER_S)
    bucket.resize(rate, rate * BURST_S)
