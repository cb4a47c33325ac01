"""Connections to endpoints, with one request at a time and a pool of idle ones."""

import contextlib
import re
import select
import socket
import threading
import time

import h11

from ..memory.answers import AnswerShare
from ..protocol.headers import RawHeaders, first_value
from .sockets import (
    RECEIVE_BYTES,
    has_input,
    is_fully_received,
    joined_if_small,
    parse_address,
    send_all,
    set_options,
    wait_for,
)
from .statuses import MAX_STATUS

CONNECT_TIMEOUT_S = 0.5
MAX_HEAD_BYTES = 32_768
# Limit for a complete response; equal to the default limit for requests.
MAX_BODY_BYTES = 4 * 1024 * 1024
# A small part of a body takes as long to process as this many bytes, so each part
# counts as at least this size.
MIN_CHUNK_COST_BYTES = 256
# Interim responses, and responses to earlier requests, that are accepted before the
# call fails. A connection serves one request at a time, so more than one response to an
# earlier request is rare.
MAX_INTERIM_RESPONSES = 8
MAX_MISMATCHED_RESPONSES = 4
MAX_IDLE_PER_ENDPOINT = 32
# All instances together may keep this share of the connections that an endpoint accepts
# idle.
MAX_IDLE_SHARE = 0.5
# Assumed idle timeout of an endpoint that does not announce one.
DEFAULT_IDLE_S = 4.0
# Idle timeouts are announced in whole seconds, so the actual one may be up to a second
# shorter.
IDLE_MARGIN_S = 1.0

# Reason of a call that failed as all answers together take too much memory.
NO_ANSWER_MEMORY = "no_answer_memory"

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


class EndpointFailure(Exception):
    """A call to an endpoint failed.

    `may_have_run` is False only if the request certainly did not run.
    """

    def __init__(self, reason: str, *, may_have_run: bool):
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run


class NoAnswerMemory(EndpointFailure):
    """All answers together take all the memory they may; no fault of the endpoint."""

    def __init__(self):
        super().__init__(NO_ANSWER_MEMORY, may_have_run=True)


class ResponseHead:
    """Status and headers of a response."""

    __slots__ = ("headers", "reason", "status")

    def __init__(self, *, status: int, reason: bytes, headers: RawHeaders):
        self.status = status
        self.reason = reason
        self.headers = headers

    def value(self, name: str) -> str | None:
        return first_value(self.headers, name)


class EndpointConnection:
    """A connection to one endpoint that serves one request at a time."""

    def __init__(self, *, address: str, incarnation: int = 0):
        self.address = address
        self.incarnation = incarnation
        self.sock: socket.socket | None = None
        self.parser = self._new_parser()
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S
        self.served = 0
        # The part of the request that has not been sent yet.
        self.unsent = memoryview(b"")
        self.reusable = True
        # Whether the rest is sent while the response is read.
        self.sends_rest = True
        self.ended_by_peer = False

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def connect(self, deadline: float, caller: socket.socket | None) -> None:
        """Opens the connection; if this fails, no request data has been sent."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            set_options(sock)
            sock.setblocking(False)
            limit = min(deadline, time.monotonic() + CONNECT_TIMEOUT_S)
            with contextlib.suppress(BlockingIOError):
                sock.connect(parse_address(self.address))
            wait_for(sock, select.POLLOUT, limit, caller)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                raise OSError(error, "connect failed")
        except (OSError, ValueError) as error:
            sock.close()
            raise EndpointFailure(
                f"connect: {type(error).__name__}", may_have_run=False
            ) from error
        except BaseException:
            sock.close()
            raise
        self.sock = sock

    def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: bytes,
        deadline: float,
        caller: socket.socket | None,
    ) -> None:
        """Sends a complete request.

        An endpoint may respond before it has read the whole body. The rest is then sent
        while the response is awaited, unless the response has a length or chunks: it is
        complete without the rest. The connection is then not reused, because the
        endpoint would read the next request as the rest of that body.
        """
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self.parser.send(request)]
        if body:
            data = h11.Data(data=body)
            parts += self.parser.send_with_data_passthrough(data)
        parts.append(self.parser.send(h11.EndOfMessage()) or b"")
        try:
            self.unsent = self._send_parts(joined_if_small(parts), deadline, caller)
        except TimeoutError:
            raise
        except OSError as error:
            raise EndpointFailure(
                f"send: {type(error).__name__}", may_have_run=True
            ) from error

    def _send_parts(
        self, parts: list[bytes], deadline: float, caller: socket.socket | None
    ) -> memoryview:
        """Sends until the endpoint responds; returns what was not sent."""
        for index, part in enumerate(parts):
            rest = send_all(self.sock, part, deadline, caller, stop_on_input=True)
            if rest:
                following = b"".join(parts[index + 1 :])
                # The body comes last unless it is chunked, and is then not copied.
                return memoryview(b"".join((rest, following))) if following else rest
        return memoryview(b"")

    def read_head(
        self,
        *,
        deadline: float,
        caller: socket.socket | None,
        id_header: str,
        id: str,
        share: AnswerShare,
    ) -> ResponseHead:
        """Returns the head of the response to request `id`.

        An endpoint may send a second response to an earlier request. Such a response
        has a different id and is skipped; after a response without an id, the
        connection is not reused.
        """
        interim = others = 0
        while True:
            event = self._next_event(deadline, caller)
            if isinstance(event, h11.InformationalResponse):
                interim += 1
                if interim > MAX_INTERIM_RESPONSES:
                    raise EndpointFailure("too many interim answers", may_have_run=True)
                continue
            if not isinstance(event, h11.Response):
                raise EndpointFailure("closed before the answer", may_have_run=True)
            head = ResponseHead(
                status=event.status_code,
                reason=bytes(event.reason),
                headers=event.headers.raw_items(),
            )
            if head.status > MAX_STATUS:
                raise EndpointFailure(
                    f"invalid status: {head.status}", may_have_run=True
                )
            if head.value(id_header) not in (None, id):
                others += 1
                if not self.served or others > MAX_MISMATCHED_RESPONSES:
                    raise EndpointFailure("answer of another id", may_have_run=True)
                self._skip_response(deadline, caller, share)
                continue
            self._update_reuse(head)
            if id and head.value(id_header) is None:
                # Sent again later, it could not be told from the next response.
                self.reusable = False
            return head

    def _update_reuse(self, head: ResponseHead) -> None:
        options = (head.value("Connection") or "").lower()
        if "close" in options:
            self.reusable = False
        found = _KEEP_ALIVE_TIMEOUT.search(head.value("Keep-Alive") or "")
        if found:
            self.idle_limit_s = max(0.0, int(found.group(1)) - IDLE_MARGIN_S)
        framed = head.value("Content-Length") or head.value("Transfer-Encoding")
        if framed is None:
            self.reusable = False
        else:
            self.sends_rest = False

    def _skip_response(
        self, deadline: float, caller: socket.socket | None, share: AnswerShare
    ) -> None:
        self.read_body(deadline=deadline, caller=caller, share=share)
        rest, _ = self.parser.trailing_data
        parser = self._new_parser()
        # The parser needs a request before it can read the next response. The content
        # of this one does not matter: only the framing of the response is parsed.
        parser.send(h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"-")]))
        parser.send(h11.EndOfMessage())
        if rest:
            parser.receive_data(rest)
        self.parser = parser
        self.reusable = False

    def read_body(
        self, *, deadline: float, caller: socket.socket | None, share: AnswerShare
    ) -> bytes:
        """Returns the complete body; a body above `MAX_BODY_BYTES` is a failure.

        Raises `NoAnswerMemory` if the budget of `share` does not have the memory.
        """
        body = bytearray()
        counted = 0
        while (data := self.read_data(deadline=deadline, caller=caller)) is not None:
            if not share.grow(len(data)):
                raise NoAnswerMemory
            body += data
            counted += max(len(data), MIN_CHUNK_COST_BYTES)
            if counted > MAX_BODY_BYTES:
                raise EndpointFailure("the answer is too large", may_have_run=True)
        return bytes(body)

    def read_data(
        self, *, deadline: float, caller: socket.socket | None
    ) -> bytes | None:
        """Returns the next part of the body, or None at its regular end."""
        event = self._next_event(deadline, caller)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self.ended_by_peer:
                self._check_close()
            return None
        raise EndpointFailure("the answer ended early", may_have_run=True)

    def _check_close(self) -> None:
        """Raises `EndpointFailure` unless the close is the regular end of a response.

        The close of an endpoint that has failed looks the same as that of one that has
        finished. An endpoint that has read the whole request has acknowledged it before
        its close arrives.
        """
        if self.unsent or not is_fully_received(self.sock):
            raise EndpointFailure("closed during the upload", may_have_run=True)

    def _next_event(self, deadline: float, caller: socket.socket | None):
        try:
            while (event := self.parser.next_event()) is h11.NEED_DATA:
                # Data has seldom arrived yet, so trying to receive first would cost an
                # extra system call.
                self._wait_for_input(deadline, caller)
                with contextlib.suppress(BlockingIOError):
                    received = self.sock.recv(RECEIVE_BYTES)
                    self.ended_by_peer = not received
                    self.parser.receive_data(received)
            return event
        except h11.RemoteProtocolError as error:
            raise EndpointFailure(
                f"unreadable answer: {str(error)[:80]}", may_have_run=True
            ) from error
        except TimeoutError:
            raise
        except OSError as error:
            raise EndpointFailure(
                f"receive: {type(error).__name__}", may_have_run=True
            ) from error

    def _wait_for_input(self, deadline: float, caller: socket.socket | None) -> None:
        """Waits for input, and sends the rest of the request meanwhile."""
        while self.unsent and self.sends_rest:
            events = select.POLLIN | select.POLLOUT
            if wait_for(self.sock, events, deadline, caller) != select.POLLOUT:
                return
            try:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
            except BlockingIOError:
                continue
            except OSError:
                # A response that has arrived may be complete without the rest.
                self.sends_rest = False
        wait_for(self.sock, select.POLLIN, deadline, caller)

    def finish(self) -> bool:
        """Ends a call; returns whether the connection can be reused."""
        states = (self.parser.our_state, self.parser.their_state)
        if self.unsent or not self.reusable or states != (h11.DONE, h11.DONE):
            self.close()
            return False
        if self.parser.trailing_data[0]:
            self.close()
            return False
        self.parser.start_next_cycle()
        self.sends_rest = True
        self.served += 1
        self.idle_since = time.monotonic()
        return True

    def close(self) -> None:
        """Closes the connection; the endpoint cancels a request that runs on it."""
        if self.sock is not None:
            self.sock.close()


class ConnectionPool:
    """A pool of idle connections, keyed by address."""

    def __init__(self):
        self.lock = threading.Lock()
        self.idle: dict[str, list[EndpointConnection]] = {}
        self.opened = 0
        self.idle_limit = MAX_IDLE_PER_ENDPOINT

    def set_idle_limit(self, max_connections: int, instances: int) -> None:
        """Limits idle connections to this instance's share of `max_connections`.

        0 means that the endpoint has no limit.
        """
        limit = MAX_IDLE_PER_ENDPOINT
        if max_connections:
            part = int(max_connections * MAX_IDLE_SHARE / max(1, instances))
            limit = max(1, min(limit, part))
        self.idle_limit = limit

    def take(
        self, address: str, *, incarnation: int, max_idle_s: float
    ) -> EndpointConnection | None:
        """Returns an idle connection without pending input or errors, or None."""
        now = time.monotonic()
        while True:
            with self.lock:
                waiting = self.idle.get(address)
                if not waiting:
                    return None
                connection = waiting.pop()
            idle_s = now - connection.idle_since
            if (
                connection.incarnation == incarnation
                and idle_s < min(max_idle_s, connection.idle_limit_s)
                and not has_input(connection.sock)
            ):
                return connection
            connection.close()

    def put(self, connection: EndpointConnection) -> None:
        """Returns a connection to the pool after its `finish` returned True."""
        with self.lock:
            waiting = self.idle.setdefault(connection.address, [])
            if len(waiting) < self.idle_limit:
                waiting.append(connection)
                return
        connection.close()

    def keep_only(self, addresses: set[str]) -> None:
        """Closes the idle connections to all addresses not in `addresses`."""
        with self.lock:
            gone = [name for name in self.idle if name not in addresses]
            closed = [item for name in gone for item in self.idle.pop(name)]
        for connection in closed:
            connection.close()

    def new(self, address: str, *, incarnation: int) -> EndpointConnection:
        """Returns a new connection that is not yet open."""
        with self.lock:
            self.opened += 1
        return EndpointConnection(address=address, incarnation=incarnation)
