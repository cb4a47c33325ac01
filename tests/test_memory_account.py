"""Guards the memory account against leaks, double returns and wrong choices."""

import json
import threading
import time

import pytest
from hypothesis import given, settings, strategies as st

from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.memory.account import (
    MemoryAccount,
    MemoryAccountError,
    Part,
    PartBounds,
)
from lagoonrill._internal.memory.answers import AnswerShare
from lagoonrill._internal.memory.callers import CallerMemory
from lagoonrill._internal.memory.policy import UploadView, choose_uploads
from lagoonrill._internal.memory.sizes import account_for
from lagoonrill._internal.protocol.errors import SettingsError
from lagoonrill._internal.protocol.gateway_settings import parse_gateway_settings
from lagoonrill._internal.protocol.refusals import Refusal
from lagoonrill._internal.state.gateway_metrics import GatewayMetrics

CAPACITY = 10_000_000
MB = 1_000_000

counts = st.integers(min_value=1, max_value=CAPACITY)
operations = st.lists(
    st.tuples(st.sampled_from(("body", "chunk", "answer", "complete", "close")), counts)
)


def caller_memory(**options) -> CallerMemory:
    return CallerMemory(
        account=account_for(capacity_bytes=CAPACITY),
        metrics=GatewayMetrics(),
        event_log=EventLog(),
        **({"room_wait_s": 0.0} | options),
    )


@settings(deadline=None)
@given(operations)
def test_any_order_of_uses_returns_everything_and_stays_within_capacity(steps):
    memory = caller_memory()
    account = memory.account
    share = AnswerShare(memory=account.parts[Part.ANSWERS])
    uploads = [memory.begin_upload(lambda: None)]
    for name, count in steps:
        upload = uploads[-1]
        try:
            if name == "body":
                uploads.append(memory.begin_upload(lambda: None))
                uploads[-1].reserve_length(count, lambda: True)
            elif name == "chunk" and upload.receiving:
                upload.received_bytes += count
                upload.reserve_growth(upload.received_bytes, lambda: True)
            elif name == "answer":
                # An answer that does not fit waits for a moment, which takes long here.
                if account.fits(share.memory, 2 * count):
                    share.grow(count)
            elif name == "complete" and upload.receiving:
                upload.complete()
            elif name == "close":
                uploads.pop(0).close()
                uploads.append(memory.begin_upload(lambda: None))
        except Refusal as refusal:
            assert refusal.status in (413, 503)
            assert (refusal.status == 503) == (refusal.retry_after_s is not None)
            upload = uploads.pop()
            upload.close()
            uploads.append(memory.begin_upload(lambda: None))
        committed = sum(
            max(part.held_bytes, part.bounds.floor) for part in account.parts.values()
        )
        assert committed <= CAPACITY
        assert all(
            0 <= part.held_bytes <= part.bounds.limit for part in account.parts.values()
        )
    for upload in uploads:
        upload.close()
        upload.close()
    share.close()
    share.close()
    assert account.held_bytes == 0
    assert not memory.uploads


@given(st.lists(st.tuples(st.sampled_from(list(Part)), counts)))
def test_other_parts_never_take_the_floor_of_a_part(takes):
    account = account_for(capacity_bytes=CAPACITY)
    for name, count in takes:
        account.parts[name].take(count)
    for part in account.parts.values():
        missing = part.bounds.floor - part.held_bytes
        assert missing <= 0 or part.take(missing)


def test_giving_back_more_than_was_taken_is_an_error():
    bodies = account_for(capacity_bytes=CAPACITY).parts[Part.BODIES]
    assert bodies.take(10)
    with pytest.raises(MemoryAccountError):
        bodies.give_back(11)
    bodies.give_back(10)
    with pytest.raises(MemoryAccountError):
        bodies.give_back(1)


def test_floors_above_the_capacity_are_refused():
    bounds = {part: PartBounds(floor=30, limit=100) for part in Part}
    with pytest.raises(MemoryAccountError):
        MemoryAccount(capacity_bytes=100, bounds=bounds)


def test_waiting_bodies_get_room_in_order_and_leave_nothing_behind():
    account = account_for(capacity_bytes=CAPACITY)
    bodies = account.parts[Part.BODIES]
    assert bodies.take(4 * MB)
    granted = []

    def wait(number: int, count: int, timeout_s: float) -> None:
        if bodies.wait_and_take(count, timeout_s=timeout_s):
            granted.append(number)

    waits = [(0, 4 * MB, 5.0), (1, 3 * MB, 0.3), (2, 1 * MB, 5.0)]
    threads = []
    for number, arguments in enumerate(waits, start=1):
        threads.append(threading.Thread(target=wait, args=arguments))
        threads[-1].start()
        while len(bodies.waiting) < number:
            time.sleep(0.001)
    # Nobody is served before those that came first.
    assert not bodies.take(1)
    threads[1].join()
    bodies.give_back(4 * MB)
    for thread in threads:
        thread.join()
    assert sorted(granted) == [0, 2]
    bodies.give_back(5 * MB)
    assert account.held_bytes == 0


def test_a_stalled_upload_gives_way_to_one_that_waits():
    memory = caller_memory(room_wait_s=5.0)
    ended = threading.Event()
    stalled = memory.begin_upload(ended.set)
    stalled.reserve_length(4 * MB, lambda: True)
    stalled.progress_at -= 60
    waiting = memory.begin_upload(lambda: None)
    thread = threading.Thread(
        target=waiting.reserve_length, args=(4 * MB, lambda: True)
    )
    thread.start()
    assert ended.wait(5)
    with pytest.raises(Refusal):
        stalled.complete()
    stalled.close()
    thread.join()
    assert waiting.reserved_bytes > 4 * MB
    waiting.close()
    assert memory.account.held_bytes == 0


def test_a_complete_upload_is_not_ended():
    memory = caller_memory()
    upload = memory.begin_upload(lambda: pytest.fail("ended"))
    upload.reserve_length(4 * MB, lambda: True)
    upload.progress_at -= 60
    upload.complete()
    with pytest.raises(Refusal):
        memory.begin_upload(lambda: None).reserve_length(4 * MB, lambda: True)


def test_a_body_that_never_fits_is_refused_without_a_time_to_retry():
    upload = caller_memory(room_wait_s=60.0).begin_upload(lambda: None)
    with pytest.raises(Refusal) as refused:
        upload.reserve_length(CAPACITY, lambda: True)
    assert (refused.value.status, refused.value.retry_after_s) == (413, None)


views = st.builds(
    UploadView,
    key=st.integers(),
    held_bytes=st.integers(0, 5 * MB),
    received_bytes=st.integers(0, 5 * MB),
    started_at=st.floats(0, 90),
    progress_at=st.floats(90, 100),
    is_waiting=st.booleans(),
)


@given(st.lists(views), counts)
def test_steady_senders_are_never_chosen(uploads, needed):
    steady = UploadView(
        key=-1,
        held_bytes=4 * MB,
        received_bytes=4 * MB,
        started_at=40.0,
        progress_at=99.5,
    )
    chosen = choose_uploads([steady, *uploads], needed_bytes=needed, now=100.0)
    assert steady not in chosen
    assert all(view.held_bytes and not view.is_waiting for view in chosen)
    # Without the last one, there would not be enough.
    assert not chosen or sum(view.held_bytes for view in chosen[:-1]) < needed


@pytest.mark.parametrize(
    ("memory", "key"),
    [
        ({"body_floor": 0.9}, "memory"),
        ({"answer_limit": 1.5}, "memory.answer_limit"),
        ({"room_wait_s": 0}, "room_wait_s"),
    ],
)
def test_settings_that_cannot_be_met_are_refused_at_the_start(memory, key):
    addresses = ("callers", "readiness", "peer", "store")
    document = {f"{name}_address": "127.0.0.1:80" for name in addresses}
    document |= {"instance": "a", "zone": "a", "memory": memory}
    with pytest.raises(SettingsError, match=key):
        parse_gateway_settings(json.dumps(document).encode())
