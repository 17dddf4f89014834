"""The engine's prefix cache and the events that it publishes."""

import collections
import random
from typing import NamedTuple

import xxhash

from ragwortgw_fakes import answers

BLOCK_CHARS = 256
BLOCK_TOKENS = BLOCK_CHARS // answers.CHARS_PER_TOKEN
MAX_EVENTS = 10_000


class Event(NamedTuple):
    """A prefix came into the cache or left it."""

    sequence: int
    prefix: str
    present: bool
    visible_at_ms: int


def blocks(prompt: str) -> list[str]:
    """Returns the hashes of all prefixes of whole blocks, short to long.

    Args:
      prompt: The prompt.
    Returns: xxh3-64 in hex of the UTF-8 of the first 256, 512, ... characters.
    """
    hasher = xxhash.xxh3_64()
    hashes = []
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        hasher.update(prompt[end - BLOCK_CHARS : end].encode())
        hashes.append(hasher.hexdigest())
    return hashes


class PrefixCache:
    """Keeps the prefixes used last, within a limited memory.

    Args:
      capacity_tokens: Tokens that fit in.
      event_lag_ms: Time until an event can be read.
      gap_share: Share of events that are never published.
      seed: Seed of the gaps.
    """

    def __init__(
        self,
        capacity_tokens: int,
        event_lag_ms: int,
        gap_share: float,
        seed: int = 0,
    ) -> None:
        self._capacity = max(1, capacity_tokens // BLOCK_TOKENS)
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[Event] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._sequence = 0
        self._random = random.Random(seed)
        self.event_lag_ms = event_lag_ms
        self.gap_share = gap_share

    def use(self, prompt: str, now_ms: int) -> int:
        """Looks a prompt up and takes it in.

        Args:
          prompt: The prompt.
          now_ms: Unix ms.
        Returns: The number of its tokens that were cached.
        """
        hashes = blocks(prompt)
        hits = 0
        for prefix in hashes:
            if prefix not in self._blocks:
                break
            hits += 1
        for prefix in hashes:
            if prefix not in self._blocks:
                self._publish(prefix, True, now_ms)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(evicted, False, now_ms)
        return hits * BLOCK_TOKENS

    def clear(self) -> None:
        """Forgets everything, unpublished events too."""
        self._blocks.clear()
        self._events.clear()

    def fill(self) -> float:
        """Returns the used share of the memory, in 0..1."""
        return len(self._blocks) / self._capacity

    def events(self, after: int, now_ms: int) -> list[Event]:
        """Returns the events after a sequence number that are visible."""
        return [
            event
            for event in self._events
            if event.sequence > after and event.visible_at_ms <= now_ms
        ]

    def _publish(self, prefix: str, present: bool, now_ms: int) -> None:
        self._sequence += 1
        if self._random.random() < self.gap_share:
            return
        self._events.append(
            Event(self._sequence, prefix, present, now_ms + self.event_lag_ms)
        )
