"""Slots in use and limits, by endpoint and by team; guarded by the scheduler's lock."""

from ..protocol.manifest import Team
from .endpoint_table import EndpointView
from .tickets import SlotGrant


class SlotLedger:
    """Counts the slots that this instance uses by endpoint and by team."""

    def __init__(self, *, limits_teams: bool):
        self.limits_teams = limits_teams
        self.teams: dict[str, Team] = {}
        self.limits: dict[str, int] = {}
        self.in_use: dict[str, int] = {}
        self.team_in_use: dict[str, int] = {}

    def views_with_free_slots(self, views: list[EndpointView]) -> list[EndpointView]:
        return [view for view in views if self.free_slots(view.endpoint.id) > 0]

    def free_slots(self, endpoint_id: str) -> int:
        used = self.in_use.get(endpoint_id, 0)
        return max(0, self.limits.get(endpoint_id, 0) - used)

    def add_use(self, grant: SlotGrant, change: int) -> None:
        endpoint_id = grant.endpoint.id
        self.in_use[endpoint_id] = self.in_use.get(endpoint_id, 0) + change
        team = grant.ticket.team
        self.team_in_use[team] = self.team_in_use.get(team, 0) + change
        if not self.team_in_use[team]:
            del self.team_in_use[team]

    def is_team_at_limit(self, team_name: str) -> bool:
        team = self.teams.get(team_name)
        if team is None or not self.limits_teams:
            return False
        return self.team_in_use.get(team_name, 0) >= team.max_in_flight
