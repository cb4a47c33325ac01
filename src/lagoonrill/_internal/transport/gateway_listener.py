"""Listener of the gateway, with one thread for each caller connection."""

import contextlib
import math
import socket
import threading
import time
from collections.abc import Callable

import logbook

from ..coordination.forwarding import Forwarder
from ..coordination.routed_request import RequestResolver, RoutedRequest
from ..coordination.sending import CallerBreak
from ..event_log import EventLog
from ..memory import policy
from ..memory.account import Part
from ..memory.callers import CallerMemory
from ..memory.sizes import CONNECTION_BYTES
from ..protocol.headers import HeaderNames, first_value
from ..protocol.refusals import Refusal
from ..protocol.routing import CallerLimits
from ..state.gateway_metrics import GatewayMetrics
from ..state.route_table import RoutingState
from .caller_connection import BadHead, CallerConnection, IncomingRequest
from .sockets import CallerGone, parse_address, set_options

log = logbook.Logger("gateway")

LISTEN_BACKLOG = 1_024
# Interval at which idle connections check for a shutdown.
IDLE_CHECK_S = 0.5
# Smaller than the default stack, which would use too much of a small memory limit.
THREAD_STACK_BYTES = 262_144
# Retry-After while the instance has no configuration yet.
NOT_READY_RETRY_S = 0.5
# Retry-After for requests received during shutdown; another instance serves the retry.
# A request that arrives during a stop gets its final answer this long before the end.
STOP_ANSWER_S = 0.3
STOPPING_RETRY_S = 0.05
# Time for which a new connection waits for the end of an idle one.
CONNECTION_WAIT_S = 0.1
CONNECTION_CHECK_S = 0.005
# Monitoring needs a few connections to the pages; more would only take threads.
MAX_PAGE_CONNECTIONS = 64
# Requests for the pages have no body.
PAGE_LIMITS = CallerLimits(max_body_bytes=8_192)


class GatewayListener:
    """Accepts connections of callers and serves their requests."""

    def __init__(
        self,
        *,
        address: str,
        max_connections: int,
        header_names: HeaderNames,
        routing: RoutingState,
        config_age_s: Callable[[], float],
        forwarder: Forwarder,
        memory: CallerMemory,
        metrics: GatewayMetrics,
        event_log: EventLog,
    ):
        self.address = address
        self.max_connections = max_connections
        self.header_names = header_names
        self.intake = RequestResolver(header_names=header_names)
        self.routing = routing
        # Age of the evidence that the configuration is the newest.
        self.config_age_s = config_age_s
        self.forwarder = forwarder
        self.memory = memory
        self.connection_memory = memory.account.parts[Part.CONNECTIONS]
        memory.account.parts[Part.ANSWERS].relieve = lambda: self.end_one(
            readers_only=True
        )
        self.metrics = metrics
        self.event_log = event_log
        self.socket: socket.socket | None = None
        self.lock = threading.Lock()
        self.connections = 0
        # Connections with a thread that runs, by the id of their object.
        self.served: dict[int, CallerConnection] = {}
        self.requests = 0
        self.stopping = threading.Event()
        self.closed = threading.Event()
        # Monotonic clock, set when a shutdown begins: requests received after
        # `selective_at` are accepted only if their deadline is before `stop_deadline`.
        self.selective_at = math.inf
        self.stop_deadline = math.inf
        self.last_accepted_at = 0.0

    def open(self) -> None:
        """Binds the socket; connections stay in the backlog until `start`."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(parse_address(self.address))
        self.socket.listen(LISTEN_BACKLOG)

    def start(self) -> None:
        """Starts accepting connections."""
        threading.stack_size(THREAD_STACK_BYTES)
        threading.Thread(target=self._accept, name="accept", daemon=True).start()

    def begin_stop(self, *, selective_at: float, stop_deadline: float) -> None:
        """Starts a graceful shutdown: each connection closes after its next response.

        New connections are still accepted, because the load balancer may have no other
        instance to send callers to. From `selective_at` on, requests whose deadline
        is after `stop_deadline` are rejected with a short `Retry-After`.
        """
        self.selective_at = selective_at
        self.stop_deadline = stop_deadline
        self.stopping.set()

    def since_last_accept_s(self) -> float:
        """Returns the seconds since the last connection was accepted."""
        return time.monotonic() - self.last_accepted_at

    def close(self) -> None:
        """Stops accepting connections and closes idle ones."""
        if self.closed.is_set():
            return
        self.closed.set()
        self._accept_backlog()
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def is_idle(self) -> bool:
        """Returns whether no connection is open."""
        with self.lock:
            return self.connections == 0

    def _accept(self) -> None:
        while not self.closed.is_set():
            try:
                sock, _ = self.socket.accept()
            except OSError as error:
                if self.closed.is_set():
                    return
                log.warning("failed to accept a connection: {}", error)
                time.sleep(0.05)
                continue
            self.last_accepted_at = time.monotonic()
            if not self._reserve_connection():
                self.metrics.count("connections_refused")
                self.memory.note_refusal("connections")
                sock.close()
                continue
            self._start_serving(sock)

    def _reserve_connection(self) -> bool:
        """Makes room for a connection, for which another may have to be closed."""
        if not self._has_slot() and not (self.end_one() and self._wait_for_slot()):
            return False
        if not self.connection_memory.take(CONNECTION_BYTES) and not (
            self.end_one()
            and self.connection_memory.wait_and_take(
                CONNECTION_BYTES, timeout_s=CONNECTION_WAIT_S
            )
        ):
            return False
        with self.lock:
            self.connections += 1
        return True

    def _has_slot(self) -> bool:
        with self.lock:
            return self.connections < self.max_connections

    def _wait_for_slot(self) -> bool:
        until = time.monotonic() + CONNECTION_WAIT_S
        while not (found := self._has_slot()) and time.monotonic() < until:
            time.sleep(CONNECTION_CHECK_S)
        return found

    def end_one(self, *, readers_only: bool = False) -> bool:
        """Ends the connection that has waited for its caller the longest.

        Returns False if there is none. With `readers_only`, connections without an
        answer to send are left.
        """
        with self.lock:
            served = dict(self.served)
        now = time.monotonic()
        views = []
        for key, item in served.items():
            idle, sending = item.idle_since, item.sending_since
            if item.ended:
                continue
            stalled = None if readers_only else item.stalled_since(now)
            if stalled is not None:
                view = policy.WaitingView(key=key, since=stalled, is_receiving=True)
            elif sending is not None:
                view = policy.WaitingView(key=key, since=sending, is_sending=True)
            elif idle is not None and not readers_only:
                view = policy.WaitingView(key=key, since=idle, served=item.served)
            else:
                continue
            views.append(view)
        chosen = policy.choose_waiting(views, now=now)
        if chosen is None:
            return False
        if chosen.is_receiving:
            return served[chosen.key].end_upload()
        if not served[chosen.key].end_waiting():
            return False
        reason = "slow_reader" if chosen.is_sending else "idle_connection"
        self.memory.note_refusal(reason)
        return True

    def _end_connection(self) -> None:
        with self.lock:
            self.connections -= 1
        self.connection_memory.give_back(CONNECTION_BYTES)

    def _accept_backlog(self) -> None:
        """Accepts the connections in the backlog, which `close` would reset.

        Their requests are refused with an answer that says that they have not run.
        """
        self.socket.setblocking(False)
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError as error:
                if not isinstance(error, BlockingIOError):
                    log.warning("failed to accept the last connections: {}", error)
                return
            sock.setblocking(True)
            if not self._reserve_connection():
                self.metrics.count("connections_refused")
                sock.close()
                continue
            self._start_serving(sock)

    def _start_serving(self, sock: socket.socket) -> None:
        """Serves a connection in a new thread, or closes it if none can be started."""
        thread = threading.Thread(
            target=self._serve_socket, args=(sock,), name="caller", daemon=True
        )
        try:
            thread.start()
        except RuntimeError as error:
            # There is no memory for another stack. Open connections are not affected.
            log.warning("connection refused, no thread can be started: {}", error)
            self.metrics.count("connections_refused")
            sock.close()
            self._end_connection()

    def _serve_socket(self, sock: socket.socket) -> None:
        table = self.routing.table
        limits = table.config.limits if table else CallerLimits()
        connection = CallerConnection(sock=sock, limits=limits, memory=self.memory)
        with self.lock:
            self.served[id(connection)] = connection
        reset = False
        try:
            set_options(sock)
            while self._wait_for_request(connection) and self._serve(connection):
                pass
        except (CallerGone, CallerBreak):
            reset = True
        except OSError as error:
            self.event_log.emit("caller_connection_failed", error=str(error))
            reset = True
        except Exception:
            log.exception("connection closed after an internal error")
            reset = True
        finally:
            with self.lock:
                del self.served[id(connection)]
            try:
                connection.close(reset=reset)
            finally:
                self._end_connection()

    def _wait_for_request(self, connection: CallerConnection) -> bool:
        idle_until = time.monotonic() + connection.limits.idle_timeout_s
        while time.monotonic() < idle_until:
            if connection.wait_for_request(IDLE_CHECK_S):
                return True
            if self.closed.is_set():
                return False
        return False

    def _serve(self, connection: CallerConnection) -> bool:
        """Serves one request; returns whether the connection stays open."""
        incoming = None
        try:
            incoming = connection.read_request()
            if incoming is None:
                return False
            if self._closes_after(incoming):
                connection.closing = True
            if self.closed.is_set():
                raise Refusal(503, "stopping", retry_after_s=STOPPING_RETRY_S)
            self._answer(connection, incoming)
        except Refusal as refusal:
            # If the body was not read, the next request cannot be found.
            connection.closing |= incoming is None
            self._refuse(connection, incoming or connection.head, refusal)
        except BadHead as error:
            connection.closing = True
            refusal = Refusal(error.status, error.reason)
            self._refuse(connection, connection.head, refusal)
        connection.release_body()
        # A response that started before the shutdown had no `Connection: close`.
        return connection.next_cycle() and not self.stopping.is_set()

    def _closes_after(self, incoming: IncomingRequest) -> bool:
        options = first_value(incoming.headers, "Connection") or ""
        return self.stopping.is_set() or "close" in options.lower()

    def _answer(self, connection: CallerConnection, incoming: IncomingRequest) -> None:
        request_id = first_value(incoming.headers, self.header_names.request_id) or ""
        route = ""
        with self.lock:
            self.requests += 1
        try:
            table = self.routing.table
            if table is None:
                raise Refusal(
                    503,
                    "no_configuration",
                    remedy="Retry after the time given.",
                    retry_after_s=NOT_READY_RETRY_S,
                )
            request = self.intake.accept(incoming, table)
            route = request.route.name
            self._check_time_left(request)
            if self.stopping.is_set():
                latest = self.stop_deadline - STOP_ANSWER_S
                request.deadline = min(request.deadline, latest)
            self.event_log.emit(
                "request_received",
                request=request.id,
                route=route,
                service=request.service,
                team=request.team,
                priority=request.priority,
                time_limit_s=round(request.deadline - request.arrived_at, 3),
                config=request.config_version,
            )
            self.forwarder.serve(request, connection)
        except Refusal as refusal:
            self._refuse(connection, incoming, refusal, route)
        except CallerGone as error:
            self._log_end(
                "request_cancelled", request_id, route, incoming, **error.progress
            )
            self.metrics.count("requests", route=route, outcome="cancelled")
            raise
        except CallerBreak as error:
            self._log_end(
                "stream_broken_off",
                request_id,
                route,
                incoming,
                reason=str(error),
                **error.progress,
            )
            self.metrics.count("requests", route=route, outcome="broken_off")
            raise
        finally:
            with self.lock:
                self.requests -= 1

    def _check_time_left(self, request: RoutedRequest) -> None:
        late = time.monotonic() > self.selective_at
        if late and request.deadline > self.stop_deadline:
            raise Refusal(
                503,
                "stopping",
                remedy="Retry; another instance serves the request.",
                retry_after_s=STOPPING_RETRY_S,
            )

    def _log_end(self, event, request_id, route, incoming, **fields) -> None:
        elapsed_s = time.monotonic() - incoming.arrived_at
        self.event_log.emit(
            event,
            request=request_id,
            route=route,
            elapsed_ms=round(elapsed_s * 1000),
            **fields,
        )

    def _refuse(
        self,
        connection: CallerConnection,
        incoming: IncomingRequest | None,
        refusal: Refusal,
        route: str = "",
    ) -> None:
        request_id = ""
        if incoming is not None:
            request_id = (
                first_value(incoming.headers, self.header_names.request_id) or ""
            )
            self._log_end(
                "request_refused",
                request_id,
                route,
                incoming,
                status=refusal.status,
                reason=refusal.reason,
                retry_after_s=refusal.retry_after_s,
                config=self.routing.version,
                config_age_ms=round(self.config_age_s() * 1000),
            )
        self.metrics.count("refusals", route=route, reason=refusal.reason[:40])
        headers = refusal.headers()
        if request_id:
            name = self.header_names.request_id.encode()
            headers.append((name, request_id.encode("latin-1")))
        connection.send_complete(
            refusal.status, refusal.phrase, headers, refusal.body()
        )


class TextListener:
    """Serves readiness, metrics and the state dump over HTTP.

    `pages` maps paths to functions that return a status and a text body.
    """

    def __init__(self, *, address: str, pages: dict):
        self.address = address
        self.pages = pages
        self.socket: socket.socket | None = None
        self.free = threading.BoundedSemaphore(MAX_PAGE_CONNECTIONS)

    def start(self) -> None:
        """Binds the socket and serves each connection in its own thread."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(parse_address(self.address))
        self.socket.listen(16)
        threading.Thread(target=self._accept, name="pages", daemon=True).start()

    def close(self) -> None:
        """Closes the listening socket."""
        self.socket.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            if not self.free.acquire(blocking=False):
                sock.close()
                continue
            thread = threading.Thread(
                target=self._serve, args=(sock,), name="page", daemon=True
            )
            try:
                thread.start()
            except RuntimeError as error:
                log.warning("page refused, no thread can be started: {}", error)
                sock.close()
                self.free.release()

    def _serve(self, sock: socket.socket) -> None:
        connection = CallerConnection(sock=sock, limits=PAGE_LIMITS)
        try:
            set_options(sock)
            while connection.wait_for_request(PAGE_LIMITS.idle_timeout_s):
                request = connection.read_request()
                if request is None:
                    break
                self._answer(connection, request)
                if not connection.next_cycle():
                    break
        except (BadHead, CallerGone, OSError) as error:
            log.debug("request not served: {}", error)
        finally:
            connection.close()
            self.free.release()

    def _answer(self, connection: CallerConnection, request: IncomingRequest) -> None:
        path = request.target.partition(b"?")[0].decode("latin-1")
        page = self.pages.get(path)
        status, text = page() if page else (404, "no such page\n")
        reason = b"OK" if status == 200 else b"Unavailable"
        headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        connection.send_complete(status, reason, headers, text.encode())
