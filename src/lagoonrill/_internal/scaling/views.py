"""What the scaling policy decides on, and the orders that it decides."""

import msgspec

from ..protocol.routing import ScalingProfile


class ZoneView(msgspec.Struct, kw_only=True, frozen=True):
    """Endpoints of a service in one zone."""

    # Endpoints that take new requests.
    ordinary: int = 0
    spot: int = 0
    # Those among them that are slow because they have just started.
    cold: int = 0
    # Endpoints that finish their requests.
    leaving: int = 0
    # Spot endpoints that are leaving because their capacity is withdrawn.
    withdrawn: int = 0

    @property
    def serving(self) -> int:
        return self.ordinary + self.spot


class ServiceView(msgspec.Struct, kw_only=True):
    """Load and endpoints of a service in the whole fleet."""

    service: str
    profile: ScalingProfile
    zones: dict[str, ZoneView] = {}
    # Slots of one endpoint.
    slots: float = 1.0
    # Requests that run or wait.
    requests: float = 0.0
    waiting: int = 0
    waiting_tokens: float = 0.0
    requests_per_s: float = 0.0
    # Prompt tokens per second that engines have to read, also for refused requests.
    tokens_per_s: float = 0.0
    # Prompt tokens per second that one engine reads; 0 if that is not known.
    prefill_rate: float = 0.0
    goal_s: float = 0.0


class DemandView(msgspec.Struct, kw_only=True):
    """All services whose endpoints are ordered."""

    services: list[ServiceView] = []


class Order(msgspec.Struct, kw_only=True, frozen=True):
    """The number of endpoints of one kind that should exist, with the reasons."""

    service: str
    zone: str
    spot: bool
    count: int
    # Number before; None if there was no order yet.
    before: int | None
    reason: str
    need: float
    required: int
    wanted: int
    ready: int
    waiting: int
    # Load relative to all ready endpoints.
    utilisation: float

    @property
    def kind(self) -> str:
        return "spot" if self.spot else "ordinary"

    @property
    def grows(self) -> bool:
        return self.before is None or self.count > self.before
