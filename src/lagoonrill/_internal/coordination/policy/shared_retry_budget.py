"""The part of the fleet's retry budget that one instance may spend.

Load pattern: many endpoints fail at once and every instance wants to send again. The
fleet may send at most a share of a service's requests plus a fixed number again in any
window. Each instance keeps to the share of its own requests and to its part of the
fixed number, so that the sum holds without asking anybody.
"""

import threading
import time
from collections import deque

# Windows slide: a repeat counts against any window that holds it, so the budget of one
# window is kept over a little more than its length.
WINDOW_MARGIN = 1.1
# Requests arrive unevenly at the instances; a part of the share stays unused.
SHARE_MARGIN = 0.8


class SharedRetryBudget:
    """Counts requests and repeats per service over a sliding window.

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
        """Counts the first sending of a request."""
        with self.lock:
            self._recent(self.requests, service).append(self.clock())

    def allow(self, service: str, *, instances: int) -> bool:
        """Takes one repeat from the budget; `instances` share the fixed number."""
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
