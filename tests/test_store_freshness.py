"""Guards against acting on old copies of store objects while the store responds.

A watch whose response was lost stays pending, and delivers nothing until its read
timeout.
"""

import pytest
from returns.result import Failure, Success

from lagoonrill._internal.coordination.policy.store_renewal import (
    DELIVERY_S,
    LONG_WATCH_S,
    StoreRenewal,
)
from lagoonrill._internal.coordination.store_follower import (
    STORE,
    ObjectChanges,
    ObjectList,
    StoreFollower,
)
from lagoonrill._internal.coordination.store_freshness import StoreFreshness
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.errors import StoreCallInterrupted
from lagoonrill._internal.protocol.messages import GatewayDigest
from lagoonrill._internal.protocol.routing import StorePosition

BOUND_S = 2.0
INTERRUPTED = Failure(StoreCallInterrupted(message="interrupted"))


class Source:
    """Returns scripted results; while a watch is pending, `during` is called."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.waits = []
        self.interrupts = 0
        self.revision = 1
        self.results = []
        self.during = lambda: None

    def list(self):
        return Success(ObjectList(objects=[], revision=self.revision))

    def changes(self, *, since, wait_s):
        self.waits.append(wait_s)
        if wait_s:
            self.during()
        if self.results:
            return self.results.pop(0)
        return Success(ObjectChanges(changed=[], removed=[], revision=self.revision))

    def interrupt(self):
        self.interrupts += 1
        self.results = [INTERRUPTED]
        return True


class Simulation:
    """An instance with the version 5 of the configuration."""

    def __init__(self):
        self.now = 100.0
        self.log = EventLog()
        self.source = Source(self)
        self.routing = type("Routing", (), {"version": 5})()
        registry = type("Registry", (), {"checksum": 77})()
        discovery = type("Discovery", (), {"position": StorePosition(0, 1)})()
        self.config, self.endpoints = (
            StoreFollower(
                kind=kind,
                source=self.source,
                apply=lambda follower: None,
                event_log=self.log,
                clock=lambda: self.now,
            )
            for kind in ("configuration", "endpoints")
        )
        self.freshness = StoreFreshness(
            renewal=StoreRenewal(bound_s=BOUND_S),
            config_follower=self.config,
            endpoint_follower=self.endpoints,
            routing=self.routing,
            discovery=discovery,
            registry=registry,
            event_log=self.log,
            clock=lambda: self.now,
        )
        self.freshness.rank = lambda: 1
        self.digests = []
        self.config.step()

    def advance(self, seconds: float) -> None:
        """Lets time pass, with a review every 0.1 s."""
        until = self.now + seconds
        while self.now < until and not self.source.interrupts:
            self.now += 0.1
            self.freshness.review(self.digests)

    def watch_for(self, seconds: float) -> None:
        """Steps the follower, whose watch ends after this time or by an interrupt."""
        self.source.during = lambda: self.advance(seconds)
        self.config.step()


def digest(**fields) -> GatewayDigest:
    return GatewayDigest(instance="peer", zone="a", address="x:1", **fields)


@pytest.fixture
def simulation():
    return Simulation()


def test_a_quiet_watch_is_no_evidence_and_is_replaced_before_the_bound(simulation):
    began_at = simulation.now
    simulation.watch_for(LONG_WATCH_S)
    assert simulation.source.interrupts == 1
    assert simulation.now - began_at < BOUND_S
    # The next call doesn't wait, so that its answer shows whether the store responds.
    simulation.config.step()
    assert simulation.source.waits == [LONG_WATCH_S, 0.0]
    assert simulation.config.age_s() < 0.1


def test_an_interrupted_watch_is_no_outage(simulation):
    # Otherwise entries that are removed right after it would be held.
    simulation.watch_for(LONG_WATCH_S)
    simulation.config.step()
    assert simulation.config.outage is None
    assert simulation.config.in_touch


def test_answers_of_a_peer_with_an_equal_copy_keep_the_watch(simulation):
    equal = digest(config_version=5, config_age_ms=0)

    def advance():
        for _ in range(100):
            simulation.advance(0.2)
            simulation.freshness.note_digest(equal, near=True)

        assert simulation.config.confirmed_by == "peer"

    simulation.source.during = advance
    simulation.config.step()
    assert simulation.source.interrupts == 0


@pytest.mark.parametrize(
    "fields",
    [{"config_version": 4, "config_age_ms": 0}, {"config_version": 5}],
    ids=["older_content", "no_answer_of_the_store"],
)
def test_other_digests_are_no_evidence(simulation, fields):
    confirmed_at = simulation.config.confirmed_at
    simulation.now += 1.0
    simulation.freshness.note_digest(digest(**fields), near=True)
    assert simulation.config.confirmed_at == confirmed_at


def test_evidence_of_a_near_peer_is_not_passed_on(simulation):
    # Instances that pass it on to each other would never find it old, because a
    # message takes time that its age doesn't include.
    simulation.now += 1.0
    equal = digest(config_version=5, config_age_ms=0)
    assert not simulation.freshness.note_digest(equal, near=True)
    assert simulation.config.age_s() == 0.0
    assert simulation.freshness.configuration.age_ms(near=True) == 1_000


def test_evidence_of_another_zone_is_passed_on_to_near_peers_only(simulation):
    simulation.now += 1.0
    equal = digest(config_version=5, config_age_ms=200)
    assert simulation.freshness.note_digest(equal, near=False)
    assert simulation.freshness.configuration.age_ms(near=True) == 200
    assert simulation.freshness.configuration.age_ms(near=False) == 1_000


def test_a_watch_that_does_not_deliver_what_a_peer_has_is_replaced(simulation):
    simulation.digests = [digest(config_version=6)]
    began_at = simulation.now
    simulation.watch_for(LONG_WATCH_S)
    assert simulation.source.interrupts == 1
    assert DELIVERY_S < simulation.now - began_at < BOUND_S / 2
    lines = [
        fields for _, name, fields in simulation.log.waiting if name == "watch_replaced"
    ]
    assert lines[0]["reason"] == "a peer has newer content"


def test_a_stale_answer_of_the_store_is_no_evidence(simulation):
    simulation.now += 1.0
    confirmed_at = simulation.config.confirmed_at
    simulation.source.revision = 0
    assert simulation.config.step() > 0
    assert simulation.config.confirmed_at == confirmed_at
    assert simulation.config.revision == 1


def test_an_answer_without_a_wait_is_as_old_as_its_call(simulation):
    simulation.config.in_touch = False
    changes = simulation.source.changes

    def slow_changes(**options):
        simulation.now += 0.4
        return changes(**options)

    simulation.source.changes = slow_changes
    simulation.config.step()
    assert simulation.config.age_s() == pytest.approx(0.4)
    assert simulation.config.confirmed_by == STORE


def test_a_store_that_answers_watches_at_once_is_not_asked_without_a_pause(simulation):
    simulation.source.during = lambda: None
    assert simulation.config.step() == simulation.config.spacing_s


@pytest.mark.parametrize("instances", [4, 35, 78, 390])
def test_short_watches_do_not_grow_with_the_fleet(instances):
    renewal = StoreRenewal(bound_s=BOUND_S)
    waits = [renewal.watch_wait_s(rank=rank, age_s=0.0) for rank in range(instances)]
    assert sum(wait_s < LONG_WATCH_S for wait_s in waits) == 1
    # The others wait for that instance, and replace their watches one after the other.
    doubts = [renewal.doubt_after_s(rank=rank) for rank in range(instances)]
    assert min(doubts) > renewal.interval_s
    assert max(doubts) < BOUND_S


def test_an_answer_for_one_kind_confirms_the_other_at_the_same_revision(simulation):
    simulation.endpoints.step()
    simulation.now += 1.0
    simulation.config.step()
    assert simulation.endpoints.age_s() == 0.0


def test_an_answer_with_a_newer_revision_does_not_confirm_the_other_kind(simulation):
    # The newer revision may be a departure that the watch of the endpoints lost.
    simulation.endpoints.step()
    simulation.now += 1.0
    simulation.source.revision = 2
    simulation.config.step()
    assert simulation.config.age_s() == 0.0
    assert simulation.endpoints.age_s() == 1.0
