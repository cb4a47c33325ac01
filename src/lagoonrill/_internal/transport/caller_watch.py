"""Notices callers that go away or that take too long to send their request."""

import contextlib
import select
import socket
import threading
import time

import logbook

log = logbook.Logger("callers")

CHECK_INTERVAL_S = 0.25


class CallerWatch:
    """One thread that watches the sockets of all callers.

    A caller counts as gone when it closes its side of the connection.
    """

    def __init__(self):
        self.epoll = select.epoll()
        self.lock = threading.Lock()
        self.active_requests: dict[int, object] = {}
        self.reading: dict[socket.socket, float] = {}
        self.overdue: set[socket.socket] = set()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Ends the thread."""
        self.stopping.set()
        self.thread.join()
        self.epoll.close()

    def expect_request(self, sock: socket.socket, timeout_s: float) -> None:
        """Lets reads of `sock` end after `timeout_s` seconds, whatever arrives."""
        with self.lock:
            self.overdue.discard(sock)
            self.reading[sock] = time.monotonic() + timeout_s

    def request_received(self, sock: socket.socket) -> bool:
        """Ends the limit of `expect_request`; returns False if it was exceeded."""
        with self.lock:
            self.reading.pop(sock, None)
            if sock not in self.overdue:
                return True
            self.overdue.discard(sock)
            return False

    def add(self, sock: socket.socket, active_request) -> None:
        """Cancels `active_request` when the caller at `sock` goes away."""
        with self.lock:
            self.active_requests[sock.fileno()] = active_request
        self.epoll.register(sock, select.EPOLLRDHUP | select.EPOLLONESHOT)

    def remove(self, sock: socket.socket) -> None:
        """Ends `add`."""
        with self.lock:
            self.active_requests.pop(sock.fileno(), None)
        with contextlib.suppress(OSError, ValueError):
            self.epoll.unregister(sock)

    def _run(self) -> None:
        while not self.stopping.is_set():
            for descriptor, _ in self.epoll.poll(CHECK_INTERVAL_S):
                with self.lock:
                    active_request = self.active_requests.get(descriptor)
                if active_request is not None:
                    self._cancel(active_request)
            self._end_overdue_reads()

    def _cancel(self, active_request) -> None:
        try:
            active_request.cancel()
        except Exception:
            log.exception("a request of a caller that went away was not cancelled")

    def _end_overdue_reads(self) -> None:
        now = time.monotonic()
        with self.lock:
            overdue = [sock for sock, limit in self.reading.items() if limit < now]
            for sock in overdue:
                del self.reading[sock]
                self.overdue.add(sock)
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RD)
