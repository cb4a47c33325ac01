"""Metrics that are recorded for a request when it ends."""

import time

from ..protocol.manifest import RequestClass
from ..state.metrics import RESULT_OK, Metrics

SHED_RESULTS = frozenset(("overloaded", "deadline", "no_endpoint"))
CALLER_GONE = "cancelled"


class RequestRecord:
    """Collects times and tokens of one request and records them in the metrics once.

    Times are `time.monotonic()` seconds. Requests that end before their class is known
    are not recorded.
    """

    __slots__ = (
        "arrived_at",
        "finished",
        "first_token_at",
        "last_token_at",
        "metrics",
        "request_class",
        "tokens",
    )

    def __init__(self, *, metrics: Metrics | None):
        self.metrics = metrics
        self.arrived_at = time.monotonic()
        self.request_class: RequestClass | None = None
        self.first_token_at: float | None = None
        self.last_token_at = 0.0
        self.tokens = 0
        self.finished = False

    def note_tokens(self, *, first_at: float, last_at: float, total: int) -> None:
        """Records the tokens received so far."""
        if self.first_token_at is None:
            self.first_token_at = first_at
        self.last_token_at = last_at
        self.tokens = total

    def finish(self, result: str) -> None:
        """Records the result, `ok` or an error kind; later calls have no effect."""
        if self.finished or self.metrics is None or self.request_class is None:
            return
        self.finished = True
        self.metrics.record_request(
            self.request_class,
            result=result,
            first_token_s=self._first_token_s(),
            token_gap_s=self._token_gap_s(),
            whole_answer_s=time.monotonic() - self.arrived_at,
            useful_tokens=self.tokens if result == RESULT_OK else 0,
        )
        if result in SHED_RESULTS:
            self.metrics.record_shed(self.request_class.name, result)

    def _first_token_s(self) -> float | None:
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.arrived_at

    def _token_gap_s(self) -> float | None:
        # Mean over the whole answer, including pauses while it moves between engines.
        if self.tokens < 2:
            return None
        return (self.last_token_at - self.first_token_at) / (self.tokens - 1)
