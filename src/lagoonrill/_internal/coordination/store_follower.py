"""Follows one kind of objects in the store: a list, then a watch for changes.

Load pattern: the store is slow, unavailable, reachable for some instances only, or has
truncated its history. The last known state stays in use; after a truncated history the
objects are listed again. So they are after the store came back from an older copy: its
answers name an era, and revisions are compared within an era only.

After a failure or an interrupted watch, the first call does not wait for changes, so
that its answer shows that the store has recovered; a watch on a store without changes
would detect this much later. `store_freshness` decides how long watches wait and when
they are interrupted.
"""

import math
import random
import threading
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure, Result

from ..event_log import EventLog
from ..protocol.errors import (
    StoreCallInterrupted,
    StoreError,
    StoreHistoryGone,
    StoreRejected,
)
from ..protocol.routing import StorePosition
from .policy.expired_entries import StoreOutage
from .policy.store_renewal import LONG_WATCH_S

# Changes within this time are fetched by one call.
CHANGE_SPACING_S = 0.8
# The same while requests wait that only a change can help.
WANTED_SPACING_S = 0.2
# Backoff after failed calls; the store counts every call.
FIRST_PAUSE_S = 0.15
MAX_PAUSE_S = 0.8
# Maximum number of names of unreadable objects in the state dump.
DUMPED_NAMES = 20
# Source of the evidence that a copy is current: the store, else the name of a peer.
STORE = "store"


class StoreObject(msgspec.Struct, kw_only=True):
    """Object in the store; `content` is decoded, or None if it cannot be decoded."""

    name: str
    content: object | None


class ObjectList(msgspec.Struct, kw_only=True):
    """All objects of one kind at a store revision of an era."""

    objects: list[StoreObject]
    revision: int
    era: int = 0

    def contents(self) -> list:
        """Returns the contents of all objects that could be decoded."""
        return [item.content for item in self.objects if item.content is not None]

    @property
    def position(self) -> StorePosition:
        return StorePosition(self.era, self.revision)


class ObjectChanges(msgspec.Struct, kw_only=True):
    """Changes of one kind up to a revision.

    `complete` is False if a change could not be assigned to an object.
    """

    changed: list[StoreObject]
    removed: list[str]
    revision: int
    era: int = 0
    complete: bool = True

    @property
    def position(self) -> StorePosition:
        return StorePosition(self.era, self.revision)


class ObjectSource(Protocol):
    """Source of one kind of objects in the store."""

    def list(self) -> Result[ObjectList, StoreError]: ...

    def changes(
        self, *, since: int, wait_s: float
    ) -> Result[ObjectChanges, StoreError]: ...

    def interrupt(self) -> bool: ...


class StoreFollower:
    """Keeps a copy of one kind of objects up to date, from one thread.

    `apply` is called with the follower after each change. `objects` is the complete
    copy, and `outage` is the last store outage. `watch_wait_s` returns how long the
    next watch waits, given the age of the evidence that the copy is current.
    """

    def __init__(
        self,
        *,
        kind: str,
        source: ObjectSource,
        apply: Callable[["StoreFollower"], None],
        event_log: EventLog,
        spacing_s: float = CHANGE_SPACING_S,
        clock=time.monotonic,
    ):
        self.kind = kind
        self.spacing_s = spacing_s
        self.source = source
        self.apply = apply
        self.event_log = event_log
        self.clock = clock
        self.objects: dict[str, StoreObject] = {}
        self.position = StorePosition()
        self.listed = False
        self.in_touch = False
        self.lost_at: float | None = None
        # Start of the current outage, and start of the last failed call during it.
        self.outage_noticed_at: float | None = None
        self.last_failure_at = 0.0
        self.outage: StoreOutage | None = None
        self.watch_wait_s: Callable[[float], float] = lambda age_s: LONG_WATCH_S
        # Time at which the copy was current by the latest evidence, and its source.
        self.confirmed_at = clock()
        self.confirmed_by = ""
        # The same, by answers of the store only; None before the first one.
        self.answered_at: float | None = None
        # The same, by evidence that is passed on to near peers: answers of the store,
        # and answers that peers of other zones received.
        self.shared_at: float | None = None
        # Whether requests wait that only a change can help.
        self.is_wanted: Callable[[], bool] = lambda: False
        # Called with the time of each answer of the store.
        self.answered: Callable[[float], None] = lambda answered_at: None
        # Called after the first list of a store that came back from an older copy.
        self.restored: Callable[[], None] = lambda: None
        # Start of the pending watch.
        self.waiting_since: float | None = None
        self.interrupted = False
        self.failures = 0
        # Whether `apply` has taken the copy; after an error it is listed again.
        self.is_applied = True
        # Answers in a row that were older than the copy.
        self.stale_answers = 0
        self.stopping = threading.Event()
        self.thread: threading.Thread | None = None

    def start(self) -> None:
        """Starts the thread."""
        self.thread = threading.Thread(
            target=self.run, name=f"follow-{self.kind}", daemon=True
        )
        self.thread.start()

    def stop(self) -> None:
        """Stops the thread after its current call."""
        self.stopping.set()

    def run(self) -> None:
        """Makes calls until stopped; exceptions are logged and do not end the loop."""
        while not self.stopping.is_set():
            try:
                pause_s = self.step()
            except Exception as error:
                # If this thread ended, the copy would never be updated again.
                self.event_log.emit(
                    "store_call_failed", kind=self.kind, error=repr(error)[:200]
                )
                pause_s = MAX_PAUSE_S
            if pause_s:
                self.stopping.wait(pause_s)

    def step(self) -> float:
        """Makes one call; returns the pause before the next call in seconds."""
        began_at = self.clock()
        wait_s = 0.0
        if self.listed:
            if self.in_touch and not self.interrupted:
                wait_s = self.watch_wait_s(self.age_s())
            self.interrupted = False
            result = self._changes(wait_s)
        else:
            result = self.source.list()
        if isinstance(result, Failure):
            return self._failed(result.failure(), began_at)
        self._note_reached()
        answer = result.unwrap()
        if answer.position < self.position:
            return self._refuse_stale(answer)
        self.stale_answers = 0
        if isinstance(answer, ObjectChanges) and answer.era > self.position.era:
            # Revisions are given out again, so changes before this one may be missing.
            self.listed = False
            return 0.0
        if isinstance(answer, ObjectList):
            self._apply_list(answer)
            pause_s = 0.0
        else:
            self._apply_changes(answer)
            pause_s = self._pause_after(answer, began_at=began_at, wait_s=wait_s)
        # The answer to a call without a wait is at least as recent as the call.
        answered_at = self.clock() if wait_s else began_at
        self.confirm_by_store(answered_at)
        self.answered(answered_at)
        return pause_s

    @property
    def revision(self) -> int:
        """The revision of the store up to which the copy is known, in its era."""
        return self.position.revision

    def _refuse_stale(self, answer: ObjectList | ObjectChanges) -> float:
        """Ignores an answer that would revert changes; returns a growing pause."""
        self.stale_answers += 1
        if self.stale_answers == 1:
            self.event_log.emit(
                "store_answer_stale",
                kind=self.kind,
                era=answer.era,
                revision=answer.revision,
                known_era=self.position.era,
                known=self.revision,
            )
        return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(self.stale_answers - 1, 8))

    def confirm_by_store(self, answered_at: float) -> None:
        """Records that the store showed at that time that the copy is current."""
        self.answered_at = max(answered_at, self.answered_at or answered_at)
        self.confirm(age_s=self.clock() - answered_at, confirmed_by=STORE, share=True)

    def _changes(self, wait_s: float) -> Result[ObjectChanges, StoreError]:
        self.waiting_since = self.clock() if wait_s else None
        try:
            return self.source.changes(since=self.revision, wait_s=wait_s)
        finally:
            self.waiting_since = None

    def _pause_after(
        self, answer: ObjectChanges, *, began_at: float, wait_s: float
    ) -> float:
        """Returns the pause after an answer; further changes are then batched."""
        if not wait_s:
            return 0.0
        # Only a successful watch resets the backoff: calls without a wait may succeed
        # while watches keep failing.
        self.failures = 0
        if answer.changed or answer.removed:
            most_s = WANTED_SPACING_S if self.is_wanted() else self.spacing_s
            return min(self.spacing_s, most_s)
        # A store that answers watches before their time must not be asked at once.
        waited = self.clock() - began_at >= wait_s / 2
        return 0.0 if waited else self.spacing_s

    def _failed(self, error: StoreError, began_at: float) -> float:
        if isinstance(error, StoreCallInterrupted):
            self.interrupted = True
            return 0.0
        if isinstance(error, StoreHistoryGone):
            self.listed = False
            self.event_log.emit(
                "store_history_gone", kind=self.kind, revision=self.revision
            )
            return 0.0
        self.failures += 1
        # A store that rejects a call is reachable, so this is no outage.
        if not isinstance(error, StoreRejected):
            self.last_failure_at = began_at
            if self.outage_noticed_at is None:
                self.outage_noticed_at = self.clock()
        if self.in_touch or self.lost_at is None:
            self.in_touch = False
            self.lost_at = self.clock()
            self.event_log.emit(
                "store_lost",
                kind=self.kind,
                reason=str(error)[:200],
                revision=self.revision,
            )
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(self.failures, 8))
        return pause_s * random.uniform(0.5, 1.0)

    def age_s(self) -> float:
        """Returns the age of the evidence that the copy is current."""
        return self.clock() - self.confirmed_at

    def confirm(self, *, age_s: float, confirmed_by: str, share: bool = False) -> bool:
        """Records that the copy was current `age_s` ago.

        Evidence to `share` is passed on to near peers. Returns whether there is newer
        evidence to pass on.
        """
        confirmed_at = self.clock() - age_s
        if confirmed_at >= self.confirmed_at:
            self.confirmed_at = confirmed_at
            self.confirmed_by = confirmed_by
        if not share or confirmed_at <= (self.shared_at or -math.inf):
            return False
        self.shared_at = confirmed_at
        return True

    def waited_s(self) -> float | None:
        """Returns how long the pending watch has been waiting, or None."""
        waiting_since = self.waiting_since
        return None if waiting_since is None else self.clock() - waiting_since

    def interrupt_watch(self) -> bool:
        """Ends the pending watch, so that the store is asked at once."""
        return self.waiting_since is not None and self.source.interrupt()

    def _note_reached(self) -> None:
        reached_at = self.clock()
        if self.outage_noticed_at is not None:
            self.outage = StoreOutage(
                noticed_at=self.outage_noticed_at,
                last_failure_at=self.last_failure_at,
                recovered_at=reached_at,
            )
            self.outage_noticed_at = None
        if self.in_touch:
            return
        self.in_touch = True
        away_s = 0.0
        if self.lost_at is not None:
            away_s = reached_at - self.lost_at
        self.event_log.emit("store_reached", kind=self.kind, away_s=round(away_s, 3))

    def _apply_list(self, answer: ObjectList) -> None:
        known = self.position
        is_restored = 0 < known.era < answer.era
        self.objects = {item.name: item for item in answer.objects}
        self.position = answer.position
        self.listed = True
        self.event_log.emit(
            "store_listed",
            kind=self.kind,
            objects=len(self.objects),
            era=self.position.era,
            revision=self.revision,
        )
        try:
            self._apply_copy()
        finally:
            if is_restored:
                self._note_restored(known)

    def _note_restored(self, known: StorePosition) -> None:
        self.event_log.emit(
            "store_restored",
            kind=self.kind,
            era=self.position.era,
            revision=self.revision,
            known_era=known.era,
            known=known.revision,
        )
        self.restored()

    def _apply_copy(self) -> None:
        """Calls `apply`; after an error the objects are listed and applied again."""
        try:
            self.apply(self)
        except Exception:
            self.listed = False
            if self.is_applied:
                self.is_applied = False
                self.event_log.emit(
                    "store_copy_not_applied", kind=self.kind, revision=self.revision
                )
            raise
        self.is_applied = True

    def _apply_changes(self, answer: ObjectChanges) -> None:
        for item in answer.changed:
            self.objects[item.name] = item
        for name in answer.removed:
            self.objects.pop(name, None)
        self.position = answer.position
        if answer.changed or answer.removed:
            self._apply_copy()
        if not answer.complete:
            # List again, because the incomplete change cannot be applied.
            self.listed = False

    def unreadable(self) -> list[str]:
        """Returns the names of the objects whose content cannot be decoded."""
        objects = list(self.objects.values())
        return [item.name for item in objects if item.content is None]

    def dump(self) -> dict:
        return {
            "kind": self.kind,
            "era": self.position.era,
            "revision": self.revision,
            "objects": len(self.objects),
            "unreadable": self.unreadable()[:DUMPED_NAMES],
            "in_touch": self.in_touch,
            "is_applied": self.is_applied,
            "failures_in_a_row": self.failures,
            "age_s": round(self.age_s(), 3),
            "confirmed_by": self.confirmed_by,
        }
