"""Callers read large answers slowly and without a pause, within their time limit."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit_2 import (  # noqa: E402
    Caller,
    Deployment,
    answer_head,
    configuration,
    routes,
    run_case,
    with_trouble,
)

ZONES = ("tunis-a", "tunis-b", "bizerte-a")
GATEWAYS = 2
CALLERS = 8
ANSWER_BYTES = 4_100_000
# Answer to the first request of each channel, which makes it a kept one.
SMALL_BYTES = 800
# The whole answer is read in 14.2 s, within the time limit of 15 s.
READ_S = 14.2
TIME_LIMIT_MS = 15_000
# As of a caller on a network with packets of the usual size and a small window.
SEGMENT_BYTES = 1_400
WINDOW_BYTES = 16_384
# The rule allows three such channels.
ALLOWED = 3


def expected_body(id: str) -> bytes:
    size = SMALL_BYTES if id.endswith("-0") else ANSWER_BYTES
    line = f"answer to {id}\n".encode()
    return (line * (size // len(line) + 1))[:size]


def limit_window(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)


def case(deployment: Deployment) -> bool:
    record = deployment.record

    def serve(endpoint, sock, request) -> bool:
        record.write(f"run {request.id} at {endpoint.id}")
        body = expected_body(request.id)
        sock.sendall(answer_head(request, f"Content-Length: {len(body)}") + body)
        return True

    for number, zone in enumerate(ZONES):
        deployment.add_endpoint(
            id=f"i-{number}",
            service="comptoir-app",
            version="v1",
            zone=zone,
            serve=serve,
        )
    deployment.store.put(
        "config",
        "main",
        configuration(
            routes=routes(
                {
                    "Name": "stock-look",
                    "PathPrefix": "/stock/",
                    "Type": "safe",
                    "Service": "comptoir-app",
                    "Attempts": 2,
                }
            ),
            services=[
                {"Name": "comptoir-app", "HealthPath": "/healthz", "MaxConns": 100}
            ],
        ),
    )
    deployment.register_all()
    deployment.add_gateways(GATEWAYS, ZONES)
    deployment.start_gateways()
    deployment.wait_ready()
    time.sleep(4.0)
    lost: list[str] = []
    wrong: list[str] = []

    def call(number: int) -> None:
        gateway = deployment.gateways[number % GATEWAYS]
        caller = Caller(gateway.port, prepare=limit_window)
        for id, is_slow in ((f"c{number}-0", False), (f"c{number}-1", with_trouble())):
            began_at = time.monotonic()
            received = 0

            def pace(size: int, began_at=began_at, is_slow=is_slow) -> None:
                nonlocal received
                received += size
                due_s = READ_S * received / ANSWER_BYTES
                if is_slow:
                    time.sleep(max(0.0, began_at + due_s - time.monotonic()))

            caller.send("GET", "/stock/1", id, Deadline_Ms=str(TIME_LIMIT_MS))
            answer = caller.receive(pace=pace)
            record.write(
                f"answered {id} by {gateway.name} status {answer.status} "
                f"{len(answer.body)} bytes whole {answer.is_whole} {answer.error} "
                f"after {time.monotonic() - began_at:.2f} s"
            )
            if answer.is_whole and answer.body != expected_body(id):
                wrong.append(id)
            if not answer.is_whole:
                lost.append(id)
                break
        caller.close()

    threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    record.write(
        f"{len(lost)} channels closed without a whole answer, allowed are {ALLOWED}; "
        f"{len(wrong)} wrong answers"
    )
    return len(lost) <= ALLOWED and not wrong


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
