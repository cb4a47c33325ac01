"""HTTP server base of the simulated services.

A service is a `StandIn` subclass with routes and runs in its own process:
`python -m standins.engine --port 0` prints `ready <port>` and serves until it is
terminated. `POST /faults` with a JSON object sets fields of `faults`.
"""

import argparse
import re
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterable

import msgspec
from cheroot import wsgi

Route = Callable[..., "Response"]


class Response:
    """HTTP response; a streamed body is an iterable of bytes."""

    __slots__ = ("body", "headers", "status")

    def __init__(
        self,
        *,
        status: int = 200,
        body: bytes | Iterable[bytes] = b"",
        headers: dict[str, str] | None = None,
    ):
        self.status = status
        self.body = body
        self.headers = headers or {}


def json_response(value: object, *, status: int = 200) -> Response:
    """Returns a response with the value as its JSON body."""
    return Response(
        status=status,
        body=msgspec.json.encode(value),
        headers={"Content-Type": "application/json"},
    )


class Request:
    """HTTP request with its complete body."""

    __slots__ = ("body", "environ", "method", "path", "query")

    def __init__(self, *, environ: dict):
        from urllib.parse import parse_qsl

        self.environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        self.query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        length = int(environ.get("CONTENT_LENGTH") or 0)
        self.body = environ["wsgi.input"].read(length) if length else b""

    def header(self, name: str) -> str | None:
        """Returns the value of a header, or None if it is absent."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"))


class DropConnection(Exception):
    """Raised by a handler or a streamed body to close the connection at once."""


class ConnectionGateway(wsgi.Gateway_10):
    """Closes the connection when the application raises `DropConnection`."""

    def respond(self):
        try:
            super().respond()
        except DropConnection:
            self.req.sent_headers = True
            self.req.close_connection = True
            self.req.chunked_write = False
            self.req.ready = False


class ZoneLatency:
    """Delays calls from instances in other zones by one round trip.

    The zone is parsed from the name of the instance, `entry-<zone>-<number>`. The full
    round trip is added before the call is handled, so a streamed response incurs it
    once.
    """

    def __init__(self, *, zone: str, one_way_ms: float):
        self.zone = zone
        self.one_way_ms = one_way_ms

    def round_trip_s(self, instance: str | None) -> float:
        """Returns the delay for a call from an instance.

        >>> latency = ZoneLatency(zone="tunis-a", one_way_ms=0.5)
        >>> latency.round_trip_s("entry-tunis-b-0")
        0.001
        >>> latency.round_trip_s("entry-tunis-a-0")
        0.0
        """
        if not self.zone or not instance:
            return 0.0
        zone = instance.removeprefix("entry-").rpartition("-")[0]
        return 0.0 if zone == self.zone else 2 * self.one_way_ms / 1e3

    def wait(self, request: Request) -> None:
        """Sleeps for the round trip of the request."""
        delay_s = self.round_trip_s(request.header("X-Instance"))
        if delay_s:
            time.sleep(delay_s)


class StandIn:
    """WSGI application with routes and faults; base class of the services."""

    def __init__(self, *, faults: msgspec.Struct, threads: int = 64):
        self.faults = faults
        self.threads = threads
        self.routes: list[tuple[str, re.Pattern, Route]] = []
        self.add_route("POST", r"/faults", self.set_faults)
        self.add_route("GET", r"/faults", lambda request: json_response(self.faults))

    def add_route(self, method: str, pattern: str, handler: Route) -> None:
        """Adds a route; the groups of the pattern become arguments of the handler."""
        self.routes.append((method, re.compile(pattern + "$"), handler))

    def set_faults(self, request: Request) -> Response:
        """Updates the given fields of `faults`."""
        changes = msgspec.json.decode(request.body)
        merged = msgspec.to_builtins(self.faults) | changes
        self.faults = msgspec.convert(merged, type(self.faults))
        return json_response(self.faults)

    def handle(self, request: Request) -> Response:
        """Calls the handler of the first matching route."""
        for method, pattern, handler in self.routes:
            match = pattern.match(request.path)
            if match and method in (request.method, "*"):
                return handler(request, *match.groups())
        return json_response({"error": "no such path"}, status=404)

    def __call__(self, environ, start_response):
        response = self.handle(Request(environ=environ))
        headers = list(response.headers.items())
        body = response.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        start_response(f"{response.status} Status", headers)
        return body


def run(stand_in: StandIn, *, host: str = "127.0.0.1", port: int = 0) -> None:
    """Runs the server until SIGTERM; prints `ready <port>` when it listens."""
    server = wsgi.Server(
        (host, port or free_port(host)),
        stand_in,
        numthreads=stand_in.threads,
        request_queue_size=512,
    )
    server.gateway = ConnectionGateway
    server.keep_alive_conn_limit = None
    server.shutdown_timeout = 1
    server.prepare()
    signal.signal(
        signal.SIGTERM, lambda *_: threading.Thread(target=server.stop).start()
    )
    print(f"ready {server.bind_addr[1]}", flush=True)
    server.serve()
    sys.exit(0)


def free_port(host: str) -> int:
    """Returns a port that is currently unused.

    cheroot sets address reuse only for a fixed port, which a service needs to restart
    on the same port after it was killed.
    """
    with socket.create_server((host, 0)) as probe:
        return probe.getsockname()[1]


def argument_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser with the arguments that all services share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--zone", default="", help="zone of this endpoint")
    parser.add_argument("--zone-latency-ms", type=float, default=0.0, help="one way")
    return parser
