"""Writes structured log lines to standard output from a bounded, non-blocking buffer.

Each line is a JSON object with `time`, `event` and the fields of the event. If the
buffer is full, lines are dropped; a `log_dropped` line then reports their number.
"""

import sys
import threading
import time
from collections import deque
from typing import TextIO

import logbook
import msgspec

# About 2 MB of lines, which limits memory use when the output is not read.
MAX_WAITING_LINES = 8_000
WRITE_INTERVAL_S = 0.05
# Batches lines to reduce the number of system calls.
LINES_PER_WRITE = 200

_encoder = msgspec.json.Encoder()


class EventLog:
    """Buffers events and writes them from a background thread.

    >>> log = EventLog()
    >>> log.emit("request_refused", request="r1", reason="no_route")
    >>> len(log.waiting)
    1
    """

    def __init__(self, *, stream: TextIO | None = None, instance: str = ""):
        self.stream = stream
        self.instance = instance
        self.waiting: deque[tuple[float, str, dict]] = deque()
        self.dropped = 0
        self.stopping = threading.Event()
        self.thread: threading.Thread | None = None

    def emit(self, event: str, **fields) -> None:
        """Adds an event, or drops it if the buffer is full."""
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        self.waiting.append((time.time(), event, fields))

    def start(self) -> None:
        """Starts the writer thread."""
        self.thread = threading.Thread(target=self._run, name="event-log", daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Writes the buffered lines and stops the writer thread."""
        self.stopping.set()
        if self.thread is not None:
            self.thread.join(1.0)

    def _run(self) -> None:
        while not self.stopping.wait(WRITE_INTERVAL_S):
            self._write_waiting()
        self._write_waiting()

    def _write_waiting(self) -> None:
        while self.waiting:
            lines = []
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                lines.append(self._line(time.time(), "log_dropped", {"lines": dropped}))
            while self.waiting and len(lines) < LINES_PER_WRITE:
                lines.append(self._line(*self.waiting.popleft()))
            self._write("".join(lines))

    def _line(self, at: float, event: str, fields: dict) -> str:
        entry = {"time": round(at, 4), "event": event, "instance": self.instance}
        return _encoder.encode(entry | fields).decode() + "\n"

    def _write(self, text: str) -> None:
        stream = self.stream or sys.stdout
        try:
            stream.write(text)
            stream.flush()
        except (OSError, ValueError):
            # The output is closed, so the error cannot be reported.
            self.dropped += text.count("\n")


class EventLogHandler(logbook.Handler):
    """Forwards logbook records to an event log."""

    def __init__(self, *, event_log: EventLog, level: str = "INFO"):
        super().__init__(level=level, bubble=False)
        self.event_log = event_log

    def emit(self, record: logbook.LogRecord) -> None:
        fields = {"component": record.channel, "message": record.message}
        if record.exc_info:
            fields["error"] = f"{record.exception_name}: {record.exception_message}"
        self.event_log.emit(record.level_name.lower(), **fields)
