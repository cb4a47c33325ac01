"""Makes the calls that the scaling policy decides, as a duty of the lease holder."""

import time
from collections.abc import Callable

from ..coordination.engine_admission import EngineAdmission
from ..coordination.gateway_peers import GatewayPeers
from ..duties.platform_calls import CallOutcome, DutyCaller, LeaseCheck, StaleToken
from ..event_log import EventLog
from ..state.endpoint_registry import EndpointRegistry
from ..state.engine_load_table import EngineLoadTable
from ..state.gateway_metrics import GatewayMetrics
from ..state.route_table import RoutingState
from .demand import DemandMeter
from .policy import ScalingPolicy
from .views import Order, ServiceView

# Interval of decisions; the duty may be stepped more often.
DECISION_INTERVAL_S = 0.25
# The other duties of the lease holder wait meanwhile.
MAX_CALLS_PER_STEP = 8
# After a step this long ago, another instance may be the holder.
ACTIVE_S = 3.0


class ScalingOrders:
    """The duty `autoscale`: orders endpoints by the load of the whole fleet."""

    name = "autoscale"

    def __init__(
        self,
        *,
        meter: DemandMeter,
        policy: ScalingPolicy,
        caller: DutyCaller,
        lease: LeaseCheck,
        metrics: GatewayMetrics,
        event_log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.meter = meter
        self.policy = policy
        self.caller = caller
        self.lease = lease
        self.metrics = metrics
        self.event_log = event_log
        self.clock = clock
        self.token: int | None = None
        self.stepped_at: float | None = None
        self.decided_at: float | None = None

    def step(self, token: int) -> None:
        """Makes the orders that are due; raises `StaleToken` for a refused token."""
        now = self.clock()
        if token != self.token or not self.is_active():
            # Another instance may have ordered in the meantime.
            self.policy.reset()
            self.meter.reset()
            self.decided_at = None
            self.token = token
        self.stepped_at = now
        if self.decided_at is not None and now < self.decided_at + DECISION_INTERVAL_S:
            return
        self.decided_at = now
        orders = self.policy.decide(self.meter.collect(now), now)
        for order in orders[:MAX_CALLS_PER_STEP]:
            if not self._make(order, token):
                # The others would fail for the same reason.
                return

    def is_active(self) -> bool:
        """Returns whether this instance has been the holder until now."""
        return (
            self.stepped_at is not None and self.clock() - self.stepped_at <= ACTIVE_S
        )

    def _make(self, order: Order, token: int) -> bool:
        """Makes a call; returns False if further calls should wait."""
        outcome = self.caller.order_endpoints(
            service=order.service,
            zone=order.zone,
            count=order.count,
            spot=order.spot,
            token=token,
        )
        now = self.clock()
        # A call may take longer than the time after which the duty counts as inactive.
        self.stepped_at = now
        plan = self.policy.plan(order)
        if outcome is CallOutcome.REFUSED:
            if not (order.spot and self.lease.is_held(token)):
                self._log(order, "stale_token")
                raise StaleToken(f"order for {order.service} in {order.zone}")
            self._log(order, "none_available")
            plan.note_none_available(order, self.clock())
            return True
        self._log(order, outcome.name.lower())
        if outcome is CallOutcome.DONE:
            plan.note_done(order, now)
            return True
        plan.note_failure(order, now, in_doubt=outcome is CallOutcome.IN_DOUBT)
        return False

    def _log(self, order: Order, outcome: str) -> None:
        self.metrics.count(
            "scaling_orders",
            service=order.service,
            zone=order.zone,
            kind=order.kind,
            outcome=outcome,
        )
        self.event_log.emit(
            "endpoints_ordered",
            service=order.service,
            zone=order.zone,
            kind=order.kind,
            count=order.count,
            before=order.before,
            reason=order.reason,
            outcome=outcome,
            need=order.need,
            required=order.required,
            wanted=order.wanted,
            ready=order.ready,
            waiting=order.waiting,
            utilisation=order.utilisation,
        )

    def views(self) -> list[ServiceView]:
        """Returns the views of the last decision; none if another instance orders."""
        if not self.is_active():
            return []
        plans = list(self.policy.plans.values())
        return [plan.view for plan in plans if plan.view is not None]

    def register_gauges(self) -> None:
        """Registers sums over all services; they are 0 unless this instance orders."""

        def ready(kind: str) -> int:
            return sum(
                getattr(zone, kind)
                for view in self.views()
                for zone in view.zones.values()
            )

        def needs(name: str) -> float:
            if not self.is_active():
                return 0
            plans = list(self.policy.plans.values())
            return round(sum(getattr(plan.needs, name) for plan in plans), 2)

        gauges = {
            "scaling_active": lambda: int(self.is_active()),
            "scaling_mean_need_endpoints": lambda: needs("mean"),
            "scaling_required_endpoints": lambda: needs("required"),
            "scaling_wanted_endpoints": lambda: needs("wanted"),
            "scaling_ready_ordinary_endpoints": lambda: ready("ordinary"),
            "scaling_ready_spot_endpoints": lambda: ready("spot"),
            "scaling_price_per_second": lambda: round(
                sum(price_per_s(view) for view in self.views()), 3
            ),
        }
        for name, read in gauges.items():
            self.metrics.register_gauge(name, read)

    def dump(self) -> dict:
        """Returns the part of the state page."""
        return {
            "active": self.is_active(),
            "services": self.policy.dump(self.clock()) if self.is_active() else {},
        }


def price_per_s(view: ServiceView) -> float:
    """Returns the price per second of the endpoints that take new requests."""
    profile = view.profile
    return sum(
        profile.zone_prices.get(zone, 0.0)
        * (found.ordinary + profile.spot_price * found.spot)
        for zone, found in view.zones.items()
    )


def build_scaling(
    *,
    instance: str,
    routing: RoutingState,
    registry: EndpointRegistry,
    load_table: EngineLoadTable,
    admission: EngineAdmission,
    peers: GatewayPeers,
    caller: DutyCaller,
    lease: LeaseCheck,
    metrics: GatewayMetrics,
    event_log: EventLog,
) -> ScalingOrders:
    """Returns the duty, with its gauges registered and the demand in digests."""
    meter = DemandMeter(
        instance=instance,
        routing=routing,
        registry=registry,
        load_table=load_table,
        admission=admission,
        live_digests=peers.live_digests,
    )
    peers.demand = meter.own
    duty = ScalingOrders(
        meter=meter,
        policy=ScalingPolicy(),
        caller=caller,
        lease=lease,
        metrics=metrics,
        event_log=event_log,
    )
    duty.register_gauges()
    return duty
