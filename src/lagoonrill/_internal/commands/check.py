"""`lagoonrill check`: validates a manifest without applying it."""

import msgspec

from ..protocol.errors import ManifestError
from ..protocol.manifest import parse_manifest
from .connection import read_file
from .exit_status import ExitStatus
from .output import print_error, print_json


class ReportedProblem(msgspec.Struct, kw_only=True):
    """One validation error in the manifest."""

    key: str
    found: str
    remedy: str


class CheckReport(msgspec.Struct, kw_only=True):
    """Result of a check."""

    valid: bool
    errors: list[ReportedProblem] = []


class CheckCommand:
    """Prints all validation errors of a manifest, one per line."""

    def __init__(self, *, path: str, as_json: bool):
        self.path = path
        self.as_json = as_json

    def run(self) -> ExitStatus:
        """Returns OK, or USAGE if the manifest is invalid."""
        errors = self._find_errors()
        if self.as_json:
            found = [
                ReportedProblem(key=error.key, found=error.found, remedy=error.remedy)
                for error in errors
            ]
            print_json(CheckReport(valid=not errors, errors=found))
        elif errors:
            for error in errors:
                print_error(f"{self.path}: {error}")
        else:
            print(f"{self.path}: valid")
        return ExitStatus.USAGE if errors else ExitStatus.OK

    def _find_errors(self) -> tuple[ManifestError, ...]:
        try:
            parse_manifest(read_file(self.path))
        except ManifestError as error:
            return error.errors
        return ()
