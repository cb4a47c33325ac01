"""Decides who asks the store whether copies of its objects are current, and when.

Load pattern: an object changes while the store does not respond, and the answers to the
watches of all instances are lost on connections that stay open. A pending watch is
therefore no evidence that nothing has changed. One instance of the fleet uses short
watches of one kind of objects, and the others take its answers as evidence for equal
copies, so that the calls to the store don't grow with the fleet. Without such evidence,
one instance of each zone asks, and finally each instance for itself.
"""

# The bound is the age at which a copy may no longer be used while the store responds.
# Shares of it: the interval of the short watches, and the age at which the first
# instance and the others replace a pending watch. What remains is for the call that
# follows.
RENEWAL_SHARE = 0.4
FIRST_DOUBT_SHARE = 0.5
DOUBT_SHARE = 0.6
# Instances replace their watches one after the other, because the answer to the first
# one is evidence for the others.
DOUBT_STEP_SHARE = 0.02
MAX_DOUBT_SHARE = 0.75
# Long watches need few calls.
LONG_WATCH_S = 25.0
# All instances receive a change within this time, unless their watch is dead.
DELIVERY_S = 0.2


class StoreRenewal:
    """Times of watches, derived from the largest allowed age of a copy.

    `rank` is the position of an instance among those that can reach the store: 0 for
    the first one of the fleet, 1 for the first ones of the other zones, then up in each
    zone.

    >>> renewal = StoreRenewal(bound_s=2.0)
    >>> renewal.watch_wait_s(rank=0, age_s=0.3)
    0.5
    >>> renewal.watch_wait_s(rank=1, age_s=0.3)
    25.0
    >>> renewal.doubt_after_s(rank=1) < renewal.doubt_after_s(rank=2)
    True
    """

    def __init__(self, *, bound_s: float):
        self.bound_s = bound_s

    @property
    def interval_s(self) -> float:
        """Interval in which the first instance has its copies confirmed."""
        return RENEWAL_SHARE * self.bound_s

    def watch_wait_s(self, *, rank: int, age_s: float) -> float:
        """Returns how long the next watch waits for changes."""
        if rank > 0:
            return LONG_WATCH_S
        return max(0.0, self.interval_s - age_s)

    def doubt_after_s(self, *, rank: int) -> float:
        """Returns the age of a copy at which its pending watch is replaced."""
        if rank == 0:
            return FIRST_DOUBT_SHARE * self.bound_s
        share = min(MAX_DOUBT_SHARE, DOUBT_SHARE + DOUBT_STEP_SHARE * rank)
        return share * self.bound_s

    def is_dead(self, *, peer_ahead_s: float, waited_s: float) -> bool:
        """Returns whether a watch should have delivered what a peer already has.

        A watch that was replaced a moment ago gets time to deliver it.
        """
        return peer_ahead_s >= DELIVERY_S and waited_s >= self.interval_s
