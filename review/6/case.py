"""Store outage, and all gateways are killed during it while streams run."""

import re
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit_2 import (  # noqa: E402
    ENGINE,
    Caller,
    Deployment,
    answer_head,
    chunk,
    configuration,
    routes,
    run_case,
    with_trouble,
)

ZONES = ("tunis-a", "tunis-b", "bizerte-a")
GATEWAYS = 4
STREAMS = 36
EVENTS = 40
EVENT_PAUSE_S = 0.25
TIME_LIMIT_S = 15.0
# `platform_down` lasts 5 s, and all processes are killed within it.
OUTAGE_S = 5.0
STREAMS_AFTER_S = 1.0
KILL_AFTER_S = 4.0
RESTART_AFTER_S = 4.5
# After a start, the default version needs some seconds until it is settled.
SETTLED_S = 8.0
# A caller takes a broken stream up once (the sheet's `consumer's retries`), after a
# pause of its own, which the pages leave open.
TRIES = 2
RETRY_PAUSE_S = 2.0
# The rule allows two such streams.
ALLOWED = 2
VERSION = re.compile(rb"data: (\S+)")
NUMBER = re.compile(rb"id: (\d+)")


def serve_stream(deployment: Deployment):
    def serve(endpoint, sock, request) -> bool:
        after = int(request.headers.get("last-event-id", 0))
        until = time.monotonic() + request.time_limit_s()
        deployment.record.write(
            f"run {request.id} at {endpoint.id} version {endpoint.version} "
            f"after event {after}"
        )
        sock.sendall(
            answer_head(
                request,
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
        )
        for number in range(after + 1, EVENTS + 1):
            if time.monotonic() >= until:
                return False
            event = f"id: {number}\ndata: {endpoint.version}\n\n".encode()
            sock.sendall(chunk(event))
            time.sleep(EVENT_PAUSE_S)
        sock.sendall(b"0\r\n\r\n")
        return True

    return serve


class Stream:
    """One stream of a caller, over all its tries."""

    def __init__(self, deployment: Deployment, number: int):
        self.deployment = deployment
        self.number = number
        self.body = b""
        # Id of the try that brought the first event.
        self.origin = ""
        self.is_whole = False

    def versions(self) -> set[bytes]:
        return set(VERSION.findall(self.body))

    def run(self) -> None:
        until = time.monotonic() + TIME_LIMIT_S
        gateways = self.deployment.gateways
        for number in range(TRIES):
            left_s = until - time.monotonic()
            if left_s <= 0:
                return
            gateway = gateways[(self.number + number) % len(gateways)]
            id = f"s{self.number}-{number}"
            pause_s = self._try(gateway, id, left_s)
            if self.is_whole:
                return
            time.sleep(min(pause_s, max(0.0, left_s / 3)))

    def _try(self, gateway, id: str, left_s: float) -> float:
        """Makes one try; returns the pause before the next one."""
        headers = {
            "Deadline_Ms": str(int(left_s * 1000)),
            "Model": "m",
            "Token_Usage": "900,200",
            # Without shared parts, so that the streams are spread over all endpoints.
            "Prompt_Prefix": f"{self.number:x}aa:600,{self.number:x}ff:300",
        }
        numbers = NUMBER.findall(self.body)
        if numbers:
            headers["Last_Event_Id"] = numbers[-1].decode()
            headers["Resumes"] = self.origin
        record = self.deployment.record
        record.write(f"sent {id} to {gateway.name} {headers.get('Last_Event_Id', '')}")

        def take(data: bytes) -> None:
            self.origin = self.origin or id
            self.body += data

        try:
            caller = Caller(gateway.port, timeout_s=left_s)
        except OSError as error:
            record.write(f"not connected {id} {type(error).__name__}")
            return RETRY_PAUSE_S
        try:
            caller.send("POST", "/ask/1", id, body=b"{}", **headers)
            answer = caller.receive(events=take)
        except OSError as error:
            record.write(f"broken {id} {type(error).__name__}")
            return RETRY_PAUSE_S
        finally:
            caller.close()
        self.is_whole = answer.status == 200 and answer.is_whole
        record.write(
            f"answered {id} status {answer.status} whole {self.is_whole} "
            f"{answer.error} versions {sorted(self.versions())}"
        )
        return float(answer.headers.get("retry-after", RETRY_PAUSE_S))


def case(deployment: Deployment) -> bool:
    serve = serve_stream(deployment)
    for number, version in enumerate(("v1", "v1", "v1", "v2", "v2", "v2")):
        deployment.add_endpoint(
            id=f"i-{number}",
            service="atelier-llm",
            version=version,
            zone=ZONES[number % 3],
            serve=serve,
        )
    deployment.store.put(
        "config",
        "main",
        configuration(
            routes=routes(
                {
                    "Name": "counter-ask",
                    "PathPrefix": "/ask/",
                    "Type": "streaming",
                    "Service": "atelier-llm",
                    "Attempts": 2,
                    "SessionAffinity": True,
                    "StreamResume": True,
                    "GapAimMs": 300,
                }
            ),
            services=[
                {"Name": "atelier-llm", "HealthPath": "/healthz", "Engine": ENGINE}
            ],
        ),
    )
    deployment.register_all()
    deployment.add_gateways(GATEWAYS, ZONES)
    deployment.start_gateways()
    deployment.wait_ready()
    time.sleep(SETTLED_S)
    streams = [Stream(deployment, number) for number in range(STREAMS)]
    threads = [threading.Thread(target=stream.run) for stream in streams]
    began_at = time.monotonic()

    def wait_until(after_s: float) -> None:
        time.sleep(max(0.0, began_at + after_s - time.monotonic()))

    if with_trouble():
        deployment.record.write("the store is down (503)")
        deployment.refuse_store_calls(503)
    wait_until(STREAMS_AFTER_S)
    for thread in threads:
        thread.start()
    if with_trouble():
        wait_until(KILL_AFTER_S)
        deployment.record.write("all gateways are killed")
        for gateway in deployment.gateways:
            gateway.kill()
        wait_until(RESTART_AFTER_S)
        deployment.start_gateways()
        wait_until(OUTAGE_S)
        deployment.record.write("the store is back")
        deployment.refuse_store_calls(0)
    for thread in threads:
        thread.join()
    mixed = [stream for stream in streams if len(stream.versions()) > 1]
    whole = sum(stream.is_whole for stream in streams)
    deployment.record.write(
        f"{len(streams)} streams, {whole} whole, {len(mixed)} with events of two "
        f"versions; allowed are {ALLOWED}"
    )
    return len(mixed) <= ALLOWED


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
