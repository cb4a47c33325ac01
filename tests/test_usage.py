"""Tests of usage reports without a network: counts, clocks, handover, failures."""

import time

import pytest

from lagoonrill._internal.coordination.gateway_peers import LOST_AFTER_S
from lagoonrill._internal.duties.lease import DutyLease
from lagoonrill._internal.duties.platform_calls import CallOutcome, StaleToken
from lagoonrill._internal.duties.runner import DutyRunner, LeasedCaller
from lagoonrill._internal.duties.usage import UsageLedger, WindowClock
from lagoonrill._internal.duties.usage_exchange import UsageExchange
from lagoonrill._internal.duties.usage_report import UsageReporter
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.messages import (
    GatewayDigest,
    decode_message,
    encode_message,
)
from lagoonrill._internal.state.gateway_metrics import GatewayMetrics

from .duty_kit import ManualClock, MemoryStore

WINDOW_S = 5.0
LATE_S = 10.0
UNIX_S = 1_000_000_000.0


class MemoryPlatform:
    """Executes reports as the platform does; a shared outcome replaces answers."""

    def __init__(self, clock):
        self.clock = clock
        self.outcome: CallOutcome | None = None
        # Window whose reports get no answers.
        self.stuck: int | None = None
        self.highest = 0
        # Counts of the accepted reports, and the time of the first one.
        self.reports: dict[int, list[dict[str, int]]] = {}
        self.times: dict[int, float] = {}

    def report_usage(self, *, window, counts, token):
        if self.outcome in (CallOutcome.UNAVAILABLE, CallOutcome.BUSY):
            return self.outcome
        if token < self.highest:
            return CallOutcome.REFUSED
        self.highest = token
        self.reports.setdefault(window, []).append(dict(counts))
        self.times.setdefault(window, self.clock())
        if window == self.stuck:
            return CallOutcome.IN_DOUBT
        return self.outcome or CallOutcome.DONE


class Gateway:
    """One instance of a fleet whose messages arrive at once."""

    def __init__(self, fleet: "Fleet", name: str, incarnation: int):
        self.fleet = fleet
        self.address = name
        self.name = name
        # Step of the time of day of this instance.
        self.clock = WindowClock(
            window_s=WINDOW_S,
            boot=fleet.clock,
            wall=lambda: UNIX_S + fleet.clock() + fleet.step_s.get(name, 0.0),
        )
        self.lease = DutyLease(
            name="d",
            instance=name,
            store=fleet.store,
            lease_s=3.0,
            event_log=EventLog(),
            clock=fleet.clock,
        )
        self.ledger = UsageLedger(
            instance=name, incarnation=incarnation, clock=self.clock, late_after_s=3.0
        )
        self.exchange = UsageExchange(
            zone=fleet.zones.get(name, "z"),
            ledger=self.ledger,
            clock=self.clock,
            link=self,
            live_digests=lambda: [
                GatewayDigest(
                    instance=other, zone=fleet.zones.get(other, "z"), address=other
                )
                for other in fleet.believed_live(name)
                if other != name
            ],
            instances=lambda: len(fleet.gateways),
            known_instances=lambda: len(fleet.gateways) + len(fleet.killed_at),
            counts=fleet.store,
            held_token=self.lease.token,
            event_log=EventLog(),
        )
        caller = LeasedCaller(
            caller=fleet.platform,
            lease=self.lease,
            calls_per_s=50,
            metrics=GatewayMetrics(),
            clock=fleet.clock,
        )
        self.runner = DutyRunner(
            lease=self.lease,
            caller=caller,
            is_first=lambda: min(fleet.believed_live(name)) == name,
            event_log=EventLog(),
            clock=fleet.clock,
        )
        self.reporter = UsageReporter(
            ledger=self.ledger,
            clock=self.clock,
            lease=self.lease,
            reports=fleet.store,
            caller=caller,
            is_complete=self.exchange.is_complete,
            fetch=self.exchange.fetch,
            late_s=LATE_S,
            event_log=EventLog(),
        )
        self.runner.duties.append(self.reporter)

    # The link.

    def register_handler(self, message_type, handler, *, inline):
        self.handler = handler

    def send(self, address, message) -> None:
        self.fleet.sent += 1
        if self.fleet.reaches(self.name, address):
            self.fleet.gateways[address].handler(
                decode_message(encode_message(message))
            )

    def send_to(self, addresses, message) -> None:
        for address in addresses:
            self.send(address, message)


class Fleet:
    def __init__(self, *names: str, zones: dict[str, str] | None = None):
        self.zones = zones or {}
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.platform = MemoryPlatform(self.clock)
        self.step_s: dict[str, float] = {}
        self.gateways: dict[str, Gateway] = {}
        self.sent = 0
        self.incarnations = 0
        # When instances were killed; peers take them for live for a while.
        self.killed_at: dict[str, float] = {}
        # Instances that reach each other and the store, but not the others.
        self.cut_off: set[str] = set()
        # Requests by window, as endpoints began them.
        self.truth: dict[int, dict[str, int]] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        self.incarnations += 1
        self.gateways[name] = Gateway(self, name, self.incarnations)

    def kill(self, name: str) -> None:
        del self.gateways[name]
        self.killed_at[name] = self.clock()

    def reaches(self, name: str, other: str) -> bool:
        is_cut = (name in self.cut_off) != (other in self.cut_off)
        return other in self.gateways and not is_cut

    def believed_live(self, name: str) -> set[str]:
        since = self.clock() - LOST_AFTER_S
        return {other for other in self.gateways if self.reaches(name, other)} | {
            other for other, at in self.killed_at.items() if at > since
        }

    def begin(self, name: str, team: str, count: int = 1) -> None:
        window = int((UNIX_S + self.clock()) // WINDOW_S)
        for _ in range(count):
            self.gateways[name].ledger.note_begun(team)
        counts = self.truth.setdefault(window, {})
        counts[team] = counts.get(team, 0) + count

    def run(self, seconds: float, *, teams=()) -> None:
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now += 0.25
            for name in list(self.gateways):
                for team in teams:
                    self.begin(name, team)
                self.gateways[name].exchange.tick()
                self.gateways[name].runner.run_once()

    def check(self, *, late: bool = False) -> None:
        """Checks all ended windows that have to be reported by now."""
        reports = self.platform.reports
        now = UNIX_S + self.clock()
        for window, counts in self.truth.items():
            if (window + 1) * WINDOW_S + LATE_S < now:
                assert reports.get(window, [None])[0] == counts
        for window, found in reports.items():
            assert all(counts == found[0] for counts in found)
            due = (window + 1) * WINDOW_S + LATE_S - UNIX_S
            assert late or self.platform.times[window] <= due
        assert sorted(reports) == list(range(min(reports), max(reports) + 1))


@pytest.fixture
def fleet():
    return Fleet("a", "b", "c", "d")


def test_all_windows_are_reported_from_the_first_one_on(fleet):
    fleet.run(60, teams=("t", "u"))
    fleet.check()
    assert len(fleet.platform.reports) >= 10
    assert all(len(found) == 1 for found in fleet.platform.reports.values())
    # A renewal a second, and a report object for each window.
    assert len(fleet.store.calls) <= 1.5 * 60
    # Two collectors, four messages a second from each instance at most.
    assert fleet.sent <= 60 * 4 * (2 * 4 - 2) + 100


def test_old_report_objects_are_removed(fleet):
    fleet.run(200, teams=("t",))
    fleet.check()
    assert len(fleet.store.reports) <= 60 / WINDOW_S + 4


@pytest.mark.parametrize("after_s", [0.5 * n for n in range(1, 20)])
def test_a_killed_holder_loses_no_window_and_no_count(fleet, after_s):
    fleet.run(20 + after_s, teams=("t",))
    fleet.kill("a")
    fleet.run(40, teams=("t",))
    fleet.check()


def test_a_lost_zone_loses_no_count_of_its_instances():
    """Both first instances by name are in one zone, as names begin with the zone."""
    fleet = Fleet("a", "b", "c", "d", "e", zones={"d": "y", "e": "y"})
    fleet.run(22, teams=("t",))
    for name in ("a", "b", "c"):
        fleet.kill(name)
    fleet.run(30, teams=("t",))
    fleet.check()


@pytest.mark.parametrize("cut_off", [{"a"}, {"a", "b"}, {"d"}, {"c", "d"}])
def test_counts_of_instances_that_are_cut_off_come_through_the_store(fleet, cut_off):
    """With `a`, the holder is cut off from all others."""
    fleet.run(20, teams=("t",))
    assert "list" not in fleet.store.calls
    fleet.cut_off = cut_off
    fleet.run(30, teams=("t",))
    fleet.cut_off = set()
    fleet.run(30, teams=("t",))
    fleet.check()


def test_both_collectors_may_be_killed_in_turn(fleet):
    for name in ("a", "b"):
        fleet.run(20.5, teams=("t",))
        fleet.kill(name)
    fleet.run(30, teams=("t",))
    fleet.check()


def test_a_restarted_collector_has_the_counts_of_all(fleet):
    """The first instance by name is the candidate; here it has only just started."""
    fleet.run(21, teams=("t",))
    fleet.start("a")
    fleet.run(40, teams=("t",))
    fleet.check(late=True)


@pytest.mark.parametrize(
    "outcome", [CallOutcome.UNAVAILABLE, CallOutcome.BUSY, CallOutcome.IN_DOUBT]
)
def test_reports_are_repeated_with_the_same_counts(fleet, outcome):
    fleet.run(20, teams=("t",))
    fleet.platform.outcome = outcome
    fleet.run(20, teams=("t",))
    fleet.platform.outcome = None
    fleet.run(20, teams=("t",))
    fleet.check(late=True)


def test_one_window_without_an_answer_does_not_hold_up_the_next(fleet):
    fleet.run(20, teams=("t",))
    stuck = max(fleet.platform.reports) + 1
    fleet.platform.stuck = stuck
    fleet.run(40, teams=("t",))
    fleet.check()
    assert fleet.gateways["a"].lease.progress["usage_done"] == stuck - 1
    fleet.platform.stuck = None
    fleet.run(3, teams=("t",))
    assert fleet.gateways["a"].lease.progress["usage_done"] > stuck


def test_a_report_without_an_answer_is_repeated_exactly_by_the_successor(fleet):
    fleet.run(20, teams=("t",))
    fleet.platform.outcome = CallOutcome.IN_DOUBT
    fleet.run(6, teams=("t",))
    fleet.kill("a")
    # Counts that come late must not change what the successor sends.
    window = max(fleet.store.reports)
    fleet.gateways["b"].ledger.windows[window]["b", 2]["t"] += 7
    fleet.platform.outcome = None
    fleet.run(30, teams=("t",))
    fleet.check(late=True)


@pytest.mark.parametrize("mode", ["down", "lost", "late"])
def test_nothing_is_reported_that_the_store_does_not_have(fleet, mode):
    fleet.run(20, teams=("t",))
    known = set(fleet.platform.reports)
    fleet.store.mode = mode
    fleet.run(20, teams=("t",))
    assert len(set(fleet.platform.reports) - known) <= 1
    fleet.store.mode = "ok"
    fleet.store.execute_late()
    fleet.run(20, teams=("t",))
    fleet.check(late=True)


def test_a_restored_store_causes_no_second_report(fleet):
    fleet.run(20, teams=("t",))
    kept = fleet.store.copy()
    fleet.run(20, teams=("t",))
    fleet.store.restore(kept)
    fleet.run(20, teams=("t",))
    fleet.check()
    assert all(len(found) == 1 for found in fleet.platform.reports.values())


def test_a_refused_report_gives_the_lease_up(fleet):
    fleet.run(20, teams=("t",))
    fleet.platform.highest += 1
    fleet.run(20, teams=("t",))
    fleet.check()


def test_a_refusal_is_raised_to_the_runner(fleet):
    fleet.run(20, teams=("t",))
    gateway = fleet.gateways["a"]
    token = gateway.lease.token()
    fleet.platform.highest += 1
    with pytest.raises(StaleToken):
        for _ in range(40):
            fleet.clock.now += 0.25
            gateway.lease.step(True)
            gateway.reporter.step(token)


def test_no_call_is_made_without_the_lease_or_above_the_rate(fleet):
    fleet.run(20, teams=("t",))
    caller = fleet.gateways["a"].reporter.caller
    token = fleet.gateways["a"].lease.token()

    def report(token: int) -> CallOutcome:
        return caller.report_usage(window=1, counts={}, token=token)

    outcomes = [report(token) for _ in range(50)]
    assert outcomes == [CallOutcome.DONE] * 45 + [CallOutcome.BUSY] * 5
    made = len(fleet.platform.reports[1])
    fleet.clock.now += 2
    assert report(token + 1) is CallOutcome.UNAVAILABLE
    fleet.store.mode = "down"
    fleet.clock.now += 2.5
    assert report(token) is CallOutcome.UNAVAILABLE
    assert len(fleet.platform.reports[1]) == made


def test_windows_that_nobody_has_counted_are_unknown(fleet):
    fleet.run(30, teams=("t",))
    last = max(fleet.platform.reports)
    fleet.gateways.clear()
    fleet.clock.now += 300
    fleet.start("a")
    fleet.truth.clear()
    fleet.run(30)
    reports = fleet.platform.reports
    unknown = fleet.gateways["a"].reporter.unknown
    assert unknown >= 60
    assert len([window for window in reports if window > last + 1]) >= 2
    assert min(window for window in reports if window > last + 1) >= last + 60


def test_counts_that_come_after_the_report_are_told(fleet):
    fleet.run(20, teams=("t",))
    holder = fleet.gateways["a"].ledger
    assert holder.late == 0
    late = fleet.gateways["c"].ledger.own_usage({max(fleet.platform.reports)})
    late[0].counts["t"] += 3
    holder.merge(late)
    assert (holder.late, len(holder.inaccurate)) == (3, 1)


def test_a_step_of_one_clock_moves_no_window(fleet):
    fleet.run(20, teams=("t",))
    fleet.step_s["b"] = 7.0
    fleet.run(20, teams=("t",))
    fleet.check()


def test_a_wrong_clock_at_the_start_is_corrected(fleet):
    fleet.run(12, teams=("t",))
    fleet.step_s["e"] = 7.0
    fleet.start("e")
    fleet.run(1)
    assert abs(fleet.gateways["e"].clock.now() - UNIX_S - fleet.clock()) < 0.3
    fleet.run(30, teams=("t",))
    fleet.check()


def test_a_late_message_is_no_sign_of_a_wrong_clock():
    """A frozen peer sends its messages when it wakes up, with the time of before."""
    clock = ManualClock()
    windows = WindowClock(window_s=5, boot=clock, wall=lambda: UNIX_S + clock())
    for delay_s in (0.01, 30.0, 0.01):
        clock.now += 1
        for name in ("a", "b", "c"):
            windows.note_peer(name, UNIX_S + clock() - delay_s)
            assert not windows.review()
    assert windows.now() == pytest.approx(UNIX_S + clock())


def test_a_request_is_counted_in_the_window_of_its_begin():
    clock = ManualClock()
    windows = WindowClock(window_s=5, boot=clock, wall=lambda: UNIX_S + clock())
    ledger = UsageLedger(instance="a", incarnation=1, clock=windows, late_after_s=3.0)
    now = time.monotonic()
    ledger.note_begun("t", now - 1)
    # Too late for the report of its window.
    ledger.note_begun("t", now - 60)
    ledger.note_begun(None)
    assert ledger.counts(windows.window() - 1) == {"t": 1}
    assert ledger.counts(windows.window()) == {"t": 1}
