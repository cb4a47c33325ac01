"""Fits least-squares lines to measurements and writes the cost commands' results."""

import os
from pathlib import Path
from statistics import correlation, linear_regression

import msgspec

from lagoonrill._internal.protocol.codec import to_json

RESULTS = Path(__file__).resolve().parent.parent / "measurements"
MIN_POINTS = 4


class Fit(msgspec.Struct, kw_only=True):
    """A least-squares line `intercept + slope * x` and the points it was fitted to."""

    name: str
    x: list[float]
    y: list[float]
    slope: float
    intercept: float
    r2: float

    def predict(self, x: float) -> float:
        return self.intercept + self.slope * x

    def __str__(self) -> str:
        return (
            f"{self.name} = {self.intercept:.4g} + {self.slope:.4g} x"
            f"  (r2 {self.r2:.3f}, {len(self.x)} points)"
        )


class Results(msgspec.Struct, kw_only=True):
    """Results of one command, with the load averages before and after the run."""

    command: str
    load_before: list[float]
    load_after: list[float]
    fits: list[Fit] = []
    figures: dict[str, float] = {}


def fit_line(name: str, x: list[float], y: list[float]) -> Fit:
    """Fits a line; raises `ValueError` for fewer than four points.

    >>> line = fit_line("cost", [0, 1, 2, 3], [1, 3, 5, 7])
    >>> line.slope, line.intercept, line.r2
    (2.0, 1.0, 1.0)
    """
    if len(x) < MIN_POINTS:
        raise ValueError(
            f"{name}: {len(x)} points; a fit requires at least {MIN_POINTS}"
        )
    line = linear_regression(x, y)
    flat = min(y) == max(y)
    return Fit(
        name=name,
        x=list(x),
        y=list(y),
        slope=line.slope,
        intercept=line.intercept,
        r2=1.0 if flat else correlation(x, y) ** 2,
    )


def start_results(command: str) -> Results:
    """Returns empty results with the current load average."""
    return Results(command=command, load_before=list(os.getloadavg()), load_after=[])


def write_results(results: Results) -> None:
    """Writes results to `measurements/<command>.json`."""
    results.load_after = list(os.getloadavg())
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{results.command}.json"
    path.write_bytes(to_json(results, pretty=True) + b"\n")
    print(f"load average {results.load_before} to {results.load_after}; {path.name}")
