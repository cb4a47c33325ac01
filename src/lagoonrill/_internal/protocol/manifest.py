"""The manifest: classes, models, services, endpoints and teams of the fleet."""

import msgspec

from .codec import from_json
from .errors import ManifestError


class LatencyTarget(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Latency target in milliseconds: streamed (first token and gap) or whole."""

    first_token_ms: int | None = None
    token_gap_ms: int | None = None
    whole_answer_ms: int | None = None


class RequestClass(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A class of requests; tier 0 has the highest priority.

    `floor` is the share of the slots that the class gets even under overload from
    higher tiers. `protected` classes are never shed or preempted for lower tiers.
    """

    name: str
    tier: int
    latency: LatencyTarget
    repeatable: bool = True
    protected: bool = False
    floor: float = 0.02
    max_wait_ms: int = 30_000
    max_queue: int = 1_000


class Model(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A model and the class that its requests have unless they name one."""

    name: str
    default_class: str


class ServiceRoute(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Assigns a class to calls of a plain service by method and path prefix."""

    method: str
    path_prefix: str
    request_class: str


class Service(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A plain service; the first matching route decides the class of a call."""

    name: str
    routes: list[ServiceRoute]
    deduplicates: bool = False


class Endpoint(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A back end: a model engine (`models`) or one worker of a plain service."""

    id: str
    url: str
    zone: str
    slots: int
    models: list[str] = []
    service: str | None = None
    checks_fencing: bool = False
    drain: bool = False


class Team(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A team; `key_digests` are SHA-256 digests (hex) of its bearer keys."""

    name: str
    key_digests: list[str]
    weight: float = 1.0
    max_in_flight: int = 1_000


class Manifest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Everything that operators declare, in one document."""

    classes: list[RequestClass]
    models: list[Model] = []
    services: list[Service] = []
    endpoints: list[Endpoint]
    teams: list[Team]


def parse_manifest(data: bytes) -> Manifest:
    """Decodes and checks a manifest.

    Raises `ManifestError`, which names the key, what was found and the remedy.
    """
    try:
        return from_json(data, Manifest)
    except msgspec.DecodeError as error:
        raise ManifestError(
            key="manifest", found=str(error), remedy="Correct the pipeline's input"
        ) from error
