"""State machine of one claim shard, without I/O or a clock.

Replicas apply the entries of the log in order. The state after entry n depends only on
the entries up to n, so all replicas agree.
"""

import msgspec

from ..protocol.claim_records import (
    ClaimBatch,
    ClaimRecord,
    ClosedRecord,
    KeyState,
    OutcomeRecord,
    PartReference,
    Record,
    SnapshotKey,
    SnapshotPart,
    StoredOutcome,
)
from ..protocol.codec import to_msgpack

# Leaves room for the framing of a part below the store's object limit of 1 MB.
PART_BYTES = 900_000


class Changed(msgspec.Struct):
    """Sequence numbers of the last entries that changed a key or closed an attempt."""

    keys: dict[bytes, int]
    closed: dict[str, int]


class OutcomeBodies(msgspec.Struct):
    """Stored objects that contain the body of an expired outcome."""

    attempt_id: str
    parts: int


class ShardState:
    """Keys and closed attempts after entry `applied`.

    Entries up to `verified` are known to belong to the log. An entry read later may be
    one that a paused writer created again below the compaction floor.
    """

    __slots__ = ("applied", "changed", "closed", "keys", "log_time", "verified")

    def __init__(self, *, applied: int = 0, log_time: float = 0.0):
        self.applied = applied
        self.verified = applied
        self.log_time = log_time
        self.keys: dict[bytes, KeyState] = {}
        self.closed: dict[str, ClosedRecord] = {}
        self.changed = Changed(keys={}, closed={})

    def live(self, key: bytes, now: float) -> KeyState | None:
        """Returns the unexpired claim for a key, or None."""
        state = self.keys.get(key)
        if state is None or state.expires_at <= max(now, self.log_time):
            return None
        return state

    def is_closed(self, attempt_id: str) -> bool:
        """Returns whether the attempt was closed by its holder."""
        record = self.closed.get(attempt_id)
        return record is not None and record.expires_at > self.log_time

    def apply(self, sequence: int, batch: ClaimBatch) -> None:
        """Applies the next entry of the log."""
        if sequence != self.applied + 1:
            raise ValueError(f"entry {sequence} does not follow {self.applied}")
        self.log_time = max(self.log_time, batch.written_at)
        for record in batch.records:
            self._apply_record(sequence, record)
        self.applied = sequence

    def _apply_record(self, sequence: int, record: Record) -> None:
        if isinstance(record, ClaimRecord):
            self._apply_claim(sequence, record)
        elif isinstance(record, OutcomeRecord):
            self._apply_outcome(sequence, record)
        else:
            self._apply_closed(sequence, record)

    def _apply_claim(self, sequence: int, record: ClaimRecord) -> None:
        if self.is_closed(record.attempt_id) or self.live(record.key, self.log_time):
            return
        self.keys[record.key] = KeyState(
            body_digest=record.body_digest,
            attempt_id=record.attempt_id,
            expires_at=record.expires_at,
        )
        self.changed.keys[record.key] = sequence

    def _apply_outcome(self, sequence: int, record: OutcomeRecord) -> None:
        state = self.keys.get(record.key)
        if state is None or state.attempt_id != record.attempt_id or state.outcome:
            return
        state.outcome = StoredOutcome(
            status=record.status,
            headers=record.headers,
            body=record.body,
            body_parts=record.body_parts,
        )
        self.changed.keys[record.key] = sequence

    def _apply_closed(self, sequence: int, record: ClosedRecord) -> None:
        state = self.keys.get(record.key)
        if state is not None and state.attempt_id == record.attempt_id:
            if state.outcome:
                return
            del self.keys[record.key]
        self.closed[record.attempt_id] = record
        self.changed.closed[record.attempt_id] = sequence

    def load_part(self, part: SnapshotPart) -> None:
        """Adds a part of a snapshot; parts are loaded in the order of the index."""
        for entry in part.keys:
            if entry.state.expires_at > self.log_time:
                self.keys[entry.key] = entry.state
        for record in part.closed:
            if record.expires_at <= self.log_time:
                continue
            self.closed[record.attempt_id] = record
            state = self.keys.get(record.key)
            if state is not None and state.attempt_id == record.attempt_id:
                del self.keys[record.key]

    def purge(self) -> list[OutcomeBodies]:
        """Removes expired keys and attempts; returns bodies that can be deleted."""
        expired = [
            key for key, state in self.keys.items() if state.expires_at <= self.log_time
        ]
        bodies = []
        for key in expired:
            state = self.keys.pop(key)
            self.changed.keys.pop(key, None)
            if state.outcome and state.outcome.body_parts:
                parts = state.outcome.body_parts
                bodies.append(OutcomeBodies(state.attempt_id, parts))
        for attempt_id, record in list(self.closed.items()):
            if record.expires_at <= self.log_time:
                del self.closed[attempt_id]
                self.changed.closed.pop(attempt_id, None)
        return bodies

    def forget_changes(self, through: int) -> None:
        """Discards change records that a snapshot up to entry `through` covers."""
        for changes in (self.changed.keys, self.changed.closed):
            for name in [name for name, at in changes.items() if at <= through]:
                del changes[name]

    def delta(self) -> list[SnapshotPart]:
        """Returns the keys and attempts changed since the last snapshot."""
        keys = [key for key in self.changed.keys if key in self.keys]
        closed = [name for name in self.changed.closed if name in self.closed]
        return self._parts(keys, closed)

    def full(self) -> list[SnapshotPart]:
        """Returns the whole state."""
        return self._parts(list(self.keys), list(self.closed))

    def _parts(self, keys: list[bytes], closed: list[str]) -> list[SnapshotPart]:
        parts = [SnapshotPart(keys=[], closed=[])]
        size = 0
        for key in keys:
            entry = SnapshotKey(key=key, state=self.keys[key])
            size = reserve_space(parts, size, entry)
            parts[-1].keys.append(entry)
        for attempt_id in closed:
            record = self.closed[attempt_id]
            size = reserve_space(parts, size, record)
            parts[-1].closed.append(record)
        return [part for part in parts if part.keys or part.closed]


def reserve_space(parts: list[SnapshotPart], size: int, item: object) -> int:
    """Starts a new part if the item does not fit; returns the size with the item."""
    added = len(to_msgpack(item))
    if size + added <= PART_BYTES:
        return size + added
    parts.append(SnapshotPart(keys=[], closed=[]))
    return added


def reference(name: str, part: SnapshotPart) -> PartReference:
    """Returns a reference to a part, with the time at which all of it has expired."""
    times = [entry.state.expires_at for entry in part.keys]
    times += [record.expires_at for record in part.closed]
    return PartReference(name=name, expires_at=max(times))
