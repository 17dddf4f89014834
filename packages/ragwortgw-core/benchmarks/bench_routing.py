"""Cache hits and load of agents under lagging reports, in simulated time.

Several entries choose agents for requests with repeated prompt prefixes.
Each agent caches a few prefixes; a hit shortens the service time. Reports
of load reach the entries every 2 s. An attempt at a full agent waits
there.
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
    """A backend server with a cache of prefixes."""

    def __init__(self, number: int) -> None:
        self.id = f'agent-{number}'
        self.zone = ZONES[number % len(ZONES)]
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.most = 0

    def load(self) -> int:
        return self.running + len(self.waiting)

    def start(self, prefix: int) -> bool:
        """Starts a request; tells whether its prefix was cached."""
        self.running += 1
        hit = prefix in self.cache
        self.cache.pop(prefix, None)
        self.cache[prefix] = None
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return hit


class Job(NamedTuple):
    """A request under way."""

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
    """Takes any agent."""
    return candidates[stamp.seed % len(candidates)].agent_id


def choose_least(
    candidates: list[routing.Candidate],
    key: str,
    zone: str,
    stamp: events.Stamp,
) -> str | None:
    """Takes the agent with the least load as reported."""
    return min(candidates, key=lambda each: each.running).agent_id


def choose_sticky(
    candidates: list[routing.Candidate],
    key: str,
    zone: str,
    stamp: events.Stamp,
) -> str | None:
    """Takes the first agent of the key's order, whatever its load."""
    return max(
        candidates, key=lambda each: routing.rendezvous_score(each, key)
    ).agent_id


CHOOSERS: dict[str, Chooser] = {
    'random': choose_random,
    'least-loaded': choose_least,
    'affinity only': choose_sticky,
    'bounded': routing.choose_agent,
}


class Simulation:
    """Entries and agents in simulated time."""

    def __init__(self, chooser: Chooser, load: float, seed: int) -> None:
        self.source = random.Random(f'{load} {seed}')
        self.chooser = chooser
        self.gap_ms = MISS_MS / (load * AGENTS * SLOTS)
        self.agents = [Agent(number) for number in range(AGENTS)]
        self.agents_by_id = {agent.id: agent for agent in self.agents}
        self.books = [
            {agent.id: routing.AgentLoadTracker() for agent in self.agents}
            for _ in range(ENTRIES)
        ]
        self.weights = [1 / (rank + 1) ** 0.8 for rank in range(PREFIXES)]
        self.pending: list[tuple[int, int, str, Any]] = []
        self.number = 0
        self.hits = self.served = self.near = self.turned_away = 0
        self.latencies: list[int] = []

    def push(self, at_ms: float, kind: str, value: Any) -> None:
        self.number += 1
        heapq.heappush(self.pending, (round(at_ms), self.number, kind, value))

    def run(self) -> None:
        """Runs to the end."""
        for agent in self.agents:
            self.push(self.source.uniform(0, REPORT_MS), 'report', agent)
        self.push(0, 'arrive', None)
        while self.pending:
            now_ms, _, kind, value = heapq.heappop(self.pending)
            if now_ms > DURATION_MS:
                break
            getattr(self, kind)(now_ms, value)

    def report(self, now_ms: int, agent: Agent) -> None:
        for loads in self.books:
            loads[agent.id].apply_report(agent.load(), SLOTS, now_ms, now_ms)
        self.push(now_ms + REPORT_MS, 'report', agent)

    def arrive(self, now_ms: int, value: None) -> None:
        wait_ms = self.source.expovariate(1 / self.gap_ms)
        self.push(now_ms + wait_ms, 'arrive', None)
        prefix = self.source.choices(range(PREFIXES), self.weights)[0]
        entry = self.source.randrange(ENTRIES)
        zone = ZONES[entry % len(ZONES)]
        stamp = events.Stamp(now_ms, self.source.getrandbits(64))
        candidates = [
            self.books[entry][agent.id].candidate(
                agent.id, agent.zone, SLOTS, now_ms
            )
            for agent in self.agents
        ]
        chosen = self.chooser(candidates, f'prefix-{prefix}', zone, stamp)
        if chosen is None:
            self.turned_away += 1
            return
        agent = self.agents_by_id[chosen]
        self.books[entry][chosen].record_dispatched(now_ms)
        job = Job(now_ms, entry, agent, prefix)
        if now_ms >= WARM_UP_MS:
            self.near += agent.zone == zone
            agent.most = max(agent.most, agent.load() + 1)
        if agent.running < SLOTS:
            self.start(now_ms, job)
        else:
            agent.waiting.append(job)

    def start(self, now_ms: int, job: Job) -> None:
        hit = job.agent.start(job.prefix)
        mean_ms = HIT_MS if hit else MISS_MS
        service_ms = self.source.uniform(0.5, 1.5) * mean_ms
        if now_ms >= WARM_UP_MS:
            self.hits += hit
            self.served += 1
        self.push(now_ms + service_ms, 'finish', job)

    def finish(self, now_ms: int, job: Job) -> None:
        agent = job.agent
        agent.running -= 1
        self.books[job.entry][agent.id].record_ended(now_ms)
        if job.at_ms >= WARM_UP_MS:
            self.latencies.append(now_ms - job.at_ms)
        if agent.waiting:
            self.start(now_ms, agent.waiting.popleft())


def measure(seeds: int) -> list[dict[str, Any]]:
    """Runs all choosers at all loads."""
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
    most = max(agent.most for agent in simulation.agents)
    return {
        'hit_share': simulation.hits / simulation.served,
        'near_share': simulation.near / simulation.served,
        'max_load': most / SLOTS,
        'p50_ms': latencies[len(latencies) // 2],
        'p99_ms': latencies[len(latencies) * 99 // 100],
        'turned_away': simulation.turned_away / simulation.served,
    }


def main() -> int:
    """Runs the benchmark; gives the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=2)
    rows = measure(parser.parse_args().seeds)
    bounds = []
    for load in LOADS:
        row_by_policy = {
            row['policy']: row for row in rows if row['load'] == load
        }
        bounded = row_by_policy['bounded']
        least = row_by_policy['least-loaded']
        bounds += [
            report.Bound(
                f'hits over least-loaded at {load}',
                bounded['hit_share'] / least['hit_share'],
                low=1.0,
            ),
            report.Bound(
                f'load over least-loaded at {load}',
                bounded['max_load'] / least['max_load'],
                high=1.0,
            ),
        ]
    return report.show('routing', rows, bounds)


if __name__ == '__main__':
    sys.exit(main())
