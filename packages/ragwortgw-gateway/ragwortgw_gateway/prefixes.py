"""Which parts of prompts each backend server is thought to hold."""

import collections
from collections.abc import Sequence

import xxhash

from ragwortgw_gateway import digests
from ragwortgw_gateway import requests

#: Parts remembered of one server where its memory is not known.
MAX_PARTS = 512
#: Others are told of a prompt in each digest of this time, in case one
#: datagram is lost.
TELL_MS = 600
#: Prompts told of in one digest; the latest, if there are more.
MAX_TOLD = 48


class _Cache:
    """Parts at one server for one model, least recently used first."""

    def __init__(self) -> None:
        self.tokens_by_part: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0


class PrefixBook:
    """Remembers what was sent where; forgets as the servers do."""

    def __init__(self) -> None:
        self._caches_by_server: dict[str, dict[str, _Cache]] = {}
        self._told: collections.deque[tuple[int, digests.Read]] = (
            collections.deque(maxlen=MAX_TOLD)
        )

    def tell(
        self,
        server_id: str,
        model: str,
        parts: Sequence[requests.PromptPart],
        now_ms: int,
    ) -> None:
        """Keeps the shared parts of a prompt, to tell other gateways."""
        if len(parts) > 1:
            read = digests.Read(server_id, model, tuple(parts[:-1]))
            self._told.append((now_ms, read))

    def told(self, now_ms: int) -> tuple[digests.Read, ...]:
        """Returns what other gateways are to be told."""
        while self._told and self._told[0][0] < now_ms - TELL_MS:
            self._told.popleft()
        return tuple(read for _, read in self._told)

    def read(
        self,
        server_id: str,
        model: str,
        parts: Sequence[requests.PromptPart],
        cache_tokens: int,
    ) -> None:
        """Takes note that a server has read the parts of a prompt.

        Args:
          server_id: The backend server.
          model: The model that read them; each has a cache of its own.
          parts: The parts in order.
          cache_tokens: Memory of the server in tokens, 0 if not known.
        """
        caches = self._caches_by_server.setdefault(server_id, {})
        cache = caches.setdefault(model, _Cache())
        for part in reversed(parts):
            known = cache.tokens_by_part.pop(part.id, 0)
            cache.tokens_by_part[part.id] = part.tokens
            cache.tokens += part.tokens - known
        limit_tokens = cache_tokens // max(1, len(caches))
        while len(cache.tokens_by_part) > 1 and (
            len(cache.tokens_by_part) > MAX_PARTS
            or (limit_tokens and cache.tokens > limit_tokens)
        ):
            _, tokens = cache.tokens_by_part.popitem(last=False)
            cache.tokens -= tokens

    def cached_tokens(
        self,
        server_id: str,
        model: str,
        parts: Sequence[requests.PromptPart],
    ) -> int:
        """Returns how many tokens of a prompt need not be read again.

        A part counts only if all parts before it are held too.
        """
        cache = self._caches_by_server.get(server_id, {}).get(model)
        tokens = 0
        for part in parts if cache is not None else ():
            if part.id not in cache.tokens_by_part:  # type: ignore[union-attr]
                break
            tokens += part.tokens
        return tokens

    def forget(self, server_id: str) -> None:
        """Forgets a server that is gone or started anew."""
        self._caches_by_server.pop(server_id, None)


def home_rank(affinity: str, server_id: str) -> int:
    """Ranks a server for a prefix; the lowest rank is the prefix's home.

    Every gateway computes the same rank, so that requests that share a
    prefix meet at one server without any message.
    """
    return xxhash.xxh64_intdigest(f'{affinity} {server_id}'.encode())
