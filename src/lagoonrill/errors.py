"""Public error types of lagoonrill."""

from ._internal.protocol.errors import (
    ConfigError,
    LagoonrillError,
    ManifestError,
    RequestError,
    RunState,
    SettingsError,
    StoreError,
)

__all__ = [
    "ConfigError",
    "LagoonrillError",
    "ManifestError",
    "RequestError",
    "RunState",
    "SettingsError",
    "StoreError",
]
