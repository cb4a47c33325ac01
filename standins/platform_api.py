"""Simulates the platform's API for calls that one instance makes for all.

It checks fencing tokens for each subject, can refuse calls, be down, and execute calls
late and without an answer. The names on the wire are the platform's.
"""

import threading
from http.server import BaseHTTPRequestHandler
from typing import NamedTuple

import msgspec

from .metadata_store import DisconnectTolerantServer


class Call(NamedTuple):
    """A call that was executed or refused, in the order of execution."""

    subject: str
    holder: str
    token: int
    body: dict
    status: int


class PlatformApiServer:
    """Serves the calls on loopback."""

    def __init__(self):
        api = self
        self.lock = threading.Lock()
        self.calls: list[Call] = []
        self.highest: dict[str, int] = {}
        # Status with which all calls are refused; 0 to execute them.
        self.refusal_status = 0
        # Time after which calls are executed without an answer; None to answer them.
        self.late_s: float | None = None
        self.closed = threading.Event()

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                length = int(self.headers["Content-Length"])
                body = msgspec.json.decode(self.rfile.read(length))
                holder = self.headers["Lease-Holder"]
                token = int(self.headers["Fencing-Token"])
                if api.late_s is not None:
                    timer = threading.Timer(
                        api.late_s, api.execute, (self.path, holder, token, body)
                    )
                    timer.daemon = True
                    timer.start()
                    api.closed.wait()
                    return
                status = api.refusal_status
                status = status or api.execute(self.path, holder, token, body)
                self.send_response(status)
                self.send_header("Content-Length", "0")
                self.end_headers()

            def log_message(self, *_):
                pass

        self.server = DisconnectTolerantServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def execute(self, path: str, holder: str, token: int, body: dict) -> int:
        """Executes a call unless its token is too low; returns the status."""
        subject = path
        if path == "/scale":
            subject = f"{path} {body['Service']} {body['Zone']}"
        with self.lock:
            status = 409 if token < self.highest.get(subject, 0) else 200
            self.highest[subject] = max(token, self.highest.get(subject, 0))
            self.calls.append(Call(subject, holder, token, body, status))
        return status

    def reports(self) -> dict[int, list[dict[str, int]]]:
        """Returns the different counts that were accepted for each window."""
        found: dict[int, list[dict[str, int]]] = {}
        with self.lock:
            for call in self.calls:
                if call.subject == "/usage" and call.status == 200:
                    counts = found.setdefault(call.body["Window"], [])
                    if call.body["Counts"] not in counts:
                        counts.append(call.body["Counts"])
        return found

    def close(self) -> None:
        self.closed.set()
        self.server.shutdown()
        self.server.server_close()
