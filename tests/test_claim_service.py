"""Guards the claim service against store outages, restarts and lost peer replies."""

import json
import threading
import time

import pytest
import urllib3
from returns.result import Failure, Success

from bench.processes import start_stand_in
from lagoonrill._internal.coordination.claims import (
    ClaimService,
    digest_body,
)
from lagoonrill._internal.protocol.claim_errors import (
    ClaimInDoubt,
    ClaimNotMade,
    KeyReused,
    NoPeer,
    OutcomeKnown,
    OutcomeUnknown,
)
from lagoonrill._internal.protocol.claim_records import Outcome
from lagoonrill._internal.protocol.errors import PeerError
from lagoonrill._internal.protocol.messages import (
    ClaimReply,
    decode_message,
    encode_message,
)
from lagoonrill._internal.protocol.settings import ClaimSettings, PlatformSettings
from lagoonrill._internal.transport.object_api import ObjectApi

ANSWER = Outcome(status=201, headers={"Content-Type": "text/plain"}, body=b"booked")
DEADLINE_TOLERANCE_S = 0.3


class Fleet:
    """Starts claim services that share one Object API process."""

    def __init__(self):
        self.store = start_stand_in("object_store")
        self.control = f"{self.store.url}/faults"
        self.services = []

    def faults(self, **changes):
        answer = urllib3.request("POST", self.control, body=json.dumps(changes))
        assert answer.status == 200, answer.data

    def service(self, instance, *, ask_peer=None, call_timeout_s=0.5):
        platform = PlatformSettings(
            object_api_url=self.store.url,
            instance_list_url="",
            call_timeout_s=call_timeout_s,
        )
        service = ClaimService(
            store=ObjectApi(settings=platform, instance=instance),
            settings=ClaimSettings(shards=4, snapshot_after_entries=8),
            instance=instance,
            ask_peer=ask_peer,
        )
        service.start()
        self.services.append(service)
        return service

    def disconnect(self, service):
        """Refuses the instance's calls until its circuit breaker opens."""
        self.faults(refused_instances=[service.instance])
        service.store.get("probe")
        service.store.get("probe")
        service.store.get("probe")
        assert service.breaker.open


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    for service in fleet.services:
        service.stop(flush_s=0.0)
    fleet.store.kill()


def claim(service, key, body=b"order", wait_s=3.0):
    return service.claim(
        team="desk",
        key=key,
        body_digest=digest_body(body),
        deadline=time.monotonic() + wait_s,
    )


def error_of(result):
    return type(result.failure()) if isinstance(result, Failure) else None


def peer_link(server, *, lose=0):
    """Returns an `ask_peer` that uses the wire format and drops the first replies."""
    asked = []

    def ask(request, timeout_s):
        asked.append(request)
        reply = server.serve(decode_message(encode_message(request)))
        if len(asked) <= lose:
            return Failure(PeerError(message="no reply"))
        return Success(decode_message(encode_message(reply)))

    return ask


def wait_until(condition, timeout_s=8.0):
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "timed out"
        time.sleep(0.02)


def test_concurrent_claims_of_the_same_keys_grant_each_key_once(fleet):
    services = [fleet.service("a"), fleet.service("b"), fleet.service("c")]
    fleet.faults(lose_share=0.1, late_share=0.1, late_ms=20, prefix="claims/0")
    granted = []
    threads = [
        threading.Thread(
            target=lambda key=f"k{number % 40}", service=services[number % 3]: (
                granted.append(key)
                if isinstance(claim(service, key, wait_s=5.0), Success)
                else None
            )
        )
        for number in range(120)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(granted) == len(set(granted))
    assert len(granted) > 30


@pytest.mark.parametrize("size", [10, 16_385, 2_000_000])
def test_repeat_after_a_restart_gets_the_whole_recorded_answer(fleet, size):
    service = fleet.service("a")
    outcome = Outcome(status=200, headers={"X-Order": "7"}, body=b"z" * size)
    grant = claim(service, "k").unwrap()
    assert isinstance(service.record_outcome(grant, outcome), Success)
    for number in range(60):
        claim(service, f"other{number}")
    assert sum(writer.counters.snapshots for writer in service.dump().writers) > 0
    restarted = fleet.service("b")
    assert claim(restarted, "k").failure().outcome == outcome
    assert error_of(claim(restarted, "k", body=b"other")) is KeyReused
    assert error_of(claim(restarted, "other7")) is OutcomeUnknown


def test_close_allows_a_retry(fleet):
    a, b = fleet.service("a"), fleet.service("b")
    grant = claim(a, "k").unwrap()
    assert error_of(claim(b, "k")) is OutcomeUnknown
    assert isinstance(a.close(grant), Success)
    assert isinstance(claim(b, "k"), Success)


def test_store_outage_refuses_at_once_and_keeps_outcomes(fleet):
    service = fleet.service("a")
    done = claim(service, "done").unwrap()
    service.record_outcome(done, ANSWER)
    grant = claim(service, "k").unwrap()
    fleet.store.kill()
    assert error_of(claim(service, "new")) in (ClaimNotMade, ClaimInDoubt)
    started = time.monotonic()
    assert error_of(claim(service, "newer")) is ClaimNotMade
    assert time.monotonic() - started < 0.1
    assert claim(service, "done").failure().outcome == ANSWER
    assert error_of(claim(service, "k")) is OutcomeUnknown
    assert error_of(service.record_outcome(grant, ANSWER, wait_s=0.1)) is ClaimInDoubt
    assert claim(service, "k").failure().outcome == ANSWER


def test_outcome_is_recorded_once_the_store_is_back(fleet):
    service, other = fleet.service("a"), fleet.service("b")
    grant = claim(service, "k").unwrap()
    fleet.disconnect(service)
    assert error_of(service.record_outcome(grant, ANSWER, wait_s=0.1)) is ClaimInDoubt
    assert error_of(claim(other, "k")) is OutcomeUnknown
    fleet.faults(refused_instances=[])
    wait_until(lambda: service.dump().unrecorded_outcomes == 0)
    assert claim(other, "k").failure().outcome == ANSWER


def test_claim_in_doubt_is_answered_at_its_deadline_and_closed(fleet):
    service, other = fleet.service("a"), fleet.service("b")
    claim(service, "warm")
    claim(other, "warm")
    fleet.faults(slow_ms=1_500)
    started = time.monotonic()
    result = claim(service, "k", wait_s=0.7)
    assert time.monotonic() - started < 0.7 + DEADLINE_TOLERANCE_S
    assert error_of(result) in (ClaimInDoubt, ClaimNotMade)
    fleet.faults(slow_ms=0)
    wait_until(lambda: isinstance(claim(other, "k", wait_s=1.0), Success))


def test_peer_makes_the_claim_while_the_store_is_unreachable(fleet):
    peer = fleet.service("b")
    service = fleet.service("a", ask_peer=peer_link(peer))
    claim(service, "warm")
    fleet.disconnect(service)
    grant = claim(service, "k").unwrap()
    assert error_of(claim(peer, "k")) is OutcomeUnknown
    service.record_outcome(grant, ANSWER, wait_s=0.0)
    fleet.faults(refused_instances=[])
    wait_until(lambda: service.dump().unrecorded_outcomes == 0)
    assert claim(peer, "k").failure().outcome == ANSWER


def test_lost_peer_reply_is_settled_by_asking_again(fleet):
    peer = fleet.service("b")
    service = fleet.service("a", ask_peer=peer_link(peer, lose=1))
    claim(service, "warm")
    fleet.disconnect(service)
    assert isinstance(claim(service, "k"), Success)
    assert error_of(claim(peer, "k")) is OutcomeUnknown


def test_lost_peer_replies_are_unknown_until_the_attempt_is_closed(fleet):
    peer = fleet.service("b")
    service = fleet.service("a", ask_peer=peer_link(peer, lose=99))
    claim(service, "warm")
    fleet.disconnect(service)
    assert error_of(claim(service, "k")) is ClaimInDoubt
    assert error_of(claim(peer, "k")) is OutcomeUnknown
    fleet.faults(refused_instances=[])
    wait_until(lambda: isinstance(claim(peer, "k"), Success))


def test_peers_refusal_carries_the_recorded_answer(fleet):
    peer = fleet.service("b")
    service = fleet.service("a", ask_peer=peer_link(peer))
    grant = claim(peer, "k").unwrap()
    peer.record_outcome(grant, ANSWER)
    fleet.disconnect(service)
    assert claim(service, "k").failure().outcome == ANSWER


@pytest.mark.parametrize(
    ("replies", "expected"),
    [
        ([Failure(NoPeer(message=""))], ClaimNotMade),
        ([Success(ClaimReply(kind="claim_not_made"))] * 3, ClaimNotMade),
        ([Failure(PeerError(message="")), Failure(NoPeer(message=""))], ClaimInDoubt),
        (
            [Failure(PeerError(message=""))]
            + [Success(ClaimReply(kind="claim_not_made"))] * 2,
            ClaimInDoubt,
        ),
        ([Success(ClaimReply(kind="claim_in_doubt"))] * 3, ClaimInDoubt),
        ([Success(ClaimReply(kind="a later version's"))] * 3, ClaimInDoubt),
        ([Success(ClaimReply(kind="outcome_known", status=200))], OutcomeKnown),
    ],
)
def test_only_a_claim_that_no_peer_can_have_made_is_not_run(replies, expected):
    answers = iter(replies)
    service = ClaimService(
        store=None,
        settings=ClaimSettings(),
        instance="a",
        ask_peer=lambda request, timeout_s: next(answers),
    )
    service.breaker.open = True
    assert error_of(claim(service, "k")) is expected
    assert service.dump().waiting_for_layout == (expected is ClaimInDoubt)
