"""Settings of a daemon."""

from ._internal.protocol.settings import Settings, parse_settings

__all__ = ["Settings", "parse_settings"]
