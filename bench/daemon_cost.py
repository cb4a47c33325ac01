"""Measures the resource use of daemon processes, idle and with open streams.

`python -m bench.daemon_cost` starts fleets as processes and writes the fitted lines to
`measurements/daemon_cost.json`. CPU time and memory are those that the kernel reports
for one daemon; store calls are counted by the Object API stand-in.
"""

import argparse
import json
import selectors
import socket
import time
from urllib.parse import urlsplit

import msgspec
import psutil
import urllib3

from bench.demo import run_tool
from bench.fits import Results, fit_line, start_results, write_results
from bench.fleet import MODEL, TEAM_KEYS, Fleet
from standins.object_store import Stats

DAEMON_COUNTS = (1, 2, 4, 8)
# Covers two periods of status writes and one full watch timeout.
IDLE_S = 20.0
STREAM_COUNTS = (0, 50, 100, 200)
# Token gaps that vary the token rate of FIXED_STREAMS streams.
TOKEN_GAPS_MS = (36.0, 72.0, 144.0, 288.0)
FIXED_STREAMS = 100
TARGET_GAP_MS = 72.0
ENGINES = 2
ENGINE_SLOTS = 200
WATCH_WAIT_S = 20.0
SETTLE_S = 3.0


class DaemonFigures(msgspec.Struct, kw_only=True):
    """Resource use of one daemon, and store calls of all daemons, in one run."""

    cpu_percent: float = 0.0
    rss_mb: float = 0.0
    threads: int = 0
    reads_s: float = 0.0
    writes_s: float = 0.0
    watches_s: float = 0.0
    waiting_watches: float = 0.0
    tokens_s: float = 0.0


def store_stats(fleet: Fleet) -> Stats:
    """Returns the counters of the Object API stand-in."""
    data = urllib3.request("GET", f"{fleet.store.url}/stats").data
    return msgspec.json.decode(data, type=Stats)


def first_daemon(fleet: Fleet) -> psutil.Process:
    return psutil.Process(next(iter(fleet.daemons.values())).process.popen.pid)


def cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def apply(fleet: Fleet) -> float:
    """Applies the manifest and returns the time until acceptance in seconds."""
    began = time.monotonic()
    result = run_tool(fleet, "apply", str(fleet.write_manifest()))
    if result.returncode:
        raise RuntimeError(result.stdout + result.stderr)
    return time.monotonic() - began


def measure_over(fleet: Fleet, seconds: float, wait) -> DaemonFigures:
    """Measures the first daemon while `wait(seconds)` runs."""
    process = first_daemon(fleet)
    stats, cpu_s, began = store_stats(fleet), cpu_seconds(process), time.monotonic()
    tokens = wait(seconds) or 0
    elapsed = time.monotonic() - began
    after = store_stats(fleet)
    return DaemonFigures(
        cpu_percent=100 * (cpu_seconds(process) - cpu_s) / elapsed,
        rss_mb=process.memory_info().rss / 1e6,
        threads=process.num_threads(),
        reads_s=(after.reads - stats.reads) / elapsed,
        writes_s=(after.writes - stats.writes) / elapsed,
        watches_s=(after.watches - stats.watches) / elapsed,
        waiting_watches=after.waiting_watches,
        tokens_s=tokens / elapsed,
    )


class DaemonBench:
    """Measures fleets of different sizes and collects the fitted lines."""

    def __init__(self, *, results: Results, seconds: float):
        self.results = results
        self.seconds = seconds

    def fit(self, name: str, sizes: list, values: list[float]) -> None:
        line = fit_line(name, list(sizes), list(values))
        self.results.fits.append(line)
        print(f"  {line}", flush=True)

    def fit_fields(self, unit: str, runs: dict[float, DaemonFigures], *fields) -> None:
        for field in fields:
            values = [getattr(figures, field) for figures in runs.values()]
            self.fit(f"{field} per {unit}", list(runs), values)

    def run_idle(self) -> None:
        """Measures idle daemons against the number of daemons."""
        runs = {}
        for count in DAEMON_COUNTS:
            with Fleet(
                zones=("tunis-a",),
                instances_per_zone=count,
                watch_wait_s=WATCH_WAIT_S,
                log_level="warning",
            ) as fleet:
                apply(fleet)
                fleet.wait_ready()
                time.sleep(SETTLE_S)
                runs[count] = measure_over(fleet, IDLE_S, time.sleep)
            print(f"{count} daemons {runs[count]}", flush=True)
        fields = ("cpu_percent", "rss_mb", "reads_s", "writes_s", "watches_s")
        self.fit_fields("daemon", runs, *fields, "waiting_watches")

    def run_streams(self) -> None:
        """Measures a daemon against its open streams and against the token rate."""
        runs = {n: self.streams(n, TARGET_GAP_MS) for n in STREAM_COUNTS}
        self.fit_fields("open stream", runs, "cpu_percent", "rss_mb")
        other_gaps = [gap for gap in TOKEN_GAPS_MS if gap != TARGET_GAP_MS]
        gaps = [self.streams(FIXED_STREAMS, gap) for gap in other_gaps]
        gaps.append(runs[FIXED_STREAMS])
        by_rate = {figures.tokens_s: figures for figures in gaps}
        self.fit_fields("token/s", by_rate, "cpu_percent")

    def streams(self, count: int, gap_ms: float) -> DaemonFigures:
        """Measures a daemon while it relays `count` streams."""
        with Fleet(
            zones=("tunis-a",),
            engines_per_zone=ENGINES,
            engine_slots=ENGINE_SLOTS,
            token_ms=gap_ms,
            watch_wait_s=WATCH_WAIT_S,
            log_level="warning",
        ) as fleet:
            apply(fleet)
            fleet.wait_ready()
            url = next(iter(fleet.daemons.values())).callers_url
            # Enough tokens that no stream ends before the run does.
            tokens = int((self.seconds + 2 * SETTLE_S + 10) * 1_000 / gap_ms)
            reader = StreamReader(url=url, count=count, tokens=tokens)
            reader.read(SETTLE_S)
            figures = measure_over(fleet, self.seconds, reader.read)
            open_streams = reader.close()
        print(
            f"{count} streams, {open_streams} open, {gap_ms} ms {figures}", flush=True
        )
        if open_streams != count:
            raise RuntimeError(f"{count - open_streams} streams ended early")
        return figures


class StreamReader:
    """Opens streams and reads them all in the calling thread."""

    def __init__(self, *, url: str, count: int, tokens: int):
        self.selector = selectors.EpollSelector()
        self.connections = []
        for number in range(count):
            connection = self._open(url, number, tokens)
            self.selector.register(connection, selectors.EVENT_READ)
            self.connections.append(connection)
            time.sleep(0.01)

    def _open(self, url: str, number: int, tokens: int) -> socket.socket:
        body = json.dumps(
            {
                "model": MODEL,
                "stream": True,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": f"stream {number}"}],
            }
        )
        parts = urlsplit(url)
        connection = socket.create_connection((parts.hostname, parts.port))
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
            f"Authorization: Bearer {TEAM_KEYS['sales']}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection.sendall(head.encode() + body.encode())
        connection.setblocking(False)
        return connection

    def read(self, seconds: float) -> int:
        """Reads for `seconds` and returns the number of tokens received."""
        until = time.monotonic() + seconds
        tokens = 0
        while (left := until - time.monotonic()) > 0:
            for key, _ in self.selector.select(min(left, 0.5)):
                received = key.fileobj.recv(65_536)
                tokens += received.count(b'"content":"')
                if not received or b"[DONE]" in received or b'"error"' in received:
                    self.selector.unregister(key.fileobj)
        return tokens

    def close(self) -> int:
        """Closes all streams and returns the number that were still open."""
        still_open = len(self.selector.get_map())
        for connection in self.connections:
            connection.close()
        self.selector.close()
        return still_open


def main() -> None:
    """Runs all measurements and writes the fitted lines."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    results = start_results("daemon_cost")
    bench = DaemonBench(results=results, seconds=arguments.seconds)
    bench.run_idle()
    bench.run_streams()
    write_results(results)


if __name__ == "__main__":
    main()
