"""Guards the log report of requests sent to endpoints after their departure."""

import json

from lagoonrill._internal.commands.departures import departures, describe
from lagoonrill._internal.commands.log_lines import read_lines


def line(at: float, event: str, instance: str = "gw-1", **fields) -> str:
    entry = {"time": at, "event": event, "instance": instance, **fields}
    return json.dumps(entry, separators=(",", ":"))


def test_the_last_send_after_the_first_sign_of_a_departure_is_found():
    found = departures(
        read_lines(
            [
                line(1.0, "request_sent", endpoint="e", request="before"),
                line(2.0, "endpoint_leaving", endpoint="e"),
                line(2.3, "request_sent", "gw-2", endpoint="e", request="late"),
                line(2.5, "endpoint_held", "gw-3", endpoint="e"),
                line(2.7, "endpoint_leaving", "gw-2", endpoint="e"),
                line(2.8, "endpoint_leaving", endpoint="other"),
            ]
        )
    )
    first, second = found
    assert (first.endpoint, first.last_send.request) == ("e", "late")
    assert first.last_send.after_s == 0.3
    assert first.learned_s == {"gw-1": 0.0, "gw-2": 0.7}
    assert first.held_by == ["gw-3"]
    assert "last sent 0.300 s after by gw-2 (late)" in describe(first)
    assert "nothing sent after" in describe(second)


def test_sends_to_an_endpoint_that_came_back_are_not_late():
    found = departures(
        read_lines(
            [
                line(1.0, "endpoint_gone", endpoint="e"),
                line(9.0, "endpoint_found", endpoint="e", leaving=False),
                line(9.1, "request_sent", endpoint="e", request="new"),
                line(9.2, "endpoint_leaving", endpoint="e"),
            ]
        )
    )
    assert [item.last_send for item in found] == [None, None]
    assert [item.time for item in found] == [1.0, 9.2]
