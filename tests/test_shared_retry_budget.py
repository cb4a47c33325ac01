"""Guards against instances whose retries together exceed the fleet's budget."""

import random

from lagoonrill._internal.coordination.policy.shared_retry_budget import (
    SharedRetryBudget,
)

WINDOW_S = 10.0
RATIO = 0.2
FIXED = 54.0
INSTANCES = 4


def test_no_window_of_the_fleet_holds_more_repeats_than_its_budget():
    # All requests fail and each instance tries to repeat them, under a load that
    # alternates between 10 and 80 requests per second.
    rng = random.Random(7)
    now = 0.0
    budgets = [
        SharedRetryBudget(
            ratio=RATIO, window_s=WINDOW_S, fixed=FIXED, clock=lambda: now
        )
        for _ in range(INSTANCES)
    ]
    requests, repeats = [], []
    while now < 60:
        rate = 80 if int(now / 7) % 2 else 10
        now += rng.expovariate(rate)
        budget = rng.choice(budgets)
        budget.note_request("s")
        requests.append(now)
        if budget.allow("s", instances=INSTANCES):
            repeats.append(now)
    for end in range(1, 61):
        start = end - WINDOW_S
        asked = sum(start < at <= end for at in requests)
        before = sum(start - WINDOW_S < at <= start for at in requests)
        repeated = sum(start < at <= end for at in repeats)
        assert repeated <= RATIO * max(asked, before) + FIXED
    assert repeats


def test_services_have_budgets_of_their_own():
    budget = SharedRetryBudget(ratio=0.0, window_s=10, fixed=1, clock=lambda: 0.0)
    assert budget.allow("a", instances=1)
    assert not budget.allow("a", instances=1)
    assert budget.allow("b", instances=1)
