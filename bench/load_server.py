"""Serves `GET /<endpoint>/load` for any number of endpoints on one port.

Prints `ready <port>` and serves until it is terminated.
"""

import signal
import threading

from cheroot import wsgi

from lagoonrill._internal.protocol.load import LoadReport
from standins.server import StandIn, json_response

# By default, cheroot keeps at most 10 idle connections open. A real endpoint is a
# separate server with few connections, but this one serves the pollers of all.
KEPT_CONNECTIONS = 1_000


def main() -> None:
    """Serves a fixed load report."""
    stand_in = StandIn(faults=LoadReport())
    report = LoadReport(running=3, waiting=1, slots=8, models=["atelier"], age_s=0.2)
    stand_in.add_route("GET", r"/[^/]+/load", lambda _: json_response(report))
    server = wsgi.Server(("127.0.0.1", 0), stand_in, numthreads=32)
    server.keep_alive_conn_limit = KEPT_CONNECTIONS
    server.prepare()
    signal.signal(
        signal.SIGTERM, lambda *_: threading.Thread(target=server.stop).start()
    )
    print(f"ready {server.bind_addr[1]}", flush=True)
    server.serve()


if __name__ == "__main__":
    main()
