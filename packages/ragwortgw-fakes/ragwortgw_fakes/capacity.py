"""Measures how the cost of each role grows with what it serves."""

from collections.abc import Callable
import json
import pathlib
import statistics
import time
from typing import Any, NamedTuple

from ragwortgw_fakes import load
from ragwortgw_fakes import measuring
from ragwortgw_fakes import mixes
from ragwortgw_fakes import seeding
from ragwortgw_fakes import system

REPEATS = 3
WINDOW_S = 4.0
LOAD_S = 2.5
SETTLE_S = 2.0
SEED = 1
CHANGES = 10
STANDINS = 8
KEY = 'capacity-key'
AGENT_LEVELS = (1, 8, 24, 64)
ENTRY_LEVELS = (1, 4, 8, 16)
OBJECT_LEVELS = (10, 100, 1_000)
ROLLOUT_LEVELS = (0, 2, 4)
HOST_LEVELS = (1_000, 4_000, 12_000)
RATES_BY_KIND = {
    'balance': (5.0, 15.0, 40.0),
    'topup': (2.0, 5.0, 10.0),
    'question': (2.0, 4.0, 8.0),
    'brief': (1.0, 2.0, 4.0),
}

CONFIGURATION = f"""
create model desk input 100 output 300 quality 0.6
create model lunch kind service call 20 routes GET:/balance:repeatable:interactive, POST:/topups:once:interactive
create version desk@v1
create version lunch@v1
create organisation first permits desk, lunch rate 1000 burst 1000
create key {system.hash_of(KEY)} organisation first label first
"""  # noqa: E501


class Result(NamedTuple):
    """Levels of one thing varied."""

    varied: str
    per: str
    levels: list[measuring.Level]


Experiment = Callable[[], list[Result]]
_experiments: dict[str, Experiment] = {}


def _experiment(name: str) -> Callable[[Experiment], Experiment]:
    def register(function: Experiment) -> Experiment:
        _experiments[name] = function
        return function

    return register


def wait(seconds: float = WINDOW_S) -> None:
    """Lets time pass, in which a system runs."""
    time.sleep(seconds)


def start_standins(
    whole: system.System, count: int, name: str = 'agents'
) -> Any:
    """Starts stand-in agents that have all versions loaded."""
    return whole.group.start_fake(
        'agents',
        '--count',
        str(count),
        '--versions',
        'desk@v1,lunch@v1',
        name=name,
    )


def list_standins(whole: system.System, standins: Any, count: int) -> None:
    """Puts the first stand-in agents on the host list, and waits."""
    addresses = standins.records()['addresses']
    for host_id, address in list(addresses.items())[:count]:
        whole.list_host(host_id, 'agent', address, 'zone-a')
    system.wait_for(
        lambda: standins.records()['connections'] == count,
        f'{count} stand-in agents connected',
        60.0,
    )


@_experiment('connections')
def measure_connections() -> list[Result]:
    """Varies the agents of an entry and the entries of an agent."""
    with system.System() as whole:
        entry = whole.start_entry('entry-1')
        whole.commands(CONFIGURATION)
        backend = whole.start_backend('lunch', 'lunch@v1', kind='service')
        agents = start_standins(whole, max(AGENT_LEVELS))
        entries = whole.group.start_fake(
            'entries', '--agent', backend.agent.ready['grpc_address']
        )
        probe = measuring.Probe(
            {'entry': entry, 'agent': backend.agent},
            whole.platform,
            {'agents': agents, 'entries': entries},
        )
        of_entry, of_agent = [], []
        for count, others in zip(AGENT_LEVELS, ENTRY_LEVELS, strict=True):
            list_standins(whole, agents, count)
            entries.control(entries=others)
            wait(SETTLE_S)
            values = measuring.repeated(probe, wait, REPEATS)
            mine = ('entry_', 'agents_', 'platform_')
            of_entry.append(_level(count, values, mine))
            of_agent.append(_level(others, values, ('agent_', 'entries_')))
    return [
        Result('agents connected to an entry', 's', of_entry),
        Result('entries connected to an agent', 's', of_agent),
    ]


@_experiment('objects')
def measure_objects() -> list[Result]:
    """Varies the objects in the configuration; changes it at each size."""
    idle, changed = [], []
    with system.System() as whole:
        entry = whole.start_entry('entry-1')
        whole.commands(CONFIGURATION)
        for level in OBJECT_LEVELS:
            made = seeding.grow(whole, level)
            whole.wait_in_force()
            standins = start_standins(whole, STANDINS, f'agents-{level}')
            list_standins(whole, standins, STANDINS)
            probe = measuring.Probe(
                {'entry': entry}, whole.platform, {'agents': standins}
            )
            wait(SETTLE_S)
            idle.append(_level(made, measuring.repeated(probe, wait, REPEATS)))
            values = measuring.repeated(
                probe, lambda: _change(whole), REPEATS, CHANGES
            )
            values['entry_cpu_ms'] = 10 * values.pop('entry_cpu')
            changed.append(_level(made, values))
            standins.kill()
            wait(SETTLE_S)
    return [
        Result('objects in the configuration', 's', idle),
        Result('objects in the configuration', 'change', changed),
    ]


def _change(whole: system.System) -> None:
    for number in range(CHANGES):
        whole.command(f'set organisation first rate {1000 + number}')
        wait(0.1)
    wait(1.5)


@_experiment('requests')
def measure_requests() -> list[Result]:
    """Varies the rate of service calls and of streamed chats."""
    results = []
    with system.System() as whole:
        service = whole.start_backend('lunch', 'lunch@v1', 'service')
        engine = whole.start_backend('desk', 'desk@v1=0.6', slots=64)
        entry = whole.start_entry('entry-1')
        whole.commands(CONFIGURATION)
        whole.wait_in_force()
        whole.wait_connected(2)
        agents = {
            'balance': service,
            'topup': service,
            'question': engine,
            'brief': engine,
        }
        for kind, offered in RATES_BY_KIND.items():
            probe = measuring.Probe(
                {'entry': entry, 'agent': agents[kind].agent}, whole.platform
            )
            levels = [
                _load_level(entry, probe, kind, rate) for rate in offered
            ]
            results.append(Result(f'{kind} requests a second', 's', levels))
    return results


def _load_level(
    entry: Any, probe: measuring.Probe, kind: str, rate: float
) -> measuring.Level:
    plan = load.Plan(
        [entry.ready['caller_address']],
        [KEY],
        mixes.Mix({kind: 1.0}),
        {**mixes.TARGETS, 'question': 'desk', 'brief': 'desk'},
        rate,
        LOAD_S,
        SEED,
        4,
        200,
        {},
    )
    outcomes: list[dict[str, int]] = []
    served: list[float] = []

    def run() -> None:
        begin_s = time.monotonic()
        counts = load.run_load(plan).counts()
        outcomes.append(counts)
        served.append(counts.get('ok', 0) / (time.monotonic() - begin_s))

    values = measuring.repeated(probe, run, REPEATS)
    sent = sum(sum(each.values()) for each in outcomes)
    good = sum(each.get('ok', 0) for each in outcomes)
    values['not_ok_share'] = 1.0 - good / max(sent, 1)
    return _level(sorted(served)[len(served) // 2], values)


@_experiment('rollouts')
def measure_rollouts() -> list[Result]:
    """Varies the number of roll-outs that run."""
    levels = []
    with system.System() as whole:
        entry = whole.start_entry('entry-1')
        whole.commands(CONFIGURATION)
        probe = measuring.Probe({'entry': entry}, whole.platform)
        running = 0
        for level in ROLLOUT_LEVELS:
            while running < level:
                model = f'model-{running}'
                whole.commands(
                    f'create model {model} input 1 output 1\n'
                    f'create version {model}@v1\n'
                    f'create version {model}@v2\n'
                    f'rollout {model} to v2 from v1 steps 10%, 50%'
                )
                running += 1
            wait(SETTLE_S)
            levels.append(
                _level(level, measuring.repeated(probe, wait, REPEATS))
            )
    return [Result('roll-outs running', 's', levels)]


@_experiment('hosts')
def measure_hosts() -> list[Result]:
    """Varies the length of the host list that a new entry reads first."""
    levels = []
    with system.System() as whole:
        whole.start_entry('entry-0')
        whole.commands(CONFIGURATION)
        for level in HOST_LEVELS:
            for number in range(level):
                host = {
                    'id': f'agent-{number:06}',
                    'role': 'agent',
                    'address': '127.0.0.1:9',
                    'zone': f'region-{number % 8}-zone-{number % 28}',
                    'region': f'region-{number % 8}',
                    'state': 'live',
                }
                whole.hosts_by_id[host['id']] = host
            whole.publish_hosts()
            runs = [_read_list(whole, level, each) for each in range(REPEATS)]
            values = {
                name: statistics.median(run[name] for run in runs)
                for name in runs[0]
            }
            size = len(json.dumps(list(whole.hosts_by_id.values())))
            values['list_kb'] = size / measuring.KB
            levels.append(_level(level, values))
    return [Result('hosts in the list', 'read', levels)]


def _read_list(
    whole: system.System, level: int, number: int
) -> dict[str, float]:
    """Starts an entry, which reads the list once, and ends it."""
    entry = whole.start_entry(
        f'entry-{level}-{number}', settings={'agent_subset': '8'}
    )
    wait()
    memory = measuring.memory_mb(entry.pid)
    values = {
        'entry_cpu_ms': 1000 * measuring.cpu_s(entry.pid),
        'entry_rss_mb': memory['Rss'],
        'entry_private_mb': memory['Private_Dirty'] + memory['Private_Clean'],
    }
    entry.kill()
    return values


def _level(
    x: float,
    values: dict[str, float],
    prefixes: tuple[str, ...] = ('',),
) -> measuring.Level:
    kept = {k: v for k, v in values.items() if k.startswith(prefixes)}
    return measuring.Level(x, kept)


def describe(result: Result) -> str:
    """Returns the table of a result's lines, without what stayed zero."""
    xs = ', '.join(f'{level.x:g}' for level in result.levels)
    lines = [
        f'\n{result.varied} ({xs}), values per {result.per}',
        f'{"value":28} {"slope":>12} {"at zero":>12} {"R^2":>7} '
        f'{"residual":>10}',
    ]
    for name, line in measuring.fits(result.levels).items():
        if not any(level.values[name] for level in result.levels):
            continue
        lines.append(
            f'{name:28} {line.slope:12.5g} {line.intercept:12.5g} '
            f'{line.r_squared:7.3f} {line.residual:10.3g}'
        )
    return '\n'.join(lines)


def document(result: Result) -> dict[str, Any]:
    """Returns a result with its lines as plain values."""
    lines = measuring.fits(result.levels)
    return {
        'varied': result.varied,
        'per': result.per,
        'levels': [level._asdict() for level in result.levels],
        'fits': {name: line._asdict() for name, line in lines.items()},
    }


def main(*, only: str = '', result: pathlib.Path | None = None) -> None:
    """Measures slopes by small stand-ins and prints fitted lines.

    Args:
      only: Names of experiments, parted by commas; all if not given.
      result: File for the levels and lines as JSON.
    """
    begin_s = time.monotonic()
    chosen = [name for name in only.split(',') if name] or list(_experiments)
    results: list[Result] = []
    for name in chosen:
        for measured in _experiments[name]():
            results.append(measured)
            print(describe(measured), flush=True)
    print(f'\n{time.monotonic() - begin_s:.0f} s in all')
    if result is not None:
        text = json.dumps([document(each) for each in results], indent=2)
        result.write_text(text + '\n')
