"""Simulates a plain service with orders, payments and lookups.

A call with a method other than GET is executed and counted by its `Idempotency-Key`.
GET is a read-only lookup.
"""

import collections
import threading
import time
from pathlib import Path

import msgspec

from .server import (
    DropConnection,
    Request,
    Response,
    StandIn,
    ZoneLatency,
    argument_parser,
    json_response,
    run,
)


class ServiceFaults(msgspec.Struct, kw_only=True):
    """Injected faults of a plain service."""

    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    lose_answer: bool = False  # execute, then drop the connection without a response
    drop_before: bool = False  # drop the connection without executing
    refuse: bool = False  # respond 503 without executing
    leaving: bool = False
    refuse_instances: list[str] = []


class Receipt(msgspec.Struct, kw_only=True):
    """Response to an executed call."""

    key: str
    path: str
    execution: int
    body_bytes: int


class PlainService(StandIn):
    """Counts the executions of each idempotency key."""

    def __init__(
        self,
        *,
        threads: int,
        journal: str | None = None,
        latency: ZoneLatency | None = None,
    ):
        super().__init__(faults=ServiceFaults(), threads=threads)
        self.latency = latency or ZoneLatency(zone="", one_way_ms=0.0)
        # The journal on disk keeps the executions when this process is killed.
        self.journal = Path(journal) if journal else None
        self.lock = threading.Lock()
        self.executions: collections.Counter[str] = collections.Counter()
        self.add_route("GET", "/executions", self.list_executions)
        self.add_route("GET", "/.*", self.look_up)
        self.add_route("*", "/.*", self.execute)

    def handle(self, request: Request) -> Response:
        """Applies the faults, then handles the request."""
        if request.path not in ("/faults", "/executions"):
            self.latency.wait(request)
            refused = request.header("X-Instance") in self.faults.refuse_instances
            if refused or self.faults.drop_before:
                raise DropConnection
            time.sleep(self.faults.delay_s)
            if self.faults.refuse:
                return json_response({"error": "refused"}, status=503)
        response = super().handle(request)
        state = "leaving" if self.faults.leaving else "live"
        response.headers["X-Endpoint-State"] = state
        return response

    def execute(self, request: Request) -> Response:
        """Executes a call and records it before the response is sent."""
        key = request.header("Idempotency-Key") or ""
        with self.lock:
            self.executions[key] += 1
            execution = self.executions[key]
            if self.journal:
                with self.journal.open("a") as journal:
                    journal.write(key + "\n")
        time.sleep(self.faults.answer_delay_s)
        if self.faults.lose_answer:
            raise DropConnection
        receipt = Receipt(
            key=key,
            path=request.path,
            execution=execution,
            body_bytes=len(request.body),
        )
        return json_response(receipt)

    def look_up(self, request: Request) -> Response:
        """Returns the path and query of a read-only lookup."""
        return json_response({"path": request.path, "query": request.query})

    def list_executions(self, request: Request) -> Response:
        """Returns the number of executions of each key."""
        return json_response(dict(self.executions))


def main() -> None:
    parser = argument_parser("Simulated plain service")
    parser.add_argument("--threads", type=int, default=64)
    parser.add_argument("--journal", help="file that records each execution")
    arguments = parser.parse_args()
    service = PlainService(
        threads=arguments.threads,
        journal=arguments.journal,
        latency=ZoneLatency(zone=arguments.zone, one_way_ms=arguments.zone_latency_ms),
    )
    run(service, host=arguments.host, port=arguments.port)


if __name__ == "__main__":
    main()
