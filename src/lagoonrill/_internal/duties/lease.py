"""Lease with fencing tokens, kept as one object that is changed by conditional writes.

Load pattern: the holder is killed, frozen or cut off, writes get no answer and are
executed late, and the store comes back from an older copy. Times are on CLOCK_BOOTTIME,
which also runs while the machine is suspended.
"""

import secrets
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from ..event_log import EventLog
from ..protocol.errors import StoreConflict, StoreError, StoreInDoubt

# A token is the store's era times this, plus a number that rises within the era.
TOKENS_PER_ERA = 2**32
# The holder renews after this share of the lease time, and acts until the other one
# after the start of its last successful renewal.
RENEW_SHARE = 1 / 3
ACT_SHARE = 0.8
# A lease that was not renewed for this many lease times may be acquired.
EXPIRED_AFTER_LEASES = 1.2
# Interval between the reads of a waiting candidate; each store call has a cost.
READ_INTERVAL_S = 1.0
# Pause after a failed call of the holder.
RETRY_PAUSE_S = 0.7
# Pause of an instance that is neither the holder nor a candidate; makes no calls.
IDLE_PAUSE_S = 0.25
# Minimum pause, so that clock differences never cause a busy loop.
MIN_PAUSE_S = 0.01
MAX_ERROR_CHARACTERS = 200


def boot_clock() -> float:
    """Returns the time in seconds since the machine was started, with suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseState(msgspec.Struct, kw_only=True, frozen=True):
    """Content of a lease object; `revision` and `era` are set by the store."""

    holder: str = ""
    # Random per process: distinguishes processes of the same name.
    incarnation: str = ""
    token: int = 0
    renewals: int = 0
    released: bool = False
    # Holder before this one.
    previous: str = ""
    # Numbers of the duties that only rise, such as the last window that was reported.
    progress: dict[str, int] = {}
    revision: int = 0
    era: int = 0

    def confirmed_by(
        self, found: "LeaseState | None"
    ) -> Result["LeaseState", StoreError]:
        """Returns what was read after this state was written, if it is the same."""
        if found is not None:
            positions = {"revision": found.revision, "era": found.era}
            if msgspec.structs.replace(self, **positions) == found:
                return Success(found)
        return Failure(StoreInDoubt(message="the lease has changed after the write"))


class LeaseStore(Protocol):
    """Lease objects in the store."""

    def read(self, name: str) -> Result[LeaseState | None, StoreError]: ...

    def write(
        self, name: str, state: LeaseState, revision: int | None
    ) -> Result[LeaseState, StoreError]:
        """Replaces the given revision, or creates the object if it is None.

        Returns the state with its new revision and era; `StoreConflict` if the object
        has another revision, or exists.
        """
        ...


class DutyLease:
    """The lease of one instance; all methods but `dump` are for one thread.

    A token is derived from the era and revision of the object that the acquiring write
    replaces. Only one write can replace a revision within an era, so no two
    acquisitions have the same token, even if the store was restored in between.
    """

    def __init__(
        self,
        *,
        name: str,
        instance: str,
        store: LeaseStore,
        lease_s: float,
        event_log: EventLog,
        clock: Callable[[], float] = boot_clock,
        incarnation: str = "",
    ):
        self.name = name
        self.instance = instance
        self.store = store
        self.lease_s = lease_s
        self.event_log = event_log
        self.clock = clock
        self.incarnation = incarnation or secrets.token_hex(8)
        # Numbers of the duties; written with the next renewal.
        self.progress: dict[str, int] = {}
        # Latest known content of the object, and since when it has been unchanged.
        self.state: LeaseState | None = None
        self.seen_at = 0.0
        # Token of the lease while this instance holds it.
        self.held: int | None = None
        self.act_until = float("-inf")
        # Token of an acquisition whose outcome is unknown.
        self.attempted: int | None = None
        # Start of the first write without an answer since the last answered one.
        self.doubt_since: float | None = None
        # The object has to be read before the next write; without `may_act`, also
        # before the next call to the platform.
        self.must_read = False
        self.may_act = True
        self.was_refused = False
        # No acquisition before this time.
        self.blocked_until = float("-inf")
        self.next_at = float("-inf")
        self.is_released = False
        self.losses = 0

    def token(self) -> int | None:
        """Returns the token with which the instance may act now; None if it may not."""
        if self.held is None or not self.may_act or self.is_released:
            return None
        return self.held if self.clock() < self.act_until else None

    def step(self, is_candidate: bool) -> float:
        """Makes the call that is due, if any; returns the time until the next one."""
        if self.is_released:
            return IDLE_PAUSE_S
        if self.held is None and not is_candidate:
            # What was seen is outdated when the instance becomes a candidate again.
            self.state = None
            return IDLE_PAUSE_S
        if self.clock() >= self.next_at:
            if self.held is not None:
                pause_s = self._keep(is_candidate)
            else:
                pause_s = self._seek()
            self.next_at = self.clock() + pause_s
        return max(MIN_PAUSE_S, self.next_at - self.clock())

    def note_refused(self) -> None:
        """Gives up the current token, because the platform has seen a higher one."""
        if self.held is None:
            return
        self.event_log.emit("duty_token_refused", duty=self.name, token=self.held)
        self.was_refused = True
        self._suspend()

    def is_held(self, token: int) -> bool:
        """Reads the lease; returns whether this instance holds it with a token."""
        if self.token() != token:
            return False
        result = self.store.read(self.name)
        if isinstance(result, Failure):
            return False
        state = result.unwrap()
        if state is None or not self._is_current(state, token):
            self._suspend()
        return self.token() == token

    def release(self) -> None:
        """Ends the lease for good, so that a candidate may acquire it at once."""
        self.is_released = True
        if self.held is not None and self.state is not None:
            self._write_released(self.state)
        self.held = None

    def dump(self) -> dict:
        """Returns the lease as this instance knows it."""
        state = self.state
        return {
            "holder": state.holder if state is not None else None,
            "token": state.token if state is not None else None,
            "held_token": self.held,
            "may_act": self.token() is not None,
            "act_for_s": round(max(0.0, self.act_until - self.clock()), 3),
            "outcome_unknown": self.doubt_since is not None,
            "losses": self.losses,
            "progress": dict(self.progress),
        }

    def _suspend(self) -> None:
        self.must_read = True
        self.may_act = False
        self.next_at = float("-inf")

    def _is_own(self, state: LeaseState, token: int | None) -> bool:
        """Returns whether a state is that of this process with a token.

        A state of an earlier era is own too, but its token is not used any more.
        """
        return (
            not state.released
            and state.token == token
            and state.incarnation == self.incarnation
            and state.holder == self.instance
        )

    def _is_current(self, state: LeaseState, token: int) -> bool:
        return self._is_own(state, token) and state.era <= token // TOKENS_PER_ERA

    def _keep(self, is_candidate: bool) -> float:
        if self.must_read:
            result = self.store.read(self.name)
            if isinstance(result, Failure):
                self._log_failure("read", result.failure())
                return RETRY_PAUSE_S
            state = result.unwrap()
            if state is None or not self._is_own(state, self.held):
                self._lose(state)
                return MIN_PAUSE_S
            return self._keep_own(state, is_candidate)
        return self._renew(self.state)

    def _keep_own(self, state: LeaseState, is_candidate: bool) -> float:
        renewed = self.state is None or state.renewals > self.state.renewals
        self.must_read = False
        self.state = state
        if self.was_refused and not is_candidate:
            self._write_released(state)
            self._lose(None)
            return READ_INTERVAL_S
        if self.was_refused or not self._is_current(state, self.held):
            return self._acquire(state)
        self.may_act = True
        started_at = self.doubt_since
        if renewed and started_at is not None:
            # The write was executed after its start.
            self._note_renewed(started_at)
            return self._renewal_pause_s(started_at)
        return self._renew(state)

    def _renew(self, state: LeaseState) -> float:
        wanted = msgspec.structs.replace(
            state, renewals=state.renewals + 1, progress=dict(self.progress)
        )
        started_at = self.clock()
        if not self._write(wanted, state, started_at):
            return RETRY_PAUSE_S if not self.must_read else MIN_PAUSE_S
        self._note_renewed(started_at)
        return self._renewal_pause_s(started_at)

    def _renewal_pause_s(self, started_at: float) -> float:
        due_at = started_at + RENEW_SHARE * self.lease_s
        return max(MIN_PAUSE_S, due_at - self.clock())

    def _note_renewed(self, started_at: float) -> None:
        self.doubt_since = None
        self.act_until = started_at + ACT_SHARE * self.lease_s

    def _lose(self, state: LeaseState | None) -> None:
        now = self.clock()
        self.event_log.emit(
            "duty_lease_lost",
            duty=self.name,
            token=self.held,
            holder=state.holder if state is not None else "",
        )
        self.losses += 1
        self.held = self.attempted = self.doubt_since = None
        self.must_read = self.was_refused = False
        if state is not None:
            # Another holder has acted: acting again soon would alternate.
            self.blocked_until = now + self.lease_s
        self.state = state
        self.seen_at = now

    def _seek(self) -> float:
        """Reads the object as a candidate, and acquires the lease if it is free."""
        result = self.store.read(self.name)
        now = self.clock()
        self.must_read = False
        if isinstance(result, Failure):
            self._log_failure("read", result.failure())
            return READ_INTERVAL_S
        state = result.unwrap()
        if state is None:
            return self._create()
        if self.attempted is not None and self._is_current(state, self.attempted):
            # Without a time of the write, a renewal has to come first.
            started_at = now - self.lease_s
            if self.doubt_since is not None:
                started_at = self.doubt_since
            return self._take(state, started_at)
        known = self.state
        if known is None or (known.era, known.revision) != (state.era, state.revision):
            self.seen_at = now
            self.attempted = self.doubt_since = None
        self.state = state
        wait_s = self._wait_s(state, now)
        if wait_s > 0:
            return min(READ_INTERVAL_S, wait_s)
        return self._acquire(state)

    def _wait_s(self, state: LeaseState, now: float) -> float:
        """Returns how long the lease may not be acquired if it stays unchanged."""
        free_at = self.blocked_until
        # An object of an earlier era does not show the latest holder.
        is_outdated = state.token // TOKENS_PER_ERA != state.era
        if is_outdated or not state.released:
            expired_after_s = EXPIRED_AFTER_LEASES * self.lease_s
            free_at = max(free_at, self.seen_at + expired_after_s)
        elif state.previous == self.instance:
            # This instance may have acted shortly before the releasing one.
            free_at = max(free_at, self.seen_at + self.lease_s)
        return free_at - now

    def _create(self) -> float:
        """Creates the object without a holder; its revision gives the first token."""
        result = self.store.write(self.name, LeaseState(released=True), None)
        if isinstance(result, Success):
            self.state = result.unwrap()
            self.seen_at = self.clock()
        return READ_INTERVAL_S

    def _acquire(self, state: LeaseState) -> float:
        """Takes the lease from `state` with a new token."""
        token = state.era * TOKENS_PER_ERA + state.revision + 1
        token = max(token, state.token + 1)
        for key, value in state.progress.items():
            self.progress[key] = max(value, self.progress.get(key, value))
        wanted = msgspec.structs.replace(
            state,
            holder=self.instance,
            incarnation=self.incarnation,
            token=token,
            renewals=0,
            released=False,
            previous=state.previous if state.holder == self.instance else state.holder,
            progress=dict(self.progress),
        )
        # A refused or outdated token is not used again, whatever becomes of the write.
        self.held = None
        self.was_refused = False
        self.attempted = token
        started_at = self.clock()
        if self._write(wanted, state, started_at):
            return self._take(self.state, started_at)
        return READ_INTERVAL_S / 2

    def _take(self, state: LeaseState, started_at: float) -> float:
        self.state = state
        self.held = state.token
        self.attempted = None
        self.must_read = False
        self.may_act = True
        self._note_renewed(started_at)
        self.event_log.emit(
            "duty_lease_acquired",
            duty=self.name,
            token=state.token,
            previous=state.previous,
            progress=dict(self.progress),
        )
        return self._renewal_pause_s(started_at)

    def _write(self, wanted: LeaseState, base: LeaseState, started_at: float) -> bool:
        """Writes a state in place of `base`; returns whether it is now in force."""
        result = self.store.write(self.name, wanted, base.revision)
        if isinstance(result, Success):
            written = result.unwrap()
            self.doubt_since = None
            if written.era != base.era:
                # The revision is that of another history, possibly of another holder.
                self.attempted = None
                self._suspend()
                return False
            self.state = written
            return True
        error = result.failure()
        self._log_failure("write", error)
        if isinstance(error, StoreConflict):
            self._suspend()
        elif isinstance(error, StoreInDoubt):
            self.must_read = True
            if self.doubt_since is None:
                self.doubt_since = started_at
        return False

    def _write_released(self, state: LeaseState) -> None:
        released = msgspec.structs.replace(
            state, released=True, progress=dict(self.progress)
        )
        result = self.store.write(self.name, released, state.revision)
        self.event_log.emit(
            "duty_lease_released",
            duty=self.name,
            token=state.token,
            confirmed=isinstance(result, Success),
        )

    def _log_failure(self, call: str, error: StoreError) -> None:
        self.event_log.emit(
            "duty_lease_call_failed",
            duty=self.name,
            call=call,
            reason=str(error)[:MAX_ERROR_CHARACTERS],
        )
