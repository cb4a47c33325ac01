"""Result of reviewing a configuration before it is sent."""

import msgspec

from .checks import Problem


class Review(msgspec.Struct, kw_only=True):
    """Problems of a configuration.

    `errors` are values that are rejected, contradict each other, or keep an entry from
    ever matching. `warnings` are entries that are accepted but have no effect.
    """

    errors: list[Problem] = []
    warnings: list[Problem] = []

    def add_error(self, key: str, found: str, remedy: str) -> None:
        self.errors.append(Problem(key=key, found=found, remedy=remedy))

    def add_warning(self, key: str, found: str, remedy: str) -> None:
        self.warnings.append(Problem(key=key, found=found, remedy=remedy))
