"""Builders for the tests of the scheduler, the endpoint table and the policies."""

import itertools

from lagoonrill._internal.coordination.policy import build_policy
from lagoonrill._internal.coordination.policy.queue_order import QUEUE_ORDER
from lagoonrill._internal.protocol.manifest import (
    Endpoint,
    LatencyTarget,
    Manifest,
    RequestClass,
    Team,
)
from lagoonrill._internal.state.endpoint_table import EndpointTable
from lagoonrill._internal.state.request_queue import Scheduler, Ticket, Usage

NUMBERS = itertools.count()


class FakeClock:
    """Clock in seconds that only the test advances."""

    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def request_class(name, tier, *, first_token_ms=1_000, **options) -> RequestClass:
    latency = LatencyTarget(first_token_ms=first_token_ms)
    return RequestClass(name=name, tier=tier, latency=latency, **options)


COUNTER = request_class("counter", 0, protected=True, max_wait_ms=5_000)
LOOKUP = request_class("lookup", 1, first_token_ms=2_000)
PLAN = request_class("plan", 2, first_token_ms=60_000, max_wait_ms=600_000)


def engine(name, *, slots=2, zone="a", models=("m",), **options) -> Endpoint:
    return Endpoint(
        id=name,
        url=f"http://{name}",
        zone=zone,
        slots=slots,
        models=list(models),
        **options,
    )


class Kit:
    """Scheduler with its endpoint table and a clock that the test advances."""

    def __init__(
        self,
        *,
        endpoints=None,
        classes=(COUNTER, LOOKUP, PLAN),
        teams=(),
        policy="default",
        queue_order=None,
        clock=None,
        **options,
    ):
        self.clock = clock or FakeClock()
        self.table = EndpointTable(clock=self.clock)
        self.policy = build_policy(policy, zone="a")
        if queue_order:
            self.policy.queue_order = QUEUE_ORDER.get(queue_order)()
        self.scheduler = Scheduler(
            instance="i1",
            table=self.table,
            policy=self.policy,
            clock=self.clock,
            **options,
        )
        self.classes = list(classes)
        self.endpoints = endpoints or [engine("e1")]
        self.teams = [
            Team(name=name, key_digests=[], **fields) for name, fields in teams
        ]
        self.apply()

    def apply(self):
        manifest = Manifest(
            classes=self.classes, endpoints=self.endpoints, teams=self.teams
        )
        self.table.apply_manifest(manifest)
        self.scheduler.apply_manifest(manifest)

    def ticket(self, kind=COUNTER, team="oak", wait_s=None, **fields) -> Ticket:
        now = self.clock()
        wait_s = kind.max_wait_ms / 1000.0 if wait_s is None else wait_s
        fields = {"target": "m", "arrived_at": now, "deadline": now + wait_s} | fields
        number = next(NUMBERS)
        return Ticket(request_id=str(number), team=team, request_class=kind, **fields)

    def submit(self, kind=COUNTER, team="oak", **fields):
        return self.scheduler.submit(self.ticket(kind, team, **fields))

    def release(self, entry, tokens=10, **fields):
        self.scheduler.release(entry.grant, Usage(tokens=tokens, **fields))

    def advance(self, seconds):
        """Advances the clock and runs every timer at its due time."""
        until = self.clock.now + seconds
        while (wake_at := self.scheduler.next_wake()) is not None and wake_at <= until:
            self.clock.now = max(self.clock.now, wake_at)
            self.scheduler.poll()
        self.clock.now = until

    def sheds(self, kind) -> dict[str, int]:
        counters = self.scheduler.dump().counters.get(kind.name)
        return counters.sheds if counters else {}
