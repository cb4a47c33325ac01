"""Shares the callers' threads between protected and other classes."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from ..protocol.errors import Overloaded
from ..protocol.manifest import RequestClass

# Without a limit, waiting plans could hold every thread, and a counter question would
# be refused before its class is known.
UNPROTECTED_SHARE = 0.75
RETRY_AFTER_S = 2.0


class CallerShare:
    """Counts the requests of unprotected classes and refuses those above their share.

    >>> share = CallerShare(threads=4)
    >>> share.limit
    3
    """

    def __init__(self, *, threads: int):
        self.limit = max(1, int(threads * UNPROTECTED_SHARE))
        self.lock = threading.Lock()
        self.open = 0
        self.refused = 0

    def enter(self, request_class: RequestClass) -> None:
        """Counts a request; raises `Overloaded` if its class has no thread left."""
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
        """Ends a request that `enter` counted."""
        if request_class.protected:
            return
        with self.lock:
            self.open -= 1

    @contextmanager
    def held(self, request_class: RequestClass) -> Iterator[None]:
        """Counts a request while the block runs."""
        self.enter(request_class)
        try:
            yield
        finally:
            self.leave(request_class)
