"""Reads log lines of gateways."""

from collections.abc import Iterable

import msgspec


class LogEntry(msgspec.Struct, kw_only=True):
    """One log line; `fields` are the fields specific to its event."""

    time: float
    event: str
    instance: str
    fields: dict


def read_lines(texts: Iterable[str]) -> list[LogEntry]:
    """Parses log lines and returns them sorted by time.

    Text before the JSON object, for example a prefix added by a log collector, is
    ignored. Lines without a valid JSON object are skipped.
    """
    lines = []
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            found = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        lines.append(
            LogEntry(
                time=found.pop("time"),
                event=found.pop("event", ""),
                instance=found.pop("instance", ""),
                fields=found,
            )
        )
    return sorted(lines, key=lambda line: line.time)


def read_log_files(paths: list[str]) -> Iterable[str]:
    """Yields the lines of all files."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from file
