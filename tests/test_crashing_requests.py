"""Guards against one request that crashes one endpoint after the other.

Such a request comes again with the same path, caller and body, whatever the other
parts of its prompt; each crash breaks off all that runs on the endpoint.
"""

import time

import pytest

from lagoonrill._internal.coordination.policy.crash_records import COMMON_CAUSE_S
from lagoonrill._internal.protocol.headers import HeaderNames

NAMES = HeaderNames()
DEADLY = b'{"text": "deadly"}'
SOUND = b'{"text": "sound"}'
DEADLY_PARTS = "base:800,own:90,last:10"
# The users' rule counts what follows the third crash.
ALLOWED_CRASHES = 3


def ask(gateway, path: str, body: bytes, *, id: str, **options):
    parts = DEADLY_PARTS if body == DEADLY else "base:800,other:90,last:10"
    headers = {NAMES.token_usage: "900,20", NAMES.prompt_parts: parts}
    headers |= options.pop("headers", {})
    return gateway.ask(path, id=id, body=body, headers=headers, **options)


def crashed(endpoints) -> list:
    return [e for e in endpoints if any(b"deadly" in run.body for run in e.runs)]


@pytest.mark.parametrize("path", ["/status/1", "/order/1"])
def test_a_call_that_crashes_endpoints_stops_reaching_them(gateway_for, path):
    gateway, endpoints = gateway_for("app", *[["answer_or_crash"]] * 8)
    for number in range(6):
        response, body = ask(gateway, path, DEADLY, id=f"d{number}")
        time.sleep(COMMON_CAUSE_S)
    assert len(crashed(endpoints)) == ALLOWED_CRASHES
    # The refusal is final.
    assert response.status == 400
    assert response.getheader("Retry-After") is None
    assert b"request_crashes_endpoints" in body
    # Other requests of the same caller and route are served.
    assert ask(gateway, path, SOUND, id="s1")[0].status == 200


@pytest.mark.parametrize("path", ["/ask/1", "/plan/1"])
def test_a_stream_that_crashes_engines_stops_reaching_them(gateway_for, path):
    gateway, engines = gateway_for("models", *[["stream_or_crash_by_body"]] * 8)
    # All shared parts of the prompt are known to be sound.
    warm = {NAMES.prompt_parts: DEADLY_PARTS}
    assert ask(gateway, path, SOUND, id="s0", headers=warm)[0].status == 200
    for number in range(6):
        response, _ = ask(gateway, path, DEADLY, id=f"d{number}")
        time.sleep(COMMON_CAUSE_S)
    assert len(crashed(engines)) == ALLOWED_CRASHES
    assert response.status == 400
    assert ask(gateway, path, SOUND, id="s1")[0].status == 200


def test_a_stream_that_crashes_engines_after_its_first_event_is_recognized(gateway_for):
    gateway, engines = gateway_for("models", *[["stream_or_crash_late"]] * 8)
    for number in range(6):
        response, _ = ask(gateway, "/plan/1", DEADLY, id=f"d{number}")
        time.sleep(COMMON_CAUSE_S)
    assert len(crashed(engines)) == ALLOWED_CRASHES
    assert response.status == 400


def test_parts_are_not_blamed_for_one_request_that_crashes_engines(gateway_for):
    """The same request twice explains two crashes better than a shared part."""
    gateway, engines = gateway_for("models", *[["stream_or_crash_by_body"]] * 8)
    for number in range(3):
        ask(gateway, "/plan/1", DEADLY, id=f"d{number}")
        time.sleep(COMMON_CAUSE_S)
    # Another request with all parts of the crashing one.
    same_parts = {NAMES.prompt_parts: DEADLY_PARTS}
    assert ask(gateway, "/plan/1", SOUND, id="s1", headers=same_parts)[0].status == 200
