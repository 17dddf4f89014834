"""Chooses the backend server of an attempt.

Load it answers: prompts share long prefixes, and a server that holds the
prefix saves most of the reading; but many requests for one prefix must
not pile up at its server. The time until the answer begins decides, from
the work that is known to be ahead and the part of the prompt that is not
cached, so that a prefix spreads to a second server exactly when waiting
at the first costs more than reading it again.
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

#: What one running request adds to the others' time, in ms of a score.
RUNNING_MS = 2.0
#: What the whole work of a server counts, besides the prompts ahead.
BACKLOG_WEIGHT = 0.25
#: What a server in another availability zone costs, in ms of a score:
#: bytes between zones are paid for, and the way is longer.
ZONE_MS = 4.0
#: Memory that is left free, so that running requests can grow.
MEMORY_SHARE = 0.9
#: What sending again costs where a server fails part of its requests.
FAILURE_MS = 400.0
#: What copying memory from another server costs, in ms of a score for each
#: MB: the links between servers carry other work too, so that a prompt that
#: is read quickly is rather read than copied.
COPY_MS_PER_MB = 2.0
#: Work from which on all time that a copy saves counts, since others wait
#: for it; at an idle server nobody does.
BUSY_MS = 1_500.0
#: Time that a copy takes besides the transfer.
COPY_BASE_MS = 10.0
#: Prompts of which less than this can be copied are read.
MIN_COPY_TOKENS = 1_000
BITS_PER_BYTE = 8
BYTES_PER_MB = 1_000_000
BITS_PER_MBIT = 1_000_000
MS_PER_S = 1_000
#: What speaks for a prefix's home: this part of the time to read the
#: prefix. Gateways that meet a new prefix at once then choose alike.
HOME_SHARE = 0.15


class ServerChoice(NamedTuple):
    """A server and what is expected there.

    Args:
      server: The backend server.
      prompt_ms: Time to read what is not cached.
      first_ms: Expected time until the answer begins.
      work_ms: What the attempt adds to the time of the server.
      backlog_ms: Time that the server needs for all that it has.
      unread_tokens: Tokens of the prompt that it has to read.
      queued: Whether work is ahead.
      copy_from: 'ip:port' of a server from which it copies a part of the
        prompt first, '' for none.
      copied_tokens: Tokens of that part.
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
    """A server that holds a part of a prompt, and what copying it takes.

    Args:
      address: Its 'ip:port'.
      tokens: Tokens that it has read.
      ms_per_token: Time to copy a token.
      cost_per_token: What copying a token costs, in ms of a score.
    """

    address: str
    tokens: int
    ms_per_token: float
    cost_per_token: float


NO_SOURCE = _Source('', 0, 0.0, 0.0)


class _Way(NamedTuple):
    """How a prompt gets into the memory of a server.

    Args:
      expected: Expected times of what the server reads.
      unread_tokens: Tokens that it reads.
      copied_tokens: Tokens that it copies.
      copy_ms: Time that the copy takes.
      cost_ms: What the copy costs besides, in ms of a score.
    """

    expected: latency_estimates.Estimate
    uncached_tokens: int
    copied_tokens: int = 0
    copy_ms: float = 0.0
    cost_ms: float = 0.0


class ServerSelector:
    """Chooses among servers by what the books say of them."""

    def __init__(
        self,
        zone: str,
        load_book: loads.LoadTracker,
        prefix_book: prefixes.PrefixCacheIndex,
        pace_book: latency_estimates.LatencyEstimator,
        outliers: outlier_ejection.OutlierDetector,
    ) -> None:
        self._zone = zone
        self._loads = load_book
        self._prefixes = prefix_book
        self._pace = pace_book
        self._suspects = outliers

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
        """Chooses a server.

        Args:
          request: The request.
          model: The model to run, '' for a plain request.
          servers: Servers that may run it.
          avoid: Ids of servers that failed it before.
          service: Their service, None if not known.
          now_ms: The time.
          seed: Decides between equals.
        Returns: The choice; None if no server is left, or none has room.
        """
        fresh = [
            server
            for server in servers
            if server.id not in excluded_servers
            and not self._suspects.suspended(server.id, now_ms)
        ]
        if request.prompt is not None and model:
            return self._choose_runner(
                request, model, fresh, service, now_ms, seed
            )
        return self._choose_plain(fresh, now_ms, seed)

    def _choose_runner(
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
        shared_tokens = sum(part.tokens for part in prompt.blocks[:-1])
        home = min(
            servers,
            key=lambda each: prefixes.rendezvous_rank(
                prompt.affinity, each.id
            ),
            default=None,
        )
        best: ServerChoice | None = None
        best_score = 0.0
        for position, server in enumerate(servers):
            load = self._loads.remaining(server.id, now_ms)
            slowness = self._pace.slowdown(server.id, now_ms)
            work_ms = slowness * load.work_ms
            cached = cached_by_server[server.id].tokens
            way = self._find_way(
                model, prompt.tokens, cached, source, slowness, work_ms
            )
            expected = way.expected
            first_ms = slowness * (load.pending_ms + expected.first_byte_ms)
            first_ms += way.copy_ms
            score = first_ms + way.cost_ms + self._extra_ms(server, load)
            score += BACKLOG_WEIGHT * work_ms
            if server is home:
                shared = self._pace.estimate_model_request(
                    model, shared_tokens
                )
                score -= HOME_SHARE * shared.prefill_ms
            needed = load.tokens + prompt.tokens + prompt.output_tokens
            if cache_tokens and needed > cache_tokens * MEMORY_SHARE:
                score += expected.first_byte_ms + load.pending_ms + FAILURE_MS
            if load.running >= server.slots:
                score += load.running * RUNNING_MS * 4
            score += ((seed >> position) & 1) * 0.5
            if best is None or score < best_score:
                best_score = score
                best = ServerChoice(
                    server,
                    slowness * expected.prefill_ms,
                    first_ms,
                    slowness * expected.work_ms,
                    work_ms,
                    way.uncached_tokens,
                    load.pending_ms > 0,
                    source.address if way.copied_tokens else '',
                    way.copied_tokens,
                )
        return best

    def _find_way(
        self,
        model: str,
        prompt_tokens: int,
        cached_tokens: int,
        source: _Source,
        slowdown: float,
        work_ms: float,
    ) -> _Way:
        """Decides whether a server reads a prompt or copies a part of it."""
        unread = max(0, prompt_tokens - cached_tokens)
        reading = _Way(
            self._pace.estimate_model_request(model, unread), unread
        )
        copied = source.tokens - cached_tokens
        if copied < MIN_COPY_TOKENS:
            return reading
        rest = self._pace.estimate_model_request(model, unread - copied)
        copy_ms = COPY_BASE_MS + copied * source.ms_per_token
        cost_ms = copied * source.cost_per_token
        saved_ms = slowdown * (reading.expected.prefill_ms - rest.prefill_ms)
        saved_ms *= min(1.0, work_ms / BUSY_MS)
        if saved_ms <= copy_ms + cost_ms:
            return reading
        return _Way(rest, unread - copied, copied, copy_ms, cost_ms)

    def _choose_plain(
        self,
        servers: Sequence[documents.BackendServer],
        now_ms: int,
        seed: int,
    ) -> ServerChoice | None:
        best: ServerChoice | None = None
        best_score = 0.0
        for position, server in enumerate(servers):
            load = self._loads.remaining(server.id, now_ms)
            expected = self._pace.estimate_plain_request(server.service)
            slowness = self._pace.slowdown(server.id, now_ms)
            rounds = load.running / max(1, server.slots)
            first_ms = slowness * expected.first_byte_ms * (1 + rounds)
            score = first_ms + self._extra_ms(server, load)
            score += ((seed >> position) & 1) * 0.5
            if best is None or score < best_score:
                best_score = score
                queued = load.running >= server.slots
                best = ServerChoice(
                    server,
                    0.0,
                    first_ms,
                    expected.work_ms,
                    load.work_ms / max(1, server.slots),
                    0,
                    queued,
                )
        return best

    def _extra_ms(
        self, server: documents.BackendServer, load: loads.Load
    ) -> float:
        """Returns what speaks against a server besides its speed."""
        share = self._suspects.failure_share(server.id, server.service)
        far = ZONE_MS if server.zone != self._zone else 0.0
        return load.running * RUNNING_MS + far + share * FAILURE_MS


def _find_source(
    service: documents.Service | None,
    servers: Sequence[documents.BackendServer],
    cached_by_server: dict[str, prefixes.CachedTokens],
) -> _Source:
    """Finds the server from which most of a prompt can be copied."""
    if service is None or not service.token_bytes or not service.link_mbps:
        return NO_SOURCE
    source = max(
        servers,
        key=lambda each: cached_by_server[each.id].ready_tokens,
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
