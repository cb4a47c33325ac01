"""Guards membership between running instances: liveness and the exchanged state."""

import signal
import time
from collections import Counter
from pathlib import Path

import msgspec
import pytest
from returns.pipeline import is_successful
from returns.result import Success

from bench.member import MemberConfig
from bench.processes import Process
from lagoonrill._internal.coordination import membership as membership_module
from lagoonrill._internal.coordination.membership import (
    LocalState,
    Membership,
    PeerReports,
)
from lagoonrill._internal.coordination.peer_choice import choose_links
from lagoonrill._internal.protocol.messages import (
    EndpointUse,
    Heartbeat,
    Leaving,
    StreamLocate,
    StreamLocation,
    encode_message,
)
from lagoonrill._internal.state.membership_table import ListedMember

from .support import Relay, RelayedLink, start_member, states, wait_until

ZONES = ["tunis-a", "tunis-b", "bizerte-a"]
# Shorter than the defaults, in the same proportions.
FAST = {"heartbeat_interval_s": 0.2, "suspect_after_s": 1.0, "drop_after_s": 3.0}


@pytest.fixture
def members():
    """Starts members on demand and stops them at the end."""
    started: list[Membership] = []

    def start(*arguments, **options) -> Membership:
        started.append(start_member(*arguments, **options))
        return started[-1]

    yield start
    for member in started:
        member.stop()


def listed(*running: Membership) -> list[ListedMember]:
    return [
        ListedMember(
            instance=member.instance, zone=member.zone, peer_address=member.link.address
        )
        for member in running
    ]


def start_process(instance: str, *seeds: str, log_path: Path) -> Process:
    config = MemberConfig(instances=[instance], zones=["tunis-a"], seeds=list(seeds))
    config.heartbeat_interval_s = FAST["heartbeat_interval_s"]
    argument = msgspec.json.encode(config).decode()
    arguments = ["-m", "bench.member", argument]
    return Process(name=instance, arguments=arguments, log_path=log_path)


def test_two_members_find_each_other_from_one_address(members):
    """Guards against a peer whose messages are received but never answered."""
    first = members("a")
    second = members("b", first.link.address)
    wait_until(
        lambda: states(first) == {"b": "live"} and states(second) == {"a": "live"}
    )
    answer = StreamLocation(stream_id="s", endpoint="llm-1")
    second.register_handler(StreamLocate, lambda message: answer)
    assert first.request("b", StreamLocate(stream_id="s"), 5.0) == Success(answer)
    assert not is_successful(first.request("x", StreamLocate(stream_id="s"), 5.0))
    assert first.home("key") == second.home("key")


def test_four_members_share_generation_uses_and_homes(members):
    """Guards against lost heartbeat contents and homes that differ by instance."""
    seen, higher, generation = {}, Counter(), [7]
    uses = [EndpointUse(endpoint="llm-1", in_use=2, waiting=1)]
    reports = PeerReports(
        uses=seen.update, generation=lambda name, number: higher.update({number: 1})
    )
    first = members("a", reports=reports)
    local = LocalState(generation=lambda: generation[0], uses=lambda: uses)
    others = [members(name, zone=ZONES[1], local=local) for name in "bcd"]
    running = [first, *others]
    for member in running:
        member.update_listed(listed(*running))
    wait_until(lambda: all(seen.get(name) == uses for name in "bcd"))
    wait_until(lambda: higher[7] > 0)
    for key in map(str, range(20)):
        assert len({member.home(key) for member in running}) == 1
    others[0].begin_leaving()
    rest = [member for member in running if member is not others[0]]
    wait_until(lambda: all(states(member)["b"] == "leaving" for member in rest))
    assert all(member.home(str(key)) != "b" for member in running for key in range(20))
    others[0].announce_exit()
    others[0].stop()
    wait_until(lambda: states(first)["b"] == "dropped", 2.0)


def test_frozen_member_is_suspected_dropped_and_returns(members, tmp_path):
    """Guards against a frozen peer that stays live, blocks others or never returns.

    After its own pause, the frozen member must not drop the others as silent.
    """
    log_path = tmp_path / "b.log"
    gone = []
    first = members("a", reports=PeerReports(gone=gone.append), **FAST)
    steady = members("c", first.link.address, **FAST)
    frozen = start_process(
        "b", first.link.address, steady.link.address, log_path=log_path
    )
    try:
        wait_until(lambda: states(first) == {"b": "live", "c": "live"})
        frozen.signal(signal.SIGSTOP)
        began = time.monotonic()
        wait_until(lambda: states(first)["b"] == "suspected")
        assert time.monotonic() - began > 0.5
        first.send("b", Leaving(instance="x"))
        assert not is_successful(first.request("b", StreamLocate(stream_id="s"), 0.2))
        wait_until(lambda: states(first)["b"] == "dropped")
        assert 2.5 < time.monotonic() - began < 5.0
        assert states(first)["c"] == "live"
        wait_until(lambda: gone == ["b"])
        frozen.signal(signal.SIGCONT)
        wait_until(lambda: states(first)["b"] == "live")
        time.sleep(1.0)
    finally:
        assert frozen.stop() == 0
    assert "was paused" in log_path.read_text()
    assert "dropped" not in log_path.read_text()


def test_restarted_member_replaces_its_earlier_incarnation(members):
    """Guards against late messages of an old incarnation applied to the new one."""
    gone = []
    first = members("a", reports=PeerReports(gone=gone.append))
    old = members("b", first.link.address, incarnation=100)
    wait_until(lambda: states(first) == {"b": "live"})
    old.link.disconnect(first.link.address)
    new = members("b", first.link.address, incarnation=200)
    wait_until(lambda: first.table.get("b").incarnation == 200)
    wait_until(lambda: gone == ["b"])
    restarted = first.table.get("b")
    assert restarted.peer_address == new.link.address
    old.link.connect(first.link.address)
    old.link.send(first.link.address, Leaving(instance="b", incarnation=100))
    wait_until(lambda: first.dump().stale_messages >= 2)
    assert first.table.get("b").incarnation == 200
    assert states(first) == {"b": "live"}


def test_member_that_is_cut_off_is_dropped_and_returns(members):
    """Guards against a partition that never heals while the list names both sides."""
    relays = [Relay(), Relay()]
    links = [RelayedLink(relay=relay) for relay in relays]
    first = members("a", link=links[0], **FAST)
    second = members("b", relays[0].address, link=links[1], **FAST)
    wait_until(
        lambda: states(first) == {"b": "live"} and states(second) == {"a": "live"}
    )
    for member in (first, second):
        member.update_listed(listed(first, second))
    for relay in relays:
        relay.open.clear()
    wait_until(lambda: states(first) == {"b": "dropped"})
    wait_until(lambda: states(second) == {"a": "dropped"})
    assert first.home("key") == "a"
    assert second.home("key") == "b"
    first.update_listed(listed(first, second))
    time.sleep(0.5)
    assert states(first) == {"b": "dropped"}
    for relay in relays:
        relay.open.set()
    wait_until(
        lambda: states(first) == {"b": "live"} and states(second) == {"a": "live"}
    )
    for relay in relays:
        relay.close()


def test_pause_of_this_process_drops_no_peer(members):
    """Guards against a paused process that drops its peers for its own silence."""
    paused, gone = [], []
    reports = PeerReports(paused=paused.append, gone=gone.append)
    first = members("a", reports=reports)
    second = members("b", first.link.address)
    wait_until(lambda: states(first) == {"b": "live"})
    member = first.table.members["b"]
    member.last_heard -= 60.0
    first._tick(time.monotonic(), 60.0)
    assert states(first) == {"b": "live"}
    wait_until(lambda: paused == [60.0])
    wait_until(lambda: first.table.get("b").state == "live")
    assert gone == []
    second.stop()


def test_leaving_notice_propagates_over_two_links_and_ends(members, monkeypatch):
    """Guards against notices that stop after one hop or keep each other alive."""
    monkeypatch.setattr(membership_module, "is_full_mesh", lambda count: False)
    source, seen = ["llm-1"], {}

    def watch(name):
        return PeerReports(leaving_endpoints=lambda names: seen.update({name: names}))

    near = members(
        "a", reports=watch("a"), local=LocalState(leaving_endpoints=lambda: source)
    )
    middle = members("b", near.link.address, reports=watch("b"))
    members("c", middle.link.address, reports=watch("c"))
    assert wait_until(lambda: seen.get("c") == {"llm-1"}) < 3.0
    source.clear()
    wait_until(lambda: seen == {"a": set(), "b": set(), "c": set()}, 15.0)


@pytest.mark.parametrize(("per_zone", "zones"), [(3, 3), (49, 8)])
def test_links_are_few_symmetric_and_reach_all_members(per_zone, zones):
    """Guards against one-sided links and against unreachable instances."""
    members = {f"i{n}": f"z{n % zones}" for n in range(per_zone * zones)}
    links = {name: choose_links(name, zone, members) for name, zone in members.items()}
    assert all(name in links[peer] for name, peers in links.items() for peer in peers)
    own = [sum(members[p] == members[n] for p in peers) for n, peers in links.items()]
    other = [
        len(peers) - count for peers, count in zip(links.values(), own, strict=True)
    ]
    assert sum(own) / len(own) <= 8
    assert sum(other) / len(other) <= 2 * (zones - 1)
    reached, hops = {"i0"}, 0
    while len(reached) < len(members):
        grown = reached.union(*(links[name] for name in reached))
        assert grown != reached
        reached, hops = grown, hops + 1
    assert hops <= 3


def test_heartbeat_of_target_size_is_small():
    """Guards against heartbeats that grow with the fleet (13 KB/s, 44 heartbeats/s)."""
    heartbeat = Heartbeat(
        instance="instance-123",
        zone="tunis-a",
        incarnation=time.time_ns(),
        sequence=100_000,
        generation=500,
        peer_address="10.20.30.40:7000",
        uses_partial=True,
    )
    assert len(encode_message(heartbeat)) < 200
