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
from ..protocol.routing import EndpointRecord
from ..state.endpoint_registry import EndpointRegistry
from .policy.expired_entries import ExpiredEntries
from .store_follower import StoreFollower


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
        self.revision = 0

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

        self._install(records, revision=follower.revision, limit=limit)

    def apply_from_peer(
        self,
        records: list[EndpointRecord],
        *,
        revision: int,
        held_for_s: dict[str, float],
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
            with_entry, revision=revision, limit=limit, new_records=new_records
        )

    def snapshot(self) -> tuple[int, list[EndpointRecord], dict[str, float]]:
        """Returns the revision, the endpoints and the remaining hold times."""
        with self.lock:
            records = list(self.registry.records.values())
            return self.revision, records, self.registry.held_for_s()

    def _install(
        self,
        records: list[EndpointRecord],
        *,
        revision: int,
        limit: Callable[[str], float | None],
        new_records: dict[str, EndpointRecord] | None = None,
    ) -> bool:
        with self.lock:
            if revision < self.revision:
                return False
            self.revision = revision
            before = self.registry.records
            after = {
                record.id: self._preserve_leaving(record, before.get(record.id))
                for record in records
            }
            candidates = before | (new_records or {})
            held = self._held(candidates, after, limit)
            after |= {endpoint_id: candidates[endpoint_id] for endpoint_id in held}
            self.registry.replace(after, held_until=held)
        self._log_changes(before, after, revision)
        self.changed()
        return True

    def _preserve_leaving(
        self, record: EndpointRecord, known: EndpointRecord | None
    ) -> EndpointRecord:
        """Returns the record, marked as leaving if this incarnation announced it.

        A delayed write by the endpoint may reach the store after a newer one and
        overwrite it.
        """
        if (
            known is None
            or not known.leaving
            or record.leaving
            or record.incarnation != known.incarnation
        ):
            return record
        self.event_log.emit(
            "endpoint_stays_leaving", endpoint=record.id, revision=self.revision
        )
        return msgspec.structs.replace(record, leaving=True)

    def _held(
        self,
        candidates: dict[str, EndpointRecord],
        after: dict[str, EndpointRecord],
        limit: Callable[[str], float | None],
    ) -> dict[str, float]:
        """Returns the hold end of each endpoint whose entry has disappeared."""
        known = self.registry.held_until
        now = self.clock()
        held = {}
        for endpoint_id, record in candidates.items():
            if endpoint_id in after or record.leaving:
                continue
            until = limit(endpoint_id)
            if until is None or until <= now:
                continue
            held[endpoint_id] = until
            if endpoint_id not in known:
                self.event_log.emit(
                    "endpoint_held",
                    endpoint=endpoint_id,
                    service=record.service,
                    hold_s=round(until - now, 3),
                    revision=self.revision,
                )
        return held

    def expire_holds(self) -> None:
        """Removes the endpoints whose entries did not reappear before the hold end."""
        with self.lock:
            now = self.clock()
            known = self.registry.held_until
            held = {name: until for name, until in known.items() if until > now}
            if len(held) == len(known):
                return
            before = self.registry.records
            ended = known.keys() - held.keys()
            after = {n: record for n, record in before.items() if n not in ended}
            self.registry.replace(after, held_until=held)
        self._log_changes(before, after, self.revision, gone="hold_ended")
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
                    revision=revision,
                )
            elif record.leaving and not known.leaving:
                self.event_log.emit(
                    "endpoint_leaving", endpoint=endpoint_id, revision=revision
                )
            elif record.incarnation != known.incarnation:
                self.event_log.emit(
                    "endpoint_restarted", endpoint=endpoint_id, revision=revision
                )
