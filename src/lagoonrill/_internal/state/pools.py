"""Pools of targets that share endpoints, with their queues."""

from collections.abc import Iterable

from ..protocol.manifest import Endpoint, Manifest
from .class_queue import ClassQueue
from .endpoint_table import targets_of


class Pool:
    """Targets that are connected by common endpoints, and their queues.

    A free slot of an endpoint that serves two models goes to the first request among
    both, so tiers and floors apply across all targets of a pool.
    """

    def __init__(self):
        self.targets: set[str] = set()
        self.endpoints: dict[str, list[Endpoint]] = {}
        self.queues: list[ClassQueue] = []

    def add_endpoint(self, endpoint: Endpoint) -> None:
        for target in targets_of(endpoint):
            self.targets.add(target)
            self.endpoints.setdefault(target, []).append(endpoint)

    def add_queue(self, queue: ClassQueue) -> None:
        self.queues.append(queue)
        self.queues.sort(key=lambda item: (item.tier, item.request_class.name))

    def merge(self, other: "Pool") -> None:
        self.targets |= other.targets
        for target, endpoints in other.endpoints.items():
            self.endpoints.setdefault(target, []).extend(endpoints)

    def advance(self, now: float) -> None:
        """Updates the floor credits of all queues."""
        waiting_tier = min(
            (queue.tier for queue in self.queues if queue.waiting), default=None
        )
        for queue in self.queues:
            higher = waiting_tier is not None and waiting_tier < queue.tier
            queue.advance(now, higher_tier_waits=higher)

    def waiting_up_to(self, tier: int) -> int:
        return sum(len(q.waiting) for q in self.queues if q.tier <= tier)

    def signalled_since(self, earliest: float) -> int:
        """Returns the number of grants signalled after `earliest` and not released."""
        return sum(
            grant.preempted_at > earliest
            for queue in self.queues
            for grant in queue.signalled
        )


def build_pools(manifest: Manifest) -> dict[str, Pool]:
    """Groups the manifest's targets by common endpoints; returns pools by target.

    >>> def engine(name, models):
    ...     return Endpoint(id=name, url="", zone="z", slots=1, models=models)
    >>> engines = [engine("a", ["m", "n"]), engine("b", ["n"]), engine("c", ["o"])]
    >>> pools = build_pools(Manifest(classes=[], endpoints=engines, teams=[]))
    >>> pools["m"] is pools["n"], pools["m"] is pools["o"]
    (True, False)
    """
    pools: dict[str, Pool] = {}
    for endpoint in manifest.endpoints:
        pool = Pool()
        pool.add_endpoint(endpoint)
        for connected in _distinct(pools[t] for t in pool.targets if t in pools):
            pool.merge(connected)
        pools.update(dict.fromkeys(pool.targets, pool))
    return pools


def _distinct(pools: Iterable[Pool]) -> list[Pool]:
    return list({id(pool): pool for pool in pools}.values())
