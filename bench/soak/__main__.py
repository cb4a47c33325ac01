"""Runs a soak test: `python -m bench.soak --seed 1 --seconds 30`."""

import random
import shutil
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer

from bench.soak.checks import RECOVERY_S, check
from bench.soak.environment import SoakEnvironment
from bench.soak.faults import FAULTS, inject

# Threads that inject faults concurrently, so that faults overlap.
INJECTOR_THREADS = 2
PAUSE_S = (0.1, 0.8)
GATEWAY_FAULTS = (
    "kill",
    "kill_all",
    "kill_all_in_outage",
    "pause",
    "reload",
    "restart_around_restore",
    "stop",
    "store_turns_away",
)
# Time after the recovery in which requests show whether service is restored.
VERIFICATION_S = 3.0


def main(
    seed: Annotated[int, typer.Option(help="Seed of the faults.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="How long faults are injected.")
    ] = 30.0,
    faults: Annotated[
        list[str] | None, typer.Option(help="Faults to draw; without it, all.")
    ] = None,
    gateways: Annotated[int, typer.Option(help="Number of gateways.")] = 4,
    callers: Annotated[int, typer.Option(help="Number of callers.")] = 12,
    keep: Annotated[str, typer.Option(help="Folder for the gateways' logs.")] = "",
) -> None:
    """Injects faults into gateways and checks what callers and endpoints observed.

    The logs of a run that breaks a guarantee are kept in any case.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        environment = SoakEnvironment(
            folder=folder, seed=seed, gateways=gateways, callers=callers
        )
        try:
            environment.start()
            inject_faults(environment, seed, seconds, faults or list(FAULTS.variants))
            time.sleep(RECOVERY_S + VERIFICATION_S)
            ended_at = time.monotonic()
        finally:
            environment.close()
        violations = check(environment.history, ended_at=ended_at)
        report(environment, seed, violations)
        if violations and not keep:
            kept = tempfile.mkdtemp(prefix=f"soak-{seed}-")
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            print(f"logs: {kept}")
    raise typer.Exit(1 if violations else 0)


def inject_faults(
    environment: SoakEnvironment, seed: int, seconds: float, faults: list[str]
) -> None:
    """Injects faults from several threads, each with its own seed."""
    until = time.monotonic() + seconds
    names = [name for name in faults if name != "default"]
    # Serializes the faults of threads beyond the first two, so that these don't affect
    # the same gateway or endpoint at the same time.
    busy = threading.Lock()

    def run(number: int) -> None:
        rng = random.Random(seed * 100 + number)
        groups = (
            [name for name in names if name in GATEWAY_FAULTS],
            [name for name in names if name not in GATEWAY_FAULTS],
        )
        if not groups[number % len(groups)]:
            return
        while time.monotonic() < until:
            name = rng.choice(groups[number % len(groups)])
            if number >= len(groups):
                with busy:
                    inject(environment, name, rng)
            else:
                inject(environment, name, rng)
            time.sleep(rng.uniform(*PAUSE_S))

    threads = [threading.Thread(target=run, args=(n,)) for n in range(INJECTOR_THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def report(environment: SoakEnvironment, seed: int, violations: list[str]) -> None:
    """Prints the requests, the faults and the violated guarantees."""
    statuses = Counter(
        (item.kind, item.status) for item in environment.history.outcomes
    )
    faults = Counter(fault.what for fault in environment.history.faults)
    print(f"seed {seed}: {len(environment.history.outcomes)} requests, {dict(faults)}")
    for (kind, status), count in sorted(statuses.items()):
        print(f"  {kind} {status or 'broken off'}: {count}")
    calls = environment.history.duty_calls
    windows = {call.body["Window"] for call in calls if call.subject == "/usage"}
    tokens = {call.token for call in calls}
    print(f"  usage: {len(windows)} windows reported with {len(tokens)} tokens")
    for line in violations:
        print(f"  BROKEN: {line}")
    print(f"soak: {'failed' if violations else 'ok'}")


if __name__ == "__main__":
    typer.run(main)
