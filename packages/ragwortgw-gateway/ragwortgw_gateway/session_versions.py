"""Remembers the version of the backend server that served each session."""

import collections
from typing import NamedTuple

#: Sessions that are remembered; the least recently served are dropped first.
MAX_SESSIONS = 20_000


class Served(NamedTuple):
    """The version that served a session, and when it last did."""

    version: str
    at_ms: int


class SessionVersions:
    """Backend server versions by session id, for the session's lifetime.

    Args:
      lifetime_ms: Time after its last request at which a session ends.
    """

    def __init__(self, lifetime_ms: int) -> None:
        self.lifetime_ms = lifetime_ms
        self._served_by_session: collections.OrderedDict[str, Served] = (
            collections.OrderedDict()
        )

    def record_version(self, session: str, version: str, now_ms: int) -> None:
        """Records the version that serves a session; ignores session ''."""
        if not session:
            return
        self._served_by_session[session] = Served(version, now_ms)
        self._served_by_session.move_to_end(session)
        if len(self._served_by_session) > MAX_SESSIONS:
            self._served_by_session.popitem(last=False)

    def version(self, session: str, now_ms: int) -> str:
        """Returns the version that serves a session, '' if unknown."""
        served = self._served_by_session.get(session)
        if served is None or served.at_ms < now_ms - self.lifetime_ms:
            return ''
        return served.version
