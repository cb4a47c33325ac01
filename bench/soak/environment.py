"""Environment of a soak test: gateway processes, store, endpoints and callers."""

import contextlib
import http.client
import itertools
import json
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

from bench.soak.endpoints import Proxy, SoakEndpoint
from bench.soak.history import (
    DEADLY_BODY,
    Denial,
    History,
    NamedLimit,
    Outcome,
    Probe,
    TakeUp,
    last_event,
)
from lagoonrill.platform.__main__ import SETTINGS_VARIABLE
from lagoonrill.platform._headers import READINESS_PATH, VOCABULARY
from standins.metadata_store import MetadataStore, MetadataStoreServer
from standins.platform_api import PlatformApiServer
from standins.platform_objects import server, versioned_configuration
from standins.ports import free_port

START_SCRIPT = Path(__file__).parents[2] / "deploy" / "start.py"
METHODS_BY_KIND = {"order": "POST", "status": "GET", "ask": "POST", "plan": "POST"}
GRACE_S = 6.0
CALLER_PAUSE_S = 0.05
TIME_LIMIT_S = 3.0
# A caller comes back to a broken stream for this long, with a pause after a refusal.
TAKE_UP_S = 8.0
TAKE_UP_PAUSE_S = 0.3
# Short, so that leases change hands and windows are reported within a run.
DUTY_BOUNDS = {
    "require_fencing": True,
    "lease_ms": 1_500,
    "report_window_s": 1,
    "usage_late_s": 3,
}


def is_broken_stream(outcome: Outcome) -> bool:
    """Returns whether a caller has got a part of a stream that may be resumed."""
    is_whole = outcome.status == 200 and outcome.whole
    may_be_resumed = outcome.kind == "ask" and outcome.status in (0, 200)
    return may_be_resumed and not is_whole and last_event(outcome.body) > 0


class Gateway:
    """A gateway process; after an exit it is restarted on the same address."""

    def __init__(self, *, name: str, zone: str, folder: Path, store: str, api: str):
        self.name = name
        self.port = free_port()
        self.readiness_port = free_port()
        self.peer = f"127.0.0.1:{free_port()}"
        self.path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.settings = {
            "instance": name,
            "zone": zone,
            "callers_address": f"127.0.0.1:{self.port}",
            "readiness_address": f"127.0.0.1:{self.readiness_port}",
            "peer_address": self.peer,
            "store_address": store,
            "bounds": {"grace_s": GRACE_S, **DUTY_BOUNDS},
            "duties": {"address": api, "names": ["usage_report"]},
        }
        self.process: subprocess.Popen | None = None
        self.start_count = 0

    def start(self, seeds: list[str]) -> None:
        """Writes the settings file and starts the process."""
        self.path.write_text(json.dumps({**self.settings, "seeds": seeds}))
        self.start_count += 1
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(START_SCRIPT)],
                env={**os.environ, SETTINGS_VARIABLE: str(self.path)},
                stdout=output,
                stderr=subprocess.STDOUT,
                # As in `bench.processes`.
                start_new_session=True,
            )

    def signal(self, number: int) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it is running, and waits for its exit."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.readiness_port, timeout=1
        )
        try:
            connection.request("GET", READINESS_PATH)
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class SoakEnvironment:
    """Starts and stops all components of a soak test."""

    def __init__(self, *, folder: Path, seed: int, gateways: int, callers: int):
        self.history = History()
        self.stopping = threading.Event()
        self.store = MetadataStore()
        self.server = MetadataStoreServer(self.store)
        self.api = PlatformApiServer()
        self.version = 1
        self.next_endpoint = 0
        # Version of the software of endpoints that are started.
        self.release = 1
        self.seed = seed
        self.endpoints: dict[str, tuple[SoakEndpoint, Proxy]] = {}
        # State that each endpoint wrote last; those that removed their entry have none.
        self.states: dict[str, str] = {}
        host, _, port = self.server.address.rpartition(":")
        self.gateways: list[Gateway] = []
        self.store_links: dict[str, Proxy] = {}
        for number in range(gateways):
            link = Proxy(target=(host, int(port)))
            name = f"g{number}"
            self.store_links[name] = link
            self.gateways.append(
                Gateway(
                    name=name,
                    zone="ab"[number % 2],
                    folder=folder,
                    store=link.address,
                    api=self.api.address,
                )
            )
        self.callers = callers
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Starts the components; callers start when all gateways are ready."""
        for service, count in (("desk", 3), ("models", 4)):
            for _ in range(count):
                self.add_endpoint(service)
        self.put_configuration()
        for gateway in self.gateways:
            gateway.start(self.seeds())
        until = time.monotonic() + 20
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > until:
                raise RuntimeError("not all gateways were ready within 20 s")
            time.sleep(0.1)
        for number in range(self.callers):
            self._spawn(self._run_caller, number)
        self._spawn(self._run_probe)

    def _spawn(self, target, *arguments) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        thread.start()
        self.threads.append(thread)

    def seeds(self) -> list[str]:
        return [gateway.peer for gateway in self.gateways[:3]]

    def next_release(self) -> None:
        """Gives endpoints that are started from now on another software version."""
        self.release = self.release % 3 + 1

    def add_endpoint(self, service: str, *, version: str | None = None) -> str:
        """Starts and registers an endpoint, of the newest version unless it is named.

        Returns its id.
        """
        self.next_endpoint += 1
        id = f"i-{self.next_endpoint}"
        endpoint = SoakEndpoint(
            id=id,
            service=service,
            version=version or f"v{self.release}",
            history=self.history,
            seed=self.seed * 1_000 + self.next_endpoint,
        )
        proxy = Proxy(target=("127.0.0.1", endpoint.listener.port))
        endpoint.crash = proxy.close
        self.endpoints[id] = (endpoint, proxy)
        self._register(id, "ready")
        return id

    def _register(self, id: str, state: str) -> None:
        self.states[id] = state
        endpoint, proxy = self.endpoints[id]
        entry = server(
            Service=endpoint.service,
            Address=proxy.address,
            Zone="ab"[len(id) % 2],
            Version=endpoint.version,
            State=state,
        )
        self.store.put("servers", id, entry)

    def release_half(self, service: str, *, pause_s: float = 0.0) -> None:
        """Replaces half of a service's endpoints by those of the next version."""
        self.next_release()
        old = [
            id
            for id, (endpoint, _) in list(self.endpoints.items())
            if endpoint.service == service and id not in self.history.leaving
        ]
        for id in old[::2]:
            self.add_endpoint(service)
            self.drain_endpoint(id)
            time.sleep(pause_s)

    def write_odd_entry(self, fields: dict) -> None:
        """Writes an entry that names no endpoint to use, and stays."""
        self.store.put("servers", "i-odd", server(Service="elsewhere") | fields)

    def drain_endpoint(self, id: str) -> None:
        """Marks an endpoint as draining in the store."""
        self._register(id, "draining")
        self.history.leaving[id] = time.monotonic()

    def remove_endpoint(self, id: str) -> None:
        """Removes the entry of an endpoint, which continues to serve."""
        del self.states[id]
        self.store.delete("servers", id)
        self.history.leaving[id] = time.monotonic()

    def write_entries_again(self) -> None:
        """Writes the entries that a restored store lost, and removes those of old."""
        entries = self.store.kinds.get("servers", {})
        for id in self.endpoints:
            state = self.states.get(id)
            if state is not None:
                self._register(id, state)
            elif id in entries:
                self.store.delete("servers", id)

    def limit_endpoint(self, id: str, limit: float) -> NamedLimit:
        """Makes an endpoint name a limit in its answers until `end_limit`."""
        named = NamedLimit(endpoint=id, limit=limit, began_at=time.monotonic())
        self.history.add(named)
        self.endpoints[id][0].request_limit = limit
        return named

    def end_limit(self, named: NamedLimit) -> None:
        """Ends the limit of an endpoint."""
        named.ended_at = time.monotonic()
        self.endpoints[named.endpoint][0].request_limit = None

    def put_configuration(self) -> None:
        """Writes the next configuration, which has a route of its own."""
        self.version += 1
        self.store.put("config", "main", versioned_configuration(self.version))
        self.history.acknowledged[self.version] = time.monotonic()

    def _run_caller(self, number: int) -> None:
        """Runs a caller, which reuses its connection until a failure or a 503."""
        connection, gateway = None, None
        count = 0
        while not self.stopping.wait(CALLER_PAUSE_S):
            count += 1
            kind = list(METHODS_BY_KIND)[(count + number) % len(METHODS_BY_KIND)]
            if connection is None:
                gateway = self.gateways[(count + number) % len(self.gateways)]
                connection = http.client.HTTPConnection(
                    "127.0.0.1", gateway.port, timeout=TIME_LIMIT_S + 2
                )
            id = f"c{number}-{count}"
            outcome = self._send_request(connection, gateway, kind, id)
            if outcome is None or outcome.status in (0, 503):
                connection.close()
                connection = None
            if outcome is not None:
                self.history.add(outcome)
                if is_broken_stream(outcome):
                    self._spawn(self._take_up, outcome)

    def _take_up(self, first: Outcome) -> None:
        """Takes a broken stream up until it is whole, at one gateway after the other.

        Its caller comes back for some seconds, also while no gateway serves it.
        """
        received = first.body
        until = time.monotonic() + TAKE_UP_S
        for attempt in itertools.count():
            gateway = self.gateways[attempt % len(self.gateways)]
            last = last_event(received)
            if time.monotonic() > until or self.stopping.wait(CALLER_PAUSE_S):
                return
            headers = {
                VOCABULARY.resume_after: str(last),
                VOCABULARY.resumes: first.request,
            }
            connection = http.client.HTTPConnection(
                "127.0.0.1", gateway.port, timeout=TIME_LIMIT_S + 2
            )
            id = f"{first.request}-{attempt}"
            found = self._send_request(connection, gateway, "ask", id, **headers)
            connection.close()
            if found is None or found.status not in (0, 200):
                self.stopping.wait(TAKE_UP_PAUSE_S)
                continue
            received += found.body
            self.history.add(TakeUp(first=first.request, body=received))
            if found.status == 200 and found.whole:
                return

    def send_deadly(self, kind: str) -> None:
        """Sends the request that crashes endpoints to each gateway."""
        for gateway in self.gateways:
            connection = http.client.HTTPConnection(
                "127.0.0.1", gateway.port, timeout=TIME_LIMIT_S + 2
            )
            id = f"deadly-{time.monotonic()}"
            self._send_request(connection, gateway, kind, id, body=DEADLY_BODY)
            connection.close()

    def _send_request(
        self, connection, gateway, kind: str, id: str, *, body=None, **more
    ) -> Outcome | None:
        """Sends one request; returns None if it could not be sent."""
        sent_at = time.monotonic()
        headers = {
            "Host": "shop.example",
            "Authorization": f"{VOCABULARY.key_scheme} key-1",
            VOCABULARY.request_id: id,
            VOCABULARY.time_limit_ms: str(int(TIME_LIMIT_S * 1000)),
            **more,
        }
        method = METHODS_BY_KIND[kind]
        status, received, whole = 0, b"", False
        try:
            connection.request(method, f"/{kind}/1", body=body, headers=headers)
        except OSError:
            return None
        with contextlib.suppress(OSError, http.client.HTTPException):
            response = connection.getresponse()
            proof = response.getheader(VOCABULARY.proof)
            try:
                received = response.read()
                status = response.status
                whole = proof == f"proof {id}" and (
                    kind in ("ask", "plan") or received == f"desk did {id}".encode()
                )
            except http.client.IncompleteRead as error:
                received = error.partial
            if response.getheader("Connection") == "close":
                connection.close()
        return Outcome(
            request=id,
            kind=kind,
            instance=gateway.name,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            whole=whole,
            body=received,
        )

    def _run_probe(self) -> None:
        """Records the configuration version of each gateway.

        A version is detected by the route that only it has; the newest is tried first.
        """
        while not self.stopping.wait(0.1):
            for gateway in self.gateways:
                self._probe(gateway)

    def _probe(self, gateway: Gateway) -> None:
        lifetime = f"{gateway.name}/{gateway.start_count}"
        newest = self.version
        for version in (newest, newest - 1):
            began_at = time.monotonic()
            status = self._route_status(gateway, version)
            if lifetime != f"{gateway.name}/{gateway.start_count}":
                return
            if status not in (0, 404, 503):
                now = time.monotonic()
                self.history.add(Probe(lifetime=lifetime, version=version, at=now))
                return
            # A newer version may have removed the route.
            is_newest = version == self.version
            if status == 404 and is_newest and version in self.history.acknowledged:
                self.history.add(
                    Denial(instance=gateway.name, version=version, at=began_at)
                )

    def _route_status(self, gateway: Gateway, version: int) -> int:
        """Returns the status of a request on the route of a version; 0 without one."""
        connection = http.client.HTTPConnection("127.0.0.1", gateway.port, timeout=1)
        id = f"probe-{time.monotonic()}"
        self.history.probed[id] = gateway.name
        headers = {
            "Host": "shop.example",
            "Authorization": f"{VOCABULARY.key_scheme} key-1",
            VOCABULARY.request_id: id,
        }
        try:
            connection.request("GET", f"/v{version}/1", headers=headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def close(self) -> None:
        """Stops the callers, the gateways and all listeners."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(TIME_LIMIT_S + 3)
        for gateway in self.gateways:
            gateway.end()
        for link in self.store_links.values():
            link.close()
        for endpoint, proxy in self.endpoints.values():
            proxy.close()
            endpoint.close()
        self.server.close()
        self.history.duty_calls = list(self.api.calls)
        self.api.close()
