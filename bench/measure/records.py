"""Records of a benchmark run."""

import msgspec


class Outcome(msgspec.Struct, kw_only=True):
    """The result of one request; times are `time.monotonic()` seconds.

    `verdict` is `whole` (complete and correct), `wrong` (complete, but for another
    request), `refused` (error response from the router) or `lost` (no complete
    response). `stream` is the id of the stream in the first event.
    """

    call: str
    request_class: str
    team: str
    tokens: int
    due_at: float
    sent_at: float = 0.0
    first_at: float | None = None
    last_at: float | None = None
    ended_at: float = 0.0
    verdict: str = "lost"
    kind: str = ""
    run: str = ""
    stream: str = ""
    attempts: int = 0

    @property
    def first_token_s(self) -> float | None:
        """Time from the scheduled arrival to the first token, including retries."""
        return None if self.first_at is None else self.first_at - self.due_at

    @property
    def token_gap_s(self) -> float | None:
        """Mean time between tokens; None for fewer than two tokens."""
        if self.first_at is None or self.last_at is None or self.tokens < 2:
            return None
        return (self.last_at - self.first_at) / (self.tokens - 1)

    @property
    def elapsed_s(self) -> float:
        return self.ended_at - self.due_at


class EngineStats(msgspec.Struct, kw_only=True):
    """Response of `/stats` of an engine."""

    generated: int
    undelivered: int
    generated_twice: int
    continuation_mismatches: int
    executions: int


class EngineExecution(msgspec.Struct, kw_only=True):
    """Record of a stream from `/executions` of an engine."""

    stream: str
    received_at: float
    first_token_at: float | None = None


class RunRecord(msgspec.Struct, kw_only=True):
    """Input for the figures of one run.

    `sheds` (count by class and reason) and `waits` (seconds by class) are read from the
    running daemons at the end, so killed daemons are not included.
    """

    scenario: str
    policy: str
    seconds: float
    slots: int
    outcomes: list[Outcome]
    engines: list[EngineStats]
    executions: list[EngineExecution]
    orders_executed: dict[str, int]
    sheds: dict[str, dict[str, int]]
    waits: dict[str, float]
    unfinished: int = 0
    load_average: float = 0.0
