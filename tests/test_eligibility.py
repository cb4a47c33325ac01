"""Guards against decisions that rest on what was known before a wait."""

import threading

import msgspec
import pytest

from lagoonrill._internal.coordination.crash_guard import CrashGuard
from lagoonrill._internal.coordination.engine_eligibility import (
    FailedPlacements,
    SendingEligibility,
)
from lagoonrill._internal.coordination.engine_requests import Waiter, WaiterState
from lagoonrill._internal.protocol.headers import HeaderNames
from lagoonrill._internal.protocol.routing import (
    EndpointRecord,
    RoutedTeam,
    WeightedService,
)
from lagoonrill._internal.state.endpoint_limits import LimitEvidence
from standins.scripted_endpoint import ScriptedEndpoint
from tests.gateway_kit import KEY, ROUTES, config
from tests.test_engine_admission import Peers, admission, generation

NAMES = HeaderNames()


class OnlyVersion(SendingEligibility):
    """Eligibility of a request that needs a version and has tried nothing."""

    __slots__ = ()

    def __init__(self, version: str):
        sending = StubSending()
        sending.version = version
        super().__init__(
            sending=sending,
            crash_guard=NoCrashes(),
            registry=None,
            reroute=lambda sending: False,
        )


class StubSending:
    def __init__(self):
        self.version = None
        self.tried = set()


class NoCrashes:
    def note_suspicion(self, sending) -> bool:
        return False

    def is_suspected(self, sending) -> bool:
        return False


def versioned(built, versions: dict[str, str], *, zones: dict[str, str] | None = None):
    """Installs engines with versions in an admission."""
    zones = zones or {}
    built.registry.replace(
        {
            name: EndpointRecord(
                id=name,
                service="models",
                address="127.0.0.1:1",
                zone=zones.get(name, "a"),
                slots=8,
                version=version,
            )
            for name, version in versions.items()
        }
    )


def submitted(built, number: int, version: str | None, *, route="plan") -> Waiter:
    item = generation(route, 4_000)
    item.id = f"r{number}"
    item.arrived_at = built.clock()
    item.deadline = item.arrived_at + 10
    built._note_prompt(item)
    more = {"eligibility": OnlyVersion(version)} if version else {}
    waiter = Waiter(generation=item, view=built._view(item), **more)
    built.submit(waiter)
    return waiter


@pytest.mark.parametrize("has_engine", [False, True], ids=["gone", "busy"])
def test_streams_of_one_version_do_not_hold_up_those_of_another(has_engine):
    # A few requests that cannot be placed stop the review for all of their rank, and
    # their prompts count as a backlog that the others would have to wait for.
    built = admission(1)
    versions = {"e1": "v2"} if has_engine else {}
    versioned(built, versions)
    if has_engine:
        built.load_table.begin(engine="e1", tokens=10_000_000, heavy=True)
    waiters = [submitted(built, number, "v2") for number in range(100)]
    sound = [submitted(built, 200, "v1"), submitted(built, 201, "v1")]
    versioned(built, versions | {f"sound{number}": "v1" for number in range(4)})
    built.review("models")
    assert [waiter.state for waiter in sound] == [WaiterState.PLACED] * 2
    if not has_engine:
        assert {waiter.state for waiter in waiters} == {WaiterState.WAITING}
    # Only then can a change of the list help them.
    assert built.lacks_engines() != has_engine


def test_requests_are_decided_after_the_last_engine_of_their_version_has_left():
    # A rank that is not tried any more keeps what was known of its engines before; with
    # no engine, their rate is 0, and a division by it ended each review.
    built = admission(1)
    versioned(built, {"e0": "v1", "e1": "v2"})
    for engine in ("e0", "e1"):
        built.load_table.begin(engine=engine, tokens=10_000_000, heavy=True)
    free = [submitted(built, number, None) for number in range(2)]
    late = [submitted(built, number, "v2") for number in range(2, 4)]
    for waiter in (*late, *free):
        waiter.view.goal_at = 0.0
    for waiter in late:
        waiter.view.priority += 1
    versioned(built, {"e0": "v1"})
    built.review("models")
    assert {waiter.state for waiter in (*late, *free)} == {WaiterState.WAITING}


def test_a_request_that_any_engine_may_serve_speaks_for_all_others():
    failed = FailedPlacements(most=2)
    for _ in range(2):
        failed.note(3, "v2")
    assert failed.blocks(3, "v2") and failed.blocks(4, "v2")
    assert not (failed.blocks(2, "v2") or failed.blocks(3, "v1") or failed.blocks(3))
    for _ in range(2):
        failed.note(3, None)
    assert failed.blocks(3)


def test_a_stream_reaches_an_engine_of_its_version_in_another_zone():
    # In a large fleet a zone has enough engines of its own, but none of that version.
    built = admission(8)
    built.peers = Peers(count=8, zone_local=True)
    near = {f"e{number}": "v2" for number in range(6)}
    versioned(built, near | {"far": "v1"}, zones={"far": "b"})
    waiter = submitted(built, 1, "v1", route="ask")
    assert waiter.admission.engine == "far"


def test_a_request_for_few_engines_does_not_tell_peers_how_many_are_reserved():
    # Peers keep long prompts from as many engines of the whole fleet.
    built = admission(1)
    versioned(built, {f"e{n}": "v1" for n in range(16)} | {"other": "v2"})
    for name in ("ask", "plan"):
        built._note_prompt(generation(name, 800 if name == "ask" else 9_000))
    for number in range(40):
        built.load_table.begin(engine=f"e{number % 16}", tokens=100, heavy=False)
    submitted(built, 1, None, route="ask")
    before = built.stream_engines()["models"]
    assert before > 1
    submitted(built, 2, "v2", route="ask")
    assert built.stream_engines()["models"] == before


def on_connect(gateway, action) -> None:
    """Runs an action once, while the next connection is opened."""
    pool_new = gateway.pool.new

    def new(*args, **options):
        gateway.pool.new = pool_new
        action()
        return pool_new(*args, **options)

    gateway.pool.new = new


PATHS = [("/ask/1", "models", "stream"), ("/status/1", "app", "answer")]


@pytest.mark.parametrize("path, service, script", PATHS)
def test_a_request_is_not_sent_to_an_endpoint_that_paused_meanwhile(
    gateway_for, path, service, script
):
    gateway, [endpoint] = gateway_for(service, [script])
    on_connect(gateway, lambda: gateway.permits.pauses.begin(endpoint.id, 0, 0.4))
    began_at = gateway.permits.clock()
    assert gateway.ask(path)[0].status == 200
    assert endpoint.received[0].at - began_at >= 0.4
    reasons = [fields["reason"] for fields in gateway.events("send_failed")]
    assert reasons == ["endpoint_paused"]


@pytest.mark.parametrize("path, service, script", PATHS)
def test_a_request_asks_for_a_permit_if_a_limit_was_named_meanwhile(
    gateway_for, path, service, script
):
    gateway, [endpoint] = gateway_for(service, [script])
    now = gateway.permits.clock()
    named = LimitEvidence(
        endpoint=endpoint.id, incarnation=0, limit=50.0, sent_at=now, received_at=now
    )
    on_connect(gateway, lambda: gateway.permits.note_answer(named))
    assert gateway.ask(path)[0].status == 200
    assert gateway.permits.sent == 1
    reasons = [fields["reason"] for fields in gateway.events("send_failed")]
    assert reasons == ["endpoint_limited"]


def moved_routes(version: int = 2):
    """Returns a configuration whose routes lead to the service `moved`."""
    to = (WeightedService(service="moved"),)
    routes = tuple(msgspec.structs.replace(route, services=to) for route in ROUTES)
    return config(version, routes=routes)


def moving_gateway(gateway_for, service: str, script: str):
    """Returns a gateway, the endpoint of a service and the one of `moved`."""
    gateway, [old, new] = gateway_for(service, [script], [script])
    gateway.set_endpoints({service: [old], "moved": [new]})
    return gateway, old, new


@pytest.mark.parametrize("path, service, script", PATHS)
def test_a_request_that_waits_follows_its_route_to_another_service(
    gateway_for, path, service, script
):
    """Guards against a request that waits for endpoints that its route has left."""
    gateway, old, new = moving_gateway(gateway_for, service, script)
    gateway.permits.pauses.begin(old.id, 0, 1.0)
    threading.Timer(0.2, gateway.routing.install, (moved_routes(),)).start()
    headers = {"X-Deadline-Ms": "2900"}
    assert gateway.ask(path, headers=headers)[0].status == 200
    assert not old.received
    assert len(new.received) == 1


@pytest.mark.parametrize("path, service, script", PATHS)
def test_a_request_is_not_sent_to_a_service_that_its_route_left_meanwhile(
    gateway_for, path, service, script
):
    gateway, old, new = moving_gateway(gateway_for, service, script)
    on_connect(gateway, lambda: gateway.routing.install(moved_routes()))
    assert gateway.ask(path)[0].status == 200
    assert not old.received
    assert len(new.received) == 1


def test_a_retry_goes_where_the_route_leads_now(gateway_for):
    gateway, old, new = moving_gateway(gateway_for, "app", "answer")
    third = ScriptedEndpoint(id="third")
    old.script = ["closed_before_answer"]
    gateway.set_endpoints({"app": [old, third], "moved": [new]})
    emit = gateway.event_log.emit

    def move_after_first_send(event, **fields):
        emit(event, **fields)
        if event == "request_sent" and fields["send"] == 1:
            gateway.routing.install(moved_routes())

    gateway.event_log.emit = move_after_first_send
    gateway.registry.note_failure("third", unreachable=True)
    assert gateway.ask("/status/1")[0].status == 200
    assert not third.received
    assert len(new.received) == 1
    third.close()


@pytest.mark.parametrize("weight", [None, 0, 1e-9], ids=["left", "none", "split"])
def test_a_stream_in_progress_does_not_go_on_where_its_route_does_not_lead(
    gateway_for, weight
):
    """A split keeps the service, so the stream goes on."""
    gateway, [cut, same, new] = gateway_for(
        "models", ["stream_cut"], ["stream"], ["stream"]
    )
    gateway.set_endpoints({"models": [cut], "moved": [new]})
    after = moved_routes()
    if weight is not None:
        here = WeightedService(service="models", weight=weight)
        to = (*after.routes[0].services, here)
        routes = [msgspec.structs.replace(item, services=to) for item in after.routes]
        after = config(2, routes=tuple(routes))
    emit = gateway.event_log.emit

    def move_after_first_send(event, **fields):
        emit(event, **fields)
        if event == "request_sent" and fields["send"] == 1:
            gateway.set_endpoints({"models": [cut, same], "moved": [new]})
            gateway.routing.install(after)

    gateway.event_log.emit = move_after_first_send
    response, body = gateway.ask("/ask/1")
    assert b"token 2" in body
    assert response.whole == bool(weight)
    assert len(same.runs) == bool(weight)
    assert not new.runs


@pytest.mark.parametrize("path, service, script", PATHS)
@pytest.mark.parametrize("change", ["key", "route"])
def test_a_request_is_not_sent_if_its_key_or_route_is_dropped_meanwhile(
    gateway_for, path, service, script, change
):
    gateway, [endpoint] = gateway_for(service, [script])
    after = config(2, teams={}) if change == "key" else config(2, routes=())
    on_connect(gateway, lambda: gateway.routing.install(after))
    assert gateway.ask(path)[0].status == {"key": 401, "route": 404}[change]
    assert not endpoint.received


def test_a_request_is_sent_for_the_team_that_has_its_key_now(gateway_for):
    gateway, [endpoint] = gateway_for("app", ["answer"])
    after = config(2, teams={KEY: RoutedTeam(name="other")})
    on_connect(gateway, lambda: gateway.routing.install(after))
    assert gateway.ask("/status/1")[0].status == 200
    assert endpoint.received[0].header(NAMES.team) == "other"


@pytest.mark.parametrize("path, service, script", PATHS)
def test_a_request_is_decided_again_if_it_becomes_suspected_meanwhile(
    gateway_for, monkeypatch, path, service, script
):
    """A request that may crash endpoints has one of its own at all instances."""
    gateway, endpoints = gateway_for(service, [script], [script])
    crashes = []
    monkeypatch.setattr(CrashGuard, "is_suspected", lambda *args: bool(crashes))
    on_connect(gateway, lambda: crashes.append("e0"))
    assert gateway.ask(path)[0].status == 200
    reasons = [fields["reason"] for fields in gateway.events("send_failed")]
    assert reasons == ["request_suspected"]
    assert sum(len(endpoint.received) for endpoint in endpoints) == 1


@pytest.mark.parametrize("leaving", [False, True], ids=["there", "left"])
def test_a_prompt_is_not_copied_from_an_engine_that_left_meanwhile(
    gateway_for, leaving
):
    # Addresses of engines that left are used again by other services.
    gateway, [engine, holder] = gateway_for("models", ["stream"], ["stream"])
    admit = gateway.admission.admit

    def leave_after_choice(*args, **options):
        admission = admit(*args, **options)
        admission.copy_from = gateway.registry.records[holder.id]
        admission.engine = engine.id
        if leaving:
            gateway.set_endpoints({"models": [engine]})
        return admission

    gateway.admission.admit = leave_after_choice
    assert gateway.ask("/ask/1")[0].status == 200
    named = engine.received[0].header(NAMES.copy_prompt_from)
    assert named == (None if leaving else holder.address)
