"""HTTP client for a store; the error type tells whether a write took effect."""

import http.client
import threading
from collections.abc import Collection

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from ..protocol.errors import (
    StoreCallInterrupted,
    StoreConflict,
    StoreError,
    StoreHistoryGone,
    StoreInDoubt,
    StoreRejected,
    StoreUnavailable,
)
from .bounded_body import read_body
from .sockets import STORE_KEEPALIVE_OPTIONS
from .store_connection import StoreConnection

POOL_CONNECTIONS = 32
# A page of objects has about 1 MB; a watch may return the whole history of changes.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Request line and the headers that http.client adds: Host, Accept-Encoding, lengths.
REQUEST_OVERHEAD_BYTES = 110
STATUS_LINE_BYTES = 17
# A tenth of a link of 10 Mbit/s, the smallest of the instances.
LEAST_BYTES_PER_S = 125_000

# A proxy may return 408 after it forwarded the call, so the outcome is in doubt.
IN_DOUBT_STATUSES = frozenset({408})
CONFLICT_STATUSES = frozenset({409, 412})
HISTORY_GONE_STATUS = 410


class StoreResponse(msgspec.Struct, kw_only=True):
    """A complete response of the store."""

    status: int
    headers: urllib3.HTTPHeaderDict
    data: bytes


class StoreClientDump(msgspec.Struct, kw_only=True):
    """Counters since the start; bytes include an estimate of the headers."""

    calls: dict[str, int]
    failures: dict[str, int]
    sent_bytes: int
    received_bytes: int


class StoreClient:
    """Calls the store over a connection pool.

    There are no retries: each call is one HTTP request, and a waiting watch occupies
    one connection. TCP keep-alive probes close a connection whose peer is unresponsive;
    a peer that acknowledges and never answers is only detected by the read timeout.
    Calls that have to end earlier are made on a `StoreConnection`. With one of
    `refusal_statuses`, the store says that it has done nothing.
    """

    def __init__(
        self,
        *,
        url: str,
        call_timeout_s: float,
        connect_timeout_s: float | None = None,
        headers: dict[str, str] | None = None,
        connections: int = POOL_CONNECTIONS,
        write_timeout_s: float | None = None,
        refusal_statuses: Collection[int] = (),
    ):
        self.call_timeout_s = call_timeout_s
        # Of calls that write, which may be repeated sooner.
        self.write_timeout_s = write_timeout_s or call_timeout_s
        self.refusal_statuses = frozenset(refusal_statuses)
        self.connect_timeout_s = connect_timeout_s or call_timeout_s
        self.headers = headers or {}
        self.pool = urllib3.connection_from_url(
            url,
            maxsize=connections,
            retries=False,
            socket_options=STORE_KEEPALIVE_OPTIONS,
        )
        self.lock = threading.Lock()
        self.calls: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.sent_bytes = 0
        self.received_bytes = 0

    def close(self) -> None:
        """Closes the idle connections."""
        self.pool.close()

    def open_connection(self) -> StoreConnection:
        """Returns a connection of its own, whose calls can be interrupted."""
        return StoreConnection(host=self.pool.host, port=self.pool.port)

    def dump(self) -> StoreClientDump:
        """Returns the counters."""
        with self.lock:
            return StoreClientDump(
                calls=dict(self.calls),
                failures=dict(self.failures),
                sent_bytes=self.sent_bytes,
                received_bytes=self.received_bytes,
            )

    def decoded(self, kind: str, decode) -> Result:
        """Runs a decoder; an invalid response counts as `StoreInDoubt`."""
        try:
            return Success(decode())
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            return self.failed(
                kind, StoreInDoubt(message=f"{kind}: unreadable answer: {error}")
            )

    def call(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        read_timeout_s: float | None = None,
        connection: StoreConnection | None = None,
    ) -> Result[StoreResponse, StoreError]:
        """Makes one call; without `connection`, on a connection of the pool."""
        sent = self.headers | (headers or {})
        self._count_sent(kind, path, sent, body)
        timeout_s = self.call_timeout_s if method == "GET" else self.write_timeout_s
        timeout = urllib3.Timeout(
            connect=self.connect_timeout_s, read=read_timeout_s or timeout_s
        )
        answer = None
        try:
            if connection is None:
                response = self.pool.urlopen(
                    method,
                    path,
                    body=body,
                    headers=sent,
                    timeout=timeout,
                    redirect=False,
                    preload_content=False,
                )
            else:
                response = connection.send(method, path, headers=sent, timeout=timeout)
            answer = self._read_answer(response)
            error = status_error(kind, answer, self.refusal_statuses)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as failure:
            error = StoreUnavailable(message=f"{kind}: {failure}")
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as failure:
            error = StoreInDoubt(message=f"{kind}: {failure}")
        answered = answer is not None
        interrupted = connection and connection.finish(reusable=answered)
        if interrupted and not answered:
            error = StoreCallInterrupted(message=f"{kind}: interrupted")
        return self.failed(kind, error) if error else Success(answer)

    def _read_answer(self, response: urllib3.HTTPResponse) -> StoreResponse:
        answer = StoreResponse(
            status=response.status,
            headers=response.headers,
            data=read_body(
                response,
                max_bytes=MAX_RESPONSE_BYTES,
                timeout_s=self.call_timeout_s,
                least_bytes_per_s=LEAST_BYTES_PER_S,
            ),
        )
        self._count_received(answer)
        return answer

    def _count_sent(self, kind, path, headers, body) -> None:
        size = REQUEST_OVERHEAD_BYTES + len(path) + header_bytes(headers)
        with self.lock:
            self.calls[kind] = self.calls.get(kind, 0) + 1
            self.sent_bytes += size + len(body or b"")

    def _count_received(self, answer: StoreResponse) -> None:
        size = STATUS_LINE_BYTES + header_bytes(answer.headers) + len(answer.data)
        with self.lock:
            self.received_bytes += size

    def failed(self, kind: str, error: StoreError) -> Failure[StoreError]:
        name = f"{kind} {type(error).__name__}"
        with self.lock:
            self.failures[name] = self.failures.get(name, 0) + 1
        return Failure(error)


def header_bytes(headers) -> int:
    """Returns the size of headers on the wire, with separators and line ends."""
    return sum(len(name) + len(value) + 4 for name, value in headers.items())


def status_error(
    kind: str, answer, refusal_statuses: Collection[int] = ()
) -> StoreError | None:
    """Returns the error for a status; 404 is left to each call.

    A status of 500 or above may come from a proxy that forwarded the call, so only 400
    to 499 and `refusal_statuses` prove that nothing was written.
    """
    status = answer.status
    if status in (200, 201, 204, 404):
        return None
    message = f"{kind}: status {status}: {answer.data[:200].decode(errors='replace')}"
    if status == HISTORY_GONE_STATUS:
        return StoreHistoryGone(message=message)
    if status in CONFLICT_STATUSES:
        return StoreConflict(message=message)
    if status in refusal_statuses:
        return StoreUnavailable(message=message)
    if 400 <= status < 500 and status not in IN_DOUBT_STATUSES:
        rejected = StoreRejected(message=message)
        rejected.status = status
        return rejected
    return StoreInDoubt(message=message)
