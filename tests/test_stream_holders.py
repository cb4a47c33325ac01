"""Guards against records of streams that are lost on the way to a peer."""

import threading
import time

import pytest

from lagoonrill._internal.coordination.policy.stream_history import (
    DefaultVersion,
    StreamRecord,
)
from lagoonrill._internal.coordination.record_batches import StoredStream
from lagoonrill._internal.coordination.stream_holders import StreamHolders
from lagoonrill._internal.coordination.stream_origins import (
    HandOver,
    StreamOrigins,
)
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.messages import GatewayDigest
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry
from lagoonrill._internal.transport.peer_link import PeerLink
from standins.ports import free_port
from tests.gateway_kit import MemoryOrigins, config, wait_until


class Member:
    """Origins of one instance with a link to its peers."""

    def __init__(self, name: str, store: MemoryOrigins):
        self.name = name
        self.link = PeerLink(host="127.0.0.1", port=free_port())
        self.event_log = EventLog()
        self.live: list[Member] = []
        self.origins = StreamOrigins(
            instance=name,
            store=store,
            registry=EndpointRegistry(),
            event_log=self.event_log,
            is_writer=lambda: True,
            list_age_s=lambda: 0.0,
            instances=lambda: 2,
            writes_per_s=10_000,
        )
        self.holders = StreamHolders(
            instance=name,
            link=self.link,
            live_digests=lambda: [member.digest() for member in self.live],
            has_peers=True,
            origins=self.origins,
            event_log=self.event_log,
        )
        self.origins.holders = self.holders
        self.origins.install(config())
        self.link.start()
        self.origins.start()

    def digest(self) -> GatewayDigest:
        return GatewayDigest(
            instance=self.name,
            zone="a",
            address=self.link.address,
            config_version=1,
            endpoint_revision=1,
            store_in_touch=not self.origins.store.down,
        )

    def meet(self, *others: "Member") -> None:
        self.live = list(others)
        for other in others:
            self.link.connect(other.link.address)

    def close(self) -> None:
        self.origins.stop()
        self.link.stop()


def stream(key: str) -> StoredStream:
    record = StreamRecord(key=key, service="models", version="v2")
    return StoredStream(record=record, begun_at=time.time())


@pytest.fixture
def members():
    built = [Member(name, MemoryOrigins()) for name in "abc"]
    first = built[0]
    first.origins.store.down = True
    first.meet(*built[1:])
    time.sleep(0.3)
    yield built
    for member in built:
        member.close()


def stored_keys(member) -> set[str]:
    batches = member.origins.store.list().value_or(None).batches
    return {item.record.key for batch in batches for item in batch.streams}


def test_records_of_many_streams_at_once_reach_a_peer_in_touch(members):
    first, second, third = members
    second.origins.store.down = True
    outcomes = []

    def hand_over(number: int) -> None:
        outcomes.append(first.holders.hand_over(stream(f"k{number}"), store=True))

    threads = [threading.Thread(target=hand_over, args=(n,)) for n in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert outcomes == [HandOver.STORED] * 40
    assert stored_keys(third) == {f"k{number}" for number in range(40)}


def test_a_record_is_held_by_peers_while_the_store_serves_nobody(members):
    first, second, third = members
    second.origins.store.down = third.origins.store.down = True
    assert first.holders.hand_over(stream("k"), store=True) is HandOver.HELD
    second.origins.store.down = third.origins.store.down = False
    for member in (second, third):
        assert wait_until(lambda member=member: stored_keys(member) == {"k"})


def test_peers_that_have_ended_are_not_asked_for_each_stream(members):
    first, second, third = members
    for member in (second, third):
        member.close()
    assert first.holders.hand_over(stream("k"), store=True) is HandOver.FAILED
    assert not first.holders.is_reachable()


def test_an_instance_that_the_store_turns_away_asks_a_peer_where_a_stream_began(
    members,
):
    """It refused each take-up, also of streams of the default version."""
    first, second, third = members
    record = stream("k").record
    assert third.origins.store_for_peer([stream("k")])
    second.origins.store.down = True
    assert first.holders.look_up(record.service, "k").version == record.version
    # An unknown stream began at the default version.
    default = DefaultVersion(service="models", version="v1")
    third.origins.store.add_default(default)
    assert first.holders.look_up("models", "unknown").version == "v1"
    third.origins.store.down = True
    assert not first.holders.look_up("models", "unknown").found_out


def test_an_instance_without_its_peers_guesses_no_version(members):
    """Streams may have begun elsewhere at a version that it has not heard of."""
    first, second, third = members
    for member in (second, third):
        member.close()
    assert first.holders.look_up("models", "k") is None
    first.live = []
    assert first.holders.look_up("models", "k") is None


def test_a_record_whose_write_waits_for_its_turn_is_not_written_by_peers(members):
    """With many instances each would write its records three times."""
    first, second, third = members
    assert first.holders.hand_over(stream("k"), store=False) is HandOver.HELD
    for member in (second, third):
        assert member.origins.history.begun_at_version("models", "k") == "v2"
        assert not stored_keys(member)
