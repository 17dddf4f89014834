"""Weighs crashes that hold a prefix block against the block's traffic.

A block that a large part of all requests has is among the broken attempts of
nearly every crash, whatever caused it. Its presence says something only as far
as it is not to be expected. What is expected follows from the share of all
attempts that have the block, counted at each gateway and reported to peers.

The null hypothesis is that a block has nothing to do with the crashes: then
each broken attempt has it with the probability of that share.
"""

import collections
import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

#: Probability with which any of the blocks that are compared is found to
#: crash servers if none does.
ERROR_PROBABILITY = 0.001
#: Share of the attempts up to which a block is held by statistics alone; what
#: a more common one would refuse is weighed in a trial first.
SMALL_SHARE = 0.02
#: Time in which counts of attempts decay to 1/e.
DECAY_MS = 20_000
#: Blocks whose attempts are counted, the latest ones.
MAX_BLOCKS = 4_096
#: Blocks of which one report names counts.
MAX_REPORTED_BLOCKS = 256
#: Standard deviations that are added to a share; few attempts say little.
SHARE_DEVIATIONS = 2.0


class Wave(NamedTuple):
    """Servers that crashed together.

    Args:
      attempts: Attempts that it broke.
      held: Whether any of them has the block, and was sent after the wave
        before.
    """

    attempts: int
    held: bool


class Traffic(NamedTuple):
    """Attempts of late, decayed.

    Args:
      attempts: All attempts that have a prompt.
      by_block: Those with a block.
    """

    attempts: float
    by_block: Mapping[str, float]


class Share(NamedTuple):
    """Part of the attempts that have a block.

    Args:
      estimate: The most likely value.
      bound: Upper confidence bound of it, 1 if nothing is known.
    """

    estimate: float
    bound: float


class _Count(NamedTuple):
    amount: float
    at_ms: int

    def at(self, now_ms: int) -> float:
        """Returns what is left of the amount."""
        return self.amount * math.exp((self.at_ms - now_ms) / DECAY_MS)


class BlockTraffic:
    """Counts the attempts with each block, here and at peers."""

    def __init__(self) -> None:
        self._attempts = _Count(0.0, 0)
        self._by_block: collections.OrderedDict[str, _Count] = (
            collections.OrderedDict()
        )
        #: When it was reported, and what, by host id of the peer.
        self._remote_by_sender: dict[str, tuple[int, Traffic]] = {}

    def record_sent(self, blocks: Iterable[str], now_ms: int) -> None:
        """Counts an attempt.

        Args:
          blocks: Ids of the blocks that other requests may share.
          now_ms: The time.
        """
        self._attempts = _add(self._attempts, now_ms)
        for block in blocks:
            known = self._by_block.get(block, _Count(0.0, now_ms))
            self._by_block[block] = _add(known, now_ms)
            self._by_block.move_to_end(block)
        while len(self._by_block) > MAX_BLOCKS:
            self._by_block.popitem(last=False)

    def merge_remote(self, sender: str, traffic: Traffic, now_ms: int) -> None:
        """Replaces what a peer reported."""
        self._remote_by_sender[sender] = (now_ms, traffic)

    def expire(self, now_ms: int) -> None:
        """Removes reports that say nothing of the present any more."""
        for sender, (at_ms, _) in list(self._remote_by_sender.items()):
            if now_ms - at_ms > DECAY_MS:
                del self._remote_by_sender[sender]

    def local(self, blocks: Collection[str], now_ms: int) -> Traffic:
        """Returns what was sent from here, as far as it has some blocks."""
        reported = list(blocks)[:MAX_REPORTED_BLOCKS]
        return Traffic(
            self._attempts.at(now_ms),
            {
                block: self._by_block[block].at(now_ms)
                for block in reported
                if block in self._by_block
            },
        )

    def share(self, block: str, now_ms: int) -> Share:
        """Returns the part of all gateways' attempts that have a block."""
        known = [self.local((block,), now_ms)]
        known += [traffic for _, traffic in self._remote_by_sender.values()]
        total = sum(each.attempts for each in known)
        count = sum(each.by_block.get(block, 0.0) for each in known)
        bound = count + 1 + SHARE_DEVIATIONS * math.sqrt(count + 1)
        return Share(
            min(1.0, count / total) if total >= 1 else 1.0,
            min(1.0, bound / max(1.0, total)),
        )


def chance_of_waves(share: float, waves: Sequence[Wave]) -> float:
    """Returns the probability that at least as many waves hold a block.

    Args:
      share: Part of the attempts that have it.
      waves: The waves.
    Returns: Its probability if the block has nothing to do with them.
    """
    #: Probabilities that 0, 1, 2, ... of the waves hold it.
    chances = [1.0]
    for wave in waves:
        expected = 1 - (1 - share) ** wave.attempts
        chances = [
            before * expected + same * (1 - expected)
            for before, same in zip(
                [0.0, *chances], [*chances, 0.0], strict=True
            )
        ]
    return min(1.0, sum(chances[sum(wave.held for wave in waves) :]))


def is_significant(
    share: Share, waves: Sequence[Wave], compared_blocks: int
) -> bool:
    """Returns whether statistics alone suffice to hold a block.

    Args:
      share: Part of the attempts that have it.
      waves: Waves since its last sound answer.
      compared_blocks: Blocks among the broken attempts, each of which could
        have been found in its place.
    """
    if share.bound > SMALL_SHARE:
        return False
    chance = chance_of_waves(share.bound, waves)
    return chance * max(1, compared_blocks) <= ERROR_PROBABILITY


def _add(count: _Count, now_ms: int) -> _Count:
    return _Count(count.at(now_ms) + 1, now_ms)
