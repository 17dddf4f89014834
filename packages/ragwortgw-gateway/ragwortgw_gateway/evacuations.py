"""Availability zones that operators evacuate.

From the order to its end no request goes to the servers of the zone. It
protects requests from a zone that is about to fail or to be taken away.

The key in the store is the order, and its deletion the end. A store that
was restored from an older copy may hold an order that had ended since; that
one is known by its revision number. Any other order is in force at once:
a zone that is spared for some seconds costs less than requests that are
sent to servers which may be gone.
"""

import collections
from typing import NamedTuple

from ragwortgw_core import platform
from ragwortgw_gateway import documents

#: Ended orders that are remembered; the oldest are dropped first.
MAX_ENDED = 1_024


class Evacuation(NamedTuple):
    """An evacuation in force.

    Args:
      zone: The availability zone.
      revision: Store revision of the order.
      since_ms: When this gateway learned of it.
    """

    zone: str
    revision: int
    since_ms: int


class Evacuations:
    """Evacuations in force.

    Attributes:
      by_zone: The evacuations by zone.
    """

    def __init__(self) -> None:
        self.by_zone: dict[str, Evacuation] = {}
        #: Zone and revision number of orders that have ended.
        self._ended: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def has_ended(self, zone: str, revision: int) -> bool:
        """Returns whether an order has ended before the store was restored.

        Args:
          zone: The zone.
          revision: Store revision of the order, in any epoch.
        """
        return (zone, platform.number_of(revision)) in self._ended

    def begin(self, zone: str, revision: int, now_ms: int) -> bool:
        """Puts an order into force.

        Args:
          zone: The zone.
          revision: Store revision of the order.
          now_ms: The time.
        Returns: Whether the zone was not evacuated before.
        """
        known = self.by_zone.get(zone)
        since_ms = now_ms if known is None else known.since_ms
        self.by_zone[zone] = Evacuation(zone, revision, since_ms)
        return known is None

    def end(self, zone: str) -> Evacuation | None:
        """Ends the evacuation of a zone.

        Returns: The evacuation, None if there was none.
        """
        evacuation = self.by_zone.pop(zone, None)
        if evacuation is not None:
            number = platform.number_of(evacuation.revision)
            self._ended[zone, number] = None
            if len(self._ended) > MAX_ENDED:
                self._ended.popitem(last=False)
        return evacuation

    def servers_outside(
        self, servers: list[documents.BackendServer]
    ) -> list[documents.BackendServer]:
        """Returns the servers that are not in an evacuated zone."""
        if not self.by_zone:
            return servers
        return [each for each in servers if each.zone not in self.by_zone]
