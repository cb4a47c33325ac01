"""Graceful shutdown: requests in flight are completed before the daemon exits."""

import enum
import queue
import signal
import threading
import time
from collections.abc import Callable

import logbook
import msgspec

log = logbook.Logger("shutdown")

DRAIN_POLL_S = 0.05
PROGRESS_INTERVAL_S = 5.0


class ShutdownPhase(enum.StrEnum):
    """Shutdown phase; phases only advance."""

    RUNNING = "running"
    NOTICE = "notice"
    DRAINING = "draining"
    ANNOUNCING = "announcing"
    STOPPED = "stopped"


class ShutdownDump(msgspec.Struct, kw_only=True):
    """Shutdown progress for the state dump; `elapsed_s` is None before the start."""

    phase: ShutdownPhase
    reason: str
    elapsed_s: float | None
    in_flight: int
    ignored_requests: int
    failed_steps: list[str]


class PlannedShutdown:
    """Runs the shutdown sequence once, on SIGTERM or on `drain`.

    `begin_leaving` tells peers that this instance accepts no new work. `refuse_new`
    makes the caller listener stop accepting connections and returns immediately.
    `in_flight` counts requests that were accepted and have not ended. `hand_over`
    announces the known streams to peers. `announce_exit` sends `Leaving`. The daemon
    stops all other components after `wait` has returned.
    """

    def __init__(
        self,
        *,
        notice_s: float,
        in_flight: Callable[[], int],
        refuse_new: Callable[[], None],
        begin_leaving: Callable[[], None],
        hand_over: Callable[[], None],
        announce_exit: Callable[[], None],
    ):
        self.notice_s = notice_s
        self.in_flight = in_flight
        self.refuse_new = refuse_new
        self.begin_leaving = begin_leaving
        self.hand_over = hand_over
        self.announce_exit = announce_exit
        self.phase = ShutdownPhase.RUNNING
        self.reason = ""
        self.began_at: float | None = None
        self.ignored_requests = 0
        self.failed_steps: list[str] = []
        # A signal handler may interrupt code on the main thread that holds a lock.
        # `SimpleQueue.put` is reentrant and therefore safe there.
        self.requests: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.finished = threading.Event()
        self.thread = threading.Thread(target=self._run, name="shutdown", daemon=True)

    def start(self) -> None:
        """Starts the thread that waits for a request to shut down."""
        self.thread.start()

    def install_signal_handler(self) -> None:
        """Installs a SIGTERM handler that requests the shutdown; main thread only."""
        signal.signal(signal.SIGTERM, lambda *_: self.request("SIGTERM"))

    def request(self, reason: str) -> None:
        """Requests the shutdown without blocking; later requests have no effect."""
        self.requests.put(reason)

    def not_ready_reason(self) -> str:
        """Returns why the instance accepts no new work, or an empty string."""
        if self.phase is ShutdownPhase.RUNNING and self.requests.empty():
            return ""
        return f"shutting down: {self.phase}"

    def wait(self) -> int:
        """Blocks until the sequence has ended and returns the exit status.

        The status is 0 unless a step failed; the other steps run even if one fails.
        """
        self.finished.wait()
        return 1 if self.failed_steps else 0

    def dump(self) -> ShutdownDump:
        """Returns the shutdown progress."""
        began_at = self.began_at
        return ShutdownDump(
            phase=self.phase,
            reason=self.reason,
            elapsed_s=None if began_at is None else time.monotonic() - began_at,
            in_flight=self.in_flight(),
            ignored_requests=self.ignored_requests,
            failed_steps=self.failed_steps,
        )

    def _run(self) -> None:
        self.reason = self.requests.get()
        self.began_at = time.monotonic()
        self._enter(ShutdownPhase.NOTICE)
        self._step("begin_leaving", self.begin_leaving)
        self._sleep(self.notice_s)
        self._enter(ShutdownPhase.DRAINING)
        self._step("refuse_new", self.refuse_new)
        self._drain()
        self._enter(ShutdownPhase.ANNOUNCING)
        self._step("hand_over", self.hand_over)
        self._step("announce_exit", self.announce_exit)
        self._enter(ShutdownPhase.STOPPED)
        self.finished.set()

    def _enter(self, phase: ShutdownPhase) -> None:
        self.phase = phase
        log.info(
            "shutdown phase {} (requested by {}); {} requests in flight",
            phase,
            self.reason,
            self.in_flight(),
        )

    def _step(self, name: str, function: Callable[[], None]) -> None:
        try:
            function()
        except Exception:
            log.exception("shutdown step {} failed", name)
            self.failed_steps.append(name)

    def _drain(self) -> None:
        # A request that was read just before the listener closed is counted slightly
        # later, so two consecutive readings of zero are required.
        idle_readings = 0
        reported_at = time.monotonic()
        while idle_readings < 2:
            idle_readings = idle_readings + 1 if self.in_flight() == 0 else 0
            if time.monotonic() - reported_at >= PROGRESS_INTERVAL_S:
                reported_at = time.monotonic()
                log.info("{} requests still in flight", self.in_flight())
            self._sleep(DRAIN_POLL_S)

    def _sleep(self, duration_s: float) -> None:
        """Sleeps, counting shutdown requests that arrive meanwhile."""
        until = time.monotonic() + duration_s
        while (left_s := until - time.monotonic()) > 0:
            try:
                again = self.requests.get(timeout=left_s)
            except queue.Empty:
                return
            self.ignored_requests += 1
            log.info("already shutting down; request by {} ignored", again)
