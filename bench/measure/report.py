"""Compares figures with the goals and formats the table."""

from collections.abc import Callable, Mapping, Sequence

import msgspec

from . import goals
from .figures import Figures
from .scenarios import SCENARIOS


class Verdict(msgspec.Struct, kw_only=True):
    """Whether the `default` policy met a goal in a scenario."""

    scenario: str
    goal: str
    figure: str
    met: bool


Runs = Mapping[tuple[str, str], Figures]


def evaluate_goals(runs: Runs) -> list[Verdict]:
    """Returns a verdict for each goal that the given runs cover."""
    verdicts = []
    for scenario in SCENARIOS:
        default_figures = runs.get((scenario.name, "default"))
        if default_figures is None:
            continue
        baselines = [
            figures
            for (name, policy), figures in runs.items()
            if name == scenario.name and policy != "default"
        ]

        def add(goal: str, figure: str, met: bool, name: str = scenario.name) -> None:
            verdicts.append(Verdict(scenario=name, goal=goal, figure=figure, met=met))

        _evaluate_classes(default_figures, add)
        _evaluate_work(default_figures, baselines, scenario.is_fault, add)
        if scenario.name == "noisy_team" and ("calm", "default") in runs:
            _evaluate_noisy_team(default_figures, runs["calm", "default"], add)
    return verdicts


def _evaluate_classes(default_figures: Figures, add: Callable) -> None:
    for name in goals.PROTECTED_CLASSES:
        if name in default_figures.attainment:
            share = default_figures.attainment[name]
            add(f"{name} >= 99%", f"{share:.1%}", share >= goals.ATTAINMENT)
        shed = sum(default_figures.sheds.get(name, {}).values())
        add(f"{name} not shed", str(shed), shed == 0)
    add(
        "no plan or menu lost",
        str(default_figures.lost_plans),
        default_figures.lost_plans == 0,
    )


def _evaluate_work(
    default_figures: Figures,
    baselines: Sequence[Figures],
    is_fault: bool,
    add: Callable,
) -> None:
    if default_figures.scenario == "calm":
        add(
            "wasted < 1%",
            f"{default_figures.wasted:.2%}",
            default_figures.wasted < goals.WASTED_CALM,
        )
    if default_figures.scenario == "crash":
        add(
            "wasted < 3%",
            f"{default_figures.wasted:.2%}",
            default_figures.wasted < goals.WASTED_CRASH,
        )
    if not baselines:
        return
    best = max(figures.goodput for figures in baselines)
    if not is_fault:
        limit = goals.GOODPUT_OF_BASELINE_CALM * best
        figure = f"{default_figures.goodput:.2f} to {best:.2f}"
        add("goodput >= 95% of best baseline", figure, default_figures.goodput >= limit)
        return
    add(
        "goodput above both baselines",
        f"{default_figures.goodput:.2f} to {best:.2f}",
        default_figures.goodput > best,
    )
    least = min(figures.wasted for figures in baselines)
    add(
        "wasted below half of either baseline",
        f"{default_figures.wasted:.2%} to {least:.2%}",
        default_figures.wasted < goals.WASTED_OF_BASELINE * least,
    )


def _evaluate_noisy_team(
    default_figures: Figures, calm: Figures, add: Callable
) -> None:
    for name, share in default_figures.attainment_without_noisy.items():
        cost = calm.attainment_without_noisy.get(name, share) - share
        add(
            f"others' {name} costs < 2 points",
            f"{cost * 100:+.1f}",
            cost < goals.NOISY_TEAM_COST,
        )


CLASSES = ("counter", "order", "lookup", "menu", "plan")
HEADER = (
    "scenario      policy             counter  order lookup   menu   plan  goodput"
    "  wasted  added p50/p95/p99 ms  lost  wait s  load"
)


def row(figures: Figures) -> str:
    """Returns the table row of a run."""
    shares = " ".join(
        f"{figures.attainment.get(name, float('nan')) * 100:6.1f}" for name in CLASSES
    )
    delays = "/".join(
        f"{seconds * 1e3:.0f}"
        for seconds in (figures.added_p50_s, figures.added_p95_s, figures.added_p99_s)
    )
    return (
        f"{figures.scenario:13} {figures.policy:18} {shares}  {figures.goodput:7.2f}"
        f"  {figures.wasted:6.2%}  {delays:>20}  {figures.lost_plans:4}"
        f"  {figures.longest_wait_s:6.2f}  {figures.load_average:4.1f}"
    )


def details(figures: Figures) -> list[str]:
    """Returns lines with the longest waits, and with sheds and failures by class."""
    waits = ", ".join(f"{n} {s:.2f}" for n, s in figures.longest_waits.items())
    lines = [f"    largest wait in s: {waits}"]
    for what, counts in (("shed", figures.sheds), ("no answer", figures.refusals)):
        for name, reasons in counts.items():
            parts = ", ".join(f"{kind} {count}" for kind, count in reasons.items())
            lines.append(f"    {what}, {name}: {parts}")
    return lines
