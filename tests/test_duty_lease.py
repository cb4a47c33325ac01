"""Tests of the lease: one test for each row of the failure table that concerns it."""

import random

import pytest

from lagoonrill._internal.duties.lease import DutyLease
from lagoonrill._internal.event_log import EventLog

from .duty_kit import ManualClock, MemoryStore

LEASE_S = 3.0
STEP_S = 0.1


class Fleet:
    """Instances by name; the first reachable one is the candidate."""

    def __init__(self, *names: str):
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.leases = {name: self.lease(name) for name in names}
        # Instances that are not running, or that are frozen.
        self.stopped: set[str] = set()
        # Name and token, once for each time that they acted.
        self.acted: list[tuple[float, str, int]] = []

    def lease(self, name: str) -> DutyLease:
        return DutyLease(
            name="d",
            instance=name,
            store=self.store,
            lease_s=LEASE_S,
            event_log=EventLog(),
            clock=self.clock,
        )

    def holders(self) -> list[str]:
        return [name for name, lease in self.leases.items() if lease.token()]

    def run(self, seconds: float) -> None:
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now += STEP_S
            running = [name for name in self.leases if name not in self.stopped]
            for name in running:
                self.leases[name].step(name == min(running))
                if token := self.leases[name].token():
                    self.acted.append((self.clock.now, name, token))


@pytest.fixture
def fleet():
    fleet = Fleet("a", "b")
    fleet.run(5.5)
    assert fleet.holders() == ["a"]
    return fleet


def test_one_instance_holds_and_only_it_calls_the_store(fleet):
    before = len(fleet.store.calls)
    fleet.run(30)
    assert {name for _, name, _ in fleet.acted} == {"a"}
    assert len({token for _, _, token in fleet.acted}) == 1
    assert len(fleet.store.calls) - before <= 30


def test_a_killed_holder_is_followed_after_the_lease_time(fleet):
    old = fleet.leases["a"].token()
    fleet.leases["a"].progress["window"] = 7
    fleet.run(1.2)
    fleet.stopped.add("a")
    fleet.run(3.5)
    assert fleet.holders() == []
    fleet.run(1)
    assert fleet.leases["b"].token() > old
    assert fleet.leases["b"].progress == {"window": 7}


def test_a_frozen_holder_may_not_act_when_it_wakes_up(fleet):
    fleet.stopped.add("a")
    fleet.run(10)
    assert fleet.holders() == ["b"]
    assert fleet.leases["a"].token() is None
    fleet.stopped.clear()
    fleet.run(10)
    # It is the candidate again, but there is no hand-over without need.
    assert fleet.holders() == ["b"]


def test_nobody_acts_in_a_store_outage_and_the_same_holder_goes_on(fleet):
    token = fleet.leases["a"].token()
    fleet.store.mode = "down"
    fleet.run(0.8 * LEASE_S + 2 * STEP_S)
    assert fleet.holders() == []
    fleet.run(20)
    fleet.store.mode = "ok"
    fleet.run(1)
    assert fleet.leases["a"].token() == token


@pytest.mark.parametrize("mode", ["lost", "late"])
def test_a_renewal_without_an_answer_is_read_back(fleet, mode):
    token = fleet.leases["a"].token()
    fleet.store.mode = mode
    fleet.run(1.1)
    fleet.store.mode = "ok"
    fleet.store.execute_late()
    fleet.run(5)
    assert fleet.leases["a"].token() == token
    assert fleet.leases["a"].losses == 0


@pytest.mark.parametrize("mode", ["lost", "late"])
def test_an_acquisition_without_an_answer_is_read_back(mode):
    fleet = Fleet("a")
    fleet.run(5.5)
    fleet.leases["a"].release()
    fleet.leases["b"] = fleet.lease("b")
    fleet.stopped.add("a")
    read = fleet.store.read

    def read_then_fail(name):
        result = read(name)
        fleet.store.mode = mode
        return result

    fleet.store.read = read_then_fail
    fleet.run(STEP_S)
    fleet.store.read = read
    fleet.store.mode = "ok"
    fleet.store.execute_late()
    assert fleet.holders() == []
    fleet.run(2)
    assert fleet.holders() == ["b"]


def test_a_released_lease_is_acquired_at_once(fleet):
    fleet.leases["a"].release()
    assert fleet.holders() == []
    fleet.stopped.add("a")
    fleet.run(2 * STEP_S)
    assert fleet.holders() == ["b"]


def test_a_refused_token_is_never_used_again(fleet):
    lease = fleet.leases["a"]
    token = lease.token()
    lease.note_refused()
    assert lease.token() is None
    fleet.run(2)
    assert lease.token() > token


def test_a_refused_holder_that_is_no_candidate_gives_the_lease_up(fleet):
    fleet.leases["A"] = fleet.lease("A")
    fleet.run(5)
    assert fleet.holders() == ["a"]
    fleet.leases["a"].note_refused()
    fleet.run(2)
    assert fleet.holders() == ["A"]


def test_a_loser_waits_before_it_acquires_again(fleet):
    fleet.stopped.add("a")
    fleet.run(8)
    fleet.stopped.clear()
    fleet.run(1)
    fleet.stopped.add("b")
    lost_at = fleet.clock.now
    fleet.leases["b"].release()
    fleet.run(LEASE_S + 2)
    times = [at for at, name, _ in fleet.acted if name == "a" and at > lost_at]
    last_of_b = max(at for at, name, _ in fleet.acted if name == "b")
    assert times and times[0] - last_of_b >= LEASE_S - STEP_S


def test_a_restored_store_gives_higher_tokens(fleet):
    kept = fleet.store.copy()
    fleet.run(10)
    token = fleet.leases["a"].token()
    fleet.store.restore(kept)
    fleet.run(3)
    assert fleet.holders() == ["a"]
    assert fleet.leases["a"].token() > token + 2**31


@pytest.mark.parametrize("restored", [True, False], ids=["restored", "outage"])
def test_new_processes_use_no_token_of_the_ones_that_were_killed(fleet, restored):
    """All were killed while the store was away, so nobody remembers a token."""
    kept = fleet.store.copy()
    fleet.run(3)
    # The lease changes hands, which the copy does not show.
    fleet.stopped.add("a")
    fleet.run(2 * LEASE_S)
    fleet.stopped.clear()
    used = {token for _, _, token in fleet.acted}
    assert len(used) > 1
    fleet.store.mode = "down"
    fleet.run(1)
    fleet.leases = {name: fleet.lease(name) for name in fleet.leases}
    fleet.run(1)
    if restored:
        fleet.store.restore(kept)
    fleet.store.mode = "ok"
    fleet.acted.clear()
    fleet.run(2 * LEASE_S)
    tokens = {token for _, _, token in fleet.acted}
    assert tokens and min(tokens) > max(used)


def test_a_store_restored_to_before_the_lease(fleet):
    token = fleet.leases["a"].token()
    fleet.store.restore((10, {}, {}))
    fleet.run(7)
    assert fleet.leases["a"].token() > token + 2**31


def test_a_reused_revision_does_not_give_one_token_twice(fleet):
    """The holder's condition names a revision that another holder's write has now."""
    a = fleet.leases["a"]
    base = a.state.revision
    fleet.stopped.add("a")
    fleet.store.restore((base - 2, {}, {}))
    while not (b_token := fleet.leases["b"].token()):
        fleet.run(STEP_S)
    assert fleet.store.leases["d"].revision == base
    fleet.stopped.clear()
    fleet.run(8)
    tokens = {name: set() for name in fleet.leases}
    for _, name, token in fleet.acted:
        tokens[name].add(token)
    assert b_token and not tokens["a"] & tokens["b"]


def test_the_holder_is_checked_in_the_store(fleet):
    lease = fleet.leases["a"]
    token = lease.token()
    assert lease.is_held(token) and not lease.is_held(token + 1)
    fleet.store.leases.clear()
    assert not lease.is_held(token)
    assert lease.token() is None


@pytest.mark.parametrize("seed", range(30))
def test_random_failures_never_give_two_holders(seed):
    """Guards the rules for all mixtures: stops, outages, late writes, restores."""
    chance = random.Random(seed)
    fleet = Fleet("a", "b", "c")
    kept = [fleet.store.copy()]
    for _ in range(200):
        fleet.run(chance.uniform(0.1, 1.5))
        fleet.store.mode = chance.choice(["ok"] * 4 + ["down", "lost", "late"])
        event = chance.random()
        assert len(fleet.holders()) <= 1
        if event < 0.1:
            fleet.stopped = set(chance.sample(sorted(fleet.leases), 1))
        elif event < 0.2:
            fleet.stopped = set()
        elif event < 0.3:
            fleet.store.execute_late()
        elif event < 0.33:
            fleet.store.restore(chance.choice(kept[-3:]))
        elif event < 0.4:
            kept.append(fleet.store.copy())
        elif event < 0.45 and fleet.holders():
            fleet.leases[fleet.holders()[0]].note_refused()
    names_by_token: dict[int, set[str]] = {}
    for _, name, token in fleet.acted:
        names_by_token.setdefault(token, set()).add(name)
    assert all(len(names) == 1 for names in names_by_token.values())
    assert len(names_by_token) > 3
