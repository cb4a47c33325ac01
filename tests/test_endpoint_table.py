"""Guards the endpoint state derived from load reports, failures and latencies."""

from lagoonrill._internal.protocol.manifest import Manifest
from lagoonrill._internal.state.endpoint_table import EndpointTable, LoadReport
from tests.scheduler_kit import FakeClock, engine


def build_table(*endpoints):
    table = EndpointTable(clock=FakeClock())
    manifest = Manifest(classes=[], endpoints=list(endpoints), teams=[])
    table.apply_manifest(manifest)
    return table


def ids(table):
    return [view.endpoint.id for view in table.candidates("m")]


def report(running, age_s, **fields):
    return LoadReport(running=running, waiting=0, slots=8, age_s=age_s, **fields)


def test_lagging_report_is_corrected_by_own_requests():
    """Guards against requests that are not counted, or counted twice.

    Requests sent after the report's sample are added; earlier ones are part of it.
    """
    table = build_table(engine("e1", slots=8))
    table.note_sent("e1")
    table.clock.now += 1.0
    table.note_sent("e1")
    table.report_load("e1", report(3, 0.5))
    assert table.candidates("m")[0].running == 4
    table.clock.now += 0.1
    table.note_returned("e1", failed=False, succeeded=True)
    assert table.candidates("m")[0].running == 3
    table.report_load("e1", report(7, 2.0))
    assert table.candidates("m")[0].running == 3, "an older sample replaced a newer one"


def test_stale_report_gives_way_to_own_requests():
    """Guards against an engine that looks busy after it has stopped reporting."""
    table = build_table(engine("e1", slots=8))
    table.report_load("e1", report(8, 0.0))
    table.clock.now += 6.0
    assert table.candidates("m")[0].running == 0


def test_straggler_is_noticed_without_its_report():
    """Guards against a slow engine that goes unnoticed because it reports no load."""
    table = build_table(engine("e1"), engine("e2"), engine("e3"))
    for _ in range(3):
        for name, gap_s in (("e1", 0.02), ("e2", 0.02), ("e3", 0.1)):
            table.note_speed(name, first_token_s=0.2, token_gap_s=gap_s)
    slowdowns = [view.slowdown for view in table.candidates("m")]
    assert slowdowns[:2] == [1.0, 1.0]
    assert slowdowns[2] > 4.9
    table.clock.now += 200.0
    assert table.candidates("m")[2].slowdown < 1.1, "the slowdown did not expire"


def test_down_endpoint_returns_by_one_trial():
    """Guards against more than one trial request per backoff, which doubles."""
    table = build_table(engine("e1"))
    table.mark_down("e1", "connection refused")
    table.mark_down("e1", "connection refused")
    assert ids(table) == []
    table.clock.now += 0.5
    assert table.candidates("m")[0].trial
    table.note_sent("e1")
    assert ids(table) == []
    table.note_returned("e1", failed=True, succeeded=False, trial=True)
    table.clock.now += 0.9
    assert ids(table) == []
    table.clock.now += 0.2
    table.note_sent("e1")
    table.note_returned("e1", failed=False, succeeded=True, trial=True)
    assert not table.candidates("m")[0].trial


def test_cancelled_trial_allows_another():
    """Guards against a caller's disconnect in the trial that keeps an endpoint down."""
    table = build_table(engine("e1"))
    table.mark_down("e1", "connection refused")
    table.clock.now += 1.0
    table.note_sent("e1")
    table.note_returned("e1", failed=False, succeeded=False, trial=True)
    assert table.candidates("m")[0].trial


def test_failures_in_a_row_take_an_endpoint_down():
    """Guards against marking down after one failure, or not after three in a row."""
    table = build_table(engine("e1"))
    for _ in range(2):
        table.note_returned("e1", failed=True, succeeded=False)
    assert ids(table) == ["e1"]
    table.note_returned("e1", failed=True, succeeded=False)
    assert ids(table) == []


def test_each_source_keeps_an_endpoint_out_until_it_withdraws():
    """Guards against requests to an endpoint that any source reports as leaving."""
    table = build_table(engine("e1"), engine("e2", drain=True))
    assert ids(table) == ["e1"]
    table.mark_leaving("e1", "instance_list")
    table.report_load("e1", report(0, 0.0, state="leaving"))
    table.clear_leaving("e1", "instance_list")
    assert ids(table) == []
    table.report_load("e1", report(0, 0.0))
    assert ids(table) == ["e1"]


def test_report_of_a_peer_is_not_forwarded_and_expires():
    """Guards against two instances that keep refreshing each other's reports."""
    table = build_table(engine("e1"), engine("e2"))
    table.mark_leaving("e1", "peer:i2")
    table.mark_leaving("e2", "answer")
    assert ids(table) == []
    assert table.leaving() == ["e2"]
    table.clock.now += 6.0
    assert ids(table) == ["e1"]


def test_new_manifest_keeps_the_state_of_endpoints():
    """Guards against a new manifest that resets the state of a down endpoint."""
    table = build_table(engine("e1"), engine("e2"))
    table.mark_down("e1", "connection refused")
    manifest = Manifest(
        classes=[], endpoints=[engine("e1", slots=9), engine("e3")], teams=[]
    )
    table.apply_manifest(manifest)
    assert ids(table) == ["e3"]
    dump = table.dump()
    assert [(e.endpoint, e.down) for e in dump.endpoints] == [
        ("e1", True),
        ("e3", False),
    ]
