"""Team fairness: which team is next within a class, and what a request costs it."""

from ...state.tickets import Ticket
from .registry import Registry

TEAM_FAIRNESS = Registry(decision="team fairness")

# Prefill handles tokens in bulk; a prompt token takes about a fiftieth to a tenth of a
# generated token's time on the engines, so the upper end keeps long prompts from being
# nearly free.
PROMPT_TOKEN_COST = 0.1


@TEAM_FAIRNESS.register("default")
class WeightedTeams:
    """Teams share by estimated tokens; earliest deadline first within a team."""

    limits_in_flight = True

    def team_key(self, ticket: Ticket) -> str:
        return ticket.team

    def order_key(self, ticket: Ticket) -> float:
        return ticket.deadline

    def cost(self, prompt_tokens: int, output_tokens: float) -> float:
        return 1.0 + PROMPT_TOKEN_COST * prompt_tokens + output_tokens


@TEAM_FAIRNESS.register("fifo_round_robin", "least_outstanding")
class ArrivalOrder:
    """One queue for all teams, in order of arrival, without team limits."""

    limits_in_flight = False

    def team_key(self, ticket: Ticket) -> str:
        return ""

    def order_key(self, ticket: Ticket) -> float:
        return ticket.arrived_at

    def cost(self, prompt_tokens: int, output_tokens: float) -> float:
        return 1.0
