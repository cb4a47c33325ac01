"""Objects of the claim log; MessagePack, since every byte of an append is counted."""

import msgspec

LAYOUT_NAME = "claims/layout"
SEQUENCE_DIGITS = 12


class ClaimLayout(msgspec.Struct, kw_only=True):
    """Number of shards; written once, so that a key never changes its shard."""

    shards: int


class Outcome(msgspec.Struct, kw_only=True):
    """The recorded answer of a call: HTTP status, headers and the whole body."""

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
    """The answer of the attempt; a large body lies in `body_parts` other objects."""

    status: int
    headers: dict[str, str]
    body: bytes
    body_parts: int = 0


class ClosedRecord(LogRecord, tag="x"):
    """The attempt's holder gave up before dispatch and never dispatches it."""

    expires_at: float


Record = ClaimRecord | OutcomeRecord | ClosedRecord


class ClaimBatch(msgspec.Struct, array_like=True):
    """One entry of a shard's log.

    `written_at` (Unix time) never decreases along the log, so every replica derives
    the same set of expired keys from the same entries. `batch_id` is unique to one
    content at one number.
    """

    batch_id: str
    writer: str
    written_at: float
    records: list[Record]


class StoredOutcome(msgspec.Struct, array_like=True):
    """An outcome as a replica holds it."""

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
    """One key of a snapshot part."""

    key: bytes
    state: KeyState


class SnapshotPart(msgspec.Struct, array_like=True):
    """A piece of a snapshot; a later part overrides an earlier one."""

    keys: list[SnapshotKey]
    closed: list[ClosedRecord]


class PartReference(msgspec.Struct, array_like=True):
    """Names a part; all its contents are expired at `expires_at`."""

    name: str
    expires_at: float


class SnapshotIndex(msgspec.Struct, kw_only=True):
    """The parts that make up the state after entry `through`."""

    through: int
    log_time: float
    parts: list[PartReference]
    deltas: int = 0


class FloorRecord(msgspec.Struct, kw_only=True):
    """Entries up to `through` are replaced by the snapshot with this index name."""

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
    """Returns the prefix of the entries alone: padded numbers start with a zero."""
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
