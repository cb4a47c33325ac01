"""Records what callers and endpoints of a soak test observed."""

import threading

import msgspec

from standins.platform_api import Call

# Number of events of a whole stream.
LAST_EVENT = 6
# Body of the request that crashes endpoints.
DEADLY_BODY = b"deadly"


class Run(msgspec.Struct, kw_only=True):
    """An endpoint started to execute a request; times are monotonic."""

    request: str
    endpoint: str
    at: float
    # Number of the first event that this execution sends.
    first_event: int = 1
    # Whether the answer says that the endpoint leaves.
    says_leaving: bool = False


class Outcome(msgspec.Struct, kw_only=True):
    """Result of a caller's request; status 0 means that the connection failed."""

    request: str
    kind: str
    instance: str
    sent_at: float
    ended_at: float
    status: int
    # Whether the body is complete, and body and proof belong to this request.
    whole: bool
    body: bytes = b""


class Fault(msgspec.Struct, kw_only=True):
    """An injected fault; `planned` ones must not interrupt any request."""

    what: str
    target: str
    began_at: float
    ended_at: float = 0.0
    planned: bool = False


class Probe(msgspec.Struct, kw_only=True):
    """Configuration version that one process lifetime of an instance served."""

    lifetime: str
    version: int
    at: float


class Denial(msgspec.Struct, kw_only=True):
    """An instance did not know a route of the newest configuration version."""

    instance: str
    version: int
    at: float


class NamedLimit(msgspec.Struct, kw_only=True):
    """Requests per second that an endpoint named in its answers for a while."""

    endpoint: str
    limit: float
    began_at: float
    ended_at: float = 0.0


class PauseRequest(msgspec.Struct, kw_only=True):
    """An endpoint turned a request away and asked its sender to wait."""

    request: str
    endpoint: str
    at: float
    pause_s: float


class TakeUp(msgspec.Struct, kw_only=True):
    """All that a caller has received of a stream after it was taken up."""

    # Id of the request that brought the first event.
    first: str
    body: bytes


class CrashByRequest(msgspec.Struct, kw_only=True):
    """The deadly request began to run on an endpoint, which crashed."""

    endpoint: str
    at: float


class History:
    """Thread-safe record of runs, outcomes, faults, probes, denials and limits."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs: list[Run] = []
        self.outcomes: list[Outcome] = []
        self.faults: list[Fault] = []
        self.probes: list[Probe] = []
        # The instance that each probe was sent to.
        self.probed: dict[str, str] = {}
        self.denials: list[Denial] = []
        self.limits: list[NamedLimit] = []
        self.pauses: list[PauseRequest] = []
        self.take_ups: list[TakeUp] = []
        self.crashes: list[CrashByRequest] = []
        # Calls to the platform's API in the order of their execution.
        self.duty_calls: list[Call] = []
        # Time at which the store acknowledged each configuration version.
        self.acknowledged: dict[int, float] = {}
        # Time at which the store acknowledged the departure of an endpoint.
        self.leaving: dict[str, float] = {}

    def senders(self) -> dict[str, str]:
        """Returns the instance that each request was sent to."""
        found = {item.request: item.instance for item in self.outcomes}
        return found | self.probed

    def crashed(self) -> set[str]:
        """Returns the endpoints that the deadly request has crashed."""
        with self.lock:
            return {item.endpoint for item in self.crashes}

    def add(self, item) -> None:
        """Adds an item to the list of its type."""
        lists = {
            Run: self.runs,
            Outcome: self.outcomes,
            Fault: self.faults,
            Probe: self.probes,
            Denial: self.denials,
            NamedLimit: self.limits,
            PauseRequest: self.pauses,
            TakeUp: self.take_ups,
            CrashByRequest: self.crashes,
        }
        with self.lock:
            lists[type(item)].append(item)


def last_event(body: bytes) -> int:
    """Returns the number of the last whole event, or 0."""
    events = body.split(b"\n\n")[:-1]
    return int(events[-1].split()[1]) if events else 0
