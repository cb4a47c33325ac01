"""Guards what endpoints say of themselves in answers: that they leave."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from lagoonrill._internal.coordination.endpoint_discovery import EndpointDiscovery
from lagoonrill._internal.coordination.endpoint_signals import EndpointSignals
from lagoonrill._internal.coordination.policy.expired_entries import ExpiredEntries
from lagoonrill._internal.coordination.send_permits import SendPermits
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.answer_signals import AnswerSignals
from lagoonrill._internal.protocol.routing import EndpointRecord
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry
from tests.gateway_kit import wait_until

LEAVING = AnswerSignals(leaving=True)


def record(id: str, incarnation: int = 1, **options) -> EndpointRecord:
    return EndpointRecord(
        id=id,
        service="s",
        address="127.0.0.1:1",
        zone="a",
        slots=1,
        incarnation=incarnation,
        **options,
    )


class Link:
    """Records what is sent to peers, and delivers it to `peer`."""

    def __init__(self):
        self.sent = []
        self.peer = None

    def register_handler(self, message_type, handler, *, inline=False):
        pass

    def addresses(self):
        return {"peer"}

    def send_to(self, addresses, message):
        self.sent.append(message)
        if self.peer is not None:
            self.peer.signals.handle_leaving(message)


class Instance:
    """Discovery and signals of one instance."""

    def __init__(self, name: str = "here"):
        self.now = 100.0
        self.revision = 0
        self.log = EventLog()
        self.link = Link()
        self.registry = EndpointRegistry(clock=lambda: self.now)
        self.discovery = EndpointDiscovery(
            registry=self.registry,
            expired_entries=ExpiredEntries(drain_s=2.0, contact_s=3.0),
            event_log=self.log,
            changed=lambda: None,
            clock=lambda: self.now,
        )
        self.signals = EndpointSignals(
            instance=name,
            permits=SendPermits(instance=name, event_log=self.log),
            event_log=self.log,
            discovery=self.discovery,
            link=self.link,
            clock=lambda: self.now,
        )

    def show(self, *records, era: int = 1) -> None:
        self.revision += 1
        self.discovery.apply_from_peer(
            list(records), revision=self.revision, era=era, held_for_s={}
        )

    def answer(self, found: EndpointRecord, signals: AnswerSignals = LEAVING) -> None:
        self.signals.note_answer(found, signals, sent_at=self.now, is_success=True)

    def ready(self) -> list[str]:
        return [item.id for item in self.registry.ready("s")]


@pytest.fixture
def instance():
    built = Instance()
    built.show(record("a"), record("b"))
    return built


def test_endpoint_that_says_it_leaves_gets_no_new_requests(instance):
    instance.answer(record("a"))
    assert instance.ready() == ["b"]
    assert not instance.registry.takes_work(record("a"))


def test_a_list_in_which_it_still_stands_as_ready_does_not_bring_it_back(instance):
    instance.answer(record("a"))
    instance.show(record("a"), record("b"))
    instance.show(record("a"), record("b"), era=2)
    assert instance.ready() == ["b"]


def test_a_new_start_under_the_same_id_is_used(instance):
    instance.answer(record("a"))
    instance.show(record("a", 2), record("b"))
    assert instance.ready() == ["a", "b"]
    # A late answer of the earlier start says nothing about this one.
    instance.answer(record("a", 1))
    assert instance.ready() == ["a", "b"]


def test_peers_learn_of_it_at_once_and_new_ones_when_they_appear(instance):
    peer = Instance("there")
    peer.show(record("a"), record("b"))
    instance.link.peer = peer
    instance.answer(record("a"))
    assert peer.ready() == ["b"]
    # It is told once, however many answers say it.
    instance.answer(record("a"))
    assert len(instance.link.sent) == 1
    newcomer = Instance("new")
    newcomer.show(record("a"), record("b"))
    instance.link.peer = newcomer
    instance.signals.send_all({"new"})
    assert newcomer.ready() == ["b"]


def test_it_is_known_before_the_entry_is(instance):
    instance.answer(record("c"))
    instance.show(record("a"), record("b"), record("c"))
    assert instance.ready() == ["a", "b"]


@settings(max_examples=100, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_no_order_of_lists_and_answers_uses_a_start_that_said_it_leaves(seed):
    rng = random.Random(seed)
    instance = Instance()
    said: set[tuple[str, int]] = set()
    era = 1
    for _ in range(40):
        instance.now += rng.uniform(0.0, 2.0)
        name, incarnation = rng.choice("abc"), rng.randint(1, 3)
        if rng.random() < 0.4:
            said.add((name, incarnation))
            instance.answer(record(name, incarnation))
        else:
            era += rng.random() < 0.1
            names = rng.sample("abc", rng.randint(0, 3))
            instance.show(*(record(n, rng.randint(1, 3)) for n in names), era=era)
        instance.discovery.expire_holds()
        for item in instance.registry.ready("s"):
            assert (item.id, item.incarnation) not in said


@pytest.mark.parametrize(
    ("service", "path"), [("app", "/order/1"), ("models", "/ask/1")]
)
def test_an_answer_that_says_so_ends_the_use_of_its_endpoint(
    gateway_for, service, path
):
    leaves, stays = ("leaves", "answer") if service == "app" else ("leaves", "stream")
    gateway, endpoints = gateway_for(service, [leaves], [stays])
    first = endpoints[0]
    for number in range(6):
        assert gateway.ask(path, id=f"r{number}")[0].status == 200
    assert wait_until(lambda: gateway.events("endpoint_announced"))
    assert len(first.received) == 1
