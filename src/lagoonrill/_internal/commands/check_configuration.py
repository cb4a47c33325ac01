"""Reviews a platform's configuration in a file, before it is sent."""

import sys
from collections.abc import Callable
from typing import Annotated

import msgspec
import typer

from ..protocol import lenient_json
from ..protocol.checks import Problem
from ..protocol.differences import Difference
from ..protocol.errors import SettingsError
from ..protocol.gateway_settings import GatewaySettings, parse_gateway_settings
from ..protocol.review import Review
from .check import CheckReport, print_report
from .connection import read_file
from .exit_status import ExitStatus
from .output import CommandError, print_error


class ConfigurationReviewer(msgspec.Struct, kw_only=True, frozen=True):
    """What a review needs to know of the format of a configuration."""

    # Key of the configuration in an object that holds it, and key of its version.
    content_key: str
    version_key: str
    decode_errors: Callable[[object], list[Problem]]
    review: Callable[[object, GatewaySettings | None], Review]
    compare: Callable[[object, object], list[Difference]]

    def read(self, path: str) -> object:
        """Reads a configuration, or the object that holds one."""
        try:
            document = lenient_json.loads(read_file(path))
        except ValueError as error:
            message = f"{path}: not JSON: {error}. Correct the syntax"
            raise CommandError(status=ExitStatus.USAGE, message=message) from error
        is_object = isinstance(document, dict) and self.content_key in document
        return document[self.content_key] if is_object else document

    def review_version(
        self, differences: list[Difference], old: dict, review: Review
    ) -> None:
        """Instances ignore a configuration whose version is not above the present."""
        key = self.version_key
        changed = any(item.key != key for item in differences)
        version = next((item for item in differences if item.key == key), None)
        if changed and (version is None or version.new < version.old):
            review.add_error(
                key,
                f"not above the version in force ({old[key]}), so that the changes "
                "are ignored",
                "Raise the version",
            )


def run_check(reviewer: ConfigurationReviewer) -> None:
    """Runs the command; prints a message and exits with a status on errors."""

    def check(
        file: Annotated[str, typer.Argument(help="The configuration (JSON).")],
        current: Annotated[
            str | None,
            typer.Option(help="Configuration in force, to print the differences."),
        ] = None,
        settings: Annotated[
            str | None,
            typer.Option(help="Settings of a gateway, to compare limits with."),
        ] = None,
        as_json: Annotated[
            bool, typer.Option("--json", help="Print the result as JSON.")
        ] = False,
    ) -> None:
        """Prints errors, warnings and differences of a configuration."""
        limits = parse_gateway_settings(read_file(settings)) if settings else None
        spec = reviewer.read(file)
        review = reviewer.review(spec, limits)
        differences = None
        if current and not reviewer.decode_errors(spec):
            old = reviewer.read(current)
            if reviewer.decode_errors(old):
                message = f"{current}: cannot be decoded. Check it by itself first"
                raise CommandError(status=ExitStatus.USAGE, message=message)
            differences = reviewer.compare(old, spec)
            reviewer.review_version(differences, old, review)
        report = CheckReport.from_review(review, differences)
        raise typer.Exit(int(print_report(report, path=file, as_json=as_json)))

    try:
        typer.run(check)
    except (CommandError, SettingsError) as error:
        print_error(f"lagoonrill: {error.message}")
        sys.exit(ExitStatus.USAGE)
