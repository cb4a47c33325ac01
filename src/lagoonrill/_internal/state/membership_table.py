"""Membership table with the state, incarnation and generation of each peer instance.

The table does no I/O and reads no clock; callers pass `now` in monotonic seconds.
"""

import enum
import threading
from collections.abc import Iterable

import msgspec

from ..protocol.messages import Heartbeat, Leaving

# Late messages of an earlier incarnation are only delayed by socket buffers. A lower
# incarnation after this time is a restart on a machine whose clock was set back.
TOMBSTONE_LIFETIME_S = 60.0


class MemberState(enum.StrEnum):
    """State of another instance as seen by this instance."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    DROPPED = "dropped"


class ListedMember(msgspec.Struct, kw_only=True):
    """One instance in the Instance list."""

    instance: str
    zone: str
    peer_address: str
    leaving: bool = False


class PeerView(msgspec.Struct, kw_only=True, frozen=True):
    """One other instance; `heard` is false if only the Instance list contains it."""

    instance: str
    zone: str
    peer_address: str
    state: MemberState
    incarnation: int
    generation: int
    linked: bool
    heard: bool


class Transition(msgspec.Struct, kw_only=True, frozen=True):
    """A change of a member's state; `replaced` marks a new incarnation."""

    instance: str
    before: MemberState | None
    after: MemberState
    replaced: bool = False


class MembershipDump(msgspec.Struct, kw_only=True):
    """Members and counters for the state dump."""

    peers: list[PeerView]
    stale_messages: int


class Member:
    """Mutable record of one other instance."""

    __slots__ = (
        "dropped_at",
        "generation",
        "gone_until",
        "heard",
        "incarnation",
        "instance",
        "last_heard",
        "leaving",
        "left",
        "linked",
        "listed",
        "listed_leaving",
        "peer_address",
        "sequence",
        "silent",
        "state",
        "zone",
    )

    def __init__(self, *, instance: str, zone: str, peer_address: str, now: float):
        self.instance = instance
        self.zone = zone
        self.peer_address = peer_address
        self.incarnation = 0
        self.sequence = 0
        self.generation = 0
        self.state = MemberState.LIVE
        self.last_heard = now
        self.dropped_at = 0.0
        self.gone_until = 0.0
        self.heard = False
        self.leaving = False
        self.left = False
        self.linked = False
        self.listed = False
        self.listed_leaving = False
        self.silent = False

    def view(self) -> PeerView:
        """Returns an immutable copy."""
        return PeerView(
            instance=self.instance,
            zone=self.zone,
            peer_address=self.peer_address,
            state=self.state,
            incarnation=self.incarnation,
            generation=self.generation,
            linked=self.linked,
            heard=self.heard,
        )

    def is_stale(self, *, incarnation: int, sequence: int, now: float) -> bool:
        """Returns whether a message is older than the latest known one."""
        if incarnation == self.incarnation:
            return self.left or sequence <= self.sequence
        if incarnation > self.incarnation:
            return False
        dropped = self.state is MemberState.DROPPED
        return not dropped or now - self.dropped_at < TOMBSTONE_LIFETIME_S


class MembershipTable:
    """Members by instance id, guarded by one lock."""

    def __init__(
        self, *, instance: str, zone: str, suspect_after_s: float, drop_after_s: float
    ):
        self.instance = instance
        self.zone = zone
        self.suspect_after_s = suspect_after_s
        self.drop_after_s = drop_after_s
        self.lock = threading.Lock()
        self.members: dict[str, Member] = {}
        self.stale_messages = 0
        # Incremented when the set of members or an address changes, to update links.
        self.version = 0

    def update_listed(self, listed: Iterable[ListedMember], now: float) -> None:
        """Applies the Instance list, which never revives a dropped member."""
        with self.lock:
            entries = {entry.instance: entry for entry in listed}
            entries.pop(self.instance, None)
            for member in self.members.values():
                member.listed = member.instance in entries
                member.listed_leaving = False
            for entry in entries.values():
                member = self.members.get(entry.instance)
                if member is None:
                    member = self._add(
                        entry.instance, entry.zone, entry.peer_address, now
                    )
                member.listed = True
                member.listed_leaving = entry.leaving
                dropped = member.state is MemberState.DROPPED
                if dropped or not member.heard:
                    self._set_address(member, entry.peer_address)

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> Transition | None:
        """Applies a heartbeat; returns None if it is stale or from this instance."""
        if heartbeat.instance == self.instance:
            return None
        with self.lock:
            member = self.members.get(heartbeat.instance)
            before = member.state if member else None
            if member is None:
                member = self._add(
                    heartbeat.instance, heartbeat.zone, heartbeat.peer_address, now
                )
            elif member.is_stale(
                incarnation=heartbeat.incarnation, sequence=heartbeat.sequence, now=now
            ):
                self.stale_messages += 1
                return None
            replaced = member.incarnation not in (0, heartbeat.incarnation)
            self._apply(member, heartbeat, now)
            return Transition(
                instance=member.instance,
                before=before,
                after=member.state,
                replaced=replaced,
            )

    def leave(self, message: Leaving, now: float) -> Transition | None:
        """Drops a member that announced its exit, unless its incarnation is stale."""
        with self.lock:
            member = self.members.get(message.instance)
            if member is None or message.incarnation < member.incarnation:
                self.stale_messages += 1
                return None
            member.left = True
            member.incarnation = message.incarnation
            return self._change(member, MemberState.DROPPED, now)

    def report_gone(self, instance: str, until: float) -> None:
        """Applies a peer's report that an instance is gone, valid until a time.

        The report only affects members that are not linked directly.
        """
        with self.lock:
            member = self.members.get(instance)
            if member is not None:
                member.gone_until = max(member.gone_until, until)

    def set_linked(self, instances: set[str], now: float) -> None:
        """Sets which members have a direct link; a new link restarts their timeout."""
        with self.lock:
            for member in self.members.values():
                linked = member.instance in instances
                if linked and not member.linked and not member.silent:
                    member.last_heard = max(member.last_heard, now)
                member.linked = linked

    def restart_timeouts(self, now: float) -> None:
        """Restarts all heartbeat timeouts after this process was paused."""
        with self.lock:
            for member in self.members.values():
                if member.state is not MemberState.DROPPED:
                    member.last_heard = max(member.last_heard, now)

    def advance(self, now: float) -> list[Transition]:
        """Updates the states by the time since the last heartbeats; returns changes."""
        with self.lock:
            unreachable = self._unreachable_zones()
            changes = []
            for member in list(self.members.values()):
                after = self._state_at(member, now, unreachable)
                change = self._change(member, after, now)
                if change is not None:
                    changes.append(change)
                self._purge(member, now)
            return changes

    def peers(self) -> list[PeerView]:
        """Returns all known members including dropped ones, sorted by id."""
        with self.lock:
            return [self.members[name].view() for name in sorted(self.members)]

    def live(self) -> list[PeerView]:
        """Returns members that are live or suspected, sorted by id."""
        wanted = (MemberState.LIVE, MemberState.SUSPECTED)
        return [view for view in self.peers() if view.state in wanted]

    def live_count(self) -> int:
        """Returns how many other instances are live or suspected."""
        with self.lock:
            return sum(
                member.state in (MemberState.LIVE, MemberState.SUSPECTED)
                for member in self.members.values()
            )

    def in_own_zone(self, addresses: Iterable[str]) -> set[str]:
        """Returns the peer addresses that belong to no member of another zone."""
        with self.lock:
            other = {
                member.peer_address
                for member in self.members.values()
                if member.zone != self.zone
            }
        return set(addresses) - other

    def get(self, instance: str) -> PeerView | None:
        """Returns a member, or None if it is not known."""
        with self.lock:
            member = self.members.get(instance)
            return member.view() if member else None

    def timed_out_in_own_zone(self) -> list[str]:
        """Returns listed members of this zone whose own heartbeats timed out here."""
        with self.lock:
            return [
                member.instance
                for member in self.members.values()
                if member.silent and member.listed and member.zone == self.zone
            ]

    def dump(self) -> MembershipDump:
        """Returns the state dump."""
        return MembershipDump(peers=self.peers(), stale_messages=self.stale_messages)

    def _add(self, instance: str, zone: str, peer_address: str, now: float) -> Member:
        member = Member(
            instance=instance, zone=zone, peer_address=peer_address, now=now
        )
        self.members[instance] = member
        self.version += 1
        return member

    def _set_address(self, member: Member, peer_address: str) -> None:
        if peer_address and peer_address != member.peer_address:
            member.peer_address = peer_address
            self.version += 1

    def _apply(self, member: Member, heartbeat: Heartbeat, now: float) -> None:
        self._set_address(member, heartbeat.peer_address)
        member.zone = heartbeat.zone
        member.incarnation = heartbeat.incarnation
        member.sequence = heartbeat.sequence
        member.generation = heartbeat.generation
        member.leaving = heartbeat.leaving
        member.last_heard = max(member.last_heard, now)
        member.heard = True
        member.left = False
        member.silent = False
        leaving = member.leaving or member.listed_leaving
        member.state = MemberState.LEAVING if leaving else MemberState.LIVE

    def _unreachable_zones(self) -> set[str]:
        # If no linked member of another zone sends heartbeats, the zone is partitioned
        # or down, and its members without a link are dropped too.
        linked = [member for member in self.members.values() if member.linked]
        reachable = {member.zone for member in linked if not member.silent}
        return {member.zone for member in linked} - reachable - {self.zone}

    def _state_at(
        self, member: Member, now: float, unreachable: set[str]
    ) -> MemberState:
        if member.left:
            return MemberState.DROPPED
        silence = now - member.last_heard
        watched = member.linked or not member.listed
        if watched and silence >= self.drop_after_s:
            member.silent = True
        if member.silent and not self._may_revive(member, now):
            return MemberState.DROPPED
        if not watched:
            gone = now < member.gone_until or member.zone in unreachable
            if gone and silence >= self.drop_after_s:
                return MemberState.DROPPED
        if member.leaving or member.listed_leaving:
            return MemberState.LEAVING
        if watched and silence >= self.suspect_after_s:
            return MemberState.SUSPECTED
        return MemberState.LIVE

    def _may_revive(self, member: Member, now: float) -> bool:
        # Without a link this instance would never receive its heartbeats again.
        expired = now - member.dropped_at >= TOMBSTONE_LIFETIME_S
        was_dropped = member.state is MemberState.DROPPED
        if member.linked or not (member.listed and was_dropped and expired):
            return False
        member.silent = False
        return True

    def _change(
        self, member: Member, after: MemberState, now: float
    ) -> Transition | None:
        before = member.state
        if before is after:
            return None
        member.state = after
        if after is MemberState.DROPPED:
            member.dropped_at = now
        return Transition(instance=member.instance, before=before, after=after)

    def _purge(self, member: Member, now: float) -> None:
        dropped = member.state is MemberState.DROPPED
        old = now - member.dropped_at >= TOMBSTONE_LIFETIME_S
        if dropped and old and not member.listed:
            del self.members[member.instance]
            self.version += 1
