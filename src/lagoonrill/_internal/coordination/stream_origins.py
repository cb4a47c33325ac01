"""Keeps in the store at which software version streams began, and looks it up.

The policy `stream_history` decides what has to be recorded. One thread makes the calls
to the store, so that records of streams that begin together share a call.
"""

import functools
import math
import secrets
import threading
import time
from collections.abc import Callable

from returns.result import Failure, Result

from ..event_log import EventLog
from ..protocol.errors import (
    StoreConflict,
    StoreRejected,
    StoreUnavailable,
)
from ..protocol.messages import KeptStreamReply
from ..protocol.routing import RoutingConfig
from ..state.endpoint_registry import EndpointRegistry
from .policy.stream_history import (
    MAX_LIST_LAG_S,
    DefaultVersion,
    StreamHistory,
    StreamRecord,
)
from .record_batches import (
    HeldRecords,
    OwnRecord,
    RecordBatches,
    SeenBatches,
    StoredBatch,
    StoredStream,
)
from .store_eras import (
    BACKUP_DELAY_S,
    BACKUP_SPREAD_S,
    MAX_COPY_AGE_S,
    REWRITTEN_AFTER_S,
    StoreEras,
    backup_delay_s,
)
from .stream_records import (
    HOLDERS,
    Begin,
    HandOver,
    LookUp,
    NoHolders,
    OriginStore,
    RecordHolders,
    stream_key,
)

# The first event of a stream waits this long for its record. A store that is slower is
# in trouble, and a caller should not wait for it.
MAX_HOLD_S = 0.2
# An instance that has to wait longer for its turn to write waits no further.
MAX_TURN_S = 1.0
# A write that is under way is waited for as long as a slow store takes, since a stream
# whose record may be stored cannot begin anew.
MAX_PENDING_S = 0.6
# A store that has not answered a call after this time is not waited for; it responds
# within a few milliseconds, and within some hundred when it is slow.
SLOW_CALL_S = 0.1
# A take-up waits this long for a list of the store.
LOOKUP_TIMEOUT_S = 0.5
MIN_LIST_INTERVAL_S = 0.1
# Peers of a process that has just started are asked so many times what they keep.
KEPT_ATTEMPTS = 10
KEPT_PAUSE_S = 0.1
RETRY_PAUSE_S = 0.3
# Interval of the checks for a new default version, and of the lists that show whether
# another instance has set it.
REVIEW_INTERVAL_S = 1.0
DEFAULT_LIST_INTERVAL_S = 3.0
# All instances together use this share of the writes that the store takes.
WRITE_SHARE = 0.25
# A write without an answer is repeated at once, so many times in a row: streams wait.
WRITE_ATTEMPTS = 3
PROCESS_BYTES = 6
# Failures of a write that is not executed later either.
NOT_EXECUTED = (StoreRejected, StoreUnavailable)


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
        self.batches = RecordBatches(
            instance=instance,
            process=secrets.token_hex(PROCESS_BYTES),
            life_s=lambda: self.history.stream_life_s,
            clock=clock,
        )
        self.held = HeldRecords(life_s=lambda: self.history.stream_life_s, clock=clock)
        self.seen = SeenBatches(clock=clock)
        self.eras = StoreEras(
            life_s=lambda: self.history.stream_life_s,
            lost_since=lambda at: self.holders.members_since(at)[1],
            copies=HOLDERS,
            clock=clock,
        )
        self.written_at = -math.inf
        self.holders: RecordHolders = NoHolders()
        # Whether the latest list lacked default versions that are known here.
        self.has_lost_defaults = False
        # Whether the latest call failed, and when a pending one began.
        self.has_failed_call = False
        self.call_began_at = math.inf
        # Whether the store confirms records in time, as far as is known.
        self.is_confirming = True
        # Begins of streams whose record the store has not confirmed in time.
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

    def note_begun(self, service: str, request_id: str, version: str) -> Begin:
        """Records a stream before its caller gets the first event.

        Waits only for a stream that began at another version than the default one. A
        record counts once the store has confirmed it, here or to a peer: all instances
        may be killed at once, so what they keep in memory proves nothing.
        """
        record = StreamRecord(
            key=stream_key(request_id), service=service, version=version
        )
        is_corrected = self.history.replace(record)
        if is_corrected:
            # The earlier record may have been stored without an answer.
            with self.condition:
                self.batches.withdraw(record.key)
        stream = StoredStream(record=record, begun_at=self.wall_clock())
        if not (is_corrected or self.needs_record(service, version)):
            if not self.eras.is_complete():
                # Until then, a stream that is recorded nowhere is refused.
                self._add([stream])
            return Begin.RECORDED
        waited_from = self.clock()
        records = self._add([stream])
        handed_over = HandOver.NOT_STORED
        # A stream that begins anyway waits for a store that answers, not for a turn.
        turn_s = 0.0 if self._begins_anyway(record) else self._turn_wait_s()
        can_wait = self._are_records_confirmed() or not self._begins_anyway(record)
        if can_wait and self._wait_stored(records, turn_s=turn_s):
            return Begin.RECORDED
        # A write that only waits for its turn is not made by peers as well.
        if self._is_turned_away() and self.holders.is_reachable():
            handed_over = self.holders.hand_over(stream)
        begin = self._begin_unconfirmed(records, handed_over)
        self.event_log.emit(
            "stream_handed_over",
            request=request_id,
            service=service,
            version=version,
            outcome=handed_over.value,
            begin=begin.value,
            waited_s=round(self.clock() - waited_from, 3),
        )
        return begin

    def _begin_unconfirmed(
        self, records: list[OwnRecord], handed_over: HandOver
    ) -> Begin:
        """Decides about a stream whose record this instance has not stored in time."""
        if handed_over is HandOver.STORED:
            return Begin.RECORDED
        if self._begins_anyway(records[0].stream.record):
            self.unrecorded += 1
            return Begin.UNRECORDED
        begin = self._take_back(records)
        if begin is Begin.NOT_RECORDED and handed_over is HandOver.IN_DOUBT:
            begin = Begin.IN_DOUBT
        if not begin.is_allowed:
            self.unrecorded += 1
        return begin

    def _begins_anyway(self, record: StreamRecord) -> bool:
        """Returns whether a stream may begin before its record is stored.

        A take-up cannot reach another version while no endpoint has one.
        """
        return not self.history.other_versions_serve(record.service, record.version)

    def _take_back(self, records: list[OwnRecord]) -> Begin:
        """Takes records back that are not stored, after writes that are under way."""
        with self.condition:
            # A record in doubt is written again, and counts once that is confirmed.
            self.condition.wait_for(
                lambda: (
                    all(item.is_stored for item in records)
                    or not any(item.is_pending or item.is_in_doubt for item in records)
                ),
                MAX_PENDING_S,
            )
            if all(item.is_stored for item in records):
                return Begin.RECORDED
            if not self.batches.take_back(records):
                return Begin.IN_DOUBT
        for item in records:
            self.history.forget(item.stream.record.key)
        return Begin.NOT_RECORDED

    def store_for_peer(self, streams: list[StoredStream]) -> HandOver:
        """Stores records of a peer, or leaves no trace of them if that is possible."""
        now = self.wall_clock()
        for stream in streams:
            self.history.add(stream.record, age_s=now - stream.begun_at)
        records = self._add(streams)
        if self._wait_stored(records, turn_s=self._turn_wait_s()):
            return HandOver.STORED
        outcomes = {
            Begin.RECORDED: HandOver.STORED,
            Begin.NOT_RECORDED: HandOver.NOT_STORED,
        }
        return outcomes.get(self._take_back(records), HandOver.IN_DOUBT)

    def hold_for_peer(self, streams: list[StoredStream]) -> None:
        """Keeps records of a peer in case the store loses them."""
        now = self.wall_clock()
        for stream in streams:
            self.history.add(stream.record, age_s=now - stream.begun_at)
        with self.condition:
            self.held.add(streams)

    def hand_on(self) -> None:
        """Sends all records to peers before this instance ends."""
        with self.condition:
            streams = [*self.batches.living(), *self.held.living()]
        if streams:
            self.holders.share(streams)

    def required_version(self, service: str) -> str | None:
        """Returns the version at which new streams have to begin, or None for any.

        While nobody confirms records, only streams of the default version need none.
        """
        if self._are_records_confirmed():
            return None
        version = self.history.default_version(service)
        if version is None or self.needs_record(service, version):
            return None
        return version

    def needs_record(self, service: str, version: str) -> bool:
        """Returns whether a stream may begin at a version only with a record."""
        if not (self.eras.saw_restore or self._are_defaults_current()):
            return True
        return self.history.needs_record(service, version)

    def _are_defaults_current(self) -> bool:
        """Returns whether the latest list had the latest default versions.

        A restored store has earlier ones, or none, until those who know the present
        ones have written them again.
        """
        written_after_s = REWRITTEN_AFTER_S + BACKUP_DELAY_S + BACKUP_SPREAD_S
        return (
            self.eras.is_confirmed
            or self.history.listed_at >= self.eras.seen_at + written_after_s
        )

    def may_begin(self, service: str) -> bool:
        """Returns whether a new stream is likely to be allowed to begin somewhere."""
        return (
            self._are_records_confirmed()
            or not self.history.serves_versions(service)
            or self.required_version(service) is not None
        )

    def _are_records_confirmed(self) -> bool:
        """Returns whether the store is likely to confirm a record in time."""
        is_soon = self.is_confirming and self._turn_wait_s() <= MAX_TURN_S
        return is_soon or (self._is_turned_away() and self.holders.is_reachable())

    def _wait_stored(self, records: list[OwnRecord], *, turn_s: float) -> bool:
        """Waits until records are stored; returns whether that was in time.

        `turn_s` is the time until this instance may write. A store that does not
        answer is not waited for if peers can store them.
        """
        with self.condition:
            can_wait = not (self._is_turned_away() and self.holders.is_reachable())
            is_stored = self.condition.wait_for(
                lambda: all(record.is_stored for record in records),
                MAX_HOLD_S + min(turn_s, MAX_TURN_S) if can_wait else 0.0,
            )
            if not is_stored and self._turn_wait_s() == 0.0:
                self.is_confirming = False
                self.wake.set()
            return is_stored

    def _is_turned_away(self) -> bool:
        """Returns whether the store does not answer this instance, as far as known."""
        pending_s = self.clock() - self.call_began_at
        return self.has_failed_call or pending_s > SLOW_CALL_S

    def _add(self, streams: list[StoredStream]) -> list[OwnRecord]:
        """Adds records that are to be stored."""
        with self.condition:
            records = self.batches.add(streams)
            self.wake.set()
            return records

    def version_of(self, service: str, request_id: str | None) -> str | None:
        """Returns the version at which a stream began, or None if that is not known.

        `request_id` names the request that brought its first event. Without it the
        version is known only while no stream has begun at another one than the default.
        """
        key = stream_key(request_id) if request_id else ""
        found: LookUp | None = self.look_up(service, key)
        if not found.found_out:
            found = self.holders.look_up(service, key)
        if found is None:
            # This instance may be cut off from peers that know a newer version.
            return None
        if found.version is not None:
            return found.version
        if found.found_out:
            return self._find_kept(service, key) if key else None
        # While the store answers nobody, nobody learns of a new version.
        is_settled = self.history.is_settled(service)
        return self.history.default_version(service) if is_settled else None

    def _find_kept(self, service: str, key: str) -> str | None:
        """Returns the version at which a stream began, if what peers keep proves it.

        A process that has just started has to hear of its peers first, which takes less
        time than its caller would need to come back.
        """
        for _ in range(KEPT_ATTEMPTS):
            version = self.holders.look_up_kept(service, key)
            if version is None:
                # The store may have got the record meanwhile.
                version = self.history.begun_at_version(service, key)
            if version is not None or self.eras.seen_for_s() >= REWRITTEN_AFTER_S:
                return version
            self.stopping.wait(KEPT_PAUSE_S)
        return None

    def look_up(self, service: str, key: str) -> LookUp:
        """Looks a stream up here and in the store."""
        known = self.history.begun_at_version(service, key)
        if known is not None:
            return LookUp(version=known, found_out=True)
        is_settled = self.history.is_settled(service)
        # Another instance may know of a version that is not in the list here yet.
        is_reachable = self.list_age_s() <= MAX_LIST_LAG_S
        if not (is_reachable and self._refresh()):
            return LookUp()
        known = self.history.begun_at_version(service, key)
        if known is None and not self._is_any_lost(service, key, is_settled):
            known = self.history.default_version(service)
        return LookUp(version=known, found_out=True)

    def _is_any_lost(self, service: str, key: str, is_settled: bool) -> bool:
        """Returns whether a stream without a record may have begun elsewhere."""
        if not key and self.history.has_other_versions(service):
            return True
        if is_settled or self._serves_default_only(service):
            return False
        # The record may be among those that a restored store has lost.
        return not self.eras.is_complete()

    def _serves_default_only(self, service: str) -> bool:
        """Returns whether nothing shows that another version has served lately.

        For a process without a past. What endpoints write is in a restored store again
        after some seconds.
        """
        return (
            self.eras.seen_for_s() >= REWRITTEN_AFTER_S
            and not self.history.has_other_versions(service)
            and self.history.serves_default_only(service)
        )

    def kept_record(self, service: str, key: str) -> KeptStreamReply:
        """Returns what this process knows about a stream without asking anybody."""
        instances, _ = self.holders.members_since(self.clock() - MAX_COPY_AGE_S)
        return KeptStreamReply(
            version=self.history.begun_at_version(service, key),
            default=self.history.default_version(service),
            keeps_all=self.eras.keeps_records_since_copy(),
            instances=instances,
        )

    def known_after_s(self) -> float:
        """Returns after what time an unknown stream may be asked for again."""
        return self.eras.complete_after_s()

    def _refresh(self) -> bool:
        """Waits for a list that begins from now on; returns whether there was one."""
        now = self.clock()
        with self.condition:
            self.list_wanted_at = max(self.list_wanted_at, now)
            self.wake.set()
            return self.condition.wait_for(
                lambda: self.history.listed_at >= now, LOOKUP_TIMEOUT_S
            )

    def note_era(self, era: int, *, is_restored: bool = False) -> None:
        """Writes all records again once the store has come back from an older copy.

        `is_restored` tells that this process has known an earlier era.
        """
        with self.condition:
            if not self.eras.note_era(era, is_restored=is_restored):
                return
            self.batches.renew()
            self.batches.add(self.held.living())
            self.list_wanted_at = self.clock()
        self.event_log.emit("stream_records_renewed", era=era, records=len(self.held))
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
        if (
            # An answer shows that records are taken again.
            not self.is_confirming
            or self._is_confirmation_awaited()
            or self.history.list_due(self.services)
            or self.seen.is_list_due(self.history.stream_life_s)
        ):
            self.list_wanted_at = now
        if self.history.listed_at < self.list_wanted_at:
            self.stopping.wait(
                max(0.0, self.history.listed_at + MIN_LIST_INTERVAL_S - now)
            )
            if not self._list():
                return False
        return (
            self._write_batches()
            and self._confirm_era()
            and self._review_defaults()
            and self._remove_over()
        )

    def _watch_list_age(self) -> None:
        is_old = self.list_age_s() > MAX_LIST_LAG_S
        if self.had_old_list and not is_old:
            self.history.note_old_list()
        self.had_old_list = is_old

    def _list(self) -> bool:
        began_at = self.clock()
        result = self._call(self.store.list)
        if self._has_failed(result):
            return False
        self.is_confirming = True
        found = result.unwrap()
        self.note_era(found.era)
        self.eras.note_confirmed(found.complete_era)
        if self.history.listed_at == -math.inf:
            self.eras.note_first_list(is_empty=not found.batches)
        wall_now = self.wall_clock()
        for default in found.defaults:
            self.history.add_default(default)
        for batch in found.batches:
            for stream in batch.streams:
                age_s = max(0.0, wall_now - stream.begun_at)
                if age_s <= self.history.stream_life_s:
                    self.history.add(stream.record, age_s=age_s)
        # One instance removes what those that have ended have left.
        is_writer = self.is_writer()
        self.seen.note_list(
            item
            for item in found.batches
            if is_writer or item.instance == self.instance
        )
        with self.condition:
            self.history.note_list(began_at)
            self.condition.notify_all()
        return self._restore_defaults(found.defaults)

    def _restore_defaults(self, found: list[DefaultVersion]) -> bool:
        """Writes defaults again that the store lost; returns whether that succeeded."""
        stored = {default.service: default.number for default in found}
        lost = [
            default
            for default in list(self.history.defaults.values())
            if stored.get(default.service, -1) < default.number
        ]
        self.has_lost_defaults = bool(lost)
        if not (self.is_writer() or self._is_backup_due(self.eras.restored_at)):
            return True
        for default in lost:
            result = self.store.add_default(default)
            if isinstance(result, Failure) and isinstance(
                result.failure(), StoreConflict
            ):
                # Another instance has written one meanwhile.
                self.list_wanted_at = self.clock()
            elif self._has_failed(result):
                return False
        return True

    def _is_backup_due(self, since: float) -> bool:
        """Returns whether it is time to do what the writer of defaults has not done."""
        return (
            not self.eras.is_confirmed
            and math.isfinite(since)
            and self.clock() - since >= backup_delay_s(self.instance)
        )

    def _is_confirmation_awaited(self) -> bool:
        """Returns whether a list may show by now that the present era is confirmed."""
        if self.eras.is_confirmed:
            return False
        is_soon = self.eras.is_complete() or self.has_lost_defaults
        interval_s = BACKUP_DELAY_S if is_soon else DEFAULT_LIST_INTERVAL_S
        return self.clock() - self.history.listed_at >= interval_s

    def _confirm_era(self) -> bool:
        """Lets new processes know that the records are complete.

        Own records have been written before. Returns False if the call failed.
        """
        if (
            self.eras.is_confirmed
            or not self.eras.is_complete()
            or self.has_lost_defaults
        ):
            return True
        if not (self.is_writer() or self._is_backup_due(self.eras.complete_since)):
            return True
        era = self.eras.era
        if self._has_failed(self._call(functools.partial(self.store.confirm_era, era))):
            return False
        self.eras.note_confirmed(era)
        self.event_log.emit("stream_records_complete", era=era)
        return True

    def _write_batches(self) -> bool:
        attempts_left = WRITE_ATTEMPTS
        while True:
            with self.condition:
                if (batch := self.batches.next_due()) is None:
                    return True
            self._wait_for_turn()
            # Streams that began during the wait share the write.
            with self.condition:
                written = self.batches.begin_write(batch)
            self._share(written)
            stored = StoredBatch(
                name=batch.name,
                instance=self.instance,
                streams=tuple(item.stream for item in written),
            )
            write = functools.partial(
                self.store.write, stored, is_created=batch.is_created
            )
            result = self._call(write)
            has_failed = self._has_failed(result)
            with self.condition:
                if not has_failed:
                    self.batches.note_stored(batch, written)
                elif isinstance(result.failure(), NOT_EXECUTED):
                    self.batches.note_refused(batch, written)
                else:
                    self.batches.note_in_doubt(batch, written)
                self.is_confirming = not has_failed
                self.condition.notify_all()
            attempts_left = attempts_left - 1 if has_failed else WRITE_ATTEMPTS
            is_refused = has_failed and isinstance(result.failure(), NOT_EXECUTED)
            if is_refused or not attempts_left:
                return False

    def _share(self, records: list[OwnRecord]) -> None:
        """Sends records to peers that have not been sent to any yet."""
        if not self.holders.are_live():
            return
        with self.condition:
            streams = self.batches.take_unshared(records)
        if streams:
            self.holders.share(streams)

    def _wait_for_turn(self) -> None:
        """Waits until this instance may write to the store again."""
        self.stopping.wait(self._turn_wait_s())
        self.written_at = self.clock()

    def _turn_wait_s(self) -> float:
        """Returns the time until this instance may write."""
        spacing_s = self.instances() / (WRITE_SHARE * self.writes_per_s)
        return max(0.0, self.written_at + spacing_s - self.clock())

    def _remove_over(self) -> bool:
        """Removes batches in which no stream can live any more from the store."""
        while (name := self._next_over()) is not None:
            self._wait_for_turn()
            if self._has_failed(self.store.remove(name)):
                return False
            with self.condition:
                if name in self.batches.over:
                    self.batches.over.remove(name)
            self.seen.forget(name)
        return True

    def _next_over(self) -> str | None:
        with self.condition:
            own = self.batches.next_over()
        if own is not None:
            return own
        # Batches of earlier processes and of instances that have ended, and those whose
        # last write was in doubt.
        return next(iter(self.seen.over(self.history.stream_life_s)), None)

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
            if before is None and not self._are_defaults_current():
                # There may be one that the store has lost.
                continue
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

    def _call(self, call: Callable[[], Result]) -> Result:
        """Makes a call to the store, and notes whether it answers."""
        self.call_began_at = self.clock()
        try:
            result = call()
        finally:
            self.call_began_at = math.inf
        self.has_failed_call = isinstance(result, Failure)
        return result

    def _has_failed(self, result: Result) -> bool:
        if not isinstance(result, Failure):
            return False
        reason = str(result.failure())[:200]
        self.event_log.emit("stream_origins_delayed", reason=reason)
        return True

    def dump(self) -> dict:
        with self.condition:
            return self.history.dump() | {
                "own_records": self.batches.count(),
                "unrecorded": self.unrecorded,
                "held_records": len(self.held),
                "is_confirming": self.is_confirming,
                "are_complete": self.eras.is_complete(),
            }
