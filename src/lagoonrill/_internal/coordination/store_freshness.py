"""Bounds the age of the copies of store objects that an instance acts on.

The evidence that a copy is current is an answer of the store, or an answer that a peer
with an equal copy received. See the policy `store_renewal` for the times. Evidence
takes at most two hops: from an instance that received an answer to its near peers and
to one instance of each other zone, and from that one to its near peers. Unlimited
hops would let instances confirm each other forever, because a message takes time that
the age in it does not include.
"""

import time
from collections.abc import Callable

import msgspec

from ..event_log import EventLog
from ..protocol.messages import GatewayDigest
from ..protocol.routing import StorePosition
from ..state.endpoint_registry import EndpointRegistry
from ..state.route_table import RoutingState
from .endpoint_discovery import EndpointDiscovery
from .policy.store_renewal import StoreRenewal
from .store_follower import StoreFollower


class CopyState(msgspec.Struct, kw_only=True, frozen=True):
    """State of the copy of one kind of objects at one instance."""

    # Identifies the content; 0 if there is none.
    content: int
    # Larger for newer content.
    order: int | StorePosition
    # Age of the evidence that the instance passes on; None if it has none.
    age_ms: int | None = None


class StoreCopy:
    """The local copy of one kind of objects, compared with the copies of peers.

    `own` returns the state of the local copy and `of_peer` the state in a digest.
    """

    def __init__(
        self,
        *,
        follower: StoreFollower,
        own: Callable[[], CopyState],
        of_peer: Callable[[GatewayDigest], CopyState],
        clock: Callable[[], float],
    ):
        self.follower = follower
        self.own = own
        self.of_peer = of_peer
        self.clock = clock
        # Local content, and the time since which a peer has newer content.
        self.outdated: tuple[int, float] | None = None

    def age_ms(self, *, near: bool) -> int | None:
        """Returns the age of the evidence for near peers, or for others."""
        follower = self.follower
        confirmed_at = follower.shared_at if near else follower.answered_at
        if confirmed_at is None:
            return None
        return round((self.clock() - confirmed_at) * 1000)

    def note_digest(self, digest: GatewayDigest, *, near: bool) -> bool:
        """Takes the evidence of a peer whose copy is equal.

        Returns whether it is evidence to pass on.
        """
        peer = self.of_peer(digest)
        if peer.age_ms is None or not peer.content:
            return False
        if peer.content != self.own().content:
            return False
        return self.follower.confirm(
            age_s=peer.age_ms / 1000, confirmed_by=digest.instance, share=not near
        )

    def peer_ahead_s(self, digests: list[GatewayDigest]) -> float:
        """Returns for how long peers have had newer content than this instance."""
        own = self.own()
        peers = [self.of_peer(digest) for digest in digests]
        if not any(
            peer.order > own.order and peer.content not in (0, own.content)
            for peer in peers
        ):
            self.outdated = None
            return 0.0
        if self.outdated is None or self.outdated[0] != own.content:
            self.outdated = (own.content, self.clock())
        return self.clock() - self.outdated[1]


class StoreFreshness:
    """Replaces watches that may be dead, and renews the evidence for a group of peers.

    `rank` returns the position of this instance in the order in which instances ask the
    store, as in `StoreRenewal`.
    """

    def __init__(
        self,
        *,
        renewal: StoreRenewal,
        config_follower: StoreFollower,
        endpoint_follower: StoreFollower,
        routing: RoutingState,
        discovery: EndpointDiscovery,
        registry: EndpointRegistry,
        event_log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.renewal = renewal
        self.event_log = event_log
        self.rank: Callable[[], int] = lambda: 0
        self.configuration = StoreCopy(
            follower=config_follower,
            own=lambda: CopyState(content=routing.version, order=routing.version),
            of_peer=lambda digest: CopyState(
                content=digest.config_version,
                order=digest.config_version,
                age_ms=digest.config_age_ms,
            ),
            clock=clock,
        )
        self.endpoints = StoreCopy(
            follower=endpoint_follower,
            own=lambda: CopyState(content=registry.checksum, order=discovery.position),
            of_peer=lambda digest: CopyState(
                content=digest.endpoint_checksum,
                order=digest.endpoint_position,
                age_ms=digest.endpoints_age_ms,
            ),
            clock=clock,
        )
        self.copies = (self.configuration, self.endpoints)
        # Called after each answer of the store, so that peers learn of it.
        self.changed: Callable[[], None] = lambda: None
        config_follower.watch_wait_s = self._watch_wait_s
        config_follower.answered = self._note_answer
        endpoint_follower.answered = self._note_answer

    def _watch_wait_s(self, age_s: float) -> float:
        return self.renewal.watch_wait_s(rank=self.rank(), age_s=age_s)

    def _note_answer(self, answered_at: float) -> None:
        """Confirms the copies that include all changes up to the store's revision.

        All kinds share one revision, so that one short watch confirms both copies as
        long as neither changes.
        """
        followers = [copy.follower for copy in self.copies]
        newest = max(follower.position for follower in followers)
        for follower in followers:
            if follower.listed and follower.position == newest:
                follower.confirm_by_store(answered_at)
            elif follower.position.era < newest.era:
                # Its watch is from a revision of a history that no longer exists.
                follower.interrupt_watch()
        self.changed()

    def in_touch(self) -> bool:
        """Returns whether the last calls for all copies were answered."""
        return all(copy.follower.in_touch for copy in self.copies)

    def note_digest(self, digest: GatewayDigest, *, near: bool) -> bool:
        """Takes the evidence in the digest of a near peer, or of another zone.

        Returns whether it is evidence to pass on.
        """
        passed_on = [copy.note_digest(digest, near=near) for copy in self.copies]
        return any(passed_on)

    def review(self, digests: list[GatewayDigest]) -> None:
        """Replaces each watch whose copy has no recent evidence or is outdated."""
        for copy in self.copies:
            self._review_copy(copy, digests)

    def _review_copy(self, copy: StoreCopy, digests: list[GatewayDigest]) -> None:
        follower = copy.follower
        peer_ahead_s = copy.peer_ahead_s(digests)
        waited_s = follower.waited_s()
        if waited_s is None:
            return
        age_s = follower.age_s()
        if self.renewal.is_dead(peer_ahead_s=peer_ahead_s, waited_s=waited_s):
            reason = "a peer has newer content"
        elif age_s >= self.renewal.doubt_after_s(rank=self.rank()):
            reason = "no recent evidence"
        else:
            return
        if follower.interrupt_watch():
            self.event_log.emit(
                "watch_replaced",
                kind=follower.kind,
                reason=reason,
                age_ms=round(age_s * 1000),
                waited_ms=round(waited_s * 1000),
                peer_ahead_ms=round(peer_ahead_s * 1000),
                revision=follower.revision,
            )
