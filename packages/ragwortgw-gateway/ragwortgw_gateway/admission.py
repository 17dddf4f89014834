"""Admission control: decides when to refuse a request, and its Retry-After.

It protects against more work than the backend servers can finish before
the callers' deadlines. Requests that would be late are refused on arrival,
so that they don't delay requests that can be answered in time.
"""

from typing import NamedTuple

from ragwortgw_gateway import placement

#: Fraction of the objective that may pass until the answer begins, by rank.
ON_TIME_FRACTIONS = (0.95, 0.8, 0.6)
#: Fraction of the remaining time that a server may need for its backlog.
FINISH_FRACTION = 0.6
#: The limits of a long prompt are at least this many times the time that it
#: takes at an idle server.
IDLE_FACTOR = 1.25
#: Retry-After, before jitter, if no server is available.
NO_SERVER_WAIT_MS = 700.0
#: Retry-After, before jitter, if all servers were full.
FULL_WAIT_MS = 400.0
#: Retry-After of a request that is quarantined because it crashed servers.
QUARANTINE_RETRY_MS = 30_000
MIN_RETRY_MS = 100
#: Fraction of the caller's remaining time that Retry-After takes at most.
MAX_WAIT_FRACTION = 0.33


class Requirements(NamedTuple):
    """Time limits and priority of a request.

    Args:
      rank: Its rank among the requests of its service, 0 is the most urgent.
      objective_ms: Time within which its answer has to begin; the shortest
        of all routes of the service that are at least as urgent.
      finish_ms: Time within which its answer has to end; the shortest of
        the same routes.
      remaining_ms: Time until its deadline.
      is_retry: Whether the client retries after an earlier refusal.
    """

    rank: int
    objective_ms: int
    finish_ms: int
    remaining_ms: int
    is_retry: bool


class _Limits(NamedTuple):
    """Longest acceptable times of an answer.

    Args:
      first_byte_ms: Until its first byte.
      finish_ms: Until the server has finished its backlog and the request.
    """

    first_byte_ms: float
    finish_ms: float


def excess_ms(
    requirements: Requirements, server_choice: placement.ServerChoice
) -> float:
    """Returns by how much the best server is too busy for a request.

    Less urgent requests are refused earlier, so that capacity remains for
    urgent ones; a retry after a refusal gets the limits of rank 0.

    Args:
      requirements: The request.
      server_choice: The best server for it.
    Returns: Time beyond the limits, 0 or less if the request is in time.
    """
    limits = _limits(requirements, server_choice)
    busy_ms = server_choice.backlog_ms + server_choice.work_ms
    return max(
        server_choice.first_byte_ms - limits.first_byte_ms,
        busy_ms - limits.finish_ms,
    )


def pressure(
    requirements: Requirements, server_choice: placement.ServerChoice
) -> float:
    """Returns how much of the headroom is taken by other work.

    Headroom is what the limits leave beyond the request's own work, since
    that says nothing about how busy a server is: the pressure on a long
    prompt at an idle server is 0.

    Args:
      requirements: The request.
      server_choice: The best server for it.
    Returns: 0 at an idle server, 1 where the request would just be in
      time, more where it would be late.
    """
    limits = _limits(requirements, server_choice)
    busy_ms = server_choice.backlog_ms + server_choice.work_ms
    return max(
        _used_headroom(
            server_choice.first_byte_ms,
            server_choice.prefill_ms,
            limits.first_byte_ms,
        ),
        _used_headroom(busy_ms, server_choice.work_ms, limits.finish_ms),
    )


def _used_headroom(
    expected_ms: float, idle_ms: float, limit_ms: float
) -> float:
    """Returns the fraction of the headroom that other work takes.

    Args:
      expected_ms: Estimated time.
      idle_ms: Time at an idle server.
      limit_ms: Longest acceptable time.
    Returns: The fraction, more than 1 if the limit is exceeded.
    """
    if expected_ms > limit_ms:
        return expected_ms / max(1.0, limit_ms)
    headroom_ms = max(1.0, limit_ms - idle_ms)
    return max(0.0, expected_ms - idle_ms) / headroom_ms


def _limits(
    requirements: Requirements, server_choice: placement.ServerChoice
) -> _Limits:
    """Returns the limits of a request.

    A prompt so long that even an idle server could not answer it in time
    gets wider limits, so that it is served late rather than never.
    """
    fraction = ON_TIME_FRACTIONS[
        min(requirements.rank, len(ON_TIME_FRACTIONS) - 1)
    ]
    if requirements.is_retry:
        fraction = ON_TIME_FRACTIONS[0]
    first_byte_ms = (
        min(requirements.objective_ms, requirements.remaining_ms) * fraction
    )
    finish_ms = (
        min(requirements.finish_ms, requirements.remaining_ms)
        * FINISH_FRACTION
        * fraction
    )
    idle_ms = server_choice.prefill_ms * IDLE_FACTOR
    if idle_ms < requirements.remaining_ms * FINISH_FRACTION:
        first_byte_ms = max(first_byte_ms, idle_ms)
        finish_ms = max(finish_ms, server_choice.work_ms * IDLE_FACTOR)
    return _Limits(first_byte_ms, finish_ms)


def retry_after_ms(wait_ms: float, remaining_ms: int, seed: int) -> int:
    """Returns the time after which a client is to retry, in ms.

    Args:
      wait_ms: Estimated time until there is capacity again.
      remaining_ms: Time until the caller's deadline.
      seed: Random number for the jitter, so that clients don't all retry at
        once.
    """
    jitter_factor = 0.75 + (seed % 1_024) / 2_048
    limit_ms = remaining_ms * MAX_WAIT_FRACTION
    return max(MIN_RETRY_MS, round(min(wait_ms * jitter_factor, limit_ms)))
