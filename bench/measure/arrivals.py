"""Seeded open-loop arrivals: every request of a run with its time, class and team."""

import random
from collections.abc import Sequence

import msgspec

TEAMS = tuple(f"team-{number}" for number in range(10))
# Two or three of about ten teams are large (section 1.4 of the design).
TEAM_WEIGHTS = (6.0, 5.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
NOISY_TEAM = TEAMS[-1]
NOISY_FACTOR = 10.0
BURST_FACTOR = 3.0


class Workload(msgspec.Struct, kw_only=True, frozen=True):
    """Arrivals of one class; `tokens` of 0 means a call of a plain service."""

    request_class: str
    per_s: float
    tokens: int = 0


class Arrival(msgspec.Struct, kw_only=True):
    """One request; `at_s` counts from the start of the run."""

    call: str
    at_s: float
    request_class: str
    team: str
    instance: int
    tokens: int


# At 9 engines with 4 slots and 20 ms a token (1,800 tokens/s) these ask for 64%.
WORKLOADS = (
    Workload(request_class="counter", per_s=20.0, tokens=20),
    Workload(request_class="order", per_s=4.0),
    Workload(request_class="lookup", per_s=6.0),
    Workload(request_class="plan", per_s=1.5, tokens=300),
    Workload(request_class="menu", per_s=3.0, tokens=100),
)


class Shape(msgspec.Struct, kw_only=True, frozen=True):
    """How a scenario changes the arrivals."""

    burst_class: str = ""  # this class is tripled in the middle half of the run
    factors: dict[str, float] = {}  # by class, over the whole run
    noisy_team: bool = False


def generate(
    *, seed: int, seconds: float, shape: Shape, scale: float = 1.0, instances: int = 4
) -> list[Arrival]:
    """Returns the arrivals in the order of their times; the seed decides everything."""
    arrivals: list[Arrival] = []
    for workload in WORKLOADS:
        name = workload.request_class
        rate = workload.per_s * scale * shape.factors.get(name, 1.0)
        spans = [(0.0, seconds, rate, TEAM_WEIGHTS)]
        if shape.burst_class == name:
            extra = rate * (BURST_FACTOR - 1.0)
            spans.append((seconds / 4, seconds * 3 / 4, extra, TEAM_WEIGHTS))
        if shape.noisy_team:
            share = TEAM_WEIGHTS[-1] / sum(TEAM_WEIGHTS)
            only_noisy = [float(team == NOISY_TEAM) for team in TEAMS]
            extra = rate * share * (NOISY_FACTOR - 1.0)
            spans.append((0.0, seconds, extra, only_noisy))
        # Each span has its own generator, so that a scenario adds to the calm run's
        # arrivals and does not change them.
        for number, (begin, end, span_rate, weights) in enumerate(spans):
            chooser = random.Random(f"{seed}/{name}/{number}")
            arrivals += _poisson(
                chooser, f"{name}-{number}", workload, begin, end, span_rate, weights
            )
    arrivals.sort(key=lambda arrival: arrival.at_s)
    for number, arrival in enumerate(arrivals):
        arrival.instance = number % instances
    return arrivals


def _poisson(
    chooser: random.Random,
    prefix: str,
    workload: Workload,
    begin: float,
    end: float,
    rate: float,
    weights: Sequence[float],
) -> list[Arrival]:
    arrivals = []
    at_s = begin + chooser.expovariate(rate)
    while at_s < end:
        arrivals.append(
            Arrival(
                call=f"{prefix}-{len(arrivals)}",
                at_s=at_s,
                request_class=workload.request_class,
                team=chooser.choices(TEAMS, weights)[0],
                instance=0,
                tokens=workload.tokens,
            )
        )
        at_s += chooser.expovariate(rate)
    return arrivals
