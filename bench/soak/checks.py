"""Checks the guarantees on the history of a soak test."""

from bench.soak.history import LAST_EVENT, History, Outcome, Run

ONCE_KINDS = frozenset(("order", "plan"))
STREAM_KINDS = frozenset(("ask", "plan"))
# Documented limits: a leaving endpoint gets no requests after DRAIN_S, service is
# restored within RECOVERY_S after the last fault.
DRAIN_S = 2.0
# A configuration is in force everywhere within this time of its acknowledgement.
APPLY_S = 2.0
RECOVERY_S = 12.0
# A fault of the store or of an instance excuses violations for this long after its end.
EXCUSE_WINDOW_S = 3.0
# All instances together keep the limit of an endpoint within this time of its first
# answer with the limit. In each window, an endpoint gets at most the given multiple of
# what its limit allows, and a few requests more.
LIMIT_KNOWN_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
# After an endpoint has asked an instance to wait, it gets at most this many requests
# from it between the given time and the end of the pause.
PAUSE_KNOWN_S = 0.5
PAUSE_EXTRA = 2
# The deadly request is known to all instances within this time of its third crash, and
# runs on at most this many endpoints afterwards.
DEADLY_KNOWN_S = 3.0
CERTAIN_CRASHES = 3
DEADLY_EXTRA = 3
# Streams that may hold events of two versions.
MIXED_EXTRA = 2
# In a calm span, this many urgent streams and this share of them may get nothing.
CALM_S = 5.0
MIN_UNSERVED = 10
UNSERVED_SHARE = 1 / 12
# Target name of faults that affect the store for all gateways.
STORE = "store"
# Departures, and faults during which an instance still has to learn of departures.
NON_EXCUSING_FAULTS = frozenset(
    (
        "EndpointGrey",
        "EndpointLeaves",
        "EndpointLimit",
        "EndpointPauses",
        "EndpointRelease",
        "EndpointSaysItLeaves",
        "EndpointVanishes",
        "NewConfiguration",
        "OddEntry",
        "Reload",
        "WatchCut",
    )
)


def check(history: History, *, ended_at: float) -> list[str]:
    """Returns a description of each violated guarantee."""
    return [
        *check_at_most_once(history),
        *check_refusals(history),
        *check_answers(history),
        *check_leaving(history),
        *check_announced(history),
        *check_limits(history),
        *check_pauses(history),
        *check_stream_versions(history),
        *check_urgent(history),
        *check_crashes(history),
        *check_duties(history),
        *check_versions(history),
        *check_in_force(history),
        *check_planned_stops(history),
        *check_recovery(history, ended_at=ended_at),
    ]


def runs_by_request(history: History) -> dict[str, list[Run]]:
    """Returns the runs grouped by request."""
    found: dict[str, list[Run]] = {}
    for run in history.runs:
        found.setdefault(run.request, []).append(run)
    return found


def check_at_most_once(history: History) -> list[str]:
    """Checks that a non-repeatable request was executed at most once."""
    kinds = {item.request: item.kind for item in history.outcomes}
    return [
        f"{request} ({kinds[request]}) ran {len(runs)} times"
        for request, runs in runs_by_request(history).items()
        if kinds.get(request) in ONCE_KINDS and len(runs) > 1
    ]


def check_refusals(history: History) -> list[str]:
    """Checks that a request refused as not run was not executed."""
    runs = runs_by_request(history)
    return [
        f"{item.request} ({item.kind}) was refused with {item.status} and ran"
        for item in history.outcomes
        if item.status in (408, 421, 429, 503) and item.request in runs
    ]


def check_answers(history: History) -> list[str]:
    """Checks that successful responses are complete and stream events in order."""
    violations = []
    for item in history.outcomes:
        if item.status == 200 and not item.whole:
            violations.append(f"{item.request} ({item.kind}): not its own answer")
        # The body of other statuses is written by the router.
        if item.kind in STREAM_KINDS and item.status in (0, 200):
            violations += _check_events(item)
    return violations


def _check_events(item: Outcome) -> list[str]:
    events = item.body.split(b"\n\n")
    numbers = [
        int(event.partition(b"\n")[0].removeprefix(b"id: ")) for event in events[:-1]
    ]
    if numbers != list(range(1, len(numbers) + 1)) or events[-1]:
        return [f"{item.request} ({item.kind}): events {numbers}, rest {events[-1]!r}"]
    if item.status == 200 and len(numbers) != LAST_EVENT:
        return [f"{item.request} ({item.kind}) ended as complete after {len(numbers)}"]
    return []


def check_stream_versions(history: History) -> list[str]:
    """Checks that no stream holds events of two versions of an endpoint's software.

    All tries of a caller count, whatever happened to the instances.
    """
    received = {
        item.request: item.body
        for item in history.outcomes
        if item.kind == "ask" and item.status in (0, 200)
    }
    received |= {item.first: item.body for item in history.take_ups}
    mixed = {
        request: versions
        for request, body in received.items()
        if len(versions := versions_in(body)) > 1
    }
    if len(mixed) <= MIXED_EXTRA:
        return []
    return [f"{name}: events of {sorted(found)}" for name, found in mixed.items()]


def check_urgent(history: History) -> list[str]:
    """Checks that urgent streams begin while less urgent ones do, in calm spans."""
    violations = []
    begin = min((item.sent_at for item in history.outcomes), default=0.0)
    last = max((item.sent_at for item in history.outcomes), default=0.0)
    while begin <= last:
        end = begin + CALM_S
        asks, plans = (
            [
                bool(versions_in(item.body))
                for item in history.outcomes
                if item.kind == kind and begin <= item.sent_at < end
            ]
            for kind in ("ask", "plan")
        )
        unserved = asks.count(False)
        starved = unserved >= MIN_UNSERVED and unserved > UNSERVED_SHARE * len(asks)
        if starved and any(plans) and has_no_unplanned_fault(history, begin, end):
            violations.append(
                f"{unserved} of {len(asks)} urgent streams got nothing in {CALM_S:g} s "
                f"while {plans.count(True)} less urgent ones began"
            )
        begin = end
    return violations


def versions_in(body: bytes) -> set[bytes]:
    """Returns the versions that whole events name."""
    return {event.rpartition(b" ")[2] for event in body.split(b"\n\n")[:-1]}


def check_crashes(history: History) -> list[str]:
    """Checks that a request which crashes endpoints stops reaching them."""
    times = sorted(item.at for item in history.crashes)
    if len(times) < CERTAIN_CRASHES:
        return []
    known_at = times[CERTAIN_CRASHES - 1] + DEADLY_KNOWN_S
    late = sum(at > known_at for at in times)
    if late <= DEADLY_EXTRA:
        return []
    return [f"the deadly request ran {len(times)} times, {late} after it was known"]


def check_duties(history: History) -> list[str]:
    """Checks that holders share no token, and that no window has two counts."""
    violations = []
    holders: dict[tuple[str, int], str] = {}
    reports: dict[int, dict[str, int]] = {}
    for call in history.duty_calls:
        holder = holders.setdefault((call.subject, call.token), call.holder)
        if holder != call.holder:
            violations.append(
                f"{holder} and {call.holder} used token {call.token} for {call.subject}"
            )
        if call.subject == "/usage" and call.status == 200:
            window, counts = call.body["Window"], call.body["Counts"]
            if reports.setdefault(window, counts) != counts:
                violations.append(f"window {window} was reported with other counts")
    return violations


def check_leaving(history: History) -> list[str]:
    """Checks that an endpoint gets no requests later than `DRAIN_S` after it left.

    Requests of an instance that a fault excuses are ignored.
    """
    senders = history.senders()
    return [
        f"{run.request} reached {run.endpoint} {run.at - left_at:.2f} s after it left"
        for run in history.runs
        if (left_at := history.leaving.get(run.endpoint)) is not None
        and run.at > left_at + DRAIN_S
        and not is_excused(history, senders.get(run.request), run, left_at)
    ]


def check_announced(history: History) -> list[str]:
    """Checks that an endpoint gets nothing from an instance that it told its leaving.

    The time counts from the first whole answer that said so, whatever the store says.
    A restart or suspension of the instance since then excuses it.
    """
    outcomes = {item.request: item for item in history.outcomes}
    told: dict[tuple[str, str], float] = {}
    for run in history.runs:
        outcome = outcomes.get(run.request)
        if run.says_leaving and outcome is not None and outcome.status == 200:
            key = outcome.instance, run.endpoint
            told[key] = min(told.get(key, outcome.ended_at), outcome.ended_at)
    violations = []
    for run in history.runs:
        outcome = outcomes.get(run.request)
        told_at = told.get((outcome.instance, run.endpoint)) if outcome else None
        if (
            told_at is not None
            and outcome.sent_at > told_at + DRAIN_S
            and not was_disturbed(history, outcome.instance, told_at, run.at)
        ):
            violations.append(
                f"{run.request} reached {run.endpoint} {run.at - told_at:.2f} s after "
                f"it had told {outcome.instance} that it leaves"
            )
    return violations


def check_limits(history: History) -> list[str]:
    """Checks that an endpoint gets no more requests than its limit allows.

    Requests of an instance are ignored if it was restarted or suspended since shortly
    before the window.
    """
    senders = history.senders()
    violations = []
    for named in history.limits:
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * named.limit + LIMIT_EXTRA
        since = named.began_at + LIMIT_KNOWN_S
        until = named.ended_at or float("inf")
        runs = sorted(
            (run.at, senders.get(run.request, ""))
            for run in history.runs
            if run.endpoint == named.endpoint and since <= run.at < until
        )
        for begin, _ in runs:
            end = begin + LIMIT_WINDOW_S
            count = sum(
                begin <= at < end and not was_disturbed(history, sender, begin, end)
                for at, sender in runs
            )
            if count > allowed:
                violations.append(
                    f"{named.endpoint} with a limit of {named.limit:g} a second got "
                    f"{count} requests in {LIMIT_WINDOW_S:g} s; allowed {allowed:g}"
                )
                break
    return violations


def check_pauses(history: History) -> list[str]:
    """Checks that an instance sends an endpoint nothing for as long as that asks."""
    senders = history.senders()
    arrivals: dict[tuple[str, str], list[float]] = {}
    for item in (*history.runs, *history.pauses):
        sender = senders.get(item.request)
        if sender is not None:
            arrivals.setdefault((sender, item.endpoint), []).append(item.at)
    violations = []
    for asked in history.pauses:
        sender = senders.get(asked.request)
        begin, end = asked.at + PAUSE_KNOWN_S, asked.at + asked.pause_s
        if sender is None or was_disturbed(history, sender, asked.at, end):
            continue
        count = sum(begin < at < end for at in arrivals[sender, asked.endpoint])
        if count > PAUSE_EXTRA:
            violations.append(
                f"{asked.endpoint} got {count} requests from {sender} in the pause of "
                f"{asked.pause_s:g} s that it asked for"
            )
    return violations


def was_disturbed(history: History, instance: str, since: float, until: float) -> bool:
    """Returns whether a fault of an instance affected a time span."""
    return any(
        fault.target == instance
        and fault.began_at < until
        and (fault.ended_at or until) > since - EXCUSE_WINDOW_S
        for fault in history.faults
    )


def is_excused(
    history: History, instance: str | None, run: Run, left_at: float
) -> bool:
    """Returns whether a fault excuses a late request to an endpoint that left.

    A store-wide fault at the time of the departure or shortly before the request does,
    and so does a fault of the instance, of its link to the store or of the endpoint
    shortly before the request. Faults of other instances and a closed watch don't.
    """
    for fault in history.faults:
        if fault.what in NON_EXCUSING_FAULTS:
            continue
        ended_at = fault.ended_at or run.at
        around_departure = fault.began_at <= left_at <= ended_at + EXCUSE_WINDOW_S
        before_request = fault.began_at <= run.at <= ended_at + EXCUSE_WINDOW_S
        if fault.target == STORE and (around_departure or before_request):
            return True
        if fault.target in (instance, run.endpoint) and before_request:
            return True
    return False


def has_no_unplanned_fault(history: History, since: float, until: float) -> bool:
    """Returns whether no unplanned fault affected a time span."""
    return not any(
        fault.began_at < until and (fault.ended_at or until) > since - EXCUSE_WINDOW_S
        for fault in history.faults
        if not fault.planned
    )


def check_versions(history: History) -> list[str]:
    """Checks that the configuration version never decreases within a lifetime."""
    violations = []
    newest: dict[str, int] = {}
    for probe in sorted(history.probes, key=lambda item: item.at):
        if probe.version < newest.get(probe.lifetime, 0):
            violations.append(
                f"{probe.lifetime} went back from version "
                f"{newest[probe.lifetime]} to {probe.version}"
            )
        newest[probe.lifetime] = max(probe.version, newest.get(probe.lifetime, 0))
    return violations


def check_in_force(history: History) -> list[str]:
    """Checks that each instance serves the newest configuration within `APPLY_S`."""
    violations = []
    for item in history.denials:
        age_s = item.at - history.acknowledged[item.version]
        if age_s > APPLY_S and not may_be_outdated(history, item.instance, item.at):
            violations.append(
                f"{item.instance} denied version {item.version} {age_s:.2f} s after "
                f"its acknowledgement"
            )
    return violations


def may_be_outdated(history: History, instance: str, at: float) -> bool:
    """Returns whether a fault of the store or of the instance excuses an old copy."""
    return any(
        fault.target in (STORE, instance)
        and fault.began_at <= at <= (fault.ended_at or at) + EXCUSE_WINDOW_S
        for fault in history.faults
        if fault.what not in NON_EXCUSING_FAULTS
    )


def check_planned_stops(history: History) -> list[str]:
    """Checks that planned faults interrupt no requests in flight."""
    violations = []
    for fault in history.faults:
        if not fault.planned:
            continue
        for item in history.outcomes:
            in_flight = item.sent_at < fault.began_at < item.ended_at
            if (
                item.instance == fault.target
                and in_flight
                and item.status in (0, 502)
                and has_no_unplanned_fault(history, item.sent_at, item.ended_at)
            ):
                violations.append(
                    f"{item.request} ({item.kind}) was cut off by a planned stop"
                )
    return violations


def check_recovery(history: History, *, ended_at: float) -> list[str]:
    """Checks that 90% of each kind of request succeed after the recovery time."""
    last = max((fault.ended_at for fault in history.faults), default=0.0)
    since = last + RECOVERY_S
    if since > ended_at:
        return []
    violations = []
    for kind in sorted({item.kind for item in history.outcomes}):
        late = [
            item
            for item in history.outcomes
            if item.kind == kind and item.sent_at > since
        ]
        served = sum(item.status == 200 for item in late)
        if late and served < 0.9 * len(late):
            violations.append(
                f"{kind}: {served} of {len(late)} served after the recovery"
            )
    return violations
