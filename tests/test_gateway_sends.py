"""Guards at-most-once execution and the `not run` report for each way a send can end.

A request that may have run must not be sent again or be reported as not run.
"""

import time

import msgspec
import pytest

from lagoonrill._internal.protocol.refusals import Refusal
from standins.ports import free_port
from standins.scripted_endpoint import STREAM_EVENT_COUNT, WHOLE_ANSWERS, event
from tests.gateway_kit import config, engine_route, record, wait_until

# Maps each endpoint behaviour to the status of a request that must not be repeated and
# to whether the request ran.
UNSAFE_RESULTS = {
    "answer": (200, True),
    "unframed": (200, True),
    "error_500": (500, True),
    "refused_unmarked": (502, True),
    "refused_marked": (503, False),
    "misdirected": (503, False),
    "reset_before_answer": (502, True),
    "closed_before_answer": (502, True),
    "garbled_head": (502, True),
    "short_body": (502, True),
    "without_proof": (502, True),
    "encoded": (502, True),
    "other_id": (502, True),
}


@pytest.mark.parametrize("name", UNSAFE_RESULTS)
def test_unsafe_request_runs_once_and_is_refused_only_if_it_did_not_run(
    gateway_for, name
):
    status, ran = UNSAFE_RESULTS[name]
    gateway, (first, second) = gateway_for("app", [name], ["answer"])
    # Only the first endpoint fails; the second must not get a request that ran.
    response, body = gateway.ask("/order/1")
    assert response.status == status, body
    assert len(first.runs) + len(second.runs) == int(ran)
    if status == 200:
        assert body == b"answer to r1"
    if status in (502, 503):
        assert response.getheader("X-Proof") is None


@pytest.mark.parametrize("chunked", ["", "_chunked"])
@pytest.mark.parametrize("answer", WHOLE_ANSWERS)
def test_answer_that_is_no_stream_does_not_enter_a_stream_that_began(
    gateway_for, answer, chunked
):
    script = [f"whole_{answer}{chunked}"]
    gateway, _ = gateway_for("models", ["stream_cut"], script)
    response, body = gateway.ask("/ask/1")
    assert response.status == 200
    assert not response.whole
    assert body == event(1) + event(2)


# A refusal, and how the endpoint answers the next request on the kept connection.
REPEATED_REFUSALS = [
    ("refused_marked", "answer_after_earlier_refusal"),
    ("refused_marked", "answer_after_earlier_refusal_in_pieces"),
    ("refused_twice", "answer"),
    ("refused_without_id", "answer_after_refusal_without_id"),
    ("refused_twice_without_id", "answer"),
]


@pytest.mark.parametrize("pause_s", [0.0, 0.03, 0.1])
@pytest.mark.parametrize(("refusal", "answer"), REPEATED_REFUSALS)
def test_refusal_that_is_written_again_belongs_to_no_later_request(
    gateway_for, refusal, answer, pause_s
):
    gateway, (endpoint,) = gateway_for("app", [refusal, answer])
    assert gateway.ask("/order/1", id="r1")[0].status == 503
    time.sleep(pause_s)
    response, body = gateway.ask("/order/1", id="r2")
    assert (response.status, body) == (200, b"answer to r2")
    assert len(endpoint.runs) == 1


@pytest.mark.parametrize(
    "name", [name for name in UNSAFE_RESULTS if name not in ("answer", "unframed")]
)
def test_safe_request_is_sent_to_another_endpoint(gateway_for, name):
    gateway, (first, second) = gateway_for("app", [name], ["answer"])
    response, body = gateway.ask("/status/1")
    assert (response.status, body) == (200, b"answer to r1")
    assert len(second.runs) == 1


def test_safe_request_leaves_a_silent_endpoint_within_its_goal(gateway_for):
    gateway, (first, second) = gateway_for("app", ["silent"], ["answer"])
    response, _ = gateway.ask("/status/1")
    assert response.status == 200
    # The log event is written after the response has been sent.
    assert wait_until(lambda: gateway.events("request_answered"))
    assert gateway.events("request_answered")[0]["elapsed_ms"] < 400
    # The silent endpoint must notice that the request was cancelled.
    assert first.cancelled.wait(1)


def test_no_more_endpoints_than_the_route_allows(gateway_for):
    gateway, endpoints = gateway_for("app", ["error_500"], ["error_500"], ["answer"])
    response, _ = gateway.ask("/status/1")
    assert response.status == 500
    assert sum(len(endpoint.received) for endpoint in endpoints) == 2


def test_empty_retry_budget_ends_a_request_with_its_failure(gateway_for):
    gateway, endpoints = gateway_for("app", ["error_500"], ["answer"], retry_fixed=0.0)
    response, _ = gateway.ask("/status/1")
    assert response.status == 500
    assert sum(len(endpoint.received) for endpoint in endpoints) == 1


def test_unreachable_endpoint_does_not_count_as_a_send(gateway_for):
    gateway, (first, second) = gateway_for("app", ["answer"], ["answer"])
    first.close()
    response, _ = gateway.ask("/order/1")
    assert response.status == 200
    assert len(second.runs) == 1


@pytest.mark.parametrize(
    ("service", "path"), [("app", "/order/1"), ("models", "/ask/1")]
)
def test_no_request_is_sent_to_an_endpoint_that_leaves_during_connect(
    gateway_for, service, path
):
    gateway, (first, _) = gateway_for(service, ["answer"], ["answer"])
    connect = gateway.pool.new

    def leave_then_connect(address, **options):
        gateway.set_endpoints({})
        return connect(address, **options)

    gateway.pool.new = leave_then_connect
    response, _ = gateway.ask(path)
    assert response.status == 503
    assert not first.received


def test_no_endpoint_is_refused_with_a_time_to_come_back(gateway_for):
    gateway, _ = gateway_for("app")
    response, _ = gateway.ask("/order/1")
    assert response.status == 503
    assert float(response.getheader("Retry-After")) > 0


def test_second_answer_on_a_kept_connection_is_discarded(gateway_for):
    gateway, (endpoint,) = gateway_for("app", ["answer_twice", "answer"])
    assert gateway.ask("/status/1", id="r1")[1] == b"answer to r1"
    assert gateway.ask("/status/1", id="r2")[1] == b"answer to r2"


def test_late_second_answer_is_skipped_by_its_id(gateway_for):
    # The extra response arrives after the next request was sent on the connection.
    gateway, (endpoint,) = gateway_for("app", ["answer", "other_then_own"])
    assert gateway.ask("/status/1", id="r1")[1] == b"answer to r1"
    # The connection is returned to the pool shortly after the caller has the response.
    assert wait_until(lambda: gateway.pool.idle)
    assert gateway.ask("/status/1", id="r2")[1] == b"answer to r2"
    assert gateway.pool.opened == 1


def test_endpoints_are_judged_by_their_answers_alone(gateway_for):
    # Health checks can report failing endpoints as healthy and the reverse, also to
    # some clients only.
    gateway, endpoints = gateway_for("app", ["error_500"], ["answer"], ["silent"])
    for number in range(6):
        response, _ = gateway.ask("/status/1", id=f"r{number}")
    assert response.status == 200
    received = [item for endpoint in endpoints for item in endpoint.received]
    assert all(item.header("X-Request-Id") for item in received)


@pytest.mark.parametrize("rest_s", [0.05, 0.35])
@pytest.mark.parametrize("path", ["/order", "/status"])
def test_an_endpoint_that_forgets_idle_connections_loses_no_request(
    gateway_for, path, rest_s
):
    # Endpoints drop idle connections after 0.3 s without notice and reset the next
    # request on them. A non-repeatable request that is reset cannot be sent again.
    gateway, (endpoint, other) = gateway_for("app", ["forgets_idle"], ["forgets_idle"])
    for number in range(4):
        id = f"r{number}"
        response, body = gateway.ask(f"{path}/1", id=id)
        assert (response.status, body) == (200, f"answer to {id}".encode())
        time.sleep(rest_s)
    assert len(endpoint.runs) + len(other.runs) == 4


def test_request_is_answered_at_the_timeout_of_its_route(gateway_for):
    gateway, (endpoint,) = gateway_for("app", ["slow_answer"])
    response, _ = gateway.ask("/brief/1")
    assert response.status == 504
    assert gateway.events("request_refused")[0]["elapsed_ms"] < 300


@pytest.mark.parametrize("name", ["stream", "stream_unframed"])
def test_stream_arrives_whole(gateway_for, name):
    gateway, (endpoint,) = gateway_for("models", [name])
    response, body = gateway.ask("/plan/1")
    assert response.status == 200
    assert response.whole
    assert body == b"".join(
        event(number) for number in range(1, STREAM_EVENT_COUNT + 1)
    )
    assert response.getheader("X-Proof") == "proof-of-r1"


BROKEN_STREAMS = [
    "stream_cut",
    "stream_ends_inside_event",
    "stream_unframed_ends_inside_event",
    "stream_unframed_reset",
]


@pytest.mark.parametrize("name", BROKEN_STREAMS)
def test_resumable_stream_moves_without_gap_or_repeat(gateway_for, name):
    gateway, endpoints = gateway_for("models", [name, "stream"], [name, "stream"])
    for endpoint in endpoints:
        endpoint.script = [name] if endpoint is endpoints[0] else ["stream"]
    # Placement may start at either endpoint.
    response, body = gateway.ask("/ask/1")
    assert response.whole
    assert body == b"".join(
        event(number) for number in range(1, STREAM_EVENT_COUNT + 1)
    )


@pytest.mark.parametrize("name", BROKEN_STREAMS)
def test_stream_that_cannot_resume_is_broken_off_and_not_marked_complete(
    gateway_for, name
):
    gateway, (endpoint,) = gateway_for("models", [name])
    response, body = gateway.ask("/plan/1")
    assert not response.whole
    assert len(endpoint.runs) == 1
    # The log event records how many events had been sent.
    assert wait_until(lambda: gateway.events("stream_broken_off"))
    (line,) = gateway.events("stream_broken_off")
    assert line["events"] > 0
    assert line["first_event_ms"] >= 0


def test_stalled_resumable_stream_moves_before_its_caller_gives_up(gateway_for):
    gateway, (first, second) = gateway_for("models", ["stream"], ["stream"])
    first.script = second.script = ["stream_stalls", "stream"]
    response, body = gateway.ask("/ask/1", headers={"X-Deadline-Ms": "8000"})
    stalled = first if len(first.received) == 1 else second
    assert stalled.cancelled.wait(1)
    other = second if stalled is first else first
    assert other.received[0].header("Last-Event-Id") == "1"


@pytest.mark.parametrize("events", [0, 1])
def test_endpoint_is_notified_when_its_caller_disconnects(gateway_for, events):
    gateway, (endpoint,) = gateway_for("models", ["stream_stalls"])
    connection = gateway.connect()
    connection.putrequest("POST", "/plan/1", skip_host=True)
    for name, value in {
        "Host": "shop.example",
        "X-Request-Id": "r1",
        "Authorization": "Bearer key-of-shop",
        "X-Deadline-Ms": "5000",
        "Content-Length": "0",
    }.items():
        connection.putheader(name, value)
    connection.endheaders()
    assert wait_until(lambda: endpoint.received)
    seen = b""
    while seen.count(b"id: ") < events:
        seen += connection.sock.recv(65_536)
    connection.sock.close()
    # An endpoint must be notified within 0.5 s, so that it stops generating.
    assert endpoint.cancelled.wait(0.4)
    assert wait_until(lambda: gateway.events("request_cancelled"))
    assert gateway.events("request_cancelled")[0].get("events", 0) in (events, 1)


def test_an_answer_cut_at_its_time_limit_is_not_held_against_the_endpoint(gateway_for):
    # Endpoints end a response at the request's deadline. If that counted as a failure,
    # an overload would mark one endpoint after the other as suspect.
    gateway, (endpoint,) = gateway_for("models", ["stream_cut_late"])
    response, _ = gateway.ask("/plan/1", headers={"X-Deadline-Ms": "600"})
    assert not response.whole
    assert not gateway.events("endpoint_suspect")
    assert not gateway.registry.is_suspect(endpoint.id)


@pytest.mark.parametrize("name", ["stream_cut", "reset_before_answer"])
def test_a_request_that_ran_is_not_refused_as_not_run_when_engines_are_busy(
    gateway_for, name
):
    gateway, endpoints = gateway_for("models", [name], [name])
    admit, calls = gateway.admission.admit, []

    def busy_at_the_second_call(generation, **options):
        calls.append(generation.id)
        if len(calls) > 1:
            raise Refusal(503, "engines_busy", retry_after_s=1.0)
        return admit(generation, **options)

    gateway.admission.admit = busy_at_the_second_call
    response, body = gateway.ask("/ask/1")
    assert len(calls) == 2
    if name == "stream_cut":
        assert response.status == 200
        assert not response.whole
    else:
        assert response.status == 502


def test_a_slow_stream_is_not_cut_before_its_first_event_is_due(gateway_for):
    # The limit came from the pause goal alone: a stream with a pause goal of 0.2 s and
    # 2.5 s for its first event was cut after 1.2 s and its prompt read again.
    gateway, endpoints = gateway_for("models", ["stream_late"], ["stream_late"])
    slow = engine_route("slow", resumable=True, max_endpoints=2, goal_s=2.5)
    gateway.routing.install(config(2, routes=(slow,)))
    response, _ = gateway.ask("/slow/1", headers={"X-Deadline-Ms": "4000"})
    assert response.whole
    assert sum(len(endpoint.received) for endpoint in endpoints) == 1


@pytest.mark.parametrize("left", ["gone", "leaving"])
def test_a_request_is_placed_on_an_engine_that_has_left_at_most_once(gateway_for, left):
    """Lists and placement differ for a moment; requests spun until their limit."""
    gateway, (gone, _) = gateway_for("models", ["stream"], ["stream"])
    records = dict(gateway.registry.records)
    record = records.pop("e0")
    if left == "leaving":
        records["e0"] = msgspec.structs.replace(record, leaving=True)
    # Placement goes by the edition, and still has both.
    gateway.registry.records = records
    for number in range(10):
        response, _ = gateway.ask("/ask/1", id=f"r{number}")
        assert response.status == 200
    failures = gateway.events("send_failed")
    assert failures, "no request was placed on the engine that has left"
    assert len(failures) == len({item["request"] for item in failures})
    assert not gone.runs
    # With no other engine, a request waits for one and does not spin.
    gateway.registry.records = {}
    before = len(gateway.events("send_failed"))
    assert gateway.ask("/ask/1", id="last")[0].status in (503, 504)
    assert len(gateway.events("send_failed")) <= before + 2


@pytest.mark.parametrize("path", ["/order/1", "/status/1"])
@pytest.mark.parametrize("limit_ms", ["300", "2000"])
def test_request_that_reached_no_endpoint_is_refused_as_not_run(
    gateway_for, path, limit_ms
):
    """Failure: a failed connect close to the time limit was answered 502 or 504."""
    gateway, (endpoint,) = gateway_for("app", ["answer"])
    gone = msgspec.structs.replace(
        record(endpoint, "app"), address=f"127.0.0.1:{free_port()}"
    )
    gateway.install_records([gone])
    response, body = gateway.ask(path, headers={"X-Deadline-Ms": limit_ms})
    assert response.status == 503, body
    assert float(response.getheader("Retry-After")) > 0
    assert not endpoint.runs
