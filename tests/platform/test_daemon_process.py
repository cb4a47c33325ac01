"""Guards the daemon process: start, store changes, peers and graceful shutdown."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from standins.metadata_store import MetadataStore, MetadataStoreServer
from standins.platform_objects import configuration, server
from standins.ports import free_port
from standins.scripted_endpoint import ScriptedEndpoint
from tests.gateway_kit import wait_until

START = Path(__file__).parents[2] / "deploy" / "start.py"
PLATFORM_HEADERS = {
    "Host": "shop.example",
    "Authorization": "Token key-1",
    "Attempt-Id": "r1",
    "Deadline-Ms": "2000",
}


class Instance:
    """Runs one daemon as a subprocess."""

    def __init__(self, folder: Path, name: str, store: str, seeds: list[str]):
        self.settings = {
            "instance": name,
            "zone": "a",
            "callers_address": f"127.0.0.1:{free_port()}",
            "readiness_address": f"127.0.0.1:{free_port()}",
            "peer_address": f"127.0.0.1:{free_port()}",
            "store_address": store,
            "seeds": seeds,
            "bounds": {"grace_s": 5},
        }
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> "Instance":
        self.path.write_text(json.dumps(self.settings))
        environment = {**os.environ, "LAGOONRILL_CONFIG": str(self.path)}
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(START)],
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
                # As in `bench.processes`.
                start_new_session=True,
            )
        return self

    def get(self, path: str) -> tuple[int, str]:
        host, _, port = self.settings["readiness_address"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=2)
        with contextlib.closing(connection):
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read().decode()

    def ready(self) -> bool:
        try:
            return self.get("/v1/ready")[0] == 200
        except OSError:
            return False

    def state(self) -> dict:
        return json.loads(self.get("/state")[1])

    def ask(self, path: str, **headers) -> int:
        host, _, port = self.settings["callers_address"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        with contextlib.closing(connection):
            connection.request("POST", path, headers={**PLATFORM_HEADERS, **headers})
            response = connection.getresponse()
            response.read()
            return response.status

    def events(self, name: str) -> list[dict]:
        lines = self.log.read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in found if line["event"] == name]

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(10)


@pytest.fixture
def store(tmp_path):
    store = MetadataStore()
    store.server = MetadataStoreServer(store)
    endpoint = ScriptedEndpoint(id="i-1", script=["platform_answer"])
    store.put("config", "main", configuration())
    store.put("servers", "i-1", server(Service="desk", Address=endpoint.address))
    instances = []

    def start(name: str, seeds=(), **options):
        address = options.pop("store", store.server.address)
        instance = Instance(tmp_path, name, address, list(seeds)).start()
        instances.append(instance)
        return instance

    store.start = start
    store.endpoint = endpoint
    yield store
    for instance in instances:
        if instance.process.poll() is None:
            instance.process.kill()
            instance.process.wait()
    store.server.close()
    endpoint.close()


def test_serves_follows_the_store_and_stops_as_planned(store):
    instance = store.start("a")
    assert wait_until(instance.ready, 10)
    assert instance.ask("/order/1") == 200
    assert store.endpoint.runs[0].header("Tenant") == "shop"
    assert store.endpoint.runs[0].header("Target-Instance") == "i-1"

    # A newer configuration without the route takes effect within the time limit.
    store.put("config", "main", configuration(Version=9, Routes=[]))
    assert wait_until(lambda: instance.ask("/order/1") == 404, 2)
    # An older configuration is never installed.
    store.put("config", "main", configuration(Version=8))
    time.sleep(0.5)
    assert instance.ask("/order/1") == 404

    started = time.monotonic()
    assert instance.stop() == 0
    assert time.monotonic() - started < 5
    assert instance.events("started")
    assert instance.events("stopped")[0]["cut_off"] == 0


def test_bad_configuration_and_bad_entries_leave_the_last_good_state(store):
    instance = store.start("a")
    assert wait_until(instance.ready, 10)
    store.put("config", "main", {"Version": 11, "Routes": "none"})
    store.put("servers", "i-2", {"Service": 5})
    assert wait_until(lambda: len(instance.events("warning")) >= 2, 3)
    # Operators see that the newest configuration is not the one in force.
    metrics = instance.get("/metrics")[1]
    assert "lagoonrill_configuration_unreadable 1" in metrics
    assert "lagoonrill_endpoints_unreadable 1" in metrics
    followers = {item["kind"]: item for item in instance.state()["followers"]}
    assert followers["configuration"]["unreadable"] == ["main"]
    assert instance.ask("/order/1") == 200


def test_instance_without_store_access_is_configured_by_a_peer(store):
    # The second instance has never reached the store; the first one has.
    first = store.start("a")
    assert wait_until(first.ready, 10)
    second = store.start(
        "b",
        seeds=[first.settings["peer_address"]],
        store=f"127.0.0.1:{free_port()}",
    )
    assert wait_until(second.ready, 10)
    assert second.ask("/order/1") == 200
    store.put("config", "main", configuration(Version=9, Routes=[]))
    assert wait_until(lambda: second.ask("/order/1") == 404, 3)
    # The log is written asynchronously, shortly after the events.
    assert wait_until(lambda: len(second.events("config_installed")) == 2)
    installed = second.events("config_installed")
    assert [line["source"] for line in installed] == ["peer", "peer"]


def test_bad_settings_are_refused_with_key_and_remedy(tmp_path):
    path = tmp_path / "bad.json"
    path.write_text('{"instance": "a", "callers_address": "nowhere"}')
    done = subprocess.run(
        [sys.executable, str(START)],
        env={**os.environ, "LAGOONRILL_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert done.returncode == 2
    assert "zone" in done.stderr


def test_reload_takes_good_settings_and_keeps_the_last_good_ones(store):
    instance = store.start("a")
    assert wait_until(instance.ready, 10)
    instance.path.write_text("{")
    instance.process.send_signal(signal.SIGHUP)
    assert wait_until(lambda: instance.events("settings_refused"), 3)
    instance.settings["bounds"]["retry_fixed"] = 3
    # A changed file is also reloaded without a signal.
    instance.path.write_text(json.dumps(instance.settings))
    assert wait_until(lambda: instance.events("settings_reloaded"), 4)
    assert instance.ask("/order/1") == 200
