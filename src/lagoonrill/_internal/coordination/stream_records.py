"""What records of streams are, and who keeps them: the store and peers."""

import enum
import hashlib
from typing import Protocol

import msgspec
from returns.result import Result

from ..protocol.errors import StoreError
from .policy.stream_history import DefaultVersion
from .record_batches import StoredBatch, StoredStream

# Number of peers that keep a record; they write it again if the store loses it.
HOLDERS = 3
KEY_BYTES = 12


class StoredOrigins(msgspec.Struct, kw_only=True, frozen=True):
    """Everything that the store holds about the origins of streams.

    The era rises each time the store comes back from an older copy; 0 if it names none.
    In `complete_era`, all records that the copy lacked have been written again.
    """

    era: int = 0
    complete_era: int = 0
    defaults: list[DefaultVersion] = []
    batches: list[StoredBatch] = []


class HandOver(enum.Enum):
    """What peers did with a record that they were handed."""

    # The store has confirmed it to a peer.
    STORED = "stored"
    # No peer has it, and no call that a peer made for it is executed later.
    NOT_STORED = "not_stored"
    # A peer did not answer, or got no answer of the store.
    IN_DOUBT = "in_doubt"


class Begin(enum.Enum):
    """Whether a stream may begin at the version of the endpoint that runs it."""

    # Its version will be found, whatever happens to the instances.
    RECORDED = "recorded"
    # Its version is recorded later; until then a take-up can reach no other one.
    UNRECORDED = "unrecorded"
    # Nothing is recorded, so it may begin anew at the default version.
    NOT_RECORDED = "not_recorded"
    # The store may have the record, so it may begin at no other version either.
    IN_DOUBT = "in_doubt"

    @property
    def is_allowed(self) -> bool:
        return self in (Begin.RECORDED, Begin.UNRECORDED)


class LookUp(msgspec.Struct, kw_only=True, frozen=True):
    """Answer to the question at which version a stream began.

    `version` is None if that is not known. `found_out` is False if the store did not
    answer whom it was asked by, so that nothing is known of streams without a record.
    """

    version: str | None = None
    found_out: bool = False


class RecordHolders(Protocol):
    """Peers that keep records, and reach the store for an instance that cannot."""

    def are_live(self) -> bool:
        """Returns whether there are peers that can keep records."""

    def is_reachable(self) -> bool:
        """Returns whether a peer is likely to store a record."""

    def hand_over(self, stream: StoredStream) -> HandOver:
        """Lets a peer store a record, and returns what became of it."""

    def share(self, streams: list[StoredStream]) -> None:
        """Sends records to peers, which write them again if the store loses them."""

    def look_up(self, service: str, key: str) -> LookUp | None:
        """Asks peers where a stream began; None if there may be some and none answers.

        The answer is not found out if no peer reaches the store either.
        """

    def look_up_kept(self, service: str, key: str) -> str | None:
        """Returns at which version a stream began, if the memory of peers proves it."""

    def members_since(self, at: float) -> tuple[int, int]:
        """Returns the number of instances, and of those that have lost their memory.

        The second are those that have ended, or were lost, since a time on the clock.
        """


class NoHolders:
    """The holders of an instance without peers."""

    def are_live(self) -> bool:
        return False

    def is_reachable(self) -> bool:
        return False

    def hand_over(self, stream: StoredStream) -> HandOver:
        return HandOver.NOT_STORED

    def share(self, streams: list[StoredStream]) -> None:
        pass

    def look_up(self, service: str, key: str) -> LookUp | None:
        return LookUp()

    def look_up_kept(self, service: str, key: str) -> str | None:
        return None

    def members_since(self, at: float) -> tuple[int, int]:
        return 1, 0


class OriginStore(Protocol):
    """Origins in the store; all calls may be repeated."""

    def list(self) -> Result[StoredOrigins, StoreError]: ...

    def write(
        self, batch: StoredBatch, *, is_created: bool
    ) -> Result[object, StoreError]:
        """Replaces the object of a batch, or creates it."""

    def remove(self, name: str) -> Result[object, StoreError]:
        """Removes the object of a batch."""

    def add_default(self, default: DefaultVersion) -> Result[object, StoreError]:
        """Fails with `StoreConflict` if the service has a default of this number."""

    def remove_default(self, default: DefaultVersion) -> Result[object, StoreError]: ...

    def confirm_era(self, era: int) -> Result[object, StoreError]:
        """Stores that all records are there again in this era."""


def stream_key(request_id: str) -> str:
    """Returns a short key for the id of a request, which may be of any length."""
    data = request_id.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=KEY_BYTES).hexdigest()
