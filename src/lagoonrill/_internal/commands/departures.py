"""Reports requests that were sent to endpoints after their departure was logged."""

from collections import defaultdict

import msgspec

from .exit_status import ExitStatus
from .log_lines import LogEntry, read_lines, read_log_files
from .output import print_json

# The first of these events on any instance is the start of a departure.
DEPARTURE_EVENTS = frozenset(("endpoint_leaving", "endpoint_held", "endpoint_gone"))
# After these events an instance sends no new requests to the endpoint.
LEARNED_EVENTS = frozenset(("endpoint_leaving", "endpoint_gone"))


class LateSend(msgspec.Struct, kw_only=True):
    """The last request that was sent after the start of the departure."""

    after_s: float
    instance: str
    request: str
    # Age of the sender's endpoint list; None in older logs.
    list_age_ms: int | None


class Departure(msgspec.Struct, kw_only=True):
    """One departure of an endpoint; offsets are seconds after its first event."""

    endpoint: str
    time: float
    learned_s: dict[str, float]
    held_by: list[str]
    last_send: LateSend | None = None


def departures(lines: list[LogEntry]) -> list[Departure]:
    """Returns the departures, sorted by the last request sent, latest first.

    Offsets between instances are only as accurate as their clock synchronization.
    """
    by_endpoint: dict[str, list[LogEntry]] = defaultdict(list)
    for line in lines:
        if endpoint := line.fields.get("endpoint"):
            by_endpoint[endpoint].append(line)
    found = []
    for endpoint, own in by_endpoint.items():
        found.extend(_departures_of(endpoint, own))
    found.sort(key=lambda item: -(item.last_send.after_s if item.last_send else 0.0))
    return found


def _departures_of(endpoint: str, lines: list[LogEntry]) -> list[Departure]:
    found: list[Departure] = []
    current: Departure | None = None
    restarted_on: set[str] = set()
    for line in lines:
        if line.event == "endpoint_found" and not line.fields.get("leaving"):
            # The endpoint has restarted with the same id.
            restarted_on.add(line.instance)
            continue
        if line.event in DEPARTURE_EVENTS:
            if current is None or line.instance in restarted_on:
                current = Departure(
                    endpoint=endpoint, time=line.time, learned_s={}, held_by=[]
                )
                found.append(current)
                restarted_on.clear()
            _record_event(current, line)
        elif (
            line.event == "request_sent"
            and current is not None
            and line.instance not in restarted_on
        ):
            current.last_send = LateSend(
                after_s=round(line.time - current.time, 3),
                instance=line.instance,
                request=line.fields.get("request", ""),
                list_age_ms=line.fields.get("list_age_ms"),
            )
    return found


def _record_event(departure: Departure, line: LogEntry) -> None:
    if line.event == "endpoint_held":
        departure.held_by.append(line.instance)
    if line.event in LEARNED_EVENTS:
        after_s = round(line.time - departure.time, 3)
        departure.learned_s.setdefault(line.instance, after_s)


def describe(departure: Departure) -> str:
    """Returns a one-line description of a departure."""
    send = departure.last_send
    sent = "nothing sent after"
    if send is not None:
        age = "" if send.list_age_ms is None else f", list {send.list_age_ms} ms old"
        sent = (
            f"last sent {send.after_s:.3f} s after by {send.instance} "
            f"({send.request}{age})"
        )
    parts = [f"{departure.time:.3f} {departure.endpoint}: {sent}"]
    if departure.learned_s:
        instance, after_s = max(departure.learned_s.items(), key=lambda item: item[1])
        parts.append(f"learned last by {instance} after {after_s:.3f} s")
    if departure.held_by:
        parts.append(f"held by {', '.join(departure.held_by)}")
    return "; ".join(parts)


class DeparturesCommand:
    """Lists departures of endpoints, sorted by the last request sent to them."""

    def __init__(self, *, paths: list[str], as_json: bool):
        self.paths = paths
        self.as_json = as_json

    def run(self) -> ExitStatus:
        """Returns OK, or USAGE if the logs contain no departure."""
        found = departures(read_lines(read_log_files(self.paths)))
        if self.as_json:
            print_json(found)
        else:
            for departure in found:
                print(describe(departure))
        return ExitStatus.OK if found else ExitStatus.USAGE
