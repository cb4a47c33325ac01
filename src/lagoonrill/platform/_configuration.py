"""Decodes the operator's configuration object into internal types."""

import msgspec

from .._internal.protocol.routing import (
    CallerLimits,
    EngineProfile,
    Route,
    RoutedTeam,
    RouteKind,
    RoutingConfig,
    ScalingProfile,
    Service,
    WeightedService,
)

ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}


class WireBackend(msgspec.Struct, rename="pascal"):
    """A service of a route, with its weight."""

    service: str
    weight: float = 1.0


class WireRoute(msgspec.Struct, rename="pascal"):
    """A route; its services are given by either `service` or `backends`."""

    name: str
    host: str
    path_prefix: str
    # Whether requests may be repeated (a key of `ROUTE_KINDS`), not the protocol.
    type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 5
    service: str = ""
    backends: list[WireBackend] = []
    # The maximum number of endpoints tried, not of sends.
    attempts: int = 1
    allow_anonymous: bool = False
    # Set on routes whose requests contain prompts and are served by engines.
    session_affinity: bool = False
    stream_resume: bool = False
    gap_aim_ms: float = 0.0


class WireEngine(msgspec.Struct, rename="pascal"):
    """Properties of the engines of a service."""

    slots: int = 1
    kv_tokens: int = 0
    # Output tokens per event.
    stride: int = 1
    # Bytes of KV cache per token.
    kv_bytes: int = 0
    link_mbps: float = 0.0


class WireAutoscale(msgspec.Struct, rename="pascal"):
    """Limits and prices for the number of endpoints in each zone."""

    max_replicas: int
    min_replicas: int = 1
    startup_s: float = 0.0
    # Fraction of the zone's price.
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class WireService(msgspec.Struct, rename="pascal"):
    """A service; `engine` is set if model engines serve it."""

    name: str
    health_path: str = ""
    max_conns: int = 0
    engine: WireEngine | None = None
    autoscale: WireAutoscale | None = None


class WireLimits(msgspec.Struct, rename="pascal"):
    """Limits on the requests and connections of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class WireTenant(msgspec.Struct, rename="pascal"):
    """A team and its API keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class WireConfiguration(msgspec.Struct, rename="pascal"):
    """The complete configuration object."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None


def decode_configuration(spec: object) -> RoutingConfig:
    """Returns the routing configuration; raises `ValueError` if it is invalid."""
    wire = msgspec.convert(spec, WireConfiguration, strict=False)
    return RoutingConfig(
        version=wire.version,
        routes=tuple(_route(route) for route in wire.routes),
        services={service.name: _service(service) for service in wire.services},
        limits=CallerLimits(
            max_header_bytes=wire.limits.max_header_bytes,
            max_body_bytes=wire.limits.max_body_bytes,
            header_timeout_s=wire.limits.header_timeout_ms / 1000,
            idle_timeout_s=wire.limits.idle_timeout_ms / 1000,
        ),
        teams=_teams(wire.tenants),
    )


def _route(wire: WireRoute) -> Route:
    kind = ROUTE_KINDS.get(wire.type)
    if kind is None:
        raise ValueError(f"route {wire.name}: unknown type {wire.type!r}")
    services = tuple(
        WeightedService(service=item.service, weight=item.weight)
        for item in wire.backends
    )
    if not services and not wire.service:
        raise ValueError(f"route {wire.name} names no service")
    return Route(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        kind=kind,
        services=services or (WeightedService(service=wire.service),),
        timeout_s=wire.timeout_ms / 1000,
        goal_s=wire.target_latency_ms / 1000,
        pause_goal_s=wire.gap_aim_ms / 1000,
        priority=wire.priority,
        max_endpoints=max(1, wire.attempts),
        anonymous=wire.allow_anonymous,
        uses_engine=wire.session_affinity and kind is RouteKind.STREAM,
        resumable=wire.stream_resume,
    )


def _service(wire: WireService) -> Service:
    engine = wire.engine and EngineProfile(
        slots=wire.engine.slots,
        cache_tokens=wire.engine.kv_tokens,
        tokens_per_event=max(1, wire.engine.stride),
        token_bytes=wire.engine.kv_bytes,
        link_bytes_per_s=wire.engine.link_mbps * 1e6 / 8,
    )
    return Service(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        engine=engine,
        scaling=wire.autoscale and _scaling(wire.autoscale),
    )


def _scaling(wire: WireAutoscale) -> ScalingProfile:
    least = max(0, wire.min_replicas)
    return ScalingProfile(
        min_endpoints=least,
        max_endpoints=max(least, wire.max_replicas),
        startup_s=max(0.0, wire.startup_s),
        spot_price=max(0.0, wire.spot_price),
        zone_prices=wire.zone_prices,
    )


def _teams(tenants: list[WireTenant] | None) -> dict[str, RoutedTeam] | None:
    if tenants is None:
        return None
    return {
        key: RoutedTeam(name=tenant.name, priority=tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }
