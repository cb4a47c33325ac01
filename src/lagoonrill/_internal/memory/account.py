"""Counts the memory of one process by parts and keeps it within a capacity.

Load pattern: hundreds of callers send large bodies at once, or stop one byte short.
Each of them is within its limits, but their sum ends the process. Bytes are therefore
reserved here before they are kept.
"""

import enum
import threading
import time
from collections import deque
from collections.abc import Callable

import msgspec

# Interval at which a reservation that waits checks whether it is still needed.
WAIT_CHECK_S = 0.1


class Part(enum.StrEnum):
    """What the memory is used for."""

    # Sockets, threads and parsers of callers, with small bodies and answers.
    CONNECTIONS = "connections"
    SMALL_BODIES = "small_bodies"
    BODIES = "bodies"
    ANSWERS = "answers"


class PartBounds(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds of one part, in bytes."""

    # Memory that other parts cannot take, also while this part does not use it.
    floor: int = 0
    limit: int


class MemoryAccountError(Exception):
    """A use of the account that would make its counts wrong."""


class _Waiter:
    __slots__ = ("count", "granted")

    def __init__(self, count: int):
        self.count = count
        self.granted = threading.Event()


class AccountPart:
    """One part of a `MemoryAccount`.

    `held_bytes` is the memory reserved now, `refused` counts the reservations that
    found no room in time.
    """

    def __init__(self, *, part: Part, bounds: PartBounds, account: "MemoryAccount"):
        self.part = part
        self.bounds = bounds
        self.account = account
        self.held_bytes = 0
        self.peak_bytes = 0
        self.refused = 0
        self.waited = 0
        self.waiting: deque[_Waiter] = deque()
        # Ends the use of some memory of this part that its user does not need.
        self.relieve: Callable[[], object] = lambda: None

    @property
    def most_bytes(self) -> int:
        """The most that this part can hold while others use nothing."""
        floors = sum(
            item.bounds.floor
            for item in self.account.parts.values()
            if item is not self
        )
        return min(self.bounds.limit, self.account.capacity_bytes - floors)

    def take(self, count: int) -> bool:
        """Reserves bytes if there is room now and nobody waits for room."""
        with self.account.lock:
            if self.waiting or not self.account.fits(self, count):
                return False
            self._hold(count)
            return True

    def wait_and_take(
        self,
        count: int,
        *,
        timeout_s: float,
        while_waiting: Callable[[bool], bool] = lambda is_first: True,
    ) -> bool:
        """Reserves bytes, waiting up to `timeout_s` seconds in order of arrival.

        `while_waiting` is called at intervals without a lock, with whether this
        reservation is the next to be granted; the wait ends when it returns False.
        """
        with self.account.lock:
            if not self.waiting and self.account.fits(self, count):
                self._hold(count)
                return True
            if count > self.most_bytes:
                self.refused += 1
                return False
            waiter = _Waiter(count)
            self.waiting.append(waiter)
            self.waited += 1
        until = time.monotonic() + timeout_s
        try:
            while (left_s := until - time.monotonic()) > 0:
                if not while_waiting(self._is_first(waiter)):
                    break
                if waiter.granted.wait(min(WAIT_CHECK_S, left_s)):
                    return True
        except BaseException:
            if self._stop_waiting(waiter):
                self.give_back(count)
            raise
        return self._stop_waiting(waiter)

    def _stop_waiting(self, waiter: _Waiter) -> bool:
        """Ends a wait; returns whether it was granted at the last moment."""
        with self.account.lock:
            if waiter.granted.is_set():
                return True
            self.waiting.remove(waiter)
            self.refused += 1
            # Those behind it may need less.
            self.account.grant_waiting()
            return False

    def _is_first(self, waiter: _Waiter) -> bool:
        with self.account.lock:
            return bool(self.waiting) and self.waiting[0] is waiter

    def give_back(self, count: int) -> None:
        """Returns reserved bytes; raises `MemoryAccountError` above `held_bytes`."""
        if not count:
            return
        with self.account.lock:
            if not 0 <= count <= self.held_bytes:
                raise MemoryAccountError(
                    f"{count} bytes given back to {self.part}, {self.held_bytes} held"
                )
            self.held_bytes -= count
            self.account.grant_waiting()

    def _hold(self, count: int) -> None:
        self.held_bytes += count
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def grant_waiting(self) -> None:
        """Grants reservations in order; the lock of the account is held."""
        while self.waiting and self.account.fits(self, self.waiting[0].count):
            waiter = self.waiting.popleft()
            self._hold(waiter.count)
            waiter.granted.set()

    def dump(self) -> dict:
        return {
            "held_bytes": self.held_bytes,
            "peak_bytes": self.peak_bytes,
            "floor_bytes": self.bounds.floor,
            "limit_bytes": self.bounds.limit,
            "waiting": len(self.waiting),
            "waited": self.waited,
            "refused": self.refused,
        }


class MemoryAccount:
    """Reservations of memory in bytes; all methods are thread-safe.

    >>> bounds = {part: PartBounds(floor=10, limit=100) for part in Part}
    >>> account = MemoryAccount(capacity_bytes=100, bounds=bounds)
    >>> bodies = account.parts[Part.BODIES]
    >>> bodies.take(71), bodies.take(70), account.parts[Part.ANSWERS].take(10)
    (False, True, True)
    >>> bodies.give_back(70)
    >>> account.held_bytes
    10
    """

    def __init__(self, *, capacity_bytes: int, bounds: dict[Part, PartBounds]):
        floors = sum(item.floor for item in bounds.values())
        if floors > capacity_bytes:
            raise MemoryAccountError(f"floors of {floors} bytes in {capacity_bytes}")
        self.capacity_bytes = capacity_bytes
        self.lock = threading.Lock()
        self.parts = {
            part: AccountPart(part=part, bounds=bounds[part], account=self)
            for part in Part
        }

    @property
    def held_bytes(self) -> int:
        return sum(part.held_bytes for part in self.parts.values())

    def fits(self, part: AccountPart, count: int) -> bool:
        """Returns whether `count` more bytes fit; the lock is held by the caller."""
        if part.held_bytes + count > part.bounds.limit:
            return False
        # Memory that is held or kept free for the parts.
        committed = sum(
            max(item.held_bytes + (count if item is part else 0), item.bounds.floor)
            for item in self.parts.values()
        )
        return committed <= self.capacity_bytes

    def grant_waiting(self) -> None:
        """Grants what fits, small bodies first; the lock is held by the caller."""
        for part in self.parts.values():
            if part.waiting:
                part.grant_waiting()

    def dump(self) -> dict:
        """Returns the counts, for the state page."""
        with self.lock:
            parts = {part.part.value: part.dump() for part in self.parts.values()}
        return {"capacity_bytes": self.capacity_bytes, "parts": parts}
