"""How long an endpoint whose entry has disappeared is still offered.

Load pattern: entries lapse while the store is away although their endpoints live, and
are back soon after its return; meanwhile other endpoints leave, some of them by nothing
but the removal of their entry. After an absence both look the same.
"""

import msgspec

# Entries of live endpoints are back within about two seconds of the store's return.
RETURN_S = 2.0
# An entry lapses after three heartbeats without an answer, and no heartbeat comes more
# often than once a second. A shorter absence makes no entry lapse.
SHORTEST_LAPSE_S = 1.0
# From the last look at the list until the request has reached its endpoint.
SEND_MARGIN_S = 0.15


class StoreAbsence(msgspec.Struct, kw_only=True, frozen=True):
    """A time in which an instance did not reach the store; on the steady clock."""

    # When the first call failed.
    noticed_at: float
    # When the last call began that found the store away; it returned after that.
    last_away_at: float
    # When the first call was answered again.
    regained_at: float


class LapsedEntries:
    """Decides until when disappeared entries are taken for lapsed ones.

    A removal on purpose counts from its acknowledgement, which may be as early as the
    store's return. From then on the endpoint may get requests for `drain_s`, and an
    instance that was cut off is bound by that `contact_s` after its own return.

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
        """Returns when holds end, None if no entry can have lapsed."""
        if absence is None:
            return None
        if absence.regained_at - absence.noticed_at < SHORTEST_LAPSE_S:
            return None
        return min(
            absence.regained_at + min(RETURN_S, self.drain_s - SEND_MARGIN_S),
            absence.last_away_at + self.contact_s - SEND_MARGIN_S,
        )
