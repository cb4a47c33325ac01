"""Engines of a service for placement decisions, and running means of its routes."""

from typing import Protocol

from ..protocol.messages import PromptReply, PromptRequest
from ..protocol.routing import EndpointRecord
from .policy.engine_placement import interactive_order

# A zone with fewer engines than this uses the engines of all zones.
MIN_ZONE_ENGINES = 4
# Decay factor per second of the smoothed number of streams.
STREAMS_DECAY_PER_S = 0.8
# Assumed run time of the requests of a route until the first one has ended.
FIRST_RUN_S = 1.0


class PeerInfo(Protocol):
    """Peer information that admission control needs."""

    def members(self) -> list[str]: ...

    def is_zone_local(self) -> bool: ...

    def most_stream_engines(self, service: str, *, far: bool = False) -> int: ...

    def ask_owner(self, zone: str, request: PromptRequest) -> PromptReply | None: ...


class NoPeers:
    """Peer information of an instance without peers."""

    def __init__(self, *, instance: str):
        self.instance = instance

    def members(self) -> list[str]:
        return [self.instance]

    def is_zone_local(self) -> bool:
        return False

    def most_stream_engines(self, service: str, *, far: bool = False) -> int:
        return 0

    def ask_owner(self, zone: str, request: PromptRequest) -> PromptReply | None:
        return None


class Fleet:
    """Engines of a service, in the order in which they are reserved for streams.

    In a large fleet these are the engines of the local `zone`, whose load updates
    arrive early; `far` holds the engines of the other zones.
    """

    __slots__ = (
        "by_version",
        "edition",
        "far",
        "members",
        "ordered",
        "owned",
        "records",
        "stream_engines",
        "streams",
        "streams_at",
    )

    def __init__(
        self,
        *,
        records: tuple[EndpointRecord, ...],
        edition: tuple[int, str | None],
        zone: str | None = None,
    ):
        self.records = {record.id: record for record in records}
        near = [record for record in records if zone in (None, record.zone)]
        if len(near) < MIN_ZONE_ENGINES:
            near = list(records)
        self.ordered = interactive_order(near)
        # Engines of the other zones, each zone in the order that its instances use.
        self.far: list[list[str]] = []
        for other in sorted({record.zone for record in records}):
            found = [record for record in records if record.zone == other]
            if other != zone and len(near) < len(records):
                self.far.append(interactive_order(found))
        self.edition = edition
        self.by_version: dict[str, frozenset[str]] = {}
        self.members: list[str] = []
        self.owned: frozenset[str] = frozenset()
        self.streams = 0.0
        self.streams_at = 0.0
        # Number of engines, in this order, that this instance reserves for streams.
        self.stream_engines = 0

    def of_version(self, version: str) -> frozenset[str]:
        """Returns the engines of a software version, of all zones."""
        if version not in self.by_version:
            self.by_version[version] = frozenset(
                name
                for name, record in self.records.items()
                if record.version == version
            )
        return self.by_version[version]

    def smoothed_streams(self, streams: int, now: float) -> int:
        """Returns the number of streams, which rises immediately but decays slowly.

        An engine that switched between streams and long prompts with every stream would
        serve neither well.
        """
        fallen = self.streams * STREAMS_DECAY_PER_S ** (now - self.streams_at)
        self.streams, self.streams_at = max(float(streams), fallen), now
        return round(self.streams)


class RouteMeans:
    """Running means over the requests of a route."""

    __slots__ = ("prompt_tokens", "run_s", "token_s", "unread_tokens")

    def __init__(self):
        self.prompt_tokens = 0.0
        self.unread_tokens = 0.0
        self.run_s = FIRST_RUN_S
        # Time per token of an answer; 0 before the first sample.
        self.token_s = 0.0

    def output_s(self, tokens: int) -> float:
        """Returns the expected time for an answer of `tokens` tokens."""
        if tokens and self.token_s:
            return tokens * self.token_s
        return self.run_s
