"""Open-loop callers that send each arrival on schedule and check the response."""

import contextlib
import http.client
import threading
import time
from collections.abc import Callable, Sequence
from urllib.parse import urlsplit

import msgspec

from bench.fleet import MODEL, SERVICE
from bench.proof.caller import read_verdict
from standins.engine import expected_text

from .arrivals import Arrival
from .records import Outcome

ATTEMPTS = 3
RETRY_PAUSE_S = 0.1
SOCKET_TIMEOUT_S = 40.0
READ_BYTES = 65_536
CONTENT_MARKER = b'"content":"'


def team_key(team: str) -> str:
    """Returns the API key of a team."""
    return f"measure-{team}-key"


def build_messages(arrival: Arrival) -> list[dict]:
    """Returns the prompt; its prefix is shared by a team, so engines can cache it."""
    prefix = f"{arrival.team} {arrival.request_class} " * 40
    return [{"role": "user", "content": prefix + arrival.call}]


class Callers:
    """Open-loop callers: a late response does not delay the next arrival.

    After a lost connection the request is retried with the same idempotency key at the
    next instance, as by a client behind the platform's load balancer. Error responses
    are not retried.
    """

    def __init__(self, *, urls: Sequence[str], arrivals: Sequence[Arrival]):
        self.urls = list(urls)
        self.removed_urls: set[str] = set()
        self.arrivals = arrivals
        self.outcomes: list[Outcome] = []
        self.threads: list[threading.Thread] = []
        self.scheduled_actions: list[tuple[float, Callable[[], None]]] = []

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules an action in its own thread, `at_s` seconds after the start."""
        self.scheduled_actions.append((at_s, action))

    def run(self, started_at: float) -> None:
        """Sends all arrivals on schedule; returns when the last one was started."""
        for at_s, action in self.scheduled_actions:
            delay_s = max(0.0, started_at + at_s - time.monotonic())
            timer = threading.Timer(delay_s, action)
            timer.daemon = True
            timer.start()
        for arrival in self.arrivals:
            due_at = started_at + arrival.at_s
            time.sleep(max(0.0, due_at - time.monotonic()))
            outcome = Outcome(
                call=arrival.call,
                request_class=arrival.request_class,
                team=arrival.team,
                tokens=arrival.tokens,
                due_at=due_at,
            )
            self.outcomes.append(outcome)
            thread = threading.Thread(
                target=self._send, args=(arrival, outcome), daemon=True
            )
            self.threads.append(thread)
            thread.start()

    def join(self, timeout_s: float) -> int:
        """Waits for all responses; returns the number of unfinished requests."""
        until = time.monotonic() + timeout_s
        for thread in self.threads:
            thread.join(max(0.0, until - time.monotonic()))
        return sum(thread.is_alive() for thread in self.threads)

    def _send(self, arrival: Arrival, outcome: Outcome) -> None:
        for attempt in range(ATTEMPTS):
            url = self._url(arrival.instance + attempt)
            outcome.attempts += 1
            outcome.sent_at = time.monotonic()
            outcome.kind = ""
            try:
                if arrival.tokens:
                    self._stream(url, arrival, outcome)
                else:
                    self._call_service(url, arrival, outcome)
            except (OSError, http.client.HTTPException) as error:
                outcome.kind = type(error).__name__
            outcome.ended_at = time.monotonic()
            if outcome.verdict != "lost" or outcome.kind == "truncated":
                return
            time.sleep(RETRY_PAUSE_S)

    def _url(self, number: int) -> str:
        live = [url for url in self.urls if url not in self.removed_urls]
        return live[number % len(live)]

    def _open(
        self,
        url: str,
        method: str,
        path: str,
        body: bytes,
        arrival: Arrival,
        first: bool,
    ):
        address = urlsplit(url)
        connection = http.client.HTTPConnection(
            address.hostname, address.port, timeout=SOCKET_TIMEOUT_S
        )
        headers = {
            "Authorization": f"Bearer {team_key(arrival.team)}",
            "X-Request-Class": arrival.request_class,
            "Idempotency-Key": arrival.call,
        }
        if first:
            headers["X-First-Attempt"] = "true"
        connection.request(method, path, body=body, headers=headers)
        return connection, connection.getresponse()

    def _stream(self, url: str, arrival: Arrival, outcome: Outcome) -> None:
        messages = build_messages(arrival)
        body = msgspec.json.encode(
            {
                "model": MODEL,
                "stream": True,
                "max_tokens": arrival.tokens,
                "messages": messages,
            }
        )
        first = outcome.attempts == 1
        connection, response = self._open(
            url, "POST", "/v1/chat/completions", body, arrival, first
        )
        with contextlib.closing(connection):
            if response.status != 200:
                self._record_refusal(response, outcome)
                return
            pieces = self._read(response, outcome)
        text, complete, truncated = parse_events(b"".join(pieces), outcome)
        if truncated:
            outcome.kind = "truncated"
        elif complete:
            expected = expected_text(messages, max_tokens=arrival.tokens)
            outcome.verdict = "whole" if text == expected else "wrong"

    @staticmethod
    def _read(response, outcome: Outcome) -> list[bytes]:
        # Chunks are only timestamped here and parsed at the end, because parsing one
        # response would delay the others in this process.
        pieces = []
        while piece := response.read1(READ_BYTES):
            if CONTENT_MARKER in piece:
                outcome.last_at = time.monotonic()
                outcome.first_at = outcome.first_at or outcome.last_at
            pieces.append(piece)
        return pieces

    def _call_service(self, url: str, arrival: Arrival, outcome: Outcome) -> None:
        is_order = arrival.request_class == "order"
        path = f"/services/{SERVICE}/{'orders' if is_order else 'stock'}"
        path += f"/{arrival.call}"
        method, body = ("POST", b'{"timber": "cedar"}') if is_order else ("GET", b"")
        first = outcome.attempts == 1
        connection, response = self._open(url, method, path, body, arrival, first)
        with contextlib.closing(connection):
            if response.status != 200:
                self._record_refusal(response, outcome)
                return
            answer = msgspec.json.decode(response.read())
        matches = answer["path"].endswith("/" + arrival.call)
        if is_order:
            matches = matches and answer["key"] == arrival.call
        outcome.verdict = "whole" if matches else "wrong"

    @staticmethod
    def _record_refusal(response, outcome: Outcome) -> None:
        outcome.run, outcome.kind = read_verdict(response.status, response.read())
        outcome.verdict = "refused"


class Delta(msgspec.Struct):
    content: str = ""


class Choice(msgspec.Struct):
    delta: Delta


class Chunk(msgspec.Struct):
    id: str
    choices: list[Choice]


def parse_events(data: bytes, outcome: Outcome) -> tuple[str, bool, bool]:
    """Returns the text, and whether `[DONE]` and an error event were received."""
    pieces = []
    complete = truncated = False
    for line in data.split(b"\n"):
        line = line.strip()
        if line == b"event: error":
            truncated = True
        elif line == b"data: [DONE]":
            complete = True
        elif line.startswith(b"data: {") and not truncated:
            chunk = msgspec.json.decode(line[6:], type=Chunk)
            outcome.stream = outcome.stream or chunk.id
            pieces += [choice.delta.content for choice in chunk.choices]
    return "".join(pieces), complete, truncated
