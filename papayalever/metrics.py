"""Counters and latency of one instance."""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import GaugeMetricFamily

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 99.0, 99.9)

Gauges = Callable[[], dict[str, float]]


class Metrics:
    """Counts by reason and latency by service and rank."""

    def __init__(self, read_gauges: Gauges) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter("requests", "Answered requests.", ("service", "rank"))
        self.refusals = self._counter("refusals", "Refused requests.", ("reason", "outcome"))
        self.retries = self._counter("retries", "Tries after a failed one.", ("reason",))
        self.failures = self._counter("try_failures", "Failed tries.", ("reason",))
        self.lookups = self._counter("lookups", "Answered look-ups.", ())
        self._latency_us: dict[tuple[str, str], HdrHistogram] = {}
        self._read_gauges = read_gauges
        self.registry.register(self)

    def note_latency(self, service: str, rank: str, seconds: float) -> None:
        """Record the time from a request's head to the end of its answer."""
        histogram = self._latency_us.get((service, rank))
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._latency_us[service, rank] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def latency_ms(self) -> dict[str, dict[str, float]]:
        """Latency quantiles in milliseconds by ``service/rank``."""
        return {
            f"{service}/{rank}": {
                f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / 1000
                for quantile in QUANTILES
            }
            for (service, rank), histogram in self._latency_us.items()
        }

    def counts(self) -> dict[str, float]:
        """Every counter that is not zero, by name and labels."""
        return {
            "/".join([sample.name.removeprefix("papayalever_"), *sample.labels.values()]): (
                sample.value
            )
            for family in self.registry.collect()
            for sample in family.samples
            if sample.name.endswith("_total") and sample.value
        }

    def render(self) -> bytes:
        """All metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def collect(self):
        """Gauges and latency quantiles, for the registry."""
        for name, value in self._read_gauges().items():
            yield GaugeMetricFamily(f"papayalever_{name}", name.replace("_", " "), value=value)
        family = GaugeMetricFamily(
            "papayalever_latency_ms", "Latency quantiles.", labels=("stream", "quantile")
        )
        for stream, quantiles in self.latency_ms().items():
            for quantile, value in quantiles.items():
                family.add_metric((stream, quantile), value)
        yield family

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"papayalever_{name}", text, labels, registry=self.registry)
