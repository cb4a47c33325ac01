"""Guards the process against callers that make it keep too much in memory.

Each test starts one real process with lowered limits and a fixed crowd of overloading
callers. Unfixed, the process goes far over `memory_mb`, and the platform ends it.
The crowds and the bounds were fixed before the product was changed.
"""

import contextlib
import fcntl
import os
import selectors
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.metadata_store import MetadataStore, MetadataStoreServer
from standins.platform_objects import configuration, server
from standins.scripted_endpoint import BEHAVIOURS, ScriptedEndpoint, behaviour
from tests.gateway_kit import wait_until

from .test_daemon_process import Instance

MAX_BODY_BYTES = 1_048_576
# For the callers that send more than the limit, which hold memory only up to there.
LARGER_MAX_BODY_BYTES = 4_194_304
# For the callers that send many fields.
LARGER_MAX_HEADER_BYTES = 65_536
MEMORY_MB = 96
MAX_DESCRIPTORS = 560
CALLERS = 64
# More than the instance accepts with `MAX_DESCRIPTORS`.
SILENT_CALLERS = 128
SECONDS = 2.0
# The bodies of callers that do not stop by themselves end after this many bytes.
ENDLESS_BYTES = 16 * MAX_BODY_BYTES
PIECE = b"x" * 65_536
ORDINARY_TIMEOUT_S = 20.0
HEAD = (
    b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
    b"Attempt-Id: crowd\r\nDeadline-Ms: 1500\r\n"
)
KINDS = {}


def kind(function):
    """Registers what a caller sends: pieces of bytes, or None to pause for 20 ms."""
    KINDS[function.__name__] = function
    return function


def with_length(length: int) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % length


def pieces(length: int) -> Iterator[bytes]:
    for start in range(0, length, len(PIECE)):
        yield PIECE[: length - start]


@kind
def whole_body() -> Iterator[bytes | None]:
    yield with_length(MAX_BODY_BYTES)
    yield from pieces(MAX_BODY_BYTES)


@kind
def whole_body_for_a_worker_that_does_not_read() -> Iterator[bytes | None]:
    yield from whole_body()


@kind
def all_but_the_last_byte() -> Iterator[bytes | None]:
    yield with_length(MAX_BODY_BYTES)
    yield from pieces(MAX_BODY_BYTES - 1)


@kind
def all_but_the_last_byte_in_slow_pieces() -> Iterator[bytes | None]:
    yield with_length(MAX_BODY_BYTES)
    for piece in pieces(MAX_BODY_BYTES - 1):
        yield piece
        yield None


@kind
def large_chunks_without_the_last() -> Iterator[bytes | None]:
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for piece in pieces(MAX_BODY_BYTES - len(PIECE)):
        yield b"%x\r\n%b\r\n" % (len(piece), piece)


@kind
def very_small_chunks() -> Iterator[bytes | None]:
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(64):
        yield b"1\r\nx\r\n" * 256


@kind
def length_far_over_the_limit() -> Iterator[bytes | None]:
    yield with_length(10_000_000_000)
    yield from pieces(ENDLESS_BYTES)


@kind
def chunks_far_over_the_limit() -> Iterator[bytes | None]:
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for piece in pieces(ENDLESS_BYTES):
        yield b"%x\r\n%b\r\n" % (len(piece), piece)


@kind
def half_a_head() -> Iterator[bytes | None]:
    yield HEAD + b"X-More: " + b"x" * 8_000


@kind
def large_head_and_all_but_the_last_byte() -> Iterator[bytes | None]:
    fields = b"a:\r\n" * (LARGER_MAX_HEADER_BYTES // 6)
    yield HEAD + fields + b"Content-Length: 8000\r\n\r\n" + bytes(7_999)


@kind
def nothing() -> Iterator[bytes | None]:
    yield from ()


@kind
def requests_whose_answers_are_not_read() -> Iterator[bytes | None]:
    yield with_length(2) + b"{}"


CROWD_SIZES = {
    "nothing": SILENT_CALLERS,
    "half_a_head": SILENT_CALLERS,
    "large_head_and_all_but_the_last_byte": SILENT_CALLERS,
}
SCRIPTS = {"requests_whose_answers_are_not_read": "large_platform_answer"}
# Callers of these kinds leave answers in the socket.
UNREAD_KINDS = frozenset(("requests_whose_answers_are_not_read",))


@behaviour
def large_platform_answer(sock, request, endpoint) -> bool:
    attempt = request.header("Attempt-Id").encode()
    if attempt != b"crowd":
        return BEHAVIOURS["platform_answer"](sock, request, endpoint)
    sock.sendall(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Signature: p\r\n"
        b"Content-Length: %d\r\n\r\n%b"
        % (attempt, MAX_BODY_BYTES, bytes(MAX_BODY_BYTES))
    )
    return True


@behaviour
def reads_slowly(sock, request, endpoint) -> bool:
    time.sleep(0.5)
    return BEHAVIOURS["platform_answer"](sock, request, endpoint)


class UnreadingEndpoint(ScriptedEndpoint):
    """An endpoint that leaves the requests of the crowd in its socket."""

    def _serve(self, sock: socket.socket) -> None:
        # The crowd has left before the ordinary request is sent.
        if b"Attempt-Id: crowd" in sock.recv(4_096, socket.MSG_PEEK):
            time.sleep(SECONDS)
            sock.close()
        else:
            super()._serve(sock)


ENDPOINTS = {"whole_body_for_a_worker_that_does_not_read": UnreadingEndpoint}


class Caller:
    """One overloading caller."""

    def __init__(self, *, address: tuple[str, int], kind: str, visits: int):
        self.address = address
        self.kind = kind
        self.visits = visits
        self.sock: socket.socket | None = None

    def connect(self) -> None:
        self.visits -= 1
        self.sock = socket.socket()
        if self.kind in UNREAD_KINDS:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.sock.settimeout(5)
        with contextlib.suppress(OSError):
            self.sock.connect(self.address)
        self.sock.setblocking(False)
        self.pieces = KINDS[self.kind]()
        self.rest = memoryview(b"")
        self.pause_until = 0.0
        self.sending = True

    def step(self) -> None:
        """Sends and receives without waiting; comes back after a close, if it may."""
        try:
            self._send()
            if self.kind not in UNREAD_KINDS and not self.sock.recv(65_536):
                raise ConnectionResetError
        except BlockingIOError:
            return
        except OSError:
            self.sock.close()
            self.sock = None
            if self.visits:
                self.connect()

    def _send(self) -> None:
        while self.sending and time.monotonic() >= self.pause_until:
            if not self.rest:
                piece = next(self.pieces, b"")
                if piece is None:
                    self.pause_until = time.monotonic() + 0.02
                    return
                self.sending = bool(piece)
                self.rest = memoryview(piece)
            with contextlib.suppress(BlockingIOError):
                self.rest = self.rest[self.sock.send(self.rest) :]
            # The other callers send before the next piece.
            return


def run_crowd(address: tuple[str, int], kind: str, visits: int, check) -> None:
    """Runs a crowd for `SECONDS`, calling `check` now and then, then closes it."""
    size = CROWD_SIZES.get(kind, CALLERS)
    callers = [Caller(address=address, kind=kind, visits=visits) for _ in range(size)]
    for caller in callers:
        caller.connect()
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        for caller in callers:
            if caller.sock is not None:
                caller.step()
        check()
        wait_for_any([item.sock for item in callers if item.sock is not None])
    for caller in callers:
        if caller.sock is not None:
            caller.sock.close()


def wait_for_any(socks: list[socket.socket]) -> None:
    with selectors.DefaultSelector() as selector:
        for sock in socks:
            selector.register(sock, selectors.EVENT_READ)
        selector.select(0.002)


def peak_memory_mb(pid: int) -> float:
    """Returns the largest resident memory of a process so far, in MB of 2**20 bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has ended")


@pytest.fixture
def instance(tmp_path, kind):
    """Returns a running instance with lowered limits, one at a time of all workers."""
    # All workers of a test run share the parent of this folder.
    lock = (tmp_path.parents[1] / "memory_overload.lock").open("w")
    fcntl.flock(lock, fcntl.LOCK_EX)
    store = MetadataStore()
    store_server = MetadataStoreServer(store)
    script = [SCRIPTS.get(kind, "reads_slowly")]
    endpoint = ENDPOINTS.get(kind, ScriptedEndpoint)(id="i-1", script=script)
    max_body_bytes = LARGER_MAX_BODY_BYTES if "over" in kind else MAX_BODY_BYTES
    limits = {**configuration()["Limits"], "MaxBodyBytes": max_body_bytes}
    if "head_and" in kind:
        limits["MaxHeaderBytes"] = LARGER_MAX_HEADER_BYTES
    store.put("config", "main", configuration(Limits=limits))
    store.put("servers", "i-1", server(Service="desk", Address=endpoint.address))
    instance = Instance(tmp_path, "a", store_server.address, [])
    instance.settings |= {"memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS}
    instance.start()
    assert wait_until(instance.ready, 10)
    yield instance
    instance.process.kill()
    instance.process.wait()
    store_server.close()
    endpoint.close()
    lock.close()


def is_answered(instance) -> bool:
    with contextlib.suppress(OSError):
        return instance.ask("/order/1") == 200
    return False


@pytest.mark.parametrize("visits", [1, 2], ids=["once", "back_once"])
@pytest.mark.parametrize("kind", KINDS)
def test_crowd_does_not_take_more_than_the_memory(instance, kind, visits):
    pid = instance.process.pid
    host, _, port = instance.settings["callers_address"].rpartition(":")
    descriptors = []

    def check():
        assert instance.process.poll() is None
        descriptors.append(len(os.listdir(f"/proc/{pid}/fd")))

    run_crowd((host, int(port)), kind, visits, check)
    assert wait_until(lambda: is_answered(instance), ORDINARY_TIMEOUT_S)
    assert instance.process.poll() is None
    peak_mb = peak_memory_mb(pid)
    print(f"{kind}, {visits}: {peak_mb:.1f} MB, {max(descriptors)} descriptors")
    assert peak_mb < MEMORY_MB
    assert max(descriptors) < MAX_DESCRIPTORS
