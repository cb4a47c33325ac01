"""Choice among the endpoints of a plain service.

Load pattern: short calls on a few slots, some endpoints failing part of their calls or
answering none. The least loaded endpoint is chosen, in the own zone if that makes no
difference, and endpoints that fail are avoided in proportion to their failures.
"""

import msgspec

from ...protocol.routing import EndpointRecord

# Costs in calls outstanding at an endpoint with one slot.
CROSS_ZONE_COST = 0.3
FAILURE_COST = 3.0
COLD_COST = 0.5
SUSPECT_COST = 1_000.0


class ServiceEndpointView(msgspec.Struct, kw_only=True):
    """What is known of one endpoint when a call is placed."""

    record: EndpointRecord
    outstanding: int
    failure_share: float
    suspect: bool


class LeastLoadedEndpoint:
    """Chooses by outstanding calls per slot, failures and zone."""

    def __init__(self, *, zone: str):
        self.zone = zone

    def choose(self, views: list[ServiceEndpointView]) -> EndpointRecord | None:
        """Returns the endpoint to call, None if there is none."""
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
