"""Registry of policy variants for one decision, populated by a decorator."""

from typing import Any

from ...protocol.errors import SettingsError


class Registry:
    """Variants by name; a name without an entry falls back to `default`.

    >>> colours = Registry(decision="colour")
    >>> @colours.register("default")
    ... class Blue: ...
    >>> colours.get("fifo_round_robin").__name__
    'Blue'
    """

    def __init__(self, *, decision: str):
        self.decision = decision
        self.variants: dict[str, type] = {}

    def register(self, *names: str):
        """Registers a class under one or more policy names."""

        def decorate(cls: type) -> type:
            for name in names:
                if name in self.variants:
                    raise ValueError(
                        f"{self.decision} variant {name} is already registered"
                    )
                self.variants[name] = cls
            return cls

        return decorate

    def get(self, name: str) -> Any:
        return self.variants.get(name) or self.variants["default"]


def unknown_policy(name: str, known: list[str]) -> SettingsError:
    """Builds the error for an unknown policy name."""
    return SettingsError(
        key="policy",
        found=f"unknown policy {name!r}",
        remedy=f"Use one of: {', '.join(known)}",
    )
