"""Guards against findings about prompts that are lost with the instances.

After the loss of all instances, further engines would have to crash.
"""

import pytest
from returns.result import Failure, Success

from lagoonrill._internal.coordination.crash_findings import (
    MIN_LIST_INTERVAL_S,
    CrashFinding,
    CrashFindings,
)
from lagoonrill._internal.coordination.crash_reports import CrashReports
from lagoonrill._internal.coordination.policy.crash_evidence import (
    CERTAIN_CRASHES,
    EVIDENCE_LIFETIME_S,
    MIN_CRASHES,
    Cause,
    CrashEvidence,
)
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.errors import StoreInDoubt
from lagoonrill._internal.protocol.routing import EndpointRecord
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry

SERVICE = "models"
POISON = Cause(service=SERVICE, parts=frozenset(("poison",)))
DOWN = Failure(StoreInDoubt(message="no answer"))


class FindingStoreStub:
    """Keeps findings in memory; the first `failures` calls fail."""

    def __init__(self):
        self.found = {}
        self.failures = 0
        self.lists = 0

    def fails(self) -> bool:
        self.failures -= 1
        return self.failures >= 0

    def list(self):
        self.lists += 1
        return DOWN if self.fails() else Success(list(self.found.values()))

    def add(self, finding):
        if self.fails():
            return DOWN
        self.found.setdefault(finding.cause, finding)
        return Success(None)

    def remove(self, finding):
        self.found.pop(finding.cause, None)
        return Success(None)


class Instance:
    """Crash reports and findings of one instance, at a simulated time."""

    def __init__(self, store, *, now: float = 1_000.0):
        self.now = now
        self.evidence = CrashEvidence(clock=lambda: self.now)
        self.findings = CrashFindings(
            store=store,
            evidence=self.evidence,
            event_log=EventLog(),
            wall_clock=lambda: 1_700_000_000 + self.now,
            clock=lambda: self.now,
        )
        self.findings.stopping.wait = lambda pause_s: None
        self.reports = CrashReports(
            evidence=self.evidence,
            registry=EndpointRegistry(),
            event_log=EventLog(),
            findings=self.findings,
            clock=lambda: self.now,
        )

    def run_calls(self) -> None:
        """Makes the waiting calls to the store."""
        self.findings.calls.put(self._stop)
        self.findings.run()
        self.findings.stopping.clear()

    def _stop(self):
        if self.findings.calls.empty():
            self.findings.stopping.set()
        else:
            self.findings.calls.put(self._stop)
        return Success(None)

    def crash(self, engine: str, *, request: str = "") -> None:
        self.now += 1.0
        record = EndpointRecord(
            id=engine, service=SERVICE, address="x:1", zone="a", slots=1
        )
        self.reports.report(
            record,
            request=f"r {engine}",
            fingerprint=request or f"f {engine}",
            begun=False,
            ran_s=0.1,
            suspects=["poison"],
        )

    def find_poison(self) -> None:
        for number in range(MIN_CRASHES):
            self.crash(f"e{number}")

    def find_deadly_request(self) -> None:
        for number in range(CERTAIN_CRASHES):
            self.crash(f"e{number}", request="deadly")

    def refuses_poison(self) -> bool:
        cause = self.evidence.refusal(SERVICE, request="other", parts=["poison"])
        return cause is not None

    def refuses_deadly_request(self) -> bool:
        return self.evidence.refusal(SERVICE, request="deadly", parts=()) is not None


@pytest.fixture
def store():
    return FindingStoreStub()


def test_an_instance_that_starts_after_the_loss_of_all_others_knows_findings(store):
    first = Instance(store)
    first.find_poison()
    first.run_calls()
    second = Instance(store, now=first.now + 60)
    second.findings.refresh()
    second.run_calls()
    assert second.refuses_poison()
    # The refusal ends when it would have ended at the first instance.
    second.now = first.now + EVIDENCE_LIFETIME_S + 1
    assert not second.refuses_poison()


def test_a_request_that_crashes_endpoints_is_known_after_the_loss_of_all(store):
    first = Instance(store)
    first.find_deadly_request()
    first.run_calls()
    second = Instance(store, now=first.now + 60)
    second.findings.refresh()
    second.run_calls()
    assert second.refuses_deadly_request()
    assert not second.refuses_poison()
    # An answer to a copy that was on its way disproves it, here and in the store.
    second.reports.note_answered(SERVICE, "deadly")
    second.run_calls()
    assert not second.refuses_deadly_request()
    assert store.found == {}


def test_an_instance_cut_off_from_its_peers_needs_one_crash_only(store):
    there = Instance(store)
    there.findings.refresh()
    there.run_calls()
    here = Instance(store)
    here.find_poison()
    here.run_calls()
    there.now += MIN_LIST_INTERVAL_S
    there.crash("e7")
    there.run_calls()
    assert there.refuses_poison()


def test_calls_are_repeated_while_the_store_does_not_answer(store):
    store.failures = 5
    instance = Instance(store)
    instance.find_poison()
    instance.run_calls()
    assert list(store.found) == [POISON]


def test_a_finding_that_an_answer_disproves_is_removed(store):
    instance = Instance(store)
    instance.find_poison()
    instance.reports.note_begun(SERVICE, ["poison"])
    instance.run_calls()
    assert store.found == {}


def test_old_findings_are_removed_from_the_store(store):
    old = CrashFinding(cause=POISON, found_at=1_700_000_000.0)
    store.add(old)
    instance = Instance(store, now=EVIDENCE_LIFETIME_S + 1)
    instance.findings.refresh()
    instance.run_calls()
    assert store.found == {}
    assert not instance.refuses_poison()


def test_the_store_is_listed_once_for_several_requests_on_a_crashed_engine(store):
    instance = Instance(store)
    for _ in range(5):
        instance.findings.refresh()
    instance.run_calls()
    assert store.lists == 1


def test_findings_that_a_restored_store_lost_are_written_again_once(store):
    instance = Instance(store)
    instance.find_poison()
    instance.run_calls()
    found = dict(store.found)
    instance.now += 30
    store.found.clear()
    instance.findings.write_again()
    instance.run_calls()
    assert store.found == found
    lists, store.failures = store.lists, 1
    instance.findings.write_again()
    instance.run_calls()
    # The failed list is repeated; nothing is written that the store has.
    assert store.lists == lists + 2
    assert store.found == found
