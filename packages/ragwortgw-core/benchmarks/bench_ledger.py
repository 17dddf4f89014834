"""Compares claims in the platform service with grants of intervals.

Run from packages/ragwortgw-core: python -m benchmarks.bench_ledger
Both ways see the same seeded arrivals in virtual time. Exit status 1
tells that a bound was exceeded.
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
#: Orders whose first answer is lost, so that the caller sends again.
RETRY_SHARE = 0.05
RETRY_AFTER_MS = 2_000
WARM_UP_MS = 5_000
STEADY_END_MS = 35_000
OUTAGE_END_MS = 95_000
REPLACED_END_MS = 155_000
DRAIN_MS = 15_000

#: Bounds that must hold, as counts and shares.
MAX_CLAIM_WRITES_PER_ORDER = 2.6
MAX_CLAIM_P50_ROUND_TRIPS = 2.0
MAX_GRANT_REFUSED_IN_OUTAGE = 0.001

ANSWER = requests.Answer(
    200, 'text/plain', b'ok', {'input_tokens': 0, 'output_tokens': 0}
)


class Load(NamedTuple):
    """Entries and the orders that arrive at them all together."""

    name: str
    entries: int
    orders_per_s: float


LOADS = (Load('today', 3, 50.0), Load('ten times', 30, 300.0))


class Order(NamedTuple):
    """An order as it arrives; again marks a caller's second try."""

    at_ms: int
    entry: int
    key: str
    again: bool


class Result(NamedTuple):
    """What became of an order."""

    order: Order
    outcome: str
    added_ms: int
    queued_ms: int


class Agent:
    """A backend server with slots, and the key book beside it."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.free_at_ms = [0] * SLOTS_PER_AGENT
        self.restart('i0')

    def restart(self, incarnation: str) -> None:
        """Replaces the process; its memory is gone."""
        self.holder = grants.Holder(f'a{self.number}', incarnation)
        self.keys = key_table.KeyTable(self.holder)

    def serve(self, now_ms: int, service_ms: int) -> int:
        """Runs a call in the first free slot; returns the wait in ms."""
        slot = min(range(SLOTS_PER_AGENT), key=self.free_at_ms.__getitem__)
        start_ms = max(now_ms, self.free_at_ms[slot])
        self.free_at_ms[slot] = start_ms + service_ms
        return start_ms - now_ms

    def load(self, now_ms: int) -> int:
        """Returns the work left in all slots, in ms."""
        return sum(max(at_ms - now_ms, 0) for at_ms in self.free_at_ms)


class Bench:
    """One way of running orders at most once, under one load."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.world = platform_model.World(SEED, rtt_ms=RTT_MS)
        self.random = random.Random(SEED)
        self.agents = [Agent(number) for number in range(AGENTS)]
        self.results: list[Result] = []
        self.runs_by_key: dict[str, int] = {}
        for order in arrivals(load):
            self.world.at(order.at_ms, lambda o=order: self.arrive(o))

    def run(self) -> None:
        """Runs the steady, outage and replacement phases."""
        self.world.run(STEADY_END_MS)
        self.calls_by_kind = dict(self.world.platform.counts_by_call)
        self.world.platform.down = True
        self.world.run(OUTAGE_END_MS - STEADY_END_MS)
        self.world.platform.down = False
        self.agents[0].restart('i1')
        self.replaced()
        self.world.run(REPLACED_END_MS - OUTAGE_END_MS + DRAIN_MS)

    def arrive(self, order: Order) -> None:
        """Takes an order at its entry."""
        raise NotImplementedError

    def replaced(self) -> None:
        """Notes that the first agent was replaced."""

    def serve(self, order: Order, agent: Agent) -> None:
        """Runs an order's call and notes it."""
        now_ms = self.world.now_ms
        service_ms = int(self.random.expovariate(1 / SERVICE_MEAN_MS)) + 1
        queued_ms = agent.serve(now_ms, service_ms)
        count = self.runs_by_key.get(order.key, 0)
        self.runs_by_key[order.key] = count + 1
        self.note(order, 'served', queued_ms)

    def note(self, order: Order, outcome: str, queued_ms: int = 0) -> None:
        """Notes what became of an order."""
        added_ms = self.world.now_ms - order.at_ms
        self.results.append(Result(order, outcome, added_ms, queued_ms))


class Claims(Bench):
    """Claims in the platform service, then the least loaded agent."""

    name = 'claims'

    def __init__(self, load: Load) -> None:
        super().__init__(load)
        self.orders_by_request: dict[str, Order] = {}
        self.ledgers = []
        self.processes = []
        for number in range(load.entries):
            process = self.world.process(f'e{number}')
            book = ledger.new_ledger(process.calls)
            process.components.append(book)
            process.on_notice = self.on_notice
            self.ledgers.append(book)
            self.processes.append(process)

    def arrive(self, order: Order) -> None:
        request = f'e{order.entry}-{len(self.orders_by_request)}'
        self.orders_by_request[request] = order
        book = self.ledgers[order.entry]
        self.processes[order.entry].do(
            lambda stamp: book.claim(
                stamp, order.key, 'f', request, configuration.DEFAULT_SYSTEM
            )
        )

    def on_notice(self, notice) -> None:
        if isinstance(notice, notices.ClaimReplayed):
            self.note(self.orders_by_request[notice.request_id], 'replayed')
        elif isinstance(notice, notices.ClaimDenied):
            self.note(self.orders_by_request[notice.request_id], 'refused')
        elif isinstance(notice, notices.ClaimGranted):
            order = self.orders_by_request[notice.request_id]
            now_ms = self.world.now_ms
            agent = min(self.agents, key=lambda a: a.load(now_ms))
            self.serve(order, agent)
            book = self.ledgers[order.entry]
            self.processes[order.entry].do(
                lambda stamp: book.finish(stamp, order.key, ANSWER)
            )


class Grants(Bench):
    """Grants of intervals; the holder of a key runs its call."""

    name = 'grants'

    def __init__(self, load: Load) -> None:
        super().__init__(load)
        self.books = []
        for number in range(load.entries):
            process = self.world.process(f'e{number}')
            book = grants.GrantTable(process.calls)
            process.components.append(book)
            self.books.append(book)
        self.replaced()

    def replaced(self) -> None:
        for book in self.books:
            book.agents([agent.holder for agent in self.agents])

    def arrive(self, order: Order) -> None:
        holder = self.books[order.entry].holder(order.key)
        if holder is None:
            self.note(order, 'refused')
            return
        agent = self.agents[int(holder.agent_id[1:])]
        stamp = platform_model.events.Stamp(self.world.now_ms, 0)
        verdict = agent.keys.start(stamp, order.key, 'f', holder)
        if isinstance(verdict, key_table.Deny):
            self.note(order, 'refused')
        elif isinstance(verdict, key_table.Replay):
            self.note(order, 'replayed')
        else:
            self.serve(order, agent)
            agent.keys.finish(order.key, ANSWER)


def arrivals(load: Load) -> list[Order]:
    """Draws the orders of a load, with the second tries of some."""
    source = random.Random(SEED + 1)
    orders = []
    offset_ms = float(WARM_UP_MS)
    while offset_ms < REPLACED_END_MS:
        offset_ms += source.expovariate(load.orders_per_s / 1000)
        at_ms = platform_model.START_MS + int(offset_ms)
        text = f'{at_ms:012x}7{source.getrandbits(12):03x}8'
        key = str(uuid_utils.UUID(f'{text}{source.getrandbits(60):015x}'))
        entry = source.randrange(load.entries)
        orders.append(Order(at_ms, entry, key, False))
        if source.random() < RETRY_SHARE:
            other = source.randrange(load.entries)
            again_ms = at_ms + RETRY_AFTER_MS
            orders.append(Order(again_ms, other, key, True))
    return orders


def percentile(values: list[int], share: float) -> int:
    """Returns a percentile of values, share in 0..1."""
    ranked = sorted(values)
    return ranked[min(int(len(ranked) * share), len(ranked) - 1)]


def between(bench: Bench, start_ms: int, end_ms: int) -> list[Result]:
    """Returns the results of orders that arrived between two offsets."""
    return [
        result
        for result in bench.results
        if start_ms <= result.order.at_ms - platform_model.START_MS < end_ms
    ]


def refused_share(results: list[Result]) -> float:
    """Returns the share of first tries that were refused."""
    first = [result for result in results if not result.order.again]
    refused = [result for result in first if result.outcome == 'refused']
    return len(refused) / len(first)


def report(bench: Bench) -> dict[str, float]:
    """Prints the figures of a run and returns them by name."""
    steady = between(bench, WARM_UP_MS, STEADY_END_MS)
    served = [r for r in steady if r.outcome == 'served']
    added = [r.added_ms for r in served]
    queued = [r.queued_ms for r in served]
    orders = len(served)
    writes = bench.calls_by_kind.get('Put', 0)
    calls = sum(bench.calls_by_kind.values())
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
        'refused steady': refused_share(steady),
        'refused in 60 s outage': refused_share(
            between(bench, STEADY_END_MS, OUTAGE_END_MS)
        ),
        'refused 60 s after 1 of 4 agents replaced': refused_share(
            between(bench, OUTAGE_END_MS, REPLACED_END_MS)
        ),
        'keys run twice': sum(n > 1 for n in bench.runs_by_key.values()),
    }
    return figures


def broken_bounds(claims: dict[str, float], granted: dict[str, float]) -> int:
    """Prints the bounds that do not hold and returns their number."""
    checks = (
        claims['writes per 1000 orders'] <= MAX_CLAIM_WRITES_PER_ORDER * 1000,
        claims['added p50 round trips'] <= MAX_CLAIM_P50_ROUND_TRIPS,
        granted['refused in 60 s outage'] <= MAX_GRANT_REFUSED_IN_OUTAGE,
        claims['keys run twice'] == granted['keys run twice'] == 0,
    )
    for number, holds in enumerate(checks):
        if not holds:
            print(f'bound {number} does not hold')
    return sum(not holds for holds in checks)


def main() -> int:
    """Runs both ways under each load and prints a table."""
    broken = 0
    for load in LOADS:
        figures = []
        for kind in (Claims, Grants):
            bench = kind(load)
            bench.run()
            figures.append(report(bench))
        print(
            f'{load.name}: {load.entries} entries, '
            f'{load.orders_per_s:g} orders/s, RTT {RTT_MS} ms, seed {SEED}'
        )
        for name in figures[0]:
            claims, granted = figures[0][name], figures[1][name]
            print(f'  {name:44} {claims:10.4g} {granted:10.4g}')
        broken += broken_bounds(*figures)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
