"""Guards against wrong or slow splitting of server-sent events."""

import time

import pytest
from hypothesis import given, strategies as st

from lagoonrill._internal.protocol.sse import (
    MAX_EVENT_BYTES,
    EventParser,
    EventTooLarge,
    RawEventSplitter,
    event_id,
    parse_event,
)

# Half of the time limit after which the tests of endless answers expect a result.
MAX_READ_S = 0.75
STREAMS = st.lists(
    st.sampled_from((b"\n", b"\r\n", b"\r", b"id: 1", b"data: x", b":"))
).map(b"".join)


def pieces(stream: bytes, lengths: list[int]) -> list[bytes]:
    parts = []
    for length in lengths:
        parts.append(stream[:length])
        stream = stream[length:]
    return [*parts, stream]


@given(stream=STREAMS, lengths=st.lists(st.integers(0, 4), max_size=30))
def test_events_do_not_depend_on_where_the_network_splits_them(stream, lengths):
    # A line end that is split between two reads hides the end of its event.
    splitter, parser = RawEventSplitter(), EventParser()
    events, blocks = [], []
    for piece in pieces(stream, lengths):
        events += splitter.feed(piece)
        blocks += parser.blocks(piece)
    whole = RawEventSplitter()
    assert events == whole.feed(stream)
    assert bytes(splitter.rest) == bytes(whole.rest)
    assert blocks == EventParser().blocks(stream)


@pytest.mark.parametrize("read", [RawEventSplitter().feed, EventParser().blocks])
def test_an_endless_event_costs_time_in_proportion_to_its_size(read):
    # If all bytes are searched again with each read, an endpoint that never ends its
    # event occupies a core for longer than the caller waits.
    began = time.process_time()
    with pytest.raises(EventTooLarge):
        for _ in range(MAX_EVENT_BYTES):
            read(b"data: more\n" * 20)
    assert time.process_time() - began < MAX_READ_S


@pytest.mark.parametrize("id", [b"9" * 5_000, b"-1", "²".encode(), b""])
def test_an_event_with_an_odd_id_has_no_number(id):
    event = b"id: " + id + b"\ndata: x\n\n"
    assert event_id(event) is None
    assert parse_event(event.rstrip()).id is None
