"""Preemption: when a queued request may take the slot of a lower-tier request."""

from ...state.scheduling import WaitPrediction
from ...state.tickets import SlotGrant, Ticket
from .registry import Registry

PREEMPTION = Registry(decision="preemption")

# Fraction of the time to the target that a request waits for a slot before it may
# preempt. At 0.5, a burst of lookups repeated up to three times as much prefill; a
# larger value leaves less than a third of the time for the release and the first token.
PREEMPTION_WAIT_FRACTION = 0.65
# Typical speed of one stream; used only to compare running streams.
TOKENS_PER_S = 40.0


@PREEMPTION.register("default")
class PreemptForTarget:
    """Preempts when waiting for a free slot would probably miss the target."""

    protected_wait_past_deadline = True
    returns_borrowed_slots = True

    def due_at(self, ticket: Ticket, prediction: WaitPrediction) -> float | None:
        slack_s = self._target_s(ticket) - prediction.service_s
        waited_s = prediction.now - ticket.arrived_at
        if prediction.predicted_wait_s > slack_s - waited_s:
            return prediction.now
        return max(
            prediction.now, ticket.arrived_at + PREEMPTION_WAIT_FRACTION * slack_s
        )

    def victim_cost(self, grant: SlotGrant, now: float) -> float:
        """Returns the tokens that must be prefilled again when the stream resumes."""
        generated = (now - grant.granted_at) * TOKENS_PER_S
        return grant.ticket.prompt_tokens + generated

    def _target_s(self, ticket: Ticket) -> float:
        latency = ticket.request_class.latency
        target_ms = latency.first_token_ms or latency.whole_answer_ms
        if target_ms is None:
            return ticket.deadline - ticket.arrived_at
        return target_ms / 1000.0


@PREEMPTION.register("fifo_round_robin", "least_outstanding")
class NeverPreempt:
    """Never preempts running requests."""

    protected_wait_past_deadline = False
    returns_borrowed_slots = False

    def due_at(self, ticket: Ticket, prediction: WaitPrediction) -> float | None:
        return None

    def victim_cost(self, grant: SlotGrant, now: float) -> float:
        return 0.0
