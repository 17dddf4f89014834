"""Work that is known to be under way at each backend server.

What is known are the prompts that were sent and not answered yet. A server
reads them one after the other, so that part of the oldest one is done; how
much, is estimated from the time since the last one was.
"""

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
      work_ms: Time that it needs to finish all requests.
      tokens: Tokens of memory in use.
    """

    running: int
    pending_ms: float
    work_ms: float
    tokens: int


IDLE = Load(0, 0.0, 0.0, 0)
NO_WORK = digests.ServerLoad(0, 0, 0, 0)


class _Work:
    """One attempt of this gateway."""

    __slots__ = (
        'server_id',
        'prefill_ms',
        'work_ms',
        'tokens',
        'prefill_done',
    )

    def __init__(
        self, server_id: str, prefill_ms: float, work_ms: float, tokens: int
    ) -> None:
        self.server_id = server_id
        self.prefill_ms = prefill_ms
        self.work_ms = work_ms
        self.tokens = tokens
        self.prefill_done = False


class LoadTracker:
    """Adds up the attempts of this gateway and what others told."""

    def __init__(self) -> None:
        self._works_by_attempt: dict[str, _Work] = {}
        self._own_by_server: dict[str, Load] = {}
        self._others_by_sender: dict[
            str, tuple[int, dict[str, digests.ServerLoad]]
        ] = {}
        self._others_by_server: dict[str, Load] = {}
        #: Since when each server reads the oldest prompt that it has.
        self._reading_since_ms_by_server: dict[str, int] = {}

    def add_attempt(
        self,
        attempt_id: str,
        server_id: str,
        prefill_ms: float,
        work_ms: float,
        tokens: int,
        now_ms: int,
    ) -> None:
        """Counts an attempt that is sent.

        Args:
          attempt_id: The attempt.
          server_id: The backend server.
          prompt_ms: Time that the server needs to read the prompt.
          work_ms: Time that it needs in all, with the prompt.
          tokens: Tokens of memory that it takes.
          now_ms: The time.
        """
        work = _Work(server_id, prefill_ms, work_ms, tokens)
        self._works_by_attempt[attempt_id] = work
        self._add(server_id, Load(1, prefill_ms, work_ms, tokens), now_ms)

    def prefill_done(self, attempt_id: str, now_ms: int) -> None:
        """Takes note that the prompt of an attempt is read."""
        work = self._works_by_attempt.get(attempt_id)
        if work is not None and not work.prefill_done:
            work.prefill_done = True
            work.work_ms -= work.prefill_ms
            change = Load(0, -work.prefill_ms, -work.prefill_ms, 0)
            self._add(work.server_id, change, now_ms)

    def remove_attempt(self, attempt_id: str, now_ms: int) -> None:
        """Counts an attempt that is over, once."""
        self.prefill_done(attempt_id, now_ms)
        work = self._works_by_attempt.pop(attempt_id, None)
        if work is not None:
            change = Load(-1, 0.0, -work.work_ms, -work.tokens)
            self._add(work.server_id, change, now_ms)

    def merge_remote(
        self,
        sender: str,
        loads_by_server: dict[str, digests.ServerLoad],
        now_ms: int,
    ) -> None:
        """Takes the work of another gateway as it told."""
        _, before_by_server = self._others_by_sender.get(sender, (0, {}))
        for server_id in before_by_server.keys() | loads_by_server.keys():
            before = before_by_server.get(server_id, NO_WORK)
            told = loads_by_server.get(server_id, NO_WORK)
            change_ms = told.pending_ms - before.pending_ms
            self._read_on(server_id, change_ms, now_ms)
        self._forget(sender)
        self._others_by_sender[sender] = (now_ms, loads_by_server)
        for server_id, load in loads_by_server.items():
            known = self._others_by_server.get(server_id, IDLE)
            self._others_by_server[server_id] = _sum(known, Load(*load))

    def add_remote(
        self,
        sender: str,
        server_id: str,
        load: digests.ServerLoad,
        now_ms: int,
    ) -> None:
        """Adds an attempt of another gateway, until it tells all anew."""
        told = self._others_by_sender.get(sender)
        if told is None:
            return
        loads_by_server = told[1]
        known = loads_by_server.get(server_id, NO_WORK)
        loads_by_server[server_id] = digests.ServerLoad(
            *(have + more for have, more in zip(known, load, strict=True))
        )
        self._read_on(server_id, load.pending_ms, now_ms)
        others = self._others_by_server.get(server_id, IDLE)
        self._others_by_server[server_id] = _sum(others, Load(*load))

    def expire(self, now_ms: int) -> None:
        """Forgets gateways that fell silent."""
        oldest_ms = now_ms - DIGEST_LIFETIME_MS
        silent = [
            sender
            for sender, (heard_ms, _) in self._others_by_sender.items()
            if heard_ms < oldest_ms
        ]
        for sender in silent:
            self._forget(sender)

    def remaining(self, server_id: str, now_ms: int) -> Load:
        """Returns the work that a server still has to do.

        A server that should have answered by now may be slow, or gone: the
        longer it is overdue, the longer it may still take.
        """
        load = self.outstanding(server_id)
        if not load.pending_ms:
            return load
        since_ms = self._reading_since_ms_by_server.get(server_id, now_ms)
        left_ms = load.pending_ms - (now_ms - since_ms)
        pending_ms = min(load.pending_ms, abs(left_ms))
        done_ms = load.pending_ms - pending_ms
        return load._replace(
            pending_ms=pending_ms, work_ms=max(0.0, load.work_ms - done_ms)
        )

    def outstanding(self, server_id: str) -> Load:
        """Returns all that a server was sent and has not finished."""
        own = self._own_by_server.get(server_id, IDLE)
        others = self._others_by_server.get(server_id)
        return own if others is None else _sum(own, others)

    def running(self, server_ids: Iterable[str]) -> int:
        """Returns how many requests run at some servers together."""
        return sum(
            self.outstanding(server_id).running for server_id in server_ids
        )

    def local(self) -> dict[str, digests.ServerLoad]:
        """Returns the work of this gateway, to tell others."""
        return {
            server_id: digests.ServerLoad(
                load.running,
                round(load.pending_ms),
                round(load.work_ms),
                load.tokens,
            )
            for server_id, load in self._own_by_server.items()
            if load.running
        }

    def _add(self, server_id: str, change: Load, now_ms: int) -> None:
        self._read_on(server_id, change.pending_ms, now_ms)
        load = _sum(self._own_by_server.get(server_id, IDLE), change)
        if load.running <= 0:
            self._own_by_server.pop(server_id, None)
        else:
            self._own_by_server[server_id] = load

    def _read_on(self, server_id: str, change_ms: float, now_ms: int) -> None:
        """Keeps up how much a server has read, before its queue changes.

        What it has read counts for prompts that were answered first.
        """
        pending_ms = self.outstanding(server_id).pending_ms
        if pending_ms + change_ms <= 0:
            self._reading_since_ms_by_server.pop(server_id, None)
            return
        since_ms = self._reading_since_ms_by_server.get(server_id, now_ms)
        read_ms = min(now_ms - since_ms, pending_ms)
        if change_ms < 0:
            read_ms = max(0.0, read_ms + change_ms)
        self._reading_since_ms_by_server[server_id] = now_ms - round(read_ms)

    def _forget(self, sender: str) -> None:
        """Takes off what a gateway told last; it told whole numbers."""
        _, loads_by_server = self._others_by_sender.pop(sender, (0, {}))
        for server_id, load in loads_by_server.items():
            known = self._others_by_server[server_id]
            left = _sum(known, Load(*(-amount for amount in load)))
            if left == IDLE:
                del self._others_by_server[server_id]
            else:
                self._others_by_server[server_id] = left


def _sum(left: Load, right: Load) -> Load:
    return Load(
        left.running + right.running,
        max(0.0, left.pending_ms + right.pending_ms),
        max(0.0, left.work_ms + right.work_ms),
        left.tokens + right.tokens,
    )
