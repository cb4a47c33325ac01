"""Measures the scheduler's cost per request: `python -m bench.pick_cost`.

Times a release and a submit with 475 open streams and increasing numbers of waiting
requests, for up to 410 teams, the target size.
"""

import argparse
import random
import time

from lagoonrill._internal.coordination.policy import build_policy
from lagoonrill._internal.protocol.manifest import (
    Endpoint,
    LatencyTarget,
    Manifest,
    RequestClass,
    Team,
)
from lagoonrill._internal.state.endpoint_table import EndpointTable
from lagoonrill._internal.state.request_queue import Scheduler, Ticket, Usage

OPEN_STREAMS = 475
TIERS = 7


def build_scheduler(teams: int, endpoints: int, policy: str) -> Scheduler:
    """Builds a scheduler with one slot per open stream in total."""
    table = EndpointTable()
    scheduler = Scheduler(
        instance="i1",
        table=table,
        policy=build_policy(policy, zone="z0"),
        max_waiting=100_000,
    )
    base, extra = divmod(OPEN_STREAMS, endpoints)
    manifest = Manifest(
        classes=[
            RequestClass(
                name=f"c{tier}",
                tier=tier,
                latency=LatencyTarget(first_token_ms=600_000),
                max_queue=100_000,
            )
            for tier in range(TIERS)
        ],
        endpoints=[
            Endpoint(
                id=f"e{n}",
                url="",
                zone=f"z{n % 8}",
                slots=base + (n < extra),
                models=["m"],
            )
            for n in range(endpoints)
        ],
        teams=[Team(name=f"t{n}", key_digests=[]) for n in range(teams)],
    )
    table.apply_manifest(manifest)
    scheduler.apply_manifest(manifest)
    return scheduler


def submit(scheduler: Scheduler, draw: random.Random):
    classes = list(scheduler.classes.values())
    now = time.monotonic()
    return scheduler.submit(
        Ticket(
            request_id="",
            team=f"t{draw.randrange(len(scheduler.ledger.teams))}",
            request_class=draw.choice(classes),
            target="m",
            arrived_at=now,
            deadline=now + 1e6,
            prompt_blocks=tuple(draw.getrandbits(60) for _ in range(8)),
        )
    )


def measure(teams: int, endpoints: int, waiting: int, rounds: int, policy: str):
    """Returns the mean times of a release and of a submit in microseconds."""
    draw = random.Random(1)
    scheduler = build_scheduler(teams, endpoints, policy)
    entries = [submit(scheduler, draw) for _ in range(OPEN_STREAMS + waiting)]
    held = [entry for entry in entries if entry.grant]
    pending = [entry for entry in entries if not entry.grant]
    release_s = submit_s = 0.0
    for _ in range(rounds):
        entry = held.pop(draw.randrange(len(held)))
        started_at = time.perf_counter()
        scheduler.release(entry.grant, Usage(tokens=100, token_gap_s=0.02))
        released_at = time.perf_counter()
        pending.append(submit(scheduler, draw))
        submit_s += time.perf_counter() - released_at
        release_s += released_at - started_at
        held += [item for item in pending if item.grant]
        pending = [item for item in pending if not item.grant]
    return release_s / rounds * 1e6, submit_s / rounds * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=2_000)
    parser.add_argument("--policy", default="default")
    arguments = parser.parse_args()
    for teams in (10, 410):
        for endpoints in (9, 100):
            for waiting in (10, 100, 1_000, 4_000):
                release_us, submit_us = measure(
                    teams, endpoints, waiting, arguments.rounds, arguments.policy
                )
                print(
                    f"teams {teams:3}  endpoints {endpoints:3}  waiting {waiting:5}"
                    f"  release {release_us:6.0f} us  submit {submit_us:6.0f} us"
                )


if __name__ == "__main__":
    main()
