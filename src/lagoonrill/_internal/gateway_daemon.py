"""Wires the components of one gateway, starts them and stops them."""

import contextlib
import gc
import signal
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from .coordination.endpoint_discovery import EndpointDiscovery
from .coordination.engine_admission import EngineAdmission
from .coordination.forwarding import Forwarder
from .coordination.gateway_peers import GatewayPeers
from .coordination.policy.lapsed_entries import LapsedEntries
from .coordination.policy.shared_retry_budget import SharedRetryBudget
from .coordination.store_follower import ObjectSource, StoreFollower
from .event_log import EventLog, EventLogHandler
from .protocol.errors import SettingsError
from .protocol.gateway_settings import (
    GatewayBounds,
    GatewaySettings,
    parse_gateway_settings,
)
from .protocol.headers import HeaderVocabulary
from .protocol.routing import RoutingConfig
from .state.endpoint_registry import EndpointRegistry
from .state.engine_board import EngineBoard
from .state.gateway_metrics import GatewayMetrics
from .state.route_table import RoutingState
from .transport.endpoint_connection import ConnectionPool
from .transport.gateway_listener import GatewayListener, TextListener
from .transport.peer_link import PeerLink

# The balancer asks for readiness once a second and takes an instance out after two
# refusals; until then it sends new connections. Where it has no other instance it goes
# on, so the listener closes once no connection came for a while, or when a new request
# could hardly end within the grace time.
STOP_ACCEPTING_AFTER_S = 2.6
QUIET_BEFORE_CLOSE_S = 1.0
STOP_ACCEPTING_SHARE = 0.7
# Requests that arrive so soon after the signal are served like all others.
SERVE_ALL_S = 2.0
# Share of the grace time after which a planned stop ends although requests run.
LAST_MOMENT_SHARE = 0.93
MAINTENANCE_INTERVAL_S = 0.5
SETTINGS_CHECK_INTERVAL_S = 1.0
# Descriptors that are not for callers: files, the store, peers.
RESERVED_DESCRIPTORS = 400
# Each caller may need a second descriptor for its endpoint.
DESCRIPTORS_PER_CALLER = 2
# Python's default lets a busy thread keep the interpreter for 5 ms.
SWITCH_INTERVAL_S = 0.001
# Instances that share the fleet's budgets while too few peers are known.
EXPECTED_INSTANCES = 4
# Configurations in quick succession are fetched together; callers may not see a newer
# one take effect much earlier than others do.
CONFIG_SPACING_S = 0.1
SETTINGS_REFUSED = 2


class RoutingSource(msgspec.Struct, kw_only=True):
    """Where configurations and endpoints come from."""

    # Its objects' content is a `RoutingConfig`.
    configs: ObjectSource
    # Its objects' content is an `EndpointRecord`.
    endpoints: ObjectSource


class GatewayDaemon:
    """One gateway; `run` returns the exit status."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        settings_path: Path,
        vocabulary: HeaderVocabulary,
        source: RoutingSource,
        readiness_path: str = "/ready",
    ):
        self.settings = settings
        self.settings_path = settings_path
        self.event_log = EventLog(instance=settings.instance)
        self.metrics = GatewayMetrics()
        self.routing = RoutingState()
        self.registry = EndpointRegistry()
        self.board = EngineBoard()
        self.pool = ConnectionPool()
        self.stop_wanted = threading.Event()
        self.reload_wanted = threading.Event()
        self._build_admission()
        self._build_followers(source)
        self._build_peers()
        self._build_request_path(vocabulary)
        self._build_pages(readiness_path)

    def _build_admission(self) -> None:
        self.admission = EngineAdmission(
            instance=self.settings.instance,
            zone=self.settings.zone,
            registry=self.registry,
            board=self.board,
            event_log=self.event_log,
        )
        self.routing.subscribers.append(self.admission.install)

    def _build_followers(self, source: RoutingSource) -> None:
        self.discovery = EndpointDiscovery(
            registry=self.registry,
            lapsed_entries=lapsed_entries(self.settings.bounds),
            event_log=self.event_log,
            changed=self._endpoints_changed,
        )
        self.config_follower = StoreFollower(
            kind="configuration",
            source=source.configs,
            apply=self._apply_config,
            event_log=self.event_log,
            spacing_s=CONFIG_SPACING_S,
        )
        self.endpoint_follower = StoreFollower(
            kind="endpoints",
            source=source.endpoints,
            apply=self.discovery.apply,
            event_log=self.event_log,
        )

    def _build_peers(self) -> None:
        host, _, port = self.settings.peer_address.rpartition(":")
        self.peers = GatewayPeers(
            instance=self.settings.instance,
            zone=self.settings.zone,
            link=PeerLink(host=host, port=int(port), handler_threads=1),
            seeds=self.settings.seeds,
            expected_instances=EXPECTED_INSTANCES,
            routing=self.routing,
            discovery=self.discovery,
            registry=self.registry,
            board=self.board,
            store_in_touch=self._store_in_touch,
            work_changed=self.admission.note_change,
            stream_engines=self.admission.stream_engines,
            event_log=self.event_log,
        )
        self.board.changed = self.peers.note_change
        self.admission.peers = self.peers

    def _build_request_path(self, vocabulary: HeaderVocabulary) -> None:
        settings = self.settings
        self.budget = SharedRetryBudget(
            ratio=settings.bounds.retry_ratio,
            window_s=settings.bounds.retry_window_s,
            fixed=settings.bounds.retry_fixed,
        )
        self.forwarder = Forwarder(
            vocabulary=vocabulary,
            registry=self.registry,
            pool=self.pool,
            admission=self.admission,
            zone=settings.zone,
            budget=self.budget,
            instances=self.peers.instances,
            list_age_s=self.endpoint_follower.age_s,
            metrics=self.metrics,
            event_log=self.event_log,
        )
        descriptors = settings.max_descriptors - RESERVED_DESCRIPTORS
        self.listener = GatewayListener(
            address=settings.callers_address,
            max_connections=max(16, descriptors // DESCRIPTORS_PER_CALLER),
            vocabulary=vocabulary,
            routing=self.routing,
            forwarder=self.forwarder,
            metrics=self.metrics,
            event_log=self.event_log,
        )

    def _build_pages(self, readiness_path: str) -> None:
        self.metrics.register_gauge("config_version", lambda: self.routing.version)
        self.metrics.register_gauge(
            "endpoint_list_age_seconds",
            lambda: round(time.monotonic() - self.registry.updated_at, 3),
        )
        self.metrics.register_gauge(
            "store_in_touch", lambda: int(self._store_in_touch())
        )
        self.metrics.register_gauge(
            "store_silent_seconds", lambda: round(self.endpoint_follower.age_s(), 3)
        )
        self.metrics.register_gauge(
            "endpoints_held", lambda: len(self.registry.held_until)
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

    def _store_in_touch(self) -> bool:
        return self.endpoint_follower.in_touch and self.config_follower.in_touch

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
        self.peers.note_change()

    def _endpoints_changed(self) -> None:
        records = self.registry.records
        self.pool.keep_only({record.address for record in records.values()})
        self.board.keep_only(set(records))
        self.admission.note_change()
        self.peers.note_change()

    def not_ready_reason(self) -> str:
        """Returns why the instance takes no new callers, empty if it does."""
        if self.stop_wanted.is_set():
            return "stopping"
        if self.routing.table is None:
            return "no configuration"
        if not self.registry.known:
            return "no list of endpoints"
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
            "engines": self.board.dump(),
            "peers": self.peers.dump(),
            "retry_budget": self.budget.dump(),
            "threads": threading.active_count(),
        }
        return msgspec.json.format(msgspec.json.encode(state)).decode() + "\n"

    def start(self) -> None:
        """Opens all sockets and begins to follow the store."""
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        EventLogHandler(event_log=self.event_log).push_application()
        self.event_log.start()
        self.event_log.emit(
            "started", zone=self.settings.zone, seeds=self.settings.seeds
        )
        # An instance must not say that it is ready before callers can connect.
        self.listener.open()
        self.pages.start()
        self.config_follower.start()
        self.endpoint_follower.start()
        self.peers.start()
        self.admission.start()
        self.listener.start()
        # What lives until the end need not be looked through again.
        gc.collect()
        gc.freeze()

    def install_signal_handlers(self) -> None:
        """SIGTERM begins a planned stop, SIGHUP reads the settings again."""
        signal.signal(signal.SIGTERM, lambda *_: self.stop_wanted.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload_wanted.set())

    def run(self) -> int:
        """Serves until a planned stop has ended."""
        next_check = time.monotonic() + SETTINGS_CHECK_INTERVAL_S
        known = self._settings_stamp()
        ready = None
        while not self.stop_wanted.wait(MAINTENANCE_INTERVAL_S):
            self.registry.decay()
            self._share_connections()
            ready = self._log_readiness(ready)
            if self.reload_wanted.is_set() or time.monotonic() >= next_check:
                next_check = time.monotonic() + SETTINGS_CHECK_INTERVAL_S
                asked = self.reload_wanted.is_set()
                self.reload_wanted.clear()
                stamp = self._settings_stamp()
                if asked or stamp != known:
                    known = stamp
                    self._reload()
        return self._stop()

    def _share_connections(self) -> None:
        """Divides the connections that endpoints accept among the instances."""
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

    def _settings_stamp(self) -> tuple[int, int] | None:
        try:
            status = self.settings_path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def _reload(self) -> None:
        """Takes the bounds of changed settings; everything else needs a restart."""
        try:
            settings = parse_gateway_settings(self.settings_path.read_bytes())
        except (SettingsError, OSError) as error:
            self.event_log.emit("settings_refused", reason=str(error))
            return
        bounds = settings.bounds
        self.budget.ratio = bounds.retry_ratio
        self.budget.fixed = bounds.retry_fixed
        self.discovery.lapsed_entries = lapsed_entries(bounds)
        self.settings = msgspec.structs.replace(self.settings, bounds=bounds)
        self.event_log.emit("settings_reloaded")

    def _stop(self) -> int:
        begun_at = time.monotonic()
        stop_deadline = begun_at + self.settings.bounds.grace_s * LAST_MOMENT_SHARE
        self.event_log.emit("stopping", connections=self.listener.connections)
        self.listener.begin_stop(
            selective_at=begun_at + SERVE_ALL_S, stop_deadline=stop_deadline
        )
        self._accept_until_quiet(begun_at)
        self.listener.close()
        while not self.listener.is_idle() and time.monotonic() < stop_deadline:
            time.sleep(0.05)
        self._close()
        self.event_log.emit(
            "stopped",
            took_s=round(time.monotonic() - begun_at, 3),
            cut_off=self.listener.requests,
        )
        self.event_log.stop()
        return 0

    def _accept_until_quiet(self, begun_at: float) -> None:
        latest = begun_at + self.settings.bounds.grace_s * STOP_ACCEPTING_SHARE
        time.sleep(min(STOP_ACCEPTING_AFTER_S, latest - begun_at))
        while time.monotonic() < latest:
            if self.listener.since_last_accept_s() >= QUIET_BEFORE_CLOSE_S:
                return
            time.sleep(0.1)

    def _close(self) -> None:
        steps: tuple[Callable[[], None], ...] = (
            self.config_follower.stop,
            self.endpoint_follower.stop,
            self.peers.stop,
            self.admission.stop,
            self.pages.close,
        )
        for step in steps:
            with contextlib.suppress(OSError):
                step()


def lapsed_entries(bounds: GatewayBounds) -> LapsedEntries:
    """Returns the policy for entries that disappear, with the operator's times."""
    return LapsedEntries(
        drain_s=bounds.drain_ms / 1000, contact_s=bounds.contact_ms / 1000
    )
