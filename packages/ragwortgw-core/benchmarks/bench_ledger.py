"""Compares two ways of running an order at most once.

Claims record each idempotency key in the platform service; grants assign
the keys of an interval to one agent in advance. Both get the same seeded
arrivals, in virtual time.

Run from packages/ragwortgw-core: python -m benchmarks.bench_ledger
The exit status is 1 if a bound is exceeded.
"""

import random
import sys
from typing import NamedTuple

import uuid_utils

from ragwortgw_core import configuration
from ragwortgw_core import grants
from ragwortgw_core import key_table
from ragwortgw_core import ledger
from ragwortgw_core import notices
from ragwortgw_core import requests
from tests import platform_model

SEED = 20_261_203
RTT_MS = 4
AGENTS = 4
SLOTS_PER_AGENT = 6
SERVICE_MEAN_MS = 40
#: Fraction of the orders whose first answer is lost, so that the caller
#: retries.
RETRY_FRACTION = 0.05
RETRY_AFTER_MS = 2_000
WARM_UP_MS = 5_000
STEADY_END_MS = 35_000
OUTAGE_END_MS = 95_000
REPLACED_END_MS = 155_000
DRAIN_MS = 15_000

#: Bounds that must hold, as counts and fractions.
MAX_CLAIM_WRITES_PER_ORDER = 2.6
MAX_CLAIM_P50_ROUND_TRIPS = 2.0
MAX_GRANT_REFUSED_IN_OUTAGE = 0.001

ANSWER = requests.Answer(
    200, 'text/plain', b'ok', {'input_tokens': 0, 'output_tokens': 0}
)


class Load(NamedTuple):
    """A load on a fleet of entries.

    Args:
      name: Name in the output.
      entries: Number of entries.
      orders_per_s: Orders that arrive at all entries together, a second.
    """

    name: str
    entries: int
    orders_per_s: float


LOADS = (Load('today', 3, 50.0), Load('ten times', 30, 300.0))


class Order(NamedTuple):
    """An order as it arrives at an entry.

    Args:
      at_ms: Time of arrival, Unix ms.
      entry: Number of the entry.
      key: Idempotency key.
      is_retry: Whether the caller sends it for the second time.
    """

    at_ms: int
    entry: int
    key: str
    is_retry: bool


class Result(NamedTuple):
    """Outcome of an order.

    Args:
      order: The order.
      outcome: 'served', 'replayed' or 'refused'.
      added_ms: Latency that the at-most-once protocol added.
      queued_ms: Time that it waited for a slot of the backend server.
    """

    order: Order
    outcome: str
    added_ms: int
    queued_ms: int


class Agent:
    """An agent: a backend server with slots, and the keys that it ran."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.free_at_ms = [0] * SLOTS_PER_AGENT
        self.restart('i0')

    def restart(self, incarnation: str) -> None:
        """Replaces the process, which loses its memory."""
        self.holder = grants.Holder(f'a{self.number}', incarnation)
        self.keys = key_table.KeyTable(self.holder)

    def serve(self, now_ms: int, service_ms: int) -> int:
        """Runs a call in the first free slot and returns its wait, ms."""
        slot = min(range(SLOTS_PER_AGENT), key=self.free_at_ms.__getitem__)
        start_ms = max(now_ms, self.free_at_ms[slot])
        self.free_at_ms[slot] = start_ms + service_ms
        return start_ms - now_ms

    def load(self, now_ms: int) -> int:
        """Returns the remaining work in all slots, ms."""
        return sum(max(at_ms - now_ms, 0) for at_ms in self.free_at_ms)


class Simulation:
    """Simulation of one way of running orders, under one load."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.world = platform_model.World(SEED, rtt_ms=RTT_MS)
        self.random = random.Random(SEED)
        self.agents = [Agent(number) for number in range(AGENTS)]
        self.results: list[Result] = []
        self.executions_by_key: dict[str, int] = {}
        for order in arrivals(load):
            self.world.at(order.at_ms, lambda o=order: self.arrive(o))

    def run(self) -> None:
        """Runs the steady phase, the outage and the agent's replacement."""
        self.world.run(STEADY_END_MS)
        self.platform_calls_by_kind = dict(self.world.platform.counts_by_call)
        self.world.platform.down = True
        self.world.run(OUTAGE_END_MS - STEADY_END_MS)
        self.world.platform.down = False
        self.agents[0].restart('i1')
        self.on_agent_replaced()
        self.world.run(REPLACED_END_MS - OUTAGE_END_MS + DRAIN_MS)

    def arrive(self, order: Order) -> None:
        """Handles an order that arrives at its entry."""
        raise NotImplementedError

    def on_agent_replaced(self) -> None:
        """Handles the replacement of the first agent."""

    def serve(self, order: Order, agent: Agent) -> None:
        """Runs an order's call and records the result."""
        now_ms = self.world.now_ms
        service_ms = int(self.random.expovariate(1 / SERVICE_MEAN_MS)) + 1
        queued_ms = agent.serve(now_ms, service_ms)
        count = self.executions_by_key.get(order.key, 0)
        self.executions_by_key[order.key] = count + 1
        self.record(order, 'served', queued_ms)

    def record(self, order: Order, outcome: str, queued_ms: int = 0) -> None:
        """Records the outcome of an order."""
        added_ms = self.world.now_ms - order.at_ms
        self.results.append(Result(order, outcome, added_ms, queued_ms))


class ClaimSimulation(Simulation):
    """Claims keys in the platform; the least loaded agent runs the call."""

    name = 'claims'

    def __init__(self, load: Load) -> None:
        super().__init__(load)
        self.orders_by_request: dict[str, Order] = {}
        self.ledgers = []
        self.processes = []
        for number in range(load.entries):
            process = self.world.process(f'e{number}')
            order_ledger = ledger.new_ledger(process.calls)
            process.components.append(order_ledger)
            process.on_notice = self.on_notice
            self.ledgers.append(order_ledger)
            self.processes.append(process)

    def arrive(self, order: Order) -> None:
        request = f'e{order.entry}-{len(self.orders_by_request)}'
        self.orders_by_request[request] = order
        order_ledger = self.ledgers[order.entry]
        self.processes[order.entry].do(
            lambda stamp: order_ledger.claim(
                stamp, order.key, 'f', request, configuration.DEFAULT_SYSTEM
            )
        )

    def on_notice(self, notice) -> None:
        if isinstance(notice, notices.ClaimReplayed):
            self.record(self.orders_by_request[notice.request_id], 'replayed')
        elif isinstance(notice, notices.ClaimDenied):
            self.record(self.orders_by_request[notice.request_id], 'refused')
        elif isinstance(notice, notices.ClaimGranted):
            order = self.orders_by_request[notice.request_id]
            now_ms = self.world.now_ms
            agent = min(self.agents, key=lambda agent: agent.load(now_ms))
            self.serve(order, agent)
            order_ledger = self.ledgers[order.entry]
            self.processes[order.entry].do(
                lambda stamp: order_ledger.finish(stamp, order.key, ANSWER)
            )


class GrantSimulation(Simulation):
    """Grants keys by interval; the holder of a key runs its call."""

    name = 'grants'

    def __init__(self, load: Load) -> None:
        super().__init__(load)
        self.grant_tables = []
        for number in range(load.entries):
            process = self.world.process(f'e{number}')
            grant_table = grants.GrantTable(process.calls)
            process.components.append(grant_table)
            self.grant_tables.append(grant_table)
        self.on_agent_replaced()

    def on_agent_replaced(self) -> None:
        for grant_table in self.grant_tables:
            grant_table.agents([agent.holder for agent in self.agents])

    def arrive(self, order: Order) -> None:
        holder = self.grant_tables[order.entry].holder(order.key)
        if holder is None:
            self.record(order, 'refused')
            return
        agent = self.agents[int(holder.agent_id[1:])]
        stamp = platform_model.events.Stamp(self.world.now_ms, 0)
        verdict = agent.keys.start(stamp, order.key, 'f', holder)
        if isinstance(verdict, key_table.Deny):
            self.record(order, 'refused')
        elif isinstance(verdict, key_table.Replay):
            self.record(order, 'replayed')
        else:
            self.serve(order, agent)
            agent.keys.finish(order.key, ANSWER)


def arrivals(load: Load) -> list[Order]:
    """Draws the orders of a load, with the retries of some."""
    rng = random.Random(SEED + 1)
    orders = []
    offset_ms = float(WARM_UP_MS)
    while offset_ms < REPLACED_END_MS:
        offset_ms += rng.expovariate(load.orders_per_s / 1000)
        at_ms = platform_model.START_MS + int(offset_ms)
        hex_prefix = f'{at_ms:012x}7{rng.getrandbits(12):03x}8'
        key = str(uuid_utils.UUID(f'{hex_prefix}{rng.getrandbits(60):015x}'))
        entry = rng.randrange(load.entries)
        orders.append(Order(at_ms, entry, key, False))
        if rng.random() < RETRY_FRACTION:
            other_entry = rng.randrange(load.entries)
            retry_at_ms = at_ms + RETRY_AFTER_MS
            orders.append(Order(retry_at_ms, other_entry, key, True))
    return orders


def percentile(values: list[int], fraction: float) -> int:
    """Returns the value below which a fraction of the values lies."""
    ranked = sorted(values)
    return ranked[min(int(len(ranked) * fraction), len(ranked) - 1)]


def results_between(
    simulation: Simulation, start_ms: int, end_ms: int
) -> list[Result]:
    """Returns the results of the orders that arrived in a phase.

    Args:
      simulation: The simulation.
      start_ms: Start of the phase, since the start of the simulation.
      end_ms: End of the phase, exclusive.
    """
    return [
        result
        for result in simulation.results
        if start_ms <= result.order.at_ms - platform_model.START_MS < end_ms
    ]


def refused_fraction(results: list[Result]) -> float:
    """Returns the fraction of orders, without retries, that were refused."""
    first_attempts = [
        result for result in results if not result.order.is_retry
    ]
    refused = [
        result for result in first_attempts if result.outcome == 'refused'
    ]
    return len(refused) / len(first_attempts)


def compute_figures(simulation: Simulation) -> dict[str, float]:
    """Returns the figures of a run by name."""
    steady = results_between(simulation, WARM_UP_MS, STEADY_END_MS)
    served = [result for result in steady if result.outcome == 'served']
    added = [result.added_ms for result in served]
    queued = [result.queued_ms for result in served]
    orders = len(served)
    writes = simulation.platform_calls_by_kind.get('Put', 0)
    calls = sum(simulation.platform_calls_by_kind.values())
    figures = {
        'added p50 ms': percentile(added, 0.5),
        'added p99 ms': percentile(added, 0.99),
        'added p50 round trips': percentile(added, 0.5) / RTT_MS,
        'added p99 round trips': percentile(added, 0.99) / RTT_MS,
        'queued p50 ms': percentile(queued, 0.5),
        'queued p99 ms': percentile(queued, 0.99),
        'calls per 1000 orders': 1000 * calls / orders,
        'writes per 1000 orders': 1000 * writes / orders,
        'calls per s': calls * 1000 / STEADY_END_MS,
        'refused steady': refused_fraction(steady),
        'refused in 60 s outage': refused_fraction(
            results_between(simulation, STEADY_END_MS, OUTAGE_END_MS)
        ),
        'refused 60 s after 1 of 4 agents replaced': refused_fraction(
            results_between(simulation, OUTAGE_END_MS, REPLACED_END_MS)
        ),
        'keys run twice': sum(
            n > 1 for n in simulation.executions_by_key.values()
        ),
    }
    return figures


def broken_bounds(
    claim_figures: dict[str, float], grant_figures: dict[str, float]
) -> int:
    """Prints the bounds that do not hold and returns their number.

    Args:
      claim_figures: Figures of the claims.
      grant_figures: Figures of the grants.
    """
    checks = (
        claim_figures['writes per 1000 orders']
        <= MAX_CLAIM_WRITES_PER_ORDER * 1000,
        claim_figures['added p50 round trips'] <= MAX_CLAIM_P50_ROUND_TRIPS,
        grant_figures['refused in 60 s outage'] <= MAX_GRANT_REFUSED_IN_OUTAGE,
        claim_figures['keys run twice']
        == grant_figures['keys run twice']
        == 0,
    )
    for number, holds in enumerate(checks):
        if not holds:
            print(f'bound {number} does not hold')
    return sum(not holds for holds in checks)


def main() -> int:
    """Runs both simulations under each load and prints their figures."""
    exceeded = 0
    for load in LOADS:
        figures = []
        for simulation_class in (ClaimSimulation, GrantSimulation):
            simulation = simulation_class(load)
            simulation.run()
            figures.append(compute_figures(simulation))
        print(
            f'{load.name}: {load.entries} entries, '
            f'{load.orders_per_s:g} orders/s, RTT {RTT_MS} ms, seed {SEED}'
        )
        for name in figures[0]:
            claim_value, grant_value = figures[0][name], figures[1][name]
            print(f'  {name:44} {claim_value:10.4g} {grant_value:10.4g}')
        exceeded += broken_bounds(*figures)
    return 1 if exceeded else 0


if __name__ == '__main__':
    sys.exit(main())
