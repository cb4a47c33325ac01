"""Server side of one caller connection: reads requests and writes responses."""

import contextlib
import select
import socket
import time

import h11
import msgspec

from ..protocol.headers import RawHeaders
from ..protocol.routing import CallerLimits
from .sockets import RECEIVE_BYTES, CallerGone, is_disconnected, send_all, wait_for

# A caller that accepts no data for this long is treated as disconnected.
WRITE_TIMEOUT_S = 10.0
# Unread input is discarded before a close. Closing with unread input would reset the
# connection, and the caller could lose the response.
MAX_DISCARDED_BYTES = 262_144
DISCARD_TIMEOUT_S = 0.2


class BadHead(Exception):
    """A request that cannot be accepted; `status` is the status of the response."""

    def __init__(self, *, status: int, reason: str):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class IncomingRequest(msgspec.Struct, kw_only=True):
    """A request as received; `headers` keep their case and order."""

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes
    # Time of the first byte, on the monotonic clock.
    arrived_at: float


class CallerConnection:
    """Reads requests from a socket and writes their responses."""

    def __init__(self, *, sock: socket.socket, limits: CallerLimits):
        self.sock = sock
        self.sock.setblocking(False)
        self.limits = limits
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self.closing = False
        self.answer_started = False
        # Head of a streamed response; it is sent together with the first event.
        self.pending_head = b""

    def is_disconnected(self) -> bool:
        """Returns whether the caller has closed or reset the connection."""
        return is_disconnected(self.sock)

    def wait_for_request(self, timeout_s: float) -> bool:
        """Waits for the first byte of a request for up to `timeout_s` seconds."""
        if self.parser.trailing_data[0]:
            return True
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(timeout_s * 1000))

    def read_request(self) -> IncomingRequest | None:
        """Reads a complete request; returns None if the caller disconnected."""
        arrived_at = time.monotonic()
        deadline = arrived_at + self.limits.header_timeout_s
        try:
            head = self._next_event(deadline)
            if not isinstance(head, h11.Request):
                return None
            self._check_head_size(head)
            if self.parser.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                self._send(self.parser.send(continue_response))
            body = self._read_body()
        except h11.RemoteProtocolError as error:
            raise BadHead(
                status=error.error_status_hint or 400, reason=str(error)
            ) from error
        except TimeoutError:
            raise BadHead(
                status=408, reason="the request did not arrive in time"
            ) from None
        if body is None:
            return None
        return IncomingRequest(
            method=head.method,
            target=head.target,
            headers=head.headers.raw_items(),
            body=body,
            arrived_at=arrived_at,
        )

    def _check_head_size(self, head: h11.Request) -> None:
        # h11 limits the size only of a head that is still incomplete.
        size = len(head.target) + sum(
            len(name) + len(value) + 4 for name, value in head.headers
        )
        if size > self.limits.max_header_bytes:
            raise BadHead(status=431, reason="the header fields are too large")

    def _read_body(self) -> bytes | None:
        body = bytearray()
        # The idle timeout applies between reads of a body as it does between requests.
        while True:
            deadline = time.monotonic() + self.limits.idle_timeout_s
            event = self._next_event(deadline)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.limits.max_body_bytes:
                    raise BadHead(status=413, reason="the body is too large")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                return None

    def _next_event(self, deadline: float):
        while (event := self.parser.next_event()) is h11.NEED_DATA:
            try:
                received = self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                wait_for(self.sock, select.POLLIN, deadline, None)
                continue
            except OSError:
                return None
            if not received and self.parser.their_state is h11.SEND_BODY:
                return None
            self.parser.receive_data(received)
        return event

    def send_complete(
        self, status: int, reason: bytes, headers: RawHeaders, body: bytes
    ) -> None:
        """Sends a complete response."""
        length = (b"Content-Length", b"%d" % len(body))
        head = h11.Response(
            status_code=status,
            reason=reason,
            headers=[*headers, length, *self._connection_header()],
        )
        self.answer_started = True
        data = self.parser.send(head)
        if body:
            data += self.parser.send(h11.Data(data=body)) or b""
        data += self.parser.send(h11.EndOfMessage()) or b""
        self._send(data)

    def start_stream(self, status: int, reason: bytes, headers: RawHeaders) -> None:
        """Starts a response of unknown length; its head is sent with the first data."""
        head = h11.Response(
            status_code=status,
            reason=reason,
            headers=[
                *headers,
                (b"Transfer-Encoding", b"chunked"),
                *self._connection_header(),
            ],
        )
        self.answer_started = True
        self.pending_head = self.parser.send(head)

    def send_data(self, data: bytes) -> None:
        """Sends a part of a streamed response."""
        framed = self.parser.send(h11.Data(data=data)) or b""
        head, self.pending_head = self.pending_head, b""
        self._send(head + framed)

    def end_stream(self) -> None:
        """Sends the end of a streamed response."""
        data = self.parser.send(h11.EndOfMessage()) or b""
        head, self.pending_head = self.pending_head, b""
        self._send(head + data)

    def _connection_header(self) -> RawHeaders:
        return [(b"Connection", b"close")] if self.closing else []

    def _send(self, data: bytes) -> None:
        try:
            send_all(self.sock, data, time.monotonic() + WRITE_TIMEOUT_S)
        except (OSError, TimeoutError):
            self.closing = True
            raise CallerGone from None

    def next_cycle(self) -> bool:
        """Prepares for the next request; returns False if the connection must close."""
        if self.closing or self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        self.answer_started = False
        return True

    def close(self, *, reset: bool = False) -> None:
        """Closes the connection; `reset` is set if a response is incomplete."""
        with contextlib.suppress(OSError):
            if reset:
                self.sock.shutdown(socket.SHUT_RDWR)
            else:
                self._discard_input()
        self.sock.close()

    def _discard_input(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)
        self.sock.settimeout(DISCARD_TIMEOUT_S)
        discarded = 0
        while discarded < MAX_DISCARDED_BYTES:
            received = self.sock.recv(RECEIVE_BYTES)
            if not received:
                return
            discarded += len(received)
