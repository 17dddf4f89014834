"""Tracks the work in progress at each backend server, and its ranks.

The work is that of the attempts which this gateway and its peers have sent
and which have not ended. A server prefills prompts one after the other; how
much of the oldest one is done is estimated from the time since the previous
one ended.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ragwortgw_gateway import digests
from ragwortgw_gateway import moving

#: Time over which the prefill demand of ranks is averaged.
DEMAND_WINDOW_MS = 2_000.0

#: A digest that is older than this is ignored: its sender is dead, and its
#: work has ended.
DIGEST_LIFETIME_MS = 2_500


class Load(NamedTuple):
    """Work at one backend server, of all known gateways together.

    Args:
      running: Requests in progress.
      pending_ms: Time that the server needs to prefill the prompts of
        requests that it has not begun to answer.
      work_ms: Sum of the times that the requests need, each as if it ran
        alone. The server runs them in a batch, and finishes earlier.
      tokens: KV cache that the requests take, in tokens.
    """

    running: int
    pending_ms: float
    work_ms: float
    tokens: int


IDLE = Load(0, 0.0, 0.0, 0)
NO_WORK = digests.ServerLoad(0, 0, 0, 0)


class _AttemptWork:
    """Work of one attempt of this gateway."""

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
    """Adds up the attempts of this gateway and those that peers report."""

    def __init__(self) -> None:
        self._work_by_attempt: dict[str, _AttemptWork] = {}
        self._local_by_server: dict[str, Load] = {}
        #: (when the latest digest arrived, work by server) by peer.
        self._remote_by_sender: dict[
            str, tuple[int, dict[str, digests.ServerLoad]]
        ] = {}
        self._remote_by_server: dict[str, Load] = {}
        #: When each server began to prefill its oldest queued prompt.
        self._prefill_since_ms_by_server: dict[str, int] = {}

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
          prefill_ms: Time that the server needs to prefill the prompt.
          work_ms: Time that it needs in total, including the prefill.
          tokens: KV cache that the attempt takes, in tokens.
          now_ms: The time.
        """
        work = _AttemptWork(server_id, prefill_ms, work_ms, tokens)
        self._work_by_attempt[attempt_id] = work
        self._add(server_id, Load(1, prefill_ms, work_ms, tokens), now_ms)

    def prefill_done(self, attempt_id: str, now_ms: int) -> None:
        """Records that the prefill of an attempt is done."""
        work = self._work_by_attempt.get(attempt_id)
        if work is not None and not work.prefill_done:
            work.prefill_done = True
            work.work_ms -= work.prefill_ms
            change = Load(0, -work.prefill_ms, -work.prefill_ms, 0)
            self._add(work.server_id, change, now_ms)

    def remove_attempt(self, attempt_id: str, now_ms: int) -> None:
        """Removes an attempt that is over; unknown ones are ignored."""
        self.prefill_done(attempt_id, now_ms)
        work = self._work_by_attempt.pop(attempt_id, None)
        if work is not None:
            change = Load(-1, 0.0, -work.work_ms, -work.tokens)
            self._add(work.server_id, change, now_ms)

    def merge_remote(
        self,
        sender: str,
        loads_by_server: dict[str, digests.ServerLoad],
        now_ms: int,
    ) -> None:
        """Replaces the work of a peer by that in its latest digest.

        Args:
          sender: Host id of the peer.
          loads_by_server: Its work by backend server.
          now_ms: The time.
        """
        _, before_by_server = self._remote_by_sender.get(sender, (0, {}))
        for server_id in before_by_server.keys() | loads_by_server.keys():
            before = before_by_server.get(server_id, NO_WORK)
            reported = loads_by_server.get(server_id, NO_WORK)
            change_ms = reported.pending_ms - before.pending_ms
            self._advance_prefill(server_id, change_ms, now_ms)
        self._remove_sender(sender)
        self._remote_by_sender[sender] = (now_ms, loads_by_server)
        for server_id, load in loads_by_server.items():
            known = self._remote_by_server.get(server_id, IDLE)
            self._remote_by_server[server_id] = _sum(known, Load(*load))

    def add_remote(
        self,
        sender: str,
        server_id: str,
        load: digests.ServerLoad,
        now_ms: int,
    ) -> None:
        """Adds an attempt of a peer, until its next digest includes it.

        Args:
          sender: Host id of the peer.
          server_id: The backend server.
          load: What the attempt adds to the server's load.
          now_ms: The time.
        """
        reported = self._remote_by_sender.get(sender)
        if reported is None:
            return
        loads_by_server = reported[1]
        known = loads_by_server.get(server_id, NO_WORK)
        loads_by_server[server_id] = digests.ServerLoad(
            *(old + added for old, added in zip(known, load, strict=True))
        )
        self._advance_prefill(server_id, load.pending_ms, now_ms)
        remote = self._remote_by_server.get(server_id, IDLE)
        self._remote_by_server[server_id] = _sum(remote, Load(*load))

    def expire(self, now_ms: int) -> None:
        """Removes the work of peers that stopped sending digests."""
        oldest_ms = now_ms - DIGEST_LIFETIME_MS
        silent = [
            sender
            for sender, (received_ms, _) in self._remote_by_sender.items()
            if received_ms < oldest_ms
        ]
        for sender in silent:
            self._remove_sender(sender)

    def remaining(self, server_id: str, now_ms: int) -> Load:
        """Returns an estimate of the work that a server still has to do.

        A server whose prefills should be done by now may be slow or dead:
        the longer it is overdue, the longer it is assumed to take.
        """
        load = self.outstanding(server_id)
        if not load.pending_ms:
            return load
        since_ms = self._prefill_since_ms_by_server.get(server_id, now_ms)
        remaining_ms = load.pending_ms - (now_ms - since_ms)
        pending_ms = min(load.pending_ms, abs(remaining_ms))
        done_ms = load.pending_ms - pending_ms
        return load._replace(
            pending_ms=pending_ms, work_ms=max(0.0, load.work_ms - done_ms)
        )

    def outstanding(self, server_id: str) -> Load:
        """Returns all work that a server was sent and has not finished."""
        local = self._local_by_server.get(server_id, IDLE)
        remote = self._remote_by_server.get(server_id)
        return local if remote is None else _sum(local, remote)

    def running(self, server_ids: Iterable[str]) -> int:
        """Returns the number of requests in progress at some servers."""
        return sum(
            self.outstanding(server_id).running for server_id in server_ids
        )

    def local(self) -> dict[str, digests.ServerLoad]:
        """Returns the work of this gateway, for its digest."""
        return {
            server_id: digests.ServerLoad(
                load.running,
                round(load.pending_ms),
                round(load.work_ms),
                load.tokens,
            )
            for server_id, load in self._local_by_server.items()
            if load.running
        }

    def _add(self, server_id: str, change: Load, now_ms: int) -> None:
        self._advance_prefill(server_id, change.pending_ms, now_ms)
        load = _sum(self._local_by_server.get(server_id, IDLE), change)
        if load.running <= 0:
            self._local_by_server.pop(server_id, None)
        else:
            self._local_by_server[server_id] = load

    def _advance_prefill(
        self, server_id: str, change_ms: float, now_ms: int
    ) -> None:
        """Updates how much a server has prefilled, before its queue changes.

        Time already spent is credited to the prompts that leave the queue.

        Args:
          server_id: The backend server.
          change_ms: Change of the time to prefill all queued prompts.
          now_ms: The time.
        """
        pending_ms = self.outstanding(server_id).pending_ms
        if pending_ms + change_ms <= 0:
            self._prefill_since_ms_by_server.pop(server_id, None)
            return
        since_ms = self._prefill_since_ms_by_server.get(server_id, now_ms)
        done_ms = min(now_ms - since_ms, pending_ms)
        if change_ms < 0:
            done_ms = max(0.0, done_ms + change_ms)
        self._prefill_since_ms_by_server[server_id] = now_ms - round(done_ms)

    def _remove_sender(self, sender: str) -> None:
        """Removes what a peer reported last.

        Peers report integers, so that the remainder is exactly zero if no
        other peer has work at a server.
        """
        _, loads_by_server = self._remote_by_sender.pop(sender, (0, {}))
        for server_id, load in loads_by_server.items():
            known = self._remote_by_server[server_id]
            remainder = _sum(known, Load(*(-amount for amount in load)))
            if remainder == IDLE:
                del self._remote_by_server[server_id]
            else:
                self._remote_by_server[server_id] = remainder


def _sum(left: Load, right: Load) -> Load:
    """Adds two loads; their times don't fall below 0."""
    return Load(
        left.running + right.running,
        max(0.0, left.pending_ms + right.pending_ms),
        max(0.0, left.work_ms + right.work_ms),
        left.tokens + right.tokens,
    )


class PrefillDemand:
    """Prefill that all gateways lately sent, by service and rank.

    Peers report what they send, without the rank; their ranks are taken to
    be divided as this gateway's.
    """

    def __init__(self) -> None:
        self._local_by_service: dict[str, dict[int, moving.DecayingSum]] = {}
        self._remote_by_service: dict[str, moving.DecayingSum] = {}

    def add(
        self, service: str, rank: int, prefill_ms: float, now_ms: int
    ) -> None:
        """Counts an attempt that this gateway sends."""
        local_by_rank = self._local_by_service.setdefault(service, {})
        demand = local_by_rank.get(rank)
        if demand is None:
            demand = local_by_rank[rank] = moving.DecayingSum(
                DEMAND_WINDOW_MS, now_ms
            )
        demand.add(prefill_ms, now_ms)

    def add_remote(self, service: str, prefill_ms: float, now_ms: int) -> None:
        """Counts an attempt that a peer sent."""
        demand = self._remote_by_service.get(service)
        if demand is None:
            demand = self._remote_by_service[service] = moving.DecayingSum(
                DEMAND_WINDOW_MS, now_ms
            )
        demand.add(prefill_ms, now_ms)

    def remote_rate(self, service: str, now_ms: int) -> float:
        """Returns how fast peers send prefill.

        Returns: Prefill time for each unit of time; 1 keeps one server busy.
        """
        remote = self._remote_by_service.get(service)
        if remote is None:
            return 0.0
        return remote.value(now_ms) / DEMAND_WINDOW_MS

    def urgent_rate(self, service: str, rank: int, now_ms: int) -> float:
        """Returns how fast prefill of more urgent ranks is sent.

        Returns: Prefill time for each unit of time; 1 keeps one server busy.
        """
        urgent_ms = local_ms = 0.0
        for each, demand in self._local_by_service.get(service, {}).items():
            demand_ms = demand.value(now_ms)
            local_ms += demand_ms
            urgent_ms += demand_ms if each < rank else 0.0
        if not urgent_ms:
            return 0.0
        remote = self._remote_by_service.get(service)
        remote_ms = 0.0 if remote is None else remote.value(now_ms)
        total_ms = local_ms + remote_ms
        return total_ms * urgent_ms / local_ms / DEMAND_WINDOW_MS
