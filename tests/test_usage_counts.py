"""Guards what counts as begun: each request once, and none that an endpoint refused."""

import pytest

from lagoonrill._internal.duties.usage import UsageLedger, WindowClock
from tests.gateway_kit import KEY, wait_until
from tests.test_gateway_sends import UNSAFE_RESULTS


@pytest.fixture
def counted(gateway_for):
    """Returns a gateway, and a function for its counted requests."""

    def build(service: str, *scripts: list[str]):
        gateway, endpoints = gateway_for(service, *scripts)
        ledger = UsageLedger(
            instance="g", incarnation=1, clock=WindowClock(window_s=60), late_after_s=3
        )
        gateway.listener.forwarder.usage = ledger

        def total() -> int:
            last = ledger.clock.window()
            return sum(ledger.counts(n).get("shop", 0) for n in (last - 1, last))

        return gateway, endpoints, total

    return build


@pytest.mark.parametrize("name", UNSAFE_RESULTS)
def test_a_call_counts_if_it_has_or_may_have_run(counted, name):
    _, ran = UNSAFE_RESULTS[name]
    gateway, _, total = counted("app", [name], [name])
    gateway.ask("/order/1")
    assert total() == int(ran)


def test_a_repeated_call_counts_once(counted):
    gateway, (first, second), total = counted("app", ["error_500"], ["answer"])
    while not (first.runs and second.runs):
        before = total()
        assert gateway.ask("/status/1")[0].status == 200
        assert total() == before + 1


def test_a_stream_counts_at_its_first_event_and_once_if_it_is_resumed(counted):
    gateway, endpoints, total = counted("models", ["stream_cut"], ["stream"])
    for _ in endpoints:
        before = total()
        gateway.ask("/ask/1")
        assert total() == before + 1


def test_a_stream_without_an_event_does_not_count(counted):
    gateway, _, total = counted("models", ["error_500"], ["error_500"])
    gateway.ask("/ask/1")
    assert total() == 0


def test_a_stream_that_its_caller_takes_up_was_counted_before(counted):
    gateway, _, total = counted("models", ["stream"])
    gateway.ask("/ask/1", headers={"Last-Event-Id": "1"})
    assert total() == 0


def test_a_call_whose_caller_left_counts(counted):
    gateway, (endpoint,), total = counted("app", ["silent"])
    connection = gateway.connect()
    headers = {"Host": "shop.example", "Authorization": f"Bearer {KEY}"}
    connection.request("POST", "/order/1", headers={**headers, "X-Request-Id": "r1"})
    assert wait_until(lambda: endpoint.received, 3)
    connection.close()
    assert wait_until(lambda: total() == 1, 3)
