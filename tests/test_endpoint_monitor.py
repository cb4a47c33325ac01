"""Guards against requests to endpoints that a source reports as leaving or down."""

import socket
import threading
import time

import msgspec
import pytest

from lagoonrill._internal.coordination.endpoint_monitor import (
    LOADS_PER_HEARTBEAT,
    EndpointMonitor,
)
from lagoonrill._internal.coordination.instance_watch import InstanceWatch
from lagoonrill._internal.coordination.membership import LocalState, PeerReports
from lagoonrill._internal.protocol.load import LoadReport
from lagoonrill._internal.protocol.manifest import Endpoint, Manifest
from lagoonrill._internal.protocol.messages import EndpointLoad
from lagoonrill._internal.state.endpoint_table import EndpointTable
from lagoonrill._internal.transport.load_client import LoadClient
from standins.server import StandIn, json_response

from .support import start_member, wait_until

LIMIT_S = 3.0


class ListedEndpoint(msgspec.Struct, kw_only=True):
    id: str
    state: str = "live"
    role: str = "endpoint"
    zone: str = "tunis-a"
    peer_address: str = ""


class RecordingTable:
    """Records calls in sets; `mark_up` does not clear reports of leaving."""

    def __init__(self):
        self.leaving: dict[str, set[str]] = {}
        self.down: set[str] = set()
        self.loads: dict[str, LoadReport] = {}

    def report_load(self, endpoint_id, report):
        self.loads[endpoint_id] = report

    def mark_leaving(self, endpoint_id, source):
        self.leaving.setdefault(endpoint_id, set()).add(source)

    def mark_down(self, endpoint_id, reason):
        self.down.add(endpoint_id)

    def mark_up(self, endpoint_id):
        self.down.discard(endpoint_id)

    def clear_leaving(self, endpoint_id, source):
        self.leaving[endpoint_id].remove(source)

    def usable(self, endpoint_id):
        return not self.leaving.get(endpoint_id) and endpoint_id not in self.down


class LoadServer:
    """Serves `GET /load` over HTTP."""

    def __init__(self, port: int = 0):
        from cheroot import wsgi

        self.report = LoadReport(running=1, slots=4)
        self.stand_in = StandIn(faults=LoadReport())
        self.stand_in.add_route("GET", "/load", lambda _: json_response(self.report))
        self.server = wsgi.Server(("127.0.0.1", port), self.stand_in, numthreads=4)
        self.server.prepare()
        self.port = self.server.bind_addr[1]
        threading.Thread(target=self.server.serve, daemon=True).start()

    def endpoint(self, **options) -> Endpoint:
        url = f"http://127.0.0.1:{self.port}"
        return Endpoint(id="llm-1", url=url, zone="tunis-a", slots=4, **options)


@pytest.fixture
def started():
    """Stops the collected components after the test, in order."""
    items = []
    yield items
    for item in items:
        item.stop()


@pytest.fixture
def server():
    load_server = LoadServer()
    yield load_server
    load_server.server.stop()


def start_monitor(started, endpoint, members=lambda: {"a": "tunis-a"}):
    monitor = EndpointMonitor(
        instance="a",
        zone="tunis-a",
        table=RecordingTable(),
        fetch_load=LoadClient(threads=8).fetch,
        members=members,
    )
    monitor.apply_manifest(Manifest(classes=[], endpoints=[endpoint], teams=[]))
    monitor.start()
    started.append(monitor)
    wait_until(lambda: "llm-1" in monitor.table.loads)
    assert monitor.table.usable("llm-1")
    return monitor


@pytest.mark.parametrize("source", ["load_report", "answer", "manifest"])
def test_leaving_by_a_source_with_a_stale_list(started, server, source):
    """Guards against a stale Instance list that overrides a newer source."""
    monitor = start_monitor(started, server.endpoint())
    stale = InstanceWatch(
        instance_list=FixedList([ListedEndpoint(id="llm-1")]),
        interval_s=0.2,
        subscribers=[monitor.update_listed],
    )
    stale.start()
    started.append(stale)
    if source == "load_report":
        server.report = LoadReport(running=1, slots=4, state="leaving")
    elif source == "answer":
        monitor.report_leaving("llm-1")
    else:
        draining = server.endpoint(drain=True)
        monitor.apply_manifest(Manifest(classes=[], endpoints=[draining], teams=[]))
    wait_until(lambda: source in monitor.table.leaving.get("llm-1", ()), LIMIT_S)
    assert monitor.leaving_endpoints() == ["llm-1"]


class FixedList:
    def __init__(self, entries):
        self.entries = entries

    def fetch(self):
        from returns.result import Success

        return Success(self.entries)


def test_leaving_by_the_instance_list(started, server):
    """Guards against the list's state being lost while load reports still say live."""
    monitor = start_monitor(started, server.endpoint())
    instances = FixedList([ListedEndpoint(id="llm-1")])
    watch = InstanceWatch(
        instance_list=instances, interval_s=1.0, subscribers=[monitor.update_listed]
    )
    watch.start()
    started.append(watch)
    wait_until(lambda: watch.dump().entries == 1)
    assert monitor.table.usable("llm-1")
    instances.entries = [ListedEndpoint(id="llm-1", state="leaving")]
    wait_until(lambda: "instance_list" in monitor.table.leaving.get("llm-1", ()), 3.0)
    time.sleep(0.7)
    assert not monitor.table.usable("llm-1")
    instances.entries = [ListedEndpoint(id="llm-1")]
    wait_until(lambda: monitor.table.usable("llm-1"))


def test_leaving_reported_and_withdrawn_by_a_peer(started, server):
    """Guards against a peer's report that is ignored, sent back or never dropped."""
    monitor = start_monitor(started, server.endpoint())
    source = []
    reports = PeerReports(leaving_endpoints=monitor.update_peer_leaving)
    local = LocalState(leaving_endpoints=monitor.leaving_endpoints)
    first = start_member("a", reports=reports, local=local)
    started.append(first)
    other = LocalState(leaving_endpoints=lambda: source)
    started.append(start_member("b", first.link.address, local=other))
    wait_until(lambda: first.live_peers())
    source.append("llm-1")
    wait_until(lambda: "peer" in monitor.table.leaving.get("llm-1", ()), LIMIT_S)
    monitor.table.leaving.clear()
    wait_until(lambda: "peer" in monitor.table.leaving.get("llm-1", ()), LIMIT_S)
    assert monitor.leaving_endpoints() == []
    source.clear()
    wait_until(lambda: monitor.table.usable("llm-1"), 10.0)


def test_refused_endpoint_is_down_until_it_answers(started):
    """Guards against an endpoint that stays down, or up, after it crashed."""
    # cheroot allows rebinding a fixed port at once, but not an ephemeral one.
    with socket.create_server(("127.0.0.1", 0)) as reserved:
        port = reserved.getsockname()[1]
    server = LoadServer(port)
    monitor = start_monitor(started, server.endpoint())
    server.server.stop()
    wait_until(lambda: "llm-1" in monitor.table.down)
    assert monitor.down_endpoints() == ["llm-1"]
    restarted = LoadServer(port)
    wait_until(lambda: monitor.table.usable("llm-1"))
    monitor.report_failure("llm-1", "refused a request")
    assert not monitor.table.usable("llm-1")
    wait_until(lambda: monitor.table.usable("llm-1"))
    restarted.server.stop()


def test_frozen_endpoint_goes_down_and_does_not_hold_up_others(started, server):
    """Guards against polls of silent endpoints that occupy all polling threads."""
    with socket.create_server(("127.0.0.1", 0)) as silent:
        url = f"http://127.0.0.1:{silent.getsockname()[1]}"
        endpoints = [server.endpoint()] + [
            Endpoint(id=f"silent-{n}", url=url, zone="tunis-a", slots=1)
            for n in range(12)
        ]
        monitor = start_monitor(started, server.endpoint())
        monitor.apply_manifest(Manifest(classes=[], endpoints=endpoints, teams=[]))
        wait_until(lambda: len(monitor.table.down) == 12, 20.0)
        server.report = LoadReport(running=1, slots=4, state="leaving")
        wait_until(lambda: not monitor.table.usable("llm-1"), LIMIT_S)


def test_large_fleet_polls_a_subset_and_learns_the_rest(started, server):
    """Guards against endpoints that no instance polls, or that every one polls."""
    zones = {f"i{n}": f"z{n % 3}" for n in range(24)}
    endpoints = [
        Endpoint(id=f"e{n}", url="http://127.0.0.1:9", zone=f"z{n % 3}", slots=1)
        for n in range(30)
    ]
    manifest = Manifest(classes=[], endpoints=endpoints, teams=[])
    polled = []
    for name, zone in zones.items():
        monitor = EndpointMonitor(
            instance=name,
            zone=zone,
            table=RecordingTable(),
            fetch_load=lambda url: None,
            members=lambda: zones,
        )
        monitor.apply_manifest(manifest)
        monitor._refresh_once()
        polled += [e.endpoint for e in monitor.dump().endpoints if e.polled]
    assert {name: polled.count(name) for name in polled} == {e.id: 2 for e in endpoints}
    other = next(e.id for e in endpoints if e.zone == zone and e.id not in polled[-30:])
    shared = [EndpointLoad(endpoint=other, running=3, waiting=1, slots=4, age_ms=100)]
    monitor.take_loads(shared)
    assert monitor.table.loads[other].running == 3
    assert other in [load.endpoint for load in monitor.loads_to_share()]
    assert len(monitor.loads_to_share()) <= LOADS_PER_HEARTBEAT
    monitor.update_peer_down({other})
    assert not monitor.table.usable(other)
    monitor.update_peer_down(set())
    assert monitor.table.usable(other)


@pytest.mark.parametrize("source", ["peer", "instance_list"])
def test_endpoint_table_keeps_a_report_while_its_source_repeats_it(source):
    """Guards against reports that expire while repeated, or outlive their source."""
    table = EndpointTable()
    monitor = EndpointMonitor(
        instance="a",
        zone="tunis-a",
        table=table,
        fetch_load=lambda url: None,
        members=lambda: {"a": "tunis-a"},
    )
    engine = Endpoint(
        id="llm-1", url="http://127.0.0.1:9", zone="tunis-a", slots=4, models=["m"]
    )
    manifest = Manifest(classes=[], endpoints=[engine], teams=[])
    table.apply_manifest(manifest)
    monitor.apply_manifest(manifest)

    def report(leaving):
        if source == "peer":
            monitor.update_peer_leaving({"llm-1"} if leaving else set())
        else:
            state = "leaving" if leaving else "live"
            monitor.update_listed([ListedEndpoint(id="llm-1", state=state)])
        monitor._refresh_once()

    until = time.monotonic() + 6.0
    while time.monotonic() < until:
        report(True)
        assert table.candidates("m") == []
        time.sleep(0.5)
    report(False)
    assert len(table.candidates("m")) == 1
