"""Discovered endpoints and what this instance believes about their health."""

import contextlib
import threading
import time

import msgspec

from ..protocol.routing import EndpointRecord

# After a failed call an endpoint is tried last for a while; the time doubles with each
# failure in a row, so that one that is down costs few requests.
FIRST_SUSPICION_S = 0.5
MAX_SUSPICION_S = 4.0
# Share of failed calls above which an endpoint that still answers is avoided, and the
# weight of the newest call in that share.
GREY_FAILURE_SHARE = 0.25
FAILURE_WEIGHT = 0.15


class EndpointHealth:
    """Calls and failures of one endpoint as this instance saw them."""

    __slots__ = ("failure_share", "failures_in_a_row", "outstanding", "suspect_until")

    def __init__(self):
        # Calls of this instance that have not ended.
        self.outstanding = 0
        self.failures_in_a_row = 0
        self.failure_share = 0.0
        self.suspect_until = 0.0


class EndpointDump(msgspec.Struct, kw_only=True):
    """State dump of one endpoint."""

    record: EndpointRecord
    suspect_for_s: float
    failure_share: float


class EndpointRegistry:
    """Endpoints by service; leaving and unreadable ones are never offered."""

    def __init__(self, *, clock=time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.records: dict[str, EndpointRecord] = {}
        self.health: dict[str, EndpointHealth] = {}
        self.by_service: dict[str, tuple[EndpointRecord, ...]] = {}
        self.known = False
        self.updated_at = 0.0
        # Counts the installations, for those who keep what they derive from a list.
        self.edition = 0

    def replace(self, records: dict[str, EndpointRecord]) -> None:
        """Installs the endpoints that exist now."""
        by_service: dict[str, list[EndpointRecord]] = {}
        for record in records.values():
            if not record.leaving:
                by_service.setdefault(record.service, []).append(record)
        with self.lock:
            for endpoint_id, record in records.items():
                before = self.records.get(endpoint_id)
                if before is None or before.incarnation != record.incarnation:
                    self.health[endpoint_id] = EndpointHealth()
            for endpoint_id in set(self.health) - set(records):
                del self.health[endpoint_id]
            self.records = dict(records)
            self.by_service = {
                name: tuple(sorted(found, key=lambda item: item.id))
                for name, found in by_service.items()
            }
            self.known = True
            self.edition += 1
            self.updated_at = self.clock()

    def ready(self, service: str) -> tuple[EndpointRecord, ...]:
        """Returns the endpoints of a service that take new work."""
        return self.by_service.get(service, ())

    def is_ready(self, endpoint_id: str) -> bool:
        record = self.records.get(endpoint_id)
        return record is not None and not record.leaving

    def is_suspect(self, endpoint_id: str) -> bool:
        """Returns whether the endpoint failed lately and should be tried last."""
        health = self.health.get(endpoint_id)
        if health is None:
            return False
        return (
            health.suspect_until > self.clock()
            or health.failure_share > GREY_FAILURE_SHARE
        )

    def failure_share(self, endpoint_id: str) -> float:
        health = self.health.get(endpoint_id)
        return health.failure_share if health else 0.0

    def outstanding(self, endpoint_id: str) -> int:
        """Returns this instance's calls to a plain service that have not ended."""
        health = self.health.get(endpoint_id)
        return health.outstanding if health else 0

    @contextlib.contextmanager
    def call(self, endpoint_id: str):
        """Counts a call while it lasts."""
        with self.lock:
            health = self.health.setdefault(endpoint_id, EndpointHealth())
            health.outstanding += 1
        try:
            yield
        finally:
            with self.lock:
                health.outstanding -= 1

    def note_success(self, endpoint_id: str) -> bool:
        """Counts an answer; returns whether the endpoint was suspect before."""
        with self.lock:
            health = self.health.get(endpoint_id)
            if health is None:
                return False
            was_suspect = health.suspect_until > self.clock()
            health.failures_in_a_row = 0
            health.suspect_until = 0.0
            health.failure_share *= 1 - FAILURE_WEIGHT
            return was_suspect

    def note_failure(self, endpoint_id: str, *, unreachable: bool) -> bool:
        """Counts a failure; returns whether the endpoint became suspect just now.

        An endpoint that answers some calls with errors is judged by their share only;
        one that cannot be reached is avoided at once.
        """
        with self.lock:
            health = self.health.get(endpoint_id)
            if health is None:
                return False
            now = self.clock()
            was_suspect = health.suspect_until > now
            health.failure_share += FAILURE_WEIGHT * (1 - health.failure_share)
            if not unreachable:
                return False
            health.failures_in_a_row += 1
            doublings = min(health.failures_in_a_row - 1, 10)
            suspicion_s = min(MAX_SUSPICION_S, FIRST_SUSPICION_S * 2**doublings)
            health.suspect_until = now + suspicion_s
            return not was_suspect

    def decay(self) -> None:
        """Lets endpoints that are avoided for their errors be tried again in time."""
        with self.lock:
            for health in self.health.values():
                health.failure_share *= 0.9

    def dump(self) -> list[EndpointDump]:
        now = self.clock()
        with self.lock:
            return [
                EndpointDump(
                    record=record,
                    suspect_for_s=max(0.0, self.health[name].suspect_until - now),
                    failure_share=self.health[name].failure_share,
                )
                for name, record in self.records.items()
            ]
