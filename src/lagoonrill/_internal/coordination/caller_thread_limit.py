"""Divides the caller threads between protected and unprotected classes."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from ..protocol.errors import Overloaded
from ..protocol.manifest import RequestClass

# Without a limit, queued requests of unprotected classes could occupy all threads, and
# a request of a protected class would be rejected before its class is known.
UNPROTECTED_FRACTION = 0.75
RETRY_AFTER_S = 2.0


class CallerThreadLimit:
    """Limits the threads of unprotected classes; rejects requests above the limit.

    >>> thread_limit = CallerThreadLimit(threads=4)
    >>> thread_limit.limit
    3
    """

    def __init__(self, *, threads: int):
        self.limit = max(1, int(threads * UNPROTECTED_FRACTION))
        self.lock = threading.Lock()
        self.open = 0
        self.refused = 0

    def enter(self, request_class: RequestClass) -> None:
        """Reserves a thread; raises `Overloaded` if none is left for the class."""
        if request_class.protected:
            return
        with self.lock:
            if self.open >= self.limit:
                self.refused += 1
                raise Overloaded(
                    message=f"class {request_class.name} holds all of its threads",
                    retry_after_s=RETRY_AFTER_S,
                )
            self.open += 1

    def leave(self, request_class: RequestClass) -> None:
        """Releases a thread reserved by `enter`."""
        if request_class.protected:
            return
        with self.lock:
            self.open -= 1

    @contextmanager
    def held(self, request_class: RequestClass) -> Iterator[None]:
        """Reserves a thread while the block runs."""
        self.enter(request_class)
        try:
            yield
        finally:
            self.leave(request_class)
