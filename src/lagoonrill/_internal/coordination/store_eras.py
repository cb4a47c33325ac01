"""Knows whether the store holds all records of streams after it was restored.

The store may come back from a copy that is some seconds old. Each time its era rises,
and what was written since the copy is gone until those who keep it have written it
again. Then one of them stores that the records are complete in this era. A copy has an
older era or none there, so a process that starts around a restore, and has seen only
one era itself, knows from its first list that records may be missing.
"""

import math
import time
import zlib
from collections.abc import Callable

# An era up to this one says that the store was never restored, or that it names no era.
FIRST_ERA = 1
# All instances know by then that the store is back from an older copy, and have written
# again what it lost: a call that got no answer lasts 1.5 s, a pause after it 0.8 s.
REWRITTEN_AFTER_S = 3.0
# Longest time from the copy until the store is back, "some seconds" and "a moment" by
# the platform's contract.
MAX_COPY_AGE_S = 12.0


# The first instance by name writes what only one has to. The others do so later, if it
# has not: it may have ended, or be a new process. Their names spread them over a time.
BACKUP_DELAY_S = 1.0
BACKUP_SPREAD_S = 1.5


def backup_delay_s(instance: str) -> float:
    """Returns how long an instance leaves a write to the first one.

    >>> BACKUP_DELAY_S <= backup_delay_s("edge-a-1") < BACKUP_DELAY_S + BACKUP_SPREAD_S
    True
    """
    spread = zlib.crc32(instance.encode("utf-8", "surrogateescape")) / 2**32
    return BACKUP_DELAY_S + spread * BACKUP_SPREAD_S


class StoreEras:
    """What this process knows of the store's present era; not thread-safe.

    `life_s` returns how long streams may live. `lost_since` returns how many instances
    have lost what they kept in memory since a time on the clock, and `copies` is the
    number of instances, besides its writer, that keep a record.

    >>> eras = StoreEras(
    ...     life_s=lambda: 30.0, lost_since=lambda at: 0, copies=3, clock=lambda: 100.0
    ... )
    >>> eras.note_era(2), eras.is_complete()
    (False, False)
    >>> eras.note_confirmed(2)
    >>> eras.is_complete()
    True
    """

    def __init__(
        self,
        *,
        life_s: Callable[[], float],
        lost_since: Callable[[float], int],
        copies: int,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.life_s = life_s
        self.lost_since = lost_since
        self.copies = copies
        self.clock = clock
        # Since when this process has all records that it should keep.
        self.keeps_since = clock()
        # Latest known era, and when this process saw it first.
        self.era = 0
        self.seen_at = math.inf
        # When it saw the era rise; the past of a new process shows no restore.
        self.restored_at = -math.inf
        # Era in which the store says that its records are complete.
        self.confirmed_era = 0
        # Since when they are complete, as far as this process knows.
        self.complete_since = math.inf

    def note_era(self, era: int, *, is_restored: bool = False) -> bool:
        """Takes the era of an answer; returns whether the store was restored.

        `is_restored` tells that another part of this process has known an earlier era.
        """
        if era == self.era and is_restored and not self.saw_restore:
            self.restored_at = self.seen_at
            return True
        if era <= self.era:
            return False
        is_restored = is_restored or self.era > 0
        now = self.clock()
        self.era = era
        self.seen_at = now
        self.complete_since = math.inf
        if is_restored:
            self.restored_at = now
        return is_restored

    def note_first_list(self, *, is_empty: bool) -> None:
        """Takes whether the first list of the store has no records.

        If it was complete then, this process lacks none of an earlier time.
        """
        if is_empty and self.is_confirmed:
            self.keeps_since = -math.inf

    def note_confirmed(self, era: int) -> None:
        """Takes from the store in which era its records are complete."""
        self.confirmed_era = max(self.confirmed_era, era)

    @property
    def is_confirmed(self) -> bool:
        """Whether a new process can know that the records are complete."""
        return self.era <= FIRST_ERA or self.confirmed_era >= self.era

    def is_complete(self) -> bool:
        """Returns whether the store has the record of each stream that may live."""
        if self.is_confirmed:
            return True
        is_complete = self._are_rewritten() or self._are_earlier_streams_over()
        if not is_complete:
            self.complete_since = math.inf
        elif self.complete_since == math.inf:
            self.complete_since = self.clock()
        return is_complete

    def _are_rewritten(self) -> bool:
        """Returns whether somebody has kept and written again what the store lost.

        A record is gone if its writer and all that kept it have ended.
        """
        if self.restored_for_s() < REWRITTEN_AFTER_S or not self.saw_restore:
            return False
        copied_at = self.restored_at - MAX_COPY_AGE_S
        return self.keeps_since <= copied_at and (
            self.lost_since(copied_at) <= self.copies
        )

    def _are_earlier_streams_over(self) -> bool:
        return self.clock() - self.seen_at > self.life_s()

    @property
    def saw_restore(self) -> bool:
        """Whether this process ran before the present era, and saw it begin."""
        return self.restored_at == self.seen_at

    def restored_for_s(self) -> float:
        """Returns the time since the store was seen to have come back from a copy."""
        return self.clock() - self.restored_at

    def seen_for_s(self) -> float:
        """Returns for how long this process has seen the present era."""
        return max(0.0, self.clock() - self.seen_at)

    def keeps_records_since_copy(self) -> bool:
        """Returns whether this process got all records to keep that a copy may lack."""
        if self.is_complete():
            # This process may not have noticed yet that the store is back from a copy.
            restored_at = self.clock() - REWRITTEN_AFTER_S
        elif self.saw_restore:
            restored_at = self.restored_at
        else:
            return False
        return self.keeps_since <= restored_at - MAX_COPY_AGE_S

    def complete_after_s(self) -> float:
        """Returns after what time the records are likely to be complete."""
        if self.is_complete():
            return 0.0
        seen_s = self.seen_for_s()
        if seen_s < REWRITTEN_AFTER_S:
            return REWRITTEN_AFTER_S - seen_s
        return max(0.0, self.life_s() - seen_s)
