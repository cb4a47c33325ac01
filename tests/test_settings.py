"""Guards against invalid settings that are accepted at the start of a daemon."""

import copy
import json
from pathlib import Path

import pytest

from lagoonrill._internal.protocol.settings import parse_settings, settings_schema
from lagoonrill.errors import SettingsError

DOCS = Path(__file__).parent.parent / "docs"
VALID = {
    "instance": "entry-1",
    "zone": "tunis-a",
    "callers": {"host": "10.1.0.5", "port": 8080},
    "operators": {"host": "10.1.0.5", "port": 9000, "key_digest": "ab" * 32},
    "peers": {"host": "10.1.0.5", "port": 7000, "addresses": ["10.1.0.6:7000"]},
    "platform": {
        "object_api_url": "http://10.0.0.1:80",
        "instance_list_url": "http://10.0.0.2:80",
    },
}
CURVE = {"public_key": "a" * 40, "secret_key": "a" * 40}


def test_minimal_settings_are_valid():
    assert parse_settings(json.dumps(VALID).encode()).claims.shards == 16


def test_unspecified_peer_address_needs_an_advertised_one():
    document = copy.deepcopy(VALID)
    document["peers"] |= {"host": "0.0.0.0", "advertised_address": "10.1.0.5:7000"}
    assert parse_settings(json.dumps(document).encode()).peers.host == "0.0.0.0"


def test_published_schema_comes_from_the_types():
    assert (DOCS / "settings.schema.json").read_bytes() == settings_schema()


@pytest.mark.parametrize(
    ("section", "name", "value", "key"),
    [
        ("", "instance", "a/b", "instance"),
        ("", "zone", "", "zone"),
        ("", "regoin", "x", "regoin"),
        ("", "shutdown_notice_s", -1, "shutdown_notice_s"),
        ("callers", "port", 65_536, "callers.port"),
        ("callers", "host", "localhost", "callers.host"),
        ("callers", "idle_timeout_s", 0, "callers.idle_timeout_s"),
        ("callers", "threads", 1.5, "callers.threads"),
        ("operators", "key_digest", "secret", "operators.key_digest"),
        ("operators", "port", 8080, "operators.port"),
        ("peers", "host", "0.0.0.0", "peers.host"),
        ("peers", "advertised_address", "0.0.0.0:7", "peers.advertised_address"),
        ("peers", "advertised_address", "entry-1:7", "peers.advertised_address"),
        ("callers", "default_deadline_s", 0, "callers.default_deadline_s"),
        ("peers", "addresses", ["10.1.0.6"], "peers.addresses[0]"),
        ("peers", "addresses", ["entry-2:7000"], "peers.addresses[0]"),
        ("peers", "addresses", ["10.0.0.1:1", "10.0.0.1:1"], "peers.addresses[1]"),
        ("peers", "suspect_after_s", 0.5, "peers.suspect_after_s"),
        ("peers", "drop_after_s", 1.0, "peers.drop_after_s"),
        ("peers", "curve", {"public_key": "a"}, "peers.curve.secret_key"),
        ("peers", "curve", CURVE, "peers.curve.public_key"),
        ("platform", "object_api_url", "10.0.0.1:80", "platform.object_api_url"),
        ("platform", "instance_list_url", "http://x", "platform.instance_list_url"),
        ("platform", "call_timeout_s", -2, "platform.call_timeout_s"),
        ("claims", "retention_s", 1, "claims.retention_s"),
        ("claims", "shards", 0, "claims.shards"),
        ("claims", "append_interval_s", 2.0, "platform.call_timeout_s"),
        ("log", "level", "loud", "log.level"),
        ("log", "form", "xml", "log.form"),
    ],
)
def test_mistake_is_named_with_key_and_remedy(section, name, value, key):
    document = copy.deepcopy(VALID)
    values = document.setdefault(section, {}) if section else document
    values[name] = value
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(document).encode())
    found = {error.key: error for error in caught.value.errors}
    assert key in found
    assert found[key].found
    assert found[key].remedy


def test_errors_never_repeat_a_secret_key():
    document = copy.deepcopy(VALID)
    document["peers"]["curve"] = {"public_key": "x", "secret_key": "hidden-key"}
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(document).encode())
    assert len(caught.value.errors) == 2
    assert "hidden-key" not in str(caught.value)
