"""Server side of one caller connection: reads requests and writes responses."""

import contextlib
import select
import socket
import threading
import time

import h11
import msgspec

from ..memory import policy
from ..memory.callers import CallerMemory, Upload, head_cost_bytes, no_memory
from ..protocol.headers import RawHeaders
from ..protocol.routing import CallerLimits
from .sockets import (
    CallerGone,
    is_disconnected,
    joined_if_small,
    send_all,
    wait_for,
)

# A caller that accepts no data for this long is treated as disconnected.
WRITE_TIMEOUT_S = 10.0
# Progress of a large answer is noted after each part of this size.
SEND_BYTES = 65_536
# Unread input is discarded before a close. Closing with unread input would reset the
# connection, and the caller could lose the response.
MAX_DISCARDED_BYTES = 262_144
DISCARD_TIMEOUT_S = 0.2
# Limit of all reads together; a caller that sends a byte at a time is not waited for.
DISCARD_TOTAL_S = 1.0
DISCARD_BYTES = 16_384
# The parser holds received bytes twice for a moment, in each of the connections.
RECEIVE_BYTES = 32_768


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
    body: bytes | bytearray
    # Time of the first byte, on the monotonic clock.
    arrived_at: float


class CallerConnection:
    """Reads requests from a socket and writes their responses."""

    def __init__(
        self,
        *,
        sock: socket.socket,
        limits: CallerLimits,
        memory: CallerMemory | None = None,
    ):
        self.sock = sock
        self.sock.setblocking(False)
        self.limits = limits
        # Accounts for bodies; without it, only their limit applies.
        self.memory = memory
        self.upload: Upload | None = None
        # Lines and bytes of the head that is being received.
        self.head_seen = (0, 0)
        # Head of the current request, also if its body was refused.
        self.head: IncomingRequest | None = None
        # Time since which no complete head has arrived (monotonic clock), or None.
        self.idle_since: float | None = time.monotonic()
        # Time of the latest progress of an answer that is being sent, or None.
        self.sending_since: float | None = None
        # Unread input that is discarded before a close, in bytes.
        self.discard_bytes = MAX_DISCARDED_BYTES
        self.served = 0
        self.lock = threading.Lock()
        self.ended = False
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
            length = self._read_head(arrived_at, deadline)
            if self.head is None:
                return None
            body = self._read_body(length)
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
        return msgspec.structs.replace(self.head, body=body)

    def _read_head(self, arrived_at: float, deadline: float) -> int | None:
        """Reads the head of a request; returns the length of its body, None if chunked.

        `head` stays None if the caller disconnected. Raises `Refusal` if there is no
        room for a large head.
        """
        while True:
            with self._head_lock():
                event = self.parser.next_event()
                if isinstance(event, h11.Request):
                    return self._accept_head(event, arrived_at)
            if event is not h11.NEED_DATA:
                return None
            received = self._receive(deadline)
            if received is None:
                return None
            self._note_head_bytes(received)
            self.parser.receive_data(received)

    def _head_lock(self) -> contextlib.AbstractContextManager:
        if self.memory is None or not head_cost_bytes(*self.head_seen):
            return contextlib.nullcontext()
        return self.memory.large_heads

    def _note_head_bytes(self, received: bytes) -> None:
        head, _, _ = received.partition(b"\r\n\r\n")
        fields, size = self.head_seen
        self.head_seen = (fields + head.count(b"\n"), size + len(head))

    def _accept_head(self, head: h11.Request, arrived_at: float) -> int | None:
        """Takes a decoded head, and reserves what it takes beyond its connection."""
        self._check_head_size(head)
        if not self._leave_idle():
            return None
        self.head = IncomingRequest(
            method=head.method,
            target=head.target,
            headers=head.headers.raw_items(),
            body=b"",
            arrived_at=arrived_at,
        )
        cost = head_cost_bytes(*self.head_seen)
        if cost and self.memory is not None:
            self.upload = self.memory.begin_upload(self._end_reading)
            self.upload.reserve_head(cost, self._is_waiting_caller)
        return announced_length(head)

    def _check_head_size(self, head: h11.Request) -> None:
        # h11 limits the size only of a head that is still incomplete.
        size = len(head.target) + sum(
            len(name) + len(value) + 4 for name, value in head.headers
        )
        if size > self.limits.max_header_bytes:
            raise BadHead(status=431, reason="the header fields are too large")

    def _read_body(self, length: int | None) -> bytes | bytearray | None:
        """Reads the body once there is room for it; raises `Refusal` if there is none.

        A body over the limit is refused before it is read, if its length is announced.
        """
        if length is not None and length > self.limits.max_body_bytes:
            raise BadHead(status=413, reason="the body is too large")
        # Callers that send a whole body before they read still get a refusal.
        self.discard_bytes = max(MAX_DISCARDED_BYTES, self.limits.max_body_bytes)
        if length != 0 and self.memory is not None and self.upload is None:
            self.upload = self.memory.begin_upload(self._end_reading)
        if length and self.upload is not None:
            self.upload.reserve_length(length, self._is_waiting_caller)
        if self.parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._send(self.parser.send(continue_response))
        # Of a known length, it is not copied as it grows.
        body = bytearray(length or 0)
        received = 0
        # The idle timeout applies between reads of a body as it does between requests.
        while True:
            deadline = time.monotonic() + self.limits.idle_timeout_s
            event = self._next_event(deadline)
            if isinstance(event, h11.Data):
                end = received + len(event.data)
                if end > self.limits.max_body_bytes:
                    raise BadHead(status=413, reason="the body is too large")
                if self.upload is not None:
                    if length is None:
                        self.upload.reserve_growth(end, self._is_waiting_caller)
                    self.upload.note_received(len(event.data))
                body[received:end] = event.data
                received = end
            elif isinstance(event, h11.EndOfMessage):
                if self.upload is not None:
                    self.upload.complete()
                return body
            elif self.upload is not None and self.upload.aborted:
                raise no_memory("slow_upload")
            else:
                return None

    def _is_waiting_caller(self) -> bool:
        return not self.is_disconnected()

    def _end_reading(self) -> None:
        """Ends the reads of this connection, from another thread."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def _leave_idle(self) -> bool:
        """Begins a request; returns False if the connection was ended just before."""
        with self.lock:
            self.idle_since = None
            return not self.ended

    def end_waiting(self) -> bool:
        """Ends a connection that waits for its caller, from another thread.

        Returns False if it has begun a request or sent its answer in the meantime.
        """
        with self.lock:
            if self.idle_since is None and self.sending_since is None:
                return False
            self.ended = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        return True

    def stalled_since(self, now: float) -> float | None:
        """Returns the time of the last progress of a body that has stalled, or None."""
        upload = self.upload
        if upload is None or not upload.receiving or upload.aborted:
            return None
        view = upload.view()
        return view.progress_at if policy.is_stalled(view, now) else None

    def end_upload(self) -> bool:
        """Ends a body that is being received, from another thread.

        Its caller gets a refusal. Returns False if the body has ended in the meantime.
        """
        upload = self.upload
        return upload is not None and self.memory.end_upload(upload)

    def release_body(self) -> None:
        """Gives back the memory of the body of the current request."""
        self.head = None
        if self.upload is not None:
            upload, self.upload = self.upload, None
            upload.close()

    def _next_event(self, deadline: float):
        while (event := self.parser.next_event()) is h11.NEED_DATA:
            received = self._receive(deadline)
            if not received:
                return None
            self.parser.receive_data(received)
        return event

    def _receive(self, deadline: float) -> bytes | None:
        """Returns received bytes, none at the end of the input, or None after an error.

        Raises `TimeoutError` at the deadline.
        """
        while True:
            try:
                return self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                wait_for(self.sock, select.POLLIN, deadline, None)
            except OSError:
                return None

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
        parts = [self.parser.send(head)]
        if body:
            parts += self.parser.send_with_data_passthrough(h11.Data(data=body))
        parts.append(self.parser.send(h11.EndOfMessage()) or b"")
        self._send(*joined_if_small(parts))

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

    def _send(self, *parts: bytes) -> None:
        deadline = time.monotonic() + WRITE_TIMEOUT_S
        try:
            for part in parts:
                view = memoryview(part)
                for start in range(0, len(view), SEND_BYTES):
                    self.sending_since = time.monotonic()
                    send_all(self.sock, view[start : start + SEND_BYTES], deadline)
        except (OSError, TimeoutError):
            self.closing = True
            raise CallerGone from None
        finally:
            self.sending_since = None

    def next_cycle(self) -> bool:
        """Prepares for the next request; returns False if the connection must close."""
        if self.closing or self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        self.head_seen = (0, 0)
        self._note_head_bytes(self.parser.trailing_data[0])
        self.parser.start_next_cycle()
        self.answer_started = False
        self.served += 1
        self.idle_since = time.monotonic()
        return True

    def close(self, *, reset: bool = False) -> None:
        """Closes the connection; `reset` is set if a response is incomplete."""
        self.release_body()
        with contextlib.suppress(OSError):
            if reset:
                self.sock.shutdown(socket.SHUT_RDWR)
            else:
                self._discard_input()
        self.sock.close()

    def _discard_input(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)
        self.sock.settimeout(DISCARD_TIMEOUT_S)
        until = time.monotonic() + DISCARD_TOTAL_S
        piece = bytearray(DISCARD_BYTES)
        discarded = 0
        while discarded < self.discard_bytes and time.monotonic() < until:
            received = self.sock.recv_into(piece)
            if not received:
                return
            discarded += received


def announced_length(head: h11.Request) -> int | None:
    """Returns the announced length of a body, or None if it is chunked."""
    length = 0
    for name, value in head.headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            length = int(value)
    return length
