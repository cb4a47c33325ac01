"""Types of the objects that lagoonrill stores in the Object API."""

import msgspec

from .manifest import Manifest

COMMITTED_NAME = "config/committed"
PROPOSAL_NAME = "config/proposal"
CONFIG_PREFIX = "config/"
# Rewritten after each change of the two objects above. Instances poll its version,
# because polling the complete manifest every 2 s would exceed 13 KB/s per daemon.
CONFIG_MARK_NAME = "config/mark"
STATUS_PREFIX = "status/"
CLAIM_PREFIX = "claims/"


class VersionedObject(msgspec.Struct, kw_only=True):
    """One object returned by the store."""

    name: str
    version: int
    value: bytes


class WatchBatch(msgspec.Struct, kw_only=True):
    """Objects changed after a revision; `revision` is the `since` of the next call."""

    revision: int
    objects: list[VersionedObject]
    deleted: list[str] = []


class ConfigRecord(msgspec.Struct, kw_only=True):
    """A proposed or committed manifest with its generation.

    `base_proposal_id` identifies the proposal that became the base generation. A writer
    that received no response uses it to detect that its manifest was committed and has
    since been replaced.
    """

    generation: int
    base_generation: int
    proposal_id: str
    digest: str
    manifest: Manifest
    written_at: float
    base_proposal_id: str = ""


class ProposalHeader(msgspec.Struct, kw_only=True):
    """Fields of a `ConfigRecord` that are decoded even if its manifest is invalid."""

    generation: int
    proposal_id: str


class InstanceStatus(msgspec.Struct, kw_only=True):
    """Configuration status reported by one instance; `written_at` is Unix time."""

    instance: str
    zone: str
    staged_proposal: str = ""
    refused_proposal: str = ""
    refused_reason: str = ""
    in_force: int = 0
    digest: str = ""
    written_at: float = 0.0


class ListedInstance(msgspec.Struct, kw_only=True):
    """One entry of the Instance list; `role` is `entry` or `endpoint`."""

    id: str
    zone: str
    role: str
    address: str
    peer_address: str = ""
    state: str = "live"
