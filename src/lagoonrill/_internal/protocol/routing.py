"""Types of the routing configuration: routes, services, teams and limits.

A configuration is immutable. A request keeps the configuration that was in force when
its head had arrived, whatever is installed later.
"""

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """What may be repeated on a route.

    A `SAFE` request may run more than once. An `UNSAFE` request runs at most once. A
    `STREAM` is answered by events and counts as unsafe unless the route can resume it.
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
    # The longest time that a request of this route may be kept waiting.
    timeout_s: float
    # Time to the answer, for a stream to its first event, that counts as on time.
    goal_s: float
    # Longest pause between the events of a stream that counts as on time.
    pause_goal_s: float = 0.0
    # Rank; 0 is the most urgent.
    priority: int = 5
    # The most endpoints that one attempt of a caller may be sent to.
    max_endpoints: int = 1
    anonymous: bool = False
    uses_engine: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class EngineProfile(msgspec.Struct, kw_only=True, frozen=True):
    """What is known of a service's model engines."""

    slots: int
    cache_tokens: int
    # Output tokens in one event of a stream.
    tokens_per_event: int = 1
    # Memory of one token, and the link over which engines copy it from each other;
    # 0 where they cannot.
    token_bytes: int = 0
    link_bytes_per_s: float = 0.0


class Service(msgspec.Struct, kw_only=True, frozen=True):
    """A service; `max_connections` bounds the connections of all callers together."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None


class CallerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutedTeam(msgspec.Struct, kw_only=True, frozen=True):
    """A team; its priority is compared first, that of the route among equals."""

    name: str
    priority: int | None = None


class RoutingConfig(msgspec.Struct, kw_only=True, frozen=True):
    """A whole configuration; `teams` is None where callers need no key."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()
    teams: dict[str, RoutedTeam] | None = None


class EndpointRecord(msgspec.Struct, kw_only=True, frozen=True):
    """One endpoint as discovery describes it.

    `incarnation` changes when the endpoint starts again under the same id; whatever it
    held in memory before is gone then.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    incarnation: int = 0
    # How much longer the endpoint stays slow after its start.
    cold_s: float = 0.0


class PromptPart(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """One part of a prompt that requests may share; parts are in prompt order."""

    id: str
    tokens: int
