"""Starts gateways, endpoints and callers for the scripts of the second review.

The gateways are the project's own program, started with the command of the deploy file.
The store is the project's stand-in. Endpoints and callers are small stand-ins that
speak what the users' pages say. Everything listens on loopback.
"""

import contextlib
import http.client
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src"), str(ROOT / "target" / "deps")]

from standins.metadata_store import MetadataStore, MetadataStoreServer  # noqa: E402

HOST = "shop.example"
KEY = "key-1"
READY_TIMEOUT_S = 30.0
# `HeartbeatMs` of the settings.
HEARTBEAT_S = 1.2
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseNotRun(Exception):
    """The case could not be run; says nothing about the rule."""


def with_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path):
        self.began_at = time.monotonic()
        self.file = (folder / "record.txt").open("w")
        self.lock = threading.Lock()

    def write(self, text: str) -> None:
        with self.lock:
            at = time.monotonic() - self.began_at
            self.file.write(f"{at:8.3f} {text}\n")
            self.file.flush()


class Gateway:
    """One gateway process, with settings as the deploy file's template renders them."""

    def __init__(self, *, name: str, zone: str, store: str, folder: Path, **more):
        self.name = name
        self.port = free_port()
        self.readiness_port = free_port()
        self.peer = f"127.0.0.1:{free_port()}"
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.settings = {
            "instance": name,
            "zone": zone,
            "callers_address": f"127.0.0.1:{self.port}",
            "readiness_address": f"127.0.0.1:{self.readiness_port}",
            "peer_address": self.peer,
            "store_address": store,
            "max_descriptors": 6150,
            "memory_mb": 430,
            "store_writes_per_s": 400,
            "bounds": {
                "grace_s": 8,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_fixed": 54,
                "config_apply_ms": 2000,
                "drain_ms": 2000,
                "contact_ms": 3000,
            },
            **more,
        }
        self.process: subprocess.Popen | None = None

    def start(self, seeds: list[str]) -> None:
        self.path.write_text(json.dumps({**self.settings, "seeds": seeds}))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["LAGOONRILL_CONFIG"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def page(self, path: str) -> tuple[int, bytes]:
        """Returns a page of the readiness address; status 0 without an answer."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.readiness_port, timeout=2
        )
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def is_ready(self) -> bool:
        return self.page("/v1/ready")[0] == 200

    def resident_bytes(self) -> int:
        """Returns the memory of the process's own; 0 if it has ended.

        Pages of files, such as those of libraries, are left out.
        """
        if self.process is None or self.process.poll() is not None:
            return 0
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024
        return 0


class Request:
    """A request as an endpoint received it."""

    def __init__(self, *, method: str, target: str, headers: dict, body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        return self.headers.get("attempt-id", "")

    def time_limit_s(self) -> float:
        """Returns the time after which a worker stops."""
        return int(self.headers.get("deadline-ms", 60_000)) / 1000


def read_head(reader) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers of a message; None at the end."""
    first = reader.readline(65_536)
    if not first.strip():
        return None
    headers = {}
    while (line := reader.readline(65_536)).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").strip(), headers


def read_request(reader) -> Request | None:
    head = read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(head[1].get("content-length", 0))
    body = reader.read(length) if length else b""
    if len(body) < length:
        return None
    return Request(method=method, target=target, headers=head[1], body=body)


class Endpoint:
    """A worker of a service; `serve` answers a request on its channel.

    `serve` returns whether the channel stays open.
    """

    def __init__(self, *, id: str, service: str, version: str, zone: str, serve):
        self.id = id
        self.service = service
        self.version = version
        self.zone = zone
        self.serve = serve
        self.sequence = 1
        self.port = 0
        self.lock = threading.Lock()
        self.open: set[socket.socket] = set()
        self.start()

    def start(self) -> None:
        """Begins a lifetime; after a crash, at the same address."""
        self.born = int(time.time() * 1000)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", self.port))
        self.socket.listen(512)
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, args=(self.socket,), daemon=True).start()

    def crash(self) -> None:
        """Ends the lifetime: resets all channels and accepts no more."""
        self.close()
        with self.lock:
            ended, self.open = self.open, set()
        for sock in ended:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                # The thread that uses it ends; its close sends the reset.
                sock.shutdown(socket.SHUT_RD)

    def entry(self, state: str = "ready", *, slots: int = 64) -> dict:
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                if listener is not self.socket or listener.fileno() < 0:
                    sock.close()
                    return
                self.open.add(sock)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def is_open(self, sock: socket.socket) -> bool:
        """Returns whether a channel belongs to the present lifetime."""
        with self.lock:
            return sock in self.open

    def _run(self, sock: socket.socket) -> None:
        try:
            self._serve_channel(sock)
        finally:
            with self.lock:
                self.open.discard(sock)

    def _serve_channel(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock, sock.makefile("rb") as r:
            while (request := read_request(r)) is not None:
                if request.headers.get("target-instance", self.id) != self.id:
                    sock.sendall(
                        b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
                        b"Attempt-Id: %b\r\nContent-Length: 0\r\n\r\n"
                        % request.id.encode()
                    )
                elif not self.serve(self, sock, request):
                    return

    def close(self) -> None:
        # Only a shutdown ends an accept that another thread waits in.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()


def answer_head(request: Request, *more: str, status: str = "200 OK") -> bytes:
    lines = [
        f"HTTP/1.1 {status}",
        f"Attempt-Id: {request.id}",
        f"Response-Signature: proof.{request.id}",
        *more,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Answer:
    """What a caller got: a status of 0 means that there was no answer."""

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.error = ""


class Caller:
    """A caller's channel to one gateway."""

    def __init__(self, port: int, *, timeout_s: float = 20.0, prepare=None):
        self.sock = socket.socket()
        if prepare is not None:
            prepare(self.sock)
        self.sock.settimeout(timeout_s)
        self.sock.connect(("127.0.0.1", port))
        self.reader = self.sock.makefile("rb", buffering=4096)

    def send(self, method: str, path: str, id: str, *, body=b"", **headers) -> None:
        fields = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "Attempt-Id": id,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def receive(self, *, pace=None, events=None) -> Answer:
        """Reads one answer; `pace` is called after each part, with its size."""
        answer = Answer()
        try:
            self._receive(answer, pace or (lambda size: None), events)
        except (OSError, ValueError) as error:
            answer.error = type(error).__name__
        return answer

    def _receive(self, answer: Answer, pace, events) -> None:
        head = read_head(self.reader)
        if head is None:
            answer.error = "closed"
            return
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        if "chunked" in head[1].get("transfer-encoding", ""):
            while True:
                size = int(self.reader.readline().strip() or b"-1", 16)
                if size < 0:
                    answer.error = "cut"
                    return
                data = self.reader.read(size) if size else b""
                if len(data) < size:
                    answer.error = "cut"
                    return
                self.reader.readline()
                if not size:
                    answer.is_whole = True
                    return
                answer.body += data
                if events is not None:
                    events(data)
                pace(size)
        left = int(head[1].get("content-length", 0))
        parts = []
        while left:
            data = self.reader.read1(min(left, 4096))
            if not data:
                answer.error = "cut"
                break
            parts.append(data)
            left -= len(data)
            pace(len(data))
        answer.body = b"".join(parts)
        answer.is_whole = not left

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.close()


class Deployment:
    """A store, gateways and endpoints; `close` ends all that was started."""

    def __init__(self, folder: Path):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="lagoonrill-review-"))
        self.store = MetadataStore()
        self.server = MetadataStoreServer(self.store)
        self.gateways: list[Gateway] = []
        self.endpoints: list[Endpoint] = []
        self.stopping = threading.Event()

    def add_gateways(self, count: int, zones: tuple[str, ...], **settings) -> None:
        for number in range(count):
            self.gateways.append(
                Gateway(
                    name=f"edge-{number + 1}",
                    zone=zones[number % len(zones)],
                    store=self.server.address,
                    folder=self.folder,
                    **settings,
                )
            )

    def add_endpoint(self, **fields) -> Endpoint:
        endpoint = Endpoint(**fields)
        self.endpoints.append(endpoint)
        return endpoint

    def register_all(self) -> None:
        """Writes the entries of all endpoints, and each again at the usual interval."""
        for number, endpoint in enumerate(self.endpoints):
            self.store.put("servers", endpoint.id, endpoint.entry())
            threading.Thread(
                target=self._write_entry, args=(endpoint, number), daemon=True
            ).start()

    def _write_entry(self, endpoint: Endpoint, number: int) -> None:
        # Endpoints write at different moments.
        self.stopping.wait(HEARTBEAT_S * number / len(self.endpoints))
        while not self.stopping.wait(HEARTBEAT_S):
            endpoint.sequence += 1
            with self.store.condition:
                if not self.store.refusal_status:
                    self.store.put("servers", endpoint.id, endpoint.entry())

    def seeds(self) -> list[str]:
        return [gateway.peer for gateway in self.gateways[:3]]

    def start_gateways(self) -> None:
        for gateway in self.gateways:
            gateway.start(self.seeds())

    def wait_ready(self) -> None:
        until = time.monotonic() + READY_TIMEOUT_S
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > until:
                raise CaseNotRun("not all gateways are ready")
            time.sleep(0.1)

    def refuse_store_calls(self, status: int) -> None:
        """Lets the store refuse all calls with a status; 0 serves them again."""
        with self.store.condition:
            self.store.refusal_status = status
            self.store.condition.notify_all()

    def close(self) -> None:
        self.stopping.set()
        for gateway in self.gateways:
            gateway.kill()
        for endpoint in self.endpoints:
            endpoint.close()
        self.server.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, case) -> None:
    """Runs `case(deployment)`, which returns whether the rule held, and exits."""
    deployment = Deployment(folder)
    status = NOT_RUN
    # A case that is ended from outside ends what it started too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        status = HELD if case(deployment) else BROKEN
    except CaseNotRun as error:
        deployment.record.write(f"the case could not run: {error}")
    except Exception as error:
        deployment.record.write(f"the case could not run: {error!r}")
        raise
    finally:
        deployment.record.write(f"exit status {status}")
        deployment.close()
    sys.exit(status)


def routes(*items: dict) -> list[dict]:
    base = {
        "Host": HOST,
        "TimeoutMs": 15000,
        "TargetLatencyMs": 400,
        "Priority": 0,
        "Attempts": 1,
        "AllowAnonymous": False,
    }
    return [{**base, **item} for item in items]


def configuration(*, routes: list[dict], services: list[dict]) -> dict:
    return {
        "Version": 7,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "huka270", "ApiKeys": [KEY], "Priority": 1}],
    }


ENGINE = {
    "Slots": 64,
    "KvTokens": 339744,
    "KvBytes": 18432,
    "LinkMbps": 280000.0,
    "Stride": 5,
}
