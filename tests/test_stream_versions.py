"""Guards against streams that go on at another software version than they began at.

What two versions write does not fit together, and endpoints do not check it.
"""

import threading
import time

import pytest

from lagoonrill._internal.coordination.policy.stream_history import MAX_LIST_LAG_S
from lagoonrill._internal.protocol.headers import HeaderNames
from lagoonrill._internal.protocol.routing import RouteKind
from standins.scripted_endpoint import ScriptedEndpoint
from tests.gateway_kit import (
    ROUTES,
    Gateway,
    MemoryOrigins,
    config,
    record,
    route,
    wait_until,
)

NAMES = HeaderNames()
# A resumable stream that no engine writes.
PLAIN_STREAM = route("feed", RouteKind.STREAM, resumable=True, max_endpoints=2)


class Fleet:
    """A gateway in front of endpoints with software versions."""

    def __init__(self):
        self.gateways = []
        self.endpoints = []

    def endpoint(self, version: str, behaviour: str) -> ScriptedEndpoint:
        number = len(self.endpoints)
        endpoint = ScriptedEndpoint(id=f"e{number}", script=[behaviour])
        endpoint.version = version
        self.endpoints.append(endpoint)
        return endpoint

    def gateway(
        self, *endpoints, service: str = "models", origin_store=None
    ) -> Gateway:
        gateway = Gateway({}, origin_store=origin_store)
        self.gateways.append(gateway)
        self.serve(gateway, *endpoints, service=service)
        return gateway.start(config(routes=(*ROUTES, PLAIN_STREAM)))

    def serve(self, gateway, *endpoints, service: str = "models") -> None:
        gateway.install_records(
            [record(item, service, version=item.version) for item in endpoints]
        )

    def close(self) -> None:
        for gateway in self.gateways:
            gateway.listener.close()
            gateway.origins.stop()
        for endpoint in self.endpoints:
            endpoint.close()


@pytest.fixture
def fleet():
    built = Fleet()
    yield built
    built.close()


def resume(gateway, path: str, *, id: str = "r2", after: int = 2, of: str = "r1"):
    headers = {NAMES.resume_after: str(after), NAMES.resumes: of}
    return gateway.ask(path, id=id, headers=headers)


@pytest.mark.parametrize("goes_on", [True, False], ids=["same", "no-same"])
@pytest.mark.parametrize("path, service", [("/ask/1", "models"), ("/feed/1", "app")])
def test_a_broken_stream_goes_on_at_its_own_version_only(fleet, path, service, goes_on):
    cut = fleet.endpoint("v1", "stream_cut")
    other, same = fleet.endpoint("v2", "stream"), fleet.endpoint("v1", "stream")
    gateway = fleet.gateway(cut, service=service)
    emit = gateway.event_log.emit

    def add_endpoints_after_first_send(event, **fields):
        emit(event, **fields)
        if event == "request_sent" and fields["send"] == 1:
            rest = [other, same] if goes_on else [other]
            fleet.serve(gateway, cut, *rest, service=service)

    gateway.event_log.emit = add_endpoints_after_first_send
    response, body = gateway.ask(path, id="r1")
    assert response.status == 200
    assert b"token 2" in body
    assert response.whole == goes_on
    assert len(same.runs) == goes_on
    assert not other.runs


@pytest.mark.parametrize("path, service", [("/ask/1", "models"), ("/feed/1", "app")])
def test_a_stream_taken_up_by_its_caller_goes_on_at_its_own_version_only(
    fleet, path, service
):
    first = fleet.endpoint("v1", "stream")
    other, same = fleet.endpoint("v2", "stream"), fleet.endpoint("v1", "stream")
    gateway = fleet.gateway(first, service=service)
    assert gateway.ask(path, id="r1")[0].status == 200
    fleet.serve(gateway, other, service=service)
    response, _ = resume(gateway, path)
    assert response.status == 503
    fleet.serve(gateway, other, same, service=service)
    assert resume(gateway, path)[0].status == 200
    assert not other.runs


def test_a_taken_up_stream_finds_its_version_at_another_instance(fleet):
    """All instances that relayed the stream may be gone."""
    origins = MemoryOrigins()
    old, new = fleet.endpoint("v1", "stream"), fleet.endpoint("v2", "stream")
    first = fleet.gateway(old, origin_store=origins)
    assert wait_until(lambda: has_default(first))
    began_at = {"r1": old, "r2": new}
    for id, endpoint in began_at.items():
        fleet.serve(first, endpoint)
        assert first.ask("/ask/1", id=id)[0].status == 200
    second = fleet.gateway(old, new, origin_store=origins)
    for id, endpoint in began_at.items():
        assert resume(second, "/ask/1", id=f"again-{id}", of=id)[0].status == 200
        assert run_id(endpoint.runs[-1]) == f"again-{id}"


def has_default(gateway) -> bool:
    return gateway.origins.history.default_version("models") == "v1"


def run_id(run) -> str:
    return run.header(NAMES.request_id)


@pytest.mark.parametrize("resumes", ["", "x" * 10_000, "\xe9", None], ids=repr)
def test_a_stream_that_nobody_knows_is_not_guessed(fleet, resumes):
    origins = MemoryOrigins()
    origins.down = True
    new = fleet.endpoint("v2", "stream")
    gateway = fleet.gateway(new, origin_store=origins)
    headers = {NAMES.resume_after: "2", NAMES.resumes: resumes}
    response, body = gateway.ask("/ask/1", id="r2", headers=headers)
    assert response.status == 503
    assert float(response.getheader("Retry-After")) > 0
    assert b"stream_origin_unknown" in body
    assert not new.runs


def test_a_request_that_brought_no_event_may_begin_anywhere(fleet):
    origins = MemoryOrigins()
    origins.down = True
    new = fleet.endpoint("v2", "stream")
    gateway = fleet.gateway(new, origin_store=origins)
    headers = {NAMES.resume_after: "0", NAMES.resumes: "r1"}
    assert gateway.ask("/ask/1", id="r2", headers=headers)[0].status == 200


def test_streams_of_two_versions_need_a_record_before_their_first_event(fleet):
    origins = MemoryOrigins()
    old, new = fleet.endpoint("v1", "stream"), fleet.endpoint("v2", "stream")
    gateway = fleet.gateway(old, origin_store=origins)
    assert wait_until(lambda: has_default(gateway))
    fleet.serve(gateway, new)
    origins.calls.clear()
    assert gateway.ask("/ask/1", id="r1")[0].status == 200
    assert "write" in origins.calls
    assert not gateway.events("stream_unrecorded")


def settled_gateway(fleet, old, *, origins) -> Gateway:
    """Returns a gateway at which streams of `old` need no record."""
    gateway = fleet.gateway(old, origin_store=origins)
    assert wait_until(lambda: has_default(gateway))
    gateway.origins.history.note_list(time.monotonic() + MAX_LIST_LAG_S)
    return gateway


@pytest.mark.parametrize("refuses", [True, False], ids=["refused", "no-answer"])
def test_a_stream_that_nobody_can_record_begins_at_the_default_version(fleet, refuses):
    """Its version would be lost with the instances.

    Its caller is refused if the store may have recorded it at the other version.
    """
    origins = MemoryOrigins()
    origins.refuses = refuses
    old, new = fleet.endpoint("v1", "stream"), fleet.endpoint("v2", "stream")
    gateway = settled_gateway(fleet, old, origins=origins)
    origins.down = True
    # The first one finds out; the others are not sent to the new version at all.
    emit = gateway.event_log.emit

    def add_old_after_first_send(event, **fields):
        emit(event, **fields)
        if event == "request_sent":
            fleet.serve(gateway, old, new)

    leaving = record(old, "models", version="v1", leaving=True)
    gateway.install_records([leaving, record(new, "models", version="v2")])
    gateway.event_log.emit = add_old_after_first_send
    if not refuses:
        response, body = gateway.ask("/ask/1", id="in-doubt")
        # It has run, so the answer must not say that it has not.
        assert response.status == 502
        assert b"stream_origin_not_recorded" in body
        assert float(response.getheader("Retry-After")) > 0
        assert not old.runs
        assert not new.runs[1:]
    for number in range(6):
        response, body = gateway.ask("/ask/1", id=f"r{number}")
        assert response.status == 200 and response.whole
        assert body.count(b"id: 1\n") == 1
    assert len(new.runs) == 1
    assert len(old.runs) == 6
    assert not gateway.events("stream_unrecorded")
    # A take-up elsewhere goes on at the version of the begin that the caller got.
    origins.down = False
    # `settled_gateway` has set the time of the latest list to a later one.
    assert wait_until(lambda: gateway.origins.is_confirming, MAX_LIST_LAG_S + 3.0)
    fleet.serve(gateway, old, new)
    second = fleet.gateway(old, new, origin_store=origins)
    assert resume(second, "/ask/1", of="r0")[0].status == 200
    assert len(new.runs) == 1


def test_new_versions_are_used_again_once_the_store_takes_records(fleet):
    origins = MemoryOrigins()
    old, new = fleet.endpoint("v1", "stream"), fleet.endpoint("v2", "stream")
    gateway = settled_gateway(fleet, old, origins=origins)
    origins.down = True
    fleet.serve(gateway, new)
    # No endpoint of the default version serves, so the stream begins all the same.
    assert gateway.ask("/ask/1", id="r1")[0].status == 200
    assert gateway.events("stream_unrecorded")
    origins.down = False
    fleet.serve(gateway, old, new)
    assert wait_until(lambda: gateway.origins.required_version("models") is None)


@pytest.mark.parametrize("after", ["9" * 5_000, "²", "-1", "1.5"], ids=len)
def test_an_odd_event_number_is_refused(fleet, after):
    """Such a number cannot be converted, or names no event."""
    gateway = fleet.gateway(fleet.endpoint("v1", "stream"))
    headers = {NAMES.resume_after: after.encode("latin-1"), NAMES.resumes: "r1"}
    assert gateway.ask("/ask/1", id="r2", headers=headers)[0].status == 400
    assert gateway.ask("/ask/1", id="r3")[0].status == 200


def take_up_in_background(gateway, **headers: str):
    """Takes stream r1 up in a thread; returns the thread and where its answer goes."""
    answers = []
    names = {NAMES.resume_after: "2", NAMES.resumes: "r1", "X-Deadline-Ms": "2900"}

    def run():
        answers.append(gateway.ask("/ask/1", id="r2", headers=names | headers))

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread, answers


def waiting_take_up(fleet):
    """Returns a gateway and a take-up that waits, as the engine of v1 has crashed."""
    crashed, other = fleet.endpoint("v1", "stream"), fleet.endpoint("v2", "stream")
    crashed.close()
    gateway = fleet.gateway(fleet.endpoint("v1", "stream"))
    assert gateway.ask("/ask/1", id="r1")[0].status == 200
    fleet.serve(gateway, crashed, other)
    thread, answers = take_up_in_background(gateway)
    assert wait_until(lambda: gateway.events("request_waits"))
    return gateway, [crashed, other], thread, answers


def test_a_stream_that_waits_does_not_go_on_at_a_new_engine_of_another_version(fleet):
    """Guards against a list of engines made before a wait, which lacks the new ones."""
    gateway, engines, thread, answers = waiting_take_up(fleet)
    late = fleet.endpoint("v2", "stream")
    fleet.serve(gateway, *engines, late)
    gateway.admission.note_change()
    # Several reviews of the queue.
    thread.join(0.5)
    assert not (answers or late.runs)
    same = fleet.endpoint("v1", "stream")
    fleet.serve(gateway, *engines, late, same)
    thread.join(5)
    assert [response.status for response, _ in answers] == [200]
    assert len(same.runs) == 1
    assert not (engines[1].runs or late.runs)


def test_a_stream_waits_for_its_version_no_longer_than_its_caller(fleet):
    """Guards against a wait until the time limit; callers leave after 8 pause goals."""
    began_at = time.monotonic()
    _, engines, thread, answers = waiting_take_up(fleet)
    thread.join(5)
    assert 1.4 < time.monotonic() - began_at < 2.6
    response, body = answers[0]
    assert response.status == 503
    assert b"stream_version_gone" in body
    assert float(response.getheader("Retry-After")) > 0
    assert not engines[1].runs


def test_a_stream_is_not_sent_to_an_engine_that_came_back_with_another_version(fleet):
    """Guards against an entry that is replaced after the engine was chosen."""
    engine = fleet.endpoint("v1", "stream")
    gateway = fleet.gateway(engine)
    assert gateway.ask("/ask/1", id="r1")[0].status == 200
    admit = gateway.admission.admit

    def replace_after_choice(*args, **options):
        admission = admit(*args, **options)
        engine.version = "v2"
        fleet.serve(gateway, engine)
        return admission

    gateway.admission.admit = replace_after_choice
    response, _ = resume(gateway, "/ask/1")
    assert response.status == 503
    assert [run_id(run) for run in engine.runs] == ["r1"]


def test_a_new_stream_asks_at_its_send_which_versions_can_be_recorded(fleet):
    """Guards against a version that was required, or not, before a wait."""
    old, new = fleet.endpoint("v1", "stream"), fleet.endpoint("v2", "stream")
    gateway = settled_gateway(fleet, old, origins=MemoryOrigins())
    fleet.serve(gateway, new)
    pool_new = gateway.pool.new

    def stop_confirming(*args, **options):
        gateway.pool.new = pool_new
        gateway.origins.required_version = lambda service: "v1"
        fleet.serve(gateway, old, new)
        return pool_new(*args, **options)

    gateway.pool.new = stop_confirming
    assert gateway.ask("/ask/1", id="r1")[0].status == 200
    assert len(old.runs) == 1
    assert not new.runs
