"""Guards against double grants in any interleaving of writers and store faults."""

import os

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from returns.result import Success

from lagoonrill._internal.coordination.shard_writer import Pending
from lagoonrill._internal.protocol.claim_errors import ClaimNotMade, OutcomeKnown
from lagoonrill._internal.protocol.claim_records import (
    ClaimRecord,
    ClosedRecord,
    OutcomeRecord,
)
from standins.object_store import ObjectStore
from tests.claim_harness import FAULTS, Replica, apply_late_write, replay_log

REPLICAS = 3
KEYS = [b"k1", b"k2", b"k3", b"k4"]
EXAMPLES = int(os.environ.get("LAGOONRILL_CLAIM_EXAMPLES", "300"))
replica_numbers = st.integers(0, REPLICAS - 1)
picks = st.integers(0, 1_000)


class Attempt:
    """A caller's attempt, as seen by the replica that assigned its id."""

    def __init__(self, *, attempt_id, key, body, holder):
        self.attempt_id = attempt_id
        self.key = key
        self.body = body
        self.holder = holder
        self.pendings = []
        self.answer = None  # granted, not_run, unknown or refused
        self.close_requested = False
        self.closed = None
        self.outcome = None

    @property
    def asked_peer(self):
        """Includes peers that have died since: they may have made the claim."""
        return any(not pending.own for _, pending in self.pendings)

    @property
    def open_grant(self):
        return self.answer == "granted" and not self.close_requested


class ClaimMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.objects = ObjectStore()
        self.late = []
        self.replicas = [self.new_replica(number) for number in range(REPLICAS)]
        self.attempts = []

    def new_replica(self, number):
        return Replica(objects=self.objects, late=self.late, instance=f"r{number}")

    def teardown(self):
        for replica in self.replicas:
            replica.kill()

    def waiting(self):
        return [item for item in self.attempts if item.answer is None]

    def open_grants(self):
        return [
            item
            for item in self.attempts
            if item.open_grant and not item.outcome and not item.holder.dead
        ]

    @rule(
        number=replica_numbers,
        key=st.sampled_from(KEYS),
        body=st.sampled_from([b"a", b"a", b"a", b"b"]),
        peer=st.one_of(st.none(), replica_numbers),
        to_write=st.booleans(),
    )
    def claim(self, number, key, body, peer, to_write):
        """Submits a claim to the local writer or to a peer's."""
        attempt = Attempt(
            attempt_id=f"a{len(self.attempts)}",
            key=key,
            body=body,
            holder=self.replicas[number],
        )
        self.attempts.append(attempt)
        server = number if peer is None else peer
        self.ask(attempt, server)
        if to_write:
            self.replicas[server].pause_at_write()

    @precondition(lambda self: self.waiting())
    @rule(pick=picks, peer=replica_numbers)
    def ask_again(self, pick, peer):
        """Asks another peer with the same attempt id, as after a lost reply."""
        self.ask(self.waiting()[pick % len(self.waiting())], peer)

    def ask(self, attempt, number):
        replica = self.replicas[number]
        own = replica is attempt.holder and not attempt.pendings
        record = ClaimRecord(attempt.key, attempt.attempt_id, attempt.body, 0.0)
        pending = replica.writer.submit(Pending(record=record, own=own))
        attempt.pendings.append((replica, pending))

    @rule(number=replica_numbers, fault=st.sampled_from(FAULTS))
    def step(self, number, fault):
        """Runs one store call."""
        self.replicas[number].step(fault)

    def write(self, number, fault):
        self.replicas[number].pause_at_write()
        self.answers_agree_with_the_log()
        self.replicas[number].step(fault)
        self.answers_agree_with_the_log()

    @rule(
        number=replica_numbers,
        faults=st.lists(st.sampled_from(FAULTS), max_size=3),
        run_until_idle=st.booleans(),
    )
    def work(self, number, faults, run_until_idle):
        """Injects the faults into the next writes, then runs without faults."""
        for fault in faults:
            self.write(number, fault)
        if run_until_idle:
            self.replicas[number].run_until_idle()

    @precondition(lambda self: self.late)
    @rule(pick=picks)
    def land_late_write(self, pick):
        apply_late_write(self.late.pop(pick % len(self.late)))

    @precondition(lambda self: self.waiting())
    @rule(pick=picks)
    def reach_deadline(self, pick):
        self.collect()
        if not self.waiting():
            return
        attempt = self.waiting()[pick % len(self.waiting())]
        results = [
            replica.writer.abandon(pending)
            for replica, pending in attempt.pendings
            if not replica.dead
        ]
        not_made = all(
            not isinstance(result, Success)
            and isinstance(result.failure(), ClaimNotMade)
            for result in results
        )
        self.collect()
        if attempt.answer is not None:
            return
        not_run = not_made and not attempt.asked_peer
        attempt.answer = "not_run" if not_run else "unknown"
        if attempt.asked_peer:
            self.request_close(attempt)

    @precondition(lambda self: self.open_grants())
    @rule(pick=picks)
    def close(self, pick):
        self.request_close(self.open_grants()[pick % len(self.open_grants())])

    def request_close(self, attempt):
        attempt.close_requested = True
        record = ClosedRecord(attempt.key, attempt.attempt_id, 0.0)
        attempt.closed = attempt.holder.writer.submit(Pending(record=record))

    @precondition(lambda self: self.open_grants())
    @rule(pick=picks, large=st.booleans())
    def record_outcome(self, pick, large):
        attempt = self.open_grants()[pick % len(self.open_grants())]
        upload = b"body" if large else b""
        record = OutcomeRecord(attempt.key, attempt.attempt_id, 200, {}, b"")
        attempt.outcome = attempt.holder.writer.submit(
            Pending(record=record, upload=upload)
        )

    @rule(number=replica_numbers)
    def restart(self, number):
        """Kills a replica: its callers get no answer, and its grants may have run."""
        old = self.replicas[number]
        old.kill()
        self.collect()
        for attempt in self.waiting():
            if attempt.holder is old:
                attempt.answer = "unknown"
        self.replicas[number] = self.new_replica(number)

    def collect(self):
        """Delivers available results to the waiting attempts."""
        for attempt in self.attempts:
            results = [
                pending.result
                for _, pending in attempt.pendings
                if pending.done.is_set()
            ]
            if attempt.answer is None and results:
                self.deliver(attempt, results)

    def deliver(self, attempt, results):
        if any(isinstance(result, Success) for result in results):
            self.check_first_grant(attempt)
            attempt.answer = "granted"
            return
        errors = [result.failure() for result in results]
        if len(results) < len(attempt.pendings):
            return
        for error in errors:
            if isinstance(error, OutcomeKnown):
                assert any(
                    item.key == attempt.key and item.outcome for item in self.attempts
                )
        if not attempt.asked_peer and isinstance(errors[0], ClaimNotMade):
            attempt.answer = "not_run"
            return
        attempt.answer = "refused"
        if attempt.asked_peer:
            self.request_close(attempt)

    def check_first_grant(self, attempt):
        for other in self.attempts:
            if other is not attempt and other.key == attempt.key:
                assert not other.open_grant, "a key is granted twice"

    @invariant()
    def answers_agree_with_the_log(self):
        self.collect()
        state = replay_log(self.objects)
        claimed = {entry.attempt_id for entry in state.keys.values()}
        for attempt in self.attempts:
            current = state.keys.get(attempt.key)
            if attempt.answer == "not_run":
                assert attempt.attempt_id not in claimed, "not_run but claimed"
            if attempt.open_grant:
                assert current is not None, "granted but not in the log"
                assert current.attempt_id == attempt.attempt_id, (
                    "granted to another attempt"
                )
            if succeeded(attempt.closed):
                assert attempt.attempt_id not in claimed, "closed but claimed"
            if succeeded(attempt.outcome):
                assert current.outcome is not None, "recorded but not in the log"


def succeeded(pending) -> bool:
    """Returns whether a record is known to be in the log."""
    return pending is not None and isinstance(pending.result, Success)


TestClaims = ClaimMachine.TestCase
TestClaims.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=50,
    deadline=None,
    derandomize="LAGOONRILL_CLAIM_EXAMPLES" not in os.environ,
)
