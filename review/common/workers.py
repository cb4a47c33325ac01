"""Stand-in of a worker that answers calls and streams."""

import contextlib
import socket
import threading
import time

import h11

from standins.scripted_endpoint import ReceivedRequest, read_request
from standins.threaded_listener import ThreadedListener

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Worker:
    """Serves one service; each event names the software version of the worker.

    A stream has `events` events, `pause_s` apart, and goes on after `Last-Event-Id`. A
    run ends when its channel closes, or at its time limit. `runs` holds what has run:
    the time, the id of the request and the event after which a stream goes on.
    """

    def __init__(
        self,
        *,
        id: str,
        service: str,
        zone: str,
        version: str = "v1",
        events: int = 60,
        pause_s: float = 0.1,
    ):
        self.id = id
        self.service = service
        self.zone = zone
        self.version = version
        self.events = events
        self.pause_s = pause_s
        self.lock = threading.Lock()
        self.runs: list[tuple[float, str, int]] = []
        # Whether all answers say that the worker leaves.
        self.leaving = False
        self.born = int(time.time() * 1000)
        self.listener = ThreadedListener(serve=self.serve)
        self.address = self.listener.address

    def entry(self, *, state: str = "ready", sequence: int = 1) -> dict:
        """Returns the entry that the worker writes in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": 64,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": sequence,
            "born": self.born,
        }

    def close(self) -> None:
        self.listener.close()

    def serve(self, sock: socket.socket) -> None:
        parser = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError), sock:
            while (request := read_request(sock, parser)) is not None:
                self.answer(sock, request)
                parser = h11.Connection(h11.SERVER)

    def answer(self, sock: socket.socket, request: ReceivedRequest) -> None:
        id = request.header("Attempt-Id") or ""
        if request.header("Target-Instance") not in (None, self.id):
            sock.sendall(
                f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.id}\r\n"
                f"Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        after = int(request.header("Last-Event-Id") or 0)
        limit_s = int(request.header("Deadline-Ms") or 15_000) / 1000
        ends_at = time.monotonic() + limit_s
        with self.lock:
            self.runs.append((time.monotonic(), id, after))
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n"
            f"Response-Signature: {SIGNATURE}\r\n"
        )
        if self.leaving:
            head += "Server-Leaving: 1\r\nConnection: close\r\n"
        if request.header("Prompt-Prefix") is None:
            body = f"answer to {id}"
            head += f"Content-Length: {len(body)}\r\n\r\n{body}"
            sock.sendall(head.encode())
            return
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        sock.sendall(head.encode())
        for number in range(after + 1, self.events + 1):
            data = f"id: {number}\ndata: {self.version}\n\n"
            sock.sendall(f"{len(data):x}\r\n{data}\r\n".encode())
            time.sleep(self.pause_s)
            if time.monotonic() >= ends_at:
                raise ConnectionError("the time limit of the run is reached")
        sock.sendall(b"0\r\n\r\n")
