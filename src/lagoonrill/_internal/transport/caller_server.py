"""The cheroot server of the listener for callers.

Extends cheroot with JSON error bodies, a timeout for receiving a request, immediate
rejection when all threads are busy, and a graceful shutdown that completes all requests
already received.
"""

import contextlib
import io
import select
import socket
import struct
import threading
from collections.abc import Iterator

from cheroot import connections, server, wsgi

from ..coordination.dispatch import error_body
from ..protocol.errors import (
    BadRequest,
    Overloaded,
    RequestError,
    RequestTimeout,
    RunState,
    TooLarge,
)
from ..protocol.settings import CallerSettings
from .caller_watch import CallerWatch

LISTEN_BACKLOG = 1024
# Connections that may be queued for a free thread.
MAX_WAITING_CONNECTIONS = 32
RETRY_AFTER_S = 1
MAX_DISCARDED_BYTES = 262_144


def refusal(status: str, message: str) -> RequestError:
    """Returns the error for a request that cheroot rejects with `status`."""
    number = int(status[:3])
    if number in (413, 414):
        return TooLarge(message=message or "the request is too large")
    if number == 408:
        return RequestTimeout(message="the request did not arrive in time")
    if number < 500:
        return BadRequest(message=message or f"the request was refused: {status}")
    return RequestError(message="the router failed to answer")


def error_response(error: RequestError, status: str) -> bytes:
    """Returns a complete HTTP response with `Connection: close`.

    The headers were not read completely. They may contain the idempotency key of an
    earlier attempt that ran, so the run state is `unknown` and not `not_run`.
    """
    error.run = RunState.UNKNOWN
    body = error_body(error)
    retry = f"Retry-After: {RETRY_AFTER_S}\r\n" if error.http_status == 503 else ""
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{retry}"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


class CallerHTTPRequest(server.HTTPRequest):
    """Parses a request within the time limit.

    The application sets `events` for a response that is sent as it is generated.
    """

    refused = False
    events: Iterator[bytes] | None = None

    def parse_request(self) -> None:
        super().parse_request()
        received = self.server.watch.request_received(self.conn.socket)
        if not (self.ready or received or self.refused) and self.started_request:
            self.simple_response("408 Request Timeout")

    def respond(self) -> None:
        """Sends the response; the request is in flight until the last byte is sent."""
        self.server.count_request(1)
        try:
            super().respond()
        finally:
            self.server.count_request(-1)

    def simple_response(self, status, msg="") -> None:
        """Responds to a request that was rejected before it reached the application."""
        if not self.server.watch.request_received(self.conn.socket):
            # The timeout shuts down the read side, which cheroot sees as end of input.
            status, msg = "408 Request Timeout", ""
        self.refused = True
        self.close_connection = True
        error = refusal(str(status), msg)
        with contextlib.suppress(OSError):
            self.conn.wfile.write(error_response(error, str(status)))
        self.conn.has_unread_input = True


class CallerConnection(server.HTTPConnection):
    """A connection of a caller."""

    RequestHandlerClass = CallerHTTPRequest
    has_unread_input = False

    def communicate(self) -> bool:
        settings = self.server.settings
        self.socket.settimeout(settings.request_timeout_s)
        self.server.watch.expect_request(self.socket, settings.request_timeout_s)
        try:
            return super().communicate()
        finally:
            self.server.watch.request_received(self.socket)

    def close(self) -> None:
        if self.has_unread_input:
            self.discard_input()
        super().close()

    def set_send_timeout(self, timeout_s: float) -> None:
        """Puts the socket into blocking mode and sets `SO_SNDTIMEO`.

        Python's socket timeouts need a second system call for each send.
        """
        seconds, fraction = divmod(timeout_s, 1)
        value = struct.pack("@ll", int(seconds), int(fraction * 1e6))
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, value)
        self.socket.settimeout(None)

    def discard_input(self) -> None:
        """Reads and discards the remaining input.

        Closing a connection with unread input resets it, and the caller could then
        lose the response.
        """
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(0.2)
            discarded = 0
            while discarded < MAX_DISCARDED_BYTES:
                received = self.socket.recv(65_536)
                if not received:
                    return
                discarded += len(received)


class CallerGateway(wsgi.Gateway_10):
    """Gives the application access to its connection and sends streamed responses.

    The items of `events` of a request are sent as chunks directly on the socket, which
    avoids the per-chunk overhead of cheroot and CherryPy.
    """

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ["lagoonrill.request"] = self.req
        return environ

    def respond(self) -> None:
        response = self.req.server.wsgi_app(self.env, self.start_response)
        try:
            if self.req.events is not None:
                self._send_events(self.req.events)
                return
            for chunk in filter(None, response):
                self.write(chunk)
        finally:
            self.req.ensure_headers_sent()
            response.close()

    def _take_headers(self) -> bytes:
        """Returns the headers, so that they are sent together with the first event."""
        connection = self.req.conn
        writer, connection.wfile = connection.wfile, io.BytesIO()
        try:
            self.req.ensure_headers_sent()
            return connection.wfile.getvalue()
        finally:
            connection.wfile = writer

    def _send_events(self, events: Iterator[bytes]) -> None:
        """Sends each item at once; `SO_SNDTIMEO` disconnects a slow caller."""
        connection = self.req.conn
        head = self._take_headers()
        connection.set_send_timeout(self.req.server.settings.slow_client_timeout_s)
        chunked = self.req.chunked_write
        sendall = connection.socket.sendall
        try:
            for item in events:
                data = b"%x\r\n%b\r\n" % (len(item), item) if chunked else item
                if head:
                    data, head = head + data, b""
                sendall(data)
        except OSError:
            # The caller has disconnected or reads too slowly.
            self.req.close_connection = True
            self.req.chunked_write = False


class GracefulConnections(connections.ConnectionManager):
    """Serves requests received before shutdown instead of resetting them."""

    def stop(self) -> None:
        super().stop()
        self.server.socket.settimeout(0)
        while (accepted := self._from_server_socket(self.server.socket)) is not None:
            self.server.process_conn(accepted)

    def close(self) -> None:
        poll = select.poll()
        idle = [c for _, c in self._selector.connections if c is not self.server]
        for connection in idle:
            poll.register(connection.socket, select.POLLIN)
        readable = {descriptor for descriptor, _ in poll.poll(0)}
        for connection in idle:
            if connection.socket.fileno() in readable:
                self.server.process_conn(connection)
            else:
                connection.close()
        self._selector.close()


class CallerServer(wsgi.Server):
    """Serves callers with one thread for each active connection."""

    ConnectionClass = CallerConnection
    keep_alive_conn_limit = None

    def __init__(self, *, settings: CallerSettings, application, watch: CallerWatch):
        super().__init__(
            (settings.host, settings.port),
            application,
            numthreads=settings.threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=settings.idle_timeout_s,
            # No limit on the wait for requests in flight.
            shutdown_timeout=None,
        )
        self.settings = settings
        self.watch = watch
        self.count_lock = threading.Lock()
        self.open_requests = 0
        self.gateway = CallerGateway
        self.max_request_header_size = settings.max_header_bytes

    def prepare(self) -> None:
        super().prepare()
        self._connections._selector.close()
        self._connections = GracefulConnections(self)

    def count_request(self, change: int) -> None:
        """Changes the number of requests in flight."""
        with self.count_lock:
            self.open_requests += change

    def in_flight(self) -> int:
        """Returns the number of requests in flight and of queued connections."""
        return self.open_requests + self.requests._queue.qsize()

    def process_conn(self, conn) -> None:
        """Queues a connection for a thread, or rejects it if the queue is full."""
        waiting = self.requests._queue.qsize()
        # Idle threads have yet to take as many connections off the queue.
        if waiting < MAX_WAITING_CONNECTIONS + self.requests.idle:
            super().process_conn(conn)
            return
        error = Overloaded(
            message="all threads for callers are busy", retry_after_s=RETRY_AFTER_S
        )
        with contextlib.suppress(OSError):
            conn.socket.settimeout(0)
            conn.socket.send(error_response(error, "503 Service Unavailable"))
            conn.socket.recv(65_536)
        conn.close()
