"""Streams that wait for a worker of their version go on at a new one of another."""

import os
import random
import sys
import tempfile
import threading
import time
from pathlib import Path

from review.harness_3.clients import Record, Traffic, headers_of, new_id, send
from review.harness_3.fleet import Gateway, run_case, start_fleet
from review.harness_3.workers import ModelWorker
from standins.metadata_store import MetadataStore, MetadataStoreServer
from standins.platform_objects import configuration

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("a", "b")
# One worker of v2 beside three of v1.
VERSIONS = ("v2", "v1", "v1", "v1")
# Of the sheet: events of a short question; an event holds 5 tokens.
EVENTS, EVENT_S = 58, 0.04
QUESTIONS_PER_S = 18.0
RUN_S = 24.0
# A release that replaces a worker of v1, in seconds since the start of the traffic: the
# new one starts first, and then the old one drains and leaves.
RELEASE_AT, DRAIN_AFTER_S, LEAVES_AFTER_S = 8.0, 0.3, 4.0
# The worker of v2 crashes shortly before that, and is back after 2 s in a new lifetime.
CRASH_BEFORE_S, DOWN_S = 0.7, 2.0
# A consumer takes a broken stream up once, after this time, at another gateway.
TAKE_UP_AFTER_S = 0.05
# Rule ORDER: more than two streams hold events of two versions.
MOST_MIXED = 2
# A consumer leaves after a gap of eight times the pause of 300 ms (PROTOCOL.md).
PATIENCE_S = 2.4


def main() -> int:
    record = Record(Path(__file__).parent / "record.txt")
    store = MetadataStore()
    server = MetadataStoreServer(store)
    base = configuration()
    store.put("config", "main", {**base, "Routes": base["Routes"][:1]})

    def began(request, id, version):
        record.add(
            "run",
            request=request.id,
            worker=id,
            version=version,
            after=request.headers.get("last-event-id"),
        )

    def make(number: int, version: str) -> ModelWorker:
        return ModelWorker(
            id=f"i-{number}",
            zone=ZONES[number % 2],
            store=store,
            version=version,
            events=EVENTS,
            event_s=EVENT_S,
            began=began,
        )

    workers = [make(number, version) for number, version in enumerate(VERSIONS)]
    for worker in workers:
        worker.start()
    with tempfile.TemporaryDirectory() as settings:
        gateways = [
            Gateway(
                name=f"edge-{zone}-1",
                zone=zone,
                store=server.address,
                folder=Path(settings),
            )
            for zone in ZONES
        ]
        try:
            if not start_fleet(gateways):
                record.add("not_ready")
                return 2
            return play(gateways, workers, make, record)
        finally:
            if keep := os.environ.get("KEEP_LOGS"):
                for item in gateways:
                    Path(keep, item.log_path.name).write_bytes(
                        item.log_path.read_bytes()
                    )
            for gateway in gateways:
                gateway.end()
            for worker in workers:
                worker.crash()
            server.close()


def release(workers: list[ModelWorker], make, record: Record) -> None:
    """Replaces a worker of v1; the one of v2 crashes before, and comes back."""
    single, old = workers[:2]

    def start(number: int, version: str) -> None:
        worker = make(number, version)
        workers.append(worker)
        worker.start()

    steps = [
        (RELEASE_AT, "new_worker_of_v1", lambda: start(4, "v1")),
        (RELEASE_AT + DRAIN_AFTER_S, "old_worker_of_v1_drains", old.drain),
        (RELEASE_AT + LEAVES_AFTER_S, "old_worker_of_v1_leaves", old.leave),
    ]
    if TROUBLE:
        crash_at = RELEASE_AT - CRASH_BEFORE_S
        steps += [
            (crash_at, "worker_of_v2_crashes", single.crash),
            (crash_at + DOWN_S, "worker_of_v2_is_back", lambda: start(5, "v2")),
        ]
    begun_at = time.monotonic()
    for at, what, step in sorted(steps, key=lambda item: item[0]):
        time.sleep(max(0.0, begun_at + at - time.monotonic()))
        step()
        record.add(what)


def play(
    gateways: list[Gateway], workers: list[ModelWorker], make, record: Record
) -> int:
    rng = random.Random(11)
    traffic = Traffic()
    # Whole streams as their consumers got them, in one or two attempts.
    streams: dict[str, bytes] = {}

    def attempt(gateway: Gateway, parts, **more: str):
        outcome = send(
            port=gateway.port,
            kind="ask",
            gateway=gateway.name,
            headers=headers_of(id=new_id(), deadline_ms=15_000, parts=parts, **more),
            patience_s=PATIENCE_S,
        )
        record.add(
            "consumer",
            request=outcome.id,
            gateway=outcome.gateway,
            resumes=more.get("Resumes"),
            status=outcome.status,
            whole=outcome.is_whole,
            events=outcome.body.count(b"\n\n"),
            versions=versions_in(outcome.body),
        )
        return outcome

    def ask():
        """Asks a question; takes its stream up once if that breaks off."""
        first, second = rng.sample(gateways, 2)
        parts = [("aa01", 119), (f"bb{rng.randrange(100):02x}", 79), (new_id(), 430)]
        outcome = attempt(first, parts)
        streams[outcome.id] = outcome.body
        last = outcome.body.count(b"\n\n")
        if last and not outcome.is_whole and outcome.ended_at is not None:
            time.sleep(TAKE_UP_AFTER_S)
            more = {"Last-Event-Id": str(last), "Resumes": outcome.id}
            streams[outcome.id] += attempt(second, parts, **more).body
        return outcome

    thread = threading.Thread(target=release, args=(workers, make, record))
    thread.start()
    traffic.run(per_s=QUESTIONS_PER_S, for_s=RUN_S, make=ask)
    thread.join()
    traffic.join(20)
    mixed = [id for id, body in streams.items() if len(versions_in(body)) > 1]
    record.add(
        "judged",
        streams=len(streams),
        whole=sum(body.count(b"\n\n") == EVENTS for body in streams.values()),
        with_events_of_two_versions=len(mixed),
        requests=mixed,
    )
    return int(len(mixed) > MOST_MIXED)


def versions_in(body: bytes) -> list[str]:
    """Returns the versions that the whole events of a stream name."""
    events = body.split(b"\n\n")[:-1]
    return sorted({event.rpartition(b" ")[2].decode() for event in events})


if __name__ == "__main__":
    sys.exit(run_case(main))
