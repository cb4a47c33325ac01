"""Computes the figures of a run from its record."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

import msgspec

from lagoonrill._internal.protocol.manifest import LatencyTarget

from .arrivals import NOISY_TEAM
from .goals import LOSSLESS_CLASSES, PROTECTED_CLASSES
from .records import EngineExecution, Outcome, RunRecord


class Figures(msgspec.Struct, kw_only=True):
    """Figures of one run; times are in seconds, shares from 0 to 1."""

    scenario: str
    policy: str
    attainment: dict[str, float]
    attainment_without_noisy: dict[str, float]
    offered: dict[str, int]
    goodput: float
    wasted: float
    generated: int
    added_p50_s: float
    added_p95_s: float
    added_p99_s: float
    sheds: dict[str, dict[str, int]]
    refusals: dict[str, dict[str, int]]
    lost_plans: int
    longest_wait_s: float
    longest_waits: dict[str, float]
    longest_first_token_s: float
    load_average: float


def met_target(outcome: Outcome, target: LatencyTarget) -> bool:
    """Returns whether a complete response met the latency target of its class."""
    if outcome.verdict != "whole":
        return False
    limits = (
        (outcome.elapsed_s, target.whole_answer_ms),
        (outcome.first_token_s, target.first_token_ms),
        (outcome.token_gap_s, target.token_gap_ms),
    )
    return all(
        limit_ms is None or (seconds is not None and seconds * 1e3 <= limit_ms)
        for seconds, limit_ms in limits
    )


def attainment(
    outcomes: Iterable[Outcome], targets: Mapping[str, LatencyTarget]
) -> dict[str, float]:
    """Returns the share of requests that met their target, by class."""
    offered: Counter[str] = Counter()
    met: Counter[str] = Counter()
    for outcome in outcomes:
        offered[outcome.request_class] += 1
        met[outcome.request_class] += met_target(
            outcome, targets[outcome.request_class]
        )
    return {name: met[name] / count for name, count in offered.items()}


def goodput(record: RunRecord, targets: Mapping[str, LatencyTarget]) -> float:
    """Returns tokens of responses within their target, per slot-second."""
    tokens = sum(
        outcome.tokens
        for outcome in record.outcomes
        if met_target(outcome, targets[outcome.request_class])
    )
    return tokens / (record.slots * record.seconds)


def wasted_share(record: RunRecord) -> float:
    """Returns the share of generated tokens that are not in a complete response."""
    generated = sum(engine.generated for engine in record.engines)
    useful = sum(o.tokens for o in record.outcomes if o.verdict == "whole")
    return (generated - useful) / generated if generated else 0.0


def stream_name(stream: str) -> str:
    """Returns the id of a stream without the attempt number of the router.

    >>> stream_name("abc-2"), stream_name("abc"), stream_name("")
    ('abc', 'abc', '')
    """
    return stream.partition("-")[0]


def first_executions(record: RunRecord) -> dict[str, EngineExecution]:
    """Returns, by stream, the first execution that generated a token."""
    first: dict[str, EngineExecution] = {}
    for execution in sorted(record.executions, key=lambda item: item.received_at):
        if execution.first_token_at is not None:
            first.setdefault(stream_name(execution.stream), execution)
    return first


def added_delays(record: RunRecord) -> list[float]:
    """Returns the sorted first-token delays that the router added to the engine's.

    The delay includes the time in the router's queue. Responses that took several
    attempts are omitted, since there is no single engine execution to compare with.
    """
    executions = first_executions(record)
    delays = []
    for outcome in record.outcomes:
        first = executions.get(stream_name(outcome.stream))
        if outcome.attempts != 1 or outcome.first_at is None or first is None:
            continue
        engine_s = first.first_token_at - first.received_at
        delays.append(outcome.first_at - outcome.sent_at - engine_s)
    return sorted(delays)


def quantile(ordered: list[float], share: float) -> float:
    """Returns a quantile of sorted values, or 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def refusals(outcomes: Iterable[Outcome]) -> dict[str, dict[str, int]]:
    """Counts requests without a complete response by class and error kind."""
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for outcome in outcomes:
        if outcome.verdict != "whole":
            kind = f"{outcome.verdict}: {outcome.kind or 'no end'}"
            counts[outcome.request_class][kind] += 1
    return {name: dict(kinds) for name, kinds in counts.items()}


def lost_plans(outcomes: Iterable[Outcome]) -> int:
    """Counts plans and menus that failed, except those refused as not run."""
    return sum(
        outcome.request_class in LOSSLESS_CLASSES
        and outcome.verdict != "whole"
        and not (outcome.verdict == "refused" and outcome.run == "not_run")
        for outcome in outcomes
    )


def compute(record: RunRecord, targets: Mapping[str, LatencyTarget]) -> Figures:
    """Computes all figures of a run."""
    delays = added_delays(record)
    first_tokens = [o.first_token_s for o in record.outcomes if o.first_at is not None]
    without_noisy_team = [o for o in record.outcomes if o.team != NOISY_TEAM]
    return Figures(
        scenario=record.scenario,
        policy=record.policy,
        attainment=attainment(record.outcomes, targets),
        attainment_without_noisy=attainment(without_noisy_team, targets),
        offered=dict(Counter(o.request_class for o in record.outcomes)),
        goodput=goodput(record, targets),
        wasted=wasted_share(record),
        generated=sum(engine.generated for engine in record.engines),
        added_p50_s=quantile(delays, 0.5),
        added_p95_s=quantile(delays, 0.95),
        added_p99_s=quantile(delays, 0.99),
        sheds=record.sheds,
        refusals=refusals(record.outcomes),
        lost_plans=lost_plans(record.outcomes),
        longest_wait_s=max(record.waits.values(), default=0.0),
        longest_waits=record.waits,
        longest_first_token_s=max(first_tokens, default=0.0),
        load_average=record.load_average,
    )


def find_violations(record: RunRecord) -> list[str]:
    """Returns violations of the invariants that hold in every run.

    Shedding is checked for the default policy only. In every scenario the protected
    classes alone stay below capacity, so a protected request is shed only in favour of
    a lower tier.
    """
    problems = []
    wrong = [o.call for o in record.outcomes if o.verdict == "wrong"]
    if wrong:
        problems.append(f"answers that are not the request's own: {wrong[:5]}")
    twice = [call for call, count in record.orders_executed.items() if count > 1]
    if twice:
        problems.append(f"orders executed more than once: {twice[:5]}")
    refused = [
        outcome.call
        for outcome in record.outcomes
        if outcome.verdict == "refused"
        and outcome.run == "not_run"
        and record.orders_executed.get(outcome.call)
    ]
    if refused:
        problems.append(f"orders that ran but were answered not_run: {refused[:5]}")
    mismatches = sum(engine.continuation_mismatches for engine in record.engines)
    if mismatches:
        problems.append(f"{mismatches} continuations began with a wrong text")
    if record.policy == "default":
        for name in PROTECTED_CLASSES:
            shed = record.sheds.get(name)
            if shed:
                problems.append(f"class {name} was shed: {shed}")
    if record.unfinished:
        problems.append(f"{record.unfinished} requests did not end")
    return problems
