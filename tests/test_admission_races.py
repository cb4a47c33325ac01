"""Guards against requests that are decided twice, or never, while threads race."""

import threading
import time

import msgspec
import pytest

from lagoonrill._internal.coordination import engine_requests
from lagoonrill._internal.protocol.refusals import Refusal
from lagoonrill._internal.state.engine_load_table import EngineJob, EngineLoadTable
from tests.gateway_kit import wait_until
from tests.test_engine_admission import (
    Peers,
    admission,
    generation,
    place_from_ten_instances,
    placed,
)

# Long enough for a woken thread to run before the thread that woke it goes on.
WAKE_PAUSE_S = 0.02
# Longer than the owner's reply is used, so that old denials are forgotten.
SLOW_OWNER_S = 0.05


class PausingEvent(threading.Event):
    """Event that lets the thread that it wakes run first."""

    def set(self):
        super().set()
        time.sleep(WAKE_PAUSE_S)


@pytest.fixture
def woken_first(monkeypatch):
    monkeypatch.setattr(engine_requests.threading, "Event", PausingEvent)


def test_a_denial_that_overtakes_the_review_does_not_stop_a_request(woken_first):
    # The woken thread is denied by the owner while the review that placed it still
    # runs: the request stays in the queue and joins it again, or waits without end.
    owner = EngineLoadTable()
    assert len(place_from_ten_instances(owner)) == 10


class SlowOwner(Peers):
    """Owner that takes longer to reply than its replies are used."""

    def ask_owner(self, zone, request):
        time.sleep(SLOW_OWNER_S)
        return super().ask_owner(zone, request)


def test_slow_denials_do_not_lead_back_to_the_same_engines():
    # If denials are forgotten before all full engines have denied, the request goes
    # round them and never reaches the idle one.
    probe = admission(13)
    preferred = [placed(probe, "plan", 9_000, number) for number in range(12)]
    owner = EngineLoadTable()
    for engine in preferred[:-1]:
        owner.begin(engine=engine, tokens=50_000, heavy=True)
    built = admission(13)
    built.peers = SlowOwner(count=9, zone_local=True, owner=owner)
    built.start()
    assert placed(built, "plan", 9_000, 1) == preferred[-1]
    built.stop()


def test_a_request_that_owners_always_deny_is_refused_at_its_time_limit():
    # Each review places the request before it looks at the time limit, so that it is
    # denied and queued again after its caller has left.
    owner = EngineLoadTable()
    for number in range(13):
        owner.begin(engine=f"e{number}", tokens=50_000, heavy=True)
    built = admission(13)
    built.peers = SlowOwner(count=9, zone_local=True, owner=owner)
    built.start()
    item = generation("plan", 9_000)
    item.arrived_at = built.clock()
    item.deadline = built.clock() + 2.0
    outcome = []

    def run():
        try:
            outcome.append(built.admit(item, caller_disconnected=bool))
        except Refusal as refusal:
            outcome.append(refusal.status)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(4.0)
    built.stop()
    assert outcome == [503]
    assert not built.load_table.own_work()


def busy(engines: int):
    """Returns an admission whose engines all have a backlog of prompts."""
    built = admission(engines)
    for number in range(engines):
        built.load_table.begin(engine=f"e{number}", tokens=60_000, heavy=True)
    return built


def admit_in_background(built, ids: list[str], *, limit_s: float):
    """Asks for an engine for each id at once; returns the threads and outcomes."""
    outcomes = []

    def run(id: str):
        item = generation("plan", 9_000)
        item.id, item.arrived_at = id, built.clock()
        item.deadline = built.clock() + limit_s
        try:
            found = built.admit(item, caller_disconnected=lambda: False)
            outcomes.append(found.engine)
        except Refusal as refusal:
            outcomes.append(refusal.status)

    threads = [threading.Thread(target=run, args=(id,), daemon=True) for id in ids]
    for thread in threads:
        thread.start()
    assert wait_until(lambda: len(built.waiting.get("models", ())) == len(ids))
    return threads, outcomes


def test_requests_with_one_id_are_decided_one_by_one():
    """Guards against a table by ids, which callers choose.

    Two requests became one that was decided twice, and from then on each review ended
    with an error before anybody was answered.
    """
    built = busy(2)
    threads, outcomes = admit_in_background(built, ["same"] * 8 + ["own"], limit_s=3.0)
    built.start()
    time.sleep(0.2)
    for engine in ("e0", "e1"):
        built.load_table.end(
            EngineJob(engine=engine, tokens=60_000, ahead_tokens=0, heavy=True)
        )
    built.note_change()
    for thread in threads:
        thread.join(5)
    built.stop()
    assert len(outcomes) == 9
    assert {"e0", "e1"} & set(outcomes)
    assert not built.waiting["models"]


def test_an_error_in_one_placement_does_not_stop_the_others(monkeypatch):
    built = busy(1)
    threads, outcomes = admit_in_background(built, ["bad", "sound"], limit_s=4.0)
    built.registry.replace(
        {"new": msgspec.structs.replace(built.registry.records["e0"], id="new")}
    )
    try_place = built._try_place

    def fail_one(waiter, *args):
        if waiter.generation.id == "bad":
            raise ValueError("bad")
        return try_place(waiter, *args)

    monkeypatch.setattr(built, "_try_place", fail_one)
    built.start()
    for thread in threads:
        thread.join(5)
    built.stop()
    assert sorted(map(str, outcomes)) == ["503", "new"]


def test_a_wait_ends_at_the_time_limit_though_nobody_decides():
    built = busy(1)
    # No review runs.
    threads, outcomes = admit_in_background(built, ["r"], limit_s=1.5)
    threads[0].join(3)
    assert outcomes == [503]
    assert not built.waiting["models"]
