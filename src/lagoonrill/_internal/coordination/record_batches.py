"""Groups records of streams into batches, one object of the store each.

Load pattern: the store executes a write seconds after the call that got no answer, and
after later ones. A batch is therefore written again only as long as each of its writes
got an answer. After one that did not, its records move to a new batch, so a late write
can only change an object that nobody relies on.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from .policy.stream_history import StreamRecord

# A batch takes records for this share of a stream's life, so that records of streams
# that are over leave the store, and so that few are written again with each new one.
BATCH_SHARE_OF_LIFE = 1 / 6
# At about 45 bytes a record, well below the size that the store accepts.
MAX_BATCH_RECORDS = 5_000
# At about 300 bytes a record in memory.
MAX_HELD_RECORDS = 20_000
NAME_BYTES = 12


class StoredStream(msgspec.Struct, kw_only=True, frozen=True):
    """Record of a stream in the store."""

    record: StreamRecord
    # Unix time in seconds.
    begun_at: float


class StoredBatch(msgspec.Struct, kw_only=True, frozen=True):
    """Records of one instance in one object of the store."""

    name: str
    instance: str
    streams: tuple[StoredStream, ...]


class OwnRecord:
    """A record that this instance stores."""

    __slots__ = (
        "added_at",
        "is_in_doubt",
        "is_pending",
        "is_shared",
        "is_stored",
        "stream",
    )

    def __init__(self, *, stream: StoredStream, added_at: float):
        self.stream = stream
        # On the monotonic clock.
        self.added_at = added_at
        self.is_stored = False
        # Whether a write of it is under way, and whether one got no answer: the store
        # may still execute it.
        self.is_pending = False
        self.is_in_doubt = False
        # Whether peers have been sent it to hold.
        self.is_shared = False


class RecordBatch:
    """Records that are written to one object of the store."""

    __slots__ = ("is_changed", "is_created", "name", "opened_at", "records")

    def __init__(self, *, name: str, opened_at: float):
        self.name = name
        # On the monotonic clock.
        self.opened_at = opened_at
        self.records: list[OwnRecord] = []
        # Whether the store has confirmed the object, and whether it lacks a change.
        self.is_created = False
        self.is_changed = False


class RecordBatches:
    """The batches of this process; not thread-safe.

    `process` distinguishes the processes of an instance, as a write of an earlier one
    may be executed late too. `life_s` returns how long streams may live.
    """

    def __init__(
        self,
        *,
        instance: str,
        process: str,
        life_s: Callable[[], float],
        clock: Callable[[], float],
    ):
        self.instance = instance
        self.process = process
        self.life_s = life_s
        self.clock = clock
        self.batches: list[RecordBatch] = []
        # Objects in which no stream can live any more.
        self.over: list[str] = []
        self.opened = 0

    def add(self, streams: Iterable[StoredStream]) -> list[OwnRecord]:
        """Adds records to the batch that is open; returns their states."""
        now = self.clock()
        records = [OwnRecord(stream=stream, added_at=now) for stream in streams]
        self._append(records)
        return records

    def _append(self, records: list[OwnRecord]) -> None:
        self._forget_over()
        if records:
            batch = self._open_batch()
            batch.records.extend(records)
            batch.is_changed = True

    def _open_batch(self) -> RecordBatch:
        now = self.clock()
        if self.batches:
            batch = self.batches[-1]
            age_s = now - batch.opened_at
            if (
                age_s < self.life_s() * BATCH_SHARE_OF_LIFE
                and len(batch.records) < MAX_BATCH_RECORDS
            ):
                return batch
        self.opened += 1
        name = batch_name(self.instance, self.process, self.opened)
        batch = RecordBatch(name=name, opened_at=now)
        self.batches.append(batch)
        return batch

    def _forget_over(self) -> None:
        """Forgets batches in which no stream can live any more."""
        longest_s = self.life_s() * (1 + BATCH_SHARE_OF_LIFE)
        oldest = self.clock() - longest_s
        over = [item for item in self.batches if item.opened_at <= oldest]
        self.batches = [item for item in self.batches if item.opened_at > oldest]
        self.over.extend(item.name for item in over if item.is_created)

    def next_over(self) -> str | None:
        """Returns an object to remove from the store, or None."""
        self._forget_over()
        return self.over[0] if self.over else None

    def withdraw(self, key: str) -> None:
        """Removes the records of a stream."""
        for batch in self.batches:
            kept = [item for item in batch.records if item.stream.record.key != key]
            if len(kept) < len(batch.records):
                batch.records = kept
                batch.is_changed = True

    def next_due(self) -> RecordBatch | None:
        """Returns the oldest batch that the store lacks a change of, or None."""
        return next((item for item in self.batches if item.is_changed), None)

    def begin_write(self, batch: RecordBatch) -> list[OwnRecord]:
        """Returns the records to write to the object of a batch."""
        batch.is_changed = False
        for record in batch.records:
            record.is_pending = True
        return list(batch.records)

    def take_back(self, records: list[OwnRecord]) -> bool:
        """Removes records that the store does not have; returns whether that is sure.

        Records of which a write may have been executed stay.
        """
        if any(
            item.is_stored or item.is_pending or item.is_in_doubt for item in records
        ):
            return False
        for batch in self.batches:
            batch.records = [item for item in batch.records if item not in records]
            if not batch.records and not batch.is_created:
                batch.is_changed = False
        return True

    def take_unshared(self, records: list[OwnRecord]) -> list[StoredStream]:
        """Returns the records that peers have not been sent yet."""
        found = [item for item in records if not item.is_shared]
        for record in found:
            record.is_shared = True
        return [record.stream for record in found]

    def note_stored(self, batch: RecordBatch, written: list[OwnRecord]) -> None:
        """Records that the store has confirmed a write."""
        batch.is_created = True
        for record in written:
            record.is_pending = False
            record.is_stored = batch in self.batches

    def note_refused(self, batch: RecordBatch, written: list[OwnRecord]) -> None:
        """Records that a write was not executed and never will be."""
        batch.is_changed = True
        for record in written:
            record.is_pending = False

    def note_in_doubt(self, batch: RecordBatch, written: list[OwnRecord]) -> None:
        """Moves the records of a batch whose write may still be executed."""
        for record in written:
            record.is_pending = False
            record.is_in_doubt = True
        if batch in self.batches:
            self.batches.remove(batch)
            self._move(batch.records)

    def renew(self) -> None:
        """Moves all records, after the store has lost some of the objects."""
        records = [item for batch in self.batches for item in batch.records]
        self.batches = []
        self._move(records)

    def _move(self, records: list[OwnRecord]) -> None:
        oldest = self.clock() - self.life_s()
        kept = [item for item in records if item.added_at > oldest]
        for record in kept:
            record.is_stored = False
        self._append(kept)

    def living(self) -> list[StoredStream]:
        """Returns the records of streams that may live."""
        oldest = self.clock() - self.life_s()
        return [
            record.stream
            for batch in self.batches
            for record in batch.records
            if record.added_at > oldest
        ]

    def count(self) -> int:
        """Returns how many records there are."""
        return sum(len(batch.records) for batch in self.batches)


class HeldRecords:
    """Records of peers, for a store that loses them; not thread-safe.

    A store that comes back from an older copy may have lost the records of an instance
    that has ended since. Its peers write them again.
    """

    def __init__(self, *, life_s: Callable[[], float], clock: Callable[[], float]):
        self.life_s = life_s
        self.clock = clock
        # By key, with the times at which they came, oldest first.
        self.records: OrderedDict[str, tuple[StoredStream, float]] = OrderedDict()

    def add(self, streams: Iterable[StoredStream]) -> None:
        now = self.clock()
        for stream in streams:
            self.records.pop(stream.record.key, None)
            self.records[stream.record.key] = stream, now
        while len(self.records) > MAX_HELD_RECORDS or self._is_oldest_over(now):
            self.records.popitem(last=False)

    def _is_oldest_over(self, now: float) -> bool:
        if not self.records:
            return False
        _, added_at = next(iter(self.records.values()))
        return added_at < now - self.life_s()

    def __len__(self) -> int:
        return len(self.records)

    def living(self) -> list[StoredStream]:
        """Returns the records of streams that may live."""
        self.add(())
        return [stream for stream, _ in self.records.values()]


class SeenBatches:
    """Batches in the store, to find those in which no stream can live any more.

    Clocks of instances differ, so a batch counts as over once lists of this instance
    have shown it unchanged for longer than a stream lives.
    """

    def __init__(self, *, clock: Callable[[], float]):
        self.clock = clock
        # By name, the number of records, and when a list first and last showed that.
        self.seen: dict[str, tuple[int, float, float]] = {}

    def note_list(self, batches: Iterable[StoredBatch]) -> None:
        """Takes the batches of a list."""
        now = self.clock()
        before, self.seen = self.seen, {}
        for batch in batches:
            count, since, _ = before.get(batch.name, (-1, now, now))
            if count != len(batch.streams):
                since = now
            self.seen[batch.name] = len(batch.streams), since, now

    def over(self, unchanged_s: float) -> list[str]:
        """Returns the batches that lists have shown unchanged for that long."""
        return [
            name
            for name, (_, since, until) in self.seen.items()
            if until - since > unchanged_s
        ]

    def is_list_due(self, unchanged_s: float) -> bool:
        """Returns whether a list would show further batches that are over."""
        now = self.clock()
        return any(
            now - since > unchanged_s >= until - since
            for _, since, until in self.seen.values()
        )

    def forget(self, name: str) -> None:
        self.seen.pop(name, None)


def batch_name(instance: str, process: str, number: int) -> str:
    """Returns the name of an object, which no other batch ever has.

    >>> batch_name("edge/1", "5f", 3)[-5:]
    '.5f.3'
    """
    digest = hashlib.blake2b(
        instance.encode("utf-8", "surrogateescape"), digest_size=NAME_BYTES
    )
    return f"{digest.hexdigest()}.{process}.{number}"
