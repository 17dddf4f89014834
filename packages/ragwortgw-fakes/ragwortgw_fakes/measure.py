"""Measures what entry and agent add to a direct call, in one run."""

import http.client
import json
import os
import pathlib
import statistics
import time
from typing import Any, NamedTuple

from hdrh import histogram
import msgspec

from ragwortgw_fakes import processes
from ragwortgw_fakes import system

MAX_US = 60_000_000
DIGITS = 3
US_PER_S = 1_000_000
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
MIB = 1 << 20
SETTLE_S = 5.0
CPU_FIELDS = slice(11, 13)


class Latency(NamedTuple):
    """Percentiles of a series, in ms."""

    p50: float
    p99: float


class Cost(NamedTuple):
    """Processor time a request in ms, and resident memory in MiB."""

    cpu_ms: float
    memory_mib: float


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in s."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return sum(int(ticks) for ticks in fields[CPU_FIELDS]) / TICKS_PER_S


def memory_mib(pid: int) -> float:
    """Returns the resident memory of a process, in MiB."""
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * PAGE_BYTES / MIB


class Caller:
    """One kept-alive connection; a context manager."""

    def __init__(self, address: str, model: str) -> None:
        host, _, port = address.rpartition(':')
        self._connection = http.client.HTTPConnection(
            host, int(port), timeout=30
        )
        self._model = model

    def __enter__(self) -> 'Caller':
        return self

    def __exit__(self, *exc: object) -> None:
        self._connection.close()

    def chat(self, number: int, stream: bool) -> tuple[float, float]:
        """Sends a chat; returns times to first byte and to the end, in s."""
        body = {
            'model': self._model,
            'stream': stream,
            'messages': [
                {'role': 'user', 'content': f'number {number} tokens=8'}
            ],
        }
        headers = {'Authorization': f'Bearer {system.CALLER_KEY}'}
        began_s = time.perf_counter()
        self._connection.request(
            'POST',
            '/v1/chat/completions',
            msgspec.json.encode(body),
            headers,
        )
        response = self._connection.getresponse()
        response.read(1)
        first_s = time.perf_counter() - began_s
        response.read()
        if response.status != 200:
            raise system.ConditionNotMet(f'status {response.status}')
        return first_s, time.perf_counter() - began_s


def measure(
    address: str, model: str, count: int, stream: bool
) -> tuple[Latency, Latency]:
    """Sends chats one after the other.

    Returns: Times to the first byte and to the end.
    """
    firsts = histogram.HdrHistogram(1, MAX_US, DIGITS)
    ends = histogram.HdrHistogram(1, MAX_US, DIGITS)
    with Caller(address, model) as caller:
        for number in range(count):
            first_s, end_s = caller.chat(number, stream)
            firsts.record_value(int(first_s * US_PER_S))
            ends.record_value(int(end_s * US_PER_S))
    return percentiles(firsts), percentiles(ends)


def percentiles(recorded: histogram.HdrHistogram) -> Latency:
    """Reads percentiles of a histogram of us."""
    return Latency(
        recorded.get_value_at_percentile(50) / 1_000,
        recorded.get_value_at_percentile(99) / 1_000,
    )


def start(whole: system.System) -> None:
    """Starts one fast engine, its agent and one entry."""
    whole.start_backend(
        'engine', 'proof@v1', slots=64, flags=('--tokens-per-s', '4000')
    )
    whole.start_entry('entry-1')
    whole.commands(
        f"""
        create model proof input 100 output 300 quality 0.8
        create version proof@v1
        create organisation litoral permits proof rate 100000 burst 100000
        create key {system.hash_of(system.CALLER_KEY)} organisation litoral
        """
    )
    whole.wait_in_force()
    whole.wait_connected(1)


def idle(roles: dict[str, processes.Process]) -> dict[str, Any]:
    """Measures processes that have nothing to do."""
    before = {name: cpu_s(role.pid) for name, role in roles.items()}
    time.sleep(SETTLE_S)
    return {
        name: {
            'core_percent': 100 * (cpu_s(role.pid) - before[name]) / SETTLE_S,
            'memory_mib': memory_mib(role.pid),
        }
        for name, role in roles.items()
    }


def main(*, count: int = 500, rounds: int = 3, output: str = '') -> None:
    """Compares direct calls with calls through entry and agent.

    Args:
      count: Requests in each series.
      rounds: Series of each kind, direct and routed in turn.
      output: File for the result as JSON; '' writes none.
    """
    with system.System() as whole:
        start(whole)
        engine = whole.backends_by_name['engine']
        entry = whole.entries_by_id['entry-1']
        roles = {'entry': entry, 'agent': engine.agent}
        addresses = {
            'direct': (engine.server.address, 'proof@v1'),
            'routed': (entry.ready['caller_address'], 'proof'),
        }
        result: dict[str, Any] = {'idle': idle(roles), 'requests': count}
        for stream in (False, True):
            kind = 'stream' if stream else 'whole'
            for name, (address, model) in addresses.items():
                measure(address, model, 50, stream)
            before = {name: cpu_s(role.pid) for name, role in roles.items()}
            series: dict[str, list[tuple[Latency, Latency]]] = {}
            for _ in range(rounds):
                for name, (address, model) in addresses.items():
                    series.setdefault(name, []).append(
                        measure(address, model, count, stream)
                    )
            result[kind] = summarise(series)
            result[kind]['cost'] = {
                name: Cost(
                    1_000
                    * (cpu_s(role.pid) - before[name])
                    / (count * rounds),
                    memory_mib(role.pid),
                )._asdict()
                for name, role in roles.items()
            }
    text = json.dumps(result, indent=2)
    print(text)
    if output:
        pathlib.Path(output).write_text(text + '\n')


def summarise(
    series: dict[str, list[tuple[Latency, Latency]]],
) -> dict[str, Any]:
    """Takes the median over rounds of each percentile, in ms."""
    summary: dict[str, Any] = {}
    for name, measured in series.items():
        summary[name] = {
            'first_p50_ms': median(each[0].p50 for each in measured),
            'first_p99_ms': median(each[0].p99 for each in measured),
            'end_p50_ms': median(each[1].p50 for each in measured),
            'end_p99_ms': median(each[1].p99 for each in measured),
        }
    summary['added'] = {
        key: round(summary['routed'][key] - summary['direct'][key], 3)
        for key in summary['direct']
    }
    return summary


def median(values: Any) -> float:
    """Returns the median, rounded to the us."""
    return round(statistics.median(values), 3)
