"""Measures cache hits and agents' loads under delayed load reports.

Several entries choose agents for requests with recurring prompt prefixes,
in virtual time. Each agent caches a limited number of prefixes; a hit
shortens the service time. Agents report their load every 2 s. An attempt
that reaches an agent without a free slot waits there.
"""

import argparse
import collections
from collections.abc import Callable
import heapq
import random
import sys
from typing import Any, NamedTuple

from ragwortgw_core import events
from ragwortgw_core import routing

from benchmarks import report

AGENTS = 24
SLOTS = 16
ENTRIES = 6
ZONES = ('a', 'b', 'c')
CACHED_PREFIXES = 60
PREFIXES = 1_200
MISS_MS, HIT_MS = 1_000, 500
REPORT_MS = 2_000
WARM_UP_MS = 30_000
DURATION_MS = 90_000
LOADS = (0.5, 0.8)


class Agent:
    """A backend server with a prefix cache, least recently used first out.

    Attributes:
      running: Requests in its slots.
      queue: Requests that wait for a slot.
      max_load: Highest load since the warm-up.
    """

    def __init__(self, number: int) -> None:
        self.id = f'agent-{number}'
        self.zone = ZONES[number % len(ZONES)]
        self.running = 0
        self.queue: collections.deque = collections.deque()
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.max_load = 0

    def load(self) -> int:
        return self.running + len(self.queue)

    def start(self, prefix: int) -> bool:
        """Starts a request and returns whether its prefix was cached."""
        self.running += 1
        hit = prefix in self.cache
        self.cache.pop(prefix, None)
        self.cache[prefix] = None
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return hit


class Request(NamedTuple):
    """A request in progress; at_ms is the time of its arrival."""

    at_ms: int
    entry: int
    agent: Agent
    prefix: int


Chooser = Callable[[list[routing.Candidate], str, str, events.Stamp], Any]


def choose_random(
    candidates: list[routing.Candidate],
    key: str,
    zone: str,
    stamp: events.Stamp,
) -> str | None:
    """Returns a random agent."""
    return candidates[stamp.seed % len(candidates)].agent_id


def choose_least_loaded(
    candidates: list[routing.Candidate],
    key: str,
    zone: str,
    stamp: events.Stamp,
) -> str | None:
    """Returns the agent with the lowest reported load."""
    return min(candidates, key=lambda each: each.running).agent_id


def choose_affinity(
    candidates: list[routing.Candidate],
    key: str,
    zone: str,
    stamp: events.Stamp,
) -> str | None:
    """Returns the key's rendezvous owner, whatever its load."""
    return max(
        candidates, key=lambda each: routing.rendezvous_score(each, key)
    ).agent_id


CHOOSERS: dict[str, Chooser] = {
    'random': choose_random,
    'least-loaded': choose_least_loaded,
    'affinity only': choose_affinity,
    'bounded': routing.choose_agent,
}


class Simulation:
    """Entries and agents in virtual time."""

    def __init__(self, chooser: Chooser, load: float, seed: int) -> None:
        self.rng = random.Random(f'{load} {seed}')
        self.chooser = chooser
        self.gap_ms = MISS_MS / (load * AGENTS * SLOTS)
        self.agents = [Agent(number) for number in range(AGENTS)]
        self.agents_by_id = {agent.id: agent for agent in self.agents}
        self.loads_by_entry = [
            {agent.id: routing.AgentLoadTracker() for agent in self.agents}
            for _ in range(ENTRIES)
        ]
        self.weights = [1 / (rank + 1) ** 0.8 for rank in range(PREFIXES)]
        self.event_queue: list[tuple[int, int, str, Any]] = []
        self.sequence = 0
        self.hits = self.served = self.same_zone = self.rejected = 0
        self.latencies: list[int] = []

    def push(self, at_ms: float, kind: str, value: Any) -> None:
        self.sequence += 1
        heapq.heappush(
            self.event_queue, (round(at_ms), self.sequence, kind, value)
        )

    def run(self) -> None:
        """Runs all events up to DURATION_MS."""
        for agent in self.agents:
            self.push(self.rng.uniform(0, REPORT_MS), 'report', agent)
        self.push(0, 'arrive', None)
        while self.event_queue:
            now_ms, _, kind, value = heapq.heappop(self.event_queue)
            if now_ms > DURATION_MS:
                break
            getattr(self, kind)(now_ms, value)

    def report(self, now_ms: int, agent: Agent) -> None:
        for loads in self.loads_by_entry:
            loads[agent.id].apply_report(agent.load(), SLOTS, now_ms, now_ms)
        self.push(now_ms + REPORT_MS, 'report', agent)

    def arrive(self, now_ms: int, value: None) -> None:
        wait_ms = self.rng.expovariate(1 / self.gap_ms)
        self.push(now_ms + wait_ms, 'arrive', None)
        prefix = self.rng.choices(range(PREFIXES), self.weights)[0]
        entry = self.rng.randrange(ENTRIES)
        zone = ZONES[entry % len(ZONES)]
        stamp = events.Stamp(now_ms, self.rng.getrandbits(64))
        candidates = [
            self.loads_by_entry[entry][agent.id].candidate(
                agent.id, agent.zone, SLOTS, now_ms
            )
            for agent in self.agents
        ]
        agent_id = self.chooser(candidates, f'prefix-{prefix}', zone, stamp)
        if agent_id is None:
            self.rejected += 1
            return
        agent = self.agents_by_id[agent_id]
        self.loads_by_entry[entry][agent_id].record_dispatched(now_ms)
        request = Request(now_ms, entry, agent, prefix)
        if now_ms >= WARM_UP_MS:
            self.same_zone += agent.zone == zone
            agent.max_load = max(agent.max_load, agent.load() + 1)
        if agent.running < SLOTS:
            self.start(now_ms, request)
        else:
            agent.queue.append(request)

    def start(self, now_ms: int, request: Request) -> None:
        hit = request.agent.start(request.prefix)
        mean_ms = HIT_MS if hit else MISS_MS
        service_ms = self.rng.uniform(0.5, 1.5) * mean_ms
        if now_ms >= WARM_UP_MS:
            self.hits += hit
            self.served += 1
        self.push(now_ms + service_ms, 'finish', request)

    def finish(self, now_ms: int, request: Request) -> None:
        agent = request.agent
        agent.running -= 1
        self.loads_by_entry[request.entry][agent.id].record_ended(now_ms)
        if request.at_ms >= WARM_UP_MS:
            self.latencies.append(now_ms - request.at_ms)
        if agent.queue:
            self.start(now_ms, agent.queue.popleft())


def measure(seeds: int) -> list[dict[str, Any]]:
    """Runs all choosers at all loads; a row holds means over the seeds."""
    rows = []
    for load in LOADS:
        for name, chooser in CHOOSERS.items():
            totals: collections.Counter[str] = collections.Counter()
            for seed in range(seeds):
                totals.update(_run(chooser, load, seed))
            row: dict[str, Any] = {'load': load, 'policy': name}
            row.update({key: totals[key] / seeds for key in totals})
            rows.append(row)
    return rows


def _run(chooser: Chooser, load: float, seed: int) -> dict[str, float]:
    simulation = Simulation(chooser, load, seed)
    simulation.run()
    latencies = sorted(simulation.latencies)
    max_load = max(agent.max_load for agent in simulation.agents)
    return {
        'hit_share': simulation.hits / simulation.served,
        'near_share': simulation.same_zone / simulation.served,
        'max_load': max_load / SLOTS,
        'p50_ms': latencies[len(latencies) // 2],
        'p99_ms': latencies[len(latencies) * 99 // 100],
        'turned_away': simulation.rejected / simulation.served,
    }


def main() -> int:
    """Runs the benchmark and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=2)
    rows = measure(parser.parse_args().seeds)
    bounds = []
    for load in LOADS:
        row_by_policy = {
            row['policy']: row for row in rows if row['load'] == load
        }
        bounded = row_by_policy['bounded']
        least_loaded = row_by_policy['least-loaded']
        bounds += [
            report.Bound(
                f'hits over least-loaded at {load}',
                bounded['hit_share'] / least_loaded['hit_share'],
                low=1.0,
            ),
            report.Bound(
                f'load over least-loaded at {load}',
                bounded['max_load'] / least_loaded['max_load'],
                high=1.0,
            ),
        ]
    return report.show('routing', rows, bounds)


if __name__ == '__main__':
    sys.exit(main())
