"""Selects the endpoint of a plain service for a call, which may wait for a permit.

Load pattern: all endpoints of a service limit their requests or ask for a pause, and
more calls arrive than they take. Calls wait in the order of their urgency, as long as
they can still finish in time; the others are refused at once with the time at which an
endpoint can be expected to take them.
"""

import bisect
import threading
import time
import zlib
from collections.abc import Callable

from ..protocol.refusals import Refusal
from ..protocol.routing import EndpointRecord
from ..state.endpoint_registry import EndpointRegistry
from ..transport.sockets import CallerGone
from .crash_guard import CrashGuard
from .policy.service_placement import LeastLoadedEndpoint, ServiceEndpointView
from .send_permits import SendPermits
from .sending import Rerouted, Sending

# Interval at which a waiting call looks for a permit and for its caller.
POLL_INTERVAL_S = 0.02
# Upper bound of the time after which a refused caller is told to return.
MAX_RETRY_AFTER_S = 10.0

# Priority, priority of the route, arrival time and id of a call.
Place = tuple[int, int, float, str]


class ServiceSelection:
    """Selects endpoints, and queues calls while no endpoint may be called."""

    def __init__(
        self,
        *,
        zone: str,
        registry: EndpointRegistry,
        permits: SendPermits,
        crash_guard: CrashGuard,
    ):
        self.crash_guard = crash_guard
        self.placement = LeastLoadedEndpoint(zone=zone)
        self.registry = registry
        self.permits = permits
        self.lock = threading.Lock()
        self.waiting: dict[str, list[Place]] = {}

    def choose(
        self, sending: Sending, *, reroute: Callable[[Sending], bool]
    ) -> EndpointRecord | None:
        """Returns the endpoint to call, or None if there is none.

        Raises `Refusal` for a call that would wait too long, `CallerGone` if its caller
        disconnects meanwhile and `Rerouted` if a configuration routes it anew.
        """
        request = sending.request
        place = (
            request.priority,
            request.route.priority,
            request.arrived_at,
            request.id,
        )
        record = self._choose_now(sending, place)
        if record is not None or sending.may_have_run or not self._untried(sending):
            return record
        with self.lock:
            bisect.insort(self.waiting.setdefault(request.service, []), place)
        try:
            return self._wait(sending, place, reroute)
        finally:
            with self.lock:
                self.waiting[request.service].remove(place)

    def _wait(
        self, sending: Sending, place: Place, reroute: Callable[[Sending], bool]
    ) -> EndpointRecord | None:
        while self._untried(sending):
            if reroute(sending):
                raise Rerouted
            self._check_wait(sending, place)
            if sending.caller.is_disconnected():
                raise CallerGone
            time.sleep(POLL_INTERVAL_S)
            record = self._choose_now(sending, place)
            if record is not None:
                return record
        return None

    def _check_wait(self, sending: Sending, place: Place) -> None:
        """Refuses a call that cannot finish in time after its expected wait."""
        request = sending.request
        untried = self._untried(sending)
        held_s = min((self.permits.held_for_s(r) for r in untried), default=0.0)
        rate = self.permits.rate_per_s(untried)
        queue_s = self._ahead(request.service, place) / rate if rate else 0.0
        expected_s = max(held_s, queue_s)
        latest_start = request.deadline - request.route.goal_s
        if time.monotonic() + expected_s <= latest_start:
            return
        spread = zlib.crc32(request.id.encode()) / 2**32
        wait_s = max(expected_s, POLL_INTERVAL_S) * (1 + spread)
        raise Refusal(
            503,
            "endpoints_limited",
            remedy="Retry after the time given.",
            retry_after_s=min(MAX_RETRY_AFTER_S, wait_s),
        )

    def _choose_now(self, sending: Sending, place: Place) -> EndpointRecord | None:
        """Returns an endpoint that may be called now; takes its permit."""
        request = sending.request
        is_first = self._ahead(request.service, place) == 0
        while True:
            views = [
                ServiceEndpointView(
                    record=record,
                    outstanding=self.registry.outstanding(record.id),
                    failure_share=self.registry.failure_share(record.id),
                    suspect=self.registry.is_suspect(record.id),
                )
                for record in self._untried(sending)
                if self._is_callable(record, is_first)
            ]
            record = self.placement.choose(views)
            if record is None or self.permits.take(record, request=request.id):
                return record

    def _is_callable(self, record: EndpointRecord, is_first: bool) -> bool:
        if not self.permits.is_restricted(record):
            return True
        return is_first and not self.permits.is_held(record)

    def _ahead(self, service: str, place: Place) -> int:
        """Returns the number of calls that wait and are more urgent."""
        with self.lock:
            return bisect.bisect_left(self.waiting.get(service, []), place)

    def _untried(self, sending: Sending) -> list[EndpointRecord]:
        untried = {
            record.id: record
            for record in self.registry.ready(sending.request.service)
            if sending.may_use(record)
        }
        allowed = self.crash_guard.isolated(sending, list(untried))
        return [untried[name] for name in allowed]
