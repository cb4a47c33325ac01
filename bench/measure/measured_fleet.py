"""Benchmark fleet with sizes of real deployments, zone latency and scaled time."""

import contextlib
from concurrent.futures import ThreadPoolExecutor

import msgspec
import urllib3

from bench.fleet import MODEL, Fleet, digest
from bench.processes import Process, start_stand_in
from lagoonrill._internal.protocol.manifest import (
    LatencyTarget,
    Manifest,
    RequestClass,
    Team,
)

from .arrivals import TEAMS
from .caller import team_key
from .records import EngineExecution, EngineStats

# Engines generate a token in 20 ms, half the 40 ms of a large model. Latency targets in
# the manifest are halved accordingly; the clocks of the daemons are not scaled.
TIME_FACTOR = 2.0
TOKEN_MS = 20.0
SLOTS = 4


class Profile(msgspec.Struct, kw_only=True, frozen=True):
    """Sizes of the fleet of one user (section 1.4 of the design)."""

    name: str
    engines_per_zone: int
    workers_per_zone: int
    zone_latency_ms: float

    @property
    def load_scale(self) -> float:
        """Factor on the arrival rates, so that all profiles have the same load."""
        return self.engines_per_zone / 3


PROFILES = {
    "workshops": Profile(
        name="workshops", engines_per_zone=3, workers_per_zone=1, zone_latency_ms=0.5
    ),
    "menus": Profile(
        name="menus", engines_per_zone=2, workers_per_zone=1, zone_latency_ms=1.5
    ),
}


def measured_classes() -> list[RequestClass]:
    """Returns the classes; plans and menus have targets that fit a short run."""
    return [
        RequestClass(
            name="counter",
            tier=0,
            protected=True,
            latency=LatencyTarget(first_token_ms=500, token_gap_ms=50),
            max_wait_ms=1_000,
        ),
        RequestClass(
            name="order",
            tier=0,
            protected=True,
            repeatable=False,
            latency=LatencyTarget(whole_answer_ms=1_000),
            max_wait_ms=2_500,
        ),
        RequestClass(name="lookup", tier=1, latency=LatencyTarget(whole_answer_ms=500)),
        RequestClass(
            name="menu",
            tier=2,
            floor=0.1,
            latency=LatencyTarget(whole_answer_ms=10_000),
            max_wait_ms=60_000,
        ),
        RequestClass(
            name="plan",
            tier=3,
            floor=0.1,
            latency=LatencyTarget(whole_answer_ms=30_000),
            max_wait_ms=150_000,
        ),
    ]


class MeasuredFleet(Fleet):
    """Fleet of four daemons in three zones with the endpoints of a profile."""

    def __init__(self, *, profile: Profile, policy: str):
        self.profile = profile
        super().__init__(
            extra_instances=1,
            engines_per_zone=profile.engines_per_zone,
            workers_per_zone=profile.workers_per_zone,
            engine_slots=SLOTS,
            token_ms=TOKEN_MS,
            policy=policy,
            log_level="warning",
        )

    @property
    def slots(self) -> int:
        return len(self.engines) * SLOTS

    def start(self) -> None:
        """Starts the platform, then all endpoints and then all daemons in parallel."""
        self.store = start_stand_in("object_store")
        self.list = start_stand_in("instance_list")
        with ThreadPoolExecutor(len(self.daemon_names)) as pool:
            list(pool.map(self._start_endpoints, self.zones))
            list(pool.map(lambda item: self.add_daemon(*item), self.daemon_names))

    def _zone_options(self, name: str) -> tuple[str, ...]:
        latency_ms = str(self.profile.zone_latency_ms)
        return (
            *("--zone", self.endpoint_zones[name]),
            *("--zone-latency-ms", latency_ms),
        )

    def _start_worker(self, name: str, port: int = 0) -> Process:
        return start_stand_in(
            "plain_service",
            *("--port", str(port), "--journal", str(self._journal(name))),
            *self._zone_options(name),
            name=name,
        )

    def _start_engine(self, name: str, port: int = 0) -> Process:
        return start_stand_in(
            "engine",
            *("--model", MODEL, "--slots", str(self.engine_slots)),
            *("--token-ms", str(self.token_ms), "--id", name),
            *("--port", str(port)),
            *self._zone_options(name),
            name=name,
        )

    def manifest(self) -> Manifest:
        """Returns the manifest with the classes and teams of the benchmark."""
        return msgspec.structs.replace(
            super().manifest(),
            classes=measured_classes(),
            teams=[
                Team(name=team, key_digests=[digest(team_key(team))]) for team in TEAMS
            ],
        )

    def engine_stats(self) -> list[EngineStats]:
        """Returns the counters of each engine."""
        answers = [
            self.http.request("GET", f"{engine.url}/stats").data
            for engine in self.engines.values()
        ]
        return [msgspec.json.decode(data, type=EngineStats) for data in answers]

    def engine_executions(self) -> list[EngineExecution]:
        """Returns all executions of all engines."""
        executions = []
        for engine in self.engines.values():
            data = self.http.request("GET", f"{engine.url}/executions").data
            executions += msgspec.json.decode(data, type=list[EngineExecution])
        return executions

    def scheduler_counters(self) -> list[dict]:
        """Returns the scheduler counters of the running daemons."""
        counters = []
        for instance, daemon in self.daemons.items():
            if daemon.process.popen.poll() is None:
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    counters.append(self.dump(instance)["scheduler"]["counters"])
        return counters
