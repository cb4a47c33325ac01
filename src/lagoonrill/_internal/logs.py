"""Logging with logbook: one line per event on standard error.

Each component has its own logger, whose name is included in each of its lines:

>>> logger = get_logger("claims")
>>> logger.name
'claims'
>>> redact_keys("refused 'Authorization: Bearer abc123'")
"refused 'Authorization: [removed]'"

Daemons hold only digests of bearer keys. Keys that still occur in log messages, for
example in a quoted header, are redacted: credentials are matched by a pattern, and the
digest of each word is compared with the known digests.
"""

import hashlib
import re
import sys
from datetime import UTC, datetime
from typing import TextIO

import logbook
import msgspec

from .protocol.settings import LogSettings

_BEARER = re.compile(r"(?i)\b(?:bearer|basic)[\s:=]+[^\s\"',;]+")
_WORD = re.compile(r"[A-Za-z0-9._~+/=-]{8,}")
_REDACTED = "[removed]"

_known_digests: set[str] = set()
_installed: list[logbook.Handler] = []


class LogLine(msgspec.Struct, kw_only=True):
    """One log record in JSON format; `time` is UTC in ISO 8601 format."""

    time: str
    level: str
    component: str
    message: str
    error: str = ""


def get_logger(component: str) -> logbook.Logger:
    """Returns the logger of a component; its lines include the component's name."""
    return logbook.Logger(component)


def register_key_digests(digests: list[str]) -> None:
    """Adds SHA-256 digests of bearer keys to redact from all log lines."""
    _known_digests.update(digests)


def redact_keys(text: str) -> str:
    """Redacts credentials found by pattern, and words with a known key's digest."""
    text = _BEARER.sub(_REDACTED, text)
    if not _known_digests:
        return text
    return _WORD.sub(_redact_known_key, text)


def _redact_known_key(match: re.Match) -> str:
    word = match.group()
    last = word.rpartition("/")[2]
    for candidate in {word, word.rstrip(".="), word.rpartition("=")[2], last}:
        if hashlib.sha256(candidate.encode()).hexdigest() in _known_digests:
            return _REDACTED
    return word


class LineHandler(logbook.Handler):
    """Writes each record as one line of text or JSON."""

    def __init__(self, *, stream: TextIO, level: str, form: str):
        super().__init__(level=level.upper(), bubble=False)
        self.stream = stream
        self.form = form

    def emit(self, record: logbook.LogRecord) -> None:
        line = self.format_line(record)
        # A single write prevents interleaving of lines from different threads.
        self.stream.write(line + "\n")
        self.stream.flush()

    def format_line(self, record: logbook.LogRecord) -> str:
        """Formats a record as one line without line breaks or keys."""
        time = datetime.now(UTC).isoformat(timespec="milliseconds")
        error = record.exception_name or ""
        if error:
            error = f"{error.rpartition('.')[2]}: {record.exception_message}"
        line = LogLine(
            time=time,
            level=record.level_name.lower(),
            component=record.channel,
            message=redact_keys(record.message),
            error=redact_keys(error),
        )
        if self.form == "json":
            return msgspec.json.encode(line).decode()
        text = f"{line.time} {line.level} {line.component}: {line.message}"
        if line.error:
            text += f" ({line.error})"
        return _one_line(text)


def _one_line(text: str) -> str:
    return " ".join(text.splitlines())


def install(settings: LogSettings, *, stream: TextIO | None = None) -> None:
    """Sends log records of all components to `stream` (default: standard error)."""
    uninstall()
    handler = LineHandler(
        stream=stream or sys.stderr, level=settings.level, form=settings.form
    )
    handler.push_application()
    _installed.append(handler)


def uninstall() -> None:
    """Removes the handlers added by `install`."""
    while _installed:
        _installed.pop().pop_application()
