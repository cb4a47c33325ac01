"""Guards against requests to an endpoint after the grace period of its departure.

The simulated store advances the clock: as with the platform's store, a watch returns
when an object changes or when its wait time is over.
"""

import threading

import pytest
from returns.result import Failure, Success

from lagoonrill._internal.coordination.crash_reports import CrashReports
from lagoonrill._internal.coordination.endpoint_discovery import EndpointDiscovery
from lagoonrill._internal.coordination.endpoint_signals import EndpointSignals
from lagoonrill._internal.coordination.gateway_peers import GatewayPeers
from lagoonrill._internal.coordination.policy.crash_evidence import CrashEvidence
from lagoonrill._internal.coordination.policy.expired_entries import ExpiredEntries
from lagoonrill._internal.coordination.policy.store_renewal import (
    LONG_WATCH_S,
    StoreRenewal,
)
from lagoonrill._internal.coordination.routing_catch_up import (
    ASK_AFTER_S,
    REVIEW_INTERVAL_S,
)
from lagoonrill._internal.coordination.send_permits import SendPermits
from lagoonrill._internal.coordination.store_follower import (
    MAX_PAUSE_S,
    ObjectChanges,
    ObjectList,
    StoreFollower,
    StoreObject,
)
from lagoonrill._internal.coordination.store_freshness import StoreFreshness
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.errors import StoreInDoubt, StoreUnavailable
from lagoonrill._internal.protocol.messages import GatewayDigest, RoutingRequest
from lagoonrill._internal.protocol.routing import EndpointRecord, StorePosition
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry
from lagoonrill._internal.state.engine_load_table import EngineLoadTable
from tests.gateway_kit import wait_until

# Time for which an endpoint without an entry may still receive requests.
DRAIN_S = 2.0
# Time after an instance reaches the store again until the limit applies to it.
CONTACT_S = 3.0
WATCH_FAILED = Failure(StoreInDoubt(message="the watch was interrupted"))
UNREACHABLE = Failure(StoreUnavailable(message="connect timed out"))
CONNECT_TIMEOUT_S = 0.7


def entry(id: str, **options) -> StoreObject:
    defaults = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 1}
    content = EndpointRecord(id=id, **(defaults | options))
    return StoreObject(name=id, content=content)


class TimedStore:
    """Simulates a store with scheduled changes, a blocking watch and outages."""

    def __init__(self, simulation, names):
        self.simulation = simulation
        self.revision = 1
        self.objects = {name: entry(name) for name in names}
        # (time, name, new object or None for a removal), ordered by time.
        self.scheduled: list[tuple[float, str, StoreObject | None]] = []
        self.applied: list[tuple[int, str, StoreObject | None]] = []
        # Time at which a pending watch fails.
        self.watch_fails_at: float | None = None
        # Calls that begin before this time fail to connect.
        self.unreachable_until = 0.0

    def remove(self, name: str, at: float) -> None:
        self.scheduled.append((at, name, None))
        self.scheduled.sort(key=lambda item: item[0])

    def change_unrelated_object(self, at: float) -> None:
        """Schedules a change of an unrelated object, which ends a pending watch."""
        self.scheduled.append((at, "other", entry("other", service="other")))
        self.scheduled.sort(key=lambda item: item[0])

    def _apply_until(self, until: float) -> None:
        while self.scheduled and self.scheduled[0][0] <= until:
            _, name, item = self.scheduled.pop(0)
            self.revision += 1
            if item is None:
                del self.objects[name]
            else:
                self.objects[name] = item
            self.applied.append((self.revision, name, item))

    def _unreachable(self):
        self.simulation.now += CONNECT_TIMEOUT_S
        return UNREACHABLE

    def list(self):
        if self.simulation.now < self.unreachable_until:
            return self._unreachable()
        self._apply_until(self.simulation.now)
        objects = list(self.objects.values())
        return Success(ObjectList(objects=objects, revision=self.revision))

    def changes(self, *, since, wait_s):
        if self.simulation.now < self.unreachable_until:
            return self._unreachable()
        self._apply_until(self.simulation.now)
        if self.revision <= since:
            over_at = self.simulation.now + wait_s
            if self.watch_fails_at is not None and self.watch_fails_at <= over_at:
                self.simulation.now, self.watch_fails_at = self.watch_fails_at, None
                return WATCH_FAILED
            next_at = self.scheduled[0][0] if self.scheduled else over_at
            self.simulation.now = min(over_at, next_at)
            self._apply_until(self.simulation.now)
        newer_changes = [item for item in self.applied if item[0] > since]
        changed = [item for _, _, item in newer_changes if item is not None]
        removed = [name for _, name, item in newer_changes if item is None]
        return Success(
            ObjectChanges(changed=changed, removed=removed, revision=self.revision)
        )


class PeerLinkStub:
    """Stub of a link to one other instance, which answers from its own state."""

    def __init__(self, address):
        self.address = address
        self.other: GatewayPeers | None = None

    def register_handler(self, message_type, handler, *, inline=False):
        pass

    def connect(self, address):
        pass

    def request(self, address, message, timeout_s):
        assert isinstance(message, RoutingRequest)
        return Success(self.other.catch_up.answer(message))


class RoutingStub:
    version = 1
    table = None

    def changes_since(self, version):
        return []


class Simulation:
    """Holds the simulated store and one instance that follows it."""

    def __init__(self, names=("a", "b")):
        self.now = 100.0
        self.store = TimedStore(self, names)
        self.here = Instance(self, "here")

    def ready(self):
        return self.here.ready()


class Instance:
    def __init__(self, simulation: Simulation, name: str):
        self.name = name
        log = EventLog()
        clock = self.clock = lambda: simulation.now
        self.simulation = simulation
        self.registry = EndpointRegistry(clock=clock)
        self.discovery = EndpointDiscovery(
            registry=self.registry,
            expired_entries=ExpiredEntries(drain_s=DRAIN_S, contact_s=CONTACT_S),
            event_log=log,
            changed=lambda: None,
            clock=clock,
        )
        self.follower = StoreFollower(
            kind="endpoints",
            source=simulation.store,
            apply=self.discovery.apply,
            event_log=log,
            clock=clock,
        )
        # Only says whether the store is reached.
        self.config_follower = StoreFollower(
            kind="configuration", source=None, apply=None, event_log=log, clock=clock
        )
        self.config_follower.in_touch = True
        freshness = StoreFreshness(
            renewal=StoreRenewal(bound_s=DRAIN_S),
            config_follower=self.config_follower,
            endpoint_follower=self.follower,
            routing=RoutingStub(),
            discovery=self.discovery,
            registry=self.registry,
            event_log=log,
            clock=clock,
        )
        # Long watches, so that a watch fails or ends at the time that the test sets.
        self.follower.watch_wait_s = lambda age_s: LONG_WATCH_S
        self.peers = GatewayPeers(
            instance=name,
            zone="a",
            link=PeerLinkStub(f"127.0.0.1:{1 + len(name)}"),
            seeds=[],
            expected_instances=1,
            routing=RoutingStub(),
            discovery=self.discovery,
            registry=self.registry,
            load_table=EngineLoadTable(),
            freshness=freshness,
            crash_reports=CrashReports(
                evidence=CrashEvidence(), registry=self.registry, event_log=EventLog()
            ),
            signals=EndpointSignals(
                instance="me",
                permits=SendPermits(instance="me", event_log=EventLog()),
                event_log=EventLog(),
            ),
            work_changed=lambda: None,
            stream_engines=dict,
            event_log=log,
            clock=clock,
        )

    def ready(self):
        return [record.id for record in self.registry.ready("s")]

    def follow(self, until: float) -> None:
        """Steps the follower until a time, with the pauses that its thread makes."""
        self.simulation.store.change_unrelated_object(until)
        while self.simulation.now < until:
            pause_s = self.follower.step()
            self.simulation.now = max(
                self.simulation.now, min(until, self.simulation.now + pause_s)
            )

    def reconnect(self) -> None:
        """Steps the follower until the store answers again."""
        self.follower.step()
        while not self.follower.in_touch:
            self.simulation.now += self.follower.step()

    def receive_digests(
        self, other: "Instance", for_s: float = 2 * ASK_AFTER_S
    ) -> None:
        """Handles digests of another instance and catches up with its state."""
        self.peers.link.other = other.peers
        digest = GatewayDigest(
            instance=other.name,
            zone="a",
            address=other.peers.link.address,
            config_version=1,
            endpoint_revision=other.discovery.position.revision,
            endpoint_checksum=other.registry.checksum,
            store_in_touch=True,
        )
        until = self.simulation.now + for_s
        while self.simulation.now < until:
            self.peers._handle_digest(digest)
            self.peers.run_maintenance()
            self.simulation.now += REVIEW_INTERVAL_S


@pytest.fixture
def simulation():
    built = Simulation()
    built.here.follow(101.0)
    return built


def test_a_removal_long_after_a_failed_watch_is_not_held(simulation):
    # Otherwise an instance whose watch was interrupted earlier keeps sending for two
    # seconds.
    simulation.store.watch_fails_at = 103.0
    simulation.store.remove("a", 112.0)
    simulation.here.follow(112.5)
    assert simulation.ready() == ["b"]


def test_a_removal_right_after_a_failed_watch_is_not_held(simulation):
    simulation.store.watch_fails_at = 103.0
    simulation.store.remove("a", 103.1)
    simulation.here.follow(103.6)
    assert simulation.ready() == ["b"]


def test_an_entry_is_not_used_after_its_hold_even_if_it_is_not_expired_yet(simulation):
    # The thread that expires holds may be blocked on a request to a peer.
    simulation.store.unreachable_until = 107.0
    simulation.store.remove("a", 105.0)
    simulation.here.reconnect()
    assert simulation.ready() == ["a", "b"]
    simulation.now += DRAIN_S
    assert simulation.ready() == ["b"]


def test_an_entry_removed_before_the_recovery_is_noticed_is_dropped_in_time(
    simulation,
):
    # A hold that starts when the recovery is noticed starts up to 1.5 s too late.
    simulation.store.unreachable_until = outage_ended_at = 109.3
    simulation.here.follow(109.2)
    simulation.now = 109.29
    assert simulation.here.follower.step() > 0
    simulation.store.remove("a", 109.5)
    simulation.now += MAX_PAUSE_S
    simulation.here.follower.step()
    simulation.now = outage_ended_at + CONTACT_S
    assert simulation.ready() == ["b"]


def test_a_held_entry_that_a_peer_passes_on_keeps_the_end_of_its_hold(simulation):
    # A receiver that treats it as an entry of the store keeps it without a limit.
    there = Instance(simulation, "there")
    there.config_follower.in_touch = False
    simulation.store.unreachable_until = 107.0
    simulation.store.remove("a", 105.0)
    simulation.here.reconnect()
    learned_at = simulation.now
    there.receive_digests(simulation.here)
    assert there.ready() == ["a", "b"]
    simulation.now = learned_at + DRAIN_S
    assert there.ready() == ["b"]


def test_a_peer_with_a_newer_list_replaces_an_unresponsive_watch(simulation):
    # A watch whose response was lost stays open, and the store counts as reachable.
    there = Instance(simulation, "there")
    there.follow(102.0)
    simulation.store.remove("a", 102.0)
    there.follow(102.1)
    simulation.here.receive_digests(there, for_s=DRAIN_S - 0.5)
    assert simulation.ready() == ["b"]


def test_an_unchanged_list_is_not_requested_when_only_its_revision_is_old(simulation):
    # Unrelated objects advance the store's revision; each catch-up request would
    # transfer the whole list.
    there = Instance(simulation, "there")
    there.follow(102.0)
    revision = there.discovery.position.revision - 1
    simulation.here.discovery.position = StorePosition(0, revision)
    simulation.here.registry.replace(there.registry.records)
    simulation.here.peers.link.request = None
    simulation.here.receive_digests(there, for_s=10.0)


def test_an_old_list_is_not_passed_on_under_a_new_revision(simulation):
    # The receiver would keep an endpoint that has left until the next change of the
    # list.
    replies = []
    install = simulation.here.registry.replace

    def answer_meanwhile(records, **options):
        request = RoutingRequest(config_version=1, endpoint_revision=0)
        peer = threading.Thread(
            target=lambda: replies.append(
                simulation.here.peers.catch_up.answer(request)
            )
        )
        peer.start()
        peer.join(0.1)
        install(records, **options)

    simulation.here.registry.replace = answer_meanwhile
    simulation.store.remove("a", 102.0)
    simulation.here.follow(102.1)
    assert wait_until(lambda: replies)
    names = [record.id for record in replies[0].endpoints]
    assert (
        replies[0].endpoint_revision < simulation.here.discovery.position.revision
        or "a" not in names
    )
