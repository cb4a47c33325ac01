"""Guards against streams that go on at another software version than they began at.

Real gateways and a store that does not serve all of them, or loses what it had. What
callers hold at the end is checked, from the version that each event names.
"""

import contextlib
import http.client
import re
import threading
import time

import pytest

from bench.soak.endpoints import Proxy, SoakEndpoint
from bench.soak.history import DEADLY_BODY, History
from lagoonrill._internal.coordination.policy.stream_history import MAX_LIST_LAG_S
from standins.metadata_store import MetadataStore, MetadataStoreServer
from standins.platform_objects import configuration, server
from tests.gateway_kit import wait_until
from tests.platform.test_daemon_process import PLATFORM_HEADERS, Instance

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
STREAMS = 16
# Streams begin at this interval.
SPACING_S = 0.04
# Time for a change of endpoints to reach all instances.
FOLLOW_S = 1.5
AWAY_S = 0.6


class Stream:
    """A stream that begins at one instance and is taken up at another."""

    def __init__(self, id: str):
        self.id = id
        self.body = b""
        self.status = 0
        self.taken_up_status = 0
        self.retry_after_s = 0.0

    def begin(self, instance) -> None:
        self.status = self.send(instance, self.id)

    def take_up(self, instance) -> None:
        """Goes on after the first two events, as if the stream had broken there."""
        events = EVENT.findall(self.body)[:2]
        self.body = b"".join(b"id: %b\ndata: %b\n\n" % item for item in events)
        headers = {"Last-Event-Id": events[-1][0].decode(), "Resumes": self.id}
        for attempt in range(3):
            self.retry_after_s = 0.0
            self.taken_up_status = self.send(
                instance, f"{self.id}-{attempt}", **headers
            )
            if not self.retry_after_s:
                return
            time.sleep(self.retry_after_s)

    def send(self, instance, id: str, *, body: bytes = b"", **headers) -> int:
        host, _, port = instance.settings["callers_address"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=3)
        sent = {**PLATFORM_HEADERS, "Attempt-Id": id, "Deadline-Ms": "8000"}
        sent |= {"Model": "m", "Token-Usage": "100,20", "Prompt-Prefix": f"{id}:100"}
        status = 0
        with (
            contextlib.closing(connection),
            contextlib.suppress(OSError, http.client.HTTPException),
        ):
            connection.request("POST", "/ask/1", body=body, headers=sent | headers)
            response = connection.getresponse()
            status = response.status
            self.retry_after_s = float(response.getheader("Retry-After") or 0)
            while status == 200 and (data := response.read1(65_536)):
                self.body += data
        return status

    def versions(self) -> set[bytes]:
        return {version for _, version in EVENT.findall(self.body)}


class Fleet:
    """Three instances; the store of the last one is behind a proxy."""

    def __init__(self, folder):
        self.store = MetadataStore()
        self.server = MetadataStoreServer(self.store)
        host, _, port = self.server.address.rpartition(":")
        self.link = Proxy(target=(host, int(port)))
        self.history = History()
        self.endpoints: list[SoakEndpoint] = []
        self.store.put("config", "main", configuration())
        self.serve("v1")
        self.instances = []
        stores = (self.server.address, self.server.address, self.link.address)
        for name, store in zip("abc", stores, strict=True):
            seeds = [item.settings["peer_address"] for item in self.instances]
            self.instances.append(Instance(folder, name, store, seeds).start())
        self.taker, _, self.beginner = self.instances
        self.streams: list[Stream] = []
        self.threads: list[threading.Thread] = []

    def serve(self, version: str, count: int = 2) -> None:
        for _ in range(count):
            endpoint = SoakEndpoint(
                id=f"i-{len(self.endpoints)}",
                service="models",
                version=version,
                history=self.history,
                seed=len(self.endpoints),
            )
            self.endpoints.append(endpoint)
            self.register(endpoint)

    def register(self, endpoint) -> None:
        entry = server(Address=endpoint.listener.address, Version=endpoint.version)
        self.store.put("servers", endpoint.id, entry)

    def settle(self) -> None:
        """Waits until streams of the default version need no record any more."""
        assert wait_until(lambda: all(item.ready() for item in self.instances), 15)
        assert wait_until(lambda: len(self.taker.state()["peers"]) == 2, 5)
        time.sleep(FOLLOW_S)

    def begin(self, count: int = STREAMS) -> None:
        for _ in range(count):
            stream = Stream(f"s{len(self.streams)}")
            self.streams.append(stream)
            thread = threading.Thread(target=stream.begin, args=(self.beginner,))
            thread.start()
            self.threads.append(thread)
            time.sleep(SPACING_S)

    def kill_beginner(self) -> None:
        self.beginner.process.kill()
        self.beginner.process.wait()
        for thread in self.threads:
            thread.join()

    def take_up(self) -> None:
        """Takes all streams up at once, as their callers would."""
        threads = [
            threading.Thread(target=stream.take_up, args=(self.taker,))
            for stream in self.streams
            if stream.versions()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def kill_all(self) -> None:
        for instance in self.instances:
            instance.process.kill()
            instance.process.wait()
        for thread in self.threads:
            thread.join()

    def restart(self, *instances) -> None:
        for instance in instances:
            instance.start()

    def restore_store(self, age_s: float, *, meanwhile) -> None:
        """Takes the store away for a moment; it comes back from an older copy."""
        self.store.refusal_status = 503
        meanwhile()
        time.sleep(AWAY_S)
        self.store.restore(age_s)
        self.store.put("config", "main", configuration())
        for endpoint in self.endpoints:
            self.register(endpoint)
        self.store.refusal_status = 0

    def mixed(self) -> list[str]:
        return [item.id for item in self.streams if len(item.versions()) > 1]

    def went_on(self) -> int:
        return sum(item.taken_up_status == 200 for item in self.streams)

    def close(self) -> None:
        for instance in self.instances:
            instance.process.kill()
            instance.process.wait()
        for endpoint in self.endpoints:
            endpoint.close()
        self.link.close()
        self.server.close()


@pytest.fixture
def fleet(tmp_path):
    built = Fleet(tmp_path)
    yield built
    built.close()


@pytest.mark.parametrize("mode", ["reset", "silent"])
def test_streams_of_an_instance_that_the_store_turns_away_go_on_at_their_version(
    fleet, mode
):
    """The instance ends before the store serves it again."""
    fleet.settle()
    fleet.serve("v2")
    time.sleep(FOLLOW_S)
    fleet.link.set_mode(mode)
    fleet.begin()
    time.sleep(0.3)
    begun = {version for item in fleet.streams for version in item.versions()}
    assert begun == {b"v1", b"v2"}
    fleet.kill_beginner()
    fleet.take_up()
    assert not fleet.mixed()
    assert fleet.went_on() >= STREAMS / 2


@pytest.mark.parametrize("mode", ["reset", "silent"])
def test_streams_go_on_at_an_instance_that_the_store_turns_away(fleet, mode):
    """It refused those without a record, as it could not look them up."""
    fleet.settle()
    # Streams of the default version need no record any more.
    time.sleep(MAX_LIST_LAG_S)
    fleet.serve("v2")
    time.sleep(FOLLOW_S)
    fleet.taker, fleet.beginner = fleet.beginner, fleet.taker
    fleet.begin()
    fleet.link.set_mode(mode)
    assert wait_until(lambda: all(item.versions() for item in fleet.streams))
    fleet.kill_beginner()
    fleet.take_up()
    assert not fleet.mixed()
    assert fleet.went_on() == STREAMS


@pytest.mark.parametrize("ends", ["planned", "killed"])
def test_streams_of_an_ended_instance_go_on_after_the_store_has_lost_their_records(
    fleet, ends
):
    """The store comes back from a copy from before they began."""
    fleet.settle()
    fleet.serve("v2")
    time.sleep(FOLLOW_S)
    began_at = time.monotonic()
    fleet.begin()
    time.sleep(0.3)
    assert {v for item in fleet.streams for v in item.versions()} == {b"v1", b"v2"}
    if ends == "planned":
        assert fleet.beginner.stop() == 0
    fleet.restore_store(
        time.monotonic() - began_at + FOLLOW_S / 2, meanwhile=fleet.kill_beginner
    )
    fleet.take_up()
    assert not fleet.mixed()
    assert fleet.went_on() >= STREAMS / 2


def test_streams_begun_in_an_outage_go_on_at_their_version_after_all_are_killed(fleet):
    """Peers kept the records of streams in memory, which all instances lost."""
    fleet.settle()
    time.sleep(MAX_LIST_LAG_S)
    fleet.serve("v2")
    time.sleep(FOLLOW_S)
    fleet.store.refusal_status = 503
    fleet.begin()
    # Streams of the default version need no record, so an outage stops none of them.
    assert wait_until(lambda: all(item.versions() for item in fleet.streams))
    fleet.kill_all()
    fleet.restart(*fleet.instances)
    fleet.store.refusal_status = 0
    assert wait_until(fleet.taker.ready, 15)
    fleet.take_up()
    assert not fleet.mixed()
    assert fleet.went_on() == STREAMS


def test_streams_go_on_at_a_process_that_starts_as_the_store_is_restored(fleet):
    """It reached the store before those that keep the records knew of the restore."""
    fleet.settle()
    fleet.serve("v2")
    time.sleep(FOLLOW_S)
    taker, beginner, witness = fleet.instances
    fleet.beginner = beginner
    began_at = time.monotonic()
    fleet.begin()
    time.sleep(0.3)
    assert {v for item in fleet.streams for v in item.versions()} == {b"v1", b"v2"}
    # The only process with a past does not reach the store until all are taken up.
    fleet.link.set_mode("silent")

    def kill_both() -> None:
        taker.process.kill()
        taker.process.wait()
        fleet.kill_beginner()

    age_s = time.monotonic() - began_at + FOLLOW_S / 2
    fleet.restore_store(age_s, meanwhile=kill_both)
    taker.start()
    assert wait_until(taker.ready, 15)
    fleet.take_up()
    assert not fleet.mixed()
    assert fleet.went_on() == STREAMS


def test_findings_are_written_again_if_the_first_instance_is_a_new_process(fleet):
    """It knew of no restore, and endpoints had to crash anew after the next loss."""
    fleet.settle()
    fleet.serve("v1", count=6)
    time.sleep(FOLLOW_S)
    first, _, _ = fleet.instances
    began_at = time.monotonic()
    deadly = Stream("deadly")
    for number in range(20):
        if fleet.store.kinds.get("poison-parts"):
            break
        deadly.send(first, f"deadly-{number}", body=DEADLY_BODY)
        time.sleep(0.2)
    assert fleet.store.kinds["poison-parts"]

    def kill_first() -> None:
        first.process.kill()
        first.process.wait()

    fleet.restore_store(time.monotonic() - began_at + 0.5, meanwhile=kill_first)
    assert not fleet.store.kinds.get("poison-parts")
    first.start()
    assert wait_until(lambda: fleet.store.kinds.get("poison-parts"), 8)
