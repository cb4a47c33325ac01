"""Stand-ins of workers that follow the users' PROTOCOL.md."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable

from standins.metadata_store import MetadataStore

# Value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# An entry is removed after three check-in intervals of silence (PROTOCOL.md).
ENTRY_LIFETIME_S = 3 * 1.2
# Of the sheets: prompt tokens that an engine reads in a second.
PREFILL_TOKENS_PER_S = 36_100
MAX_HEAD_BYTES = 65_536
# In all answers of a worker that leaves (news page).
LEAVING_LINE = "Server-Leaving: 1\r\n"
# Of a request that names no time limit.
MAX_DEADLINE_MS = 60_000


class Request:
    """A request as the worker received it; header names are in lower case."""

    def __init__(self, *, method: str, target: str, headers: dict, body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        return self.headers.get("attempt-id", "")


class Reader:
    """Reads requests from a socket."""

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.rest = b""

    def next(self) -> Request | None:
        """Returns the next request, or None at the end of the connection."""
        while b"\r\n\r\n" not in self.rest:
            if not self._receive() or len(self.rest) > MAX_HEAD_BYTES:
                return None
        head, _, self.rest = self.rest.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        while len(self.rest) < length:
            if not self._receive():
                return None
        body, self.rest = self.rest[:length], self.rest[length:]
        return Request(method=method, target=target, headers=headers, body=body)

    def _receive(self) -> bool:
        data = self.sock.recv(65_536)
        self.rest += data
        return bool(data)


class ModelWorker:
    """A model worker: reads prompts one after the other, then streams events.

    Each start is a lifetime of its own, also under the same id and address. Events name
    the version of the software that wrote them. `began` is called with the request, the
    id of the worker and its version when a request begins to run.
    """

    def __init__(
        self,
        *,
        id: str,
        zone: str,
        store: MetadataStore,
        version: str = "v1",
        service: str = "models",
        events: int = 10,
        event_s: float = 0.04,
        slots: int = 64,
        began: Callable[[Request, str, str], None] = lambda request, id, version: None,
    ):
        self.id = id
        self.zone = zone
        self.store = store
        self.version = version
        self.service = service
        self.events = events
        self.event_s = event_s
        self.slots = slots
        self.began = began
        self.born = 0
        self.is_up = False
        self.is_draining = False
        self.open: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.reading = threading.Lock()
        self.cached: dict[str, None] = {}
        self.listener: socket.socket | None = None
        self.port = 0

    def start(self) -> None:
        """Begins a lifetime, on the same port as before, and registers."""
        self.cached = {}
        self.born = int(time.time() * 1000)
        self.is_up = True
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=128)
        self.port = self.listener.getsockname()[1]
        for run, arguments in (
            (self._accept, (self.listener,)),
            (self._register, (self.born,)),
        ):
            threading.Thread(target=run, args=arguments, daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _register(self, born: int) -> None:
        """Writes the entry as soon as the store takes writes."""
        while self.store.refusal_status or self.store.silent:
            time.sleep(0.05)
            if not self.is_up or self.born != born:
                return
        self.store.put("servers", self.id, self.entry())

    def entry(self) -> dict:
        return {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": "draining" if self.is_draining else "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self.born,
        }

    def drain(self) -> None:
        """Tells the store that the worker leaves; it goes on to serve."""
        self.is_draining = True
        self.store.put("servers", self.id, self.entry())

    def leave(self) -> None:
        """Removes the entry and ends, after a drain."""
        if self.is_up:
            self.store.delete("servers", self.id)
            self.crash()

    def _expire(self, born: int) -> None:
        """Removes the entry of a worker that has fallen silent, as the store does."""
        if not self.is_up and self.born == born:
            self.store.delete("servers", self.id)

    def crash(self) -> None:
        """Ends the lifetime at once, as a killed process does."""
        self.is_up = False
        expiry = threading.Timer(ENTRY_LIFETIME_S, self._expire, (self.born,))
        expiry.daemon = True
        expiry.start()
        with contextlib.suppress(OSError):
            # A close alone would leave the port open while a thread waits in accept.
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            ended, self.open = self.open, set()
        for sock in ended:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                sock.shutdown(socket.SHUT_RDWR)

    def _serve(self, sock: socket.socket) -> None:
        with self.lock:
            self.open.add(sock)
        born, version = self.born, self.version
        with contextlib.suppress(OSError), sock:
            reader = Reader(sock)
            while self.is_up and self.born == born:
                request = reader.next()
                if request is None or not self._answer(sock, request, version):
                    break
        with self.lock:
            self.open.discard(sock)

    def _answer(self, sock: socket.socket, request: Request, version: str) -> bool:
        if request.headers.get("target-instance", self.id) != self.id:
            return self._reject(sock, request, "421 Misdirected")
        if not request.id:
            return self._reject(sock, request, "400 Bad Request")
        born = self.born
        deadline_ms = int(request.headers.get("deadline-ms") or MAX_DEADLINE_MS)
        stops_at = time.monotonic() + deadline_ms / 1000
        with self.reading:
            if is_closed(sock):
                # A caller that has left gets nothing read.
                return False
            if time.monotonic() >= stops_at:
                return self._reject(sock, request, "503 Service Unavailable")
            time.sleep(self._uncached_tokens(request) / PREFILL_TOKENS_PER_S)
        if not self.is_up or self.born != born or is_closed(sock):
            return False
        self.began(request, self.id, version)
        sock.sendall(
            (
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.id}\r\n"
                f"Response-Signature: {self.id}.{request.id}\r\n"
                f"{LEAVING_LINE if self.is_draining else ''}"
                "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        after = int(request.headers.get("last-event-id") or 0)
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: {version}\n\n".encode()
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(self.event_s)
            if not self.is_up or self.born != born or time.monotonic() >= stops_at:
                return False
        sock.sendall(b"0\r\n\r\n")
        return True

    def _reject(self, sock: socket.socket, request: Request, status: str) -> bool:
        sock.sendall(
            (
                f"HTTP/1.1 {status}\r\nAttempt-Id: {request.id}\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        )
        return True

    def _uncached_tokens(self, request: Request) -> int:
        """Returns the prompt tokens to read; the parts are cached from now on."""
        total = 0
        is_cached = True
        for item in request.headers.get("prompt-prefix", "").split(","):
            part, _, tokens = item.partition(":")
            is_cached = is_cached and part in self.cached
            if not is_cached:
                total += int(tokens or 0)
                self.cached[part] = None
        return total


def is_closed(sock: socket.socket) -> bool:
    """Returns whether the peer has closed the connection."""
    try:
        sock.setblocking(False)
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        with contextlib.suppress(OSError):
            sock.setblocking(True)
