"""Review of a routing configuration before it is sent."""

from .gateway_settings import GatewaySettings
from .review import Review
from .routing import Route, RoutingConfig

# Characters that end the path of a request, so that no prefix can contain them.
PATH_ENDS = "?#"


def review_routing(
    config: RoutingConfig, settings: GatewaySettings | None = None
) -> Review:
    """Returns routes that never match, and limits that contradict each other.

    Limits of the instances are compared only if their settings are given.
    """
    review = Review()
    _review_matching(config, review)
    _review_services(config, review)
    _review_teams(config, review)
    for index, route in enumerate(config.routes):
        _review_route_limits(f"routes[{index}]", route, review)
    _review_limits(config, review)
    if settings is not None:
        _review_settings(config, settings, review)
    return review


def _review_matching(config: RoutingConfig, review: Review) -> None:
    """Finds routes that no request reaches.

    Of the routes of a host, the one with the longest prefix of the path is used, so a
    prefix that begins with the prefix of another route hides nothing.
    """
    by_place: dict[tuple[str, str], int] = {}
    by_name: dict[str, int] = {}
    for index, route in enumerate(config.routes):
        prefix = route.path_prefix
        is_directory = prefix.startswith("/") and prefix.endswith("/")
        if not is_directory or any(mark in prefix for mark in PATH_ENDS):
            review.add_error(
                f"routes[{index}].path_prefix",
                f"route {route.name!r} has the prefix {prefix!r}, which never matches",
                "Give a path that begins and ends with '/'",
            )
        if not route.host:
            review.add_error(
                f"routes[{index}].host",
                f"route {route.name!r} has no host and never matches",
                "Give the host of its requests",
            )
        place = (route.host.lower(), prefix)
        first = by_place.setdefault(place, index)
        if first != index:
            review.add_error(
                f"routes[{index}].path_prefix",
                f"route {route.name!r} hides routes[{first}] "
                f"({config.routes[first].name!r}) with the same host and prefix "
                f"{route.host}{prefix}",
                "Remove one of them or change its prefix",
            )
        first = by_name.setdefault(route.name, index)
        if first != index:
            review.add_warning(
                f"routes[{index}].name",
                f"the same name as routes[{first}] ({route.name!r}); logs and metrics "
                "do not tell them apart",
                "Give each route its own name",
            )


def _review_services(config: RoutingConfig, review: Review) -> None:
    named = set()
    for index, route in enumerate(config.routes):
        key = f"routes[{index}].services"
        for item in route.services:
            named.add(item.service)
            if item.service not in config.services:
                review.add_warning(
                    key,
                    f"route {route.name!r} names the service {item.service!r}, which "
                    "is not declared",
                    "Declare the service or use a declared one",
                )
            if item.weight <= 0:
                review.add_error(
                    key,
                    f"route {route.name!r} gives the service {item.service!r} the "
                    f"weight {item.weight:g}, so that it gets no requests",
                    "Give a weight above 0 or remove the service from the route",
                )
    for index, (name, service) in enumerate(config.services.items()):
        if name not in named:
            review.add_warning(
                f"services[{index}]",
                f"no route names the service {name!r}, so it gets no requests",
                "Name it in a route or remove it",
            )
        if service.engine is not None and service.engine.slots < 1:
            review.add_error(
                f"services[{index}].engine.slots",
                f"the engines of {name!r} have {service.engine.slots} slots",
                "Give at least 1",
            )


def _review_teams(config: RoutingConfig, review: Review) -> None:
    if config.teams is None or config.teams:
        return
    closed = [route.name for route in config.routes if not route.anonymous]
    if closed:
        review.add_error(
            "teams",
            "no team has a key, so all requests of these routes are refused: "
            f"{', '.join(closed)}",
            "Give a team a key, or omit the teams to serve callers without keys",
        )


def _review_route_limits(key: str, route: Route, review: Review) -> None:
    if route.timeout_s <= 0:
        review.add_error(
            f"{key}.timeout_s",
            f"route {route.name!r} has a time limit of {route.timeout_s:g} s",
            "Give a time limit above 0",
        )
    elif route.goal_s > route.timeout_s:
        review.add_error(
            f"{key}.goal_s",
            f"route {route.name!r} has a goal of {route.goal_s:g} s, above its time "
            f"limit of {route.timeout_s:g} s",
            "Lower the goal or raise the time limit",
        )
    if route.pause_goal_s > route.goal_s > 0:
        review.add_error(
            f"{key}.pause_goal_s",
            f"route {route.name!r} has a pause goal of {route.pause_goal_s:g} s, above "
            f"its goal of {route.goal_s:g} s",
            "Lower the pause goal or raise the goal",
        )


def _review_limits(config: RoutingConfig, review: Review) -> None:
    limits = config.limits
    for name in ("max_header_bytes", "header_timeout_s", "idle_timeout_s"):
        if getattr(limits, name) <= 0:
            review.add_error(
                f"limits.{name}",
                f"{getattr(limits, name):g}, so all requests are refused",
                "Give a limit above 0",
            )
    if limits.max_body_bytes < 0:
        review.add_error(
            "limits.max_body_bytes",
            f"{limits.max_body_bytes}, so all requests are refused",
            "Give at least 0",
        )


def _review_settings(
    config: RoutingConfig, settings: GatewaySettings, review: Review
) -> None:
    memory_bytes = settings.memory_mb * 2**20
    if config.limits.max_body_bytes > memory_bytes:
        review.add_error(
            "limits.max_body_bytes",
            f"{config.limits.max_body_bytes}, above the memory of an instance "
            f"({memory_bytes} bytes)",
            "Lower the limit or give the instances more memory",
        )
    bounds = settings.bounds
    # The largest number of retries that the budget has for one request without others.
    retries = int(bounds.retry_ratio + bounds.retry_fixed)
    for index, route in enumerate(config.routes):
        if route.max_endpoints - 1 > retries:
            review.add_error(
                f"routes[{index}].max_endpoints",
                f"route {route.name!r} allows {route.max_endpoints} endpoints for a "
                f"request, but the retry budget has at most {retries} retries",
                f"Allow at most {retries + 1} or raise the retry budget",
            )
