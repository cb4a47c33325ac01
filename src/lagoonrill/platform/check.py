"""Reviews the operator's configuration before it is sent.

`python3 -m lagoonrill.platform.check FILE [--current FILE] [--settings FILE] [--json]`
prints errors, warnings and differences and ends with a status of `docs/cli.md`.
"""

import re
import sys
from typing import Annotated

import msgspec
import typer

from .._internal.commands.check import CheckReport, print_report
from .._internal.commands.connection import read_file
from .._internal.commands.exit_status import ExitStatus
from .._internal.commands.output import CommandError, print_error
from .._internal.protocol import lenient_json
from .._internal.protocol.checks import Problem, check_unique
from .._internal.protocol.decode_errors import find_decode_errors
from .._internal.protocol.differences import Difference, find_differences
from .._internal.protocol.errors import SettingsError
from .._internal.protocol.gateway_settings import (
    GatewaySettings,
    parse_gateway_settings,
)
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


def _review_version(differences: list[Difference], old: dict, review: Review) -> None:
    """Instances ignore a configuration whose version is not above the present one."""
    changed = any(item.key != "Version" for item in differences)
    version = next((item for item in differences if item.key == "Version"), None)
    if changed and (version is None or version.new < version.old):
        review.add_error(
            "Version",
            f"not above the version in force ({old['Version']}), so that the changes "
            "are ignored",
            "Raise the version",
        )


def read_configuration(path: str) -> object:
    """Reads a configuration, or the object of the store that holds one."""
    try:
        document = lenient_json.loads(read_file(path))
    except ValueError as error:
        message = f"{path}: not JSON: {error}. Correct the syntax"
        raise CommandError(status=ExitStatus.USAGE, message=message) from error
    is_object = isinstance(document, dict) and "Spec" in document
    return document["Spec"] if is_object else document


def check(
    file: Annotated[str, typer.Argument(help="The configuration (JSON).")],
    current: Annotated[
        str | None,
        typer.Option(help="Configuration in force, to print the differences from it."),
    ] = None,
    settings: Annotated[
        str | None, typer.Option(help="Settings of a gateway, to compare limits with.")
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the result as JSON.")
    ] = False,
) -> None:
    """Prints errors, warnings and differences of a configuration."""
    limits = parse_gateway_settings(read_file(settings)) if settings else None
    spec = read_configuration(file)
    review = review_configuration(spec, limits)
    differences = None
    if current and not decode_errors(spec):
        old = read_configuration(current)
        if decode_errors(old):
            message = f"{current}: cannot be decoded. Check it by itself first"
            raise CommandError(status=ExitStatus.USAGE, message=message)
        differences = compare_configurations(old, spec)
        _review_version(differences, old, review)
    report = CheckReport.from_review(review, differences)
    raise typer.Exit(int(print_report(report, path=file, as_json=as_json)))


def main() -> None:
    """Runs the command; prints a message and exits with a status on errors."""
    try:
        typer.run(check)
    except (CommandError, SettingsError) as error:
        print_error(f"lagoonrill: {error.message}")
        sys.exit(ExitStatus.USAGE)


if __name__ == "__main__":
    main()
