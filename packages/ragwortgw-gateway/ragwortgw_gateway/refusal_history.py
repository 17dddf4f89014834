"""Remembers refused requests, so that their retries are admitted first."""

import collections

#: Refusals that are remembered; the oldest are dropped first.
MAX_REFUSED = 4_096


class RefusalHistory:
    """Refused requests by fingerprint, with their deadlines."""

    def __init__(self) -> None:
        #: (time of the refusal, deadline) in ms.
        self._refused_by_fingerprint: collections.OrderedDict[
            int, tuple[int, int]
        ] = collections.OrderedDict()

    def record_refusal(
        self, fingerprint: int, now_ms: int, deadline_ms: int
    ) -> None:
        """Records that a request was refused with a Retry-After.

        Args:
          fingerprint: Hash of the request.
          now_ms: The time.
          deadline_ms: Deadline of the request; after it, the same request
            counts as new, not as a retry.
        """
        self._refused_by_fingerprint[fingerprint] = (now_ms, deadline_ms)
        self._refused_by_fingerprint.move_to_end(fingerprint)
        if len(self._refused_by_fingerprint) > MAX_REFUSED:
            self._refused_by_fingerprint.popitem(last=False)

    def is_retry(self, fingerprint: int, now_ms: int) -> bool:
        """Returns whether a request is a retry of a refused one.

        It counts as one until the deadline of the refused request.
        """
        refusal = self._refused_by_fingerprint.get(fingerprint)
        if refusal is None:
            return False
        refused_ms, deadline_ms = refusal
        return refused_ms < now_ms < deadline_ms
