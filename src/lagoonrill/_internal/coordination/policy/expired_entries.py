"""Decides how long an endpoint stays in use after its entry has disappeared.

Load pattern: during a store outage, entries of live endpoints expire; they are written
again soon after the store recovers. Meanwhile other endpoints shut down, some of them
signaled only by the removal of their entry. After an outage, both cases look the same.
"""

import msgspec

# Entries of live endpoints reappear within about 2 s after the store recovers.
REAPPEAR_S = 2.0
# An entry expires after three unanswered heartbeats, which are at least one second
# apart. No entry expires during an outage shorter than this.
MIN_EXPIRY_OUTAGE_S = 1.0
# Time from the last check of the endpoint list until the request reaches its endpoint.
SEND_MARGIN_S = 0.15


class StoreOutage(msgspec.Struct, kw_only=True, frozen=True):
    """Store outage as seen by one instance; times are on the monotonic clock."""

    # Time of the first failed call.
    noticed_at: float
    # Start of the last failed call; the store recovered after that.
    last_failure_at: float
    # Time of the first successful call after the outage.
    recovered_at: float


class ExpiredEntries:
    """Decides until when disappeared entries are treated as expired, not removed.

    A deliberate removal counts from its acknowledgement, which may be as early as the
    recovery of the store. From then on, the endpoint may receive requests for
    `drain_s`. For an instance that could not reach the store, this limit applies from
    `contact_s` after it can reach the store again.

    >>> entries = ExpiredEntries(drain_s=2.0, contact_s=3.0)
    >>> outage = StoreOutage(noticed_at=10, last_failure_at=14.5, recovered_at=15)
    >>> entries.held_until(outage)
    16.85
    >>> cut_watch = StoreOutage(noticed_at=10, last_failure_at=4, recovered_at=10.2)
    >>> entries.held_until(cut_watch) is None
    True
    """

    def __init__(self, *, drain_s: float, contact_s: float):
        self.drain_s = drain_s
        self.contact_s = contact_s

    def held_after_restore(self, now: float) -> float:
        """Returns when holds end after the store came back from an older copy.

        Entries that were written since the copy are missing until their endpoints
        write them again.
        """
        return now + min(REAPPEAR_S, self.drain_s - SEND_MARGIN_S)

    def held_until(self, outage: StoreOutage | None) -> float | None:
        """Returns when holds end, or None if no entry can have expired."""
        if outage is None:
            return None
        if outage.recovered_at - outage.noticed_at < MIN_EXPIRY_OUTAGE_S:
            return None
        return min(
            outage.recovered_at + min(REAPPEAR_S, self.drain_s - SEND_MARGIN_S),
            outage.last_failure_at + self.contact_s - SEND_MARGIN_S,
        )
