"""Runs the benchmark scenarios, then prints and writes the figures."""

import argparse
import os
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec

from bench.proof.manifest_cells import ManifestCell
from lagoonrill._internal.coordination.policy import POLICY_NAMES

from .arrivals import generate
from .caller import Callers
from .figures import Figures, compute, find_violations
from .measured_fleet import PROFILES, TIME_FACTOR, MeasuredFleet, measured_classes
from .records import RunRecord
from .report import HEADER, Verdict, details, evaluate_goals, row
from .scenarios import SCENARIOS, Scenario
from .trace import trace

DRAIN_TIMEOUT_S = 30.0
SETTLE_S = 1.0
QUICK_SECONDS = 4.0
QUICK_SCENARIOS = ("calm", "burst", "crash", "daemon_loss")


class Measurement(msgspec.Struct, kw_only=True):
    """Content of the output file of a measurement."""

    command: str
    seed: int
    profile: str
    seconds: float
    time_factor: float
    load_average_before: float
    load_average_after: float
    runs: list[Figures]
    verdicts: list[Verdict]
    problems: list[str]


def execute(scenario: Scenario, policy: str, arguments) -> RunRecord:
    """Runs one scenario with one policy on a new fleet."""
    profile = PROFILES[arguments.profile]
    with MeasuredFleet(profile=profile, policy=policy) as fleet:
        ManifestCell.apply_first(fleet)
        fleet.wait_ready()
        time.sleep(SETTLE_S)
        arrivals = generate(
            seed=arguments.seed,
            seconds=arguments.seconds,
            shape=scenario.shape,
            scale=profile.load_scale,
            instances=len(fleet.daemons),
        )
        urls = [daemon.callers_url for daemon in fleet.daemons.values()]
        half = arguments.seconds / 2
        callers = Callers(urls=urls, arrivals=arrivals)
        if scenario.early:
            scenario.early(fleet, callers)
        if scenario.late:
            callers.schedule(half, lambda: scenario.late(fleet, callers))
        callers.run(time.monotonic() + 0.2)
        unfinished = callers.join(DRAIN_TIMEOUT_S)
        sheds: dict[str, Counter[str]] = {}
        waits: dict[str, float] = {}
        for counters in fleet.scheduler_counters():
            for name, item in counters.items():
                sheds.setdefault(name, Counter()).update(item["sheds"])
                waits[name] = max(waits.get(name, 0.0), item["longest_wait_s"])
        return RunRecord(
            scenario=scenario.name,
            policy=policy,
            seconds=arguments.seconds,
            slots=fleet.slots,
            outcomes=callers.outcomes,
            engines=fleet.engine_stats(),
            executions=fleet.engine_executions(),
            orders_executed=fleet.executions(),
            sheds={name: dict(counts) for name, counts in sheds.items() if counts},
            waits=waits,
            unfinished=unfinished,
            load_average=os.getloadavg()[0],
        )


def main() -> None:
    parser = argparse.ArgumentParser(prog="bench.measure", description=__doc__)
    names = [scenario.name for scenario in SCENARIOS]
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--profile", choices=list(PROFILES), default="workshops")
    parser.add_argument("--scenario", action="append", choices=names)
    parser.add_argument("--policy", action="append", choices=POLICY_NAMES)
    parser.add_argument(
        "--quick", action="store_true", help="check the invariants, not the figures"
    )
    parser.add_argument(
        "--trace", action="store_true", help="list late protected requests"
    )
    parser.add_argument("--output", type=Path, help="JSON file for the figures")
    arguments = parser.parse_args()
    if arguments.quick:
        arguments.seconds = QUICK_SECONDS
        arguments.scenario = arguments.scenario or list(QUICK_SCENARIOS)
        arguments.policy = arguments.policy or ["default"]
    sys.exit(1 if measure(arguments) else 0)


def measure(arguments) -> list[str]:
    """Runs the selected scenarios and policies; returns violated invariants."""
    targets = {item.name: item.latency for item in measured_classes()}
    load_before = os.getloadavg()[0]
    began = time.monotonic()
    print(
        f"profile {arguments.profile}, seed {arguments.seed}, {arguments.seconds:g} s"
        f" a run, time factor {TIME_FACTOR:g}, load average {load_before:.1f}"
    )
    print(HEADER, flush=True)
    runs: dict[tuple[str, str], Figures] = {}
    problems = []
    for scenario in SCENARIOS:
        if arguments.scenario and scenario.name not in arguments.scenario:
            continue
        for policy in arguments.policy or POLICY_NAMES:
            record = execute(scenario, policy, arguments)
            figures = compute(record, targets)
            runs[scenario.name, policy] = figures
            if arguments.trace:
                print("\n".join(trace(record, targets)))
            found = find_violations(record)
            problems += [f"{scenario.name}, {policy}: {problem}" for problem in found]
            print("\n".join([row(figures), *details(figures)]), flush=True)
    verdicts = [] if arguments.quick else evaluate_goals(runs)
    for verdict in verdicts:
        result = "met   " if verdict.met else "MISSED"
        print(f"{result} {verdict.scenario:13} {verdict.goal:38} {verdict.figure}")
    for problem in problems:
        print(f"PROBLEM {problem}")
    print(f"{time.monotonic() - began:.0f} s, load average {os.getloadavg()[0]:.1f}")
    if arguments.output:
        arguments.output.parent.mkdir(parents=True, exist_ok=True)
        measurement = Measurement(
            command="python -m bench.measure " + " ".join(sys.argv[1:]),
            seed=arguments.seed,
            profile=arguments.profile,
            seconds=arguments.seconds,
            time_factor=TIME_FACTOR,
            load_average_before=load_before,
            load_average_after=os.getloadavg()[0],
            runs=list(runs.values()),
            verdicts=verdicts,
            problems=problems,
        )
        encoded = msgspec.json.encode(measurement)
        arguments.output.write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")
    return problems


if __name__ == "__main__":
    main()
