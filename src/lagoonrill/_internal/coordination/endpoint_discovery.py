"""Endpoint discovery: turns store entries into the endpoints that receive requests.

Load pattern: during a store outage, entries of live endpoints expire. An endpoint whose
entry disappears around an outage is held for a short time, limited by the policy
`expired_entries`; an endpoint that has announced its departure is never held.
"""

import math
import threading
import time
from collections.abc import Callable

import msgspec

from ..event_log import EventLog
from ..protocol.routing import EndpointRecord, StorePosition
from ..state.endpoint_registry import EndpointRegistry
from .policy.expired_entries import ExpiredEntries
from .store_follower import StoreFollower

# A departed endpoint is remembered for this long, longer than the age of a copy from
# which a store comes back.
DEPARTED_LIFETIME_S = 120.0
MAX_DEPARTED = 5_000
# Entries that are not written expire after three heartbeats; an entry of a departed
# endpoint that outlives this time after a restore belongs to a live one.
RESTORED_ENTRY_S = 10.0


class EndpointDiscovery:
    """Applies entries from the store and from peers to the registry."""

    def __init__(
        self,
        *,
        registry: EndpointRegistry,
        expired_entries: ExpiredEntries,
        event_log: EventLog,
        changed: Callable[[], None],
        clock=time.monotonic,
    ):
        self.registry = registry
        self.expired_entries = expired_entries
        self.event_log = event_log
        self.changed = changed
        self.clock = clock
        self.lock = threading.Lock()
        self.position = StorePosition()
        # Endpoints that have left, with the time; an older copy may show them again.
        self.departed: dict[tuple[str, int], float] = {}
        # Endpoints that have announced that they leave, in the store or in an answer,
        # with the time.
        self.announced: dict[tuple[str, int], float] = {}
        # Entries of departed endpoints in a restored copy, as they stood there, and the
        # time until which these are believed to have left.
        self.doubted: dict[str, EndpointRecord] = {}
        self.doubted_until = 0.0
        # Time at which the present era of the store was first seen here.
        self.restored_at = -math.inf

    def apply(self, follower: StoreFollower) -> None:
        """Applies the entries of the store."""
        records = [
            item.content
            for item in follower.objects.values()
            if isinstance(item.content, EndpointRecord)
        ]
        hold_until = self.expired_entries.held_until(follower.outage)

        def limit(endpoint_id: str) -> float | None:
            if endpoint_id in follower.objects:
                # The entry exists but cannot be decoded, so it defines no endpoint.
                return None
            return self.registry.held_until.get(endpoint_id, hold_until)

        self._install(records, position=follower.position, limit=limit)

    def apply_from_peer(
        self,
        records: list[EndpointRecord],
        *,
        revision: int,
        held_for_s: dict[str, float],
        era: int = 0,
    ) -> bool:
        """Applies the endpoint list of a peer; returns False if it is older.

        `records` includes the endpoints in `held_for_s`, which have no entry; the value
        is the remaining hold time at the peer. Their holds end here no later than at
        the peer, and no later than the holds of this instance.
        """
        now = self.clock()

        def limit(endpoint_id: str) -> float | None:
            if endpoint_id not in held_for_s:
                return None
            own = self.registry.held_until.get(endpoint_id, math.inf)
            return min(own, now + held_for_s[endpoint_id])

        with_entry = [record for record in records if record.id not in held_for_s]
        # With no known endpoints, the whole list is new. Otherwise a held endpoint that
        # is unknown here has already left.
        new_records = (
            {} if self.registry.known else {record.id: record for record in records}
        )
        return self._install(
            with_entry,
            position=StorePosition(era, revision),
            limit=limit,
            new_records=new_records,
        )

    def note_announced(self, endpoint: str, incarnation: int, *, source: str) -> bool:
        """Records that an endpoint said in an answer that it leaves.

        The source is `answer`, or the peer that received it. It holds whatever the
        store says, until the endpoint starts again. Returns whether that is new.
        """
        key = (endpoint, incarnation)
        with self.lock:
            if key in self.announced:
                return False
            self._remember(self.announced, key)
            before = self.registry.records
            record = before.get(endpoint)
            is_known = record is not None and record.incarnation == incarnation
            if is_known and not record.leaving:
                leaving = msgspec.structs.replace(record, leaving=True)
                after = before | {endpoint: leaving}
                self.registry.replace(after, held_until=self.registry.held_until)
        self.event_log.emit("endpoint_announced", endpoint=endpoint, source=source)
        if is_known and not record.leaving:
            self._log_changes(before, after, self.position.revision)
            self.changed()
        return True

    def announced_departures(self) -> list[tuple[str, int]]:
        """Returns the known endpoints that have announced that they leave."""
        with self.lock:
            return [
                (endpoint, incarnation)
                for endpoint, incarnation in self.announced
                if (record := self.registry.records.get(endpoint)) is not None
                and record.incarnation == incarnation
            ]

    def _remember(self, table: dict, key: tuple[str, int]) -> None:
        """Adds a key to a table with the time."""
        table.pop(key, None)
        table[key] = self.clock()
        self._forget_old(table)

    def _forget_old(self, table: dict) -> None:
        """Removes the keys that are too many, or old and of no known endpoint."""
        oldest = self.clock() - DEPARTED_LIFETIME_S
        surplus = len(table) - MAX_DEPARTED
        for number, (key, at) in enumerate(list(table.items())):
            if number >= surplus and at >= oldest:
                return
            endpoint, incarnation = key
            record = self.registry.records.get(endpoint)
            is_known = record is not None and record.incarnation == incarnation
            if number < surplus or not is_known:
                del table[key]

    def snapshot(self) -> tuple[StorePosition, list[EndpointRecord], dict[str, float]]:
        """Returns the position, the endpoints and the remaining hold times.

        Endpoints whose entries are doubted are left out.
        """
        with self.lock:
            records = [
                record
                for name, record in self.registry.records.items()
                if name not in self.doubted
            ]
            return self.position, records, self.registry.held_for_s()

    def _install(
        self,
        records: list[EndpointRecord],
        *,
        position: StorePosition,
        limit: Callable[[str], float | None],
        new_records: dict[str, EndpointRecord] | None = None,
    ) -> bool:
        with self.lock:
            if position < self.position:
                return False
            is_restored = 0 < self.position.era < position.era
            before = self.registry.records
            hold_until = None
            if is_restored:
                hold_until = self.expired_entries.held_after_restore(self.clock())
                self._begin_doubt()
            self._doubt_departed(records)
            after = {
                record.id: self._with_departure(record, position) for record in records
            }
            candidates = before | (new_records or {})
            held = self._held(candidates, after, limit, hold_until, position)
            after |= {endpoint_id: candidates[endpoint_id] for endpoint_id in held}
            self.registry.replace(after, held_until=held)
            # Only now is the change in force; after an error it is applied again.
            self.position = position
            self._note_departed(before, after)
        self._log_changes(before, after, position.revision)
        self.changed()
        return True

    def _note_departed(
        self, before: dict[str, EndpointRecord], after: dict[str, EndpointRecord]
    ) -> None:
        """Remembers the endpoints that are no longer known."""
        for endpoint_id in before.keys() - after.keys():
            key = endpoint_id, before[endpoint_id].incarnation
            if key not in self.departed:
                self._remember(self.departed, key)
            if key in self.announced:
                self._remember(self.announced, key)
        self._forget_old(self.departed)
        for record in after.values():
            if not record.leaving:
                self.departed.pop((record.id, record.incarnation), None)

    def _begin_doubt(self) -> None:
        self.doubted = {}
        self.restored_at = self.clock()
        self.doubted_until = self.restored_at + RESTORED_ENTRY_S

    def _doubt_departed(self, records: list[EndpointRecord]) -> None:
        """Doubts the entries of departed endpoints in the lists of a restored store.

        The first list of an era may be one of a peer, which leaves such entries out. If
        such an endpoint is alive, it changes its entry, or the entry outlives the time
        after which the store removes those that are not written.
        """
        if self.clock() >= self.doubted_until:
            return
        for record in records:
            departed_at = self.departed.get((record.id, record.incarnation), math.inf)
            if departed_at <= self.restored_at:
                self.doubted.setdefault(record.id, record)

    def _with_departure(
        self, record: EndpointRecord, position: StorePosition
    ) -> EndpointRecord:
        """Returns the record, marked as leaving if its endpoint is known to leave.

        A delayed write by the endpoint may reach the store after a newer one and
        overwrite it, or the store comes back from a copy from before the departure.
        """
        key = (record.id, record.incarnation)
        if record.leaving:
            if key not in self.announced:
                self._remember(self.announced, key)
            return record
        doubted = self.doubted.get(record.id)
        if key in self.announced:
            reason = "announced"
        elif doubted == record:
            reason = "restored_entry"
        else:
            self.doubted.pop(record.id, None)
            return record
        self.event_log.emit(
            "endpoint_stays_leaving",
            endpoint=record.id,
            reason=reason,
            revision=position.revision,
        )
        return msgspec.structs.replace(record, leaving=True)

    def _held(
        self,
        candidates: dict[str, EndpointRecord],
        after: dict[str, EndpointRecord],
        limit: Callable[[str], float | None],
        hold_until: float | None,
        position: StorePosition,
    ) -> dict[str, float]:
        """Returns the hold end of each endpoint whose entry has disappeared.

        It is at least `hold_until`, if given.
        """
        known = self.registry.held_until
        now = self.clock()
        held = {}
        for endpoint_id, record in candidates.items():
            if endpoint_id in after or record.leaving:
                continue
            until = limit(endpoint_id)
            if hold_until is not None:
                until = max(until or 0.0, hold_until)
            if until is None or until <= now:
                continue
            held[endpoint_id] = until
            if endpoint_id not in known:
                self.event_log.emit(
                    "endpoint_held",
                    endpoint=endpoint_id,
                    service=record.service,
                    hold_s=round(until - now, 3),
                    revision=position.revision,
                )
        return held

    def expire_holds(self) -> None:
        """Removes the endpoints whose entries did not reappear before the hold end.

        Also ends the doubt about restored entries that are still there.
        """
        self._end_doubt()
        with self.lock:
            now = self.clock()
            known = self.registry.held_until
            held = {name: until for name, until in known.items() if until > now}
            if len(held) == len(known):
                return
            before = self.registry.records
            ended = known.keys() - held.keys()
            after = {n: record for n, record in before.items() if n not in ended}
            self._note_departed(before, after)
            self.registry.replace(after, held_until=held)
        self._log_changes(before, after, self.position.revision, gone="hold_ended")
        self.changed()

    def _end_doubt(self) -> None:
        with self.lock:
            if not self.doubted or self.clock() < self.doubted_until:
                return
            trusted, self.doubted = self.doubted, {}
            before = self.registry.records
            after = before | {
                name: self._with_departure(record, self.position)
                for name, record in trusted.items()
                if name in before
            }
            self._note_departed(before, after)
            self.registry.replace(after, held_until=self.registry.held_until)
        for name in trusted:
            self.event_log.emit("restored_entry_trusted", endpoint=name)
        self.changed()

    def _log_changes(
        self,
        before: dict[str, EndpointRecord],
        after: dict[str, EndpointRecord],
        revision: int,
        *,
        gone: str = "removed",
    ) -> None:
        for endpoint_id in before.keys() - after.keys():
            self.event_log.emit(
                "endpoint_gone",
                endpoint=endpoint_id,
                reason=gone,
                revision=revision,
            )
        for endpoint_id, record in after.items():
            known = before.get(endpoint_id)
            if known is None:
                self.event_log.emit(
                    "endpoint_found",
                    endpoint=endpoint_id,
                    service=record.service,
                    address=record.address,
                    leaving=record.leaving,
                    version=record.version,
                    revision=revision,
                )
            elif record.leaving and not known.leaving:
                self.event_log.emit(
                    "endpoint_leaving", endpoint=endpoint_id, revision=revision
                )
            elif record.incarnation != known.incarnation:
                self.event_log.emit(
                    "endpoint_restarted",
                    endpoint=endpoint_id,
                    version=record.version,
                    revision=revision,
                )
