"""Guards against lost slots and lost wake-ups when threads share the scheduler."""

import random
import threading
import time
from collections import Counter

from lagoonrill._internal.protocol.errors import RequestError
from lagoonrill._internal.state.request_queue import Cancelled, Usage
from tests.scheduler_kit import COUNTER, LOOKUP, PLAN, Kit, engine

THREADS = 48
ROUNDS = 30


class Worker(threading.Thread):
    """Acquires and releases slots and counts the results."""

    def __init__(self, *, kit, number, used, lock):
        super().__init__(daemon=True)
        self.kit = kit
        self.random = random.Random(number)
        self.used = used
        self.lock = lock
        self.results = Counter()
        self.over_limit = 0

    def run(self):
        for _ in range(ROUNDS):
            kind = self.random.choice([COUNTER, LOOKUP, PLAN])
            team = self.random.choice(["oak", "elm", "ash"])
            ticket = self.kit.ticket(kind, team, wait_s=20)
            timer = None
            if self.random.random() < 0.1:
                timer = threading.Timer(0.002, self.kit.scheduler.cancel, [ticket])
                timer.start()
            self._use_slot(ticket)
            if timer:
                timer.join()

    def _use_slot(self, ticket):
        try:
            grant = self.kit.scheduler.acquire(ticket)
        except RequestError as error:
            self.results[type(error)] += 1
            return
        self._count(grant, 1)
        time.sleep(self.random.uniform(0, 0.002))
        self._count(grant, -1)
        self.kit.scheduler.release(grant, Usage(tokens=5))
        self.results["granted"] += 1

    def _count(self, grant, change):
        with self.lock:
            self.used[grant.endpoint.id] += change
            self.over_limit += self.used[grant.endpoint.id] > grant.endpoint.slots


def test_threads_lose_no_slot_and_no_wakeup():
    endpoints = [engine(f"e{n}", slots=3) for n in range(4)]
    teams = [("oak", {"max_in_flight": 2})]
    kit = Kit(endpoints=endpoints, teams=teams, clock=time.monotonic)
    used, lock = Counter(), threading.Lock()
    workers = [Worker(kit=kit, number=n, used=used, lock=lock) for n in range(THREADS)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join(60)
    assert not any(worker.is_alive() for worker in workers)
    results = sum((worker.results for worker in workers), Counter())
    assert results.total() == THREADS * ROUNDS
    assert set(results) <= {"granted", Cancelled}
    assert sum(worker.over_limit for worker in workers) == 0
    dump = kit.scheduler.dump()
    assert set(dump.in_use.values()) == {0}
    assert all(queue.waiting == queue.running == 0 for queue in dump.queues)


def test_blocked_acquire_ends_at_its_deadline():
    """A blocked thread must time out without another event to wake it."""
    kit = Kit(endpoints=[engine("e1", slots=1)], clock=time.monotonic)
    kit.submit(LOOKUP)
    started_at = time.monotonic()
    try:
        kit.scheduler.acquire(kit.ticket(LOOKUP, wait_s=1.0))
    except RequestError as error:
        assert error.kind == "deadline"
    assert 0.9 < time.monotonic() - started_at < 5.0


def test_blocked_acquire_takes_the_trial_of_a_down_endpoint():
    """A waiting thread must notice the end of a backoff that began after its wait."""
    kit = Kit(endpoints=[engine("e1", slots=1)], clock=time.monotonic)
    running = kit.submit(LOOKUP)
    grants = []
    ticket = kit.ticket(LOOKUP, wait_s=30)
    thread = threading.Thread(
        target=lambda: grants.append(kit.scheduler.acquire(ticket)), daemon=True
    )
    thread.start()
    while ticket not in kit.scheduler.entries:
        time.sleep(0.001)
    kit.table.mark_down("e1", "connection lost")
    kit.release(running, tokens=0, failed=True)
    thread.join(10)
    assert grants and grants[0].trial
