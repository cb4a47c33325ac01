"""Measures the cost of a manifest change for different numbers of daemons.

`python -m bench.change_cost` applies manifests that each add one team, and counts the
store calls in excess of those of idle daemons. The results are written to
`measurements/change_cost.json`.
"""

import time

from bench.daemon_cost import store_stats
from bench.demo import run_tool
from bench.fits import fit_line, start_results, write_results
from bench.fleet import Fleet, digest
from lagoonrill._internal.protocol.codec import to_json
from lagoonrill._internal.protocol.manifest import Team

DAEMON_COUNTS = (1, 2, 4, 8)
CHANGES = 5
IDLE_S = 5.0
SETTLE_S = 2.0


def apply_change(fleet: Fleet, number: int) -> float:
    """Applies a changed manifest and returns the time until acceptance in seconds."""
    name, manifest = f"change-{number}", fleet.manifest()
    manifest.teams.append(Team(name=name, key_digests=[digest(name)]))
    path = fleet.folder / f"{name}.json"
    path.write_bytes(to_json(manifest))
    began = time.monotonic()
    result = run_tool(fleet, "apply", str(path))
    if result.returncode:
        raise RuntimeError(result.stdout + result.stderr)
    return time.monotonic() - began


class CallCounts:
    """Counts store reads, writes and watches since its construction."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.began = time.monotonic()
        self.stats = store_stats(fleet)

    def since(self) -> tuple[list[int], float]:
        now = store_stats(self.fleet)
        counts = [
            getattr(now, name) - getattr(self.stats, name)
            for name in ("reads", "writes", "watches")
        ]
        return counts, time.monotonic() - self.began


def measure(count: int) -> list[float]:
    """Returns mean reads, writes and watches of a change, and the longest duration."""
    with Fleet(
        zones=("tunis-a",),
        instances_per_zone=count,
        watch_wait_s=20.0,
        log_level="warning",
    ) as fleet:
        apply_change(fleet, 0)
        fleet.wait_ready()
        time.sleep(SETTLE_S)
        idle = CallCounts(fleet)
        time.sleep(IDLE_S)
        idle_counts, idle_s = idle.since()
        changes = CallCounts(fleet)
        times = [apply_change(fleet, number) for number in range(1, CHANGES + 1)]
        counts, elapsed = changes.since()
    costs = [
        (busy - idle_count * elapsed / idle_s) / CHANGES
        for busy, idle_count in zip(counts, idle_counts, strict=True)
    ]
    return [*costs, max(times)]


def main() -> None:
    """Measures fleets of all sizes and writes the fitted lines."""
    results = start_results("change_cost")
    points = [measure(count) for count in DAEMON_COUNTS]
    names = ("reads", "writes", "watches", "longest seconds")
    for name, values in zip(names, zip(*points, strict=True), strict=True):
        line = fit_line(f"{name} of a change per daemon", DAEMON_COUNTS, list(values))
        results.fits.append(line)
        print(line, line.y)
    write_results(results)


if __name__ == "__main__":
    main()
