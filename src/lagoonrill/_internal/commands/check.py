"""`lagoonrill check`: reviews a manifest without applying it."""

import msgspec
from returns.result import Failure, Success

from ..coordination.fleet_report import decode_record
from ..protocol.checks import Problem
from ..protocol.differences import Difference
from ..protocol.errors import ConfigError
from ..protocol.manifest import Manifest, parse_manifest
from ..protocol.manifest_review import compare_manifests, review_manifest
from ..protocol.objects import COMMITTED_NAME
from ..protocol.review import Review
from ..protocol.settings import Settings, parse_settings
from .connection import read_file
from .exit_status import ExitStatus
from .output import CommandError, print_error, print_json

NO_ENTRIES = Manifest(classes=[], endpoints=[], teams=[])


class CheckReport(msgspec.Struct, kw_only=True):
    """Result of a check; `differences` is None if it compared with nothing."""

    valid: bool
    errors: list[Problem] = []
    warnings: list[Problem] = []
    differences: list[Difference] | None = None

    @classmethod
    def from_review(
        cls, review: Review, differences: list[Difference] | None
    ) -> "CheckReport":
        return cls(
            valid=not review.errors,
            errors=review.errors,
            warnings=review.warnings,
            differences=differences,
        )

    def exit_status(self) -> ExitStatus:
        """Returns the status of the most serious result.

        >>> CheckReport(valid=True, differences=[]).exit_status().name
        'OK'
        """
        if self.errors:
            return ExitStatus.USAGE
        if self.warnings:
            return ExitStatus.WARNING
        return ExitStatus.DIFFERENT if self.differences else ExitStatus.OK


def print_report(report: CheckReport, *, path: str, as_json: bool) -> ExitStatus:
    """Prints a report; problems go to standard error, the rest to standard output."""
    if as_json:
        print_json(report)
        return report.exit_status()
    for kind, problems in (("", report.errors), ("warning: ", report.warnings)):
        for item in problems:
            print_error(f"{path}: {kind}{item.key}: {item.found}. {item.remedy}")
    if report.valid:
        print(f"{path}: valid")
    if report.differences is not None:
        for difference in report.differences:
            print(difference)
        print(f"differences from the version in force: {len(report.differences)}")
    return report.exit_status()


def read_settings(path: str) -> Settings:
    """Reads the settings of a daemon; raises `SettingsError`."""
    return parse_settings(read_file(path))


def read_current(path: str) -> Manifest:
    """Reads the manifest in force from a file; it must be valid."""
    try:
        return parse_manifest(read_file(path))
    except ConfigError as error:
        message = f"{path}: {error}"
        raise CommandError(status=ExitStatus.USAGE, message=message) from error


def read_committed(store) -> Manifest:
    """Returns the committed manifest; one without entries if none was committed."""
    match store.get(COMMITTED_NAME):
        case Success(found):
            pass
        case Failure(error):
            raise CommandError(status=ExitStatus.UNREACHABLE, message=str(error))
    record = decode_record(found)
    if found is not None and record is None:
        message = "the committed manifest cannot be decoded. Use a newer lagoonrill"
        raise CommandError(status=ExitStatus.USAGE, message=message)
    return record.manifest if record else NO_ENTRIES


class CheckCommand:
    """Prints errors, warnings and differences of a manifest, one per line.

    It is compared with `current`, the manifest in force, if that is given, and with the
    limits in `settings`.
    """

    def __init__(
        self,
        *,
        path: str,
        as_json: bool,
        current: Manifest | None = None,
        settings: Settings | None = None,
    ):
        self.path = path
        self.as_json = as_json
        self.current = current
        self.settings = settings

    def run(self) -> ExitStatus:
        """Returns the status of the most serious result."""
        review, differences = Review(), None
        try:
            manifest = parse_manifest(read_file(self.path))
        except ConfigError as error:
            for item in error.errors:
                review.add_error(item.key, item.found, item.remedy)
        else:
            review = review_manifest(manifest, self.settings)
            if self.current is not None:
                differences = compare_manifests(self.current, manifest)
        report = CheckReport.from_review(review, differences)
        return print_report(report, path=self.path, as_json=self.as_json)
