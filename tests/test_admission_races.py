"""Guards against requests that are decided twice, or never, while threads race."""

import threading
import time

import pytest

from lagoonrill._internal.coordination import engine_requests
from lagoonrill._internal.protocol.refusals import Refusal
from lagoonrill._internal.state.engine_load_table import EngineLoadTable
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
