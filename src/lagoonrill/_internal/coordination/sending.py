"""State of one request over all its sendings, and how a sending can end."""

import time

import msgspec

from ..protocol.headers import RawHeaders
from ..transport.caller_connection import CallerConnection
from .routed_request import RoutedRequest

# A stream with fewer events says little about the speed of its engine.
MIN_EVENTS_FOR_SPEED = 3


class Answer(msgspec.Struct, kw_only=True):
    """A whole answer of an endpoint."""

    status: int
    reason: bytes
    headers: RawHeaders
    body: bytes


class Outcome(msgspec.Struct, kw_only=True):
    """How one sending ended, if not with an answer that is passed on."""

    reason: str
    may_have_run: bool
    answer: Answer | None = None


class Silent(Exception):
    """An endpoint kept silent for longer than a repeatable request should wait."""


class Sending:
    """State of one request over all its sendings."""

    def __init__(self, *, request: RoutedRequest, caller: CallerConnection):
        self.request = request
        self.caller = caller
        self.tried: set[str] = set()
        self.sends = 0
        self.connect_failures = 0
        self.may_have_run = False
        self.last_failure: Answer | None = None
        self.last_reason = ""
        self.last_event = request.resume_after
        self.stream_started = False
        # Steady clock: the first and the latest event passed on, 0 before.
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self.longest_pause_s = 0.0
        self.events = 0
        # Address of an engine that holds a part of the prompt.
        self.copy_from: str | None = None

    def note_event(self) -> None:
        """Counts events that are passed on to the caller now."""
        now = time.monotonic()
        if not self.first_event_at:
            self.first_event_at = now
        else:
            pause_s = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at = now

    def token_s(self, tokens_per_event: int) -> float | None:
        """Returns the time for a token after the first event, None if unknown."""
        if self.events < MIN_EVENTS_FOR_SPEED:
            return None
        tokens = (self.events - 1) * tokens_per_event
        return (self.last_event_at - self.first_event_at) / tokens

    def timing(self) -> dict[str, int]:
        """Returns the first event's time, the longest pause and the events so far."""
        if not self.first_event_at:
            return {}
        first_s = self.first_event_at - self.request.arrived_at
        return {
            "first_event_ms": round(first_s * 1000),
            "longest_pause_ms": round(self.longest_pause_s * 1000),
            "events": self.events,
        }


class CallerBreak(Exception):
    """A stream that has begun cannot be completed; its connection is broken off."""

    # How far the answer had come, for the log.
    progress: dict[str, int] = {}
