"""Backend servers that asked for a pause in the requests of this gateway.

It protects a server that refuses requests and says for how long it wants
none: until then nothing is sent to it, neither requests nor retries. That is
no failure of the server and does not count as one. The server asks each
gateway for itself, so that peers are not told.
"""

from ragwortgw_gateway import documents

#: Longest pause that is granted, whatever the server asks for.
MAX_PAUSE_MS = 600_000
#: The end of a pause is delayed at random, by up to this fraction of it:
#: servers ask many gateways at once, and these would return together.
SPREAD_FRACTION = 0.25
MAX_SPREAD_MS = 1_000.0
#: Number of random values of the delay.
SPREAD_STEPS = 1_024


class BackoffTracker:
    """Ends of pauses by backend server."""

    def __init__(self) -> None:
        #: (start time of the server's process, end of the pause), in ms.
        self._pauses_by_server: dict[str, tuple[int, int]] = {}

    def pause(
        self,
        server_id: str,
        started_ms: int,
        pause_ms: int,
        now_ms: int,
        seed: int,
    ) -> int:
        """Records that a server asked for a pause; a longer one stays.

        Args:
          server_id: The backend server.
          started_ms: When its process started; another start is not bound.
          pause_ms: Length of the pause.
          now_ms: The time.
          seed: Random number for the delay of its end.
        Returns: When the pause ends.
        """
        pause_ms = min(pause_ms, MAX_PAUSE_MS)
        spread_ms = min(MAX_SPREAD_MS, pause_ms * SPREAD_FRACTION)
        delay_ms = spread_ms * (seed % SPREAD_STEPS) / SPREAD_STEPS
        until_ms = now_ms + pause_ms + round(delay_ms)
        known_start_ms, known_until_ms = self._pauses_by_server.get(
            server_id, (started_ms, 0)
        )
        if known_start_ms == started_ms:
            until_ms = max(until_ms, known_until_ms)
        self._pauses_by_server[server_id] = (started_ms, until_ms)
        return until_ms

    def paused(self, server: documents.BackendServer, now_ms: int) -> bool:
        """Returns whether a server wants no requests now."""
        return self.until_ms(server) > now_ms

    def until_ms(self, server: documents.BackendServer) -> int:
        """Returns when a server's latest pause ends, 0 if it had none."""
        started_ms, until_ms = self._pauses_by_server.get(server.id, (0, 0))
        return until_ms if started_ms == server.started_ms else 0

    def forget(self, server_id: str) -> None:
        """Removes a server that is gone or was restarted."""
        self._pauses_by_server.pop(server_id, None)
