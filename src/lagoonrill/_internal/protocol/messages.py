"""Messages between daemons; MessagePack, tagged by type."""

import msgspec

from .codec import from_msgpack, to_msgpack
from .objects import ConfigRecord


class PeerMessage(msgspec.Struct, kw_only=True, tag=True):
    """Base of all messages between daemons."""


class EndpointUse(msgspec.Struct, kw_only=True):
    """Slots that the sender uses on an endpoint, and its requests that wait for it."""

    endpoint: str
    in_use: int
    waiting: int


class Heartbeat(PeerMessage):
    """State of the sender; sent to every linked peer at the heartbeat interval."""

    instance: str
    zone: str
    incarnation: int
    sequence: int
    generation: int
    leaving: bool = False
    peer_address: str = ""
    uses: list[EndpointUse] = []
    leaving_endpoints: list[str] = []


class GenerationRequest(PeerMessage):
    """Asks for the committed manifest if the peer holds a newer one."""

    newer_than: int


class GenerationReply(PeerMessage):
    """The committed manifest that the sender has in force, if newer."""

    record: ConfigRecord | None


class ClaimRequest(PeerMessage):
    """Asks a peer that reaches the store to append a claim for the sender."""

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
    content_type: str = ""
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
)


def encode_message(message: PeerMessage) -> bytes:
    """Encodes a message for the wire."""
    return to_msgpack(message)


def decode_message(data: bytes) -> PeerMessage:
    """Decodes a message; raises `msgspec.ValidationError` for an unknown form."""
    return from_msgpack(data, AnyMessage)
