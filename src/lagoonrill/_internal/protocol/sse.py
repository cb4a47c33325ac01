"""Parsing of server-sent events."""

import re

import msgspec

EVENT_TERMINATOR = b"\n\n"
EVENT_TERMINATOR_PATTERN = re.compile(rb"\n\n|\r\n\r\n")
DONE_DATA = b"[DONE]"
MAX_EVENT_BYTES = 1_000_000


class EventTooLarge(Exception):
    """An endpoint sent an event larger than `MAX_EVENT_BYTES`."""


class ServerSentEvent(msgspec.Struct):
    """One event; `raw` is the event as received, with its final empty line."""

    raw: bytes
    id: int | None
    data: bytes


def parse_event(block: bytes) -> ServerSentEvent:
    """Parses the lines of one event.

    >>> event = parse_event(b'id: 3\\ndata: {"a": 1}')
    >>> event.id, event.data
    (3, b'{"a": 1}')
    """
    event_id = None
    data = []
    for line in block.split(b"\n"):
        if line.startswith(b"data:"):
            data.append(line[5:].strip())
        elif line.startswith(b"id:"):
            value = line[3:].strip()
            event_id = int(value) if value.isdigit() else None
    return ServerSentEvent(
        raw=block + EVENT_TERMINATOR, id=event_id, data=b"\n".join(data)
    )


class EventParser:
    """Splits received bytes into events and buffers an incomplete event."""

    __slots__ = ("rest",)

    def __init__(self):
        self.rest = b""

    def blocks(self, received: bytes) -> list[bytes]:
        """Returns the events completed by `received`, without their empty lines.

        >>> parser = EventParser()
        >>> parser.blocks(b"id: 0\\ndata: x\\n")
        []
        >>> parser.blocks(b"\\ndata: y\\n\\n")
        [b'id: 0\\ndata: x', b'data: y']
        """
        if b"\r" in received:
            received = received.replace(b"\r\n", b"\n")
        blocks = (self.rest + received).split(EVENT_TERMINATOR)
        self.rest = blocks.pop()
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return [block for block in blocks if block]


class RawEventSplitter:
    """Splits received bytes into complete events without modifying them.

    >>> splitter = RawEventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\r\\nda")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.feed(b"ta: b\\r\\n\\r\\n"), splitter.rest
    ([b'id: 2\\r\\ndata: b\\r\\n\\r\\n'], b'')
    """

    __slots__ = ("rest",)

    def __init__(self):
        self.rest = b""

    def feed(self, received: bytes) -> list[bytes]:
        """Returns the events completed by `received`, with their final empty lines."""
        buffer = self.rest + received
        events = []
        begin = 0
        for match in EVENT_TERMINATOR_PATTERN.finditer(buffer):
            events.append(buffer[begin : match.end()])
            begin = match.end()
        self.rest = buffer[begin:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return events


def event_id(event: bytes) -> int | None:
    """Returns the number in the id line of an event.

    >>> event_id(b"weights: 2\\nid: 7\\ndata: x\\n\\n"), event_id(b"data: x\\n\\n")
    (7, None)
    """
    for line in event.splitlines():
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
