"""Guards against requests to endpoints that have left, and against lost endpoints.

Entries expire during a store outage, are removed, or come from an older list.
"""

import pytest
from returns.result import Failure, Success

from lagoonrill._internal.coordination.endpoint_discovery import (
    DEPARTED_LIFETIME_S,
    MAX_DEPARTED,
    RESTORED_ENTRY_S,
    EndpointDiscovery,
)
from lagoonrill._internal.coordination.policy.expired_entries import (
    REAPPEAR_S,
    ExpiredEntries,
)
from lagoonrill._internal.coordination.store_follower import (
    CHANGE_SPACING_S,
    MAX_PAUSE_S,
    WANTED_SPACING_S,
    ObjectChanges,
    ObjectList,
    StoreFollower,
    StoreObject,
)
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.errors import StoreHistoryGone, StoreUnavailable
from lagoonrill._internal.protocol.routing import EndpointRecord, StorePosition
from lagoonrill._internal.state import endpoint_registry
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry

DOWN = Failure(StoreUnavailable(message="down"))
HISTORY_GONE = Failure(StoreHistoryGone(message="gone"))


def entry(id: str, **options) -> StoreObject:
    defaults = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 1}
    content = EndpointRecord(id=id, **(defaults | options))
    return StoreObject(name=id, content=content)


def listed(*objects, revision=1, era=0):
    return Success(ObjectList(objects=list(objects), revision=revision, era=era))


def changes(*changed, removed=(), revision=2, era=0):
    return Success(
        ObjectChanges(
            changed=list(changed), removed=list(removed), revision=revision, era=era
        )
    )


class ScriptedSource:
    """Returns the next scripted result for each call."""

    def __init__(self):
        self.script = []
        self.calls = []

    def list(self):
        self.calls.append("list")
        return self._next()

    def changes(self, *, since, wait_s):
        self.calls.append(since)
        return self._next()

    def _next(self):
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class Simulation:
    def __init__(self):
        self.now = 100.0
        self.log = EventLog()
        self.registry = EndpointRegistry(clock=lambda: self.now)
        self.discovery = EndpointDiscovery(
            registry=self.registry,
            expired_entries=ExpiredEntries(drain_s=2.0, contact_s=3.0),
            event_log=self.log,
            changed=lambda: None,
            clock=lambda: self.now,
        )
        self.source = ScriptedSource()
        self.follower = StoreFollower(
            kind="endpoints",
            source=self.source,
            apply=self.discovery.apply,
            event_log=self.log,
            clock=lambda: self.now,
        )

    def run_steps(self, *results):
        self.source.script.extend(results)
        for _ in results:
            self.follower.step()

    def ready(self):
        return [record.id for record in self.registry.ready("s")]


@pytest.fixture
def simulation():
    return Simulation()


def test_leaving_and_removed_endpoints_get_no_work_at_once(simulation):
    simulation.run_steps(listed(entry("a"), entry("b"), entry("c")))
    simulation.run_steps(changes(entry("a", leaving=True), removed=["b"]))
    assert simulation.ready() == ["c"]


def test_an_unreadable_entry_is_skipped_and_the_others_are_kept(simulation):
    bad = StoreObject(name="x", content=None)
    simulation.run_steps(listed(entry("a"), bad))
    assert simulation.ready() == ["a"]


def test_known_endpoints_stay_in_use_during_a_store_outage(simulation):
    simulation.run_steps(listed(entry("a")), DOWN, DOWN, DOWN)
    assert simulation.ready() == ["a"]
    assert [event for _, event, _ in simulation.log.waiting].count("store_lost") == 1


def test_entries_that_expired_during_an_outage_are_held_until_they_reappear(
    simulation,
):
    simulation.run_steps(listed(entry("a"), entry("b")), DOWN)
    simulation.now += 4.5
    simulation.run_steps(DOWN)
    simulation.now += 0.5
    simulation.run_steps(changes(removed=["a", "b"]))
    assert simulation.ready() == ["a", "b"]
    simulation.run_steps(changes(entry("a"), revision=9))
    simulation.now += REAPPEAR_S
    simulation.discovery.expire_holds()
    # Entries that have not reappeared by then are dropped.
    assert simulation.ready() == ["a"]


def test_a_leaving_endpoint_is_not_held(simulation):
    simulation.run_steps(listed(entry("a", leaving=True)), DOWN)
    simulation.run_steps(changes(removed=["a"]))
    assert simulation.registry.records == {}


def test_a_removed_entry_is_dropped_at_once_without_an_outage(simulation):
    simulation.run_steps(listed(entry("a")))
    simulation.now += 60
    simulation.run_steps(changes(removed=["a"]))
    assert simulation.ready() == []


def test_dropped_history_leads_to_a_list(simulation):
    simulation.run_steps(
        listed(entry("a"), revision=5), HISTORY_GONE, listed(entry("b"), revision=9)
    )
    assert simulation.source.calls == ["list", 5, "list"]
    assert simulation.ready() == ["b"]


@pytest.mark.parametrize("is_wanted", [False, True])
def test_changes_come_sooner_while_requests_wait_for_one(simulation, is_wanted):
    """Guards against streams whose caller leaves before their engine is known.

    Their engine is back, but its entry waits for the next batch of changes.
    """
    simulation.follower.is_wanted = lambda: is_wanted
    simulation.run_steps(listed(entry("a")))
    simulation.source.script.append(changes(entry("b")))
    expected_s = WANTED_SPACING_S if is_wanted else CHANGE_SPACING_S
    assert simulation.follower.step() == expected_s


def test_an_older_list_does_not_replace_newer_entries(simulation):
    simulation.run_steps(listed(entry("a", leaving=True), revision=9), HISTORY_GONE)
    simulation.run_steps(listed(entry("a"), revision=4))
    assert simulation.ready() == []


def test_an_older_list_of_a_peer_is_ignored(simulation):
    simulation.run_steps(listed(entry("a", leaving=True), revision=9))
    old = entry("a").content
    assert not simulation.discovery.apply_from_peer([old], revision=8, held_for_s={})
    assert simulation.ready() == []


def test_a_restart_under_the_same_id_clears_suspicion(simulation):
    simulation.run_steps(listed(entry("a", incarnation=1)))
    simulation.registry.note_failure("a", unreachable=True)
    assert simulation.registry.is_suspect("a")
    simulation.run_steps(changes(entry("a", incarnation=2)))
    assert not simulation.registry.is_suspect("a")


def test_a_first_list_from_a_peer_has_the_entries_that_the_peer_holds(simulation):
    records = [entry("a").content, entry("b").content]
    simulation.discovery.apply_from_peer(records, revision=5, held_for_s={"b": 1.0})
    assert simulation.ready() == ["a", "b"]
    simulation.now += 1.0
    assert simulation.ready() == ["a"]


def test_entries_held_by_a_peer_do_not_restore_endpoints_that_left(simulation):
    simulation.run_steps(
        listed(entry("a"), entry("b"), entry("c", leaving=True), revision=3)
    )
    simulation.run_steps(changes(removed=["b"], revision=4))
    records = [entry("a").content, entry("b").content, entry("c").content]
    held = {"b": 1.0, "c": 1.0}
    simulation.discovery.apply_from_peer(records, revision=5, held_for_s=held)
    assert simulation.ready() == ["a"]


def test_a_hold_ends_when_a_peer_knows_that_the_endpoint_left(simulation):
    simulation.run_steps(listed(entry("a"), entry("b")), DOWN)
    simulation.now += 2.0
    simulation.run_steps(DOWN)
    simulation.run_steps(changes(removed=["b"], revision=4))
    assert simulation.ready() == ["a", "b"]
    simulation.discovery.apply_from_peer(
        [entry("a").content], revision=5, held_for_s={}
    )
    assert simulation.ready() == ["a"]


def test_an_entry_that_became_unreadable_is_dropped_even_after_an_outage(
    simulation,
):
    simulation.run_steps(listed(entry("a"), entry("b")), DOWN)
    simulation.now += 2.0
    bad = StoreObject(name="a", content=None)
    simulation.run_steps(DOWN, changes(bad, removed=["b"]))
    assert simulation.ready() == ["b"]


def test_a_change_of_an_unknown_object_leads_to_a_list(simulation):
    # The change may be the departure of a known endpoint.
    simulation.run_steps(listed(entry("a"), entry("b")))
    unknown = Success(ObjectChanges(changed=[], removed=[], revision=3, complete=False))
    simulation.run_steps(unknown, listed(entry("b"), revision=3))
    assert simulation.ready() == ["b"]


def test_a_source_that_fails_in_an_unknown_way_does_not_end_the_follower(simulation):
    # An uncaught exception would end the thread, and the list would stay stale.
    simulation.run_steps(listed(entry("a"), entry("b")))
    simulation.source.script = [RecursionError("deep"), changes(removed=["a"])]
    simulation.follower.stopping.wait = lambda _: (
        simulation.source.script or simulation.follower.stop()
    )
    simulation.follower.run()
    assert simulation.ready() == ["b"]


def test_a_late_heartbeat_does_not_take_back_that_an_endpoint_is_leaving(simulation):
    simulation.run_steps(listed(entry("a", incarnation=7), entry("b")))
    simulation.run_steps(changes(entry("a", incarnation=7, leaving=True), revision=2))
    simulation.run_steps(changes(entry("a", incarnation=7), revision=3))
    assert simulation.ready() == ["b"]
    simulation.run_steps(changes(entry("a", incarnation=8), revision=4))
    assert simulation.ready() == ["a", "b"]


def test_a_list_of_a_later_era_is_taken_although_its_revision_is_lower(simulation):
    simulation.run_steps(listed(entry("a"), revision=28, era=1), HISTORY_GONE)
    simulation.run_steps(listed(entry("b"), revision=18, era=2))
    simulation.now += REAPPEAR_S
    simulation.discovery.expire_holds()
    assert simulation.ready() == ["b"]


def test_changes_since_a_revision_of_an_earlier_era_lead_to_a_list(simulation):
    simulation.run_steps(listed(entry("a"), entry("b"), revision=28, era=1))
    simulation.run_steps(changes(revision=30, era=2))
    simulation.run_steps(listed(entry("b", slots=9), revision=30, era=2))
    assert simulation.source.calls == ["list", 28, "list"]


@pytest.mark.parametrize("era", [0, 1], ids=["without_era", "earlier_era"])
def test_a_late_answer_of_an_earlier_history_is_ignored(simulation, era):
    simulation.run_steps(listed(entry("a"), revision=28, era=1), HISTORY_GONE)
    simulation.run_steps(listed(entry("a", leaving=True), revision=18, era=2))
    simulation.run_steps(changes(entry("a"), revision=99, era=era))
    assert simulation.ready() == []
    assert simulation.follower.position == StorePosition(2, 18)


def test_ignored_answers_are_logged_once_and_asked_for_less_and_less(simulation):
    simulation.run_steps(listed(entry("a"), revision=9), HISTORY_GONE)
    stale = listed(entry("b"), revision=4)
    simulation.source.script.extend([stale] * 6)
    pauses = [simulation.follower.step() for _ in range(6)]
    assert pauses == sorted(pauses) and pauses[-1] == MAX_PAUSE_S
    events = [event for _, event, _ in simulation.log.waiting]
    assert events.count("store_answer_stale") == 1


def test_a_list_of_a_peer_from_an_earlier_era_is_ignored(simulation):
    simulation.run_steps(listed(entry("a", leaving=True), revision=18, era=2))
    old = entry("a").content
    assert not simulation.discovery.apply_from_peer(
        [old], revision=28, era=1, held_for_s={}
    )
    assert simulation.ready() == []


def test_a_list_of_a_peer_from_a_later_era_is_taken(simulation):
    simulation.run_steps(listed(entry("a"), revision=28, era=1))
    new = entry("a", leaving=True).content
    assert simulation.discovery.apply_from_peer(
        [new], revision=18, era=2, held_for_s={}
    )
    assert simulation.ready() == []


def test_a_restored_entry_of_an_endpoint_that_left_is_not_used(simulation):
    simulation.run_steps(
        listed(entry("a"), entry("b", leaving=True), entry("c"), revision=27, era=1)
    )
    simulation.run_steps(changes(removed=["a"], revision=28, era=1), HISTORY_GONE)
    copy = listed(entry("a"), entry("b"), entry("c"), revision=18, era=2)
    simulation.run_steps(copy)
    assert simulation.ready() == ["c"]
    # Other changes do not end the doubt.
    simulation.run_steps(changes(entry("d"), revision=19, era=2))
    assert simulation.ready() == ["c", "d"]


def test_a_restored_entry_is_used_once_its_endpoint_changes_it(simulation):
    simulation.run_steps(listed(entry("a"), entry("c"), revision=27, era=1))
    simulation.run_steps(changes(removed=["a"], revision=28, era=1), HISTORY_GONE)
    simulation.run_steps(listed(entry("a"), entry("c"), revision=18, era=2))
    simulation.run_steps(changes(entry("a", slots=3), revision=19, era=2))
    assert simulation.ready() == ["a", "c"]


def test_a_restored_entry_that_does_not_expire_is_used_after_a_while(simulation):
    simulation.run_steps(listed(entry("a"), entry("c"), revision=27, era=1))
    simulation.run_steps(changes(removed=["a"], revision=28, era=1), HISTORY_GONE)
    simulation.run_steps(listed(entry("a"), entry("c"), revision=18, era=2))
    simulation.now += RESTORED_ENTRY_S - 0.1
    simulation.discovery.expire_holds()
    assert simulation.ready() == ["c"]
    simulation.now += 0.1
    simulation.discovery.expire_holds()
    assert simulation.ready() == ["a", "c"]
    # It is not doubted after a further restore.
    simulation.run_steps(HISTORY_GONE)
    simulation.run_steps(listed(entry("a"), entry("c"), revision=10, era=3))
    assert simulation.ready() == ["a", "c"]


def test_a_restored_entry_is_doubted_after_a_first_list_of_a_peer(simulation):
    """A peer leaves the entries out that it doubts."""
    simulation.run_steps(listed(entry("a"), entry("c"), revision=27, era=1))
    simulation.run_steps(changes(removed=["a"], revision=28, era=1), HISTORY_GONE)
    peer = [entry("c").content]
    for revision in (18, 19):
        simulation.now += 0.2
        simulation.discovery.apply_from_peer(
            peer, revision=revision, era=2, held_for_s={}
        )
        copy = listed(entry("a"), entry("c"), revision=revision, era=2)
        simulation.run_steps(copy, HISTORY_GONE)
        assert simulation.ready() == ["c"]
    # The endpoint is alive after all.
    simulation.run_steps(listed(entry("a", slots=3), entry("c"), revision=20, era=2))
    assert simulation.ready() == ["a", "c"]


def test_an_endpoint_that_departs_after_a_restore_is_not_doubted(simulation):
    simulation.run_steps(listed(entry("a"), entry("c"), revision=28, era=1))
    simulation.run_steps(HISTORY_GONE, listed(entry("c"), revision=18, era=2))
    simulation.now += REAPPEAR_S
    simulation.discovery.expire_holds()
    assert simulation.ready() == ["c"]
    simulation.run_steps(changes(entry("a"), revision=19, era=2))
    assert simulation.ready() == ["a", "c"]


def test_an_endpoint_that_the_copy_lacks_is_held_until_it_writes_again(simulation):
    simulation.run_steps(listed(entry("a"), entry("b"), revision=28, era=1))
    # The instance noticed no outage.
    simulation.run_steps(HISTORY_GONE, listed(revision=18, era=2))
    assert simulation.ready() == ["a", "b"]
    simulation.run_steps(changes(entry("a"), revision=19, era=2))
    simulation.now += REAPPEAR_S
    simulation.discovery.expire_holds()
    assert simulation.ready() == ["a"]
    # A removal after the restore counts at once.
    simulation.run_steps(changes(removed=["a"], revision=20, era=2))
    assert simulation.ready() == []


def test_departed_endpoints_are_remembered_for_a_limited_time_and_number(simulation):
    simulation.run_steps(listed(entry("a"), revision=1, era=1))
    simulation.run_steps(changes(removed=["a"], revision=2, era=1))
    simulation.now += DEPARTED_LIFETIME_S + 1
    simulation.run_steps(changes(entry("b"), revision=3, era=1))
    assert not simulation.discovery.departed
    names = [f"n{number}" for number in range(MAX_DEPARTED + 9)]
    simulation.run_steps(changes(*map(entry, names), revision=4, era=1))
    simulation.run_steps(changes(removed=names, revision=5, era=1))
    assert len(simulation.discovery.departed) == MAX_DEPARTED


def test_a_change_that_fails_half_way_is_applied_again(simulation, monkeypatch):
    """The registry had new records and the old edition, and nobody tried again."""
    simulation.run_steps(listed(entry("a")))
    edition = simulation.registry.edition

    def fail(records):
        raise UnicodeError("odd entry")

    with monkeypatch.context() as patch:
        patch.setattr(endpoint_registry, "checksum_of", fail)
        with pytest.raises(UnicodeError):
            simulation.run_steps(changes(entry("b"), removed=["a"]))
    # Nothing is half in force.
    assert simulation.ready() == ["a"]
    assert set(simulation.registry.records) == {"a"}
    assert simulation.registry.edition == edition
    assert not simulation.follower.is_applied
    simulation.run_steps(listed(entry("b"), revision=9))
    assert simulation.source.calls[-1] == "list"
    assert simulation.follower.is_applied
    assert simulation.ready() == ["b"]
    assert simulation.registry.edition > edition


def test_a_part_that_fails_keeps_a_change_from_no_other(simulation):
    simulation.discovery.changed = lambda: 1 / 0
    with pytest.raises(ZeroDivisionError):
        simulation.run_steps(listed(entry("a")))
    simulation.discovery.changed = lambda: None
    simulation.run_steps(listed(entry("a")))
    assert simulation.source.calls[-1] == "list"
    assert simulation.ready() == ["a"]
