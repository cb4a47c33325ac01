"""Generates seeded open-loop arrivals with the time, class and team of each request."""

import random
from collections.abc import Sequence

import msgspec

TEAMS = tuple(f"team-{number}" for number in range(10))
# Three of ten teams are large (section 1.4 of the design: two or three of about ten).
TEAM_WEIGHTS = (6.0, 5.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
NOISY_TEAM = TEAMS[-1]
NOISY_FACTOR = 10.0
BURST_FACTOR = 3.0


class Workload(msgspec.Struct, kw_only=True, frozen=True):
    """Arrival rate of one class; with 0 `tokens` it calls a plain service."""

    request_class: str
    per_s: float
    tokens: int = 0


class Arrival(msgspec.Struct, kw_only=True):
    """A request that is sent `at_s` seconds after the start of the run."""

    call: str
    at_s: float
    request_class: str
    team: str
    instance: int
    tokens: int


# Use 64% of the capacity of 9 engines with 4 slots and 20 ms per token (1,800
# tokens/s).
WORKLOADS = (
    Workload(request_class="counter", per_s=20.0, tokens=20),
    Workload(request_class="order", per_s=4.0),
    Workload(request_class="lookup", per_s=6.0),
    Workload(request_class="plan", per_s=1.5, tokens=300),
    Workload(request_class="menu", per_s=3.0, tokens=100),
)


class Shape(msgspec.Struct, kw_only=True, frozen=True):
    """Changes of a scenario to the base arrivals."""

    burst_class: str = ""  # arrives at three times its rate in the middle half
    factors: dict[str, float] = {}  # by class, for the entire run
    noisy_team: bool = False


def generate(
    *, seed: int, seconds: float, shape: Shape, scale: float = 1.0, instances: int = 4
) -> list[Arrival]:
    """Returns the arrivals sorted by time; they depend only on the arguments."""
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
        # Each span has its own random generator, so that a scenario adds arrivals to
        # those of the calm run without changing them.
        for number, (begin, end, span_rate, weights) in enumerate(spans):
            rng = random.Random(f"{seed}/{name}/{number}")
            arrivals += _poisson(
                rng, f"{name}-{number}", workload, begin, end, span_rate, weights
            )
    arrivals.sort(key=lambda arrival: arrival.at_s)
    for number, arrival in enumerate(arrivals):
        arrival.instance = number % instances
    return arrivals


def _poisson(
    rng: random.Random,
    prefix: str,
    workload: Workload,
    begin: float,
    end: float,
    rate: float,
    weights: Sequence[float],
) -> list[Arrival]:
    arrivals = []
    at_s = begin + rng.expovariate(rate)
    while at_s < end:
        arrivals.append(
            Arrival(
                call=f"{prefix}-{len(arrivals)}",
                at_s=at_s,
                request_class=workload.request_class,
                team=rng.choices(TEAMS, weights)[0],
                instance=0,
                tokens=workload.tokens,
            )
        )
        at_s += rng.expovariate(rate)
    return arrivals
