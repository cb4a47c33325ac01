"""Messages between daemons, encoded as MessagePack and tagged by type."""

import enum

import msgspec

from .codec import from_msgpack, to_msgpack
from .config_changes import ConfigChange
from .objects import ConfigRecord
from .routing import EndpointRecord, PromptPart, RoutingConfig, StorePosition


class PeerMessage(msgspec.Struct, kw_only=True, tag=True):
    """Base of all messages between daemons."""


class EndpointUse(msgspec.Struct, kw_only=True, array_like=True):
    """Number of slots that the sender uses on an endpoint and of requests it queues."""

    endpoint: str
    in_use: int
    waiting: int


class EndpointLoad(msgspec.Struct, kw_only=True, array_like=True):
    """A load report that the sender polled or received from a peer, with its age."""

    endpoint: str
    running: int
    waiting: int
    slots: int
    age_ms: int
    leaving: bool = False


class NoticeKind(enum.StrEnum):
    """Kind of event that a notice reports about its subject."""

    ENDPOINT_LEAVING = "el"
    ENDPOINT_DOWN = "ed"
    INSTANCE_GONE = "ig"


class Notice(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """An observation that peers forward to each other until it expires.

    `age_ms` is the time since the original observer last confirmed it. Each hop adds
    the time for which it held the notice, so unconfirmed notices expire.
    """

    kind: NoticeKind
    subject: str
    age_ms: int


class Heartbeat(PeerMessage, omit_defaults=True):
    """State of the sender, sent to all linked peers at the heartbeat interval.

    With `uses_partial`, `uses` is an incremental update that contains only some of the
    endpoints; an endpoint that is no longer used is listed with zeros.
    """

    instance: str
    zone: str
    incarnation: int
    sequence: int
    generation: int
    leaving: bool = False
    peer_address: str = ""
    uses: list[EndpointUse] = []
    uses_partial: bool = False
    leaving_endpoints: list[str] = []
    notices: list[Notice] = []
    loads: list[EndpointLoad] = []


class GenerationRequest(PeerMessage):
    """Requests the committed manifest if the peer has a newer one."""

    newer_than: int


class GenerationReply(PeerMessage):
    """The committed manifest in force at the sender, if newer than requested."""

    record: ConfigRecord | None


class ClaimRequest(PeerMessage):
    """Asks a peer with access to the store to append a claim for the sender.

    `body_digest` is hexadecimal. `deadline_s` is the remaining time rather than a point
    in time, because the clocks of two processes differ.
    """

    team: str
    key: str
    body_digest: str
    attempt_id: str
    deadline_s: float


class ClaimReply(PeerMessage):
    """Result of a `ClaimRequest`; `kind` is `granted` or the kind of `ClaimError`."""

    kind: str
    detail: str = ""
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""


class StreamAnnounce(PeerMessage):
    """Informs a stream's home instance where the stream runs, or that it ended.

    Engines identify a stream by its id and `attempt`. An ended stream without an
    endpoint cannot be resumed and is removed.
    """

    stream_id: str
    endpoint: str
    attempt: int = 0
    ended: bool = False


class StreamLocate(PeerMessage):
    """Asks a stream's home instance on which endpoint the stream runs."""

    stream_id: str


class StreamLocation(PeerMessage):
    """Reply to `StreamLocate`; `endpoint` is empty if none is known."""

    stream_id: str
    endpoint: str
    attempt: int = 0


class Leaving(PeerMessage):
    """The sender is shutting down and accepts no more requests."""

    instance: str
    incarnation: int = 0


class EngineWork(msgspec.Struct, kw_only=True, array_like=True):
    """Outstanding work on one engine, as known to the sender."""

    engine: str
    # Prompt tokens of requests that have not received an event yet.
    pending_tokens: int = 0
    # Running requests with short (`light`) and long (`heavy`) prompts.
    light: int = 0
    heavy: int = 0
    # Pending prompt tokens by rank, for all ranks that the sender knows.
    pending_by_rank: dict[int, int] = {}

    def pending_ahead(self, rank: int) -> int:
        """Returns the pending tokens that an engine takes before a prompt of a rank.

        Tokens without a known rank count as ahead.

        >>> by_rank = {0: 2, 3: 6}
        >>> work = EngineWork(engine="e", pending_tokens=9, pending_by_rank=by_rank)
        >>> work.pending_ahead(0), work.pending_ahead(3)
        (3, 9)
        """
        later = sum(
            tokens for other, tokens in self.pending_by_rank.items() if other > rank
        )
        return max(0, self.pending_tokens - later)


class EndpointCalls(msgspec.Struct, kw_only=True, array_like=True):
    """Decaying counts of the sender's calls to one incarnation of an endpoint."""

    endpoint: str
    incarnation: int
    calls: float
    failures: float


class ServiceDemand(msgspec.Struct, kw_only=True, array_like=True):
    """Requests of the sender's callers for a service whose endpoints are ordered.

    The counts of arrivals only grow while the sender runs.
    """

    service: str
    arrived: int
    # Prompt tokens that engines have to read for the requests that arrived.
    arrived_tokens: int
    # Requests that wait for an engine, and their tokens.
    waiting: int
    waiting_tokens: int
    # Calls to plain endpoints that have not been answered.
    outstanding: int


class SpeedSample(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """Time to one first event of an engine, compared with the sender's other engines.

    Both numbers are natural logarithms in hundredths: how much longer it took than
    expected, and the standard deviation of such samples.
    """

    engine: str
    slowness_pct: int
    noise_pct: int


class GatewayDigest(PeerMessage, omit_defaults=True):
    """State of a gateway, sent to its peers after each change.

    `known_addresses` is only sent occasionally; receivers use it to discover peers that
    are not in their settings.
    """

    instance: str
    zone: str
    address: str
    # Random per process.
    process: str = ""
    config_version: int = 0
    # Era and revision of the store up to which the sender knows the endpoints.
    store_era: int = 0
    endpoint_revision: int = 0
    # Checksum of the endpoints in the store at `endpoint_revision`; 0 if unknown.
    endpoint_checksum: int = 0
    store_in_touch: bool = False
    # Age of the evidence that the sender's copies are current; None if it has none.
    config_age_ms: int | None = None
    endpoints_age_ms: int | None = None
    leaving: bool = False
    work: list[EngineWork] = []
    # For each engine, the shared prompt parts that it has processed for the sender
    # since the last digest, in prompt order.
    reads: list[tuple[str, list[PromptPart]]] = []
    # For each service, number of engines that the sender reserves for interactive
    # streams.
    stream_engines: dict[str, int] = {}
    # Samples of the engines' speeds since the last digest, by service; to near peers.
    speeds: dict[str, list[SpeedSample]] = {}
    # Calls to endpoints with recent failures; None if unchanged.
    doubtful: list[EndpointCalls] | None = None
    known_addresses: list[str] = []
    # Only for services whose endpoints are ordered by the load.
    demand: list[ServiceDemand] = []

    @property
    def endpoint_position(self) -> StorePosition:
        return StorePosition(self.store_era, self.endpoint_revision)


# A prompt of this rank waits for all others. Also that of a request without a rank.
LAST_RANK = 9


class PromptRequest(PeerMessage):
    """Asks the owner of an engine whether a long prompt may be sent to it now."""

    instance: str
    engine: str
    # Prompt tokens that the engine would have to process for this prompt.
    tokens: int
    # Maximum total of pending prompt tokens with which the prompt meets its deadline.
    most_tokens: int
    # Maximum number of other long generations on the engine; None for no limit.
    most_heavy: int | None = None
    # Engines take prompts with smaller ranks first.
    rank: int = LAST_RANK


class PromptReply(PeerMessage):
    """Reply to `PromptRequest`; the owner counts a granted prompt immediately."""

    granted: bool
    # Pending prompt tokens that the engine takes before this prompt, and its other
    # long generations.
    pending_tokens: int
    heavy: int


class CrashReport(PeerMessage):
    """A request was on an endpoint when the endpoint crashed."""

    service: str
    endpoint: str
    incarnation: int
    # Fingerprint of the request.
    request: str
    # Whether the endpoint had begun to answer.
    begun: bool
    # Time from the sending of the request to the crash.
    ran_s: float
    # Parts of the prompt that may be the cause.
    suspects: list[str]
    # Time since the crash; 0 in the first report.
    age_s: float = 0.0


class SoundRequest(PeerMessage):
    """An endpoint has answered a request that was on a crashed endpoint before."""

    service: str
    # Fingerprint of the request.
    request: str


class ReportedLimit(msgspec.Struct, kw_only=True, array_like=True):
    """Requests per second that an endpoint named in an answer to an instance.

    `limit` is None if it names none any more. The ages are those of the request and of
    the answer when the message was sent.
    """

    endpoint: str
    incarnation: int
    limit: float | None
    sent_age_s: float
    received_age_s: float


class LimitReport(PeerMessage):
    """Limits that have changed by answers to the sender."""

    instance: str
    limits: list[ReportedLimit]


class LeavingReport(PeerMessage):
    """Endpoints, by id and incarnation, that have announced that they shut down."""

    instance: str
    endpoints: list[tuple[str, int]]


class PermitRequest(PeerMessage):
    """Asks the owner of an endpoint with a limit for permits to send requests."""

    instance: str
    limit: ReportedLimit


class PermitReply(PeerMessage):
    """Reply to `PermitRequest`."""

    # Number of requests that may be sent now.
    granted: int
    # Time after which an instance without permits may ask again.
    pause_s: float
    # The limit as known to the owner, if that differs.
    limit: ReportedLimit | None = None


class BegunStream(msgspec.Struct, kw_only=True, array_like=True):
    """A stream that began at a software version; `key` is the digest of its id."""

    key: str
    service: str
    version: str
    # Time since its begin when the message was sent.
    age_s: float


class StreamsBegun(PeerMessage):
    """Asks a peer to store records, as the store does not answer the sender."""

    instance: str
    streams: list[BegunStream]
    # Without it, receivers of earlier versions keep the records in memory only.
    store: bool = True


class StreamsBegunReply(PeerMessage):
    """Reply to `StreamsBegun`; whether the store has confirmed the records.

    With `in_doubt`, the store may still execute a write of them.
    """

    stored: bool
    in_doubt: bool = False


class StreamsShared(PeerMessage):
    """Records that the receiver keeps and writes again if the store loses them."""

    instance: str
    streams: list[BegunStream]


class StreamOriginRequest(PeerMessage):
    """Asks a peer that reaches the store where a stream began."""

    service: str
    # Digest of the id of its first request; empty if that is not known.
    key: str


class StreamOriginReply(PeerMessage):
    """Reply to `StreamOriginRequest`."""

    # None if it is not known.
    version: str | None
    # Whether the sender knows the stream or the store has just answered it.
    found_out: bool


class KeptStreamRequest(PeerMessage):
    """Asks a peer what it keeps in memory about where a stream began."""

    service: str
    key: str


class KeptStreamReply(PeerMessage):
    """Reply to `KeptStreamRequest`."""

    # None if the sender does not know the stream.
    version: str | None
    # The default version of the service.
    default: str | None
    # Whether it runs since before any copy from which the store may have come back.
    keeps_all: bool
    # Number of instances that may keep records, including the sender.
    instances: int


class WindowUsage(msgspec.Struct, kw_only=True, array_like=True):
    """Requests of each team that an instance has counted in a window so far.

    Without counts, it only names a process that counts.
    """

    instance: str
    # Random per process.
    incarnation: int
    # Time since which the process counts, in Unix seconds.
    counted_from: float
    window: int
    counts: dict[str, int]


class UsageCounts(PeerMessage, omit_defaults=True):
    """Counts for the instances that collect them, and what the sender knows of reports.

    With `asks`, the sender has become a collector and asks for all recent counts.
    """

    instance: str
    address: str
    # Time of the sender by which it numbers windows, in Unix seconds.
    time_s: float
    # Fencing token if the sender holds the lease.
    token: int = 0
    # Last window that is reported.
    done: int = 0
    asks: bool = False
    usage: list[WindowUsage] = []


class RoutingRequest(PeerMessage):
    """Requests a configuration and endpoints that are newer than the sender's."""

    config_version: int
    endpoint_revision: int
    store_era: int = 0

    @property
    def endpoint_position(self) -> StorePosition:
        return StorePosition(self.store_era, self.endpoint_revision)


class RoutingReply(PeerMessage):
    """Newer configuration and endpoints; a given list of endpoints is complete.

    `changes` lead from the version of the request to the newest one. `config` is given
    only if they are not known.
    """

    config: RoutingConfig | None
    endpoint_revision: int
    endpoints: list[EndpointRecord] | None
    # Remaining time for which endpoints without an entry in the store are kept.
    held_for_s: dict[str, float] = {}
    store_era: int = 0
    changes: list[ConfigChange] = []

    @property
    def endpoint_position(self) -> StorePosition:
        return StorePosition(self.store_era, self.endpoint_revision)


AnyMessage = (
    Heartbeat
    | GenerationRequest
    | GenerationReply
    | ClaimRequest
    | ClaimReply
    | StreamAnnounce
    | StreamLocate
    | StreamLocation
    | Leaving
    | GatewayDigest
    | PromptRequest
    | PromptReply
    | RoutingRequest
    | RoutingReply
    | CrashReport
    | SoundRequest
    | LeavingReport
    | LimitReport
    | PermitRequest
    | PermitReply
    | StreamsBegun
    | StreamsBegunReply
    | StreamsShared
    | StreamOriginRequest
    | StreamOriginReply
    | KeptStreamRequest
    | KeptStreamReply
    | UsageCounts
)


def encode_message(message: PeerMessage) -> bytes:
    """Encodes a message for the wire."""
    return to_msgpack(message)


def decode_message(data: bytes) -> PeerMessage:
    """Decodes a message; raises `msgspec.ValidationError` for unknown formats."""
    return from_msgpack(data, AnyMessage)
