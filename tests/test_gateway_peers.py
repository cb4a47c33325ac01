"""Guards requests to the owners of engines, and the digests between instances."""

import pytest
from returns.result import Failure, Success

from lagoonrill._internal.coordination.crash_reports import CrashReports
from lagoonrill._internal.coordination.endpoint_signals import EndpointSignals
from lagoonrill._internal.coordination.gateway_peers import (
    LOST_AFTER_S,
    OWNER_BACKOFF_S,
    SMALL_FLEET,
    GatewayPeers,
)
from lagoonrill._internal.coordination.policy.crash_evidence import CrashEvidence
from lagoonrill._internal.coordination.policy.engine_placement import owner_of
from lagoonrill._internal.coordination.send_permits import SendPermits
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.errors import PeerError
from lagoonrill._internal.protocol.messages import (
    EndpointCalls,
    GatewayDigest,
    PromptReply,
    PromptRequest,
)
from lagoonrill._internal.protocol.routing import StorePosition
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry
from lagoonrill._internal.state.engine_load_table import EngineLoadTable

REPLY = PromptReply(granted=True, pending_tokens=7, heavy=1)


class RecordingLink:
    """A peer link that records messages and answers requests with `result`."""

    address = "127.0.0.1:1"

    def __init__(self):
        self.result = Success(REPLY)
        self.asked = []
        self.sent = []
        self.sent_by_address = {}

    def register_handler(self, message_type, handler, *, inline=False):
        pass

    def connect(self, address):
        pass

    def disconnect(self, address):
        pass

    def addresses(self):
        return set()

    def send_to(self, addresses, message):
        self.sent.append(message)
        for address in addresses:
            self.sent_by_address.setdefault(address, []).append(message)

    def request(self, address, message, timeout_s):
        self.asked.append(address)
        return self.result


class FreshnessStub:
    """Copies of store objects that are always current."""

    configuration = endpoints = type("Copy", (), {"age_ms": lambda near: 7})

    def in_touch(self):
        return True

    def note_digest(self, digest, near):
        return False


class PeersKit:
    """An instance in zone a with `count` peers that alternate between zones a and b."""

    def __init__(self, count: int):
        self.now = 100.0
        self.link = RecordingLink()
        self.lines = EventLog()
        self.registry = EndpointRegistry(clock=lambda: self.now)
        self.peers = GatewayPeers(
            instance="me",
            zone="a",
            link=self.link,
            seeds=[],
            expected_instances=1,
            routing=type("Routing", (), {"version": 1})(),
            discovery=type("Discovery", (), {"position": StorePosition(0, 1)})(),
            registry=self.registry,
            load_table=EngineLoadTable(),
            freshness=FreshnessStub(),
            crash_reports=CrashReports(
                evidence=CrashEvidence(), registry=self.registry, event_log=EventLog()
            ),
            signals=EndpointSignals(
                instance="me",
                permits=SendPermits(instance="me", event_log=EventLog()),
                event_log=EventLog(),
            ),
            work_changed=lambda: None,
            stream_engines=dict,
            event_log=self.lines,
            clock=lambda: self.now,
        )
        for number in range(count):
            self.receive_digest(number)

    def receive_digest(self, number: int, **fields) -> None:
        digest = GatewayDigest(
            instance=f"p{number}",
            zone="ab"[number % 2],
            address=f"127.0.0.1:{1_000 + number}",
            **fields,
        )
        self.peers._handle_digest(digest)

    def ask(self, engine: str, zone: str = "a") -> PromptReply | None:
        request = PromptRequest(instance="me", engine=engine, tokens=1, most_tokens=1)
        return self.peers.ask_owner(zone, request)

    def engine_of(self, owner: str, zone: str = "a") -> str:
        names = [f"p{n}" for n in range(SMALL_FLEET + 2) if "ab"[n % 2] == zone]
        names += ["me"] if zone == "a" else []
        return next(
            engine
            for engine in (f"e{n}" for n in range(1_000))
            if owner_of(engine, names) == owner
        )


@pytest.fixture
def kit():
    return PeersKit(SMALL_FLEET + 2)


def test_the_owner_in_the_engines_zone_is_asked(kit):
    assert kit.ask(kit.engine_of("p2")) == REPLY
    assert kit.ask(kit.engine_of("p3", "b"), "b") == REPLY
    assert kit.link.asked == ["127.0.0.1:1002", "127.0.0.1:1003"]


def test_no_owner_is_asked_for_an_own_engine_or_in_a_small_fleet(kit):
    assert kit.ask(kit.engine_of("me")) is None
    small = PeersKit(3)
    assert small.ask("e1") is None
    assert kit.link.asked == small.link.asked == []


def test_an_owner_that_does_not_answer_delays_one_prompt_only(kit):
    # Without a backoff, each prompt for an engine of a frozen owner waits for the
    # whole timeout.
    engine = kit.engine_of("p4")
    kit.link.result = Failure(PeerError(message="silent"))
    assert kit.ask(engine) is None
    kit.receive_digest(4)
    assert kit.ask(engine) is None
    assert len(kit.link.asked) == 1
    kit.now += OWNER_BACKOFF_S + 0.01
    kit.link.result = Success(REPLY)
    assert kit.ask(engine) == REPLY


def test_a_lost_owner_is_replaced(kit):
    engine = kit.engine_of("p6")
    kit.now += 5.0
    for number in (0, 2, 4):
        kit.receive_digest(number)
    kit.peers._mark_lost_peers()
    kit.ask(engine)
    assert "127.0.0.1:1006" not in kit.link.asked


def test_a_newcomer_of_another_zone_learns_its_neighbours(kit):
    # In a zone without a seed, the instances discovered each other only 30 s after
    # their start. Until then none knew the load that the others put on the engines.
    kit.peers._send_digest()
    kit.now += 0.1
    kit.link.sent_by_address.clear()
    newcomer = SMALL_FLEET + 3
    kit.receive_digest(newcomer)
    kit.peers._send_digest()
    (digest,) = kit.link.sent_by_address[f"127.0.0.1:{1_000 + newcomer}"]
    assert "127.0.0.1:1001" in digest.known_addresses
    # Known addresses are sent once: the new instance then contacts its peers itself.
    kit.link.sent_by_address.clear()
    kit.now += 0.1
    kit.peers._send_digest()
    assert not any(
        digest.known_addresses
        for sent in kit.link.sent_by_address.values()
        for digest in sent
    )


def test_failures_reported_by_a_peer_count_until_they_are_cleared(kit):
    kit.registry.replace({})
    reported_calls = [
        EndpointCalls(endpoint="x", incarnation=0, calls=4.0, failures=4.0)
    ]
    kit.receive_digest(0, doubtful=reported_calls)
    assert kit.registry.peer_calls[("x", 0)].failures == 4.0
    # A digest without `doubtful` keeps the reported failures; an empty list clears
    # them.
    kit.receive_digest(0)
    assert kit.registry.peer_calls
    kit.receive_digest(0, doubtful=[])
    assert not kit.registry.peer_calls


def test_digest_reports_recovered_endpoints_once():
    kit = PeersKit(3)
    # With the first digest, the new peers receive the known addresses.
    kit.peers._send_digest()
    kit.now += 1.0
    calls = [EndpointCalls(endpoint="x", incarnation=0, calls=4.0, failures=4.0)]
    kit.registry.doubtful = lambda: calls
    kit.peers._send_digest()
    assert kit.link.sent[-1].doubtful == calls
    kit.registry.doubtful = list
    kit.now += 1.0
    kit.peers._send_digest()
    assert kit.link.sent[-1].doubtful == []
    kit.now += 1.0
    kit.peers._send_digest()
    assert kit.link.sent[-1].doubtful is None


def test_instances_that_have_lost_their_memory_are_counted():
    """They may have had the only records that a restored store has lost."""
    kit = PeersKit(0)
    for number in range(5):
        kit.receive_digest(number, process="first")
    since = kit.now
    assert kit.peers.members_since(since) == (6, 0)
    kit.now += LOST_AFTER_S + 0.1
    kit.receive_digest(0, process="first")
    # Restarted before it was lost, and left as planned.
    kit.receive_digest(1, process="second")
    kit.receive_digest(2, process="first", leaving=True)
    kit.peers._mark_lost_peers()
    assert kit.peers.members_since(since) == (5, 3)
    # One was only out of reach, the other one was killed.
    kit.receive_digest(3, process="first")
    kit.receive_digest(4, process="second")
    assert kit.peers.members_since(since) == (5, 2)
    # The second process of an instance being out of reach brings the first not back.
    kit.now += LOST_AFTER_S + 0.1
    for number in (0, 3, 4):
        kit.receive_digest(number, process="first" if number < 4 else "second")
    kit.peers._mark_lost_peers()
    kit.receive_digest(1, process="second")
    assert kit.peers.members_since(since) == (5, 2)
    assert kit.peers.members_since(kit.now) == (5, 0)


def test_instances_ask_the_store_in_an_order_that_all_know(kit):
    # If each zone had its own, the calls to the store would grow with the zones.
    assert kit.peers.store_rank() == 0
    kit.receive_digest(0, store_in_touch=False)
    kit.peers.instance = "p2"
    kit.peers.views["me"] = kit.peers.views.pop("p2")
    assert kit.peers.store_rank() == 0
    kit.receive_digest(1, store_in_touch=True)
    # p1 is in another zone, so p2 is the first one of its own.
    assert kit.peers.store_rank() == 1
    kit.receive_digest(0, store_in_touch=True)
    assert kit.peers.store_rank() == 2


def test_new_evidence_reaches_one_instance_of_each_other_zone(kit):
    kit.peers._send_digest()
    kit.now += 0.1
    kit.link.sent_by_address.clear()
    kit.peers._send_digest()
    assert "127.0.0.1:1001" not in kit.link.sent_by_address
    kit.peers.freshness.changed()
    kit.peers._send_digest()
    kit.peers._send_digest()
    (digest,) = kit.link.sent_by_address["127.0.0.1:1001"]
    assert digest.config_age_ms == 7
    assert "127.0.0.1:1003" not in kit.link.sent_by_address


def test_an_error_in_the_review_of_peers_does_not_end_it(kit):
    kit.peers.discovery.expire_holds = lambda: 1 / 0
    waits = iter([False, False, True])
    kit.peers.stopping.wait = lambda _: next(waits)
    kit.peers._watch()
    events = [event for _, event, _ in kit.lines.waiting]
    assert events.count("maintenance_failed") == 2


def test_a_digest_that_cannot_be_sent_does_not_end_the_exchange():
    kit = PeersKit(2)
    sent = []

    def send_digest():
        sent.append(None)
        if len(sent) > 1:
            kit.peers.stopping.set()
        kit.peers.changed.set()
        raise OverflowError("a number too large")

    kit.peers._send_digest = send_digest
    kit.peers.changed.set()
    kit.peers._send_digests()
    assert len(sent) == 2
    assert [event for _, event, _ in kit.lines.waiting].count("digest_failed") == 2
