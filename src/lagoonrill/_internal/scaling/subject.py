"""State of the orders for one kind of endpoints in one zone."""

import math

from .views import Order

# Pauses after a call that failed; they double with each failure.
FIRST_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0
# Endpoints in calls that fail are replaced by others after this time.
FAILING_S = 3.0
# A call without an answer may be executed this much later, over newer numbers.
DOUBT_S = 10.0
RESTATE_S = 3.0
# Interval of repeated orders while the number of endpoints differs from the order.
FIRST_REPAIR_S = 5.0
MAX_REPAIR_S = 30.0
# Time for new endpoints to be discovered, in addition to their start.
DISCOVERY_S = 1.0
STARTUP_MARGIN = 1.25


class Subject:
    """What is known of the orders for one kind of endpoints in one zone."""

    __slots__ = (
        "attempted",
        "count",
        "differs_since",
        "doubt_until",
        "failing_since",
        "grown_at",
        "is_confirmed",
        "ordered_at",
        "pause_s",
        "paused_until",
        "repair_at",
        "repair_s",
        "seen",
        "stated",
    )

    def __init__(self):
        # The number in the last order that may have been executed.
        self.count: int | None = None
        # Most endpoints seen at once; the platform keeps them until the first order.
        self.seen = 0
        # The highest number that may be in force by orders, also by late ones.
        self.stated = 0
        self.is_confirmed = True
        # The number in the last order, if that was not executed.
        self.attempted: int | None = None
        self.ordered_at = -math.inf
        self.grown_at = -math.inf
        self.paused_until = -math.inf
        self.pause_s = FIRST_PAUSE_S
        self.doubt_until = -math.inf
        # Time of the first of the last calls that all failed.
        self.failing_since: float | None = None
        # Time since which the number of endpoints differs from the order.
        self.differs_since: float | None = None
        self.repair_at = -math.inf
        self.repair_s = FIRST_REPAIR_S

    @property
    def known(self) -> int:
        """The number that should exist as far as is known."""
        return self.seen if self.count is None else self.count

    def note_done(self, order: Order, now: float) -> None:
        if order.grows:
            self.grown_at = now
        self.count = order.count
        if now >= self.doubt_until:
            self.stated = order.count
        self.stated = max(self.stated, order.count)
        self.is_confirmed = True
        self.attempted = None
        self.failing_since = None
        self.pause_s = FIRST_PAUSE_S
        self.ordered_at = now

    def note_failure(self, order: Order, now: float, *, in_doubt: bool) -> None:
        self.attempted = order.count
        if self.failing_since is None:
            self.failing_since = now
        self.ordered_at = now
        self.paused_until = now + self.pause_s
        self.pause_s = min(MAX_PAUSE_S, 2 * self.pause_s)
        if in_doubt:
            self.is_confirmed = False
            self.stated = max(self.highest, order.count)
            self.count = order.count
            self.doubt_until = now + DOUBT_S

    @property
    def highest(self) -> int:
        """The highest number that may be in force, which counts for the limit."""
        return self.seen if self.count is None else self.stated

    def expected(self, ready: int, now: float, startup_s: float) -> int:
        """Returns how many endpoints serve, or will when ordered ones have started."""
        if self.failing_since is not None and now < self.failing_since + FAILING_S:
            return max(ready, self.attempted or 0)
        if self.count is None:
            return ready
        if now < self.grown_at + startup_s * STARTUP_MARGIN + DISCOVERY_S:
            return self.count
        return min(ready, self.count)
