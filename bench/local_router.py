"""Runs the request path with in-memory scheduler, claims and peers.

Tests and measurements of the request path use it in-process; `python -m
bench.local_router --engine URL` runs it as a separate process.
"""

import argparse
import collections
import hashlib
import itertools
import signal
import threading
import time

import msgspec
from returns.result import Failure, Success

from lagoonrill._internal.coordination.caller_thread_limit import CallerThreadLimit
from lagoonrill._internal.coordination.dispatch import Dispatcher
from lagoonrill._internal.coordination.streams import StreamLimits, StreamRelay
from lagoonrill._internal.protocol.claim_errors import (
    ClaimError,
    KeyReused,
    OutcomeKnown,
    OutcomeUnknown,
)
from lagoonrill._internal.protocol.claim_records import Outcome
from lagoonrill._internal.protocol.errors import DeadlineExceeded, NoEndpoint
from lagoonrill._internal.protocol.manifest import (
    Endpoint,
    LatencyTarget,
    Manifest,
    Model,
    RequestClass,
    Service,
    ServiceRoute,
    Team,
)
from lagoonrill._internal.protocol.objects import ConfigRecord
from lagoonrill._internal.protocol.settings import CallerSettings
from lagoonrill._internal.state.stream_registry import StreamRegistry
from lagoonrill._internal.state.tickets import SlotGrant, Ticket, Usage
from lagoonrill._internal.transport.caller_listener import CallerListener
from lagoonrill._internal.transport.endpoint_client import EndpointClient

KEY = "local-key"
MODEL = "m"
SERVICE = "orders"


class LocalScheduler:
    """Selects endpoints round-robin; while `paused`, every request waits."""

    def __init__(self, *, endpoints: list[Endpoint]):
        self.endpoints = endpoints
        self.next_index = itertools.count()
        self.changed = threading.Condition()
        self.paused = False
        self.cancelled: set[str] = set()
        self.running: list[SlotGrant] = []
        self.usages: list[Usage] = []

    def acquire(self, ticket: Ticket) -> SlotGrant:
        """Returns a grant for a matching endpoint that the ticket does not exclude."""
        usable = [
            endpoint
            for endpoint in self.endpoints
            if ticket.target in (*endpoint.models, endpoint.service)
            and endpoint.id not in ticket.excluded
        ]
        if not usable:
            raise NoEndpoint(message=f"no endpoint serves {ticket.target!r}")
        with self.changed:
            while self.paused and ticket.request_id not in self.cancelled:
                if time.monotonic() >= ticket.deadline:
                    raise DeadlineExceeded(message="no slot", retry_after_s=1.0)
                self.changed.wait(max(0.0, ticket.deadline - time.monotonic()))
            if ticket.request_id in self.cancelled:
                raise NoEndpoint(message="cancelled")
            grant = SlotGrant(
                ticket=ticket,
                endpoint=usable[next(self.next_index) % len(usable)],
                granted_at=time.monotonic(),
            )
            self.running.append(grant)
        return grant

    def release(self, grant: SlotGrant, usage: Usage) -> None:
        """Releases a grant and records its usage."""
        with self.changed:
            self.running.remove(grant)
            self.usages.append(usage)

    def cancel(self, ticket: Ticket) -> None:
        """Makes `acquire` raise `NoEndpoint` for a waiting request."""
        with self.changed:
            self.cancelled.add(ticket.request_id)
            self.changed.notify_all()

    def resume(self) -> None:
        """Clears `paused` and wakes the waiting requests."""
        with self.changed:
            self.paused = False
            self.changed.notify_all()


class LocalEndpointTable:
    """Records the endpoints that were marked down or leaving."""

    def __init__(self):
        self.down: dict[str, str] = {}
        self.leaving: dict[str, str] = {}

    def mark_down(self, endpoint_id: str, reason: str) -> None:
        self.down[endpoint_id] = reason

    def mark_leaving(self, endpoint_id: str, source: str) -> None:
        self.leaving[endpoint_id] = source


class LocalClaims:
    """Stores claims in memory; if `refusal` is set, `claim` returns it."""

    def __init__(self):
        self.lock = threading.Lock()
        self.claims: dict[tuple[str, str], str] = {}
        self.outcomes: dict[tuple[str, str], Outcome] = {}
        self.granted: set[tuple[str, str]] = set()
        self.refusal: ClaimError | None = None

    def claim(self, *, team, key, body_digest, deadline):
        claim = (team, key)
        with self.lock:
            if self.refusal is not None:
                return Failure(self.refusal)
            if self.claims.setdefault(claim, body_digest) != body_digest:
                return Failure(KeyReused(message="another body"))
            if claim in self.outcomes:
                known = self.outcomes[claim]
                return Failure(OutcomeKnown(message="known", outcome=known))
            if claim in self.granted:
                return Failure(OutcomeUnknown(message="claimed before"))
            self.granted.add(claim)
        return Success(claim)

    def record_outcome(self, grant, outcome):
        self.outcomes[grant] = outcome
        return Success(None)

    def close(self, grant):
        with self.lock:
            self.granted.discard(grant)
            self.claims.pop(grant, None)
        return Success(None)


class LocalPeer(msgspec.Struct, kw_only=True):
    instance: str


class LocalNetwork:
    """Connects the memberships of the routers in one process."""

    def __init__(self):
        self.members: dict[str, LocalMembership] = {}


class LocalMembership:
    """Implements the membership of one router in a `LocalNetwork`."""

    def __init__(self, *, instance: str, network: LocalNetwork):
        self.instance = instance
        self.network = network
        self.handlers: dict[type, object] = {}
        network.members[instance] = self

    def live_peers(self) -> list[LocalPeer]:
        names = [name for name in self.network.members if name != self.instance]
        return [LocalPeer(instance=name) for name in names]

    def register_handler(self, message_type, handler) -> None:
        self.handlers[message_type] = handler

    def send(self, instance: str, message) -> None:
        self.network.members[instance].handlers[type(message)](message)

    def request(self, instance: str, message, timeout_s: float):
        return Success(self.network.members[instance].handlers[type(message)](message))


class LocalBudget:
    """A retry budget with a settable number of remaining retries."""

    def __init__(self):
        self.remaining = 1_000

    def note_request(self) -> None:
        pass

    def allow_retry(self, request_class: RequestClass) -> bool:
        self.remaining -= 1
        return self.remaining >= 0


class LocalGeneration:
    """Provides a fixed manifest as the current generation."""

    def __init__(self, *, manifest: Manifest):
        self.record = ConfigRecord(
            generation=1,
            base_generation=0,
            proposal_id="local",
            digest="",
            manifest=manifest,
            written_at=0.0,
        )

    def current(self) -> ConfigRecord | None:
        return self.record


def local_manifest(
    *, engine_urls: list[str], service_urls: list[str] | None = None
) -> Manifest:
    """Returns a manifest with the classes chat, lookup and order and one team."""
    latency = LatencyTarget()
    engines = [
        Endpoint(id=f"engine-{i}", url=url, zone="z", slots=8, models=[MODEL])
        for i, url in enumerate(engine_urls)
    ]
    workers = [
        Endpoint(id=f"worker-{i}", url=url, zone="z", slots=8, service=SERVICE)
        for i, url in enumerate(service_urls or [])
    ]
    routes = [
        ServiceRoute(method="GET", path_prefix="/", request_class="lookup"),
        ServiceRoute(method="POST", path_prefix="/", request_class="order"),
    ]
    return Manifest(
        classes=[
            RequestClass(name="chat", tier=1, latency=latency),
            RequestClass(name="lookup", tier=1, latency=latency),
            RequestClass(name="order", tier=0, latency=latency, repeatable=False),
        ],
        models=[Model(name=MODEL, default_class="chat")],
        services=[Service(name=SERVICE, routes=routes)],
        endpoints=engines + workers,
        teams=[Team(name="t", key_digests=[hashlib.sha256(KEY.encode()).hexdigest()])],
    )


class LocalRouter:
    """Assembles the components of the request path in the same way as the daemon."""

    def __init__(
        self,
        *,
        manifest: Manifest,
        instance: str = "a",
        network: LocalNetwork | None = None,
        limits: StreamLimits | None = None,
        **settings,
    ):
        self.settings = CallerSettings(
            host="127.0.0.1", port=0, **({"threads": 16} | settings)
        )
        self.scheduler = LocalScheduler(endpoints=manifest.endpoints)
        self.endpoint_table = LocalEndpointTable()
        self.claims = LocalClaims()
        self.budget = LocalBudget()
        membership = LocalMembership(
            instance=instance, network=network or LocalNetwork()
        )
        self.registry = StreamRegistry(instance=instance, membership=membership)
        self.client = EndpointClient(instance=instance)
        self.wasted: collections.Counter[str] = collections.Counter()
        self.relay = StreamRelay(
            client=self.client,
            scheduler=self.scheduler,
            endpoint_table=self.endpoint_table,
            registry=self.registry,
            retry_budget=self.budget,
            record_wasted=lambda cause, tokens: self.wasted.update({cause: tokens}),
            limits=limits,
        )
        self.dispatcher = Dispatcher(
            generation=LocalGeneration(manifest=manifest),
            scheduler=self.scheduler,
            endpoint_table=self.endpoint_table,
            claims=self.claims,
            registry=self.registry,
            client=self.client,
            retry_budget=self.budget,
            relay=self.relay,
            caller_thread_limit=CallerThreadLimit(threads=self.settings.threads),
            max_prompt_characters=self.settings.max_prompt_characters,
        )
        self.listener = CallerListener(
            settings=self.settings, dispatcher=self.dispatcher
        )

    def start(self) -> None:
        self.relay.start()
        self.listener.start()

    def stop(self) -> None:
        self.listener.stop()
        self.relay.stop()
        self.client.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engine", action="append", required=True)
    parser.add_argument("--threads", type=int, default=400)
    arguments = parser.parse_args()
    router = LocalRouter(
        manifest=local_manifest(engine_urls=arguments.engine),
        threads=arguments.threads,
    )
    router.start()
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    print(f"ready {router.listener.port}", flush=True)
    stopped.wait()
    router.stop()


if __name__ == "__main__":
    main()
