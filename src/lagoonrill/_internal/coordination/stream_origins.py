"""Keeps in the store at which software version streams began, and looks it up.

The policy `stream_history` decides what has to be recorded. One thread makes the calls
to the store, so that records of streams that begin together share a call.
"""

import enum
import hashlib
import math
import threading
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure, Result

from ..event_log import EventLog
from ..protocol.errors import StoreError
from ..protocol.routing import RoutingConfig
from ..state.endpoint_registry import EndpointRegistry
from .policy.stream_history import (
    MAX_LIST_LAG_S,
    DefaultVersion,
    StreamHistory,
    StreamRecord,
)

# The first event of a stream waits this long for its record. A store that is slower is
# in trouble, and a caller should not wait for it.
MAX_HOLD_S = 0.2
# A take-up waits this long for a list of the store.
LOOKUP_TIMEOUT_S = 0.5
MIN_LIST_INTERVAL_S = 0.1
RETRY_PAUSE_S = 0.3
# Interval of the checks for a new default version, and of the lists that show whether
# another instance has set it.
REVIEW_INTERVAL_S = 1.0
DEFAULT_LIST_INTERVAL_S = 3.0
# All instances together use this share of the writes that the store takes.
WRITE_SHARE = 0.25
# Records of this many seconds of a stream's life share an object of the store. One slot
# more than a life has is used in turn, so that no object has to be removed.
SLOTS_PER_LIFE = 6
SLOTS = SLOTS_PER_LIFE + 2
KEY_BYTES = 12


class StoredStream(msgspec.Struct, kw_only=True, frozen=True):
    """Record of a stream in the store."""

    record: StreamRecord
    # Unix time in seconds.
    begun_at: float


class StoredSlot(msgspec.Struct, kw_only=True, frozen=True):
    """Records of one instance in one object of the store."""

    instance: str
    slot: int
    streams: tuple[StoredStream, ...]


class StoredOrigins(msgspec.Struct, kw_only=True, frozen=True):
    """Everything that the store holds about the origins of streams."""

    defaults: list[DefaultVersion] = []
    slots: list[StoredSlot] = []


class HandOver(enum.Enum):
    """What peers did with a record that they were handed."""

    # The store has confirmed it to a peer.
    STORED = "stored"
    # A peer keeps it in memory and stores it later.
    HELD = "held"
    FAILED = "failed"


class RecordHolders(Protocol):
    """Peers that store records for an instance that cannot."""

    def is_reachable(self) -> bool: ...

    def hand_over(self, stream: StoredStream) -> HandOver: ...


class NoHolders:
    """The holders of an instance without peers."""

    def is_reachable(self) -> bool:
        return False

    def hand_over(self, stream: StoredStream) -> HandOver:
        return HandOver.FAILED


class OriginStore(Protocol):
    """Origins in the store; all calls may be repeated."""

    def list(self) -> Result[StoredOrigins, StoreError]: ...

    def write(self, slot: StoredSlot) -> Result[object, StoreError]: ...

    def add_default(self, default: DefaultVersion) -> Result[object, StoreError]:
        """Fails with `StoreConflict` if the service has a default of this number."""

    def remove_default(self, default: DefaultVersion) -> Result[object, StoreError]: ...


def stream_key(request_id: str) -> str:
    """Returns a short key for the id of a request, which may be of any length."""
    data = request_id.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=KEY_BYTES).hexdigest()


class StreamOrigins:
    """Records where streams begin, and finds where a taken-up stream began.

    `is_writer` tells whether this instance sets default versions, `list_age_s` how old
    its list of endpoints may be, and `instances` how many instances share the writes to
    the store.
    """

    def __init__(
        self,
        *,
        instance: str,
        store: OriginStore,
        registry: EndpointRegistry,
        event_log: EventLog,
        is_writer: Callable[[], bool],
        list_age_s: Callable[[], float],
        instances: Callable[[], int],
        writes_per_s: float,
        history: StreamHistory | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self.instance = instance
        self.store = store
        self.registry = registry
        self.event_log = event_log
        self.is_writer = is_writer
        self.list_age_s = list_age_s
        self.had_old_list = False
        self.instances = instances
        self.writes_per_s = writes_per_s
        self.clock = clock
        self.wall_clock = wall_clock
        self.history = history or StreamHistory(clock=clock)
        # Services with routes whose streams may be resumed.
        self.services: frozenset[str] = frozenset()
        self.condition = threading.Condition()
        self.wake = threading.Event()
        self.stopping = threading.Event()
        # Time at which a list was asked for.
        self.list_wanted_at = clock()
        # Records of this instance by slot, and how many of each slot are stored.
        self.slots: dict[int, list[StoredStream]] = {}
        self.stored: dict[int, int] = {}
        self.written_at = -math.inf
        self.holders: RecordHolders = NoHolders()
        # Whether the store confirms records in time, as far as is known.
        self.is_confirming = True
        # Begins of streams whose record nobody has taken.
        self.unrecorded = 0

    def start(self) -> None:
        """Starts the thread, which lists what the store holds at once."""
        threading.Thread(target=self.run, name="stream-origins", daemon=True).start()

    def stop(self) -> None:
        """Ends the thread after its current call."""
        self.stopping.set()
        self.wake.set()

    def install(self, config: RoutingConfig) -> None:
        """Takes the routes whose streams may be resumed from a configuration."""
        routes = [route for route in config.routes if route.resumable]
        self.services = frozenset(
            item.service for route in routes for item in route.services
        )
        if routes:
            self.history.note_longest_timeout(max(r.timeout_s for r in routes))

    def note_endpoints(self) -> None:
        """Takes the versions of the endpoints after a change of the registry."""
        self.history.note_endpoints(self.registry.records.values())
        self.wake.set()

    def note_begun(self, service: str, request_id: str, version: str) -> bool:
        """Records a stream before its caller gets the first event.

        Waits only for a stream that began at another version than the default one.
        Returns whether the stream is recorded where its version will be looked up.
        """
        record = StreamRecord(
            key=stream_key(request_id), service=service, version=version
        )
        is_corrected = self.history.replace(record)
        stream = StoredStream(record=record, begun_at=self.wall_clock())
        if is_corrected:
            self._withdraw(record.key)
        if not self.history.needs_record(service, version):
            if is_corrected:
                # The earlier record may have been stored without an answer.
                self._add([stream])
            return True
        waited_from = self.clock()
        is_stored = self._store([stream])
        handed_over = HandOver.STORED if is_stored else self.holders.hand_over(stream)
        if not is_stored:
            self.event_log.emit(
                "stream_handed_over",
                request=request_id,
                service=service,
                version=version,
                outcome=handed_over.value,
                waited_s=round(self.clock() - waited_from, 3),
            )
        if handed_over is HandOver.FAILED:
            self.unrecorded += 1
        return handed_over is not HandOver.FAILED

    def store_for_peer(self, streams: list[StoredStream]) -> bool:
        """Stores records of a peer; returns whether that was confirmed in time."""
        now = self.wall_clock()
        for stream in streams:
            self.history.add(stream.record, age_s=now - stream.begun_at)
        return self._store(streams)

    def required_version(self, service: str) -> str | None:
        """Returns the version at which new streams have to begin, or None for any.

        While nobody confirms records, only streams of the default version need none.
        """
        if self.is_confirming or self.holders.is_reachable():
            return None
        version = self.history.default_version(service)
        if version is None or self.history.needs_record(service, version):
            return None
        return version

    def _store(self, streams: list[StoredStream]) -> bool:
        """Stores records; returns whether that was confirmed in time.

        A store that has not confirmed the records before is not waited for if peers can
        store them.
        """
        with self.condition:
            slot, number = self._add(streams)
            can_wait = self.is_confirming or not self.holders.is_reachable()
            is_stored = self.condition.wait_for(
                lambda: self.stored.get(slot, 0) >= number,
                MAX_HOLD_S if can_wait else 0.0,
            )
            if not is_stored:
                self.is_confirming = False
            return is_stored

    def _add(self, streams: list[StoredStream]) -> tuple[int, int]:
        """Adds records to be stored; returns their slot and how many it has then."""
        now = self.wall_clock()
        slot = self._slot(now)
        with self.condition:
            found = self.slots.setdefault(slot, [])
            oldest = now - self.history.stream_life_s
            kept = [item for item in found if item.begun_at > oldest]
            if len(kept) < len(found):
                self.slots[slot] = found = kept
                self.stored[slot] = 0
            found.extend(streams)
            self.wake.set()
            return slot, len(found)

    def _withdraw(self, key: str) -> None:
        """Removes the records of a stream whose begin no caller has got."""
        with self.condition:
            for slot, streams in self.slots.items():
                kept = [item for item in streams if item.record.key != key]
                if len(kept) < len(streams):
                    self.slots[slot] = kept
                    self.stored[slot] = 0

    def _slot_s(self) -> float:
        return self.history.stream_life_s / SLOTS_PER_LIFE

    def _slot(self, begun_at: float) -> int:
        return int(begun_at / self._slot_s()) % SLOTS

    def version_of(self, service: str, request_id: str | None) -> str | None:
        """Returns the version at which a stream began, or None if that is not known.

        `request_id` names the request that brought its first event. Without it the
        version is known only while no stream has begun at another one than the default.
        """
        key = stream_key(request_id) if request_id else ""
        known = self.history.begun_at_version(service, key)
        if known is not None:
            return known
        is_settled = self.history.is_settled(service)
        # Another instance may know of a version that is not in the list here yet.
        is_reachable = self.list_age_s() <= MAX_LIST_LAG_S
        if not (is_reachable and self._refresh()):
            return self.history.default_version(service) if is_settled else None
        known = self.history.begun_at_version(service, key)
        if known is not None:
            return known
        if not key and self.history.has_other_versions(service):
            return None
        return self.history.default_version(service)

    def _refresh(self) -> bool:
        """Waits for a list that begins from now on; returns whether there was one."""
        now = self.clock()
        with self.condition:
            self.list_wanted_at = max(self.list_wanted_at, now)
            self.wake.set()
            return self.condition.wait_for(
                lambda: self.history.listed_at >= now, LOOKUP_TIMEOUT_S
            )

    def write_again(self) -> None:
        """Writes all records again after the store lost some."""
        with self.condition:
            self.stored.clear()
            self.list_wanted_at = self.clock()
        self.wake.set()

    def run(self) -> None:
        """Makes the calls to the store until stopped."""
        while not self.stopping.is_set():
            self.wake.wait(REVIEW_INTERVAL_S)
            self.wake.clear()
            try:
                failed = not self.make_calls()
            except Exception as error:
                # If this thread ended, no stream would be recorded any more.
                self.event_log.emit("stream_origins_failed", error=repr(error)[:200])
                failed = True
            if failed:
                self.stopping.wait(RETRY_PAUSE_S)
                self.wake.set()

    def make_calls(self) -> bool:
        """Makes the calls that are due; returns whether all succeeded."""
        now = self.clock()
        self._watch_list_age()
        if self.history.list_due(self.services):
            self.list_wanted_at = now
        if self.history.listed_at < self.list_wanted_at:
            self.stopping.wait(
                max(0.0, self.history.listed_at + MIN_LIST_INTERVAL_S - now)
            )
            if not self._list():
                return False
        return self._write_slots() and self._review_defaults()

    def _watch_list_age(self) -> None:
        is_old = self.list_age_s() > MAX_LIST_LAG_S
        if self.had_old_list and not is_old:
            self.history.note_old_list()
        self.had_old_list = is_old

    def _list(self) -> bool:
        began_at = self.clock()
        result = self.store.list()
        if self._has_failed(result):
            return False
        self.is_confirming = True
        found = result.unwrap()
        wall_now = self.wall_clock()
        for default in found.defaults:
            self.history.add_default(default)
        for slot in found.slots:
            for stream in slot.streams:
                age_s = max(0.0, wall_now - stream.begun_at)
                if age_s <= self.history.stream_life_s:
                    self.history.add(stream.record, age_s=age_s)
        with self.condition:
            if self.history.listed_at == -math.inf:
                self._adopt(found)
            self.history.note_list(began_at)
            self.condition.notify_all()
        return self._restore_defaults(found.defaults)

    def _restore_defaults(self, found: list[DefaultVersion]) -> bool:
        """Writes defaults again that the store lost; returns whether that succeeded."""
        if not self.is_writer():
            return True
        stored = {default.service: default.number for default in found}
        for service, default in list(self.history.defaults.items()):
            if stored.get(service, -1) >= default.number:
                continue
            if self._has_failed(self.store.add_default(default)):
                return False
        return True

    def _adopt(self, found: StoredOrigins) -> None:
        """Takes over the records of an earlier process of this instance."""
        for slot in found.slots:
            if slot.instance == self.instance:
                own = self.slots.get(slot.slot, [])
                self.slots[slot.slot] = [*slot.streams, *own]

    def _write_slots(self) -> bool:
        with self.condition:
            due = [
                slot
                for slot, streams in self.slots.items()
                if self.stored.get(slot, 0) < len(streams)
            ]
        for slot in due:
            spacing_s = self.instances() / (WRITE_SHARE * self.writes_per_s)
            self.stopping.wait(max(0.0, self.written_at + spacing_s - self.clock()))
            self.written_at = self.clock()
            # Streams that began during the wait share the write.
            with self.condition:
                streams = tuple(self.slots[slot])
            stored = StoredSlot(instance=self.instance, slot=slot, streams=streams)
            if self._has_failed(self.store.write(stored)):
                self.is_confirming = False
                return False
            with self.condition:
                if self.slots[slot][: len(streams)] == list(streams):
                    self.stored[slot] = len(streams)
                self.is_confirming = True
                self.condition.notify_all()
        return True

    def _review_defaults(self) -> bool:
        for service in self.services:
            default = self.history.next_default(service)
            if default is None:
                continue
            if not self.is_writer():
                # Another instance sets it; until it is known here, streams of the
                # version are recorded without need.
                if self.clock() - self.history.listed_at >= DEFAULT_LIST_INTERVAL_S:
                    self.list_wanted_at = self.clock()
                continue
            before = self.history.defaults.get(service)
            result = self.store.add_default(default)
            if self._has_failed(result):
                # Another instance may have set another one.
                self.list_wanted_at = self.clock()
                return False
            self.history.add_default(default)
            self.event_log.emit(
                "default_version",
                service=service,
                version=default.version,
                before=before and before.version,
                number=default.number,
            )
            if before is not None and self._has_failed(
                self.store.remove_default(before)
            ):
                return False
        return True

    def _has_failed(self, result: Result) -> bool:
        if not isinstance(result, Failure):
            return False
        reason = str(result.failure())[:200]
        self.event_log.emit("stream_origins_delayed", reason=reason)
        return True

    def dump(self) -> dict:
        with self.condition:
            return self.history.dump() | {
                "own_records": sum(map(len, self.slots.values())),
                "unrecorded": self.unrecorded,
                "is_confirming": self.is_confirming,
            }
