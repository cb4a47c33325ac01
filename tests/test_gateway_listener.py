"""Guards the callers' listener: routes, keys, framing, limits, graceful shutdown."""

import socket
import sys
import threading
import time
from unittest import mock

import pytest

from lagoonrill._internal import gateway_daemon
from lagoonrill._internal.protocol.routing import CallerLimits
from lagoonrill._internal.transport.endpoint_connection import ConnectionPool
from lagoonrill._internal.transport.gateway_listener import GatewayListener
from standins.ports import free_port
from standins.scripted_endpoint import ScriptedEndpoint
from tests.gateway_kit import Gateway, config, wait_until


@pytest.fixture
def gateway():
    endpoints = {
        "app": [ScriptedEndpoint(id="app-1")],
        "models": [ScriptedEndpoint(id="model-1", script=["stream"])],
    }
    built = Gateway(endpoints)
    built.endpoints = endpoints
    yield built
    built.listener.close()
    for found in endpoints.values():
        for endpoint in found:
            endpoint.close()


def stop(gateway, *, selective: bool = False, left_s: float = 5.0) -> None:
    now = time.monotonic()
    gateway.listener.begin_stop(
        selective_at=now if selective else now + 5, stop_deadline=now + left_s
    )


def test_callers_can_connect_before_the_instance_says_that_it_is_ready(monkeypatch):
    # If readiness is reported before the callers' socket is open, the first
    # connections are refused.
    daemon = mock.MagicMock()
    daemon.settings.seeds = []
    monkeypatch.setattr(gateway_daemon, "EventLogHandler", mock.MagicMock())
    monkeypatch.setattr(gateway_daemon.gc, "freeze", lambda: None)
    interval_s = sys.getswitchinterval()
    try:
        gateway_daemon.GatewayDaemon.start(daemon)
    finally:
        sys.setswitchinterval(interval_s)
    steps = [name for name, _, _ in daemon.method_calls]
    assert steps.index("listener.open") < steps.index("pages.start")
    assert steps.index("listener.open") < steps.index("listener.start")


def test_connections_made_before_the_start_are_served(gateway):
    gateway.routing.install(config())
    gateway.listener.open()
    with socket.create_connection(("127.0.0.1", gateway.port), 3) as sock:
        sock.sendall(b"GET /nowhere HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        gateway.listener.start()
        sock.settimeout(3)
        assert sock.recv(12) == b"HTTP/1.1 404"


def send_raw(gateway, data: bytes, timeout: float = 3) -> bytes:
    with socket.create_connection(("127.0.0.1", gateway.port), timeout) as sock:
        sock.sendall(data)
        received = b""
        while part := sock.recv(65_536):
            received += part
        return received


def test_without_configuration_callers_get_503_with_retry_after(gateway):
    gateway.listener.open()
    gateway.listener.start()
    response, _ = gateway.ask("/order/1")
    assert response.status == 503
    assert float(response.getheader("Retry-After")) > 0


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/order/1", "Bearer key-of-shop", 200),
        ("/order/1", "Bearer wrong", 401),
        ("/order/1", "Basic key-of-shop", 401),
        ("/order/1", None, 401),
        ("/open/1", None, 200),
        ("/nowhere/1", "Bearer key-of-shop", 404),
    ],
)
def test_routes_and_keys(gateway, path, key, status):
    gateway.start()
    response, _ = gateway.ask(path, headers={"Authorization": key})
    assert response.status == status


def test_endpoint_sees_the_team_and_never_the_key_or_forged_headers(gateway):
    gateway.start()
    forged = {
        "X-Team": "other",
        "X-Priority": "0",
        "X-Expected-Endpoint": "other",
        "Connection": "X-Hop",
        "X-Hop": "1",
        "X-Own": "kept",
    }
    gateway.ask("/order/1?a=%2F&b", headers=forged, body=b"{}")
    (seen,) = gateway.endpoints["app"][0].received
    assert (seen.method, seen.target) == (b"POST", b"/order/1?a=%2F&b")
    assert seen.body == b"{}"
    assert seen.header("X-Team") == "shop"
    assert seen.header("X-Expected-Endpoint") == "app-1"
    assert seen.header("X-Own") == "kept"
    assert seen.header("Authorization") is None
    assert seen.header("X-Hop") is None
    assert seen.header("X-Priority") is None
    assert 1900 < int(seen.header("X-Deadline-Ms")) <= 2000


def test_request_inside_a_body_is_not_taken_as_a_request(gateway):
    gateway.start()
    inner = b"POST /order/2 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
    data = (
        b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"Authorization: Bearer key-of-shop\r\nConnection: close\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(inner), inner)
    )
    send_raw(gateway, data)
    (seen,) = gateway.endpoints["app"][0].received
    assert seen.body == inner


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 5\r\nContent-Length: 6\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Content-Length: x\r\n",
    ],
)
def test_ambiguous_framing_is_refused(gateway, framing):
    gateway.start()
    answer = send_raw(
        gateway,
        b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n" + framing + b"\r\nhello",
    )
    assert answer.split(b" ")[1] in (b"400", b"501")
    assert gateway.endpoints["app"][0].received == []


def test_limits_on_head_body_and_time(gateway):
    limits = CallerLimits(
        max_header_bytes=2_000,
        max_body_bytes=100,
        header_timeout_s=0.2,
        idle_timeout_s=0.5,
    )
    gateway.start(config(limits=limits))
    start = b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
    assert b" 431 " in send_raw(
        gateway, start + b"X-Long: " + b"x" * 3_000 + b"\r\n\r\n"
    )
    assert b" 413 " in send_raw(
        gateway, start + b"Content-Length: 101\r\n\r\n" + b"x" * 101
    )
    assert b" 408 " in send_raw(gateway, start)


def test_kept_connection_serves_several_requests(gateway):
    gateway.start()
    connection = gateway.connect()
    for number in range(3):
        connection.request(
            "GET",
            "/status/1",
            headers={
                "Host": "shop.example",
                "Authorization": "Bearer key-of-shop",
                "X-Request-Id": f"r{number}",
            },
        )
        assert connection.getresponse().read() == b"answer to r%d" % number


def test_newer_configuration_is_in_force_and_an_older_one_is_not(gateway):
    gateway.start(config(version=5))
    assert not gateway.routing.install(config(version=5, routes=()))
    assert not gateway.routing.install(config(version=4, routes=()))
    assert gateway.ask("/order/1")[0].status == 200
    assert gateway.routing.install(config(version=9, routes=()))
    assert gateway.ask("/order/1")[0].status == 404


def test_planned_stop_cuts_nothing_off_and_takes_nothing_late(gateway):
    # A connection whose response began before the stop is closed after that response.
    # Otherwise a further request could arrive too late to be served.
    gateway.endpoints["app"][0].script = ["slow_answer"]
    gateway.start()
    connection = gateway.connect()
    answers = []

    def ask():
        headers = {"Host": "shop.example", "Authorization": "Bearer key-of-shop"}
        connection.request("POST", "/order/1", headers=headers)
        response = connection.getresponse()
        answers.append((response.status, response.read()))

    thread = threading.Thread(target=ask)
    thread.start()
    assert wait_until(lambda: gateway.endpoints["app"][0].received)
    stop(gateway)
    gateway.listener.close()
    thread.join()
    assert answers[0][0] == 200
    assert connection.sock is None or connection.sock.recv(1) == b""
    assert wait_until(gateway.listener.is_idle)


def test_idle_connection_ends_with_the_stop(gateway):
    gateway.start()
    with socket.create_connection(("127.0.0.1", gateway.port), 3) as sock:
        time.sleep(0.05)
        stop(gateway)
        gateway.listener.close()
        assert sock.recv(1) == b""


def test_a_stopping_instance_serves_callers_that_have_nowhere_else_to_go(gateway):
    # If all instances of a zone stop, the load balancer still sends to them. With the
    # listener closed, connections there were refused for seconds.
    gateway.start()
    stop(gateway, selective=True, left_s=2.5)
    response, _ = gateway.ask("/order/1", headers={"X-Deadline-Ms": "1000"})
    assert response.status == 200
    assert response.getheader("Connection") == "close"
    # A request that may not finish before the stop gets 503 with Retry-After.
    response, _ = gateway.ask("/order/2", headers={"X-Deadline-Ms": "2900"})
    assert response.status == 503
    assert float(response.getheader("Retry-After")) < 0.5
    assert len(gateway.endpoints["app"][0].runs) == 1


@pytest.mark.parametrize("path", ["/order/1", "/ask/1"])
def test_a_request_taken_during_a_stop_is_answered_before_its_end(gateway, path):
    """Its time limit may be longer than the rest of the grace time."""
    gateway.start()
    for endpoints in gateway.endpoints.values():
        endpoints[0].script = ["silent"]
    left_s = 1.2
    stop(gateway, left_s=left_s)
    started_at = time.monotonic()
    response, _ = gateway.ask(path, headers={"X-Deadline-Ms": "2900"})
    assert time.monotonic() - started_at < left_s
    assert response.status == 504


def test_a_queued_request_is_refused_before_the_process_ends(gateway):
    gateway.start()
    gateway.set_endpoints({})
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(
            gateway.ask("/ask/1", headers={"X-Deadline-Ms": "2900"})[0]
        )
    )
    thread.start()
    assert wait_until(lambda: gateway.events("request_waits"))
    gateway.admission.refuse_waiting()
    thread.join(1.0)
    assert answers[0].status == 503
    assert float(answers[0].getheader("Retry-After")) > 0


def test_a_connection_without_a_thread_does_not_end_the_listener(gateway, monkeypatch):
    # A failure to start a connection's thread must not end the accepting thread.
    gateway.start()

    def no_thread(self):
        raise RuntimeError("can't start new thread")

    with monkeypatch.context() as patch:
        patch.setattr(threading.Thread, "start", no_thread)
        with socket.create_connection(("127.0.0.1", gateway.port), 3) as sock:
            assert sock.recv(1) == b""
    assert gateway.ask("/order/1")[0].status == 200
    assert wait_until(gateway.listener.is_idle)


def test_instances_share_the_connections_that_an_endpoint_accepts():
    # 35 instances with 32 idle connections each exceed an endpoint's limit of 790.
    pool = ConnectionPool()
    pool.set_idle_limit(790, 35)
    assert 1 <= pool.idle_limit * 35 <= 790 / 2
    pool.set_idle_limit(360, 4)
    assert pool.idle_limit == 32
    pool.set_idle_limit(0, 4)
    assert pool.idle_limit == 32
    pool.set_idle_limit(100, 400)
    assert pool.idle_limit == 1


def test_requests_in_the_backlog_of_a_closing_listener_are_answered(gateway):
    # A connection that the system has accepted, but the listener not yet, was reset
    # with its request when the stop closed the socket.
    gateway.start()
    quiet = GatewayListener(
        address=f"127.0.0.1:{free_port()}",
        max_connections=4,
        header_names=gateway.listener.header_names,
        routing=gateway.routing,
        config_age_s=lambda: 0.0,
        forwarder=gateway.listener.forwarder,
        memory=gateway.memory,
        metrics=gateway.metrics,
        event_log=gateway.event_log,
    )
    quiet.open()
    callers = [socket.create_connection(quiet.socket.getsockname()) for _ in range(3)]
    for caller in callers:
        caller.sendall(b"GET /status/1 HTTP/1.1\r\nHost: x\r\n\r\n")
    quiet.close()
    for caller in callers:
        caller.settimeout(2)
        assert caller.recv(4_096).startswith(b"HTTP/1.1 503 ")
        caller.close()
