"""Limits on requests per second that endpoints name in their answers.

An endpoint states its limit in each answer for as long as it applies. Answers may
arrive out of order and from several instances, so each one is evidence about the time
between sending the request and receiving the answer.
"""

import threading
from collections.abc import Iterable

import msgspec

from ..protocol.routing import EndpointRecord


class LimitEvidence(msgspec.Struct, kw_only=True, frozen=True):
    """What one answer says; times are on the monotonic clock.

    `limit` is None if the endpoint names no limit any more.
    """

    endpoint: str
    incarnation: int
    limit: float | None
    sent_at: float
    received_at: float

    @property
    def key(self) -> tuple[str, int]:
        return self.endpoint, self.incarnation


class LimitChange(msgspec.Struct, kw_only=True, frozen=True):
    """Change of the limit of an endpoint; None stands for no limit."""

    before: float | None
    after: float | None


class EndpointLimits:
    """The latest evidence about the limit of each endpoint; thread-safe.

    >>> limits = EndpointLimits()
    >>> named = LimitEvidence(
    ...     endpoint="e", incarnation=1, limit=2.0, sent_at=5.0, received_at=6.0
    ... )
    >>> limits.note(named)
    LimitChange(before=None, after=2.0)
    >>> late = msgspec.structs.replace(named, limit=None, sent_at=4.0, received_at=7.0)
    >>> limits.note(late), limits.limit("e", 1)
    (None, 2.0)
    """

    def __init__(self):
        self.lock = threading.Lock()
        # Also holds ended limits, so that a late answer does not restore them.
        self.latest: dict[tuple[str, int], LimitEvidence] = {}

    def limit(self, endpoint: str, incarnation: int) -> float | None:
        """Returns the limit in requests per second, or None without a limit."""
        found = self.latest.get((endpoint, incarnation))
        return found.limit if found is not None else None

    def note(self, evidence: LimitEvidence) -> LimitChange | None:
        """Takes the evidence of an answer; returns the change of the limit, if any.

        If two answers overlap in time, the lower limit applies until a later answer.
        """
        with self.lock:
            known = self.latest.get(evidence.key)
            if known is None and evidence.limit is None:
                return None
            merged = evidence if known is None else merge_evidence(known, evidence)
            self.latest[evidence.key] = merged
        before = known.limit if known is not None else None
        if merged.limit == before:
            return None
        return LimitChange(before=before, after=merged.limit)

    def named(self) -> list[LimitEvidence]:
        """Returns the evidence of all limits that apply."""
        with self.lock:
            return [item for item in self.latest.values() if item.limit is not None]

    def keep_only(self, records: Iterable[EndpointRecord]) -> None:
        """Forgets the limits of all other endpoints and incarnations."""
        kept = {(record.id, record.incarnation) for record in records}
        with self.lock:
            for key in self.latest.keys() - kept:
                del self.latest[key]


def merge_evidence(known: LimitEvidence, new: LimitEvidence) -> LimitEvidence:
    """Returns the evidence that applies after both answers."""
    if new.sent_at >= known.received_at:
        return new
    if new.received_at <= known.sent_at:
        return known
    # The order of overlapping answers is unknown.
    if new.limit is None:
        return known
    if known.limit is None:
        return new
    if new.limit > known.limit:
        return known
    return msgspec.structs.replace(
        new,
        sent_at=max(known.sent_at, new.sent_at),
        received_at=max(known.received_at, new.received_at),
    )
