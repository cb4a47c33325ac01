"""Guards against queued requests of lower classes that occupy all caller threads."""

import pytest

from lagoonrill._internal.coordination.caller_thread_limit import CallerThreadLimit
from lagoonrill._internal.protocol.errors import Overloaded
from lagoonrill._internal.protocol.manifest import LatencyTarget, RequestClass
from tests.request_path import (
    chat_fields,
    error_of,
    post_chat,
    raw_chat,
    running_router,
    start_engine,
    wait_until,
)

PLAN = RequestClass(name="plan", tier=2, latency=LatencyTarget())
COUNTER = RequestClass(name="counter", tier=0, protected=True, latency=LatencyTarget())


def test_unprotected_classes_leave_threads_for_protected_ones():
    thread_limit = CallerThreadLimit(threads=4)
    for _ in range(3):
        thread_limit.enter(PLAN)
    with pytest.raises(Overloaded):
        thread_limit.enter(PLAN)
    thread_limit.enter(COUNTER)
    thread_limit.leave(PLAN)
    thread_limit.enter(PLAN)
    assert (thread_limit.open, thread_limit.refused) == (3, 1)


def test_waiting_requests_of_a_class_are_limited_and_released():
    engine = start_engine()
    try:
        with running_router(engines=[engine], threads=4) as router:
            thread_limit = router.dispatcher.caller_thread_limit
            router.scheduler.paused = True
            waiting = [raw_chat(router, chat_fields(f"p{n}")) for n in range(3)]
            wait_until(lambda: thread_limit.open == 3)
            refused = error_of(post_chat(router, chat_fields("one more")))
            assert (refused["kind"], refused["run"]) == ("overloaded", "not_run")
            router.scheduler.resume()
            wait_until(lambda: thread_limit.open == 0)
            for connection in waiting:
                connection.close()
    finally:
        engine.stop()
