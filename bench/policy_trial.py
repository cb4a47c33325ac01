"""Compares the routing policies on seeded arrivals: `python -m bench.policy_trial`.

The real scheduler runs on an injected clock against simulated engines, so a run takes
seconds and is reproducible. The figures are for one entry instance.

* attainment: share of the offered requests of a class that met its latency target;
* goodput: useful slot time (of the answers that met their target, at the speed of an
  idle engine without cache) per slot second of the arrival window; it can exceed 1,
  because a backlog is also served after the window;
* wasted: slot time of answers that were not delivered, or of prefill repeated after a
  preemption or a crash, as a share of the slot time used.
"""

import argparse
import random
from collections import Counter

import msgspec

from lagoonrill._internal.coordination.policy import POLICY_NAMES
from lagoonrill._internal.coordination.policy.prefix_affinity import BLOCK_TOKENS
from lagoonrill._internal.protocol.manifest import (
    Endpoint,
    LatencyTarget,
    Manifest,
    RequestClass,
    Team,
)

from .simulated_fleet import (
    FIRST_STEP_S,
    PREFILL_S_PER_TOKEN,
    TOKEN_GAP_S,
    Arrival,
    Fault,
    Fleet,
    Request,
)

ARRIVAL_WINDOW_S = 120.0
# Long enough for the `plan` requests of the heaviest scenario to complete.
DRAIN_S = 900.0
ZONES = ["tunis-a", "tunis-b", "bizerte-a"]
TEAMS = [f"team-{number}" for number in range(10)]
SHARED_PREFIX_BLOCKS = 6


class TrafficKind(msgspec.Struct, kw_only=True):
    """A kind of traffic; `caller_timeout_s` is the caller's first-token timeout."""

    request_class: RequestClass
    rate: float
    prompt_tokens: int
    output_tokens: int
    target: str = "atelier"
    caller_timeout_s: float | None = None


class Scenario(msgspec.Struct, kw_only=True):
    """Changes to the base load: rate factors by class, a heavy team, faults."""

    name: str
    factors: dict[str, float] = {}
    burst_s: tuple[float, float] = (0.0, ARRIVAL_WINDOW_S)
    heavy_team: str | None = None
    faults: list[Fault] = []


class ClassResult(msgspec.Struct, kw_only=True):
    """Results of one request class in one run."""

    offered: int
    attainment: float
    completed: int
    lost: int
    longest_wait_s: float
    sheds: dict[str, int]


class Result(msgspec.Struct, kw_only=True):
    """Results of one run; `others` is the attainment of all but the heavy team."""

    classes: dict[str, ClassResult]
    goodput: float
    wasted: float
    preempted: int
    others: float


def whole_answer_target(milliseconds: int) -> LatencyTarget:
    return LatencyTarget(whole_answer_ms=milliseconds)


def streamed_target(milliseconds: int, gap_ms: int = 72) -> LatencyTarget:
    return LatencyTarget(first_token_ms=milliseconds, token_gap_ms=gap_ms)


KINDS = [
    TrafficKind(
        request_class=RequestClass(
            name="counter",
            tier=0,
            latency=streamed_target(1_000),
            protected=True,
            max_wait_ms=5_000,
        ),
        rate=4.0,
        prompt_tokens=500,
        output_tokens=80,
        caller_timeout_s=6.0,
    ),
    TrafficKind(
        request_class=RequestClass(
            name="order",
            tier=0,
            latency=whole_answer_target(1_500),
            protected=True,
            repeatable=False,
            max_wait_ms=5_000,
        ),
        rate=4.0,
        prompt_tokens=0,
        output_tokens=5,
        target="comptoir",
        caller_timeout_s=6.0,
    ),
    TrafficKind(
        request_class=RequestClass(
            name="lookup", tier=1, latency=streamed_target(2_000), max_wait_ms=8_000
        ),
        rate=5.0,
        prompt_tokens=200,
        output_tokens=40,
        caller_timeout_s=10.0,
    ),
    TrafficKind(
        request_class=RequestClass(
            name="menu",
            tier=2,
            latency=whole_answer_target(120_000),
            max_wait_ms=300_000,
        ),
        rate=0.5,
        prompt_tokens=1_500,
        output_tokens=500,
    ),
    TrafficKind(
        request_class=RequestClass(
            name="plan",
            tier=3,
            latency=whole_answer_target(600_000),
            max_wait_ms=900_000,
        ),
        rate=0.25,
        prompt_tokens=4_000,
        output_tokens=1_400,
    ),
]

SCENARIOS = [
    Scenario(name="calm"),
    Scenario(name="burst", factors={"counter": 3.0}, burst_s=(30.0, 70.0)),
    Scenario(name="lookup burst", factors={"lookup": 3.0}, burst_s=(30.0, 70.0)),
    Scenario(name="plans", factors={"plan": 12.0}),
    Scenario(
        name="straggler",
        faults=[Fault(endpoint="llm-4", kind="slow", from_s=20, until_s=1e9)],
    ),
    Scenario(name="heavy team", heavy_team="team-0"),
    Scenario(
        name="crash",
        faults=[Fault(endpoint="llm-4", kind="crash", from_s=40, until_s=70)],
    ),
]


def build_manifest() -> Manifest:
    """Builds nine engines with 4 slots and three order services in three zones."""
    engines = [
        Endpoint(
            id=f"llm-{n}",
            url=f"sim:{n}",
            zone=ZONES[n % 3],
            slots=4,
            models=["atelier"],
        )
        for n in range(9)
    ]
    desks = [
        Endpoint(
            id=f"desk-{n}", url=f"sim:d{n}", zone=ZONES[n], slots=2, service="comptoir"
        )
        for n in range(3)
    ]
    return Manifest(
        classes=[kind.request_class for kind in KINDS],
        endpoints=engines + desks,
        teams=[Team(name=team, key_digests=[]) for team in TEAMS],
    )


def build_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Draws Poisson arrivals; each traffic kind has its own random generator."""
    arrivals = []
    for kind in KINDS:
        draw = random.Random(f"{seed} {kind.request_class.name}")
        at_s = 0.0
        while True:
            at_s += draw.expovariate(rate_at(kind, scenario, at_s))
            if at_s >= ARRIVAL_WINDOW_S:
                break
            arrivals.append(build_arrival(kind, scenario, draw, at_s))
    return arrivals


def rate_at(kind: TrafficKind, scenario: Scenario, at_s: float) -> float:
    begin, end = scenario.burst_s
    factor = scenario.factors.get(kind.request_class.name, 1.0)
    rate = kind.rate * (factor if begin <= at_s < end else 1.0)
    # The heavy team sends 10 shares and the other nine send one each: 19, not 10.
    return rate * 1.9 if scenario.heavy_team else rate


def build_arrival(
    kind: TrafficKind, scenario: Scenario, draw: random.Random, at_s: float
) -> Arrival:
    weights = [10 if team == scenario.heavy_team else 1 for team in TEAMS]
    team = draw.choices(TEAMS, weights)[0]
    prompt_tokens = int(kind.prompt_tokens * draw.uniform(0.5, 1.5))
    blocks = prompt_tokens // BLOCK_TOKENS
    shared = min(blocks, SHARED_PREFIX_BLOCKS)
    name = kind.request_class.name
    prefix = [
        hash((len(name), name[0] < "m", TEAMS.index(team), n)) for n in range(shared)
    ]
    unique = [draw.getrandbits(60) for _ in range(blocks - shared)]
    return Arrival(
        at_s=at_s,
        request_class=kind.request_class,
        team=team,
        target=kind.target,
        prompt_tokens=prompt_tokens,
        output_tokens=max(
            2, int(kind.output_tokens * draw.lognormvariate(-0.125, 0.5))
        ),
        prompt_blocks=tuple(prefix + unique),
    )


def run_trial(scenario: Scenario, policy: str, seed: int) -> Result:
    """Runs one scenario with one policy."""
    caller_timeout_s = {
        kind.request_class.name: kind.caller_timeout_s
        for kind in KINDS
        if kind.caller_timeout_s is not None
    }
    fleet = Fleet(
        manifest=build_manifest(),
        policy=policy,
        seed=seed,
        caller_timeout_s=caller_timeout_s,
    )
    fleet.run(
        build_arrivals(scenario, seed),
        scenario.faults,
        until_s=ARRIVAL_WINDOW_S + DRAIN_S,
    )
    return summarise(fleet, scenario)


def summarise(fleet: Fleet, scenario: Scenario) -> Result:
    counters = fleet.scheduler.dump().counters
    classes = {}
    for kind in KINDS:
        name = kind.request_class.name
        requests = [r for r in fleet.requests if r.arrival.request_class.name == name]
        counter = counters.get(name)
        classes[name] = ClassResult(
            offered=len(requests),
            attainment=share(requests),
            completed=sum(r.finished_at is not None for r in requests),
            lost=sum(r.attempts > 0 and r.finished_at is None for r in requests),
            longest_wait_s=counter.longest_wait_s if counter else 0.0,
            sheds=counter.sheds if counter else {},
        )
    slots = sum(e.endpoint.slots for e in fleet.engines.values())
    useful_s = sum(unloaded_time_s(r) for r in fleet.requests if met_target(r))
    wasted_s = sum(wasted_time_s(r) for r in fleet.requests)
    others = [r for r in fleet.requests if r.arrival.team != scenario.heavy_team]
    return Result(
        classes=classes,
        goodput=useful_s / (slots * ARRIVAL_WINDOW_S),
        wasted=wasted_s / max(1e-9, fleet.busy_s),
        preempted=sum(item.preempted for item in counters.values()),
        others=share(others),
    )


def share(requests: list[Request]) -> float:
    return sum(map(met_target, requests)) / max(1, len(requests))


def unloaded_time_s(request: Request) -> float:
    arrival = request.arrival
    prefill_s = arrival.prompt_tokens * PREFILL_S_PER_TOKEN
    return FIRST_STEP_S + prefill_s + arrival.output_tokens * TOKEN_GAP_S


def wasted_time_s(request: Request) -> float:
    if request.finished_at is None:
        return request.slot_time_s
    return request.repeated_prefill_s


def met_target(request: Request) -> bool:
    """Returns whether the answer is complete and met the target of its class."""
    if request.finished_at is None:
        return False
    arrival = request.arrival
    latency = arrival.request_class.latency
    if latency.whole_answer_ms is not None:
        return request.finished_at - arrival.at_s <= latency.whole_answer_ms / 1000.0
    first_token_s = request.first_token_at - arrival.at_s
    tokens_s = request.finished_at - request.first_token_at
    gap_s = tokens_s / max(1, arrival.output_tokens - 1)
    return (
        first_token_s <= latency.first_token_ms / 1000.0
        and gap_s <= latency.token_gap_ms / 1000.0
    )


def print_result(scenario: Scenario, policy: str, result: Result) -> None:
    attained = "  ".join(
        f"{name} {100 * item.attainment:5.1f}" for name, item in result.classes.items()
    )
    sheds = Counter()
    for name, item in result.classes.items():
        sheds.update({f"{name}/{reason}": n for reason, n in item.sheds.items()})
    lost = sum(item.lost for item in result.classes.values())
    waits = result.classes["menu"].longest_wait_s, result.classes["plan"].longest_wait_s
    print(
        f"{scenario.name:12} {policy:18} {attained}  goodput {result.goodput:.3f}"
        f"  wasted {100 * result.wasted:5.2f}  preempted {result.preempted:3}"
        f"  lost {lost:3}  longest wait menu {waits[0]:.0f} s plan {waits[1]:.0f} s"
        f"  others {100 * result.others:5.1f}  sheds {dict(sheds)}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenario", choices=[s.name for s in SCENARIOS])
    parser.add_argument("--policy", choices=POLICY_NAMES)
    arguments = parser.parse_args()
    print("attainment and wasted work in percent")
    for scenario in SCENARIOS:
        if arguments.scenario not in (None, scenario.name):
            continue
        for policy in POLICY_NAMES:
            if arguments.policy in (None, policy):
                result = run_trial(scenario, policy, arguments.seed)
                print_result(scenario, policy, result)


if __name__ == "__main__":
    main()
