"""The active routing configuration and the lookup of routes and teams."""

import threading
import time
import zlib
from collections import deque
from collections.abc import Callable

from ..protocol.config_changes import ConfigChange, difference
from ..protocol.routing import Route, RoutedTeam, RoutingConfig

# Engines accept the ranks 0 to 9.
LAST_RANK = 9
# Changes kept for peers that are some versions behind.
MAX_KEPT_CHANGES = 16


class RouteTable:
    """Immutable index over one routing configuration."""

    __slots__ = ("by_host", "config", "installed_at", "ranks")

    def __init__(self, *, config: RoutingConfig):
        self.config = config
        self.installed_at = time.monotonic()
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            prefixes = self.by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self.ranks = engine_ranks(config)

    def rank(self, route: Route, team: RoutedTeam | None) -> int:
        """Returns the engine rank of a request, from 0 (most urgent) to 9."""
        key = (team_priority(team), route.priority)
        return self.ranks.get(key, LAST_RANK)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of `host` with the longest prefix of `path`.

        The cost grows with the depth of the path, not with the number of routes.
        """
        prefixes = self.by_host.get(host.lower())
        if prefixes is None:
            prefixes = self.by_host.get(host.lower().rpartition(":")[0])
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def team(self, key: str) -> RoutedTeam | None:
        """Returns the team that holds a key."""
        return (self.config.teams or {}).get(key)


def team_priority(team: RoutedTeam | None) -> int:
    """Returns a team's priority, or 0 (most urgent) if it has none."""
    return 0 if team is None or team.priority is None else team.priority


def engine_ranks(config: RoutingConfig) -> dict[tuple[int, int], int]:
    """Maps pairs of team and route priority to engine ranks.

    Pairs are ordered by team priority, then by route priority. Engines have ten ranks,
    so further pairs share the last rank.
    """
    routes = {route.priority for route in config.routes if route.uses_engine}
    teams = {team_priority(team) for team in (config.teams or {}).values()} | {0}
    pairs = sorted((team, route) for team in teams for route in routes)
    return {pair: min(rank, LAST_RANK) for rank, pair in enumerate(pairs)}


def choose_service(route: Route, request_id: str) -> str:
    """Returns the service for a request, which depends only on the request's id."""
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(item.weight for item in route.services)
    point = zlib.crc32(request_id.encode()) / 2**32 * total
    for item in route.services:
        point -= item.weight
        if point < 0:
            return item.service
    return route.services[-1].service


class RoutingState:
    """Holds the newest configuration and rejects older versions."""

    def __init__(self):
        self.lock = threading.Lock()
        self.table: RouteTable | None = None
        self.subscribers: list[Callable[[RoutingConfig], None]] = []
        # The latest changes without a gap; each is based on the version before it.
        self.changes: deque[ConfigChange] = deque(maxlen=MAX_KEPT_CHANGES)

    @property
    def version(self) -> int:
        """The active version, or 0 before the first one."""
        return self.table.config.version if self.table else 0

    def install(self, config: RoutingConfig) -> bool:
        """Activates a configuration; returns False if it is not newer."""
        with self.lock:
            if config.version <= self.version:
                return False
            self._keep_change(config)
            self.table = RouteTable(config=config)
        for subscriber in self.subscribers:
            subscriber(config)
        return True

    def _keep_change(self, config: RoutingConfig) -> None:
        change = difference(self.table.config, config) if self.table else None
        if change is None:
            self.changes.clear()
        else:
            self.changes.append(change)

    def changes_since(self, version: int) -> list[ConfigChange]:
        """Returns the changes from a version to the active one.

        The list is empty if they are not known without a gap.
        """
        with self.lock:
            changes = list(self.changes)
        for index, change in enumerate(changes):
            if change.base_version == version:
                return changes[index:]
        return []
