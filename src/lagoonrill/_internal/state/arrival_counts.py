"""Counts the requests that arrive for each service, for decisions about capacity."""

import threading


class ArrivalCounts:
    """Requests and the prompt tokens that engines have to read for them, by service.

    The counts only grow, so a lost or repeated report of them does no harm.

    >>> counts = ArrivalCounts()
    >>> counts.note("chat", tokens=900)
    >>> counts.note("chat", tokens=100)
    >>> counts.of("chat")
    (2, 1000)
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.requests: dict[str, int] = {}
        self.tokens: dict[str, int] = {}

    def note(self, service: str, *, tokens: int) -> None:
        """Counts a request; one that is sent again counts again."""
        with self.lock:
            self.requests[service] = self.requests.get(service, 0) + 1
            self.tokens[service] = self.tokens.get(service, 0) + tokens

    def of(self, service: str) -> tuple[int, int]:
        """Returns the requests and tokens of a service."""
        with self.lock:
            return self.requests.get(service, 0), self.tokens.get(service, 0)
