"""Guards against requests that stay on an engine that sends no tokens."""

import contextlib
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from bench.local_router import LocalRouter, local_manifest
from lagoonrill._internal.coordination.policy.retries import RetryBudget
from lagoonrill._internal.coordination.streams import StreamLimits
from lagoonrill._internal.protocol.manifest import LatencyTarget
from lagoonrill._internal.state.endpoint_table import EndpointView
from tests.request_path import (
    chat_fields,
    error_of,
    expected,
    fetch,
    post_chat,
    raw_chat,
    read_events,
    set_faults,
    start_engine,
    wait_until,
)

TARGET = LatencyTarget(first_token_ms=1_000, token_gap_ms=100)
WAIT_MS = "3000"


@pytest.fixture(scope="module")
def engine_processes():
    processes = [start_engine("--grace-s", "1") for _ in range(2)]
    yield processes
    for process in processes:
        process.stop()


@pytest.fixture
def engines(engine_processes):
    for process in engine_processes:
        set_faults(process, freeze=False, straggler=1.0)
    wait_until(lambda: not any(fetch(p, "/load")["running"] for p in engine_processes))
    yield engine_processes
    for process in engine_processes:
        set_faults(process, freeze=False, straggler=1.0)


@contextlib.contextmanager
def hedging_router(engines, *, first_token_s=None, running=0):
    manifest = local_manifest(engine_urls=[engine.url for engine in engines])
    classes = [
        msgspec.structs.replace(manifest.classes[0], latency=TARGET),
        *manifest.classes[1:],
    ]
    manifest = msgspec.structs.replace(manifest, classes=classes)
    router = LocalRouter(manifest=manifest, limits=StreamLimits())
    router.relay.retry_budget = RetryBudget()
    router.relay.candidates = lambda target: [
        EndpointView(
            endpoint=endpoint,
            running=running,
            waiting=0,
            in_flight=0,
            slots=endpoint.slots,
            first_token_s=first_token_s,
        )
        for endpoint in manifest.endpoints
    ]
    router.start()
    try:
        yield router
    finally:
        router.stop()


def timed_chat(router, wait_ms=WAIT_MS):
    fields = chat_fields(f"question {uuid.uuid4()}", max_tokens=5)
    began = time.monotonic()
    response = post_chat(router, fields, **{"X-Deadline-Ms": wait_ms})
    elapsed_s = time.monotonic() - began
    # The slot is released after the caller has read the last byte.
    wait_until(lambda: not router.scheduler.running)
    return response, fields, elapsed_s


@pytest.mark.parametrize("fault", [{"freeze": True}, {"straggler": 500.0}], ids=str)
@pytest.mark.parametrize("first_token_s", [None, 0.1])
def test_request_leaves_a_silent_engine_before_the_target(
    engines, fault, first_token_s
):
    set_faults(engines[0], **fault)
    with hedging_router(engines, first_token_s=first_token_s) as router:
        response, fields, elapsed_s = timed_chat(router)
        assert response.status == 200, response.data
        assert read_events(response.data)[0] == expected(fields)
        assert elapsed_s < 0.9
        left, used = router.scheduler.usages
        assert left.failed and left.tokens == 0
        assert left.first_token_s == pytest.approx(elapsed_s, abs=0.3)
        assert used.tokens == 5 and not used.failed
        assert router.scheduler.running == []
        assert router.relay.retry_budget.dump().hedges == {"chat": 1}
        assert list(router.wasted) == ["hedged"]
        assert router.wasted["hedged"] > 0
        set_faults(engines[0], freeze=False, straggler=1.0)
        wait_until(lambda: not fetch(engines[0], "/load")["running"])


def test_request_stays_without_budget(engines):
    set_faults(engines[0], straggler=200.0)
    with hedging_router(engines) as router:
        router.relay.retry_budget.budget = 0.0
        response, _, _ = timed_chat(router)
        assert len(router.scheduler.usages) == 1, response.data
        assert router.relay.retry_budget.dump().denied == {"chat": 1}


def test_request_stays_when_the_other_engines_are_full(engines):
    set_faults(engines[0], straggler=200.0)
    with hedging_router(engines, running=8) as router:
        timed_chat(router)
        assert len(router.scheduler.usages) == 1
        assert router.relay.retry_budget.dump().hedges == {}


def test_class_that_is_not_repeatable_never_moves(engines):
    set_faults(engines[0], freeze=True)
    executions = len(fetch(engines[1], "/executions"))
    with hedging_router(engines, first_token_s=0.01) as router:
        fields = chat_fields("order", max_tokens=5, stream=False)
        headers = {
            "X-Request-Class": "order",
            "Idempotency-Key": uuid.uuid4().hex,
            "X-Deadline-Ms": "1000",
        }
        response = post_chat(router, fields, **headers)
        assert error_of(response)["kind"] in ("outcome_unknown", "deadline_exceeded")
        assert len(fetch(engines[1], "/executions")) == executions
        assert router.relay.retry_budget.dump().hedges == {}
        set_faults(engines[0], freeze=False)


def stalled_stream(engines, router):
    """Freezes the engine of a running stream; returns its text and longest gap.

    A separate thread reads the stream, so that a gap is measured from the last bytes
    received and not from the answer to the freeze request.
    """
    # 500 tokens take 2 s, so that the freeze precedes the end also on a busy machine.
    fields = chat_fields(f"question {uuid.uuid4()}", max_tokens=500)
    connection = raw_chat(router, fields, Connection="close")
    connection.settimeout(15)
    received = connection.recv(100)
    busy = router.scheduler.running[0].endpoint.id
    with ThreadPoolExecutor(max_workers=1) as readers:
        reading = readers.submit(read_with_longest_gap, connection)
        set_faults(engines[int(busy[-1])], freeze=True)
        rest, longest_s = reading.result()
    set_faults(engines[int(busy[-1])], freeze=False)
    return received + rest, longest_s


def read_with_longest_gap(connection):
    """Reads to the end; returns the bytes and the longest gap before any of them."""
    received = b""
    longest_s, last_at = 0.0, time.monotonic()
    while part := connection.recv(65_536):
        now = time.monotonic()
        longest_s = max(longest_s, now - last_at)
        last_at = now
        received += part
    return received, longest_s


def test_stalled_stream_of_a_class_with_a_gap_target_moves(engines):
    with hedging_router(engines) as router:
        received, longest_s = stalled_stream(engines, router)
        assert b"data: [DONE]" in received
        assert received.count(b'"content":"') in (499, 500)
        assert 0.9 < longest_s < 2.0
        # The slot is released after the caller has read the last byte.
        wait_until(lambda: not router.scheduler.running)
        assert [usage.failed for usage in router.scheduler.usages] == [True, False]
        assert sum(usage.tokens for usage in router.scheduler.usages) == 500
        assert router.scheduler.running == []


def test_stalled_stream_goes_back_to_an_engine_whose_first_token_was_late(engines):
    # If an engine that was left because of a late first token stays excluded, a stream
    # whose second engine stalls has no engine to move to and waits 10 s.
    with hedging_router(engines) as router:
        set_faults(engines[0], straggler=500.0)
        fields = chat_fields(f"question {uuid.uuid4()}", max_tokens=500)
        connection = raw_chat(router, fields, Connection="close")
        connection.settimeout(15)
        received = connection.recv(100)
        set_faults(engines[0], straggler=1.0)
        assert router.scheduler.running[0].endpoint.id[-1] == "1"
        with ThreadPoolExecutor(max_workers=1) as readers:
            reading = readers.submit(read_with_longest_gap, connection)
            set_faults(engines[1], freeze=True)
            rest, longest_s = reading.result()
        assert b"data: [DONE]" in rest
        assert (received + rest).count(b'"content":"') in (499, 500)
        assert 0.9 < longest_s < 2.0
        wait_until(lambda: not router.scheduler.running)


def test_stalled_stream_stays_when_the_other_engines_are_full(engines):
    with hedging_router(engines, running=8) as router:
        router.relay.limits.stall_timeout_s = 3.0
        received, longest_s = stalled_stream(engines, router)
        assert b"data: [DONE]" in received
        assert longest_s > 2.8


def test_jitter_does_not_move_a_stream(engines):
    # The gaps of 0.6 s are six times the target.
    set_faults(engines[0], straggler=150.0)
    with hedging_router(engines, running=8) as router:
        timed_chat(router, wait_ms="10000")
        assert len(router.scheduler.usages) == 1
        assert not router.scheduler.usages[0].failed
