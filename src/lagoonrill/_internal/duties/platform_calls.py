"""Calls to the platform that only the holder of a lease may make."""

import enum
from typing import Protocol


class CallOutcome(enum.Enum):
    """What is known of a call after it has ended."""

    # The platform has confirmed the call.
    DONE = enum.auto()
    # Refused: the platform has seen a higher token for this subject. An order of spot
    # endpoints is also refused in this way if none are available.
    REFUSED = enum.auto()
    # Refused because of the rate of calls; not executed.
    BUSY = enum.auto()
    # The platform was not reached; not executed.
    UNAVAILABLE = enum.auto()
    # No answer, or an unexpected one: the call may be executed later.
    IN_DOUBT = enum.auto()


class DutyCaller(Protocol):
    """Makes the calls; each carries the name of this instance and its token."""

    def report_usage(
        self, *, window: int, counts: dict[str, int], token: int
    ) -> CallOutcome: ...

    def order_endpoints(
        self, *, service: str, zone: str, count: int, spot: bool, token: int
    ) -> CallOutcome: ...


class Duty(Protocol):
    """Work of the lease holder; `step` is called a few times a second.

    `step` makes the calls that are due. It raises `StaleToken` if the platform has
    refused its token, after which the lease is given up.
    """

    name: str

    def step(self, token: int) -> None: ...


class StaleToken(Exception):
    """The platform has seen a higher token: another instance is the holder."""


class LeaseCheck(Protocol):
    """Tells whether this instance still holds the lease with a token."""

    def is_held(self, token: int) -> bool:
        """Reads the lease from the store; returns False also if that fails."""
        ...
