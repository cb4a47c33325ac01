"""Implements the append protocol of one claim shard.

The writer is a state machine without a thread of its own: `run_once` advances as far as
the store allows and keeps a batch in doubt for the next call. Other threads submit
records and wait for their results.
"""

import enum
import random
import threading
import time
import uuid
from collections import deque
from collections.abc import Callable

import msgspec
from logbook import Logger
from returns.result import Failure, Result, Success

from ..protocol.claim_errors import (
    ClaimError,
    ClaimInDoubt,
    ClaimNotMade,
    OutcomeUnknown,
)
from ..protocol.claim_records import (
    ClaimBatch,
    ClaimRecord,
    ClosedRecord,
    FloorRecord,
    OutcomeRecord,
    Record,
    SnapshotIndex,
    SnapshotPart,
    body_name,
    entry_name,
    entry_prefix,
    entry_sequence,
    floor_name,
    shard_prefix,
)
from ..protocol.codec import from_msgpack, to_msgpack
from ..protocol.errors import StoreConflict, StoreInDoubt
from ..protocol.settings import ClaimSettings
from ..state.claim_log import PART_BYTES, ShardState, reference
from .circuit_breaker import Store
from .claim_decisions import closed_record, conflict_error, decide, needs_refresh

log = Logger("claims")

# Larger outcome bodies are stored as separate objects; inline, every replica would read
# them with the log.
INLINE_BODY_BYTES = 16_384
# Keeps an entry below the store's limit of 1 MB.
MAX_BATCH_BYTES = 800_000
RECORD_OVERHEAD_BYTES = 200
LIST_LIMIT = 500
# A compaction may replace the snapshot during a read; a few attempts are enough.
SYNC_ATTEMPTS = 5
WRITE_ATTEMPTS = 3
# Number of delta snapshots before a full one, which rewrites the whole state.
DELTAS_BEFORE_FULL = 32
MIN_DELETIONS = 5
DELETION_DIVISOR = 5
# Jitter that keeps instances from compacting the same shard at the same time.
SNAPSHOT_JITTER = 0.25


class Phase(enum.Enum):
    """State of a record in the append protocol."""

    QUEUED = "queued"  # not part of a batch that was sent
    SENT = "sent"  # part of the batch in flight
    DONE = "done"


class Pending:
    """A record to append, and its result.

    `own` is False for a claim on behalf of a peer: only the peer may close it.
    """

    __slots__ = (
        "abandoned",
        "done",
        "on_done",
        "own",
        "phase",
        "record",
        "result",
        "upload",
    )

    def __init__(self, *, record: Record, own: bool = True, upload: bytes = b""):
        self.record = record
        self.own = own
        self.upload = upload
        self.phase = Phase.QUEUED
        self.abandoned = False
        self.result: Result[None, ClaimError] | None = None
        self.done = threading.Event()
        self.on_done: Callable[[], None] = lambda: None

    @property
    def is_claim(self) -> bool:
        return isinstance(self.record, ClaimRecord)


class InFlightBatch(msgspec.Struct):
    """The batch in flight; `entry_exists` once its sequence number is taken.

    It is `superseded` if another writer took the number and no append of the batch was
    ever in doubt, so the batch is certainly not in the log.
    """

    sequence: int
    batch: ClaimBatch
    encoded: bytes
    pendings: list[Pending]
    in_doubt: bool = False
    entry_exists: bool = False
    superseded: bool = False


class Compaction(msgspec.Struct):
    """A written snapshot to which the floor has not been advanced yet."""

    floor: FloorRecord
    base_version: int | None
    new_names: list[str]
    garbage: list[str]
    in_doubt: bool = False


class ShardCounters(msgspec.Struct):
    """Counters since the process started."""

    batches: int = 0
    records: int = 0
    conflicts: int = 0
    in_doubt: int = 0
    below_floor: int = 0
    snapshots: int = 0


class ShardDump(msgspec.Struct, kw_only=True):
    """State of one shard for the state dump."""

    shard: int
    applied: int
    verified: int
    floor: int
    keys: int
    closed: int
    queued: int
    in_flight: int
    in_doubt: bool
    deletions: int
    counters: ShardCounters


class ShardWriter:
    """Appends records to one shard and maintains its replayed state."""

    def __init__(
        self,
        *,
        shard: int,
        instance: str,
        store: Store,
        settings: ClaimSettings,
        clock: Callable[[], float] = time.time,
    ):
        self.shard = shard
        self.instance = instance
        self.store = store
        self.settings = settings
        self.clock = clock
        self.condition = threading.Condition()
        self.queue: list[Pending] = []
        self.state: ShardState | None = None
        self.in_flight: InFlightBatch | None = None
        self.floor = FloorRecord(through=0, index="")
        self.floor_version: int | None = None
        self.compaction: Compaction | None = None
        self.expired_bodies: list[str] = []
        self.deletions: deque[str] = deque()
        self.counters = ShardCounters()
        jitter = 1 + SNAPSHOT_JITTER * random.random()
        self.snapshot_after = round(settings.snapshot_after_entries * jitter)

    # Called from any thread.

    def submit(self, pending: Pending) -> Pending:
        """Queues a record."""
        with self.condition:
            self.queue.append(pending)
            self.condition.notify_all()
        return pending

    def abandon(self, pending: Pending) -> Result[None, ClaimError]:
        """Abandons a claim at its deadline and returns its result so far.

        A claim that was never sent is withdrawn. A claim in flight stays in doubt; the
        writer closes it later if it is found in the log.
        """
        with self.condition:
            if pending.phase is Phase.SENT:
                pending.abandoned = True
                return Failure(ClaimInDoubt(message="the append was not answered"))
            if pending.phase is Phase.QUEUED:
                self._withdraw(pending)
            return pending.result

    def fail_queued(self) -> None:
        """Refuses the queued claims; called while the store is unreachable."""
        with self.condition:
            for pending in [item for item in self.queue if item.is_claim]:
                self._withdraw(pending)

    def refusal(self, key: bytes) -> ClaimError:
        """Returns the error for a claim that was not sent.

        If an earlier attempt may have run, the claim must not be reported as not run.
        """
        with self.condition:
            sent = self.in_flight.pendings if self.in_flight else []
            claimed = any(item.is_claim and item.record.key == key for item in sent)
            state = self.state
            if claimed or (state is not None and state.live(key, 0.0)):
                return OutcomeUnknown(message="an earlier attempt may have run")
        return ClaimNotMade(message="the claim was not sent to the Object API")

    def known(self, key: bytes, body_digest: bytes) -> ClaimError | None:
        """Returns the recorded answer or refusal if the key has a verified outcome."""
        with self.condition:
            state = self.state.live(key, self.clock()) if self.state else None
            if state is None or state.outcome is None:
                return None
            if self.state.applied != self.state.verified:
                return None
            return conflict_error(state, key, body_digest)

    def has_work(self) -> bool:
        """Returns whether `run_once` has something to do."""
        with self.condition:
            return bool(self.queue) or self.in_flight is not None

    def wait_for_work(self, timeout_s: float) -> bool:
        """Waits until `run_once` has something to do."""
        with self.condition:
            return self.condition.wait_for(
                lambda: bool(self.queue) or self.in_flight is not None, timeout_s
            )

    def dump(self) -> ShardDump:
        """Returns the state for the state dump."""
        with self.condition:
            state = self.state or ShardState()
            flight = self.in_flight
            return ShardDump(
                shard=self.shard,
                applied=state.applied,
                verified=state.verified,
                floor=self.floor.through,
                keys=len(state.keys),
                closed=len(state.closed),
                queued=len(self.queue),
                in_flight=len(flight.pendings) if flight else 0,
                in_doubt=flight is not None and flight.in_doubt,
                deletions=len(self.deletions),
                counters=msgspec.structs.replace(self.counters),
            )

    # Called only from the writer's thread.

    def run_once(self) -> bool:
        """Advances the protocol; returns False if a store call failed."""
        if self.in_flight is None and not self._prepare():
            return False
        if self.in_flight is None:
            return True
        if not self.in_flight.entry_exists and not self._create_entry():
            return False
        if self.in_flight.superseded:
            return self._continue_after_conflict()
        if not self._verify_entry():
            return False
        self._resolve_batch()
        self._compact_if_due()
        return True

    def _prepare(self) -> bool:
        """Decides queued records and builds the next batch from the undecided ones."""
        uploaded = self._upload_bodies()
        if self.state is None and not self._sync():
            return False
        with self.condition:
            waiting = [item for item in self.queue if not item.upload]
        decisions = [self._decide(item) for item in waiting]
        if self._needs_sync(decisions):
            if not self._sync():
                return False
            decisions = [self._decide(item) for item in waiting]
        self._resolve_or_batch(waiting, decisions)
        return uploaded or self.in_flight is not None

    def _needs_sync(self, decisions: list[Result[None, ClaimError] | None]) -> bool:
        """Returns whether a decision depends on entries not read or verified yet."""
        if self.state.applied != self.state.verified:
            return any(decision is not None for decision in decisions)
        return any(needs_refresh(decision) for decision in decisions)

    def _decide(self, pending: Pending) -> Result[None, ClaimError] | None:
        with self.condition:
            return decide(pending.record, self.state, self._log_time())

    def _log_time(self) -> float:
        return max(self.clock(), self.state.log_time)

    def _resolve_or_batch(
        self,
        waiting: list[Pending],
        decisions: list[Result[None, ClaimError] | None],
    ) -> None:
        """Resolves decided records and batches the others, at most one per key."""
        taken = []
        keys = set()
        size = 0
        for pending, decision in zip(waiting, decisions, strict=True):
            record = pending.record
            if record.key in keys:
                continue
            keys.add(record.key)
            if decision is not None:
                self._resolve(pending, decision)
                continue
            size += RECORD_OVERHEAD_BYTES + len(getattr(record, "body", b""))
            if taken and size > MAX_BATCH_BYTES:
                break
            taken.append(pending)
        self._put_in_flight(taken)

    def _put_in_flight(self, taken: list[Pending]) -> None:
        with self.condition:
            taken = [item for item in taken if item.phase is Phase.QUEUED]
            if not taken:
                return
            written_at = self._log_time()
            for pending in taken:
                pending.phase = Phase.SENT
                self.queue.remove(pending)
                self._set_expiry(pending.record, written_at)
            batch = ClaimBatch(
                batch_id=uuid.uuid4().hex,
                writer=self.instance,
                written_at=written_at,
                records=[item.record for item in taken],
            )
            self.in_flight = InFlightBatch(
                sequence=self.state.applied + 1,
                batch=batch,
                encoded=to_msgpack(batch),
                pendings=taken,
            )

    def _set_expiry(self, record: Record, written_at: float) -> None:
        """Sets a record's expiry time; a close must not expire before its claim."""
        if isinstance(record, OutcomeRecord):
            return
        record.expires_at = written_at + self.settings.retention_s
        state = self.state.keys.get(record.key)
        if isinstance(record, ClosedRecord) and state is not None:
            record.expires_at = max(record.expires_at, state.expires_at)

    def _create_entry(self) -> bool:
        """Creates the entry of the batch in flight; retries the same entry in doubt."""
        flight = self.in_flight
        result = self.store.create(
            entry_name(self.shard, flight.sequence), flight.encoded
        )
        if isinstance(result, Success):
            flight.entry_exists = True
            self.counters.batches += 1
            self.counters.records += len(flight.pendings)
            with self.condition:
                self.state.apply(flight.sequence, flight.batch)
            return True
        error = result.failure()
        if isinstance(error, StoreConflict):
            flight.entry_exists = True
            flight.superseded = not flight.in_doubt
            self.counters.conflicts += 1
            return True
        if isinstance(error, StoreInDoubt):
            flight.in_doubt = True
            self.counters.in_doubt += 1
        if not flight.in_doubt:
            log.info("shard {}: append failed: {}", self.shard, error)
            self._return_to_queue(flight.pendings)
        return False

    def _continue_after_conflict(self) -> bool:
        """Applies the other writer's entry; the next append verifies both."""
        if not self._catch_up():
            return False
        self._return_to_queue(self.in_flight.pendings)
        return True

    def _verify_entry(self) -> bool:
        """Ensures that the verified state includes the batch's sequence number."""
        sequence = self.in_flight.sequence
        state = self.state
        if state is None or state.applied < sequence:
            return self._sync() and self.state.applied >= sequence
        if state.verified >= sequence:
            return True
        verified = self._verify()
        if verified is None:
            return self._sync()
        return verified

    def _resolve_batch(self) -> None:
        """Resolves records that the log decides; queues the others again."""
        flight = self.in_flight
        undecided = []
        for pending in flight.pendings:
            decision = self._decide(pending)
            if decision is None:
                undecided.append(pending)
            else:
                self._resolve(pending, decision)
        if flight.sequence <= self.floor.through:
            # The entry was created again after compaction had deleted it, or the
            # snapshot includes the batch; in both cases the object is garbage.
            self.counters.below_floor += 1
            self.deletions.append(entry_name(self.shard, flight.sequence))
        self._return_to_queue(undecided)

    def _return_to_queue(self, pendings: list[Pending]) -> None:
        """Ends the append; queues records that are known not to be in the log."""
        with self.condition:
            self.in_flight = None
            kept = [item for item in pendings if not item.abandoned]
            for pending in kept:
                pending.phase = Phase.QUEUED
            self.queue[:0] = kept

    def _resolve(self, pending: Pending, result: Result[None, ClaimError]) -> None:
        with self.condition:
            if pending.phase is Phase.DONE:
                return
            if pending in self.queue:
                self.queue.remove(pending)
            pending.phase = Phase.DONE
            pending.result = result
            pending.done.set()
            granted = pending.is_claim and isinstance(result, Success)
            if pending.abandoned and pending.own and granted:
                record = pending.record
                self.queue.append(Pending(record=closed_record(record)))
        pending.on_done()

    def _withdraw(self, pending: Pending) -> None:
        error = self.refusal(pending.record.key)
        self._resolve(pending, Failure(error))

    # Reading the log.

    def _sync(self) -> bool:
        """Reads new log entries and verifies the state against the floor."""
        for _ in range(SYNC_ATTEMPTS):
            if self.state is None and not self._load_snapshot():
                return False
            if not self._catch_up():
                return False
            verified = self._verify()
            if verified is not None:
                return verified
        return False

    def _load_snapshot(self) -> bool:
        if not self._read_floor():
            return False
        state = ShardState()
        if self.floor.index:
            index = self._read(self.floor.index, SnapshotIndex)
            if index is None:
                return False
            state = ShardState(applied=index.through, log_time=index.log_time)
            for part_reference in index.parts:
                part = self._read(part_reference.name, SnapshotPart)
                if part is None:
                    return False
                state.load_part(part)
        with self.condition:
            self.state = state
        return True

    def _read(self, name: str, kind: type):
        """Returns a decoded object; None if it does not exist or the read failed."""
        found = self.store.get(name).value_or(None)
        return None if found is None else from_msgpack(found.value, kind)

    def _read_floor(self) -> bool:
        result = self.store.get(floor_name(self.shard))
        if not isinstance(result, Success):
            return False
        found = result.unwrap()
        if found is not None and found.version != self.floor_version:
            self.floor = from_msgpack(found.value, FloorRecord)
            self.floor_version = found.version
        return True

    def _catch_up(self) -> bool:
        """Applies the log entries after the last applied one."""
        while True:
            result = self.store.list(
                entry_prefix(self.shard),
                after=entry_name(self.shard, self.state.applied),
                limit=LIST_LIMIT,
            )
            if not isinstance(result, Success):
                return False
            page = result.unwrap()
            for found in page:
                # Compaction deleted the entries in between; `_verify` detects that.
                if entry_sequence(found.name) != self.state.applied + 1:
                    return True
                batch = from_msgpack(found.value, ClaimBatch)
                with self.condition:
                    self.state.apply(self.state.applied + 1, batch)
            if len(page) < LIST_LIMIT:
                return True

    def _verify(self) -> bool | None:
        """Verifies the state against the floor; None if the state was discarded.

        An entry that was read or written before the floor was read, and lies above it,
        is part of the log. Compaction deletes entries up to the floor, so a writer that
        was paused could create an entry with such a number again.
        """
        if not self._read_floor():
            return False
        with self.condition:
            if self.floor.through > self.state.verified:
                self.state = None
                return None
            self.state.verified = self.state.applied
            self.state.forget_changes(self.floor.through)
        return True

    # Large outcome bodies.

    def _upload_bodies(self) -> bool:
        """Writes large bodies as objects; returns whether all were written."""
        with self.condition:
            waiting = [item for item in self.queue if item.upload]
        uploaded = [self._upload_body(pending) for pending in waiting]
        return all(uploaded)

    def _upload_body(self, pending: Pending) -> bool:
        record = pending.record
        body = pending.upload
        parts = [
            body[start : start + PART_BYTES]
            for start in range(0, len(body), PART_BYTES)
        ]
        for number, part in enumerate(parts):
            name = body_name(self.shard, record.attempt_id, number)
            if not self._write_once(name, part):
                return False
        with self.condition:
            record.body_parts = len(parts)
            pending.upload = b""
        return True

    def _write_once(self, name: str, value: bytes) -> bool:
        """Creates an object under a name unique to this process; retries in doubt."""
        for _ in range(WRITE_ATTEMPTS):
            result = self.store.create(name, value)
            if isinstance(result, Success):
                return True
            error = result.failure()
            if isinstance(error, StoreConflict):
                return True
            if not isinstance(error, StoreInDoubt):
                return False
        return False

    # Compaction.

    def _compact_if_due(self) -> None:
        if self.compaction is not None:
            self._move_floor()
        elif self.state.applied - self.floor.through >= self.snapshot_after:
            self.compaction = self._write_snapshot()
            if self.compaction is not None:
                self._move_floor()

    def _write_snapshot(self) -> Compaction | None:
        """Writes a delta snapshot, or a full one after `DELTAS_BEFORE_FULL` deltas."""
        index = SnapshotIndex(through=0, log_time=0.0, parts=[])
        if self.floor.index:
            index = self._read(self.floor.index, SnapshotIndex)
            if index is None:
                return None
        with self.condition:
            state = self.state
            for body in state.purge():
                self.expired_bodies += [
                    body_name(self.shard, body.attempt_id, number)
                    for number in range(body.parts)
                ]
            full = index.deltas >= DELTAS_BEFORE_FULL
            parts = state.full() if full else state.delta()
            kept = [part for part in index.parts if part.expires_at > state.log_time]
            values = [to_msgpack(part) for part in parts]
            through, log_time = state.applied, state.log_time
        prefix = f"{shard_prefix(self.shard)}snapshot-{through}-{uuid.uuid4().hex[:8]}"
        references = [
            reference(f"{prefix}-{number}", part) for number, part in enumerate(parts)
        ]
        new_index = SnapshotIndex(
            through=through,
            log_time=log_time,
            parts=references if full else kept + references,
            deltas=0 if full else index.deltas + 1,
        )
        names = [item.name for item in references] + [prefix]
        values.append(to_msgpack(new_index))
        for name, value in zip(names, values, strict=True):
            if not self._write_once(name, value):
                self.deletions.extend(names)
                return None
        return Compaction(
            floor=FloorRecord(through=through, index=prefix),
            base_version=self.floor_version,
            new_names=names,
            garbage=self._garbage(index, new_index),
        )

    def _garbage(self, old: SnapshotIndex, new: SnapshotIndex) -> list[str]:
        """Returns the names of the objects that the new snapshot replaces."""
        names = [
            entry_name(self.shard, sequence)
            for sequence in range(self.floor.through + 1, new.through + 1)
        ]
        used = {part.name for part in new.parts}
        names += [part.name for part in old.parts if part.name not in used]
        if self.floor.index:
            names.append(self.floor.index)
        return names + self.expired_bodies + self._orphaned_entries()

    def _orphaned_entries(self) -> list[str]:
        """Returns old entries left behind by a process that ended during compaction.

        Entries that recent snapshots replaced may still be queued for deletion on
        another instance.
        """
        result = self.store.list(entry_prefix(self.shard), limit=1)
        page = result.value_or([])
        end = self.floor.through - 2 * self.snapshot_after
        first = entry_sequence(page[0].name) if page else end
        return [entry_name(self.shard, sequence) for sequence in range(first, end)]

    def _move_floor(self) -> None:
        """Activates the written snapshot, unless another instance was first."""
        compaction = self.compaction
        value = to_msgpack(compaction.floor)
        name = floor_name(self.shard)
        if compaction.base_version is None:
            result = self.store.create(name, value)
        else:
            result = self.store.update(name, value, version=compaction.base_version)
        if isinstance(result, Success):
            self.floor = compaction.floor
            self.floor_version = result.unwrap()
            self._finish_compaction()
        elif isinstance(result.failure(), StoreConflict):
            self._handle_compaction_conflict()
        elif isinstance(result.failure(), StoreInDoubt):
            compaction.in_doubt = True

    def _handle_compaction_conflict(self) -> None:
        compaction = self.compaction
        if not self._read_floor():
            return
        if self.floor.index == compaction.floor.index:
            self._finish_compaction()
            return
        self.compaction = None
        # If the update was in doubt, the floor may have moved twice, and the active
        # snapshot may use these parts. They are not deleted then.
        if not compaction.in_doubt:
            self.deletions.extend(compaction.new_names)

    def _finish_compaction(self) -> None:
        self.counters.snapshots += 1
        self.deletions.extend(self.compaction.garbage)
        self.expired_bodies = []
        self.compaction = None
        with self.condition:
            self.state.forget_changes(self.floor.through)

    # Called from one background thread.

    def delete_garbage(self) -> bool:
        """Deletes a share of the queued garbage; returns False if a call failed.

        Deleting it all at once would delay appends. The share grows with the length of
        the queue, so that deletion keeps up with any append rate.

        Entries at or below the floor can be deleted at any later time, because readers
        ignore sequence numbers below the floor.
        """
        share = MIN_DELETIONS + len(self.deletions) // DELETION_DIVISOR
        for _ in range(min(share, len(self.deletions))):
            name = self.deletions[0]
            result = self.store.delete(name)
            if not isinstance(result, Success):
                return False
            self.deletions.popleft()
        return True
