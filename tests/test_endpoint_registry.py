"""Guards what one instance believes about endpoints: load, failures and trust."""

import threading

from lagoonrill._internal.coordination.policy.service_placement import (
    LeastLoadedEndpoint,
    ServiceEndpointView,
)
from lagoonrill._internal.protocol.routing import EndpointRecord
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry


def record(id: str, zone: str = "a") -> EndpointRecord:
    return EndpointRecord(id=id, service="s", address="127.0.0.1:1", zone=zone, slots=4)


def registry(*ids: str, clock=lambda: 0.0) -> EndpointRegistry:
    built = EndpointRegistry(clock=clock)
    built.replace({id: record(id) for id in ids})
    return built


def test_calls_of_many_threads_are_all_counted():
    # Without a lock, counts that were lost stayed wrong for the life of the process.
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
    built.note_success("a")
    assert built.health["a"].failures_in_a_row == 0


def test_an_endpoint_that_fails_some_calls_is_avoided_and_tried_again():
    built = registry("a")
    for _ in range(4):
        built.note_failure("a", unreachable=False)
    assert built.is_suspect("a")
    for _ in range(10):
        built.decay()
    assert not built.is_suspect("a")


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


def test_choice_by_load_zone_failures_and_trust():
    assert choose(x=("a", 0, 0.0, False), y=("b", 0, 0.0, False)) == "x"
    assert choose(x=("a", 4, 0.0, False), y=("b", 0, 0.0, False)) == "y"
    assert choose(x=("a", 0, 0.3, False), y=("b", 0, 0.0, False)) == "y"
    assert choose(x=("a", 0, 0.0, True), y=("b", 8, 0.5, False)) == "y"
    assert choose(x=("a", 0, 0.0, True)) == "x"
