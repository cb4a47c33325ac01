"""Guards against instances that choose the same engines at the same time.

Each instance knows the work of the others as it was 0.1 to 0.3 s before. The figures of
all ways that were compared are in docs/design/even-load.md.
"""

import statistics
from collections import Counter

import pytest

from bench.even_load import WAYS, run_way
from lagoonrill._internal.coordination.policy.engine_placement import (
    SMALL_FLEET,
    PackedPlacement,
    PromptJob,
    highest_ranked,
)
from lagoonrill._internal.protocol.routing import PromptPart

ENGINES = [f"engine-{number:03}" for number in range(23)]


def figures(name: str, deciders: int, engines: int, seconds: float):
    """Returns the means of two seeds, with a quarter of the engines at half speed."""
    way, options = WAYS[name]
    runs = [
        run_way(
            way,
            deciders,
            engines,
            seconds,
            seed=seed,
            load=0.8,
            slow_share=0.25,
            **options,
        )
        for seed in (1, 2)
    ]
    return {
        field: statistics.mean(getattr(run, field) for run in runs)
        for field in ("long_in_goal", "short_in_goal", "spread_s", "read_share")
    }


@pytest.mark.parametrize(
    ("deciders", "engines", "seconds"), [(29, 45, 8), (67, 70, 8), (390, 120, 6)]
)
def test_engines_are_loaded_more_evenly_than_by_a_few_of_a_crc(
    deciders, engines, seconds
):
    before = figures("few by CRC", deciders, engines, seconds)
    now = figures("policy", deciders, engines, seconds)
    assert now["spread_s"] < before["spread_s"]
    assert now["long_in_goal"] >= before["long_in_goal"]
    assert now["short_in_goal"] >= before["short_in_goal"] - 0.005
    # A more even load must not cost prefix hits.
    assert now["read_share"] < before["read_share"] + 0.01


def test_a_small_fleet_chooses_among_all_engines_as_before():
    assert figures("policy", 4, 9, 8) == figures("least loaded", 4, 9, 8)


def test_hashes_give_each_engine_its_share():
    # By a CRC, one of 23 engines was the first for 2.9 times its share of the keys, and
    # the four considered were always one of 22 sets.
    first, sets = Counter(), set()
    keys = 4_000
    for number in range(keys):
        found = highest_ranked(f"r{number}", ENGINES, 4)
        first[found[0]] += 1
        sets.add(frozenset(found))
    assert max(first.values()) < 1.3 * keys / len(ENGINES)
    assert len(sets) > 2_000


def test_the_expected_engine_of_a_prefix_is_among_those_considered():
    # Prompts of a new prefix that arrive together are sent to one engine, which then
    # reads the prefix once.
    policy = PackedPlacement(zone="a")
    for number in range(50):
        job = PromptJob(
            id=f"r{number}",
            parts=(
                PromptPart(id=f"p{number}", tokens=4_000),
                PromptPart(id="own", tokens=900),
            ),
            prompt_tokens=4_900,
            heavy=True,
            goal_s=1.0,
            pause_goal_s=0.3,
        )
        listed = policy.shortlist(job, ENGINES, 4, frozenset())
        assert listed.expected == listed.main[0]
    small = policy.shortlist(job, ENGINES[:SMALL_FLEET], 4, frozenset())
    assert small.expected == ""
    assert small.main == ENGINES[4:SMALL_FLEET]
