"""Guards against failed requests whose cause is not found in the logs."""

import json

import pytest

from lagoonrill._internal.commands.explain import (
    explain_request,
    find_cause,
    group_by_request,
    read_lines,
)


def line(at: float, event: str, **fields) -> str:
    entry = {"time": at, "event": event, "instance": "gw-1", **fields}
    return f"  {at:.4f} gw-1 {json.dumps(entry, separators=(',', ':'))}\n"


RECEIVED = line(1.0, "request_received", request="r", route="plan")
SENT = line(1.1, "request_sent", request="r", endpoint="e1", send=1)
FAILED = line(1.2, "send_failed", request="r", reason="silent", may_have_run=True)


@pytest.mark.parametrize(
    ("lines", "outcome", "cause"),
    [
        (
            [line(2, "request_refused", request="r", status=503, reason="no_route")],
            "refused 503",
            "no_route",
        ),
        (
            [
                line(
                    2, "request_refused", request="r", status=503, reason="engines_busy"
                )
            ],
            "refused 503",
            "the prompt backlog of the engines exceeded the time limit",
        ),
        (
            [
                SENT,
                FAILED,
                line(2, "request_refused", request="r", status=504, reason="timeout"),
            ],
            "refused 504",
            "deadline exceeded after silent",
        ),
        (
            [SENT, line(2, "stream_broken_off", request="r", reason="closed")],
            "broken off",
            "the stream could not be continued: closed",
        ),
        (
            [SENT, line(2, "request_cancelled", request="r")],
            "cancelled",
            "the caller disconnected while the request was processed by an endpoint",
        ),
        (
            [SENT, FAILED, line(2, "request_answered", request="r", status=200)],
            "status 200",
            "answered after 1 failed attempts: silent",
        ),
        (
            [SENT, line(2, "request_answered", request="r", status=500)],
            "status 500",
            "response of the endpoint",
        ),
        ([SENT], "no end", "the instance exited, or its log was truncated"),
    ],
)
def test_cause_of_each_outcome(lines, outcome, cause):
    found = group_by_request(read_lines([RECEIVED, *lines]))["r"]
    assert find_cause(found) == (outcome, cause)


def test_explanation_includes_events_of_its_endpoint():
    texts = [
        RECEIVED,
        line(0.9, "endpoint_suspect", endpoint="e1", reason="connect"),
        line(0.9, "endpoint_suspect", endpoint="e2", reason="connect"),
        SENT,
        line(2, "request_answered", request="r", status=200),
        "not a line of the log\n",
    ]
    lines = read_lines(texts)
    explanation = explain_request("r", group_by_request(lines)["r"], lines)
    assert len(explanation.steps) == 3
    assert len(explanation.context) == 1
    assert "endpoint=e1" in explanation.context[0]


def test_the_crashes_that_led_to_a_refusal_are_shown():
    """They happened to other requests, earlier and at other instances."""
    lines = [
        line(100.0 + n, "endpoint_crashed", request=f"r{n}", fingerprint=fingerprint)
        for n, fingerprint in enumerate(("f1", "f2", "f1"))
    ]
    lines.append(line(103.0, "request_refused_for_crashes", fingerprint="f1"))
    lines.append(
        line(900.0, "crashing_request_stopped", request="r9", fingerprint="f1")
    )
    lines.append(
        line(
            900.0,
            "request_refused",
            request="r9",
            status=400,
            reason="request_crashes_endpoints",
        )
    )
    found = read_lines(lines)
    explanation = explain_request("r9", group_by_request(found)["r9"], found)
    assert "crashed each time" in explanation.cause
    assert [step.split()[3] for step in explanation.context] == [
        "endpoint_crashed",
        "endpoint_crashed",
        "request_refused_for_crashes",
    ]
