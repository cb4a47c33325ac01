"""Simulates the platform's metadata store: objects by kind, lists and watches.

It can refuse all calls, fall silent, discard its change history, come back from an
older copy and paginate lists. The names on the wire are the platform's, so only this
file and the tests of the adapter may use them.
"""

import sys
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

# Copies of the objects are kept for this long.
COPY_LIFETIME_S = 60.0


class StoredCopy(msgspec.Struct, kw_only=True):
    """The objects after a change, at a time on the monotonic clock."""

    at: float
    revision: int
    kinds: dict[str, dict[str, dict]]


class MetadataStore:
    """Objects and their change history; thread-safe."""

    def __init__(self, *, page: int = 500):
        self.page = page
        self.condition = threading.Condition()
        self.revision = 1
        # Incremented when the store comes back from an older copy; None to name none.
        self.era: int | None = 1
        self.copies = [StoredCopy(at=0.0, revision=1, kinds={})]
        self.kinds: dict[str, dict[str, dict]] = {}
        self.changes: list[tuple[int, str, dict, bool]] = []
        self.compacted_revision = 0
        # HTTP status with which all calls are refused; 0 to serve them.
        self.refusal_status = 0
        # While set, no call is answered: connections stay open, and one on which an
        # answer was lost delivers nothing afterwards.
        self.silent = False
        # Returns the time after which a write of a kind is executed without an answer,
        # or None to answer it.
        self.late_s: Callable[[str], float | None] = lambda kind: None
        self.closed = threading.Event()
        self.calls = 0
        self.writes = 0

    def put(self, kind: str, name: str, spec: object) -> None:
        with self.condition:
            self.revision += 1
            found = {
                "Metadata": {"Name": name, "Revision": self.revision},
                "Spec": spec,
                "Status": None,
            }
            self.kinds.setdefault(kind, {})[name] = found
            self._record_change(kind, found, removed=False)

    def delete(self, kind: str, name: str) -> None:
        with self.condition:
            found = self.kinds.get(kind, {}).pop(name, None)
            if found is None:
                return
            self.revision += 1
            self._record_change(kind, found, removed=True)

    def _record_change(self, kind: str, found: dict, *, removed: bool) -> None:
        self.changes.append((self.revision, kind, found, removed))
        now = time.monotonic()
        kinds = {kind: dict(objects) for kind, objects in self.kinds.items()}
        self.copies.append(StoredCopy(at=now, revision=self.revision, kinds=kinds))
        while len(self.copies) > 1 and self.copies[1].at < now - COPY_LIFETIME_S:
            del self.copies[0]
        self.condition.notify_all()

    def restore(self, age_s: float) -> None:
        """Goes back to the copy of `age_s` seconds ago; revisions are reused."""
        with self.condition:
            at = time.monotonic() - age_s
            kept = [copy for copy in self.copies if copy.at <= at]
            self.copies = kept or self.copies[:1]
            copy = self.copies[-1]
            self.revision = copy.revision
            self.kinds = {kind: dict(items) for kind, items in copy.kinds.items()}
            self.changes = [item for item in self.changes if item[0] <= self.revision]
            if self.era is not None:
                self.era += 1
            self.condition.notify_all()

    def drop_history(self) -> None:
        """Discards the change history; watches from earlier revisions get 410."""
        with self.condition:
            self.changes.clear()
            self.compacted_revision = self.revision
            self.condition.notify_all()

    def list(self, kind: str, after: str) -> dict:
        with self.condition:
            names = sorted(n for n in self.kinds.get(kind, {}) if n > after)
            items = [self.kinds[kind][name] for name in names[: self.page]]
            more = len(names) > self.page
            return {"Items": items, "More": more, "StoreRevision": self.revision}

    def watch(self, kind: str, since: int, wait_s: float) -> tuple[int, dict]:
        def events():
            return [
                {"Removed": removed, "Object": found}
                for revision, changed, found, removed in self.changes
                if changed == kind and revision > since
            ]

        with self.condition:
            self.condition.wait_for(
                lambda: (
                    events()
                    or not self.compacted_revision <= since <= self.revision
                    or self.refusal_status
                ),
                wait_s,
            )
            if not self.compacted_revision <= since <= self.revision:
                return 410, {}
            return 200, {"events": events(), "StoreRevision": self.revision}


class DisconnectTolerantServer(ThreadingHTTPServer):
    """HTTP server that ignores clients which disconnect before the response."""

    request_queue_size = 64

    def handle_error(self, request, client_address) -> None:
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


class MetadataStoreServer:
    """Serves a `MetadataStore` on loopback."""

    def __init__(self, store: MetadataStore, *, port: int = 0):
        self.store = store

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                length = int(self.headers["Content-Length"])
                found = msgspec.json.decode(self.rfile.read(length))
                kind, name = self.kind_and_name(found["Metadata"]["Name"])

                def create() -> int:
                    if name in store.kinds.get(kind, {}):
                        return 409
                    store.put(kind, name, found["Spec"])
                    return 201

                self.execute(kind, name, create)

            def do_PUT(self):
                length = int(self.headers["Content-Length"])
                found = msgspec.json.decode(self.rfile.read(length))
                kind, name = self.kind_and_name()
                condition = found["Metadata"].get("Revision")

                def replace() -> int:
                    current = store.kinds.get(kind, {}).get(name)
                    if current is None:
                        return 404
                    if condition not in (None, current["Metadata"]["Revision"]):
                        return 409
                    store.put(kind, name, found["Spec"])
                    return 200

                self.execute(kind, name, replace)

            def do_DELETE(self):
                kind, name = self.kind_and_name()

                def remove() -> int:
                    if name not in store.kinds.get(kind, {}):
                        return 404
                    store.delete(kind, name)
                    return 200

                self.execute(kind, name, remove)

            def execute(self, kind: str, name: str, write: Callable[[], int]) -> None:
                """Executes a write and answers it, or executes it late."""
                store.writes += 1
                late_s = store.late_s(kind)
                if store.refusal_status:
                    self.send(store.refusal_status, {})
                    return
                if late_s is None:
                    with store.condition:
                        status = write()
                        found = store.kinds.get(kind, {}).get(name, {})
                    self.send(status, found)
                    return
                timer = threading.Timer(late_s, write)
                timer.daemon = True
                timer.start()
                # The connection returns nothing further.
                store.closed.wait()

            def kind_and_name(self, name: str = "") -> tuple[str, str]:
                names = [unquote(part) for part in self.path.split("/")[3:]]
                return names[0], name or names[1]

            def do_GET(self):
                store.calls += 1
                parts = urlsplit(self.path)
                query = {name: v[0] for name, v in parse_qs(parts.query).items()}
                names = [unquote(part) for part in parts.path.split("/")[3:]]
                if len(names) == 2:
                    self.send(*self.found(*names))
                    return
                kind = names[0]
                status, answer = store.refusal_status, {}
                if not status and "Watch" in query:
                    status, answer = store.watch(
                        kind, int(query["Watch"]), int(query["WaitMs"]) / 1000
                    )
                elif not status:
                    status, answer = 200, store.list(kind, query.get("After", ""))
                self.send(status, answer)

            def found(self, kind: str, name: str) -> tuple[int, dict]:
                """Returns the status and the content of the answer for one object."""
                if store.refusal_status:
                    return store.refusal_status, {}
                with store.condition:
                    found = store.kinds.get(kind, {}).get(name)
                return (200, found) if found else (404, {})

            def send(self, status: int, answer: dict) -> None:
                if store.silent:
                    store.closed.wait()
                    return
                body = msgspec.json.encode(answer)
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                if store.era is not None:
                    self.send_header("Store-Era", str(store.era))
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        self.server = DisconnectTolerantServer(("127.0.0.1", port), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self.store.closed.set()
        self.server.shutdown()
        self.server.server_close()
