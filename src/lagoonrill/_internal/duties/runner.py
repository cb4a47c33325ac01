"""Runs the lease and the duties of its holder on one thread."""

import threading
from collections import deque
from collections.abc import Callable

from ..event_log import EventLog
from ..state.gateway_metrics import GatewayMetrics
from .lease import DutyLease, boot_clock
from .platform_calls import CallOutcome, Duty, DutyCaller, StaleToken

# Maximum pause between the steps of the duties.
DUTY_INTERVAL_S = 0.2
FAILURE_PAUSE_S = 1.0
# An instance is no candidate until it has had time to hear of its peers.
START_DELAY_S = 1.0
# The platform's limit holds in each second, as the platform counts it.
RATE_WINDOW_S = 1.0
RATE_SHARE = 0.9
# On a planned stop, the call that is made and the release may take this long. The
# process is killed about half a second after the latest point at which it stops.
STOP_TIMEOUT_S = 0.4
MAX_ERROR_CHARACTERS = 200


class LeasedCaller:
    """Makes calls only while the lease is held, and not above the allowed rate.

    A call with a token that is not in force has the outcome `UNAVAILABLE`: it is not
    made.
    """

    def __init__(
        self,
        *,
        caller: DutyCaller,
        lease: DutyLease,
        calls_per_s: float,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = boot_clock,
    ):
        self.caller = caller
        self.lease = lease
        self.calls_per_window = max(1, int(calls_per_s * RATE_SHARE * RATE_WINDOW_S))
        self.metrics = metrics
        self.clock = clock
        self.made_at: deque[float] = deque(maxlen=self.calls_per_window)
        self.is_candidate: Callable[[], bool] = lambda: False

    def report_usage(
        self, *, window: int, counts: dict[str, int], token: int
    ) -> CallOutcome:
        return self._call(
            "report_usage",
            token,
            lambda: self.caller.report_usage(window=window, counts=counts, token=token),
        )

    def order_endpoints(
        self, *, service: str, zone: str, count: int, spot: bool, token: int
    ) -> CallOutcome:
        return self._call(
            "order_endpoints",
            token,
            lambda: self.caller.order_endpoints(
                service=service, zone=zone, count=count, spot=spot, token=token
            ),
        )

    def _call(
        self, name: str, token: int, make: Callable[[], CallOutcome]
    ) -> CallOutcome:
        # Earlier calls of the same step may have taken long: a renewal may be due.
        self.lease.step(self.is_candidate())
        outcome = self._checked(token, make)
        self.metrics.count("duty_calls", call=name, outcome=outcome.name.lower())
        return outcome

    def _checked(self, token: int, make: Callable[[], CallOutcome]) -> CallOutcome:
        now = self.clock()
        is_full = len(self.made_at) == self.calls_per_window
        if is_full and now - self.made_at[0] < RATE_WINDOW_S:
            return CallOutcome.BUSY
        if self.lease.token() != token:
            return CallOutcome.UNAVAILABLE
        self.made_at.append(now)
        return make()


class DutyRunner:
    """Steps the lease, then the duties in order."""

    def __init__(
        self,
        *,
        lease: DutyLease,
        caller: LeasedCaller,
        is_first: Callable[[], bool],
        event_log: EventLog,
        clock: Callable[[], float] = boot_clock,
    ):
        self.lease = lease
        self.caller = caller
        self.is_first = is_first
        self.event_log = event_log
        self.clock = clock
        self.started_at = clock()
        caller.is_candidate = self.is_candidate
        self.duties: list[Duty] = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, name="duties", daemon=True)

    def start(self) -> None:
        self.started_at = self.clock()
        self.thread.start()

    def stop(self) -> None:
        """Ends the calls and releases the lease, if that does not take too long."""
        self.stopping.set()
        if self.thread.is_alive():
            self.thread.join(STOP_TIMEOUT_S)
        if self.thread.is_alive():
            self.event_log.emit("duty_lease_not_released", duty=self.lease.name)

    def is_candidate(self) -> bool:
        return self.clock() >= self.started_at + START_DELAY_S and self.is_first()

    def run_once(self) -> float:
        """Steps the lease and the duties; returns the pause until the next time."""
        pause_s = self.lease.step(self.is_candidate())
        for duty in self.duties:
            token = self.lease.token()
            if token is None or self.stopping.is_set():
                break
            try:
                duty.step(token)
            except StaleToken:
                self.lease.note_refused()
                break
            except Exception as error:
                # A fault in one duty must not end the others, nor the lease.
                self.event_log.emit(
                    "duty_failed",
                    duty=duty.name,
                    error=repr(error)[:MAX_ERROR_CHARACTERS],
                )
        return min(DUTY_INTERVAL_S, pause_s)

    def _run(self) -> None:
        while not self.stopping.is_set():
            try:
                pause_s = self.run_once()
            except Exception as error:
                # If this thread ended, the instance could hold no lease any more.
                self.event_log.emit(
                    "duty_runner_failed", error=repr(error)[:MAX_ERROR_CHARACTERS]
                )
                pause_s = FAILURE_PAUSE_S
            self.stopping.wait(pause_s)
        self.lease.release()
