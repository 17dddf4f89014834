"""Estimates latencies of models and backend servers from measurements.

Times are kept by model and by route, those of plain services in
plain_latency; what distinguishes a single server is kept as a slowdown factor
that decays.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

from ragwortgw_gateway import moving
from ragwortgw_gateway import plain_latency

#: Estimates before the first sample: prefill time of a token on a slow
#: model, time to the first byte without prefill, time between two events of
#: a stream, and events for each output token.
INITIAL_MS_PER_TOKEN = 0.06
INITIAL_BASE_MS = 20.0
MIN_BASE_MS = 1.0
INITIAL_INTERVAL_MS = 40.0
INITIAL_EVENTS_PER_TOKEN = 0.15
#: Streams with fewer events say little about the time between events.
MIN_SAMPLE_EVENTS = 3
#: Time over which the time between events is averaged.
INTERVAL_WINDOW_MS = 1_000.0
#: Weight of the usual time between events in that average, in events.
PRIOR_EVENTS = 5.0
#: Longest time between two events that is averaged, as a multiple of the
#: usual one. A longer pause of one stream says nothing about the others.
MAX_STRETCH = 8.0
#: Standard deviations above the mean within which the events of nearly all
#: answers of a route are.
LENGTH_DEVIATIONS = 1.3
#: Answers of a route before the length of its answers is known.
MIN_LENGTH_SAMPLES = 5
#: Weight of a new time to the first byte or between events, if it is shorter
#: and if it is longer than estimated: other work makes answers slower but
#: never faster, and is never fully known.
FASTER_WEIGHT = 0.1
SLOWER_WEIGHT = 0.01
#: Prompts shorter than this, or than this fraction of the mean, say little
#: about the time for a token.
MIN_SAMPLE_TOKENS = 500
SHORT_FRACTION = 0.25
#: Weight of a new sample in a server's slowdown.
SLOWDOWN_WEIGHT = 0.25
#: Bounds of the slowdown factor that one sample can show.
MAX_SLOWDOWN = 16.0
MIN_SLOWDOWN = 0.25
#: Prompt tokens that engines commonly prefill between two steps of their
#: batch; a first byte waits for those of another prompt.
CHUNK_TOKENS = 2_048
#: Time in which the logarithm of a slowdown halves without new samples.
SLOWDOWN_HALF_LIFE_MS = 4_000


class Estimate(NamedTuple):
    """Estimated times of an attempt at an idle server, in ms.

    Args:
      prefill_ms: Prefill of the tokens that are not cached.
      first_byte_ms: From sending to the first byte.
    """

    prefill_ms: float
    first_byte_ms: float


class RouteStreams(NamedTuple):
    """Time from the first event to the last of long streams of a route.

    Args:
      idle_ms: At idle servers.
      present_ms: At servers that go on as busy as they are.
    """

    idle_ms: float
    present_ms: float


class Pace:
    """Time to the first byte of a model at an idle server.

    Attributes:
      base_ms: Without prefill.
      ms_per_token: Prefill of one token.
      tokens: Mean number of tokens that were prefilled.
    """

    __slots__ = ('base_ms', 'ms_per_token', 'tokens', '_samples')

    def __init__(self) -> None:
        self.base_ms = INITIAL_BASE_MS
        self.ms_per_token = INITIAL_MS_PER_TOKEN
        self.tokens = moving.Mean()
        self._samples = 0

    def estimate(self, uncached_tokens: int) -> Estimate:
        """Returns the times of a request.

        Args:
          uncached_tokens: Prompt tokens that the server has to prefill.
        """
        prefill_ms = uncached_tokens * self.ms_per_token
        return Estimate(prefill_ms, self.base_ms + prefill_ms)

    def observe_base(self, sample_ms: float) -> None:
        """Adds a time to the first byte without prefill."""
        self.base_ms = _follow_shortest(self.base_ms, sample_ms)

    def observe_token(self, sample_ms: float) -> None:
        """Adds a time for one token."""
        self._samples += 1
        if self._samples == 1:
            self.ms_per_token = sample_ms
        else:
            self.ms_per_token = _follow_shortest(self.ms_per_token, sample_ms)


INITIAL_PACE = Pace()


class _RecentInterval:
    """Time between events of streams lately."""

    def __init__(self, now_ms: int) -> None:
        self._total_ms = moving.DecayingSum(INTERVAL_WINDOW_MS, now_ms)
        self._events = moving.DecayingSum(INTERVAL_WINDOW_MS, now_ms)

    def add(self, total_ms: float, events: int, now_ms: int) -> None:
        self._total_ms.add(total_ms, now_ms)
        self._events.add(events, now_ms)

    def value(self, usual_ms: float, now_ms: int) -> float:
        """Returns the time between events; the usual one without samples."""
        total_ms = self._total_ms.value(now_ms) + PRIOR_EVENTS * usual_ms
        return total_ms / (self._events.value(now_ms) + PRIOR_EVENTS)


class _Slowdown:
    """Moving average of log(measured / expected time), as of at_ms."""

    __slots__ = ('log', 'at_ms')

    def __init__(self, now_ms: int) -> None:
        self.log = 0.0
        self.at_ms = now_ms


class LatencyEstimator:
    """Estimates times by model and route, and slowdowns by server.

    Attributes:
      plain: Times of plain services.
    """

    def __init__(self) -> None:
        self.plain = plain_latency.PlainTimes()
        self._paces_by_model: dict[str, Pace] = {}
        #: The shortest times between events of whole streams.
        self._idle_interval_ms_by_model: dict[str, float] = {}
        self._idle_interval_ms_by_route: dict[str, float] = {}
        self._recent_intervals_by_model: dict[str, _RecentInterval] = {}
        self._recent_intervals_by_route: dict[str, _RecentInterval] = {}
        self._events_per_token_by_route: dict[str, moving.Mean] = {}
        self._events_by_route: dict[str, moving.Spread] = {}
        self._slowdowns_by_server: dict[str, _Slowdown] = {}

    def pace(self, model: str) -> Pace:
        """Returns the times of a model to the first byte."""
        return self._paces_by_model.get(model, INITIAL_PACE)

    def jitter_ms(self, models: Iterable[str]) -> float:
        """Returns the usual delay of a first byte by another prompt.

        Args:
          models: Models that the servers run, at least one; the slowest one
            decides.
        """
        return CHUNK_TOKENS * max(
            self.pace(model).ms_per_token for model in models
        )

    def output_events(
        self, route_id: str, output_tokens: int, event_tokens: int = 0
    ) -> float:
        """Returns the expected number of events of an answer.

        Args:
          route_id: Route of the request.
          output_tokens: Most tokens that the request allows.
          event_tokens: Tokens of one event as configured, 0 if unknown.
        """
        initial = (
            1 / event_tokens if event_tokens else INITIAL_EVENTS_PER_TOKEN
        )
        return output_tokens * _value(
            self._events_per_token_by_route, route_id, initial
        )

    def idle_interval_ms(self, model: str) -> float:
        """Returns the time between two events at an idle server."""
        return self._idle_interval_ms_by_model.get(model, INITIAL_INTERVAL_MS)

    def interval_ms(self, model: str, now_ms: int) -> float:
        """Returns the present time between two events of a model."""
        idle_ms = self.idle_interval_ms(model)
        recent = self._recent_intervals_by_model.get(model)
        if recent is None:
            return idle_ms
        return max(idle_ms, recent.value(idle_ms, now_ms))

    def route_streams(self, route_id: str, now_ms: int) -> RouteStreams | None:
        """Returns how long nearly all streams of a route take at most.

        Returns: The times, None if too few streams were complete.
        """
        events = self._events_by_route.get(route_id)
        recent = self._recent_intervals_by_route.get(route_id)
        if events is None or recent is None:
            return None
        if events.samples < MIN_LENGTH_SAMPLES:
            return None
        longest = events.mean + LENGTH_DEVIATIONS * events.deviation
        idle_ms = self._idle_interval_ms_by_route.get(
            route_id, INITIAL_INTERVAL_MS
        )
        present_ms = max(idle_ms, recent.value(idle_ms, now_ms))
        return RouteStreams(longest * idle_ms, longest * present_ms)

    def slowdown(self, server_id: str, now_ms: int) -> float:
        """Returns the factor by which a server is slower than estimated.

        It is at least 1: the estimates follow the fastest samples, so that
        no server stays faster than they are.
        """
        slowdown = self._slowdowns_by_server.get(server_id)
        if slowdown is None:
            return 1.0
        decay = 0.5 ** ((now_ms - slowdown.at_ms) / SLOWDOWN_HALF_LIFE_MS)
        return max(1.0, math.exp(slowdown.log * decay))

    def observe_model(
        self,
        model: str,
        uncached_tokens: int,
        first_byte_ms: float,
        queued: bool = False,
    ) -> None:
        """Updates a model's estimates with the time to a first byte.

        Long prompts decide on the time for a token, and short ones on the
        rest.

        Args:
          model: The model.
          uncached_tokens: Prompt tokens that the server prefilled.
          first_byte_ms: Time to the first byte.
          queued: Whether other prompts were prefilled before, so that the
            time is only an upper bound.
        """
        pace = self._paces_by_model.setdefault(model, Pace())
        expected_ms = pace.estimate(uncached_tokens).first_byte_ms
        if queued and first_byte_ms >= expected_ms:
            return
        pace.tokens.add(uncached_tokens)
        if uncached_tokens < max(
            MIN_SAMPLE_TOKENS, SHORT_FRACTION * pace.tokens.value
        ):
            base_ms = first_byte_ms - pace.ms_per_token * uncached_tokens
            pace.observe_base(max(MIN_BASE_MS, base_ms))
        else:
            prefill_ms = max(0.0, first_byte_ms - pace.base_ms)
            pace.observe_token(prefill_ms / uncached_tokens)

    def observe_events(
        self,
        route_id: str,
        model: str,
        events: int,
        elapsed_ms: float,
        now_ms: int,
    ) -> None:
        """Adds events of a stream in progress.

        Args:
          route_id: Route of the request.
          model: The model.
          events: Number of events.
          elapsed_ms: Time since the event before them.
          now_ms: The time.
        """
        usual_ms = self.idle_interval_ms(model)
        elapsed_ms = min(elapsed_ms, MAX_STRETCH * usual_ms * events)
        for key, recent_by_key in (
            (model, self._recent_intervals_by_model),
            (route_id, self._recent_intervals_by_route),
        ):
            recent = recent_by_key.get(key)
            if recent is None:
                recent = recent_by_key[key] = _RecentInterval(now_ms)
            recent.add(elapsed_ms, events, now_ms)

    def observe_stream(
        self,
        route_id: str,
        model: str,
        events: int,
        output_tokens: int,
        stream_ms: float,
    ) -> None:
        """Updates the estimates with a complete stream.

        Args:
          route_id: Route of the request.
          model: The model.
          events: Number of events.
          output_tokens: Most tokens that the request allowed.
          stream_ms: Time from the first event to the last.
        """
        if output_tokens:
            ratio = events / output_tokens
            _observe(self._events_per_token_by_route, route_id, ratio)
        self._events_by_route.setdefault(route_id, moving.Spread()).add(events)
        if events < MIN_SAMPLE_EVENTS:
            return
        interval_ms = stream_ms / (events - 1)
        for key, idle_ms_by_key in (
            (model, self._idle_interval_ms_by_model),
            (route_id, self._idle_interval_ms_by_route),
        ):
            idle_ms = idle_ms_by_key.get(key, interval_ms)
            idle_ms_by_key[key] = _follow_shortest(idle_ms, interval_ms)

    def observe_server(
        self,
        server_id: str,
        expected_ms: float,
        measured_ms: float,
        now_ms: int,
        jitter_ms: float = 0.0,
    ) -> float:
        """Updates the slowdown of a server.

        Args:
          server_id: The backend server.
          expected_ms: Estimated time to the first byte, including the
            queue.
          measured_ms: Measured time to the first byte.
          now_ms: The time.
          jitter_ms: Delay that says nothing about the speed of a server; a
            short time to the first byte hardly counts.
        Returns: log(measured / expected), bounded.
        """
        ratio = max(measured_ms + jitter_ms, 1.0)
        ratio /= max(expected_ms + jitter_ms, 1.0)
        sample = math.log(min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio)))
        slowdown = self._slowdowns_by_server.get(server_id)
        if slowdown is None:
            slowdown = self._slowdowns_by_server[server_id] = _Slowdown(now_ms)
        decay = 0.5 ** ((now_ms - slowdown.at_ms) / SLOWDOWN_HALF_LIFE_MS)
        slowdown.log = slowdown.log * decay
        slowdown.log += SLOWDOWN_WEIGHT * (sample - slowdown.log)
        slowdown.at_ms = now_ms
        return sample

    def forget(self, server_id: str) -> None:
        """Removes a server that is gone or was restarted."""
        self._slowdowns_by_server.pop(server_id, None)
        self.plain.forget(server_id)


def _value(means: dict[str, moving.Mean], key: str, default: float) -> float:
    mean = means.get(key)
    return default if mean is None else mean.value


def _observe(means: dict[str, moving.Mean], key: str, sample: float) -> None:
    means.setdefault(key, moving.Mean()).add(sample)


def _follow_shortest(known_ms: float, sample_ms: float) -> float:
    """Returns a time that follows shorter samples fast, longer ones slowly."""
    weight = FASTER_WEIGHT if sample_ms < known_ms else SLOWER_WEIGHT
    return known_ms + weight * (sample_ms - known_ms)
