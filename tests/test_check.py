"""Guards against configurations that are sent with entries that have no effect."""

import json

import pytest

from lagoonrill._internal.commands.exit_status import ExitStatus
from lagoonrill._internal.protocol.gateway_settings import GatewayBounds
from lagoonrill._internal.protocol.routing import (
    CallerLimits,
    EngineProfile,
    RouteKind,
    Service,
    WeightedService,
)
from lagoonrill._internal.protocol.routing_review import review_routing
from tests.gateway_kit import ROUTES, config, engine_route, route
from tests.test_cli import URLS, connect_fleet, invoke, write_manifest
from tests.test_manifest import example, set_value
from tests.test_settings import VALID


def write(tmp_path, name: str, document) -> str:
    path = tmp_path / name
    path.write_text(json.dumps(document))
    return str(path)


def check(*arguments: str) -> tuple[int, dict]:
    result = invoke("check", *arguments, "--json")
    return result.exit_code, json.loads(result.stdout)


def changed(path: str, value) -> dict:
    document = example()
    set_value(document, path, value)
    return document


UNSERVED = [{"name": name, "default_class": "lookup"} for name in ("atelier-llm", "x")]
# Each row: path and value, exit status, list with the problem, its key.
PROBLEMS = {
    "unserved model": ("models", UNSERVED, ExitStatus.WARNING, "warnings", "models[1]"),
    "draining service": (
        "endpoints.1.drain",
        True,
        ExitStatus.WARNING,
        "warnings",
        "services[0]",
    ),
    "gap above first token": (
        "classes.0.latency.token_gap_ms",
        1601,
        ExitStatus.USAGE,
        "errors",
        "classes[0].latency.token_gap_ms",
    ),
    "floors above what is available": (
        "classes.2.floor",
        0.45,
        ExitStatus.USAGE,
        "errors",
        "classes[].floor",
    ),
}


@pytest.mark.parametrize("name", PROBLEMS)
def test_problem_of_a_manifest_is_reported_with_place_and_remedy(tmp_path, name):
    path, value, status, kind, key = PROBLEMS[name]
    found, report = check(write(tmp_path, "m.json", changed(path, value)))
    assert found == status
    assert [problem["key"] for problem in report[kind]] == [key]
    assert all(problem["found"] and problem["remedy"] for problem in report[kind])
    assert report["valid"] is (kind == "warnings")
    assert report["differences"] is None


def test_targets_above_the_default_deadline_are_found(tmp_path):
    document = VALID | {"callers": VALID["callers"] | {"default_deadline_s": 30.0}}
    settings = write(tmp_path, "settings.json", document)
    path = write(tmp_path, "m.json", example())
    status, report = check(path, "--settings", settings)
    assert status == ExitStatus.USAGE
    (problem,) = report["errors"]
    assert problem["key"] == "classes[3].latency.first_token_ms"
    assert "30000 ms" in problem["found"]


def test_differences_name_the_entry_and_show_no_key_digest(tmp_path):
    document = changed("classes.2.tier", 3)
    document["zones"].remove("bizerte-a")
    document["services"][0]["routes"].insert(
        0, {"method": "GET", "path_prefix": "/x", "request_class": "lookup"}
    )
    document["teams"][0]["key_digests"] = ["a" * 64]
    new = write(tmp_path, "new.json", document)
    old = write(tmp_path, "old.json", example())
    status, report = check(new, "--current", old)
    assert status == ExitStatus.DIFFERENT
    found = {item["key"]: (item["old"], item["new"]) for item in report["differences"]}
    assert found["classes[lookup].tier"] == (1, 3)
    assert found["zones[bizerte-a]"] == ("bizerte-a", None)
    assert found["services[comptoir-app].routes[GET /x lookup]"][0] is None
    text = invoke("check", new, "--current", old).stdout
    assert "classes[lookup].tier: 1 -> 3" in text
    assert "a" * 64 not in text + json.dumps(report)
    assert check(old, "--current", old) == (
        ExitStatus.OK,
        {"valid": True, "errors": [], "warnings": [], "differences": []},
    )


def test_order_of_routes_is_a_difference(tmp_path):
    routes = [
        {"method": "GET", "path_prefix": prefix, "request_class": "lookup"}
        for prefix in ("/a", "/b")
    ]
    old = write(tmp_path, "old.json", changed("services.0.routes", routes))
    new = write(tmp_path, "new.json", changed("services.0.routes", routes[::-1]))
    status, report = check(new, "--current", old)
    assert status == ExitStatus.DIFFERENT
    assert len(report["differences"]) == 1


def test_version_in_force_is_read_from_the_fleet(monkeypatch, tmp_path):
    fleet = connect_fleet(monkeypatch)
    path = write_manifest(tmp_path, 2)
    status, report = check(path, "--committed", *URLS)
    assert status == ExitStatus.DIFFERENT
    assert invoke("apply", path, *URLS).exit_code == ExitStatus.OK
    assert check(path, "--committed", *URLS)[0] == ExitStatus.OK
    fleet.store.down = True
    result = invoke("check", path, "--committed", *URLS)
    assert result.exception.status == ExitStatus.UNREACHABLE


def test_unusable_version_in_force_is_a_usage_error(tmp_path):
    good = write(tmp_path, "good.json", example())
    bad = write(tmp_path, "bad.json", {})
    result = invoke("check", good, "--current", bad)
    assert result.exception.status == ExitStatus.USAGE
    assert bad in result.exception.message
    assert invoke("check", good, "--current", good, "--committed").exit_code == 2


# Its goal is above its time limit.
SOUND = tuple(item for item in ROUTES if item.name != "brief")


def added(name: str = "x", **options) -> dict:
    """Returns the routes of a sound configuration and one more."""
    return {"routes": (*SOUND, route(name, RouteKind.SAFE, **options))}


def weighted(**weights: float) -> dict:
    found = [WeightedService(service=name, weight=w) for name, w in weights.items()]
    return added(services=tuple(found))


def engine_slots(slots: int) -> dict:
    engine = EngineProfile(slots=slots, cache_tokens=1)
    models = Service(name="models", engine=engine)
    return {"services": {"app": Service(name="app"), "models": models}}


SAME_PLACE = added(host="Shop.Example", path_prefix="/ask/")
LATE_PAUSE = {"routes": (*SOUND, engine_route("x", pause_goal_s=0.5))}
# Changes of a sound configuration, list with the problem, its key.
ROUTING = [
    (SAME_PLACE, "errors", "routes[5].path_prefix"),
    (added(path_prefix="/x"), "errors", "routes[5].path_prefix"),
    (added(path_prefix="x/"), "errors", "routes[5].path_prefix"),
    (added(path_prefix="/x?/"), "errors", "routes[5].path_prefix"),
    (added(host=""), "errors", "routes[5].host"),
    (added("ask", path_prefix="/x/"), "warnings", "routes[5].name"),
    (weighted(app=1.0, y=1.0), "warnings", "routes[5].services"),
    (weighted(app=0.0, models=1.0), "errors", "routes[5].services"),
    ({"routes": SOUND[:3]}, "warnings", "services[1]"),
    ({"teams": {}}, "errors", "teams"),
    ({"routes": ROUTES}, "errors", "routes[2].goal_s"),
    (added(timeout_s=0.0), "errors", "routes[5].timeout_s"),
    (LATE_PAUSE, "errors", "routes[5].pause_goal_s"),
    (engine_slots(0), "errors", "services[1].engine.slots"),
    (added(max_endpoints=4), "errors", "routes[5].max_endpoints"),
    (
        {"limits": CallerLimits(max_header_bytes=0, max_body_bytes=1)},
        "errors",
        "limits.max_header_bytes",
    ),
    (
        {"limits": CallerLimits(max_body_bytes=2**20 + 1)},
        "errors",
        "limits.max_body_bytes",
    ),
]
SMALL_LIMITS = CallerLimits(max_body_bytes=2**20)


class TightSettings:
    """The limits of an instance that a review uses."""

    memory_mb = 1
    bounds = GatewayBounds(retry_ratio=0.2, retry_fixed=2.0)


def review_changed(**changes):
    sound = {"routes": SOUND, "limits": SMALL_LIMITS}
    return review_routing(config(**(sound | changes)), TightSettings)


@pytest.mark.parametrize(("changes", "kind", "key"), ROUTING)
def test_problem_of_a_routing_configuration_is_found(changes, kind, key):
    review = review_changed(**changes)
    found = {"errors": review.errors, "warnings": review.warnings}
    assert [problem.key for problem in found.pop(kind)] == [key]
    assert found.popitem()[1] == []


def test_longer_prefix_under_a_shorter_one_is_no_problem():
    deep = route("deep", RouteKind.SAFE, path_prefix="/ask/deep/")
    other = route("other", RouteKind.SAFE, host="b.example", path_prefix="/ask/")
    review = review_changed(routes=(*SOUND, deep, other))
    assert (review.errors, review.warnings) == ([], [])
