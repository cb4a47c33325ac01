"""Guards the end of a pending call to the store from another thread."""

import http.server
import threading
import time

from lagoonrill._internal.transport.store_client import StoreClient
from lagoonrill._internal.transport.store_connection import RECEIVING_S
from tests.gateway_kit import wait_until


class SlowBodyHandler(http.server.BaseHTTPRequestHandler):
    """Announces the end of the connection, then waits before it sends the body."""

    release = threading.Event()

    def do_GET(self):
        self.send_response(200)
        self.send_header("Connection", "close")
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.release.wait(10)
        self.wfile.write(b"{}")

    def log_message(self, *_):
        pass


def test_a_call_is_interrupted_after_its_connection_was_given_to_the_response():
    # An exception would end the thread that replaces dead watches.
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), SlowBodyHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    client = StoreClient(
        url=f"http://127.0.0.1:{server.server_port}", call_timeout_s=10
    )
    connection = client.open_connection()
    results = []
    call = threading.Thread(
        target=lambda: results.append(
            client.call("watch", "GET", "/", connection=connection)
        ),
        daemon=True,
    )
    call.start()
    assert wait_until(lambda: connection.pending and connection.connection.sock is None)
    # A response that has just begun to arrive is left alone.
    assert not connection.interrupt()
    connection.clock = lambda: time.monotonic() + RECEIVING_S
    assert connection.interrupt()
    SlowBodyHandler.release.set()
    call.join(5)
    # The answer arrived all the same.
    assert results[0].unwrap().data == b"{}"
    server.shutdown()
    server.server_close()
