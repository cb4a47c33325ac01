"""Guards the time from a new configuration to its use on an instance that is slow.

Failure: eight versions of a configuration with 1,200 routes came within three seconds.
An instance with 10 Mbit/s fetched one after the other, all instances asked the same
peer for the whole configuration, and revoked keys were accepted for over three seconds.
"""

import contextlib
import random
import socket
import threading
import time
from collections import Counter

import msgspec
import pytest
import urllib3
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from lagoonrill._internal.coordination.routing_catch_up import (
    ASK_AFTER_S,
    AVOID_PEER_S,
    RoutingCatchUp,
)
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.config_changes import (
    MAX_CHANGED_ENTRIES,
    apply_change,
    difference,
)
from lagoonrill._internal.protocol.errors import PeerError
from lagoonrill._internal.protocol.messages import (
    GatewayDigest,
    RoutingRequest,
    encode_message,
)
from lagoonrill._internal.protocol.routing import (
    RoutedTeam,
    RouteKind,
    StorePosition,
)
from lagoonrill._internal.state.route_table import RoutingState
from lagoonrill._internal.transport.bounded_body import BodyLimitError, read_body
from lagoonrill._internal.transport.store_connection import (
    RECEIVING_S,
    StoreConnection,
)
from tests.gateway_kit import KEY, config, route

ROUTE_COUNT = 1_200


def large_config(version: int, revoked: int = 0):
    """Returns a version in which the first `revoked` keys no longer exist."""
    routes = tuple(route(f"r{n}", RouteKind.SAFE) for n in range(ROUTE_COUNT))
    teams = {f"key-{n}": RoutedTeam(name=f"team-{n}") for n in range(revoked, 48)}
    return config(version, routes, teams=teams)


class DiscoveryStub:
    """A list of endpoints that never changes."""

    position = StorePosition(0, 5)

    def snapshot(self):
        return self.position, [], {}


class FreshnessStub:
    """An instance that reaches the store and whose list of endpoints is current."""

    endpoints = type("Copy", (), {"peer_ahead_s": lambda digests: 0.0})

    def in_touch(self):
        return True


class Fleet:
    """Instances that can ask each other; a peer in `silent` answers nobody."""

    def __init__(self, count: int):
        self.now = 10.0
        self.silent: set[str] = set()
        self.asked: list[str] = []
        self.reply_bytes: list[int] = []
        self.catch_ups: dict[str, RoutingCatchUp] = {}
        for number in range(count):
            name = f"i{number}"
            self.catch_ups[name] = RoutingCatchUp(
                instance=name,
                link=self,
                routing=RoutingState(),
                discovery=DiscoveryStub(),
                digests=lambda name=name: self.digests(name),
                freshness=FreshnessStub(),
                event_log=EventLog(),
                clock=lambda: self.now,
            )

    def install(self, names, configuration) -> None:
        for name in names:
            self.catch_ups[name].routing.install(configuration)

    def digests(self, asking: str) -> list[GatewayDigest]:
        return [
            GatewayDigest(
                instance=name,
                zone="a",
                address=name,
                config_version=item.routing.version,
                endpoint_revision=5,
            )
            for name, item in self.catch_ups.items()
            if name != asking
        ]

    def request(self, address, message, timeout_s):
        self.asked.append(address)
        if address in self.silent:
            self.now += timeout_s
            return Failure(PeerError(message="no answer"))
        reply = self.catch_ups[address].answer(message)
        self.reply_bytes.append(len(encode_message(reply)))
        return Success(reply)

    def review(self, names) -> None:
        for name in names:
            self.catch_ups[name].review()

    def versions(self) -> set[int]:
        return {item.routing.version for item in self.catch_ups.values()}


def test_versions_in_quick_succession_reach_all_instances_as_small_changes():
    fleet = Fleet(20)
    names = list(fleet.catch_ups)
    fleet.install(names, large_config(1))
    # Only the first two instances get these versions from the store in time.
    for version in range(2, 10):
        fleet.install(names[:2], large_config(version, revoked=version))
        fleet.now += 0.3
    fleet.review(names[2:])
    fleet.now += ASK_AFTER_S + 0.01
    fleet.review(names[2:])
    assert fleet.versions() == {9}
    for item in fleet.catch_ups.values():
        assert item.routing.table.config == large_config(9, revoked=9)
    assert max(fleet.reply_bytes) < 4_000
    assert max(Counter(fleet.asked).values()) < 10


def test_instance_that_missed_too_much_gets_the_whole_configuration():
    fleet = Fleet(2)
    fleet.install(["i1"], large_config(1))
    fleet.review(["i0"])
    fleet.now += ASK_AFTER_S + 0.01
    fleet.review(["i0"])
    assert fleet.versions() == {1}


def test_peer_that_does_not_answer_is_not_asked_again_at_once():
    fleet = Fleet(4)
    names = list(fleet.catch_ups)
    fleet.install(names, large_config(1))
    fleet.install(names[1:], large_config(2, revoked=1))
    fleet.silent = {max(names[1:], key=lambda name: name)}
    fleet.silent |= {"i1"}
    fleet.review(["i0"])
    fleet.now += ASK_AFTER_S + 0.01
    for _ in range(3):
        fleet.review(["i0"])
    assert fleet.versions() == {2}
    assert len(fleet.asked) == len(set(fleet.asked))
    assert fleet.now < 10.0 + AVOID_PEER_S


def test_lag_behind_peers_is_measured():
    fleet = Fleet(2)
    fleet.install(["i0", "i1"], large_config(1))
    fleet.install(["i1"], large_config(2))
    fleet.silent = {"i1"}
    fleet.review(["i0"])
    fleet.now += 1.0
    fleet.review(["i0"])
    assert fleet.catch_ups["i0"].config_lag_s() >= 1.0
    fleet.silent = set()
    fleet.now += AVOID_PEER_S
    fleet.review(["i0"])
    fleet.review(["i0"])
    assert fleet.catch_ups["i0"].config_lag_s() == 0.0
    assert fleet.catch_ups["i0"].max_config_lag_s >= 1.0


def test_large_change_is_not_kept():
    state = RoutingState()
    state.install(config(1, ROUTES_SMALL))
    state.install(large_config(2))
    assert state.changes_since(1) == []
    state.install(large_config(3, revoked=1))
    assert [change.version for change in state.changes_since(2)] == [3]
    assert state.changes_since(3) == []


def test_changes_of_another_base_are_not_applied():
    fleet = Fleet(2)
    fleet.install(["i0", "i1"], large_config(1))
    fleet.install(["i1"], large_config(2, revoked=1))
    reply = fleet.catch_ups["i1"].answer(
        RoutingRequest(config_version=1, endpoint_revision=5)
    )
    # Meanwhile the store has delivered a version between the two.
    between = msgspec.structs.replace(large_config(1), version=1)
    state = fleet.catch_ups["i0"].routing
    assert state.table.config == between
    change = msgspec.structs.replace(reply.changes[0], base_version=0)
    with pytest.raises(ValueError, match="based on version 0"):
        apply_change(state.table.config, change)


ROUTES_SMALL = tuple(route(f"s{n}", RouteKind.SAFE) for n in range(3))


@settings(max_examples=60, deadline=None)
@given(seed=st.integers(min_value=0, max_value=10**6))
def test_change_leads_from_any_version_to_any_other(seed):
    rng = random.Random(seed)

    def draw(version):
        routes = tuple(
            route(f"r{n}", RouteKind.SAFE, priority=rng.randint(0, 2))
            for n in range(8)
            if rng.random() < 0.7
        )
        teams = {
            f"k{n}": RoutedTeam(name=f"t{rng.randint(0, 2)}")
            for n in range(8)
            if rng.random() < 0.7
        }
        return config(version, routes, teams=teams)

    before, after = draw(1), draw(2)
    change = difference(before, after)
    found = apply_change(before, change)
    # The order of routes has no effect, as their prefixes differ.
    assert sorted(found.routes, key=lambda item: item.name) == sorted(
        after.routes, key=lambda item: item.name
    )
    assert found.teams == after.teams
    assert found.services == after.services
    assert found.version == 2
    assert MAX_CHANGED_ENTRIES >= 32


class SlowServer:
    """Answers one request with a body that arrives in pieces, `pause_s` apart."""

    def __init__(self, *, pieces: int, piece: bytes, pause_s: float):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.head_sent = threading.Event()
        self.go_on = threading.Event()
        self.pieces = pieces
        self.piece = piece
        self.pause_s = pause_s
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        sock, _ = self.sock.accept()
        sock.recv(65_536)
        length = self.pieces * len(self.piece)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        self.head_sent.set()
        with contextlib.suppress(OSError):
            for _ in range(self.pieces):
                self.go_on.wait(5)
                sock.sendall(self.piece)
                time.sleep(self.pause_s)
        sock.close()


def test_response_that_arrives_is_not_interrupted():
    server = SlowServer(pieces=2, piece=b"x" * 10, pause_s=0.0)
    now = [0.0]
    connection = StoreConnection(
        host="127.0.0.1", port=server.port, clock=lambda: now[0]
    )
    timeout = urllib3.Timeout(connect=2, read=5)
    response = connection.send("GET", "/", headers={}, timeout=timeout)
    assert not connection.interrupt()
    server.go_on.set()
    assert read_body(response, max_bytes=100, timeout_s=5) == b"x" * 20
    assert not connection.finish(reusable=True)


def test_response_that_stops_arriving_is_interrupted():
    server = SlowServer(pieces=2, piece=b"x" * 10, pause_s=0.0)
    now = [0.0]
    connection = StoreConnection(
        host="127.0.0.1", port=server.port, clock=lambda: now[0]
    )
    timeout = urllib3.Timeout(connect=2, read=5)
    connection.send("GET", "/", headers={}, timeout=timeout)
    now[0] = RECEIVING_S
    assert connection.interrupt()
    assert connection.finish(reusable=False)


@pytest.mark.parametrize(("least_bytes_per_s", "is_read"), [(50, True), (10**6, False)])
def test_large_body_over_a_slow_link_may_take_longer(least_bytes_per_s, is_read):
    server = SlowServer(pieces=4, piece=b"x" * 100, pause_s=0.05)
    server.go_on.set()
    pool = urllib3.HTTPConnectionPool("127.0.0.1", server.port, retries=False)
    response = pool.urlopen("GET", "/", preload_content=False)

    def read():
        return read_body(
            response,
            max_bytes=1_000,
            timeout_s=0.01,
            least_bytes_per_s=least_bytes_per_s,
        )

    if is_read:
        assert len(read()) == 400
    else:
        with pytest.raises(BodyLimitError):
            read()


def test_request_whose_key_was_revoked_while_it_waited_does_not_run(gateway_for):
    gateway, (first, second) = gateway_for("app", ["refused_marked"], ["answer"])
    taken = gateway.registry.note_failure

    def revoke(*args, **options):
        # The first endpoint has refused the request, and it is sent to another one.
        gateway.routing.install(config(2, teams={}))
        return taken(*args, **options)

    gateway.registry.note_failure = revoke
    response, _ = gateway.ask("/status/1")
    assert response.status == 401
    assert not first.runs
    assert not second.runs


def test_request_whose_key_is_kept_runs_after_a_new_version(gateway_for):
    gateway, (first, second) = gateway_for("app", ["refused_marked"], ["answer"])
    taken = gateway.registry.note_failure

    def change(*args, **options):
        gateway.routing.install(config(2, teams={KEY: RoutedTeam(name="shop")}))
        return taken(*args, **options)

    gateway.registry.note_failure = change
    response, _ = gateway.ask("/status/1")
    assert response.status == 200
    assert len(first.runs) + len(second.runs) == 1
