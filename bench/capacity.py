"""Extrapolates the fitted lines in `measurements/` to the target size.

`python -m bench.capacity` applies the formulas of docs/CAPACITY.md and prints the
costs.
"""

from pathlib import Path

from bench.fits import RESULTS, Fit, Results
from lagoonrill._internal.protocol.codec import from_json

DAEMONS = 390
WORKERS = 600
REQUESTS_S = 6_400
STREAMS = 475
TOKENS_S = 6_700
TEAMS = 410
MODELS = 5
CHANGES_S = 500 / 86_400
KEYED_SHARE = 0.05
LINKS = 22
HEARTBEAT_S = 1.0
LIST_BYTES_S = 2_000
# The rollout module limits full reads of a large manifest to this rate per daemon.
FULL_READ_BYTES_S = 1_000
MARK_POLL_S = 2.0
WATCH_S = 20.0
STATUS_S = 10.0
RETENTION_S = 86_400
SHARDS = 16
APPEND_INTERVAL_S = 0.06


class FittedLines:
    """Loads the fitted lines of all cost commands and looks them up by name."""

    def __init__(self, folder: Path):
        self.fits: dict[str, Fit] = {}
        for path in sorted(folder.glob("*_cost.json")):
            results = from_json(path.read_bytes(), Results)
            self.fits |= {fit.name: fit for fit in results.fits}

    def slope(self, name: str) -> float:
        return self.fits[name].slope

    def predict(self, name: str, size: float) -> float:
        return self.fits[name].predict(size)


def print_rows(title: str, rows: dict[str, float], budget: float) -> None:
    """Prints a table of costs with their sum."""
    print(f"| {title} | budget {budget:g} |")
    print("|---|---:|")
    for name, value in rows.items():
        print(f"| {name} | {value:.2f} |")
    print(f"| **sum** | **{sum(rows.values()):.2f}** |")
    print(flush=True)


def cpu_percent(lines: FittedLines) -> dict[str, float]:
    """Returns the control-plane CPU time of one daemon in percent of a core."""
    requests_s = REQUESTS_S / DAEMONS
    keyed_s = requests_s * KEYED_SHARE
    polled = 2 * WORKERS / DAEMONS
    return {
        "membership, 22 links": lines.slope("cpu_percent per peer") * LINKS,
        # Endpoints are polled half as often in a large fleet as in the measurement.
        "endpoint monitor": lines.slope("cpu_percent per endpoint") * polled / 2,
        "membership table": lines.predict("table tick ms per member", DAEMONS) / 10,
        "slot shares": lines.predict("update_peers ms per heard peer", LINKS) / 10,
        "queue and dispatch": requests_s
        * lines.predict("pick ms per endpoint", WORKERS / MODELS)
        / 10,
        "claims with outcomes": lines.slope("CPU s/s per claims/s") * 100 * keyed_s,
        "stream registry": 2
        * keyed_s
        * lines.predict("home_instance ms per member", DAEMONS)
        / 10,
        "configuration": lines.predict("apply ms per endpoint", WORKERS)
        * CHANGES_S
        / 10,
    }


def traffic_kb_s(lines: FittedLines) -> dict[str, float]:
    """Returns the control-plane traffic of one daemon, both directions, in KB/s."""
    manifest = lines.predict("manifest bytes per team", TEAMS)
    polled = 2 * WORKERS / DAEMONS
    poll_bytes = lines.slope("sent_bytes_s per endpoint") + lines.slope(
        "received_bytes_s per endpoint"
    )
    peers = lines.slope("sent_bytes_s per peer")
    rows = {
        "heartbeats sent": peers * LINKS,
        "heartbeats received": lines.slope("received_bytes_s per peer") * LINKS,
        "endpoint polls": poll_bytes * polled / 2,
        "Instance list": LIST_BYTES_S,
        "full reads of the manifest": FULL_READ_BYTES_S,
        "proposals and commits": 2 * manifest * CHANGES_S,
        "claims with outcomes": lines.slope("bytes/s per claims/s")
        * REQUESTS_S
        / DAEMONS
        * KEYED_SHARE,
    }
    return {name: value / 1e3 for name, value in rows.items()}


def memory_mb(lines: FittedLines) -> dict[str, float]:
    """Returns the memory of one daemon in MB, excluding stored claim keys."""
    return {
        "idle daemon": lines.predict("rss_mb per open stream", 0),
        "open streams": lines.slope("rss_mb per open stream") * STREAMS,
        "links": lines.slope("rss_mb per peer") * LINKS,
        "stream records, at the registry's bound": 12.6,
        "metrics": 0.9,
        "members": lines.predict("table bytes per member", DAEMONS) / 1e6,
        "endpoints": lines.predict("scheduler bytes per endpoint", WORKERS) / 1e6,
    }


def store_writes(lines: FittedLines) -> dict[str, float]:
    """Returns the store writes per second of all daemons."""
    return {
        "status refresh": DAEMONS / STATUS_S,
        "status of changes": 2 * DAEMONS * CHANGES_S,
        "claims, outcomes and deletions": lines.slope("writes/s per claims/s")
        * REQUESTS_S
        * KEYED_SHARE,
    }


def store_reads(lines: FittedLines) -> dict[str, float]:
    """Returns the store reads and watches per second of all daemons."""
    return {
        "waiting watches": DAEMONS / WATCH_S,
        "watches ended by changes": 3 * DAEMONS * CHANGES_S,
        "polls of the mark": DAEMONS / MARK_POLL_S,
        "full reads of the manifest": DAEMONS
        * 2
        * FULL_READ_BYTES_S
        / lines.predict("manifest bytes per team", TEAMS),
        "claims, one instance for a shard": lines.slope("reads/s per claims/s")
        * REQUESTS_S
        * KEYED_SHARE,
    }


def main() -> None:
    """Prints all tables."""
    lines = FittedLines(RESULTS)
    print_rows("control CPU, % of a core", cpu_percent(lines), 2)
    print_rows("control traffic, KB/s", traffic_kb_s(lines), 13)
    print_rows("memory, MB", memory_mb(lines), 128)
    print_rows("writes/s of all daemons", store_writes(lines), 400)
    print_rows("reads/s of all daemons", store_reads(lines), 2_000)
    print_claims(lines)
    print_tokens(lines)


def print_claims(lines: FittedLines) -> None:
    """Prints the rates of keyed calls at which memory and store writes run out."""
    keys = REQUESTS_S * KEYED_SHARE * RETENTION_S
    key_bytes = lines.slope("claim bytes per key, answer of 200 bytes")
    free = 128e6 - sum(memory_mb(lines).values()) * 1e6
    others = sum(store_writes(lines).values())
    per_call = lines.slope("writes/s per claims/s")
    others -= per_call * REQUESTS_S * KEYED_SHARE
    batched = 2 * SHARDS / APPEND_INTERVAL_S
    print(
        f"- keys of 24 h: {keys / 1e6:.1f} M, {keys * key_bytes / 1e9:.1f} GB in all,"
    )
    print(f"  {keys * key_bytes / SHARDS / 1e9:.2f} GB a shard")
    print(f"- free memory {free / 1e6:.1f} MB: {free / key_bytes:.0f} keys, which")
    print(f"  {free / key_bytes / RETENTION_S:.2f} keyed calls/s fill in 24 h")
    print(
        f"- 400 writes/s are reached at {(400 - others) / per_call:.0f} keyed calls/s"
    )
    print(f"- one append and one deletion per shard and 60 ms: {batched:.0f} writes/s")


def print_tokens(lines: FittedLines) -> None:
    """Prints the CPU time of the stream relay, which is data-plane work."""
    rate = lines.predict("cpu_percent per token/s", TOKENS_S)
    streams = lines.predict("cpu_percent per open stream", STREAMS)
    print(f"- relay at {TOKENS_S} tokens/s: {rate:.0f}% of a core by the line over")
    print(f"  tokens, {streams:.0f}% by the line over open streams")


if __name__ == "__main__":
    main()
