"""Guards against prompts that crash one engine after the other.

One part of these prompts crashes each engine that begins to answer; sound prompts share
the other parts.
"""

import time

import pytest

from lagoonrill._internal.coordination.crash_reports import CrashReports
from lagoonrill._internal.coordination.policy.crash_evidence import (
    CERTAIN_CRASHES,
    COMMON_CAUSE_S,
    EVIDENCE_LIFETIME_S,
    MAX_CRASHES,
    MAX_SOUND_PARTS,
    MIN_CRASHES,
    CrashEvidence,
)
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.headers import HeaderNames
from lagoonrill._internal.protocol.messages import CrashReport
from lagoonrill._internal.protocol.routing import PromptPart
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry
from tests.gateway_kit import record

SERVICE = "models"
NAMES = HeaderNames()


class Evidence:
    """Crashes at a simulated time."""

    def __init__(self):
        self.now = 1_000.0
        self.parts = CrashEvidence(clock=lambda: self.now)

    def crash(self, engine: str, suspects, *, request: str = "", after_s: float = 1.0):
        self.now += after_s
        return self.parts.note_crash(
            SERVICE,
            engine,
            request=request or f"request to {engine}",
            suspects=suspects,
            at=self.now,
        )

    def refused(self, *parts):
        return self.parts.refused_parts(SERVICE, parts)


@pytest.fixture
def evidence():
    return Evidence()


def test_a_part_is_refused_after_two_engines_crashed_with_it(evidence):
    assert evidence.crash("e1", ["cold", "poison"]) is None
    assert evidence.refused("poison") is None
    assert evidence.crash("e2", ["other", "poison"]) == ["poison"]
    assert evidence.refused("base", "poison") == ["poison"]
    assert evidence.refused("base", "cold", "other") is None


def test_a_part_is_refused_only_for_the_service_whose_engines_crashed(evidence):
    evidence.crash("e1", ["poison"])
    evidence.crash("e2", ["poison"])
    assert evidence.parts.refused_parts("other models", ["poison"]) is None


def test_one_unlucky_request_does_not_make_its_parts_suspicious(evidence):
    # A request is repeated on another engine, which may crash for its own reason.
    evidence.crash("e1", ["cold"], request="r1")
    assert evidence.crash("e2", ["cold"], request="r1") is None
    assert evidence.crash("e3", ["cold"], request="r1") == ["cold"]
    assert CERTAIN_CRASHES == 3


def test_several_requests_on_one_engine_count_as_one_crash(evidence):
    for number in range(5):
        assert evidence.crash("e1", ["cold"], request=f"r{number}") is None


def test_engines_that_crash_at_the_same_time_count_once(evidence):
    # For example in a power failure.
    for number in range(5):
        pause_s = COMMON_CAUSE_S / 2 if number == 1 else 0
        assert evidence.crash(f"e{number}", ["cold"], after_s=pause_s) is None


def test_a_part_with_which_an_answer_began_is_sound(evidence):
    evidence.crash("e1", ["base", "poison"])
    evidence.parts.note_begun(SERVICE, ["base"])
    assert evidence.crash("e2", ["base", "poison"]) == ["poison"]
    assert evidence.parts.suspects(SERVICE, ["base", "poison"]) == ["poison"]


def test_an_answer_that_begins_ends_the_refusal_of_its_parts(evidence):
    evidence.crash("e1", ["part"])
    evidence.crash("e2", ["part"])
    evidence.parts.note_begun(SERVICE, ["part"])
    assert evidence.refused("part") is None


def test_parts_that_only_occurred_together_are_refused_together(evidence):
    evidence.crash("e1", ["rare", "poison"])
    assert evidence.crash("e2", ["rare", "poison"]) == ["poison", "rare"]
    assert evidence.refused("rare", "last") is None
    # Either a sound request or a crash without the other part tells them apart.
    evidence.parts.note_begun(SERVICE, ["rare"])
    assert evidence.refused("other", "poison") == ["poison"]


def test_a_further_crash_tells_parts_apart_that_occurred_together(evidence):
    evidence.crash("e1", ["rare", "poison"])
    evidence.crash("e2", ["rare", "poison"])
    assert evidence.crash("e3", ["other", "poison"]) == ["poison"]
    assert evidence.refused("poison") == ["poison"]
    assert evidence.refused("rare") is None


def test_a_crash_with_a_known_cause_makes_no_other_part_suspicious(evidence):
    for number in range(MIN_CRASHES):
        evidence.crash(f"e{number}", ["poison"])
    for number in range(5):
        evidence.crash(f"later e{number}", ["cold"], request=f"r{number}", after_s=1.0)
        evidence.crash(f"later e{number}", ["poison"], after_s=0.0)
        if number == 0:
            assert evidence.refused("cold") is None


def test_refusals_end_by_time(evidence):
    evidence.crash("e1", ["poison"])
    evidence.crash("e2", ["poison"])
    evidence.now += EVIDENCE_LIFETIME_S - 1
    assert evidence.refused("poison") == ["poison"]
    evidence.now += 2
    assert evidence.refused("poison") is None


def test_the_memory_for_crashes_and_sound_parts_is_bounded(evidence):
    for number in range(2 * MAX_CRASHES):
        evidence.crash(f"e{number}", [f"part {number}"])
    evidence.parts.note_begun(SERVICE, map(str, range(2 * MAX_SOUND_PARTS)))
    assert len(evidence.parts.crashes) <= MAX_CRASHES
    assert len(evidence.parts.sound) == MAX_SOUND_PARTS


def prompt(number: int, part: str) -> dict:
    parts = f"base:800,{part}:400,own-{number}:90"
    return {
        "id": f"r{number}",
        "headers": {NAMES.token_usage: "1290,20", NAMES.prompt_parts: parts},
    }


def test_prompts_with_a_part_that_crashes_engines_stop_reaching_engines(gateway_for):
    gateway, engines = gateway_for("models", *[["stream_or_crash"]] * 8)
    assert gateway.ask("/plan/1", **prompt(0, "sound"))[0].status == 200
    for number in range(1, 7):
        response, body = gateway.ask("/plan/1", **prompt(number, "poison"))
        time.sleep(COMMON_CAUSE_S)
    crashes = [engine for engine in engines if engine.runs and _crashed(engine)]
    assert len(crashes) == MIN_CRASHES
    # The refusal is final, and names the part.
    assert response.status == 400
    assert response.getheader("Retry-After") is None
    assert b"poison" in body
    # Sound prompts with the other parts are served.
    assert gateway.ask("/plan/1", **prompt(9, "sound"))[0].status == 200
    assert gateway.events("prompt_parts_refused")[0]["parts"] == ["poison"]


def _crashed(engine) -> bool:
    return any("poison" in run.header(NAMES.prompt_parts) for run in engine.runs)


def test_a_connection_that_fails_while_the_engine_runs_is_no_crash(gateway_for):
    gateway, _ = gateway_for("models", *[["reset_before_answer"]] * 8)
    for number in range(6):
        gateway.ask("/plan/1", **prompt(number, "sound"))
    assert not gateway.events("endpoint_crashed")
    assert gateway.crash_reports.parts.refused == {}


class LinkStub:
    """Records the messages to peers."""

    def __init__(self):
        self.sent = []

    def register_handler(self, message_type, handler, *, inline):
        self.handler = handler

    def addresses(self):
        return {"peer"}

    def send_to(self, addresses, message):
        self.sent.append((addresses, message))


class Reporter:
    """Crash reports of an instance that knows the engines e0 to e3."""

    def __init__(self):
        self.link = LinkStub()
        self.registry = EndpointRegistry()
        engines = [
            type("Engine", (), {"id": f"e{number}", "address": "x:1"})
            for number in range(4)
        ]
        self.records = [record(engine, SERVICE) for engine in engines]
        self.registry.replace({item.id: item for item in self.records})
        self.reports = CrashReports(
            parts=CrashEvidence(),
            registry=self.registry,
            event_log=EventLog(),
            link=self.link,
        )


def test_a_crash_that_one_instance_sees_is_known_to_all():
    here, there = Reporter(), Reporter()
    here.reports.report(here.records[0], request="r1", suspects=["poison"])
    ((_, report),) = here.link.sent
    there.link.handler(report)
    # The peer avoids the engine before it has a failure of its own.
    assert there.registry.is_suspect("e0")
    assert there.reports.parts.reports() != []


def test_a_new_peer_learns_the_crashes_so_far():
    here, there = Reporter(), Reporter()
    for number in range(MIN_CRASHES):
        report = CrashReport(
            service=SERVICE,
            endpoint=f"e{number}",
            incarnation=0,
            request=f"r{number}",
            suspects=["poison"],
            age_s=5.0 * number,
        )
        here.reports.handle(report)
    here.reports.send_all({"new"})
    for addresses, report in here.link.sent:
        assert addresses == {"new"}
        there.link.handler(report)
    assert there.reports.parts.refused_parts(SERVICE, ["poison"]) == ["poison"]
    # An old crash says nothing about the engine now.
    assert not there.registry.is_suspect("e1")


def test_parts_that_engines_read_for_a_peer_are_sound():
    here = Reporter()
    part = PromptPart(id="base", tokens=800)
    here.reports.note_peer_reads([("e0", [part]), ("unknown", [part])])
    assert here.reports.parts.suspects(SERVICE, ["base", "x"]) == ["x"]
