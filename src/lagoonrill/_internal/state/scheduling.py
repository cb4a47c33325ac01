"""Interfaces of scheduling policies, which `coordination.policy` implements."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from .class_queue import ClassQueue
from .endpoint_table import EndpointView
from .tickets import SlotGrant, Ticket


class WaitPrediction(msgspec.Struct, kw_only=True):
    """Predictions for a request when it arrives or while it waits.

    `predicted_wait_s` is the time until a slot is granted. `service_s` is the time from
    the grant to the first token, or to the whole answer for classes with a target for
    the whole answer.
    """

    now: float
    class_waiting: int
    predicted_wait_s: float
    service_s: float


class Refusal(msgspec.Struct, kw_only=True):
    """Reason for which admission refuses a request; `reason` is the counter's key."""

    reason: str
    detail: str


class Pick(msgspec.Struct, kw_only=True):
    """Class queue that gets the free slot; `by_floor` if its floor credit pays."""

    queue: ClassQueue
    by_floor: bool = False


class Admission(Protocol):
    displaces_lower_tiers: bool

    def refuse(
        self,
        ticket: Ticket,
        prediction: WaitPrediction,
        *,
        total_waiting: int,
        total_limit: int,
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
        self, ticket: Ticket, views: list[EndpointView], now: float, final_round: bool
    ) -> EndpointView | None:
        """Returns the endpoint to use, or None to wait for a better one.

        In the final round no other request can use the endpoints.
        """

    def can_meet_target(self, ticket: Ticket, view: EndpointView) -> bool:
        """Returns whether the request can meet its latency target on the endpoint."""

    def accepts_any_at(self, ticket: Ticket) -> float | None:
        """Returns when the request stops waiting for a better endpoint."""

    def note_sent(self, ticket: Ticket, endpoint_id: str) -> None: ...


class Preemption(Protocol):
    # Whether protected requests wait past their deadline for slots of lower tiers.
    protected_wait_past_deadline: bool

    def due_at(self, ticket: Ticket, prediction: WaitPrediction) -> float | None:
        """Returns when the request should preempt a lower tier, or None for never."""

    def victim_cost(self, grant: SlotGrant, now: float) -> float:
        """Returns the work to repeat after preemption; the lowest cost is preempted."""


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
    """Implementations of all decisions of the scheduler."""

    admission: Admission
    queue_order: QueueOrder
    team_fairness: TeamFairness
    endpoint_choice: EndpointChoice
    preemption: Preemption
    output_length: OutputLength
    load_estimate: LoadEstimate
