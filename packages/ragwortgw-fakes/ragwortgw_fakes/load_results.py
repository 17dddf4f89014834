"""Latencies and outcomes of a load run."""

import pathlib
from typing import Any

from hdrh import histogram

MAX_US = 3_600_000_000
DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MAX_EXAMPLES = 20


def new_histogram() -> Any:
    """Makes a histogram of latencies, in microseconds."""
    return histogram.HdrHistogram(1, MAX_US, DIGITS)


def summary(latencies: Any) -> dict[str, float]:
    """Returns count and percentiles, in ms, of a histogram."""
    fields: dict[str, float] = {'count': latencies.get_total_count()}
    for percentile in PERCENTILES:
        value_us = latencies.get_value_at_percentile(percentile)
        fields[f'p{percentile:g}_ms'] = round(value_us / 1000, 3)
    fields['max_ms'] = round(latencies.get_max_value() / 1000, 3)
    return fields


class Results:
    """Histograms by request kind and outcome.

    Latencies count from the time at which the request was to be sent, so
    that a slow system does not hide the requests that waited for it.
    """

    def __init__(self) -> None:
        self.latencies: dict[tuple[str, str], Any] = {}
        self.first_bytes_by_kind: dict[str, Any] = {}
        self.send_lags = new_histogram()
        self.examples: list[dict[str, str]] = []

    def add(self, kind: str, outcome: str, latency_s: float) -> None:
        """Adds a request that has ended."""
        found = self.latencies.get((kind, outcome))
        if found is None:
            found = self.latencies[kind, outcome] = new_histogram()
        found.record_value(max(1, int(latency_s * 1e6)))

    def add_first_byte(self, kind: str, latency_s: float) -> None:
        """Adds the time to the first byte of a stream."""
        found = self.first_bytes_by_kind.get(kind)
        if found is None:
            found = self.first_bytes_by_kind[kind] = new_histogram()
        found.record_value(max(1, int(latency_s * 1e6)))

    def add_example(self, fields: dict[str, str]) -> None:
        """Keeps some of the requests that did not end well."""
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(fields)

    def counts(self) -> dict[str, int]:
        """Returns the number of requests by outcome."""
        counts: dict[str, int] = {}
        for (_, outcome), found in sorted(self.latencies.items()):
            count = found.get_total_count()
            counts[outcome] = counts.get(outcome, 0) + count
        return counts

    def document(self) -> dict[str, Any]:
        """Returns the results as plain values."""
        kinds: dict[str, dict[str, Any]] = {}
        for (kind, outcome), found in sorted(self.latencies.items()):
            kinds.setdefault(kind, {})[outcome] = summary(found)
        first = self.first_bytes_by_kind
        return {
            'outcomes': self.counts(),
            'kinds': kinds,
            'first_byte': {k: summary(h) for k, h in sorted(first.items())},
            'send_lag': summary(self.send_lags),
            'examples': self.examples,
        }


def plot(results: Results, path: pathlib.Path) -> None:
    """Draws latency by percentile for each kind that was answered.

    Args:
      results: What was measured.
      path: Image file to write.
    """
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    steps = [100 * (1 - 10 ** (-n / 8)) for n in range(33)]
    for (kind, outcome), found in sorted(results.latencies.items()):
        if outcome != 'ok':
            continue
        values = [found.get_value_at_percentile(p) / 1000 for p in steps]
        axes.plot([100 / (100 - p) for p in steps], values, label=kind)
    axes.set_xscale('log')
    axes.set_yscale('log')
    ticks = (1, 2, 10, 100, 1000)
    axes.set_xticks(ticks, [f'{100 - 100 / t:g}' for t in ticks])
    axes.set_xlabel('percentile')
    axes.set_ylabel('ms from the intended send time')
    axes.legend(loc='center left', bbox_to_anchor=(1, 0.5))
    figure.savefig(path, bbox_inches='tight')
    pyplot.close(figure)
