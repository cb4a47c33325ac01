"""`lagoonrill explain`: finds the causes of failed requests in logs."""

from collections import Counter, defaultdict

import msgspec

from .exit_status import ExitStatus
from .log_lines import LogEntry, read_lines, read_log_files
from .output import print_error, print_json

# Events of an endpoint, the store or a configuration are shown as context if they are
# at most this long before the request.
CONTEXT_S = 5.0
CONTEXT_EVENTS = frozenset(
    (
        "config_installed",
        "endpoint_gone",
        "endpoint_leaving",
        "endpoint_restarted",
        "endpoint_suspect",
        "peer_lost",
        "stopping",
        "store_lost",
        "store_reached",
    )
)
# Events about the cause of a refusal are shown whenever, and wherever, they happened.
CRASH_EVENTS = frozenset(
    (
        "endpoint_crashed",
        "request_no_longer_refused",
        "request_refused_for_crashes",
    )
)
END_EVENTS = frozenset(
    ("request_answered", "request_refused", "request_cancelled", "stream_broken_off")
)


class RequestExplanation(msgspec.Struct, kw_only=True):
    """Outcome, cause and log events of one request."""

    request: str
    outcome: str
    cause: str
    steps: list[str]
    context: list[str] = []


def group_by_request(lines: list[LogEntry]) -> dict[str, list[LogEntry]]:
    """Groups log lines by request."""
    found = defaultdict(list)
    for line in lines:
        if request := line.fields.get("request"):
            found[request].append(line)
    return found


def find_cause(lines: list[LogEntry]) -> tuple[str, str]:
    """Returns the outcome of a request and its cause."""
    end = next((line for line in reversed(lines) if line.event in END_EVENTS), None)
    failures = [line for line in lines if line.event == "send_failed"]
    last = failures[-1].fields["reason"] if failures else ""
    if end is None:
        return "no end", "the instance exited, or its log was truncated"
    fields = end.fields
    if end.event == "request_cancelled":
        placed = any(line.event == "request_sent" for line in lines)
        where = "processed by an endpoint" if placed else "queued for an engine"
        return "cancelled", f"the caller disconnected while the request was {where}"
    if end.event == "stream_broken_off":
        return (
            "broken off",
            f"the stream could not be continued: {fields.get('reason', '')}",
        )
    if end.event == "request_refused":
        return _refusal(fields, last)
    status = fields.get("status", 0)
    if status >= 500:
        return f"status {status}", "response of the endpoint"
    if failures:
        return (
            f"status {status}",
            f"answered after {len(failures)} failed attempts: {last}",
        )
    return f"status {status}", "answered"


def _refusal(fields: dict, last_failure: str) -> tuple[str, str]:
    outcome = f"refused {fields.get('status')}"
    reason = fields.get("reason", "")
    if reason == "engines_busy":
        return outcome, "the prompt backlog of the engines exceeded the time limit"
    if reason == "timeout":
        after = f" after {last_failure}" if last_failure else ""
        return outcome, f"deadline exceeded{after}"
    if reason == "request_crashes_endpoints":
        return outcome, "endpoints have crashed each time that they ran this request"
    if last_failure:
        return outcome, f"{reason}: {last_failure}"
    return outcome, reason


def explain_request(
    request: str, lines: list[LogEntry], all_lines: list[LogEntry]
) -> RequestExplanation:
    """Returns the explanation of one request."""
    outcome, cause = find_cause(lines)
    started, ended = lines[0].time, lines[-1].time
    endpoints = {line.fields.get("endpoint") for line in lines} - {None}
    instances = {line.instance for line in lines}
    fingerprints = {line.fields.get("fingerprint") for line in lines} - {None}
    context = [
        _step(line, started)
        for line in all_lines
        if (
            line.event in CONTEXT_EVENTS
            and started - CONTEXT_S <= line.time <= ended + 1
            and line.instance in instances
            and line.fields.get("endpoint") in {None, *endpoints}
        )
        or (
            line.event in CRASH_EVENTS
            and line.fields.get("fingerprint") in fingerprints
            and line.fields.get("request") != request
        )
    ]
    return RequestExplanation(
        request=request,
        outcome=outcome,
        cause=cause,
        steps=[_step(line, started) for line in lines],
        context=context,
    )


def _step(line: LogEntry, started: float) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name != "request" and value is not None
    )
    offset_ms = (line.time - started) * 1000
    return f"{offset_ms:+9.0f} ms {line.instance} {line.event} {fields}"


class ExplainCommand:
    """Explains one request, or counts the outcomes and causes of all requests."""

    def __init__(self, *, request: str, paths: list[str], summary: bool, as_json: bool):
        self.request = request
        self.paths = paths
        self.summary = summary
        self.as_json = as_json

    def run(self) -> ExitStatus:
        """Returns OK, or USAGE if no log line was found."""
        lines = read_lines(read_log_files(self.paths))
        requests = group_by_request(lines)
        if self.summary:
            return self._summarize(requests)
        found = requests.get(self.request)
        if not found:
            print_error(f"request {self.request} not found in {len(lines)} log lines")
            return ExitStatus.USAGE
        explanation = explain_request(self.request, found, lines)
        if self.as_json:
            print_json(explanation)
            return ExitStatus.OK
        print(f"{explanation.request}: {explanation.outcome}: {explanation.cause}")
        print("\n".join(explanation.steps))
        if explanation.context:
            print("context:")
            print("\n".join(explanation.context))
        return ExitStatus.OK

    def _summarize(self, requests: dict[str, list[LogEntry]]) -> ExitStatus:
        counts: Counter[tuple[str, str]] = Counter()
        samples: dict[tuple[str, str], str] = {}
        for request, lines in requests.items():
            key = find_cause(lines)
            counts[key] += 1
            samples.setdefault(key, request)
        for (outcome, cause), count in counts.most_common():
            sample = samples[outcome, cause]
            print(f"{count:7d}  {outcome}: {cause}  (for example {sample})")
        return ExitStatus.OK if counts else ExitStatus.USAGE
