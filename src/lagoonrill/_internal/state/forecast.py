"""Predicted wait of a request for a slot."""

from .class_queue import ClassQueue
from .endpoint_table import EndpointView
from .pools import Pool
from .scheduling import SchedulingPolicy, WaitPrediction
from .slot_ledger import SlotLedger
from .tickets import Ticket


class Forecast:
    """Predicts waits from queue lengths and measured slot hold times."""

    def __init__(self, *, policy: SchedulingPolicy, ledger: SlotLedger):
        self.policy = policy
        self.ledger = ledger

    def prediction(
        self,
        ticket: Ticket,
        queue: ClassQueue,
        pool: Pool,
        views: list[EndpointView],
        now: float,
    ) -> WaitPrediction:
        return WaitPrediction(
            now=now,
            class_waiting=len(queue.waiting),
            predicted_wait_s=self.predicted_wait_s(ticket, queue, pool, views),
            service_s=self.policy.load_estimate.service_s(ticket, views),
        )

    def predicted_wait_s(
        self,
        ticket: Ticket,
        queue: ClassQueue,
        pool: Pool,
        views: list[EndpointView],
    ) -> float:
        if self.ledger.views_with_free_slots(views):
            return 0.0
        load = self.policy.load_estimate
        ahead_s = sum(
            len(other.waiting) * load.hold_s(other.request_class.name)
            for other in pool.queues
            if other is not queue and other.tier <= queue.tier
        )
        own_ahead = self._ahead_in_class(ticket, queue)
        ahead_s += own_ahead * load.hold_s(queue.request_class.name)
        running = [q for q in pool.queues if q.running]
        count = sum(len(q.running) for q in running)
        if not count:
            return 0.0
        held_s = sum(
            len(q.running) * load.hold_s(q.request_class.name) for q in running
        )
        return ahead_s / count + held_s / count**2

    def _ahead_in_class(self, ticket: Ticket, queue: ClassQueue) -> int:
        """Returns how many requests fair queueing serves before a new one of the team.

        A team with few requests does not wait for all requests of a team with many.
        """
        team = queue.teams.get(self.policy.team_fairness.team_key(ticket))
        own = team.live if team is not None else 0
        return min(len(queue.waiting), (own + 1) * len(queue.ready))
