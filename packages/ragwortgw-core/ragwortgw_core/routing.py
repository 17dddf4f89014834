"""Chooses the agent for an attempt: affinity within a load bound."""

import collections
from collections.abc import Sequence
import math
from typing import NamedTuple

import xxhash

from ragwortgw_core import events

#: A candidate takes affine work up to this multiple of the mean load.
MAX_RELATIVE_LOAD = 2.0
HASH_RANGE = 2**64
MAX_REPORT_LAG_MS = 30_000
MAX_PEER_FACTOR = 8.0


class Candidate(NamedTuple):
    """An agent that can run the attempt, as this entry sees it.

    Args:
      agent_id: Id of the agent.
      zone: Availability zone of the agent.
      slots: Attempts that the backend server runs at once.
      running: Running and waiting attempts in the last report.
      inflight: Attempts of this entry under way there now.
      report_age_ms: Age of the last report.
      cache_hint: Whether the prompt's prefix is thought to be cached.
      healthy: False for an agent that is unhealthy or suspect.
      inflight_at_report: Attempts of this entry that were under way there
        when the report was taken, and so are part of running.
    """

    agent_id: str
    zone: str
    slots: int
    running: int
    inflight: int
    report_age_ms: int
    cache_hint: bool
    healthy: bool
    inflight_at_report: int = 0


class _Loaded(NamedTuple):
    """An agent with its load.

    Args:
      candidate: The agent.
      known: Load by its report and by this entry's own attempts since.
      load: Load thought to be there now, with what the others did since.
    """

    candidate: Candidate
    known: int
    load: float


class AgentLoadTracker:
    """What one entry knows of an agent's load.

    It recalls how many attempts of its own were under way when the last
    report was taken, so that they are not counted twice.
    """

    __slots__ = (
        '_running',
        '_slots',
        '_taken_at_ms',
        '_inflight',
        '_inflight_at_report',
        '_changes',
    )

    def __init__(self) -> None:
        self._running = 0
        self._slots = 0
        self._taken_at_ms = 0
        self._inflight = 0
        self._inflight_at_report = 0
        self._changes: collections.deque[tuple[int, int]] = collections.deque()

    def record_dispatched(self, now_ms: int) -> None:
        """Counts an attempt of this entry that is sent there."""
        self._change(now_ms, 1)

    def record_ended(self, now_ms: int) -> None:
        """Counts an attempt of this entry that came to an end."""
        self._change(now_ms, -1)

    def apply_report(
        self, load: int, slots: int, taken_at_ms: int, now_ms: int
    ) -> None:
        """Takes a report.

        Args:
          load: Running and waiting attempts of all entries.
          slots: Attempts that the backend server runs at once.
          taken_at_ms: When the report was taken, Unix ms.
          now_ms: Unix ms.
        """
        if taken_at_ms < self._taken_at_ms:
            return
        self._running = load
        self._slots = slots
        self._taken_at_ms = taken_at_ms
        self._forget(taken_at_ms)
        since = sum(change for _, change in self._changes)
        self._inflight_at_report = self._inflight - since

    def candidate(
        self,
        agent_id: str,
        zone: str,
        slots: int,
        now_ms: int,
        cache_hint: bool = False,
        healthy: bool = True,
    ) -> Candidate:
        """Gives the candidate for choose()."""
        return Candidate(
            agent_id,
            zone,
            self._slots or slots,
            self._running,
            self._inflight,
            now_ms - self._taken_at_ms,
            cache_hint,
            healthy,
            self._inflight_at_report,
        )

    def _change(self, now_ms: int, change: int) -> None:
        self._inflight += change
        self._changes.append((now_ms, change))
        self._forget(max(self._taken_at_ms, now_ms - MAX_REPORT_LAG_MS))

    def _forget(self, until_ms: int) -> None:
        while self._changes and self._changes[0][0] <= until_ms:
            self._changes.popleft()


def choose_agent(
    candidates: Sequence[Candidate],
    affinity_key: str,
    zone: str,
    stamp: events.Stamp,
    reserved_fraction: float = 0.0,
) -> str | None:
    """Chooses an agent with a free slot.

    With an affinity key the agents are ranked by rendezvous hash, over
    all zones, and the first within the load bound is taken. Without one,
    the lighter of two agents of the entry's zone is taken, or of all when
    none of the zone has a free slot.

    Args:
      candidates: Agents that have a permitted version loaded.
      affinity_key: Session or prompt prefix; '' where there is none.
      zone: Availability zone of the entry.
      stamp: Time and randomness.
      reserved_share: Share of each agent's slots to leave free.
    Returns: The agent's id, or None when all are full or unhealthy.
    """
    free = [
        loaded
        for loaded in estimate_loads(candidates)
        if loaded.candidate.healthy and _has_room(loaded, reserved_fraction)
    ]
    if not free:
        return None
    likely = [loaded for loaded in free if _utilisation(loaded) <= 1]
    free = likely or free
    if affinity_key:
        return _affine(free, affinity_key).candidate.agent_id
    near = [loaded for loaded in free if loaded.candidate.zone == zone]
    return _lighter_of_two(near or free, stamp).candidate.agent_id


def estimate_loads(candidates: Sequence[Candidate]) -> list[_Loaded]:
    """Corrects reports by what happened since they were taken.

    The entry's own attempts are counted as they are. Those of the others
    are thought to have changed as its own did, times the square root of
    how many times more they are, which bounds the noise.

    Args:
      candidates: The agents.
    Returns: The agents with the load thought to be there now.
    """
    running = sum(candidate.running for candidate in candidates)
    own = sum(candidate.inflight_at_report for candidate in candidates)
    scale = min(math.sqrt(max(running / max(own, 1), 1)), MAX_PEER_FACTOR)
    return [_estimate(each, scale) for each in candidates]


def _estimate(candidate: Candidate, scale: float) -> _Loaded:
    change = candidate.inflight - candidate.inflight_at_report
    known = max(candidate.running + change, candidate.inflight)
    load = max(candidate.running + scale * change, candidate.inflight)
    return _Loaded(candidate, known, load)


def _has_room(loaded: _Loaded, reserved_fraction: float) -> bool:
    slots = loaded.candidate.slots
    return loaded.known < slots - int(slots * reserved_fraction)


def _utilisation(loaded: _Loaded) -> float:
    return (loaded.load + 1) / loaded.candidate.slots


def _affine(pool: list[_Loaded], affinity_key: str) -> _Loaded:
    """Takes the first of the key's agents that is within the bound."""
    load = sum(loaded.load + 1 for loaded in pool)
    bound = (
        MAX_RELATIVE_LOAD * load / sum(each.candidate.slots for each in pool)
    )
    light = [loaded for loaded in pool if _utilisation(loaded) <= bound]
    cached = [loaded for loaded in light if loaded.candidate.cache_hint]
    return max(
        cached or light or [min(pool, key=_utilisation)],
        key=lambda loaded: rendezvous_score(loaded.candidate, affinity_key),
    )


def rendezvous_score(candidate: Candidate, affinity_key: str) -> float:
    """Scores by weighted rendezvous hashing; slots are the weight."""
    hashed = f'{candidate.agent_id}\0{affinity_key}'.encode()
    digest = xxhash.xxh64_intdigest(hashed)
    return -candidate.slots / math.log((digest + 0.5) / HASH_RANGE)


def _lighter_of_two(pool: list[_Loaded], stamp: events.Stamp) -> _Loaded:
    first = pool[stamp.seed % len(pool)]
    second = pool[(stamp.seed >> 32) % len(pool)]
    return min(first, second, key=_utilisation)
