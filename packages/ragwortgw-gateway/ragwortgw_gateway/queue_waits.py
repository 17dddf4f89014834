"""Learns how much longer requests wait in servers' queues than forecast.

A forecast sees the work that is queued when a request is sent. Servers serve
more urgent requests first, and those keep arriving: the less urgent a
request is, the longer it waits beyond the forecast, and without end once the
more urgent ones keep the servers busy.
"""

from typing import NamedTuple

from ragwortgw_gateway import moving

#: Wait for which forecasts are taken to be right, added to what is observed,
#: as a fraction of the time that requests may wait: short waits say little.
PRIOR_FRACTION = 0.2


class Queue(NamedTuple):
    """Requests that wait alike.

    Args:
      service: Their service.
      route_id: Their route.
      urgency: Their priority at the server, 0 is the most urgent.
    """

    service: str
    route_id: str
    urgency: int


class _Waits:
    """Sums of the waits in one queue.

    What a wait without an answer shows is known only at its end, so that
    waits are compared over as long as one may take.

    Args:
      limit_ms: Time that requests may wait.
      now_ms: The time.
    """

    __slots__ = ('forecast_ms', 'measured_ms', '_prior_ms')

    def __init__(self, limit_ms: int, now_ms: int) -> None:
        self.forecast_ms = moving.DecayingSum(limit_ms, now_ms)
        self.measured_ms = moving.DecayingSum(limit_ms, now_ms)
        self._prior_ms = PRIOR_FRACTION * limit_ms

    def factor(self, now_ms: int) -> float:
        measured_ms = self.measured_ms.value(now_ms) + self._prior_ms
        forecast_ms = self.forecast_ms.value(now_ms) + self._prior_ms
        return max(1.0, measured_ms / forecast_ms)


class WaitTracker:
    """Compares waits with their forecasts, by queue."""

    def __init__(self) -> None:
        self._waits_by_queue: dict[Queue, _Waits] = {}

    def observe(
        self,
        queue: Queue,
        limit_ms: int,
        forecast_ms: float,
        measured_ms: float,
        answered: bool,
        now_ms: int,
    ) -> None:
        """Adds the wait of an attempt.

        One that ends without an answer would have waited longer. Its wait
        counts, and its forecast does not: if waits are distributed
        exponentially, the ratio of the sums is then the likeliest factor.

        Args:
          queue: Its queue.
          limit_ms: Time that requests of this queue may wait, at least 1.
          forecast_ms: The wait that was forecast.
          measured_ms: The wait until its answer began, or it was given up.
          answered: Whether its answer began.
          now_ms: The time.
        """
        waits = self._waits_by_queue.get(queue)
        if waits is None:
            waits = self._waits_by_queue[queue] = _Waits(limit_ms, now_ms)
        if answered:
            waits.forecast_ms.add(max(0.0, forecast_ms), now_ms)
        waits.measured_ms.add(max(0.0, measured_ms), now_ms)

    def factor(self, queue: Queue, now_ms: int) -> float:
        """Returns by how much waits exceed their forecasts, at least 1."""
        waits = self._waits_by_queue.get(queue)
        return 1.0 if waits is None else waits.factor(now_ms)

    def factors(self, now_ms: int) -> dict[Queue, float]:
        """Returns the factors of the queues in which something waited."""
        return {
            queue: waits.factor(now_ms)
            for queue, waits in self._waits_by_queue.items()
        }
