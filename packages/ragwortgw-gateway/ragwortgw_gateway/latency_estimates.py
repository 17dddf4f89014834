"""Estimates latencies of models and backend servers from measurements.

Times are kept by model and by service; what distinguishes a single server
is kept as a slowdown factor that decays.
"""

import math
from typing import NamedTuple

#: Estimates before the first sample: prefill time of a token on a slow
#: model, time to the first byte without prefill, time of a plain request,
#: and time from the first event of a stream to the last.
INITIAL_MS_PER_TOKEN = 0.06
INITIAL_BASE_MS = 20.0
INITIAL_PLAIN_MS = 40.0
INITIAL_STREAM_MS = 1_000.0
#: A server runs requests in batches; one more request takes this fraction
#: of the time that it would take alone.
BATCHED_FRACTION = 0.35
#: Weight of a new sample.
SAMPLE_WEIGHT = 0.1
#: Factor on the weight of a sample that is slower than the estimate: work of
#: other gateways, which is never fully known, makes answers slower but
#: never faster.
SLOWER_WEIGHT = 0.1
#: Weight of a new sample in a server's slowdown.
SLOWDOWN_WEIGHT = 0.25
#: Bounds of the slowdown factor that one sample can show.
MAX_SLOWDOWN = 16.0
MIN_SLOWDOWN = 0.25
#: Time in which the logarithm of a slowdown halves without new samples.
SLOWDOWN_HALF_LIFE_MS = 4_000
#: Prompts shorter than this say little about the time per token.
MIN_SAMPLE_TOKENS = 500


class Estimate(NamedTuple):
    """Estimated times of an attempt, in ms.

    Args:
      prefill_ms: Prefill of the tokens that are not cached.
      first_byte_ms: From sending to the first byte, at an idle server.
      work_ms: What the attempt adds to the busy time of a server.
    """

    prefill_ms: float
    first_byte_ms: float
    work_ms: float


class _Mean:
    """An arithmetic mean at first, later an exponential moving average.

    It becomes one once a sample's weight has fallen to SAMPLE_WEIGHT.
    """

    __slots__ = ('value', 'samples')

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0


class _Slowdown:
    """Moving average of log(measured / expected time), as of at_ms."""

    __slots__ = ('log', 'at_ms')

    def __init__(self, now_ms: int) -> None:
        self.log = 0.0
        self.at_ms = now_ms


class LatencyEstimator:
    """Estimates times by model and service, and slowdowns by server."""

    def __init__(self) -> None:
        self._ms_per_token_by_model: dict[str, _Mean] = {}
        self._base_ms_by_model: dict[str, _Mean] = {}
        self._stream_ms_by_model: dict[str, _Mean] = {}
        self._plain_ms_by_service: dict[str, _Mean] = {}
        self._slowdowns_by_server: dict[str, _Slowdown] = {}

    def estimate_model_request(
        self, model: str, uncached_tokens: int
    ) -> Estimate:
        """Returns the estimated times of a request to a model.

        Args:
          model: The model.
          uncached_tokens: Prompt tokens that the server has to prefill.
        """
        base_ms = _value(self._base_ms_by_model, model, INITIAL_BASE_MS)
        prefill_ms = uncached_tokens * _value(
            self._ms_per_token_by_model, model, INITIAL_MS_PER_TOKEN
        )
        stream_ms = _value(self._stream_ms_by_model, model, INITIAL_STREAM_MS)
        work_ms = prefill_ms + BATCHED_FRACTION * stream_ms
        return Estimate(prefill_ms, base_ms + prefill_ms, work_ms)

    def estimate_plain_request(self, service: str) -> Estimate:
        """Returns the estimated times of a plain request."""
        plain_ms = _value(self._plain_ms_by_service, service, INITIAL_PLAIN_MS)
        return Estimate(plain_ms, plain_ms, plain_ms)

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
        self, model: str, uncached_tokens: int, first_byte_ms: float
    ) -> None:
        """Updates a model's estimates with an answer that did not queue.

        Args:
          model: The model.
          uncached_tokens: Prompt tokens that the server prefilled.
          first_byte_ms: Time to the first byte.
        """
        if uncached_tokens < MIN_SAMPLE_TOKENS:
            _observe_fastest(self._base_ms_by_model, model, first_byte_ms)
            return
        base_ms = _value(self._base_ms_by_model, model, INITIAL_BASE_MS)
        ms_per_token = max(0.0, first_byte_ms - base_ms) / uncached_tokens
        _observe_fastest(self._ms_per_token_by_model, model, ms_per_token)

    def observe_stream(self, model: str, stream_ms: float) -> None:
        """Adds the time from the first event of a stream to the last."""
        _observe(self._stream_ms_by_model, model, stream_ms)

    def observe_plain(self, service: str, total_ms: float) -> None:
        """Adds the time of a plain request."""
        _observe(self._plain_ms_by_service, service, total_ms)

    def observe_server(
        self,
        server_id: str,
        expected_ms: float,
        measured_ms: float,
        now_ms: int,
    ) -> float:
        """Updates the slowdown of a server.

        Args:
          server_id: The backend server.
          expected_ms: Estimated time to the first byte, including the
            queue.
          measured_ms: Measured time to the first byte.
          now_ms: The time.
        Returns: log(measured / expected), bounded.
        """
        ratio = max(measured_ms, 1.0) / max(expected_ms, 1.0)
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


def _value(means: dict[str, _Mean], key: str, default: float) -> float:
    mean = means.get(key)
    return default if mean is None else mean.value


def _observe(means: dict[str, _Mean], key: str, sample: float) -> None:
    mean = means.setdefault(key, _Mean())
    mean.samples += 1
    weight = max(SAMPLE_WEIGHT, 1 / mean.samples)
    mean.value += weight * (sample - mean.value)


def _observe_fastest(means: dict[str, _Mean], key: str, sample: float) -> None:
    """Follows faster samples at full weight, and slower ones slowly."""
    mean = means.setdefault(key, _Mean())
    mean.samples += 1
    weight = max(SAMPLE_WEIGHT, 1 / mean.samples)
    if mean.samples > 1 and sample > mean.value:
        weight *= SLOWER_WEIGHT
    mean.value += weight * (sample - mean.value)
