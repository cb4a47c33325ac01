"""Exchanges state digests between gateways: engine load and known versions.

Load pattern: each instance sees only a part of the load, and engines report with a
delay. A digest after each change lets all instances place requests by the same load.
`routing_catch_up` queries peers whose digests show newer configurations or endpoints.
"""

import secrets
import threading
import time
from collections import deque
from collections.abc import Callable

import msgspec
from returns.result import Failure

from ..event_log import EventLog
from ..protocol.messages import (
    EndpointCalls,
    GatewayDigest,
    PromptReply,
    PromptRequest,
    RoutingRequest,
    ServiceDemand,
    SpeedSample,
)
from ..state.endpoint_registry import EndpointRegistry
from ..state.engine_load_table import EngineLoadTable
from ..state.route_table import RoutingState
from ..transport.peer_link import PeerLink
from .crash_reports import CrashReports
from .endpoint_discovery import EndpointDiscovery
from .endpoint_signals import EndpointSignals
from .policy.engine_placement import owner_of
from .routing_catch_up import REVIEW_INTERVAL_S, RoutingCatchUp
from .store_freshness import StoreFreshness

# Changes within this time are batched into one digest.
DIGEST_SPACING_S = 0.02
# In a small fleet, all peers are near. In a larger fleet, only peers in the local zone
# are: they share its engines and need immediate updates; other zones need few updates.
SMALL_FLEET = 12
# Limits of the digests that one instance receives from all peers of a group together.
MAX_NEAR_DIGESTS_PER_S = 120
MAX_FAR_DIGESTS_PER_S = 30
# Maximum number of reads buffered for far peers; older ones are dropped.
MAX_FAR_READS = 100
# Without changes, digests are sent at this interval as heartbeats.
DIGEST_INTERVAL_S = 0.5
ADDRESSES_INTERVAL_S = 2.0
# Minimum interval between reports of failed endpoint calls; the counts decay within
# seconds.
DOUBTFUL_INTERVAL_S = 0.2
# A peer counts as an instance for this long after its last digest, so that a peer cut
# off by a network partition keeps its part of the shared budgets.
MEMBER_LIFETIME_S = 30.0
LOST_AFTER_S = 1.5
# A far peer is considered lost after this many missed digests.
LOST_AFTER_DIGESTS = 4
# Ends of processes are remembered for this long.
END_LIFETIME_S = 120.0
PROCESS_BYTES = 6
# Timeout for queries to the owner of an engine, which answers from memory.
OWNER_TIMEOUT_S = 0.05
# Time for which an owner is not queried after a timeout.
OWNER_BACKOFF_S = 0.5


class PeerView(msgspec.Struct, kw_only=True):
    """Latest digest of a peer."""

    digest: GatewayDigest
    heard_at: float
    lost: bool = False
    # Time until which the peer is not queried about the engines that it owns.
    query_blocked_until: float = 0.0


class GatewayPeers:
    """Exchanges digests with all known peers."""

    def __init__(
        self,
        *,
        instance: str,
        zone: str,
        link: PeerLink,
        seeds: list[str],
        expected_instances: int,
        routing: RoutingState,
        discovery: EndpointDiscovery,
        registry: EndpointRegistry,
        load_table: EngineLoadTable,
        freshness: StoreFreshness,
        crash_reports: CrashReports,
        signals: EndpointSignals,
        work_changed: Callable[[], None],
        stream_engines: Callable[[], dict[str, int]],
        event_log: EventLog,
        clock=time.monotonic,
    ):
        self.instance = instance
        self.zone = zone
        self.link = link
        self.seeds = [seed for seed in seeds if seed != link.address]
        self.expected_instances = expected_instances
        self.routing = routing
        self.discovery = discovery
        self.registry = registry
        self.load_table = load_table
        self.freshness = freshness
        self.crash_reports = crash_reports
        self.signals = signals
        signals.permits.owners = self
        freshness.rank = self.store_rank
        freshness.changed = self._note_evidence
        self.has_new_evidence = threading.Event()
        self.work_changed = work_changed
        self.stream_engines = stream_engines
        self.event_log = event_log
        self.clock = clock
        self.lock = threading.Lock()
        self.views: dict[str, PeerView] = {}
        self.process = secrets.token_hex(PROCESS_BYTES)
        # Ends of processes that did not leave as planned, by instance and process.
        self.ends: dict[tuple[str, str], float] = {}
        # Demand for the services whose endpoints are ordered by the load.
        self.demand: Callable[[], list[ServiceDemand]] = list
        self.changed = threading.Event()
        self.stopping = threading.Event()
        self.leaving = False
        self.catch_up = RoutingCatchUp(
            instance=instance,
            link=link,
            routing=routing,
            discovery=discovery,
            digests=self.live_digests,
            freshness=freshness,
            event_log=event_log,
            clock=clock,
        )
        self.addresses_sent_at = 0.0
        # Addresses of new peers that have not been sent the other addresses yet.
        self.new_peers: set[str] = set()
        self.doubtful_sent_at = 0.0
        self.reported_doubtful = False
        self.far_sent_at = 0.0
        self.far_reads: deque = deque(maxlen=MAX_FAR_READS)
        link.register_handler(GatewayDigest, self._handle_digest, inline=True)
        link.register_handler(RoutingRequest, self.catch_up.answer)
        link.register_handler(PromptRequest, self.load_table.answer_prompt, inline=True)

    def start(self) -> None:
        """Connects to the seeds and starts sending digests."""
        self.link.start()
        for seed in self.seeds:
            self.link.connect(seed)
        for name, run in (("digests", self._send_digests), ("catch-up", self._watch)):
            threading.Thread(target=run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Sends a final digest without work to the peers and stops."""
        self.leaving = True
        self._send_digest()
        self.stopping.set()
        self.changed.set()
        self.link.stop()

    def note_change(self) -> None:
        """Schedules a digest."""
        self.changed.set()

    def instances(self) -> int:
        """Returns how many instances share the budgets of the fleet."""
        now = self.clock()
        with self.lock:
            known = 1 + sum(
                now - view.heard_at < MEMBER_LIFETIME_S for view in self.views.values()
            )
        return max(known, self.expected_instances)

    def is_zone_local(self) -> bool:
        """Returns whether each zone of the fleet mainly uses its own engines."""
        return len(self.views) + 1 > SMALL_FLEET

    def _is_near(self, view: PeerView) -> bool:
        return not self.is_zone_local() or view.digest.zone == self.zone

    def most_stream_engines(self, service: str, *, far: bool = False) -> int:
        """Returns the maximum number of engines that a peer reserves for streams.

        Considers near peers only, or with `far` the peers of all zones.
        """
        with self.lock:
            return max(
                (
                    view.digest.stream_engines.get(service, 0)
                    for view in self.views.values()
                    if not view.lost and (far or self._is_near(view))
                ),
                default=0,
            )

    def ask_owner(self, zone: str, request: PromptRequest) -> PromptReply | None:
        """Asks the owner of an engine in `zone` whether a prompt may be sent there.

        Returns None if this instance owns the engine, if the fleet is small enough for
        load updates to arrive in time, or if the owner does not answer; the caller then
        decides without the owner.
        """
        if not self.is_zone_local():
            return None
        with self.lock:
            views = {
                name: view
                for name, view in self.views.items()
                if not view.lost and view.digest.zone == zone
            }
        names = [*views, self.instance] if zone == self.zone else [*views]
        if not names:
            return None
        owner = owner_of(request.engine, names)
        if owner == self.instance or views[owner].query_blocked_until > self.clock():
            return None
        address = views[owner].digest.address
        result = self.link.request(address, request, OWNER_TIMEOUT_S)
        reply = result.value_or(None)
        if isinstance(reply, PromptReply):
            return reply
        self._note_owner_failure(owner, request.engine, result)
        return None

    def _note_owner_failure(self, owner: str, engine: str, result) -> None:
        with self.lock:
            if owner in self.views:
                view = self.views[owner]
                view.query_blocked_until = self.clock() + OWNER_BACKOFF_S
        answered = not isinstance(result, Failure)
        self.event_log.emit(
            "owner_did_not_answer",
            peer=owner,
            endpoint=engine,
            reason="another message" if answered else str(result.failure()),
        )

    def members(self) -> list[str]:
        """Returns the sorted names of the near instances, including this one."""
        with self.lock:
            near = [
                name
                for name, view in self.views.items()
                if not view.lost and self._is_near(view)
            ]
        return sorted([self.instance, *near])

    def oldest_near_report_s(self) -> float:
        """Returns the age of the oldest digest of a near peer that is not lost."""
        now = self.clock()
        with self.lock:
            return max(
                (
                    now - view.heard_at
                    for view in self.views.values()
                    if not view.lost and self._is_near(view)
                ),
                default=0.0,
            )

    def owner_in_zone(self, zone: str, endpoint: str) -> tuple[str, str]:
        """Returns the name and the address of the instance that owns an endpoint.

        It is one of the live instances in `zone`, or of all if that has none.
        """
        addresses = {self.instance: self.link.address}
        near = {self.instance} if zone == self.zone else set()
        with self.lock:
            for name, view in self.views.items():
                if not view.lost:
                    addresses[name] = view.digest.address
                    if view.digest.zone == zone:
                        near.add(name)
        owner = owner_of(endpoint, sorted(near or addresses))
        return owner, addresses[owner]

    def live_instances(self) -> int:
        """Returns the number of live instances, including this one."""
        with self.lock:
            return 1 + sum(not view.lost for view in self.views.values())

    def store_rank(self) -> int:
        """Returns the position in the order in which instances ask the store.

        It is 0 for the first instance by name, 1 for the first one of another zone, and
        larger for the others of a zone. Instances that cannot reach the store are left
        out.
        """
        with self.lock:
            preceding = [
                view
                for name, view in self.views.items()
                if view.digest.store_in_touch and not view.lost and name < self.instance
            ]
            near = sum(self._is_near(view) for view in preceding)
        return near + 1 if preceding else 0

    def _note_evidence(self) -> None:
        self.has_new_evidence.set()
        self.note_change()

    def _send_digests(self) -> None:
        while not self.stopping.is_set():
            self.changed.wait(DIGEST_INTERVAL_S)
            self.changed.clear()
            try:
                self._send_digest()
            except Exception as error:
                # If this thread ended, peers would take this instance for lost.
                self.event_log.emit("digest_failed", error=repr(error)[:200])
            self.stopping.wait(self._near_spacing_s())

    def _near_spacing_s(self) -> float:
        """Returns the pause between digests, which grows with the number of peers."""
        near = len(self.members()) - 1
        return max(DIGEST_SPACING_S, near / MAX_NEAR_DIGESTS_PER_S)

    def _far_spacing_s(self) -> float:
        far = len(self.views) + 1 - len(self.members())
        return max(DIGEST_INTERVAL_S, far / MAX_FAR_DIGESTS_PER_S)

    def _send_digest(self) -> None:
        now = self.clock()
        reads = self.load_table.take_unshared_reads()
        far = self._far_addresses()
        near = self.link.addresses() - far
        self.link.send_to(
            near,
            self._digest(
                reads,
                now,
                near=True,
                doubtful=self._doubtful(now),
                addresses=self._addresses_due(now),
                speeds=self.load_table.speeds.take_unshared(),
            ),
        )
        self._send_addresses_to_new_peers(now)
        if not far:
            return
        self._send_evidence(now)
        self.far_reads.extend(reads)
        if self.leaving or now - self.far_sent_at >= self._far_spacing_s():
            self.far_sent_at = now
            self.link.send_to(far, self._digest(list(self.far_reads), now))
            self.far_reads.clear()

    def _doubtful(self, now: float) -> list[EndpointCalls] | None:
        """Returns the failure counts to send to near peers, or None if none are due."""
        if now - self.doubtful_sent_at < DOUBTFUL_INTERVAL_S:
            return None
        doubtful = self.registry.doubtful()
        if not (doubtful or self.reported_doubtful):
            return None
        self.doubtful_sent_at = now
        self.reported_doubtful = bool(doubtful)
        return doubtful

    def _addresses_due(self, now: float) -> list[str]:
        """Returns the peer addresses if they are due to be sent to near peers."""
        if now - self.addresses_sent_at < ADDRESSES_INTERVAL_S:
            return []
        self.addresses_sent_at = now
        return self._live_addresses()

    def _send_evidence(self, now: float) -> None:
        """Sends new evidence that copies are current to one instance of each zone."""
        if not self.has_new_evidence.is_set() or self.store_rank() > 0:
            return
        self.has_new_evidence.clear()
        first_of_zone: dict[str, GatewayDigest] = {}
        with self.lock:
            for _, view in sorted(self.views.items()):
                if not view.lost and not self._is_near(view):
                    first_of_zone.setdefault(view.digest.zone, view.digest)
        addresses = {digest.address for digest in first_of_zone.values()}
        self.link.send_to(addresses, self._digest([], now))

    def _send_addresses_to_new_peers(self, now: float) -> None:
        """Sends all peer addresses to new peers: their zone may have no seed."""
        with self.lock:
            new_peers, self.new_peers = self.new_peers, set()
        if new_peers:
            addresses = self._live_addresses()
            self.link.send_to(new_peers, self._digest([], now, addresses=addresses))
            self.crash_reports.send_all(new_peers)
            self.signals.send_all(new_peers)

    def _digest(
        self,
        reads: list,
        now: float,
        *,
        near: bool = False,
        doubtful: list[EndpointCalls] | None = None,
        addresses: list[str] | None = None,
        speeds: dict[str, list[SpeedSample]] | None = None,
    ) -> GatewayDigest:
        return GatewayDigest(
            instance=self.instance,
            zone=self.zone,
            address=self.link.address,
            process=self.process,
            config_version=self.routing.version,
            store_era=self.discovery.position.era,
            endpoint_revision=self.discovery.position.revision,
            endpoint_checksum=self.registry.checksum,
            store_in_touch=self.freshness.in_touch(),
            config_age_ms=self.freshness.configuration.age_ms(near=near),
            endpoints_age_ms=self.freshness.endpoints.age_ms(near=near),
            leaving=self.leaving,
            work=[] if self.leaving else self.load_table.own_work(),
            reads=reads,
            stream_engines=self.stream_engines(),
            speeds=speeds or {},
            doubtful=doubtful,
            known_addresses=addresses or [],
            demand=[] if self.leaving else self.demand(),
        )

    def _far_addresses(self) -> set[str]:
        with self.lock:
            return {
                view.digest.address
                for view in self.views.values()
                if not self._is_near(view)
            }

    def _live_addresses(self) -> list[str]:
        with self.lock:
            return [
                view.digest.address for view in self.views.values() if not view.lost
            ]

    def _handle_digest(self, digest: GatewayDigest) -> None:
        if digest.instance == self.instance:
            return
        with self.lock:
            before = self.views.get(digest.instance)
            self._note_process(digest, before)
            if digest.leaving:
                self.views.pop(digest.instance, None)
            else:
                self.views[digest.instance] = PeerView(
                    digest=digest,
                    heard_at=self.clock(),
                    query_blocked_until=before.query_blocked_until if before else 0.0,
                )
        if digest.leaving:
            self._drop_peer(digest.instance)
            self.link.disconnect(digest.address)
            self.event_log.emit("peer_left", peer=digest.instance)
            return
        if before is None or before.lost:
            self.event_log.emit(
                "peer_seen", peer=digest.instance, config=digest.config_version
            )
            with self.lock:
                self.new_peers.add(digest.address)
            self.changed.set()
        for address in {digest.address, *digest.known_addresses}:
            if address != self.link.address:
                self.link.connect(address)
        self.load_table.update_peer_work(digest.instance, digest.work)
        if digest.reads:
            self.load_table.record_peer_reads(digest.reads)
            self.crash_reports.note_peer_reads(digest.reads)
        if digest.speeds:
            self.load_table.speeds.record_peer_samples(digest.speeds)
        if digest.doubtful is not None:
            self.registry.update_peer_calls(digest.instance, digest.doubtful)
        self._note_peer_evidence(digest)
        self.work_changed()

    def _note_process(self, digest: GatewayDigest, before: PeerView | None) -> None:
        """Notes whether a process has ended before a digest, or has come back."""
        if before is not None and before.digest.process != digest.process:
            self.ends[digest.instance, before.digest.process] = self.clock()
        # If it was lost, it was only out of reach.
        self.ends.pop((digest.instance, digest.process), None)

    def members_since(self, at: float) -> tuple[int, int]:
        """Returns the number of instances, and of those that have lost their memory.

        The second are those of which a process has ended or was lost since a time on
        the clock. Instances that left as planned have handed on what they knew.
        """
        with self.lock:
            ended = {
                name for (name, _), ended_at in self.ends.items() if ended_at >= at
            }
            ended.update(name for name, view in self.views.items() if view.lost)
            return 1 + len(self.views.keys() | ended), len(ended)

    def _note_peer_evidence(self, digest: GatewayDigest) -> None:
        near = not self.is_zone_local() or digest.zone == self.zone
        if self.freshness.note_digest(digest, near=near):
            self.note_change()

    def _drop_peer(self, name: str) -> None:
        self.load_table.drop_peer(name)
        self.registry.drop_peer(name)

    def _watch(self) -> None:
        while not self.stopping.wait(REVIEW_INTERVAL_S):
            try:
                self.run_maintenance()
            except Exception as error:
                # If this thread ended, no dead watch would be replaced any more.
                self.event_log.emit("maintenance_failed", error=repr(error)[:200])

    def run_maintenance(self) -> None:
        """Marks lost peers, ends expired holds and dead watches, and catches up."""
        self._mark_lost_peers()
        self.discovery.expire_holds()
        # Before `catch_up`, which may wait for a peer.
        self.freshness.review(self.live_digests())
        self.catch_up.review()

    def _mark_lost_peers(self) -> None:
        now = self.clock()
        far_limit_s = max(LOST_AFTER_S, LOST_AFTER_DIGESTS * self._far_spacing_s())
        forgotten = []
        with self.lock:
            for name, view in self.views.items():
                age_s = now - view.heard_at
                limit_s = LOST_AFTER_S if self._is_near(view) else far_limit_s
                if age_s > limit_s and not view.lost:
                    view.lost = True
                    self.ends[name, view.digest.process] = view.heard_at
                    self._drop_peer(name)
                    self.event_log.emit(
                        "peer_lost", peer=name, silent_s=round(age_s, 2)
                    )
                if age_s > MEMBER_LIFETIME_S:
                    forgotten.append((name, view.digest.address))
            for name, _ in forgotten:
                del self.views[name]
            self.ends = {
                key: ended_at
                for key, ended_at in self.ends.items()
                if now - ended_at <= END_LIFETIME_S
            }
        for name, address in forgotten:
            self._drop_peer(name)
            if address not in self.seeds:
                self.link.disconnect(address)

    def live_digests(self) -> list[GatewayDigest]:
        """Returns the latest digest of each peer that is not lost."""
        with self.lock:
            return [view.digest for view in self.views.values() if not view.lost]

    def dump(self) -> dict:
        now = self.clock()
        with self.lock:
            return {
                name: {
                    "silent_s": round(now - view.heard_at, 3),
                    "lost": view.lost,
                    "config_version": view.digest.config_version,
                    "store_era": view.digest.store_era,
                    "endpoint_revision": view.digest.endpoint_revision,
                    "store_in_touch": view.digest.store_in_touch,
                }
                for name, view in self.views.items()
            }
