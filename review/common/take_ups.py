"""Streams that consumers take up again at another gateway, and what they hold."""

import threading
import time

from review.common.consumers import Answer, send_stream
from review.common.gateways import Gateway
from review.common.record import Record

# More streams than this with events of two software versions break the rule ORDER.
MOST_MIXED = 2
RETRY_PAUSE_S = 0.3


class Stream:
    """A stream over all attempts of its consumer."""

    def __init__(self):
        self.answers: list[Answer] = []

    def versions(self) -> set[str]:
        return {version for answer in self.answers for _, version in answer.events()}


class StreamConsumers:
    """Begins streams at one gateway, and takes those that break up at another."""

    def __init__(self, *, record: Record, port: int, other: Gateway, tries: int = 2):
        self.record = record
        self.port = port
        self.other = other
        self.tries = tries
        self.streams: list[Stream] = []
        self.threads: list[threading.Thread] = []

    def begin(self) -> None:
        stream = Stream()
        self.streams.append(stream)
        thread = threading.Thread(target=self.run, args=(stream,), daemon=True)
        thread.start()
        self.threads.append(thread)

    def run(self, stream: Stream) -> None:
        first = send_stream(self.port, "/ask/2f")
        self.note(stream, first, "begun")
        if first.complete or not first.events():
            return
        for _ in range(self.tries):
            answer = send_stream(self.other.port, "/ask/2f", resume=first)
            self.note(stream, answer, f"taken up ({first.id}) at {self.other.name}")
            if answer.status not in (0, 429, 503):
                return
            time.sleep(RETRY_PAUSE_S)

    def note(self, stream: Stream, answer: Answer, what: str) -> None:
        stream.answers.append(answer)
        events = answer.events()
        span = f"{events[0][0]} to {events[-1][0]}" if events else "none"
        versions = sorted({version for _, version in events})
        self.record.line(
            f"{what}: {answer.id} status {answer.status} complete {answer.complete}, "
            f"events {span} of {versions}",
            at=answer.sent_at,
        )

    def mixed(self) -> int:
        """Waits for all streams; returns how many hold events of two versions."""
        for thread in self.threads:
            thread.join()
        mixed = sum(len(stream.versions()) > 1 for stream in self.streams)
        taken_up = sum(
            len(stream.answers) > 1 and stream.answers[-1].status == 200
            for stream in self.streams
        )
        text = (
            f"{len(self.streams)} streams, {taken_up} went on at another gateway, "
            f"{mixed} hold events of two software versions"
        )
        self.record.line(text)
        print(text)
        return mixed
