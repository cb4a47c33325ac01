"""Caller that records its requests and their responses in a history."""

import http.client
import time
from collections.abc import Callable
from urllib.parse import urlsplit

import msgspec

from bench.fleet import MODEL, SERVICE, TEAM_KEYS, Fleet
from standins.engine import expected_text

from .history import Answered, History, Invoked

TIMEOUT_S = 30.0
RETRY_PAUSE_S = 0.5


class Attempt(msgspec.Struct, kw_only=True):
    """An attempt of a call.

    `on_sending` runs after half of the body was sent, `on_token` after each token.
    """

    call: str
    number: int
    instance: str
    on_sending: Callable[[], None] = lambda: None
    on_token: Callable[[int], None] = lambda count: None


class Caller:
    """Sends orders with idempotency keys, and streams, to instances of a fleet."""

    def __init__(self, *, fleet: Fleet, history: History):
        self.fleet = fleet
        self.history = history

    def order(self, attempt: Attempt) -> Answered:
        """Sends one attempt of an order; records and returns the response."""
        self._record_invoked(attempt)
        answer = Answered(call=attempt.call, attempt=attempt.number, run="lost")
        path = f"/services/{SERVICE}/orders"
        try:
            response = self._send(attempt, path, b'{"timber": "cedar"}')
            body = response.read()
            answer.status = response.status
            answer.run, answer.kind = read_verdict(response.status, body)
            answer.text = body.decode(errors="replace")
        except (OSError, http.client.HTTPException) as error:
            answer.kind = type(error).__name__
        return self._record(answer)

    def stream(self, attempt: Attempt, *, tokens: int, prompt: str = "") -> Answered:
        """Streams a plan; records and returns the received text."""
        self._record_invoked(attempt)
        messages = [{"role": "user", "content": f"{attempt.call} {prompt}"}]
        body = msgspec.json.encode(
            {
                "model": MODEL,
                "stream": True,
                "max_tokens": tokens,
                "messages": messages,
            }
        )
        answer = Answered(
            call=attempt.call,
            attempt=attempt.number,
            run="lost",
            expected_text=expected_text(messages, max_tokens=tokens),
        )
        try:
            response = self._send(attempt, "/v1/chat/completions", body)
            answer.status = response.status
            if response.status == 200:
                self._read_events(response, attempt, answer)
            else:
                answer.run, answer.kind = read_verdict(response.status, response.read())
        except (OSError, http.client.HTTPException) as error:
            answer.kind = type(error).__name__
        return self._record(answer)

    def _send(self, attempt: Attempt, path: str, body: bytes):
        address = urlsplit(self.fleet.daemons[attempt.instance].callers_url)
        connection = http.client.HTTPConnection(
            address.hostname, address.port, timeout=TIMEOUT_S
        )
        connection.putrequest("POST", path)
        connection.putheader("Authorization", f"Bearer {TEAM_KEYS['workshop']}")
        connection.putheader("Idempotency-Key", attempt.call)
        connection.putheader("Content-Type", "application/json")
        connection.putheader("Content-Length", str(len(body)))
        if path.startswith("/v1/"):
            connection.putheader("X-Request-Class", "plan")
        if attempt.number == 1:
            connection.putheader("X-First-Attempt", "true")
        connection.endheaders()
        half = len(body) // 2
        connection.send(body[:half])
        attempt.on_sending()
        connection.send(body[half:])
        return connection.getresponse()

    def _read_events(self, response, attempt: Attempt, answer: Answered) -> None:
        pieces = []
        for line in response:
            if line.startswith(b"event: error"):
                answer.run = "unknown"
                answer.kind = "truncated"
            elif line.strip() == b"data: [DONE]":
                answer.whole = True
                answer.run = "ran"
            elif line.startswith(b"data: ") and answer.run == "lost":
                choices = msgspec.json.decode(line[6:])["choices"]
                piece = choices[0]["delta"].get("content") if choices else None
                if piece:
                    pieces.append(piece)
                    answer.text = "".join(pieces)
                    attempt.on_token(len(pieces))

    def _record_invoked(self, attempt: Attempt) -> None:
        invoked = Invoked(
            call=attempt.call, attempt=attempt.number, instance=attempt.instance
        )
        self.history.record(invoked)

    def _record(self, answer: Answered) -> Answered:
        answer.at = time.monotonic()
        self.history.record(answer)
        return answer


class ErrorDetail(msgspec.Struct, kw_only=True):
    kind: str
    run: str


class ErrorBody(msgspec.Struct, kw_only=True):
    error: ErrorDetail


def read_verdict(status: int, body: bytes) -> tuple[str, str]:
    """Returns the execution state (`run`) and the error kind of a response."""
    if status == 200:
        return "ran", ""
    try:
        error = msgspec.json.decode(body, type=ErrorBody).error
    except msgspec.DecodeError:
        return "unknown", "unreadable"
    return error.run, error.kind
