"""Guards against answers with lost, repeated or reordered tokens."""

import pytest
from hypothesis import given, strategies as st

from lagoonrill._internal.coordination.streams import DONE_EVENT, TokenAssembler
from lagoonrill._internal.protocol.endpoint_errors import EndpointBroken

TOTAL = 12


def content_event(index):
    chunk = f'{{"choices":[{{"delta":{{"content":"t{index} "}}}}]}}'
    return f"id: {index}\ndata: {chunk}\n\n".encode()


LAST_EVENT = (
    f'id: {TOTAL}\ndata: {{"choices":[{{"delta":{{}},"finish_reason":"stop"}}]}}\n\n'
).encode()
EVENTS = [*(content_event(index) for index in range(TOTAL)), LAST_EVENT]
EXPECTED_TEXT = "".join(f"t{index} " for index in range(TOTAL))


@given(
    order=st.lists(st.integers(0, TOTAL), max_size=60),
    cut=st.integers(1, 400),
)
def test_any_order_and_any_duplicates_give_the_whole_answer(order, cut):
    sent = order + [index for index in range(TOTAL + 1) if index not in order]
    stream = b"".join(EVENTS[index] for index in sent) + DONE_EVENT
    assembler = TokenAssembler(max_pending=TOTAL + 1)
    parts = [stream[start : start + cut] for start in range(0, len(stream), cut)]
    relayed = b"".join(assembler.feed(part) for part in parts)
    assert relayed == b"".join(EVENTS) + DONE_EVENT
    assert "".join(assembler.text) == EXPECTED_TEXT
    assert assembler.complete


@given(missing=st.integers(0, TOTAL))
def test_a_missing_event_is_never_skipped(missing):
    assembler = TokenAssembler(max_pending=TOTAL)
    rest = EVENTS[:missing] + EVENTS[missing + 1 :]
    assert assembler.feed(b"".join(rest) + DONE_EVENT) == b"".join(EVENTS[:missing])
    assert not assembler.complete
    assembler.start_reading()
    resumed = assembler.feed(b"".join(EVENTS[missing:]) + DONE_EVENT)
    assert resumed == b"".join(EVENTS[missing:]) + DONE_EVENT
    assert assembler.complete


def test_done_without_finish_reason_is_not_complete():
    assembler = TokenAssembler(max_pending=4)
    assembler.feed(EVENTS[0] + DONE_EVENT)
    assert not assembler.complete


def test_the_buffer_for_early_events_is_bounded():
    assembler = TokenAssembler(max_pending=3)
    assembler.feed(b"".join(EVENTS[1:]))
    assert assembler.overflowed
    assert len(assembler.pending) == 3


@pytest.mark.parametrize(
    "event", [b"data: {}\n\n", b"id: 0\ndata: nothing\n\n", b"id: 0\ndata: [1]\n\n"]
)
def test_an_event_of_another_form_breaks_the_stream(event):
    with pytest.raises(EndpointBroken):
        TokenAssembler(max_pending=4).feed(event)
