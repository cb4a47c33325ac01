"""In-memory fleet for the rollout tests: store, Instance list, peers and clock."""

import random

from returns.result import Failure, Success

from lagoonrill._internal.coordination.apply import ManifestRollout
from lagoonrill._internal.coordination.rollout import Rollout
from lagoonrill._internal.protocol.errors import (
    PeerError,
    PlatformError,
    StoreConflict,
    StoreInDoubt,
    StoreUnavailable,
)
from lagoonrill._internal.protocol.manifest import (
    Endpoint,
    LatencyTarget,
    Manifest,
    RequestClass,
    Team,
)
from lagoonrill._internal.protocol.objects import (
    ListedInstance,
    VersionedObject,
    WatchBatch,
)
from lagoonrill._internal.state.generation import GenerationState, PauseDetector

ZONES = ("a", "b")
# Shorter than the delay that counts as a pause; a smaller step slows the tests down.
TICK_S = 0.9


def manifest(number: int, *, zones: tuple[str, ...] = ZONES) -> Manifest:
    """Returns a manifest whose content depends on `number`."""
    return Manifest(
        classes=[
            RequestClass(
                name="c", tier=0, latency=LatencyTarget(whole_answer_ms=number)
            )
        ],
        endpoints=[
            Endpoint(
                id="e", url="http://10.0.0.1:80", zone=zones[0], slots=1, models=[]
            )
        ],
        teams=[Team(name="t", key_digests=["ab" * 32])],
        zones=list(zones),
    )


class Clock:
    """Clock that only the tests advance."""

    def __init__(self):
        self.now = 1_000.0

    def __call__(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


class MemoryStore:
    """Object store that uses revisions as versions, as the stand-in does."""

    def __init__(self):
        self.objects: dict[str, VersionedObject] = {}
        self.deleted: dict[str, int] = {}
        self.revision = 0
        self.down = False
        self.writes = 0
        # Writes in flight, which `deliver` applies.
        self.late: list = []

    def write(self, name: str, value: bytes | None, version: int | None):
        """Applies a conditional write; version 0 requires that no object exists."""
        current = self.objects.get(name)
        if version is not None and version != (current.version if current else 0):
            return Failure(StoreConflict(message=f"{name} has another version"))
        self.revision += 1
        self.writes += 1
        if value is None:
            self.objects.pop(name, None)
            self.deleted[name] = self.revision
            return Success(None)
        found = VersionedObject(name=name, version=self.revision, value=value)
        self.objects[name] = found
        return Success(self.revision)

    def deliver(self) -> None:
        """Applies the delayed writes in the order in which they were sent."""
        for arguments in self.late:
            self.write(*arguments)
        self.late = []


class StoreClient:
    """Object API client that can be disconnected and can lose replies to writes."""

    def __init__(self, store: MemoryStore):
        self.store = store
        self.cut = False
        # Fault per write: "lost" drops the reply; "late" also delays the write until
        # `deliver`.
        self.faults: list[str] = []
        self.fault_prefix = ""

    def _refused(self) -> Failure | None:
        if self.cut or self.store.down:
            return Failure(StoreUnavailable(message="connection refused"))
        return None

    def _write(self, name: str, value: bytes | None, version: int | None):
        refused = self._refused()
        if refused:
            return refused
        has_fault = self.faults and name.startswith(self.fault_prefix)
        fault = self.faults.pop(0) if has_fault else ""
        if fault == "late":
            self.store.late.append((name, value, version))
        result = None if fault == "late" else self.store.write(name, value, version)
        return Failure(StoreInDoubt(message="answer lost")) if fault else result

    def get(self, name):
        return self._refused() or Success(self.store.objects.get(name))

    def create(self, name, value):
        return self._write(name, value, 0)

    def update(self, name, value, *, version):
        return self._write(name, value, version)

    def delete(self, name, *, version=None):
        return self._write(name, None, version)

    def list(self, prefix, *, after="", limit=500):
        objects = self.store.objects
        names = sorted(n for n in objects if n.startswith(prefix) and n > after)
        return self._refused() or Success([objects[name] for name in names[:limit]])

    def watch(self, prefix, *, since, wait_s):
        store = self.store
        batch = WatchBatch(
            revision=store.revision,
            objects=[
                found
                for name, found in store.objects.items()
                if name.startswith(prefix) and found.version > since
            ],
            deleted=[name for name, at in store.deleted.items() if at > since],
        )
        return self._refused() or Success(batch)


class MemoryList:
    """Instance list of the fleet; tests may change `entries`."""

    def __init__(self):
        self.entries: dict[str, ListedInstance] = {}
        self.down = False

    def fetch(self):
        if self.down:
            return Failure(PlatformError(message="outage"))
        return Success(list(self.entries.values()))

    def add(self, instance: str, zone: str, state: str = "live") -> None:
        self.entries[instance] = ListedInstance(
            id=instance, zone=zone, role="entry", address="10.0.0.9:80", state=state
        )


class Peer:
    """State of a peer as known to a member."""

    def __init__(self, instance: str, generation: int):
        self.instance = instance
        self.generation = generation


class MemoryMembership:
    """Membership of one instance; disconnected and frozen peers do not reply."""

    def __init__(self, fleet: "Fleet", instance: str):
        self.fleet = fleet
        self.instance = instance
        self.handlers = {}

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def live_peers(self) -> list[Peer]:
        others = (n for n in self.fleet.nodes if n != self.instance)
        reachable = [n for n in others if self.fleet.connected(self.instance, n)]
        nodes = self.fleet.nodes
        return [Peer(name, nodes[name].generations.generation()) for name in reachable]

    def request(self, instance, message, timeout_s):
        node = self.fleet.nodes.get(instance)
        answer = None
        if node and self.fleet.connected(self.instance, instance) and not node.frozen:
            answer = node.links.handlers[type(message)](message)
        if answer is None:
            return Failure(PeerError(message="no answer"))
        return Success(answer)


class Node:
    """Instance with its rollout, its store client and its generation history."""

    def __init__(self, fleet: "Fleet", name: str, zone: str, checks=()):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.frozen = False
        self.store = StoreClient(fleet.store)
        self.links = MemoryMembership(fleet, name)
        self.generations = GenerationState()
        self.history: list[int] = []
        self.generations.subscribe(lambda r: self.history.append(r.generation))
        self.rollout = Rollout(
            instance=name,
            zone=zone,
            store=self.store,
            membership=self.links,
            generations=self.generations,
            pauses=PauseDetector(clock=fleet.clock),
            stage_checks=checks,
            clock=fleet.clock,
            wall_clock=fleet.clock,
        )

    def step(self, *, poll: bool = True) -> None:
        """Does the work of the rollout's threads in one poll interval."""
        if self.frozen:
            return
        self.rollout.tick()
        if self.rollout._needs_confirmation():
            self.rollout.confirm()
        else:
            self.rollout.check_peers()
        self.rollout.watch_once(0)
        if poll:
            self.rollout.poll_store()
        if self.rollout.status_is_due():
            self.rollout.write_status()

    def serves(self) -> bool:
        """Returns whether a request that arrives now would be served."""
        return not self.frozen and self.rollout.ready().ready


class Fleet:
    """Instances by name, with the platform services that they share."""

    def __init__(self):
        self.clock = Clock()
        self.store = MemoryStore()
        self.list = MemoryList()
        self.nodes: dict[str, Node] = {}
        self.cut_zones: set[str] = set()

    def connected(self, one: str, other: str) -> bool:
        zones = {self.nodes[one].zone, self.nodes[other].zone}
        return len(zones) == 1 or not zones & self.cut_zones

    def start(self, name: str, zone: str, *, listed: bool = True, checks=()) -> Node:
        """Starts an instance and replaces any existing one with that name."""
        node = Node(self, name, zone, checks)
        node.store.cut = zone in self.cut_zones
        self.nodes[name] = node
        if listed:
            self.list.add(name, zone)
        return node

    def cut(self, zone: str) -> None:
        """Disconnects a zone from the store and from the other zones."""
        self.cut_zones.add(zone)
        self._update_cuts()

    def heal(self, zone: str) -> None:
        self.cut_zones.discard(zone)
        self._update_cuts()

    def _update_cuts(self) -> None:
        for node in self.nodes.values():
            node.store.cut = node.zone in self.cut_zones

    def step(self) -> None:
        for node in list(self.nodes.values()):
            node.step()

    def advance(self, seconds: float) -> None:
        """Advances the clock and ticks every instance that is not frozen."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.sleep(min(TICK_S, end - self.clock.now))
            for node in self.nodes.values():
                if not node.frozen:
                    node.rollout.tick()
        self.step()

    def tool(self, number: int, **options) -> ManifestRollout:
        """Returns a run of the command-line tool; its waits advance the fleet."""
        zones = options.pop("zones", ZONES)
        return ManifestRollout(
            manifest=manifest(number, zones=zones),
            store=StoreClient(self.store),
            instance_list=self.list,
            clock=self.clock,
            wall_clock=self.clock,
            sleep=self.advance,
            **options,
        )


def start_fleet(*instances: str) -> Fleet:
    """Starts instances at generation 1; the first letter of a name is its zone."""
    fleet = Fleet()
    for name in instances:
        fleet.start(name, name[0])
    fleet.step()
    assert fleet.tool(1).run().result == "accepted"
    return fleet


def shuffled(names, seed: int) -> list[str]:
    """Returns names in an order that depends on a seed."""
    names = sorted(names)
    random.Random(seed).shuffle(names)
    return names
