"""Guards the soak's checkers: each must reject a history that breaks its promise."""

import pytest

from bench.soak.history import (
    LAST_EVENT,
    Fault,
    History,
    Outcome,
    Probe,
    Run,
    check,
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
    broken = check(history_of(BAD[words]), ended_at=40.0)
    assert any(words in line for line in broken), broken


def test_work_for_a_leaving_endpoint_after_its_bound():
    history = history_of([run("r", at=10.0), run("s", at=12.5)])
    history.leaving["i-1"] = 10.0
    (line,) = check(history, ended_at=40.0)
    assert line.startswith("s reached i-1 2.50 s")
    history.add(PAUSE)
    assert check(history, ended_at=40.0) == []
