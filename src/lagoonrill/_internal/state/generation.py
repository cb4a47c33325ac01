"""The active manifest of this instance, whose generation only increases."""

import threading
import time
from collections.abc import Callable

import msgspec

from .. import logs
from ..protocol.objects import ConfigRecord

logger = logs.get_logger("generation")

TICK_INTERVAL_S = 0.25
# A tick this late means that the process was paused. Shorter delays are usual under
# load and could not have hidden a new generation, as the watch is not faster.
PAUSE_THRESHOLD_S = 1.0
# A rollout accepts a generation without an instance that the Instance list dropped only
# after that instance was silent for longer than this, so a shorter pause cannot have
# missed an acceptance.
MAX_UNCONFIRMED_PAUSE_S = 30.0


def boot_clock() -> float:
    """Returns monotonic seconds that include the time the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GenerationDump(msgspec.Struct, kw_only=True):
    """State dump of `GenerationState`."""

    generation: int
    applied_generation: int
    proposal_id: str
    digest: str
    apply_error: str


class _Subscription:
    __slots__ = ("callback", "delivered")

    def __init__(self, callback: Callable[[ConfigRecord], None]):
        self.callback = callback
        self.delivered = 0


class GenerationState:
    """Holds the record with the highest generation offered so far.

    `offer` returns after the subscribers have applied the record. Callbacks run
    sequentially in the order of generations, without the lock that `current` acquires.
    """

    def __init__(self):
        self._lock = threading.Lock()
        # Held while callbacks run, so that no subscriber sees generations out of order.
        self._delivery_lock = threading.RLock()
        self._record: ConfigRecord | None = None
        self._subscriptions: list[_Subscription] = []
        self._apply_error = ""
        self._applied: ConfigRecord | None = None

    def current(self) -> ConfigRecord | None:
        """Returns the active record, or None before the first one."""
        with self._lock:
            return self._record

    def generation(self) -> int:
        """Returns the active generation, or 0 before the first one."""
        record = self.current()
        return record.generation if record else 0

    def offer(self, record: ConfigRecord) -> bool:
        """Activates a record if its generation is higher; returns whether it did."""
        with self._delivery_lock:
            with self._lock:
                if self._record and record.generation <= self._record.generation:
                    return False
                self._record = record
                subscriptions = list(self._subscriptions)
                self._apply_error = ""
            logs.register_key_digests(
                [key for team in record.manifest.teams for key in team.key_digests]
            )
            for subscription in subscriptions:
                self._deliver(subscription, record)
            with self._lock:
                # A callback may have offered a newer record in the meantime.
                if self._record is record and not self._apply_error:
                    self._applied = record
            return True

    def subscribe(self, callback: Callable[[ConfigRecord], None]) -> None:
        """Calls `callback` with the current record, if any, and with each later one."""
        subscription = _Subscription(callback)
        with self._delivery_lock:
            with self._lock:
                self._subscriptions.append(subscription)
                record = self._record
            if record is not None:
                self._deliver(subscription, record)

    def _deliver(self, subscription: _Subscription, record: ConfigRecord) -> None:
        # A callback may offer a newer record; this one must not be delivered after it.
        if subscription.delivered >= record.generation:
            return
        subscription.delivered = record.generation
        try:
            subscription.callback(record)
        except Exception as error:
            logger.exception("generation {} was not applied", record.generation)
            with self._lock:
                self._apply_error = f"{type(error).__name__}: {error}"

    def apply_error(self) -> str:
        """Returns why the current record is not fully applied, or an empty string."""
        with self._lock:
            return self._apply_error

    def applied(self) -> ConfigRecord | None:
        """Returns the last record that every subscriber applied without an error."""
        with self._lock:
            return self._applied

    def dump(self) -> GenerationDump:
        """Returns the state dump."""
        record = self.current()
        applied = self.applied()
        return GenerationDump(
            generation=record.generation if record else 0,
            applied_generation=applied.generation if applied else 0,
            proposal_id=record.proposal_id if record else "",
            digest=record.digest if record else "",
            apply_error=self.apply_error(),
        )


class PauseDump(msgspec.Struct, kw_only=True):
    """State dump of `PauseDetector`."""

    pauses: int
    unconfirmed_pause_s: float
    since_tick_s: float


class PauseDetector:
    """Detects pauses during which this process did not run.

    `unconfirmed_pause_s` is computed on each call, so that a request right after a
    pause sees the pause even if the ticker thread has not run yet. Pauses add up until
    they are confirmed.
    """

    def __init__(self, *, clock: Callable[[], float] = boot_clock):
        self.clock = clock
        self._lock = threading.Lock()
        self._last_tick = clock()
        self._unconfirmed_s = 0.0
        self._pauses = 0

    def tick(self) -> float:
        """Records that the process is running; returns the unconfirmed pause time."""
        with self._lock:
            self._advance()
            return self._unconfirmed_s

    def _advance(self) -> None:
        now = self.clock()
        late_s = now - self._last_tick
        if late_s >= PAUSE_THRESHOLD_S:
            self._unconfirmed_s += late_s
            self._pauses += 1
        self._last_tick = now

    def unconfirmed_pause_s(self) -> float:
        """Returns the total pause time in seconds since the last confirmation."""
        return self.tick()

    def pause_count(self) -> int:
        """Returns the number of pauses so far; pass it to `confirm`."""
        with self._lock:
            self._advance()
            return self._pauses

    def confirm(self, pause_count: int) -> bool:
        """Clears the pauses unless another one began after the count was read."""
        with self._lock:
            self._advance()
            if pause_count != self._pauses:
                return False
            self._unconfirmed_s = 0.0
            return True

    def dump(self) -> PauseDump:
        """Returns the state dump."""
        with self._lock:
            return PauseDump(
                pauses=self._pauses,
                unconfirmed_pause_s=self._unconfirmed_s,
                since_tick_s=self.clock() - self._last_tick,
            )
