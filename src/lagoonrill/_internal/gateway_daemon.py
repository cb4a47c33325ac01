"""Creates, starts and stops the components of one gateway."""

import contextlib
import gc
import queue
import signal
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from .coordination.crash_findings import CrashFindings, FindingStore
from .coordination.crash_reports import CrashReports
from .coordination.endpoint_discovery import EndpointDiscovery
from .coordination.endpoint_signals import EndpointSignals
from .coordination.engine_admission import EngineAdmission
from .coordination.forwarding import Forwarder
from .coordination.gateway_peers import GatewayPeers
from .coordination.load_metrics import register_load_metrics
from .coordination.policy.crash_evidence import CrashEvidence
from .coordination.policy.expired_entries import ExpiredEntries
from .coordination.policy.shared_retry_budget import SharedRetryBudget
from .coordination.policy.store_renewal import StoreRenewal
from .coordination.send_permits import SendPermits
from .coordination.store_eras import backup_delay_s
from .coordination.store_follower import ObjectSource, StoreFollower
from .coordination.store_freshness import StoreFreshness
from .coordination.stream_holders import StreamHolders
from .coordination.stream_origins import StreamOrigins
from .coordination.stream_records import OriginStore
from .duties.assembly import DutyBackend, FleetDuties
from .event_log import EventLog, EventLogHandler
from .memory import allocator
from .memory.account import Part
from .memory.callers import CallerMemory
from .memory.sizes import account_for, capacity_bytes
from .protocol.errors import SettingsError
from .protocol.gateway_settings import (
    AUTOSCALE,
    GatewayBounds,
    GatewaySettings,
    parse_gateway_settings,
)
from .protocol.headers import HeaderNames
from .protocol.routing import RoutingConfig
from .scaling.orders import ScalingOrders, build_scaling
from .state.endpoint_registry import EndpointRegistry
from .state.engine_load_table import EngineLoadTable
from .state.gateway_metrics import GatewayMetrics
from .state.route_table import RoutingState
from .transport.endpoint_connection import ConnectionPool
from .transport.gateway_listener import (
    STOP_ANSWER_S,
    GatewayListener,
    TextListener,
)
from .transport.peer_link import PeerLink

# The load balancer polls readiness once a second and removes an instance after two
# failed checks. Until then, and as long as it has no other instance, it sends new
# connections. The listener therefore closes after a quiet period without connections,
# or once a new request could hardly complete within the grace period.
STOP_ACCEPTING_AFTER_S = 2.6
QUIET_PERIOD_S = 1.0
STOP_ACCEPTING_SHARE = 0.7
# Requests are accepted unconditionally for this time after SIGTERM.
ACCEPT_ALL_REQUESTS_S = 2.0
# Share of the grace period after which the process exits even if requests are in
# flight.
SHUTDOWN_DEADLINE_SHARE = 0.93
MAINTENANCE_INTERVAL_S = 0.5
SETTINGS_CHECK_INTERVAL_S = 1.0
# File descriptors reserved for files, the store and peers.
RESERVED_DESCRIPTORS = 400
# Each caller may need a second file descriptor for the connection to its endpoint.
DESCRIPTORS_PER_CALLER = 2
# With Python's default, a busy thread holds the interpreter lock for up to 5 ms.
SWITCH_INTERVAL_S = 0.001
# Number of instances assumed for sharing fleet-wide budgets until peers are known.
EXPECTED_INSTANCES = 4
MAX_ERROR_CHARACTERS = 200
# Minimum interval between fetches, which batches configurations that change in quick
# succession. It is short, so that a new configuration takes effect at about the same
# time for all callers.
MIN_CONFIG_INTERVAL_S = 0.1
EXIT_INVALID_SETTINGS = 2


class RoutingSource(msgspec.Struct, kw_only=True):
    """Sources of configurations and endpoints."""

    # The content of its objects is a `RoutingConfig`.
    configs: ObjectSource
    # The content of its objects is an `EndpointRecord`.
    endpoints: ObjectSource
    findings: FindingStore
    origins: OriginStore
    # Leases, reports and calls; None if the platform has none.
    duties: DutyBackend | None = None


class GatewayDaemon:
    """One gateway; `run` returns the exit status."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        settings_path: Path,
        header_names: HeaderNames,
        source: RoutingSource,
        readiness_path: str = "/ready",
    ):
        self.settings = settings
        self.settings_path = settings_path
        self.event_log = EventLog(instance=settings.instance)
        self.metrics = GatewayMetrics()
        self.routing = RoutingState()
        self.registry = EndpointRegistry()
        self.load_table = EngineLoadTable()
        self.pool = ConnectionPool()
        # Signals that have arrived. A handler may interrupt the main thread while that
        # holds a lock; `SimpleQueue.put` is reentrant and therefore safe there.
        self.arrived_signals: queue.SimpleQueue[int] = queue.SimpleQueue()
        self.stop_requested = False
        self.reload_requested = False
        host, _, port = settings.peer_address.rpartition(":")
        self.link = PeerLink(host=host, port=int(port), handler_threads=1)
        self.permits = SendPermits(
            instance=settings.instance,
            event_log=self.event_log,
            link=self.link,
        )
        self._build_admission()
        self._build_followers(source)
        self._build_peers(source.findings)
        self._build_origins(source.origins)
        self._build_request_path(header_names)
        self._build_duties(source.duties)
        self._build_pages(readiness_path)

    def _build_admission(self) -> None:
        self.admission = EngineAdmission(
            instance=self.settings.instance,
            zone=self.settings.zone,
            registry=self.registry,
            load_table=self.load_table,
            permits=self.permits,
            event_log=self.event_log,
        )
        self.permits.changed = self.admission.note_change
        self.routing.subscribers.append(self.admission.install)

    def _build_followers(self, source: RoutingSource) -> None:
        self.discovery = EndpointDiscovery(
            registry=self.registry,
            expired_entries=expired_entries(self.settings.bounds),
            event_log=self.event_log,
            changed=self._endpoints_changed,
        )
        self.signals = EndpointSignals(
            instance=self.settings.instance,
            permits=self.permits,
            event_log=self.event_log,
            discovery=self.discovery,
            link=self.link,
        )
        self.config_follower = StoreFollower(
            kind="configuration",
            source=source.configs,
            apply=self._apply_config,
            event_log=self.event_log,
            spacing_s=MIN_CONFIG_INTERVAL_S,
        )
        self.endpoint_follower = StoreFollower(
            kind="endpoints",
            source=source.endpoints,
            apply=self.discovery.apply,
            event_log=self.event_log,
        )

    def _build_peers(self, finding_store: FindingStore) -> None:
        self.freshness = StoreFreshness(
            renewal=StoreRenewal(bound_s=store_copy_bound_s(self.settings.bounds)),
            config_follower=self.config_follower,
            endpoint_follower=self.endpoint_follower,
            routing=self.routing,
            discovery=self.discovery,
            registry=self.registry,
            event_log=self.event_log,
        )
        evidence = CrashEvidence()
        self.findings = CrashFindings(
            store=finding_store, evidence=evidence, event_log=self.event_log
        )
        self.crash_reports = CrashReports(
            evidence=evidence,
            registry=self.registry,
            event_log=self.event_log,
            link=self.link,
            findings=self.findings,
        )
        self.peers = GatewayPeers(
            instance=self.settings.instance,
            zone=self.settings.zone,
            link=self.link,
            seeds=self.settings.seeds,
            expected_instances=EXPECTED_INSTANCES,
            routing=self.routing,
            discovery=self.discovery,
            registry=self.registry,
            load_table=self.load_table,
            freshness=self.freshness,
            crash_reports=self.crash_reports,
            signals=self.signals,
            work_changed=self.admission.note_change,
            stream_engines=self.admission.stream_engines,
            event_log=self.event_log,
        )
        self.load_table.changed = self.peers.note_change
        self.endpoint_follower.is_wanted = self.admission.lacks_engines
        self.config_follower.restored = self._write_again
        self.admission.peers = self.peers

    def _build_origins(self, store: OriginStore) -> None:
        self.origins = StreamOrigins(
            instance=self.settings.instance,
            store=store,
            registry=self.registry,
            event_log=self.event_log,
            is_writer=lambda: self.peers.store_rank() == 0,
            list_age_s=self.endpoint_follower.age_s,
            instances=self.peers.instances,
            writes_per_s=self.settings.store_writes_per_s,
        )
        self.origins.holders = StreamHolders(
            instance=self.settings.instance,
            link=self.link,
            live_digests=self.peers.live_digests,
            members_since=self.peers.members_since,
            is_in_touch=self.freshness.in_touch,
            has_peers=bool(self.peers.seeds),
            origins=self.origins,
            event_log=self.event_log,
        )
        self.routing.subscribers.append(self.origins.install)

    def _build_request_path(self, header_names: HeaderNames) -> None:
        settings = self.settings
        self.budget = SharedRetryBudget(
            ratio=settings.bounds.retry_ratio,
            window_s=settings.bounds.retry_window_s,
            fixed=settings.bounds.retry_fixed,
        )
        capacity = capacity_bytes(settings.memory_mb, settings.memory)
        self.memory = CallerMemory(
            account=account_for(capacity_bytes=capacity, memory=settings.memory),
            metrics=self.metrics,
            event_log=self.event_log,
            room_wait_s=settings.memory.room_wait_s,
        )
        self.answer_memory = self.memory.account.parts[Part.ANSWERS]
        self.forwarder = Forwarder(
            header_names=header_names,
            registry=self.registry,
            pool=self.pool,
            admission=self.admission,
            signals=self.signals,
            crash_reports=self.crash_reports,
            zone=settings.zone,
            budget=self.budget,
            origins=self.origins,
            answer_memory=self.answer_memory,
            instances=self.peers.instances,
            list_age_s=self.endpoint_follower.age_s,
            list_confirmed_by=lambda: self.endpoint_follower.confirmed_by,
            routing=self.routing,
            metrics=self.metrics,
            event_log=self.event_log,
        )
        descriptors = settings.max_descriptors - RESERVED_DESCRIPTORS
        self.listener = GatewayListener(
            address=settings.callers_address,
            max_connections=max(16, descriptors // DESCRIPTORS_PER_CALLER),
            header_names=header_names,
            routing=self.routing,
            config_age_s=self.config_follower.age_s,
            forwarder=self.forwarder,
            memory=self.memory,
            metrics=self.metrics,
            event_log=self.event_log,
        )

    def _build_duties(self, backend: DutyBackend | None) -> None:
        self.duties: FleetDuties | None = None
        self.scaling: ScalingOrders | None = None
        if backend is None or self.settings.duties is None:
            return
        self.duties = FleetDuties(
            settings=self.settings,
            backend=backend,
            link=self.link,
            peers=self.peers,
            metrics=self.metrics,
            event_log=self.event_log,
        )
        self.forwarder.usage = self.duties.ledger
        if AUTOSCALE not in self.settings.duties.names:
            return
        self.scaling = build_scaling(
            instance=self.settings.instance,
            routing=self.routing,
            registry=self.registry,
            load_table=self.load_table,
            admission=self.admission,
            peers=self.peers,
            caller=self.duties.caller,
            lease=self.duties.lease,
            metrics=self.metrics,
            event_log=self.event_log,
        )
        self.duties.runner.duties.append(self.scaling)

    def _build_pages(self, readiness_path: str) -> None:
        self.metrics.register_gauge("config_version", lambda: self.routing.version)
        register_load_metrics(
            self.metrics,
            load_table=self.load_table,
            peers=self.peers,
            budget=self.budget,
        )
        self.metrics.register_gauge(
            "endpoint_list_age_seconds",
            lambda: round(time.monotonic() - self.registry.updated_at, 3),
        )
        self.metrics.register_gauge(
            "store_in_touch", lambda: int(self.freshness.in_touch())
        )
        self.metrics.register_gauge(
            "config_behind_seconds",
            lambda: round(self.peers.catch_up.config_lag_s(), 3),
        )
        self.metrics.register_gauge(
            "config_behind_seconds_max",
            lambda: round(self.peers.catch_up.max_config_lag_s, 3),
        )
        for follower in (self.config_follower, self.endpoint_follower):
            self.metrics.register_gauge(
                f"{follower.kind}_unconfirmed_seconds",
                lambda age_s=follower.age_s: round(age_s(), 3),
            )
            self.metrics.register_gauge(
                f"{follower.kind}_unreadable",
                lambda unreadable=follower.unreadable: len(unreadable()),
            )
            self.metrics.register_gauge(
                f"{follower.kind}_not_applied",
                lambda follower=follower: int(not follower.is_applied),
            )
        self.metrics.register_gauge(
            "endpoints_held", lambda: len(self.registry.held_until)
        )
        self.metrics.register_gauge(
            "endpoints_with_limit", lambda: len(self.permits.limits.named())
        )
        self.metrics.register_gauge(
            "endpoints_paused", lambda: len(self.permits.pauses.pauses)
        )
        self.metrics.register_gauge("limited_sends_total", lambda: self.permits.sent)
        self.metrics.register_gauge(
            "limited_sends_held_back_total", lambda: self.permits.held_back
        )
        self.metrics.register_gauge(
            "crash_causes_refused", lambda: len(self.crash_reports.evidence.refused)
        )
        self.metrics.register_gauge(
            "answer_bytes_held", lambda: self.answer_memory.held_bytes
        )
        self.metrics.register_gauge(
            "answers_refused_for_memory_total", lambda: self.answer_memory.refused
        )
        for name, part in self.memory.account.parts.items():
            self.metrics.register_gauge(
                f'memory_held_bytes{{part="{name}"}}',
                lambda part=part: part.held_bytes,
            )
        self.metrics.register_gauge(
            "streams_unrecorded_total", lambda: self.origins.unrecorded
        )
        self.metrics.register_gauge(
            "connections_opened_total", lambda: self.pool.opened
        )
        self.pages = TextListener(
            address=self.settings.readiness_address,
            pages={
                readiness_path: self._readiness_page,
                "/metrics": lambda: (200, self.metrics.exposition()),
                "/state": lambda: (200, self._state_page()),
            },
        )

    def _write_again(self) -> None:
        """Writes what a restored store lost.

        All instances have the same findings. Those after the first one look whether it
        has written them: it may have started after the restore, and not know of it.
        """
        self.origins.note_era(self.config_follower.position.era, is_restored=True)
        is_first = self.peers.store_rank() == 0
        delay_s = 0.0 if is_first else backup_delay_s(self.settings.instance)
        self.findings.write_again(after_s=delay_s)

    def _apply_config(self, follower: StoreFollower) -> None:
        configs = [
            item.content
            for item in follower.objects.values()
            if isinstance(item.content, RoutingConfig)
        ]
        for config in sorted(configs, key=lambda item: item.version):
            if self.routing.install(config):
                self.event_log.emit(
                    "config_installed",
                    version=config.version,
                    source="store",
                    routes=len(config.routes),
                    teams=len(config.teams or {}),
                    revision=follower.revision,
                )
            elif config.version < self.routing.version:
                self.event_log.emit(
                    "config_not_installed",
                    version=config.version,
                    known=self.routing.version,
                    era=follower.position.era,
                    revision=follower.revision,
                )
        self.peers.note_change()

    def _endpoints_changed(self) -> None:
        """Tells all parts about a change; an error in one keeps none of the others.

        Raises the first error, after which the change is applied again.
        """
        records = self.registry.records
        steps: tuple[Callable[[], None], ...] = (
            lambda: self.pool.keep_only({item.address for item in records.values()}),
            lambda: self.load_table.keep_only(set(records)),
            lambda: self.permits.keep_only(list(records.values())),
            self.origins.note_endpoints,
            self.admission.note_change,
            self.peers.note_change,
        )
        errors = []
        for step in steps:
            try:
                step()
            except Exception as error:
                self.event_log.emit(
                    "endpoint_change_failed", error=repr(error)[:MAX_ERROR_CHARACTERS]
                )
                errors.append(error)
        if errors:
            raise errors[0]

    def not_ready_reason(self) -> str:
        """Returns why the instance is not ready, or an empty string if it is."""
        if self.stop_requested:
            return "stopping"
        if self.routing.table is None:
            return "no configuration"
        if not self.registry.known:
            return "no list of endpoints"
        for follower in (self.config_follower, self.endpoint_follower):
            if not follower.is_applied:
                return f"{follower.kind} not applied"
        return ""

    def _readiness_page(self) -> tuple[int, str]:
        reason = self.not_ready_reason()
        return (503, reason + "\n") if reason else (200, "ready\n")

    def _state_page(self) -> str:
        state = {
            "instance": self.settings.instance,
            "config_version": self.routing.version,
            "not_ready_reason": self.not_ready_reason(),
            "followers": [
                self.config_follower.dump(),
                self.endpoint_follower.dump(),
            ],
            "endpoints": msgspec.to_builtins(self.registry.dump()),
            "engines": self.load_table.dump(),
            "peers": self.peers.dump(),
            "limits": self.permits.dump(),
            "pauses": self.permits.pauses.dump(),
            "stream_origins": self.origins.dump(),
            "crash_evidence": self.crash_reports.evidence.dump(),
            "retry_budget": self.budget.dump(),
            "memory": self.memory.dump(),
            "threads": threading.active_count(),
        }
        if self.duties is not None:
            state["duties"] = self.duties.dump()
        if self.scaling is not None:
            state["scaling"] = self.scaling.dump()
        return msgspec.json.format(msgspec.json.encode(state)).decode() + "\n"

    def start(self) -> None:
        """Opens all sockets and starts following the store."""
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        allocator.limit_kept_memory()
        EventLogHandler(event_log=self.event_log).push_application()
        self.event_log.start()
        self.event_log.emit(
            "started", zone=self.settings.zone, seeds=self.settings.seeds
        )
        # Callers must be able to connect before the instance reports that it is ready.
        self.listener.open()
        self.pages.start()
        self.config_follower.start()
        self.endpoint_follower.start()
        self.findings.start()
        self.origins.start()
        self.peers.start()
        if self.duties is not None:
            self.duties.start()
        self.admission.start()
        self.listener.start()
        # Excludes objects that live as long as the process from garbage collection.
        gc.collect()
        gc.freeze()

    def install_signal_handlers(self) -> None:
        """Installs handlers: SIGTERM starts a graceful shutdown, SIGHUP a reload."""
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, lambda number, _: self.arrived_signals.put(number))

    def wait_for_stop(self, timeout_s: float) -> bool:
        """Waits for SIGTERM; returns whether it has arrived, and notes SIGHUP."""
        until = time.monotonic() + timeout_s
        while not self.stop_requested and (left_s := until - time.monotonic()) > 0:
            with contextlib.suppress(queue.Empty):
                if self.arrived_signals.get(timeout=left_s) == signal.SIGTERM:
                    self.stop_requested = True
                else:
                    self.reload_requested = True
        return self.stop_requested

    def run(self) -> int:
        """Serves requests until a graceful shutdown has completed."""
        next_check = time.monotonic() + SETTINGS_CHECK_INTERVAL_S
        known = self._settings_file_stat()
        ready = None
        while not self.wait_for_stop(MAINTENANCE_INTERVAL_S):
            self.registry.decay()
            self._share_connections()
            ready = self._log_readiness(ready)
            if self.reload_requested or time.monotonic() >= next_check:
                next_check = time.monotonic() + SETTINGS_CHECK_INTERVAL_S
                asked, self.reload_requested = self.reload_requested, False
                stamp = self._settings_file_stat()
                if asked or stamp != known:
                    known = stamp
                    self._reload()
        return self._stop()

    def _share_connections(self) -> None:
        """Divides the connection limit of the services among the instances."""
        table = self.routing.table
        if table is None:
            return
        limits = [item.max_connections for item in table.config.services.values()]
        smallest = min((limit for limit in limits if limit), default=0)
        self.pool.set_idle_limit(smallest, self.peers.instances())

    def _log_readiness(self, before: str | None) -> str:
        reason = self.not_ready_reason()
        if reason != before:
            self.event_log.emit("readiness", ready=not reason, reason=reason)
        return reason

    def _settings_file_stat(self) -> tuple[int, int] | None:
        try:
            status = self.settings_path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def _reload(self) -> None:
        """Applies changed bounds; changes of other settings require a restart."""
        try:
            settings = parse_gateway_settings(self.settings_path.read_bytes())
        except (SettingsError, OSError) as error:
            self.event_log.emit("settings_refused", reason=str(error))
            return
        bounds = settings.bounds
        self.budget.ratio = bounds.retry_ratio
        self.budget.fixed = bounds.retry_fixed
        self.discovery.expired_entries = expired_entries(bounds)
        self.freshness.renewal.bound_s = store_copy_bound_s(bounds)
        self.settings = msgspec.structs.replace(self.settings, bounds=bounds)
        self.event_log.emit("settings_reloaded")

    def _stop(self) -> int:
        stop_started_at = time.monotonic()
        stop_deadline = (
            stop_started_at + self.settings.bounds.grace_s * SHUTDOWN_DEADLINE_SHARE
        )
        self.event_log.emit("stopping", connections=self.listener.connections)
        self.listener.begin_stop(
            selective_at=stop_started_at + ACCEPT_ALL_REQUESTS_S,
            stop_deadline=stop_deadline,
        )
        self.origins.hand_on()
        self._accept_until_quiet(stop_started_at)
        self.listener.close()
        answer_at = stop_deadline - STOP_ANSWER_S
        while not self.listener.is_idle() and time.monotonic() < stop_deadline:
            time.sleep(0.05)
            if time.monotonic() >= answer_at:
                self.admission.refuse_waiting()
        self._close()
        self.event_log.emit(
            "stopped",
            took_s=round(time.monotonic() - stop_started_at, 3),
            cut_off=self.listener.requests,
        )
        self.event_log.stop()
        return 0

    def _accept_until_quiet(self, stop_started_at: float) -> None:
        latest = stop_started_at + self.settings.bounds.grace_s * STOP_ACCEPTING_SHARE
        time.sleep(min(STOP_ACCEPTING_AFTER_S, latest - stop_started_at))
        while time.monotonic() < latest:
            if self.listener.since_last_accept_s() >= QUIET_PERIOD_S:
                return
            time.sleep(0.1)

    def _close(self) -> None:
        steps: tuple[Callable[[], None], ...] = (
            *([self.duties.stop] if self.duties is not None else []),
            self.config_follower.stop,
            self.endpoint_follower.stop,
            self.findings.stop,
            self.origins.stop,
            self.peers.stop,
            self.admission.stop,
            self.pages.close,
        )
        for step in steps:
            with contextlib.suppress(OSError):
                step()


def store_copy_bound_s(bounds: GatewayBounds) -> float:
    """Returns the age up to which copies of store objects may be used.

    >>> store_copy_bound_s(GatewayBounds(config_apply_ms=4_000, drain_ms=2_500))
    2.5
    """
    bound_ms = min(bounds.config_apply_ms, bounds.drain_ms, bounds.contact_ms)
    return bound_ms / 1000


def expired_entries(bounds: GatewayBounds) -> ExpiredEntries:
    """Returns the policy for disappeared store entries, with the configured times."""
    return ExpiredEntries(
        drain_s=bounds.drain_ms / 1000, contact_s=bounds.contact_ms / 1000
    )
