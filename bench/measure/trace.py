"""Breaks down the latency of protected requests that missed their target."""

from collections.abc import Mapping

from lagoonrill._internal.protocol.manifest import LatencyTarget

from .figures import first_executions, met_target, stream_name
from .goals import PROTECTED_CLASSES
from .records import RunRecord


def trace(record: RunRecord, targets: Mapping[str, LatencyTarget]) -> list[str]:
    """Returns a line with times in ms for each late protected request."""
    executions = first_executions(record)
    began = min((outcome.due_at for outcome in record.outcomes), default=0.0)
    lines = []
    for outcome in record.outcomes:
        name = outcome.request_class
        if name not in PROTECTED_CLASSES or met_target(outcome, targets[name]):
            continue
        parts = [
            f"    late {outcome.call} at {outcome.due_at - began:.2f} s:",
            f"{outcome.verdict} {outcome.kind}, attempts {outcome.attempts},",
            f"sending {(outcome.sent_at - outcome.due_at) * 1e3:.0f},",
        ]
        first = executions.get(stream_name(outcome.stream))
        if first and outcome.first_at:
            parts += [
                f"until the engine {(first.received_at - outcome.sent_at) * 1e3:.0f},",
                f"in it {(first.first_token_at - first.received_at) * 1e3:.0f},",
                f"way back {(outcome.first_at - first.first_token_at) * 1e3:.0f},",
                f"gap {(outcome.token_gap_s or 0) * 1e3:.0f}",
            ]
        lines.append(" ".join(parts))
    return lines
