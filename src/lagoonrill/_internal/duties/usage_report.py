"""Decides which window is reported when, and with which counts.

Load pattern: the holder changes in the middle of a report, answers are lost, the
platform's API or the store is down, or all instances start anew. Two reports of one
window must have the same counts, so these are written to the store before the report.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure, Result

from ..event_log import EventLog
from ..protocol.errors import StoreConflict, StoreError
from .lease import DutyLease
from .platform_calls import CallOutcome, DutyCaller, StaleToken
from .usage import KEPT_WINDOWS, UsageLedger, WindowClock

# Share of the time until a report is due that counts of slow instances may take.
REPORT_AFTER_SHARE = 0.4
# Pauses after a report that the platform has not confirmed.
FIRST_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0
# Pause after a failed call to the store.
STORE_PAUSE_S = 0.7
# Report objects are removed at this age, at most one per interval.
OBJECT_LIFETIME_S = 60.0
REMOVAL_INTERVAL_S = 2.0
# Without counts, reports of earlier holders are looked for in this many windows.
SEARCHED_WINDOWS = 12
# Keys in the progress of the lease: the last window that is reported, and the last one
# whose report object is removed.
DONE = "usage_done"
REMOVED = "usage_removed"
MAX_ERROR_CHARACTERS = 200


class ReportStore(Protocol):
    """Report objects in the store, one for each window."""

    def create_report(
        self, window: int, counts: dict[str, int]
    ) -> Result[object, StoreError]:
        """Creates the object; `StoreConflict` if it exists."""
        ...

    def read_report(self, window: int) -> Result[dict[str, int] | None, StoreError]: ...

    def remove_report(self, window: int) -> Result[object, StoreError]: ...


class FixedReport(msgspec.Struct, kw_only=True):
    """Counts of a window that do not change any more.

    They are sent once the store has them; `token` is that of the check.
    """

    window: int
    counts: dict[str, int]
    token: int | None = None


class UsageReporter:
    """Reports the windows in order; one step makes at most a few calls.

    `is_complete` returns whether the counts of all reachable peers are here.
    """

    name = "usage_report"

    def __init__(
        self,
        *,
        ledger: UsageLedger,
        clock: WindowClock,
        lease: DutyLease,
        reports: ReportStore,
        caller: DutyCaller,
        is_complete: Callable[[], bool],
        late_s: float,
        event_log: EventLog,
    ):
        self.ledger = ledger
        self.clock = clock
        self.lease = lease
        self.reports = reports
        self.caller = caller
        self.is_complete = is_complete
        self.late_s = late_s
        self.event_log = event_log
        self.fixed: FixedReport | None = None
        self.pause_s = 0.0
        self.next_at = float("-inf")
        self.next_removal_at = float("-inf")
        self.reported = 0
        self.reported_late = 0
        self.unknown = 0
        self.repeats = 0

    def step(self, token: int) -> None:
        """Reports the next window if it is due; raises `StaleToken`."""
        now = self.clock.boot()
        if now < self.next_at or not self.is_complete():
            return
        window = self._next_window(token)
        if window is None:
            self._remove_old(now)
            return
        fixed = self._fix(window, token)
        if fixed is not None:
            self._report(fixed, token)

    def dump(self) -> dict:
        return {
            "done": self.done(),
            "fixed": self.fixed.window if self.fixed is not None else None,
            "reported": self.reported,
            "reported_late": self.reported_late,
            "repeats": self.repeats,
            "unknown": self.unknown,
        }

    def done(self) -> int:
        """Returns the last reported window; 0 if none is known."""
        return max(self.lease.progress.get(DONE, 0), self.ledger.done)

    def _next_window(self, token: int) -> int | None:
        """Returns the first window that is not reported, if its counts are complete."""
        done = self.done()
        first = self.clock.window(self.ledger.counted_from())
        # Without earlier reports the fleet is new, and served nobody before.
        window = done + 1 if done else first
        report_at = self.clock.end_of(window) + REPORT_AFTER_SHARE * self.late_s
        if self.clock.now() < report_at:
            return None
        if not done or self.ledger.is_observed(window) or self._is_fixed(window):
            return window
        return self._next_unobserved(window, first, token)

    def _is_fixed(self, window: int) -> bool:
        return self.fixed is not None and self.fixed.window == window

    def _next_unobserved(self, window: int, first: int, token: int) -> int | None:
        """Returns the window if an earlier holder left its report; else skips it."""
        if window >= first - SEARCHED_WINDOWS:
            result = self.reports.read_report(window)
            if isinstance(result, Failure):
                self._note_store_failure(result.failure())
                return None
            counts = result.unwrap()
            if counts is not None:
                self.fixed = FixedReport(window=window, counts=counts, token=token)
                return window
            last = window
        else:
            last = first - SEARCHED_WINDOWS - 1
        self.unknown += last - window + 1
        self.event_log.emit("usage_unknown", first=window, last=last)
        self._note_done(last)
        return None

    def _fix(self, window: int, token: int) -> FixedReport | None:
        """Returns the report of a window once the store has it."""
        if not self._is_fixed(window):
            self.fixed = FixedReport(window=window, counts=self.ledger.counts(window))
        fixed = self.fixed
        if fixed.token == token:
            return fixed
        result = self.reports.create_report(window, fixed.counts)
        if isinstance(result, Failure):
            error = result.failure()
            if not isinstance(error, StoreConflict):
                # The next attempt finds the object if the call was executed.
                self._note_store_failure(error)
                return None
            found = self.reports.read_report(window)
            if isinstance(found, Failure) or found.unwrap() is None:
                self._note_store_failure(error)
                return None
            fixed.counts = found.unwrap()
        fixed.token = token
        return fixed

    def _report(self, fixed: FixedReport, token: int) -> None:
        window = fixed.window
        outcome = self.caller.report_usage(
            window=window, counts=fixed.counts, token=token
        )
        if outcome is CallOutcome.REFUSED:
            raise StaleToken(f"report of window {window}")
        late_s = self.clock.now() - self.clock.end_of(window)
        if outcome is not CallOutcome.DONE:
            self.repeats += 1
            self.pause_s = min(MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * self.pause_s))
            self.next_at = self.clock.boot() + self.pause_s
            self.event_log.emit(
                "usage_report_failed", window=window, outcome=outcome.name.lower()
            )
            return
        self.pause_s = 0.0
        self.reported += 1
        self.reported_late += late_s > self.late_s
        self._note_done(window)
        self.event_log.emit(
            "usage_reported",
            window=window,
            requests=sum(fixed.counts.values()),
            teams=len(fixed.counts),
            token=token,
            after_s=round(late_s, 2),
        )

    def _note_done(self, window: int) -> None:
        self.ledger.note_done(window)
        self.lease.progress[DONE] = self.done()

    def _note_store_failure(self, error: StoreError) -> None:
        self.next_at = self.clock.boot() + STORE_PAUSE_S
        self.event_log.emit(
            "usage_report_not_stored", reason=str(error)[:MAX_ERROR_CHARACTERS]
        )

    def _remove_old(self, now: float) -> None:
        """Removes the oldest report object that nobody repeats any more."""
        done = self.done()
        if not done or now < self.next_removal_at:
            return
        self.next_removal_at = now + REMOVAL_INTERVAL_S
        kept_from = self.clock.window(self.clock.now() - OBJECT_LIFETIME_S)
        known = self.lease.progress.get(REMOVED, kept_from - 2)
        window = max(known + 1, kept_from - KEPT_WINDOWS)
        if window >= kept_from or window > done:
            return
        if isinstance(self.reports.remove_report(window), Failure):
            return
        self.lease.progress[REMOVED] = window
