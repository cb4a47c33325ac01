"""Guards against double or lost executions in the cases of design section 5.1."""

import pytest
from returns.result import Failure, Success

from lagoonrill._internal.coordination.shard_writer import Pending
from lagoonrill._internal.protocol.claim_errors import (
    ClaimInDoubt,
    ClaimNotMade,
    KeyReused,
    OutcomeKnown,
    OutcomeUnknown,
)
from lagoonrill._internal.protocol.claim_records import (
    ClaimRecord,
    ClosedRecord,
    OutcomeRecord,
    entry_name,
)
from standins.object_store import ObjectStore
from tests.claim_harness import Replica, apply_late_write, replay_log

KEY = b"key"


class Clock:
    now = 1_000.0

    def __call__(self):
        return self.now


class Zones:
    """Replicas in two zones that share a store and a list of delayed writes."""

    def __init__(self):
        self.objects = ObjectStore()
        self.late = []
        self.clock = Clock()
        self.replicas = []
        self.a = self.new("a")
        self.b = self.new("b")

    def new(self, instance, snapshot_after=1_000):
        replica = Replica(
            objects=self.objects,
            late=self.late,
            instance=instance,
            snapshot_after=snapshot_after,
            clock=self.clock,
        )
        self.replicas.append(replica)
        return replica


@pytest.fixture
def zones():
    zones = Zones()
    yield zones
    for replica in zones.replicas:
        replica.kill()


def submit_claim(replica, attempt_id, key=KEY, body=b"body", own=True):
    record = ClaimRecord(key, attempt_id, body, 0.0)
    return replica.writer.submit(Pending(record=record, own=own))


def claim(replica, attempt_id, **arguments):
    pending = submit_claim(replica, attempt_id, **arguments)
    replica.run_until_idle()
    return pending.result


def submit_close(replica, attempt_id):
    return replica.writer.submit(Pending(record=ClosedRecord(KEY, attempt_id, 0.0)))


def record_outcome(replica, attempt_id):
    record = OutcomeRecord(KEY, attempt_id, 201, {"X-Order": "7"}, b"booked")
    pending = replica.writer.submit(Pending(record=record))
    replica.run_until_idle()
    return pending.result


def error_of(result):
    return type(result.failure()) if isinstance(result, Failure) else None


def test_retry_during_the_holders_pause_is_unknown_and_the_holder_runs_once(zones):
    assert isinstance(claim(zones.a, "a1"), Success)
    assert error_of(claim(zones.b, "b1")) is OutcomeUnknown
    assert isinstance(record_outcome(zones.a, "a1"), Success)
    known = claim(zones.b, "b2").failure()
    assert isinstance(known, OutcomeKnown)
    assert (known.outcome.status, known.outcome.body) == (201, b"booked")
    assert known.outcome.headers == {"X-Order": "7"}


def test_another_body_under_a_used_key_is_refused(zones):
    claim(zones.a, "a1")
    assert error_of(claim(zones.b, "b1", body=b"other")) is KeyReused
    record_outcome(zones.a, "a1")
    assert error_of(claim(zones.b, "b2", body=b"other")) is KeyReused


@pytest.mark.parametrize("fault", ["late", "lost", "dropped"])
def test_claim_in_doubt_at_the_deadline_is_unknown_and_closed_later(zones, fault):
    pending = submit_claim(zones.a, "a1")
    zones.a.pause_at_write()
    zones.a.step(fault)
    assert error_of(zones.a.writer.abandon(pending)) is ClaimInDoubt
    for write in zones.late:
        apply_late_write(write)
    if fault != "dropped":
        assert error_of(claim(zones.b, "b1")) is OutcomeUnknown
    zones.a.run_until_idle()
    assert isinstance(claim(zones.b, "b2"), Success)


def test_late_write_of_a_dead_writer_stays_unknown(zones):
    submit_claim(zones.a, "a1")
    zones.a.pause_at_write()
    zones.a.step("late")
    zones.a.kill()
    apply_late_write(zones.late.pop())
    assert error_of(claim(zones.b, "b1")) is OutcomeUnknown


def test_lost_answer_counts_the_claim_once(zones):
    pending = submit_claim(zones.a, "a1")
    zones.a.pause_at_write()
    zones.a.step("lost")
    zones.a.run_until_idle()
    assert isinstance(pending.result, Success)
    assert replay_log(zones.objects).applied == 1


def test_of_two_concurrent_attempts_one_is_granted(zones):
    first = submit_claim(zones.a, "a1")
    second = submit_claim(zones.b, "b1")
    zones.a.pause_at_write()
    zones.b.pause_at_write()
    zones.b.run_until_idle()
    zones.a.run_until_idle()
    assert isinstance(second.result, Success)
    assert error_of(first.result) is OutcomeUnknown


def compact_past_a_paused_writer(zones):
    """Pauses `a` before it creates entry 1 and meanwhile deletes that entry."""
    pending = submit_claim(zones.a, "a1")
    zones.a.pause_at_write()
    compactor = zones.new("c", snapshot_after=1)
    assert isinstance(claim(compactor, "c1"), Success)
    assert isinstance(claim(compactor, "c2", key=b"other"), Success)
    assert zones.objects.get(entry_name(0, 1)) is None
    return pending


def test_append_below_the_floor_does_not_count(zones):
    pending = compact_past_a_paused_writer(zones)
    zones.a.run_until_idle()
    assert error_of(pending.result) is OutcomeUnknown
    assert zones.objects.get(entry_name(0, 1)) is None


def test_append_that_the_snapshot_holds_counts(zones):
    pending = submit_claim(zones.a, "a1")
    zones.a.pause_at_write()
    zones.a.step()
    claim(zones.new("c", snapshot_after=1), "c1", key=b"other")
    zones.a.run_until_idle()
    assert isinstance(pending.result, Success)
    assert error_of(claim(zones.b, "b1")) is OutcomeUnknown


def test_entry_created_again_below_the_floor_is_ignored(zones):
    reader = submit_claim(zones.b, "b1", key=b"free")
    repeat = submit_claim(zones.b, "a1", own=False)
    zones.b.pause_at("list")
    pending = compact_past_a_paused_writer(zones)
    zones.a.step()
    assert zones.objects.get(entry_name(0, 1)) is not None
    zones.b.run_until_idle()
    assert isinstance(reader.result, Success)
    assert error_of(repeat.result) is OutcomeUnknown
    state = zones.b.writer.state
    assert state.keys[KEY].attempt_id == "c1"
    zones.a.run_until_idle()
    assert error_of(pending.result) is OutcomeUnknown


def test_repeat_at_another_peer_is_not_granted_by_an_entry_below_the_floor(zones):
    submit_claim(zones.b, "b1", key=b"free")
    zones.b.pause_at("create")
    pending = compact_past_a_paused_writer(zones)
    zones.a.step()
    repeat = submit_claim(zones.b, "a1", own=False)
    zones.b.run_until_idle()
    zones.a.run_until_idle()
    assert error_of(repeat.result) is OutcomeUnknown
    assert error_of(pending.result) is OutcomeUnknown


def test_paused_compaction_does_not_move_the_floor_back(zones):
    fast = zones.new("f", snapshot_after=1)
    claim(fast, "f1", key=b"k1")
    slow = zones.new("s", snapshot_after=1)
    submit_claim(slow, "s1")
    slow.pause_at("update")
    claim(fast, "f2", key=b"k2")
    claim(fast, "f3", key=b"k3")
    floor = fast.writer.floor.through
    slow.run_until_idle()
    assert slow.writer.floor.through == floor
    assert set(replay_log(zones.objects).keys) == {KEY, b"k1", b"k2", b"k3"}


def test_unsent_claim_is_withdrawn_and_never_appears(zones):
    pending = submit_claim(zones.a, "a1")
    zones.a.pause_at_write()
    waiting = submit_claim(zones.a, "a2", key=b"k2")
    assert error_of(zones.a.writer.abandon(waiting)) is ClaimNotMade
    zones.a.run_until_idle()
    assert isinstance(pending.result, Success)
    assert b"k2" not in replay_log(zones.objects).keys


def test_unsent_repeat_of_a_key_in_flight_is_not_reported_as_not_run(zones):
    submit_claim(zones.a, "a1")
    zones.a.pause_at_write()
    repeat = submit_claim(zones.a, "a2")
    assert error_of(zones.a.writer.abandon(repeat)) is OutcomeUnknown


def test_refused_connection_makes_no_claim(zones):
    pending = submit_claim(zones.a, "a1")
    zones.a.pause_at_write()
    zones.a.step("unavailable")
    assert error_of(pending.result) is ClaimNotMade


def test_closed_claim_frees_the_key_on_a_replica_that_lags(zones):
    claim(zones.a, "a1")
    assert error_of(claim(zones.b, "b1")) is OutcomeUnknown
    submit_close(zones.a, "a1")
    zones.a.run_until_idle()
    assert isinstance(claim(zones.b, "b2"), Success)


def test_claim_that_a_peer_appends_after_the_close_is_refused(zones):
    late = submit_claim(zones.b, "a1", own=False)
    zones.b.pause_at_write()
    submit_close(zones.a, "a1")
    zones.a.run_until_idle()
    zones.b.run_until_idle()
    assert error_of(late.result) is ClaimNotMade
    assert isinstance(claim(zones.a, "a2"), Success)


def test_peers_claim_in_doubt_is_left_for_the_holder_to_close(zones):
    pending = submit_claim(zones.b, "a1", own=False)
    zones.b.pause_at_write()
    zones.b.step("lost")
    zones.b.writer.abandon(pending)
    zones.b.run_until_idle()
    assert error_of(claim(zones.b, "b1")) is OutcomeUnknown


def test_snapshot_chain_and_retention_survive_a_restart(zones):
    writer = zones.new("c", snapshot_after=2)
    for number in range(100):
        key = f"k{number}".encode()
        assert isinstance(claim(writer, f"c{number}", key=key), Success)
    fresh = zones.new("d")
    assert error_of(claim(fresh, "d0", key=b"k0")) is OutcomeUnknown
    assert len(fresh.writer.state.keys) == 100
    zones.clock.now += 86_401
    assert isinstance(claim(fresh, "d1", key=b"k0"), Success)
    assert error_of(claim(writer, "c100", key=b"k0")) is OutcomeUnknown
    claim(writer, "c101", key=b"k200")
    writer.run_until_idle()
    assert len(replay_log(zones.objects).keys) == 2


def test_entries_that_a_dead_compactor_left_are_deleted(zones):
    dead = zones.new("d", snapshot_after=2)
    for number in range(2):
        submit_claim(dead, f"d{number}", key=f"d{number}".encode())
        dead.pause_at("delete") if number else dead.run_until_idle()
    dead.kill()
    assert zones.objects.get(entry_name(0, 1)) is not None
    writer = zones.new("c", snapshot_after=2)
    for number in range(8):
        claim(writer, f"c{number}", key=f"c{number}".encode())
    assert zones.objects.list("claims/00/0", "", 10) == []
