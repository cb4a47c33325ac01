"""Guards the pauses that endpoints ask for when they turn requests away."""

import random
import threading
import time

import pytest
from hypothesis import given, settings, strategies as st

from lagoonrill._internal.protocol.answer_signals import (
    MAX_PAUSE_S,
    PAUSE_STATUS,
    read_signals,
)
from lagoonrill._internal.protocol.headers import HeaderNames
from lagoonrill._internal.state.endpoint_pauses import TRIAL_S, EndpointPauses

PAUSE_S = 0.5
SERVICES = [("app", "/order/1", "answer"), ("models", "/ask/1", "stream")]


class Endpoint:
    """Pauses of one endpoint at a simulated time."""

    def __init__(self):
        self.now = 100.0
        self.pauses = EndpointPauses(clock=lambda: self.now)

    def take(self, incarnation: int = 1) -> bool:
        return self.pauses.take("e", incarnation)


@pytest.fixture
def endpoint():
    return Endpoint()


@pytest.mark.parametrize(
    ("text", "pause_s"),
    [
        (b"0", 0.0),
        (b"0.3", 0.3),
        (b"1000000000", MAX_PAUSE_S),
        (b"-1", 0.0),
        (b"soon", 0.0),
        (b"NaN", 0.0),
        (b"", 0.0),
        (b"Thu, 01 Jan 1970 00:00:00 GMT", 0.0),
        (b"Fri, 31 Dec 9999 23:59:59 GMT", MAX_PAUSE_S),
    ],
)
def test_each_form_of_a_pause_has_a_meaning(text, pause_s):
    names = HeaderNames()
    headers = [(b"Retry-After", text)]
    assert read_signals(PAUSE_STATUS, headers, names).pause_s == pause_s
    # Other statuses ask for no pause.
    assert read_signals(429, headers, names).pause_s == 0.0


def test_one_request_tries_an_endpoint_after_its_pause(endpoint):
    endpoint.pauses.begin("e", 1, 2.0)
    endpoint.now += 2.0
    assert [endpoint.take() for _ in range(5)] == [True] + [False] * 4
    # The trial is not answered.
    endpoint.now += TRIAL_S
    assert endpoint.take()


def test_an_answer_to_an_earlier_request_does_not_end_a_pause(endpoint):
    sent_at = endpoint.now
    endpoint.pauses.begin("e", 1, 2.0)
    endpoint.now += 2.5
    endpoint.pauses.end("e", 1, sent_at=sent_at)
    assert [endpoint.take(), endpoint.take()] == [True, False]


def test_a_shorter_pause_does_not_end_a_longer_one(endpoint):
    endpoint.pauses.begin("e", 1, 2.0)
    endpoint.pauses.begin("e", 1, 0.1)
    endpoint.now += 1.0
    assert not endpoint.take()


def test_a_pause_ends_with_a_restart_of_the_endpoint(endpoint):
    endpoint.pauses.begin("e", 1, 60.0)
    assert endpoint.take(incarnation=2)
    endpoint.pauses.keep_only([])
    assert endpoint.take()


@settings(max_examples=100, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_no_order_of_answers_sends_into_a_pause(seed):
    rng = random.Random(seed)
    endpoint = Endpoint()
    until = 0.0
    for _ in range(60):
        endpoint.now += rng.expovariate(3.0)
        if rng.random() < 0.3:
            pause_s = rng.choice([0.1, 1.0, 3.0])
            until = max(until, endpoint.now + pause_s)
            endpoint.pauses.begin("e", 1, pause_s)
        elif rng.random() < 0.5:
            age_s = rng.expovariate(1.0)
            endpoint.pauses.end("e", 1, sent_at=endpoint.now - age_s)
        elif endpoint.take():
            assert endpoint.now >= until


@pytest.mark.parametrize(("service", "path", "answer"), SERVICES)
def test_other_endpoints_take_the_requests_in_a_pause(
    gateway_for, service, path, answer
):
    gateway, (first, second) = gateway_for(service, ["paused", answer], [answer])
    for number in range(5):
        expected = 503 if service == "app" and number == 0 else 200
        status = gateway.ask(path, id=f"r{number}")[0].status
        assert status in (200, expected)
    assert len(first.received) == 1


@pytest.mark.parametrize(("service", "path", "answer"), SERVICES)
def test_requests_wait_for_the_end_of_a_pause_in_time(
    gateway_for, service, path, answer
):
    gateway, (endpoint,) = gateway_for(service, ["paused", answer])
    response, _ = gateway.ask(path, id="r0")
    assert response.status == 503
    assert float(response.getheader("Retry-After")) > PAUSE_S - 0.1
    threads = [
        threading.Thread(target=gateway.ask, args=(path,), kwargs={"id": f"r{n}"})
        for n in range(1, 6)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refused_at, *others = (request.at for request in endpoint.received)
    assert len(others) == 5
    # The clock starts after the refusal was received.
    assert min(others) >= refused_at + PAUSE_S


@pytest.mark.parametrize(("service", "path", "answer"), SERVICES)
def test_requests_without_time_are_refused_at_once_with_the_true_time(
    gateway_for, service, path, answer
):
    gateway, (endpoint,) = gateway_for(service, ["paused", answer])
    gateway.ask(path, id="r0")
    began_at = time.monotonic()
    response, _ = gateway.ask(path, id="r1", headers={"X-Deadline-Ms": "450"})
    assert time.monotonic() - began_at < 0.25
    assert response.status == 503
    assert float(response.getheader("Retry-After")) > PAUSE_S - 0.3
    assert len(endpoint.received) == 1
