"""Compares the placement policies with baselines over random deployments.

Each point is drawn by a seed: engine speed, chunk size, tokens an event, goals, prompt
lengths and the mix of two to four kinds of requests. A point fails if the most urgent
kind is served worse than a less urgent one, although a fixed split of the engines
serves both or the baseline serves the urgent kind better.

    python -m bench.placement_grid --points 40 --seed 1
"""

import random
import sys

import msgspec
import typer

from .engine_model import (
    EngineSpec,
    FixedSplit,
    ModelEngine,
    PackedRouter,
    RequestKind,
    arrivals,
    attainment,
    least_outstanding,
    replay,
)

ENGINES = 8
SECONDS = 5.0
# Prompt load as a fraction of the engines' prefill capacity.
LOADS = (0.4, 0.6, 0.8)
# A kind counts as served if this share of it meets its goals.
SERVED = 0.9
# Differences below this are due to the few requests of a point.
TOLERANCE = 0.05


class Point(msgspec.Struct, kw_only=True):
    """A random deployment; `rates` are requests per second of each kind."""

    seed: int
    spec: EngineSpec
    kinds: list[RequestKind]
    rates: list[float]


class PointResult(msgspec.Struct, kw_only=True):
    """Shares of requests in goal by kind, most urgent first, for each policy."""

    router: list[float]
    least_outstanding: list[float]
    # Best fixed split: the one with the highest share of its worst kind.
    split: list[float]
    split_engines: int

    def fails(self) -> bool:
        """Returns whether urgency is inverted although it need not be.

        Either a fixed split serves both kinds, or the most urgent kind is served better
        without any policy.
        """
        first = self.router[0]
        crowded_out = first < self.least_outstanding[0] - TOLERANCE
        return any(
            first < other - TOLERANCE
            and (crowded_out or min(self.split[0], self.split[number]) >= SERVED)
            for number, other in enumerate(self.router[1:], start=1)
        )


def draw_point(seed: int) -> Point:
    """Returns the deployment of a seed."""
    rng = random.Random(seed)
    speed = rng.uniform(10, 100)
    spec = EngineSpec(
        step_ms=rng.uniform(3, 8),
        prefill_tokens_per_ms=speed,
        chunk_tokens=rng.choice((1_024, 2_048, 4_096)),
        tokens_per_event=rng.randint(1, 6),
        slots=rng.choice((16, 32, 64)),
    )
    kinds = []
    for number in range(rng.randint(2, 4)):
        own = round(speed * rng.uniform(5, 30) * (1 + 3 * number))
        prompt = (round(own * 0.3), round(own * 0.4), own)
        # An empty engine must be able to meet the goals.
        read_ms = sum(prompt) / speed
        step_ms = spec.step_ms + spec.chunk_tokens / speed
        kinds.append(
            RequestKind(
                name=f"kind{number}",
                goal_ms=max(300.0, 4 * read_ms) * rng.uniform(1, 2),
                pause_goal_ms=max(
                    rng.uniform(100, 300) * (1 + number),
                    1.5 * spec.tokens_per_event * step_ms,
                ),
                mean_events=rng.uniform(8, 60) / (1 + number),
                priority=number,
                prompt_tokens=prompt,
            )
        )
    load = rng.choice(LOADS) * ENGINES * speed * 1000
    weights = [rng.uniform(0.2, 1.0) for _ in kinds]
    rates = [
        load * weight / sum(weights) / sum(kind.prompt_tokens)
        for kind, weight in zip(kinds, weights, strict=True)
    ]
    return Point(seed=seed, spec=spec, kinds=kinds, rates=rates)


def shares(point: Point, place) -> list[float]:
    """Returns the share in goal of each kind under a placement function."""
    load = dict(zip(point.kinds, point.rates, strict=True))
    requests = arrivals(load, seconds=SECONDS, seed=point.seed)
    engines = [
        ModelEngine(id=f"e{number}", zone="abc"[number % 3], spec=point.spec)
        for number in range(ENGINES)
    ]
    replay(place, requests, engines)
    return [attainment(requests, kind) for kind in point.kinds]


def play(point: Point) -> PointResult:
    """Plays a point with the router and both baselines."""
    router = PackedRouter(kinds=point.kinds, spec=point.spec)
    first = frozenset((point.kinds[0].name,))
    splits = {
        count: shares(point, FixedSplit(first=first, count=count))
        for count in range(1, ENGINES)
    }
    best = max(splits, key=lambda count: min(splits[count]))
    return PointResult(
        router=shares(point, router),
        least_outstanding=shares(point, least_outstanding),
        split=splits[best],
        split_engines=best,
    )


def main(points: int = 40, seed: int = 1) -> None:
    """Prints each point and exits with an error if any fails."""
    failed = []
    print("seed  router | least outstanding | best split")
    for number in range(seed, seed + points):
        result = play(draw_point(number))
        columns = [
            " ".join(f"{share:.2f}" for share in found)
            for found in (result.router, result.least_outstanding, result.split)
        ]
        verdict = "  FAILS" if result.fails() else ""
        print(f"{number:4}  {' | '.join(columns)} ({result.split_engines}){verdict}")
        if result.fails():
            failed.append(number)
    print(f"{points} points, {len(failed)} fail: {failed}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    typer.run(main)
