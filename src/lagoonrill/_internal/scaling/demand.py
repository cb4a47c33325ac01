"""Collects the load and the endpoints of the services whose endpoints are ordered."""

from collections import deque
from collections.abc import Callable

from ..coordination.engine_admission import EngineAdmission
from ..protocol.messages import GatewayDigest, ServiceDemand
from ..protocol.routing import EndpointRecord, RoutingConfig, Service
from ..state.endpoint_registry import EndpointRegistry
from ..state.engine_load_table import EngineLoadTable
from ..state.route_table import RoutingState
from .views import DemandView, ServiceView, ZoneView

# Arrivals are counted over this time: longer than the interval of digests from other
# zones, and short enough to see a burst of seconds at its start.
RATE_WINDOW_S = 1.5


class ArrivalRate:
    """Arrivals per second in the fleet, from the growing counts of all instances.

    >>> rate = ArrivalRate()
    >>> for second in (0, 1, 2):
    ...     rate.add({"a": (10 * second, 900 * second)}, now=second)
    >>> rate.per_s()
    (10.0, 900.0)
    """

    __slots__ = ("counts", "history", "requests", "tokens")

    def __init__(self):
        # The last counts of each instance.
        self.counts: dict[str, tuple[int, int]] = {}
        self.requests = 0
        self.tokens = 0
        # Times and totals, from the last one before the window.
        self.history: deque[tuple[float, int, int]] = deque()

    def add(self, counts: dict[str, tuple[int, int]], now: float) -> None:
        """Adds what has arrived since the last call at instances known by then."""
        for instance, (requests, tokens) in counts.items():
            before = self.counts.get(instance, (requests, tokens))
            if requests < before[0]:
                # The instance has started again.
                before = (0, 0)
            self.requests += requests - before[0]
            self.tokens += max(0, tokens - before[1])
        self.counts = dict(counts)
        self.history.append((now, self.requests, self.tokens))
        while len(self.history) > 2 and self.history[1][0] <= now - RATE_WINDOW_S:
            self.history.popleft()

    def per_s(self) -> tuple[float, float]:
        """Returns requests and tokens per second."""
        first, last = self.history[0], self.history[-1]
        elapsed_s = last[0] - first[0]
        if elapsed_s <= 0:
            return 0.0, 0.0
        return (last[1] - first[1]) / elapsed_s, (last[2] - first[2]) / elapsed_s


class DemandMeter:
    """Combines what this instance counts with the digests of its peers."""

    def __init__(
        self,
        *,
        instance: str,
        routing: RoutingState,
        registry: EndpointRegistry,
        load_table: EngineLoadTable,
        admission: EngineAdmission,
        live_digests: Callable[[], list[GatewayDigest]],
    ):
        self.instance = instance
        self.routing = routing
        self.registry = registry
        self.load_table = load_table
        self.admission = admission
        self.live_digests = live_digests
        self.rates: dict[str, ArrivalRate] = {}
        # Times until which endpoints that have just started are slow, as their first
        # entry said: later ones may repeat it unchanged.
        self.cold_until: dict[tuple[str, int], float] = {}

    def reset(self) -> None:
        """Forgets earlier counts, after a time in which they were not collected."""
        self.rates = {}

    def _config(self) -> RoutingConfig | None:
        table = self.routing.table
        return table.config if table else None

    def _services(self) -> list[Service]:
        config = self._config()
        if config is None:
            return []
        return [item for item in config.services.values() if item.scaling]

    def _records(self) -> list[EndpointRecord]:
        return list(self.registry.records.values())

    def own(self) -> list[ServiceDemand]:
        """Returns the demand at this instance, which its digests carry."""
        return [self._own(service) for service in self._services()]

    def _own(self, service: Service) -> ServiceDemand:
        arrived, arrived_tokens = self.admission.arrivals.of(service.name)
        waiting = list(self.admission.waiting.get(service.name, ()))
        # Calls to engines are counted by the load table.
        records = [] if service.engine else self._records()
        return ServiceDemand(
            service=service.name,
            arrived=arrived,
            arrived_tokens=arrived_tokens,
            waiting=len(waiting),
            waiting_tokens=sum(item.view.prompt_tokens for item in waiting),
            outstanding=sum(
                self.registry.outstanding(record.id)
                for record in records
                if record.service == service.name
            ),
        )

    def collect(self, now: float) -> DemandView:
        """Returns the view for a decision; `now` is in seconds of any clock."""
        services = self._services()
        if not services:
            return DemandView()
        known = {(item.id, item.incarnation) for item in self._records()}
        for key in self.cold_until.keys() - known:
            del self.cold_until[key]
        demand: dict[str, dict[str, ServiceDemand]] = {}
        for digest in self.live_digests():
            for item in digest.demand:
                demand.setdefault(item.service, {})[digest.instance] = item
        for service in services:
            found = demand.setdefault(service.name, {})
            found[self.instance] = self._own(service)
        return DemandView(
            services=[
                self._view(service, demand[service.name], now) for service in services
            ]
        )

    def _view(
        self, service: Service, demand: dict[str, ServiceDemand], now: float
    ) -> ServiceView:
        records = [item for item in self._records() if item.service == service.name]
        rate = self.rates.setdefault(service.name, ArrivalRate())
        counts = {
            name: (item.arrived, item.arrived_tokens) for name, item in demand.items()
        }
        rate.add(counts, now)
        requests_per_s, tokens_per_s = rate.per_s()
        waiting = sum(item.waiting for item in demand.values())
        if service.engine is None:
            running = sum(item.outstanding for item in demand.values())
            prefill_rate = 0.0
        else:
            loads = [self.load_table.load(record.id) for record in records]
            running = sum(load.light + load.heavy for load in loads)
            prefill_rate = self.load_table.prefill_rates.get(service.name, 0.0)
        return ServiceView(
            service=service.name,
            profile=service.scaling,
            zones=self._zones(records, now),
            slots=self._slots(service, records),
            requests=running + waiting,
            waiting=waiting,
            waiting_tokens=sum(item.waiting_tokens for item in demand.values()),
            requests_per_s=requests_per_s,
            tokens_per_s=tokens_per_s,
            prefill_rate=prefill_rate,
            goal_s=self._goal_s(service.name),
        )

    def _is_cold(self, record: EndpointRecord, now: float) -> bool:
        if record.cold_s <= 0:
            return False
        key = record.id, record.incarnation
        return now < self.cold_until.setdefault(key, now + record.cold_s)

    def _zones(self, records: list[EndpointRecord], now: float) -> dict[str, ZoneView]:
        zones = {}
        for zone in {record.zone for record in records}:
            found = [record for record in records if record.zone == zone]
            leaving = [record for record in found if record.leaving]
            # An endpoint that cannot be reached serves nothing.
            ready = [
                record
                for record in found
                if not record.leaving and not self.registry.is_suspect(record.id)
            ]
            zones[zone] = ZoneView(
                ordinary=sum(not record.spot for record in ready),
                spot=sum(record.spot for record in ready),
                cold=sum(self._is_cold(record, now) for record in ready),
                leaving=len(leaving),
                withdrawn=sum(
                    record.spot and record.leaves_s is not None for record in leaving
                ),
            )
        return zones

    def _slots(self, service: Service, records: list[EndpointRecord]) -> float:
        slots = [record.slots for record in records if not record.leaving]
        if slots:
            return sum(slots) / len(slots)
        return float(service.engine.slots if service.engine else 1)

    def _goal_s(self, service: str) -> float:
        """Returns the tightest goal of the routes to a service; 0 if none has one."""
        config = self._config()
        goals = [
            route.goal_s
            for route in (config.routes if config else ())
            if route.goal_s > 0
            and any(item.service == service for item in route.services)
        ]
        return min(goals, default=0.0)
