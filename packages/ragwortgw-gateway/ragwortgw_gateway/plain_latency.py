"""Estimates how long requests to plain services take, by route.

It answers long answers on one route, which say nothing of another, and an
estimate that is out of date. What is refused teaches nothing, so that such an
estimate would refuse a route for ever: it ages, and a request that is refused
for it alone, at a server that is not busy, is admitted now and then.
"""

import math
from typing import NamedTuple

from ragwortgw_gateway import moving

#: Estimate before the first sample.
INITIAL_MS = 40.0
#: Time in which what an estimate exceeds the initial one by halves without
#: samples.
HALF_LIFE_MS = 10_000
#: A route without a sample for this long gets a probe; two probes are as far
#: apart. After as long without a sample, a shorter one counts half: other
#: work makes answers slower but never faster.
PROBE_MS = 1_000
#: Weight of a sample in the time at an idle server, if it is shorter and if
#: it is longer.
FASTER_WEIGHT = 0.1
SLOWER_WEIGHT = 0.01
#: Weight of a sample in the factor of a server, and bound of one sample.
FACTOR_WEIGHT = 0.25
MAX_FACTOR = 8.0


class Key(NamedTuple):
    """Requests of one route to one service."""

    service: str
    route_id: str


class _RouteTimes:
    """Times of one route, as of at_ms."""

    __slots__ = ('usual_ms', 'idle_ms', 'samples', 'at_ms', 'probe_ms')

    def __init__(self) -> None:
        self.usual_ms = self.idle_ms = 0.0
        self.samples = 0
        self.at_ms = 0
        #: When the latest probe was admitted.
        self.probe_ms = -PROBE_MS

    def observe(self, sample_ms: float, now_ms: int) -> None:
        self.samples += 1
        usual_ms = self.value(now_ms)
        weight = max(moving.SAMPLE_WEIGHT, 1 / self.samples)
        if sample_ms < usual_ms:
            age = (now_ms - self.at_ms) / PROBE_MS
            weight = max(weight, 1 - math.exp2(-age))
        self.usual_ms = usual_ms + weight * (sample_ms - usual_ms)
        if self.samples == 1:
            self.idle_ms = sample_ms
        faster = sample_ms < self.idle_ms
        idle_weight = FASTER_WEIGHT if faster else SLOWER_WEIGHT
        self.idle_ms += idle_weight * (sample_ms - self.idle_ms)
        self.at_ms = now_ms

    def value(self, now_ms: int) -> float:
        excess_ms = max(0.0, self.usual_ms - INITIAL_MS)
        aged = math.exp2((self.at_ms - now_ms) / HALF_LIFE_MS)
        return self.usual_ms - excess_ms * (1 - aged)


class _Factor(NamedTuple):
    """log(time at a server / usual time), as of at_ms."""

    log: float
    at_ms: int


class PlainTimes:
    """Times from sending a request to the end of its answer, by route."""

    def __init__(self) -> None:
        self._times_by_key: dict[Key, _RouteTimes] = {}
        self._factors_by_server: dict[str, _Factor] = {}

    def observe_server(
        self,
        server_id: str,
        usual_ms: float,
        measured_ms: float,
        now_ms: int,
    ) -> None:
        """Adds the time of a request to the factor of its server.

        Args:
          server_id: The server.
          usual_ms: Time that the request takes at a usual server with as
            much work.
          measured_ms: The time that it took.
          now_ms: The time.
        """
        ratio = max(1.0, measured_ms) / max(1.0, usual_ms)
        sample = math.log(min(MAX_FACTOR, max(1 / MAX_FACTOR, ratio)))
        log = self._aged_log(server_id, now_ms)
        log += FACTOR_WEIGHT * (sample - log)
        self._factors_by_server[server_id] = _Factor(log, now_ms)

    def server_factor(self, server_id: str, now_ms: int) -> float:
        """Returns by which factor a server takes longer than usual.

        Returns: The factor, less than 1 for a server that is quicker.
        """
        return math.exp(self._aged_log(server_id, now_ms))

    def forget(self, server_id: str) -> None:
        """Removes a server that is gone or was restarted."""
        self._factors_by_server.pop(server_id, None)

    def _aged_log(self, server_id: str, now_ms: int) -> float:
        factor = self._factors_by_server.get(server_id)
        if factor is None:
            return 0.0
        return factor.log * math.exp2((factor.at_ms - now_ms) / HALF_LIFE_MS)

    def observe(self, key: Key, sample_ms: float, now_ms: int) -> None:
        """Adds the time of a request at a server with a free slot.

        Args:
          key: Its route.
          sample_ms: Time until the end of its answer.
          now_ms: The time.
        """
        times = self._times_by_key.setdefault(key, _RouteTimes())
        times.observe(sample_ms, now_ms)

    def estimate_ms(self, key: Key, now_ms: int) -> float:
        """Returns the usual time of a route's requests."""
        times = self._times_by_key.get(key)
        return INITIAL_MS if times is None else times.value(now_ms)

    def idle_ms(self, key: Key) -> float:
        """Returns the time of a route's requests at an idle server.

        Returns: The time, 0 before the first sample.
        """
        times = self._times_by_key.get(key)
        return 0.0 if times is None else times.idle_ms

    def take_probe(self, key: Key, now_ms: int) -> bool:
        """Returns whether a refused request is to be admitted as a probe.

        Args:
          key: Its route; the next probe of it is due PROBE_MS later.
          now_ms: The time.
        """
        times = self._times_by_key.get(key)
        if times is None:
            return False
        if now_ms - max(times.at_ms, times.probe_ms) < PROBE_MS:
            return False
        times.probe_ms = now_ms
        return True
