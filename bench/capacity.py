"""Prints the costs at the target size from the lines in `measurements/`.

`python -m bench.capacity` applies the formulas of docs/CAPACITY.md to them.
"""

from pathlib import Path

from bench.fits import RESULTS, Fit, Results
from lagoonrill._internal.protocol.codec import from_json

DAEMONS = 390
WORKERS = 600
REQUESTS_S = 6_400
STREAMS = 475
TEAMS = 410
MODELS = 5
CHANGES_S = 500 / 86_400
KEYED_SHARE = 0.05
LINKS = 22
HEARTBEAT_S = 1.0
LIST_BYTES_S = 2_000
# A daemon reads its manifest at this rate, if it is large (rollout module).
FULL_READ_BYTES_S = 1_000
MARK_POLL_S = 2.0
WATCH_S = 20.0
STATUS_S = 10.0
RETENTION_S = 86_400
SHARDS = 16
APPEND_INTERVAL_S = 0.06


class Lines:
    """The fitted lines by name."""

    def __init__(self, folder: Path):
        self.fits: dict[str, Fit] = {}
        for path in sorted(folder.glob("*_cost.json")):
            results = from_json(path.read_bytes(), Results)
            self.fits |= {fit.name: fit for fit in results.fits}

    def slope(self, name: str) -> float:
        return self.fits[name].slope

    def at(self, name: str, size: float) -> float:
        return self.fits[name].at(size)


def print_rows(title: str, rows: dict[str, float], budget: float) -> None:
    """Prints one table with its sum."""
    print(f"{title} (budget {budget:g})")
    for name, value in rows.items():
        print(f"  {name:<48}{value:12.3f}")
    print(f"  {'sum':<48}{sum(rows.values()):12.3f}", flush=True)


def cpu_percent(lines: Lines) -> dict[str, float]:
    """Returns the control work of one daemon in percent of a core."""
    requests_s = REQUESTS_S / DAEMONS
    keyed_s = requests_s * KEYED_SHARE
    polled = 2 * WORKERS / DAEMONS
    return {
        "membership, 22 links": lines.slope("cpu_percent per peer") * LINKS,
        # A large fleet polls half as often as the measured endpoints.
        "endpoint monitor": lines.slope("cpu_percent per endpoint") * polled / 2,
        "membership table": lines.at("table tick ms per member", DAEMONS) / 10,
        "slot shares": lines.at("update_peers ms per heard peer", LINKS) / 10,
        "queue and dispatch": requests_s
        * lines.at("pick ms per endpoint", WORKERS / MODELS)
        / 10,
        "claims with outcomes": lines.slope("CPU s/s per claims/s") * 100 * keyed_s,
        "stream registry": 2
        * keyed_s
        * lines.at("home_instance ms per member", DAEMONS)
        / 10,
        "configuration": lines.at("apply ms per endpoint", WORKERS) * CHANGES_S / 10,
    }


def traffic_kb_s(lines: Lines) -> dict[str, float]:
    """Returns the control bytes of one daemon in both directions, in KB/s."""
    manifest = lines.at("manifest bytes per team", TEAMS)
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


def memory_mb(lines: Lines) -> dict[str, float]:
    """Returns the memory of one daemon without the keys of claims."""
    return {
        "idle daemon": lines.at("rss_mb per open stream", 0),
        "open streams": lines.slope("rss_mb per open stream") * STREAMS,
        "links": lines.slope("rss_mb per peer") * LINKS,
        "members": lines.at("table bytes per member", DAEMONS) / 1e6,
        "endpoints": lines.at("scheduler bytes per endpoint", WORKERS) / 1e6,
    }


def store_writes(lines: Lines) -> dict[str, float]:
    """Returns the writes a second of all daemons."""
    return {
        "status refresh": DAEMONS / STATUS_S,
        "status of changes": 2 * DAEMONS * CHANGES_S,
        "claims, outcomes and deletions": lines.slope("writes/s per claims/s")
        * REQUESTS_S
        * KEYED_SHARE,
    }


def store_reads(lines: Lines) -> dict[str, float]:
    """Returns the reads and watches a second of all daemons."""
    return {
        "waiting watches": DAEMONS / WATCH_S,
        "watches ended by changes": 3 * DAEMONS * CHANGES_S,
        "polls of the mark": DAEMONS / MARK_POLL_S,
        "full reads of the manifest": DAEMONS
        * 2
        * FULL_READ_BYTES_S
        / lines.at("manifest bytes per team", TEAMS),
        "claims, one instance for a shard": lines.slope("reads/s per claims/s")
        * REQUESTS_S
        * KEYED_SHARE,
    }


def main() -> None:
    """Prints all tables."""
    lines = Lines(RESULTS)
    print_rows("control CPU, % of a core", cpu_percent(lines), 2)
    print_rows("control traffic, KB/s", traffic_kb_s(lines), 13)
    print_rows("memory, MB", memory_mb(lines), 128)
    print_rows("writes/s of all daemons", store_writes(lines), 400)
    print_rows("reads/s of all daemons", store_reads(lines), 2_000)
    keys = REQUESTS_S * KEYED_SHARE * RETENTION_S
    key_bytes = lines.slope("claim bytes per key, answer of 200 bytes")
    print(f"keys of a day {keys / 1e6:.1f} M, {keys * key_bytes / 1e9:.1f} GB,")
    print(f"{keys * key_bytes / SHARDS / 1e9:.2f} GB a shard; ", end="")
    free = 128e6 - sum(memory_mb(lines).values()) * 1e6
    print(f"{free / key_bytes / RETENTION_S:.2f} keyed calls/s fill what is free")
    batched = 2 * SHARDS / APPEND_INTERVAL_S
    print(f"claim writes at one append and deletion per 60 ms a shard: {batched:.0f}/s")


if __name__ == "__main__":
    main()
