"""Types of the objects that lagoonrill keeps in the Object API."""

import msgspec

from .manifest import Manifest

COMMITTED_NAME = "config/committed"
PROPOSAL_NAME = "config/proposal"
CONFIG_PREFIX = "config/"
# Rewritten after each change of the two objects above. Its version is what instances
# poll, because the whole manifest every 2 s would exceed 13 KB/s per daemon.
CONFIG_MARK_NAME = "config/mark"
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
    """A proposed or committed manifest with its generation.

    `base_proposal_id` is the proposal that became the base generation. A writer whose
    answer was lost recognises by it that its manifest was committed and replaced.
    """

    generation: int
    base_generation: int
    proposal_id: str
    digest: str
    manifest: Manifest
    written_at: float
    base_proposal_id: str = ""


class ProposalHead(msgspec.Struct, kw_only=True):
    """The part of a `ConfigRecord` that is readable even if its manifest is not."""

    generation: int
    proposal_id: str


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


class ListedInstance(msgspec.Struct, kw_only=True):
    """One entry of the Instance list; `role` is `entry` or `endpoint`."""

    id: str
    zone: str
    role: str
    address: str
    peer_address: str = ""
    state: str = "live"
