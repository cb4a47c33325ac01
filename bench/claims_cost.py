"""Measures the cost of a claim: store calls, bytes and CPU time.

`python -m bench.claims_cost` starts the Object API stand-in and claims new keys at
several rates from concurrent callers with random arrivals. It prints one row for each
rate, and least-squares lines through the points.
"""

import argparse
import random
import threading
import time

import msgspec
import urllib3
from returns.result import Success

from lagoonrill._internal.coordination.claims import ClaimService, digest_body
from lagoonrill._internal.protocol.claim_records import Outcome
from lagoonrill._internal.protocol.settings import ClaimSettings, PlatformSettings
from lagoonrill._internal.transport.object_api import ObjectApi
from standins.object_store import Stats

from .fits import Fit, fit_line, start_results, write_results
from .processes import Process, start_stand_in

# Below the rate that saturates the CPU time of one Python process.
RATES = (25.0, 50.0, 100.0, 150.0, 200.0)
# SHARED_RATE is the total rate over these numbers of instances.
INSTANCE_COUNTS = (1, 2, 4, 8)
SHARED_RATE = 40.0
CALLERS = 64
# Low enough that each shard is compacted several times at each rate, so that the
# costs include deletions.
SNAPSHOT_AFTER_ENTRIES = 16
CLAIM_TIMEOUT_S = 10.0
# Log entries that a step made obsolete are deleted within this time; the deletions
# count towards the step.
DELETION_WAIT_S = 2.5
OUTCOME = Outcome(
    status=201, headers={"Content-Type": "application/json"}, body=b"x" * 200
)


class Totals(msgspec.Struct):
    """Cumulative costs at one point in time."""

    reads: int
    writes: int
    wire_bytes: int
    cpu_s: float


class Step(msgspec.Struct):
    """Results at one rate; costs are per claim."""

    rate: float
    claims: int
    failed: int
    claims_per_s: float
    reads: float
    writes: float
    wire_bytes: float
    cpu_ms: float
    p50_ms: float
    p99_ms: float


class ClaimBench:
    """Runs the store stand-in, the instances and their callers."""

    def __init__(self, *, arguments: argparse.Namespace):
        self.arguments = arguments
        self.store: Process = start_stand_in("object_store")
        platform = PlatformSettings(object_api_url=self.store.url, instance_list_url="")
        settings = ClaimSettings(
            append_interval_s=arguments.append_interval_s,
            snapshot_after_entries=arguments.snapshot_after,
        )
        self.apis = [
            ObjectApi(settings=platform, instance=f"bench-{number}")
            for number in range(arguments.instances)
        ]
        self.services = [
            ClaimService(store=api, settings=settings, instance=f"bench-{number}")
            for number, api in enumerate(self.apis)
        ]
        for service in self.services:
            service.start()

    def stop(self) -> None:
        """Stops the claim services and the stand-in."""
        for service in self.services:
            service.stop()
        self.store.stop()

    def totals(self) -> Totals:
        """Returns the current totals."""
        data = urllib3.request("GET", f"{self.store.url}/stats").data
        stats = msgspec.json.decode(data, type=Stats)
        dumps = [api.dump() for api in self.apis]
        return Totals(
            reads=stats.reads,
            writes=stats.writes,
            wire_bytes=sum(dump.sent_bytes + dump.received_bytes for dump in dumps),
            cpu_s=time.process_time(),
        )

    def step(self, rate: float) -> Step:
        """Runs one rate and returns the costs per claim."""
        before = self.totals()
        latencies: list[float] = []
        end = time.monotonic() + self.arguments.seconds
        threads = [
            threading.Thread(
                target=self.run_caller, args=(rate, caller, end, latencies)
            )
            for caller in range(self.arguments.callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(DELETION_WAIT_S)
        after = self.totals()
        failures = sum(1 for latency in latencies if latency < 0)
        claims = len(latencies) - failures
        times = sorted(latency for latency in latencies if latency >= 0)
        return Step(
            rate=rate,
            claims=claims,
            failed=failures,
            claims_per_s=claims / self.arguments.seconds,
            reads=(after.reads - before.reads) / claims,
            writes=(after.writes - before.writes) / claims,
            wire_bytes=(after.wire_bytes - before.wire_bytes) / claims,
            cpu_ms=1000 * (after.cpu_s - before.cpu_s) / claims,
            p50_ms=1000 * times[len(times) // 2],
            p99_ms=1000 * times[int(len(times) * 0.99)],
        )

    def run_caller(self, rate: float, caller: int, end: float, latencies: list) -> None:
        """Claims keys until `end`; appends -1 to `latencies` for a failed claim."""
        service = self.services[caller % len(self.services)]
        arrivals = random.Random(f"{rate}-{caller}")
        due = time.monotonic()
        number = 0
        while True:
            due += arrivals.expovariate(rate / self.arguments.callers)
            if due >= end:
                return
            time.sleep(max(0.0, due - time.monotonic()))
            number += 1
            started = time.monotonic()
            result = service.claim(
                team="bench",
                key=f"{rate}-{caller}-{number}",
                body_digest=digest_body(b"bench"),
                deadline=started + CLAIM_TIMEOUT_S,
            )
            granted = isinstance(result, Success)
            latencies.append(time.monotonic() - started if granted else -1.0)
            if granted and self.arguments.outcomes:
                service.record_outcome(result.unwrap(), OUTCOME)


def print_step(step: Step) -> None:
    """Prints a step as a row of the table."""
    print(
        f"{step.rate:7.0f} {step.claims:7d} {step.failed:6d} {step.claims_per_s:9.1f}"
        f" {step.writes:9.3f} {step.reads:9.3f} {step.wire_bytes:9.0f}"
        f" {step.cpu_ms:9.3f} {step.p50_ms:8.2f} {step.p99_ms:8.2f}",
        flush=True,
    )


def fit_cost(steps: list[Step], name: str, unit: str, scale: float) -> Fit:
    """Fits a cost per second over claims per second; prints and returns the line."""
    rates = [step.claims_per_s for step in steps]
    costs = [getattr(step, name) * scale * step.claims_per_s for step in steps]
    line = fit_line(f"{unit}/s per claims/s", rates, costs)
    print(line)
    return line


def run_instances(arguments: argparse.Namespace, counts: tuple) -> list[Fit]:
    """Measures a fixed total rate of claims over increasing numbers of instances."""
    steps = []
    for count in counts:
        arguments.instances = count
        bench = ClaimBench(arguments=arguments)
        try:
            steps.append(bench.step(SHARED_RATE))
        finally:
            bench.stop()
        print(f"{count} instances:", end="")
        print_step(steps[-1])
    fits = []
    for name in ("writes", "reads", "wire_bytes", "cpu_ms"):
        values = [getattr(step, name) for step in steps]
        fits.append(fit_line(f"{name} a claim per instance", counts, values))
        print(fits[-1])
    return fits


def main() -> None:
    """Measures all rates and instance counts and writes the fitted lines."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--instances", type=int, default=1)
    parser.add_argument("--append-interval-s", type=float, default=0.0)
    parser.add_argument("--rates", type=float, nargs="+", default=RATES)
    parser.add_argument("--callers", type=int, default=CALLERS)
    parser.add_argument("--snapshot-after", type=int, default=SNAPSHOT_AFTER_ENTRIES)
    parser.add_argument(
        "--outcomes", action="store_true", help="record an outcome of 200 bytes too"
    )
    arguments = parser.parse_args()
    results = start_results("claims_cost")
    bench = ClaimBench(arguments=arguments)
    try:
        print(
            "   rate  claims failed  claims/s writes/cl  reads/cl  bytes/cl"
            "  cpu ms/c   p50 ms   p99 ms"
        )
        steps = []
        for rate in arguments.rates:
            steps.append(bench.step(rate))
            print_step(steps[-1])
    finally:
        bench.stop()
    results.fits = [
        fit_cost(steps, "cpu_ms", "CPU s", 0.001),
        fit_cost(steps, "writes", "writes", 1.0),
        fit_cost(steps, "reads", "reads", 1.0),
        fit_cost(steps, "wire_bytes", "bytes", 1.0),
    ]
    results.fits += run_instances(arguments, INSTANCE_COUNTS)
    write_results(results)


if __name__ == "__main__":
    main()
