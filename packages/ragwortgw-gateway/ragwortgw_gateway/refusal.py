"""Decides when to refuse a request, and when its caller may come back.

Load it answers: more work than the backend servers can do before the
callers' deadlines. Work that would be too late is refused on arrival, so
that it takes no place of work that would be in time.
"""

#: Share of the time left that may pass until the answer begins; the rest
#: is for the answer itself and for errors of the estimate.
HOPEFUL_SHARE = 0.8
#: When a caller may come back where no server is there to serve it.
NO_SERVER_WAIT_MS = 700.0
#: When a caller may come back where all servers turned it away.
FULL_WAIT_MS = 400.0
#: When a caller may come back whose request crashed servers.
SUSPECTED_RETRY_MS = 30_000
MIN_RETRY_MS = 100
#: Callers wait for a third of the time that they have left at most.
MAX_SHARE_OF_LEFT = 0.33


def hopeless(expected_ms: float, left_ms: int) -> bool:
    """Tells whether an answer would come too late.

    Args:
      expected_ms: Expected time until it begins.
      left_ms: Time until the caller's deadline.
    """
    return expected_ms > left_ms * HOPEFUL_SHARE


def retry_after_ms(wait_ms: float, left_ms: int, seed: int) -> int:
    """Returns when to come back.

    Args:
      wait_ms: Time until there is room again.
      left_ms: Time until the caller's deadline.
      seed: Spreads the callers, so that not all come back at once.
    """
    spread = 0.75 + (seed % 1_024) / 2_048
    latest_ms = left_ms * MAX_SHARE_OF_LEFT
    return max(MIN_RETRY_MS, round(min(wait_ms * spread, latest_ms)))
