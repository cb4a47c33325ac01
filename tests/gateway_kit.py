"""Builds an in-process gateway request path in front of scripted endpoints."""

import http.client
import threading
import time

from returns.result import Failure, Success

from lagoonrill._internal.coordination.crash_reports import CrashReports
from lagoonrill._internal.coordination.endpoint_discovery import EndpointDiscovery
from lagoonrill._internal.coordination.endpoint_signals import EndpointSignals
from lagoonrill._internal.coordination.engine_admission import EngineAdmission
from lagoonrill._internal.coordination.forwarding import Forwarder
from lagoonrill._internal.coordination.policy.crash_evidence import CrashEvidence
from lagoonrill._internal.coordination.policy.expired_entries import ExpiredEntries
from lagoonrill._internal.coordination.policy.shared_retry_budget import (
    SharedRetryBudget,
)
from lagoonrill._internal.coordination.policy.stream_history import DefaultVersion
from lagoonrill._internal.coordination.record_batches import StoredBatch
from lagoonrill._internal.coordination.send_permits import SendPermits
from lagoonrill._internal.coordination.stream_origins import StreamOrigins
from lagoonrill._internal.coordination.stream_records import StoredOrigins
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.memory.account import MemoryAccount, Part, PartBounds
from lagoonrill._internal.memory.callers import CallerMemory
from lagoonrill._internal.protocol.errors import (
    StoreConflict,
    StoreInDoubt,
    StoreUnavailable,
)
from lagoonrill._internal.protocol.headers import HeaderNames
from lagoonrill._internal.protocol.routing import (
    CallerLimits,
    EndpointRecord,
    EngineProfile,
    Route,
    RoutedTeam,
    RouteKind,
    RoutingConfig,
    Service,
    WeightedService,
)
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry
from lagoonrill._internal.state.engine_load_table import EngineLoadTable
from lagoonrill._internal.state.gateway_metrics import GatewayMetrics
from lagoonrill._internal.state.route_table import RoutingState
from lagoonrill._internal.transport.endpoint_connection import ConnectionPool
from lagoonrill._internal.transport.gateway_listener import GatewayListener
from standins.ports import free_port

HOST = "shop.example"
KEY = "key-of-shop"


def route(name: str, kind: RouteKind, **options) -> Route:
    defaults = {
        "host": HOST,
        "path_prefix": f"/{name}/",
        "services": (WeightedService(service="app"),),
        "timeout_s": 3.0,
        "goal_s": 0.4,
        "priority": 1,
    }
    return Route(name=name, kind=kind, **(defaults | options))


def engine_route(name: str, **options) -> Route:
    defaults = {
        "services": (WeightedService(service="models"),),
        "uses_engine": True,
        "pause_goal_s": 0.2,
    }
    return route(name, RouteKind.STREAM, **(defaults | options))


ROUTES = (
    route("order", RouteKind.UNSAFE),
    route("status", RouteKind.SAFE, max_endpoints=2),
    route("brief", RouteKind.SAFE, timeout_s=0.2),
    route("open", RouteKind.SAFE, anonymous=True),
    engine_route("ask", resumable=True, max_endpoints=2, priority=0),
    engine_route("plan"),
)


def config(version: int = 1, routes=ROUTES, **options) -> RoutingConfig:
    services = {
        "app": Service(name="app"),
        "models": Service(
            name="models", engine=EngineProfile(slots=8, cache_tokens=100_000)
        ),
    }
    teams = {KEY: RoutedTeam(name="shop")}
    defaults = {"services": services, "teams": teams, "limits": CallerLimits()}
    return RoutingConfig(version=version, routes=routes, **(defaults | options))


def record(endpoint, service: str, **options) -> EndpointRecord:
    defaults = {"zone": "a", "slots": 8}
    return EndpointRecord(
        id=endpoint.id,
        service=service,
        address=endpoint.address,
        **(defaults | options),
    )


class MemoryOrigins:
    """Store of the origins of streams, shared by gateways.

    `down` fails all calls: they get no answer, or with `refuses`, they are refused.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.defaults: dict[tuple[str, int], DefaultVersion] = {}
        self.batches: dict[str, StoredBatch] = {}
        self.down = False
        self.refuses = False
        self.era = 1
        self.complete_era = 0
        self.calls: list[str] = []

    def _call(self, name: str, function):
        with self.lock:
            self.calls.append(name)
            if self.down:
                error = StoreUnavailable if self.refuses else StoreInDoubt
                return Failure(error(message="no answer"))
            return function()

    def restore_empty(self) -> None:
        """Comes back from a copy that is older than everything."""
        with self.lock:
            self.era += 1
            self.batches.clear()
            self.defaults.clear()
            self.complete_era = 0

    def copy(self):
        """Returns a copy to come back from."""
        with self.lock:
            return dict(self.batches), dict(self.defaults), self.complete_era

    def restore(self, copy) -> None:
        """Comes back from a copy."""
        with self.lock:
            self.era += 1
            batches, defaults, self.complete_era = copy
            self.batches, self.defaults = dict(batches), dict(defaults)

    def list(self):
        return self._call(
            "list",
            lambda: Success(
                StoredOrigins(
                    era=self.era,
                    complete_era=self.complete_era,
                    defaults=list(self.defaults.values()),
                    batches=list(self.batches.values()),
                )
            ),
        )

    def write(self, batch, *, is_created):
        def replace():
            self.batches[batch.name] = batch
            return Success(None)

        return self._call("write", replace)

    def remove(self, name):
        def remove():
            self.batches.pop(name, None)
            return Success(None)

        return self._call("remove", remove)

    def add_default(self, default):
        def create():
            key = (default.service, default.number)
            if key in self.defaults:
                return Failure(StoreConflict(message="exists"))
            self.defaults[key] = default
            return Success(None)

        return self._call("add_default", create)

    def remove_default(self, default):
        def remove():
            self.defaults.pop((default.service, default.number), None)
            return Success(None)

        return self._call("remove_default", remove)

    def confirm_era(self, era):
        def confirm():
            self.complete_era = era
            return Success(None)

        return self._call("confirm_era", confirm)


class Gateway:
    """Request path of a gateway; `endpoints` maps services to scripted endpoints."""

    def __init__(
        self,
        endpoints: dict[str, list],
        *,
        retry_fixed: float = 100.0,
        origin_store: MemoryOrigins | None = None,
        answer_memory_bytes: int = 64 * 2**20,
    ):
        self.event_log = EventLog(instance="gateway-test")
        self.registry = EndpointRegistry()
        self.routing = RoutingState()
        self.load_table = EngineLoadTable()
        self.permits = SendPermits(
            instance="gateway-test",
            event_log=self.event_log,
        )
        self.discovery = EndpointDiscovery(
            registry=self.registry,
            expired_entries=ExpiredEntries(drain_s=2.0, contact_s=3.0),
            event_log=self.event_log,
            changed=lambda: None,
        )
        self.signals = EndpointSignals(
            instance="gateway-test",
            permits=self.permits,
            event_log=self.event_log,
            discovery=self.discovery,
        )
        self.admission = EngineAdmission(
            instance="gateway-test",
            zone="a",
            registry=self.registry,
            load_table=self.load_table,
            permits=self.permits,
            event_log=self.event_log,
        )
        self.routing.subscribers.append(self.admission.install)
        self.crash_reports = CrashReports(
            evidence=CrashEvidence(), registry=self.registry, event_log=self.event_log
        )
        self.pool = ConnectionPool()
        self.metrics = GatewayMetrics()
        header_names = HeaderNames()
        self.origins = StreamOrigins(
            instance="gateway-test",
            store=origin_store or MemoryOrigins(),
            registry=self.registry,
            event_log=self.event_log,
            is_writer=lambda: True,
            list_age_s=lambda: 0.0,
            instances=lambda: 1,
            writes_per_s=1_000,
        )
        self.routing.subscribers.append(self.origins.install)
        bounds = {part: PartBounds(limit=64 * 2**20) for part in Part}
        bounds[Part.ANSWERS] = PartBounds(limit=answer_memory_bytes)
        self.memory = CallerMemory(
            account=MemoryAccount(capacity_bytes=256 * 2**20, bounds=bounds),
            metrics=self.metrics,
            event_log=self.event_log,
        )
        self.answer_memory = self.memory.account.parts[Part.ANSWERS]
        forwarder = Forwarder(
            header_names=header_names,
            registry=self.registry,
            pool=self.pool,
            admission=self.admission,
            signals=self.signals,
            crash_reports=self.crash_reports,
            zone="a",
            origins=self.origins,
            answer_memory=self.answer_memory,
            budget=SharedRetryBudget(ratio=0.2, window_s=10, fixed=retry_fixed),
            instances=lambda: 1,
            list_age_s=lambda: 0.0,
            list_confirmed_by=lambda: "store",
            routing=self.routing,
            metrics=self.metrics,
            event_log=self.event_log,
        )
        self.port = free_port()
        self.listener = GatewayListener(
            address=f"127.0.0.1:{self.port}",
            max_connections=64,
            header_names=header_names,
            routing=self.routing,
            config_age_s=lambda: 0.0,
            forwarder=forwarder,
            memory=self.memory,
            metrics=self.metrics,
            event_log=self.event_log,
        )
        self.set_endpoints(endpoints)

    def set_endpoints(self, endpoints: dict[str, list]) -> None:
        self.install_records(
            [
                record(endpoint, service)
                for service, found in endpoints.items()
                for endpoint in found
            ]
        )

    def install_records(self, records: list[EndpointRecord]) -> None:
        """Installs endpoints as discovery does."""
        self.registry.replace({item.id: item for item in records})
        self.origins.note_endpoints()

    def start(self, configuration: RoutingConfig | None = None) -> "Gateway":
        self.routing.install(configuration or config())
        self.origins.start()
        self.admission.start()
        self.listener.open()
        self.listener.start()
        return self

    def events(self, name: str) -> list[dict]:
        return [fields for _, event, fields in self.event_log.waiting if event == name]

    def connect(self, timeout: float = 5) -> http.client.HTTPConnection:
        return http.client.HTTPConnection("127.0.0.1", self.port, timeout=timeout)

    def ask(self, path: str, *, id: str = "r1", method: str = "POST", **options):
        """Sends a request on a new connection; returns the response and its body."""
        connection = self.connect()
        headers = {
            "Host": HOST,
            "X-Request-Id": id,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": "2000",
        }
        headers |= options.pop("headers", {})
        headers = {name: value for name, value in headers.items() if value is not None}
        connection.request(
            method, path, body=options.pop("body", b"{}"), headers=headers
        )
        response = connection.getresponse()
        response.whole = True
        try:
            body = response.read()
        except (http.client.IncompleteRead, ConnectionError) as error:
            response.whole = False
            body = getattr(error, "partial", b"")
        connection.close()
        return response, body


def wait_until(condition, timeout_s: float = 3.0) -> bool:
    """Waits for a condition; returns whether it was met before the timeout."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.01)
    return bool(condition())
