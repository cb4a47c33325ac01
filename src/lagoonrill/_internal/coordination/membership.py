"""Tracks the membership of the fleet with heartbeats between instances.

The ticker sends one heartbeat per interval to every linked peer, suspects and drops
silent peers, and updates the links when the members change. Up to 8 instances form a
full mesh. Above that, an instance links to some peers of each zone, heartbeats are less
frequent and carry a bounded number of entries, and notices (endpoints leaving or down,
instances gone) are forwarded. A new notice triggers an early heartbeat.
"""

import contextlib
import random
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

import logbook
import msgspec
from returns.result import Failure, Result

from ..protocol.errors import PeerError
from ..protocol.messages import (
    EndpointLoad,
    EndpointUse,
    Heartbeat,
    Leaving,
    Notice,
    NoticeKind,
    PeerMessage,
    encode_message,
)
from ..protocol.settings import PeerSettings
from ..state.membership_table import (
    ListedMember,
    MembershipDump,
    MembershipTable,
    MemberState,
    PeerView,
    Transition,
)
from ..state.notice_table import NoticeTable
from ..state.peer_uses import PeerUses, UseRotation
from ..state.rendezvous import weight
from .peer_choice import LARGE_FLEET_SLOWDOWN, choose_links, is_full_mesh

log = logbook.Logger("membership")

# A tick that is later than this counts as a pause of the process. It is below the 2 s
# after which a silent peer is suspected.
PAUSE_TOLERANCE_S = 1.0
# Batches simultaneous notices, for example when a rack fails, into one early heartbeat.
NOTICE_BATCH_DELAY_S = 0.1
# For links that `choose_links` did not select: for requests, and to peers whose view of
# the members differs.
EXTRA_LINK_LIFETIME_S = 30.0
USES_PER_HEARTBEAT = 16
NOTICES_PER_HEARTBEAT = 64


def _ignore(*_args) -> None:
    pass


def _empty() -> list:
    return []


class LocalState:
    """Callables that return the contents of this instance's heartbeats.

    They are called once per interval and must not block. `leaving_endpoints` and
    `down_endpoints` must be this instance's own observations: if they included reports
    from peers, instances would renew each other's notices indefinitely.
    """

    __slots__ = ("down_endpoints", "generation", "leaving_endpoints", "loads", "uses")

    def __init__(
        self,
        *,
        generation: Callable[[], int] = lambda: 0,
        uses: Callable[[], list[EndpointUse]] = _empty,
        leaving_endpoints: Callable[[], list[str]] = _empty,
        down_endpoints: Callable[[], list[str]] = _empty,
        loads: Callable[[], list[EndpointLoad]] = _empty,
    ):
        self.generation = generation
        self.uses = uses
        self.leaving_endpoints = leaving_endpoints
        self.down_endpoints = down_endpoints
        self.loads = loads


class PeerReports:
    """Callbacks for reports from peers.

    `uses`, `leaving_endpoints`, `down_endpoints` and `loads` run on the membership's
    threads and must not block. `generation` (instance, its higher generation), `gone`
    (instance) and `paused` (seconds) run on a separate thread and may make requests to
    peers.
    """

    __slots__ = (
        "down_endpoints",
        "generation",
        "gone",
        "leaving_endpoints",
        "loads",
        "paused",
        "uses",
    )

    def __init__(
        self,
        *,
        generation: Callable[[str, int], None] = _ignore,
        uses: Callable[[dict[str, list[EndpointUse]]], None] = _ignore,
        leaving_endpoints: Callable[[set[str]], None] = _ignore,
        down_endpoints: Callable[[set[str]], None] = _ignore,
        loads: Callable[[list[EndpointLoad]], None] = _ignore,
        gone: Callable[[str], None] = _ignore,
        paused: Callable[[float], None] = _ignore,
    ):
        self.generation = generation
        self.uses = uses
        self.leaving_endpoints = leaving_endpoints
        self.down_endpoints = down_endpoints
        self.loads = loads
        self.gone = gone
        self.paused = paused


class Membership:
    """Tracks the live instances; `link` is a `transport.peer_link.PeerLink`."""

    def __init__(
        self,
        *,
        instance: str,
        zone: str,
        link,
        settings: PeerSettings,
        local: LocalState,
        reports: PeerReports,
        incarnation: int | None = None,
    ):
        self.instance = instance
        self.zone = zone
        self.link = link
        self.settings = settings
        self.local = local
        self.reports = reports
        self.incarnation = incarnation or time.time_ns()
        self.table = MembershipTable(
            instance=instance,
            zone=zone,
            suspect_after_s=settings.suspect_after_s,
            drop_after_s=settings.drop_after_s,
        )
        self.notices = NoticeTable()
        self.peer_uses = PeerUses()
        self.rotation = UseRotation(limit=USES_PER_HEARTBEAT)
        self.lock = threading.Lock()
        self.sequence = 0
        self.leaving = False
        self.extra_links: dict[str, float] = {}
        self.linked_peers: set[str] = set()
        self.linked_version = -1
        self.generation_pending = False
        self.stopping = threading.Event()
        # Ends the ticker's wait early, for an early heartbeat or the stop.
        self.wakeup = threading.Event()
        self.worker = ThreadPoolExecutor(1, "membership-reports")
        self.thread = threading.Thread(
            target=self._run, name="membership-ticker", daemon=True
        )
        link.register_handler(Heartbeat, self._handle_heartbeat, inline=True)
        link.register_handler(Leaving, self._handle_leaving, inline=True)

    def start(self) -> None:
        """Binds the peer socket and starts to send heartbeats."""
        self.link.start()
        self.thread.start()

    def stop(self) -> None:
        """Stops the ticker and closes all links without notifying peers."""
        self.stopping.set()
        self.wakeup.set()
        if self.thread.ident is not None:
            self.thread.join()
        self.worker.shutdown(wait=False, cancel_futures=True)
        self.link.stop()

    def peers(self) -> list[PeerView]:
        """Returns all known peers, including leaving and dropped ones."""
        return self.table.peers()

    def live_peers(self) -> list[PeerView]:
        """Returns the peers that are live or suspected."""
        return self.table.live()

    def members(self) -> dict[str, str]:
        """Maps this instance and its live peers to their zones."""
        zones = {view.instance: view.zone for view in self.table.live()}
        zones[self.instance] = self.zone
        return zones

    def full_mesh(self) -> bool:
        """Returns whether the fleet is small enough to link every pair."""
        return is_full_mesh(self.table.live_count() + 1)

    def home(self, key: str) -> str:
        """Returns the instance that is responsible for a key (rendezvous hash).

        Instances with the same view of the live members return the same home. A leaving
        instance is not a home, unless all are leaving: then this instance is.
        """
        names = [view.instance for view in self.table.live()]
        if not self.leaving or not names:
            names.append(self.instance)
        return max(names, key=lambda name: weight(key, name))

    def register_handler(
        self, message_type: type, handler: Callable[[PeerMessage], PeerMessage | None]
    ) -> None:
        """Sets the handler of a message type; it returns a reply or None.

        Handlers may block; they run on a small thread pool shared by all peers.
        """
        self.link.register_handler(message_type, handler)

    def send(self, instance: str, message: PeerMessage) -> None:
        """Queues a one-way message; drops it if the peer is unknown or too slow."""
        address = self._connected_address(instance)
        if address is None or not self.link.send(address, message):
            log.debug("dropped a {} to {}", type(message).__name__, instance)

    def request(
        self, instance: str, message: PeerMessage, timeout_s: float
    ) -> Result[PeerMessage, PeerError]:
        """Sends a request and waits up to `timeout_s` for the reply."""
        address = self._connected_address(instance)
        if address is None:
            return Failure(PeerError(message=f"instance {instance} is not known"))
        return self.link.request(address, message, timeout_s)

    def update_listed(self, listed: Iterable[ListedMember]) -> None:
        """Updates the members from the entry instances of the Instance list."""
        self.table.update_listed(listed, time.monotonic())

    def send_early_heartbeat(self) -> None:
        """Sends the next heartbeat early, because its contents have changed."""
        self.wakeup.set()

    def begin_leaving(self) -> None:
        """Notifies peers immediately that this instance accepts no new requests."""
        self.leaving = True
        self.send_early_heartbeat()

    def announce_exit(self) -> None:
        """Queues `Leaving` for every linked peer; `stop` flushes it."""
        message = Leaving(instance=self.instance, incarnation=self.incarnation)
        for address in self.link.addresses():
            self.link.send(address, message)

    def dump(self) -> MembershipDump:
        """Returns members and counters."""
        return self.table.dump()

    def interval_s(self) -> float:
        """Returns the heartbeat interval, which depends on the fleet size."""
        slowdown = 1 if self.full_mesh() else LARGE_FLEET_SLOWDOWN
        return self.settings.heartbeat_interval_s * slowdown

    def _run(self) -> None:
        self.stopping.wait(random.uniform(0, self.settings.heartbeat_interval_s / 4))
        due = time.monotonic()
        while not self.stopping.is_set():
            now = time.monotonic()
            try:
                self._tick(now, now - due)
            except Exception:
                # An error in an injected callable must not end the ticker.
                log.exception("unexpected error in a membership tick")
            interval_s = self.interval_s()
            self.stopping.wait(NOTICE_BATCH_DELAY_S)
            self.wakeup.wait(interval_s - NOTICE_BATCH_DELAY_S)
            self.wakeup.clear()
            due = now + interval_s

    def _tick(self, now: float, paused_s: float) -> None:
        if paused_s > PAUSE_TOLERANCE_S:
            log.warning("this process was paused for {:.1f} s", paused_s)
            self.table.restart_timeouts(now)
            self._submit(self._report, self.reports.paused, paused_s)
        self._apply_gone_notices(now)
        for change in self.table.advance(now):
            self._report_transition(change)
        self._sync_links(now)
        self._send_heartbeats(now)
        self._report_notices(now)
        self.reports.uses(self.peer_uses.snapshot())

    def _submit(self, function: Callable, *arguments) -> None:
        # The executor rejects work once `stop` has begun.
        with contextlib.suppress(RuntimeError):
            self.worker.submit(function, *arguments)

    def _report(self, callback: Callable, *arguments) -> None:
        try:
            callback(*arguments)
        except Exception:
            log.exception("unexpected error in a membership callback")

    # Sending

    def _send_heartbeats(self, now: float) -> None:
        addresses = self.link.addresses()
        near = self.table.in_own_zone(addresses)
        with self.lock:
            self.sequence += 1
            own_zone, other_zones = self._encode_heartbeats(now)
        lifetime_s = self.interval_s() * 2
        for address in addresses:
            payload = own_zone if address in near else other_zones
            self.link.send_latest(address, payload, lifetime_s)

    def _encode_heartbeats(self, now: float) -> tuple[bytes, bytes]:
        full_mesh = self.full_mesh()
        heartbeat = Heartbeat(
            instance=self.instance,
            zone=self.zone,
            incarnation=self.incarnation,
            sequence=self.sequence,
            generation=self.local.generation(),
            leaving=self.leaving,
            peer_address=self.link.address,
            leaving_endpoints=self.local.leaving_endpoints(),
        )
        if full_mesh:
            heartbeat.uses = self.local.uses()
            payload = encode_message(heartbeat)
            return payload, payload
        heartbeat.notices = self._notices_to_send(now)
        other_zones = encode_message(heartbeat)
        # Uses and loads matter only to instances that use the same endpoints, which are
        # those of the same zone.
        heartbeat.uses = self.rotation.select(self.local.uses())
        heartbeat.uses_partial = True
        heartbeat.loads = self.local.loads()
        return encode_message(heartbeat), other_zones

    def _notices_to_send(self, now: float) -> list[Notice]:
        own = [
            Notice(kind=NoticeKind.ENDPOINT_DOWN, subject=endpoint, age_ms=0)
            for endpoint in self.local.down_endpoints()
        ]
        # Only peers in the same zone can distinguish an instance that is gone from a
        # network partition of its zone.
        own += [
            Notice(kind=NoticeKind.INSTANCE_GONE, subject=instance, age_ms=0)
            for instance in self.table.timed_out_in_own_zone()
        ]
        known = {(notice.kind, notice.subject) for notice in own}
        heard = self.notices.unexpired(now, NOTICES_PER_HEARTBEAT)
        heard = [item for item in heard if (item.kind, item.subject) not in known]
        return (own + heard)[:NOTICES_PER_HEARTBEAT]

    # Receiving

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = time.monotonic()
        if heartbeat.instance == self.instance:
            self._check_duplicate_id(heartbeat)
            return
        change = self.table.apply_heartbeat(heartbeat, now)
        if change is None:
            return
        if change.replaced:
            self.peer_uses.drop(heartbeat.instance)
        if change.before is not change.after or change.replaced:
            self._report_transition(change)
        self._link_new_peer(heartbeat, now)
        self.peer_uses.merge(
            heartbeat.instance, heartbeat.uses, partial=heartbeat.uses_partial
        )
        if heartbeat.loads:
            self.reports.loads(heartbeat.loads)
        self._handle_notices(heartbeat, now)
        if heartbeat.generation > self.local.generation():
            self._report_generation(heartbeat.instance, heartbeat.generation)

    def _check_duplicate_id(self, heartbeat: Heartbeat) -> None:
        # A configured seed address may be this instance's own address.
        if heartbeat.incarnation != self.incarnation:
            log.error(
                "instance id {} is used by another process at {}; give each instance "
                "its own id",
                self.instance,
                heartbeat.peer_address,
            )

    def _link_new_peer(self, heartbeat: Heartbeat, now: float) -> None:
        """Connects to a new peer immediately instead of at the next tick."""
        address = heartbeat.peer_address
        if not address or heartbeat.instance in self.linked_peers:
            return
        with self.lock:
            known = heartbeat.instance in self.extra_links
            if not known:
                self.extra_links[heartbeat.instance] = now + EXTRA_LINK_LIFETIME_S
        if not known:
            self.link.connect(address)

    def _handle_notices(self, heartbeat: Heartbeat, now: float) -> None:
        notices = list(heartbeat.notices)
        notices += [
            Notice(kind=NoticeKind.ENDPOINT_LEAVING, subject=endpoint, age_ms=0)
            for endpoint in heartbeat.leaving_endpoints
        ]
        if self.notices.merge(notices, now):
            self._report_notices(now)
            if not self.full_mesh():
                self.send_early_heartbeat()

    def _handle_leaving(self, message: Leaving) -> None:
        change = self.table.leave(message, time.monotonic())
        if change is not None:
            self._report_transition(change)

    def _apply_gone_notices(self, now: float) -> None:
        gone = self.notices.subjects(NoticeKind.INSTANCE_GONE, now)
        for instance, until in gone.items():
            self.table.report_gone(instance, until)

    def _report_notices(self, now: float) -> None:
        leaving = self.notices.subjects(NoticeKind.ENDPOINT_LEAVING, now)
        down = self.notices.subjects(NoticeKind.ENDPOINT_DOWN, now)
        self.reports.leaving_endpoints(set(leaving))
        self.reports.down_endpoints(set(down))

    def _report_transition(self, change: Transition) -> None:
        before = change.before or "unknown"
        note = " with a new incarnation" if change.replaced else ""
        log.info("{}: {} -> {}{}", change.instance, before, change.after, note)
        if change.after is MemberState.DROPPED:
            self.peer_uses.drop(change.instance)
        if change.after is MemberState.DROPPED or change.replaced:
            self._submit(self._report, self.reports.gone, change.instance)

    def _report_generation(self, instance: str, generation: int) -> None:
        with self.lock:
            if self.generation_pending or self.stopping.is_set():
                return
            self.generation_pending = True
        self._submit(self._run_generation_report, instance, generation)

    def _run_generation_report(self, instance: str, generation: int) -> None:
        try:
            if generation > self.local.generation():
                self._report(self.reports.generation, instance, generation)
        finally:
            with self.lock:
                self.generation_pending = False

    # Links

    def _connected_address(self, instance: str) -> str | None:
        view = self.table.get(instance)
        if view is None or not view.peer_address:
            return None
        if instance not in self.linked_peers:
            with self.lock:
                until = time.monotonic() + EXTRA_LINK_LIFETIME_S
                self.extra_links[instance] = until
        self.link.connect(view.peer_address)
        return view.peer_address

    def _sync_links(self, now: float) -> None:
        # Read first, so that a connection opened in the meantime is not closed below.
        current = self.link.addresses()
        self._choose_linked_peers()
        with self.lock:
            self.extra_links = {
                name: until for name, until in self.extra_links.items() if until > now
            }
            extra = set(self.extra_links)
        views = [self.table.get(name) for name in self.linked_peers | extra]
        addresses = {view.peer_address for view in views if view is not None}
        addresses |= set(self.settings.addresses)
        addresses -= {"", self.link.address}
        for address in addresses - current:
            self.link.connect(address)
        for address in current - addresses:
            self.link.disconnect(address)
        self.table.set_linked(self.linked_peers, now)

    def _choose_linked_peers(self) -> None:
        # Read before the members, so that a change in between is handled next tick.
        version = self.table.version
        if version == self.linked_version:
            return
        zones = {view.instance: view.zone for view in self.table.peers()}
        zones[self.instance] = self.zone
        self.linked_peers = choose_links(self.instance, self.zone, zones)
        self.linked_version = version


def listed_members(instances: Iterable[msgspec.Struct]) -> list[ListedMember]:
    """Returns the entry instances among the `ListedInstance`s of the Instance list."""
    return [
        ListedMember(
            instance=item.id,
            zone=item.zone,
            peer_address=item.peer_address,
            leaving=item.state == "leaving",
        )
        for item in instances
        if item.role == "entry"
    ]
