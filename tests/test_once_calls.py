"""Guards against calls that run twice and false reports of `not_run`."""

import threading
import uuid

import pytest

from bench.processes import start_stand_in
from lagoonrill._internal.protocol.claim_errors import CLAIM_ERRORS
from tests.request_path import (
    call_service,
    chat_fields,
    closed_port_url,
    error_of,
    expected,
    fetch,
    post_chat,
    raw_connection,
    running_router,
    set_faults,
    start_engine,
    wait_until,
)


@pytest.fixture(scope="module")
def service():
    process = start_stand_in("plain_service")
    yield process
    process.stop()


@pytest.fixture
def router(service):
    faults = {"delay_s": 0.0, "lose_answer": False, "drop_before": False}
    set_faults(service, refuse=False, leaving=False, refuse_instances=[], **faults)
    with running_router(services=[service, service]) as router:
        yield router


@pytest.fixture
def key():
    return {"Idempotency-Key": uuid.uuid4().hex}


def executions(service, key):
    return fetch(service, "/executions").get(key["Idempotency-Key"], 0)


def test_repeat_receives_the_recorded_answer(router, service, key):
    first = call_service(router, "POST", "/book", body=b"oak", **key)
    again = call_service(router, "POST", "/book", body=b"oak", **key)
    assert first.status == again.status == 200
    assert first.data == again.data
    assert first.headers["Content-Type"] == again.headers["Content-Type"]
    assert executions(service, key) == 1


def test_concurrent_repeats_run_once(router, service, key):
    set_faults(service, delay_s=0.2)
    answers = []
    threads = [
        threading.Thread(
            target=lambda: answers.append(call_service(router, "POST", "/a", **key))
        )
        for _ in range(6)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(answer.status for answer in answers) == [200] + [409] * 5
    assert executions(service, key) == 1


def test_key_with_another_body_is_refused(router, service, key):
    call_service(router, "POST", "/book", body=b"oak", **key)
    reused = call_service(router, "POST", "/book", body=b"ash", **key)
    assert error_of(reused)["kind"] == "key_reused"
    assert executions(service, key) == 1


def test_missing_key_is_refused(router):
    assert error_of(call_service(router, "POST", "/book"))["kind"] == "key_missing"


def test_header_cannot_make_a_call_repeatable(router, service, key):
    headers = key | {"X-Request-Class": "lookup"}
    refused = call_service(router, "POST", "/book", **headers)
    assert error_of(refused)["kind"] == "bad_request"
    assert executions(service, key) == 0


@pytest.mark.parametrize("path", ["/a/../book", "/a//book", "/%2e%2e/b", "/a%2fb"])
def test_ambiguous_path_is_refused(router, path, key):
    connection = raw_connection(router)
    lines = [f"GET /services/orders{path} HTTP/1.1", "Host: r", "Connection: close"]
    lines += ["Authorization: Bearer local-key", "", ""]
    connection.sendall("\r\n".join(lines).encode())
    assert b" 400 " in connection.recv(4_096)


def test_unreachable_service_closes_the_claim(key):
    urls = [closed_port_url(), closed_port_url()]
    with running_router(services=urls) as router:
        answer = call_service(router, "POST", "/book", **key)
        assert error_of(answer)["kind"] == "no_endpoint"
        assert error_of(answer)["run"] == "not_run"
        assert router.claims.granted == set()
        assert len(router.endpoint_table.down) == 2


def test_unreachable_worker_is_skipped(service, key):
    with running_router(services=[closed_port_url(), service]) as router:
        for _ in range(2):
            fresh = {"Idempotency-Key": uuid.uuid4().hex}
            assert call_service(router, "POST", "/book", **fresh).status == 200
            assert executions(service, fresh) == 1


@pytest.mark.parametrize("fault", ["lose_answer", "drop_before"])
def test_call_in_doubt_is_unknown_and_never_sent_again(router, service, key, fault):
    set_faults(service, **{fault: True})
    for _ in range(2):
        answer = call_service(router, "POST", "/book", **key)
        assert answer.status == 409
        assert error_of(answer)["run"] == "unknown"
        set_faults(service, **{fault: False})
    assert executions(service, key) == (1 if fault == "lose_answer" else 0)


def test_deadline_while_the_call_runs_is_unknown_until_its_outcome(
    router, service, key
):
    set_faults(service, delay_s=0.6)
    late = call_service(router, "POST", "/b", **key, **{"X-Deadline-Ms": "200"})
    assert error_of(late)["run"] == "unknown"
    assert router.dispatcher.calls_in_background() == 1
    assert router.listener.in_flight() >= 1
    wait_until(lambda: router.listener.in_flight() == 0)
    assert call_service(router, "POST", "/b", **key).json()["execution"] == 1


def test_deadline_in_the_queue_is_not_run(router, service, key):
    router.scheduler.paused = True
    late = call_service(router, "POST", "/b", **key, **{"X-Deadline-Ms": "150"})
    assert error_of(late)["kind"] == "deadline"
    assert error_of(late)["run"] == "not_run"
    router.scheduler.resume()
    assert call_service(router, "POST", "/b", **key).status == 200
    assert executions(service, key) == 1


def test_unclosed_claim_is_not_reported_as_not_run(key):
    with running_router(services=[closed_port_url()]) as router:
        router.claims.close = lambda grant: router.claims.claim(
            team="t", key=grant[1], body_digest="", deadline=0
        )
        answer = call_service(router, "POST", "/book", **key)
        assert error_of(answer)["run"] == "unknown"


def test_disconnected_caller_does_not_stop_a_call_that_was_sent(router, service, key):
    set_faults(service, delay_s=0.4)
    connection = raw_connection(router)
    lines = ["POST /services/orders/b HTTP/1.1", "Host: r", "Content-Length: 0"]
    lines += [f"Idempotency-Key: {key['Idempotency-Key']}"]
    lines += ["Authorization: Bearer local-key", "", ""]
    connection.sendall("\r\n".join(lines).encode())
    wait_until(lambda: router.scheduler.running)
    connection.close()
    wait_until(lambda: router.listener.in_flight() == 0)
    assert call_service(router, "POST", "/b", **key).json()["execution"] == 1


@pytest.mark.parametrize(
    ("refusal", "kind", "first_attempt", "run"),
    [
        ("claim_not_made", "claims_unavailable", "true", "not_run"),
        # An earlier attempt may have run on an instance that reached the store.
        ("claim_not_made", "claims_unavailable", "false", "unknown"),
        ("claim_in_doubt", "outcome_unknown", "true", "unknown"),
        ("outcome_unknown", "outcome_unknown", "true", "unknown"),
    ],
)
def test_call_without_claim_is_not_dispatched(
    router, service, key, refusal, kind, first_attempt, run
):
    key = key | {"X-First-Attempt": first_attempt}
    router.claims.refusal = CLAIM_ERRORS[refusal](message="refused")
    error = error_of(call_service(router, "POST", "/book", **key))
    assert (error["kind"], error["run"]) == (kind, run)
    assert executions(service, key) == 0


def test_lookup_is_retried_within_the_budget(router, service):
    set_faults(service, refuse_instances=["a"])
    router.budget.remaining = 2
    failed = call_service(router, "GET", "/stock")
    assert error_of(failed)["kind"] == "no_endpoint"
    assert error_of(failed)["run"] == "unknown"
    assert len(router.scheduler.usages) == 2
    router.scheduler.usages.clear()
    router.budget.remaining = 0
    assert error_of(call_service(router, "GET", "/stock"))["kind"] == "endpoint_failed"
    assert len(router.scheduler.usages) == 1


def test_chat_of_a_class_that_runs_once():
    engine = start_engine()
    try:
        with running_router(engines=[engine]) as router:
            fields = chat_fields(f"translate {uuid.uuid4()}", stream=False)
            headers = {"X-Request-Class": "order", "Idempotency-Key": "k"}
            first = post_chat(router, fields, **headers).json()
            assert first["choices"][0]["message"]["content"] == expected(fields)
            assert post_chat(router, fields, **headers).json() == first
            assert fetch(engine, "/stats")["executions"] == 1
            set_faults(engine, crash_after_tokens=3)
            fields = chat_fields(f"translate {uuid.uuid4()}", stream=False)
            headers["Idempotency-Key"] = "k2"
            broken = post_chat(router, fields, **headers)
            assert error_of(broken)["run"] == "unknown"
            assert fetch(engine, "/stats")["executions"] == 2
    finally:
        engine.stop()
