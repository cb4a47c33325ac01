"""State of one request across all send attempts, and how an attempt can end."""

import functools
import time

import msgspec

from ..memory.answers import AnswerShare
from ..protocol.headers import RawHeaders
from ..protocol.refusals import Refusal
from ..protocol.routing import EndpointRecord
from ..transport.caller_connection import CallerConnection
from .routed_request import RoutedRequest

# With fewer events, a stream gives no useful estimate of the speed of its engine.
MIN_EVENTS_FOR_SPEED = 3


class Answer(msgspec.Struct, kw_only=True):
    """Complete answer of an endpoint."""

    status: int
    reason: bytes
    headers: RawHeaders
    body: bytes


class Outcome(msgspec.Struct, kw_only=True):
    """Result of a send attempt whose answer was not relayed."""

    reason: str
    may_have_run: bool
    answer: Answer | None = None


class Silent(Exception):
    """Raised if an endpoint is silent for longer than a repeatable request may wait."""


class Rerouted(Exception):
    """Raised if a configuration came into force that routes a waiting request anew."""


class Sending:
    """State of one request across all send attempts."""

    def __init__(
        self, *, request: RoutedRequest, caller: CallerConnection, share: AnswerShare
    ):
        self.request = request
        self.caller = caller
        # Memory that its answers take, until the caller has one.
        self.share = share
        self.tried: set[str] = set()
        # Endpoint of the latest send, and whether it has sent an event.
        self.endpoint = ""
        self.begun = False
        # Whether it is counted as begun in the usage reports; once, for all sends.
        self.is_counted = False
        # Time of the latest send, on the monotonic clock.
        self.sent_at = 0.0
        # Ids of the prompt parts that other requests may have too.
        self.shared_parts: list[str] = []
        self.sends = 0
        self.connect_failures = 0
        self.may_have_run = False
        self.last_failure: Answer | None = None
        self.last_reason = ""
        # Why the configuration in force lets the request go nowhere.
        self.refusal: Refusal | None = None
        self.last_event = request.resume_after
        self.stream_started = False
        # Version of the endpoints that may be sent the request; None for any. Once a
        # stream has begun it is fixed, since other versions cannot go on with it.
        self.version: str | None = None
        self.origin_known = False
        # Times of the first and latest relayed event on the monotonic clock; 0 before.
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self.longest_pause_s = 0.0
        self.events = 0
        # Engine that has a part of the prompt cached.
        self.copy_from: EndpointRecord | None = None
        # Whether a crash spoke against the request when its endpoint was chosen.
        self.was_suspected = False

    @functools.cached_property
    def fingerprint(self) -> str:
        """Digest of the request, the same for its repeats; takes time for each byte."""
        return self.request.fingerprint()

    def may_use(self, record: EndpointRecord) -> bool:
        """Returns whether the request may be sent to an endpoint."""
        return record.id not in self.tried and self.fits_version(record)

    def fits_version(self, record: EndpointRecord) -> bool:
        """Returns whether an endpoint has the version that the request needs."""
        return self.version is None or record.version == self.version

    def note_event(self) -> None:
        """Records the time of events that are relayed to the caller."""
        now = time.monotonic()
        if not self.first_event_at:
            self.first_event_at = now
        else:
            pause_s = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at = now

    def token_s(self, tokens_per_event: int) -> float | None:
        """Returns the time per token after the first event, or None if unknown."""
        if self.events < MIN_EVENTS_FOR_SPEED:
            return None
        tokens = (self.events - 1) * tokens_per_event
        return (self.last_event_at - self.first_event_at) / tokens

    def timing(self) -> dict[str, int]:
        """Returns time to first event, longest pause and number of events so far."""
        if not self.first_event_at:
            return {}
        first_s = self.first_event_at - self.request.arrived_at
        return {
            "first_event_ms": round(first_s * 1000),
            "longest_pause_ms": round(self.longest_pause_s * 1000),
            "events": self.events,
        }


class CallerBreak(Exception):
    """Raised if a started stream cannot be completed; its connection is reset."""

    # Progress of the answer, for the log.
    progress: dict[str, int] = {}
