"""Determines which instances must accept a manifest, and their last status."""

import time
from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from ..protocol.codec import from_json
from ..protocol.errors import LagoonrillError, StoreError
from ..protocol.objects import (
    STATUS_PREFIX,
    InstanceStatus,
    ListedInstance,
    VersionedObject,
)

# Daemons continue unconfirmed after pauses of up to 30 s. The other 15 s cover the
# interval of status reports (10 s) and a clock skew of up to 5 s.
SILENCE_BEFORE_EXCLUSION_S = 45.0
# Instances that crash do not delete their status object. An accepted run deletes the
# status of instances that are not listed and have not reported for a day.
STATUS_RETENTION_S = 86_400.0
LIST_LIMIT = 500


class Member(msgspec.Struct, kw_only=True):
    """An instance that a rollout waits for, with its last status or None."""

    zone: str
    instance: str
    listed: bool
    silent_s: float
    status: InstanceStatus | None


class _FirstSeen(msgspec.Struct, kw_only=True):
    """When a version of a status object was first seen, on the monotonic clock."""

    version: int
    at: float


class FleetSurvey:
    """Determines which instances must accept a manifest, and their last status.

    These are the entry instances that are live in the Instance list, and those that are
    not listed but reported recently: the list shows new instances late, and an instance
    that was removed from it may still serve.
    """

    def __init__(
        self,
        *,
        store,
        instance_list,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self.store = store
        self.instance_list = instance_list
        self.clock = clock
        self.wall_clock = wall_clock
        self._seen: dict[str, _FirstSeen] = {}
        # Versions of status objects that no instance updates any more.
        self.abandoned: dict[str, int] = {}

    def members(self) -> Result[list[Member], LagoonrillError]:
        """Returns the required instances, or the error of the source that failed."""
        match self.instance_list.fetch():
            case Success(entries):
                listed = [entry for entry in entries if entry.role == "entry"]
            case failure:
                return failure
        match self._read_statuses():
            case Success(statuses):
                return Success(self._combine(listed, statuses))
            case failure:
                return failure

    def remove_abandoned(self) -> None:
        """Deletes the abandoned status objects found by the last call of `members`."""
        for key, version in self.abandoned.items():
            self.store.delete(STATUS_PREFIX + key, version=version)
        self.abandoned = {}

    def _read_statuses(self) -> Result[dict[str, InstanceStatus], StoreError]:
        statuses: dict[str, InstanceStatus] = {}
        after = ""
        while True:
            result = self.store.list(STATUS_PREFIX, after=after, limit=LIST_LIMIT)
            match result:
                case Success(page):
                    for found in page:
                        self._add_status(found, statuses)
                    if len(page) < LIST_LIMIT:
                        return Success(statuses)
                    after = page[-1].name
                case failure:
                    return failure

    def _add_status(
        self, found: VersionedObject, statuses: dict[str, InstanceStatus]
    ) -> None:
        key = found.name.removeprefix(STATUS_PREFIX)
        try:
            statuses[key] = from_json(found.value, InstanceStatus)
        except msgspec.DecodeError:
            # Treated as a missing status: a listed instance stays pending.
            return
        sighting = self._seen.get(key)
        if sighting is None or sighting.version != found.version:
            self._seen[key] = _FirstSeen(version=found.version, at=self.clock())

    def _combine(
        self, listed: list[ListedInstance], statuses: dict[str, InstanceStatus]
    ) -> list[Member]:
        members = []
        known = set()
        self.abandoned = {}
        for entry in listed:
            key = f"{entry.zone}/{entry.id}"
            known.add(key)
            if entry.state == "live":
                members.append(self._member(key, statuses.get(key), listed=True))
        for key, status in statuses.items():
            if key in known:
                continue
            member = self._member(key, status, listed=False)
            if member.silent_s <= SILENCE_BEFORE_EXCLUSION_S:
                members.append(member)
            elif member.silent_s > STATUS_RETENTION_S:
                self.abandoned[key] = self._seen[key].version
        return sorted(members, key=lambda member: (member.zone, member.instance))

    def _member(
        self, key: str, status: InstanceStatus | None, *, listed: bool
    ) -> Member:
        zone, _, instance = key.partition("/")
        silent_s = 0.0
        if status is not None:
            # The writer's clock may be ahead, so the time since this process saw the
            # status change is used if it is longer.
            by_wall_clock = self.wall_clock() - status.written_at
            silent_s = max(by_wall_clock, self.clock() - self._seen[key].at)
        return Member(
            zone=zone,
            instance=instance,
            listed=listed,
            silent_s=silent_s,
            status=status,
        )
