"""Public types of the daemon settings."""

from ._internal.protocol.settings import Settings, parse_settings

__all__ = ["Settings", "parse_settings"]
