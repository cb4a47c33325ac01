"""Endpoint choice: which endpoint with a free slot serves a request."""

from ...state.endpoint_table import EndpointView
from ...state.tickets import Ticket
from .prefix_affinity import BLOCK_TOKENS, PrefixIndex
from .registry import Registry

ENDPOINT_CHOICE = Registry(decision="endpoint choice")

# Prefill time of one prompt token; used for the difference between endpoints only.
PREFILL_S_PER_TOKEN = 0.0004
DEFAULT_FIRST_TOKEN_S = 0.2
# Two to ten times the round trip between zones, so that the zone decides between
# endpoints that are otherwise about equal.
OTHER_ZONE_PENALTY_S = 0.01
# Larger than any other term: an endpoint that makes the target goes before one that
# does not, in whichever zone it is.
MISSED_TARGET_PENALTY_S = 60.0
# For each multiple of the median's time per token. Ten times the zone penalty at twice
# the time, so that a straggler is the last choice although its first token is in time.
STRAGGLER_PENALTY_S = 0.1
# Uneven batches alone make engines differ by less than this.
STRAGGLER_SLOWDOWN = 1.5
# Preemption is due after two thirds of the time to the target; a request takes a
# straggler only if that did not get it a better slot.
PATIENCE_SHARE = 0.8
# A preempted stream leaves a slot to other requests for this time if its prompt is not
# cached there. A small cache has replaced most of the prompt by then.
RESUME_PATIENCE_S = 15.0
# A queue at the engine beyond its slots delays the first token by about this much for
# each waiting request and slot.
ENGINE_QUEUE_STEP_S = 1.0


@ENDPOINT_CHOICE.register("default")
class LowestPlacementCost:
    """Expected wait, straggler penalty, uncached prompt and zone as one cost in s."""

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
        is_patient = accepts_at is not None and now < accepts_at
        if is_patient and not self.can_meet_target(ticket, chosen):
            return None
        if not final_round and self._would_repeat(ticket, chosen, now):
            return None
        return chosen

    def _would_repeat(self, ticket: Ticket, view: EndpointView, now: float) -> bool:
        """Tells whether a stream should rather go on where its prompt is cached."""
        if ticket.paused_at is None or now > ticket.paused_at + RESUME_PATIENCE_S:
            return False
        if ticket.excluded or ticket.request_class.latency.token_gap_ms is not None:
            # The engine with the prompt has failed, or the answer is in a hurry.
            return False
        cached = self.prefixes.cached_blocks(view.endpoint.id, ticket.prompt_blocks)
        return 2 * cached < len(ticket.prompt_blocks)

    def accepts_any_at(self, ticket: Ticket) -> float | None:
        first_token_ms = ticket.request_class.latency.first_token_ms
        if first_token_ms is None or ticket.resumes:
            return None
        return ticket.arrived_at + PATIENCE_SHARE * first_token_ms / 1000.0

    def _trial_for(
        self, ticket: Ticket, views: list[EndpointView]
    ) -> EndpointView | None:
        # A trial may fail, so a request that can be repeated and is not protected goes.
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
        # Load decides between endpoints that are equal in everything else.
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
        """Tells whether the token gap of the endpoint is no straggler's or in time."""
        gap_ms = ticket.request_class.latency.token_gap_ms
        if gap_ms is None or view.token_gap_s is None:
            return True
        is_straggler = view.slowdown > STRAGGLER_SLOWDOWN
        return not is_straggler or view.token_gap_s * 1000.0 <= gap_ms

    def note_sent(self, ticket: Ticket, endpoint_id: str) -> None:
        self.prefixes.note_sent(endpoint_id, ticket.prompt_blocks)


@ENDPOINT_CHOICE.register("fifo_round_robin")
class RoundRobin:
    """The next endpoint with a free slot, in turn."""

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
    """The endpoint with the fewest requests of this instance in flight."""

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
