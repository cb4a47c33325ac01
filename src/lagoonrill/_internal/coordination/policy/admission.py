"""Admission control: decides whether a request may join the queue."""

from ...state.scheduling import Refusal, WaitPrediction
from ...state.tickets import Ticket
from .registry import Registry

ADMISSION = Registry(decision="admission")

# The predicted wait is a mean. A request is rejected early only if its predicted wait
# exceeds three times its remaining time, so estimation errors reject few requests.
EARLY_REJECTION_WAIT_RATIO = 3.0


def queue_refusal(
    ticket: Ticket, prediction: WaitPrediction, total_waiting: int, total_limit: int
) -> Refusal | None:
    """Returns a refusal if the queue of the class or the whole queue is full."""
    limit = ticket.request_class.max_queue
    if prediction.class_waiting >= limit:
        return Refusal(
            reason="class_queue_full",
            detail=f"{limit} requests of the class wait",
        )
    if total_waiting >= total_limit:
        return Refusal(reason="queue_full", detail=f"{total_limit} requests wait")
    return None


@ADMISSION.register("default")
class DeadlineAwareAdmission:
    """Enforces queue limits and rejects requests that cannot start in time."""

    displaces_lower_tiers = True

    def refuse(
        self,
        ticket: Ticket,
        prediction: WaitPrediction,
        *,
        total_waiting: int,
        total_limit: int,
    ) -> Refusal | None:
        refusal = queue_refusal(ticket, prediction, total_waiting, total_limit)
        if refusal is not None or ticket.request_class.protected:
            return refusal
        remaining_s = ticket.deadline - prediction.now
        if prediction.predicted_wait_s > EARLY_REJECTION_WAIT_RATIO * remaining_s:
            return Refusal(
                reason="predicted_late",
                detail=f"the expected wait is {prediction.predicted_wait_s:.1f} s",
            )
        return None


@ADMISSION.register("fifo_round_robin", "least_outstanding")
class QueueLimitAdmission:
    """Enforces queue limits only."""

    displaces_lower_tiers = False

    def refuse(
        self,
        ticket: Ticket,
        prediction: WaitPrediction,
        *,
        total_waiting: int,
        total_limit: int,
    ) -> Refusal | None:
        return queue_refusal(ticket, prediction, total_waiting, total_limit)
