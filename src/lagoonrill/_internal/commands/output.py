"""Prints results and defines the error that ends a command."""

import sys

import msgspec

from ..protocol.codec import to_json
from .exit_status import ExitStatus


class CommandError(Exception):
    """Ends a command with a message on standard error and an exit status."""

    def __init__(self, *, status: ExitStatus, message: str):
        super().__init__(message)
        self.status = status
        self.message = message


def print_json(value: msgspec.Struct | dict) -> None:
    """Prints a value as indented JSON on standard output."""
    print(to_json(value, pretty=True).decode())


def print_error(message: str) -> None:
    """Prints a message on standard error."""
    print(message, file=sys.stderr)
