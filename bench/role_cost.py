"""Measures the components of a daemon that need no network at increasing sizes.

`python -m bench.role_cost` runs each component in this process and writes the fitted
lines to `measurements/role_cost.json`. Times are CPU times in milliseconds.
"""

import gc
import io
import time
import tracemalloc
from collections.abc import Callable

import logbook

from bench.fits import Results, fit_line, start_results, write_results
from bench.pick_cost import TIERS, build_scheduler, measure as measure_pick
from lagoonrill._internal.coordination.peer_choice import choose_links
from lagoonrill._internal.protocol.claim_records import (
    ClaimBatch,
    ClaimRecord,
    OutcomeRecord,
)
from lagoonrill._internal.protocol.codec import from_json, to_json
from lagoonrill._internal.protocol.manifest import (
    Endpoint,
    LatencyTarget,
    Manifest,
    RequestClass,
    Team,
)
from lagoonrill._internal.protocol.messages import EndpointUse, Heartbeat
from lagoonrill._internal.protocol.objects import ListedInstance
from lagoonrill._internal.state.claim_log import ShardState
from lagoonrill._internal.state.membership_table import ListedMember, MembershipTable
from lagoonrill._internal.state.metrics import Metrics
from lagoonrill._internal.state.slots import Division, SlotShares
from lagoonrill._internal.state.stream_registry import StreamRecord, home_instance

ZONES = 8
TARGET_MEMBERS = 390
TARGET_ENDPOINTS = 600
POOL_ENDPOINTS = (10, 50, 100, 200, 400)
WAITING = (10, 100, 1_000, 4_000)
TEAMS = (10, 100, 200, 410)
MEMBERS = (50, 100, 200, 390)
# Numbers of peers whose heartbeats are received. An instance of a large fleet has
# about 22 links.
HEARD = (4, 8, 16, 23)
ENDPOINTS = (75, 150, 300, 600)
FLEET_SIZES = (4, 8, 16, 32, 64, 128, 256, 390)
KEYS = (5_000, 10_000, 20_000, 40_000)
RECORDS = (5_000, 10_000, 20_000, 40_000)
ANSWER_BYTES = 200
SLOTS = 309


def time_ms(function: Callable[[], object], rounds: int) -> float:
    """Returns the mean CPU time of a call in milliseconds."""
    function()
    started = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - started) / rounds * 1e3


def memory_bytes(build: Callable[[], object]) -> float:
    """Returns the number of bytes held by the result of `build`."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


class RoleBench:
    """Measures the components and collects the fitted lines."""

    def __init__(self, *, results: Results):
        self.results = results

    def fit(self, name: str, sizes: tuple, cost: Callable[[int], float]) -> None:
        """Measures `cost` at each size, fits a line and adds it to the results."""
        line = fit_line(name, list(sizes), [cost(size) for size in sizes])
        self.results.fits.append(line)
        print(line, [round(value, 4) for value in line.y], flush=True)

    def run(self) -> None:
        """Measures all components."""
        self.run_scheduler()
        self.run_shares()
        self.run_membership()
        self.run_configuration()
        self.run_records()
        self.run_output()

    def run_scheduler(self) -> None:
        """Measures a release and a submit with 475 open streams."""

        def pick_ms(teams: int, endpoints: int, waiting: int) -> float:
            return sum(measure_pick(teams, endpoints, waiting, 500, "default")) / 1e3

        self.fit("pick ms per endpoint", POOL_ENDPOINTS, lambda n: pick_ms(410, n, 100))
        self.fit("pick ms per team", TEAMS, lambda n: pick_ms(n, 100, 100))
        self.fit("pick ms per waiting", WAITING, lambda n: pick_ms(410, 100, n))

    def run_shares(self) -> None:
        """Measures the update of the slot shares in a heartbeat round."""
        self.fit(
            "update_peers ms per heard peer",
            HEARD,
            lambda n: update_peers_ms(n, TARGET_ENDPOINTS),
        )
        self.fit(
            "update_peers ms per endpoint", ENDPOINTS, lambda n: update_peers_ms(22, n)
        )
        self.fit(
            "update_peers ms per member, all heard",
            MEMBERS,
            lambda n: update_peers_ms(n, TARGET_ENDPOINTS),
        )
        self.fit("new members ms per member", MEMBERS, new_members_ms)
        self.fit("shares handed out per slot", FLEET_SIZES, shares_handed_out)

    def run_membership(self) -> None:
        """Measures membership table, link selection and Instance list decoding."""
        self.fit("table tick ms per member", MEMBERS, table_tick_ms)
        self.fit("choose_links ms per member", MEMBERS, choose_links_ms)
        self.fit("links per member", MEMBERS, lambda n: mean_links(n))
        self.fit(
            "table bytes per member", MEMBERS, lambda n: memory_bytes(lambda: table(n))
        )
        self.fit("Instance list ms per entry", (100, 250, 500, 990), instance_list_ms)

    def run_configuration(self) -> None:
        """Measures the size of a manifest and the cost of applying it."""
        self.fit(
            "manifest bytes per team", TEAMS, lambda n: len(to_json(manifest(n, 600)))
        )
        self.fit("apply ms per team", TEAMS, lambda n: apply_ms(n, 600))
        self.fit("apply ms per endpoint", ENDPOINTS, lambda n: apply_ms(410, n))
        self.fit(
            "scheduler bytes per endpoint",
            ENDPOINTS,
            lambda n: memory_bytes(lambda: scheduler_with(manifest(410, n))),
        )

    def run_records(self) -> None:
        """Measures the memory of claims and stream records."""
        self.fit(
            "claim bytes per key, answer of 200 bytes",
            KEYS,
            lambda n: memory_bytes(lambda: claims(n)),
        )
        self.fit(
            "registry bytes per stream",
            RECORDS,
            lambda n: memory_bytes(lambda: stream_records(n)),
        )
        names = [f"entry-z{n % ZONES}-{n}" for n in range(TARGET_MEMBERS)]
        self.fit(
            "home_instance ms per member",
            MEMBERS,
            lambda n: time_ms(lambda: home_instance("s", names[:n]), 50),
        )

    def run_output(self) -> None:
        """Measures recording and exposing metrics, and writing log lines."""
        classes = manifest(1, 1).classes
        metrics = Metrics()
        for item in classes:
            metrics.record_request(item, result="ok", first_token_s=0.1)
        record_ms = time_ms(
            lambda: metrics.record_request(
                classes[0],
                result="ok",
                first_token_s=0.1,
                token_gap_s=0.02,
                whole_answer_s=3.0,
                useful_tokens=400,
            ),
            5_000,
        )
        with logbook.StreamHandler(io.StringIO()).applicationbound():
            logger = logbook.Logger("bench")
            log_ms = time_ms(lambda: logger.info("request {} ended", 1), 2_000)
        page_ms = time_ms(metrics.exposition, 20)
        size = memory_bytes(lambda: metrics_of(classes))
        self.results.figures = {
            "metrics record ms": record_ms,
            "metrics page ms, 7 classes": page_ms,
            "metrics bytes, 7 classes": size,
            "log line ms": log_ms,
        }
        print(self.results.figures)


def metrics_of(classes: list[RequestClass]) -> Metrics:
    metrics = Metrics()
    for item in classes:
        metrics.record_request(
            item, result="ok", first_token_s=0.1, token_gap_s=0.02, whole_answer_s=3.0
        )
    return metrics


def members(count: int) -> dict[str, str]:
    return {f"entry-{n:03}": f"z{n % ZONES}" for n in range(count)}


def uses_of(peers: int, endpoints: int) -> dict[str, list[EndpointUse]]:
    """Returns the uses of 75 endpoints (one zone) for each peer."""
    return {
        f"entry-{peer:03}": [
            EndpointUse(endpoint=f"llm-{n % endpoints:03}", in_use=1, waiting=0)
            for n in range(peer, peer + 75)
        ]
        for peer in range(1, peers + 1)
    }


def shares_of(endpoints: int) -> SlotShares:
    shares = SlotShares(instance="entry-000")
    shares.apply_endpoints(manifest(1, endpoints).endpoints)
    return shares


def update_peers_ms(peers: int, endpoints: int) -> float:
    """Times a heartbeat round without membership changes."""
    shares, uses = shares_of(endpoints), uses_of(peers, endpoints)
    return time_ms(lambda: shares.update_peers(uses), 10)


def new_members_ms(count: int) -> float:
    """Times a heartbeat round after a membership change, which recomputes hashes."""
    shares = shares_of(TARGET_ENDPOINTS)
    first, second = uses_of(count, TARGET_ENDPOINTS), uses_of(count - 1, 600)

    def change() -> None:
        shares.update_peers(first)
        shares.update_peers(second)

    return time_ms(change, 2) / 2


def shares_handed_out(count: int) -> float:
    """Returns the sum of all instances' base shares, relative to an endpoint's slots.

    Each instance divides the slots among itself and the peers that it is linked to.
    """
    zones = members(count)
    total = 0
    for name, zone in zones.items():
        heard = [name, *choose_links(name, zone, zones)]
        division = Division(endpoint_id="llm-000", slots=SLOTS, members=heard)
        total += division.base(name)
    return total / SLOTS


def mean_links(count: int) -> float:
    zones = members(count)
    links = [len(choose_links(name, zones[name], zones)) for name in zones]
    return sum(links) / count


def table(count: int) -> MembershipTable:
    """Returns a table with 22 linked members that have sent heartbeats."""
    table = MembershipTable(
        instance="entry-000", zone="z0", suspect_after_s=2.0, drop_after_s=6.0
    )
    zones = members(count)
    listed = [
        ListedMember(instance=name, zone=zone, peer_address=f"10.0.0.1:{n}")
        for n, (name, zone) in enumerate(zones.items())
    ]
    table.update_listed(listed, 1.0)
    linked = set(list(zones)[1:23])
    table.set_linked(linked, 1.0)
    for name in linked:
        table.apply_heartbeat(
            Heartbeat(
                instance=name,
                zone=zones[name],
                incarnation=1,
                sequence=1,
                generation=1,
            ),
            1.0,
        )
    return table


def table_tick_ms(count: int) -> float:
    """Times the table operations of one heartbeat round."""
    known = table(count)

    def tick() -> None:
        known.advance(1.5)
        known.live()
        known.live_count()

    return time_ms(tick, 200)


def choose_links_ms(count: int) -> float:
    zones = members(count)
    return time_ms(lambda: choose_links("entry-000", "z0", zones), 5)


def instance_list_ms(count: int) -> float:
    """Times decoding a response of the Instance list."""
    answer = to_json(
        [
            ListedInstance(
                id=f"instance-{n}",
                zone="z0",
                role="entry",
                address="http://10.0.0.1:8080",
                peer_address="10.0.0.1:7000",
                state="live",
            )
            for n in range(count)
        ]
    )
    return time_ms(lambda: from_json(answer, list[ListedInstance]), 50)


def manifest(teams: int, endpoints: int) -> Manifest:
    return Manifest(
        classes=[
            RequestClass(
                name=f"c{tier}",
                tier=tier,
                latency=LatencyTarget(first_token_ms=1_600, token_gap_ms=72),
            )
            for tier in range(TIERS)
        ],
        endpoints=[
            Endpoint(
                id=f"llm-{n:03}",
                url=f"http://10.0.{n // 256}.{n % 256}:8000",
                zone=f"z{n % ZONES}",
                slots=SLOTS,
                models=[f"m{n % 5}"],
            )
            for n in range(endpoints)
        ],
        teams=[Team(name=f"team-{n}", key_digests=["0" * 64]) for n in range(teams)],
    )


def scheduler_with(content: Manifest):
    scheduler = build_scheduler(1, 1, "default")
    scheduler.table.apply_manifest(content)
    scheduler.apply_manifest(content)
    return scheduler


def apply_ms(teams: int, endpoints: int) -> float:
    """Times decoding a manifest and applying it to endpoint table and scheduler."""
    content = to_json(manifest(teams, endpoints))
    scheduler = scheduler_with(manifest(teams, endpoints))

    def apply() -> None:
        decoded = from_json(content, Manifest)
        scheduler.table.apply_manifest(decoded)
        scheduler.apply_manifest(decoded)

    return time_ms(apply, 10)


def claims(count: int) -> ShardState:
    """Returns a shard with claims and their outcomes, as decoded by a replica."""
    shard = ShardState()
    for number in range(count):
        key, attempt = number.to_bytes(16, "big"), f"{number:032x}"
        records = [
            ClaimRecord(
                key=key,
                attempt_id=attempt,
                body_digest=key + key,
                expires_at=1e9 + number,
            ),
            OutcomeRecord(
                key=key,
                attempt_id=attempt,
                status=201,
                headers={"Content-Type": "application/json"},
                body=number.to_bytes(ANSWER_BYTES, "big"),
            ),
        ]
        shard.apply(
            number + 1,
            ClaimBatch(
                batch_id=attempt, writer="w", written_at=float(number), records=records
            ),
        )
    # As after a snapshot, which discards the change log.
    shard.forget_changes(count)
    return shard


def stream_records(count: int) -> dict[str, StreamRecord]:
    return {
        f"team-{n}/{n:032x}": StreamRecord(
            endpoint=f"llm-{n % 600}", attempt=1, ended_at=1.0 + n
        )
        for n in range(count)
    }


def main() -> None:
    """Runs all measurements and writes the results."""
    results = start_results("role_cost")
    RoleBench(results=results).run()
    write_results(results)


if __name__ == "__main__":
    main()
