"""Types of the routing configuration: routes, services, teams and limits.

A configuration is immutable. A request uses the configuration that was in force when
its headers were received, even if another is installed later.
"""

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """Whether requests of a route may be retried.

    A `SAFE` request may run more than once. An `UNSAFE` request runs at most once. A
    `STREAM` request is answered with server-sent events and is unsafe unless the route
    is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService(msgspec.Struct, kw_only=True, frozen=True):
    """A service that takes a share of a route's requests; weights are relative."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """One route; `path_prefix` begins and ends with a slash."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    # Maximum time for which a request of this route may wait.
    timeout_s: float
    # Target time to the response, or to the first event of a stream.
    goal_s: float
    # Target for the longest pause between events of a stream.
    pause_goal_s: float = 0.0
    # 0 is the highest priority.
    priority: int = 5
    # Maximum number of endpoints to which one attempt of a caller may be sent.
    max_endpoints: int = 1
    anonymous: bool = False
    uses_engine: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may already have run may be retried."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class EngineProfile(msgspec.Struct, kw_only=True, frozen=True):
    """Properties of the model engines of a service."""

    slots: int
    cache_tokens: int
    # Output tokens in one event of a stream.
    tokens_per_event: int = 1
    # Cache memory per token, and bandwidth of the link over which engines copy cached
    # prompts from each other; 0 if they cannot.
    token_bytes: int = 0
    link_bytes_per_s: float = 0.0


class ScalingProfile(msgspec.Struct, kw_only=True, frozen=True):
    """Limits and prices for the number of endpoints of a service.

    The limits hold for each zone and for both kinds of endpoints together.
    """

    min_endpoints: int
    max_endpoints: int
    # Time from an order until the new endpoints serve.
    startup_s: float
    # Price of a spot endpoint as a fraction of the zone's price.
    spot_price: float
    # Price per second of an ordinary endpoint in each zone.
    zone_prices: dict[str, float]


class Service(msgspec.Struct, kw_only=True, frozen=True):
    """A service; `max_connections` bounds the connections of all callers together."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None
    # None if the number of endpoints is not changed by orders.
    scaling: ScalingProfile | None = None


class CallerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Size limits and timeouts for callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutedTeam(msgspec.Struct, kw_only=True, frozen=True):
    """A team; requests are ordered by its priority, then by that of the route."""

    name: str
    priority: int | None = None


class RoutingConfig(msgspec.Struct, kw_only=True, frozen=True):
    """A complete configuration; `teams` is None if callers need no key."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()
    teams: dict[str, RoutedTeam] | None = None


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """A point in the history of the store.

    Revisions are ordered within an era only. A store that comes back from an older copy
    begins a new era and gives out revisions again. The era is 0 if the store names
    none.

    >>> StorePosition(1, 28) < StorePosition(2, 18) < StorePosition(2, 19)
    True
    """

    era: int = 0
    revision: int = 0


class EndpointRecord(msgspec.Struct, kw_only=True, frozen=True):
    """One endpoint found by endpoint discovery.

    `incarnation` changes when the endpoint restarts with the same id and loses its
    in-memory state.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    incarnation: int = 0
    # Remaining time for which the endpoint is slow after its start.
    cold_s: float = 0.0
    # Version of its software; versions have no order. Empty if it names none.
    version: str = ""
    # Whether the endpoint is cheaper and may be withdrawn with a notice.
    spot: bool = False
    # Time until the endpoint is withdrawn, as its entry said; None without a notice.
    leaves_s: float | None = None


class PromptPart(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """One part of a prompt that requests can share; parts are in prompt order."""

    id: str
    tokens: int
