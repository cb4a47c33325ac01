"""Counters, gauges and latency histograms of the gateway in Prometheus text format."""

import threading

from hdrh.histogram import HdrHistogram

# Longer times are recorded as this value.
LARGEST_MS = 60_000
SIGNIFICANT_FIGURES = 2
QUANTILES = (50, 95, 99)


class GatewayMetrics:
    """Thread-safe counters, gauges and histograms by name and labels.

    >>> metrics = GatewayMetrics()
    >>> metrics.count("requests", route="plan", outcome="answered")
    >>> metrics.exposition()
    'lagoonrill_requests_total{outcome="answered",route="plan"} 1\\n'
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.counters: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self.histograms: dict[tuple[str, str], HdrHistogram] = {}
        self.gauges: dict[str, object] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increments a counter."""
        key = (name, tuple(sorted(labels.items())))
        with self.lock:
            self.counters[key] = self.counters.get(key, 0) + amount

    def observe(self, name: str, seconds: float, *, route: str) -> None:
        """Records a duration in a histogram."""
        value = min(LARGEST_MS, max(1, round(seconds * 1000)))
        with self.lock:
            histogram = self.histograms.get((name, route))
            if histogram is None:
                histogram = HdrHistogram(1, LARGEST_MS, SIGNIFICANT_FIGURES)
                self.histograms[name, route] = histogram
            histogram.record_value(value)

    def register_gauge(self, name: str, read) -> None:
        """Registers a gauge whose value is read at each exposition."""
        self.gauges[name] = read

    def exposition(self) -> str:
        """Returns all values in the Prometheus text format."""
        lines = []
        with self.lock:
            for (name, labels), value in sorted(self.counters.items()):
                lines.append(f"lagoonrill_{name}_total{_labels(labels)} {value}")
            for (name, route), histogram in sorted(self.histograms.items()):
                metric = f"lagoonrill_{name}_ms"
                for quantile in QUANTILES:
                    labels = (("quantile", f"0.{quantile}"), ("route", route))
                    value = histogram.get_value_at_percentile(quantile)
                    lines.append(f"{metric}{_labels(labels)} {value}")
                labels = _labels((("route", route),))
                lines.append(f"{metric}_count{labels} {histogram.total_count}")
        for name, read in sorted(self.gauges.items()):
            lines.append(f"lagoonrill_{name} {read()}")
        return "".join(line + "\n" for line in lines)


def _labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
