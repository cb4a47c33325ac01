"""Decides which window is reported when, and with which counts.

Load pattern: the holder changes in the middle of a report, answers are lost, the
platform's API or the store is down, or all instances start anew. Two reports of one
window must have the same counts, so these are written to the store before the report.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

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
# Windows that are open at the same time; the ledger keeps the counts of later ones.
MAX_OPEN = 20
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


class OpenReport(msgspec.Struct, kw_only=True):
    """A window that is due, with counts that do not change any more.

    They are sent once the store has them; `token` is that of the check.
    """

    window: int
    counts: dict[str, int]
    token: int | None = None
    is_done: bool = False
    # Pause after the latest attempt, and its end on the boot clock.
    pause_s: float = 0.0
    next_at: float = float("-inf")


class UsageReporter:
    """Reports each window that is due; one step makes at most a few calls.

    A window whose report got no answer does not hold up the next ones. `is_complete`
    returns whether the counts of all reachable peers are here; `fetch` takes those of
    others.
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
        fetch: Callable[[], None],
        late_s: float,
        event_log: EventLog,
    ):
        self.ledger = ledger
        self.clock = clock
        self.lease = lease
        self.reports = reports
        self.caller = caller
        self.is_complete = is_complete
        self.fetch = fetch
        self.late_s = late_s
        self.event_log = event_log
        # Due windows after the last one up to which all are reported.
        self.open: dict[int, OpenReport] = {}
        self.next_search_at = float("-inf")
        self.next_removal_at = float("-inf")
        self.reported = 0
        self.reported_late = 0
        self.unknown = 0
        self.repeats = 0

    def step(self, token: int) -> None:
        """Reports the first window that is due; raises `StaleToken`."""
        if not self.is_complete():
            return
        now = self.clock.boot()
        self._open_due(now, token)
        for window in sorted(self.open):
            report = self.open[window]
            if not report.is_done and now >= report.next_at:
                if self._fix(report, token):
                    self._send(report, token)
                return
        self._remove_old(now)

    def dump(self) -> dict:
        return {
            "done": self.done(),
            "open": sorted(self.open.copy()),
            "reported": self.reported,
            "reported_late": self.reported_late,
            "repeats": self.repeats,
            "unknown": self.unknown,
        }

    def done(self) -> int:
        """Returns the last window up to which all are reported; 0 if none is known."""
        return max(self.lease.progress.get(DONE, 0), self.ledger.done)

    def _open_due(self, now: float, token: int) -> None:
        """Fixes the counts of the next window, if they are complete."""
        done = self.done()
        for window in [item for item in self.open if item <= done]:
            del self.open[window]
        first = self.clock.window(self.ledger.counted_from())
        # Without earlier reports the fleet is new, and served nobody before.
        is_new = not done and not self.open
        window = first if is_new else max([done, *self.open]) + 1
        report_at = self.clock.end_of(window) + REPORT_AFTER_SHARE * self.late_s
        if self.clock.now() < report_at or len(self.open) >= MAX_OPEN:
            return
        if is_new or self.ledger.is_observed(window):
            self.fetch()
            counts = self.ledger.fix(window)
            self.open[window] = OpenReport(window=window, counts=counts)
        elif now >= self.next_search_at:
            self._search(window, first, token)

    def _search(self, window: int, first: int, token: int) -> None:
        """Takes the report that an earlier holder left for a window, or skips it."""
        last = window
        if window < first - SEARCHED_WINDOWS:
            last = first - SEARCHED_WINDOWS - 1
        else:
            result = self.reports.read_report(window)
            if isinstance(result, Failure):
                self.next_search_at = self.clock.boot() + STORE_PAUSE_S
                self._log_store_failure(window, result.failure())
                return
            if (counts := result.unwrap()) is not None:
                report = OpenReport(window=window, counts=counts, token=token)
                self.open[window] = report
                return
        self.unknown += last - window + 1
        self.event_log.emit("usage_unknown", first=window, last=last)
        self.open[last] = OpenReport(window=last, counts={}, is_done=True)
        self._note_done()

    def _fix(self, report: OpenReport, token: int) -> bool:
        """Writes the counts to the store, or takes those that it has.

        Returns whether the report may be sent.
        """
        if report.token == token:
            return True
        result = self.reports.create_report(report.window, report.counts)
        if isinstance(result, Success):
            report.token = token
            return True
        error = result.failure()
        if isinstance(error, StoreConflict):
            found = self.reports.read_report(report.window)
            counts = found.value_or(None)
            if counts is not None:
                report.counts = counts
                report.token = token
                return True
        # The next attempt finds the object if the call was executed.
        report.next_at = self.clock.boot() + STORE_PAUSE_S
        self._log_store_failure(report.window, error)
        return False

    def _send(self, report: OpenReport, token: int) -> None:
        window = report.window
        outcome = self.caller.report_usage(
            window=window, counts=report.counts, token=token
        )
        if outcome is CallOutcome.REFUSED:
            raise StaleToken(f"report of window {window}")
        if outcome is not CallOutcome.DONE:
            self.repeats += 1
            report.pause_s = min(MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * report.pause_s))
            report.next_at = self.clock.boot() + report.pause_s
            self.event_log.emit(
                "usage_report_failed", window=window, outcome=outcome.name.lower()
            )
            return
        after_s = self.clock.now() - self.clock.end_of(window)
        self.reported += 1
        self.reported_late += after_s > self.late_s
        report.is_done = True
        self._note_done()
        self.event_log.emit(
            "usage_reported",
            window=window,
            requests=sum(report.counts.values()),
            teams=len(report.counts),
            token=token,
            after_s=round(after_s, 2),
        )

    def _note_done(self) -> None:
        """Notes that all windows are reported up to the first one that is not."""
        waiting = [item for item in self.open.values() if not item.is_done]
        last = min((item.window - 1 for item in waiting), default=max(self.open))
        if last >= self.done():
            self.ledger.note_done(last)
            self.lease.progress[DONE] = last

    def _log_store_failure(self, window: int, error: StoreError) -> None:
        self.event_log.emit(
            "usage_report_not_stored",
            window=window,
            reason=str(error)[:MAX_ERROR_CHARACTERS],
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
