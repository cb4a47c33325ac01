"""Runs shard writers one store call at a time on an in-memory store."""

import threading

from returns.result import Failure, Success

from lagoonrill._internal.coordination.circuit_breaker import (
    CircuitBreaker,
    ObservedStore,
)
from lagoonrill._internal.coordination.shard_writer import ShardWriter
from lagoonrill._internal.protocol.claim_records import (
    ClaimBatch,
    FloorRecord,
    SnapshotIndex,
    SnapshotPart,
    entry_prefix,
    entry_sequence,
    floor_name,
)
from lagoonrill._internal.protocol.codec import from_msgpack
from lagoonrill._internal.protocol.errors import (
    StoreConflict,
    StoreInDoubt,
    StoreUnavailable,
)
from lagoonrill._internal.protocol.settings import ClaimSettings
from lagoonrill._internal.state.claim_log import ShardState
from standins.object_store import Conflict, ObjectStore

FAULTS = ("none", "lost", "late", "dropped", "unavailable")
MAX_STEPS = 2_000


class MemoryStore:
    """Client of an `ObjectStore`; `gate` returns the fault to inject into a call."""

    def __init__(self, *, objects: ObjectStore, late: list, gate=lambda call: "none"):
        self.objects = objects
        self.late = late
        self.gate = gate

    def get(self, name):
        return self._read("get", lambda: self.objects.get(name))

    def list(self, prefix, *, after="", limit=500):
        return self._read("list", lambda: self.objects.list(prefix, after, limit))

    def create(self, name, value):
        return self._write("create", lambda: self.objects.put(name, value, condition=0))

    def update(self, name, value, *, version):
        return self._write(
            "update", lambda: self.objects.put(name, value, condition=version)
        )

    def delete(self, name, *, version=None):
        return self._write(
            "delete", lambda: self.objects.delete(name, condition=version)
        )

    def _read(self, call, read):
        fault = self.gate(call)
        if fault == "none":
            return Success(read())
        error = StoreUnavailable if fault == "unavailable" else StoreInDoubt
        return Failure(error(message=fault))

    def _write(self, call, write):
        fault = self.gate(call)
        if fault == "unavailable":
            return Failure(StoreUnavailable(message=fault))
        if fault == "late":
            self.late.append(write)
        if fault in ("late", "dropped"):
            return Failure(StoreInDoubt(message=fault))
        try:
            value = write()
        except Conflict as error:
            return Failure(StoreConflict(message=str(error)))
        return (
            Failure(StoreInDoubt(message=fault)) if fault == "lost" else Success(value)
        )


def apply_late_write(write) -> None:
    """Applies a delayed write; its client does not learn the result."""
    try:
        write()
    except Conflict:
        return


class Replica:
    """Shard writer whose thread blocks before each store call until `step`."""

    def __init__(self, *, objects, late, instance, snapshot_after=2, clock=lambda: 0.0):
        self.breaker = CircuitBreaker()
        store = MemoryStore(objects=objects, late=late, gate=self._gate)
        settings = ClaimSettings(snapshot_after_entries=snapshot_after)
        self.writer = ShardWriter(
            shard=0,
            instance=instance,
            store=ObservedStore(store=store, breaker=self.breaker),
            settings=settings,
            clock=clock,
        )
        self.writer.snapshot_after = snapshot_after
        self.proceed = threading.Semaphore(0)
        self.stopped = threading.Semaphore(0)
        self.at_call = False
        self.next_call = ""
        self.dead = False
        self.fault = "none"
        self.task = None
        self.error = None
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while True:
            self.proceed.acquire()
            if self.dead:
                return
            try:
                self.task()
            except SystemExit:
                return
            except Exception as error:
                self.error = error
            self.stopped.release()

    def _gate(self, call):
        self.at_call = True
        self.next_call = call
        self.stopped.release()
        self.proceed.acquire()
        self.at_call = False
        self.next_call = ""
        if self.dead:
            raise SystemExit
        return self.fault

    @property
    def idle(self) -> bool:
        return not (self.at_call or self.writer.has_work() or self.writer.deletions)

    def step(self, fault: str = "none") -> None:
        """Runs the next store call and blocks before the one after it."""
        if not self.at_call:
            if self.idle:
                return
            busy = self.writer.has_work()
            self.task = self.writer.run_once if busy else self.writer.delete_garbage
        self.fault = fault
        self.proceed.release()
        self.stopped.acquire()
        if self.error:
            raise self.error
        if self.breaker.open and not self.at_call:
            self.writer.fail_queued()

    def pause_at(self, *calls: str) -> None:
        """Runs without faults until the next call is one of `calls`."""
        for _ in range(MAX_STEPS):
            if self.idle or self.next_call in calls:
                return
            self.step()
        raise AssertionError(f"the writer made none of the calls {calls}")

    def pause_at_write(self) -> None:
        """Runs without faults until the next call is a write."""
        self.pause_at("create", "update", "delete")

    def run_until_idle(self) -> None:
        """Runs without faults until the writer is idle."""
        for _ in range(MAX_STEPS):
            if self.idle:
                return
            self.step()
        raise AssertionError("the writer does not become idle")

    def kill(self) -> None:
        """Ends the thread and discards its state, as a crash does."""
        self.dead = True
        self.proceed.release()
        self.thread.join()


def replay_log(objects: ObjectStore) -> ShardState:
    """Returns the state that results from the stored log, read without faults."""
    found = objects.get(floor_name(0))
    state = ShardState()
    if found is not None:
        floor = from_msgpack(found.value, FloorRecord)
        index = from_msgpack(objects.get(floor.index).value, SnapshotIndex)
        state = ShardState(applied=index.through, log_time=index.log_time)
        for part in index.parts:
            state.load_part(from_msgpack(objects.get(part.name).value, SnapshotPart))
    for entry in objects.list(entry_prefix(0), "", 10_000):
        sequence = entry_sequence(entry.name)
        if sequence > state.applied:
            state.apply(sequence, from_msgpack(entry.value, ClaimBatch))
    return state
