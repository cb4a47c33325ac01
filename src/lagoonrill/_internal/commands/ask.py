"""`lagoonrill ask`: sends a chat request and prints the response as it arrives."""

from collections.abc import Iterator

import msgspec

from .exit_status import ExitStatus
from .http import DaemonClient
from .output import print_error, print_json

PATH = "/v1/chat/completions"
RUN_STATUSES = {
    "not_run": ExitStatus.NOT_RUN,
    "unknown": ExitStatus.OUTCOME_UNKNOWN,
    "ran": ExitStatus.OUTCOME_UNKNOWN,
}


class ErrorDetail(msgspec.Struct, kw_only=True):
    """Error reported by the router; `run` indicates whether the request was run."""

    kind: str
    message: str
    run: str = "unknown"
    retry_after_s: float | None = None


class ErrorResponse(msgspec.Struct, kw_only=True):
    """Body of an error response."""

    error: ErrorDetail


class _Part(msgspec.Struct, kw_only=True):
    content: str | None = None


class _Choice(msgspec.Struct, kw_only=True):
    delta: _Part | None = None
    message: _Part | None = None
    finish_reason: str | None = None


class _Completion(msgspec.Struct, kw_only=True):
    choices: list[_Choice] = []
    error: ErrorDetail | None = None


class AskReport(msgspec.Struct, kw_only=True):
    """Output of `--json`."""

    complete: bool
    text: str
    finish_reason: str = ""
    error: ErrorDetail | None = None


class AskCommand:
    """Sends a prompt and prints the response; with `--json` only when complete."""

    def __init__(
        self,
        *,
        client: DaemonClient,
        model: str,
        prompt: str,
        headers: dict[str, str],
        stream: bool,
        as_json: bool,
    ):
        self.client = client
        self.body = msgspec.json.encode(
            {
                "model": model,
                "stream": stream,
                "messages": [{"role": "user", "content": prompt}],
            }
        )
        self.headers = headers | {"Content-Type": "application/json"}
        self.as_json = as_json
        self.report = AskReport(complete=False, text="")

    def run(self) -> ExitStatus:
        """Returns OK for a complete response, else whether the request was run."""
        response = self.client.open("POST", PATH, body=self.body, headers=self.headers)
        self.client.check_key(response.status)
        if response.status >= 300:
            self._read_error(self.client.read(response), response.status)
        elif "text/event-stream" in response.headers.get("Content-Type", ""):
            self._read_stream(self.client.chunks(response))
        else:
            self._read_completion(self.client.read(response))
        return self._finish()

    def _read_error(self, data: bytes, status: int) -> None:
        try:
            self.report.error = msgspec.json.decode(data, type=ErrorResponse).error
        except msgspec.DecodeError:
            message = f"the listener returned HTTP status {status}"
            self.report.error = ErrorDetail(kind="invalid_answer", message=message)

    def _read_completion(self, data: bytes) -> None:
        try:
            response = msgspec.json.decode(data, type=_Completion)
        except msgspec.DecodeError as error:
            self._set_invalid(error)
            return
        for choice in response.choices:
            self._add_text(choice.message)
            self.report.finish_reason = choice.finish_reason or ""
        self.report.complete = bool(self.report.finish_reason)

    def _read_stream(self, chunks: Iterator[bytes]) -> None:
        for data in event_data(chunks):
            if data == b"[DONE]":
                self.report.complete = bool(self.report.finish_reason)
                return
            try:
                response = msgspec.json.decode(data, type=_Completion)
            except msgspec.DecodeError as error:
                self._set_invalid(error)
                return
            self.report.error = response.error or self.report.error
            for choice in response.choices:
                self._add_text(choice.delta)
                self.report.finish_reason = choice.finish_reason or ""

    def _add_text(self, part: _Part | None) -> None:
        if part is None or not part.content:
            return
        self.report.text += part.content
        if not self.as_json:
            print(part.content, end="", flush=True)

    def _set_invalid(self, error: msgspec.DecodeError) -> None:
        message = f"invalid response: {error}"
        self.report.error = ErrorDetail(kind="invalid_answer", message=message)

    def _finish(self) -> ExitStatus:
        report = self.report
        if self.as_json:
            print_json(report)
        elif report.text:
            print()
        if report.complete:
            return ExitStatus.OK
        if report.error is None:
            print_error("the response is incomplete. Discard it and try again")
            return ExitStatus.OUTCOME_UNKNOWN
        run = report.error.run
        print_error(f"{report.error.kind}: {report.error.message} (run: {run})")
        return RUN_STATUSES.get(run, ExitStatus.OUTCOME_UNKNOWN)


def event_data(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """Yields the data of each server-sent event.

    >>> list(event_data([b"id: 1\\ndata: a\\n", b"\\ndata: b\\n\\n"]))
    [b'a', b'b']
    """
    buffer = b""
    for chunk in chunks:
        buffer += chunk.replace(b"\r", b"")
        while b"\n\n" in buffer:
            event, _, buffer = buffer.partition(b"\n\n")
            lines = [line[5:] for line in event.split(b"\n") if line[:5] == b"data:"]
            if lines:
                yield b"\n".join(line.removeprefix(b" ") for line in lines)
