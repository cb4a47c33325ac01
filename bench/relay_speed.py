"""Measures the relay's first-token overhead and its throughput in tokens per second.

`python -m bench.relay_speed` sends the same streams to stand-in engines directly and
through one router process. The overhead of a stream is the time until the request
reaches the engine plus the time from the engine's first token until the caller receives
it; it excludes the time in the engine.
"""

import argparse
import json
import selectors
import socket
import subprocess
import sys
import time
from urllib.parse import urlsplit

import msgspec
import urllib3

from bench.local_router import KEY, MODEL
from bench.processes import ROOT, Process, start_stand_in

ENGINES = 4
CLIENTS = 4


class StreamTimes(msgspec.Struct, kw_only=True):
    """Timings of one stream at the caller, in seconds of `time.monotonic()`."""

    sent_at: float
    stream: str = ""
    first_at: float = 0.0
    ended_at: float = 0.0
    tokens: int = 0
    complete: bool = False


class ClientPlan(msgspec.Struct, kw_only=True):
    """The streams to be opened by one client process."""

    urls: list[str]
    start_times: list[float]
    max_tokens: int


def open_stream(url: str, number: int, max_tokens: int) -> socket.socket:
    """Sends a streaming request and returns the non-blocking connection."""
    body = json.dumps(
        {
            "model": MODEL,
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": f"{number} {time.monotonic()}"}],
        }
    )
    parts = urlsplit(url)
    connection = socket.create_connection((parts.hostname, parts.port))
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    connection.sendall(head.encode() + body.encode())
    connection.setblocking(False)
    return connection


def run_client(plan: ClientPlan) -> list[StreamTimes]:
    """Opens the streams at their start times and reads them to the end."""
    selector = selectors.EpollSelector()
    results: list[StreamTimes] = []
    waiting = list(enumerate(plan.start_times))
    open_streams = 0
    while waiting or open_streams:
        while waiting and waiting[0][1] <= time.monotonic():
            number, _ = waiting.pop(0)
            times = StreamTimes(sent_at=time.monotonic())
            url = plan.urls[number % len(plan.urls)]
            connection = open_stream(url, number, plan.max_tokens)
            selector.register(connection, selectors.EVENT_READ, times)
            results.append(times)
            open_streams += 1
        wait_s = max(0.0, waiting[0][1] - time.monotonic()) if waiting else 1.0
        for key, _ in selector.select(wait_s):
            if not receive(key.fileobj, key.data):
                selector.unregister(key.fileobj)
                key.fileobj.close()
                open_streams -= 1
    return results


def receive(connection: socket.socket, times: StreamTimes) -> bool:
    """Reads the available data; returns False at the end of the stream."""
    received = connection.recv(65_536)
    now = time.monotonic()
    if not received:
        return False
    tokens = received.count(b'"content":"')
    if tokens and not times.tokens:
        times.first_at = now
        times.stream = received.partition(b'{"id":"')[2].partition(b'"')[0].decode()
    times.tokens += tokens
    times.ended_at = now
    times.complete = times.complete or b"[DONE]" in received
    return True


def run_clients(urls: list[str], *, streams: int, arguments) -> list[StreamTimes]:
    """Runs the streams, distributed over up to `CLIENTS` client processes."""
    started_at = time.monotonic() + 1.0
    interval_s = arguments.arrival_s / streams
    clients = []
    for index in range(min(CLIENTS, streams)):
        numbers = range(index, streams, CLIENTS)
        plan = ClientPlan(
            urls=urls[index % len(urls) :] + urls[: index % len(urls)],
            start_times=[started_at + number * interval_s for number in numbers],
            max_tokens=arguments.max_tokens,
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.relay_speed", "--client"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        process.stdin.write(msgspec.json.encode(plan))
        process.stdin.close()
        clients.append(process)
    results = []
    for process in clients:
        results += msgspec.json.decode(process.stdout.read(), type=list[StreamTimes])
        process.wait()
    return results


def quantile(values: list[float], share: float) -> float:
    """Returns the quantile `share` of unsorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Figures(msgspec.Struct, kw_only=True):
    """Results of one run; latencies are in milliseconds."""

    path: str
    streams: int
    complete: int
    tokens_per_s: float
    first_token_p50: float
    first_token_p95: float
    overhead_p50: float
    overhead_p95: float
    router_cpu_s: float = 0.0


def summarize(path: str, results: list[StreamTimes], engines: list[Process]) -> Figures:
    """Combines caller and engine timings; excludes streams without a token."""
    executions = {}
    for engine in engines:
        listed = urllib3.request("GET", engine.url + "/executions").json()
        executions.update({entry["stream"]: entry for entry in listed})
    results = [result for result in results if result.tokens]
    first = [(r.first_at - r.sent_at) * 1e3 for r in results]
    overhead = []
    for result in results:
        execution = executions[result.stream]
        request_delay = execution["received_at"] - result.sent_at
        response_delay = result.first_at - execution["first_token_at"]
        overhead.append((request_delay + response_delay) * 1e3)
    duration_s = max(r.ended_at for r in results) - min(r.sent_at for r in results)
    return Figures(
        path=path,
        streams=len(results),
        complete=sum(r.complete for r in results),
        tokens_per_s=sum(r.tokens for r in results) / duration_s,
        first_token_p50=quantile(first, 0.5),
        first_token_p95=quantile(first, 0.95),
        overhead_p50=quantile(overhead, 0.5),
        overhead_p95=quantile(overhead, 0.95),
    )


def cpu_seconds(process: Process) -> float:
    """Returns the CPU time used by a process."""
    with open(f"/proc/{process.popen.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def measure(streams: int, arguments) -> tuple[Figures, Figures]:
    """Measures `streams` streams, directly and through the router."""
    engines = [
        start_stand_in(
            "engine",
            *("--model", MODEL, "--slots", "200", "--threads", "210"),
            *("--token-ms", str(arguments.token_ms), "--prefill-us", "0"),
        )
        for _ in range(ENGINES)
    ]
    urls = [engine.url for engine in engines]
    options = [option for url in urls for option in ("--engine", url)]
    router = Process(name="router", arguments=["-m", "bench.local_router", *options])
    try:
        direct = run_clients(urls, streams=streams, arguments=arguments)
        before = cpu_seconds(router)
        relayed = run_clients([router.url], streams=streams, arguments=arguments)
        used = cpu_seconds(router) - before
        through = summarize("router", relayed, engines)
        through.router_cpu_s = used
        return summarize("direct", direct, engines), through
    finally:
        router.stop()
        for engine in engines:
            engine.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--client", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--streams", type=int, nargs="+", default=[1, 50, 200])
    parser.add_argument("--arrival-s", type=float, default=5.0)
    parser.add_argument("--token-ms", type=float, default=30.0)
    parser.add_argument("--max-tokens", type=int, default=200)
    arguments = parser.parse_args()
    if arguments.client:
        plan = msgspec.json.decode(sys.stdin.buffer.read(), type=ClientPlan)
        sys.stdout.buffer.write(msgspec.json.encode(run_client(plan)))
        return
    print(
        "streams  path    complete  tokens/s  first token p50/p95 ms"
        "  overhead p50/p95 ms  added p95 ms  router CPU s"
    )
    for streams in arguments.streams:
        direct, router = measure(streams, arguments)
        for row in (direct, router):
            added = row.overhead_p95 - direct.overhead_p95
            print(
                f"{row.streams:7}  {row.path:6}  {row.complete:8}"
                f"  {row.tokens_per_s:8.0f}"
                f"  {row.first_token_p50:11.1f} /{row.first_token_p95:8.1f}"
                f"  {row.overhead_p50:10.1f} /{row.overhead_p95:7.1f}"
                f"  {added:12.1f}  {row.router_cpu_s:12.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
