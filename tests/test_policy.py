"""Guards the decisions of the routing policies."""

import pytest

from lagoonrill._internal.coordination.policy import (
    POLICY_NAMES,
    CacheEvent,
    build_policy,
)
from lagoonrill._internal.coordination.policy.prefix_affinity import PrefixIndex
from lagoonrill._internal.coordination.policy.retries import RetryBudget
from lagoonrill._internal.protocol.errors import SettingsError
from lagoonrill._internal.protocol.manifest import LatencyTarget, RequestClass
from tests.scheduler_kit import COUNTER, LOOKUP, PLAN, Kit, engine, request_class

ORDER = request_class("order", 0, repeatable=False)
GAP = RequestClass(
    name="gap",
    tier=0,
    latency=LatencyTarget(first_token_ms=1_000, token_gap_ms=72),
    protected=True,
)


def test_settings_select_every_policy_and_refuse_others():
    """A misspelt policy must not silently run as the default."""
    for name in POLICY_NAMES:
        assert build_policy(name, zone="a").name == name
    with pytest.raises(SettingsError, match="Use one of: default"):
        build_policy("defualt", zone="a")


def test_own_zone_is_preferred():
    """Requests must not cross zones without need."""
    kit = Kit(endpoints=[engine("e1", zone="b"), engine("e2", zone="a")])
    assert kit.submit().grant.endpoint.id == "e2"


def test_latency_target_takes_precedence_over_the_zone():
    """A request must not miss its target because it prefers its own zone."""
    kit = Kit(endpoints=[engine("e1", zone="b"), engine("e2", zone="a")])
    for _ in range(3):
        kit.table.note_speed("e1", first_token_s=0.2, token_gap_s=0.02)
        kit.table.note_speed("e2", first_token_s=1.5, token_gap_s=0.02)
    assert kit.submit(COUNTER).grant.endpoint.id == "e1"


def kit_with_straggler():
    """Builds engines with one slot each; e0 runs at a fifth of the others' speed."""
    kit = Kit(
        endpoints=[engine(f"e{n}", slots=1) for n in range(3)],
        classes=[GAP, LOOKUP, PLAN],
    )
    for _ in range(3):
        for n, gap_s in enumerate((0.1, 0.02, 0.02)):
            kit.table.note_speed(f"e{n}", first_token_s=0.2, token_gap_s=gap_s)
    return kit


def test_straggler_is_avoided():
    """An engine at a fifth of the speed must be the last choice."""
    kit = kit_with_straggler()
    chosen = [kit.submit(LOOKUP).grant.endpoint.id for _ in range(2)]
    assert sorted(chosen) == ["e1", "e2"]


def test_cached_prefix_attracts_a_long_prompt():
    """A prompt must go where its prefix is, even to a busier engine."""
    kit = Kit(endpoints=[engine("e1", slots=4), engine("e2", slots=4)])
    blocks = tuple(range(20))
    first = kit.submit(PLAN, prompt_tokens=1300, prompt_blocks=blocks)
    other = kit.submit(PLAN, prompt_tokens=1300, prompt_blocks=blocks)
    assert other.grant.endpoint.id == first.grant.endpoint.id
    fresh = kit.submit(PLAN, prompt_tokens=1300, prompt_blocks=(99, 98))
    assert fresh.grant.endpoint.id != first.grant.endpoint.id


def test_gap_in_cache_events_clears_the_index_of_the_engine():
    """A missed eviction must not leave index entries for blocks that are gone."""
    index = PrefixIndex()
    index.apply_events("e1", [CacheEvent(number=4, stored=(1, 2, 3))])
    assert index.cached_blocks("e1", (1, 2, 9)) == 2
    assert index.apply_events("e1", [CacheEvent(number=5, evicted=(2,))])
    assert index.cached_blocks("e1", (1, 2, 3)) == 1
    assert index.apply_events("e1", [CacheEvent(number=5, evicted=(1,))])
    assert index.cached_blocks("e1", (1,)) == 1, "a repeated event was applied twice"
    assert not index.apply_events("e1", [CacheEvent(number=7, stored=(8,))])
    assert index.cached_blocks("e1", (1,)) == 0
    assert index.cached_blocks("e1", (8,)) == 1


def test_prefix_index_is_bounded():
    """The index must stay within its size limits with many engines and prompts."""
    index = PrefixIndex(max_blocks=100, max_blocks_per_endpoint=60)
    index.note_sent("e1", tuple(range(200)))
    assert index.size() == 60
    assert index.cached_blocks("e1", (140, 141)) == 2
    for n in range(2, 12):
        index.note_sent(f"e{n}", tuple(range(200)))
    assert index.size() <= 100


def test_retries_stay_within_a_tenth_of_the_requests():
    """Retries must not multiply the load of a fleet that already fails."""
    budget = RetryBudget()
    while budget.allow_retry(LOOKUP):
        pass
    for _ in range(100):
        budget.note_request()
    allowed = [budget.allow_retry(LOOKUP) for _ in range(50)]
    assert allowed.count(True) in (9, 10)


def test_calls_that_are_not_repeatable_are_never_sent_twice():
    """An order must be neither retried nor hedged, whatever the budget."""
    for name in POLICY_NAMES:
        retries = build_policy(name, zone="a").retries
        for _ in range(100):
            retries.note_request()
        assert not retries.allow_retry(ORDER)
        assert not retries.allow_hedge(ORDER)
        assert retries.hedge_delay_s(ORDER, 0.2) is None


def test_hedges_share_the_budget_and_their_waste_is_counted():
    """Hedges must count against the retry budget."""
    budget = RetryBudget()
    assert budget.hedge_delay_s(LOOKUP, 0.5) == 1.5
    assert budget.allow_hedge(LOOKUP)
    while budget.allow_retry(LOOKUP):
        pass
    assert not budget.allow_hedge(LOOKUP)
    budget.note_wasted("lookup", 40)
    dump = budget.dump()
    assert (dump.hedges, dump.denied) == ({"lookup": 1}, {"lookup": 2})
    assert dump.wasted_tokens == {"lookup": 40}


def test_output_length_prefers_the_team_once_known():
    """Answers of a team that writes long ones must not be estimated by the class."""
    lengths = build_policy("default", zone="a").output_length
    for _ in range(20):
        lengths.note("plan", "oak", 100)
    for _ in range(4):
        lengths.note("plan", "elm", 1000)
    assert lengths.estimate("plan", "elm") < 500
    lengths.note("plan", "elm", 1000)
    assert lengths.estimate("plan", "elm") == 1000


def test_round_robin_takes_endpoints_in_turn():
    """A baseline that spreads requests unevenly would make comparisons invalid."""
    kit = Kit(
        endpoints=[engine(f"e{n}", slots=2) for n in range(3)],
        policy="fifo_round_robin",
    )
    chosen = [kit.submit().grant.endpoint.id for _ in range(6)]
    assert chosen == ["e0", "e1", "e2"] * 2


def test_least_outstanding_takes_the_least_busy_endpoint():
    """The baseline must consider the number of outstanding requests only."""
    kit = Kit(
        endpoints=[engine("e1", slots=4), engine("e2", slots=4)],
        policy="least_outstanding",
    )
    chosen = [kit.submit().grant.endpoint.id for _ in range(4)]
    assert sorted(chosen) == ["e1", "e1", "e2", "e2"]


def test_question_waits_for_a_faster_slot_than_a_stragglers():
    """A question that can still wait must not miss its target on a straggler."""
    kit = kit_with_straggler()
    running = [kit.submit(GAP) for _ in range(2)]
    waiting = kit.submit(GAP)
    assert waiting.grant is None
    assert kit.submit(PLAN).grant.endpoint.id == "e0", "others may use the straggler"
    kit.release(running[0])
    assert waiting.grant.endpoint.id != "e0"


def test_question_takes_the_straggler_after_a_limited_wait():
    """A question must not be shed while only a straggler is free."""
    kit = kit_with_straggler()
    entries = [kit.submit(GAP) for _ in range(3)]
    kit.advance(0.79)
    assert entries[2].grant is None
    kit.advance(0.02)
    assert entries[2].grant.endpoint.id == "e0"


def test_preemption_spares_work_on_a_straggler():
    """Taking a straggler's slot would waste a plan and still miss the target."""
    kit = kit_with_straggler()
    plans = [kit.submit(PLAN, prompt_tokens=9_000) for _ in range(2)]
    plans.append(kit.submit(PLAN, prompt_tokens=10))
    assert plans[2].grant.endpoint.id == "e0"
    kit.submit(GAP)
    kit.advance(0.6)
    assert [plan.grant.preempted.is_set() for plan in plans].count(True) == 1
    assert not plans[2].grant.preempted.is_set()


def kit_with_paused_plan():
    """Builds one engine with a running plan and a paused plan that is not cached."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    running = kit.submit(PLAN)
    paused = kit.ticket(PLAN, prompt_blocks=(1, 2, 3), paused_at=kit.clock())
    return kit, running, kit.scheduler.submit(paused)


def test_paused_stream_leaves_a_slot_without_its_prompt_to_others():
    """A preempted plan must not prefill again while another plan needs the slot."""
    kit, running, paused = kit_with_paused_plan()
    other = kit.submit(PLAN)
    kit.release(running)
    assert other.grant is not None and paused.grant is None


def test_paused_stream_takes_any_slot_without_other_waiters():
    """A slot must not stay idle because a waiting prompt is not cached there."""
    kit, running, paused = kit_with_paused_plan()
    kit.release(running)
    assert paused.grant is not None


def test_paused_stream_yields_slots_for_a_limited_time():
    """A plan whose engine is gone must not starve behind new plans."""
    kit, running, paused = kit_with_paused_plan()
    kit.advance(16)
    other = kit.submit(PLAN)
    kit.release(running)
    assert paused.grant is not None and other.grant is None
