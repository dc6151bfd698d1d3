"""Counters and latency quantiles of one instance."""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import GaugeMetricFamily

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 99.0, 99.9)

ReadGauges = Callable[[], dict[str, float]]


class Metrics:
    """Prometheus metrics: counters by reason, latency by service and rank."""

    def __init__(self, read_gauges: ReadGauges) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter("requests", "Answered requests.", ("service", "rank"))
        self.refusals = self._counter("refusals", "Refused requests.", ("reason", "outcome"))
        self.retries = self._counter("retries", "Tries after a failed one.", ("reason",))
        self.failures = self._counter("try_failures", "Failed tries.", ("reason",))
        self.lookups = self._counter("lookups", "Answered look-ups.", ())
        self._latency_us: dict[tuple[str, str], HdrHistogram] = {}
        self._read_gauges = read_gauges
        self.registry.register(self)

    def record_latency(self, service: str, rank: str, seconds: float) -> None:
        """Record the time from a request's head to the end of its response."""
        histogram = self._latency_us.get((service, rank))
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._latency_us[service, rank] = histogram
        histogram.record_value(max(MIN_LATENCY_US, int(seconds * 1e6)))

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
        """Nonzero counters by name and label values, joined with ``/``."""
        return {
            "/".join([sample.name.removeprefix("papayalever_"), *sample.labels.values()]): (
                sample.value
            )
            for family in self.registry.collect()
            for sample in family.samples
            if sample.name.endswith("_total") and sample.value
        }

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def collect(self):
        """Yield gauges and latency quantiles; the registry calls this on every scrape."""
        for name, value in self._read_gauges().items():
            yield GaugeMetricFamily(f"papayalever_{name}", name.replace("_", " "), value=value)
        family = GaugeMetricFamily(
            "papayalever_latency_ms", "Latency quantiles.", labels=("stream", "quantile")
        )
        for stream, quantiles in self.latency_ms().items():
            for quantile, value in quantiles.items():
                family.add_metric((stream, quantile), value)
        yield family

    def _counter(self, name: str, documentation: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"papayalever_{name}", documentation, labels, registry=self.registry)
