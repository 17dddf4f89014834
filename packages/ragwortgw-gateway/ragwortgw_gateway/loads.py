"""Work that is known to be under way at each backend server."""

from collections.abc import Iterable
from typing import NamedTuple

from ragwortgw_gateway import digests

#: A digest that is older than this no longer counts: its sender is gone,
#: and so is its work.
DIGEST_LIFETIME_MS = 2_500


class Load(NamedTuple):
    """Work at one backend server, of all gateways that are known.

    Args:
      running: Requests in progress.
      pending_ms: Time that the server needs to read prompts that it has
        not begun to answer.
      tokens: Tokens of memory in use.
    """

    running: int
    pending_ms: float
    tokens: int


IDLE = Load(0, 0.0, 0)


class _Work:
    """One attempt of this gateway."""

    __slots__ = ('server_id', 'prompt_ms', 'tokens', 'answered')

    def __init__(self, server_id: str, prompt_ms: float, tokens: int) -> None:
        self.server_id = server_id
        self.prompt_ms = prompt_ms
        self.tokens = tokens
        self.answered = False


class LoadBook:
    """Adds up the attempts of this gateway and what others told."""

    def __init__(self) -> None:
        self._works_by_attempt: dict[str, _Work] = {}
        self._own_by_server: dict[str, Load] = {}
        self._others_by_sender: dict[
            str, tuple[int, dict[str, digests.ServerLoad]]
        ] = {}
        self._others_by_server: dict[str, Load] = {}

    def begin(
        self, attempt_id: str, server_id: str, prompt_ms: float, tokens: int
    ) -> None:
        """Counts an attempt that is sent."""
        work = _Work(server_id, prompt_ms, tokens)
        self._works_by_attempt[attempt_id] = work
        self._add(server_id, 1, prompt_ms, tokens)

    def answered(self, attempt_id: str) -> None:
        """Takes note that the prompt of an attempt is read."""
        work = self._works_by_attempt.get(attempt_id)
        if work is not None and not work.answered:
            work.answered = True
            self._add(work.server_id, 0, -work.prompt_ms, 0)

    def end(self, attempt_id: str) -> None:
        """Counts an attempt that is over, once."""
        self.answered(attempt_id)
        work = self._works_by_attempt.pop(attempt_id, None)
        if work is not None:
            self._add(work.server_id, -1, 0.0, -work.tokens)

    def heard(
        self,
        sender: str,
        loads_by_server: dict[str, digests.ServerLoad],
        now_ms: int,
    ) -> None:
        """Takes the work of another gateway as it told."""
        self._others_by_sender[sender] = (now_ms, loads_by_server)
        self._sum_others()

    def expire(self, now_ms: int) -> None:
        """Forgets gateways that fell silent."""
        oldest_ms = now_ms - DIGEST_LIFETIME_MS
        silent = [
            sender
            for sender, (heard_ms, _) in self._others_by_sender.items()
            if heard_ms < oldest_ms
        ]
        for sender in silent:
            del self._others_by_sender[sender]
        if silent:
            self._sum_others()

    def at(self, server_id: str) -> Load:
        """Returns the work at a server."""
        own = self._own_by_server.get(server_id, IDLE)
        others = self._others_by_server.get(server_id, IDLE)
        return Load(
            own.running + others.running,
            own.pending_ms + others.pending_ms,
            own.tokens + others.tokens,
        )

    def own_running(self, server_id: str) -> int:
        """Returns how many attempts of this gateway run at a server."""
        return self._own_by_server.get(server_id, IDLE).running

    def running(self, server_ids: Iterable[str]) -> int:
        """Returns how many requests run at some servers together."""
        return sum(self.at(server_id).running for server_id in server_ids)

    def own(self) -> dict[str, digests.ServerLoad]:
        """Returns the work of this gateway, to tell others."""
        return {
            server_id: digests.ServerLoad(
                load.running, round(load.pending_ms), load.tokens
            )
            for server_id, load in self._own_by_server.items()
            if load.running
        }

    def _add(
        self, server_id: str, running: int, pending_ms: float, tokens: int
    ) -> None:
        load = self._own_by_server.get(server_id, IDLE)
        if load.running + running <= 0:
            self._own_by_server.pop(server_id, None)
            return
        self._own_by_server[server_id] = Load(
            load.running + running,
            max(0.0, load.pending_ms + pending_ms),
            load.tokens + tokens,
        )

    def _sum_others(self) -> None:
        sums: dict[str, Load] = {}
        for _, loads_by_server in self._others_by_sender.values():
            for server_id, load in loads_by_server.items():
                known = sums.get(server_id, IDLE)
                sums[server_id] = Load(
                    known.running + load.running,
                    known.pending_ms + load.pending_ms,
                    known.tokens + load.tokens,
                )
        self._others_by_server = sums
