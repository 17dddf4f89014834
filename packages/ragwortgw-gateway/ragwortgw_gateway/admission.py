"""Admission control: decides when to refuse a request, and its Retry-After.

It protects against more work than the backend servers can finish before
the callers' deadlines. Requests that would be late are refused on arrival,
so that they don't delay requests that can be answered in time.
"""

import math
from typing import NamedTuple

from ragwortgw_gateway import batching
from ragwortgw_gateway import latency_estimates
from ragwortgw_gateway import placement

#: The limit of a long prompt is at least this many times the time that it
#: takes at an idle server.
IDLE_FACTOR = 1.25
#: Share of the time that more urgent requests are assumed to take at most:
#: what a gateway knows of the others' requests is not exact.
MAX_URGENT_SHARE = 0.6
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
    """Time limits of a request, and what delays it.

    Args:
      objective_ms: Time within which its answer has to begin; the shortest
        of all routes of the service that are at least as urgent.
      remaining_ms: Time until its deadline.
      urgent_share: Fraction of the servers' time that the prefill of more
        urgent requests takes.
      wait_factor: How much longer such requests lately waited than forecast.
      needs: Streams of the service's routes that are at least as urgent.
      may_be_late: Whether a late answer is better than a refusal.
    """

    objective_ms: int
    remaining_ms: int
    urgent_share: float = 0.0
    wait_factor: float = 1.0
    needs: tuple[batching.StreamNeed, ...] = ()
    may_be_late: bool = False


class Pressure(NamedTuple):
    """How much of the headroom of a request other work takes.

    Args:
      value: 0 at an idle server, 1 where the request would just be in time,
        more where it would be late or make others late.
      reason: What takes most of it: the 'first byte' in time for the
        objective, to 'begin' before the deadline, the 'end' or 'streams'.
      wait_ms: Time until the pressure falls to 1, 0 if it is lower.
      first_ms: Expected time to the first byte.
      limit_ms: Time within which the first byte has to come.
      begin_ms: As first_ms, by what such requests lately waited.
    """

    value: float
    reason: str
    wait_ms: float
    first_ms: float = 0.0
    limit_ms: float = 0.0
    begin_ms: float = 0.0


def pressure(
    requirements: Requirements, server_choice: placement.ServerChoice
) -> Pressure:
    """Returns how much of a request's headroom is taken by other work.

    Headroom is what a limit leaves beyond the request's own time at an idle
    server, since that says nothing about how busy a server is: the pressure
    on a long prompt at an idle server is 0.

    Args:
      requirements: The request.
      server_choice: The best server for it.
    """
    forecast = server_choice.forecast
    remaining_ms = float(requirements.remaining_ms)
    first_limit_ms = min(requirements.objective_ms, remaining_ms)
    # A prompt so long that even an idle server could not answer in time
    # gets a wider limit, so that it is served late rather than never.
    idle_first_ms = forecast.idle_first_byte_ms * IDLE_FACTOR
    first_limit_ms = min(remaining_ms, max(first_limit_ms, idle_first_ms))
    if requirements.may_be_late:
        first_limit_ms = remaining_ms
    first_ms = forecast.first_byte_ms
    first_ms += _overtaken_ms(requirements, forecast)
    first = _used_headroom(
        first_ms, forecast.idle_first_byte_ms, first_limit_ms
    )
    begin_ms = forecast.first_byte_ms
    begin_ms += (requirements.wait_factor - 1) * forecast.wait_ms
    begin = _used_headroom(begin_ms, forecast.idle_first_byte_ms, remaining_ms)
    # The length of an answer is a guess, so that one which seems too long
    # even for an idle server is given a try.
    end_limit_ms = max(remaining_ms, forecast.idle_end_ms * IDLE_FACTOR)
    end = _used_headroom(forecast.end_ms, forecast.idle_end_ms, end_limit_ms)
    streams = batching.used_stream_headroom(requirements.needs)
    wait_by_reason = {
        'first byte': (first, first_ms - first_limit_ms),
        'begin': (begin, begin_ms - remaining_ms),
        'end': (end, forecast.end_ms - end_limit_ms),
        'streams': (
            streams,
            latency_estimates.INTERVAL_WINDOW_MS * math.log(max(1.0, streams)),
        ),
    }
    reason = max(wait_by_reason, key=lambda each: wait_by_reason[each][0])
    value, wait_ms = wait_by_reason[reason]
    return Pressure(
        value,
        reason,
        max(0.0, wait_ms) if value > 1 else 0.0,
        first_ms,
        first_limit_ms,
        begin_ms,
    )


def _overtaken_ms(
    requirements: Requirements, forecast: batching.Forecast
) -> float:
    """Returns how much longer a wait takes for more urgent requests.

    Those that arrive during the wait are served before it ends.
    """
    share = min(MAX_URGENT_SHARE, requirements.urgent_share)
    return forecast.wait_ms * share / (1 - share)


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
