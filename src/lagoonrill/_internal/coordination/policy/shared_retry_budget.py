"""Limits each instance to its part of the retry budget of the fleet.

Load pattern: many endpoints fail at once and every instance wants to retry. In any
window, the fleet may retry at most a fraction of the requests of a service plus a fixed
number. Each instance applies the fraction to its own requests and takes an equal part
of the fixed number, so the total holds without coordination.
"""

import threading
import time
from collections import deque

# Windows slide: a retry counts against every window that contains it, so the budget of
# one window is enforced over slightly more than its length.
WINDOW_MARGIN = 1.1
# Requests are distributed unevenly over the instances, so a part of the fraction is
# left unused.
SHARE_MARGIN = 0.8


class SharedRetryBudget:
    """Counts requests and retries per service over a sliding window.

    >>> budget = SharedRetryBudget(ratio=0.2, window_s=10, fixed=8, clock=lambda: 0.0)
    >>> [budget.allow("s", instances=4) for _ in range(3)]
    [True, True, False]
    """

    def __init__(
        self, *, ratio: float, window_s: float, fixed: float, clock=time.monotonic
    ):
        self.ratio = ratio
        self.window_s = window_s * WINDOW_MARGIN
        self.fixed = fixed
        self.clock = clock
        self.lock = threading.Lock()
        self.requests: dict[str, deque[float]] = {}
        self.repeats: dict[str, deque[float]] = {}
        self.denied = 0

    def note_request(self, service: str) -> None:
        """Counts the first attempt of a request."""
        with self.lock:
            self._recent(self.requests, service).append(self.clock())

    def allow(self, service: str, *, instances: int) -> bool:
        """Takes one retry from the budget; `instances` share the fixed number."""
        with self.lock:
            requests = len(self._recent(self.requests, service))
            repeats = self._recent(self.repeats, service)
            allowed = self.ratio * SHARE_MARGIN * requests
            allowed += self.fixed / max(1, instances)
            if len(repeats) + 1 > allowed:
                self.denied += 1
                return False
            repeats.append(self.clock())
            return True

    def _recent(self, times: dict[str, deque[float]], service: str) -> deque[float]:
        recent = times.setdefault(service, deque())
        oldest = self.clock() - self.window_s
        while recent and recent[0] < oldest:
            recent.popleft()
        return recent

    def dump(self) -> dict:
        with self.lock:
            return {
                "requests": {name: len(t) for name, t in self.requests.items()},
                "repeats": {name: len(t) for name, t in self.repeats.items()},
                "denied": self.denied,
            }
