"""Reviews the operator's configuration before it is sent.

`python3 -m lagoonrill.platform.check FILE [--current FILE] [--settings FILE] [--json]`
prints errors, warnings and differences and ends with a status of `docs/cli.md`.
"""

import re

import msgspec

from .._internal.commands.check_configuration import ConfigurationReviewer, run_check
from .._internal.protocol.checks import Problem, check_unique
from .._internal.protocol.decode_errors import find_decode_errors
from .._internal.protocol.differences import Difference, find_differences
from .._internal.protocol.gateway_settings import GatewaySettings
from .._internal.protocol.review import Review
from .._internal.protocol.routing_review import review_routing
from ._configuration import WireConfiguration, decode_configuration

# Fields of the configuration whose entries are decoded one by one after an error.
ENTRY_FIELDS = ("Routes", "Services", "Tenants")
NAME_FIELDS = ("Name", "Service")
SECRET_FIELDS = frozenset(("ApiKeys",))
# Names of the platform for the fields that a review mentions. Times are in milliseconds
# there; the text of a problem gives seconds with their unit.
WIRE_NAMES = {
    "engine": "Engine",
    "goal_s": "TargetLatencyMs",
    "header_timeout_s": "HeaderTimeoutMs",
    "host": "Host",
    "idle_timeout_s": "IdleTimeoutMs",
    "limits": "Limits",
    "max_body_bytes": "MaxBodyBytes",
    "max_endpoints": "Attempts",
    "max_header_bytes": "MaxHeaderBytes",
    "name": "Name",
    "path_prefix": "PathPrefix",
    "pause_goal_s": "GapAimMs",
    "routes": "Routes",
    "services": "Services",
    "slots": "Slots",
    "teams": "Tenants",
    "timeout_s": "TimeoutMs",
}


def review_configuration(spec: object, settings: GatewaySettings | None) -> Review:
    """Returns the problems of a configuration, with the platform's field names."""
    review = Review(errors=decode_errors(spec))
    if review.errors:
        return review
    wire = msgspec.convert(spec, WireConfiguration, strict=False)
    found = review_routing(decode_configuration(spec), settings)
    review.errors = [_renamed(problem) for problem in found.errors]
    review.warnings = [_renamed(problem) for problem in found.warnings]
    for field, entries in (("Services", wire.services), ("Tenants", wire.tenants)):
        names = [
            (f"{field}[{n}].Name", item.name) for n, item in enumerate(entries or [])
        ]
        check_unique(names, "name", review.errors)
    _review_keys(wire, review)
    return review


def decode_errors(spec: object) -> list[Problem]:
    """Returns why a configuration cannot be decoded, one problem for each entry."""
    return find_decode_errors(
        spec, decode_configuration, entry_fields=ENTRY_FIELDS, required={"Version": 1}
    )


def _review_keys(wire: WireConfiguration, review: Review) -> None:
    """Finds teams that no request belongs to; keys are not shown."""
    keys = []
    for index, tenant in enumerate(wire.tenants or []):
        if not tenant.api_keys:
            review.add_warning(
                f"Tenants[{index}].ApiKeys",
                f"team {tenant.name!r} has no key, so no request belongs to it",
                "Give it a key or remove the team",
            )
        keys += [
            (f"Tenants[{index}].ApiKeys[{number}]", key)
            for number, key in enumerate(tenant.api_keys)
        ]
    check_unique(keys, "key", review.errors)


def _renamed(problem: Problem) -> Problem:
    """Returns a problem whose key has the platform's names."""
    parts = problem.key.split(".")
    if parts[0].startswith("routes[") and parts[-1] == "services":
        parts[-1] = "Backends"
    key = ".".join(re.sub(r"^\w+", _wire_name, part) for part in parts)
    return Problem(key=key, found=problem.found, remedy=problem.remedy)


def _wire_name(match: re.Match) -> str:
    return WIRE_NAMES.get(match[0], match[0])


def compare_configurations(old: object, new: object) -> list[Difference]:
    """Returns the differences between two configurations that can be decoded."""
    documents = [
        msgspec.to_builtins(msgspec.convert(spec, WireConfiguration, strict=False))
        for spec in (old, new)
    ]
    return find_differences(*documents, names=NAME_FIELDS, secrets=SECRET_FIELDS)


REVIEWER = ConfigurationReviewer(
    # A file may have the object of the store that holds a configuration.
    content_key="Spec",
    version_key="Version",
    decode_errors=decode_errors,
    review=review_configuration,
    compare=compare_configurations,
)

if __name__ == "__main__":
    run_check(REVIEWER)
