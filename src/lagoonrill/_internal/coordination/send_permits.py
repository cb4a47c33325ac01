"""Keeps the limits that endpoints name, for all instances together.

Each endpoint with a limit has an owner among the instances, preferably one in its own
zone: it shares the failures of the endpoint's zone. All others ask the owner before
each send, and the policy `request_limits` decides. Instances that know different
members may have different owners for a moment; a new owner starts without tokens, and
the burst is small, so the total stays within the bound. If the owner does not answer,
an instance uses its equal share until another owner takes over.

An endpoint may also ask this instance alone for a pause. Peers are not told: it turns
away who overloads it, and names the time by what it knows of that sender.
"""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure

from ..event_log import EventLog
from ..protocol.messages import LimitReport, PermitReply, PermitRequest, ReportedLimit
from ..protocol.routing import EndpointRecord
from ..state.endpoint_limits import EndpointLimits, LimitEvidence
from ..state.endpoint_pauses import EndpointPauses
from ..transport.peer_link import PeerLink
from .policy.request_limits import (
    ASKER_LIFETIME_S,
    PERMIT_LIFETIME_S,
    TokenBucket,
    pause_s,
    permits_to_grant,
    request_rate,
)

# Timeout for the owner of an endpoint, which answers from memory.
OWNER_TIMEOUT_S = 0.1

Key = tuple[str, int]


class PermitOwners(Protocol):
    """Knowledge about the instances that `SendPermits` needs."""

    def owner_in_zone(self, zone: str, endpoint: str) -> tuple[str, str]:
        """Returns the name and the address of the owner of an endpoint."""

    def live_instances(self) -> int:
        """Returns the number of live instances, including this one."""


class SingleInstance:
    """The only instance of a fleet."""

    def __init__(self, *, instance: str):
        self.instance = instance

    def owner_in_zone(self, zone: str, endpoint: str) -> tuple[str, str]:
        return self.instance, ""

    def live_instances(self) -> int:
        return 1


class Grants:
    """Permits for one endpoint that this instance hands out as the owner."""

    __slots__ = ("askers", "bucket")

    def __init__(self, *, now: float):
        self.bucket = TokenBucket(now=now)
        # Time of the latest request by instance.
        self.askers: dict[str, float] = {}

    def count_askers(self, instance: str, now: float) -> int:
        """Records a request; returns how many instances compete for permits."""
        self.askers[instance] = now
        oldest = now - ASKER_LIFETIME_S
        self.askers = {name: at for name, at in self.askers.items() if at >= oldest}
        return len(self.askers)


class Permits:
    """Permits for one endpoint that this instance may use."""

    __slots__ = ("asking", "count", "expire_at", "held_until")

    def __init__(self):
        # Whether a thread waits for the owner's answer.
        self.asking = False
        self.count = 0
        self.expire_at = 0.0
        # Time until which nothing is sent, because there was no permit.
        self.held_until = 0.0


class SendPermits:
    """Decides whether this instance may send a request to an endpoint now."""

    def __init__(
        self,
        *,
        instance: str,
        event_log: EventLog,
        link: PeerLink | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.instance = instance
        self.limits = EndpointLimits()
        self.event_log = event_log
        self.link = link
        self.clock = clock
        self.owners: PermitOwners = SingleInstance(instance=instance)
        self.pauses = EndpointPauses(clock=clock)
        # Called if requests that wait may have become possible.
        self.changed: Callable[[], None] = lambda: None
        # Protects all tables; never held while a peer is asked.
        self.lock = threading.Lock()
        self.permits: dict[Key, Permits] = {}
        self.grants: dict[Key, Grants] = {}
        # Buckets for equal shares, used while the owner does not answer.
        self.own_shares: dict[Key, TokenBucket] = {}
        # Sends to endpoints with a limit, and decisions to send nothing now.
        self.sent = 0
        self.held_back = 0
        if link is not None:
            link.register_handler(LimitReport, self.handle_report, inline=True)
            link.register_handler(PermitRequest, self.answer, inline=True)

    def limit(self, record: EndpointRecord) -> float | None:
        """Returns the limit that an endpoint names, or None."""
        return self.limits.limit(record.id, record.incarnation)

    def has_restrictions(self) -> bool:
        """Returns whether there may be an endpoint with a limit or a pause."""
        return bool(self.limits.latest or self.pauses.pauses)

    def is_restricted(self, record: EndpointRecord) -> bool:
        """Returns whether the endpoint has a limit or a pause."""
        key = (record.id, record.incarnation)
        return self.limit(record) is not None or key in self.pauses.pauses

    def is_held(self, record: EndpointRecord) -> bool:
        """Returns whether the endpoint gets nothing from this instance now."""
        key = (record.id, record.incarnation)
        if self.held_for_s(record) > 0 or self.pauses.has_trial(*key):
            return True
        permits = self.permits.get(key)
        return permits is not None and permits.asking

    def is_paused(self, record: EndpointRecord) -> bool:
        """Returns whether the endpoint wants nothing from this instance now."""
        return self.pauses.remaining_s(record.id, record.incarnation) > 0

    def held_for_s(self, record: EndpointRecord) -> float:
        """Returns the time until this instance may send, or ask for a permit."""
        paused_s = self.pauses.remaining_s(record.id, record.incarnation)
        if self.limit(record) is None:
            return paused_s
        permits = self.permits.get((record.id, record.incarnation))
        return max(paused_s, permits.held_until - self.clock()) if permits else paused_s

    def take(self, record: EndpointRecord, *, request: str) -> bool:
        """Takes a permit for one send; returns False if there is none now."""
        if self.is_paused(record):
            return False
        if not self._take_permit(record, request=request):
            return False
        return self.pauses.take(record.id, record.incarnation)

    def _take_permit(self, record: EndpointRecord, *, request: str) -> bool:
        key = (record.id, record.incarnation)
        evidence = self.limits.latest.get(key)
        if evidence is None or evidence.limit is None:
            return True
        with self.lock:
            permits = self.permits.setdefault(key, Permits())
            if self._use(permits):
                return True
            # One thread asks at a time; the answer decides for the others too.
            if permits.asking or permits.held_until > self.clock():
                return False
            permits.asking = True
        try:
            owner, reply = self._ask(record, evidence)
        except BaseException:
            permits.asking = False
            raise
        with self.lock:
            permits.asking = False
            permits.count = reply.granted
            permits.expire_at = self.clock() + PERMIT_LIFETIME_S
            if self._use(permits):
                return True
            permits.held_until = self.clock() + reply.pause_s
            self.held_back += 1
        self.event_log.emit(
            "send_held_back",
            request=request,
            endpoint=record.id,
            limit=evidence.limit,
            owner=owner,
            pause_s=round(reply.pause_s, 3),
        )
        return False

    def _use(self, permits: Permits) -> bool:
        """Uses one permit, if there is one; the lock must be held."""
        if permits.count <= 0 or permits.expire_at < self.clock():
            return False
        permits.count -= 1
        self.sent += 1
        return True

    def _ask(
        self, record: EndpointRecord, evidence: LimitEvidence
    ) -> tuple[str, PermitReply]:
        """Returns the owner and its reply, or that of this instance in its place."""
        key, limit = evidence.key, evidence.limit
        owner, address = self.owners.owner_in_zone(record.zone, record.id)
        if owner == self.instance:
            return owner, self._grant(key, limit, instance=self.instance)
        request = PermitRequest(
            instance=self.instance, limit=self._reported(evidence, self.clock())
        )
        result = self.link.request(address, request, OWNER_TIMEOUT_S)
        reply = result.value_or(None)
        if isinstance(reply, PermitReply):
            with self.lock:
                self.own_shares.pop(key, None)
            if reply.limit is not None:
                self._note_peer(reply.limit, owner)
            return owner, reply
        answered = not isinstance(result, Failure)
        self.event_log.emit(
            "owner_did_not_answer",
            peer=owner,
            endpoint=record.id,
            reason="another message" if answered else str(result.failure()),
        )
        return owner, self._share(key, limit)

    def _share(self, key: Key, limit: float) -> PermitReply:
        """Returns a permit of this instance's equal share of the limit."""
        now = self.clock()
        share = limit / max(1, self.owners.live_instances())
        with self.lock:
            bucket = self.own_shares.setdefault(key, TokenBucket(now=now))
            granted = bucket.take(now, limit=share, count=1)
            wait_s = bucket.wait_s(now, limit=share)
        return PermitReply(
            granted=granted, pause_s=pause_s(share, askers=1, wait_s=wait_s)
        )

    def _grant(self, key: Key, limit: float, *, instance: str) -> PermitReply:
        now = self.clock()
        with self.lock:
            grants = self.grants.get(key)
            if grants is None:
                grants = self.grants[key] = Grants(now=now)
            askers = grants.count_askers(instance, now)
            count = permits_to_grant(limit, askers)
            granted = grants.bucket.take(now, limit=limit, count=count)
            wait_s = grants.bucket.wait_s(now, limit=limit)
        return PermitReply(granted=granted, pause_s=pause_s(limit, askers, wait_s))

    def answer(self, request: PermitRequest) -> PermitReply:
        """Answers another instance as the owner of an endpoint."""
        self._note_peer(request.limit, request.instance)
        key = (request.limit.endpoint, request.limit.incarnation)
        known = self.limits.latest.get(key)
        limit = known.limit if known is not None else request.limit.limit
        if limit is None:
            # The limit has ended; the evidence in the reply says so.
            return PermitReply(
                granted=1, pause_s=0.0, limit=self._reported(known, self.clock())
            )
        reply = self._grant(key, limit, instance=request.instance)
        if limit != request.limit.limit:
            reply.limit = self._reported(known, self.clock())
        return reply

    def note_answer(self, evidence: LimitEvidence) -> None:
        """Takes what an answer says, and tells all peers if the limit changed."""
        if self._note(evidence, source="answer") and self.link is not None:
            self._report([evidence], self.link.addresses())

    def _report(self, found: list[LimitEvidence], addresses: set[str]) -> None:
        now = self.clock()
        limits = [self._reported(evidence, now) for evidence in found]
        report = LimitReport(instance=self.instance, limits=limits)
        self.link.send_to(addresses, report)

    def handle_report(self, report: LimitReport) -> None:
        """Takes the limits that a peer has learned from answers."""
        for limit in report.limits:
            self._note_peer(limit, report.instance)

    def send_all(self, addresses: set[str]) -> None:
        """Tells peers all known limits."""
        named = self.limits.named()
        if named and self.link is not None:
            self._report(named, addresses)

    def _note_peer(self, limit: ReportedLimit, peer: str) -> None:
        now = self.clock()
        evidence = LimitEvidence(
            endpoint=limit.endpoint,
            incarnation=limit.incarnation,
            limit=limit.limit,
            sent_at=now - limit.sent_age_s,
            received_at=now - limit.received_age_s,
        )
        self._note(evidence, source=peer)

    def _note(self, evidence: LimitEvidence, *, source: str) -> bool:
        """Takes evidence about a limit; returns whether that changed."""
        change = self.limits.note(evidence)
        if change is None:
            return False
        self.event_log.emit(
            "endpoint_limit",
            endpoint=evidence.endpoint,
            limit=change.after,
            before=change.before,
            source=source,
        )
        with self.lock:
            permits = self.permits.get(evidence.key)
            if permits is not None:
                permits.held_until = 0.0
        self.changed()
        return True

    def _reported(self, evidence: LimitEvidence, now: float) -> ReportedLimit:
        return ReportedLimit(
            endpoint=evidence.endpoint,
            incarnation=evidence.incarnation,
            limit=evidence.limit,
            sent_age_s=now - evidence.sent_at,
            received_age_s=now - evidence.received_at,
        )

    def rate_per_s(self, records: list[EndpointRecord]) -> float:
        """Returns this instance's expected share of the limits of endpoints."""
        limits = [self.limit(record) for record in records]
        total = sum(request_rate(limit) for limit in limits if limit is not None)
        return total / max(1, self.owners.live_instances())

    def keep_only(self, records: list[EndpointRecord]) -> None:
        """Forgets all other endpoints and incarnations."""
        self.limits.keep_only(records)
        self.pauses.keep_only(records)
        kept = {(record.id, record.incarnation) for record in records}
        with self.lock:
            for table in (self.permits, self.grants, self.own_shares):
                for key in table.keys() - kept:
                    del table[key]

    def dump(self) -> list[dict]:
        """Returns the state of each endpoint that names a limit."""
        now = self.clock()
        found = []
        for evidence in self.limits.named():
            permits = self.permits.get(evidence.key) or Permits()
            found.append(
                msgspec.to_builtins(self._reported(evidence, now))
                | {
                    "held_for_s": round(max(0.0, permits.held_until - now), 3),
                    "grants_here": evidence.key in self.grants,
                }
            )
        return found
