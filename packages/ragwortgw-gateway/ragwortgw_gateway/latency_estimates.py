"""Learns how fast models and backend servers are."""

import math
from typing import NamedTuple

#: Taken for granted until something is known: time to read a prompt
#: token, of a slow model, and time until any answer begins.
FIRST_MS_PER_TOKEN = 0.06
FIRST_BASE_MS = 20.0
FIRST_PLAIN_MS = 40.0
FIRST_STREAM_MS = 1_000.0
#: Requests run together at a server; one more takes this part of the time
#: that it would take alone.
SHARED_PART = 0.35
#: Weight of a new sample.
SAMPLE_WEIGHT = 0.1
#: A sample that is slower than what is known counts for this part only:
#: others' work, which no gateway knows fully, slows answers but makes none
#: faster.
SLOWER_WEIGHT = 0.1
SLOWNESS_WEIGHT = 0.25
#: One sample says no more than that a server is this much slower or
#: faster than expected.
MAX_SLOWNESS = 16.0
MIN_SLOWNESS = 0.25
#: A server's slowness is forgotten by half in this time without samples.
SLOWDOWN_HALF_LIFE_MS = 4_000
#: Prompts shorter than this say little about the time per token.
MIN_SAMPLE_TOKENS = 500


class Estimate(NamedTuple):
    """Expected times of an attempt, in ms.

    Args:
      prompt_ms: To read the part of the prompt that is not cached.
      first_ms: From sending to the first byte, at an idle server.
      work_ms: What the attempt adds to the time of a busy server.
    """

    prefill_ms: float
    first_byte_ms: float
    work_ms: float


class _Mean:
    """A mean of the first samples, then of the latest ones."""

    __slots__ = ('value', 'samples')

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0


class _Slowness:
    __slots__ = ('log', 'at_ms')

    def __init__(self, now_ms: int) -> None:
        self.log = 0.0
        self.at_ms = now_ms


class LatencyEstimator:
    """Expected times by model and service, and how servers differ."""

    def __init__(self) -> None:
        self._ms_per_token_by_model: dict[str, _Mean] = {}
        self._base_ms_by_model: dict[str, _Mean] = {}
        self._stream_ms_by_model: dict[str, _Mean] = {}
        self._plain_ms_by_service: dict[str, _Mean] = {}
        self._slowness_by_server: dict[str, _Slowness] = {}

    def estimate_model_request(
        self, model: str, uncached_tokens: int
    ) -> Estimate:
        """Returns the expected times of a prompt at a model.

        Args:
          model: The model.
          unread_tokens: Tokens that are not cached.
        """
        base_ms = _value(self._base_ms_by_model, model, FIRST_BASE_MS)
        prompt_ms = uncached_tokens * _value(
            self._ms_per_token_by_model, model, FIRST_MS_PER_TOKEN
        )
        stream_ms = _value(self._stream_ms_by_model, model, FIRST_STREAM_MS)
        work_ms = prompt_ms + SHARED_PART * stream_ms
        return Estimate(prompt_ms, base_ms + prompt_ms, work_ms)

    def estimate_plain_request(self, service: str) -> Estimate:
        """Returns the expected times of a plain request."""
        plain_ms = _value(self._plain_ms_by_service, service, FIRST_PLAIN_MS)
        return Estimate(plain_ms, plain_ms, plain_ms)

    def slowdown(self, server_id: str, now_ms: int) -> float:
        """Returns how many times slower than known a server is, 1 at least.

        What is known is the best that was seen, so that no server is faster
        for long.
        """
        known = self._slowness_by_server.get(server_id)
        if known is None:
            return 1.0
        fade = 0.5 ** ((now_ms - known.at_ms) / SLOWDOWN_HALF_LIFE_MS)
        return max(1.0, math.exp(known.log * fade))

    def observe_model(
        self, model: str, uncached_tokens: int, first_byte_ms: float
    ) -> None:
        """Learns from an answer that had no other work ahead of it."""
        if uncached_tokens < MIN_SAMPLE_TOKENS:
            _observe_best(self._base_ms_by_model, model, first_byte_ms)
            return
        base_ms = _value(self._base_ms_by_model, model, FIRST_BASE_MS)
        per_token = max(0.0, first_byte_ms - base_ms) / uncached_tokens
        _observe_best(self._ms_per_token_by_model, model, per_token)

    def observe_stream(self, model: str, stream_ms: float) -> None:
        """Learns from the time from the first event to the last."""
        _observe(self._stream_ms_by_model, model, stream_ms)

    def observe_plain(self, service: str, total_ms: float) -> None:
        """Learns from the answer to a plain request."""
        _observe(self._plain_ms_by_service, service, total_ms)

    def observe_server(
        self,
        server_id: str,
        expected_ms: float,
        measured_ms: float,
        now_ms: int,
    ) -> float:
        """Learns how a server differs from what was expected of it.

        Args:
          server_id: The backend server.
          expected_ms: Expected time, with the work ahead.
          measured_ms: Measured time.
          now_ms: The time.
        Returns: log(measured / expected), bounded.
        """
        ratio = max(measured_ms, 1.0) / max(expected_ms, 1.0)
        sample = math.log(min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio)))
        known = self._slowness_by_server.get(server_id)
        if known is None:
            known = self._slowness_by_server[server_id] = _Slowness(now_ms)
        fade = 0.5 ** ((now_ms - known.at_ms) / SLOWDOWN_HALF_LIFE_MS)
        known.log = known.log * fade
        known.log += SLOWNESS_WEIGHT * (sample - known.log)
        known.at_ms = now_ms
        return sample

    def forget(self, server_id: str) -> None:
        """Forgets a server that is gone or started anew."""
        self._slowness_by_server.pop(server_id, None)


def _value(means: dict[str, _Mean], key: str, otherwise: float) -> float:
    mean = means.get(key)
    return otherwise if mean is None else mean.value


def _observe(means: dict[str, _Mean], key: str, sample: float) -> None:
    mean = means.setdefault(key, _Mean())
    mean.samples += 1
    weight = max(SAMPLE_WEIGHT, 1 / mean.samples)
    mean.value += weight * (sample - mean.value)


def _observe_best(means: dict[str, _Mean], key: str, sample: float) -> None:
    """Follows the best samples, and others only slowly."""
    mean = means.setdefault(key, _Mean())
    mean.samples += 1
    weight = max(SAMPLE_WEIGHT, 1 / mean.samples)
    if mean.samples > 1 and sample > mean.value:
        weight *= SLOWER_WEIGHT
    mean.value += weight * (sample - mean.value)
