"""Decides how long an endpoint stays in use after its entry has disappeared.

Load pattern: during a store outage, entries of live endpoints expire; they are written
again soon after the store recovers. Meanwhile other endpoints shut down, some of them
signaled only by the removal of their entry. After an outage, both cases look the same.
"""

import msgspec

# Entries of live endpoints reappear within about 2 s after the store recovers.
RETURN_S = 2.0
# An entry expires after three unanswered heartbeats, which are at least one second
# apart. No entry expires during an outage shorter than this.
SHORTEST_LAPSE_S = 1.0
# Time from the last check of the endpoint list until the request reaches its endpoint.
SEND_MARGIN_S = 0.15


class StoreAbsence(msgspec.Struct, kw_only=True, frozen=True):
    """Store outage as seen by one instance; times are on the monotonic clock."""

    # Time of the first failed call.
    noticed_at: float
    # Start of the last failed call; the store recovered after that.
    last_away_at: float
    # Time of the first successful call after the outage.
    regained_at: float


class LapsedEntries:
    """Decides until when disappeared entries are treated as expired, not removed.

    A deliberate removal counts from its acknowledgement, which may be as early as the
    recovery of the store. From then on, the endpoint may receive requests for
    `drain_s`. For an instance that could not reach the store, this limit applies from
    `contact_s` after it can reach the store again.

    >>> entries = LapsedEntries(drain_s=2.0, contact_s=3.0)
    >>> absence = StoreAbsence(noticed_at=10, last_away_at=14.5, regained_at=15)
    >>> entries.held_until(absence)
    16.85
    >>> cut_watch = StoreAbsence(noticed_at=10, last_away_at=4, regained_at=10.2)
    >>> entries.held_until(cut_watch) is None
    True
    """

    def __init__(self, *, drain_s: float, contact_s: float):
        self.drain_s = drain_s
        self.contact_s = contact_s

    def held_until(self, absence: StoreAbsence | None) -> float | None:
        """Returns when holds end, or None if no entry can have expired."""
        if absence is None:
            return None
        if absence.regained_at - absence.noticed_at < SHORTEST_LAPSE_S:
            return None
        return min(
            absence.regained_at + min(RETURN_S, self.drain_s - SEND_MARGIN_S),
            absence.last_away_at + self.contact_s - SEND_MARGIN_S,
        )
