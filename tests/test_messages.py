"""Guards against peer messages that lose fields in encoding or decoding."""

import msgspec
import pytest

from lagoonrill._internal.protocol.messages import (
    AnyMessage,
    EndpointUse,
    Heartbeat,
    PeerMessage,
    decode_message,
    encode_message,
)


def test_heartbeat_is_unchanged_by_encoding_and_decoding():
    heartbeat = Heartbeat(
        instance="a",
        zone="tunis-a",
        incarnation=1,
        sequence=7,
        generation=3,
        uses=[EndpointUse(endpoint="llm-1", in_use=2, waiting=1)],
    )
    assert decode_message(encode_message(heartbeat)) == heartbeat


def test_unknown_message_is_refused():
    with pytest.raises(msgspec.ValidationError):
        decode_message(msgspec.msgpack.encode({"type": "Unknown"}))


def test_peers_can_decode_each_kind_of_message():
    """A kind that is missing in the union was dropped by all receivers."""
    assert set(AnyMessage.__args__) == set(PeerMessage.__subclasses__())
