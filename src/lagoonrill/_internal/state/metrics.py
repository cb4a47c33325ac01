"""Metrics by class: latency, attainment, goodput and wasted tokens.

Each request is recorded once, at its end. Quantiles cover the last one to two minutes;
counts and sums are totals since the start.

>>> metrics = Metrics()
>>> menu = RequestClass(name="menu", tier=1, latency=LatencyTarget(first_token_ms=500))
>>> metrics.record_request(menu, result="ok", first_token_s=0.2, useful_tokens=40)
>>> metrics.dump().classes[0].met
1
"""

import threading
import time
from collections import Counter
from collections.abc import Iterator

import msgspec
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import Metric

from ..protocol.manifest import LatencyTarget, RequestClass

RESULT_OK = "ok"
# Results caused by the caller do not count towards attainment.
CALLER_RESULTS = frozenset(
    {
        "bad_request",
        "unauthorized",
        "not_found",
        "too_large",
        "key_missing",
        "key_reused",
        "cancelled",
    }
)
UNITS_PER_S = 10_000
LARGEST_LATENCY_S = 3_600
SIGNIFICANT_DIGITS = 2
WINDOW_S = 60.0
QUANTILES = (0.5, 0.95, 0.99)


class LatencySummary(msgspec.Struct, kw_only=True):
    """Quantiles in seconds of the recent window; count and sum since the start."""

    count: int
    sum_s: float
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class ClassSummary(msgspec.Struct, kw_only=True):
    """Metrics of one class; `attainment` is met / judged, or None if judged is 0."""

    name: str
    judged: int
    met: int
    attainment: float | None
    useful_answers: int
    useful_tokens: int
    results: dict[str, int]
    sheds: dict[str, int]
    first_token: LatencySummary
    token_gap: LatencySummary
    whole_answer: LatencySummary


class MetricsSummary(msgspec.Struct, kw_only=True):
    """Metrics of all classes for the state dump."""

    classes: list[ClassSummary]
    wasted_tokens: dict[str, int]


class LatencyHistogram:
    """Pair of HdrHistograms that rotate, so that quantiles cover recent values only."""

    __slots__ = ("count", "current", "previous", "started_at", "sum_s")

    def __init__(self):
        self.current = self._new()
        self.previous = self._new()
        self.started_at = time.monotonic()
        self.count = 0
        self.sum_s = 0.0

    def record(self, seconds: float) -> None:
        """Records a latency; values above one hour are clamped to one hour."""
        self._rotate()
        bounded = min(max(seconds, 0.0), LARGEST_LATENCY_S)
        self.current.record_value(max(1, int(bounded * UNITS_PER_S)))
        self.count += 1
        self.sum_s += seconds

    def summary(self) -> LatencySummary:
        """Returns the quantiles of the current and the previous window."""
        self._rotate()
        recent = self._new()
        recent.add(self.previous)
        recent.add(self.current)
        values = [
            recent.get_value_at_percentile(100 * quantile) / UNITS_PER_S
            for quantile in QUANTILES
        ]
        return LatencySummary(
            count=self.count,
            sum_s=self.sum_s,
            p50_s=values[0],
            p95_s=values[1],
            p99_s=values[2],
            max_s=recent.get_max_value() / UNITS_PER_S,
        )

    def _rotate(self) -> None:
        now = time.monotonic()
        windows = int((now - self.started_at) / WINDOW_S)
        if windows == 0:
            return
        self.previous = self.current if windows == 1 else self._new()
        self.current = self._new()
        self.started_at = now

    def _new(self) -> HdrHistogram:
        return HdrHistogram(1, LARGEST_LATENCY_S * UNITS_PER_S, SIGNIFICANT_DIGITS)


class ClassMetrics:
    """Mutable metrics of one class."""

    __slots__ = (
        "first_token",
        "judged",
        "lock",
        "met",
        "results",
        "sheds",
        "token_gap",
        "useful_answers",
        "useful_tokens",
        "whole_answer",
    )

    def __init__(self):
        self.lock = threading.Lock()
        self.first_token = LatencyHistogram()
        self.token_gap = LatencyHistogram()
        self.whole_answer = LatencyHistogram()
        self.results: Counter[str] = Counter()
        self.sheds: Counter[str] = Counter()
        self.judged = 0
        self.met = 0
        self.useful_answers = 0
        self.useful_tokens = 0

    def summary(self, name: str) -> ClassSummary:
        """Returns an immutable summary."""
        with self.lock:
            return ClassSummary(
                name=name,
                judged=self.judged,
                met=self.met,
                attainment=self.met / self.judged if self.judged else None,
                useful_answers=self.useful_answers,
                useful_tokens=self.useful_tokens,
                results=dict(self.results),
                sheds=dict(self.sheds),
                first_token=self.first_token.summary(),
                token_gap=self.token_gap.summary(),
                whole_answer=self.whole_answer.summary(),
            )


def _within(seconds: float | None, limit_ms: int | None) -> bool:
    if limit_ms is None:
        return True
    return seconds is not None and seconds * 1000 <= limit_ms


def meets_target(
    target: LatencyTarget,
    *,
    first_token_s: float | None,
    token_gap_s: float | None,
    whole_answer_s: float | None,
) -> bool:
    """Returns whether an answer is within every latency limit of its class.

    An answer of one token has no token gap and always meets that limit.
    """
    gap_s = 0.0 if token_gap_s is None else token_gap_s
    return (
        _within(first_token_s, target.first_token_ms)
        and _within(gap_s, target.token_gap_ms)
        and _within(whole_answer_s, target.whole_answer_ms)
    )


class Metrics:
    """Metrics of all classes; each class has its own lock."""

    def __init__(self):
        self.lock = threading.Lock()
        self.classes: dict[str, ClassMetrics] = {}
        self.wasted: Counter[str] = Counter()
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(self)

    def record_request(
        self,
        request_class: RequestClass,
        *,
        result: str,
        first_token_s: float | None = None,
        token_gap_s: float | None = None,
        whole_answer_s: float | None = None,
        useful_tokens: int = 0,
    ) -> None:
        """Records the end of one request.

        `result` is `ok` or the kind of the error. `token_gap_s` is the 95th percentile
        of the answer's token gaps. Every request counts towards attainment unless its
        caller caused the result; only an `ok` answer can meet its target.
        """
        metrics = self._class(request_class.name)
        ok = result == RESULT_OK
        met = ok and meets_target(
            request_class.latency,
            first_token_s=first_token_s,
            token_gap_s=token_gap_s,
            whole_answer_s=whole_answer_s,
        )
        with metrics.lock:
            metrics.results[result] += 1
            if result not in CALLER_RESULTS:
                metrics.judged += 1
            if met:
                metrics.met += 1
            if ok:
                metrics.useful_answers += 1
                metrics.useful_tokens += useful_tokens
            if first_token_s is not None:
                metrics.first_token.record(first_token_s)
            if token_gap_s is not None:
                metrics.token_gap.record(token_gap_s)
            if ok and whole_answer_s is not None:
                metrics.whole_answer.record(whole_answer_s)

    def record_shed(self, class_name: str, reason: str) -> None:
        """Records that a request was shed; `record_request` records its end."""
        metrics = self._class(class_name)
        with metrics.lock:
            metrics.sheds[reason] += 1

    def record_wasted(self, cause: str, tokens: int) -> None:
        """Records tokens that were generated and then discarded or generated again."""
        with self.lock:
            self.wasted[cause] += tokens

    def exposition(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def dump(self) -> MetricsSummary:
        """Returns a summary of all metrics."""
        with self.lock:
            classes = sorted(self.classes.items())
            wasted = dict(self.wasted)
        return MetricsSummary(
            classes=[metrics.summary(name) for name, metrics in classes],
            wasted_tokens=wasted,
        )

    def collect(self) -> Iterator[Metric]:
        """Yields metric families; called by the registry."""
        summary = self.dump()
        for name in ("first_token", "token_gap", "whole_answer"):
            yield self._latency_family(name, summary.classes)
        yield from self._class_families(summary.classes)
        wasted = Metric(
            "lagoonrill_wasted_tokens", "Tokens discarded or repeated", "counter"
        )
        for cause, tokens in summary.wasted_tokens.items():
            wasted.add_sample(
                "lagoonrill_wasted_tokens_total", {"cause": cause}, tokens
            )
        yield wasted

    def _class(self, name: str) -> ClassMetrics:
        metrics = self.classes.get(name)
        if metrics is None:
            with self.lock:
                metrics = self.classes.setdefault(name, ClassMetrics())
        return metrics

    def _latency_family(self, field: str, classes: list[ClassSummary]) -> Metric:
        name = f"lagoonrill_{field}_seconds"
        family = Metric(name, f"Latency ({field.replace('_', ' ')})", "summary")
        for item in classes:
            latency: LatencySummary = getattr(item, field)
            labels = {"class": item.name}
            values = (latency.p50_s, latency.p95_s, latency.p99_s)
            for quantile, value in zip(QUANTILES, values, strict=True):
                family.add_sample(name, labels | {"quantile": str(quantile)}, value)
            family.add_sample(f"{name}_count", labels, latency.count)
            family.add_sample(f"{name}_sum", labels, latency.sum_s)
        return family

    def _class_families(self, classes: list[ClassSummary]) -> Iterator[Metric]:
        plain = {
            "judged": "requests_judged",
            "met": "requests_within_target",
            "useful_answers": "useful_answers",
            "useful_tokens": "useful_tokens",
        }
        for field, name in plain.items():
            family = Metric(f"lagoonrill_{name}", name.replace("_", " "), "counter")
            for item in classes:
                family.add_sample(
                    f"lagoonrill_{name}_total",
                    {"class": item.name},
                    getattr(item, field),
                )
            yield family
        yield self._attainment_family(classes)
        yield self._labelled_family("requests", "result", "results", classes)
        yield self._labelled_family("sheds", "reason", "sheds", classes)

    def _attainment_family(self, classes: list[ClassSummary]) -> Metric:
        family = Metric(
            "lagoonrill_attainment", "Share of requests within target", "gauge"
        )
        for item in classes:
            if item.attainment is not None:
                family.add_sample(
                    "lagoonrill_attainment", {"class": item.name}, item.attainment
                )
        return family

    def _labelled_family(
        self, name: str, label: str, field: str, classes: list[ClassSummary]
    ) -> Metric:
        family = Metric(f"lagoonrill_{name}", f"{name} by {label}", "counter")
        for item in classes:
            for value, count in getattr(item, field).items():
                family.add_sample(
                    f"lagoonrill_{name}_total",
                    {"class": item.name, label: value},
                    count,
                )
        return family
