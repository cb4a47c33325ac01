"""The history of a run: typed events from callers, stand-ins and daemons."""

import threading
import time

import msgspec


class Event(msgspec.Struct, kw_only=True, tag=True):
    """Base of all events; `at` is `time.monotonic()` of the recording process."""

    at: float = msgspec.field(default_factory=time.monotonic)


class Invoked(Event):
    """A caller sent one attempt of a request."""

    call: str
    attempt: int
    instance: str


class Answered(Event):
    """An attempt ended; `run` is `ran`, `not_run`, `unknown` or `lost` (no answer)."""

    call: str
    attempt: int
    run: str
    status: int = 0
    kind: str = ""
    text: str = ""
    whole: bool = False
    expected_text: str | None = None


class Executed(Event):
    """A plain service executed a call; `endpoint` names the worker."""

    call: str
    endpoint: str


class GenerationSeen(Event):
    """An instance reported the generation that it has in force."""

    instance: str
    generation: int
    ready: bool = True


class ManifestResult(Event):
    """The tool ended with a result for a generation (`accepted`, `pending`, ...)."""

    pipeline: str
    result: str
    generation: int
    digest: str = ""


class EndpointLeaving(Event):
    """A stand-in endpoint was marked as leaving."""

    endpoint: str


class Dispatched(Event):
    """A stand-in endpoint received new work."""

    endpoint: str
    call: str


class PlannedStop(Event):
    """An instance was asked to stop and ended with a status."""

    instance: str
    exit_status: int | None = None


class Shed(Event):
    """A scheduler refused a request although slots may have been in use."""

    request_class: str
    tier: int
    protected: bool
    lower_tier_slots: int


class History:
    """An append-only list of events that any thread may extend."""

    def __init__(self):
        self.lock = threading.Lock()
        self.events: list[Event] = []

    def record(self, event: Event) -> None:
        """Appends an event."""
        with self.lock:
            self.events.append(event)

    def of(self, kind: type[Event]) -> list:
        """Returns the events of a type in the order of their times."""
        with self.lock:
            found = [event for event in self.events if isinstance(event, kind)]
        return sorted(found, key=lambda event: event.at)
