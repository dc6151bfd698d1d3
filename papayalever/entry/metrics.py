"""Counters, gauges and latency histograms of an entry instance."""

from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

LOWEST_US = 100
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0)


class EntryMetrics:
    """Counters and duration histograms by name and label.

    The Prometheus client is imported on the first scrape: a restarted instance serves sooner.
    """

    def __init__(self, read_gauges: Callable[[], dict[str, float]]) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self._histogram_by_key: dict[tuple[str, str], HdrHistogram] = {}
        self._read_gauges = read_gauges

    def count(self, name: str, label: str, amount: int = 1) -> None:
        """Increment a counter, for example ``refusals`` labelled with the reason."""
        self.counts[name, label] += amount

    def time(self, name: str, label: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        key = (name, label)
        histogram = self._histogram_by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histogram_by_key[key] = histogram
        histogram.record_value(min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6))))

    def render(self) -> bytes:
        """All metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self):
        """Yield the metric families; called by the Prometheus registry."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name in sorted({name for name, _ in self.counts}):
            family = CounterMetricFamily(f"papayalever_{name}", name, labels=("label",))
            for (other, label), value in sorted(self.counts.items()):
                if other == name:
                    family.add_metric((label,), value)
            yield family
        for name, value in self._read_gauges().items():
            yield GaugeMetricFamily(f"papayalever_{name}", name, value=value)
        family = GaugeMetricFamily(
            "papayalever_duration_seconds", "Quantiles", labels=("name", "label", "quantile")
        )
        for (name, label), histogram in sorted(self._histogram_by_key.items()):
            for quantile in QUANTILES:
                seconds = histogram.get_value_at_percentile(quantile) / 1e6
                family.add_metric((name, label, f"{quantile / 100:g}"), seconds)
        yield family
