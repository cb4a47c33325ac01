"""Decides records of a claim shard against the replayed state of its log."""

from returns.result import Failure, Result, Success

from ..protocol.claim_errors import (
    ClaimError,
    ClaimNotMade,
    KeyReused,
    OutcomeKnown,
    OutcomeUnknown,
)
from ..protocol.claim_records import (
    ClaimRecord,
    ClosedRecord,
    Outcome,
    OutcomeRecord,
    Record,
)
from ..state.claim_log import ShardState


class OutcomeElsewhere(ClaimError):
    """The outcome is known, but its body is stored in separate objects."""

    def __init__(self, *, record: OutcomeRecord):
        super().__init__(message="the outcome's body lies in other objects")
        self.record = record


def decide(
    record: Record, state: ShardState, log_time: float
) -> Result[None, ClaimError] | None:
    """Returns the result of a record, or None if it has to be appended."""
    current = state.live(record.key, log_time)
    if isinstance(record, ClaimRecord):
        return decide_claim(record, state, current)
    if isinstance(record, ClosedRecord):
        return decide_close(record, state, current)
    if current is None or current.attempt_id != record.attempt_id:
        return Failure(OutcomeUnknown(message="the claim is no longer in the log"))
    return Success(None) if current.outcome else None


def decide_claim(record: ClaimRecord, state: ShardState, current):
    """Decides a claim; a closed attempt is never granted."""
    if state.is_closed(record.attempt_id):
        return Failure(ClaimNotMade(message="the attempt was closed by its holder"))
    if current is None:
        return None
    if current.attempt_id == record.attempt_id:
        return Success(None)
    return Failure(conflict_error(current, record.key, record.body_digest))


def decide_close(record: ClosedRecord, state: ShardState, current):
    """Decides a close; it also invalidates a claim that a peer may append later."""
    if state.is_closed(record.attempt_id):
        return Success(None)
    same = current is not None and current.attempt_id == record.attempt_id
    if same and current.outcome:
        return Failure(OutcomeUnknown(message="the attempt has an outcome"))
    return None


def conflict_error(current, key: bytes, body_digest: bytes) -> ClaimError:
    """Returns the error for a key that another attempt has claimed."""
    if current.body_digest != body_digest:
        return KeyReused(message="the key was used with another body")
    outcome = current.outcome
    if outcome is None:
        return OutcomeUnknown(message="another attempt holds the key")
    if outcome.body_parts:
        return OutcomeElsewhere(
            record=OutcomeRecord(
                key,
                current.attempt_id,
                outcome.status,
                outcome.headers,
                b"",
                outcome.body_parts,
            )
        )
    return OutcomeKnown(
        message="the request has run",
        outcome=Outcome(
            status=outcome.status, headers=outcome.headers, body=outcome.body
        ),
    )


def needs_refresh(decision: Result[None, ClaimError] | None) -> bool:
    """Returns whether newer entries may change a decision; outcomes are final."""
    return isinstance(decision, Failure) and not isinstance(
        decision.failure(), OutcomeKnown | OutcomeElsewhere
    )


def closed_record(record: ClaimRecord) -> ClosedRecord:
    """Returns the record that closes a claim; the writer sets its expiry time."""
    return ClosedRecord(record.key, record.attempt_id, 0.0)
