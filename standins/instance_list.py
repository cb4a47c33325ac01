"""Simulates the platform's Instance list.

`PUT /instances/<id>` adds or changes an entry, `DELETE /instances/<id>` removes it, and
`GET /instances` returns the entries as they were `lag_s` ago.
"""

import threading
import time

import msgspec

from lagoonrill._internal.protocol.objects import ListedInstance

from .server import Request, Response, StandIn, argument_parser, json_response, run

# Older states are discarded, except for the one that was current at that time.
MAX_LAG_S = 600.0


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Injected faults.

    `lag_s` delays the visibility of changes, `down` answers 503 to everyone,
    `refused_instances` get 503, and `slow_ms` delays each response.
    """

    lag_s: float = 0.0
    down: bool = False
    refused_instances: list[str] = []
    slow_ms: float = 0.0


class State(msgspec.Struct, kw_only=True):
    """The entries that are valid from `since` on (monotonic seconds)."""

    since: float
    entries: list[ListedInstance]


class InstanceListStandIn(StandIn):
    """Keeps the history of the list and serves the state of `lag_s` ago."""

    def __init__(self, *, lag_s: float = 0.0):
        super().__init__(faults=Faults(lag_s=lag_s))
        self.lock = threading.Lock()
        self.states = [State(since=float("-inf"), entries=[])]
        self.add_route("GET", r"/instances", self.get_entries)
        self.add_route("PUT", r"/instances/([^/]+)", self.put_entry)
        self.add_route("DELETE", r"/instances/([^/]+)", self.delete_entry)

    def get_entries(self, request: Request) -> Response:
        """Returns the entries as of `lag_s` ago."""
        time.sleep(self.faults.slow_ms / 1000)
        refused = request.header("X-Instance") in self.faults.refused_instances
        if self.faults.down or refused:
            return json_response({"error": "outage"}, status=503)
        as_of = time.monotonic() - self.faults.lag_s
        with self.lock:
            past = [state for state in self.states if state.since <= as_of]
            return json_response(past[-1].entries)

    def put_entry(self, request: Request, instance: str) -> Response:
        """Adds or replaces an entry; the request body is a `ListedInstance`."""
        try:
            entry = msgspec.json.decode(request.body, type=ListedInstance)
        except msgspec.DecodeError as error:
            return json_response({"error": str(error)}, status=400)
        if entry.id != instance:
            message = f"the entry's id is {entry.id!r}"
            return json_response({"error": message}, status=400)
        self.change(instance, entry)
        return json_response(entry)

    def delete_entry(self, request: Request, instance: str) -> Response:
        """Removes an entry."""
        self.change(instance, None)
        return json_response(None)

    def change(self, instance: str, entry: ListedInstance | None) -> None:
        """Appends a state in which the entry is replaced, or removed if it is None."""
        now = time.monotonic()
        with self.lock:
            entries = [old for old in self.states[-1].entries if old.id != instance]
            if entry is not None:
                entries.append(entry)
            entries.sort(key=lambda item: item.id)
            self.states.append(State(since=now, entries=entries))
            while self.states[1].since < now - MAX_LAG_S:
                self.states.pop(0)


def main() -> None:
    """Parses the arguments and runs the server."""
    parser = argument_parser(__doc__.splitlines()[0])
    parser.add_argument("--lag-s", type=float, default=0.0)
    arguments = parser.parse_args()
    stand_in = InstanceListStandIn(lag_s=arguments.lag_s)
    run(stand_in, host=arguments.host, port=arguments.port)


if __name__ == "__main__":
    main()
