"""Selects an endpoint of a plain service.

Load pattern: short calls on a few slots; some endpoints fail a part of their calls or
do not respond at all. The least loaded endpoint is selected, with a preference for the
local zone between otherwise equal ones. Failing endpoints are avoided in proportion to
their failure rate.
"""

import msgspec

from ...protocol.routing import EndpointRecord

# Costs in units of one outstanding call at an endpoint with one slot.
CROSS_ZONE_COST = 0.3
FAILURE_COST = 3.0
COLD_COST = 0.5
SUSPECT_COST = 1_000.0


class ServiceEndpointView(msgspec.Struct, kw_only=True):
    """State of one endpoint as known when a call is placed."""

    record: EndpointRecord
    outstanding: int
    failure_share: float
    suspect: bool


class LeastLoadedEndpoint:
    """Selects by outstanding calls per slot, failure rate and zone."""

    def __init__(self, *, zone: str):
        self.zone = zone

    def choose(self, views: list[ServiceEndpointView]) -> EndpointRecord | None:
        """Returns the endpoint to call, or None if there is none."""
        if not views:
            return None
        return min(views, key=self._cost).record

    def _cost(self, view: ServiceEndpointView) -> tuple[float, str]:
        record = view.record
        cost = view.outstanding / max(1, record.slots)
        cost += CROSS_ZONE_COST if record.zone != self.zone else 0.0
        cost += FAILURE_COST * view.failure_share
        cost += COLD_COST if record.cold_s > 0 else 0.0
        cost += SUSPECT_COST if view.suspect else 0.0
        return cost, record.id
