"""Load estimate: how long slots are occupied and how soon service can start."""

from collections.abc import Sequence

from ...state.endpoint_table import EndpointView
from ...state.tickets import Ticket
from .output_length import RunningMean
from .registry import Registry

LOAD_ESTIMATE = Registry(decision="load estimate")

DEFAULT_HOLD_S = 2.0
DEFAULT_FIRST_TOKEN_S = 0.2
# The estimate is a mean over prompts of all lengths. Half of it is a safe lower bound
# for deciding that a deadline can no longer be met.
LEAST_SERVICE_SHARE = 0.5


@LOAD_ESTIMATE.register("default")
class MeasuredLoad:
    """Running means measured by this instance; requires the scheduler's lock."""

    def __init__(self):
        self.holds: dict[str, RunningMean] = {}

    def hold_s(self, request_class: str) -> float:
        """Returns the mean time for which a request of the class occupies a slot."""
        hold = self.holds.get(request_class)
        return hold.mean if hold is not None else DEFAULT_HOLD_S

    def note_hold(self, request_class: str, seconds: float) -> None:
        self.holds.setdefault(request_class, RunningMean()).add(seconds)

    def least_service_s(self, ticket: Ticket, views: Sequence[EndpointView]) -> float:
        """Returns a lower bound of the time from slot grant to first token."""
        known = [view.first_token_s for view in views]
        if not known or None in known:
            return 0.0
        return LEAST_SERVICE_SHARE * min(known)

    def service_s(self, ticket: Ticket, views: Sequence[EndpointView]) -> float:
        """Returns the expected time from slot grant to the first token.

        For a class with a target for the whole answer, it is the time to its end.
        """
        if ticket.request_class.latency.whole_answer_ms is not None:
            return self.hold_s(ticket.request_class.name)
        known = [v.first_token_s for v in views if v.first_token_s is not None]
        return min(known, default=DEFAULT_FIRST_TOKEN_S)
