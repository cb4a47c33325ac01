"""Guards leases and usage reports of real gateways, with the platform's wire names."""

import contextlib
import json
import re
import time
from pathlib import Path

import pytest

from lagoonrill._internal.duties.lease import LeaseState
from lagoonrill._internal.duties.platform_calls import CallOutcome
from lagoonrill._internal.protocol.errors import SettingsError, StoreConflict
from lagoonrill._internal.protocol.gateway_settings import parse_gateway_settings
from lagoonrill._internal.protocol.messages import WindowUsage
from lagoonrill.platform._duties import open_calls, open_store_duties
from standins.metadata_store import MetadataStore, MetadataStoreServer
from standins.platform_api import PlatformApiServer
from standins.platform_objects import configuration, server
from standins.scripted_endpoint import ScriptedEndpoint
from tests.gateway_kit import wait_until
from tests.platform.test_daemon_process import Instance

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.template.json"
WINDOW_S = 1
LATE_S = 5


@pytest.fixture
def api():
    with contextlib.closing(PlatformApiServer()) as api:
        yield api


@pytest.fixture
def store():
    store = MetadataStore()
    with contextlib.closing(MetadataStoreServer(store)) as store.server:
        yield store


@pytest.fixture
def fleet(tmp_path, store, api):
    """Three gateways with usage reports, and short windows."""
    endpoint = ScriptedEndpoint(id="i-1", script=["platform_answer"])
    store.put("config", "main", configuration())
    store.put("servers", "i-1", server(Service="desk", Address=endpoint.address))
    seeds: list[str] = []
    instances = []
    for name in ("gw-1", "gw-2", "gw-3"):
        instance = Instance(tmp_path, name, store.server.address, seeds)
        seeds.append(instance.settings["peer_address"])
        instance.settings["duties"] = {
            "address": api.address,
            "names": ["usage_report"],
        }
        instance.settings["bounds"] |= {
            "report_window_s": WINDOW_S,
            "usage_late_s": LATE_S,
            "lease_ms": 1_500,
        }
        instances.append(instance.start())
    for instance in instances:
        assert wait_until(instance.ready, 10)
    yield instances
    for instance in instances:
        if instance.process.poll() is None:
            instance.process.kill()
            instance.process.wait()


def reported(api) -> int:
    return sum(sum(counts[0].values()) for counts in api.reports().values())


def test_all_requests_are_reported_once_also_after_the_holder_is_killed(
    fleet, store, api
):
    sent = 0
    for instance in fleet * 8:
        assert instance.ask("/order/1") == 200
        sent += 1
    assert wait_until(lambda: reported(api) == sent, 15)
    # The holder has counted requests that only its messages can tell of.
    for _ in range(10):
        assert fleet[0].ask("/order/1") == 200
        sent += 1
    time.sleep(0.6)
    calls, writes, since = store.calls, store.writes, time.monotonic()
    fleet[0].process.kill()
    assert wait_until(lambda: reported(api) == sent, 15)
    assert all(len(counts) == 1 for counts in api.reports().values())
    windows = sorted(api.reports())
    assert windows == list(range(windows[0], windows[-1] + 1))
    tokens = {call.holder: call.token for call in api.calls}
    assert tokens["gw-2"] > tokens["gw-1"] and set(tokens) == {"gw-1", "gw-2"}
    assert {call.status for call in api.calls} == {200}
    assert "duties" in fleet[1].state()
    assert "lagoonrill_duty_lease_held 1" in fleet[1].get("/metrics")[1]
    # With windows of a second: a renewal, a report and a removal in each half second.
    assert store.writes - writes <= 5 * (time.monotonic() - since)
    assert store.calls > calls


def test_a_planned_stop_hands_the_lease_on_with_the_last_counts(fleet, api):
    assert wait_until(lambda: api.calls, 15)
    for _ in range(5):
        assert fleet[0].ask("/order/1") == 200
    assert fleet[0].stop() == 0
    released_at = time.monotonic()
    assert wait_until(
        lambda: {call.holder for call in api.calls} == {"gw-1", "gw-2"}, 10
    )
    # Without the release, the successor would wait for 1.2 lease times.
    assert time.monotonic() - released_at < 1.7
    assert wait_until(lambda: reported(api) == 5, 15)


def test_leases_are_written_under_conditions(store):
    duties = open_store_duties(store.server.address)
    assert duties.read("d").unwrap() is None
    first = duties.write("d", LeaseState(holder="a", progress={"w": 1}), None).unwrap()
    assert first.revision > 0 and first.era == 1
    conflict = duties.write("d", LeaseState(holder="b"), None).failure()
    assert isinstance(conflict, StoreConflict)
    second = duties.write("d", LeaseState(holder="b"), first.revision).unwrap()
    late = duties.write("d", LeaseState(holder="a"), first.revision).failure()
    assert isinstance(late, StoreConflict)
    assert duties.read("d").unwrap() == second
    store.delete("duties", "d")
    gone = duties.write("d", LeaseState(holder="a"), second.revision).failure()
    assert isinstance(gone, StoreConflict)


def test_the_first_report_object_of_a_window_stays(store):
    duties = open_store_duties(store.server.address)
    assert duties.read_report(7).unwrap() is None
    duties.create_report(7, {"t": 1}).unwrap()
    assert isinstance(duties.create_report(7, {"t": 2}).failure(), StoreConflict)
    assert duties.read_report(7).unwrap() == {"t": 1}
    duties.remove_report(7).unwrap()
    duties.remove_report(7).unwrap()


def test_counts_of_several_instances_are_read_together(store):
    duties = open_store_duties(store.server.address)
    assert duties.read_counts().unwrap() == []
    entries = {
        name: WindowUsage(
            instance=name,
            incarnation=2**48,
            counted_from=1.5,
            window=7,
            counts={"t": n},
        )
        for n, name in enumerate(("gw-1", "gw-2"))
    }
    for _ in range(2):
        for name, entry in entries.items():
            duties.write_counts(name, [entry]).unwrap()
    assert duties.read_counts().unwrap() == list(entries.values())


def test_outcomes_of_calls(api):
    calls = open_calls(api.address, "gw-1")

    def report(token: int) -> CallOutcome:
        return calls.report_usage(window=7, counts={"t": 1}, token=token)

    def order(**options) -> CallOutcome:
        return calls.order_endpoints(service="s", zone="z", count=2, token=5, **options)

    assert report(5) is CallOutcome.DONE
    assert report(4) is CallOutcome.REFUSED
    assert order(spot=True) is CallOutcome.DONE
    assert order(spot=False) is CallOutcome.DONE
    assert [call.body for call in api.calls[2:]] == [
        {"Service": "s", "Zone": "z", "Desired": 2, "Spot": True},
        {"Service": "s", "Zone": "z", "Desired": 2},
    ]
    api.refusal_status = 429
    assert report(5) is CallOutcome.BUSY
    api.refusal_status = 500
    assert report(5) is CallOutcome.IN_DOUBT
    api.refusal_status, api.late_s = 0, 0.0
    assert report(5) is CallOutcome.IN_DOUBT
    calls = open_calls("127.0.0.1:1", "gw-1")
    assert report(5) is CallOutcome.UNAVAILABLE


def render(fields: dict) -> bytes:
    """Renders the template as the platform does, as far as the template needs it."""
    text = TEMPLATE.read_text()

    def find(name: str):
        found = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match) -> str:
        found = find(match[1])
        # The platform renders a section once for each entry of a list or table.
        times = len(found) if isinstance(found, dict | list) else int(bool(found))
        return match[2] * times

    text = re.sub(r"(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text)
    names = re.compile(r"\{\{([\w.]+)\|json\}\}")
    return names.sub(lambda match: json.dumps(find(match[1])), text).encode()


FIELDS = {
    "NodeName": "gw-1",
    "Zone": "a",
    "Listen": dict.fromkeys(("Frontend", "Readiness", "Control"), "127.0.0.1:1"),
    "Platform": {"Address": "127.0.0.1:2", "WritesPerS": 10},
    "Seeds": [],
    "Limits": {"MaxFds": 1_000, "MemoryMb": 160},
    "Bounds": {
        "GraceS": 8,
        "RetryBudgetRatio": 0.1,
        "RetryWindowS": 10,
        "BudgetSlack": 10,
        "ConfigApplyMs": 3_000,
        "DrainTimeoutMs": 2_000,
        "ContactMs": 3_000,
    },
}


def test_the_template_without_an_api_renders_as_before():
    settings = parse_gateway_settings(render(FIELDS))
    assert settings.duties is None
    assert not re.search(r"\{\{\{|\}\}\}|\}\{\{", TEMPLATE.read_text())


def test_null_values_are_defaults():
    """A deployment may have the API without some of the bounds."""
    data = json.loads(render(FIELDS))
    data["duties"] = {"address": "127.0.0.1:3", "names": None, "calls_per_s": None}
    data["bounds"] |= {"lease_ms": None, "usage_late_s": None, "require_fencing": None}
    settings = parse_gateway_settings(json.dumps(data).encode())
    assert settings.bounds.lease_ms == 3_000
    assert settings.duties.names == ()
    data["bounds"]["lease_ms"] = "no number"
    with pytest.raises(SettingsError):
        parse_gateway_settings(json.dumps(data).encode())


def test_the_template_renders_duties():
    api = {"Address": "127.0.0.1:3", "Duties": ["usage_report"], "DutyPerS": 50}
    bounds = {"RequireFencing": True, "LeaseMs": 2_000, "ReportWindowS": 4}
    bounds |= {"UsageLateS": 9, "UsageTolerance": 0.05}
    fields = FIELDS | {"CloudApi": api, "Bounds": FIELDS["Bounds"] | bounds}
    settings = parse_gateway_settings(render(fields))
    assert settings.duties.address == "127.0.0.1:3"
    assert settings.bounds.lease_ms == 2_000
    assert settings.bounds.require_fencing
