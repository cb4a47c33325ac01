"""HTTP server with a graceful shutdown, run as a process by tests.

Prints `ready <port>`; `GET /<seconds>` answers after that delay.
"""

import sys
import threading
import time

import logbook
from cheroot import wsgi

from lagoonrill._internal.coordination.shutdown import PlannedShutdown

NOTICE_S = 0.5


class Server:
    """Serves requests with cheroot and counts those in flight."""

    def __init__(self):
        self.lock = threading.Lock()
        self.in_flight = 0
        self.server = wsgi.Server(("127.0.0.1", 0), self.handle, numthreads=8)
        self.server.prepare()

    def handle(self, environ, start_response):
        with self.lock:
            self.in_flight += 1
        try:
            time.sleep(float(environ["PATH_INFO"][1:]))
            start_response("200 OK", [("Content-Length", "4")])
            return [b"done"]
        finally:
            with self.lock:
                self.in_flight -= 1

    def refuse_new(self) -> None:
        self.server.socket.close()


def main() -> int:
    logbook.StreamHandler(sys.stderr).push_application()
    server = Server()
    shutdown = PlannedShutdown(
        notice_s=NOTICE_S,
        in_flight=lambda: server.in_flight,
        refuse_new=server.refuse_new,
        begin_leaving=lambda: None,
        hand_over=lambda: None,
        announce_exit=lambda: None,
    )
    shutdown.start()
    shutdown.install_signal_handler()
    threading.Thread(target=server.server.serve, daemon=True).start()
    print(f"ready {server.server.bind_addr[1]}", flush=True)
    status = shutdown.wait()
    # `stop` waits for worker threads that are still sending responses.
    server.server.stop()
    return status


if __name__ == "__main__":
    sys.exit(main())
