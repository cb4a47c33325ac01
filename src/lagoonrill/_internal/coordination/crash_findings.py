"""Keeps what crashes endpoints beyond the life of all instances.

Load pattern: all instances are killed at once, or a zone is cut off from its peers but
reaches the store. Without the findings in the store, further endpoints have to crash. A
store that comes back from an older copy has lost the newest ones.
"""

import queue
import threading
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure, Result

from ..event_log import EventLog
from ..protocol.errors import StoreError
from .policy.crash_evidence import EVIDENCE_LIFETIME_S, Cause, CrashEvidence

# Pause after a failed call to the store, which counts every call.
RETRY_PAUSE_S = 2.0
# Minimum interval between lists; several requests may be on a crashed endpoint.
MIN_LIST_INTERVAL_S = 1.0
# Changes that wait for the store; further ones are dropped and logged.
MAX_WAITING = 200


class CrashFinding(msgspec.Struct, kw_only=True, frozen=True):
    """What crashes the endpoints of a service, and when it was found."""

    cause: Cause
    # Unix time in seconds.
    found_at: float


class FindingStore(Protocol):
    """Findings in the store; `add` and `remove` may be repeated."""

    def list(self) -> Result[list[CrashFinding], StoreError]: ...

    def add(self, finding: CrashFinding) -> Result[object, StoreError]: ...

    def remove(self, finding: CrashFinding) -> Result[object, StoreError]: ...


class CrashFindings:
    """Reads findings at the start and after crashes, and writes new ones.

    One thread makes the calls, so that no request waits for the store.
    """

    def __init__(
        self,
        *,
        store: FindingStore,
        evidence: CrashEvidence,
        event_log: EventLog,
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.store = store
        self.evidence = evidence
        self.event_log = event_log
        self.wall_clock = wall_clock
        self.clock = clock
        self.calls: queue.Queue[Callable[[], Result] | None] = queue.Queue(MAX_WAITING)
        self.stopping = threading.Event()
        self.listed_at = float("-inf")

    def start(self) -> None:
        """Lists the findings and starts the thread."""
        self.refresh()
        threading.Thread(target=self.run, name="findings", daemon=True).start()

    def stop(self) -> None:
        """Ends the thread after its current call."""
        self.stopping.set()
        self._enqueue(None)

    def refresh(self) -> None:
        """Lists the findings, unless that was done a moment ago."""
        now = self.clock()
        if now - self.listed_at >= MIN_LIST_INTERVAL_S:
            self.listed_at = now
            self._enqueue(self._list)

    def add(self, cause: Cause) -> None:
        """Writes a finding of this instance."""
        finding = CrashFinding(cause=cause, found_at=self.wall_clock())
        self._enqueue(lambda: self.store.add(finding))

    def remove(self, cause: Cause) -> None:
        """Removes a finding that an answer has shown to be wrong."""
        finding = CrashFinding(cause=cause, found_at=0.0)
        self._enqueue(lambda: self.store.remove(finding))

    def write_again(self, *, after_s: float = 0.0) -> None:
        """Writes the findings that a store lost when it came back from a copy."""
        if not after_s:
            self._enqueue(self._write_lost)
            return
        timer = threading.Timer(after_s, self._enqueue, (self._write_lost,))
        timer.daemon = True
        timer.start()

    def _write_lost(self) -> Result:
        result = self.store.list()
        if isinstance(result, Failure):
            return result
        stored = {finding.cause for finding in result.unwrap()}
        for cause, age_s in self.evidence.refused_causes():
            finding = CrashFinding(cause=cause, found_at=self.wall_clock() - age_s)
            if cause not in stored:
                self._enqueue(lambda finding=finding: self.store.add(finding))
        return result

    def _enqueue(self, call: Callable[[], Result] | None) -> None:
        try:
            self.calls.put_nowait(call)
        except queue.Full:
            self.event_log.emit("finding_dropped", waiting=MAX_WAITING)

    def run(self) -> None:
        """Makes the calls in order until stopped; a failed one is repeated."""
        while not self.stopping.is_set():
            call = self.calls.get()
            while call is not None and not self.stopping.is_set():
                try:
                    result = call()
                except Exception as error:
                    # If this thread ended, no finding would be kept any more.
                    self.event_log.emit("finding_failed", error=repr(error)[:200])
                    break
                if not isinstance(result, Failure):
                    break
                self.event_log.emit(
                    "finding_delayed", reason=str(result.failure())[:200]
                )
                self.stopping.wait(RETRY_PAUSE_S)

    def _list(self) -> Result:
        result = self.store.list()
        for finding in result.value_or([]):
            age_s = max(0.0, self.wall_clock() - finding.found_at)
            if age_s > EVIDENCE_LIFETIME_S:
                self._enqueue(lambda finding=finding: self.store.remove(finding))
            elif self.evidence.restore(finding.cause, age_s=age_s):
                log_refused(self.event_log, finding.cause, source="store")
        return result


def log_refused(event_log: EventLog, cause: Cause, *, source: str) -> None:
    """Logs that requests are refused from now on, and for what cause."""
    if cause.request:
        event_log.emit(
            "request_refused_for_crashes",
            service=cause.service,
            fingerprint=cause.request,
            source=source,
        )
    else:
        event_log.emit(
            "prompt_parts_refused",
            service=cause.service,
            parts=sorted(cause.parts),
            source=source,
        )
