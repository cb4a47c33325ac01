"""Guards what callers get when the memory of the process is used up."""

import contextlib
import socket
import time

import pytest

from lagoonrill._internal.memory import policy
from lagoonrill._internal.memory.account import Part
from standins.scripted_endpoint import behaviour, encode_response
from tests.gateway_kit import HOST, KEY, wait_until

HEAD = (
    f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    "X-Request-Id: r1\r\n"
)
BODY = b"x" * 1_000_000


@pytest.fixture
def gateway(gateway_for):
    gateway, _ = gateway_for("app", ["answer"])
    gateway.memory.room_wait_s = 0.05
    return gateway


def send(gateway, *lines: str, body: bytes = b"") -> socket.socket:
    sock = socket.create_connection(("127.0.0.1", gateway.port), timeout=5)
    head = HEAD + "".join(f"{line}\r\n" for line in lines) + "\r\n"
    sock.sendall(head.encode() + body)
    return sock


def bodies(gateway):
    return gateway.memory.account.parts[Part.BODIES]


def fill(gateway) -> None:
    part = bodies(gateway)
    assert part.take(part.most_bytes)


def test_announced_body_over_the_limit_is_refused_before_it_is_sent(gateway):
    with send(gateway, "Content-Length: 10000000000") as sock:
        answer = sock.recv(4_096)
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert b"X-Request-Id: r1\r\n" in answer and b"Connection: close" in answer
    assert bodies(gateway).peak_bytes == 0


def test_continue_is_not_sent_without_room(gateway):
    fill(gateway)
    with send(gateway, "Content-Length: 1000000", "Expect: 100-continue") as sock:
        answer = sock.recv(4_096)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: " in answer
    assert gateway.events("memory_refused")[0]["reason"] == "no_memory"


def test_caller_that_sends_its_whole_body_first_gets_the_refusal(gateway):
    # Closed with unread input, the connection was reset, and the 503 was lost.
    fill(gateway)
    body = BODY * 4
    with send(gateway, f"Content-Length: {len(body)}", body=body) as sock:
        assert sock.recv(4_096).startswith(b"HTTP/1.1 503 ")


def test_large_body_waits_for_room(gateway):
    gateway.memory.room_wait_s = 5.0
    fill(gateway)
    with send(gateway, f"Content-Length: {len(BODY)}", body=BODY) as sock:
        assert wait_until(lambda: bodies(gateway).waiting)
        bodies(gateway).give_back(bodies(gateway).held_bytes)
        assert sock.recv(4_096).startswith(b"HTTP/1.1 200 ")


def test_small_body_is_served_while_large_ones_have_no_room(gateway):
    fill(gateway)
    assert gateway.ask("/order/1", body=BODY[:20_000])[0].status == 200


@pytest.mark.parametrize("chunked", [False, True])
def test_room_is_given_back_after_an_answer_and_after_a_disconnect(gateway, chunked):
    chunks = b"%x\r\n%b\r\n" % (len(BODY), BODY)
    line = "Transfer-Encoding: chunked" if chunked else "Content-Length: 1000001"
    with send(gateway, line, body=chunks if chunked else BODY) as sock:
        assert wait_until(lambda: bodies(gateway).held_bytes)
        sock.sendall(b"0\r\n\r\n" if chunked else b"x")
        assert sock.recv(4_096).startswith(b"HTTP/1.1 200 ")
        # The connection goes on with the next request.
        assert wait_until(lambda: not bodies(gateway).held_bytes)
    with send(gateway, line, body=chunks if chunked else BODY):
        assert wait_until(lambda: bodies(gateway).held_bytes)
    assert wait_until(lambda: not gateway.memory.account.held_bytes)


def test_idle_connection_gives_way_to_a_new_one(gateway):
    gateway.listener.max_connections = 2
    address = ("127.0.0.1", gateway.port)
    with socket.create_connection(address) as first:
        # Each connection has a thread, and idles since that has started.
        assert wait_until(lambda: len(gateway.listener.served) == 1)
        with socket.create_connection(address):
            assert wait_until(lambda: len(gateway.listener.served) == 2)
            time.sleep(0.6)
            assert gateway.ask("/order/1")[0].status == 200
            first.settimeout(5)
            assert first.recv(1) == b""


@behaviour
def large_answer(sock, request, endpoint) -> bool:
    with contextlib.suppress(OSError):
        sock.sendall(encode_response(request, bytes(4_000_000)))
    return True


def test_caller_that_does_not_read_its_answer_gives_way(gateway_for, monkeypatch):
    monkeypatch.setattr(policy, "STALLED_READ_S", 0.2)
    gateway, _ = gateway_for("app", ["large_answer"])
    listener = gateway.listener
    with send(gateway, "Content-Length: 0"):
        assert wait_until(lambda: gateway.answer_memory.held_bytes > 4_000_000)
        # An idle connection holds no answer.
        with socket.create_connection(("127.0.0.1", gateway.port)):
            assert wait_until(lambda: listener.end_one(readers_only=True))
            assert wait_until(lambda: not gateway.answer_memory.held_bytes)
            assert len(listener.served) == 1


def test_stalled_small_bodies_give_way_to_a_new_connection(gateway):
    """Guards against callers that hold all connections in the middle of a body.

    Bodies up to 8 kB hold no memory of their own, and no connection was idle.
    """
    gateway.listener.max_connections = 2
    line = "Transfer-Encoding: chunked"
    with (
        send(gateway, line, body=b"1\r\nx\r\n") as first,
        send(gateway, line, body=b"1\r\nx\r\n") as second,
    ):
        assert wait_until(lambda: len(gateway.memory.uploads) == 2)
        time.sleep(policy.STALLED_S + 0.1)
        assert gateway.ask("/order/1")[0].status == 200
        ended = [sock for sock in (first, second) if is_refused(sock)]
    assert len(ended) == 1
    assert gateway.events("memory_refused")[0]["reason"] == "slow_upload"


def is_refused(sock: socket.socket) -> bool:
    sock.settimeout(0.3)
    with contextlib.suppress(TimeoutError):
        return sock.recv(4_096).startswith(b"HTTP/1.1 503 ")
    return False
