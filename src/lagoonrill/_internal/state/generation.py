"""The manifest in force in this instance; it only rolls forward."""

import threading
import time
from collections.abc import Callable

import msgspec

from .. import logs
from ..protocol.objects import ConfigRecord

logger = logs.get_logger("generation")

TICK_INTERVAL_S = 0.25
# A ticker that is this late was paused. Shorter delays are usual under load, and
# within them the watch would not have delivered a new generation either.
PAUSE_THRESHOLD_S = 1.0
# An instance that the Instance list dropped is left out of acceptance only after more
# silence than this, so a shorter pause cannot have missed an acceptance.
LONGEST_UNCONFIRMED_PAUSE_S = 30.0


def boot_clock() -> float:
    """Returns seconds of a clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GenerationDump(msgspec.Struct, kw_only=True):
    """State of `GenerationState` for the state dump."""

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
    """Holds the record with the highest generation that was offered.

    `offer` returns after the subscribers have applied the record. Callbacks run one
    after another, in the order of generations, without the lock that `current` takes.
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
        """Returns the record in force, or None before the first one."""
        with self._lock:
            return self._record

    def generation(self) -> int:
        """Returns the generation in force, 0 before the first one."""
        record = self.current()
        return record.generation if record else 0

    def offer(self, record: ConfigRecord) -> bool:
        """Puts a record in force if its generation is higher; says whether it did."""
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
        # A callback may offer a newer record; the older one must not follow it.
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
        """Returns the state for the state dump."""
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
    """State of `PauseDetector` for the state dump."""

    pauses: int
    unconfirmed_pause_s: float
    since_tick_s: float


class PauseDetector:
    """Notices that this process did not run for a while.

    `unconfirmed_pause_s` is computed when it is asked, so a request that arrives right
    after a pause is not served before the ticker thread has run again. Pauses that
    follow each other without a confirmation add up.
    """

    def __init__(self, *, clock: Callable[[], float] = boot_clock):
        self.clock = clock
        self._lock = threading.Lock()
        self._last_tick = clock()
        self._unconfirmed_s = 0.0
        self._pauses = 0

    def tick(self) -> float:
        """Records that the process runs; returns the sum of unconfirmed pauses."""
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
        """Returns the seconds of pauses since the last confirmation, 0.0 if none."""
        return self.tick()

    def pause_count(self) -> int:
        """Returns the number of pauses so far; pass it to `confirm`."""
        with self._lock:
            self._advance()
            return self._pauses

    def confirm(self, pause_count: int) -> bool:
        """Clears the pauses unless another one began after `pause_count` was read."""
        with self._lock:
            self._advance()
            if pause_count != self._pauses:
                return False
            self._unconfirmed_s = 0.0
            return True

    def dump(self) -> PauseDump:
        """Returns the state for the state dump."""
        with self._lock:
            return PauseDump(
                pauses=self._pauses,
                unconfirmed_pause_s=self._unconfirmed_s,
                since_tick_s=self.clock() - self._last_tick,
            )
