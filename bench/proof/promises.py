"""Load tests that verify one guarantee each; `make promises` runs all of them.

Each run is registered in `RUNS` and returns a list of problems, which is empty if the
guarantee held. Loads and limits are those of the documented guarantees.
"""

import argparse
import contextlib
import random
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec
import urllib3

from bench.fleet import MODEL, SERVICE, TEAM_KEYS, Fleet
from standins.engine import expected_text

from .caller import Attempt, Caller
from .checkers import check_all
from .history import Answered, Executed, History
from .manifest_cells import ManifestCell, Pipeline

RUNS: dict[str, Callable[[int], list[str]]] = {}
KEYED_CALLS = 2_000
CALLERS = 48
IN_FORCE_LIMIT_S = 2.0
ROLLOUTS = 40
LEAVING_LIMIT_S = 3.0


def guarantee(name: str):
    """Registers a run under the name of the guarantee that it verifies."""

    def register(function):
        RUNS[name] = function
        return function

    return register


@contextlib.contextmanager
def ready_fleet(**arguments):
    """Yields a ready fleet with an applied manifest."""
    with Fleet(extra_instances=1, **arguments) as fleet:
        ManifestCell.apply_first(fleet)
        fleet.wait_ready()
        yield fleet


def chat(
    fleet: Fleet,
    instance: str,
    *,
    request_class: str,
    prompt: str,
    tokens: int,
    team: str = "sales",
    timeout_s: float = 60.0,
) -> tuple[int, str, float]:
    """Sends a chat request without streaming.

    Returns the status, the error kind (empty on success) and the duration in seconds.
    """
    messages = [{"role": "user", "content": prompt}]
    body = {"model": MODEL, "max_tokens": tokens, "messages": messages}
    began = time.monotonic()
    answer = fleet.http.request(
        "POST",
        f"{fleet.daemons[instance].callers_url}/v1/chat/completions",
        body=msgspec.json.encode(body),
        headers={
            "Authorization": f"Bearer {TEAM_KEYS[team]}",
            "X-Request-Class": request_class,
        },
        timeout=timeout_s,
    )
    elapsed_s = time.monotonic() - began
    decoded = msgspec.json.decode(answer.data)
    if answer.status != 200:
        return answer.status, decoded["error"]["kind"], elapsed_s
    text = decoded["choices"][0]["message"]["content"]
    if text != expected_text(messages, max_tokens=tokens):
        return answer.status, "wrong text", elapsed_s
    return answer.status, "", elapsed_s


class ClassLoad:
    """Closed-loop callers: each sends its next request after the last response."""

    def __init__(self, *, fleet: Fleet, request_class: str, callers: int, tokens: int):
        self.fleet = fleet
        self.request_class = request_class
        self.tokens = tokens
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.results: Counter[str] = Counter()
        self.longest_s = 0.0
        self.started = 0
        self.threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(callers)
        ]

    def start(self) -> "ClassLoad":
        for thread in self.threads:
            thread.start()
        return self

    def stop(self) -> None:
        """Stops the callers and waits for their current requests."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, number: int) -> None:
        instances = list(self.fleet.daemons)
        instance = instances[number % len(instances)]
        turn = 0
        while not self.stopping.is_set():
            turn += 1
            prompt = f"{self.request_class} {number} {turn}"
            with self.lock:
                self.started += 1
            status, kind, elapsed_s = chat(
                self.fleet,
                instance,
                request_class=self.request_class,
                prompt=prompt,
                tokens=self.tokens,
                timeout_s=120.0,
            )
            with self.lock:
                self.results[kind or str(status)] += 1
                self.longest_s = max(self.longest_s, elapsed_s)
            if kind:
                time.sleep(0.2)


@guarantee("at most once under concurrent retries")
def run_keyed_calls(seed: int) -> list[str]:
    """Sends 2,000 calls two to four times each, partly concurrently."""
    history = History()
    with ready_fleet(worker_slots=16) as fleet:
        caller = Caller(fleet=fleet, history=history)
        instances = list(fleet.daemons)

        def send(number: int) -> None:
            rng = random.Random(seed * 1_000_003 + number)
            call = f"call-{seed}-{number}"
            copies = rng.randint(1, 2)
            with ThreadPoolExecutor(copies) as pool:
                first = [
                    Attempt(call=call, number=n + 2, instance=rng.choice(instances))
                    for n in range(copies)
                ]
                list(pool.map(caller.order, first))
            for n in range(rng.randint(1, 2)):
                instance = rng.choice(instances)
                caller.order(Attempt(call=call, number=n + 5, instance=instance))

        began = time.monotonic()
        with ThreadPoolExecutor(CALLERS) as pool:
            list(pool.map(send, range(KEYED_CALLS)))
        elapsed_s = time.monotonic() - began
        record_executions(fleet, history)
    answers = history.of(Answered)
    ran = {answer.call for answer in answers if answer.run == "ran"}
    print(f"  {KEYED_CALLS} calls, {len(answers)} attempts in {elapsed_s:.1f} s")
    problems = [f"{item.checker}: {item.detail}" for item in check_all(history)]
    if len(ran) < KEYED_CALLS:
        kinds = Counter(answer.kind for answer in answers if answer.call not in ran)
        problems.append(f"{KEYED_CALLS - len(ran)} calls had no outcome: {kinds}")
    return problems


def record_executions(fleet: Fleet, history: History) -> None:
    """Adds the executions that the workers recorded to a history."""
    for call, count in fleet.executions().items():
        for _ in range(count):
            history.record(Executed(call=call, endpoint=""))


@guarantee("protected classes are not shed for lower work")
def run_protection(seed: int) -> list[str]:
    """Sends counter requests while plans demand three times the available slots."""
    with ready_fleet(engine_slots=4, token_ms=10.0) as fleet:
        plans = ClassLoad(fleet=fleet, request_class="plan", callers=36, tokens=200)
        plans.start()
        time.sleep(2.0)
        counter = ClassLoad(fleet=fleet, request_class="counter", callers=6, tokens=20)
        counter.start()
        time.sleep(10.0)
        counter.stop()
        sheds = count_sheds(fleet, "counter")
        plans.stop()
    print(f"  counter {dict(counter.results)}, longest {counter.longest_s:.2f} s")
    print(f"  plans {dict(plans.results)}, longest {plans.longest_s:.2f} s")
    problems = [f"counter questions were shed: {sheds}"] if sheds else []
    failed = {k: n for k, n in counter.results.items() if k != "200"}
    if failed:
        problems.append(f"counter questions failed: {failed}")
    lost = {k: n for k, n in plans.results.items() if k != "200"}
    if lost:
        problems.append(f"plans were lost: {lost}")
    return problems


def count_sheds(fleet: Fleet, request_class: str) -> dict[str, int]:
    """Returns the shed requests of a class by reason, summed over all instances."""
    total: Counter[str] = Counter()
    for instance in fleet.daemons:
        counters = fleet.dump(instance)["scheduler"]["counters"]
        total.update(counters.get(request_class, {}).get("sheds", {}))
    return dict(total)


@guarantee("every class is served under overload from the top")
def run_starvation(seed: int) -> list[str]:
    """Checks that plans get their floor of 10% under a twofold counter overload.

    Three plan callers per instance keep the class waiting at all times, since a class
    accrues floor credit only while it waits.
    """
    window_s = 30.0
    with ready_fleet(engine_slots=4, token_ms=10.0) as fleet:
        counter = ClassLoad(fleet=fleet, request_class="counter", callers=24, tokens=60)
        counter.start()
        time.sleep(1.0)
        plans = ClassLoad(fleet=fleet, request_class="plan", callers=12, tokens=100)
        plans.start()
        time.sleep(window_s)
        served = plans.results["200"]
        counter.stop()
        plans.stop()
    print(f"  counter {dict(counter.results)}, longest {counter.longest_s:.2f} s")
    print(f"  plans: {served} in {window_s:.0f} s, longest {plans.longest_s:.2f} s")
    # 10% of 12 slots; a plan of 100 tokens takes 1 s. The 20% margin covers the time to
    # the first credit and the plans in flight when the window ends.
    floor = 0.8 * 0.1 * 12 * window_s / 1.0
    problems = []
    if served < floor:
        problems.append(f"{served} plans were served, below the floor of {floor:.0f}")
    if plans.results.keys() - {"200"}:
        problems.append(f"accepted plans failed: {dict(plans.results)}")
    return problems


@guarantee("a leaving endpoint gets no new work after 3 s")
def run_leaving(seed: int) -> list[str]:
    """Marks an engine as leaving under steady load while the list is stale."""
    with ready_fleet(engine_slots=8, token_ms=2.0) as fleet:
        fleet.set_faults(fleet.list, lag_s=60.0)
        load = ClassLoad(fleet=fleet, request_class="lookup", callers=8, tokens=5)
        load.start()
        time.sleep(1.0)
        name, engine = next(iter(fleet.engines.items()))
        fleet.set_faults(engine, leaving=True)
        time.sleep(LEAVING_LIMIT_S)
        before = count_executions(fleet, engine)
        time.sleep(3.0)
        after = count_executions(fleet, engine)
        load.stop()
    print(f"  {load.started} requests; {name} executed {after - before} after 3 s")
    problems = []
    if after != before:
        problems.append(f"{name} got {after - before} new requests after 3 s")
    if load.results.keys() - {"200"}:
        problems.append(f"requests failed meanwhile: {dict(load.results)}")
    return problems


def count_executions(fleet: Fleet, engine) -> int:
    """Returns the number of requests that an engine has started."""
    answer = fleet.http.request("GET", f"{engine.url}/stats")
    return msgspec.json.decode(answer.data)["executions"]


@guarantee("a planned stop cuts off nothing")
def run_planned_stop(seed: int) -> list[str]:
    """Stops an instance while long streams and orders are in flight."""
    history = History()
    with ready_fleet(token_ms=20.0) as fleet:
        caller = Caller(fleet=fleet, history=history)
        instance = list(fleet.daemons)[1]
        for worker in fleet.workers.values():
            fleet.set_faults(worker, answer_delay_s=1.5)
        with ThreadPoolExecutor(12) as pool:
            streams = [
                pool.submit(
                    caller.stream,
                    Attempt(call=f"stop-stream-{n}", number=1, instance=instance),
                    tokens=150,
                )
                for n in range(8)
            ]
            orders = [
                pool.submit(
                    caller.order,
                    Attempt(call=f"stop-order-{n}", number=1, instance=instance),
                )
                for n in range(4)
            ]
            time.sleep(0.8)
            process = fleet.daemons[instance].process
            process.signal(signal.SIGTERM)
            answers = [future.result() for future in streams + orders]
        status = process.popen.wait(timeout=20)
        record_executions(fleet, history)
    cut = [answer.call for answer in answers if answer.run != "ran"]
    print(f"  {len(answers)} requests in flight, exit status {status}")
    problems = [f"{item.checker}: {item.detail}" for item in check_all(history)]
    if cut:
        problems.append(f"cut off: {cut}")
    if status != 0:
        problems.append(f"exit status {status}")
    return problems


@guarantee("a manifest is in force everywhere within 2 s")
def run_rollouts(seed: int) -> list[str]:
    """Applies manifests in sequence and checks the 99th percentile of the duration."""
    problems = []
    times = []
    with ready_fleet() as fleet:
        for number in range(ROLLOUTS):
            report = Pipeline(fleet=fleet, name="p", weight=2.0 + number).run()
            times.append(report.elapsed_s)
            if report.result != "accepted":
                problems.append(f"rollout {number}: {report.result} {report.reason}")
    times.sort()
    p99 = times[min(len(times) - 1, int(len(times) * 0.99))]
    print(
        f"  {ROLLOUTS} rollouts: median {times[ROLLOUTS // 2]:.2f} s, p99 {p99:.2f} s"
    )
    if p99 > IN_FORCE_LIMIT_S:
        problems.append(f"p99 is {p99:.2f} s")
    return problems


@guarantee("a zone that is cut off serves what it can")
def run_isolation(seed: int) -> list[str]:
    """Isolates a zone from peers and platform; only orders may be refused."""
    history = History()
    with ready_fleet(use_relays=True) as fleet:
        instance = next(n for n, d in fleet.daemons.items() if d.zone == "tunis-b")
        foreign = [e for e, zone in fleet.endpoint_zones.items() if zone != "tunis-b"]
        fleet.relays.cut({instance})
        for platform in (fleet.store, fleet.list):
            fleet.set_faults(platform, refused_instances=[instance])
        for name in foreign:
            endpoint = (fleet.engines | fleet.workers)[name]
            fleet.set_faults(endpoint, refuse_instances=[instance])
        time.sleep(8.0)
        results = Counter()
        for number in range(30):
            status, kind, _ = chat(
                fleet, instance, request_class="counter", prompt=f"q{number}", tokens=5
            )
            results[kind or str(status)] += 1
        lookups = Counter(lookup(fleet, instance) for _ in range(30))
        caller = Caller(fleet=fleet, history=history)
        attempt = Attempt(call="isolated-order", number=1, instance=instance)
        began = time.monotonic()
        order = caller.order(attempt)
        refusal_s = time.monotonic() - began
        record_executions(fleet, history)
    print(f"  counter {dict(results)}, lookups {dict(lookups)}")
    print(f"  order: {order.run} ({order.kind}) after {refusal_s:.2f} s")
    problems = [f"{item.checker}: {item.detail}" for item in check_all(history)]
    if results.keys() != {"200"}:
        problems.append(f"counter questions failed: {dict(results)}")
    if lookups.keys() != {200}:
        problems.append(f"lookups failed: {dict(lookups)}")
    if (order.run, order.kind) != ("not_run", "claims_unavailable"):
        problems.append(f"the order was answered {order.run} {order.kind}")
    return problems


def lookup(fleet: Fleet, instance: str) -> int:
    """Sends a lookup to a plain service; returns the status, 0 on failure."""
    url = f"{fleet.daemons[instance].callers_url}/services/{SERVICE}/stock"
    headers = {"Authorization": f"Bearer {TEAM_KEYS['sales']}"}
    try:
        return fleet.http.request("GET", url, headers=headers).status
    except urllib3.exceptions.HTTPError:
        return 0


def main() -> int:
    """Runs all checks, or those whose name contains the value of `--only`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    failed = 0
    names = [name for name in RUNS if arguments.only in name]
    for name in names:
        print(f"{name}: seed {arguments.seed}", flush=True)
        problems = RUNS[name](arguments.seed)
        failed += bool(problems)
        print("  held" if not problems else "  FAILED", flush=True)
        for problem in problems:
            print(f"    {problem}", flush=True)
    print(f"promises: {len(names) - failed} held, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
