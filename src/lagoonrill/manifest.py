"""Public types of the manifest."""

from ._internal.protocol.manifest import (
    Endpoint,
    LatencyTarget,
    Manifest,
    Model,
    RequestClass,
    Service,
    ServiceRoute,
    Team,
    parse_manifest,
)

__all__ = [
    "Endpoint",
    "LatencyTarget",
    "Manifest",
    "Model",
    "RequestClass",
    "Service",
    "ServiceRoute",
    "Team",
    "parse_manifest",
]
