"""Guards against checkers that accept a history which violates a guarantee."""

import pytest

from bench.proof import history as events
from bench.proof.checkers import CHECKERS, check_all


def answered(call="k", run="ran", **fields):
    fields = {"at": 2.0, "attempt": 1, "status": 200} | fields
    return events.Answered(call=call, run=run, **fields)


def executed(call="k", at=1.0):
    return events.Executed(call=call, endpoint="desk-1", at=at)


BAD_HISTORIES = {
    "at most once": [executed(), executed(at=1.5)],
    "not run": [executed(), answered(run="not_run", status=503)],
    "ran": [answered()],
    "same outcome": [executed(), answered(text="a"), answered(text="b", at=3.0)],
    "whole answer": [answered(text="ab", whole=True, expected_text="abc")],
    "generation never decreases": [
        events.GenerationSeen(instance="a", generation=2, at=1.0),
        events.GenerationSeen(instance="a", generation=1, at=2.0),
    ],
    "accepted is in force": [
        events.ManifestResult(pipeline="p", result="accepted", generation=2, at=1.0),
        events.GenerationSeen(instance="b", generation=1, at=2.0),
    ],
    "one winner": [
        events.ManifestResult(
            pipeline=digest, result="accepted", generation=2, digest=digest, at=1.0
        )
        for digest in ("x", "y")
    ],
    "leaving endpoint": [
        events.EndpointLeaving(endpoint="e", at=1.0),
        events.Dispatched(endpoint="e", call="k", at=4.5),
    ],
    "planned stop": [events.PlannedStop(instance="a", exit_status=1)],
    "protected classes": [
        events.Shed(request_class="counter", tier=0, protected=True, lower_tier_slots=1)
    ],
}

GOOD_HISTORY = [
    events.Invoked(call="k", attempt=1, instance="a", at=0.5),
    executed(),
    answered(run="unknown", status=409),
    answered(at=3.0, attempt=2),
    answered(call="s", text="abc", whole=True, expected_text="abc"),
    answered(call="t", run="unknown", text="ab", expected_text="abc"),
    events.GenerationSeen(instance="a", generation=1, at=1.0),
    events.ManifestResult(pipeline="p", result="accepted", generation=1, at=2.0),
    events.EndpointLeaving(endpoint="e", at=1.0),
    events.Dispatched(endpoint="e", call="k", at=3.5),
    events.PlannedStop(instance="a", exit_status=0),
]


def history_of(recorded):
    history = events.History()
    for event in recorded:
        history.record(event)
    return history


def test_every_checker_has_a_bad_history():
    assert BAD_HISTORIES.keys() == CHECKERS.keys()


@pytest.mark.parametrize("name", BAD_HISTORIES)
def test_checker_rejects_its_bad_history(name):
    violations = CHECKERS[name](history_of(BAD_HISTORIES[name]))
    assert [violation.checker for violation in violations] == [name]


def test_checkers_accept_a_good_history():
    assert check_all(history_of(GOOD_HISTORY)) == []


def test_text_of_another_request_is_rejected():
    foreign = answered(run="unknown", text="x", expected_text="abc")
    assert CHECKERS["whole answer"](history_of([foreign]))


def test_not_run_before_a_retry_that_ran_is_accepted():
    history = history_of(
        [
            events.Invoked(call="k", attempt=1, instance="a", at=0.1),
            answered(run="not_run", status=503, at=0.5),
            events.Invoked(call="k", attempt=2, instance="b", at=0.7),
            executed(),
        ]
    )
    assert CHECKERS["not run"](history) == []
