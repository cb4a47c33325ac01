"""The engines of a service as a placement sees them, and the means of its routes."""

from typing import Protocol

from ..protocol.messages import PromptReply, PromptRequest
from ..protocol.routing import EndpointRecord
from .policy.engine_placement import interactive_order

# A zone with fewer engines than this shares those of all zones.
MIN_ZONE_ENGINES = 4
# Share of the number of streams that is left after a second without them.
STREAMS_DECAY_PER_S = 0.8
# Run time of a route's requests before the first has ended.
FIRST_RUN_S = 1.0


class FleetNews(Protocol):
    """What an admission asks of the exchange with the peers."""

    def members(self) -> list[str]: ...

    def is_split(self) -> bool: ...

    def most_stream_engines(self, service: str, *, far: bool = False) -> int: ...

    def ask_owner(self, zone: str, request: PromptRequest) -> PromptReply | None: ...


class NoPeers:
    """The exchange of an instance that is alone."""

    def __init__(self, *, instance: str):
        self.instance = instance

    def members(self) -> list[str]:
        return [self.instance]

    def is_split(self) -> bool:
        return False

    def most_stream_engines(self, service: str, *, far: bool = False) -> int:
        return 0

    def ask_owner(self, zone: str, request: PromptRequest) -> PromptReply | None:
        return None


class Fleet:
    """The engines of a service, in the order in which they take streams.

    In a large fleet these are the engines of the own `zone`, since the news of their
    work come early; `far` holds the others.
    """

    __slots__ = (
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
        # Other zones' engines, each zone in the order of its own instances.
        self.far: list[list[str]] = []
        for other in sorted({record.zone for record in records}):
            found = [record for record in records if record.zone == other]
            if other != zone and len(near) < len(records):
                self.far.append(interactive_order(found))
        self.edition = edition
        self.members: list[str] = []
        self.owned: frozenset[str] = frozenset()
        self.streams = 0.0
        self.streams_at = 0.0
        # How many engines, from the first on, this instance keeps for streams.
        self.stream_engines = 0

    def smoothed_streams(self, streams: int, now: float) -> int:
        """Returns the number of streams; it follows a rise at once, a fall slowly.

        An engine that changes its kind with each stream would serve neither kind well.
        """
        fallen = self.streams * STREAMS_DECAY_PER_S ** (now - self.streams_at)
        self.streams, self.streams_at = max(float(streams), fallen), now
        return round(self.streams)


class RouteMeans:
    """Running means of a route's requests."""

    __slots__ = ("prompt_tokens", "run_s", "token_s", "unread_tokens")

    def __init__(self):
        self.prompt_tokens = 0.0
        self.unread_tokens = 0.0
        self.run_s = FIRST_RUN_S
        # Time for one token of an answer; 0 before the first is known.
        self.token_s = 0.0

    def output_s(self, tokens: int) -> float:
        """Returns how long an answer of so many tokens probably takes."""
        if tokens and self.token_s:
            return tokens * self.token_s
        return self.run_s
