"""Guards against starvation, lost protection and unfair teams under overload.

The scheduler runs on an injected clock against simulated engines. Each check must fail
against a policy without the rule that it checks.
"""

import random

import pytest

from bench.simulated_fleet import Arrival, Fleet
from lagoonrill._internal.coordination.policy.preemption import PREEMPTION
from lagoonrill._internal.coordination.policy.queue_order import QUEUE_ORDER
from lagoonrill._internal.coordination.policy.team_fairness import TEAM_FAIRNESS
from lagoonrill._internal.protocol.manifest import Manifest
from tests.scheduler_kit import COUNTER, LOOKUP, PLAN, engine

WINDOW_S = 200.0
# Two engines with four slots each serve about 8 slot-seconds per second.
ENGINES = [engine("e1", slots=4), engine("e2", slots=4, zone="b")]


def arrivals(kind, rate, tokens, *, teams=("oak",), seed=1, from_s=0.0):
    """Draws Poisson arrivals for the window; a team listed twice has two shares."""
    draw = random.Random(f"{seed} {kind.name}")
    at_s = from_s
    drawn = []
    while (at_s := at_s + draw.expovariate(rate)) < WINDOW_S:
        drawn.append(
            Arrival(
                at_s=at_s,
                request_class=kind,
                team=draw.choice(teams),
                target="m",
                prompt_tokens=100,
                output_tokens=tokens,
            )
        )
    return drawn


def run(drawn, *, until_s=WINDOW_S, **replaced) -> Fleet:
    manifest = Manifest(classes=[COUNTER, LOOKUP, PLAN], endpoints=ENGINES, teams=[])
    fleet = Fleet(manifest=manifest, policy="default", seed=1, caller_timeout_s={})
    for decision, variant in replaced.items():
        setattr(fleet.policy, decision, variant)
    fleet.run(drawn, [], until_s=until_s)
    return fleet


def requests_of(fleet, kind):
    return [r for r in fleet.requests if r.arrival.request_class is kind]


def check_no_starvation(**replaced):
    """Questions at twice the capacity must not stop lookups or plans."""
    drawn = arrivals(COUNTER, 16, 45) + arrivals(PLAN, 0.2, 100)
    fleet = run(drawn + arrivals(LOOKUP, 0.5, 45), **replaced)
    for kind in (LOOKUP, PLAN):
        done = sorted(r.finished_at for r in requests_of(fleet, kind) if r.finished_at)
        gaps = [b - a for a, b in zip([0, *done], [*done, WINDOW_S], strict=True)]
        # A floor of 2% of 8 slots earns one slot-second in 6.25 s, after up to 30 s of
        # debt.
        assert max(gaps) < 45, f"{kind.name}: {len(done)} done, gap {max(gaps):.0f} s"


def test_no_class_starves():
    check_no_starvation()


def test_starvation_check_fails_without_floors():
    with pytest.raises(AssertionError, match="gap"):
        check_no_starvation(queue_order=QUEUE_ORDER.get("strict_priority")())


def check_protection(seed, **replaced):
    """Plans at three times the capacity must not cause questions to be shed."""
    drawn = arrivals(PLAN, 2.4, 500, seed=seed)
    drawn += arrivals(COUNTER, 2.0, 45, seed=seed, from_s=20.0)
    fleet = run(drawn, **replaced)
    questions = [
        r for r in requests_of(fleet, COUNTER) if r.arrival.at_s < WINDOW_S - 10
    ]
    shed = [r for r in questions if r.error is not None]
    assert not shed, f"{len(shed)} of {len(questions)} questions were shed"
    late = [r for r in questions if r.first_token_at - r.arrival.at_s > 1.0]
    assert len(late) <= len(questions) // 100
    assert fleet.scheduler.counters.by_class["counter"].preempted == 0


@pytest.mark.parametrize("seed", range(3))
def test_protected_class_survives_plans_at_three_times_the_capacity(seed):
    check_protection(seed)


def test_protection_check_fails_without_preemption():
    with pytest.raises(AssertionError, match="questions were shed"):
        check_protection(1, preemption=PREEMPTION.get("fifo_round_robin")())


def attainment_of_others(teams, seed, **replaced) -> float:
    rate = 0.55 * len(teams)
    fleet = run(arrivals(LOOKUP, rate, 45, teams=teams, seed=seed), **replaced)
    # Arrivals of the last 10 s may not be answered before the run ends.
    others = [
        r
        for r in requests_of(fleet, LOOKUP)
        if r.arrival.team != "t0" and r.arrival.at_s < WINDOW_S - 10
    ]
    in_time = [
        r for r in others if r.first_token_at and r.first_token_at - r.arrival.at_s < 2
    ]
    return len(in_time) / len(others)


def check_fairness(seed, **replaced):
    """A team at ten times its share lowers the others' attainment by under 2 points."""
    names = [f"t{n}" for n in range(10)]
    calm = attainment_of_others(names, seed, **replaced)
    heavy = attainment_of_others(names + ["t0"] * 9, seed, **replaced)
    assert heavy > calm - 0.02, f"attainment fell from {calm:.3f} to {heavy:.3f}"


@pytest.mark.parametrize("seed", range(1, 4))
def test_heavy_team_does_not_lower_the_attainment_of_others(seed):
    check_fairness(seed)


def test_fairness_check_fails_in_order_of_arrival():
    with pytest.raises(AssertionError, match="attainment fell"):
        check_fairness(1, team_fairness=TEAM_FAIRNESS.get("fifo_round_robin")())


def test_preempted_plans_finish_after_an_overload():
    """Preempted plans must resume and finish after the questions end."""
    drawn = arrivals(PLAN, 0.6, 500) + arrivals(COUNTER, 8.0, 45)
    fleet = run(drawn, until_s=2_000)
    assert fleet.scheduler.counters.by_class["plan"].preempted > 0
    assert all(r.finished_at is not None for r in requests_of(fleet, PLAN))
