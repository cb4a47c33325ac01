"""Guards against streams that go on at another software version than they began at.

What two versions write does not fit together, and endpoints do not check it.
"""

import pytest

from lagoonrill._internal.protocol.headers import HeaderNames
from lagoonrill._internal.protocol.routing import RouteKind
from standins.scripted_endpoint import ScriptedEndpoint
from tests.gateway_kit import ROUTES, Gateway, config, record, route

NAMES = HeaderNames()
# A resumable stream that no engine writes.
PLAIN_STREAM = route("feed", RouteKind.STREAM, resumable=True, max_endpoints=2)


class Fleet:
    """A gateway in front of endpoints with software versions."""

    def __init__(self):
        self.gateways = []
        self.endpoints = []

    def endpoint(self, version: str, behaviour: str) -> ScriptedEndpoint:
        number = len(self.endpoints)
        endpoint = ScriptedEndpoint(id=f"e{number}", script=[behaviour])
        endpoint.version = version
        self.endpoints.append(endpoint)
        return endpoint

    def gateway(self, *endpoints, service: str = "models") -> Gateway:
        gateway = Gateway({})
        self.gateways.append(gateway)
        self.serve(gateway, *endpoints, service=service)
        return gateway.start(config(routes=(*ROUTES, PLAIN_STREAM)))

    def serve(self, gateway, *endpoints, service: str = "models") -> None:
        gateway.registry.replace(
            {item.id: record(item, service, version=item.version) for item in endpoints}
        )

    def close(self) -> None:
        for item in (*(gateway.listener for gateway in self.gateways), *self.endpoints):
            item.close()


@pytest.fixture
def fleet():
    built = Fleet()
    yield built
    built.close()


def resume(gateway, path: str, *, id: str = "r2", after: int = 2, of: str = "r1"):
    headers = {NAMES.resume_after: str(after), NAMES.resumes: of}
    return gateway.ask(path, id=id, headers=headers)


@pytest.mark.parametrize("goes_on", [True, False], ids=["same", "no-same"])
@pytest.mark.parametrize("path, service", [("/ask/1", "models"), ("/feed/1", "app")])
def test_a_broken_stream_goes_on_at_its_own_version_only(fleet, path, service, goes_on):
    cut = fleet.endpoint("v1", "stream_cut")
    other, same = fleet.endpoint("v2", "stream"), fleet.endpoint("v1", "stream")
    gateway = fleet.gateway(cut, service=service)
    emit = gateway.event_log.emit

    def add_endpoints_after_first_send(event, **fields):
        emit(event, **fields)
        if event == "request_sent" and fields["send"] == 1:
            rest = [other, same] if goes_on else [other]
            fleet.serve(gateway, cut, *rest, service=service)

    gateway.event_log.emit = add_endpoints_after_first_send
    response, body = gateway.ask(path, id="r1")
    assert response.status == 200
    assert b"token 2" in body
    assert response.whole == goes_on
    assert len(same.runs) == goes_on
    assert not other.runs


@pytest.mark.parametrize("path, service", [("/ask/1", "models"), ("/feed/1", "app")])
def test_a_stream_taken_up_by_its_caller_goes_on_at_its_own_version_only(
    fleet, path, service
):
    first = fleet.endpoint("v1", "stream")
    other, same = fleet.endpoint("v2", "stream"), fleet.endpoint("v1", "stream")
    gateway = fleet.gateway(first, service=service)
    assert gateway.ask(path, id="r1")[0].status == 200
    fleet.serve(gateway, other, service=service)
    response, _ = resume(gateway, path)
    assert response.status == 503
    fleet.serve(gateway, other, same, service=service)
    assert resume(gateway, path)[0].status == 200
    assert not other.runs
