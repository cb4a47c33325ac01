"""State of a request in progress, shared with threads that may cancel it."""

import threading
from typing import Any

from ..protocol.manifest import RequestClass
from .caller_thread_limit import CallerThreadLimit
from .request_record import RequestRecord
from .streams import CallerGone


class ActiveRequest:
    """Request in progress; `cancel` may be called by any thread.

    A request that may run only `once` cannot be cancelled after it was sent.
    """

    __slots__ = (
        "cancelled",
        "handle",
        "lock",
        "once",
        "record",
        "scheduler",
        "sent",
        "thread_limit",
        "ticket",
    )

    def __init__(self, *, record: RequestRecord | None = None):
        self.record = record or RequestRecord(metrics=None)
        self.thread_limit: CallerThreadLimit | None = None
        self.lock = threading.Lock()
        self.cancelled = False
        self.once = False
        self.sent = False
        self.handle: Any = None
        self.scheduler: Any = None
        self.ticket: Any = None

    def begin(
        self, request_class: RequestClass, thread_limit: CallerThreadLimit
    ) -> None:
        """Reserves a caller thread; raises `Overloaded` if none is free."""
        self.record.request_class = request_class
        thread_limit.enter(request_class)
        self.thread_limit = thread_limit

    def end(self, result: str) -> None:
        """Ends the request after the last byte of its answer; idempotent."""
        thread_limit, self.thread_limit = self.thread_limit, None
        if thread_limit is not None:
            thread_limit.leave(self.record.request_class)
        self.record.finish(result)

    def acquire(self, scheduler, ticket):
        """Waits for a slot; raises `CallerGone` if the request is cancelled."""
        with self.lock:
            self.scheduler, self.ticket = scheduler, ticket
        try:
            self.check()
            grant = scheduler.acquire(ticket)
        except Exception:
            self.check()
            raise
        finally:
            with self.lock:
                self.scheduler = self.ticket = None
        return grant

    def new_handle(self, client):
        """Returns the handle for the next call; it is aborted already if cancelled."""
        handle = client.new_handle()
        with self.lock:
            self.handle = handle
            if self.cancelled:
                handle.abort()
        return handle

    def begin_call(self) -> None:
        """Marks the request as sent; raises `CallerGone` if it was cancelled before."""
        with self.lock:
            self.check()
            self.sent = True

    def undo_begin_call(self) -> None:
        """Undoes `begin_call` because the endpoint was not reached."""
        with self.lock:
            self.sent = False

    def check(self) -> None:
        """Raises `CallerGone` if the request is cancelled."""
        if self.cancelled:
            raise CallerGone

    def abort_call(self) -> None:
        """Aborts the current call to an endpoint."""
        with self.lock:
            handle = self.handle
        if handle is not None:
            handle.abort()

    def cancel(self) -> bool:
        """Cancels the request wherever it waits; returns False if it must continue."""
        with self.lock:
            if self.once and self.sent:
                return False
            self.cancelled = True
            scheduler, ticket = self.scheduler, self.ticket
        if scheduler is not None:
            scheduler.cancel(ticket)
        self.abort_call()
        return True
