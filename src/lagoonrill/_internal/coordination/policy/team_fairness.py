"""Team fairness: picks the next team within a class and charges it for requests."""

from ...state.tickets import Ticket
from .registry import Registry

TEAM_FAIRNESS = Registry(decision="team fairness")

# Prefill processes tokens in bulk: a prompt token takes between a fiftieth and a tenth
# of the engine time of a generated token. The upper end is used because long prompts
# would otherwise be nearly free.
PROMPT_TOKEN_COST = 0.1


@TEAM_FAIRNESS.register("default")
class WeightedTeams:
    """Shares capacity by estimated tokens; earliest deadline first within a team."""

    limits_in_flight = True

    def team_key(self, ticket: Ticket) -> str:
        return ticket.team

    def order_key(self, ticket: Ticket) -> float:
        return ticket.deadline

    def cost(self, prompt_tokens: int, output_tokens: float) -> float:
        return 1.0 + PROMPT_TOKEN_COST * prompt_tokens + output_tokens


@TEAM_FAIRNESS.register("fifo_round_robin", "least_outstanding")
class ArrivalOrder:
    """Serves all teams from one queue in order of arrival, without team limits."""

    limits_in_flight = False

    def team_key(self, ticket: Ticket) -> str:
        return ""

    def order_key(self, ticket: Ticket) -> float:
        return ticket.arrived_at

    def cost(self, prompt_tokens: int, output_tokens: float) -> float:
        return 1.0
