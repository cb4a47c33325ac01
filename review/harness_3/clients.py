"""Consumers that follow the users' PROTOCOL.md, and the record of what they saw."""

import contextlib
import http.client
import itertools
import json
import threading
import time
from pathlib import Path

HOST = "shop.example"
KEY = "key-1"
_numbers = itertools.count(1)


class Record:
    """Lines of `record.txt`, with times since the start in seconds."""

    def __init__(self, path: Path):
        self.path = path
        self.began_at = time.monotonic()
        self.lock = threading.Lock()
        path.write_text("")

    def add(self, what: str, **fields) -> None:
        at = round(time.monotonic() - self.began_at, 3)
        line = json.dumps({"at": at, "what": what, **fields})
        with self.lock, self.path.open("a") as file:
            file.write(line + "\n")


class Outcome:
    """What a consumer saw of one attempt; times are on the monotonic clock."""

    def __init__(self, *, id: str, kind: str, gateway: str, sent_at: float):
        self.id = id
        self.kind = kind
        self.gateway = gateway
        self.sent_at = sent_at
        # Time of the final answer or of the end of the connection; None if the
        # consumer left before.
        self.ended_at: float | None = None
        self.status = 0
        self.body = b""
        self.is_whole = False

    def lasted_s(self) -> float:
        return float("inf") if self.ended_at is None else self.ended_at - self.sent_at


def new_id() -> str:
    return f"{next(_numbers):08x}{time.monotonic_ns() & 0xFFFFFFFF:08x}"


def headers_of(
    *,
    id: str | None,
    deadline_ms: int | None,
    parts: list[tuple[str, int]],
    **more: str,
) -> dict[str, str]:
    """Returns the headers of a generation."""
    tokens = sum(count for _, count in parts)
    headers = {
        "Host": HOST,
        "Authorization": f"Token {KEY}",
        "Model": "m",
        "Token-Usage": f"{tokens},80",
        "Prompt-Prefix": ",".join(f"{name}:{count}" for name, count in parts),
        **more,
    }
    if id is not None:
        headers["Attempt-Id"] = id
    if deadline_ms is not None:
        headers["Deadline-Ms"] = str(deadline_ms)
    return headers


def send(
    *,
    port: int,
    kind: str,
    gateway: str,
    headers: dict[str, str],
    patience_s: float,
    body: bytes = b"x" * 200,
    method: str = "POST",
) -> Outcome:
    """Sends a request on a new connection; waits up to `patience_s` for each read."""
    outcome = Outcome(
        id=headers.get("Attempt-Id", ""),
        kind=kind,
        gateway=gateway,
        sent_at=time.monotonic(),
    )
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=patience_s)
    try:
        connection.request(method, f"/{kind}/1", body=body, headers=headers)
        response = connection.getresponse()
        outcome.status = response.status
        while data := response.read1(65_536):
            outcome.body += data
        outcome.is_whole = True
        outcome.ended_at = time.monotonic()
    except TimeoutError:
        # The consumer gives up.
        pass
    except (OSError, http.client.HTTPException):
        outcome.ended_at = time.monotonic()
    finally:
        with contextlib.suppress(OSError):
            connection.close()
    return outcome


class Traffic:
    """Requests at a constant rate, each in a thread of its own."""

    def __init__(self):
        self.lock = threading.Lock()
        self.outcomes: list[Outcome] = []
        self.threads: list[threading.Thread] = []

    def run(self, *, per_s: float, for_s: float, make) -> None:
        """Calls `make` at a rate; it returns an outcome, or None."""
        begun_at = time.monotonic()
        for number in range(int(per_s * for_s)):
            time.sleep(max(0.0, begun_at + number / per_s - time.monotonic()))
            self.start(make)

    def start(self, make) -> None:
        thread = threading.Thread(target=self._one, args=(make,), daemon=True)
        thread.start()
        with self.lock:
            self.threads.append(thread)

    def _one(self, make) -> None:
        outcome = make()
        if outcome is not None:
            with self.lock:
                self.outcomes.append(outcome)

    def join(self, timeout_s: float) -> None:
        until = time.monotonic() + timeout_s
        for thread in list(self.threads):
            thread.join(max(0.0, until - time.monotonic()))
