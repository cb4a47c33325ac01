"""Connection to a store whose pending call another thread can end."""

import contextlib
import socket
import threading
import time

import urllib3
from urllib3.connection import HTTPConnection

from .sockets import STORE_KEEPALIVE_OPTIONS

# A call whose response has begun to arrive is not interrupted for this long: a large
# response over a slow link would have to be sent again.
RECEIVING_S = 1.5


class StoreConnection:
    """Makes the calls of one thread over one connection, opened when needed.

    A watch whose response was lost stays pending on a connection that looks healthy.
    `interrupt` ends it at once; the next call opens a new connection.
    """

    __slots__ = (
        "clock",
        "connection",
        "interrupted",
        "lock",
        "pending",
        "receiving_since",
    )

    def __init__(self, *, host: str, port: int, clock=time.monotonic):
        self.clock = clock
        self.connection = HTTPConnection(
            host, port, socket_options=STORE_KEEPALIVE_OPTIONS
        )
        self.lock = threading.Lock()
        self.pending = False
        self.interrupted = False
        # Time at which the head of the pending call's response arrived.
        self.receiving_since: float | None = None

    def send(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str],
        timeout: urllib3.Timeout,
    ) -> urllib3.HTTPResponse:
        """Sends a request and returns the response with its body unread."""
        connection = self.connection
        if connection.sock is not None and not connection.is_connected:
            connection.close()
        connection.timeout = timeout.connect_timeout
        if connection.sock is None:
            connection.connect()
        with self.lock:
            self.interrupted = False
            self.pending = True
            self.receiving_since = None
        connection.request(method, path, headers=headers, preload_content=False)
        connection.timeout = timeout.read_timeout
        response = connection.getresponse()
        with self.lock:
            self.receiving_since = self.clock()
        return response

    def finish(self, *, reusable: bool) -> bool:
        """Ends a call; returns whether it was interrupted."""
        with self.lock:
            interrupted = self.interrupted
            self.pending = self.interrupted = False
            self.receiving_since = None
        if interrupted or not reusable:
            self.connection.close()
        return interrupted

    def interrupt(self) -> bool:
        """Ends the pending call.

        Returns False if none is pending, or if its response is arriving.
        """
        with self.lock:
            since = self.receiving_since
            if not self.pending:
                return False
            if since is not None and self.clock() - since < RECEIVING_S:
                return False
            self.interrupted = True
            sock = self.connection.sock
            # http.client gives the socket to a response that closes the connection.
            if sock is not None:
                # The peer may have closed it in this moment.
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
        return True
