"""Guards against checkers of the soak test that accept a history with a violation."""

import pytest

from bench.soak.checks import (
    check,
    check_announced,
    check_crashes,
    check_pauses,
    check_stream_versions,
    check_urgent,
)
from bench.soak.history import (
    LAST_EVENT,
    CrashByRequest,
    Denial,
    Fault,
    History,
    Outcome,
    PauseRequest,
    Probe,
    Run,
    TakeUp,
)


def outcome(request: str, kind: str, status: int = 200, **options) -> Outcome:
    defaults = {
        "instance": "g0",
        "sent_at": 10.0,
        "ended_at": 10.2,
        "whole": status == 200,
    }
    return Outcome(request=request, kind=kind, status=status, **(defaults | options))


def run(request: str, at: float = 10.1, endpoint: str = "i-1") -> Run:
    return Run(request=request, endpoint=endpoint, at=at)


def events(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: t\n\n" % number for number in numbers)


WHOLE = events(*range(1, LAST_EVENT + 1))
STOP = Fault(what="stop", target="g0", began_at=10.1, ended_at=12.0, planned=True)
PAUSE = Fault(what="pause", target="g0", began_at=10.0, ended_at=11.0)

GOOD = [
    [outcome("r", "order"), run("r")],
    [outcome("r", "status"), run("r"), run("r")],
    [outcome("r", "order", 503)],
    [outcome("r", "order", 502), run("r")],
    [outcome("r", "ask", 503, body=b'{"error":"no_configuration"}')],
    [outcome("r", "plan", body=WHOLE), run("r")],
    [outcome("r", "plan", 0, body=events(1, 2)), run("r")],
    [Probe(lifetime="g0/1", version=3, at=1), Probe(lifetime="g0/2", version=2, at=2)],
    [outcome("r", "order"), STOP],
    [outcome("r", "order", 0), STOP, PAUSE],
]
BAD = {
    "ran 2 times": [outcome("r", "order"), run("r"), run("r")],
    "was refused with 503 and ran": [outcome("r", "order", 503), run("r")],
    "not its own answer": [outcome("r", "order", whole=False), run("r")],
    "events [1, 3]": [outcome("r", "ask", 0, body=events(1, 3))],
    "events [1, 1, 2]": [outcome("r", "ask", 0, body=events(1, 1, 2))],
    "rest b'id: 2'": [outcome("r", "ask", 0, body=events(1) + b"id: 2")],
    "as complete after 2": [outcome("r", "ask", body=events(1, 2))],
    "went back from version 3 to 2": [
        Probe(lifetime="g0/1", version=3, at=1),
        Probe(lifetime="g0/1", version=2, at=2),
    ],
    "was cut off by a planned stop": [outcome("r", "order", 0), STOP],
    "0 of 1 served after the recovery": [
        PAUSE,
        outcome("r", "order", 503, sent_at=30.0, ended_at=30.1),
    ],
}


def history_of(items) -> History:
    history = History()
    for item in items:
        history.add(item)
    return history


@pytest.mark.parametrize("items", GOOD)
def test_good_history(items):
    assert check(history_of(items), ended_at=40.0) == []


@pytest.mark.parametrize("words", BAD)
def test_bad_history(words):
    violations = check(history_of(BAD[words]), ended_at=40.0)
    assert any(words in line for line in violations), violations


def history_with_late_request(*faults: Fault) -> History:
    """Returns a history in which a request reaches an endpoint 2.5 s after it left."""
    history = history_of([run("r", at=20.0), run("s", at=22.5), *faults])
    history.add(outcome("r", "status", sent_at=20.0, ended_at=20.1))
    history.add(outcome("s", "status", sent_at=22.5, ended_at=22.6))
    history.leaving["i-1"] = 20.0
    return history


def fault(target: str, began_at: float, ended_at: float, what: str = "Pause") -> Fault:
    return Fault(what=what, target=target, began_at=began_at, ended_at=ended_at)


@pytest.mark.parametrize(
    "faults",
    [
        [],
        [fault("g1", 19.0, 22.4)],
        [fault("i-2", 19.0, 22.4)],
        [fault("g0", 10.0, 19.4)],
        [fault("store", 10.0, 16.9)],
        [fault("g0", 19.0, 22.4, "WatchCut")],
        [fault("store", 19.0, 22.4, "NewConfiguration")],
    ],
)
def test_late_request_to_a_leaving_endpoint_is_reported(faults):
    (line,) = check(history_with_late_request(*faults), ended_at=30.0)
    assert line.startswith("s reached i-1 2.50 s")


@pytest.mark.parametrize(
    "fault",
    [
        fault("g0", 19.0, 19.6),
        fault("store", 10.0, 17.1),
        fault("store", 21.0, 22.0),
        fault("i-1", 21.0, 22.0),
    ],
)
def test_a_fault_shortly_before_excuses_late_work(fault):
    assert check(history_with_late_request(fault), ended_at=30.0) == []


@pytest.mark.parametrize("instance, broken", [("g0", False), ("g1", True)])
def test_a_probe_is_excused_by_a_fault_of_its_instance_only(instance, broken):
    """A suspended instance sends late, and a probe has no caller that knows it."""
    history = history_of([run("probe-1", at=22.5), fault(instance, 19.0, 22.4)])
    history.probed["probe-1"] = "g0"
    history.leaving["i-1"] = 20.0
    assert bool(check(history, ended_at=30.0)) == broken


@pytest.mark.parametrize("mixed, broken", [(0, False), (2, False), (3, True)])
def test_streams_of_two_versions_are_reported_over_all_tries(mixed, broken):
    history = history_of([])
    for number in range(5):
        first = b"id: 1\ndata: v1\n\n"
        second = b"id: 2\ndata: v2\n\n" if number < mixed else first
        history.add(outcome(f"r{number}", "ask", 0, body=first))
        history.add(TakeUp(first=f"r{number}", body=first + second))
    assert bool(check_stream_versions(history)) == broken


@pytest.mark.parametrize("late, broken", [(0, False), (3, False), (4, True)])
def test_a_deadly_request_that_goes_on_is_reported(late, broken):
    at = [10.0, 10.1, 10.2, *(13.3 + n for n in range(late))]
    crashes = [CrashByRequest(endpoint=f"i-{n}", at=t) for n, t in enumerate(at)]
    assert bool(check_crashes(history_of(crashes))) == broken


def history_with_denial(*faults: Fault) -> History:
    """Returns a history in which a configuration is not in force after 2.5 s."""
    history = history_of([Denial(instance="g0", version=7, at=22.5), *faults])
    history.acknowledged[7] = 20.0
    return history


@pytest.mark.parametrize(
    "faults",
    [
        [],
        [fault("g1", 19.0, 22.4)],
        [fault("store", 10.0, 19.4, "StoreSilence")],
        [fault("g0", 19.0, 22.4, "WatchCut")],
    ],
)
def test_a_configuration_that_is_not_in_force_in_time_is_reported(faults):
    (line,) = check(history_with_denial(*faults), ended_at=30.0)
    assert line.startswith("g0 denied version 7 2.50 s")


@pytest.mark.parametrize(
    "fault", [fault("g0", 19.0, 19.6), fault("store", 18.0, 19.6, "StoreSilence")]
)
def test_a_fault_shortly_before_excuses_an_old_configuration(fault):
    assert check(history_with_denial(fault), ended_at=30.0) == []


def test_request_after_its_endpoint_told_the_instance_that_it_leaves():
    history = History()
    for number, at in enumerate((1.0, 2.9, 3.2)):
        request = f"r{number}"
        history.add(Run(request=request, endpoint="e", at=at, says_leaving=True))
        history.add(
            Outcome(
                request=request,
                kind="order",
                instance="g0",
                sent_at=at,
                ended_at=at + 0.1,
                status=200,
                whole=True,
            )
        )
    # The bound is 2 s from the first answer, at 1.1 s.
    assert [line.split()[0] for line in check_announced(history)] == ["r2"]


def test_requests_in_a_pause_are_a_violation():
    history = History()
    for number, at in enumerate((1.0, 1.4, 1.6, 1.7, 1.8, 3.1)):
        request = f"r{number}"
        item = (
            PauseRequest(request=request, endpoint="e", at=at, pause_s=2.0)
            if number == 0
            else Run(request=request, endpoint="e", at=at)
        )
        history.add(item)
        history.add(
            Outcome(
                request=request,
                kind="order",
                instance="g0",
                sent_at=at,
                ended_at=at + 0.1,
                status=200,
                whole=True,
            )
        )
    assert "e got 3 requests from g0" in check_pauses(history)[0]
    history.runs.pop(1)
    assert check_pauses(history) == []


@pytest.mark.parametrize("unserved, begun, broken", [(12, 1, 1), (9, 1, 0), (12, 0, 0)])
def test_urgent_streams_that_get_nothing_in_calm_seconds_are_reported(
    unserved, begun, broken
):
    asks = [outcome(f"n{n}", "ask", status=503, body=b"") for n in range(unserved)]
    plans = [outcome(f"p{n}", "plan", body=events(1)) for n in range(begun)]
    history = history_of([*asks, *plans])
    assert len(check_urgent(history)) == broken
    history.add(fault("g1", 9.0, 11.0))
    assert not check_urgent(history)
