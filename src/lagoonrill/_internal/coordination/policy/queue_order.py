"""Queue order: which class gets a slot that becomes free."""

from collections.abc import Sequence

from ...state.class_queue import ClassQueue
from ...state.scheduling import Pick
from .registry import Registry

QUEUE_ORDER = Registry(decision="queue order")


def tier_order(queue: ClassQueue) -> tuple[int, float]:
    """Orders by tier; classes of one tier share by start-time fair queueing."""
    return queue.tier, queue.class_tag


@QUEUE_ORDER.register("default")
class TiersWithFloors:
    """Classes whose floor credit covers a slot go first, then strict tier order."""

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
    """Tier order without floors; it starves the lower tiers under overload.

    Kept as a check that the starvation test can fail.
    """

    def pick(self, queues: Sequence[ClassQueue]) -> Pick:
        return Pick(queue=min(queues, key=tier_order))


@QUEUE_ORDER.register("fifo_round_robin", "least_outstanding")
class FirstComeFirstServed:
    """The oldest request goes first, whatever its class."""

    def pick(self, queues: Sequence[ClassQueue]) -> Pick:
        return Pick(queue=min(queues, key=lambda queue: queue.oldest().sequence))
