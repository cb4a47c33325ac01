"""Runs stand-ins, endpoints and daemons of a small fleet as processes in 3 zones."""

import collections
import contextlib
import hashlib
import shutil
import tempfile
import threading
import time
from pathlib import Path

import msgspec
import urllib3

from lagoonrill._internal.protocol.codec import to_json
from lagoonrill._internal.protocol.manifest import (
    Endpoint,
    LatencyTarget,
    Manifest,
    Model,
    RequestClass,
    Service,
    ServiceRoute,
    Team,
)
from lagoonrill._internal.protocol.objects import ListedInstance
from lagoonrill._internal.protocol.settings import (
    CallerSettings,
    ClaimSettings,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)

from .processes import Process, start_stand_in
from .relay import PeerRelays

HOST = "127.0.0.1"
ZONES = ("tunis-a", "tunis-b", "bizerte-a")
MODEL = "atelier-llm"
SERVICE = "comptoir-app"
OPERATOR_KEY = "demo-operator-key"
TEAM_KEYS = {"sales": "demo-sales-key", "workshop": "demo-workshop-key"}
READY_TIMEOUT_S = 15.0


def digest(key: str) -> str:
    """Returns the SHA-256 digest of a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


def standard_classes() -> list[RequestClass]:
    """Returns the request classes of the demonstration fleet."""
    return [
        RequestClass(
            name="counter",
            tier=0,
            protected=True,
            latency=LatencyTarget(first_token_ms=1_000, token_gap_ms=100),
            max_wait_ms=2_000,
        ),
        RequestClass(
            name="order",
            tier=0,
            protected=True,
            repeatable=False,
            latency=LatencyTarget(whole_answer_ms=2_000),
            max_wait_ms=5_000,
        ),
        RequestClass(
            name="lookup", tier=1, latency=LatencyTarget(whole_answer_ms=1_000)
        ),
        RequestClass(
            name="plan",
            tier=2,
            floor=0.1,
            latency=LatencyTarget(whole_answer_ms=600_000),
            max_wait_ms=300_000,
        ),
    ]


class DaemonProcess:
    """A daemon that runs as a child process with its own settings file."""

    def __init__(self, *, settings: Settings, folder: Path):
        self.settings = settings
        self.folder = folder
        self.process: Process | None = None

    @property
    def instance(self) -> str:
        return self.settings.instance

    @property
    def zone(self) -> str:
        return self.settings.zone

    def start(self) -> None:
        """Starts the process and waits until its sockets are listening."""
        path = self.folder / f"{self.instance}.json"
        path.write_bytes(to_json(self.settings, pretty=True))
        code = "from lagoonrill._internal.daemon_main import main; main()"
        self.process = Process(
            name=self.instance,
            arguments=["-c", code, "--settings", str(path)],
            log_path=self.folder / f"{self.instance}.log",
        )

    @property
    def callers_url(self) -> str:
        return f"http://{HOST}:{self.process.ports[0]}"

    @property
    def operators_url(self) -> str:
        return f"http://{HOST}:{self.process.ports[1]}"

    @property
    def peer_address(self) -> str:
        advertised = self.settings.peers.advertised_address
        return advertised or f"{HOST}:{self.process.ports[2]}"


class Fleet:
    """Runs the platform, endpoints and daemons of one region as a context manager."""

    def __init__(
        self,
        *,
        zones: tuple[str, ...] = ZONES,
        instances_per_zone: int = 1,
        extra_instances: int = 0,
        engines_per_zone: int = 1,
        workers_per_zone: int = 1,
        engine_slots: int = 4,
        token_ms: float = 10.0,
        policy: str = "default",
        shutdown_notice_s: float = 0.3,
        log_level: str = "info",
        worker_slots: int = 16,
        use_relays: bool = False,
        watch_wait_s: float = 5.0,
    ):
        self.zones = zones
        self.http = urllib3.PoolManager(retries=False, timeout=10.0, maxsize=64)
        self.folder = Path(tempfile.mkdtemp(prefix="lagoonrill-"))
        self.policy = policy
        self.shutdown_notice_s = shutdown_notice_s
        self.log_level = log_level
        self.worker_slots = worker_slots
        self.watch_wait_s = watch_wait_s
        self.relays: PeerRelays | None = PeerRelays() if use_relays else None
        self.engine_slots = engine_slots
        self.token_ms = token_ms
        names = [(zone, n) for n in range(instances_per_zone) for zone in zones]
        names += [(zones[n % len(zones)], n + 8) for n in range(extra_instances)]
        self.engines_per_zone = engines_per_zone
        self.workers_per_zone = workers_per_zone
        self.daemon_names = names
        self.engines: dict[str, Process] = {}
        self.workers: dict[str, Process] = {}
        self.endpoint_zones: dict[str, str] = {}
        self.daemons: dict[str, DaemonProcess] = {}
        self.store: Process | None = None
        self.list: Process | None = None
        # A timer that ends a fault must not start a process after `stop`.
        self.restart_lock = threading.Lock()
        self.stopped = False

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, kind, *_) -> None:
        self.stop()
        if kind is None:
            shutil.rmtree(self.folder)
        else:
            print(f"settings and logs are kept in {self.folder}", flush=True)

    def start(self) -> None:
        """Starts the platform, the endpoints and the daemons."""
        self.store = start_stand_in("object_store")
        self.list = start_stand_in("instance_list")
        for zone in self.zones:
            self._start_endpoints(zone)
        for zone, number in self.daemon_names:
            self.add_daemon(zone, number)

    def _start_endpoints(self, zone: str) -> None:
        for number in range(self.engines_per_zone):
            name = f"engine-{zone}-{number}"
            self.endpoint_zones[name] = zone
            self.engines[name] = self._start_engine(name)
        for number in range(self.workers_per_zone):
            name = f"worker-{zone}-{number}"
            self.endpoint_zones[name] = zone
            self.workers[name] = self._start_worker(name)

    def _start_worker(self, name: str, port: int = 0) -> Process:
        return start_stand_in(
            "plain_service",
            *("--port", str(port), "--journal", str(self._journal(name))),
            name=name,
        )

    def _journal(self, worker: str) -> Path:
        return self.folder / f"{worker}.executions"

    def _start_engine(self, name: str, port: int = 0) -> Process:
        return start_stand_in(
            "engine",
            *("--model", MODEL, "--slots", str(self.engine_slots)),
            *("--token-ms", str(self.token_ms), "--id", name),
            *("--port", str(port)),
            name=name,
        )

    def restart_exited_endpoints(self) -> None:
        """Restarts endpoints that have exited, on the same ports."""
        with self.restart_lock:
            if not self.stopped:
                self._restart_exited_endpoints()

    def _restart_exited_endpoints(self) -> None:
        for name, engine in self.engines.items():
            if engine.popen.poll() is not None:
                self.engines[name] = self._start_engine(name, engine.port)
        for name, worker in self.workers.items():
            if worker.popen.poll() is not None:
                self.workers[name] = self._start_worker(name, worker.port)

    def add_daemon(self, zone: str, number: int) -> DaemonProcess:
        """Starts a daemon and registers it in the Instance list."""
        name = f"entry-{zone}-{number}"
        settings = Settings(
            instance=name,
            zone=zone,
            region="tn-nord",
            callers=CallerSettings(host=HOST, port=0, threads=320),
            operators=OperatorSettings(
                host=HOST, port=0, key_digest=digest(OPERATOR_KEY)
            ),
            peers=PeerSettings(
                host=HOST,
                port=0,
                advertised_address=self.relays.open(name) if self.relays else None,
            ),
            platform=PlatformSettings(
                object_api_url=self.store.url,
                instance_list_url=self.list.url,
                watch_wait_s=self.watch_wait_s,
            ),
            claims=ClaimSettings(),
            log=LogSettings(level=self.log_level),
            shutdown_notice_s=self.shutdown_notice_s,
            policy=self.policy,
        )
        daemon = DaemonProcess(settings=settings, folder=self.folder)
        self.daemons[name] = daemon
        self._start_daemon(daemon)
        return daemon

    def _start_daemon(self, daemon: DaemonProcess) -> None:
        daemon.start()
        if self.relays:
            pid = daemon.process.popen.pid
            self.relays.attach(daemon.instance, pid, daemon.process.ports[2])
        self.register(daemon)

    def register(self, daemon: DaemonProcess, state: str = "live") -> None:
        """Adds a daemon to the Instance list or updates its entry."""
        entry = ListedInstance(
            id=daemon.instance,
            zone=daemon.zone,
            role="entry",
            address=daemon.callers_url,
            peer_address=daemon.peer_address,
            state=state,
        )
        path = f"{self.list.url}/instances/{daemon.instance}"
        self.http.request("PUT", path, body=to_json(entry))

    def unregister(self, instance: str) -> None:
        """Removes a daemon from the Instance list."""
        self.http.request("DELETE", f"{self.list.url}/instances/{instance}")

    def restart(self, instance: str) -> None:
        """Restarts a daemon that has exited, on new ports."""
        self._start_daemon(self.daemons[instance])

    def manifest(self) -> Manifest:
        """Returns a manifest with the endpoints of this fleet."""
        endpoints = [
            Endpoint(
                id=name,
                url=engine.url,
                zone=self.endpoint_zones[name],
                slots=self.engine_slots,
                models=[MODEL],
            )
            for name, engine in self.engines.items()
        ]
        endpoints += [
            Endpoint(
                id=name,
                url=worker.url,
                zone=self.endpoint_zones[name],
                slots=self.worker_slots,
                service=SERVICE,
            )
            for name, worker in self.workers.items()
        ]
        routes = [
            ServiceRoute(method="GET", path_prefix="/", request_class="lookup"),
            ServiceRoute(method="POST", path_prefix="/", request_class="order"),
        ]
        return Manifest(
            classes=standard_classes(),
            models=[Model(name=MODEL, default_class="counter")],
            services=[Service(name=SERVICE, routes=routes)],
            endpoints=endpoints,
            teams=[
                Team(name=team, key_digests=[digest(key)])
                for team, key in TEAM_KEYS.items()
            ],
        )

    def write_manifest(self, name: str = "manifest.json") -> Path:
        """Writes the manifest to a file for the command-line tool."""
        path = self.folder / name
        path.write_bytes(to_json(self.manifest(), pretty=True))
        return path

    def set_faults(self, process: Process, **faults) -> None:
        """Injects faults into a stand-in through its control port, if it has one."""
        url = f"http://{HOST}:{process.ports[-1]}/faults"
        answer = self.http.request("POST", url, body=to_json(faults))
        if answer.status != 200:
            raise ValueError(f"{process.name} refused faults {faults}: {answer.data}")

    def dump(self, instance: str) -> dict:
        """Returns a daemon's state dump."""
        answer = self.http.request(
            "GET",
            f"{self.daemons[instance].operators_url}/dump",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        return msgspec.json.decode(answer.data)

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until every daemon is ready; raises `TimeoutError` on timeout."""
        until = time.monotonic() + timeout_s
        waiting = dict(self.daemons)
        while waiting:
            for name, daemon in list(waiting.items()):
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    url = f"{daemon.operators_url}/ready"
                    if self.http.request("GET", url).status == 200:
                        del waiting[name]
            if waiting and time.monotonic() > until:
                raise TimeoutError(f"not ready after {timeout_s} s: {list(waiting)}")
            time.sleep(0.05)

    def executions(self) -> dict[str, int]:
        """Returns the number of executions of each key over all workers."""
        counts: collections.Counter[str] = collections.Counter()
        for worker in self.workers:
            journal = self._journal(worker)
            if journal.exists():
                counts.update(journal.read_text().split())
        return counts

    def stop(self) -> None:
        """Kills all processes and closes the relays."""
        with self.restart_lock:
            self.stopped = True
        for daemon in self.daemons.values():
            if daemon.process is not None:
                daemon.process.kill()
        stand_ins = [*self.engines.values(), *self.workers.values()]
        stand_ins += [process for process in (self.store, self.list) if process]
        for process in stand_ins:
            process.kill()
        if self.relays:
            self.relays.close()
