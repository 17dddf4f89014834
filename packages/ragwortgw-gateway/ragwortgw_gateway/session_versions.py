"""Remembers which version served each session last."""

import collections
from typing import NamedTuple

MAX_SESSIONS = 20_000


class Served(NamedTuple):
    """The version that served a session, and when it last did."""

    version: str
    at_ms: int


class SessionVersions:
    """Versions by session, for as long as a session lasts.

    Args:
      lifetime_ms: Time after its last request at which a session ends.
    """

    def __init__(self, lifetime_ms: int) -> None:
        self.lifetime_ms = lifetime_ms
        self._served_by_session: collections.OrderedDict[str, Served] = (
            collections.OrderedDict()
        )

    def record_version(self, session: str, version: str, now_ms: int) -> None:
        """Takes note that a version serves a session now."""
        if not session:
            return
        self._served_by_session[session] = Served(version, now_ms)
        self._served_by_session.move_to_end(session)
        if len(self._served_by_session) > MAX_SESSIONS:
            self._served_by_session.popitem(last=False)

    def version(self, session: str, now_ms: int) -> str:
        """Returns the version that a session has to stay on, '' for none."""
        served = self._served_by_session.get(session)
        if served is None or served.at_ms < now_ms - self.lifetime_ms:
            return ''
        return served.version
