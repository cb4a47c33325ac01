"""Differences between two versions of the routing configuration.

Load pattern: versions follow each other within a second while the configuration has
thousands of routes. Over a link of 10 Mbit/s each version takes a quarter of a second
or more, so an instance falls behind by several versions. A change of a few routes or
keys takes some hundred bytes.
"""

import msgspec

from .routing import CallerLimits, Route, RoutedTeam, RoutingConfig, Service

# A change with more entries is not kept; the whole configuration is sent instead.
MAX_CHANGED_ENTRIES = 100


class ConfigChange(msgspec.Struct, kw_only=True, frozen=True):
    """What turns the configuration of `base_version` into that of `version`.

    `teams` and `removed_keys` refer to API keys. `limits` is None if unchanged.
    """

    base_version: int
    version: int
    # Routes that are new or changed, and the names of removed ones.
    routes: tuple[Route, ...] = ()
    removed_routes: tuple[str, ...] = ()
    services: dict[str, Service] = {}
    removed_services: tuple[str, ...] = ()
    teams: dict[str, RoutedTeam] = {}
    removed_keys: tuple[str, ...] = ()
    limits: CallerLimits | None = None


def difference(before: RoutingConfig, after: RoutingConfig) -> ConfigChange | None:
    """Returns the change between two versions.

    Returns None if it is large, or if it cannot be expressed: names of routes that are
    not unique, or keys that are required in one version only.
    """
    old_routes = {route.name: route for route in before.routes}
    new_routes = {route.name: route for route in after.routes}
    is_unique = len(old_routes) == len(before.routes)
    is_unique = is_unique and len(new_routes) == len(after.routes)
    if not is_unique or (before.teams is None) != (after.teams is None):
        return None
    routes, removed_routes = _changed(old_routes, new_routes)
    services, removed_services = _changed(before.services, after.services)
    teams, removed_keys = _changed(before.teams or {}, after.teams or {})
    parts = (routes, removed_routes, services, removed_services, teams, removed_keys)
    if sum(map(len, parts)) > MAX_CHANGED_ENTRIES:
        return None
    return ConfigChange(
        base_version=before.version,
        version=after.version,
        routes=tuple(routes.values()),
        removed_routes=removed_routes,
        services=services,
        removed_services=removed_services,
        teams=teams,
        removed_keys=removed_keys,
        limits=None if before.limits == after.limits else after.limits,
    )


def apply_change(config: RoutingConfig, change: ConfigChange) -> RoutingConfig:
    """Returns the configuration after a change; raises `ValueError` for another base.

    >>> first = RoutingConfig(
    ...     version=1, routes=(), services={}, teams={"k1": RoutedTeam(name="a")}
    ... )
    >>> second = msgspec.structs.replace(first, version=2, teams={})
    >>> change = difference(first, second)
    >>> change.removed_keys
    ('k1',)
    >>> apply_change(first, change) == second
    True
    """
    if config.version != change.base_version:
        raise ValueError(
            f"the change is based on version {change.base_version}, not on version "
            f"{config.version}"
        )
    routes = {route.name: route for route in config.routes}
    _update(routes, {item.name: item for item in change.routes}, change.removed_routes)
    services = dict(config.services)
    _update(services, change.services, change.removed_services)
    teams = config.teams
    if teams is not None:
        teams = dict(teams)
        _update(teams, change.teams, change.removed_keys)
    return msgspec.structs.replace(
        config,
        version=change.version,
        routes=tuple(routes.values()),
        services=services,
        teams=teams,
        limits=config.limits if change.limits is None else change.limits,
    )


def _changed(old: dict, new: dict) -> tuple[dict, tuple[str, ...]]:
    """Returns the entries that are new or changed, and the names of removed ones."""
    changed = {name: item for name, item in new.items() if old.get(name) != item}
    return changed, tuple(name for name in old if name not in new)


def _update(entries: dict, changed: dict, removed: tuple[str, ...]) -> None:
    entries.update(changed)
    for name in removed:
        entries.pop(name, None)
