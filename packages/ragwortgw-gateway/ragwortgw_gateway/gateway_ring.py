"""Tracks which gateways send requests, for limits that all of them share.

A limit that holds without any message is divided among all gateways that may
send. Too few in the count would exceed the limit, too many only leave some of
it unused. So a gateway counts unless it reports itself that no caller sends
it requests, and one that nobody reports any more counts for some time.
"""

from collections.abc import Iterable
from typing import NamedTuple

#: Time between two updates of the share.
UPDATE_MS = 250
#: A gateway that is no longer listed, nor sends digests, counts for this
#: long: it may only have lost its connections.
MEMORY_MS = 10_000
#: Time without a request from a caller after which a gateway reports that it
#: sends nothing.
IDLE_MS = 10_000
#: A gateway that sent nothing takes part again this long after its first
#: request: peers have to learn of it first. With as many gateways as a digest
#: reaches in five turns, that is how long a digest takes to reach all.
JOIN_MS = 2_000
#: A gateway that reaches neither the store nor a peer may not know of all
#: gateways; it assumes this many times those that it knows, and at least
#: ISOLATED_MIN.
ISOLATED_FACTOR = 2
ISOLATED_MIN = 16


class Share(NamedTuple):
    """A gateway's part of what all gateways may do.

    Args:
      members: Ids of the gateways that take part, in a fixed order.
      assumed: Number of gateways that is assumed, at least len(members).
      begins_ms: When this gateway may take its part.
    """

    members: tuple[str, ...]
    assumed: int
    begins_ms: int


class GatewayRing:
    """Gateways that may send requests to backend servers.

    Args:
      host_id: Id of this gateway's host.
    """

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._seen_ms_by_id: dict[str, int] = {}
        #: Peers that report that they send nothing.
        self._idle_ids: set[str] = set()
        self._request_ms: int | None = None
        self._joined_ms = 0
        self._due_ms = 0
        self.share = Share((host_id,), ISOLATED_MIN, 0)

    def record_request(self, now_ms: int) -> None:
        """Records that a caller sent this gateway a request."""
        if not self.serving(now_ms):
            self._joined_ms = now_ms + JOIN_MS
        self._request_ms = now_ms

    def serving(self, now_ms: int) -> bool:
        """Returns whether callers have sent requests lately."""
        return (
            self._request_ms is not None
            and now_ms - self._request_ms < IDLE_MS
        )

    def record_peer(self, host_id: str, serving: bool) -> None:
        """Records whether a peer reports that callers send it requests."""
        if serving:
            self._idle_ids.discard(host_id)
        else:
            self._idle_ids.add(host_id)

    def update(
        self,
        listed_ids: Iterable[str],
        live_ids: Iterable[str],
        reaches_store: bool,
        now_ms: int,
    ) -> Share:
        """Updates the part of this gateway.

        Args:
          listed_ids: Gateways that the store lists.
          live_ids: Peers whose digests arrive.
          reaches_store: Whether the store answers.
          now_ms: The time.
        Returns: The part.
        """
        if now_ms < self._due_ms:
            return self.share
        self._due_ms = now_ms + UPDATE_MS
        live_ids = frozenset(live_ids)
        for host_id in (*listed_ids, *live_ids):
            self._seen_ms_by_id[host_id] = now_ms
        for host_id, seen_ms in list(self._seen_ms_by_id.items()):
            if now_ms - seen_ms > MEMORY_MS:
                del self._seen_ms_by_id[host_id]
        # The report of a peer that is silent now may be out of date.
        self._idle_ids &= live_ids
        known_ids = self._seen_ms_by_id.keys() | {self._host_id}
        members = tuple(sorted(known_ids - (self._idle_ids - {self._host_id})))
        count = len(members)
        if not (reaches_store or live_ids):
            count = max(ISOLATED_FACTOR * count, ISOLATED_MIN)
        begins_ms = self._joined_ms if len(known_ids) > 1 else 0
        self.share = Share(members, count, begins_ms)
        return self.share
