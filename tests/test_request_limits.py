"""Guards the limits that endpoints name, with real gateways in front of them."""

import time

import pytest

from bench.soak.checks import LIMIT_KNOWN_S, LIMIT_WINDOW_S, check_limits
from bench.soak.environment import SoakEnvironment
from bench.soak.history import History, NamedLimit, Run

SETTLING_S = 1.0


@pytest.fixture
def fleet(tmp_path):
    environment = SoakEnvironment(folder=tmp_path, seed=1, gateways=4, callers=12)
    try:
        environment.start()
        time.sleep(SETTLING_S)
        yield environment
    finally:
        environment.close()


@pytest.mark.parametrize(
    "limited", [["i-4"], ["i-1"], ["i-1", "i-2", "i-3"]], ids=["engine", "one", "all"]
)
def test_endpoint_gets_no_more_requests_than_it_names(fleet, limited):
    for id in limited:
        fleet.limit_endpoint(id, 2.0)
    time.sleep(LIMIT_KNOWN_S + 1.5 * LIMIT_WINDOW_S)
    assert check_limits(fleet.history) == []


def test_requests_beyond_a_limit_are_a_violation():
    history = History()
    history.add(NamedLimit(endpoint="e", limit=1.0, began_at=0.0, ended_at=20.0))
    for number in range(12):
        history.add(Run(request=f"r{number}", endpoint="e", at=8.0 + number / 4))
    assert "got 12 requests in 4 s; allowed 11" in check_limits(history)[0]
    history.runs.pop()
    assert check_limits(history) == []
