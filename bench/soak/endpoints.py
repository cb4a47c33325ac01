"""Endpoints and fault-injecting proxies of the soak test."""

import contextlib
import random
import socket
import threading
import time

import h11

from bench.soak.history import (
    DEADLY_BODY,
    LAST_EVENT,
    CrashByRequest,
    History,
    PauseRequest,
    Run,
)
from lagoonrill.platform._headers import VOCABULARY
from standins.scripted_endpoint import STREAM_HEAD, chunk, read_request
from standins.threaded_listener import ThreadedListener

EVENT_PAUSE_S = 0.03
WORK_S = 0.02


class SoakEndpoint:
    """Endpoint that records its executions and fails a `failure_rate` of its calls."""

    def __init__(
        self, *, id: str, service: str, version: str, history: History, seed: int
    ):
        self.id = id
        # Version of its software, which each event names.
        self.version = version
        # Ends the endpoint without an announcement.
        self.crash = self.close
        self.service = service
        self.history = history
        self.rng = random.Random(seed)
        self.failure_rate = 0.0
        # Requests per second that all answers name; None to name none.
        self.request_limit: float | None = None
        # Time for which each turned away sender should wait; 0 to turn none away.
        self.pause_s = 0.0
        # Whether all answers say that the endpoint leaves.
        self.leaving = False
        self.listener = ThreadedListener(serve=self._serve)

    def close(self) -> None:
        self.listener.close()

    def _serve(self, sock: socket.socket) -> None:
        parser = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError), sock:
            while (request := read_request(sock, parser)) is not None:
                if not self._answer(sock, request):
                    return
                parser = h11.Connection(h11.SERVER)

    def _answer(self, sock: socket.socket, request) -> bool:
        id = request.header(VOCABULARY.request_id) or ""
        if request.header(VOCABULARY.expected_endpoint) != self.id:
            sock.sendall(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return True
        if self.pause_s:
            refusal = PauseRequest(
                request=id, endpoint=self.id, at=time.monotonic(), pause_s=self.pause_s
            )
            self.history.add(refusal)
            sock.sendall(
                f"HTTP/1.1 503 Full\r\n{VOCABULARY.not_run}: 1\r\n"
                f"{VOCABULARY.request_id}: {id}\r\nRetry-After: {self.pause_s:g}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        fails = self.rng.random() < self.failure_rate
        failure = self.rng.choice(("refuse", "reset", "cut", "slow")) if fails else ""
        if failure == "refuse":
            header_name = VOCABULARY.not_run.encode()
            sock.sendall(
                b"HTTP/1.1 503 Full\r\n"
                + header_name
                + b": 1\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        is_stream = request.target.startswith((b"/ask/", b"/plan/"))
        after = int(request.header(VOCABULARY.resume_after) or 0)
        run = Run(
            request=id,
            endpoint=self.id,
            at=time.monotonic(),
            first_event=after + 1,
            says_leaving=self.leaving,
        )
        self.history.add(run)
        if request.body == DEADLY_BODY:
            self.history.add(CrashByRequest(endpoint=self.id, at=run.at))
            self.crash()
            return False
        if failure == "reset":
            return False
        time.sleep(1.0 if failure == "slow" else WORK_S)
        head = (
            f"HTTP/1.1 200 OK\r\n{VOCABULARY.request_id}: {id}\r\n"
            f"{VOCABULARY.proof}: proof {id}\r\n"
        ).encode()
        if run.says_leaving:
            name, value = VOCABULARY.endpoint_state, VOCABULARY.leaving_state
            head += f"{name}: {value}\r\n".encode()
        limit = self.request_limit
        if limit is not None:
            head += f"{VOCABULARY.request_limit}: {limit:g}\r\n".encode()
        if is_stream:
            return self._stream(sock, head, after, cut=failure == "cut")
        body = f"{self.service} did {id}".encode()
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        sock.sendall(head + length + (body[:4] if failure == "cut" else body))
        return failure != "cut"

    def _stream(self, sock, head: bytes, after: int, *, cut: bool) -> bool:
        sock.sendall(head + STREAM_HEAD)
        for number in range(after + 1, LAST_EVENT + 1):
            data = b"id: %d\ndata: %b\n\n" % (number, self.version.encode())
            if cut and number > after + 2:
                sock.sendall(chunk(data[:5]))
                return False
            sock.sendall(chunk(data))
            time.sleep(EVENT_PAUSE_S)
        sock.sendall(b"0\r\n\r\n")
        return True


class Proxy:
    """Loopback TCP proxy in front of an address.

    `mode` is `pass`, `delay`, `silent` (accepts connections, forwards nothing),
    `one_way` (forwards no responses) or `reset` (closes each connection).
    """

    def __init__(self, *, target: tuple[str, int]):
        self.target = target
        self.mode = "pass"
        self.lock = threading.Lock()
        self.open: list[socket.socket] = []
        self.listener = ThreadedListener(serve=self._relay)
        self.address = self.listener.address

    def set_mode(self, mode: str) -> None:
        """Sets the mode; `reset` also closes all open connections."""
        self.mode = mode
        if mode == "reset":
            with self.lock:
                ended, self.open = self.open, []
            for sock in ended:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.listener.close()
        self.set_mode("reset")

    def _relay(self, client: socket.socket) -> None:
        if self.mode == "reset":
            client.close()
            return
        try:
            server = socket.create_connection(self.target, 1)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        with self.lock:
            self.open += [client, server]
        backward = threading.Thread(
            target=self._pump, args=(server, client, True), daemon=True
        )
        backward.start()
        self._pump(client, server, False)
        backward.join()
        client.close()
        server.close()

    def _pump(self, source: socket.socket, sink: socket.socket, backward: bool) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                while self.mode == "silent" or (self.mode == "one_way" and backward):
                    time.sleep(0.02)
                if self.mode == "delay":
                    time.sleep(0.1)
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
