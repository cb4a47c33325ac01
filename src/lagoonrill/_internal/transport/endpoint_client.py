"""HTTP client for model engines and plain services.

Each endpoint has its own connection pool. The client does not retry: its user decides
from the type of the failure whether a call may be retried.
"""

import contextlib
import socket
import struct
import threading
from typing import Any, TypeVar
from urllib.parse import urlsplit

import msgspec
import urllib3
from returns.result import Failure, Result, Success
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
)

from ..protocol.endpoint_errors import (
    EndpointBroken,
    EndpointError,
    EndpointInDoubt,
    EndpointNotReached,
    EndpointRefused,
)
from ..protocol.manifest import Endpoint
from .bounded_body import read_body
from .sockets import is_fully_received
from .statuses import MAX_STATUS

T = TypeVar("T")

RECEIVE_BYTES = 65_536
IDLE_CONNECTIONS_PER_ENDPOINT = 64
# Connecting to an endpoint in the same region takes a few milliseconds. A longer wait
# means that the endpoint or the network path to it has failed.
CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
DRAIN_TIMEOUT_S = 0.05
# Limits for a complete response, and for the body of an error that is passed on.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_ERROR_BODY_BYTES = 1024 * 1024
# The kernel treats 0 as no timeout.
MIN_TIMEOUT_S = 0.001
CONNECT_ERRORS = (ConnectTimeoutError, NameResolutionError, NewConnectionError)
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class CallHandle:
    """Allows another thread to abort a call in any phase."""

    __slots__ = ("aborted", "lock", "sock")

    def __init__(self):
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None
        self.aborted = False

    def attach(self, sock: socket.socket) -> None:
        """Sets the socket that `abort` shuts down."""
        with self.lock:
            self.sock = sock
            if self.aborted:
                _shut_down(sock)

    def detach(self) -> None:
        """Releases the socket, which another call may then use."""
        with self.lock:
            self.sock = None

    def abort(self) -> None:
        """Shuts down the socket, so that the call fails immediately."""
        with self.lock:
            self.aborted = True
            if self.sock is not None:
                _shut_down(self.sock)


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


_current_call = threading.local()


class AbortableConnection(HTTPConnection):
    """Attaches its socket to the handle of the call that uses it.

    Headers and body are sent with one system call.
    """

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.outgoing: list[bytes] = []

    def send(self, data: bytes) -> None:
        self.outgoing.append(data)

    def getresponse(self):
        data, self.outgoing = b"".join(self.outgoing), []
        super().send(data)
        return super().getresponse()

    def request(self, *args: Any, **kwargs: Any) -> None:
        self.outgoing = []
        if self.sock is None:
            self.connect()
        handle = getattr(_current_call, "handle", None)
        if handle is not None:
            handle.attach(self.sock)
        super().request(*args, **kwargs)


class ServiceResponse(msgspec.Struct, kw_only=True):
    """A complete response of an endpoint."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    leaving: bool = False

    @property
    def content_type(self) -> str:
        for name, value in self.headers:
            if name.lower() == "content-type":
                return value
        return "application/octet-stream"


class ChunkedDecoder:
    """Decodes the chunked transfer encoding of an HTTP body.

    >>> decoder = ChunkedDecoder()
    >>> decoder.feed(b"3\\r\\nabc\\r\\n2\\r"), decoder.feed(b"\\nde\\r\\n0\\r\\n\\r\\n")
    (b'abc', b'de')
    >>> decoder.ended
    True
    """

    __slots__ = ("ended", "rest")

    def __init__(self):
        self.rest = b""
        self.ended = False

    def feed(self, received: bytes) -> bytes:
        """Returns the content of all chunks that are complete with `received`."""
        if self.rest:
            buffer = self.rest + received
        else:
            buffer = received
            size, _, rest = buffer.partition(b"\r\n")
            if len(rest) > 2 and size.isalnum() and len(rest) == int(size, 16) + 2:
                return rest[:-2]
        content = []
        position = 0
        while True:
            line_end = buffer.find(b"\r\n", position)
            if line_end < 0:
                break
            size = int(buffer[position:line_end].partition(b";")[0], 16)
            chunk_end = line_end + 2 + size
            if len(buffer) < chunk_end + 2:
                break
            position = chunk_end + 2
            if size == 0:
                self.ended = True
                break
            content.append(buffer[line_end + 2 : chunk_end])
        self.rest = buffer[position:]
        return b"".join(content)


class EventSource:
    """The body of a streamed response.

    Reads the socket directly, because urllib3 returns one chunk at a time and does not
    show whether more have arrived; all events received so far are returned together.
    The socket is in blocking mode with `SO_RCVTIMEO`, because Python's socket timeouts
    need a second system call for each read.
    """

    __slots__ = (
        "decoder",
        "endpoint_id",
        "first",
        "handle",
        "leaving",
        "response",
        "sock",
        "timeout_s",
    )

    def __init__(
        self, *, endpoint_id: str, response: urllib3.HTTPResponse, handle: CallHandle
    ):
        self.endpoint_id = endpoint_id
        self.response = response
        self.handle = handle
        self.leaving = response.headers.get("X-Endpoint-State") == "leaving"
        self.sock = handle.sock
        chunked = response.headers.get("Transfer-Encoding", "").lower() == "chunked"
        self.decoder = ChunkedDecoder() if chunked else None
        self.first = self._buffered()

    def _buffered(self) -> bytes:
        """Returns the bytes received together with the headers, without waiting."""
        # urllib3 has no public interface to the bytes that its reader has buffered.
        self.sock.settimeout(0)
        buffered = self.response._fp.fp.read1(RECEIVE_BYTES) or b""
        self.sock.settimeout(None)
        self.timeout_s = 0.0
        return buffered

    def read(self, timeout_s: float) -> bytes:
        """Returns all content received so far, and waits for at least one byte.

        Raises `EndpointBroken` if the response ends or is truncated, and `TimeoutError`
        after `timeout_s` seconds without content.
        """
        if timeout_s != self.timeout_s:
            self._set_timeout(timeout_s)
        while not self.ended:
            if self.first:
                received, self.first = self.first, b""
            else:
                received = self._receive()
            if not received:
                raise EndpointBroken(message="the endpoint closed the connection")
            if self.decoder is None:
                return received
            try:
                content = self.decoder.feed(received)
            except ValueError as error:
                raise EndpointBroken(message="the body is not chunked") from error
            if content:
                return content
        raise EndpointBroken(message="the answer ended early")

    @property
    def ended(self) -> bool:
        return self.decoder is not None and self.decoder.ended

    def _set_timeout(self, timeout_s: float) -> None:
        seconds, fraction = divmod(max(timeout_s, MIN_TIMEOUT_S), 1)
        value = struct.pack("@ll", int(seconds), int(fraction * 1e6))
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)
        self.timeout_s = timeout_s

    def _receive(self) -> bytes:
        try:
            return self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            raise TimeoutError from None
        except OSError as error:
            raise EndpointBroken(message=f"the connection broke: {error}") from error

    def drain(self) -> None:
        """Reads the body to its end, so that the connection can be reused."""
        with contextlib.suppress(TimeoutError, EndpointBroken):
            while not self.ended:
                self.read(DRAIN_TIMEOUT_S)

    def close(self) -> None:
        """Returns the connection to its pool if the body was read completely."""
        self.handle.detach()
        if self.ended and not self.handle.aborted:
            self.sock.settimeout(CONTROL_TIMEOUT_S)
            self.response._fp.close()
            self.response.release_conn()
        else:
            self.response.close()


class EndpointClient:
    """Calls endpoints; `instance` identifies this daemon in each request."""

    def __init__(self, *, instance: str, connect_timeout_s: float = CONNECT_TIMEOUT_S):
        self.instance = instance
        self.connect_timeout_s = connect_timeout_s
        self.lock = threading.Lock()
        self.pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def new_handle(self) -> CallHandle:
        """Returns a handle that can abort one call."""
        return CallHandle()

    def call(
        self,
        endpoint: Endpoint,
        *,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float,
        handle: CallHandle | None = None,
        fresh_connection: bool = False,
    ) -> Result[ServiceResponse, EndpointError]:
        """Sends a request and returns the complete response, whatever its status.

        A call that must not be repeated needs `fresh_connection`. An endpoint may close
        an idle connection while the call is sent; whether the call ran is then in
        doubt, although the endpoint never read it.
        """
        pool = (
            self._new_pool(endpoint.url) if fresh_connection else self._pool(endpoint)
        )
        handle = handle or CallHandle()
        sent = self._send(
            pool, endpoint, method, path, headers, body, timeout_s, handle
        )
        if isinstance(sent, Failure):
            return sent
        response = sent.unwrap()
        # urllib3 closes its socket at the end of a body that ends with the connection.
        ends_by_close = response.length_remaining is None and not response.chunked
        sock = handle.sock.dup() if ends_by_close else None
        try:
            content = read_body(
                response,
                max_bytes=MAX_RESPONSE_BYTES,
                timeout_s=timeout_s,
                decode_content=False,
            )
            if sock is not None and not is_fully_received(sock):
                message = f"{endpoint.id} closed the connection during the upload"
                return Failure(EndpointBroken(message=message))
        except (HTTPError, OSError) as error:
            response.close()
            message = f"{endpoint.id} broke off its answer: {error}"
            return Failure(EndpointBroken(message=message))
        finally:
            handle.detach()
            response.release_conn()
            if sock is not None:
                sock.close()
            if fresh_connection:
                pool.close()
        return Success(
            ServiceResponse(
                status=response.status,
                headers=[
                    (name, value)
                    for name, value in response.headers.items()
                    if name.lower() not in HOP_BY_HOP_HEADERS
                ],
                body=content,
                leaving=response.headers.get("X-Endpoint-State") == "leaving",
            )
        )

    def open_stream(
        self,
        endpoint: Endpoint,
        *,
        body: bytes,
        stream_id: str,
        priority: int,
        timeout_s: float,
        handle: CallHandle,
    ) -> Result[EventSource, EndpointError]:
        """Starts a stream; `timeout_s` limits the wait for its first event."""
        headers = {
            "Content-Type": "application/json",
            "X-Stream-Id": stream_id,
            "X-Priority": str(priority),
        }
        path = "/v1/chat/completions"
        return self._stream(endpoint, "POST", path, headers, body, timeout_s, handle)

    def resume_stream(
        self,
        endpoint: Endpoint,
        *,
        stream_id: str,
        from_token: int,
        timeout_s: float,
        handle: CallHandle,
    ) -> Result[EventSource, EndpointError]:
        """Attaches a reader to a running stream, starting at token `from_token`."""
        path = f"/streams/{stream_id}?from={from_token}"
        return self._stream(endpoint, "GET", path, {}, b"", timeout_s, handle)

    def cancel_stream(
        self, endpoint: Endpoint, *, stream_id: str
    ) -> Result[None, EndpointError]:
        """Cancels a stream; a stream unknown to the engine counts as cancelled."""
        answer = self.call(
            endpoint,
            method="DELETE",
            path=f"/streams/{stream_id}",
            timeout_s=CONTROL_TIMEOUT_S,
        )
        return answer.map(lambda _: None)

    def fetch(
        self,
        endpoint: Endpoint,
        path: str,
        kind: type[T],
        *,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> Result[T, EndpointError]:
        """Fetches a JSON document, for example `/load`, and decodes it into `kind`."""
        answer = self.call(endpoint, method="GET", path=path, timeout_s=timeout_s)
        if isinstance(answer, Failure):
            return answer
        try:
            return Success(msgspec.json.decode(answer.unwrap().body, type=kind))
        except msgspec.DecodeError as error:
            message = f"{endpoint.id} answered {path} in an unknown form: {error}"
            return Failure(EndpointBroken(message=message))

    def close(self) -> None:
        """Closes all idle connections."""
        with self.lock:
            pools, self.pools = self.pools, {}
        for pool in pools.values():
            pool.close()

    def _pool(self, endpoint: Endpoint) -> urllib3.HTTPConnectionPool:
        with self.lock:
            pool = self.pools.get(endpoint.url)
            if pool is None:
                pool = self.pools[endpoint.url] = self._new_pool(endpoint.url)
            return pool

    def _new_pool(self, url: str) -> urllib3.HTTPConnectionPool:
        parts = urlsplit(url)
        pool = urllib3.HTTPConnectionPool(
            parts.hostname,
            parts.port,
            maxsize=IDLE_CONNECTIONS_PER_ENDPOINT,
            block=False,
            retries=False,
        )
        pool.ConnectionCls = AbortableConnection
        return pool

    def _stream(
        self, endpoint, method, path, headers, body, timeout_s, handle
    ) -> Result[EventSource, EndpointError]:
        pool = self._pool(endpoint)
        sent = self._send(
            pool, endpoint, method, path, headers, body, timeout_s, handle
        )
        if isinstance(sent, Failure):
            return sent
        response = sent.unwrap()
        if response.status != 200:
            return Failure(self._refusal(endpoint, response, handle))
        if "Content-Length" in response.headers:
            response.close()
            message = f"{endpoint.id} sent a whole answer where a stream was asked for"
            return Failure(EndpointBroken(message=message))
        return Success(
            EventSource(endpoint_id=endpoint.id, response=response, handle=handle)
        )

    def _refusal(self, endpoint, response, handle) -> EndpointRefused:
        try:
            content = read_body(
                response,
                max_bytes=MAX_ERROR_BODY_BYTES,
                timeout_s=CONTROL_TIMEOUT_S,
                decode_content=False,
            )
        except (HTTPError, OSError):
            # The status is sufficient; the body is optional detail.
            content = b""
        handle.detach()
        response.release_conn()
        return EndpointRefused(
            message=f"{endpoint.id} answered with status {response.status}",
            status=response.status,
            body=content,
        )

    def _send(
        self, pool, endpoint, method, path, headers, body, timeout_s, handle
    ) -> Result[urllib3.HTTPResponse, EndpointError]:
        timeout = urllib3.Timeout(
            connect=min(self.connect_timeout_s, timeout_s), read=timeout_s
        )
        _current_call.handle = handle
        try:
            response = pool.urlopen(
                method,
                path,
                body=body or None,
                headers={**(headers or {}), "X-Instance": self.instance},
                retries=False,
                redirect=False,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
            )
            if response.status > MAX_STATUS:
                handle.detach()
                response.close()
                message = f"{endpoint.id} sent the invalid status {response.status}"
                return Failure(EndpointBroken(message=message))
            return Success(response)
        except CONNECT_ERRORS as error:
            message = f"{endpoint.id} cannot be reached: {error}"
            return Failure(EndpointNotReached(message=message))
        except (HTTPError, OSError) as error:
            handle.detach()
            message = f"{endpoint.id} did not answer: {error}"
            return Failure(EndpointInDoubt(message=message))
        finally:
            _current_call.handle = None
