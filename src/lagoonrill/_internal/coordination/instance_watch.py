"""Polls the Instance list and passes each list to the subscribers."""

import random
import threading
import time
from collections.abc import Callable

import logbook
import msgspec
from returns.pipeline import is_successful

log = logbook.Logger("instance-list")

# At the target size the list has 990 entries of about 120 bytes. Polling it every
# second would use 119 KB/s, but the budget of a daemon is 13 KB/s. Peers forward the
# lists that they read, so each daemon can limit its own reads to this rate.
LIST_BYTES_PER_S = 2_000
BYTES_PER_ENTRY = 120
SMALL_LIST_ENTRIES = 64
JITTER = 0.1


class InstanceWatchDump(msgspec.Struct, kw_only=True):
    """State of the polling in the state dump.

    `age_s` is None before the first successful poll.
    """

    entries: int
    age_s: float | None
    interval_s: float
    failures: int
    last_error: str


class InstanceWatch:
    """Polls the Instance list every `interval_s`, less often if the list is long."""

    def __init__(
        self,
        *,
        instance_list,
        interval_s: float,
        subscribers: list[Callable[[list], None]],
    ):
        self.instance_list = instance_list
        self.interval_s = interval_s
        self.subscribers = subscribers
        self.entries = 0
        self.answered_at: float | None = None
        self.failures = 0
        self.last_error = ""
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self._run, name="instance-list", daemon=True
        )

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        """Stops polling; a call in flight ends at its own timeout."""
        self.stopping.set()

    def current_interval_s(self) -> float:
        """Returns the polling interval for the length of the last list."""
        if self.entries <= SMALL_LIST_ENTRIES:
            return self.interval_s
        return max(self.interval_s, self.entries * BYTES_PER_ENTRY / LIST_BYTES_PER_S)

    def poll(self) -> None:
        """Fetches the list once; after a failure the subscribers keep the last list."""
        result = self.instance_list.fetch()
        if not is_successful(result):
            self.failures += 1
            error = str(result.failure())
            if error != self.last_error:
                log.warning("the Instance list is not available: {}", error)
            self.last_error = error
            return
        instances = result.unwrap()
        self.entries = len(instances)
        self.answered_at = time.monotonic()
        self.last_error = ""
        for subscriber in self.subscribers:
            subscriber(instances)

    def dump(self) -> InstanceWatchDump:
        """Returns the state of the polling."""
        answered_at = self.answered_at
        age_s = None if answered_at is None else time.monotonic() - answered_at
        return InstanceWatchDump(
            entries=self.entries,
            age_s=age_s,
            interval_s=self.current_interval_s(),
            failures=self.failures,
            last_error=self.last_error,
        )

    def _run(self) -> None:
        while not self.stopping.is_set():
            try:
                self.poll()
            except Exception:
                log.exception("a poll of the Instance list failed")
            jitter = random.uniform(1 - JITTER, 1 + JITTER)
            self.stopping.wait(self.current_interval_s() * jitter)
