"""Load, speed and health of the endpoints in the manifest, as seen by this instance."""

import threading
import time
from collections import deque
from collections.abc import Callable, Container

import msgspec

from ..protocol.load import LoadReport
from ..protocol.manifest import Endpoint, Manifest

# The first trial comes early, because most refused connections are worker restarts. The
# cap limits the trial requests that a dead endpoint fails to one in 15 s.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0
# Failures other than a refused connection may be caused by the request itself, so an
# endpoint is only marked down after several in a row.
FAILURES_BEFORE_DOWN = 3
# A load report older than this is less accurate than the count of own requests.
MAX_REPORT_AGE_S = 5.0
# Peers repeat their reports with every heartbeat (0.5 s). A report expires after ten
# missed heartbeats, so that two instances cannot confirm each other's reports forever.
PEER_REPORT_TTL_S = 5.0
PEER_SOURCE_PREFIX = "peer"
LOAD_REPORT_SOURCE = "load_report"
ANSWER_SOURCE = "answer"
MANIFEST_SOURCE = "manifest"
# Weight of a new sample in a moving average; five samples move it by two thirds.
SAMPLE_WEIGHT = 0.2
# Without new samples an estimate decays towards the median. Otherwise a straggler that
# gets no requests could never show that it has recovered.
ESTIMATE_HALF_LIFE_S = 20.0
MIN_SAMPLES = 2


class EndpointView(msgspec.Struct, kw_only=True):
    """A snapshot of one endpoint for a routing decision.

    `running` and `waiting` include the requests that this instance sent or finished
    since the last load report. `slowdown` is the endpoint's time per token relative to
    the median of the endpoints for the same target (1.0 for the median and faster
    ones). `trial` marks an endpoint that is down and due for a single trial request.
    """

    endpoint: Endpoint
    running: int
    waiting: int
    in_flight: int
    slots: int
    first_token_s: float | None = None
    token_gap_s: float | None = None
    slowdown: float = 1.0
    trial: bool = False


class EndpointDump(msgspec.Struct, kw_only=True):
    """State dump of one endpoint."""

    endpoint: str
    down: bool
    down_reason: str
    leaving_sources: list[str]
    in_flight: int
    running: int
    waiting: int
    first_token_s: float | None
    token_gap_s: float | None


class EndpointTableDump(msgspec.Struct, kw_only=True):
    """State dump of the endpoint table."""

    endpoints: list[EndpointDump]


class Estimate:
    """Exponentially weighted moving average of this instance's own measurements."""

    __slots__ = ("mean", "samples", "updated_at")

    def __init__(self):
        self.mean = 0.0
        self.samples = 0
        self.updated_at = 0.0

    def add(self, value: float, now: float) -> None:
        weight = max(SAMPLE_WEIGHT, 1.0 / (self.samples + 1))
        self.mean += weight * (value - self.mean)
        self.samples += 1
        self.updated_at = now

    def value(self) -> float | None:
        return self.mean if self.samples >= MIN_SAMPLES else None

    def slowdown(self, median: float, now: float) -> float:
        """Returns the ratio to the median, which decays to 1.0 without new samples."""
        if self.samples < MIN_SAMPLES or median <= 0.0:
            return 1.0
        excess = max(0.0, self.mean / median - 1.0)
        idle_s = max(0.0, now - self.updated_at)
        return 1.0 + excess * 0.5 ** (idle_s / ESTIMATE_HALF_LIFE_S)


class EndpointEntry:
    """Mutable state of one endpoint; guarded by the table's lock."""

    __slots__ = (
        "endpoint",
        "in_flight",
        "report",
        "sampled_at",
        "changes",
        "leaving_sources",
        "down",
        "down_reason",
        "failures",
        "backoffs",
        "probe_at",
        "trial_running",
        "first_token",
        "token_gap",
    )

    def __init__(self, *, endpoint: Endpoint):
        self.endpoint = endpoint
        self.in_flight = 0
        self.report: LoadReport | None = None
        self.sampled_at = 0.0
        # (time, +1 for sent or -1 for finished) since the last report was sampled.
        self.changes: deque[tuple[float, int]] = deque()
        self.leaving_sources: dict[str, float] = {}
        self.down = False
        self.down_reason = ""
        self.failures = 0
        self.backoffs = 0
        self.probe_at = 0.0
        self.trial_running = False
        self.first_token = Estimate()
        self.token_gap = Estimate()

    def is_leaving(self, now: float) -> bool:
        return any(until > now for until in self.leaving_sources.values())

    def is_candidate(self, now: float) -> bool:
        if self.leaving_sources and self.is_leaving(now):
            return False
        return not self.down or self.is_trial_due(now)

    def is_trial_due(self, now: float) -> bool:
        return self.down and not self.trial_running and now >= self.probe_at

    def is_probe_scheduled(self, now: float) -> bool:
        waits = self.down and not self.trial_running and self.probe_at > now
        return waits and not self.is_leaving(now)

    def record_change(self, delta: int, now: float) -> None:
        self.in_flight = max(0, self.in_flight + delta)
        self.changes.append((now, delta))
        while self.changes and self.changes[0][0] < now - MAX_REPORT_AGE_S:
            self.changes.popleft()

    def accept_report(self, report: LoadReport, sampled_at: float) -> None:
        self.report = report
        self.sampled_at = sampled_at
        while self.changes and self.changes[0][0] <= sampled_at:
            self.changes.popleft()

    def load(self, now: float) -> tuple[int, int]:
        """Returns running and waiting requests, with own changes since the report."""
        if self.report is None or now - self.sampled_at > MAX_REPORT_AGE_S:
            return self.in_flight, 0
        total = self.report.running + self.report.waiting
        total += sum(delta for _, delta in self.changes)
        total = max(total, self.in_flight)
        running = min(total, max(self.report.slots, self.report.running))
        return running, total - running


class EndpointTable:
    """Load, speed and state of the endpoints in the active manifest.

    `candidates` omits endpoints that are leaving or down. An endpoint that is down
    becomes a candidate for a single trial request after its backoff.

    >>> from lagoonrill._internal.protocol.manifest import Endpoint, Manifest
    >>> table = EndpointTable()
    >>> engine = Endpoint(id="e1", url="http://x", zone="z", slots=4, models=["m"])
    >>> table.apply_manifest(Manifest(classes=[], endpoints=[engine], teams=[]))
    >>> [view.endpoint.id for view in table.candidates("m")]
    ['e1']
    >>> table.mark_leaving("e1", "instance_list")
    >>> table.candidates("m")
    []
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.entries: dict[str, EndpointEntry] = {}
        self.by_target: dict[str, list[EndpointEntry]] = {}
        self.callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for endpoint state changes, called without the lock."""
        self.callbacks.append(callback)

    def apply_manifest(self, manifest: Manifest) -> None:
        with self.lock:
            self.entries = {
                endpoint.id: self._entry_for(endpoint)
                for endpoint in manifest.endpoints
            }
            self.by_target = {}
            for entry in self.entries.values():
                for target in targets_of(entry.endpoint):
                    self.by_target.setdefault(target, []).append(entry)
        self._notify()

    def _entry_for(self, endpoint: Endpoint) -> EndpointEntry:
        entry = self.entries.get(endpoint.id)
        if entry is None or entry.endpoint.url != endpoint.url:
            entry = EndpointEntry(endpoint=endpoint)
        entry.endpoint = endpoint
        if endpoint.drain:
            entry.leaving_sources[MANIFEST_SOURCE] = float("inf")
        else:
            entry.leaving_sources.pop(MANIFEST_SOURCE, None)
        return entry

    def candidates(
        self, target: str, *, among: Container[str] | None = None
    ) -> list[EndpointView]:
        """Returns the endpoints that may receive a request for the target now.

        `among` filters the result by endpoint id; slowdowns are still relative to all
        candidates.
        """
        now = self.clock()
        with self.lock:
            entries = self.by_target.get(target, ())
            usable = [entry for entry in entries if entry.is_candidate(now)]
            gap = median([e.token_gap.value() for e in usable])
            first = median([e.first_token.value() for e in usable])
            return [
                self._view(entry, gap, first, now)
                for entry in usable
                if among is None or entry.endpoint.id in among
            ]

    def _view(
        self, entry: EndpointEntry, gap: float, first: float, now: float
    ) -> EndpointView:
        running, waiting = entry.load(now)
        # The time to first token depends on the prompt's length, so the token gap is
        # preferred if known.
        if entry.token_gap.value() is not None:
            slowdown = entry.token_gap.slowdown(gap, now)
        else:
            slowdown = entry.first_token.slowdown(first, now)
        return EndpointView(
            endpoint=entry.endpoint,
            running=running,
            waiting=waiting,
            in_flight=entry.in_flight,
            slots=entry.endpoint.slots,
            first_token_s=entry.first_token.value(),
            token_gap_s=entry.token_gap.value(),
            slowdown=slowdown,
            trial=entry.down,
        )

    def has_candidates(self, target: str) -> bool:
        """Returns whether there are any `candidates`, without building views."""
        now = self.clock()
        with self.lock:
            return any(e.is_candidate(now) for e in self.by_target.get(target, ()))

    def next_probe_at(
        self, target: str, *, excluded: Container[str] = ()
    ) -> float | None:
        """Returns when the next trial becomes due; ignores trials already due."""
        now = self.clock()
        with self.lock:
            times = [
                entry.probe_at
                for entry in self.by_target.get(target, ())
                if entry.is_probe_scheduled(now) and entry.endpoint.id not in excluded
            ]
        return min(times, default=None)

    def has_trial_running(self, target: str, *, excluded: Container[str] = ()) -> bool:
        """Returns whether a trial request is in flight on an endpoint of the target."""
        with self.lock:
            return any(
                entry.trial_running and entry.endpoint.id not in excluded
                for entry in self.by_target.get(target, ())
            )

    def report_load(self, endpoint_id: str, report: LoadReport) -> None:
        """Stores an engine's load report, unless it was sampled before the last one."""
        now = self.clock()
        sampled_at = now - report.age_s
        with self.lock:
            entry = self.entries.get(endpoint_id)
            if entry is None or sampled_at < entry.sampled_at:
                return
            was_leaving = entry.is_leaving(now)
            entry.accept_report(report, sampled_at)
            if report.state == "leaving":
                entry.leaving_sources[LOAD_REPORT_SOURCE] = float("inf")
            else:
                entry.leaving_sources.pop(LOAD_REPORT_SOURCE, None)
                entry.leaving_sources.pop(ANSWER_SOURCE, None)
            changed = entry.is_leaving(now) != was_leaving
        if changed:
            self._notify()

    def mark_leaving(self, endpoint_id: str, source: str) -> None:
        """Stops new work for the endpoint.

        A report from a peer has the source `peer:<instance>` and expires.
        """
        until = float("inf")
        if source.startswith(PEER_SOURCE_PREFIX):
            until = self.clock() + PEER_REPORT_TTL_S
        with self.lock:
            entry = self.entries.get(endpoint_id)
            if entry is None:
                return
            was_leaving = entry.is_leaving(self.clock())
            entry.leaving_sources[source] = until
        if not was_leaving:
            self._notify()

    def clear_leaving(self, endpoint_id: str, source: str) -> None:
        """Withdraws a source's leaving report, for example after a restart."""
        with self.lock:
            entry = self.entries.get(endpoint_id)
            if entry is not None:
                entry.leaving_sources.pop(source, None)
        self._notify()

    def mark_down(self, endpoint_id: str, reason: str) -> None:
        """Stops new work for the endpoint until a trial or `mark_up` succeeds."""
        now = self.clock()
        with self.lock:
            entry = self.entries.get(endpoint_id)
            if entry is not None:
                self._set_down(entry, reason, now)
        self._notify()

    def _set_down(self, entry: EndpointEntry, reason: str, now: float) -> None:
        # Streams that fail together count as one failure, so only a failed trial or a
        # failure after the backoff increases the backoff.
        if entry.down and not entry.trial_running and now < entry.probe_at:
            return
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**entry.backoffs)
        entry.backoffs += 1
        entry.down = True
        entry.down_reason = reason
        entry.trial_running = False
        entry.probe_at = now + backoff_s

    def mark_up(self, endpoint_id: str) -> None:
        with self.lock:
            entry = self.entries.get(endpoint_id)
            if entry is not None:
                self._set_up(entry)
        self._notify()

    def _set_up(self, entry: EndpointEntry) -> None:
        entry.down = False
        entry.down_reason = ""
        entry.failures = 0
        entry.backoffs = 0
        entry.trial_running = False

    def note_sent(self, endpoint_id: str) -> None:
        """Counts a request that this instance sent to the endpoint."""
        now = self.clock()
        with self.lock:
            entry = self.entries.get(endpoint_id)
            if entry is None:
                return
            entry.trial_running = entry.trial_running or entry.is_trial_due(now)
            entry.record_change(1, now)

    def note_speed(
        self,
        endpoint_id: str,
        *,
        first_token_s: float | None = None,
        token_gap_s: float | None = None,
    ) -> None:
        """Adds measurements of a request, also while its stream is still running."""
        now = self.clock()
        with self.lock:
            entry = self.entries.get(endpoint_id)
            if entry is None:
                return
            if first_token_s is not None:
                entry.first_token.add(first_token_s, now)
            if token_gap_s is not None:
                entry.token_gap.add(token_gap_s, now)

    def note_returned(
        self, endpoint_id: str, *, failed: bool, succeeded: bool, trial: bool = False
    ) -> None:
        """Counts a finished request; a cancelled one neither failed nor succeeded."""
        now = self.clock()
        with self.lock:
            entry = self.entries.get(endpoint_id)
            if entry is None:
                return
            entry.record_change(-1, now)
            self._record_outcome(entry, failed, succeeded, trial, now)

    def _record_outcome(
        self,
        entry: EndpointEntry,
        failed: bool,
        succeeded: bool,
        trial: bool,
        now: float,
    ) -> None:
        if succeeded:
            entry.failures = 0
            if trial:
                self._set_up(entry)
            return
        if failed:
            entry.failures += 1
            if trial or entry.failures >= FAILURES_BEFORE_DOWN:
                self._set_down(entry, "requests failed", now)
        if trial:
            entry.trial_running = False

    def leaving(self) -> list[str]:
        """Returns leaving endpoints for the heartbeat, without peers' reports."""
        now = self.clock()
        with self.lock:
            return sorted(
                entry.endpoint.id
                for entry in self.entries.values()
                if any(
                    until > now and not source.startswith(PEER_SOURCE_PREFIX)
                    for source, until in entry.leaving_sources.items()
                )
            )

    def dump(self) -> EndpointTableDump:
        now = self.clock()
        with self.lock:
            entries = [self._dump_entry(e, now) for e in self.entries.values()]
        return EndpointTableDump(endpoints=entries)

    def _dump_entry(self, entry: EndpointEntry, now: float) -> EndpointDump:
        running, waiting = entry.load(now)
        sources = [s for s, until in entry.leaving_sources.items() if until > now]
        return EndpointDump(
            endpoint=entry.endpoint.id,
            down=entry.down,
            down_reason=entry.down_reason,
            leaving_sources=sources,
            in_flight=entry.in_flight,
            running=running,
            waiting=waiting,
            first_token_s=entry.first_token.value(),
            token_gap_s=entry.token_gap.value(),
        )

    def _notify(self) -> None:
        for callback in self.callbacks:
            callback()


def targets_of(endpoint: Endpoint) -> list[str]:
    """Returns the models or the service that an endpoint serves."""
    return [endpoint.service] if endpoint.service else list(endpoint.models)


def median(values: list[float | None]) -> float:
    """Returns the lower median of the values that are not None, or 0.0 if none is."""
    known = sorted(value for value in values if value is not None)
    return known[(len(known) - 1) // 2] if known else 0.0
