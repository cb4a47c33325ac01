"""TCP listener that serves each connection in its own thread."""

import contextlib
import socket
import threading


class ThreadedListener:
    """Listens on loopback and calls `serve` with each accepted socket."""

    def __init__(self, *, serve):
        self.serve = serve
        self.connections = 0
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops accepting connections; open ones are not closed."""
        with contextlib.suppress(OSError):
            # After a close alone, the port stays open while a thread blocks in accept.
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()
