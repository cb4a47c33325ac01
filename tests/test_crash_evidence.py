"""Guards against requests and prompts that crash one endpoint after the other.

One part of these prompts crashes each engine that begins to answer; sound prompts share
the other parts.
"""

import time

import msgspec
import pytest

from lagoonrill._internal.coordination.crash_guard import CrashGuard
from lagoonrill._internal.coordination.crash_reports import CrashReports
from lagoonrill._internal.coordination.policy.crash_evidence import (
    AMBIGUOUS_CRASHES,
    CERTAIN_CRASHES,
    EVIDENCE_LIFETIME_S,
    MAX_CRASHES,
    MAX_SOUND_PARTS,
    MIN_CRASHES,
    CrashEvidence,
    isolated_endpoint,
)
from lagoonrill._internal.coordination.policy.crash_records import COMMON_CAUSE_S
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.headers import HeaderNames
from lagoonrill._internal.protocol.messages import CrashReport
from lagoonrill._internal.protocol.routing import PromptPart
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry
from lagoonrill._internal.transport.endpoint_connection import (
    ConnectionPool,
    EndpointFailure,
)
from tests.gateway_kit import record

SERVICE = "models"
NAMES = HeaderNames()


class Evidence:
    """Crashes at a simulated time."""

    def __init__(self):
        self.now = 1_000.0
        self.evidence = CrashEvidence(clock=lambda: self.now)

    def crash(
        self,
        engine: str,
        parts=(),
        *,
        request: str = "",
        after_s: float = 1.0,
        **options,
    ):
        """Returns what is refused from now on: a request, or sorted parts."""
        self.now += after_s
        found = self.evidence.note_crash(
            SERVICE,
            engine,
            request=request or f"request to {engine}",
            parts=parts,
            at=self.now,
            **options,
        )
        if not found.refused:
            return None
        (cause,) = found.refused
        return cause.request or sorted(cause.parts)

    def refused(self, *parts):
        cause = self.evidence.refusal(SERVICE, request="", parts=parts)
        return sorted(cause.parts) if cause else None

    def refuses(self, request: str) -> bool:
        cause = self.evidence.refusal(SERVICE, request=request, parts=())
        return cause is not None


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
    other = evidence.evidence.refusal("other models", request="", parts=["poison"])
    assert other is None


def test_one_unlucky_request_does_not_make_its_parts_suspicious(evidence):
    # A request is repeated on another engine, which may crash for its own reason.
    evidence.crash("e1", ["cold"], request="r1")
    assert evidence.crash("e2", ["cold"], request="r1") is None
    # If it is no accident, the request itself is the narrowest explanation.
    assert evidence.crash("e3", ["cold"], request="r1") == "r1"
    assert evidence.refused("cold") is None
    # A crash that it does not explain speaks against what they have in common.
    assert evidence.crash("e4", ["cold"], request="r2") == ["cold"]


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
    evidence.evidence.note_begun(SERVICE, ["base"])
    assert evidence.crash("e2", ["base", "poison"]) == ["poison"]
    assert evidence.evidence.suspects(SERVICE, ["base", "poison"]) == ["poison"]


def test_an_answer_that_begins_ends_the_refusal_of_its_parts(evidence):
    evidence.crash("e1", ["part"])
    evidence.crash("e2", ["part"])
    evidence.evidence.note_begun(SERVICE, ["part"])
    assert evidence.refused("part") is None


def test_parts_that_only_occurred_together_are_refused_together(evidence):
    evidence.crash("e1", ["rare", "poison"])
    assert evidence.crash("e2", ["rare", "poison"]) == ["poison", "rare"]
    assert evidence.refused("rare", "last") is None
    # Either a sound request or a crash without the other part tells them apart.
    evidence.evidence.note_begun(SERVICE, ["rare"])
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
    evidence.evidence.note_begun(SERVICE, map(str, range(2 * MAX_SOUND_PARTS)))
    assert len(evidence.evidence.crashes) <= MAX_CRASHES
    assert len(evidence.evidence.sound) == MAX_SOUND_PARTS


def crash_of(evidence, engine: str, *requests: str, after_s: float = 1.0, **options):
    """Records one crash with several requests; returns what is refused by it."""
    found = []
    for request in requests:
        found.append(
            evidence.crash(engine, request=request, after_s=after_s, **options)
        )
        after_s = 0.0
    return [item for item in found if item is not None]


def test_a_request_is_refused_after_three_crashes_wherever_it_comes_from(evidence):
    for number in range(CERTAIN_CRASHES - 1):
        assert crash_of(evidence, f"e{number}", "deadly", f"r{number}") == []
        assert not evidence.refuses("deadly")
    assert crash_of(evidence, "e9", "deadly", "r9") == ["deadly"]
    assert evidence.refuses("deadly")
    assert not any(evidence.refuses(f"r{number}") for number in range(10))
    evidence.now += EVIDENCE_LIFETIME_S + 1
    assert not evidence.refuses("deadly")


@pytest.mark.parametrize("order", [("deadly", "sound"), ("sound", "deadly")])
def test_a_sound_request_beside_a_known_one_is_not_refused(evidence, order):
    """Copies of the crashing request may be on their way when it is recognized."""
    for number in range(CERTAIN_CRASHES):
        crash_of(evidence, f"e{number}", "deadly")
    for number in range(CERTAIN_CRASHES):
        crash_of(evidence, f"late e{number}", *order)
    assert evidence.refuses("deadly")
    assert not evidence.refuses("sound")


def test_a_stream_that_had_begun_is_not_refused_for_one_that_had_not(evidence):
    """In a small fleet, a resumed stream may meet the crashing request each time."""
    for number in range(CERTAIN_CRASHES):
        crash_of(evidence, f"e{number}", "begun stream", begun=True)
        crash_of(evidence, f"e{number}", "deadly", after_s=0.0)
    assert evidence.refuses("deadly")
    assert not evidence.refuses("begun stream")


@pytest.mark.parametrize("order", [("deadly", "sound"), ("sound", "deadly")])
def test_a_further_crash_tells_requests_apart_that_met_each_time(evidence, order):
    """A request that many callers send is on each endpoint that crashes."""
    for number in range(CERTAIN_CRASHES):
        assert crash_of(evidence, f"e{number}", *order) == []
    assert not evidence.refuses("sound")
    crash_of(evidence, "e8", "deadly")
    crash_of(evidence, "e9", "deadly")
    assert evidence.refuses("deadly")
    assert not evidence.refuses("sound")


def test_a_request_that_was_on_the_same_endpoints_hides_no_crashing_one(evidence):
    for number in range(AMBIGUOUS_CRASHES):
        crash_of(evidence, f"e{number}", "sound", "deadly")
    assert evidence.refuses("deadly")
    # The users' rule allows three more after the third.
    assert AMBIGUOUS_CRASHES <= CERTAIN_CRASHES + 3


def test_an_answer_clears_a_request(evidence):
    for number in range(CERTAIN_CRASHES - 1):
        crash_of(evidence, f"e{number}", "r1")
    assert evidence.evidence.note_answered(SERVICE, "r1") == (True, [])
    assert crash_of(evidence, "e8", "r1") == []
    assert evidence.evidence.crash_count(SERVICE, "r1") == 1
    assert evidence.evidence.note_answered(SERVICE, "never seen") == (False, [])


def test_endpoints_that_crash_together_count_once_against_a_request(evidence):
    # The request was on all of them before the first one crashed.
    for number in range(5):
        crash_of(evidence, f"e{number}", "r1", after_s=COMMON_CAUSE_S / 5, ran_s=1.0)
    assert evidence.evidence.crash_count(SERVICE, "r1") == 1


def test_a_request_that_is_sent_on_at_once_counts_for_each_crash(evidence):
    pause_s = COMMON_CAUSE_S / 2
    for number in range(CERTAIN_CRASHES):
        crash_of(evidence, f"e{number}", "r1", after_s=pause_s, ran_s=pause_s / 2)
    assert evidence.refuses("r1")


def test_an_older_copy_on_the_same_endpoint_takes_no_evidence_back(evidence):
    pause_s = COMMON_CAUSE_S / 2
    for number in range(CERTAIN_CRASHES):
        crash_of(evidence, f"e{number}", "r1", after_s=pause_s, ran_s=pause_s / 2)
    last = f"e{CERTAIN_CRASHES - 1}"
    crash_of(evidence, last, "r1", after_s=0.0, ran_s=60.0, begun=True)
    assert evidence.refuses("r1")


def test_crashes_by_a_known_part_speak_against_no_request(evidence):
    evidence.crash("e1", ["poison"], request="r1")
    evidence.crash("e2", ["poison"], request="r2")
    for number in range(CERTAIN_CRASHES):
        evidence.crash(f"late e{number}", ["poison"], request="r9")
    assert not evidence.refuses("r9")


def prompt(number: int, part: str) -> dict:
    parts = f"base:800,{part}:400,own-{number}:90"
    return {
        "id": f"r{number}",
        "body": b"%d" % number,
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
    assert gateway.crash_reports.evidence.refused == {}


def refused_parts(reporter, *parts) -> list[str]:
    cause = reporter.reports.evidence.refusal(SERVICE, request="", parts=parts)
    return sorted(cause.parts)


class LinkStub:
    """Records the messages to peers."""

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def register_handler(self, message_type, handler, *, inline):
        self.handlers[message_type] = handler

    def handler(self, message):
        self.handlers[type(message)](message)

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
            evidence=CrashEvidence(),
            registry=self.registry,
            event_log=EventLog(),
            link=self.link,
        )

    def report(self, engine: int, fingerprint: str, *, suspects=()) -> None:
        self.reports.report(
            self.records[engine],
            request="r1",
            fingerprint=fingerprint,
            begun=False,
            ran_s=0.0,
            suspects=list(suspects),
        )


def test_a_crash_that_one_instance_sees_is_known_to_all():
    here, there = Reporter(), Reporter()
    here.report(0, "f1", suspects=["poison"])
    ((_, report),) = here.link.sent
    there.link.handler(report)
    # The peer avoids the engine before it has a failure of its own.
    assert there.registry.is_suspect("e0")
    assert there.reports.evidence.reports() != []


def test_a_new_peer_learns_the_crashes_so_far():
    here, there = Reporter(), Reporter()
    for number in range(MIN_CRASHES):
        report = CrashReport(
            service=SERVICE,
            endpoint=f"e{number}",
            incarnation=0,
            request=f"r{number}",
            begun=False,
            ran_s=0.1,
            suspects=["poison"],
            age_s=5.0 * number,
        )
        here.reports.handle(report)
    here.reports.send_all({"new"})
    for addresses, report in here.link.sent:
        assert addresses == {"new"}
        there.link.handler(report)
    assert refused_parts(there, "poison") == ["poison"]
    # An old crash says nothing about the engine now.
    assert not there.registry.is_suspect("e1")


def test_parts_that_engines_read_for_a_peer_are_sound():
    here = Reporter()
    part = PromptPart(id="base", tokens=800)
    here.reports.note_peer_reads([("e0", [part]), ("unknown", [part])])
    assert here.reports.evidence.suspects(SERVICE, ["base", "x"]) == ["x"]


def test_a_request_answered_at_a_peer_is_sound_here():
    here, there = Reporter(), Reporter()
    for number in range(CERTAIN_CRASHES - 1):
        here.report(number, "f1")
    for _, message in here.link.sent:
        there.link.handler(message)
    sent = len(there.link.sent)
    there.reports.note_answered(SERVICE, "f1")
    # One message, and only for a request that was suspected.
    there.reports.note_answered(SERVICE, "f2")
    ((_, message),) = there.link.sent[sent:]
    here.link.handler(message)
    assert here.reports.evidence.crash_count(SERVICE, "f1") == 0


def test_suspected_requests_that_met_once_rarely_meet_again():
    """Requests that always met could not be told apart by further crashes."""
    endpoints = [f"i-{number:04x}" for number in range(12)]
    met = met_again = 0
    for number in range(400):
        rest = list(endpoints)
        pair = (f"deadly {number}", f"sound {number}")
        choices = [isolated_endpoint(request, rest) for request in pair]
        if choices[0] != choices[1]:
            continue
        met += 1
        rest.remove(choices[0])
        met_again += len({isolated_endpoint(request, rest) for request in pair}) == 1
    assert met >= 20
    assert met_again <= met / 4


class Waiting:
    """What a guard reads of a request."""

    def __init__(self, fingerprint: str):
        self.fingerprint = fingerprint
        self.request = type("Request", (), {"service": SERVICE, "id": "r1"})
        self.shared_parts = []
        self.begun = False
        self.sent_at = 0.0


def guard_of(reporter) -> CrashGuard:
    return CrashGuard(
        crash_reports=reporter.reports,
        registry=reporter.registry,
        pool=ConnectionPool(),
    )


def test_copies_of_a_suspected_request_go_to_one_endpoint_at_all_instances():
    names = [f"e{number}" for number in range(4)]
    chosen = []
    for _ in range(2):
        reporter = Reporter()
        reporter.report(0, "f1")
        reporter.report(0, "f2")
        reporter.registry.note_failure("e0", unreachable=True)
        guard = guard_of(reporter)
        # A request that was on no crashed endpoint may go to each.
        assert guard.isolated(Waiting("f3"), names) == names
        chosen.append([guard.isolated(Waiting(name), names) for name in ("f1", "f2")])
    assert chosen[0] == chosen[1]
    assert [len(found) for found in chosen[0]] == [1, 1]
    assert ["e0"] not in chosen[0]


@pytest.mark.parametrize("announced", [True, False], ids=["leaving", "removed"])
def test_a_planned_exit_speaks_against_no_request(announced):
    reporter = Reporter()
    gone = reporter.records[0]
    left = msgspec.structs.replace(gone, leaving=True)
    records = {item.id: item for item in reporter.records[1:]}
    reporter.registry.replace(records | ({gone.id: left} if announced else {}))
    failure = EndpointFailure("closed before the answer", may_have_run=True)
    guard_of(reporter).note_failure(Waiting("f1"), gone, failure)
    assert reporter.reports.evidence.crashes == {}


@pytest.mark.parametrize("late", [True, False], ids=["after", "before"])
def test_a_request_sent_after_a_crash_did_not_cause_it(late):
    """A connection that was idle at the crash fails when it is used."""
    reporter = Reporter()
    reporter.report(0, "deadly")
    sending = Waiting("sound")
    sending.sent_at = time.monotonic() if late else 0.0
    failure = EndpointFailure("receive: ConnectionResetError", may_have_run=True)
    guard_of(reporter).note_failure(sending, reporter.records[0], failure)
    assert reporter.reports.evidence.crash_count(SERVICE, "sound") == (not late)


def test_an_endpoint_that_started_again_under_its_id_has_crashed():
    reporter = Reporter()
    before = reporter.records[0]
    again = msgspec.structs.replace(before, incarnation=7)
    reporter.registry.replace({again.id: again})
    failure = EndpointFailure("closed before the answer", may_have_run=True)
    guard_of(reporter).note_failure(Waiting("f1"), before, failure)
    assert reporter.reports.evidence.crash_count(SERVICE, "f1") == 1
