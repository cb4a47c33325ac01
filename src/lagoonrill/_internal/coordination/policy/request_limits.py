"""Divides the limit that an endpoint names among the instances that send to it.

Load pattern: an endpoint in need takes a few requests per second from the whole fleet,
while all instances have requests for it, unevenly and in bursts. Equal shares would
either exceed the limit by their bursts or waste most of it in a large fleet. One
instance therefore hands out permits from a token bucket to those that ask.
"""

import random

# Unused tokens are kept for at most this time, besides one token.
BURST_S = 0.5
# An endpoint with a smaller limit still gets requests at this rate, because only its
# answers show that the limit has ended.
MIN_RATE_PER_S = 0.2
# An instance gets the permits that it may need within this time.
GRANT_S = 0.2
# A granted permit expires unless it is used within this time.
PERMIT_LIFETIME_S = 0.25
# An instance counts as competing for an endpoint for this long after it asked.
ASKER_LIFETIME_S = 2.0
# Longest time for which an instance without a permit does not ask again.
MAX_PAUSE_S = 10.0


def request_rate(limit: float) -> float:
    """Returns the rate at which an endpoint with a limit gets requests."""
    return max(MIN_RATE_PER_S, limit)


def permits_to_grant(limit: float, askers: int) -> int:
    """Returns how many permits one of `askers` instances gets at a time.

    >>> permits_to_grant(2.0, askers=4), permits_to_grant(400.0, askers=4)
    (1, 20)
    """
    return max(1, int(request_rate(limit) * GRANT_S / max(1, askers)))


def pause_s(limit: float, askers: int, wait_s: float) -> float:
    """Returns when an instance that got no permit asks again.

    `wait_s` is the time until the next token. The mean time between the calls of all
    instances together is about that between tokens.
    """
    turn_s = (askers - 1) / request_rate(limit)
    return min(MAX_PAUSE_S, wait_s + turn_s * random.random())


class TokenBucket:
    """Tokens for requests to one endpoint; starts without any.

    An instance that takes over a bucket knows nothing of earlier requests, so it starts
    without tokens.

    >>> bucket = TokenBucket(now=0.0)
    >>> bucket.take(0.0, limit=2.0, count=1), bucket.take(0.5, limit=2.0, count=1)
    (0, 1)
    >>> bucket.take(60.0, limit=2.0, count=9)
    2
    """

    __slots__ = ("tokens", "updated_at")

    def __init__(self, *, now: float):
        self.tokens = 0.0
        self.updated_at = now

    def take(self, now: float, *, limit: float, count: int) -> int:
        """Takes up to `count` tokens; returns how many."""
        self._refill(now, limit)
        taken = min(count, int(self.tokens))
        self.tokens -= taken
        return taken

    def wait_s(self, now: float, *, limit: float) -> float:
        """Returns the time until there is a token."""
        self._refill(now, limit)
        return max(0.0, (1 - self.tokens) / request_rate(limit))

    def _refill(self, now: float, limit: float) -> None:
        rate = request_rate(limit)
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.tokens = min(1 + BURST_S * rate, self.tokens + elapsed_s * rate)
