"""Objects of the claim log.

They are encoded as MessagePack to keep appends small.
"""

import msgspec

LAYOUT_NAME = "claims/layout"
SEQUENCE_DIGITS = 12


class ClaimLayout(msgspec.Struct, kw_only=True):
    """Number of shards; written once, so that the shard of a key never changes."""

    shards: int


class Outcome(msgspec.Struct, kw_only=True):
    """Recorded response of a call: HTTP status, headers and complete body."""

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""


class LogRecord(msgspec.Struct, array_like=True, tag=True):
    """Base of the records in a batch; `key` is the digest of team and key."""

    key: bytes
    attempt_id: str


class ClaimRecord(LogRecord, tag="c"):
    """An attempt claims a key until `expires_at` (Unix time)."""

    body_digest: bytes
    expires_at: float


class OutcomeRecord(LogRecord, tag="o"):
    """Response of an attempt; a large body is stored in `body_parts` other objects."""

    status: int
    headers: dict[str, str]
    body: bytes
    body_parts: int = 0


class ClosedRecord(LogRecord, tag="x"):
    """The holder abandoned the attempt before dispatch and will not dispatch it."""

    expires_at: float


Record = ClaimRecord | OutcomeRecord | ClosedRecord


class ClaimBatch(msgspec.Struct, array_like=True):
    """One entry of a shard's log.

    `written_at` (Unix time) never decreases along the log, so every replica derives
    the same set of expired keys from the same entries. `batch_id` identifies the
    content of one entry at one sequence number.
    """

    batch_id: str
    writer: str
    written_at: float
    records: list[Record]


class StoredOutcome(msgspec.Struct, array_like=True):
    """An outcome in the memory of a replica or in a snapshot."""

    status: int
    headers: dict[str, str]
    body: bytes
    body_parts: int = 0


class KeyState(msgspec.Struct, array_like=True):
    """The claim in force for a key."""

    body_digest: bytes
    attempt_id: str
    expires_at: float
    outcome: StoredOutcome | None = None


class SnapshotKey(msgspec.Struct, array_like=True):
    """One key and its state in a snapshot part."""

    key: bytes
    state: KeyState


class SnapshotPart(msgspec.Struct, array_like=True):
    """One part of a snapshot; later parts override earlier ones."""

    keys: list[SnapshotKey]
    closed: list[ClosedRecord]


class PartReference(msgspec.Struct, array_like=True):
    """Reference to a snapshot part; all its entries have expired at `expires_at`."""

    name: str
    expires_at: float


class SnapshotIndex(msgspec.Struct, kw_only=True):
    """Snapshot parts that together hold the state after log entry `through`."""

    through: int
    log_time: float
    parts: list[PartReference]
    deltas: int = 0


class FloorRecord(msgspec.Struct, kw_only=True):
    """Log entries up to `through` are replaced by the snapshot named by `index`."""

    through: int
    index: str


def shard_prefix(shard: int) -> str:
    """Returns the prefix of all objects of a shard.

    >>> shard_prefix(3)
    'claims/03/'
    """
    return f"claims/{shard:02d}/"


def entry_name(shard: int, sequence: int) -> str:
    """Returns the name of a log entry; names sort by sequence number.

    >>> entry_name(3, 17)
    'claims/03/000000000017'
    """
    return f"{shard_prefix(shard)}{sequence:0{SEQUENCE_DIGITS}d}"


def entry_prefix(shard: int) -> str:
    """Returns the prefix of log entries only, whose padded numbers start with 0."""
    return f"{shard_prefix(shard)}0"


def entry_sequence(name: str) -> int:
    """Returns the sequence number in an entry's name.

    >>> entry_sequence("claims/03/000000000017")
    17
    """
    return int(name.rsplit("/", 1)[1])


def floor_name(shard: int) -> str:
    """Returns the name of the floor object of a shard."""
    return f"{shard_prefix(shard)}floor"


def body_name(shard: int, attempt_id: str, part: int) -> str:
    """Returns the name of one object of a large outcome body."""
    return f"{shard_prefix(shard)}body-{attempt_id}-{part}"
