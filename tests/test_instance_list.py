"""Guards against an outage or an invalid answer that is read as an empty list."""

import time

import msgspec
import pytest
import urllib3
from returns.result import Failure, Success

from bench.processes import start_stand_in
from lagoonrill._internal.protocol.objects import ListedInstance
from lagoonrill._internal.protocol.settings import PlatformSettings
from lagoonrill._internal.transport.instance_list import InstanceList


def entry(state: str = "live") -> ListedInstance:
    return ListedInstance(
        id="a1", zone="a", role="entry", address="127.0.0.1:1", state=state
    )


def client_of(url: str) -> InstanceList:
    return InstanceList(
        settings=PlatformSettings(
            object_api_url=url, instance_list_url=url, call_timeout_s=0.5
        )
    )


@pytest.fixture
def process():
    process = start_stand_in("instance_list")
    yield process
    process.stop()


def change(process, method: str, path: str, value) -> None:
    body = msgspec.json.encode(value)
    assert urllib3.request(method, process.url + path, body=body).status == 200


def test_entries_are_added_changed_and_removed(process):
    client = client_of(process.url)
    assert client.fetch() == Success([])
    for state in ("live", "leaving"):
        change(process, "PUT", "/instances/a1", entry(state))
        assert client.fetch() == Success([entry(state)])
    change(process, "DELETE", "/instances/a1", None)
    assert client.fetch() == Success([])


def test_changes_appear_after_the_lag(process):
    client = client_of(process.url)
    change(process, "POST", "/faults", {"lag_s": 0.3})
    started_at = time.monotonic()
    change(process, "PUT", "/instances/a1", entry())
    assert client.fetch() == Success([])
    while client.fetch() == Success([]):
        assert time.monotonic() - started_at < 5
    assert time.monotonic() - started_at >= 0.3


@pytest.mark.parametrize("faults", [{"down": True}, {"slow_ms": 1_500}])
def test_outage_is_an_error(process, faults):
    change(process, "PUT", "/instances/a1", entry())
    change(process, "POST", "/faults", faults)
    assert isinstance(client_of(process.url).fetch(), Failure)


def test_refused_connection_and_bad_answer_are_errors(process):
    assert isinstance(client_of("http://127.0.0.1:1").fetch(), Failure)
    # The stand-in answers this path with 404 and a JSON object.
    assert isinstance(client_of(process.url + "/faults").fetch(), Failure)
