"""Guards the scheduler's invariants under random sequences of events (Hypothesis)."""

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lagoonrill._internal.coordination.policy.preemption import PREEMPTION
from lagoonrill._internal.protocol.errors import NoEndpoint
from lagoonrill._internal.protocol.messages import EndpointUse
from lagoonrill._internal.state.class_queue import QueueEntry
from lagoonrill._internal.state.preemption import PREEMPTION_TIMEOUT_S
from lagoonrill._internal.state.request_queue import Cancelled
from tests.scheduler_kit import COUNTER, LOOKUP, PLAN, Kit, engine, request_class

ORDER = request_class("order", 2, repeatable=False, max_wait_ms=4_000, max_queue=3)
ENDPOINTS = ["e1", "e2", "e3"]
SETTINGS = settings(
    max_examples=100,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)


class SchedulerMachine(RuleBasedStateMachine):
    """Applies random requests, releases, delays, peer uses and endpoint states."""

    preemption = "default"

    def __init__(self):
        super().__init__()
        endpoints = [
            engine("e1", slots=2),
            engine("e2", slots=1, models=("m", "n"), zone="b"),
            engine("e3", slots=3, models=("n",)),
        ]
        self.kit = Kit(
            endpoints=endpoints,
            classes=(COUNTER, LOOKUP, PLAN, ORDER),
            teams=[("oak", {"max_in_flight": 3})],
            max_waiting=8,
        )
        self.kit.policy.preemption = PREEMPTION.get(self.preemption)()
        self.entries = []
        self.in_use = dict.fromkeys(ENDPOINTS, 0)
        self.judged = set()

    @rule(
        kind=st.sampled_from([COUNTER, LOOKUP, PLAN, ORDER]),
        team=st.sampled_from(["oak", "elm"]),
        model=st.sampled_from(["m", "n"]),
        excluded=st.sets(st.sampled_from(ENDPOINTS), max_size=1),
        wait_s=st.floats(0.05, 20),
    )
    def submit(self, kind, team, model, excluded, wait_s):
        entry = self.kit.submit(
            kind, team, target=model, excluded=excluded, wait_s=wait_s
        )
        self.entries.append(entry)
        self.check_sheds()

    @rule(wait_s=st.floats(0.05, 2))
    def fill_then_ask(self, wait_s):
        """Submits a question while plans hold all slots, which is otherwise rare."""
        for _ in range(4):
            self.entries.append(self.kit.submit(PLAN, "elm"))
        self.entries.append(self.kit.submit(COUNTER, "elm", wait_s=wait_s))
        self.check_sheds()

    @rule(choice=st.integers(0, 99), failed=st.booleans(), resumes=st.booleans())
    def release(self, choice, failed, resumes):
        held = self.held()
        if not held:
            return
        entry = held[choice % len(held)]
        self.kit.release(entry, tokens=0 if failed else 20, failed=failed)
        self.check_sheds()
        if entry.grant.preempted.is_set() and resumes and not failed:
            self.entries.append(self.kit.scheduler.submit(entry.ticket))
            self.check_sheds()

    @rule()
    def release_signalled(self):
        for entry in self.held():
            if entry.grant.preempted.is_set():
                self.kit.release(entry)
        self.check_sheds()

    @rule(choice=st.integers(0, 99))
    def cancel(self, choice):
        if self.entries:
            entry = self.entries[choice % len(self.entries)]
            was_waiting = not entry.is_ended
            cancelled = self.kit.scheduler.cancel(entry.ticket)
            assert cancelled or not was_waiting

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.6, 1.1, 3.0, 8.0]))
    def advance(self, seconds):
        until = self.kit.clock.now + seconds
        scheduler = self.kit.scheduler
        while (at := scheduler.next_wake()) is not None and at <= until:
            self.kit.clock.now = max(self.kit.clock.now, at)
            scheduler.poll()
            self.check_sheds()
        self.kit.clock.now = until

    @rule(
        uses=st.dictionaries(
            st.sampled_from(["i2", "i3"]),
            st.lists(st.tuples(st.integers(0, 3), st.integers(0, 1)), max_size=3),
        )
    )
    def update_peers(self, uses):
        self.kit.scheduler.update_peers(
            {
                peer: [
                    EndpointUse(endpoint=name, in_use=in_use, waiting=waiting)
                    for name, (in_use, waiting) in zip(ENDPOINTS, items, strict=False)
                ]
                for peer, items in uses.items()
            }
        )

    @rule(
        name=st.sampled_from(ENDPOINTS),
        state=st.sampled_from(["down", "up", "go", "stay"]),
    )
    def change_endpoint(self, name, state):
        table = self.kit.table
        if state == "down":
            table.mark_down(name, "test")
        elif state == "up":
            table.mark_up(name)
        elif state == "go":
            table.mark_leaving(name, "test")
        else:
            table.clear_leaving(name, "test")

    def held(self):
        return [e for e in self.entries if e.grant and not e.grant.released]

    def usable_lower_grants(self, ticket):
        """Computes from the grants alone which slots a request could preempt."""
        views = self.kit.table.candidates(ticket.target)
        usable = {v.endpoint.id for v in views} - ticket.excluded
        running = {}
        for entry in self.held():
            key = (entry.ticket.target, entry.ticket.request_class.name)
            running.setdefault(key, []).append(entry.grant)
        return [
            grant
            for key, grants in running.items()
            for grant in grants
            if grant.ticket.request_class.tier > ticket.request_class.tier
            and grant.ticket.request_class.repeatable
            and not grant.by_floor
            and grant.endpoint.id in usable
            and self.is_available(grant, grants, key)
        ]

    def is_available(self, grant, grants, key):
        if grant.preempted_at is not None:
            age_s = self.kit.clock.now - grant.preempted_at
            return age_s < PREEMPTION_TIMEOUT_S
        unsignalled = sum(g.preempted_at is None for g in grants)
        return unsignalled > int(self.kit.scheduler.queues[key].floor_slots)

    def check_sheds(self):
        """Checks each request that was shed since the last check."""
        for entry in self.entries:
            if entry.error is None or entry in self.judged:
                continue
            self.judged.add(entry)
            ticket = entry.ticket
            if not ticket.request_class.protected or isinstance(
                entry.error, (Cancelled, NoEndpoint)
            ):
                continue
            if ticket.team == "oak" and self.team_in_use("oak") >= 3:
                continue
            assert not self.usable_lower_grants(ticket), "protected request was shed"

    def team_in_use(self, team):
        return sum(entry.ticket.team == team for entry in self.held())

    @invariant()
    def slots_stay_within_the_share(self):
        held = [entry.grant.endpoint.id for entry in self.held()]
        for name in ENDPOINTS:
            count = held.count(name)
            assert count == self.kit.scheduler.ledger.in_use.get(name, 0)
            # A share may shrink below the slots in use; only new grants must fit.
            if count > self.in_use[name]:
                assert count <= self.kit.scheduler.shares.limit(name)
            self.in_use[name] = count

    @invariant()
    def team_limit_holds(self):
        assert self.team_in_use("oak") <= 3

    @invariant()
    def no_slot_idles_while_a_request_could_use_it(self):
        scheduler = self.kit.scheduler
        scheduler.poll()
        for entry in self.entries:
            if entry.is_ended or scheduler.ledger.is_team_at_limit(entry.ticket.team):
                continue
            views = self.kit.table.candidates(entry.ticket.target)
            free = scheduler.ledger.views_with_free_slots(views)
            assert not [v for v in free if v.endpoint.id not in entry.ticket.excluded]

    def teardown(self):
        for _ in range(200):
            self.kit.table.mark_up("e1")
            self.kit.table.clear_leaving("e1", "test")
            for entry in self.held():
                self.kit.release(entry)
            self.advance(1.0)
        assert all(entry.is_ended for entry in self.entries)


class UnshieldedMachine(SchedulerMachine):
    """Protected requests time out while plans keep their slots."""

    preemption = "fifo_round_robin"


@pytest.fixture(autouse=True)
def every_ticket_ends_once(monkeypatch):
    original = QueueEntry.end

    def end(self, **result):
        assert not self.is_ended, "a ticket ended twice"
        original(self, **result)

    monkeypatch.setattr(QueueEntry, "end", end)


def test_invariants():
    run_state_machine_as_test(SchedulerMachine, settings=SETTINGS)


def test_invariant_check_fails_without_protection():
    with pytest.raises(AssertionError, match="protected request was shed"):
        # Shrinking the expected failure takes minutes and is not needed. The seed is
        # fixed because a random search may miss the failure.
        fixed = settings(
            SETTINGS, max_examples=500, phases=[Phase.generate], derandomize=True
        )
        run_state_machine_as_test(UnshieldedMachine, settings=fixed)
