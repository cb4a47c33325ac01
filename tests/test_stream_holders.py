"""Guards against records of streams that are lost on the way to a peer."""

import threading
import time

import pytest
from returns.result import Failure

from lagoonrill._internal.coordination.policy.stream_history import (
    DefaultVersion,
    StreamRecord,
)
from lagoonrill._internal.coordination.record_batches import StoredStream
from lagoonrill._internal.coordination.store_eras import REWRITTEN_AFTER_S
from lagoonrill._internal.coordination.stream_holders import (
    HAND_OVER_TIMEOUT_S,
    StreamHolders,
)
from lagoonrill._internal.coordination.stream_origins import (
    KEPT_ATTEMPTS,
    KEPT_PAUSE_S,
    StreamOrigins,
)
from lagoonrill._internal.coordination.stream_records import (
    Begin,
    HandOver,
    stream_key,
)
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.errors import StoreInDoubt
from lagoonrill._internal.protocol.messages import GatewayDigest
from lagoonrill._internal.protocol.routing import EndpointRecord
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
        self.is_in_touch = True
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
            members_since=lambda at: (1 + len(self.live), 0),
            is_in_touch=lambda: self.is_in_touch,
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
        outcomes.append(first.holders.hand_over(stream(f"k{number}")))

    threads = [threading.Thread(target=hand_over, args=(n,)) for n in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert outcomes == [HandOver.STORED] * 40
    assert stored_keys(third) == {f"k{number}" for number in range(40)}


@pytest.mark.parametrize("refuses", [True, False], ids=["refused", "no-answer"])
def test_a_record_that_no_peer_can_store_leaves_no_trace(members, refuses):
    """Its stream begins anew at another version."""
    first, second, third = members
    for member in (second, third):
        member.origins.store.down = True
        member.origins.store.refuses = refuses
    assert first.holders.hand_over(stream("k")) is HandOver.NOT_STORED
    # No stream is handed over while peers cannot store it.
    assert not first.holders.is_reachable()
    for member in (second, third):
        member.origins.store.down = False
        assert wait_until(lambda member=member: member.origins.is_confirming)
        assert member.origins.store_for_peer([stream("k2")]) is HandOver.STORED
        assert stored_keys(member) == {"k2"}
        assert member.origins.history.begun_at_version("models", "k") is None


def test_peers_without_the_store_do_not_keep_a_caller_waiting(members):
    """Its first event waited for both of them, and for those that came before it."""
    first, second, third = members
    for member in (second, third):
        member.is_in_touch = False
    began_at = time.monotonic()
    threads = [
        threading.Thread(target=first.holders.hand_over, args=(stream(f"k{n}"),))
        for n in range(20)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert time.monotonic() - began_at < HAND_OVER_TIMEOUT_S
    for member in (second, third):
        assert not member.origins.history.records


def test_a_record_that_a_peer_may_have_stored_is_in_doubt(members):
    """Its stream must not begin anew at another version."""
    first, second, third = members
    no_answer = Failure(StoreInDoubt(message="no answer"))
    for member in (second, third):
        member.origins.store.write = lambda batch, *, is_created: no_answer
    assert first.holders.hand_over(stream("k")) is HandOver.IN_DOUBT


def test_peers_that_have_ended_are_not_asked_for_each_stream(members):
    first, second, third = members
    for member in (second, third):
        member.close()
    # They may have executed it before they ended.
    assert first.holders.hand_over(stream("k")) is HandOver.IN_DOUBT
    assert not first.holders.is_reachable()


def test_an_instance_that_the_store_turns_away_asks_a_peer_where_a_stream_began(
    members,
):
    """It refused each take-up, also of streams of the default version."""
    first, second, third = members
    record = stream("k").record
    assert third.origins.store_for_peer([stream("k")]) is HandOver.STORED
    second.origins.store.down = True
    assert first.holders.look_up(record.service, "k").version == record.version
    # An unknown stream began at the default version.
    default = DefaultVersion(service="models", version="v1")
    third.origins.store.add_default(default)
    assert first.holders.look_up("models", "unknown").version == "v1"
    third.origins.store.down = True
    assert not first.holders.look_up("models", "unknown").found_out


def test_what_peers_keep_proves_where_a_stream_began(members):
    """A new process finds nothing in a restored store, which lacks the record."""
    first, second, third = members
    default = DefaultVersion(service="models", version="v1")
    for member in (second, third):
        member.origins.history.add_default(default)
        # Nothing was recorded before they started.
        assert wait_until(lambda member=member: member.origins.history.listed_at > 0)
    third.holders.live = [second]
    third.holders.live_digests = lambda: [second.digest()]
    third.link.connect(second.link.address)
    time.sleep(0.3)
    third.holders.share([stream("k")])
    assert wait_until(lambda: second.origins.history.begun_at_version("models", "k"))
    assert first.holders.look_up_kept("models", "k") == "v2"
    assert first.holders.look_up_kept("models", "unknown") == "v1"
    # Without a process that runs since before the copy, nothing proves that.
    for member in (second, third):
        member.origins.eras.keeps_since = time.monotonic()
    assert first.holders.look_up_kept("models", "k") == "v2"
    assert first.holders.look_up_kept("models", "unknown") is None


def test_a_take_up_at_a_new_process_waits_until_it_hears_of_its_peers(members):
    """It was refused, and its caller had to come back after 3 s."""
    first, second, _ = members
    assert wait_until(lambda: second.origins.history.listed_at > 0)
    second.origins.hold_for_peer([stream(stream_key("r1"))])
    first.origins.store.down = False
    first.origins.store.era = 2
    first.live = []
    timer = threading.Timer(0.4, setattr, (first, "live", [second]))
    timer.start()
    assert first.origins.version_of("models", "r1") == "v2"
    # A record that nobody has is not waited for any longer after some seconds.
    first.origins.eras.seen_at -= REWRITTEN_AFTER_S
    second.origins.eras.keeps_since = time.monotonic()
    began_at = time.monotonic()
    assert first.origins.version_of("models", "unknown") is None
    assert time.monotonic() - began_at < KEPT_ATTEMPTS * KEPT_PAUSE_S


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
    first.origins.store.down = False
    first.origins.instances = lambda: 1_000
    endpoints = [
        EndpointRecord(
            id=name, service="models", address="x:1", zone="a", slots=1, version=name
        )
        for name in ("v1", "v2")
    ]
    first.origins.history.note_endpoints(endpoints)
    for number in range(2):
        begin = first.origins.note_begun("models", f"r{number}", "v2")
        assert begin is Begin.RECORDED
    assert len(stored_keys(first)) == 2
    for member in (second, third):
        assert not stored_keys(member)
