"""Samples of processes and stand-ins, their rates, and straight lines."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import pathlib
import statistics
import time
from typing import Any, NamedTuple

from ragwortgw_fakes import processes

PERCENT = 100.0
KB = 1024
NS_PER_S = 1e9


class Fit(NamedTuple):
    """A line by least squares; residual is the largest, in y's unit."""

    slope: float
    intercept: float
    r_squared: float
    residual: float


class Level(NamedTuple):
    """What was measured at one value of what was varied."""

    x: float
    values: dict[str, float]


class Probe(NamedTuple):
    """What to sample, by name."""

    daemons: Mapping[str, processes.Process]
    platform: processes.Process | None = None
    traffic: Mapping[str, processes.Process] = {}


class Sample(NamedTuple):
    """Totals that only grow, and gauges, at one moment."""

    at_s: float
    totals: dict[str, float]
    gauges: dict[str, float]


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Fits a straight line.

    Args:
      points: Pairs of x and y with at least two different x.
    Returns: The line and how far off it is.
    """
    xs, ys = [p[0] for p in points], [p[1] for p in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    off = [y - (slope * x + intercept) for x, y in points]
    mean = statistics.fmean(ys)
    spread = sum((y - mean) ** 2 for y in ys)
    r_squared = 1.0 - sum(e * e for e in off) / spread if spread else 1.0
    return Fit(slope, intercept, r_squared, max(abs(e) for e in off))


def fits(levels: Sequence[Level]) -> dict[str, Fit]:
    """Fits each value that all levels have against x."""
    names = set.intersection(*(set(level.values) for level in levels))
    return {
        name: fit([(level.x, level.values[name]) for level in levels])
        for name in sorted(names)
    }


def sample(probe: Probe) -> Sample:
    """Reads the totals and gauges of all that a probe names."""
    totals: dict[str, float] = {}
    gauges: dict[str, float] = {}
    for name, daemon in probe.daemons.items():
        totals[f'{name}_cpu'] = cpu_s(daemon.pid) * PERCENT
        memory = memory_mb(daemon.pid)
        gauges[f'{name}_rss_mb'] = memory['Rss']
        gauges[f'{name}_private_mb'] = (
            memory['Private_Dirty'] + memory['Private_Clean']
        )
    if probe.platform is not None:
        calls = probe.platform.records()['calls']
        for kind in ('get', 'put', 'list', 'hosts', 'watch', 'grant'):
            totals[f'platform_{kind}'] = calls.get(kind, 0)
        totals['platform_calls'] = sum(calls.values())
    for name, standin in probe.traffic.items():
        counts = standin.records()
        totals[f'{name}_in_messages'] = sum(counts['received'].values())
        totals[f'{name}_out_messages'] = sum(counts['sent'].values())
        totals[f'{name}_in_bytes'] = counts['received_bytes']
        totals[f'{name}_out_bytes'] = counts['sent_bytes']
        received = counts['received']
        totals[f'{name}_configurations'] = received.get('configuration', 0)
    return Sample(time.monotonic(), totals, gauges)


def rates(before: Sample, after: Sample, units: float = 0) -> dict[str, float]:
    """Divides what grew between two samples.

    Args:
      before: The earlier sample.
      after: The later one.
      units: What to divide by; the time between them, in s, if 0.
    Returns: By name; processor time in % of a core if divided by time.
    """
    over = units or after.at_s - before.at_s
    grown = {
        name: (after.totals[name] - before.totals[name]) / over
        for name in after.totals
    }
    return {**grown, **after.gauges}


def repeated(
    probe: Probe, run: Callable[[], Any], repeats: int, units: float = 0
) -> dict[str, float]:
    """Measures a run several times.

    Args:
      probe: What to sample.
      run: Takes the time in which rates are measured.
      repeats: How often.
      units: What to divide by; the time, in s, if 0.
    Returns: Medians by name.
    """
    runs = []
    for _ in range(repeats):
        before = sample(probe)
        run()
        runs.append(rates(before, sample(probe), units))
    return {
        name: statistics.median(each[name] for each in runs)
        for name in runs[0]
    }


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process took, in s."""
    tasks = pathlib.Path(f'/proc/{pid}/task').glob('*/schedstat')
    return sum(int(t.read_text().split()[0]) for t in tasks) / NS_PER_S


def memory_mb(pid: int) -> dict[str, float]:
    """Returns resident and private memory of a process, in MB."""
    lines = pathlib.Path(f'/proc/{pid}/smaps_rollup').read_text().splitlines()
    sizes = [line.split() for line in lines[1:]]
    return {s[0].rstrip(':'): int(s[1]) / KB for s in sizes}
