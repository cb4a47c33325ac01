"""Guards the decoding of the platform's objects into the router's types."""

import threading

import msgspec
import pytest
from hypothesis import example, given, settings, strategies as st
from returns.result import Failure, Success

from lagoonrill._internal.coordination.crash_findings import CrashFinding
from lagoonrill._internal.coordination.policy.crash_evidence import Cause
from lagoonrill._internal.coordination.policy.stream_history import (
    DefaultVersion,
    StreamRecord,
)
from lagoonrill._internal.coordination.record_batches import StoredBatch, StoredStream
from lagoonrill._internal.protocol.errors import (
    StoreCallInterrupted,
    StoreConflict,
    StoreHistoryGone,
)
from lagoonrill._internal.protocol.messages import (
    RoutingReply,
    decode_message,
    encode_message,
)
from lagoonrill._internal.protocol.routing import RouteKind
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry
from lagoonrill.platform._configuration import decode_configuration
from lagoonrill.platform._headers import VOCABULARY
from lagoonrill.platform._store import (
    StoreObjectSource,
    decode_endpoint,
    decode_response,
    open_sources,
)
from standins.metadata_store import MetadataStore, MetadataStoreServer
from standins.platform_objects import configuration, server
from tests.gateway_kit import wait_until


def test_configuration_keeps_what_each_field_holds():
    config = decode_configuration(configuration())
    ask, plan, order = config.routes
    assert (ask.kind, ask.resumable, ask.max_endpoints) == (RouteKind.STREAM, True, 2)
    assert (ask.timeout_s, ask.goal_s, ask.pause_goal_s) == (15.0, 0.4, 0.3)
    assert ask.uses_engine
    assert [(item.service, item.weight) for item in plan.services] == [
        ("models", 90),
        ("canary", 10),
    ]
    assert not plan.repeatable
    assert not order.uses_engine
    engine = config.services["models"].engine
    assert (engine.cache_tokens, engine.tokens_per_event) == (339_744, 5)
    assert engine.link_bytes_per_s == 280_000 * 1e6 / 8
    assert config.limits.idle_timeout_s == 15.0
    assert config.teams["key-1"].name == "shop"
    assert config.teams["key-1"].priority == 1


def test_configuration_without_teams_needs_no_keys():
    spec = configuration()
    del spec["Tenants"]
    assert decode_configuration(spec).teams is None


@pytest.mark.parametrize(
    "change",
    [
        {"Version": "x"},
        {"Routes": [{"Name": "r"}]},
        {"Routes": [{**configuration()["Routes"][0], "Type": "other"}]},
        {"Routes": [{**configuration()["Routes"][0], "Service": ""}]},
        {"Routes": 3},
    ],
)
def test_configuration_that_cannot_be_used_is_an_error(change):
    with pytest.raises(ValueError):
        decode_configuration({**configuration(), **change})


def test_endpoint_entry():
    record = decode_endpoint("i-1", server(State="draining", born=77))
    assert record.leaving
    assert record.incarnation == 77
    assert (record.service, record.slots) == ("models", 64)


@pytest.mark.parametrize(
    "spec",
    [
        None,
        "text",
        {},
        server(State="unknown"),
        server(Address="nowhere"),
        server(Address=7),
        server(Slots="many"),
        server(Zone=None),
    ],
)
def test_bad_entry_is_rejected(spec):
    with pytest.raises(ValueError):
        decode_endpoint("i-1", spec)


def test_only_the_router_sets_its_headers():
    stripped = VOCABULARY.stripped_from_callers()
    for name in ("Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Tenant"):
        assert name.lower().encode() in stripped
    assert VOCABULARY.request_id.lower().encode() not in stripped


@pytest.fixture
def store():
    built = MetadataStore(page=2)
    built.server = MetadataStoreServer(built)
    yield built
    built.server.close()


def test_list_joins_pages_and_keeps_unreadable_entries_apart(store):
    for number in range(5):
        store.put("servers", f"i-{number}", server())
    store.put("servers", "i-9", {"Service": 1})
    endpoints = open_sources(store.server.address).endpoints
    found = endpoints.list().unwrap()
    assert [item.name for item in found.objects] == [
        "i-0",
        "i-1",
        "i-2",
        "i-3",
        "i-4",
        "i-9",
    ]
    assert found.objects[-1].content is None
    assert found.objects[0].content.id == "i-0"


def test_changes_since_a_revision(store):
    store.put("servers", "i-0", server())
    endpoints = open_sources(store.server.address).endpoints
    revision = endpoints.list().unwrap().revision
    store.put("servers", "i-1", server())
    store.delete("servers", "i-0")
    found = endpoints.changes(since=revision, wait_s=1).unwrap()
    assert [item.name for item in found.changed] == ["i-1"]
    assert found.removed == ["i-0"]
    assert found.revision == store.revision


def test_dropped_history_is_distinguished_from_other_failures(store):
    store.put("config", "main", configuration())
    configs = open_sources(store.server.address).configs
    store.drop_history()
    gone = configs.changes(since=0, wait_s=1)
    assert isinstance(gone, Failure)
    assert isinstance(gone.failure(), StoreHistoryGone)
    store.refusal_status = 503
    assert not isinstance(configs.list().failure(), StoreHistoryGone)


def test_a_pending_watch_ends_when_it_is_interrupted(store):
    # Otherwise a watch whose response was lost is pending until its read timeout.
    store.put("config", "main", configuration())
    configs = open_sources(store.server.address).configs
    results = []
    watch = threading.Thread(
        target=lambda: results.append(configs.changes(since=store.revision, wait_s=20)),
        daemon=True,
    )
    watch.start()
    assert wait_until(configs.interrupt)
    watch.join(2)
    assert isinstance(results[0].failure(), StoreCallInterrupted)
    # The next call works, on a new connection.
    assert configs.changes(since=1, wait_s=0).unwrap().changed
    assert not configs.interrupt()


@pytest.mark.parametrize(
    "cause",
    [
        Cause(service="models", parts=frozenset(("a", "b"))),
        Cause(service="app", request="0f3e"),
    ],
    ids=["parts", "request"],
)
def test_findings_are_written_once_and_can_be_removed(store, cause):
    findings = open_sources(store.server.address).findings
    found = CrashFinding(cause=cause, found_at=1_700_000_000.0)
    later = msgspec.structs.replace(found, found_at=1_700_000_009.0)
    for finding in (found, later):
        assert isinstance(findings.add(finding), Success)
    store.put("poison-parts", "unreadable", {"Parts": 5})
    assert findings.list().unwrap() == [found]
    for _ in range(2):
        assert isinstance(findings.remove(later), Success)
    assert findings.list().unwrap() == []


def test_origins_of_streams_are_written_and_found_again(store):
    origins = open_sources(store.server.address).origins
    default = DefaultVersion(service="a service/é", version="v1")
    assert isinstance(origins.add_default(default), Success)
    again = msgspec.structs.replace(default, version="v2")
    assert isinstance(origins.add_default(again).failure(), StoreConflict)
    streams = tuple(
        StoredStream(
            record=StreamRecord(key=f"k{number}", service="s", version=version),
            begun_at=1_700_000_000.5,
        )
        for number, version in enumerate(("v1", "", "v1"))
    )
    for count in (1, 3):
        batch = StoredBatch(name="b.1", instance="i 1", streams=streams[:count])
        assert isinstance(origins.write(batch, is_created=count > 1), Success)
    # A create that may be executed late must not replace a batch.
    assert isinstance(origins.write(batch, is_created=False).failure(), StoreConflict)
    store.put("stream-origins", "unreadable", {"type": "streams", "Instance": 1})
    found = origins.list().unwrap()
    assert found.defaults == [default]
    (stored,) = found.batches
    assert (stored.instance, stored.name) == ("i 1", "b.1")
    assert set(stored.streams) == set(streams)
    store.delete("stream-origins", "b.1")
    # A restored store may have lost it.
    assert isinstance(origins.write(batch, is_created=True), Success)
    assert origins.list().unwrap().batches == [stored]
    for _ in range(2):
        assert isinstance(origins.remove("b.1"), Success)
    assert origins.list().unwrap().batches == []
    for _ in range(2):
        assert isinstance(origins.remove_default(default), Success)
    assert origins.list().unwrap().defaults == []


def test_other_objects_of_the_configuration_kind_are_not_the_configuration(store):
    store.put("config", "old", configuration())
    store.put("config", "main", configuration(Version=8))
    configs = open_sources(store.server.address).configs
    found = {item.name: item.content for item in configs.list().unwrap().objects}
    assert found["old"] is None
    assert found["main"].version == 8


# Specs that another writer may store in its entry, as bytes of a watch response.
UNREADABLE_SPECS = {
    "lone_surrogate": b'{"Service": "\\ud800"}',
    "not_utf8": b'{"Service": "\xff\xfe"}',
    "control_character": b'{"Service": "\x01"}',
    "no_number": b'{"Slots": NaN}',
    "huge_number": b'{"Slots": ' + b"9" * 5_000 + b"}",
    "deep": b"[" * 3_000 + b"]" * 3_000,
}


DEPTH = 10_000
ODD_VALUES = {
    "deep_list": b"[" * DEPTH + b"]" * DEPTH,
    "deep_object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "400_digits": b"9" * 400,
    "400_digits_negative": b"-" + b"9" * 400,
    "too_large_for_peers": b"%d" % 2**64,
    "infinite": b"1e999",
    "infinite_negative": b"-1e999",
    "port_0": b'"10.0.0.1:0"',
    "port_negative": b'"10.0.0.1:-1"',
    "port_65536": b'"10.0.0.1:65536"',
    "port_of_31_digits": b'"10.0.0.1:%d"' % 10**30,
    "port_of_other_digits": '"10.0.0.1:\uff18\uff10"'.encode(),
    "host_name": b'"example.org:80"',
    "host_out_of_range": b'"999.0.0.1:80"',
    "host_with_zero_byte": b'"10.0.0.1\\u0000:80"',
}


class CannedStore:
    """Returns the same bytes for every call."""

    def __init__(self, data: bytes):
        self.data = data
        self.headers = {}

    def call(self, *_, **options):
        return Success(self)

    def decoded(self, label, decode):
        return Success(decode())


def changes_in(*events: bytes):
    data = b'{"events": [%s], "StoreRevision": 9}' % b", ".join(events)
    source = StoreObjectSource(
        client=CannedStore(data),
        kind="servers",
        decode=decode_endpoint,
        watch_connection=None,
    )
    return source.changes(since=1, wait_s=0).unwrap()


def wire_event(name: str, spec: bytes, removed: bytes = b"false") -> bytes:
    metadata = b'{"Name": "%s", "Revision": 5}' % name.encode()
    parts = (b'"Metadata": ' + metadata, b'"Spec": ' + spec)
    return b'{"Object": {%s}, "Removed": %s}' % (b", ".join(parts), removed)


@pytest.mark.parametrize("spec", UNREADABLE_SPECS.values(), ids=UNREADABLE_SPECS)
def test_unreadable_bytes_of_one_entry_hide_no_departure(spec):
    # Otherwise decoding the whole response fails, or the change is skipped and the old
    # entry stays.
    leaving = msgspec.json.encode(server(State="draining"))
    found = changes_in(
        wire_event("i-bad", spec),
        wire_event("i-gone", spec, b"true"),
        wire_event("i-leaving", leaving),
    )
    contents = {item.name: item.content for item in found.changed}
    assert contents["i-bad"] is None
    assert contents["i-leaving"].leaving
    assert found.removed == ["i-gone"]
    assert found.complete


# Pieces of JSON strings: escapes, halves of characters, and bytes that are no UTF-8.
STRING_PIECES = (
    b"a",
    b"0",
    rb"\\",
    rb"\"",
    rb"\n",
    rb"\u0041",
    rb"\ud83d",
    rb"\ude00",
    rb"\uDBFF",
    b"ud83d",
    b"ude00",
    b"\xff",
    b"\xed\xa0\xbd",
    b"\x00",
    "\U0001f600".encode(),
)


@example(text=rb"\\ud83d\ude00", field="Version")
@example(text=rb"\\ud83d\ude00", field="Name")
@settings(max_examples=1_000, deadline=None)
@given(
    text=st.lists(st.sampled_from(STRING_PIECES), max_size=6).map(b"".join),
    field=st.sampled_from(("Version", "Service", "Zone", "State", "Address", "Name")),
)
def test_text_of_one_entry_keeps_no_other_from_peers(text, field):
    """An accepted half of a character failed in the middle of a change of endpoints."""
    raw = msgspec.Raw(b'"%b"' % text)
    sound = msgspec.json.encode(server(Address="10.0.0.2:80"))
    name = text if field == "Name" else b"i-odd"
    odd = server() if field == "Name" else server(**{field: raw})
    found = changes_in(
        b'{"Object": {"Metadata": {"Name": "%b"}, "Spec": %b}}'
        % (name, msgspec.json.encode(odd)),
        wire_event("i-sound", sound),
    )
    records = {
        item.name: item.content for item in found.changed if item.content is not None
    }
    assert records["i-sound"].address == "10.0.0.2:80"
    registry = EndpointRegistry()
    registry.replace(records)
    assert "i-sound" in {item.id for item in registry.ready("models")}
    reply = RoutingReply(
        config=None, endpoint_revision=9, endpoints=list(records.values())
    )
    assert decode_message(encode_message(reply)) == reply


def odd_entry(field: str, value: bytes) -> bytes:
    """Returns an entry that is valid except for one value."""
    return msgspec.json.encode(server(**{field: msgspec.Raw(value)}))


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
@pytest.mark.parametrize(
    "field", ["born", "Slots", "ColdRemainingMs", "Address", "Spot", "leaves_ms"]
)
def test_an_entry_with_an_odd_value_names_no_endpoint(field, value):
    # An accepted one would end the thread that sends it to peers, or block in a lookup.
    good = msgspec.json.encode(server(Address="10.0.0.2:80"))
    odd = odd_entry(field, value)
    found = changes_in(wire_event("i-odd", odd), wire_event("i-good", good))
    contents = {item.name: item.content for item in found.changed}
    assert contents["i-odd"] is None
    assert contents["i-good"].address == "10.0.0.2:80"
    assert found.complete
    items = b", ".join(
        b'{"Metadata": {"Name": "%s"}, "Spec": %s}' % (name, spec)
        for name, spec in ((b"i-odd", odd), (b"i-good", good))
    )
    source = StoreObjectSource(
        client=CannedStore(b'{"Items": [%s], "StoreRevision": 9}' % items),
        kind="servers",
        decode=decode_endpoint,
        watch_connection=None,
    )
    listed = {item.name: item.content for item in source.list().unwrap().objects}
    assert listed == contents


@pytest.mark.parametrize("value", [0, -5])
def test_an_entry_with_few_slots_or_no_time_left_is_used(value):
    spec = server(Slots=value, ColdRemainingMs=value, Address="10.0.0.2:80")
    found = changes_in(wire_event("i-1", msgspec.json.encode(spec)))
    (item,) = found.changed
    assert (item.content.slots, item.content.cold_s) == (1, 0.0)


def test_an_entry_says_whether_its_capacity_may_be_withdrawn():
    plain = decode_endpoint("i-1", server(Address="10.0.0.2:80"))
    assert (plain.spot, plain.leaves_s) == (False, None)
    spec = server(Address="10.0.0.2:80", Spot=True, State="draining", leaves_ms=2_500.5)
    record = decode_endpoint("i-1", spec)
    assert (record.spot, record.leaving, record.leaves_s) == (True, True, 2.5005)


def test_autoscale_of_a_service_is_decoded():
    spec = configuration()
    spec["Services"][0]["Autoscale"] = {
        "MinReplicas": 1,
        "MaxReplicas": 30,
        "StartupS": 4.0,
        "SpotPrice": 0.18,
        "ZonePrices": {"a": 0.85, "b": 1.2},
    }
    name = spec["Services"][0]["Name"]
    config = decode_configuration(spec)
    scaling = config.services[name].scaling
    assert (scaling.min_endpoints, scaling.max_endpoints) == (1, 30)
    assert (scaling.startup_s, scaling.spot_price) == (4.0, 0.18)
    assert scaling.zone_prices == {"a": 0.85, "b": 1.2}
    others = [item for item in config.services.values() if item.name != name]
    assert not any(item.scaling for item in others)


def test_a_finding_with_a_number_too_large_hides_no_other(store):
    findings = open_sources(store.server.address).findings
    found = CrashFinding(
        cause=Cause(service="models", parts=frozenset(("a", "b"))),
        found_at=1_700_000_000.0,
    )
    findings.add(found)
    large = {"Service": "s", "Parts": ["p"], "FoundMs": msgspec.Raw(b"9" * 400)}
    store.put("poison-parts", "odd", large)
    assert findings.list().unwrap() == [found]


def test_metadata_of_another_type_does_not_hide_a_removal():
    event = (
        b'{"Object": {"Metadata": {"Name": "i-1", "Revision": "x"}}, "Removed": true}'
    )
    assert changes_in(event).removed == ["i-1"]


def test_a_change_without_a_name_is_reported_as_incomplete():
    event = b'{"Object": {"Metadata": {"Name": 7}}, "Removed": true}'
    assert not changes_in(event).complete


def test_an_answer_without_structure_is_an_error():
    with pytest.raises(ValueError):
        decode_response(b'{"events": [', object)


@pytest.mark.parametrize(
    "version, decoded",
    [(b'"v1.1"', "v1.1"), (b'""', ""), (b"7", None), (b'"%s"' % (b"v" * 10**7), None)],
    ids=["text", "empty", "number", "long"],
)
def test_an_entry_names_the_version_of_its_software(version, decoded):
    """An entry with another type in a field names no endpoint to use."""
    spec = msgspec.json.encode(server(Address="10.0.0.2:80"))
    spec = spec[:-1] + b', "Version": ' + version + b"}"
    (item,) = changes_in(wire_event("i-1", spec)).changed
    found = item.content.version if item.content is not None else None
    assert found == decoded


def test_an_entry_without_a_version_is_used():
    spec = server(Address="10.0.0.2:80")
    spec.pop("Version", None)
    (item,) = changes_in(wire_event("i-1", msgspec.json.encode(spec))).changed
    assert item.content.version == ""
