"""Measures the first-token latency of `counter` requests with one faulty engine.

`python -m bench.silent_engine` starts a fleet of three engines, sends warm-up requests
so that the instance has latency estimates of all engines, then freezes or slows down
one engine, and sends 40 requests to one instance, a few at a time.
"""

import argparse
import statistics
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

import msgspec
import urllib3

from bench.demo import apply_manifest
from bench.fleet import MODEL, TEAM_KEYS, Fleet

FAULTS = {
    "none": {},
    "frozen": {"freeze": True},
    "straggler": {"straggler": 5.0},
}
TARGET_S = 1.0
WARM_UP_QUESTIONS = 24
PROMPT_CHARACTERS = 2_000


class Delay(msgspec.Struct, kw_only=True):
    """Result of one request; `first_token_s` is None if no token arrived."""

    first_token_s: float | None
    complete: bool


def ask(url: str, timeout_s: float) -> Delay:
    """Streams one `counter` request with a unique prompt."""
    http = urllib3.PoolManager(retries=False, timeout=timeout_s)
    prompt = (uuid.uuid4().hex * PROMPT_CHARACTERS)[:PROMPT_CHARACTERS]
    body = {
        "model": MODEL,
        "stream": True,
        "max_tokens": 8,
        "messages": [{"role": "user", "content": prompt}],
    }
    headers = {"Authorization": f"Bearer {TEAM_KEYS['sales']}"}
    began = time.monotonic()
    first_token_s = None
    received = b""
    try:
        response = http.request(
            "POST",
            f"{url}/v1/chat/completions",
            json=body,
            headers=headers,
            preload_content=False,
        )
        for part in response.stream(1):
            received += part
            if first_token_s is None and b'"content":"' in received:
                first_token_s = time.monotonic() - began
    except urllib3.exceptions.HTTPError:
        pass
    complete = b"data: [DONE]" in received
    return Delay(first_token_s=first_token_s, complete=complete)


def ask_all(url: str, questions: int, at_once: int, timeout_s: float) -> list[Delay]:
    """Sends requests, at most `at_once` of them concurrently."""
    with ThreadPoolExecutor(at_once) as pool:
        return list(pool.map(lambda _: ask(url, timeout_s), range(questions)))


def summary(delays: list[Delay]) -> str:
    """Summarizes the delays; requests without a first token count only as missed."""
    delays_s = sorted(d.first_token_s for d in delays if d.first_token_s is not None)
    in_time = sum(value <= TARGET_S for value in delays_s)
    complete = sum(delay.complete for delay in delays)
    if not delays_s:
        return f"no first token; complete 0 of {len(delays)}"
    p95 = delays_s[min(len(delays_s) - 1, int(0.95 * len(delays_s)))]
    return (
        f"first token p50 {statistics.median(delays_s):.3f} s, p95 {p95:.3f} s, "
        f"max {delays_s[-1]:.3f} s, in {TARGET_S:.0f} s: {in_time} of {len(delays)}, "
        f"complete {complete} of {len(delays)}"
    )


def measure(name: str, arguments: argparse.Namespace) -> str:
    """Runs a fleet with the given fault and returns a line of figures."""
    with Fleet(workers_per_zone=0, token_ms=arguments.token_ms) as fleet:
        apply_manifest(fleet)
        fleet.wait_ready()
        daemon = next(iter(fleet.daemons.values()))
        url = daemon.callers_url
        if not arguments.cold:
            ask_all(url, WARM_UP_QUESTIONS, 2 * arguments.at_once, arguments.timeout_s)
        # The fault hits the engine in the instance's own zone, which is preferred.
        faulty_engine = next(e for e in fleet.engines if daemon.zone in e)
        if FAULTS[name]:
            fleet.set_faults(fleet.engines[faulty_engine], **FAULTS[name])
        delays = ask_all(
            url, arguments.questions, arguments.at_once, arguments.timeout_s
        )
        dump = fleet.dump(daemon.instance)
        hedges = dump["retries"]["hedges"]
        wasted = dump["metrics"]["wasted_tokens"]
        return f"{summary(delays)}, hedges {hedges}, wasted tokens {wasted}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fault", action="append", choices=list(FAULTS))
    parser.add_argument("--questions", type=int, default=40)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--token-ms", type=float, default=30.0)
    parser.add_argument("--timeout-s", type=float, default=70.0)
    parser.add_argument("--cold", action="store_true", help="ask without estimates")
    arguments = parser.parse_args()
    for name in arguments.fault or list(FAULTS):
        print(f"{name}: {measure(name, arguments)}", flush=True)


if __name__ == "__main__":
    main()
