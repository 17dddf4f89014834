"""Remembers refused requests, so that those that come back go first."""

import collections

MAX_REFUSED = 4_096


class RefusalHistory:
    """Refused requests by fingerprint, until their deadline."""

    def __init__(self) -> None:
        self._refused_by_fingerprint: collections.OrderedDict[
            int, tuple[int, int]
        ] = collections.OrderedDict()

    def record_refusal(
        self, fingerprint: int, now_ms: int, deadline_ms: int
    ) -> None:
        """Takes note that a request was told to come back."""
        self._refused_by_fingerprint[fingerprint] = (now_ms, deadline_ms)
        self._refused_by_fingerprint.move_to_end(fingerprint)
        if len(self._refused_by_fingerprint) > MAX_REFUSED:
            self._refused_by_fingerprint.popitem(last=False)

    def is_retry(self, fingerprint: int, now_ms: int) -> bool:
        """Tells whether a request was refused before."""
        refused = self._refused_by_fingerprint.get(fingerprint)
        if refused is None:
            return False
        refused_ms, deadline_ms = refused
        return refused_ms < now_ms < deadline_ms
