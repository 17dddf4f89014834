"""Decides when to refuse a request, and when its caller may come back.

Load it answers: more work than the backend servers can do before the
callers' deadlines. Work that would be too late is refused on arrival, so
that it takes no place of work that would be in time.
"""

from typing import NamedTuple

from ragwortgw_gateway import placement

#: Share of the objective that may pass until the answer begins, by rank.
ON_TIME_SHARES = (0.95, 0.8, 0.6)
#: Share of the time left that a server may need for all that it has.
FINISH_SHARE = 0.6
#: A long prompt may find a server this much busier than its own work.
ALONE_FACTOR = 1.25
#: When a caller may come back where no server is there to serve it.
NO_SERVER_WAIT_MS = 700.0
#: When a caller may come back where all servers turned it away.
FULL_WAIT_MS = 400.0
#: When a caller may come back whose request crashed servers.
SUSPECTED_RETRY_MS = 30_000
MIN_RETRY_MS = 100
#: Callers wait for a third of the time that they have left at most.
MAX_SHARE_OF_LEFT = 0.33


class Requirements(NamedTuple):
    """What a request asks for.

    Args:
      rank: Its rank among the requests of its service, 0 first.
      objective_ms: Time within which its answer has to begin, and those
        of all that are as urgent.
      finish_ms: Time within which it has to end, as above.
      left_ms: Time until its deadline.
      returned: Whether it was refused before and came back as told.
    """

    rank: int
    objective_ms: int
    finish_ms: int
    remaining_ms: int
    is_retry: bool


class _Latest(NamedTuple):
    """When an answer has to begin, and a server to be done, in ms."""

    first_byte_ms: float
    finish_ms: float


def excess_ms(
    asked: Requirements, server_choice: placement.ServerChoice
) -> float:
    """Returns by how much the best server is too busy for a request.

    The less urgent a request, the sooner it is refused, so that there is
    room for the urgent ones; one that came back as it was told goes before
    others of its rank.

    Args:
      asked: The request.
      placed: The best server for it.
    Returns: Time until it would have room, 0 or less if it has.
    """
    latest = _latest(asked, server_choice)
    busy_ms = server_choice.backlog_ms + server_choice.work_ms
    return max(
        server_choice.first_byte_ms - latest.first_byte_ms,
        busy_ms - latest.finish_ms,
    )


def pressure(
    asked: Requirements, server_choice: placement.ServerChoice
) -> float:
    """Returns how much of the room for other work is taken.

    What the request itself needs says nothing of how busy a server is: a
    long prompt at an idle server meets no pressure.

    Args:
      asked: The request.
      placed: The best server for it.
    Returns: 0 at an idle server, 1 where the request would just be in
      time, more where it would be late.
    """
    latest = _latest(asked, server_choice)
    busy_ms = server_choice.backlog_ms + server_choice.work_ms
    return max(
        _taken(
            server_choice.first_byte_ms,
            server_choice.prefill_ms,
            latest.first_byte_ms,
        ),
        _taken(busy_ms, server_choice.work_ms, latest.finish_ms),
    )


def _taken(expected_ms: float, alone_ms: float, latest_ms: float) -> float:
    """Returns the part of the spare time that other work takes."""
    if expected_ms > latest_ms:
        return expected_ms / max(1.0, latest_ms)
    spare_ms = max(1.0, latest_ms - alone_ms)
    return max(0.0, expected_ms - alone_ms) / spare_ms


def _latest(
    asked: Requirements, server_choice: placement.ServerChoice
) -> _Latest:
    """Returns the bounds of a request.

    A prompt so long that even an idle server could not answer it in time
    is served late rather than never.
    """
    share = ON_TIME_SHARES[min(asked.rank, len(ON_TIME_SHARES) - 1)]
    if asked.is_retry:
        share = ON_TIME_SHARES[0]
    first_ms = min(asked.objective_ms, asked.remaining_ms) * share
    finish_ms = min(asked.finish_ms, asked.remaining_ms) * FINISH_SHARE * share
    alone_ms = server_choice.prefill_ms * ALONE_FACTOR
    if alone_ms < asked.remaining_ms * FINISH_SHARE:
        first_ms = max(first_ms, alone_ms)
        finish_ms = max(finish_ms, server_choice.work_ms * ALONE_FACTOR)
    return _Latest(first_ms, finish_ms)


def retry_after_ms(wait_ms: float, remaining_ms: int, seed: int) -> int:
    """Returns when to come back.

    Args:
      wait_ms: Time until there is room again.
      left_ms: Time until the caller's deadline.
      seed: Spreads the callers, so that not all come back at once.
    """
    spread = 0.75 + (seed % 1_024) / 2_048
    latest_ms = remaining_ms * MAX_SHARE_OF_LEFT
    return max(MIN_RETRY_MS, round(min(wait_ms * spread, latest_ms)))
