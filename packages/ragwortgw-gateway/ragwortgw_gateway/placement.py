"""Selects the backend server of an attempt.

Prompts share long prefixes, and a server that has the prefix cached saves
most of the prefill; but many requests with one prefix must not queue up at
one server. The server with the lowest score gets the attempt; the score is
mainly the estimated time to the first byte, from the work queued at the
server and the tokens that it has not cached. So a prefix spreads to a
second server exactly when waiting at the first takes longer than another
prefill.
"""

from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

from ragwortgw_gateway import documents
from ragwortgw_gateway import latency_estimates
from ragwortgw_gateway import loads
from ragwortgw_gateway import outlier_ejection
from ragwortgw_gateway import prefixes
from ragwortgw_gateway import requests

#: Penalty in the score for each running request, which slows the others.
RUNNING_MS = 2.0
#: Weight of a server's complete backlog, besides the queued prefills.
BACKLOG_WEIGHT = 0.25
#: Penalty for a server in another availability zone: traffic between zones
#: costs money, and the round trip is longer.
ZONE_MS = 4.0
#: Fraction of the KV cache that may be filled, so that running requests can
#: grow.
MEMORY_FRACTION = 0.9
#: Cost of a retry, weighted by a server's excess failure rate.
FAILURE_MS = 400.0
#: Penalty for each MB of KV cache that is copied from another server: the
#: links between servers carry other traffic too, so that a prompt with a
#: quick prefill is not copied.
COPY_MS_PER_MB = 2.0
#: Backlog from which on the time that a copy saves counts in full, since
#: other requests wait for the server; below it, the time counts in
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
#: Bonus of the rendezvous owner of a prefix, as a fraction of the prefix's
#: prefill time, so that gateways that get a new prefix at the same time
#: choose the same server.
OWNER_FRACTION = 0.15


class ServerChoice(NamedTuple):
    """A selected server with the estimates behind the choice.

    Args:
      server: The backend server.
      prefill_ms: Time to prefill the tokens that are not cached.
      first_byte_ms: Time to the first byte, including the queue.
      work_ms: What the attempt adds to the busy time of the server.
      backlog_ms: Time that the server needs for its present work.
      uncached_tokens: Prompt tokens that it has to prefill.
      queued: Whether other work is done before the attempt.
      copy_from: 'ip:port' of a server from which it copies cached blocks
        first, '' for none.
      copied_tokens: Tokens in these blocks.
    """

    server: documents.BackendServer
    prefill_ms: float
    first_byte_ms: float
    work_ms: float
    backlog_ms: float
    uncached_tokens: int
    queued: bool
    copy_from: str = ''
    copied_tokens: int = 0


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
      expected: Estimated times without the copied tokens.
      uncached_tokens: Tokens that the server prefills.
      copied_tokens: Tokens that it copies.
      copy_ms: Time that the copy takes.
      cost_ms: Further penalty of the copy in the score.
    """

    expected: latency_estimates.Estimate
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
    """

    def __init__(
        self,
        zone: str,
        load_tracker: loads.LoadTracker,
        prefix_index: prefixes.PrefixCacheIndex,
        latency: latency_estimates.LatencyEstimator,
        outliers: outlier_ejection.OutlierDetector,
    ) -> None:
        self._zone = zone
        self._loads = load_tracker
        self._prefixes = prefix_index
        self._latency = latency
        self._outliers = outliers

    def choose(
        self,
        request: requests.Request,
        model: str,
        servers: Sequence[documents.BackendServer],
        excluded_servers: Collection[str],
        service: documents.Service | None,
        now_ms: int,
        seed: int,
    ) -> ServerChoice | None:
        """Selects a server.

        Args:
          request: The request.
          model: The model to run, '' for a plain request.
          servers: Servers that may run it.
          excluded_servers: Ids of servers that failed it before.
          service: Their service, None if it is not configured.
          now_ms: The time.
          seed: Random number that decides between equal scores.
        Returns: The choice, None if all servers are excluded or suspended.
        """
        eligible = [
            server
            for server in servers
            if server.id not in excluded_servers
            and not self._outliers.suspended(server.id, now_ms)
        ]
        if request.prompt is not None and model:
            return self._choose_for_prompt(
                request, model, eligible, service, now_ms, seed
            )
        return self._choose_for_plain(eligible, now_ms, seed)

    def _choose_for_prompt(
        self,
        request: requests.Request,
        model: str,
        servers: Sequence[documents.BackendServer],
        service: documents.Service | None,
        now_ms: int,
        seed: int,
    ) -> ServerChoice | None:
        prompt = request.prompt
        assert prompt is not None
        cache_tokens = 0 if service is None else service.cache_tokens
        cached_by_server = {
            server.id: self._prefixes.cached(
                server.id, model, prompt.blocks, now_ms
            )
            for server in servers
        }
        source = _find_source(service, servers, cached_by_server)
        shared_tokens = sum(block.tokens for block in prompt.blocks[:-1])
        owner = min(
            servers,
            key=lambda server: prefixes.rendezvous_rank(
                prompt.affinity, server.id
            ),
            default=None,
        )
        best: ServerChoice | None = None
        best_score = 0.0
        for position, server in enumerate(servers):
            load = self._loads.remaining(server.id, now_ms)
            slowdown = self._latency.slowdown(server.id, now_ms)
            work_ms = slowdown * load.work_ms
            cached_tokens = cached_by_server[server.id].tokens
            plan = self._plan_prefill(
                model, prompt.tokens, cached_tokens, source, slowdown, work_ms
            )
            expected = plan.expected
            first_byte_ms = slowdown * (
                load.pending_ms + expected.first_byte_ms
            )
            first_byte_ms += plan.copy_ms
            score = (
                first_byte_ms + plan.cost_ms + self._penalty_ms(server, load)
            )
            score += BACKLOG_WEIGHT * work_ms
            if server is owner:
                shared_prefix = self._latency.estimate_model_request(
                    model, shared_tokens
                )
                score -= OWNER_FRACTION * shared_prefix.prefill_ms
            needed_tokens = load.tokens + prompt.tokens + prompt.output_tokens
            if cache_tokens and needed_tokens > cache_tokens * MEMORY_FRACTION:
                score += expected.first_byte_ms + load.pending_ms + FAILURE_MS
            if load.running >= server.slots:
                score += load.running * RUNNING_MS * 4
            # Decides between equal servers at random.
            score += ((seed >> position) & 1) * 0.5
            if best is None or score < best_score:
                best_score = score
                best = ServerChoice(
                    server,
                    slowdown * expected.prefill_ms,
                    first_byte_ms,
                    slowdown * expected.work_ms,
                    work_ms,
                    plan.uncached_tokens,
                    load.pending_ms > 0,
                    source.address if plan.copied_tokens else '',
                    plan.copied_tokens,
                )
        return best

    def _plan_prefill(
        self,
        model: str,
        prompt_tokens: int,
        cached_tokens: int,
        source: _Source,
        slowdown: float,
        work_ms: float,
    ) -> _PrefillPlan:
        """Decides whether a server copies cached blocks or prefills all.

        Args:
          model: The model.
          prompt_tokens: Tokens of the prompt.
          cached_tokens: Tokens that the server has cached.
          source: The server to copy from, NO_SOURCE for none.
          slowdown: Slowdown factor of the server.
          work_ms: Time that the server needs for its present work.
        Returns: The plan with the lower cost.
        """
        uncached_tokens = max(0, prompt_tokens - cached_tokens)
        full_prefill = _PrefillPlan(
            self._latency.estimate_model_request(model, uncached_tokens),
            uncached_tokens,
        )
        copied_tokens = source.tokens - cached_tokens
        if copied_tokens < MIN_COPY_TOKENS:
            return full_prefill
        after_copy = self._latency.estimate_model_request(
            model, uncached_tokens - copied_tokens
        )
        copy_ms = COPY_BASE_MS + copied_tokens * source.ms_per_token
        cost_ms = copied_tokens * source.cost_per_token
        saved_ms = slowdown * (
            full_prefill.expected.prefill_ms - after_copy.prefill_ms
        )
        saved_ms *= min(1.0, work_ms / BUSY_MS)
        if saved_ms <= copy_ms + cost_ms:
            return full_prefill
        return _PrefillPlan(
            after_copy,
            uncached_tokens - copied_tokens,
            copied_tokens,
            copy_ms,
            cost_ms,
        )

    def _choose_for_plain(
        self,
        servers: Sequence[documents.BackendServer],
        now_ms: int,
        seed: int,
    ) -> ServerChoice | None:
        best: ServerChoice | None = None
        best_score = 0.0
        for position, server in enumerate(servers):
            load = self._loads.remaining(server.id, now_ms)
            expected = self._latency.estimate_plain_request(server.service)
            slowdown = self._latency.slowdown(server.id, now_ms)
            load_per_slot = load.running / max(1, server.slots)
            first_byte_ms = (
                slowdown * expected.first_byte_ms * (1 + load_per_slot)
            )
            score = first_byte_ms + self._penalty_ms(server, load)
            # Decides between equal servers at random.
            score += ((seed >> position) & 1) * 0.5
            if best is None or score < best_score:
                best_score = score
                queued = load.running >= server.slots
                best = ServerChoice(
                    server,
                    0.0,
                    first_byte_ms,
                    expected.work_ms,
                    load.work_ms / max(1, server.slots),
                    0,
                    queued,
                )
        return best

    def _penalty_ms(
        self, server: documents.BackendServer, load: loads.Load
    ) -> float:
        """Returns the penalties of a server that don't depend on its speed."""
        failure_rate = self._outliers.failure_share(server.id, server.service)
        zone_ms = ZONE_MS if server.zone != self._zone else 0.0
        return load.running * RUNNING_MS + zone_ms + failure_rate * FAILURE_MS


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
