"""Demonstrates the system end to end with separate processes; run by `make demo`.

Starts a fleet in three availability zones, applies a manifest with the command-line
tool, streams a model answer, places an order, repeats it through another instance and
replaces an instance. Verifies the result of each step.
"""

import os
import subprocess
import sys
import time

import msgspec

from .fleet import MODEL, OPERATOR_KEY, SERVICE, TEAM_KEYS, Fleet

TOOL = "from lagoonrill._internal.cli import main; main()"


class StepFailed(Exception):
    """Raised when a step of the demonstration has an unexpected result."""


def report(step: str, passed: bool, detail: str) -> None:
    """Prints the verdict of a step; raises `StepFailed` unless it passed."""
    print(f"{'ok  ' if passed else 'FAIL'} {step}: {detail}", flush=True)
    if not passed:
        raise StepFailed(step)


def run_tool(fleet: Fleet, *arguments: str) -> subprocess.CompletedProcess:
    """Runs the command-line tool with the fleet's addresses and the demo keys."""
    config = fleet.folder / "tool.json"
    addresses = {
        "object_api_url": fleet.store.url,
        "instance_list_url": fleet.list.url,
    }
    config.write_bytes(msgspec.json.encode(addresses))
    keys = {
        "LAGOONRILL_CONFIG": str(config),
        "LAGOONRILL_OPERATOR_KEY": OPERATOR_KEY,
        "LAGOONRILL_TEAM_KEY": TEAM_KEYS["sales"],
    }
    return subprocess.run(
        [sys.executable, "-c", TOOL, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        env=os.environ | keys,
    )


def apply_manifest(fleet: Fleet) -> None:
    """Applies the manifest and verifies that it is accepted."""
    began = time.monotonic()
    result = run_tool(fleet, "apply", str(fleet.write_manifest()))
    elapsed_s = time.monotonic() - began
    lines = (result.stdout + result.stderr).strip().splitlines()
    summary = lines[0] if lines else "no output"
    report("apply", result.returncode == 0, f"{summary} ({elapsed_s:.2f} s)")


def stream_answer(fleet: Fleet, instance: str) -> None:
    """Streams a model answer and verifies that it is complete."""
    body = {
        "model": MODEL,
        "stream": True,
        "max_tokens": 20,
        "messages": [{"role": "user", "content": "Which cedar boards are in stock?"}],
    }
    answer = fleet.http.request(
        "POST",
        f"{fleet.daemons[instance].callers_url}/v1/chat/completions",
        body=msgspec.json.encode(body),
        headers={"Authorization": f"Bearer {TEAM_KEYS['sales']}"},
    )
    text = answer.data.decode()
    tokens = text.count('"content"')
    complete = answer.status == 200 and text.rstrip().endswith("data: [DONE]")
    detail = f"{tokens} tokens, complete" if complete else text[:300]
    report("streamed answer", complete and tokens >= 20, detail)


def ask_with_tool(fleet: Fleet, instance: str) -> None:
    """Sends a prompt with the command-line tool and verifies that it prints text."""
    address = fleet.daemons[instance].callers_url.removeprefix("http://")
    result = run_tool(
        fleet, "ask", "What does cedar cost?", "--model", MODEL, "--address", address
    )
    words = len(result.stdout.split())
    passed = result.returncode == 0 and words > 0
    report("lagoonrill ask", passed, f"{words} words {result.stderr.strip()}")


def show_status(fleet: Fleet) -> None:
    """Prints the configuration status; verifies that it is in force everywhere."""
    result = run_tool(fleet, "status")
    lines = result.stdout.strip().splitlines()
    summary = lines[0] if lines else result.stderr.strip()
    report("lagoonrill status", result.returncode == 0, summary)


def place_order(fleet: Fleet, instance: str, key: str, *, first: bool):
    """Places an order through an instance and returns the response."""
    headers = {
        "Authorization": f"Bearer {TEAM_KEYS['workshop']}",
        "Idempotency-Key": key,
        "Content-Type": "application/json",
    }
    if first:
        headers["X-First-Attempt"] = "true"
    return fleet.http.request(
        "POST",
        f"{fleet.daemons[instance].callers_url}/services/{SERVICE}/orders",
        body=b'{"timber": "cedar", "boards": 12}',
        headers=headers,
    )


def repeat_order(fleet: Fleet) -> None:
    """Repeats an order through another instance; verifies that it is executed once."""
    first_instance, second_instance = list(fleet.daemons)[:2]
    key = "demo-order-1"
    first = place_order(fleet, first_instance, key, first=True)
    report("order", first.status == 200, f"status {first.status}, {first.data!r:.120}")
    second = place_order(fleet, second_instance, key, first=False)
    same = second.status == 200 and second.data == first.data
    report("repeated order", same, f"status {second.status}, same answer: {same}")
    count = fleet.executions().get(key)
    report("executed once", count == 1, f"{count} execution of {key}")


def replace_instance(fleet: Fleet, instance: str) -> None:
    """Drains and restarts an instance; verifies that it serves the manifest again."""
    daemon = fleet.daemons[instance]
    address = daemon.operators_url.removeprefix("http://")
    drained = run_tool(fleet, "drain", address)
    status = daemon.process.popen.wait(timeout=20)
    passed = (drained.returncode, status) == (0, 0)
    report("drain", passed, f"exit status {status} {drained.stderr.strip()}")
    fleet.restart(instance)
    fleet.wait_ready()
    stream_answer(fleet, instance)


def show_state(fleet: Fleet, instance: str) -> None:
    """Reads the state dump and verifies that it contains no secret key."""
    dump = msgspec.json.encode(fleet.dump(instance)).decode()
    clean = OPERATOR_KEY not in dump and not any(
        key in dump for key in TEAM_KEYS.values()
    )
    report("state dump", clean, f"{len(dump)} bytes, without keys")


def main() -> int:
    """Runs all steps; returns the exit status."""
    began = time.monotonic()
    try:
        with Fleet() as fleet:
            report("start", True, f"{len(fleet.daemons)} instances in 3 zones")
            apply_manifest(fleet)
            fleet.wait_ready()
            for instance in fleet.daemons:
                stream_answer(fleet, instance)
            ask_with_tool(fleet, list(fleet.daemons)[1])
            repeat_order(fleet)
            replace_instance(fleet, next(iter(fleet.daemons)))
            show_status(fleet)
            show_state(fleet, next(iter(fleet.daemons)))
    except StepFailed as error:
        print(f"demo: failed at {error}")
        return 1
    print(f"{time.monotonic() - began:.0f} s in all")
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
