"""Data types for a generation on its way to an engine: request, queue entry, result."""

import enum
import threading

import msgspec

from ..protocol.headers import parse_positive_int, parse_token_usage
from ..protocol.messages import EngineWork
from ..protocol.routing import EndpointRecord, PromptPart, Route
from ..state.engine_load_table import CachedParts, EngineJob
from .engine_eligibility import ANY_ENGINE, Eligibility
from .policy.engine_placement import Placement
from .policy.waiting_order import WaitingJob


class Generation(msgspec.Struct, kw_only=True):
    """Generation request for an engine."""

    id: str
    route: Route
    service: str
    priority: int
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    arrived_at: float
    deadline: float
    # Estimated number of output tokens; 0 if unknown.
    output_tokens: int = 0

    @classmethod
    def from_headers(
        cls, *, usage: str | None, output_estimate: str | None, **fields
    ) -> "Generation":
        prompt, most_output = parse_token_usage(usage)
        estimate = parse_positive_int(output_estimate)
        if estimate is None or (most_output and estimate > most_output):
            estimate = most_output
        return cls(prompt_tokens=prompt, output_tokens=estimate, **fields)


class Admission(msgspec.Struct, kw_only=True):
    """Engine assigned to a generation; counts as engine load until `job` ends."""

    engine: str
    zone: str
    job: EngineJob
    placement: Placement
    # Engine from which the cached part of the prompt is copied.
    copy_from: EndpointRecord | None
    waited_s: float
    # Estimated time from sending to the end of the answer.
    run_s: float


class Engine:
    """State of an engine while a request is placed."""

    __slots__ = ("cache", "load", "record", "suspect")

    def __init__(
        self,
        *,
        record: EndpointRecord,
        load: EngineWork,
        cache: CachedParts,
        suspect: bool,
    ):
        self.record = record
        self.load = load
        self.cache = cache
        self.suspect = suspect


class WaiterState(enum.Enum):
    """State of a request that asks for an engine."""

    NEW = enum.auto()
    WAITING = enum.auto()
    # Placed; the owner of the engine has not agreed yet.
    PLACED = enum.auto()
    GRANTED = enum.auto()
    REFUSED = enum.auto()
    WITHDRAWN = enum.auto()


TRANSITIONS = {
    WaiterState.NEW: {
        WaiterState.WAITING,
        WaiterState.PLACED,
        WaiterState.REFUSED,
    },
    WaiterState.WAITING: {
        WaiterState.PLACED,
        WaiterState.REFUSED,
        WaiterState.WITHDRAWN,
    },
    WaiterState.PLACED: {
        WaiterState.NEW,
        WaiterState.GRANTED,
        WaiterState.WITHDRAWN,
    },
    WaiterState.GRANTED: set(),
    WaiterState.REFUSED: set(),
    WaiterState.WITHDRAWN: set(),
}


class Waiter:
    """Request that asks for an engine; `EngineAdmission.lock` protects its state."""

    __slots__ = (
        "admission",
        "decided",
        "denials",
        "denied_by",
        "eligibility",
        "generation",
        "has_engines",
        "state",
        "view",
    )

    def __init__(
        self,
        *,
        generation: Generation,
        view: WaitingJob,
        eligibility: Eligibility = ANY_ENGINE,
    ):
        self.generation = generation
        self.view = view
        self.eligibility = eligibility
        # Whether the latest attempt to place it found an engine that it may use.
        self.has_engines = True
        self.state = WaiterState.NEW
        # Wakes the request's thread once it no longer waits.
        self.decided = threading.Event()
        self.admission: Admission | None = None
        # Number of denials by engine owners.
        self.denials = 0
        # Engines that are skipped until all others have been tried.
        self.denied_by: frozenset[str] = frozenset()

    def move_to(self, state: WaiterState) -> None:
        """Changes the state; raises `RuntimeError` for a decision taken twice."""
        if state not in TRANSITIONS[self.state]:
            raise RuntimeError(
                f"request {self.generation.id} cannot change from "
                f"{self.state.name} to {state.name}; report this as a bug"
            )
        self.state = state
        if state in (WaiterState.NEW, WaiterState.WAITING):
            self.decided.clear()
        else:
            self.decided.set()

    def note_denial(self, engine: str) -> None:
        """Records that the owner of an engine denied the placement."""
        self.admission = None
        self.denials += 1
        self.denied_by |= {engine}
        self.move_to(WaiterState.NEW)
