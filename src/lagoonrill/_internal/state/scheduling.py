"""What the scheduler asks of a policy; `coordination.policy` has the variants."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from .class_queue import ClassQueue
from .endpoint_table import EndpointView
from .tickets import SlotGrant, Ticket


class Outlook(msgspec.Struct, kw_only=True):
    """Facts about a request's prospects when it arrives or waits.

    `predicted_wait_s` is the time until a slot; `service_s` the time from the slot to
    the first token (to the whole answer for classes with a whole-answer target).
    """

    now: float
    class_waiting: int
    predicted_wait_s: float
    service_s: float


class Refusal(msgspec.Struct, kw_only=True):
    """Why admission refuses a request; `reason` is the key of the counter."""

    reason: str
    detail: str


class Pick(msgspec.Struct, kw_only=True):
    """The class queue that gets the free slot, and whether its floor pays for it."""

    queue: ClassQueue
    by_floor: bool = False


class Admission(Protocol):
    displaces_lower_tiers: bool

    def refuse(
        self, ticket: Ticket, outlook: Outlook, *, total_waiting: int, total_limit: int
    ) -> Refusal | None: ...


class QueueOrder(Protocol):
    def pick(self, queues: Sequence[ClassQueue]) -> Pick: ...


class TeamFairness(Protocol):
    limits_in_flight: bool

    def team_key(self, ticket: Ticket) -> str: ...

    def order_key(self, ticket: Ticket) -> float: ...

    def cost(self, prompt_tokens: int, output_tokens: float) -> float: ...


class EndpointChoice(Protocol):
    def choose(
        self, ticket: Ticket, views: list[EndpointView], now: float, last_call: bool
    ) -> EndpointView | None:
        """Returns None if the request should wait for a better endpoint.

        On the last call no other request wants the endpoints.
        """

    def suits(self, ticket: Ticket, view: EndpointView) -> bool:
        """Tells whether the request can meet its target on the endpoint."""

    def accepts_any_at(self, ticket: Ticket) -> float | None:
        """Returns when the request stops waiting for a better endpoint."""

    def note_sent(self, ticket: Ticket, endpoint_id: str) -> None: ...


class Preemption(Protocol):
    # Whether protected requests outlast their deadline for lower work's slots.
    shields_protected: bool

    def due_at(self, ticket: Ticket, outlook: Outlook) -> float | None:
        """Returns when the request should preempt lower work, None for never."""

    def victim_cost(self, grant: SlotGrant, now: float) -> float:
        """Returns what preempting the grant would repeat; the lowest cost goes."""


class OutputLength(Protocol):
    def estimate(self, request_class: str, team: str) -> float: ...

    def note(self, request_class: str, team: str, tokens: int) -> None: ...


class LoadEstimate(Protocol):
    def hold_s(self, request_class: str) -> float: ...

    def note_hold(self, request_class: str, seconds: float) -> None: ...

    def least_service_s(
        self, ticket: Ticket, views: Sequence[EndpointView]
    ) -> float: ...

    def service_s(self, ticket: Ticket, views: Sequence[EndpointView]) -> float: ...


class SchedulingPolicy(Protocol):
    """One variant of every decision of the scheduler."""

    admission: Admission
    queue_order: QueueOrder
    team_fairness: TeamFairness
    endpoint_choice: EndpointChoice
    preemption: Preemption
    output_length: OutputLength
    load_estimate: LoadEstimate
