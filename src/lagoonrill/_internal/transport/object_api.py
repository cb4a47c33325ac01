"""Client of the Object API; every failure says whether a write took effect."""

import threading
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from ..protocol.codec import from_json
from ..protocol.errors import (
    StoreConflict,
    StoreError,
    StoreInDoubt,
    StoreRejected,
    StoreUnavailable,
)
from ..protocol.objects import VersionedObject, WatchBatch
from ..protocol.settings import PlatformSettings

POOL_CONNECTIONS = 32
# Added to a watch's own wait before its answer counts as lost.
WATCH_MARGIN_S = 2.0
# Request line and the headers that http.client adds: Host, Accept-Encoding, lengths.
REQUEST_OVERHEAD_BYTES = 110
STATUS_LINE_BYTES = 17
INSTANCE_HEADER = "X-Instance"

# A proxy may send 408 after it passed the call on, so the call is in doubt.
IN_DOUBT_STATUSES = frozenset({408})
CONFLICT_STATUSES = frozenset({409, 412})


class ObjectApiDump(msgspec.Struct, kw_only=True):
    """Counters since the start; bytes include an estimate of the headers."""

    calls: dict[str, int]
    failures: dict[str, int]
    sent_bytes: int
    received_bytes: int


class ObjectApi:
    """The Object API over a pool of connections.

    Nothing is repeated: a call is one HTTP request, and a watch that waits holds one
    connection. Time-outs are those of `PlatformSettings`.
    """

    def __init__(self, *, settings: PlatformSettings, instance: str = ""):
        self.call_timeout_s = settings.call_timeout_s
        self.headers = {INSTANCE_HEADER: instance} if instance else {}
        self.pool = urllib3.connection_from_url(
            settings.object_api_url, maxsize=POOL_CONNECTIONS, retries=False
        )
        self.lock = threading.Lock()
        self.calls: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.sent_bytes = 0
        self.received_bytes = 0

    def close(self) -> None:
        """Closes the idle connections."""
        self.pool.close()

    def dump(self) -> ObjectApiDump:
        """Returns the counters."""
        with self.lock:
            return ObjectApiDump(
                calls=dict(self.calls),
                failures=dict(self.failures),
                sent_bytes=self.sent_bytes,
                received_bytes=self.received_bytes,
            )

    def get(self, name: str) -> Result[VersionedObject | None, StoreError]:
        """Returns the object, or None if there is none of that name."""
        return self._call("get", "GET", object_path(name)).bind(
            lambda answer: self._decoded("get", lambda: read_object(name, answer))
        )

    def create(self, name: str, value: bytes) -> Result[int, StoreError]:
        """Creates an object and returns its version; `StoreConflict` if it exists."""
        return self._put("create", name, value, {"If-None-Match": "*"})

    def update(
        self, name: str, value: bytes, *, version: int
    ) -> Result[int, StoreError]:
        """Replaces the given version; `StoreConflict` if it is not the current one."""
        return self._put("update", name, value, {"If-Match": str(version)})

    def delete(
        self, name: str, *, version: int | None = None
    ) -> Result[None, StoreError]:
        """Deletes an object, if given only at that version.

        An unconditional delete of an absent object succeeds, a conditional one is a
        `StoreConflict`.
        """
        condition = {} if version is None else {"If-Match": str(version)}
        result = self._call("delete", "DELETE", object_path(name), headers=condition)
        return result.bind(lambda answer: self._deleted(answer, version))

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[list[VersionedObject], StoreError]:
        """Returns objects in the order of their names, those after `after`."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        return self._call("list", "GET", f"/objects?{query}").bind(
            lambda answer: self._decoded(
                "list", lambda: from_json(answer.data, list[VersionedObject])
            )
        )

    def watch(
        self, prefix: str, *, since: int, wait_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Waits until something changes after revision `since`, at most `wait_s`.

        The batch is empty if nothing changed; its revision is the next `since`.
        """
        query = urlencode({"prefix": prefix, "since": since, "wait_s": wait_s})
        result = self._call(
            "watch", "GET", f"/watch?{query}", read_timeout_s=wait_s + WATCH_MARGIN_S
        )
        return result.bind(
            lambda answer: self._decoded(
                "watch", lambda: from_json(answer.data, WatchBatch)
            )
        )

    def _put(
        self, kind: str, name: str, value: bytes, condition: dict[str, str]
    ) -> Result[int, StoreError]:
        result = self._call(
            kind, "PUT", object_path(name), headers=condition, body=value
        )
        return result.bind(lambda answer: self._version(kind, name, answer))

    def _version(self, kind, name, answer) -> Result[int, StoreError]:
        if answer.status == 404:
            error = StoreConflict if kind == "update" else StoreRejected
            return self._failed(kind, error(message=f"{kind}: {name} does not exist"))
        return self._decoded(kind, lambda: int(answer.headers["ETag"]))

    def _deleted(self, answer, version: int | None) -> Result[None, StoreError]:
        if answer.status == 404 and version is not None:
            return self._failed("delete", StoreConflict(message="no such object"))
        return Success(None)

    def _decoded(self, kind: str, decode) -> Result:
        """Runs a decoder; an answer that cannot be read counts as lost."""
        try:
            return Success(decode())
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            return self._failed(
                kind, StoreInDoubt(message=f"{kind}: unreadable answer: {error}")
            )

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        read_timeout_s: float | None = None,
    ) -> Result[urllib3.BaseHTTPResponse, StoreError]:
        sent = self.headers | (headers or {})
        self._count_sent(kind, path, sent, body)
        timeout = urllib3.Timeout(
            connect=self.call_timeout_s, read=read_timeout_s or self.call_timeout_s
        )
        try:
            answer = self.pool.urlopen(
                method, path, body=body, headers=sent, timeout=timeout, redirect=False
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return self._failed(kind, StoreUnavailable(message=f"{kind}: {error}"))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._failed(kind, StoreInDoubt(message=f"{kind}: {error}"))
        self._count_received(answer)
        error = status_error(kind, answer)
        return self._failed(kind, error) if error else Success(answer)

    def _count_sent(self, kind, path, headers, body) -> None:
        size = REQUEST_OVERHEAD_BYTES + len(path) + header_bytes(headers)
        with self.lock:
            self.calls[kind] = self.calls.get(kind, 0) + 1
            self.sent_bytes += size + len(body or b"")

    def _count_received(self, answer: urllib3.BaseHTTPResponse) -> None:
        size = STATUS_LINE_BYTES + header_bytes(answer.headers) + len(answer.data)
        with self.lock:
            self.received_bytes += size

    def _failed(self, kind: str, error: StoreError) -> Failure[StoreError]:
        name = f"{kind} {type(error).__name__}"
        with self.lock:
            self.failures[name] = self.failures.get(name, 0) + 1
        return Failure(error)


def object_path(name: str) -> str:
    """Returns the path of an object.

    >>> object_path("status/tunis-a/entry 1")
    '/objects/status/tunis-a/entry%201'
    """
    return f"/objects/{quote(name)}"


def header_bytes(headers) -> int:
    """Returns the size of headers on the wire, each with separator and line end."""
    return sum(len(name) + len(value) + 4 for name, value in headers.items())


def read_object(name: str, answer) -> VersionedObject | None:
    """Returns the object in an answer, None for 404."""
    if answer.status == 404:
        return None
    version = int(answer.headers["ETag"])
    return VersionedObject(name=name, version=version, value=answer.data)


def status_error(kind: str, answer) -> StoreError | None:
    """Returns the error that a status stands for; 404 is left to each call.

    A status of 500 or above may come from a proxy that passed the call on, so only
    400 to 499 prove that nothing was written.
    """
    status = answer.status
    if status in (200, 201, 204, 404):
        return None
    message = f"{kind}: status {status}: {answer.data[:200].decode(errors='replace')}"
    if status in CONFLICT_STATUSES:
        return StoreConflict(message=message)
    if 400 <= status < 500 and status not in IN_DOUBT_STATUSES:
        return StoreRejected(message=message)
    return StoreInDoubt(message=message)
