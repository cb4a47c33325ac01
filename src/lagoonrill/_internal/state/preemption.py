"""Preempts running requests of lower tiers in favour of waiting requests."""

from .class_queue import ClassQueue, QueueEntry
from .endpoint_table import EndpointTable, EndpointView
from .forecast import Forecast
from .pools import Pool
from .scheduler_counters import SchedulerCounters
from .scheduling import SchedulingPolicy
from .slot_ledger import SlotLedger
from .tickets import SlotGrant, Ticket

# A stream checks for preemption between tokens (72 ms at the target). If it has not
# released its slot within this time, the slot is not expected to become free.
PREEMPTION_TIMEOUT_S = 1.0
PREEMPTION_RECHECK_S = 0.05
# Interval while there is nothing to preempt, which other requests may change.
IDLE_RECHECK_S = 0.25


class Preemptor:
    """Signals running grants to release; callers must hold the scheduler's lock."""

    def __init__(
        self,
        *,
        policy: SchedulingPolicy,
        table: EndpointTable,
        ledger: SlotLedger,
        forecast: Forecast,
        counters: SchedulerCounters,
    ):
        self.policy = policy
        self.table = table
        self.ledger = ledger
        self.forecast = forecast
        self.counters = counters

    def preempt_for_protected(self, entry: QueueEntry, pool: Pool, now: float) -> bool:
        """Preempts for a protected request past its deadline if a lower tier can yield.

        Returns whether the request should keep waiting.
        """
        if not entry.ticket.request_class.protected:
            return False
        if not self.is_lower_work_usable(entry, pool, now):
            return False
        if not self._is_usable_grant_signalled(entry, pool, now):
            self._preempt_for(entry, pool, now)
        return True

    def _is_usable_grant_signalled(
        self, entry: QueueEntry, pool: Pool, now: float
    ) -> bool:
        usable = self._usable_endpoints(entry.ticket)
        return any(
            grant.endpoint.id in usable
            and now - grant.preempted_at < PREEMPTION_TIMEOUT_S
            for queue in lower_queues(entry, pool)
            for grant in queue.signalled
        )

    def preempt_if_due(
        self, entry: QueueEntry, pool: Pool, views: list[EndpointView], now: float
    ) -> float:
        """Preempts if it is due and returns the time of the next check."""
        if not any(q.running and q.tier > entry.queue.tier for q in pool.queues):
            return float("inf")
        prediction = self.forecast.prediction(
            entry.ticket, entry.queue, pool, views, now
        )
        due_at = self.policy.preemption.due_at(entry.ticket, prediction)
        if due_at is None:
            return float("inf")
        if due_at > now:
            return due_at
        if self.ledger.is_team_at_limit(entry.team_key):
            return now + IDLE_RECHECK_S
        # A slot released for one request may go to another one, so only the numbers of
        # waiting requests and signalled grants are compared.
        pending = pool.signalled_since(now - PREEMPTION_TIMEOUT_S)
        is_wanted = pending < pool.waiting_up_to(entry.queue.tier)
        if is_wanted and not self._preempt_for(entry, pool, now):
            return now + IDLE_RECHECK_S
        return now + PREEMPTION_RECHECK_S

    def _preempt_for(self, entry: QueueEntry, pool: Pool, now: float) -> bool:
        """Signals the cheapest grant of the lowest tier that the request can use.

        Endpoints that are too slow for the request are only used if no others are left.
        """
        ticket = entry.ticket
        views = self.table.candidates(ticket.target)
        views = [view for view in views if view.endpoint.id not in ticket.excluded]
        can_meet_target = self.policy.endpoint_choice.can_meet_target
        suitable = {view.endpoint.id for view in views if can_meet_target(ticket, view)}
        if self._signal_cheapest(entry, pool, suitable, now):
            return True
        usable = {view.endpoint.id for view in views} - suitable
        return self._signal_cheapest(entry, pool, usable, now)

    def _signal_cheapest(
        self, entry: QueueEntry, pool: Pool, usable: set[str], now: float
    ) -> bool:
        for queue in lower_queues(entry, pool) if usable else ():
            if not queue.has_slots_beyond_floor():
                continue
            victims = [
                grant
                for grant in reversed(queue.running)
                if grant.preempted_at is None
                and is_preemptible(grant, usable, entry.ticket)
            ]
            if victims:
                # `min` returns the first of equal costs, so the newest grant.
                cost = self.policy.preemption.victim_cost
                victim = min(victims, key=lambda grant: cost(grant, now))
                self._signal(victim, queue, now)
                return True
        return False

    def return_borrowed_slots(
        self, queues: list[ClassQueue], endpoint_id: str, count: int, now: float
    ) -> None:
        """Signals grants on an endpoint, lowest tier first, then newest first."""
        if not self.policy.preemption.returns_borrowed_slots:
            return
        for queue in queues:
            running = [g for g in queue.running if g.endpoint.id == endpoint_id]
            count -= sum(grant.preempted_at is not None for grant in running)
            for grant in reversed(running):
                if (
                    count > 0
                    and may_return_slot(grant)
                    and queue.has_slots_beyond_floor()
                ):
                    self._signal(grant, queue, now)
                    count -= 1

    def _signal(self, grant: SlotGrant, queue: ClassQueue, now: float) -> None:
        grant.preempted_at = now
        grant.preempted.set()
        queue.signalled[grant] = None
        self.counters.of(grant.ticket.request_class).preempted += 1

    def is_lower_work_usable(self, entry: QueueEntry, pool: Pool, now: float) -> bool:
        """Returns whether a lower tier holds a slot that the request could use."""
        ticket = entry.ticket
        if not self.policy.preemption.protected_wait_past_deadline:
            return False
        if self.ledger.is_team_at_limit(self.policy.team_fairness.team_key(ticket)):
            return False
        usable = self._usable_endpoints(ticket)
        return any(
            is_preemptible(grant, usable, entry.ticket)
            and self._can_become_free(grant, queue, now)
            for queue in lower_queues(entry, pool)
            for grant in queue.running
        )

    def _can_become_free(self, grant: SlotGrant, queue: ClassQueue, now: float) -> bool:
        if grant.preempted_at is not None:
            return now - grant.preempted_at < PREEMPTION_TIMEOUT_S
        return queue.has_slots_beyond_floor()

    def _usable_endpoints(self, ticket: Ticket) -> set[str]:
        views = self.table.candidates(ticket.target)
        return {view.endpoint.id for view in views} - ticket.excluded


def lower_queues(entry: QueueEntry, pool: Pool) -> list[ClassQueue]:
    """Returns the queues of lower tiers, lowest tier first."""
    tier = entry.ticket.request_class.tier
    return [queue for queue in reversed(pool.queues) if queue.tier > tier]


def may_return_slot(grant: SlotGrant) -> bool:
    """Returns whether a grant may be preempted to return a borrowed slot."""
    running = grant.ticket.request_class
    is_lower = running.repeatable and not running.protected
    return is_lower and not grant.by_floor and grant.preempted_at is None


def is_preemptible(grant: SlotGrant, usable: set[str], ticket: Ticket) -> bool:
    """Returns whether a waiting ticket may take the grant's slot.

    The stream must be resumable and not paid for by its class's floor. A protected
    request only yields to a protected request of a higher tier.
    """
    running = grant.ticket.request_class
    if running.protected and not ticket.request_class.protected:
        return False
    resumable = running.repeatable and not grant.by_floor
    return resumable and grant.endpoint.id in usable
