"""Guards against a manifest reported as accepted but not in force everywhere.

The first tests follow the cases in section 5.3 of the design.
"""

import time

import msgspec
import pytest

from lagoonrill._internal.coordination import fleet_survey
from lagoonrill._internal.coordination.apply import (
    PROPOSAL_LIFETIME_S,
    ApplyResult,
    ManifestRollout,
    Stage,
)
from lagoonrill._internal.coordination.fleet_report import read_fleet
from lagoonrill._internal.protocol.codec import to_json
from lagoonrill._internal.protocol.errors import ManifestError
from lagoonrill._internal.protocol.manifest import Team
from lagoonrill._internal.protocol.objects import (
    COMMITTED_NAME,
    PROPOSAL_NAME,
    ConfigRecord,
)
from tests.rollout_fleet import Fleet, StoreClient, manifest, start_fleet


def reports(report) -> dict:
    return {r.instance: r for zone in report.zones for r in zone.instances}


def zone_states(report) -> dict[str, str]:
    return {zone.zone: str(zone.state) for zone in report.zones}


def run_until(tool, fleet, stage: Stage) -> None:
    """Steps the tool and the fleet until the tool reaches the stage."""
    for _ in range(50):
        if tool.stage is stage:
            return
        assert tool.step() is None
        fleet.step()
    raise AssertionError(f"the tool is stuck at {tool.stage}: {tool.waiting_for}")


def test_accepted_manifest_is_in_force_in_every_instance():
    fleet = start_fleet("a1", "a2", "b1")
    report = fleet.tool(2).run()
    assert (report.result, report.generation, report.written) == ("accepted", 2, True)
    assert zone_states(report) == {"a": "accepted", "b": "accepted"}
    assert all(node.history == [1, 2] for node in fleet.nodes.values())
    assert PROPOSAL_NAME not in fleet.store.objects


@pytest.mark.parametrize("pause_s", [5.0, 29.0, 31.0, 600.0])
def test_frozen_instance_that_resumes_without_a_source(pause_s):
    """A manifest may have been accepted during a pause of 30 s or more."""
    fleet = start_fleet("a1", "b1")
    frozen = fleet.nodes["b1"]
    frozen.frozen = True
    fleet.cut("b")
    fleet.clock.sleep(pause_s)
    frozen.frozen = False
    assert not frozen.serves(), "serves before it tried to confirm its generation"
    frozen.step()
    assert frozen.serves() == (pause_s < 30)
    if pause_s >= 30:
        assert "not confirmed" in frozen.rollout.ready().reason
    fleet.heal("b")
    frozen.step()
    assert frozen.serves()


def test_frozen_instance_resumes_with_the_accepted_generation():
    fleet = start_fleet("a1", "b1")
    frozen = fleet.nodes["b1"]
    frozen.frozen = True
    del fleet.list.entries["b1"]
    fleet.advance(46)
    assert fleet.tool(2).run().result == "accepted"
    frozen.frozen = False
    assert not frozen.serves()
    frozen.step()
    assert frozen.serves()
    assert frozen.history == [1, 2]


def test_short_pauses_without_a_confirmation_add_up():
    fleet = start_fleet("a1")
    node = fleet.nodes["a1"]
    fleet.cut("a")
    for expected in (True, False):
        fleet.clock.sleep(20)
        node.step()
        assert node.serves() is expected


def test_resumed_peer_does_not_confirm_another_resumed_peer():
    """Two resumed instances of a partitioned zone may hold the same old generation."""
    fleet = start_fleet("a1", "b1", "b2")
    fleet.cut("b")
    fleet.clock.sleep(60)
    for name in ("b1", "b2", "b1"):
        fleet.nodes[name].step()
    assert not fleet.nodes["b1"].serves()
    assert not fleet.nodes["b2"].serves()


def test_instance_is_replaced_while_its_zone_is_cut_off():
    fleet = start_fleet("a1", "b1", "b2")
    assert fleet.tool(2).run().result == "accepted"
    fleet.cut("b")
    replaced = fleet.start("b1", "b")
    assert "has not been looked up" in replaced.rollout.ready().reason
    replaced.step()
    assert replaced.serves()
    assert replaced.history == [2]


def test_start_without_any_source_names_the_reason():
    fleet = start_fleet("a1", "b1")
    fleet.cut("b")
    alone = fleet.start("b1", "b")
    alone.step()
    readiness = alone.rollout.ready()
    assert not readiness.ready
    assert "Object API: connection refused" in readiness.reason
    assert "no peer" in readiness.reason


def test_empty_zone_is_named_and_its_first_instance_reads_the_store():
    fleet = start_fleet("a1")
    report = fleet.tool(2).run()
    assert report.result == "accepted"
    assert zone_states(report) == {"a": "accepted", "b": "empty"}
    first = fleet.start("b1", "b")
    assert not first.serves()
    first.step()
    assert first.serves()
    assert first.history == [2]


def test_ended_instance_that_is_still_listed_is_reported_as_pending():
    fleet = start_fleet("a1", "b1")
    del fleet.nodes["b1"]
    report = fleet.tool(2, timeout_s=60).run()
    assert report.result is ApplyResult.PENDING
    assert (report.committed, report.stage) == (False, Stage.STAGE)
    gone = reports(report)["b1"]
    assert (gone.state, gone.zone) == ("pending", "b")
    assert "has not staged" in gone.reason
    assert PROPOSAL_NAME not in fleet.store.objects, (
        "an open proposal blocks the next run"
    )


def test_ended_instance_that_is_not_listed_counts_until_the_silence_timeout():
    fleet = start_fleet("a1", "b1")
    del fleet.nodes["b1"], fleet.list.entries["b1"]
    report = fleet.tool(2, timeout_s=20).run()
    assert report.result is ApplyResult.PENDING
    assert "not in the Instance list" in reports(report)["b1"].reason
    assert fleet.tool(2, timeout_s=60).run().result == "accepted"


def test_statuses_beyond_one_page_count_and_abandoned_ones_are_removed(monkeypatch):
    """Guards against statuses beyond the first page and those of crashed instances."""
    monkeypatch.setattr(fleet_survey, "LIST_LIMIT", 2)
    fleet = start_fleet("a1", "a2", "b1", "b2", "b3")
    del fleet.nodes["a1"], fleet.list.entries["a1"]
    fleet.clock.sleep(fleet_survey.STATUS_RETENTION_S + 1)
    fleet.step()
    report = fleet.tool(2).run()
    assert report.result == "accepted"
    assert sorted(reports(report)) == ["a2", "b1", "b2", "b3"]
    assert "status/a/a1" not in fleet.store.objects


def test_instance_that_stopped_or_leaves_is_not_waited_for():
    fleet = start_fleet("a1", "a2", "b1")
    fleet.nodes.pop("b1").rollout.stop()
    del fleet.list.entries["b1"], fleet.nodes["a2"]
    fleet.list.add("a2", "a", state="leaving")
    report = fleet.tool(2, timeout_s=5).run()
    assert report.result == "accepted"
    assert list(reports(report)) == ["a1"]


def test_new_instance_that_the_list_does_not_show_yet_is_waited_for():
    """The instance read the old generation and was then partitioned."""
    fleet = start_fleet("a1")
    new = fleet.start("b1", "b", listed=False)
    new.step()
    assert new.serves()
    fleet.cut("b")
    report = fleet.tool(2, timeout_s=20).run()
    assert report.result is ApplyResult.PENDING
    assert "b1" in reports(report)


def test_partitioned_zone_keeps_serving_and_is_not_accepted():
    fleet = start_fleet("a1", "b1")
    tool = fleet.tool(2, timeout_s=100)
    run_until(tool, fleet, Stage.COMMIT)
    fleet.cut("b")
    report = tool.run()
    assert (report.result, report.committed) == (ApplyResult.PENDING, True)
    assert zone_states(report) == {"a": "accepted", "b": "pending"}
    assert "generation 1 in force" in reports(report)["b1"].reason
    assert fleet.nodes["b1"].serves()
    fleet.heal("b")
    assert fleet.tool(2).run().result == "accepted"
    assert fleet.nodes["b1"].history == [1, 2]


@pytest.mark.parametrize("fault", ["lost", "late"])
@pytest.mark.parametrize("name", [PROPOSAL_NAME, COMMITTED_NAME])
def test_write_whose_answer_is_lost(name, fault):
    fleet = start_fleet("a1", "b1")
    tool = fleet.tool(2)
    tool.store.fault_prefix = name
    tool.store.faults = [fault]
    tool.sleep = lambda seconds: (fleet.advance(seconds), fleet.store.deliver())
    report = tool.run()
    assert (report.result, report.generation) == ("accepted", 2)
    assert all(node.history == [1, 2] for node in fleet.nodes.values())


def test_commit_that_stays_in_doubt_is_not_called_accepted_or_failed():
    fleet = start_fleet("a1")
    tool = fleet.tool(2, timeout_s=10)
    run_until(tool, fleet, Stage.COMMIT)
    tool.store.fault_prefix = COMMITTED_NAME
    tool.store.faults = ["late"] * 1_000
    report = tool.run()
    assert (report.result, report.committed) == (ApplyResult.PENDING, None)
    assert "answer lost" in report.reason


def test_lost_commit_that_was_replaced_is_recognised():
    fleet = start_fleet("a1")
    tool = fleet.tool(2)
    run_until(tool, fleet, Stage.COMMIT)
    tool.store.fault_prefix = COMMITTED_NAME
    tool.store.faults = ["lost"]
    assert tool.step() is None
    fleet.step()
    assert fleet.tool(3).run().result == "accepted"
    report = tool.run()
    assert (report.result, report.committed) == (ApplyResult.LOST_RACE, True)
    assert "replaced by generation 3" in report.reason


STAGES = [Stage.READ, Stage.PROPOSE, Stage.STAGE, Stage.COMMIT, Stage.IN_FORCE]


@pytest.mark.parametrize("stage", STAGES)
def test_second_pipeline_completes_while_the_first_is_at(stage):
    """Exactly one pipeline commits each generation, whichever is slower."""
    fleet = start_fleet("a1", "b1")
    first = fleet.tool(2)
    run_until(first, fleet, stage)
    other = fleet.tool(3).run()
    report = first.run()
    results = {str(report.result), str(other.result)}
    if stage is Stage.READ:
        # The first pipeline reads after the other's commit and builds on it.
        assert results == {"accepted"}
        assert (other.generation, report.generation) == (2, 3)
    elif stage is Stage.IN_FORCE:
        assert (other.result, other.generation) == ("accepted", 3)
        assert (report.result, report.committed) == ("lost_race", True)
    else:
        assert results == {"accepted", "lost_race"}
        assert fleet.nodes["a1"].history == [1, 2]


@pytest.mark.parametrize("stage", [Stage.STAGE, Stage.COMMIT])
def test_abandoned_proposal_of_a_dead_pipeline_is_replaced(stage):
    fleet = start_fleet("a1")
    run_until(fleet.tool(2), fleet, stage)
    early = fleet.tool(3).run()
    assert early.result is ApplyResult.LOST_RACE
    assert "still open" in early.reason
    fleet.advance(PROPOSAL_LIFETIME_S + 1)
    assert fleet.tool(3).run().result == "accepted"


def test_slow_pipeline_loses_to_the_one_that_replaced_its_proposal():
    fleet = start_fleet("a1")
    slow = fleet.tool(2)
    run_until(slow, fleet, Stage.COMMIT)
    fleet.advance(PROPOSAL_LIFETIME_S + 1)
    assert fleet.tool(3).run().result == "accepted"
    assert slow.run().result is ApplyResult.LOST_RACE
    assert fleet.nodes["a1"].history == [1, 2]


def test_manifest_generated_from_an_older_generation_loses():
    fleet = start_fleet("a1")
    report = fleet.tool(2, base_generation=0).run()
    assert report.result is ApplyResult.LOST_RACE
    assert "generated from generation 0, but generation 1" in report.reason
    assert fleet.tool(2, base_generation=1).run().result == "accepted"


def test_identical_manifest_is_accepted_and_nothing_is_written():
    fleet = start_fleet("a1")
    writes = fleet.store.writes
    report = fleet.tool(1, base_generation=0).run()
    assert (report.result, report.generation) == ("accepted", 1)
    assert not report.written
    assert fleet.store.writes == writes


def test_restart_during_a_store_outage_takes_the_generation_from_a_peer():
    fleet = start_fleet("a1", "b1")
    fleet.store.down = True
    restarted = fleet.start("a1", "a")
    restarted.step()
    assert restarted.serves()
    assert restarted.rollout.dump().started_from == "peer b1"
    fleet.store.down = False
    restarted.step()
    assert fleet.tool(2).run().result == "accepted"


def test_lower_generation_of_a_stale_peer_is_ignored():
    fleet = start_fleet("a1", "b1")
    stale = fleet.nodes["b1"].generations.current()
    assert fleet.tool(2).run().result == "accepted"
    node = fleet.nodes["a1"]
    assert not node.generations.offer(stale)
    assert node.history == [1, 2]


def test_instance_without_watch_and_poll_learns_the_commit_from_a_peer():
    fleet = start_fleet("a1", "b1")
    tool = fleet.tool(2)
    run_until(tool, fleet, Stage.IN_FORCE)
    behind = fleet.start("b1", "b")
    behind.rollout._started_from = "test"
    behind.store.cut = True
    behind.rollout.check_peers()
    assert behind.history == [2]


def test_silent_watch_is_covered_by_the_poll():
    fleet = start_fleet("a1", "b1")
    silent = fleet.nodes["b1"]
    silent.rollout.watch_once = lambda wait_s: None
    assert fleet.tool(2).run().result == "accepted"


def test_refusal_of_one_instance_ends_the_run_with_its_reason():
    def refuse(proposed):
        raise ManifestError(key="classes", found="too many", remedy="Use fewer")

    fleet = start_fleet("a1")
    fleet.start("b1", "b", checks=(refuse,)).step()
    report = fleet.tool(2).run()
    assert (report.result, report.committed) == (ApplyResult.REFUSED, False)
    assert reports(report)["b1"].reason == "classes: too many. Use fewer"
    assert fleet.nodes["a1"].history == [1]
    assert PROPOSAL_NAME not in fleet.store.objects


def test_manifest_that_cannot_be_applied_is_not_accepted():
    fleet = start_fleet("a1", "b1")

    def fail(record):
        if record.generation == 2:
            raise RuntimeError("no slots")

    fleet.nodes["b1"].generations.subscribe(fail)
    report = fleet.tool(2, timeout_s=10).run()
    assert report.result is ApplyResult.PENDING
    assert "no slots" in reports(report)["b1"].reason


def test_platform_outages_are_reported():
    fleet = start_fleet("a1")
    fleet.store.down = True
    report = fleet.tool(2, timeout_s=5).run()
    assert report.result is ApplyResult.PLATFORM_ERROR
    assert "Object API" in report.reason
    fleet.store.down = False
    fleet.list.down = True
    report = fleet.tool(2, timeout_s=5).run()
    assert report.result is ApplyResult.PENDING
    assert "outage" in report.reason


@pytest.mark.parametrize("teams", [1, 1_000])
def test_full_reads_of_a_large_manifest_stay_within_the_byte_budget(teams):
    """Guards against polls that exceed a daemon's byte budget for control traffic.

    A full read also finds a change whose writer ended before it wrote the mark.
    """
    large = manifest(1)
    large.teams = [Team(name=f"t{n}", key_digests=["ab" * 32]) for n in range(teams)]
    fleet = Fleet()
    node = fleet.start("a1", "a")
    record = ConfigRecord(
        generation=1,
        base_generation=0,
        proposal_id="p1",
        digest="",
        manifest=large,
        written_at=0.0,
    )
    put_committed(fleet, record)
    node.rollout.poll_store()
    size = len(fleet.store.objects[COMMITTED_NAME].value)
    interval_s = 30 if teams == 1 else size / 1_000
    assert interval_s >= 30
    put_committed(fleet, msgspec.structs.replace(record, generation=2))
    for _ in range(int(interval_s / 2)):
        assert node.generations.generation() == 1
        node.rollout.poll_store()
        fleet.clock.sleep(2)
    fleet.clock.sleep(2)
    node.rollout.poll_store()
    assert node.generations.generation() == 2


def put_committed(fleet: Fleet, record: ConfigRecord) -> None:
    """Commits a record without an update of the mark."""
    fleet.store.write(COMMITTED_NAME, to_json(record), None)


def test_status_names_zones_instances_and_an_open_proposal():
    fleet = start_fleet("a1")
    run_until(fleet.tool(2), fleet, Stage.COMMIT)
    found = read_fleet(
        store=StoreClient(fleet.store),
        instance_list=fleet.list,
        clock=fleet.clock,
        wall_clock=fleet.clock,
    ).unwrap()
    assert found.generation == 1
    assert found.open_proposal
    assert zone_states(found) == {"a": "accepted", "b": "empty"}


def test_instance_is_not_ready_before_the_first_manifest():
    fleet = Fleet()
    node = fleet.start("a1", "a")
    node.step()
    assert node.rollout.ready().reason == "no manifest has been committed yet"
    assert fleet.tool(1).run().result == "accepted"
    assert node.generations.current().manifest == manifest(1)
    assert node.serves()


def test_threads_bring_a_manifest_in_force_and_stop():
    """Guards against thread loops without a step that other tests call directly."""
    fleet = Fleet()
    fleet.clock = time.monotonic
    nodes = [fleet.start(name, name[0]) for name in ("a1", "b1")]
    for node in nodes:
        node.store.watch = failing_watch(node.store.watch)
        node.rollout.start()
    options = {"wall_clock": time.monotonic, "clock": time.monotonic}
    for number in (1, 2):
        tool = ManifestRollout(
            manifest=manifest(number),
            store=StoreClient(fleet.store),
            instance_list=fleet.list,
            timeout_s=30,
            **options,
        )
        assert tool.run().result == "accepted"
    assert all(node.serves() for node in nodes)
    for node in nodes:
        node.rollout.stop()
    assert all(not t.is_alive() for node in nodes for t in node.rollout._threads)
    assert not [name for name in fleet.store.objects if name.startswith("status/")]


def failing_watch(watch):
    """Raises an unexpected exception once, which must not end the watch thread."""
    calls = []

    def watch_or_fail(prefix, *, since, wait_s):
        calls.append(prefix)
        if len(calls) == 1:
            raise RuntimeError("unexpected")
        return watch(prefix, since=since, wait_s=wait_s)

    return watch_or_fail
