"""Guards against callers that use more resources than their limits allow."""

import json
import queue
import socket
import time
from types import SimpleNamespace

import pytest

from lagoonrill._internal.transport.caller_server import (
    MAX_WAITING_CONNECTIONS,
    CallerServer,
)
from tests.request_path import (
    AUTH,
    HTTP,
    base_url,
    chat_fields,
    error_of,
    fetch,
    post_chat,
    raw_chat,
    raw_connection,
    receive_all,
    running_router,
    start_engine,
    wait_until,
)


@pytest.fixture(scope="module")
def engine():
    process = start_engine("--token-ms", "0.2")
    yield process
    process.stop()


@pytest.fixture(scope="module")
def router(engine):
    limits = {
        "max_body_bytes": 100_000,
        "max_header_bytes": 4_096,
        "max_prompt_characters": 1_000,
        "request_timeout_s": 0.5,
        "idle_timeout_s": 0.7,
        "slow_client_timeout_s": 0.5,
        "threads": 8,
    }
    with running_router(engines=[engine], **limits) as router:
        yield router


def request(router, method, path, **options):
    return HTTP.request(method, base_url(router) + path, **options)


def raw_error(received):
    head, _, body = received.partition(b"\r\n\r\n")
    return head.split(b"\r\n")[0], json.loads(body)["error"]["kind"]


@pytest.mark.parametrize("header", [None, "Bearer", "Basic abc", "Bearer wrong"])
def test_unknown_key_is_refused_before_any_work(router, engine, header):
    before = fetch(engine, "/stats")["executions"]
    headers = {"Authorization": header} if header else {}
    response = request(
        router, "POST", "/v1/chat/completions", json=chat_fields("q"), headers=headers
    )
    assert response.status == 401
    assert error_of(response)["kind"] == "unauthorized"
    assert fetch(engine, "/stats")["executions"] == before


def test_unknown_key_is_refused_without_reading_the_body(router):
    connection = raw_connection(router)
    connection.sendall(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
        b"Content-Length: 99999999\r\n\r\n"
    )
    assert b" 401 " in connection.recv(4_096)


@pytest.mark.parametrize(
    ("method", "path", "status", "kind"),
    [
        ("GET", "/nothing", 404, "not_found"),
        ("GET", "/services/none/x", 404, "not_found"),
        ("PUT", "/services/orders/x", 404, "not_found"),
        ("GET", "/v1/chat/completions", 400, "bad_request"),
        ("GET", "/v1/chat/completions?a=%ff", 400, "bad_request"),
    ],
)
def test_unknown_path_or_invalid_request_is_refused(router, method, path, status, kind):
    response = request(router, method, path, headers=AUTH)
    assert response.status == status
    assert error_of(response)["kind"] == kind


@pytest.mark.parametrize(
    ("change", "headers", "kind"),
    [
        ({"model": "none"}, {}, "not_found"),
        ({}, {"X-Request-Class": "none"}, "not_found"),
        ({"messages": 3}, {}, "bad_request"),
        ({}, {"X-Deadline-Ms": "soon"}, "bad_request"),
        ({"messages": [{"role": "u", "content": "x" * 1_001}]}, {}, "too_large"),
        ({"padding": "x" * 100_000}, {}, "too_large"),
    ],
)
def test_wrong_chat_request(router, change, headers, kind):
    response = post_chat(router, chat_fields("q") | change, **headers)
    assert error_of(response)["kind"] == kind
    assert error_of(response)["run"] == "not_run"


def test_chunked_body_above_the_limit(router):
    parts = (b"x" * 10_000 for _ in range(11))
    response = request(
        router, "POST", "/v1/chat/completions", body=parts, headers=AUTH, chunked=True
    )
    assert error_of(response)["kind"] == "too_large"


def test_declared_body_far_above_the_limit(router):
    connection = raw_connection(router)
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: r"]
    lines += ["Authorization: Bearer local-key", "Content-Length: 5000000", "", ""]
    connection.sendall("\r\n".join(lines).encode() + b"x" * 200_000)
    line, kind = raw_error(receive_all(connection))
    assert b" 413 " in line
    assert kind == "too_large"


def test_headers_above_the_limit(router):
    response = request(router, "GET", "/x", headers=AUTH | {"X-Long": "x" * 5_000})
    assert error_of(response)["kind"] == "too_large"
    response = request(router, "GET", "/" + "x" * 5_000, headers=AUTH)
    assert error_of(response)["kind"] == "too_large"


@pytest.mark.parametrize(
    "head",
    [
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-A: ",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 90\r\n"
        b"Authorization: Bearer local-key\r\n\r\n",
    ],
    ids=["header", "body"],
)
def test_request_that_trickles_in_is_ended(router, head):
    connection = raw_connection(router)
    connection.sendall(head)
    started_at = time.monotonic()
    received = b""
    connection.settimeout(0.1)
    while not received and time.monotonic() - started_at < 3:
        connection.sendall(b"x")
        try:
            received = connection.recv(4_096)
        except TimeoutError:
            continue
    line, kind = raw_error(received + receive_all(connection))
    assert b" 408 " in line
    assert kind == "request_timeout"
    assert time.monotonic() - started_at < 2


def test_idle_connection_is_closed(router):
    connection = raw_connection(router)
    connection.sendall(b"GET /x HTTP/1.1\r\nHost: r\r\n\r\n")
    started_at = time.monotonic()
    assert b" 401 " in receive_all(connection)
    assert 0.3 < time.monotonic() - started_at < 3


def test_caller_that_reads_nothing_is_dropped(router, engine):
    fields = chat_fields("slow", max_tokens=100_000)
    with raw_chat(router, fields, receive_buffer=4_096):
        wait_until(lambda: router.scheduler.running)
        wait_until(lambda: not router.scheduler.running, timeout_s=20)
    wait_until(lambda: fetch(engine, "/load")["running"] == 0)


def test_busy_threads_refuse_at_once(engine):
    with running_router(engines=[engine], threads=2) as router:
        idle = [raw_connection(router) for _ in range(2 + 32)]
        wait_until(lambda: router.listener.in_flight() == 32)
        started_at = time.monotonic()
        refused = raw_chat(router, chat_fields("q"))
        answer = receive_all(refused)
        line, kind = raw_error(answer)
        assert b" 503 " in line
        assert kind == "overloaded"
        # The unread headers may hold the idempotency key of an attempt that has run.
        assert b'"run":"unknown"' in answer
        assert time.monotonic() - started_at < 1
        for connection in idle:
            connection.close()


class IdleThreads:
    """Thread pool whose idle threads have not run since the connections came."""

    def __init__(self, *, waiting: int, idle: int):
        self.idle = idle
        self._queue = queue.Queue()
        for _ in range(waiting):
            self._queue.put(None)

    def put(self, connection):
        self._queue.put(connection)


@pytest.mark.parametrize("idle", [0, 2])
def test_connections_that_idle_threads_will_take_are_not_refused(idle):
    # On a busy machine, connections arrive before idle threads run. If those that the
    # threads will take count as queued, callers are refused although there is room.
    server = object.__new__(CallerServer)
    room = MAX_WAITING_CONNECTIONS + idle
    server.requests = IdleThreads(waiting=room - 1, idle=idle)
    pairs = [socket.socketpair() for _ in range(2)]
    for _, ours in pairs:
        connection = SimpleNamespace(socket=ours, close=ours.close)
        server.process_conn(connection)
    assert server.requests._queue.qsize() == room
    assert pairs[1][0].recv(4_096).startswith(b"HTTP/1.1 503 ")
    for pair in pairs:
        for end in pair:
            end.close()
