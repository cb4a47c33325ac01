"""Guards against stale routing after answers to watches were lost.

The store falls silent while connections to it stay open, an object changes meanwhile,
and the silence ends by itself. The answers to the watches of all instances are lost,
and no peer knows more.
"""

import time

import pytest

from lagoonrill._internal.coordination.store_follower import MAX_PAUSE_S
from lagoonrill._internal.protocol.gateway_settings import GatewayBounds
from lagoonrill.platform import _store
from standins.metadata_store import MetadataStore, MetadataStoreServer
from standins.platform_objects import configuration, server
from standins.scripted_endpoint import ScriptedEndpoint
from tests.gateway_kit import wait_until
from tests.platform.test_daemon_process import Instance

SILENCE_S = 1.2
CONTACT_S = GatewayBounds().contact_ms / 1000
DRAIN_S = GatewayBounds().drain_ms / 1000
# Time to connect, receive and apply an answer on a busy processor.
REFRESH_S = 0.3


class Fleet:
    """Two instances that follow one store."""

    def __init__(self, folder):
        self.store = MetadataStore()
        self.server = MetadataStoreServer(self.store)
        self.endpoints = [
            ScriptedEndpoint(id=f"i-{number}", script=["platform_answer"])
            for number in range(3)
        ]
        self.store.put("config", "main", configuration())
        for endpoint in self.endpoints:
            self.register(endpoint)
        first = Instance(folder, "a", self.server.address, [])
        second = Instance(
            folder, "b", self.server.address, [first.settings["peer_address"]]
        )
        self.instances = [first.start(), second.start()]

    def register(self, endpoint, **options) -> None:
        entry = server(Service="desk", Address=endpoint.address, **options)
        self.store.put("servers", endpoint.id, entry)

    def change_in_silence(self, change) -> None:
        self.store.silent = True
        time.sleep(SILENCE_S / 2)
        change()
        time.sleep(SILENCE_S / 2)
        self.store.silent = False

    def all_meet(self, condition) -> bool:
        return all(condition(instance) for instance in self.instances)

    def close(self) -> None:
        for instance in self.instances:
            instance.process.kill()
            instance.process.wait()
        for endpoint in self.endpoints:
            endpoint.close()
        self.server.close()


@pytest.fixture
def fleet(tmp_path):
    built = Fleet(tmp_path)
    yield built
    built.close()


def known_endpoints(instance) -> set[str]:
    return {item["record"]["id"] for item in instance.state()["endpoints"]}


def test_a_configuration_written_during_a_silence_is_in_force_in_time(fleet):
    assert wait_until(lambda: fleet.all_meet(Instance.ready), 10)
    changed = configuration(Version=9, Routes=[])
    fleet.change_in_silence(lambda: fleet.store.put("config", "main", changed))
    assert wait_until(
        lambda: fleet.all_meet(lambda one: one.ask("/order/1") == 404), CONTACT_S
    )


def test_a_departure_after_a_silence_with_another_change_is_known_in_time(fleet):
    assert wait_until(lambda: fleet.all_meet(Instance.ready), 10)
    left, leaves, _ = fleet.endpoints
    fleet.change_in_silence(lambda: fleet.register(left, State="draining"))
    time.sleep(CONTACT_S)
    fleet.store.delete("servers", leaves.id)
    assert wait_until(
        lambda: fleet.all_meet(lambda one: leaves.id not in known_endpoints(one)),
        DRAIN_S,
    )


@pytest.mark.parametrize("timeout_s", [_store.CALL_TIMEOUT_S, _store.WATCH_MARGIN_S])
def test_a_call_that_is_lost_at_the_end_of_a_silence_is_repeated_in_time(timeout_s):
    assert timeout_s + MAX_PAUSE_S + REFRESH_S < CONTACT_S
