"""Guards against requests that are taken for repeats of others, or not recognized."""

import time

import pytest

from lagoonrill._internal.coordination.routed_request import RequestResolver
from lagoonrill._internal.protocol.headers import HeaderNames
from lagoonrill._internal.state.route_table import RouteTable
from lagoonrill._internal.transport.caller_connection import IncomingRequest
from tests.gateway_kit import HOST, KEY, config

OTHER_KEY = "key-of-other"
NAMES = HeaderNames()


def fingerprint(*, key=KEY, method=b"POST", target=b"/order/1", body=b"{}", **headers):
    configuration = config()
    teams = configuration.teams | {OTHER_KEY: type(configuration.teams[KEY])(name="o")}
    incoming = IncomingRequest(
        method=method,
        target=target,
        headers=[
            (b"Host", HOST.encode()),
            (b"Authorization", b"Bearer " + key.encode()),
            *((name.encode(), value.encode()) for name, value in headers.items()),
        ],
        body=body,
        arrived_at=time.monotonic(),
    )
    table = RouteTable(config=config(teams=teams))
    return RequestResolver(header_names=NAMES).accept(incoming, table).fingerprint()


def test_repeats_with_other_headers_are_the_same_request():
    repeat = {
        NAMES.request_id: "other",
        NAMES.time_limit_ms: "77",
        NAMES.resume_after: "3",
    }
    assert fingerprint(**repeat) == fingerprint()


@pytest.mark.parametrize(
    "change",
    [
        {"body": b"{ }"},
        {"target": b"/order/1?x"},
        {"method": b"PUT"},
        {"key": OTHER_KEY},
        # The border between two parts belongs to the digest.
        {"target": b"/order/1{", "body": b"}"},
    ],
    ids=lambda change: "-".join(change),
)
def test_another_request_or_caller_has_another_fingerprint(change):
    assert fingerprint(**change) != fingerprint()
