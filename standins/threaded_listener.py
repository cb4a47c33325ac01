"""A listener that serves each connection with a thread of its own."""

import contextlib
import socket
import threading


class ThreadedListener:
    """Listens on loopback; `serve` gets each accepted socket."""

    def __init__(self, *, serve):
        self.serve = serve
        self.connections = 0
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accepts no more connections."""
        with contextlib.suppress(OSError):
            # A close alone leaves the port open while a thread accepts on it.
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
