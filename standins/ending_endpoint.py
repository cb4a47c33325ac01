"""Endpoint whose answers end in a chosen way, before or after it reads the upload."""

import contextlib
import enum
import socket
import threading
import time

import h11

from standins.scripted_endpoint import (
    RESET_ON_CLOSE,
    ReceivedRequest,
    encode_response,
    encode_response_head,
    event,
    expected_body,
    read_request,
)
from standins.threaded_listener import ThreadedListener

MAX_HEAD_BYTES = 16_384
# Far below an upload of some MB, so that the client is still writing.
PARTLY_READ_BYTES = 262_144
RECEIVE_BUFFER_BYTES = 65_536
# Lets the answer and the close arrive before the reset.
RESET_DELAY_S = 0.05
# Pause of an endpoint that answers before it reads the upload.
READ_DELAY_S = 0.05
# Longest time for which an endpoint keeps a half-closed connection.
HELD_S = 3.0


class Reads(enum.Enum):
    """How much of the upload the endpoint reads before it ends the answer."""

    WHOLE = "whole"
    # The answer begins before the upload is read, and ends after that.
    WHOLE_AFTER_HEAD = "whole after head"
    PART = "part"
    NOTHING = "nothing"


class Ends(enum.Enum):
    """How the connection ends after the answer."""

    CLOSE = "close"
    RESET = "reset"
    CLOSE_THEN_RESET = "close then reset"


def unframed(request) -> bytes:
    """Returns a whole answer that the close of the connection ends."""
    return encode_response_head(request) + b"\r\n" + expected_body(request)


def with_length(request) -> bytes:
    return encode_response(request, expected_body(request))


def chunked(request) -> bytes:
    body = expected_body(request)
    head = encode_response_head(request) + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


def unframed_stream(request) -> bytes:
    head = encode_response_head(request)
    return head + b"Content-Type: text/event-stream\r\n\r\n" + event(1)


class EndingEndpoint:
    """Listens on loopback and ends the connection after an answer as told.

    With `kept`, each connection first serves one whole request with a length.
    """

    def __init__(
        self,
        *,
        id: str,
        reads: Reads = Reads.WHOLE,
        ends: Ends = Ends.CLOSE,
        answer=unframed,
        kept: bool = False,
        reset_delay_s: float = RESET_DELAY_S,
    ):
        self.id = id
        self.reads = reads
        self.ends = ends
        self.answer = answer
        self.kept = kept
        self.reset_delay_s = reset_delay_s
        self.released = threading.Event()
        self.listener = ThreadedListener(serve=self._serve)
        # Accepted connections inherit it. Without a limit, the kernel can take a whole
        # upload that this endpoint does not read.
        self.listener.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = self.listener.address

    def close(self) -> None:
        self.released.set()
        self.listener.close()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, h11.ProtocolError), sock:
            if self.kept:
                request = read_request(sock, h11.Connection(h11.SERVER))
                if request is None:
                    return
                sock.sendall(with_length(request))
            self._serve_once(sock)

    def _serve_once(self, sock: socket.socket) -> None:
        parser = h11.Connection(h11.SERVER)
        if self.reads is Reads.WHOLE:
            request = read_request(sock, parser)
            if request is None:
                return
            sock.sendall(self.answer(request))
        else:
            request, missing = read_head_only(sock)
            if self.reads is Reads.PART:
                read_bytes(sock, min(missing, PARTLY_READ_BYTES))
            sock.sendall(self.answer(request))
            if self.reads is Reads.WHOLE_AFTER_HEAD:
                time.sleep(READ_DELAY_S)
                read_bytes(sock, missing)
        self._end(sock)

    def _end(self, sock: socket.socket) -> None:
        if self.ends is not Ends.RESET:
            sock.shutdown(socket.SHUT_WR)
        if self.ends is Ends.CLOSE:
            # A close with unread input would reset the connection.
            self.released.wait(HELD_S)
            return
        # The client has the answer before the reset, and may have seen the close.
        time.sleep(self.reset_delay_s)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def read_head_only(sock) -> tuple[ReceivedRequest, int]:
    """Reads a head byte by byte; returns it and the length of the unread body."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        received = sock.recv(1)
        if not received or len(head) > MAX_HEAD_BYTES:
            raise ConnectionError("no request")
        head += received
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(head)
    found = parser.next_event()
    request = ReceivedRequest(
        method=found.method,
        target=found.target,
        headers=found.headers.raw_items(),
        body=b"",
    )
    return request, int(request.header("Content-Length") or 0)


def read_bytes(sock, count: int) -> None:
    while count > 0:
        received = sock.recv(min(count, 65_536))
        if not received:
            raise ConnectionError("the client closed the connection")
        count -= len(received)
