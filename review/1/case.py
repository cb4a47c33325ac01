"""A release after another writer's entry, with bytes that can't be read."""

import contextlib
import itertools
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec

from review.common.consumers import Answer, send, send_stream
from review.common.gateways import Gateway, wait_until_ready
from review.common.main import run_case
from review.common.platform import start_store
from review.common.record import Record
from review.common.workers import Worker

RELEASED = 3
RELEASE_GAP_S = 1.0
DRAIN_S = 2.0
# `ContactMs` after the end of the planned work, the installation counts as calm.
CONTACT_S = 3.0
CALM_S = 15.0
WINDOW_S = 5.0
# Bounds of the rule TIER.
MIN_UNSERVED = 10
UNSERVED_SHARE = 1 / 12
ZONES = ("tunis-a", "tunis-a", "tunis-b", "bizerte-a")
# Requests a second, as on the sheet of the site.
RATES = {"plan": 18.2, "ask": 13.7, "order": 8.0, "look": 3.2}
# An escaped backslash, and half of a surrogate pair, which is no character.
UNREADABLE_VERSION = rb'"v1 \\ud83d\ude00"'


class Traffic:
    """Sends requests of all kinds to all gateways in turn, on new channels."""

    def __init__(self, *, gateways: list[Gateway], record: Record):
        self.gateways = itertools.cycle(gateways)
        self.record = record
        self.answers: list[tuple[str, Answer]] = []
        self.stopping = threading.Event()
        self.threads: list[threading.Thread] = []

    def run(self, kind: str) -> None:
        while not self.stopping.wait(1 / RATES[kind]):
            thread = threading.Thread(target=self.send, args=(kind,))
            thread.start()
            self.threads.append(thread)

    def send(self, kind: str) -> None:
        gateway = next(self.gateways)
        path = f"/{kind}/2f"
        if kind == "ask":
            answer = send_stream(gateway.port, path)
        elif kind == "plan":
            answer = send_stream(
                gateway.port,
                path,
                deadline_ms=5_000,
                longest_gap_s=4.0,
                prompt=(6_300, 2_890),
            )
        else:
            method = "GET" if kind == "look" else "POST"
            answer = send(
                gateway.port, path, method=method, deadline_ms=3_000, headers={}
            )
        self.answers.append((kind, answer))
        took_s = answer.ended_at - answer.sent_at
        self.record.line(
            f"{path} {answer.id} to {gateway.name}: status {answer.status}, "
            f"complete {answer.complete}, ended after {took_s:.3f} s",
            at=answer.sent_at,
        )

    def start(self) -> None:
        for kind in RATES:
            threading.Thread(target=self.run, args=(kind,), daemon=True).start()

    def stop(self) -> None:
        self.stopping.set()
        for thread in list(self.threads):
            thread.join()

    def sent(self, kind: str, since: float) -> list[Answer]:
        """Returns the answers to requests sent within a window from `since` on."""
        until = since + WINDOW_S
        return [
            answer
            for name, answer in self.answers
            if name == kind and since <= answer.sent_at < until
        ]


class Fleet:
    """The store, the workers and the gateways."""

    def __init__(self, *, folder: Path, record: Record):
        self.record = record
        self.store, self.server = start_store()
        self.workers: dict[str, Worker] = {}
        self.gateways = [
            Gateway(
                name=f"edge-{number}",
                zone=zone,
                folder=folder,
                store=self.server.address,
            )
            for number, zone in enumerate(ZONES)
        ]
        for number, zone in enumerate(("tunis-a", "tunis-b", "bizerte-a")):
            self.add_worker(f"i-desk-{number}", "desk", zone)
            for copy in range(3):
                self.add_worker(f"i-old-{number}-{copy}", "models", zone)

    def add_worker(self, id: str, service: str, zone: str) -> None:
        worker = Worker(id=id, service=service, zone=zone, events=20, pause_s=0.03)
        self.workers[id] = worker
        self.store.put("servers", id, worker.entry())

    def start_gateways(self) -> None:
        seeds = [gateway.peer for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.start(seeds)

    def write_unreadable_entry(self) -> None:
        entry = self.workers["i-desk-0"].entry() | {
            "Service": "elsewhere",
            "Version": msgspec.Raw(UNREADABLE_VERSION),
        }
        self.store.put("servers", "i-other", entry)
        self.record.line(f"another writer's entry: {msgspec.json.encode(entry)}")

    def release(self) -> None:
        """Replaces a third of the engines, one at a time; the new one starts first."""
        for id in [id for id in self.workers if id.startswith("i-old-")][:RELEASED]:
            old = self.workers[id]
            self.add_worker(id.replace("old", "new"), "models", old.zone)
            old.leaving = True
            self.store.put("servers", id, old.entry(state="draining"))
            self.record.line(f"{id} drains, another one has started")
            threading.Timer(DRAIN_S + 0.5, self.remove, (id,)).start()
            time.sleep(RELEASE_GAP_S)

    def remove(self, id: str) -> None:
        self.workers[id].close()
        self.store.delete("servers", id)

    def close(self) -> None:
        for gateway in self.gateways:
            gateway.kill()
        for worker in self.workers.values():
            worker.close()
        self.server.close()


def got_nothing(answer: Answer) -> bool:
    return answer.status != 200 or not answer.events()


def breaks_tier(traffic: Traffic, record: Record, since: float) -> bool:
    """Returns whether urgent streams get nothing while less urgent ones begin."""
    asks, plans = traffic.sent("ask", since), traffic.sent("plan", since)
    unserved = sum(got_nothing(answer) for answer in asks)
    begun = sum(not got_nothing(answer) for answer in plans)
    text = (
        f"five calm seconds from {since - record.began_at:.1f} s: {unserved} of "
        f"{len(asks)} urgent streams got nothing; {begun} of {len(plans)} less urgent "
        "ones, over twice their size, began"
    )
    record.line(text)
    print(text)
    is_broken = unserved >= MIN_UNSERVED and unserved > UNSERVED_SHARE * len(asks)
    return is_broken and begun > 0


def play(stack: contextlib.ExitStack, record: Record, *, trouble: str) -> bool:
    """Returns whether the rule TIER held."""
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    fleet = Fleet(folder=folder, record=record)
    stack.callback(fleet.close)
    fleet.start_gateways()
    wait_until_ready(fleet.gateways)
    record.line("all gateways are ready")
    traffic = Traffic(gateways=fleet.gateways, record=record)
    traffic.start()
    try:
        time.sleep(3)
        if trouble == "1":
            fleet.write_unreadable_entry()
        time.sleep(1)
        fleet.release()
        time.sleep(DRAIN_S + 0.5 + CONTACT_S)
        calm_at = time.monotonic()
        time.sleep(CALM_S)
    finally:
        traffic.stop()
    for gateway in fleet.gateways:
        record.line(f"{gateway.name} is ready: {gateway.is_ready()}")
    for id, worker in fleet.workers.items():
        for at, request, _ in worker.runs:
            record.line(f"{id} ran {request}", at=at)
    windows = [calm_at + WINDOW_S * number for number in range(int(CALM_S / WINDOW_S))]
    broken = [breaks_tier(traffic, record, since) for since in windows]
    return not any(broken)


if __name__ == "__main__":
    sys.exit(run_case(play, folder=Path(__file__).parent))
