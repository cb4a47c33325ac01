"""Monitors which endpoints are live, leaving or down, and their load.

Sources are each endpoint's own load report, the Instance list, the manifest, answers to
requests and peers. An endpoint is leaving while any source reports it. Up to 8
instances, every instance polls every endpoint. Above that, two instances of an
endpoint's zone poll it; the others receive its load in their heartbeats, and its
leaving or failure in notices that peers forward.
"""

import enum
import heapq
import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import logbook
import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from ..protocol.load import EndpointRefused, LoadError, LoadReport, LoadUnsupported
from ..protocol.manifest import Endpoint, Manifest
from ..protocol.messages import EndpointLoad
from ..state.rendezvous import highest
from .peer_choice import LARGE_FLEET_SLOWDOWN, is_full_mesh

log = logbook.Logger("endpoints")

POLL_INTERVAL_S = 0.5
JITTER = 0.1
POLL_THREADS = 8
POLLERS_PER_ENDPOINT = 2
# Maximum backoff after failed polls. Without backoff, unresponsive endpoints would
# occupy the threads that poll the others.
MAX_BACKOFF_S = 4.0
SILENT_POLLS_UNTIL_DOWN = 3
LOADS_PER_HEARTBEAT = 8
# Older reports are stale: an engine's requests end within seconds.
LOAD_LIFETIME_S = 10.0
# A leaving state from an answer expires after this time, unless the endpoint's own load
# report or the Instance list confirms it.
ANSWER_LIFETIME_S = 5.0
REFRESH_INTERVAL_S = 1.0


class LeavingSource(enum.StrEnum):
    """Source of the report that an endpoint is leaving."""

    INSTANCE_LIST = "instance_list"
    LOAD_REPORT = "load_report"
    ANSWER = "answer"
    MANIFEST = "manifest"
    PEER = "peer"


EXPIRING_SOURCES = {LeavingSource.ANSWER, LeavingSource.PEER}


class EndpointMonitorEntry(msgspec.Struct, kw_only=True):
    """State of one endpoint for the state dump."""

    endpoint: str
    polled: bool
    leaving: list[str]
    down: str
    load_age_s: float | None
    failures: int


class EndpointMonitorDump(msgspec.Struct, kw_only=True):
    """Endpoints and counters for the state dump."""

    endpoints: list[EndpointMonitorEntry]
    polls: int
    failed_polls: int


class AppliedState(msgspec.Struct, kw_only=True):
    """The state of an endpoint that was last applied to the table."""

    sources: list[LeavingSource] = []
    down: str = ""


class WatchedEndpoint:
    """State of one monitored endpoint."""

    __slots__ = (
        "applied",
        "down_by_peers",
        "down_reason",
        "endpoint",
        "failures",
        "leaving_until",
        "load",
        "load_at",
        "polled",
        "probed",
        "scheduled",
        "shared_at",
    )

    def __init__(self, *, endpoint: Endpoint):
        self.endpoint = endpoint
        self.leaving_until: dict[LeavingSource, float] = {}
        self.down_reason = ""
        self.down_by_peers = False
        self.failures = 0
        self.load: LoadReport | None = None
        self.load_at = 0.0
        self.shared_at = 0.0
        self.polled = False
        # Polled even if this instance is not a poller of it, until a poll succeeds.
        self.probed = False
        self.scheduled = False
        self.applied = AppliedState()

    def leaving_sources(self, now: float) -> list[LeavingSource]:
        """Returns the sources that have not expired."""
        return [source for source, until in self.leaving_until.items() if now < until]


class EndpointMonitor:
    """Polls endpoints and applies changes to `table`, an `EndpointTable`.

    `fetch_load` is `transport.load_client.LoadClient.fetch`. `members` returns the
    zones of the live instances, including this one, for example `Membership.members`.
    `send_early_heartbeat` is called when the contents of heartbeats have changed; it
    must not block.
    """

    def __init__(
        self,
        *,
        instance: str,
        zone: str,
        table,
        fetch_load: Callable[[str], Result[LoadReport, LoadError]],
        members: Callable[[], dict[str, str]],
        send_early_heartbeat: Callable[[], None] = lambda: None,
        interval_s: float = POLL_INTERVAL_S,
        threads: int = POLL_THREADS,
    ):
        self.instance = instance
        self.zone = zone
        self.table = table
        self.fetch_load = fetch_load
        self.members = members
        self.send_early_heartbeat = send_early_heartbeat
        self.interval_s = interval_s
        self.threads = threads
        # Guards the records; `condition` uses the same lock and wakes the scheduler.
        self.lock = threading.RLock()
        self.condition = threading.Condition(self.lock)
        # Serializes updates of the table, so that an older state never overwrites a
        # newer one.
        self.apply_lock = threading.Lock()
        self.watched: dict[str, WatchedEndpoint] = {}
        self.due: list[tuple[float, int, WatchedEndpoint]] = []
        self.pushes = 0
        self.known_members: dict[str, str] = {}
        # The last reports of the Instance list and the peers; most repeat the previous.
        self.last_leaving: dict[LeavingSource, set[str]] = {}
        self.last_reported_down: set[str] = set()
        self.polls = 0
        self.failed_polls = 0
        self.stopping = threading.Event()
        self.pool = ThreadPoolExecutor(threads, "endpoint-poll")
        self.slots = threading.BoundedSemaphore(threads)
        self.scheduler = threading.Thread(
            target=self._schedule, name="endpoint-schedule", daemon=True
        )
        self.refresher = threading.Thread(
            target=self._refresh, name="endpoint-refresh", daemon=True
        )

    def start(self) -> None:
        """Starts polling."""
        self.scheduler.start()
        self.refresher.start()

    def stop(self) -> None:
        """Stops polling; polls in progress end by their own timeout."""
        self.stopping.set()
        with self.condition:
            self.condition.notify_all()
        self.pool.shutdown(wait=False, cancel_futures=True)

    # Sources

    def apply_manifest(self, manifest: Manifest) -> None:
        """Monitors a manifest's endpoints; the table must have applied it before."""
        with self.lock:
            before = self.watched
            self.watched = {}
            for endpoint in manifest.endpoints:
                record = before.get(endpoint.id)
                if record is None or record.endpoint.url != endpoint.url:
                    record = self._new_record(endpoint)
                record.endpoint = endpoint
                self._set_source(record, LeavingSource.MANIFEST, endpoint.drain)
                self.watched[endpoint.id] = record
            self._update_polled()
        self._apply_all()

    def update_listed(self, instances: list) -> None:
        """Applies the Instance list; unlisted endpoints do not count as leaving."""
        leaving = {
            item.id
            for item in instances
            if item.role == "endpoint" and item.state == "leaving"
        }
        self._update_source(LeavingSource.INSTANCE_LIST, leaving)

    def update_peer_leaving(self, endpoints: set[str]) -> None:
        """Applies the set of endpoints that peers report as leaving."""
        self._update_source(LeavingSource.PEER, endpoints)

    def update_peer_down(self, endpoints: set[str]) -> None:
        """Applies the set of endpoints that their pollers report as down."""
        changed = []
        with self.lock:
            if self.last_reported_down == endpoints:
                return
            self.last_reported_down = set(endpoints)
            for name, record in self.watched.items():
                down = name in endpoints
                if record.down_by_peers != down:
                    record.down_by_peers = down
                    changed.append(record)
        self._apply(changed)

    def take_loads(self, loads: list[EndpointLoad]) -> None:
        """Applies the load reports of a peer's heartbeat."""
        now = time.monotonic()
        for load in loads:
            report = LoadReport(
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
                state="leaving" if load.leaving else "live",
                age_s=load.age_ms / 1000,
            )
            self._apply_load(load.endpoint, report, now, own=False)

    def report_leaving(self, endpoint_id: str) -> None:
        """Marks an endpoint that answered with `X-Endpoint-State: leaving`."""
        with self.lock:
            record = self.watched.get(endpoint_id)
            if record is None:
                return
            until = time.monotonic() + ANSWER_LIFETIME_S
            record.leaving_until[LeavingSource.ANSWER] = until
        self._apply([record])

    def report_failure(self, endpoint_id: str, reason: str) -> None:
        """Marks an endpoint down that a request could not reach, and probes it."""
        with self.lock:
            record = self.watched.get(endpoint_id)
            if record is None:
                return
            record.down_reason = reason
            record.probed = True
            self._ensure_scheduled(record)
        self._apply([record])

    # Contents of heartbeats

    def leaving_endpoints(self) -> list[str]:
        """Returns the endpoints that a source other than peers reports as leaving."""
        now = time.monotonic()
        with self.lock:
            return [
                name
                for name, record in self.watched.items()
                if set(record.leaving_sources(now)) - {LeavingSource.PEER}
            ]

    def down_endpoints(self) -> list[str]:
        """Returns the endpoints that this instance is a poller of and found down."""
        with self.lock:
            return [
                name
                for name, record in self.watched.items()
                if record.polled and record.down_reason
            ]

    def loads_to_share(self) -> list[EndpointLoad]:
        """Returns up to `LOADS_PER_HEARTBEAT` fresh loads of endpoints in this zone.

        Those of polled endpoints come first, then the least recently shared.
        """
        now = time.monotonic()
        with self.lock:
            fresh = [
                record
                for record in self.watched.values()
                if record.load is not None
                and record.endpoint.zone == self.zone
                and self._load_age(record, now) < LOAD_LIFETIME_S
            ]
            # Loads from own polls are newer than those from peers.
            fresh.sort(key=lambda record: (not record.polled, record.shared_at))
            chosen = fresh[:LOADS_PER_HEARTBEAT]
            for record in chosen:
                record.shared_at = now
            return [self._shared_load(record, now) for record in chosen]

    def dump(self) -> EndpointMonitorDump:
        """Returns the state for the state dump."""
        now = time.monotonic()
        with self.lock:
            entries = [
                self._entry(name, record, now) for name, record in self.watched.items()
            ]
        return EndpointMonitorDump(
            endpoints=entries, polls=self.polls, failed_polls=self.failed_polls
        )

    def _entry(
        self, name: str, record: WatchedEndpoint, now: float
    ) -> EndpointMonitorEntry:
        age_s = self._load_age(record, now) if record.load else None
        down = record.down_reason or ("by peers" if record.down_by_peers else "")
        return EndpointMonitorEntry(
            endpoint=name,
            polled=record.polled,
            leaving=[str(source) for source in record.leaving_sources(now)],
            down=down,
            load_age_s=age_s,
            failures=record.failures,
        )

    def _load_age(self, record: WatchedEndpoint, now: float) -> float:
        return now - record.load_at + record.load.age_s

    def _shared_load(self, record: WatchedEndpoint, now: float) -> EndpointLoad:
        return EndpointLoad(
            endpoint=record.endpoint.id,
            running=record.load.running,
            waiting=record.load.waiting,
            slots=record.load.slots,
            age_ms=int(self._load_age(record, now) * 1000),
            leaving=record.load.state == "leaving",
        )

    # State

    def _set_source(
        self, record: WatchedEndpoint, source: LeavingSource, leaving: bool
    ) -> bool:
        known = source in record.leaving_until
        if leaving:
            record.leaving_until[source] = float("inf")
        else:
            record.leaving_until.pop(source, None)
        return known != leaving

    def _new_record(self, endpoint: Endpoint) -> WatchedEndpoint:
        record = WatchedEndpoint(endpoint=endpoint)
        for source, leaving in self.last_leaving.items():
            self._set_source(record, source, endpoint.id in leaving)
        record.down_by_peers = endpoint.id in self.last_reported_down
        return record

    def _update_source(self, source: LeavingSource, leaving: set[str]) -> None:
        with self.lock:
            if self.last_leaving.get(source) == leaving:
                return
            self.last_leaving[source] = set(leaving)
            changed = [
                record
                for name, record in self.watched.items()
                if self._set_source(record, source, name in leaving)
            ]
        self._apply(changed)

    def _apply_all(self) -> None:
        with self.lock:
            records = list(self.watched.values())
        self._apply(records)

    def _apply(self, records: list[WatchedEndpoint]) -> None:
        """Applies records that may have changed to the table."""
        if not records:
            return
        with self.apply_lock:
            for record in records:
                self._apply_one(record)

    def _apply_one(self, record: WatchedEndpoint) -> None:
        with self.lock:
            if not self._is_current(record):
                return
            before = record.applied
            sources = sorted(record.leaving_sources(time.monotonic()))
            after = AppliedState(sources=sources, down=self._down_reason(record))
            record.applied = after
        self._update_table(record.endpoint.id, before, after)
        if before != after:
            leaving = f"leaving by {', '.join(sources)}" if sources else "not leaving"
            log.info("{}: {}, {}", record.endpoint.id, leaving, after.down or "up")
            self.send_early_heartbeat()

    def _update_table(
        self, endpoint_id: str, before: AppliedState, after: AppliedState
    ) -> None:
        # Only endpoints that this monitor marked down are marked up again: the table
        # has its own trials for endpoints that answer polls but fail requests.
        if after.down and not before.down:
            self.table.mark_down(endpoint_id, after.down)
        if before.down and not after.down:
            self.table.mark_up(endpoint_id)
        for source in after.sources:
            # A peer's report expires in the table unless it is repeated.
            if source not in before.sources or source is LeavingSource.PEER:
                self.table.mark_leaving(endpoint_id, str(source))
        for source in before.sources:
            if source not in after.sources:
                self.table.clear_leaving(endpoint_id, str(source))

    def _down_reason(self, record: WatchedEndpoint) -> str:
        if record.down_reason or record.polled or not record.down_by_peers:
            return record.down_reason
        return "reported down by the instances that poll it"

    def _apply_load(
        self, endpoint_id: str, report: LoadReport, now: float, *, own: bool
    ) -> None:
        with self.lock:
            record = self.watched.get(endpoint_id)
            if record is None:
                return
            newer = (
                record.load is None
                or report.age_s <= self._load_age(record, now)
                or own
            )
            if newer:
                record.load = report
                record.load_at = now
        if newer:
            self.table.report_load(endpoint_id, report)

    # Polling

    def _is_poller(self, endpoint: Endpoint) -> bool:
        members = self.known_members
        if is_full_mesh(len(members)):
            return True
        candidates = [name for name, zone in members.items() if zone == endpoint.zone]
        candidates = candidates or list(members)
        pollers = highest(endpoint.id, candidates, POLLERS_PER_ENDPOINT)
        return self.instance in pollers

    def _is_current(self, record: WatchedEndpoint) -> bool:
        # A manifest that changes an endpoint's URL replaces its record.
        return self.watched.get(record.endpoint.id) is record

    def _update_polled(self) -> None:
        for record in self.watched.values():
            record.polled = self._is_poller(record.endpoint)
            if record.polled:
                self._ensure_scheduled(record)
            elif not record.probed:
                # This instance no longer polls the endpoint, so its results are stale.
                record.down_reason = ""
                self._set_source(record, LeavingSource.LOAD_REPORT, False)

    def _refresh(self) -> None:
        while not self.stopping.is_set():
            try:
                self._refresh_once()
            except Exception:
                log.exception("unexpected error in the endpoint refresh")
            self.stopping.wait(REFRESH_INTERVAL_S)

    def _refresh_once(self) -> None:
        members = self.members()
        with self.lock:
            if members != self.known_members:
                self.known_members = members
                self._update_polled()
                changed = list(self.watched.values())
            else:
                # Reports from these sources expire, here or in the table.
                changed = [
                    record
                    for record in self.watched.values()
                    if record.leaving_until.keys() & EXPIRING_SOURCES
                ]
        self._apply(changed)

    def _interval_s(self) -> float:
        # In a large fleet two instances poll each endpoint, each half as often.
        full_mesh = is_full_mesh(len(self.known_members))
        return self.interval_s * (1 if full_mesh else LARGE_FLEET_SLOWDOWN)

    def _ensure_scheduled(self, record: WatchedEndpoint) -> None:
        if not record.scheduled:
            record.scheduled = True
            delay = random.uniform(0, self._interval_s())
            self._push(record, time.monotonic() + delay)

    def _push(self, record: WatchedEndpoint, at: float) -> None:
        self.pushes += 1
        heapq.heappush(self.due, (at, self.pushes, record))
        self.condition.notify()

    def _schedule(self) -> None:
        while not self.stopping.is_set():
            record = self._next_due()
            if record is None:
                continue
            self.slots.acquire()
            try:
                self.pool.submit(self._poll_in_pool, record)
            except RuntimeError:
                return

    def _next_due(self) -> WatchedEndpoint | None:
        with self.condition:
            wait_s = self.due[0][0] - time.monotonic() if self.due else None
            if wait_s is None or wait_s > 0:
                self.condition.wait(wait_s)
                return None
            _, _, record = heapq.heappop(self.due)
            if self._is_current(record) and (record.polled or record.probed):
                return record
            record.scheduled = False
            return None

    def _poll_in_pool(self, record: WatchedEndpoint) -> None:
        try:
            self._poll(record)
        except Exception:
            log.exception("unexpected error in a poll of {}", record.endpoint.id)
        finally:
            self.slots.release()
            self._reschedule(record)

    def _reschedule(self, record: WatchedEndpoint) -> None:
        delay = min(self._interval_s() * 2 ** min(record.failures, 5), MAX_BACKOFF_S)
        delay *= random.uniform(1 - JITTER, 1 + JITTER)
        with self.condition:
            if self._is_current(record):
                self._push(record, time.monotonic() + delay)

    def _poll(self, record: WatchedEndpoint) -> None:
        result = self.fetch_load(record.endpoint.url)
        now = time.monotonic()
        self.polls += 1
        if is_successful(result):
            report = result.unwrap()
            self._handle_success(record, leaving=report.state == "leaving")
            self._apply_load(record.endpoint.id, report, now, own=True)
        elif isinstance(result.failure(), LoadUnsupported):
            self._handle_success(record, leaving=False)
        else:
            self.failed_polls += 1
            self._handle_failure(record, result.failure())

    def _handle_success(self, record: WatchedEndpoint, *, leaving: bool) -> None:
        with self.lock:
            record.failures = 0
            record.probed = False
            record.down_reason = ""
            self._set_source(record, LeavingSource.LOAD_REPORT, leaving)
            if not leaving:
                record.leaving_until.pop(LeavingSource.ANSWER, None)
        self._apply([record])

    def _handle_failure(self, record: WatchedEndpoint, error: LoadError) -> None:
        with self.lock:
            record.failures += 1
            refused = isinstance(error, EndpointRefused)
            if refused or record.failures >= SILENT_POLLS_UNTIL_DOWN:
                record.down_reason = record.down_reason or error.message
        self._apply([record])
