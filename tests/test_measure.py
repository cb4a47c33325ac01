"""Guards the load generator and each figure of `bench.measure` with fixed records."""

from collections import Counter

import msgspec
import pytest

from bench.measure import goals
from bench.measure.arrivals import NOISY_TEAM, TEAMS, Shape, generate
from bench.measure.caller import parse_events
from bench.measure.figures import (
    Figures,
    added_delays,
    attainment,
    compute,
    find_violations,
    goodput,
    lost_plans,
    met_target,
    quantile,
    refusals,
    wasted_share,
)
from bench.measure.records import EngineExecution, EngineStats, Outcome, RunRecord
from bench.measure.report import evaluate_goals
from lagoonrill._internal.protocol.manifest import LatencyTarget

TARGETS = {
    "counter": LatencyTarget(first_token_ms=500, token_gap_ms=50),
    "order": LatencyTarget(whole_answer_ms=1_000),
    "plan": LatencyTarget(whole_answer_ms=30_000),
}


def answered(**changes) -> Outcome:
    """Returns a counter answer of 11 tokens: first after 0.2 s, then every 40 ms."""
    outcome = Outcome(
        call="c-1",
        request_class="counter",
        team=TEAMS[0],
        tokens=11,
        due_at=100.0,
        sent_at=100.0,
        first_at=100.2,
        last_at=100.6,
        ended_at=100.6,
        verdict="whole",
        stream="abc-1",
        attempts=1,
    )
    return msgspec.structs.replace(outcome, **changes)


def record_of(*outcomes: Outcome, **changes) -> RunRecord:
    """Returns the record of a run with one engine of 4 slots for 10 s."""
    record = RunRecord(
        scenario="calm",
        policy="default",
        seconds=10.0,
        slots=4,
        outcomes=list(outcomes),
        engines=[
            EngineStats(
                generated=100,
                undelivered=0,
                generated_twice=0,
                continuation_mismatches=0,
                executions=1,
            )
        ],
        executions=[],
        orders_executed={},
        sheds={},
        waits={},
    )
    return msgspec.structs.replace(record, **changes)


def test_arrivals_repeat_with_the_seed_and_differ_with_another():
    """Guards against figures that are not reproducible and seeds without effect."""
    first = generate(seed=1, seconds=5.0, shape=Shape())
    assert first == generate(seed=1, seconds=5.0, shape=Shape())
    assert first != generate(seed=2, seconds=5.0, shape=Shape())
    assert len({arrival.call for arrival in first}) == len(first)


def test_arrivals_follow_rates_and_team_weights():
    """Guards against a load that differs from the documented rates and weights."""
    arrivals = generate(seed=3, seconds=200.0, shape=Shape())
    counts = Counter(arrival.request_class for arrival in arrivals)
    assert counts["counter"] == pytest.approx(20 * 200, rel=0.05)
    assert counts["plan"] == pytest.approx(1.5 * 200, rel=0.2)
    teams = Counter(arrival.team for arrival in arrivals)
    assert teams[TEAMS[0]] / len(arrivals) == pytest.approx(6 / 22, rel=0.1)
    assert teams[NOISY_TEAM] / len(arrivals) == pytest.approx(1 / 22, rel=0.15)


def test_burst_triples_one_class_in_the_middle_half_only():
    """Guards against a burst of the wrong class, size or time."""
    calm = generate(seed=4, seconds=100.0, shape=Shape())
    burst = generate(seed=4, seconds=100.0, shape=Shape(burst_class="counter"))
    known = {arrival.call for arrival in calm}
    extra = [arrival for arrival in burst if arrival.call not in known]
    assert len(burst) - len(extra) == len(calm)
    assert {arrival.request_class for arrival in extra} == {"counter"}
    assert all(25.0 <= arrival.at_s <= 75.0 for arrival in extra)
    assert len(extra) == pytest.approx(2 * 20 * 50, rel=0.1)


def test_noisy_team_sends_ten_times_its_share():
    """Guards against a noisy team with too few requests or effects on other teams."""
    calm = generate(seed=5, seconds=400.0, shape=Shape())
    noisy = generate(seed=5, seconds=400.0, shape=Shape(noisy_team=True))
    before = Counter(arrival.team for arrival in calm)
    after = Counter(arrival.team for arrival in noisy)
    # All classes together send 34.5 requests/s; a small team's share is 1 in 22.
    extra = after[NOISY_TEAM] - before[NOISY_TEAM]
    assert extra == pytest.approx(9 * 34.5 * 400 / 22, rel=0.05)
    assert after[TEAMS[0]] == before[TEAMS[0]]


@pytest.mark.parametrize(
    ("changes", "met"),
    [
        ({}, True),
        ({"first_at": 100.51, "last_at": 100.7}, False),
        ({"last_at": 100.75}, False),
        ({"verdict": "wrong"}, False),
        ({"verdict": "lost"}, False),
        ({"first_at": None, "last_at": None}, False),
    ],
)
def test_target_needs_a_whole_answer_in_time(changes, met):
    """Guards against late, incomplete or wrong answers that count as attained."""
    assert met_target(answered(**changes), TARGETS["counter"]) is met


def test_time_counts_from_the_arrival():
    """Guards against closed-loop times, which omit the delay before the send."""
    late = answered(due_at=99.6, sent_at=100.0)
    assert not met_target(late, TARGETS["counter"])


def test_attainment_is_a_share_of_the_offered_requests():
    """Guards against refused requests that are missing from the denominator."""
    refused = answered(verdict="refused", first_at=None)
    order = answered(request_class="order", tokens=0, ended_at=100.9)
    shares = attainment([answered(), refused, refused, refused, order], TARGETS)
    assert shares == {"counter": 0.25, "order": 1.0}


def test_goodput_counts_only_answers_in_time():
    """Guards against tokens of late answers that count as useful."""
    late = answered(first_at=101.0, last_at=101.1)
    record = record_of(answered(), answered(), late)
    assert goodput(record, TARGETS) == pytest.approx(22 / (4 * 10.0))


def test_wasted_share_counts_tokens_outside_whole_answers():
    """Guards against lost tokens that count as useful because they were delivered."""
    lost = answered(verdict="lost")
    assert wasted_share(record_of(answered(tokens=80), lost)) == pytest.approx(0.2)
    assert wasted_share(record_of(answered(tokens=100))) == 0.0


def test_added_delay_leaves_out_the_engine_and_takes_the_first_execution():
    """Guards against time of the engine or a continuation counted as router delay."""
    executions = [
        EngineExecution(stream="abc-2", received_at=100.5, first_token_at=100.51),
        EngineExecution(stream="abc-1", received_at=100.05, first_token_at=100.15),
    ]
    record = record_of(answered(stream="abc"), executions=executions)
    assert added_delays(record) == pytest.approx([0.1])
    retried = answered(stream="abc", attempts=2)
    assert added_delays(record_of(retried, executions=executions)) == []


def test_quantiles_take_the_tail():
    """Guards against a quantile that is too close to the median."""
    values = [float(n) for n in range(100)]
    assert (quantile(values, 0.5), quantile(values, 0.95)) == (50.0, 95.0)
    assert quantile(values, 1.0) == 99.0
    assert quantile([], 0.5) == 0.0


def test_lost_plans_exclude_plans_that_were_refused_and_not_run():
    """Guards against lost plans that are counted as refusals, and the reverse."""
    plan = answered(request_class="plan", call="p")
    lost = msgspec.structs.replace(plan, verdict="lost")
    cut = msgspec.structs.replace(plan, verdict="refused", run="unknown")
    unrun = msgspec.structs.replace(plan, verdict="refused", run="not_run")
    counter = answered(verdict="lost")
    assert lost_plans([plan, lost, cut, unrun, counter]) == 2


def test_refusals_are_counted_by_class_and_kind():
    """Guards against failures that are missing from the table."""
    refused = answered(verdict="refused", kind="overloaded")
    assert refusals([answered(), refused, refused, answered(verdict="lost")]) == {
        "counter": {"refused: overloaded": 2, "lost: no end": 1}
    }


def test_longest_wait_covers_all_classes():
    """Guards against a longest wait that covers one class or instance only."""
    figures = compute(
        record_of(answered(), waits={"plan": 3.5, "counter": 0.1}), TARGETS
    )
    assert figures.longest_wait_s == 3.5
    assert figures.longest_first_token_s == pytest.approx(0.2)


@pytest.mark.parametrize(
    "record",
    [
        record_of(answered(verdict="wrong")),
        record_of(orders_executed={"o": 2}),
        record_of(
            answered(call="o", verdict="refused", run="not_run"),
            orders_executed={"o": 1},
        ),
        record_of(sheds={"counter": {"queue_full": 1}}),
        record_of(unfinished=1),
    ],
)
def test_each_violated_invariant_is_reported(record):
    """Guards against a quick run that does not report a violation."""
    assert find_violations(record)
    assert not find_violations(record_of(answered(), orders_executed={"o": 1}))


def test_sheds_of_lower_tiers_are_no_violation():
    """Guards against a check that reports any shed request as a violation."""
    assert not find_violations(record_of(sheds={"plan": {"queue_full": 3}}))


def test_events_are_joined_until_an_error():
    """Guards against a truncated answer that is counted as whole."""
    chunk = b'id: 0\ndata: {"id":"s-1","choices":[{"delta":{"content":"ab "}}]}\n\n'
    outcome = answered(stream="")
    assert parse_events(chunk + b"data: [DONE]\n\n", outcome) == ("ab ", True, False)
    assert outcome.stream == "s-1"
    error = b'event: error\ndata: {"error":{}}\n\n'
    assert parse_events(chunk + error, outcome) == ("ab ", False, True)


def figures_of(scenario: str, policy: str, **changes) -> Figures:
    """Returns the figures of a run that meets its goals, with changes."""
    figures = compute(record_of(answered()), TARGETS)
    defaults = {"goodput": 0.9, "wasted": 0.0, "attainment": {"counter": 1.0}}
    return msgspec.structs.replace(
        figures, scenario=scenario, policy=policy, **(defaults | changes)
    )


@pytest.mark.parametrize(
    ("scenario", "own", "baseline", "goal"),
    [
        ("calm", {"attainment": {"counter": 0.98}}, {}, "counter >= 99%"),
        ("calm", {"sheds": {"order": {"late": 1}}}, {}, "order not shed"),
        ("calm", {"lost_plans": 1}, {}, "no plan or menu lost"),
        ("calm", {"wasted": 0.02}, {}, "wasted < 1%"),
        ("calm", {"goodput": 0.8}, {}, "goodput >= 95% of best baseline"),
        ("crash", {"wasted": 0.04}, {"wasted": 0.1}, "wasted < 3%"),
        ("crash", {}, {"goodput": 0.95}, "goodput above both baselines"),
        (
            "crash",
            {"wasted": 0.02},
            {"wasted": 0.03},
            "wasted below half of either baseline",
        ),
    ],
)
def test_a_figure_beyond_its_goal_is_missed(scenario, own, baseline, goal):
    """Guards against a goal that is reported as met regardless of the figures."""
    runs = {
        (scenario, "default"): figures_of(scenario, "default", **own),
        (scenario, "least_outstanding"): figures_of(
            scenario, "least_outstanding", **baseline
        ),
    }
    verdicts = {verdict.goal: verdict.met for verdict in evaluate_goals(runs)}
    assert verdicts[goal] is False


def test_cost_of_a_noisy_team_is_judged_on_the_other_teams():
    """Guards against late answers of the noisy team counted for the other teams."""
    calm = figures_of("calm", "default", attainment_without_noisy={"counter": 1.0})
    cheap = {"attainment_without_noisy": {"counter": 0.99}}
    costly = {"attainment_without_noisy": {"counter": 0.97}}
    for changes, met in ((cheap, True), (costly, False)):
        noisy = figures_of("noisy_team", "default", **changes)
        runs = {("calm", "default"): calm, ("noisy_team", "default"): noisy}
        verdicts = {verdict.goal: verdict.met for verdict in evaluate_goals(runs)}
        assert verdicts["others' counter costs < 2 points"] is met


def test_goals_are_those_of_the_design():
    """Guards against goals that are adjusted to the measured figures."""
    assert (goals.ATTAINMENT, goals.WASTED_CALM, goals.WASTED_CRASH) == (
        0.99,
        0.01,
        0.03,
    )
    assert (goals.WASTED_OF_BASELINE, goals.GOODPUT_OF_BASELINE_CALM) == (0.5, 0.95)
    assert goals.NOISY_TEAM_COST == 0.02
