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
WORKERS = 3
# Of the sheet: events of a short question; an event holds 5 tokens.
EVENTS, EVENT_S = 58, 0.04
QUESTIONS_PER_S = 18.0
RUN_S = 24.0
# A release of v2, in seconds since the start of the traffic: each worker of it starts
# first, and then an old one drains and leaves.
FIRST_AT, GAP_S, DRAIN_AFTER_S = 8.0, 2.0, 0.3
LEAVES_AFTER_S = 4.0
# The last old worker crashes shortly before its successor starts.
CRASH_BEFORE_S = 0.7
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

    workers = [make(number, "v1") for number in range(WORKERS)]
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
    """Replaces the workers one after the other; one of them crashes before its turn."""
    begun_at = time.monotonic()

    def wait_until(at: float) -> None:
        time.sleep(max(0.0, begun_at + at - time.monotonic()))

    for number, old in enumerate(list(workers)):
        starts_at = FIRST_AT + number * GAP_S
        is_last = number == WORKERS - 1
        if is_last and TROUBLE:
            wait_until(starts_at - CRASH_BEFORE_S)
            old.crash()
            record.add(f"{old.id}_crashes")
        wait_until(starts_at)
        new = make(WORKERS + number, "v2")
        workers.append(new)
        new.start()
        record.add(f"{new.id}_starts_v2")
        if is_last and TROUBLE:
            return
        wait_until(starts_at + DRAIN_AFTER_S)
        old.drain()
        record.add(f"{old.id}_drains")
        threading.Timer(LEAVES_AFTER_S, old.leave).start()


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
