"""Guards the load, failure share and suspicion that an instance keeps per endpoint."""

import random
import threading

import msgspec
import pytest

from lagoonrill._internal.coordination.policy.service_placement import (
    LeastLoadedEndpoint,
    ServiceEndpointView,
)
from lagoonrill._internal.protocol.routing import EndpointRecord
from lagoonrill._internal.state.endpoint_registry import (
    MAX_REPORTED_ENDPOINTS,
    EndpointRegistry,
)


def record(id: str, zone: str = "a") -> EndpointRecord:
    return EndpointRecord(id=id, service="s", address="127.0.0.1:1", zone=zone, slots=4)


def registry(*ids: str, clock=lambda: 0.0) -> EndpointRegistry:
    built = EndpointRegistry(clock=clock)
    built.replace({id: record(id) for id in ids})
    return built


def test_calls_of_many_threads_are_all_counted():
    # Without a lock, a lost update leaves the count wrong until the process restarts.
    built = registry("a")

    def call():
        for _ in range(2_000):
            with built.call("a"):
                pass

    threads = [threading.Thread(target=call) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert built.outstanding("a") == 0


def test_an_endpoint_that_cannot_be_reached_is_avoided_longer_each_time():
    now = [0.0]
    built = registry("a", clock=lambda: now[0])
    lengths = []
    for _ in range(5):
        assert built.note_failure("a", unreachable=True)
        assert built.is_suspect("a")
        lengths.append(built.health["a"].suspect_until - now[0])
        now[0] = built.health["a"].suspect_until
    assert lengths == [0.5, 1.0, 2.0, 4.0, 4.0]
    # Successful calls and time reset the duration to the first one.
    for _ in range(80):
        built.note_success("a")
        built.decay()
    assert built.note_failure("a", unreachable=True)
    assert built.health["a"].suspect_until - now[0] == pytest.approx(0.5, abs=0.02)


def test_an_endpoint_that_fails_some_calls_is_avoided_and_tried_again():
    built = registry("a")
    for _ in range(4):
        built.note_failure("a", unreachable=False)
    assert built.is_suspect("a")
    for _ in range(10):
        built.decay()
    assert not built.is_suspect("a")


def send_reports(sender: EndpointRegistry, name: str, listeners) -> None:
    for listener in listeners:
        listener.update_peer_calls(name, sender.doubtful())


def failed_calls(*, fails, exchange: bool) -> int:
    """Simulates 12 instances that each call three endpoints for ten seconds.

    Each instance makes one call per second. `fails(instance, endpoint)` decides whether
    a call fails.
    """
    now = [0.0]
    instances = [registry("x", "y", "z", clock=lambda: now[0]) for _ in range(12)]
    placement = LeastLoadedEndpoint(zone="a")
    failed = 0
    for step in range(10 * len(instances)):
        number = step % len(instances)
        instance = instances[number]
        views = [
            ServiceEndpointView(
                record=record(id),
                # Unseen calls of other instances spread the choices.
                outstanding=random.Random(f"{step}/{id}").randrange(3),
                failure_share=instance.failure_share(id),
                suspect=instance.is_suspect(id),
            )
            for id in ("x", "y", "z")
        ]
        chosen = placement.choose(views).id
        if fails(number, chosen):
            failed += 1
            instance.note_failure(chosen, unreachable=False)
        else:
            instance.note_success(chosen)
        others = [other for other in instances if other is not instance]
        if exchange:
            send_reports(instance, f"i{number}", others)
        now[0] += 1 / len(instances)
        if step % (len(instances) // 2) == 0:
            for item in instances:
                item.decay()
    return failed


def test_instances_share_reports_of_a_failing_endpoint():
    # Without shared reports, every instance loses some calls to the same endpoint.
    def fails(instance, endpoint):
        return endpoint == "x"

    alone = failed_calls(fails=fails, exchange=False)
    together = failed_calls(fails=fails, exchange=True)
    assert alone > 12
    assert together <= alone / 3


def test_an_endpoint_that_fails_for_one_peer_only_stays_in_use():
    built = registry("x")
    for _ in range(8):
        built.note_success("x")
    peer = registry("x")
    for _ in range(50):
        peer.note_failure("x", unreachable=False)
    send_reports(peer, "peer", [built])
    assert peer.is_suspect("x")
    assert not built.is_suspect("x")


def test_reports_of_peers_end_with_the_peer_and_with_the_incarnation():
    built, peer = registry("x"), registry("x")
    for _ in range(4):
        peer.note_failure("x", unreachable=False)
    send_reports(peer, "peer", [built])
    assert built.is_suspect("x")
    built.drop_peer("peer")
    assert not built.is_suspect("x")
    assert not built.peer_calls
    send_reports(peer, "peer", [built])
    restarted = msgspec.structs.replace(record("x"), incarnation=7)
    built.replace({"x": restarted})
    assert not built.is_suspect("x")


def test_instances_stop_reporting_an_endpoint_that_has_recovered():
    # Otherwise each instance keeps reporting because the other one does.
    first, second = registry("x"), registry("x")
    for _ in range(4):
        first.note_failure("x", unreachable=False)
    for _ in range(40):
        for one, other, name in ((first, second, "first"), (second, first, "second")):
            one.note_success("x")
            one.decay()
            send_reports(one, name, [other])
    assert first.doubtful() == second.doubtful() == []


def test_reports_about_a_failing_zone_are_limited():
    names = [f"e{number}" for number in range(200)]
    built = registry(*names)
    for number, name in enumerate(names):
        for _ in range(1 + (number == 150)):
            built.note_failure(name, unreachable=False)
    reported = built.doubtful()
    assert len(reported) == MAX_REPORTED_ENDPOINTS
    assert reported[0].endpoint == "e150"


@pytest.mark.parametrize("period_s", [1.0, 2.0])
def test_a_flapping_endpoint_costs_few_calls(period_s):
    # An endpoint that alternates between up and down must not be trusted again after
    # each successful call.
    now = [0.0]
    built = registry("x", "y", clock=lambda: now[0])
    failed = 0
    for step in range(200):
        now[0] = step * 0.1
        down = int(now[0] / period_s) % 2 == 0
        chosen = "y" if built.is_suspect("x") else "x"
        if chosen == "x" and down:
            failed += 1
            built.note_failure("x", unreachable=True)
        else:
            built.note_success(chosen)
        if step % 5 == 0:
            built.decay()
    # It is down half of the time, so that 100 calls could fail.
    assert failed <= 10


def choose(**views) -> str:
    found = [
        ServiceEndpointView(
            record=record(id, zone),
            outstanding=outstanding,
            failure_share=share,
            suspect=suspect,
        )
        for id, (zone, outstanding, share, suspect) in views.items()
    ]
    return LeastLoadedEndpoint(zone="a").choose(found).id


def test_choice_by_load_zone_failures_and_suspicion():
    assert choose(x=("a", 0, 0.0, False), y=("b", 0, 0.0, False)) == "x"
    assert choose(x=("a", 4, 0.0, False), y=("b", 0, 0.0, False)) == "y"
    assert choose(x=("a", 0, 0.3, False), y=("b", 0, 0.0, False)) == "y"
    assert choose(x=("a", 0, 0.0, True), y=("b", 8, 0.5, False)) == "y"
    assert choose(x=("a", 0, 0.0, True)) == "x"
