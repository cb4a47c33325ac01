"""Circuit breaker for calls to the Object API."""

import threading
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure, Result

from ..protocol.errors import StoreError, StoreInDoubt, StoreUnavailable
from ..protocol.objects import VersionedObject

# A network partition on an established connection shows as lost answers, not as refused
# connections, so several lost answers also open the breaker.
LOST_ANSWERS_TO_OPEN = 3


class Store(Protocol):
    """The calls of the Object API that the claim log uses."""

    def get(self, name: str) -> Result[VersionedObject | None, StoreError]: ...

    def create(self, name: str, value: bytes) -> Result[int, StoreError]: ...

    def update(
        self, name: str, value: bytes, *, version: int
    ) -> Result[int, StoreError]: ...

    def delete(
        self, name: str, *, version: int | None = None
    ) -> Result[None, StoreError]: ...

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[list[VersionedObject], StoreError]: ...


class CircuitBreaker:
    """Opens while the store is unreachable.

    One refused connection or several consecutive lost answers open it; any answer
    closes it. `on_open` is called each time it opens, without holding the lock.
    """

    def __init__(self, *, on_open: Callable[[], None] = lambda: None):
        self.condition = threading.Condition()
        self.open = False
        self.consecutive_lost_answers = 0
        self.times_opened = 0
        self.on_open = on_open

    def observe(self, result: Result) -> None:
        """Updates the breaker with the result of a call."""
        error = result.failure() if isinstance(result, Failure) else None
        with self.condition:
            was_open = self.open
            self._count(error)
            opened = self.open and not was_open
            self.times_opened += opened
            self.condition.notify_all()
        if opened:
            self.on_open()

    def _count(self, error: StoreError | None) -> None:
        if isinstance(error, StoreUnavailable):
            self.open = True
        elif isinstance(error, StoreInDoubt):
            self.consecutive_lost_answers += 1
            self.open = (
                self.open or self.consecutive_lost_answers >= LOST_ANSWERS_TO_OPEN
            )
        else:
            self.consecutive_lost_answers = 0
            self.open = False

    def wait_closed(self, timeout_s: float) -> bool:
        """Waits until the breaker is closed; returns whether it is."""
        with self.condition:
            return self.condition.wait_for(lambda: not self.open, timeout_s)

    def wait_open(self, timeout_s: float) -> bool:
        """Waits until the breaker is open; returns whether it is."""
        with self.condition:
            return self.condition.wait_for(lambda: self.open, timeout_s)


class ObservedStore:
    """Forwards calls to a store and reports their results to the breaker."""

    def __init__(self, *, store: Store, breaker: CircuitBreaker):
        self.store = store
        self.breaker = breaker

    def get(self, name: str) -> Result[VersionedObject | None, StoreError]:
        """Returns an object, or None if it does not exist."""
        return self._observed(self.store.get(name))

    def create(self, name: str, value: bytes) -> Result[int, StoreError]:
        """Creates an object; fails if it exists."""
        return self._observed(self.store.create(name, value))

    def update(
        self, name: str, value: bytes, *, version: int
    ) -> Result[int, StoreError]:
        """Replaces an object if it still has the given version."""
        return self._observed(self.store.update(name, value, version=version))

    def delete(
        self, name: str, *, version: int | None = None
    ) -> Result[None, StoreError]:
        """Deletes an object."""
        return self._observed(self.store.delete(name, version=version))

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[list[VersionedObject], StoreError]:
        """Returns a page of objects."""
        return self._observed(self.store.list(prefix, after=after, limit=limit))

    def _observed(self, result: Result) -> Result:
        self.breaker.observe(result)
        return result
