"""Counts the recently active sessions by the version that served them."""

import collections

import xxhash

WINDOW_MS = 15 * 60_000
MAX_SESSIONS = 20_000


class RecentSessions:
    """Records by which version each recent session was last served.

    Only hashes of session ids are kept, at most MAX_SESSIONS of them; the
    least recently active is evicted first.
    """

    def __init__(self) -> None:
        self._seen_by_hash: collections.OrderedDict[int, tuple[str, int]] = (
            collections.OrderedDict()
        )

    def record(self, session: str, version: str, now_ms: int) -> None:
        """Records that a session was served.

        Args:
          session: Session id.
          version: Id of the version that served it.
          now_ms: Unix ms.
        """
        session_hash = xxhash.xxh64_intdigest(session.encode())
        self._seen_by_hash[session_hash] = (version, now_ms)
        self._seen_by_hash.move_to_end(session_hash)
        if len(self._seen_by_hash) > MAX_SESSIONS:
            self._seen_by_hash.popitem(last=False)

    def count_by_version(self, now_ms: int) -> dict[str, int]:
        """Counts the sessions active within WINDOW_MS, by version id."""
        counts_by_version: dict[str, int] = {}
        for version, seen_at_ms in self._seen_by_hash.values():
            if seen_at_ms > now_ms - WINDOW_MS:
                counts_by_version[version] = (
                    counts_by_version.get(version, 0) + 1
                )
        return counts_by_version
