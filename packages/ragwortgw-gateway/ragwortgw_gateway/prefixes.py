"""Tracks which prefix blocks each backend server has in its KV cache.

The index is an estimate: it follows what was sent to each server and evicts
blocks in the order in which the server is expected to.
"""

import collections
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from ragwortgw_gateway import digests
from ragwortgw_gateway import requests

#: Blocks that are remembered of one server and model.
MAX_BLOCKS = 512


class CachedTokens(NamedTuple):
    """How much of a prompt a server has in its cache.

    Args:
      tokens: Tokens cached once all prompts sent so far are prefilled.
      ready_tokens: Tokens cached by now, which other servers may copy.
    """

    tokens: int
    ready_tokens: int


class _Block(NamedTuple):
    """A block that a server has cached, or will have cached at ready_ms."""

    tokens: int
    ready_ms: int


class _Cache:
    """Blocks of one model at one server by id, least recently used first."""

    def __init__(self) -> None:
        self.blocks: collections.OrderedDict[str, _Block] = (
            collections.OrderedDict()
        )
        self.tokens = 0


class PrefixCacheIndex:
    """Index of the prefix blocks by backend server and model."""

    def __init__(self) -> None:
        self._caches_by_server: dict[str, dict[str, _Cache]] = {}

    def record_prefill(
        self, prefill: digests.Prefill, cache_tokens: int, now_ms: int
    ) -> None:
        """Records that a server prefills the blocks of a prompt.

        Args:
          prefill: The prompt; each model has a cache of its own.
          cache_tokens: KV cache of the server in tokens, 0 if unknown. It
            is divided equally among the server's models.
          now_ms: The time.
        """
        caches = self._caches_by_server.setdefault(prefill.server, {})
        cache = caches.setdefault(prefill.model, _Cache())
        ready_ms = now_ms + prefill.ready_in_ms
        for block in reversed(prefill.blocks):
            known = cache.blocks.pop(block.id, None)
            if known is not None:
                cache.tokens -= known.tokens
            cache.blocks[block.id] = _Block(
                block.tokens,
                ready_ms if known is None else min(known.ready_ms, ready_ms),
            )
            cache.tokens += block.tokens
        limit_tokens = cache_tokens // max(1, len(caches))
        while len(cache.blocks) > 1 and (
            len(cache.blocks) > MAX_BLOCKS
            or (limit_tokens and cache.tokens > limit_tokens)
        ):
            _, evicted = cache.blocks.popitem(last=False)
            cache.tokens -= evicted.tokens

    def cached(
        self,
        server_id: str,
        model: str,
        blocks: Sequence[requests.PrefixBlock],
        now_ms: int,
    ) -> CachedTokens:
        """Returns how much of a prompt is in a server's cache.

        A block counts only if all blocks before it are cached too.

        Args:
          server_id: The backend server.
          model: The model.
          blocks: Prefix blocks of the prompt in order.
          now_ms: The time.
        """
        cache = self._caches_by_server.get(server_id, {}).get(model)
        tokens = ready_tokens = 0
        for block in blocks if cache is not None else ():
            known = cache.blocks.get(block.id)  # type: ignore[union-attr]
            if known is None:
                break
            if known.ready_ms <= now_ms and ready_tokens == tokens:
                ready_tokens += block.tokens
            tokens += block.tokens
        return CachedTokens(tokens, ready_tokens)

    def forget(self, server_id: str) -> None:
        """Removes a server that is gone or was restarted."""
        self._caches_by_server.pop(server_id, None)


def rendezvous_rank(affinity: str, server_id: str) -> int:
    """Ranks a server for a prefix by rendezvous hashing.

    The server with the lowest rank owns the prefix. Every gateway computes
    the same rank, so that requests with a common prefix go to the same
    server without any message between gateways.

    Args:
      affinity: Id of the prefix (see requests.Prompt.affinity).
      server_id: The backend server.
    """
    return xxhash.xxh64_intdigest(f'{affinity} {server_id}'.encode())
