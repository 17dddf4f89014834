"""Which parts of prompts each backend server is thought to hold."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from ragwortgw_gateway import digests
from ragwortgw_gateway import requests

#: Parts remembered of one server where its memory is not known.
MAX_BLOCKS = 512


class CachedTokens(NamedTuple):
    """How much of a prompt a server holds.

    Args:
      tokens: Tokens that it holds once it has done what it was sent.
      ready_tokens: Tokens that it has read by now, which others may copy.
    """

    tokens: int
    ready_tokens: int


class _Part(NamedTuple):
    """A part that a server holds, or is about to read."""

    tokens: int
    ready_ms: int


class _Cache:
    """Parts at one server for one model, least recently used first."""

    def __init__(self) -> None:
        self.parts_by_id: collections.OrderedDict[str, _Part] = (
            collections.OrderedDict()
        )
        self.tokens = 0


class PrefixCacheIndex:
    """Remembers what was sent where; forgets as the servers do."""

    def __init__(self) -> None:
        self._caches_by_server: dict[str, dict[str, _Cache]] = {}

    def record_prefill(
        self, record_prefill: digests.Prefill, cache_tokens: int, now_ms: int
    ) -> None:
        """Takes note that a server reads the parts of a prompt.

        Args:
          read: The prompt; each model has a cache of its own.
          cache_tokens: Memory of the server in tokens, 0 if not known.
          now_ms: The time.
        """
        caches = self._caches_by_server.setdefault(record_prefill.server, {})
        cache = caches.setdefault(record_prefill.model, _Cache())
        ready_ms = now_ms + record_prefill.ready_in_ms
        for part in reversed(record_prefill.blocks):
            known = cache.parts_by_id.pop(part.id, None)
            if known is not None:
                cache.tokens -= known.tokens
            cache.parts_by_id[part.id] = _Part(
                part.tokens,
                ready_ms if known is None else min(known.ready_ms, ready_ms),
            )
            cache.tokens += part.tokens
        limit_tokens = cache_tokens // max(1, len(caches))
        while len(cache.parts_by_id) > 1 and (
            len(cache.parts_by_id) > MAX_BLOCKS
            or (limit_tokens and cache.tokens > limit_tokens)
        ):
            _, dropped = cache.parts_by_id.popitem(last=False)
            cache.tokens -= dropped.tokens

    def cached(
        self,
        server_id: str,
        model: str,
        blocks: Sequence[requests.PrefixBlock],
        now_ms: int,
    ) -> CachedTokens:
        """Returns how much of a prompt a server need not read again.

        A part counts only if all parts before it are held too.
        """
        cache = self._caches_by_server.get(server_id, {}).get(model)
        tokens = ready_tokens = 0
        for part in blocks if cache is not None else ():
            known = cache.parts_by_id.get(part.id)  # type: ignore[union-attr]
            if known is None:
                break
            if known.ready_ms <= now_ms and ready_tokens == tokens:
                ready_tokens += part.tokens
            tokens += part.tokens
        return CachedTokens(tokens, ready_tokens)

    def forget(self, server_id: str) -> None:
        """Forgets a server that is gone or started anew."""
        self._caches_by_server.pop(server_id, None)


def rendezvous_rank(affinity: str, server_id: str) -> int:
    """Ranks a server for a prefix; the lowest rank is the prefix's home.

    Every gateway computes the same rank, so that requests that share a
    prefix meet at one server without any message.
    """
    return xxhash.xxh64_intdigest(f'{affinity} {server_id}'.encode())
