"""Guards against generations that decrease or reach subscribers out of order."""

import threading

from lagoonrill._internal.protocol.objects import ConfigRecord
from lagoonrill._internal.state.generation import GenerationState, PauseDetector
from tests.rollout_fleet import Clock, manifest


def record(generation: int) -> ConfigRecord:
    return ConfigRecord(
        generation=generation,
        base_generation=generation - 1,
        proposal_id=f"p{generation}",
        digest=f"d{generation}",
        manifest=manifest(generation),
        written_at=0.0,
    )


def test_concurrent_offers_reach_subscribers_in_order():
    state = GenerationState()
    seen = []
    state.subscribe(lambda found: seen.append(found.generation))

    def offer(start):
        for generation in range(start, 200, 4):
            state.offer(record(generation))

    threads = [threading.Thread(target=offer, args=(n,)) for n in range(1, 5)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert seen == sorted(set(seen))
    assert state.current().generation == state.applied().generation == seen[-1] == 199


def test_late_subscriber_receives_the_current_record():
    state = GenerationState()
    state.offer(record(2))
    seen = []
    state.subscribe(lambda found: seen.append(found.generation))
    assert not state.offer(record(2))
    assert not state.offer(record(1))
    assert seen == [2]


def test_record_offered_by_a_subscriber_is_not_followed_by_the_older_one():
    state = GenerationState()
    seen = []
    state.subscribe(lambda found: state.offer(record(2)))
    state.subscribe(lambda found: seen.append(found.generation))
    state.offer(record(1))
    assert seen == [2]
    assert state.applied().generation == 2


def test_failed_subscriber_leaves_the_record_unapplied_and_others_served():
    state = GenerationState()
    seen = []

    def fail(found):
        if found.generation == 2:
            raise RuntimeError("no slots")

    state.subscribe(fail)
    state.subscribe(lambda found: seen.append(found.generation))
    for generation in (1, 2):
        state.offer(record(generation))
    assert seen == [1, 2]
    assert state.applied().generation == 1
    assert "no slots" in state.dump().apply_error
    state.offer(record(3))
    assert (state.applied().generation, state.apply_error()) == (3, "")


def test_pause_that_begins_during_a_confirmation_is_not_cleared():
    clock = Clock()
    pauses = PauseDetector(clock=clock)
    clock.sleep(0.9)
    assert pauses.unconfirmed_pause_s() == 0
    clock.sleep(5)
    count = pauses.pause_count()
    clock.sleep(7)
    assert not pauses.confirm(count)
    assert pauses.unconfirmed_pause_s() == 12
    assert pauses.confirm(pauses.pause_count())
    assert pauses.unconfirmed_pause_s() == 0
