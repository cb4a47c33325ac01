"""Pauses that endpoints ask of this instance when they turn requests away.

Load pattern: an endpoint is full and says for how long it wants nothing. When the pause
ends, all waiting requests would go there at once, so one request tries it first; the
others follow after its answer.
"""

import threading
import time
from collections.abc import Callable, Iterable

from ..protocol.routing import EndpointRecord

# A trial request that is not answered holds the others back for this long.
TRIAL_S = 1.0


class Pause:
    """Pause of one endpoint."""

    __slots__ = ("trial_until", "until")

    def __init__(self, *, until: float):
        self.until = until
        # Time until which the answer to the first request after the pause is awaited.
        self.trial_until = 0.0


class EndpointPauses:
    """The pauses by endpoint and incarnation; thread-safe.

    >>> pauses = EndpointPauses(clock=lambda: now)
    >>> now = 10.0
    >>> pauses.begin("e", 1, 0.5)
    >>> pauses.take("e", 1), pauses.remaining_s("e", 1)
    (False, 0.5)
    >>> now = 10.6
    >>> pauses.take("e", 1), pauses.take("e", 1)
    (True, False)
    >>> pauses.end("e", 1, sent_at=10.6)
    >>> pauses.take("e", 1), pauses.take("e", 1)
    (True, True)
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.pauses: dict[tuple[str, int], Pause] = {}

    def begin(self, endpoint: str, incarnation: int, pause_s: float) -> None:
        """Begins a pause, or extends it; an earlier end does not shorten it."""
        until = self.clock() + pause_s
        with self.lock:
            pause = self.pauses.setdefault((endpoint, incarnation), Pause(until=until))
            pause.until = max(pause.until, until)
            pause.trial_until = 0.0

    def end(self, endpoint: str, incarnation: int, *, sent_at: float) -> None:
        """Ends a pause that was over before the answered request was sent."""
        key = (endpoint, incarnation)
        with self.lock:
            pause = self.pauses.get(key)
            if pause is not None and pause.until <= sent_at:
                del self.pauses[key]

    def remaining_s(self, endpoint: str, incarnation: int) -> float:
        """Returns the remaining time of the pause."""
        pause = self.pauses.get((endpoint, incarnation))
        return 0.0 if pause is None else max(0.0, pause.until - self.clock())

    def has_trial(self, endpoint: str, incarnation: int) -> bool:
        """Returns whether the answer to the first request after a pause is awaited."""
        pause = self.pauses.get((endpoint, incarnation))
        return pause is not None and pause.trial_until > self.clock()

    def take(self, endpoint: str, incarnation: int) -> bool:
        """Returns whether a request may be sent now; it may be the trial."""
        if not self.pauses:
            return True
        with self.lock:
            pause = self.pauses.get((endpoint, incarnation))
            if pause is None:
                return True
            now = self.clock()
            if max(pause.until, pause.trial_until) > now:
                return False
            pause.trial_until = now + TRIAL_S
            return True

    def keep_only(self, records: Iterable[EndpointRecord]) -> None:
        """Forgets the pauses of all other endpoints and incarnations."""
        kept = {(record.id, record.incarnation) for record in records}
        with self.lock:
            for key in self.pauses.keys() - kept:
                del self.pauses[key]

    def dump(self) -> dict[str, float]:
        """Returns the remaining seconds by endpoint."""
        with self.lock:
            keys = list(self.pauses)
        return {
            endpoint: round(self.remaining_s(endpoint, n), 3) for endpoint, n in keys
        }
