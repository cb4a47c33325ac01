"""The manifest: classes, models, services, endpoints and teams of the fleet."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from .checks import (
    Count,
    Digest,
    HttpUrl,
    Milliseconds,
    ModelName,
    Name,
    Problem,
    check_unique,
    check_url,
    decode_document,
    json_schema,
    raise_problems,
)
from .errors import ManifestError

# At least half of the slots are assigned in strict tier order. With larger floors, a
# burst in the highest tier could not get the slots that its latency target requires.
MAX_FLOOR_SUM = 0.5

Method = Literal["*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
Tier = Annotated[
    int, Meta(ge=0, le=99, description="a tier, 0 (highest priority) to 99")
]
Floor = Annotated[
    float, Meta(ge=0, le=MAX_FLOOR_SUM, description="a share of the slots, 0 to 0.5")
]
Weight = Annotated[
    float, Meta(gt=0, le=1_000, description="a weight, above 0 and at most 1000")
]
Slots = Annotated[
    int, Meta(ge=1, le=100_000, description="concurrent requests, 1 to 100000")
]
PathPrefix = Annotated[
    str,
    Meta(
        pattern=r"^/[!-~]*$(?!\n)",
        max_length=1_000,
        description="a path that begins with '/'",
    ),
]


class LatencyTarget(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Latency targets in milliseconds, for streamed or non-streamed responses."""

    first_token_ms: Milliseconds | None = None
    token_gap_ms: Milliseconds | None = None
    whole_answer_ms: Milliseconds | None = None


class RequestClass(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A class of requests; tier 0 has the highest priority.

    `floor` is the share of the slots that the class gets even under overload from
    higher tiers. `protected` classes are never shed or preempted for lower tiers.
    """

    name: Name
    tier: Tier
    latency: LatencyTarget
    repeatable: bool = True
    protected: bool = False
    floor: Floor = 0.02
    max_wait_ms: Milliseconds = 30_000
    max_queue: Count = 1_000


class Model(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A model and the default class of its requests."""

    name: ModelName
    default_class: Name


class ServiceRoute(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Assigns a class to calls of a plain service by method and path prefix."""

    method: Method
    path_prefix: PathPrefix
    request_class: Name


class Service(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A plain service; the first matching route determines the class of a call."""

    name: Name
    routes: Annotated[list[ServiceRoute], Meta(min_length=1)]
    deduplicates: bool = False


class Endpoint(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A back end: a model engine (`models`) or one worker of a plain service."""

    id: Name
    url: HttpUrl
    zone: Name
    slots: Slots
    models: list[ModelName] = []
    service: Name | None = None
    checks_fencing: bool = False
    drain: bool = False


class Team(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A team; `key_digests` are SHA-256 digests (hex) of its bearer keys."""

    name: Name
    key_digests: Annotated[list[Digest], Meta(min_length=1)]
    weight: Weight = 1.0
    max_in_flight: Count = 1_000


class Manifest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Complete configuration of a fleet, declared by its operators.

    `zones` lists the availability zones of the fleet. If given, it must contain the
    zone of each endpoint, and a zone without instances is reported as `empty`.
    """

    classes: Annotated[list[RequestClass], Meta(min_length=1)]
    models: list[Model] = []
    services: list[Service] = []
    endpoints: list[Endpoint]
    teams: list[Team]
    zones: list[Name] = []


def parse_manifest(data: bytes) -> Manifest:
    """Decodes and checks a manifest.

    Raises `ManifestError` with the key, the value found and the remedy. Its attribute
    `errors` contains one `ManifestError` per problem, and its message one line per
    problem.
    """
    problems: list[Problem] = []
    manifest = decode_document(data, Manifest, problems)
    if manifest is not None:
        problems = find_problems(manifest)
    raise_problems(problems, ManifestError)
    return manifest


def check_manifest(manifest: Manifest) -> None:
    """Checks constraints that types cannot express; raises `ManifestError`."""
    raise_problems(find_problems(manifest), ManifestError)


def find_problems(manifest: Manifest) -> list[Problem]:
    """Returns problems with names, references, floors, latency targets and URLs."""
    problems: list[Problem] = []
    _check_names(manifest, problems)
    _check_classes(manifest, problems)
    _check_floors(manifest, problems)
    _check_references(manifest, problems)
    _check_routes(manifest, problems)
    _check_endpoints(manifest, problems)
    return problems


def manifest_schema() -> bytes:
    """Returns the published JSON Schema of the manifest."""
    return json_schema(Manifest, "lagoonrill manifest")


def _check_names(manifest: Manifest, problems: list[Problem]) -> None:
    targets = [
        (f"{field}[{index}].name", item.name)
        for field in ("models", "services")
        for index, item in enumerate(getattr(manifest, field))
    ]
    # Requests select their target by name, so models and services share a namespace.
    check_unique(targets, "name", problems)
    for field in ("classes", "teams"):
        items = enumerate(getattr(manifest, field))
        names = [(f"{field}[{index}].name", item.name) for index, item in items]
        check_unique(names, "name", problems)
    zones = [(f"zones[{index}]", zone) for index, zone in enumerate(manifest.zones)]
    check_unique(zones, "zone name", problems)
    digests = [
        (f"teams[{team_index}].key_digests[{index}]", digest)
        for team_index, team in enumerate(manifest.teams)
        for index, digest in enumerate(team.key_digests)
    ]
    check_unique(digests, "key digest", problems)


def _check_classes(manifest: Manifest, problems: list[Problem]) -> None:
    for index, request_class in enumerate(manifest.classes):
        key = f"classes[{index}]"
        latency = request_class.latency
        streamed = latency.first_token_ms or latency.token_gap_ms
        if streamed and latency.whole_answer_ms:
            problems.append(
                Problem(
                    key=f"{key}.latency",
                    found="targets for a streamed and for a whole answer",
                    remedy="Give first_token_ms and token_gap_ms, or whole_answer_ms",
                )
            )
        if not latency.first_token_ms and not latency.whole_answer_ms:
            problems.append(
                Problem(
                    key=f"{key}.latency",
                    found="neither first_token_ms nor whole_answer_ms",
                    remedy="Give one of them; attainment is measured against it",
                )
            )
        if streamed and not request_class.repeatable:
            problems.append(
                Problem(
                    key=f"{key}.repeatable",
                    found="false in a class with a target for streamed answers",
                    remedy="Give whole_answer_ms; a stream cannot run at most once",
                )
            )
        _check_wait(request_class, key, problems)


def _check_wait(request_class: RequestClass, key: str, problems: list[Problem]) -> None:
    first_token_ms = request_class.latency.first_token_ms
    if first_token_ms and request_class.max_wait_ms < first_token_ms:
        # Requests would be rejected while their latency target can still be met.
        problems.append(
            Problem(
                key=f"{key}.max_wait_ms",
                found=f"{request_class.max_wait_ms}, below first_token_ms "
                f"({first_token_ms})",
                remedy="Make max_wait_ms at least first_token_ms",
            )
        )


def _check_floors(manifest: Manifest, problems: list[Problem]) -> None:
    highest = min(request_class.tier for request_class in manifest.classes)
    lower = [item for item in manifest.classes if item.tier > highest]
    total = sum(request_class.floor for request_class in lower)
    if total > MAX_FLOOR_SUM + 1e-9:
        problems.append(
            Problem(
                key="classes[].floor",
                found=f"floors below tier {highest} that sum to {total:.3f}",
                remedy=f"Lower them to a sum of at most {MAX_FLOOR_SUM}",
            )
        )


def _check_references(manifest: Manifest, problems: list[Problem]) -> None:
    classes = {request_class.name: request_class for request_class in manifest.classes}
    for index, model in enumerate(manifest.models):
        key = f"models[{index}].default_class"
        _check_known(key, model.default_class, classes, "class", problems)
        request_class = classes.get(model.default_class)
        if request_class is not None and not request_class.repeatable:
            problems.append(
                Problem(
                    key=key,
                    found=f"class {request_class.name!r}, which is not repeatable",
                    remedy="Use a repeatable class; model answers may be streamed",
                )
            )
    for index, service in enumerate(manifest.services):
        for route_index, route in enumerate(service.routes):
            key = f"services[{index}].routes[{route_index}].request_class"
            _check_known(key, route.request_class, classes, "class", problems)
    models = {model.name for model in manifest.models}
    services = {service.name for service in manifest.services}
    for index, endpoint in enumerate(manifest.endpoints):
        for model_index, name in enumerate(endpoint.models):
            key = f"endpoints[{index}].models[{model_index}]"
            _check_known(key, name, models, "model", problems)
        if endpoint.service is not None:
            key = f"endpoints[{index}].service"
            _check_known(key, endpoint.service, services, "service", problems)
        if manifest.zones:
            key = f"endpoints[{index}].zone"
            _check_known(key, endpoint.zone, manifest.zones, "zone", problems)


def _check_known(
    key: str, name: str, known: object, what: str, problems: list[Problem]
) -> None:
    if name not in known:
        remedy = f"Declare the {what} or use a declared one"
        problems.append(
            Problem(key=key, found=f"unknown {what} {name!r}", remedy=remedy)
        )


def _check_routes(manifest: Manifest, problems: list[Problem]) -> None:
    for index, service in enumerate(manifest.services):
        for later, route in enumerate(service.routes):
            for earlier, other in enumerate(service.routes[:later]):
                covers = other.method in ("*", route.method)
                if covers and route.path_prefix.startswith(other.path_prefix):
                    problems.append(
                        Problem(
                            key=f"services[{index}].routes[{later}]",
                            found="a route that never matches, because "
                            f"routes[{earlier}] matches first",
                            remedy="Move the narrower route up or remove it",
                        )
                    )
                    break


def _check_endpoints(manifest: Manifest, problems: list[Problem]) -> None:
    for field in ("id", "url"):
        values = [
            (f"endpoints[{index}].{field}", getattr(endpoint, field).rstrip("/"))
            for index, endpoint in enumerate(manifest.endpoints)
        ]
        check_unique(values, field, problems)
    for index, endpoint in enumerate(manifest.endpoints):
        key = f"endpoints[{index}]"
        check_url(f"{key}.url", endpoint.url, problems)
        models = [
            (f"{key}.models[{model_index}]", name)
            for model_index, name in enumerate(endpoint.models)
        ]
        check_unique(models, "model", problems)
        if bool(endpoint.models) == (endpoint.service is not None):
            both = "both models and a service"
            found = both if endpoint.models else "neither models nor a service"
            remedy = "Give models (an engine) or service (a worker of a plain service)"
            problems.append(Problem(key=key, found=found, remedy=remedy))
