"""Guards against a policy that fits known deployments only, over random ones."""

import pytest

from bench.placement_grid import draw_point, play

# Seeds 1, 12 and 15 failed while two fifths of the engines were kept for
# long prompts, whatever the demand of the urgent kind.
SEEDS = (1, 12, 15, 36)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_most_urgent_kind_is_not_crowded_out(seed):
    result = play(draw_point(seed))
    assert not result.fails(), result
