"""Parsing of server-sent events."""

import re

import msgspec

EVENT_TERMINATOR = b"\n\n"
EVENT_TERMINATOR_PATTERN = re.compile(rb"\n\n|\r\n\r\n")
MAX_TERMINATOR_BYTES = 4
DONE_DATA = b"[DONE]"
MAX_EVENT_BYTES = 1_000_000
# More digits than the number of any event has; Python converts some thousand at most.
MAX_NUMBER_DIGITS = 18


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
            event_id = event_number(value)
    return ServerSentEvent(
        raw=block + EVENT_TERMINATOR, id=event_id, data=b"\n".join(data)
    )


class EventParser:
    """Splits received bytes into events and buffers an incomplete event."""

    __slots__ = ("carriage_return", "rest")

    def __init__(self):
        self.rest = bytearray()
        # The last received byte, if it may be the first half of a line end.
        self.carriage_return = b""

    def blocks(self, received: bytes) -> list[bytes]:
        """Returns the events completed by `received`, without their empty lines.

        >>> parser = EventParser()
        >>> parser.blocks(b"id: 0\\r\\ndata: x\\r")
        []
        >>> parser.blocks(b"\\n\\r\\ndata: y\\n\\n")
        [b'id: 0\\ndata: x', b'data: y']
        """
        received = self.carriage_return + received
        self.carriage_return = b"\r" if received.endswith(b"\r") else b""
        received = received.removesuffix(b"\r")
        if b"\r" in received:
            received = received.replace(b"\r\n", b"\n")
        # A terminator that ends in the new bytes begins at the earliest here.
        searched = max(0, len(self.rest) - len(EVENT_TERMINATOR) + 1)
        self.rest += received
        blocks = []
        if self.rest.find(EVENT_TERMINATOR, searched) >= 0:
            blocks = bytes(self.rest).split(EVENT_TERMINATOR)
            self.rest = bytearray(blocks.pop())
        check_size(self.rest)
        return [block for block in blocks if block]


class RawEventSplitter:
    """Splits received bytes into complete events without modifying them.

    >>> splitter = RawEventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\r\\nda")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.feed(b"ta: b\\r\\n\\r\\n"), splitter.rest
    ([b'id: 2\\r\\ndata: b\\r\\n\\r\\n'], bytearray(b''))
    """

    __slots__ = ("rest",)

    def __init__(self):
        self.rest = bytearray()

    def feed(self, received: bytes) -> list[bytes]:
        """Returns the events completed by `received`, with their final empty lines."""
        # A terminator that ends in the new bytes begins at the earliest here.
        searched = max(0, len(self.rest) - MAX_TERMINATOR_BYTES + 1)
        self.rest += received
        events = []
        begin = 0
        for match in EVENT_TERMINATOR_PATTERN.finditer(self.rest, searched):
            events.append(bytes(self.rest[begin : match.end()]))
            begin = match.end()
        del self.rest[:begin]
        check_size(self.rest)
        return events


def check_size(rest: bytearray) -> None:
    """Raises `EventTooLarge` if an incomplete event exceeds the limit."""
    if len(rest) > MAX_EVENT_BYTES:
        raise EventTooLarge(f"an event is larger than {MAX_EVENT_BYTES} bytes")


def event_id(event: bytes) -> int | None:
    """Returns the number in the id line of an event.

    >>> event_id(b"weights: 2\\nid: 7\\ndata: x\\n\\n"), event_id(b"data: x\\n\\n")
    (7, None)
    """
    for line in event.splitlines():
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return event_number(value)
    return None


def event_number(value: bytes) -> int | None:
    """Returns the number of an event; None for any other text.

    >>> event_number(b"7"), event_number(b"-7"), event_number(b"9" * 5_000)
    (7, None, None)
    """
    if value.isdigit() and len(value) <= MAX_NUMBER_DIGITS:
        return int(value)
    return None
