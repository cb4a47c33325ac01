"""Guards against event orders that leave an accepted manifest not in force.

Hypothesis interleaves two pipelines with restarts, freezes, partitions, outages and
lost answers. The rules document the assumptions of the model that they rely on.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lagoonrill._internal.coordination.apply import (
    ApplyResult,
    ManifestRollout,
    Stage,
)
from lagoonrill._internal.protocol.codec import from_json
from lagoonrill._internal.protocol.objects import COMMITTED_NAME, ConfigRecord
from lagoonrill._internal.state.generation import GenerationState
from tests.rollout_fleet import Fleet

NAMES = ("a1", "a2", "b1", "b2")
# A whole zone can freeze, for example when its rack fails.
GROUPS = (*NAMES, "a", "b")
PIPELINES = (0, 1)
ZONE = st.sampled_from("ab")


class RolloutMachine(RuleBasedStateMachine):
    """Four instances in two zones and two pipelines."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.pipelines = [None, None]
        self.number = 1
        self.accepted = 0
        self.winners: dict[int, str] = {}
        self.records: list[ConfigRecord] = []
        self.ended: dict[str, int] = {}
        self.frozen_at: dict[str, float] = {}

    @initialize()
    def start_fleet(self):
        for name in NAMES:
            self.fleet.start(name, name[0])
        self.fleet.step()
        self.finish(self.fleet.tool(1).run())
        assert self.accepted == 1

    # Pipelines

    @rule(which=st.sampled_from(PIPELINES), until=st.sampled_from([*Stage, None]))
    def run_pipeline(self, which, until):
        """Runs a pipeline up to a stage while the fleet is stepped."""
        if self.pipelines[which] is None:
            self.number += 1
            self.pipelines[which] = self.fleet.tool(self.number, timeout_s=1e6)
        for _ in range(8):
            pipeline = self.pipelines[which]
            if pipeline is not None and pipeline.stage is not until:
                self.step_pipeline(which)
                self.fleet.step()

    @rule(stages=st.permutations([Stage.PROPOSE, Stage.COMMIT]))
    def start_both(self, stages):
        """Lets two pipelines read the same state, then one runs ahead."""
        self.pipelines = [None, None]
        for stage in (Stage.PROPOSE, Stage.COMMIT):
            for which in PIPELINES:
                if stage in (Stage.PROPOSE, stages[which]):
                    self.run_pipeline(which=which, until=stage)

    @rule(which=st.sampled_from(PIPELINES))
    def step_pipeline(self, which):
        pipeline = self.pipelines[which]
        report = pipeline.step() if pipeline else None
        self.record_commit()
        if report is not None:
            self.pipelines[which] = None
            self.finish(report)

    @rule(
        which=st.sampled_from(PIPELINES),
        faults=st.lists(st.sampled_from(["lost", "late"]), max_size=2),
    )
    def disturb_pipeline(self, which, faults):
        """Loses answers, or kills the pipeline, which leaves its proposal open."""
        if self.pipelines[which] and faults:
            self.pipelines[which].store.faults = faults
        else:
            self.pipelines[which] = None

    def finish(self, report):
        self.record_commit()
        if report.committed:
            assert self.winners[report.generation] == report.proposal_id
        if report.result is not ApplyResult.ACCEPTED:
            return
        self.accepted = max(self.accepted, report.generation)
        for entry in self.fleet.list.entries.values():
            node = self.fleet.nodes.get(entry.id)
            if node is None or node.serves():
                # An ended instance may have reported before it exited.
                last = self.last_generation(entry.id)
                assert last >= report.generation, f"{entry.id} has {last}"

    def last_generation(self, name: str) -> int:
        node = self.fleet.nodes.get(name)
        return node.generations.generation() if node else self.ended.get(name, 0)

    def record_commit(self):
        found = self.fleet.store.objects.get(COMMITTED_NAME)
        if found is not None:
            record = from_json(found.value, ConfigRecord)
            winner = self.winners.setdefault(record.generation, record.proposal_id)
            if record not in self.records:
                self.records.append(record)
            assert winner == record.proposal_id, (
                "a generation was committed by two proposals"
            )

    # Instances

    @rule(
        name=st.sampled_from(NAMES),
        part=st.sampled_from(["watch_once", "poll_store", "write_status", "confirm"]),
    )
    def step_part_of_node(self, name, part):
        node = self.fleet.nodes.get(name)
        if node and not node.frozen:
            getattr(node.rollout, part)(*([0] if part == "watch_once" else []))

    @rule(name=st.sampled_from(NAMES), starts=st.booleans())
    def end_or_restart(self, name, starts):
        """Replaces a process by one without state, or ends it but leaves it listed.

        Assumes that heartbeats spread a generation in a zone before the next failure.
        """
        for node in self.fleet.nodes.values():
            if node.zone == name[0] and not node.frozen:
                node.rollout.check_peers()
        self.ended[name] = max(self.ended.get(name, 0), self.last_generation(name))
        self.fleet.nodes.pop(name, None)
        self.frozen_at.pop(name, None)
        if starts:
            self.fleet.start(name, name[0])

    @rule(group=st.sampled_from(GROUPS), thaws=st.booleans())
    def freeze_or_thaw(self, group, thaws):
        for name, node in self.fleet.nodes.items():
            if name.startswith(group) and node.frozen == thaws:
                node.frozen = not thaws
                self.frozen_at[name] = self.fleet.clock.now
                if thaws:
                    self.frozen_at.pop(name)
                    self.fleet.list.add(name, name[0])

    @rule(group=st.sampled_from(GROUPS))
    def drop_from_list(self, group):
        """Removes ended or long frozen instances, never running ones, from the list."""
        for name in NAMES:
            frozen_s = self.fleet.clock.now - self.frozen_at.get(name, 1e9)
            gone = name not in self.fleet.nodes or frozen_s >= 30
            if gone and name.startswith(group):
                self.fleet.list.entries.pop(name, None)

    @rule(zone=ZONE)
    def freeze_zone_for_long(self, zone):
        """Freezes and partitions a zone until the list drops its instances."""
        self.freeze_or_thaw(group=zone, thaws=False)
        self.fleet.cut(zone)
        self.fleet.advance(50)
        self.drop_from_list(group=zone)

    @rule(name=st.sampled_from(NAMES), index=st.integers(0, 9))
    def deliver_old_reply(self, name, index):
        """Delivers a peer's late answer with an older generation."""
        node = self.fleet.nodes.get(name)
        if node and not node.frozen and index < len(self.records):
            node.generations.offer(self.records[index])

    # Environment

    @rule(event=st.sampled_from(["cut", "heal", "outage", "late"]), zone=ZONE)
    def change_environment(self, event, zone):
        if event == "cut":
            self.fleet.cut(zone)
        elif event == "heal":
            self.fleet.heal(zone)
        elif event == "outage":
            self.fleet.store.down = not self.fleet.store.down
        else:
            self.fleet.store.deliver()
            self.record_commit()

    @rule(seconds=st.sampled_from([0.3, 5.0, 31.0, 50.0, 130.0]))
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @rule()
    def step_fleet(self):
        self.fleet.step()

    # Invariants

    @invariant()
    def no_generation_decreases(self):
        for node in self.fleet.nodes.values():
            history = node.history
            assert history == sorted(set(history)), f"{node.name} had {history}"

    @invariant()
    def serving_instances_have_the_accepted_generation(self):
        for node in self.fleet.nodes.values():
            if node.serves():
                generation = node.generations.generation()
                assert generation >= self.accepted, (
                    f"{node.name} serves generation {generation} "
                    f"after {self.accepted} was accepted"
                )


SETTINGS = settings(
    max_examples=150,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
FAULT_SETTINGS = settings(
    SETTINGS, max_examples=5_000, phases=[Phase.generate], database=None
)
TestRollout = RolloutMachine.TestCase
TestRollout.settings = SETTINGS


def accept_on_commit(self):
    self.committed = True
    return self._report(ApplyResult.ACCEPTED, "")


def write_without_condition(self, name, version):
    return self.store._write(name, self.record_value, None)


def accept_any_record(self, record):
    changed = self._record != record
    self._record = self._applied = record
    if changed:
        for subscription in self._subscriptions:
            subscription.callback(record)
    return changed


FAULTY_VARIANTS = {
    "accepts on the commit write alone": (
        ManifestRollout,
        "_has_committed",
        accept_on_commit,
    ),
    "writes without a condition": (ManifestRollout, "_write", write_without_condition),
    "rolls back": (GenerationState, "offer", accept_any_record),
}


@pytest.mark.parametrize("variant", FAULTY_VARIANTS)
def test_invariants_reject_a_rollout_that(variant, monkeypatch):
    """Checks that the invariants reject a faulty rollout."""
    monkeypatch.setattr(*FAULTY_VARIANTS[variant])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(RolloutMachine, settings=FAULT_SETTINGS)
