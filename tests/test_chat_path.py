"""Guards against incomplete or wrong responses when engines fail.

Each response is compared with the text that the stand-in derives from the request.
"""

import threading
import uuid

import pytest

from bench.local_router import LocalMembership, LocalNetwork
from lagoonrill._internal.state.metrics import Metrics
from tests.request_path import (
    chat_fields,
    closed_port_url,
    error_of,
    expected,
    fetch,
    post_chat,
    raw_chat,
    read_events,
    receive_all,
    running_router,
    set_faults,
    start_engine,
    wait_until,
)

NO_FAULTS = {
    "straggler": 1.0,
    "crash_after_tokens": 0,
    "down_s": 0.0,
    "freeze": False,
    "leaving": False,
    "duplicate": 0.0,
    "late": 0.0,
    "reorder": 0.0,
    "truncate_at": 0,
    "refuse_instances": [],
}


@pytest.fixture(scope="module")
def engine_processes():
    processes = [start_engine("--grace-s", "1"), start_engine("--grace-s", "1")]
    yield processes
    for process in processes:
        process.stop()


@pytest.fixture
def engines(engine_processes):
    for process in engine_processes:
        set_faults(process, **NO_FAULTS)
    # A stream that is left from an earlier test could trigger a crash too early.
    wait_until(lambda: not any(fetch(p, "/load")["running"] for p in engine_processes))
    return engine_processes


@pytest.fixture
def router(engines):
    with running_router(engines=engines) as router:
        yield router


def question():
    return f"question {uuid.uuid4()}"


def assert_complete(response, fields):
    text, last = read_events(response.data)
    assert response.status == 200
    assert text == expected(fields)
    assert last == "data: [DONE]"


def test_streamed_answer(router):
    fields = chat_fields(question())
    assert_complete(post_chat(router, fields), fields)
    assert router.scheduler.usages[-1].tokens == 20
    assert router.scheduler.running == []


def test_whole_answer(router):
    fields = chat_fields(question(), stream=False)
    answer = post_chat(router, fields).json()
    assert answer["choices"][0]["message"]["content"] == expected(fields)
    assert answer["choices"][0]["finish_reason"] == "stop"
    assert answer["usage"]["completion_tokens"] == 20


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize(
    "faults",
    [
        {"duplicate": 0.3},
        {"late": 0.2},
        {"reorder": 0.3},
        {"duplicate": 0.3, "late": 0.2, "reorder": 0.3},
        {"duplicate": 0.2, "reorder": 0.2, "truncate_at": 9},
    ],
    ids=lambda faults: "-".join(faults),
)
def test_disordered_events(router, engines, faults, stream):
    for engine in engines:
        set_faults(engine, **faults)
    fields = chat_fields(question(), max_tokens=60, stream=stream)
    response = post_chat(router, fields)
    if stream:
        assert_complete(response, fields)
    else:
        message = response.json()["choices"][0]["message"]
        assert message["content"] == expected(fields)


@pytest.mark.parametrize("stream", [True, False])
def test_crash_in_the_middle_continues_on_the_other_engine(router, engines, stream):
    executions = [len(fetch(engine, "/executions")) for engine in engines]
    mismatches = [fetch(e, "/stats")["continuation_mismatches"] for e in engines]
    set_faults(engines[0], crash_after_tokens=7)
    set_faults(engines[1], crash_after_tokens=15)
    fields = chat_fields(question(), max_tokens=30, stream=stream)
    response = post_chat(router, fields)
    if stream:
        assert_complete(response, fields)
    else:
        message = response.json()["choices"][0]["message"]
        assert message["content"] == expected(fields)
    started = [
        execution
        for engine, before in zip(engines, executions, strict=True)
        for execution in fetch(engine, "/executions")[before:]
    ]
    assert len(started) == 3
    assert sorted(e["first"] for e in started)[0] == 0
    assert mismatches == [
        fetch(e, "/stats")["continuation_mismatches"] for e in engines
    ]


def test_interrupted_stream_resumes_on_the_same_engine(router, engines):
    before = sum(fetch(e, "/stats")["executions"] for e in engines)
    for engine in engines:
        set_faults(engine, truncate_at=5)
    fields = chat_fields(question())
    assert_complete(post_chat(router, fields), fields)
    assert sum(fetch(e, "/stats")["executions"] for e in engines) == before + 1


def test_stream_moves_from_a_frozen_engine(router, engines):
    fields = chat_fields(question(), max_tokens=100)
    connection = raw_chat(router, fields, Connection="close")
    connection.recv(100)
    busy = router.scheduler.running[0].endpoint.id
    set_faults(engines[int(busy[-1])], freeze=True)
    received = receive_all(connection)
    set_faults(engines[int(busy[-1])], freeze=False)
    assert received.count(b'"content":"') in (99, 100)
    assert b"data: [DONE]" in received


def test_unreachable_engine_is_marked_down_and_skipped(engines):
    class Unreachable:
        url = closed_port_url()

    with running_router(engines=[Unreachable, engines[0]]) as router:
        for _ in range(2):
            fields = chat_fields(question())
            assert_complete(post_chat(router, fields), fields)
        assert list(router.endpoint_table.down) == ["engine-0"]


def test_truncated_answer_is_marked(router, engines):
    for engine in engines:
        set_faults(engine, crash_after_tokens=5, down_s=30)
    text, last = read_events(post_chat(router, chat_fields(question())).data)
    assert text
    assert last.startswith("event: error")
    assert '"kind":"truncated"' in last
    assert router.wasted["truncated"] == len(text.split())
    assert not router.scheduler.running


def test_whole_answer_that_cannot_be_completed_is_an_error(router, engines):
    for engine in engines:
        set_faults(engine, crash_after_tokens=5, down_s=30)
    response = post_chat(router, chat_fields(question(), stream=False))
    assert response.status in (502, 503)
    assert error_of(response)["run"] != "not_run"


def test_retry_budget_limits_restarts(router, engines):
    router.budget.remaining = 0
    for engine in engines:
        set_faults(engine, refuse_instances=["a"])
    response = post_chat(router, chat_fields(question()))
    assert error_of(response)["kind"] == "endpoint_failed"
    assert len(router.scheduler.usages) == 1


def test_preempted_stream_pauses_and_continues(router):
    fields = chat_fields(question(), max_tokens=60)
    connection = raw_chat(router, fields, Connection="close")
    received = connection.recv(2_000)
    router.scheduler.paused = True
    router.scheduler.running[0].preempted.set()
    wait_until(lambda: not router.scheduler.running)
    paused_tokens = router.scheduler.usages[-1].tokens
    assert 0 < paused_tokens < 60
    assert not router.scheduler.usages[-1].failed
    router.scheduler.resume()
    received += receive_all(connection)
    wait_until(lambda: len(router.scheduler.usages) == 2)
    usages = router.scheduler.usages
    assert usages[0].tokens + usages[1].tokens == 60
    assert usages[0].wasted_tokens + usages[1].wasted_tokens == 0
    assert received.count(b'"content":"') == 60


def test_preemption_before_the_first_token(router, engines):
    for engine in engines:
        set_faults(engine, straggler=100.0)
    fields = chat_fields(question(), max_tokens=10)
    connection = raw_chat(router, fields, Connection="close")
    wait_until(lambda: router.scheduler.running)
    router.scheduler.running[0].preempted.set()
    wait_until(lambda: router.scheduler.usages)
    for engine in engines:
        set_faults(engine, straggler=1.0)
    assert b"data: [DONE]" in receive_all(connection)


def test_caller_that_goes_away_cancels_its_work(router, engines):
    for engine in engines:
        set_faults(engine, straggler=5.0)
    connection = raw_chat(router, chat_fields(question(), max_tokens=500))
    connection.recv(100)
    connection.close()
    wait_until(lambda: not router.scheduler.running)
    assert router.scheduler.usages[-1].wasted_tokens > 0
    wait_until(lambda: router.wasted["caller_gone"] > 0)
    wait_until(lambda: sum(fetch(e, "/load")["running"] for e in engines) == 0)
    wait_until(lambda: router.listener.in_flight() == 0)


def test_caller_that_goes_away_leaves_the_queue(router):
    router.scheduler.paused = True
    connection = raw_chat(router, chat_fields(question()))
    wait_until(lambda: router.listener.in_flight() == 1)
    connection.close()
    wait_until(lambda: router.listener.in_flight() == 0)
    assert not router.scheduler.usages


def test_keyed_retry_on_another_instance_resumes_the_running_stream(engines):
    network = LocalNetwork()
    with (
        running_router(engines=engines, instance="a", network=network) as one,
        running_router(engines=engines, instance="b", network=network) as other,
    ):
        before = sum(fetch(e, "/stats")["executions"] for e in engines)
        fields = chat_fields(question(), max_tokens=80)
        key = {"Idempotency-Key": "k1"}
        connection = raw_chat(one, fields, **key)
        connection.recv(100)
        connection.close()
        response = post_chat(other, fields, **key)
        assert_complete(response, fields)
        assert sum(fetch(e, "/stats")["executions"] for e in engines) == before + 1
        assert_complete(post_chat(one, fields, **key), fields)
        assert sum(fetch(e, "/stats")["executions"] for e in engines) == before + 1
        changed = chat_fields(question())
        assert_complete(post_chat(other, changed, **key), changed)


def test_leaving_engine_is_noticed_in_its_answer(router, engines):
    for engine in engines:
        set_faults(engine, leaving=True)
    post_chat(router, chat_fields(question()))
    assert set(router.endpoint_table.leaving.values()) == {"answer"}


def test_deadline_in_the_queue_is_answered_at_once(router):
    router.scheduler.paused = True
    response = post_chat(router, chat_fields(question()), **{"X-Deadline-Ms": "100"})
    assert response.status == 504
    assert response.headers["Retry-After"] == "1"
    assert error_of(response)["run"] == "not_run"


def test_deadline_on_the_engine_is_not_reported_as_not_run(router, engines):
    for engine in engines:
        set_faults(engine, straggler=200.0)
    response = post_chat(router, chat_fields(question()), **{"X-Deadline-Ms": "200"})
    assert error_of(response)["kind"] == "deadline"
    assert error_of(response)["run"] == "unknown"


def test_stop_waits_for_requests_in_flight(engines):
    with running_router(engines=engines) as router:
        fields = chat_fields(question(), max_tokens=150)
        connection = raw_chat(router, fields)
        connection.recv(100)
        stopper = threading.Thread(target=router.listener.stop)
        stopper.start()
        received = receive_all(connection)
        stopper.join(5)
        assert b"data: [DONE]" in received
        assert router.listener.in_flight() == 0
        with pytest.raises(ConnectionRefusedError):
            raw_chat(router, fields)


def test_first_attempt_does_not_ask_the_home_instance(engines, monkeypatch):
    """Guards against waiting for a home instance that no longer exists.

    A retry still asks it, since another instance may run the stream.
    """
    asked = []
    answer = LocalMembership.request

    def record(self, instance, message, timeout_s):
        asked.append(instance)
        return answer(self, instance, message, timeout_s)

    monkeypatch.setattr(LocalMembership, "request", record)
    network = LocalNetwork()
    with (
        running_router(engines=engines, instance="a", network=network) as one,
        running_router(engines=engines, instance="b", network=network),
    ):
        fields = chat_fields(question(), max_tokens=5)
        # The home of a key is the other instance with a probability of one half.
        keys = [uuid.uuid4().hex for _ in range(12)]
        for key in keys:
            headers = {"Idempotency-Key": key, "X-First-Attempt": "true"}
            assert_complete(post_chat(one, fields, **headers), fields)
        assert asked == []
        for key in (uuid.uuid4().hex for _ in range(12)):
            assert_complete(post_chat(one, fields, **{"Idempotency-Key": key}), fields)
        assert asked


def test_stream_is_recorded_in_the_metrics():
    """Guards against attainment computed without first-token times and token gaps."""
    engine = start_engine()
    try:
        with running_router(engines=[engine]) as router:
            router.listener.metrics = Metrics()
            answer = post_chat(router, chat_fields("metrics", max_tokens=40))
            assert answer.status == 200
            wait_until(lambda: router.listener.metrics.dump().classes)
            summary = router.listener.metrics.dump().classes[0]
            assert (summary.useful_answers, summary.useful_tokens) == (1, 40)
            assert summary.first_token.count == summary.token_gap.count == 1
    finally:
        engine.stop()
