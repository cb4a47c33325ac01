"""Endpoint selection: picks the endpoint with a free slot that serves a request."""

from ...state.endpoint_table import EndpointView
from ...state.tickets import Ticket
from .prefix_affinity import BLOCK_TOKENS, PrefixIndex
from .registry import Registry

ENDPOINT_CHOICE = Registry(decision="endpoint choice")

# Prefill time per prompt token; used only to compare endpoints.
PREFILL_S_PER_TOKEN = 0.0004
DEFAULT_FIRST_TOKEN_S = 0.2
# Two to ten times the round trip between zones, so that the zone breaks near ties
# between endpoints.
OTHER_ZONE_PENALTY_S = 0.01
# Larger than any other term: an endpoint that meets the latency target is preferred to
# one that does not, regardless of zone.
MISSED_TARGET_PENALTY_S = 60.0
# Added for each multiple of the median time per token. At twice the median it is ten
# times the zone penalty, so a straggler is the last choice even if its first token
# would be on time.
STRAGGLER_PENALTY_S = 0.1
# Differences in batch size alone cause a smaller slowdown than this.
STRAGGLER_SLOWDOWN = 1.5
# Preemption is due after two thirds of the time to the target. A request accepts a
# straggler only after preemption has failed to provide a better slot.
STRAGGLER_WAIT_FRACTION = 0.8
# For this long, a preempted stream leaves slots on engines without its cached prompt to
# other requests. After that, a small cache has evicted most of the prompt.
CACHED_RESUME_WAIT_S = 15.0
# Approximate delay of the first token per request queued at the engine beyond its
# slots, divided by the number of slots.
ENGINE_QUEUE_STEP_S = 1.0


@ENDPOINT_CHOICE.register("default")
class LowestPlacementCost:
    """Picks the lowest cost in seconds.

    The cost combines expected wait, straggler penalty, uncached prompt and zone.
    """

    def __init__(self, *, zone: str, prefixes: PrefixIndex):
        self.zone = zone
        self.prefixes = prefixes

    def choose(
        self, ticket: Ticket, views: list[EndpointView], now: float, final_round: bool
    ) -> EndpointView | None:
        trial = self._trial_for(ticket, views)
        if trial is not None:
            return trial
        proven = [view for view in views if not view.trial] or views
        chosen = min(proven, key=lambda view: self.cost(ticket, view, now))
        accepts_at = self.accepts_any_at(ticket)
        may_wait = accepts_at is not None and now < accepts_at
        if may_wait and not self.can_meet_target(ticket, chosen):
            return None
        if not final_round and self._should_wait_for_cache(ticket, chosen, now):
            return None
        return chosen

    def _should_wait_for_cache(
        self, ticket: Ticket, view: EndpointView, now: float
    ) -> bool:
        """Returns whether a stream should wait for an engine with its prompt cached."""
        if ticket.paused_at is None or now > ticket.paused_at + CACHED_RESUME_WAIT_S:
            return False
        if ticket.excluded or ticket.request_class.latency.token_gap_ms is not None:
            # The engine with the cached prompt has failed, or the class has a target
            # for the time between tokens, so the stream must resume without delay.
            return False
        cached = self.prefixes.cached_blocks(view.endpoint.id, ticket.prompt_blocks)
        return 2 * cached < len(ticket.prompt_blocks)

    def accepts_any_at(self, ticket: Ticket) -> float | None:
        first_token_ms = ticket.request_class.latency.first_token_ms
        if first_token_ms is None or ticket.resumes:
            return None
        return ticket.arrived_at + STRAGGLER_WAIT_FRACTION * first_token_ms / 1000.0

    def _trial_for(
        self, ticket: Ticket, views: list[EndpointView]
    ) -> EndpointView | None:
        # A trial request may fail, so only a repeatable, unprotected one is used.
        request_class = ticket.request_class
        if request_class.protected or not request_class.repeatable:
            return None
        return next((view for view in views if view.trial), None)

    def cost(self, ticket: Ticket, view: EndpointView, now: float) -> float:
        """Returns the placement cost in seconds."""
        first_token_s = self._first_token_s(ticket, view)
        cost_s = first_token_s + (view.slowdown - 1.0) * STRAGGLER_PENALTY_S
        if view.endpoint.zone != self.zone:
            cost_s += OTHER_ZONE_PENALTY_S
        if self._misses_target(ticket, view, first_token_s, now):
            cost_s += MISSED_TARGET_PENALTY_S * view.slowdown
        return cost_s

    def _first_token_s(self, ticket: Ticket, view: EndpointView) -> float:
        cached = self.prefixes.cached_blocks(view.endpoint.id, ticket.prompt_blocks)
        uncached_tokens = max(0, ticket.prompt_tokens - cached * BLOCK_TOKENS)
        prefill_s = uncached_tokens * PREFILL_S_PER_TOKEN
        ahead = max(0, view.running + view.waiting + 1 - view.slots)
        queue_s = ahead / max(1, view.slots) * ENGINE_QUEUE_STEP_S
        # Load breaks ties between endpoints that are otherwise equal.
        load_s = 0.01 * view.running / max(1, view.slots)
        base_s = view.first_token_s or DEFAULT_FIRST_TOKEN_S
        return base_s + (prefill_s + queue_s + load_s) * view.slowdown

    def _misses_target(
        self, ticket: Ticket, view: EndpointView, first_token_s: float, now: float
    ) -> bool:
        latency = ticket.request_class.latency
        if not self.can_meet_target(ticket, view):
            return True
        due_at = ticket.deadline
        if latency.first_token_ms is not None:
            due_at = min(due_at, ticket.arrived_at + latency.first_token_ms / 1000.0)
        return now + first_token_s > due_at

    def can_meet_target(self, ticket: Ticket, view: EndpointView) -> bool:
        """Returns whether the endpoint is no straggler or meets the gap target."""
        gap_ms = ticket.request_class.latency.token_gap_ms
        if gap_ms is None or view.token_gap_s is None:
            return True
        is_straggler = view.slowdown > STRAGGLER_SLOWDOWN
        return not is_straggler or view.token_gap_s * 1000.0 <= gap_ms

    def note_sent(self, ticket: Ticket, endpoint_id: str) -> None:
        self.prefixes.note_sent(endpoint_id, ticket.prompt_blocks)


@ENDPOINT_CHOICE.register("fifo_round_robin")
class RoundRobin:
    """Picks endpoints with a free slot in round-robin order."""

    def __init__(self, *, zone: str, prefixes: PrefixIndex):
        self.last: dict[str, str] = {}

    def choose(
        self, ticket: Ticket, views: list[EndpointView], now: float, final_round: bool
    ) -> EndpointView | None:
        ordered = sorted(views, key=lambda view: view.endpoint.id)
        last = self.last.get(ticket.target, "")
        later = [view for view in ordered if view.endpoint.id > last]
        chosen = (later or ordered)[0]
        self.last[ticket.target] = chosen.endpoint.id
        return chosen

    def can_meet_target(self, ticket: Ticket, view: EndpointView) -> bool:
        return True

    def accepts_any_at(self, ticket: Ticket) -> float | None:
        return None

    def note_sent(self, ticket: Ticket, endpoint_id: str) -> None:
        pass


@ENDPOINT_CHOICE.register("least_outstanding")
class LeastOutstanding:
    """Picks the endpoint with the fewest requests in flight from this instance."""

    def __init__(self, *, zone: str, prefixes: PrefixIndex):
        pass

    def choose(
        self, ticket: Ticket, views: list[EndpointView], now: float, final_round: bool
    ) -> EndpointView | None:
        return min(views, key=lambda view: view.in_flight)

    def can_meet_target(self, ticket: Ticket, view: EndpointView) -> bool:
        return True

    def accepts_any_at(self, ticket: Ticket) -> float | None:
        return None

    def note_sent(self, ticket: Ticket, endpoint_id: str) -> None:
        pass
