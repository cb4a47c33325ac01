"""Messages between daemons; MessagePack, tagged by type."""

import enum

import msgspec

from .codec import from_msgpack, to_msgpack
from .objects import ConfigRecord
from .routing import EndpointRecord, PromptPart, RoutingConfig


class PeerMessage(msgspec.Struct, kw_only=True, tag=True):
    """Base of all messages between daemons."""


class EndpointUse(msgspec.Struct, kw_only=True, array_like=True):
    """Slots that the sender uses on an endpoint, and its requests that wait for it."""

    endpoint: str
    in_use: int
    waiting: int


class EndpointLoad(msgspec.Struct, kw_only=True, array_like=True):
    """A load report that the sender polled or heard of, with its age."""

    endpoint: str
    running: int
    waiting: int
    slots: int
    age_ms: int
    leaving: bool = False


class NoticeKind(enum.StrEnum):
    """What a notice says about its subject."""

    ENDPOINT_LEAVING = "el"
    ENDPOINT_DOWN = "ed"
    INSTANCE_GONE = "ig"


class Notice(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """An observation that is passed on from peer to peer until it is too old.

    `age_ms` is the time since the first observer last confirmed it. Each hop adds the
    time it held the notice, so notices end on their own when nobody confirms them.
    """

    kind: NoticeKind
    subject: str
    age_ms: int


class Heartbeat(PeerMessage, omit_defaults=True):
    """State of the sender; sent to every linked peer at the heartbeat interval.

    With `uses_partial`, `uses` holds only some endpoints and adds to what earlier
    heartbeats said; an endpoint that is no longer used appears with zeros.
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
    """Asks for the committed manifest if the peer holds a newer one."""

    newer_than: int


class GenerationReply(PeerMessage):
    """The committed manifest that the sender has in force, if newer."""

    record: ConfigRecord | None


class ClaimRequest(PeerMessage):
    """Asks a peer that reaches the store to append a claim for the sender.

    `body_digest` is hexadecimal; `deadline_s` is the time left, since the clocks of
    two processes differ.
    """

    team: str
    key: str
    body_digest: str
    attempt_id: str
    deadline_s: float


class ClaimReply(PeerMessage):
    """Result of a `ClaimRequest`; `kind` is `granted` or the kind of the refusal."""

    kind: str
    detail: str = ""
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""


class StreamAnnounce(PeerMessage):
    """Tells a stream's home instance where the stream runs, or that it ended.

    An engine knows the stream by its id and `attempt`. An ended stream without an
    endpoint cannot be resumed and is forgotten.
    """

    stream_id: str
    endpoint: str
    attempt: int = 0
    ended: bool = False


class StreamLocate(PeerMessage):
    """Asks a stream's home instance where it runs."""

    stream_id: str


class StreamLocation(PeerMessage):
    """Answer to `StreamLocate`; an empty endpoint means that none is known."""

    stream_id: str
    endpoint: str
    attempt: int = 0


class Leaving(PeerMessage):
    """The sender is about to exit and takes no more requests."""

    instance: str
    incarnation: int = 0


class EngineWork(msgspec.Struct, kw_only=True, array_like=True):
    """Outstanding work on one engine as the sender knows it."""

    engine: str
    # Prompt tokens of requests that have had no event yet.
    pending_tokens: int = 0
    # Running requests with short and with long prompts.
    light: int = 0
    heavy: int = 0


class EndpointCalls(msgspec.Struct, kw_only=True, array_like=True):
    """Recent calls of the sender to one incarnation of an endpoint; counts fade."""

    endpoint: str
    incarnation: int
    calls: float
    failures: float


class GatewayDigest(PeerMessage, omit_defaults=True):
    """What a gateway tells its peers about itself after each change.

    `known_addresses` is sent from time to time only; a receiver learns from it of peers
    that its settings do not name.
    """

    instance: str
    zone: str
    address: str
    config_version: int = 0
    endpoint_revision: int = 0
    # Of the endpoints that stand in the store as of that revision; 0 if unknown.
    endpoint_checksum: int = 0
    store_in_touch: bool = False
    leaving: bool = False
    work: list[EngineWork] = []
    # Engines, and the shared prompt parts that they have read for the sender since its
    # last digest, in prompt order.
    reads: list[tuple[str, list[PromptPart]]] = []
    # For each service, how many engines the sender keeps for interactive streams.
    stream_engines: dict[str, int] = {}
    # Calls to endpoints that failed lately; None leaves what was said before in force.
    doubtful: list[EndpointCalls] | None = None
    known_addresses: list[str] = []


class PromptRequest(PeerMessage):
    """Asks the owner of an engine whether a long prompt may be sent there now."""

    instance: str
    engine: str
    # Prompt tokens that the engine would have to read for it.
    tokens: int
    # What the engine may have to read in all, so that the prompt is read in time.
    most_tokens: int
    # Long generations that the engine may have beside it, None for any number.
    most_heavy: int | None = None


class PromptReply(PeerMessage):
    """The owner's answer; a prompt that may be sent is counted by the owner at once."""

    granted: bool
    # What the engine has to read, and its long generations, without this one.
    pending_tokens: int
    heavy: int


class RoutingRequest(PeerMessage):
    """Asks a gateway for a configuration and endpoints newer than the sender's."""

    config_version: int
    endpoint_revision: int


class RoutingReply(PeerMessage):
    """What the sender has that is newer; the endpoints are complete if given."""

    config: RoutingConfig | None
    endpoint_revision: int
    endpoints: list[EndpointRecord] | None
    # Seconds for which endpoints that no longer have an entry are still offered.
    held_for_s: dict[str, float] = {}


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
)


def encode_message(message: PeerMessage) -> bytes:
    """Encodes a message for the wire."""
    return to_msgpack(message)


def decode_message(data: bytes) -> PeerMessage:
    """Decodes a message; raises `msgspec.ValidationError` for an unknown form."""
    return from_msgpack(data, AnyMessage)
