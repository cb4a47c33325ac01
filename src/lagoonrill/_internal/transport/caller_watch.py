"""Detects callers that disconnect or exceed the time limit for their request."""

import contextlib
import select
import socket
import threading
import time

import logbook

log = logbook.Logger("callers")

CHECK_INTERVAL_S = 0.25


class CallerWatch:
    """Monitors the sockets of all callers with one thread.

    A caller counts as disconnected when it closes its side of the connection.
    """

    def __init__(self):
        self.epoll = select.epoll()
        self.lock = threading.Lock()
        self.active_requests: dict[int, object] = {}
        self.read_deadlines: dict[socket.socket, float] = {}
        self.timed_out: set[socket.socket] = set()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        )

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        """Stops the thread and waits for its end."""
        self.stopping.set()
        self.thread.join()
        self.epoll.close()

    def expect_request(self, sock: socket.socket, timeout_s: float) -> None:
        """Limits the total time of all reads of `sock` to `timeout_s` seconds."""
        with self.lock:
            self.timed_out.discard(sock)
            self.read_deadlines[sock] = time.monotonic() + timeout_s

    def request_received(self, sock: socket.socket) -> bool:
        """Removes the limit of `expect_request`; returns False if it was exceeded."""
        with self.lock:
            self.read_deadlines.pop(sock, None)
            if sock not in self.timed_out:
                return True
            self.timed_out.discard(sock)
            return False

    def add(self, sock: socket.socket, active_request) -> None:
        """Cancels `active_request` when the caller on `sock` disconnects."""
        with self.lock:
            self.active_requests[sock.fileno()] = active_request
        self.epoll.register(sock, select.EPOLLRDHUP | select.EPOLLONESHOT)

    def remove(self, sock: socket.socket) -> None:
        """Stops monitoring `sock`."""
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
            self._shut_down_timed_out_reads()

    def _cancel(self, active_request) -> None:
        try:
            active_request.cancel()
        except Exception:
            log.exception("failed to cancel the request of a disconnected caller")

    def _shut_down_timed_out_reads(self) -> None:
        now = time.monotonic()
        with self.lock:
            timed_out = [
                sock for sock, limit in self.read_deadlines.items() if limit < now
            ]
            for sock in timed_out:
                del self.read_deadlines[sock]
                self.timed_out.add(sock)
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RD)
