"""History of a run: typed events from callers, simulated services and daemons."""

import threading
import time

import msgspec


class Event(msgspec.Struct, kw_only=True, tag=True):
    """Base class of events; `at` is `time.monotonic()` of the recording process."""

    at: float = msgspec.field(default_factory=time.monotonic)


class Invoked(Event):
    """A caller sent an attempt of a request."""

    call: str
    attempt: int
    instance: str


class Answered(Event):
    """An attempt ended; `run` is `ran`, `not_run`, `unknown` or, unanswered, `lost`."""

    call: str
    attempt: int
    run: str
    status: int = 0
    kind: str = ""
    text: str = ""
    whole: bool = False
    expected_text: str | None = None


class Executed(Event):
    """A plain service executed a call; `endpoint` is the id of the worker."""

    call: str
    endpoint: str


class GenerationSeen(Event):
    """An instance reported its active generation."""

    instance: str
    generation: int
    ready: bool = True


class ManifestResult(Event):
    """The apply command reported a result (`accepted`, `pending`, ...)."""

    pipeline: str
    result: str
    generation: int
    digest: str = ""


class EndpointLeaving(Event):
    """A simulated endpoint was marked as leaving."""

    endpoint: str


class Dispatched(Event):
    """A simulated endpoint received a new call."""

    endpoint: str
    call: str


class PlannedStop(Event):
    """An instance was asked to stop; `exit_status` is set once it has exited."""

    instance: str
    exit_status: int | None = None


class Shed(Event):
    """A scheduler shed a request.

    `lower_tier_slots` are the slots that lower tiers held beyond their floor.
    """

    request_class: str
    tier: int
    protected: bool
    lower_tier_slots: int


class History:
    """Thread-safe, append-only list of events."""

    def __init__(self):
        self.lock = threading.Lock()
        self.events: list[Event] = []

    def record(self, event: Event) -> None:
        """Appends an event."""
        with self.lock:
            self.events.append(event)

    def of(self, kind: type[Event]) -> list:
        """Returns the events of a type, sorted by time."""
        with self.lock:
            found = [event for event in self.events if isinstance(event, kind)]
        return sorted(found, key=lambda event: event.at)
