"""Memory that a process holds for others, by owner, under one limit.

Answers the load of callers that send much or read little: what one of them
takes is bounded by the buffers of its connection, what all of them take only
by this limit. Above it the connections that hold most are cut, the newest
first among equals, so that callers of ordinary requests, for which next to
nothing is held, come last.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import Literal, NamedTuple

#: What is held: bodies of requests, answers that are not passed on before
#: they are whole, what came from servers and is not passed on (and what the
#: kernel may keep of it), what the kernel has not accepted for sending.
Owner = Literal['requests', 'answers', 'unread', 'unsent']

#: Share of the limit to which the cut connections bring what is held, so that
#: they are not looked for at each further byte.
RELIEF_SHARE = 0.75
#: Share of the limit from which on connections are read in small pieces: all
#: that are readable at once are read before any of it can be passed on.
SCARCE_SHARE = 0.25


class Holder(NamedTuple):
    """A connection for which memory is held.

    Args:
      held_bytes: How much.
      number: Rises with each connection.
    """

    held_bytes: int
    number: int


class MemoryBudget:
    """Counts the bytes that are held.

    Attributes:
      limit_bytes: What may be held, 0 for no limit.
      held_bytes: What is held.
      on_exceeded: Called whenever more is held afterwards than the limit.
    """

    def __init__(self, limit_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.on_exceeded: Callable[[], None] = lambda: None
        self._bytes_by_owner: collections.Counter[Owner] = (
            collections.Counter()
        )

    @property
    def exceeded(self) -> bool:
        """Whether more is held than the limit."""
        return 0 < self.limit_bytes < self.held_bytes

    @property
    def scarce(self) -> bool:
        """Whether so much is held that less has to be taken at once."""
        scarce_bytes = self.limit_bytes * SCARCE_SHARE
        return 0 < scarce_bytes < self.held_bytes

    @property
    def excess_bytes(self) -> int:
        """Bytes to be freed for a relief that lasts."""
        if not self.exceeded:
            return 0
        return self.held_bytes - int(self.limit_bytes * RELIEF_SHARE)

    @property
    def bytes_by_owner(self) -> dict[Owner, int]:
        """What is held, by owner."""
        return dict(self._bytes_by_owner)

    def hold(self, owner: Owner, size_bytes: int) -> None:
        """Adds to what is held.

        Args:
          owner: What it is.
          size_bytes: How much; negative to release.
        """
        self._bytes_by_owner[owner] += size_bytes
        self.held_bytes += size_bytes
        if size_bytes > 0 and self.exceeded:
            self.on_exceeded()


def choose_holders(
    holders: Iterable[Holder], excess_bytes: int
) -> list[Holder]:
    """Chooses the connections to be cut.

    Args:
      holders: All of them.
      excess_bytes: What their end has to free.
    Returns: The largest ones, the newest first among equals; all that hold
      anything if they do not suffice.
    """
    chosen: list[Holder] = []
    for holder in sorted(holders, reverse=True):
        if excess_bytes <= 0 or holder.held_bytes <= 0:
            break
        chosen.append(holder)
        excess_bytes -= holder.held_bytes
    return chosen
