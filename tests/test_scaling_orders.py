"""Guards the calls of the scaling duty, and the view on which it decides."""

import msgspec
import pytest

from lagoonrill._internal.duties.platform_calls import CallOutcome, StaleToken
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.messages import (
    EngineWork,
    GatewayDigest,
    ServiceDemand,
    decode_message,
    encode_message,
)
from lagoonrill._internal.protocol.routing import (
    EndpointRecord,
    EngineProfile,
    ScalingProfile,
    Service,
)
from lagoonrill._internal.scaling.demand import ArrivalRate, DemandMeter
from lagoonrill._internal.scaling.orders import ScalingOrders, build_scaling
from lagoonrill._internal.scaling.policy import ScalingPolicy
from lagoonrill._internal.scaling.views import DemandView, ServiceView, ZoneView
from lagoonrill._internal.state.gateway_metrics import GatewayMetrics
from lagoonrill._internal.state.route_table import RoutingState
from tests.gateway_kit import config
from tests.test_engine_admission import admission, generation
from tests.test_gateway_peers import PeersKit

PROFILE = ScalingProfile(
    min_endpoints=1,
    max_endpoints=30,
    startup_s=4.0,
    spot_price=0.18,
    zone_prices={"a": 1.0, "b": 1.0},
)


class Meter:
    """Reports a load of 20 endpoints at 10 ready ones."""

    def reset(self):
        pass

    def collect(self, now):
        view = ServiceView(
            service="pages",
            profile=PROFILE,
            zones={zone: ZoneView(ordinary=5) for zone in "ab"},
            slots=1,
            requests=14,
        )
        return DemandView(services=[view])


class Caller:
    """Answers orders as set for each kind, and records them."""

    def __init__(self):
        self.outcomes = {False: CallOutcome.DONE, True: CallOutcome.DONE}
        self.calls = []
        self.held = True

    def order_endpoints(self, *, service, zone, count, spot, token):
        self.calls.append((zone, spot, count, token))
        return self.outcomes[spot]

    def is_held(self, token):
        return self.held


class Kit:
    """The duty with its time, calls and lines."""

    def __init__(self):
        self.now = 0.0
        self.caller = Caller()
        self.lines = EventLog()
        self.duty = ScalingOrders(
            meter=Meter(),
            policy=ScalingPolicy(),
            caller=self.caller,
            lease=self.caller,
            metrics=GatewayMetrics(),
            event_log=self.lines,
            clock=lambda: self.now,
        )
        self.duty.register_gauges()

    def run(self, seconds: float, token: int = 1) -> list:
        made = len(self.caller.calls)
        end = self.now + seconds
        while self.now < end:
            self.now += 0.25
            self.duty.step(token)
        return self.caller.calls[made:]


def test_an_order_is_logged_with_its_reasons_and_counted():
    kit = Kit()
    calls = kit.run(8)
    assert {(zone, spot) for zone, spot, _, _ in calls} == {("a", True), ("b", True)}
    _, event, fields = kit.lines.waiting[0]
    assert event == "endpoints_ordered"
    wanted = {"service": "pages", "kind": "spot", "outcome": "done", "need": 20.0}
    assert wanted.items() <= fields.items()
    assert {"zone", "count", "ready", "waiting", "utilisation"} <= fields.keys()
    page = kit.duty.metrics.exposition()
    assert "lagoonrill_scaling_orders_total{" in page
    assert "lagoonrill_scaling_ready_ordinary_endpoints 10\n" in page
    assert "lagoonrill_scaling_active 1\n" in page
    assert kit.duty.dump()["services"]["pages"]["needs"]["mean"] == 20.0


def test_a_refused_spot_order_with_a_held_lease_means_none_is_available():
    kit = Kit()
    kit.caller.outcomes[True] = CallOutcome.REFUSED
    calls = kit.run(8)
    assert any(not spot for _, spot, _, _ in calls)
    assert len([call for call in calls if call[:2] == ("a", True)]) == 1


@pytest.mark.parametrize("spot", [True, False])
def test_a_refused_token_ends_the_duty(spot):
    # Further calls with this token would be refused too, and break the platform's rule.
    kit = Kit()
    kit.caller.outcomes = {True: CallOutcome.REFUSED, False: CallOutcome.REFUSED}
    kit.caller.held = not spot
    with pytest.raises(StaleToken):
        kit.run(12)
    assert kit.caller.calls[-1][1] is spot


def test_no_further_calls_are_made_in_a_step_after_one_that_failed():
    kit = Kit()
    kit.caller.outcomes[True] = CallOutcome.UNAVAILABLE
    kit.run(5)
    kit.now += 0.25
    made = len(kit.caller.calls)
    kit.duty.step(1)
    assert len(kit.caller.calls) <= made + 1


def test_a_new_token_starts_with_an_empty_state():
    kit = Kit()
    kit.run(8)
    assert kit.duty.policy.plans["pages"].subject("a", True).count
    kit.now += 0.25
    kit.duty.step(2)
    assert kit.duty.policy.plans["pages"].subject("a", True).count is None


def test_an_instance_that_does_not_order_reports_nothing():
    kit = Kit()
    kit.run(8)
    kit.now += 10
    assert "lagoonrill_scaling_active 0\n" in kit.duty.metrics.exposition()
    assert kit.duty.dump() == {"active": False, "services": {}}


def record(id: str, zone: str, **options) -> EndpointRecord:
    return EndpointRecord(
        id=id, service="models", address="127.0.0.1:1", zone=zone, slots=8, **options
    )


class Fleet:
    """A meter with the real tables of an instance, and digests of peers."""

    def __init__(self):
        self.admission = admission(1)
        self.digests = []
        self.routing = RoutingState()
        self.routing.subscribers.append(self.admission.install)
        services = {
            "app": Service(name="app", scaling=PROFILE),
            "models": Service(
                name="models",
                engine=EngineProfile(slots=8, cache_tokens=100_000),
                scaling=PROFILE,
            ),
        }
        self.routing.install(config(services=services))
        self.meter = DemandMeter(
            instance="i",
            routing=self.routing,
            registry=self.admission.registry,
            load_table=self.admission.load_table,
            admission=self.admission,
            live_digests=lambda: self.digests,
        )

    def view(self, now: float) -> ServiceView:
        _, view = self.meter.collect(now).services
        return view


def peer_digest(**demand: int) -> GatewayDigest:
    fields = {"arrived": 0, "arrived_tokens": 0, "waiting": 0, "waiting_tokens": 0}
    item = ServiceDemand(service="models", outstanding=0, **(fields | demand))
    work = [EngineWork(engine="e1", pending_tokens=500, light=1, heavy=2)]
    digest = GatewayDigest(
        instance="p", zone="a", address="127.0.0.1:2", work=work, demand=[item]
    )
    return decode_message(encode_message(digest))


def test_the_view_counts_endpoints_by_kind_and_notices():
    fleet = Fleet()
    records = [
        record("e1", "a"),
        record("e2", "a", spot=True, cold_s=1.5),
        record("e3", "a", spot=True, leaving=True, leaves_s=2.0),
        record("e4", "b", leaving=True),
        record("e5", "b"),
    ]
    fleet.admission.registry.replace({item.id: item for item in records})
    fleet.admission.registry.note_failure("e5", unreachable=True)
    zones = fleet.view(0.0).zones
    assert zones["a"] == ZoneView(ordinary=1, spot=1, cold=1, leaving=1, withdrawn=1)
    assert zones["b"] == ZoneView(ordinary=0, leaving=1)
    # Its entry is not written again.
    assert fleet.view(2.0).zones["a"].cold == 0


def test_the_view_adds_up_this_instance_and_its_peers():
    fleet = Fleet()
    fleet.admission.registry.replace({"e1": record("e1", "a")})
    fleet.digests = [peer_digest(arrived=100, arrived_tokens=400_000)]
    fleet.view(0.0)
    item = generation("ask", 1_000)
    found = fleet.admission.admit(item, caller_disconnected=lambda: False)
    fleet.admission.load_table.update_peer_work("p", fleet.digests[0].work)
    fleet.digests = [
        peer_digest(arrived=119, arrived_tokens=439_000, waiting=3, waiting_tokens=9)
    ]
    view = fleet.view(2.0)
    assert found.engine == "e1"
    assert (view.requests_per_s, view.tokens_per_s) == (10.0, 20_000.0)
    assert (view.waiting, view.waiting_tokens) == (3, 9)
    assert view.requests == 1 + 3 + 3
    # No prompt has shown the rate of the engines yet.
    assert view.prefill_rate == 0.0
    assert view.goal_s == 0.4


def test_calls_to_plain_endpoints_are_counted():
    fleet = Fleet()
    registry = fleet.admission.registry
    calls = msgspec.structs.replace(record("c1", "a"), service="app")
    registry.replace({"e1": record("e1", "a"), "c1": calls})
    with registry.call("c1"):
        found = {item.service: item.outstanding for item in fleet.meter.own()}
        assert found == {"app": 1, "models": 0}
        plain, _ = fleet.meter.collect(0.0).services
        assert (plain.service, plain.requests) == ("app", 1)


def test_an_instance_that_starts_again_is_not_counted_twice():
    rate = ArrivalRate()
    rate.add({"a": (1_000, 9_000)}, 0.0)
    rate.add({"a": (10, 90)}, 1.0)
    # It was silent, and its later counts are no arrivals of the last second.
    rate.add({}, 2.0)
    rate.add({"a": (5_000, 50_000)}, 3.0)
    assert (rate.requests, rate.tokens) == (10, 90)


def test_digests_carry_demand_only_for_services_with_orders():
    fleet = Fleet()
    kit = PeersKit(0)
    kit.peers._send_digest()
    assert kit.link.sent[-1].demand == []
    build_scaling(
        instance="me",
        routing=fleet.routing,
        registry=fleet.admission.registry,
        load_table=fleet.admission.load_table,
        admission=fleet.admission,
        peers=kit.peers,
        caller=Caller(),
        lease=Caller(),
        metrics=GatewayMetrics(),
        event_log=EventLog(),
    )
    kit.peers._send_digest()
    assert [item.service for item in kit.link.sent[-1].demand] == ["app", "models"]
