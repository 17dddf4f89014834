"""Counters and latency histograms of a process."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import re
from typing import Any, Protocol

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from ragwortgw_core import effects

PREFIX = 'ragwortgw_'
MAX_SERIES = 128
#: Series of one gauge; as many as the servers of a region and more.
MAX_GAUGES = 2_048
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.95, 0.99, 0.999)
OTHER = 'other'

Labels = tuple[tuple[str, str], ...]

_INVALID = re.compile(r'[^a-zA-Z0-9_]')


def metric_name(name: str) -> str:
    """Returns the exported name of a metric."""
    return PREFIX + _INVALID.sub('_', name)


class _Histograms(registry.Collector):
    """Renders latency histograms as summaries with quantiles."""

    def __init__(self) -> None:
        self.by_labels_by_name: dict[
            str, dict[Labels, histogram.HdrHistogram]
        ] = {}
        self.sums_by_series: dict[tuple[str, Labels], int] = {}

    def collect(self) -> Iterator[Any]:
        for name, by_labels in self.by_labels_by_name.items():
            family = core.Metric(name, 'Latency in ms', 'summary')
            for labels, values in by_labels.items():
                self._add(family, name, labels, values)
            yield family

    def _add(
        self,
        family: Any,
        name: str,
        labels: Labels,
        values: histogram.HdrHistogram,
    ) -> None:
        fixed = dict(labels)
        for quantile in QUANTILES:
            family.add_sample(
                name,
                {**fixed, 'quantile': str(quantile)},
                values.get_value_at_percentile(quantile * 100),
            )
        family.add_sample(name + '_count', fixed, values.get_total_count())
        total = self.sums_by_series[name, labels]
        family.add_sample(name + '_sum', fixed, total)


class Gauge(Protocol):
    """A figure of the moment; labels are (name, value) pairs."""

    @property
    def metric(self) -> str:
        """Its name."""

    @property
    def labels(self) -> Labels:
        """Its labels."""

    @property
    def value(self) -> float:
        """The figure."""


class _Gauges(registry.Collector):
    """Asks for figures of the moment whenever metrics are rendered."""

    def __init__(self, read: Callable[[], Iterable[Gauge]]) -> None:
        self._read = read

    def collect(self) -> Iterator[Any]:
        families_by_name: dict[str, Any] = {}
        left_out = 0
        for gauge in self._read():
            name = metric_name(gauge.metric)
            family = families_by_name.get(name)
            if family is None:
                family = core.Metric(name, name, 'gauge')
                families_by_name[name] = family
            if len(family.samples) >= MAX_GAUGES:
                left_out += 1
                continue
            family.add_sample(name, dict(gauge.labels), gauge.value)
        yield from families_by_name.values()
        name = metric_name('gauges_left_out')
        family = core.Metric(name, 'Series beyond the bound', 'gauge')
        family.add_sample(name, {}, left_out)
        yield family


class Metrics:
    """Metrics by name and labels, with a bounded number of series.

    A metric's label names are those of its first use; a series beyond
    MAX_SERIES of one metric goes to a series whose labels are all 'other'.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._counters_by_name: dict[str, Any] = {}
        self._label_names_by_name: dict[str, tuple[str, ...]] = {}
        self._series_by_name: dict[str, set[Labels]] = {}
        self._histograms = _Histograms()
        self.registry.register(self._histograms)

    def count(self, effect: effects.Count) -> None:
        """Adds to a counter."""
        name = metric_name(effect.metric)
        labels = self._bounded(name, effect.labels)
        counter = self._counters_by_name.get(name)
        if counter is None:
            counter = self._new(prometheus_client.Counter, name)
            self._counters_by_name[name] = counter
        _series(counter, labels).inc(effect.amount)

    def observe(self, effect: effects.Observe) -> None:
        """Adds a latency, in ms, to a histogram."""
        name = metric_name(effect.metric)
        labels = self._bounded(name, effect.labels)
        by_labels = self._histograms.by_labels_by_name.setdefault(name, {})
        values = by_labels.get(labels)
        if values is None:
            values = histogram.HdrHistogram(
                1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
            )
            by_labels[labels] = values
        value_ms = min(max(0, effect.value_ms), MAX_LATENCY_MS)
        values.record_value(value_ms)
        series = (name, labels)
        sums = self._histograms.sums_by_series
        sums[series] = sums.get(series, 0) + value_ms

    def read_gauges(self, read: Callable[[], Iterable[Gauge]]) -> None:
        """Adds gauges that are read whenever metrics are rendered.

        Args:
          read: Returns the figures of the moment.
        """
        self.registry.register(_Gauges(read))

    def render(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _new(self, metric_type: Any, name: str) -> Any:
        label_names = self._label_names_by_name[name]
        return metric_type(name, name, label_names, registry=self.registry)

    def _bounded(self, name: str, labels: Labels) -> Labels:
        label_names = self._label_names_by_name.get(name)
        if label_names is None:
            label_names = tuple(label for label, _ in labels)
            self._label_names_by_name[name] = label_names
        given = dict(labels)
        ordered = tuple((label, given.get(label, '')) for label in label_names)
        series = self._series_by_name.setdefault(name, set())
        if ordered in series:
            return ordered
        if len(series) >= MAX_SERIES:
            return tuple((label, OTHER) for label in label_names)
        series.add(ordered)
        return ordered


def _series(metric: Any, labels: Labels) -> Any:
    if not labels:
        return metric
    return metric.labels(*(value for _, value in labels))


def new_metrics() -> Metrics:
    """Creates the metrics of a process."""
    prometheus_client.disable_created_metrics()
    return Metrics()
