"""Types of the objects that lagoonrill keeps in the Object API."""

import msgspec

from .manifest import Manifest

COMMITTED_NAME = "config/committed"
PROPOSAL_NAME = "config/proposal"
STATUS_PREFIX = "status/"
CLAIM_PREFIX = "claims/"


class VersionedObject(msgspec.Struct, kw_only=True):
    """One object as the store returned it."""

    name: str
    version: int
    value: bytes


class WatchBatch(msgspec.Struct, kw_only=True):
    """Objects that changed after a revision; `revision` is the next `since`."""

    revision: int
    objects: list[VersionedObject]
    deleted: list[str] = []


class ConfigRecord(msgspec.Struct, kw_only=True):
    """A proposed or committed manifest with its generation."""

    generation: int
    base_generation: int
    proposal_id: str
    digest: str
    manifest: Manifest
    written_at: float


class InstanceStatus(msgspec.Struct, kw_only=True):
    """What one instance reports about its configuration; `written_at` is Unix time."""

    instance: str
    zone: str
    staged_proposal: str = ""
    refused_proposal: str = ""
    refused_reason: str = ""
    in_force: int = 0
    digest: str = ""
    written_at: float = 0.0
