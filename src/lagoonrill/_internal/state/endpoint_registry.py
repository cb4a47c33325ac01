"""Registry of discovered endpoints with this instance's estimate of their health.

In a large fleet an instance calls each endpoint rarely, so the failure share also
includes the calls that peers report. A large fleet exchanges them only within a zone.
"""

import contextlib
import threading
import time
import zlib
from collections.abc import Iterable

import msgspec

from ..protocol.messages import EndpointCalls
from ..protocol.routing import EndpointRecord

# After a failed call an endpoint is suspect and tried last. The time doubles with each
# recent failure, so that an endpoint that is down or flapping fails few requests.
INITIAL_SUSPICION_S = 0.5
MAX_SUSPICION_S = 4.0
# Factors on the count of recent failures after a successful call and after a `decay`.
RECENT_FAILURES_SUCCESS_FACTOR = 0.97
RECENT_FAILURES_DECAY_FACTOR = 0.95
# An endpoint that still answers becomes suspect above this share of failed calls.
SUSPECT_FAILURE_SHARE = 0.25
# Successful calls added to each endpoint's count, so that a single failure does not
# make it suspect.
ASSUMED_SUCCESSES = 3.0
# Upper limit of the calls counted from all peers together. The limit falls with this
# instance's own calls, since an endpoint may fail only for some callers.
MAX_PEER_CALLS = 6.0
# Factor on the call counts at each `decay`; counts older than some seconds say little
# about an endpoint's current health.
CALL_COUNTS_DECAY_FACTOR = 0.8
# Endpoints with fewer failures than this are not reported to the peers.
MIN_REPORTED_FAILURES = 0.2
# If more endpoints than this fail at once, only those with most failures are reported,
# so that reports of a failing zone do not saturate the peer links.
MAX_REPORTED_ENDPOINTS = 20


class EndpointHealth:
    """Call and failure counts of one endpoint from this instance's own calls."""

    __slots__ = (
        "calls",
        "failures",
        "outstanding",
        "recent_failures",
        "suspect_until",
    )

    def __init__(self):
        # Calls of this instance that are in flight.
        self.outstanding = 0
        # Decaying counts of completed calls and of those that failed.
        self.calls = 0.0
        self.failures = 0.0
        # Decaying count of failures that lengthens the next suspect period.
        self.recent_failures = 0.0
        self.suspect_until = 0.0


class PeerCalls:
    """Calls reported by all peers for one incarnation of an endpoint."""

    __slots__ = ("calls", "failures")

    def __init__(self):
        self.calls = 0.0
        self.failures = 0.0


NO_PEER_CALLS = PeerCalls()


class EndpointDump(msgspec.Struct, kw_only=True):
    """State dump of one endpoint."""

    record: EndpointRecord
    suspect_for_s: float
    failure_share: float


def checksum_of(records: Iterable[EndpointRecord]) -> int:
    """Returns a checksum over what tells the states of endpoints apart.

    >>> a = EndpointRecord(id="a", service="s", address="x:1", zone="z", slots=1)
    >>> checksum_of([a]) == checksum_of([msgspec.structs.replace(a, leaving=True)])
    False
    """
    lines = sorted(
        f"{item.id} {item.incarnation} {item.leaving} {item.version}"
        for item in records
    )
    return zlib.crc32("\n".join(lines).encode())


class EndpointRegistry:
    """Endpoints by service; leaving or unreadable ones get no new work."""

    def __init__(self, *, clock=time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.records: dict[str, EndpointRecord] = {}
        # Monotonic times until which endpoints that lost their entry stay in use.
        self.held_until: dict[str, float] = {}
        self.health: dict[str, EndpointHealth] = {}
        # The latest report of each peer, and the sums by endpoint and incarnation.
        self.peer_reports: dict[str, list[EndpointCalls]] = {}
        self.peer_calls: dict[tuple[str, int], PeerCalls] = {}
        self.by_service: dict[str, tuple[EndpointRecord, ...]] = {}
        self.known = False
        self.updated_at = 0.0
        # Checksum of the endpoints that have an entry, compared between instances.
        self.checksum = 0
        # Incremented by each `replace`, so that users can invalidate derived data.
        self.edition = 0

    def replace(
        self,
        records: dict[str, EndpointRecord],
        *,
        held_until: dict[str, float] | None = None,
    ) -> None:
        """Replaces all endpoints; those in `held_until` expire at the given times.

        Everything is built before anything is replaced, so an error leaves the registry
        as it was.
        """
        found = dict(records)
        held = dict(held_until or {})
        by_service: dict[str, list[EndpointRecord]] = {}
        for record in found.values():
            if not record.leaving:
                by_service.setdefault(record.service, []).append(record)
        ready = {
            name: tuple(sorted(items, key=lambda item: item.id))
            for name, items in by_service.items()
        }
        checksum = checksum_of(
            record for name, record in found.items() if name not in held
        )
        with self.lock:
            health = {
                endpoint_id: self.health[endpoint_id]
                if self._is_same_process(record)
                else EndpointHealth()
                for endpoint_id, record in found.items()
            }
            self.health = health
            self.records = found
            self.held_until = held
            self.by_service = ready
            self.checksum = checksum
            self.known = True
            self.edition += 1
            self.updated_at = self.clock()

    def _is_same_process(self, record: EndpointRecord) -> bool:
        before = self.records.get(record.id)
        return (
            before is not None
            and before.incarnation == record.incarnation
            and record.id in self.health
        )

    def ready(self, service: str) -> tuple[EndpointRecord, ...]:
        """Returns the endpoints of a service that accept new work."""
        found = self.by_service.get(service, ())
        if not self.held_until:
            return found
        return tuple(record for record in found if not self._is_hold_expired(record.id))

    def takes_work(self, record: EndpointRecord) -> bool:
        """Returns whether a previously chosen endpoint still accepts new work."""
        current = self.records.get(record.id)
        return (
            current is not None
            and not current.leaving
            and current.address == record.address
            and current.incarnation == record.incarnation
            and current.version == record.version
            and not self._is_hold_expired(record.id)
        )

    def held_for_s(self) -> dict[str, float]:
        """Returns the remaining time of endpoints that lost their entry."""
        now = self.clock()
        return {name: until - now for name, until in self.held_until.items()}

    def _is_hold_expired(self, endpoint_id: str) -> bool:
        until = self.held_until.get(endpoint_id)
        return until is not None and until <= self.clock()

    def is_suspect(self, endpoint_id: str) -> bool:
        """Returns whether the endpoint failed recently and should be tried last."""
        health = self.health.get(endpoint_id)
        if health is None:
            return False
        return (
            health.suspect_until > self.clock()
            or self.failure_share(endpoint_id) > SUSPECT_FAILURE_SHARE
        )

    def failure_share(self, endpoint_id: str) -> float:
        """Returns the share of failed calls among recent calls here and at peers."""
        health = self.health.get(endpoint_id)
        record = self.records.get(endpoint_id)
        if health is None or record is None:
            return 0.0
        peers = self._peers(record)
        counted = min(peers.calls, MAX_PEER_CALLS / (1 + health.calls))
        weight = counted / peers.calls if peers.calls else 0.0
        calls = health.calls + counted + ASSUMED_SUCCESSES
        return (health.failures + weight * peers.failures) / calls

    def doubtful(self) -> list[EndpointCalls]:
        """Returns this instance's calls to endpoints that fail here or at a peer."""
        with self.lock:
            found = [
                EndpointCalls(
                    endpoint=name,
                    incarnation=record.incarnation,
                    calls=round(health.calls, 2),
                    failures=round(health.failures, 2),
                )
                for name, record in self.records.items()
                if (health := self.health[name]).calls > MIN_REPORTED_FAILURES
                and max(health.failures, self._peers(record).failures)
                > MIN_REPORTED_FAILURES
            ]
        found.sort(key=lambda item: -item.failures)
        return found[:MAX_REPORTED_ENDPOINTS]

    def _peers(self, record: EndpointRecord) -> PeerCalls:
        return self.peer_calls.get((record.id, record.incarnation), NO_PEER_CALLS)

    def update_peer_calls(self, peer: str, reports: list[EndpointCalls]) -> None:
        """Replaces the call report of a peer."""
        with self.lock:
            self._add_reports(self.peer_reports.pop(peer, []), -1)
            self._add_reports(reports, 1)
            if reports:
                self.peer_reports[peer] = reports

    def drop_peer(self, peer: str) -> None:
        """Removes the report of a peer that left or stopped sending heartbeats."""
        self.update_peer_calls(peer, [])

    def _add_reports(self, reports: list[EndpointCalls], sign: int) -> None:
        for report in reports:
            key = (report.endpoint, report.incarnation)
            total = self.peer_calls.setdefault(key, PeerCalls())
            total.calls += sign * report.calls
            total.failures += sign * report.failures
            # Each report has more calls than this; a smaller sum is rounding error.
            if total.calls < MIN_REPORTED_FAILURES / 2:
                del self.peer_calls[key]

    def outstanding(self, endpoint_id: str) -> int:
        """Returns this instance's calls in flight to a plain service's endpoint."""
        health = self.health.get(endpoint_id)
        return health.outstanding if health else 0

    @contextlib.contextmanager
    def call(self, endpoint_id: str):
        """Counts a call as outstanding until the context exits."""
        with self.lock:
            health = self.health.setdefault(endpoint_id, EndpointHealth())
            health.outstanding += 1
        try:
            yield
        finally:
            with self.lock:
                health.outstanding -= 1

    def note_success(self, endpoint_id: str) -> bool:
        """Counts a successful call; returns whether the endpoint was suspect before."""
        with self.lock:
            health = self.health.get(endpoint_id)
            if health is None:
                return False
            was_suspect = health.suspect_until > self.clock()
            health.calls += 1
            health.recent_failures *= RECENT_FAILURES_SUCCESS_FACTOR
            health.suspect_until = 0.0
            return was_suspect

    def note_failure(self, endpoint_id: str, *, unreachable: bool) -> bool:
        """Counts a failed call; returns whether the endpoint became suspect by it.

        An unreachable endpoint becomes suspect at once. One that answers with errors
        becomes suspect only by its share of failed calls.
        """
        with self.lock:
            health = self.health.get(endpoint_id)
            if health is None:
                return False
            now = self.clock()
            was_suspect = health.suspect_until > now
            health.calls += 1
            health.failures += 1
            if not unreachable:
                return False
            doublings = min(health.recent_failures, 10.0)
            health.recent_failures += 1
            suspicion_s = min(MAX_SUSPICION_S, INITIAL_SUSPICION_S * 2**doublings)
            health.suspect_until = now + suspicion_s
            return not was_suspect

    def decay(self) -> None:
        """Decays all counts, so that suspect endpoints are tried again."""
        with self.lock:
            for health in self.health.values():
                health.calls *= CALL_COUNTS_DECAY_FACTOR
                health.failures *= CALL_COUNTS_DECAY_FACTOR
                health.recent_failures *= RECENT_FAILURES_DECAY_FACTOR

    def dump(self) -> list[EndpointDump]:
        now = self.clock()
        with self.lock:
            return [
                EndpointDump(
                    record=record,
                    suspect_for_s=max(0.0, self.health[name].suspect_until - now),
                    failure_share=self.failure_share(name),
                )
                for name, record in self.records.items()
            ]
