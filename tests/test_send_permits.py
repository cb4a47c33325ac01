"""Guards the limit of an endpoint across a fleet, with simulated time and messages."""

import random

import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from lagoonrill._internal.coordination.policy.engine_placement import owner_of
from lagoonrill._internal.coordination.policy.request_limits import MIN_RATE_PER_S
from lagoonrill._internal.coordination.send_permits import SendPermits
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.errors import PeerError
from lagoonrill._internal.protocol.messages import LimitReport
from lagoonrill._internal.protocol.routing import EndpointRecord
from lagoonrill._internal.state.endpoint_limits import LimitEvidence

STEP_S = 0.05
WINDOW_S = 4.0
# The stated rule: one and a half times the limit in each window, and five more.
FACTOR = 1.5
EXTRA = 5


class Link:
    """Delivers messages between the instances of a simulated fleet at once."""

    def __init__(self, fleet: "SimulatedFleet", name: str):
        self.fleet = fleet
        self.name = name

    def register_handler(self, message_type, handler, *, inline=False):
        pass

    def addresses(self):
        return {name for name in self.fleet.instances if name != self.name}

    def send_to(self, addresses, message):
        self.fleet.messages += len(addresses)
        for name in addresses:
            if self.fleet.reaches(self.name, name):
                assert isinstance(message, LimitReport)
                self.fleet.instances[name].handle_report(message)

    def request(self, address, message, timeout_s):
        self.fleet.messages += 2
        if not self.fleet.reaches(self.name, address):
            return Failure(PeerError(message="no answer"))
        return Success(self.fleet.instances[address].answer(message))


class Owners:
    """The members that one instance knows."""

    def __init__(self, fleet: "SimulatedFleet", name: str):
        self.fleet = fleet
        self.name = name

    def owner_in_zone(self, zone, endpoint):
        owner = owner_of(endpoint, sorted(self.fleet.members(self.name)))
        return owner, owner

    def live_instances(self):
        return len(self.fleet.members(self.name))


class SimulatedFleet:
    """Instances that have requests for one endpoint all the time, or at a rate."""

    def __init__(self, count: int, *, limit: float | None, seed: int = 1):
        self.now = 100.0
        self.messages = 0
        self.instances: dict[str, SendPermits] = {}
        # Instances that a given one takes for dead, and those that do not answer.
        self.unknown: dict[str, set[str]] = {}
        self.silent: set[str] = set()
        self.sent: list[float] = []
        self.limit = limit
        self.incarnation = 1
        self.rng = random.Random(seed)
        for number in range(count):
            self.start(f"i{number}")

    @property
    def record(self) -> EndpointRecord:
        return EndpointRecord(
            id="e",
            service="s",
            address="127.0.0.1:1",
            zone="a",
            slots=8,
            incarnation=self.incarnation,
        )

    def start(self, name: str) -> None:
        """Starts an instance, which knows nothing."""
        permits = SendPermits(
            instance=name,
            event_log=EventLog(),
            link=Link(self, name),
            clock=lambda: self.now,
        )
        permits.owners = Owners(self, name)
        self.instances[name] = permits

    def members(self, name: str) -> set[str]:
        return set(self.instances) - self.unknown.get(name, set())

    def reaches(self, sender: str, receiver: str) -> bool:
        return not {sender, receiver} & self.silent

    def owner(self) -> str:
        return owner_of("e", sorted(self.instances))

    def send(self, name: str) -> None:
        """Sends a request if the instance may, and takes the answer."""
        permits = self.instances[name]
        if permits.is_held(self.record) or not permits.take(self.record, request="r"):
            return
        self.sent.append(self.now)
        permits.note_answer(
            LimitEvidence(
                endpoint="e",
                incarnation=self.incarnation,
                limit=self.limit,
                sent_at=self.now,
                received_at=self.now + 0.001,
            )
        )

    def run(self, seconds: float, *, demand: float = 1.0) -> None:
        """Runs for a time; in each step, an instance has a request with `demand`."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            names = [n for n in self.instances if self.rng.random() < demand]
            self.rng.shuffle(names)
            for name in names:
                if name not in self.silent:
                    self.send(name)

    def most_in_a_window(self, since: float) -> int:
        times = [at for at in self.sent if at >= since]
        return max(
            (sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0
        )


def allowed(limit: float) -> float:
    return FACTOR * WINDOW_S * limit + EXTRA


@pytest.mark.parametrize("count", [1, 4, 35, 78, 390])
@pytest.mark.parametrize("limit", [0.0, 0.3, 2.0, 60.0])
def test_all_instances_together_keep_the_limit_and_use_it(count, limit):
    fleet = SimulatedFleet(count, limit=limit)
    seconds = 30.0 if count < 100 else 12.0
    for name in fleet.instances:
        # All instances learn of the limit from an answer at the same time.
        fleet.send(name)
    since = fleet.now + STEP_S
    fleet.messages = 0
    fleet.run(seconds)
    assert fleet.most_in_a_window(since) <= allowed(limit)
    sent = sum(at >= since for at in fleet.sent)
    rate = min(max(MIN_RATE_PER_S, limit), count / STEP_S)
    assert sent >= int(0.5 * rate * seconds) - 1
    # Messages grow with the requests that are sent, not with those that wait.
    assert fleet.messages / seconds <= 8 * rate + 0.4 * count


def test_endpoint_with_a_limit_of_zero_is_tried_until_the_limit_ends():
    fleet = SimulatedFleet(4, limit=0.0)
    fleet.run(20.0)
    since, fleet.limit = fleet.now, None
    fleet.run(10.0)
    assert sum(at > since + 6.0 for at in fleet.sent) > 100


def test_limit_that_falls_is_kept_at_once():
    fleet = SimulatedFleet(4, limit=50.0)
    fleet.run(5.0)
    fleet.limit = 1.0
    fleet.run(0.2)
    since = fleet.now
    fleet.run(10.0)
    assert fleet.most_in_a_window(since) <= allowed(1.0)


def test_restart_of_the_endpoint_ends_its_limit():
    fleet = SimulatedFleet(4, limit=0.3)
    fleet.run(5.0)
    fleet.limit, fleet.incarnation = None, 2
    before = len(fleet.sent)
    fleet.run(1.0)
    assert len(fleet.sent) - before > 50


def test_limit_is_kept_while_its_owner_does_not_answer():
    fleet = SimulatedFleet(4, limit=2.0)
    fleet.run(5.0)
    fleet.silent = {fleet.owner()}
    fleet.run(20.0)
    assert fleet.most_in_a_window(102.0) <= allowed(2.0)
    assert sum(at > 110.0 for at in fleet.sent) >= 10


def test_limit_is_kept_while_instances_know_different_members():
    fleet = SimulatedFleet(4, limit=2.0)
    fleet.run(6.0)
    others = [name for name in fleet.instances if name != fleet.owner()]
    fleet.unknown = {others[0]: {fleet.owner()}, others[1]: {fleet.owner()}}
    fleet.run(2.0)
    fleet.unknown = {}
    fleet.run(6.0)
    assert fleet.most_in_a_window(102.0) <= allowed(2.0)


def test_a_new_owner_starts_without_permits():
    fleet = SimulatedFleet(4, limit=2.0)
    fleet.run(6.0)
    for number in range(6):
        fleet.instances.pop(fleet.owner())
        fleet.start(f"n{number}")
        fleet.run(1.0)
    assert fleet.most_in_a_window(102.0) <= allowed(2.0)


@settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_no_order_of_limits_and_restarts_exceeds_the_bound(seed):
    rng = random.Random(seed)
    fleet = SimulatedFleet(rng.choice([2, 4, 9]), limit=None, seed=seed)
    for number in range(6):
        limit = rng.choice([None, 0.0, 0.3, 1.0, 2.3, 20.0])
        if rng.random() < 0.3:
            fleet.incarnation += 1
        if rng.random() < 0.3:
            fleet.instances.pop(rng.choice(list(fleet.instances)))
            fleet.start(f"n{number}")
        fleet.limit = limit
        began_at = fleet.now
        fleet.run(rng.uniform(4.0, 9.0), demand=rng.choice([0.05, 0.5, 1.0]))
        if limit is not None:
            assert fleet.most_in_a_window(began_at + 3.0) <= allowed(limit)
