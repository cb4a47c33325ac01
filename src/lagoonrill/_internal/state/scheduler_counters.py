"""Scheduler counters by class."""

import msgspec

from ..protocol.manifest import RequestClass
from .tickets import Ticket, Usage


class ClassCounters(msgspec.Struct, kw_only=True):
    """Counters of one class since the start; `sheds` counts by reason."""

    granted: int = 0
    granted_by_floor: int = 0
    preempted: int = 0
    failed: int = 0
    cancelled: int = 0
    tokens: int = 0
    wasted_tokens: int = 0
    longest_wait_s: float = 0.0
    sheds: dict[str, int] = {}


class SchedulerCounters:
    """Counters of all classes; guarded by the scheduler's lock."""

    def __init__(self):
        self.by_class: dict[str, ClassCounters] = {}

    def of(self, request_class: RequestClass) -> ClassCounters:
        return self.by_class.setdefault(request_class.name, ClassCounters())

    def note_shed(self, ticket: Ticket, reason: str) -> None:
        sheds = self.of(ticket.request_class).sheds
        sheds[reason] = sheds.get(reason, 0) + 1

    def note_grant(self, ticket: Ticket, by_floor: bool, now: float) -> None:
        counters = self.of(ticket.request_class)
        counters.granted += 1
        counters.granted_by_floor += by_floor
        if not ticket.resumes:
            waited_s = now - ticket.arrived_at
            counters.longest_wait_s = max(counters.longest_wait_s, waited_s)

    def note_usage(self, ticket: Ticket, usage: Usage) -> None:
        counters = self.of(ticket.request_class)
        counters.tokens += usage.tokens
        counters.wasted_tokens += usage.wasted_tokens
        counters.failed += usage.failed

    def copy(self) -> dict[str, ClassCounters]:
        return {
            name: msgspec.structs.replace(item, sheds=dict(item.sheds))
            for name, item in self.by_class.items()
        }
