"""Retry budget and hedging decisions, for repeatable classes only."""

import threading

import msgspec

from ...protocol.manifest import RequestClass
from .registry import Registry

RETRIES = Registry(decision="retries")

BUDGET_SHARE = 0.1
# An instance with little traffic can still retry a few requests; the cap limits how
# many tokens can accumulate for a burst. A newly started instance may retry as many
# requests as an engine has slots.
MAX_BUDGET_TOKENS = 20.0
FIRST_BUDGET_TOKENS = 8.0
# A request is hedged if it has no first token after three times the expected time.
HEDGE_AFTER_RATIO = 3.0
MIN_HEDGE_DELAY_S = 0.2


class RetryDump(msgspec.Struct, kw_only=True):
    """Retry and hedge counters; wasted tokens belong to discarded answers."""

    budget: float
    retries: dict[str, int]
    hedges: dict[str, int]
    denied: dict[str, int]
    wasted_tokens: dict[str, int]


class RetryCounters:
    """Base class that counts retries, hedges and their wasted tokens."""

    def __init__(self):
        self.lock = threading.Lock()
        self.budget = FIRST_BUDGET_TOKENS
        self.retries: dict[str, int] = {}
        self.hedges: dict[str, int] = {}
        self.denied: dict[str, int] = {}
        self.wasted_tokens: dict[str, int] = {}

    def note_wasted(self, request_class: str, tokens: int) -> None:
        """Counts the tokens of a full or partial answer that no caller received."""
        with self.lock:
            add(self.wasted_tokens, request_class, tokens)

    def dump(self) -> RetryDump:
        with self.lock:
            return RetryDump(
                budget=self.budget,
                retries=dict(self.retries),
                hedges=dict(self.hedges),
                denied=dict(self.denied),
                wasted_tokens=dict(self.wasted_tokens),
            )


def add(counts: dict[str, int], key: str, amount: int = 1) -> None:
    """Increments a counter, creating it if necessary."""
    counts[key] = counts.get(key, 0) + amount


@RETRIES.register("default")
class RetryBudget(RetryCounters):
    """Token bucket: each request adds 0.1 tokens, each retry or hedge takes 1.

    >>> budget = RetryBudget()
    >>> while budget.take_token():
    ...     pass
    >>> for _ in range(11):
    ...     budget.note_request()
    >>> [budget.take_token(), budget.take_token()]
    [True, False]
    """

    def note_request(self) -> None:
        """Counts a first attempt."""
        with self.lock:
            self.budget = min(MAX_BUDGET_TOKENS, self.budget + BUDGET_SHARE)

    def take_token(self) -> bool:
        with self.lock:
            if self.budget < 1.0:
                return False
            self.budget -= 1.0
            return True

    def allow_retry(self, request_class: RequestClass) -> bool:
        """Takes a token for a retry; always denies a class that is not repeatable."""
        return self._allow(request_class, self.retries)

    def hedge_delay_s(
        self, request_class: RequestClass, first_token_s: float | None
    ) -> float | None:
        """Returns the time without a first token before hedging; None for never."""
        if not request_class.repeatable or first_token_s is None:
            return None
        return max(MIN_HEDGE_DELAY_S, HEDGE_AFTER_RATIO * first_token_s)

    def allow_hedge(self, request_class: RequestClass) -> bool:
        """Takes a token for a hedge; always denies a class that is not repeatable."""
        return self._allow(request_class, self.hedges)

    def _allow(self, request_class: RequestClass, counts: dict[str, int]) -> bool:
        allowed = request_class.repeatable and self.take_token()
        with self.lock:
            add(counts if allowed else self.denied, request_class.name)
        return allowed


@RETRIES.register("fifo_round_robin", "least_outstanding")
class UnlimitedRetries(RetryCounters):
    """Retries repeatable classes without a budget and never hedges."""

    def note_request(self) -> None:
        pass

    def allow_retry(self, request_class: RequestClass) -> bool:
        allowed = request_class.repeatable
        with self.lock:
            add(self.retries if allowed else self.denied, request_class.name)
        return allowed

    def hedge_delay_s(
        self, request_class: RequestClass, first_token_s: float | None
    ) -> float | None:
        return None

    def allow_hedge(self, request_class: RequestClass) -> bool:
        return False
