"""Connection to a store whose pending call another thread can end."""

import contextlib
import socket
import threading

import urllib3
from urllib3.connection import HTTPConnection

from .sockets import STORE_KEEPALIVE_OPTIONS


class StoreConnection:
    """Makes the calls of one thread over one connection, opened when needed.

    A watch whose response was lost stays pending on a connection that looks healthy.
    `interrupt` ends it at once; the next call opens a new connection.
    """

    __slots__ = ("connection", "interrupted", "lock", "pending")

    def __init__(self, *, host: str, port: int):
        self.connection = HTTPConnection(
            host, port, socket_options=STORE_KEEPALIVE_OPTIONS
        )
        self.lock = threading.Lock()
        self.pending = False
        self.interrupted = False

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
        connection.request(method, path, headers=headers, preload_content=False)
        connection.timeout = timeout.read_timeout
        return connection.getresponse()

    def finish(self, *, reusable: bool) -> bool:
        """Ends a call; returns whether it was interrupted."""
        with self.lock:
            interrupted = self.interrupted
            self.pending = self.interrupted = False
        if interrupted or not reusable:
            self.connection.close()
        return interrupted

    def interrupt(self) -> bool:
        """Ends the pending call; returns False if none is pending."""
        with self.lock:
            if not self.pending:
                return False
            self.interrupted = True
            sock = self.connection.sock
            # http.client gives the socket to a response that closes the connection.
            if sock is not None:
                # The peer may have closed it in this moment.
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
        return True
