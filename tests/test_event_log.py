"""Guards the event log: bounded memory, no blocked requests, one line per event."""

import io
import json
import threading

import logbook

from lagoonrill._internal.event_log import (
    MAX_WAITING_LINES,
    EventLog,
    EventLogHandler,
)


class BlockedStream(io.StringIO):
    """An output stream whose writes block until `release` is set."""

    def __init__(self):
        super().__init__()
        self.release = threading.Event()

    def write(self, text: str) -> int:
        self.release.wait()
        return super().write(text)


def test_blocked_output_delays_no_caller_and_dropped_lines_are_counted():
    stream = BlockedStream()
    log = EventLog(stream=stream, instance="i")
    log.start()
    for number in range(MAX_WAITING_LINES + 500):
        log.emit("request_sent", request=str(number))
    assert len(log.waiting) <= MAX_WAITING_LINES
    assert log.dropped > 0
    stream.release.set()
    log.stop()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    dropped = sum(line["lines"] for line in lines if line["event"] == "log_dropped")
    sent = sum(line["event"] == "request_sent" for line in lines)
    assert dropped + sent == MAX_WAITING_LINES + 500


def test_lines_of_loggers_become_events():
    stream = io.StringIO()
    log = EventLog(stream=stream, instance="i")
    log.start()
    with EventLogHandler(event_log=log).applicationbound():
        logbook.Logger("platform").warning("entry {} is not used", "a b")
    log.stop()
    (line,) = stream.getvalue().splitlines()
    found = json.loads(line)
    assert found["event"] == "warning"
    assert found["message"] == "entry a b is not used"
    assert found["instance"] == "i"
