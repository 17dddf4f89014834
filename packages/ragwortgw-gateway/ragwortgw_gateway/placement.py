"""Selects the backend server of an attempt.

Prompts share long prefixes, and a server that has the prefix cached saves
most of the prefill; but many requests with one prefix must not queue up at
one server. The server with the lowest score gets the attempt; the score is
mainly the estimated time to the first byte, from the prompts queued at the
server and the tokens that it has not cached, and the time that the attempt
takes from the requests that run there. So a prefix spreads to a second
server exactly when waiting at the first takes longer than another prefill.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

from ragwortgw_gateway import batching
from ragwortgw_gateway import cold_servers
from ragwortgw_gateway import documents
from ragwortgw_gateway import even_choice
from ragwortgw_gateway import latency_estimates
from ragwortgw_gateway import loads
from ragwortgw_gateway import outlier_ejection
from ragwortgw_gateway import plain_choice
from ragwortgw_gateway import plain_latency
from ragwortgw_gateway import prefixes
from ragwortgw_gateway import rate_limits
from ragwortgw_gateway import requests
from ragwortgw_gateway import server_backoff

#: Penalty in the score for each running request.
RUNNING_MS = 2.0
#: Penalty for a server in another availability zone: traffic between zones
#: costs money, and the round trip is longer.
ZONE_MS = 4.0
#: Further penalty for each KB of the request's body, which crosses zones.
ZONE_MS_PER_KB = 1.0
BYTES_PER_KB = 1_000
#: Fraction of the KV cache that may be filled, so that running requests can
#: grow.
MEMORY_FRACTION = 0.9
#: Penalty for a server where the attempt would wait for KV cache: running
#: requests may be preempted there.
PREEMPTION_MS = 400.0
#: Cost of a retry, weighted by a server's excess failure rate.
FAILURE_MS = 400.0
#: Penalty for each MB of KV cache that is copied from another server: the
#: links between servers carry other traffic too, so that a prompt with a
#: quick prefill is not copied.
COPY_MS_PER_MB = 2.0
#: Queued prefill from which on the time that a copy saves counts in full,
#: since other requests wait for the server; below it, the time counts in
#: proportion, and not at all at an idle server.
BUSY_MS = 1_500.0
#: Time that a copy takes besides the transfer.
COPY_BASE_MS = 10.0
#: Fewest tokens for which a copy is considered.
MIN_COPY_TOKENS = 1_000
BITS_PER_BYTE = 8
BYTES_PER_MB = 1_000_000
BITS_PER_MBIT = 1_000_000
MS_PER_S = 1_000
#: Bits of a decision's random number that decide between equal servers, and
#: the resolution of the draw, which uses the next ones.
TIE_BITS = 32
DRAW_STEPS = 1 << 16
#: Bonus of the rendezvous owner of a prefix, as a fraction of the prefix's
#: prefill time, so that gateways that get a new prefix at the same time
#: choose the same server.
OWNER_FRACTION = 0.15


def no_peers(service: str, now_ms: int) -> float:
    """Returns what the peers of a lone gateway send: nothing."""
    return 0.0


class ServerChoice(NamedTuple):
    """A selected server with the estimates behind the choice.

    Args:
      server: The backend server.
      forecast: Expected times of the attempt there.
      uncached_tokens: Prompt tokens that it has to prefill.
      queued: Whether other work is done before the attempt.
      copy_from: 'ip:port' of a server from which it copies cached blocks
        first, '' for none.
      copied_tokens: Tokens in these blocks.
      slowdown: Factor by which the server was slower than usual lately.
      cold: Whether the server is cold.
    """

    server: documents.BackendServer
    forecast: batching.Forecast
    uncached_tokens: int
    queued: bool
    copy_from: str = ''
    copied_tokens: int = 0
    slowdown: float = 1.0
    cold: bool = False

    @property
    def usual_first_byte_ms(self) -> float:
        """Time to the first byte if the server had the usual pace."""
        return self.forecast.first_byte_ms / self.slowdown


class _Source(NamedTuple):
    """A server from which cached blocks of a prompt can be copied.

    Args:
      address: Its 'ip:port'.
      tokens: Tokens of the prompt that it has cached.
      ms_per_token: Time to copy a token.
      cost_per_token: Penalty in the score for each copied token, in ms.
    """

    address: str
    tokens: int
    ms_per_token: float
    cost_per_token: float


NO_SOURCE = _Source('', 0, 0.0, 0.0)


class _PrefillPlan(NamedTuple):
    """How the KV cache of a prompt is filled: by prefill and by copying.

    Args:
      uncached_tokens: Tokens that the server prefills.
      copied_tokens: Tokens that it copies.
      copy_ms: Time that the copy takes.
      cost_ms: Further penalty of the copy in the score.
    """

    uncached_tokens: int
    copied_tokens: int = 0
    copy_ms: float = 0.0
    cost_ms: float = 0.0


class ServerSelector:
    """Selects servers by score.

    Args:
      zone: Availability zone of the gateway.
      load_tracker: Work in progress by server.
      prefix_index: Cached prefix blocks by server.
      latency: Latency estimates.
      outliers: Suspended servers and failure rates.
      backoff: Servers that asked for a pause.
      limits: Limits of servers.
      cold: Servers that are cold.
      unknown_prefill_ms: Returns the prefill that peers have sent to servers
        of a service and not reported yet, by service and time.
    """

    def __init__(
        self,
        zone: str,
        load_tracker: loads.LoadTracker,
        prefix_index: prefixes.PrefixCacheIndex,
        latency: latency_estimates.LatencyEstimator,
        outliers: outlier_ejection.OutlierDetector,
        backoff: server_backoff.BackoffTracker,
        limits: rate_limits.RateLimits,
        cold: cold_servers.ColdServers,
        unknown_prefill_ms: Callable[[str, int], float] = no_peers,
    ) -> None:
        self._zone = zone
        self._loads = load_tracker
        self._prefixes = prefix_index
        self._latency = latency
        self._outliers = outliers
        self._backoff = backoff
        self._limits = limits
        self._cold = cold
        self._unknown_prefill_ms = unknown_prefill_ms

    def choose(
        self,
        request: requests.Request,
        route: documents.Route,
        model: str,
        servers: Sequence[documents.BackendServer],
        excluded_servers: Collection[str],
        service: documents.Service | None,
        now_ms: int,
        seed: int,
        last_resort: Collection[str] = (),
    ) -> ServerChoice | None:
        """Selects a server.

        Args:
          request: The request.
          route: Its route.
          model: The model to run, '' for a plain request.
          servers: Servers that may run it.
          excluded_servers: Ids of servers that failed it before.
          service: Their service, None if it is not configured.
          now_ms: The time.
          seed: Random number that decides between equal scores.
          last_resort: Ids of servers that are chosen only if no other
            server is left.
        Returns: The choice, None if all servers are excluded, suspended,
          paused or at their limits.
        """
        eligible = [
            server
            for server in servers
            if server.id not in excluded_servers
            and not self._outliers.suspended(server.id, now_ms)
            and not self._open_ms(server, now_ms)
        ]
        if last_resort:
            preferred = [
                server for server in eligible if server.id not in last_resort
            ]
            eligible = preferred or eligible
        if request.prompt is not None and model:
            return self._choose_for_prompt(
                request, route, model, eligible, service, now_ms, seed
            )
        return self._choose_for_plain(route, eligible, now_ms, seed)

    def first_open_ms(
        self, servers: Sequence[documents.BackendServer], now_ms: int
    ) -> int:
        """Returns when the first of some servers takes requests again.

        Returns: The time; 0 if there are no servers, or one neither is
          paused nor has used up its limit.
        """
        return min(
            (self._open_ms(server, now_ms) for server in servers), default=0
        )

    def _open_ms(self, server: documents.BackendServer, now_ms: int) -> int:
        """Returns when a server takes requests again, 0 if it does now."""
        until_ms = max(
            self._backoff.until_ms(server),
            self._limits.next_ms(server, now_ms),
        )
        return until_ms if until_ms > now_ms else 0

    def _choose_for_prompt(
        self,
        request: requests.Request,
        route: documents.Route,
        model: str,
        servers: Sequence[documents.BackendServer],
        service: documents.Service | None,
        now_ms: int,
        seed: int,
    ) -> ServerChoice | None:
        prompt = request.prompt
        assert prompt is not None
        body_ms = len(request.body) / BYTES_PER_KB * ZONE_MS_PER_KB
        cache_tokens = 0 if service is None else service.cache_tokens
        cached_by_server = {
            server.id: self._prefixes.cached(
                server.id, model, prompt.blocks, now_ms
            )
            for server in servers
        }
        source = _find_source(service, servers, cached_by_server)
        # A cold server takes few requests: a prefix whose requests all went
        # there would wait for its limit.
        owner = _find_owner(
            prompt,
            [each for each in servers if self._cold.find(each) is None],
        )
        newcomer = batching.new_newcomer(
            self._latency,
            route.id,
            model,
            prompt,
            0 if service is None else service.event_tokens,
            now_ms,
        )
        usable_tokens = round(cache_tokens * MEMORY_FRACTION)
        owner_bonus_ms = OWNER_FRACTION * _shared_ms(newcomer, prompt)
        if not servers:
            return None
        choices: list[ServerChoice] = []
        scores: list[float] = []
        for position, server in enumerate(servers):
            load = self._loads.remaining(server.id, now_ms)
            slowdown = self._at_least_cold(
                server, self._latency.slowdown(server.id, now_ms)
            )
            state = batching.Server(
                load, server.slots, usable_tokens, slowdown
            )
            cached_tokens = cached_by_server[server.id].tokens
            plan = _plan_prefill(
                newcomer, prompt.tokens, cached_tokens, source, state
            )
            forecast = batching.forecast(
                newcomer, state, plan.uncached_tokens, plan.copy_ms
            )
            score = forecast.first_byte_ms + plan.cost_ms
            score += self._penalty_ms(server, load, body_ms)
            score += _harm_ms(route, forecast, load)
            if server is owner:
                score -= owner_bonus_ms
            if usable_tokens and newcomer.tokens > usable_tokens - load.tokens:
                score += PREEMPTION_MS
            # Decides between equal servers at random.
            score += ((seed >> position) & 1) * 0.5
            scores.append(score)
            choices.append(
                ServerChoice(
                    server,
                    forecast,
                    plan.uncached_tokens,
                    load.pending_ms > 0,
                    source.address if plan.copied_tokens else '',
                    plan.copied_tokens,
                    slowdown,
                    self._cold.find(server) is not None,
                )
            )
        chosen = even_choice.choose(
            scores,
            [1 / choice.slowdown for choice in choices],
            self._unknown_prefill_ms(servers[0].service, now_ms),
            _draw(seed),
            [choice.uncached_tokens for choice in choices],
        )
        return choices[chosen]

    def _choose_for_plain(
        self,
        route: documents.Route,
        servers: Sequence[documents.BackendServer],
        now_ms: int,
        seed: int,
    ) -> ServerChoice | None:
        if not servers:
            return None
        choices: list[ServerChoice] = []
        scores_ms: list[float] = []
        key = plain_latency.Key(servers[0].service, route.id)
        usual_ms = self._latency.plain.estimate_ms(key, now_ms)
        idle_ms = self._latency.plain.idle_ms(key)
        for position, server in enumerate(servers):
            load = self._loads.remaining(server.id, now_ms)
            factor = self._latency.plain.server_factor(server.id, now_ms)
            factor = self._at_least_cold(server, factor)
            load_per_slot = load.running / max(1, server.slots)
            first_byte_ms = factor * usual_ms * (1 + load_per_slot)
            score_ms = first_byte_ms + self._penalty_ms(server, load)
            # Decides between equal servers at random.
            scores_ms.append(score_ms + ((seed >> position) & 1) * 0.5)
            forecast = batching.Forecast(
                usual_ms, first_byte_ms, idle_first_byte_ms=idle_ms
            )
            queued = load.running >= server.slots
            choices.append(
                ServerChoice(
                    server,
                    forecast,
                    0,
                    queued,
                    slowdown=factor,
                    cold=self._cold.find(server) is not None,
                )
            )
        # One that would be late is chosen only if it is the quickest.
        in_time = [
            position
            for position, choice in enumerate(choices)
            if choice.forecast.first_byte_ms <= route.objective_ms
        ] or [min(range(len(choices)), key=scores_ms.__getitem__)]
        drawn = plain_choice.draw(
            [scores_ms[position] for position in in_time],
            _draw(seed),
        )
        return choices[in_time[drawn]]

    def _at_least_cold(
        self, server: documents.BackendServer, factor: float
    ) -> float:
        """Returns the factor by which a server is slower than estimated.

        One that is cold is at least as slow as cold servers of its service
        lately were, although it may not have shown it yet.

        Args:
          server: The server.
          factor: What it has shown itself.
        """
        cold_factor = self._cold.slowdown(server)
        return max(factor, cold_factor) if cold_factor > 1 else factor

    def _penalty_ms(
        self,
        server: documents.BackendServer,
        load: loads.Load,
        body_ms: float = 0.0,
    ) -> float:
        """Returns the penalties of a server that don't depend on its speed."""
        failure_rate = self._outliers.failure_share(server.id, server.service)
        zone_ms = ZONE_MS + body_ms if server.zone != self._zone else 0.0
        return load.running * RUNNING_MS + zone_ms + failure_rate * FAILURE_MS


def _draw(seed: int) -> float:
    """Returns a random number below 1 of a decision's random bits."""
    return (seed >> TIE_BITS) % DRAW_STEPS / DRAW_STEPS


def _shared_ms(newcomer: batching.Newcomer, prompt: requests.Prompt) -> float:
    """Returns the time to prefill what a prompt shares with others."""
    shared_tokens = sum(block.tokens for block in prompt.blocks[:-1])
    return shared_tokens * newcomer.pace.ms_per_token


def _plan_prefill(
    newcomer: batching.Newcomer,
    prompt_tokens: int,
    cached_tokens: int,
    source: _Source,
    state: batching.Server,
) -> _PrefillPlan:
    """Decides whether a server copies cached blocks before the prefill.

    Args:
      newcomer: The request.
      prompt_tokens: Tokens of its prompt.
      cached_tokens: Those that the server has cached.
      source: Where more of them can be copied from.
      state: The server.
    Returns: The plan.
    """
    uncached_tokens = max(0, prompt_tokens - cached_tokens)
    copied_tokens = source.tokens - cached_tokens
    if copied_tokens < MIN_COPY_TOKENS:
        return _PrefillPlan(uncached_tokens)
    copy_ms = COPY_BASE_MS + copied_tokens * source.ms_per_token
    cost_ms = copied_tokens * source.cost_per_token
    busy = min(1.0, state.load.pending_ms / BUSY_MS)
    saved_ms = state.slowdown * copied_tokens * newcomer.pace.ms_per_token
    if saved_ms * busy <= copy_ms + cost_ms:
        return _PrefillPlan(uncached_tokens)
    return _PrefillPlan(
        uncached_tokens - copied_tokens, copied_tokens, copy_ms, cost_ms
    )


def _harm_ms(
    route: documents.Route, forecast: batching.Forecast, load: loads.Load
) -> float:
    """Returns what an attempt costs the requests that a server runs.

    Each of them ends later by the time that the attempt's prefill takes. A
    delay of the end matters less than one of the first byte, by as much as
    answers have more time for it.
    """
    slack_ms = max(1, route.timeout_ms - route.objective_ms)
    weight = min(1.0, route.objective_ms / slack_ms)
    return weight * load.running * forecast.prefill_ms


def _find_owner(
    prompt: requests.Prompt, servers: Sequence[documents.BackendServer]
) -> documents.BackendServer | None:
    """Returns the rendezvous owner of a prompt's shared prefix."""
    return min(
        servers,
        key=lambda server: prefixes.rendezvous_rank(
            prompt.affinity, server.id
        ),
        default=None,
    )


def _find_source(
    service: documents.Service | None,
    servers: Sequence[documents.BackendServer],
    cached_by_server: dict[str, prefixes.CachedTokens],
) -> _Source:
    """Finds the server from which most of a prompt can be copied.

    Returns: The server; NO_SOURCE if servers of the service can't copy.
    """
    if service is None or not service.token_bytes or not service.link_mbps:
        return NO_SOURCE
    source = max(
        servers,
        key=lambda server: cached_by_server[server.id].ready_tokens,
        default=None,
    )
    if source is None:
        return NO_SOURCE
    token_bits = service.token_bytes * BITS_PER_BYTE
    bits_per_ms = service.link_mbps * BITS_PER_MBIT / MS_PER_S
    return _Source(
        source.address,
        cached_by_server[source.id].ready_tokens,
        token_bits / bits_per_ms,
        COPY_MS_PER_MB * service.token_bytes / BYTES_PER_MB,
    )
