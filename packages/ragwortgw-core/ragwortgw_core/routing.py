"""Chooses the agent for an attempt: cache affinity within a load bound.

Consistent hashing with bounded loads: a session or prompt prefix goes to
its rendezvous owner unless that agent has much more than the mean load.
Loads are those of the agents' last reports, corrected by the attempts
that this entry started and ended since.
"""

import collections
from collections.abc import Sequence
import math
from typing import NamedTuple

import xxhash

from ragwortgw_core import events

#: An agent gets work by affinity up to this multiple of the mean load.
MAX_RELATIVE_LOAD = 2.0
HASH_RANGE = 2**64
#: Own attempts that began or ended earlier than this count as reported.
MAX_REPORT_LAG_MS = 30_000
#: Bound of the factor by which own changes are scaled up to all entries.
MAX_PEER_FACTOR = 8.0


class Candidate(NamedTuple):
    """An agent that can run the attempt, as this entry sees it.

    Args:
      agent_id: Id of the agent.
      zone: Availability zone of the agent.
      slots: Attempts that the backend server runs concurrently.
      running: Running and waiting attempts in the last report.
      inflight: This entry's attempts in progress at the agent now.
      report_age_ms: Age of the last report.
      cache_hint: Whether the prompt's prefix is expected to be cached.
      healthy: False for an agent that is unhealthy or suspect.
      inflight_at_report: This entry's attempts that were in progress when
        the report was taken, and so are part of running.
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
    """An agent with its estimated load.

    Args:
      candidate: The agent.
      known_load: Load by the last report and this entry's own changes
        since.
      load: Estimate of the present load, which also allows for the
        changes by other entries since the report.
    """

    candidate: Candidate
    known_load: int
    load: float


class AgentLoadTracker:
    """Tracks an agent's load, as one entry sees it.

    Keeps the starts and ends of the entry's own attempts since the last
    report, so that attempts which that report includes are not counted
    twice.
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
        """Records that this entry sends an attempt to the agent."""
        self._record_change(now_ms, 1)

    def record_ended(self, now_ms: int) -> None:
        """Records the end of an attempt of this entry."""
        self._record_change(now_ms, -1)

    def apply_report(
        self, load: int, slots: int, taken_at_ms: int, now_ms: int
    ) -> None:
        """Applies a load report; one older than the last is ignored.

        Args:
          load: Running and waiting attempts of all entries.
          slots: Attempts that the backend server runs concurrently.
          taken_at_ms: When the report was taken, Unix ms.
          now_ms: Unix ms.
        """
        if taken_at_ms < self._taken_at_ms:
            return
        self._running = load
        self._slots = slots
        self._taken_at_ms = taken_at_ms
        self._drop_changes(taken_at_ms)
        change_since = sum(change for _, change in self._changes)
        self._inflight_at_report = self._inflight - change_since

    def candidate(
        self,
        agent_id: str,
        zone: str,
        slots: int,
        now_ms: int,
        cache_hint: bool = False,
        healthy: bool = True,
    ) -> Candidate:
        """Builds the candidate for choose_agent().

        Args:
          agent_id: Id of the agent.
          zone: Availability zone of the agent.
          slots: Slots to assume until a report gives them.
          now_ms: Unix ms.
          cache_hint: As in Candidate.
          healthy: As in Candidate.
        Returns: The candidate.
        """
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

    def _record_change(self, now_ms: int, change: int) -> None:
        self._inflight += change
        self._changes.append((now_ms, change))
        self._drop_changes(max(self._taken_at_ms, now_ms - MAX_REPORT_LAG_MS))

    def _drop_changes(self, until_ms: int) -> None:
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

    With an affinity key, the agents of all zones are ranked by rendezvous
    hash and the first one within the load bound is chosen. Without one,
    the less loaded of two random agents of the entry's zone is chosen, or
    of all zones when no agent of that zone has a free slot.

    Args:
      candidates: Agents that have a permitted version loaded.
      affinity_key: Session or prompt prefix; '' where there is none.
      zone: Availability zone of the entry.
      stamp: Time and randomness.
      reserved_fraction: Fraction of each agent's slots to leave free.
    Returns: The agent's id, or None when all are full or unhealthy.
    """
    free = [
        loaded
        for loaded in estimate_loads(candidates)
        if loaded.candidate.healthy
        and _has_free_slot(loaded, reserved_fraction)
    ]
    if not free:
        return None
    below_capacity = [loaded for loaded in free if _utilisation(loaded) <= 1]
    free = below_capacity or free
    if affinity_key:
        return _choose_by_affinity(free, affinity_key).candidate.agent_id
    same_zone = [loaded for loaded in free if loaded.candidate.zone == zone]
    return _choose_of_two(same_zone or free, stamp).candidate.agent_id


def estimate_loads(candidates: Sequence[Candidate]) -> list[_Loaded]:
    """Estimates present loads from reports and the changes since.

    The entry's own changes since the report are known exactly. Those of
    all entries are estimated by scaling the own ones with the square root
    of the ratio of all running attempts to the own ones: scaling with the
    ratio itself would amplify the noise of few own attempts.

    Args:
      candidates: The agents.
    Returns: The agents with their estimated present load.
    """
    running = sum(candidate.running for candidate in candidates)
    own = sum(candidate.inflight_at_report for candidate in candidates)
    scale = min(math.sqrt(max(running / max(own, 1), 1)), MAX_PEER_FACTOR)
    return [_estimate_load(candidate, scale) for candidate in candidates]


def _estimate_load(candidate: Candidate, scale: float) -> _Loaded:
    change = candidate.inflight - candidate.inflight_at_report
    known_load = max(candidate.running + change, candidate.inflight)
    load = max(candidate.running + scale * change, candidate.inflight)
    return _Loaded(candidate, known_load, load)


def _has_free_slot(loaded: _Loaded, reserved_fraction: float) -> bool:
    slots = loaded.candidate.slots
    return loaded.known_load < slots - int(slots * reserved_fraction)


def _utilisation(loaded: _Loaded) -> float:
    """Returns the utilisation with one more attempt; 1 is full."""
    return (loaded.load + 1) / loaded.candidate.slots


def _choose_by_affinity(pool: list[_Loaded], affinity_key: str) -> _Loaded:
    """Chooses the agent of the highest rendezvous score within the bound.

    Agents that are expected to have the prompt's prefix cached go first.
    When no agent is within the load bound, the least utilised is chosen.
    """
    load = sum(loaded.load + 1 for loaded in pool)
    bound = (
        MAX_RELATIVE_LOAD * load / sum(each.candidate.slots for each in pool)
    )
    within_bound = [loaded for loaded in pool if _utilisation(loaded) <= bound]
    cached = [loaded for loaded in within_bound if loaded.candidate.cache_hint]
    return max(
        cached or within_bound or [min(pool, key=_utilisation)],
        key=lambda loaded: rendezvous_score(loaded.candidate, affinity_key),
    )


def rendezvous_score(candidate: Candidate, affinity_key: str) -> float:
    """Returns the weighted rendezvous score; the weight is the slots.

    The candidate of the highest score owns the key. The distribution over
    agents is proportional to their slots (highest-random-weight hashing).
    """
    hashed = f'{candidate.agent_id}\0{affinity_key}'.encode()
    digest = xxhash.xxh64_intdigest(hashed)
    return -candidate.slots / math.log((digest + 0.5) / HASH_RANGE)


def _choose_of_two(pool: list[_Loaded], stamp: events.Stamp) -> _Loaded:
    """Chooses the less utilised of two random agents."""
    first = pool[stamp.seed % len(pool)]
    second = pool[(stamp.seed >> 32) % len(pool)]
    return min(first, second, key=_utilisation)
