"""Queue order: selects the class that gets the next free slot."""

from collections.abc import Sequence

from ...state.class_queue import ClassQueue
from ...state.scheduling import Pick
from .registry import Registry

QUEUE_ORDER = Registry(decision="queue order")


def tier_order(queue: ClassQueue) -> tuple[int, float]:
    """Orders by tier; within a tier, classes share by start-time fair queueing."""
    return queue.tier, queue.class_tag


@QUEUE_ORDER.register("default")
class TiersWithFloors:
    """Serves classes with enough floor credit for a slot first, then by tier."""

    def pick(self, queues: Sequence[ClassQueue]) -> Pick:
        first = min(queues, key=tier_order)
        entitled = [queue for queue in queues if queue.has_floor_credit()]
        if entitled:
            chosen = min(entitled, key=tier_order)
            if chosen.tier > first.tier:
                return Pick(queue=chosen, by_floor=True)
        return Pick(queue=first)


@QUEUE_ORDER.register("strict_priority")
class StrictPriority:
    """Serves classes by tier without floors; lower tiers starve under overload.

    Exists to verify that the starvation test can fail.
    """

    def pick(self, queues: Sequence[ClassQueue]) -> Pick:
        return Pick(queue=min(queues, key=tier_order))


@QUEUE_ORDER.register("fifo_round_robin", "least_outstanding")
class FirstComeFirstServed:
    """Serves the oldest request first, regardless of class."""

    def pick(self, queues: Sequence[ClassQueue]) -> Pick:
        return Pick(queue=min(queues, key=lambda queue: queue.oldest().sequence))
