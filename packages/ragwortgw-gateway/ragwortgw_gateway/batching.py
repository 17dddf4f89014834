"""Model of backend servers that run requests in batches.

An engine prefills one prompt after the other, in chunks between the tokens
of the requests that it runs; those advance together, so that one more costs
the others little. What a request does to a server is therefore described by
two things: its prefill, for which every other request waits, and its place
in the batch.

The forecast of one request at one server is shared by the decisions on
placement, on the model, on accepting a small model's answer, and on refusal.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ragwortgw_gateway import latency_estimates
from ragwortgw_gateway import loads
from ragwortgw_gateway import requests


class Forecast(NamedTuple):
    """Expected times of a request at a server, in ms.

    Args:
      prefill_ms: Prefill of the tokens that are not cached; everything else
        at the server waits for as long.
      first_byte_ms: From sending to the first byte, including the queue.
      stream_ms: From the first event to the last, while the server goes on
        as busy as it is.
      idle_first_byte_ms: As first_byte_ms at an idle server.
      idle_stream_ms: As stream_ms at an idle server.
    """

    prefill_ms: float
    first_byte_ms: float
    stream_ms: float = 0.0
    idle_first_byte_ms: float = 0.0
    idle_stream_ms: float = 0.0

    @property
    def wait_ms(self) -> float:
        """From sending until the server turns to the request."""
        return max(0.0, self.first_byte_ms - self.idle_first_byte_ms)

    @property
    def end_ms(self) -> float:
        """From sending to the last event."""
        return self.first_byte_ms + self.stream_ms

    @property
    def idle_end_ms(self) -> float:
        """As end_ms at an idle server."""
        return self.idle_first_byte_ms + self.idle_stream_ms

    @property
    def alone_ms(self) -> float:
        """What the request takes at an idle server, prefill included."""
        return self.prefill_ms + self.idle_stream_ms


class Newcomer(NamedTuple):
    """A request as a server would see it, with times at an idle server.

    Args:
      tokens: KV cache that it takes, in tokens.
      pace: Times of its model to the first byte.
      idle_stream_ms: From the first event of its answer to the last.
      stream_ms: The same while servers go on as busy as they are.
    """

    tokens: int
    pace: latency_estimates.Pace
    idle_stream_ms: float
    stream_ms: float


class Server(NamedTuple):
    """A server as a request would find it.

    Args:
      load: Its work in progress.
      slots: Requests that it runs concurrently.
      cache_tokens: Its KV cache in tokens, 0 if unknown.
      slowdown: Factor by which it is slower than the model's estimates.
    """

    load: loads.Load
    slots: int
    cache_tokens: int
    slowdown: float


def new_newcomer(
    latency: latency_estimates.LatencyEstimator,
    route_id: str,
    model: str,
    prompt: requests.Prompt,
    event_tokens: int,
    now_ms: int,
) -> Newcomer:
    """Describes a request from what was learned of its route and model.

    Args:
      latency: Latency estimates.
      route_id: Its route.
      model: The model.
      prompt: Its prompt.
      event_tokens: Tokens of one event as configured, 0 if unknown.
      now_ms: The time.
    """
    events = latency.output_events(
        route_id, prompt.output_tokens, event_tokens
    )
    intervals = max(0.0, events - 1)
    return Newcomer(
        prompt.tokens + prompt.output_tokens,
        latency.pace(model),
        intervals * latency.idle_interval_ms(model),
        intervals * latency.interval_ms(model, now_ms),
    )


def forecast(
    newcomer: Newcomer,
    server: Server,
    uncached_tokens: int,
    copy_ms: float = 0.0,
) -> Forecast:
    """Forecasts a request at a server.

    Args:
      newcomer: The request.
      server: The server.
      uncached_tokens: Prompt tokens that it has to prefill.
      copy_ms: Time in which it copies cached tokens from elsewhere.
    """
    idle = newcomer.pace.estimate(uncached_tokens)
    wait_ms = server.load.pending_ms + _room_ms(newcomer, server)
    return Forecast(
        server.slowdown * idle.prefill_ms,
        server.slowdown * (wait_ms + idle.first_byte_ms) + copy_ms,
        newcomer.stream_ms,
        idle.first_byte_ms,
        newcomer.idle_stream_ms,
    )


def _room_ms(newcomer: Newcomer, server: Server) -> float:
    """Returns the wait until a slot and enough KV cache are free.

    Requests in progress end, and free what they hold, evenly over the time
    that each takes on average.
    """
    load = server.load
    if not load.running:
        return 0.0
    slots = max(1, server.slots)
    turns = max(0.0, (load.running + 1 - slots) / slots)
    if server.cache_tokens:
        excess = load.tokens + newcomer.tokens - server.cache_tokens
        turns = max(turns, excess / server.cache_tokens)
    return turns * load.work_ms / load.running


class StreamNeed(NamedTuple):
    """Time that the streams of a route take, and may take, in ms.

    Args:
      idle_ms: From the first event to the last at idle servers.
      present_ms: The same while servers go on as busy as they are.
      limit_ms: From the objective of the first event to the timeout.
    """

    idle_ms: float
    present_ms: float
    limit_ms: float


def used_stream_headroom(needs: Iterable[StreamNeed]) -> float:
    """Returns how much of the headroom of streams other work takes.

    Args:
      needs: Routes whose streams have to end in time.
    Returns: 0 at idle servers, 1 where the long streams of a route just end
      in time, more where they don't.
    """
    used = 0.0
    for need in needs:
        slack_ms = need.limit_ms - need.idle_ms
        if slack_ms > 0:
            used = max(used, (need.present_ms - need.idle_ms) / slack_ms)
    return used
