"""The tool's side of a rollout: propose, stage, commit, wait for in force."""

import enum
import hashlib
import time
import uuid
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from ..protocol.codec import from_json, to_json
from ..protocol.errors import (
    LagoonrillError,
    StoreConflict,
    StoreError,
    StoreInDoubt,
    StoreRejected,
)
from ..protocol.manifest import Manifest
from ..protocol.objects import (
    COMMITTED_NAME,
    CONFIG_MARK_NAME,
    PROPOSAL_NAME,
    STATUS_PREFIX,
    ConfigRecord,
    InstanceStatus,
    ListedInstance,
    VersionedObject,
)

POLL_INTERVAL_S = 0.2
RETRY_INTERVAL_S = 0.5
DEFAULT_TIMEOUT_S = 60.0
# No tool waits longer than this with an open proposal, so an older one is abandoned.
PROPOSAL_LIFETIME_S = 120.0
# Daemons go on unconfirmed after pauses of up to 30 s. The rest covers the interval
# of status reports (10 s) and a difference between clocks of up to 5 s.
SILENCE_BEFORE_EXCLUSION_S = 45.0
# The store accepts values up to 1 MB.
MAX_RECORD_BYTES = 1_000_000
LIST_LIMIT = 500


class ApplyResult(enum.StrEnum):
    """How a run of the tool ended."""

    ACCEPTED = "accepted"
    PENDING = "pending"
    LOST_RACE = "lost_race"
    REFUSED = "refused"
    PLATFORM_ERROR = "platform_error"


class InstanceState(enum.StrEnum):
    """State of one instance, and of a zone as the worst of its instances."""

    ACCEPTED = "accepted"
    STAGED = "staged"
    PENDING = "pending"
    REFUSED = "refused"
    EMPTY = "empty"


class InstanceReport(msgspec.Struct, kw_only=True):
    """State of one instance, with the reason if it is pending or refused."""

    zone: str
    instance: str
    state: InstanceState
    generation: int = 0
    reason: str = ""


class ZoneReport(msgspec.Struct, kw_only=True):
    """State of one availability zone; `empty` if no instance is live there."""

    zone: str
    state: InstanceState
    instances: list[InstanceReport] = []


class ApplyReport(msgspec.Struct, kw_only=True):
    """What a run of the tool achieved.

    `committed` is None if the answer to the commit write was lost for good; the
    manifest may then still come into force. `written` says whether this run proposed
    anything; it does not if the same manifest was committed before.
    """

    result: ApplyResult
    stage: str
    generation: int
    base_generation: int
    proposal_id: str
    digest: str
    committed: bool | None
    written: bool
    reason: str = ""
    zones: list[ZoneReport] = []
    elapsed_s: float = 0.0


class FleetReport(msgspec.Struct, kw_only=True):
    """Committed generation, open proposal and state of each zone and instance."""

    generation: int
    digest: str
    proposal_id: str
    open_proposal: str
    zones: list[ZoneReport]


class Stage(enum.StrEnum):
    """Steps of a run, in this order."""

    READ = "read"
    PROPOSE = "propose"
    STAGE = "stage"
    COMMIT = "commit"
    IN_FORCE = "in_force"


class Member(msgspec.Struct, kw_only=True):
    """An instance that a rollout waits for, with its last status if there is one."""

    zone: str
    instance: str
    listed: bool
    silent_s: float
    status: InstanceStatus | None


def manifest_digest(manifest: Manifest) -> str:
    """Returns the SHA-256 of the manifest's canonical encoding."""
    return hashlib.sha256(to_json(manifest)).hexdigest()


class FleetSurvey:
    """Finds the instances that an acceptance needs and what they last reported.

    These are the entry instances that the Instance list shows live, and those that
    reported recently without being listed: the list lags behind starts, and an
    instance that it dropped may still serve.
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
        self._seen: dict[str, _Sighting] = {}

    def members(self) -> Result[list[Member], LagoonrillError]:
        """Returns the instances that count, or the error of the source that failed."""
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
            # Counts as no report: a listed instance stays pending.
            return
        sighting = self._seen.get(key)
        if sighting is None or sighting.version != found.version:
            self._seen[key] = _Sighting(version=found.version, at=self.clock())

    def _combine(
        self, listed: list[ListedInstance], statuses: dict[str, InstanceStatus]
    ) -> list[Member]:
        members = []
        known = set()
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
        return sorted(members, key=lambda member: (member.zone, member.instance))

    def _member(
        self, key: str, status: InstanceStatus | None, *, listed: bool
    ) -> Member:
        zone, _, instance = key.partition("/")
        silent_s = 0.0
        if status is not None:
            # The time since this process saw a change covers a writer whose clock
            # is ahead.
            by_wall_clock = self.wall_clock() - status.written_at
            silent_s = max(by_wall_clock, self.clock() - self._seen[key].at)
        return Member(
            zone=zone,
            instance=instance,
            listed=listed,
            silent_s=silent_s,
            status=status,
        )


class _Sighting(msgspec.Struct, kw_only=True):
    """When a version of a status object was first seen (monotonic seconds)."""

    version: int
    at: float


class ManifestRollout:
    """One run that brings the fleet in line with a manifest.

    `run` repeats `step` until there is a report. Each step makes the calls of one
    stage and can be repeated after a failure, because writes are conditional and
    carry the id of this run's proposal.
    """

    def __init__(
        self,
        *,
        manifest: Manifest,
        store,
        instance_list,
        base_generation: int | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
        on_progress: Callable[[str], None] = lambda text: None,
    ):
        self.manifest = manifest
        self.store = store
        self.expected_base = base_generation
        self.clock = clock
        self.wall_clock = wall_clock
        self.sleep = sleep
        self.on_progress = on_progress
        self.survey = FleetSurvey(
            store=store, instance_list=instance_list, clock=clock, wall_clock=wall_clock
        )
        self.stage = Stage.READ
        self.digest = manifest_digest(manifest)
        self.proposal_id = uuid.uuid4().hex
        self.started_at = clock()
        # The commit must come before another tool may regard the proposal as abandoned.
        self.deadline = self.started_at + timeout_s
        self.proposal_deadline = self.started_at + min(timeout_s, PROPOSAL_LIFETIME_S)
        self.generation = 0
        self.base_generation = 0
        self.base_version = 0
        self.base_proposal_id = ""
        self.proposal_version = 0
        self.record_value = b""
        self.committed: bool | None = False
        self.written = False
        self.commit_in_doubt = False
        self.waiting_for = ""
        self.zones: list[ZoneReport] = []

    def run(self) -> ApplyReport:
        """Runs all stages and returns the report, at the time-out at the latest."""
        while True:
            stage = self.stage
            report = self.step()
            if report is not None:
                return report
            if self.clock() >= self._current_deadline():
                return self.give_up()
            if self.stage is stage:
                self.sleep(RETRY_INTERVAL_S if self._is_retrying() else POLL_INTERVAL_S)

    def step(self) -> ApplyReport | None:
        """Does one round of the current stage; returns the report once there is one."""
        stage = self.stage
        steps = {
            Stage.READ: self._read,
            Stage.PROPOSE: self._propose,
            Stage.STAGE: self._check_staged,
            Stage.COMMIT: self._commit,
            Stage.IN_FORCE: self._check_in_force,
        }
        report = steps[stage]()
        if self.stage is not stage:
            self.waiting_for = ""
            self.on_progress(f"{self.stage}: generation {self.generation}")
        return report

    def give_up(self) -> ApplyReport:
        """Ends the run at its time-out and withdraws a proposal that is still open."""
        if self.stage in (Stage.READ, Stage.PROPOSE):
            self._withdraw()
            return self._report(ApplyResult.PLATFORM_ERROR, self.waiting_for)
        if self.stage is Stage.STAGE:
            self._withdraw()
        if self.stage is Stage.COMMIT:
            self.committed = None if self.commit_in_doubt else False
        return self._report(ApplyResult.PENDING, self.waiting_for)

    def _current_deadline(self) -> float:
        return self.deadline if self.stage is Stage.IN_FORCE else self.proposal_deadline

    def _is_retrying(self) -> bool:
        return self.stage in (Stage.READ, Stage.PROPOSE, Stage.COMMIT)

    # Read and propose

    def _read(self) -> ApplyReport | None:
        match self.store.get(COMMITTED_NAME):
            case Success(found):
                committed = _decode_record(found)
            case Failure(error):
                return self._wait(f"Object API: {error.message}")
        if found is not None and committed is None:
            reason = f"{COMMITTED_NAME} cannot be read by this version of the tool"
            return self._report(ApplyResult.PLATFORM_ERROR, reason)
        if committed is not None:
            self.base_version = found.version
            self.base_generation = committed.generation
            self.base_proposal_id = committed.proposal_id
            if committed.manifest == self.manifest:
                return self._use_committed(committed)
        self.generation = self.base_generation + 1
        if self.expected_base not in (None, self.base_generation):
            reason = (
                f"the manifest was generated from generation {self.expected_base}, "
                f"but generation {self.base_generation} is committed"
            )
            return self._report(ApplyResult.LOST_RACE, reason)
        return self._read_proposal()

    def _use_committed(self, committed: ConfigRecord) -> None:
        self.generation = committed.generation
        self.base_generation = committed.base_generation
        self.proposal_id = committed.proposal_id
        self.digest = committed.digest
        self.committed = True
        self.stage = Stage.IN_FORCE

    def _read_proposal(self) -> ApplyReport | None:
        match self.store.get(PROPOSAL_NAME):
            case Success(found):
                self.proposal_version = found.version if found else 0
            case Failure(error):
                return self._wait(f"Object API: {error.message}")
        other = _decode_record(found)
        if other is not None and self._is_open(other):
            age_s = self.wall_clock() - other.written_at
            reason = (
                f"proposal {other.proposal_id} for generation {other.generation} "
                f"was written {age_s:.0f} s ago and is still open"
            )
            return self._report(ApplyResult.LOST_RACE, reason)
        self.record_value = to_json(
            ConfigRecord(
                generation=self.generation,
                base_generation=self.base_generation,
                base_proposal_id=self.base_proposal_id,
                proposal_id=self.proposal_id,
                digest=self.digest,
                manifest=self.manifest,
                written_at=self.wall_clock(),
            )
        )
        if len(self.record_value) > MAX_RECORD_BYTES:
            reason = (
                f"the manifest takes {len(self.record_value)} bytes; the store accepts "
                f"{MAX_RECORD_BYTES}"
            )
            return self._report(ApplyResult.REFUSED, reason)
        self.stage = Stage.PROPOSE
        return None

    def _is_open(self, other: ConfigRecord) -> bool:
        """Says whether another run may still be waiting to commit this proposal."""
        if other.base_generation != self.base_generation:
            return False
        age_s = self.wall_clock() - other.written_at
        return abs(age_s) <= PROPOSAL_LIFETIME_S

    def _propose(self) -> ApplyReport | None:
        result = self._write(PROPOSAL_NAME, self.proposal_version)
        match result:
            case Success(version):
                return self._proposed(version)
            case Failure(StoreConflict()):
                return self._resolve_proposal()
            case Failure(StoreRejected() as error):
                return self._report(ApplyResult.PLATFORM_ERROR, error.message)
            case Failure(error):
                # An identical conditional write takes effect at most once.
                return self._wait(f"Object API: {error.message}")

    def _resolve_proposal(self) -> ApplyReport | None:
        match self.store.get(PROPOSAL_NAME):
            case Success(found):
                record = _decode_record(found)
            case Failure(error):
                return self._wait(f"Object API: {error.message}")
        if record is not None and record.proposal_id == self.proposal_id:
            return self._proposed(found.version)
        if found is None:
            # Another run withdrew its proposal after it was read here.
            self.stage = Stage.READ
            return None
        reason = "another proposal was written first"
        if record is not None:
            reason = f"proposal {record.proposal_id} was written first"
        return self._report(ApplyResult.LOST_RACE, reason)

    def _proposed(self, version: int) -> None:
        self.proposal_version = version
        self.written = True
        self.stage = Stage.STAGE
        self._rewrite_mark()

    # Stage and commit

    def _check_staged(self) -> ApplyReport | None:
        lost = self._find_competitor()
        if lost is not None:
            return lost
        members = self._members()
        if members is None:
            return None
        self._set_zones([self._staging_report(member) for member in members])
        states = {report.state for zone in self.zones for report in zone.instances}
        if InstanceState.REFUSED in states:
            self._withdraw()
            return self._report(ApplyResult.REFUSED, "an instance refused the manifest")
        if InstanceState.PENDING in states:
            return self._wait("not every live instance has staged the manifest")
        self.stage = Stage.COMMIT
        return None

    def _find_competitor(self) -> ApplyReport | None:
        """Returns a report if another run replaced the proposal or committed."""
        match self.store.get(PROPOSAL_NAME):
            case Success(None):
                reason = "the proposal was removed by another run"
                return self._report(ApplyResult.LOST_RACE, reason)
            case Success(found) if found.version != self.proposal_version:
                reason = "the proposal was replaced by another run's"
                return self._report(ApplyResult.LOST_RACE, reason)
        match self.store.get(COMMITTED_NAME):
            case Success(found) if found and found.version != self.base_version:
                self._withdraw()
                return self._lost_commit(_decode_record(found))
        return None

    def _staging_report(self, member: Member) -> InstanceReport:
        status = member.status
        if status is None:
            return _pending(member, "has not reported yet")
        if status.refused_proposal == self.proposal_id:
            return _instance_report(
                member, InstanceState.REFUSED, status.refused_reason
            )
        if status.staged_proposal == self.proposal_id:
            return _instance_report(member, InstanceState.STAGED, "")
        return _pending(member, "has not staged the proposal")

    def _commit(self) -> ApplyReport | None:
        result = self._write(COMMITTED_NAME, self.base_version)
        match result:
            case Success(_):
                return self._has_committed()
            case Failure(StoreConflict()):
                return self._resolve_commit()
            case Failure(StoreRejected() as error):
                self._withdraw()
                return self._report(ApplyResult.PLATFORM_ERROR, error.message)
            case Failure(error):
                self.commit_in_doubt |= isinstance(error, StoreInDoubt)
                return self._wait(f"commit write: {error.message}")

    def _resolve_commit(self) -> ApplyReport | None:
        """Finds out whose commit made the write's condition false."""
        match self.store.get(COMMITTED_NAME):
            case Success(found):
                record = _decode_record(found)
            case Failure(error):
                return self._wait(f"commit write: {error.message}")
        if record is not None and record.proposal_id == self.proposal_id:
            return self._has_committed()
        self._withdraw()
        return self._lost_commit(record)

    def _has_committed(self) -> None:
        self.committed = True
        self.stage = Stage.IN_FORCE
        self._rewrite_mark()

    def _lost_commit(self, record: ConfigRecord | None) -> ApplyReport:
        if record is None:
            reason = "another manifest was committed"
            return self._report(ApplyResult.LOST_RACE, reason)
        reason = f"generation {record.generation} of another run was committed"
        if record.base_proposal_id == self.proposal_id:
            self.committed = True
            reason = f"committed, then replaced by generation {record.generation}"
        elif self.commit_in_doubt and record.generation > self.generation:
            self.committed = None
            reason += "; whether this manifest preceded it is not known"
        return self._report(ApplyResult.LOST_RACE, reason)

    # In force

    def _check_in_force(self) -> ApplyReport | None:
        match self.store.get(COMMITTED_NAME):
            case Success(found):
                record = _decode_record(found)
            case Failure(error):
                return self._wait(f"Object API: {error.message}")
        if record is None or record.proposal_id != self.proposal_id:
            return self._superseded(record)
        members = self._members()
        if members is None:
            return None
        self._set_zones([self._in_force_report(member) for member in members])
        reports = [report for zone in self.zones for report in zone.instances]
        if any(report.state is not InstanceState.ACCEPTED for report in reports):
            return self._wait("not every live instance has the manifest in force")
        self._withdraw()
        return self._report(ApplyResult.ACCEPTED, "")

    def _superseded(self, record: ConfigRecord | None) -> ApplyReport:
        later = f"generation {record.generation}" if record else "another manifest"
        reason = f"committed, then replaced by {later} before every instance had it"
        return self._report(ApplyResult.LOST_RACE, reason)

    def _in_force_report(self, member: Member) -> InstanceReport:
        return in_force_report(
            member,
            generation=self.generation,
            digest=self.digest,
            proposal_id=self.proposal_id,
        )

    # Helpers

    def _members(self) -> list[Member] | None:
        match self.survey.members():
            case Success(members):
                return members
            case Failure(error):
                self._wait(f"the live instances are not known: {error.message}")
        return None

    def _set_zones(self, reports: list[InstanceReport]) -> None:
        self.zones = group_by_zone(reports, zones_of(self.manifest))

    def _write(self, name: str, version: int) -> Result[int, StoreError]:
        if version == 0:
            return self.store.create(name, self.record_value)
        return self.store.update(name, self.record_value, version=version)

    def _rewrite_mark(self) -> None:
        """Tells the instances' polls of a change; without it they find out later."""
        match self.store.get(CONFIG_MARK_NAME):
            case Success(None):
                self.store.create(CONFIG_MARK_NAME, self.proposal_id.encode())
            case Success(found):
                # A conflict means that another run rewrote it after this run's change.
                value = self.proposal_id.encode()
                self.store.update(CONFIG_MARK_NAME, value, version=found.version)

    def _withdraw(self) -> None:
        """Removes this run's proposal, so that the next run need not wait for it."""
        if not self.written:
            return
        self.store.delete(PROPOSAL_NAME, version=self.proposal_version)
        self._rewrite_mark()

    def _wait(self, reason: str) -> None:
        if reason != self.waiting_for:
            self.on_progress(f"{self.stage}: {reason}")
        self.waiting_for = reason

    def _report(self, result: ApplyResult, reason: str) -> ApplyReport:
        return ApplyReport(
            result=result,
            stage=self.stage,
            generation=self.generation,
            base_generation=self.base_generation,
            proposal_id=self.proposal_id,
            digest=self.digest,
            committed=self.committed,
            written=self.written,
            reason=reason,
            zones=self.zones,
            elapsed_s=round(self.clock() - self.started_at, 3),
        )


def read_fleet(
    *,
    store,
    instance_list,
    clock: Callable[[], float] = time.monotonic,
    wall_clock: Callable[[], float] = time.time,
) -> Result[FleetReport, LagoonrillError]:
    """Returns the committed generation and what each instance has in force."""
    found = {}
    for name in (COMMITTED_NAME, PROPOSAL_NAME):
        match store.get(name):
            case Success(value):
                found[name] = _decode_record(value)
            case failure:
                return failure
    committed, proposal = found[COMMITTED_NAME], found[PROPOSAL_NAME]
    survey = FleetSurvey(
        store=store, instance_list=instance_list, clock=clock, wall_clock=wall_clock
    )
    match survey.members():
        case Success(members):
            reports = [
                in_force_report(
                    member,
                    generation=committed.generation if committed else 0,
                    digest=committed.digest if committed else "",
                    proposal_id=committed.proposal_id if committed else "",
                )
                for member in members
            ]
        case failure:
            return failure
    generation = committed.generation if committed else 0
    is_open = proposal is not None and proposal.base_generation == generation
    zones = zones_of(committed.manifest) if committed else set()
    return Success(
        FleetReport(
            generation=generation,
            digest=committed.digest if committed else "",
            proposal_id=committed.proposal_id if committed else "",
            open_proposal=proposal.proposal_id if is_open else "",
            zones=group_by_zone(reports, zones),
        )
    )


def in_force_report(
    member: Member, *, generation: int, digest: str, proposal_id: str
) -> InstanceReport:
    """Says whether an instance has a generation (with its digest) in force."""
    status = member.status
    if status is None:
        return _pending(member, "has not reported yet")
    if status.in_force == generation and status.digest == digest:
        return _instance_report(member, InstanceState.ACCEPTED, "")
    if status.refused_proposal == proposal_id and status.refused_reason:
        return _instance_report(member, InstanceState.REFUSED, status.refused_reason)
    reason = f"has generation {status.in_force} in force"
    if status.refused_reason:
        reason += f" ({status.refused_reason})"
    return _pending(member, reason)


def zones_of(manifest: Manifest) -> set[str]:
    """Returns the zones that a manifest names."""
    return set(manifest.zones) | {endpoint.zone for endpoint in manifest.endpoints}


def group_by_zone(reports: list[InstanceReport], zones: set[str]) -> list[ZoneReport]:
    """Groups reports by zone; a zone of the manifest without any is `empty`."""
    worst = (InstanceState.REFUSED, InstanceState.PENDING, InstanceState.STAGED)
    grouped = []
    for zone in sorted(zones | {report.zone for report in reports}):
        inside = [report for report in reports if report.zone == zone]
        states = {report.state for report in inside}
        state = next((state for state in worst if state in states), None)
        if state is None:
            state = InstanceState.ACCEPTED if inside else InstanceState.EMPTY
        grouped.append(ZoneReport(zone=zone, state=state, instances=inside))
    return grouped


def _instance_report(
    member: Member, state: InstanceState, reason: str
) -> InstanceReport:
    return InstanceReport(
        zone=member.zone,
        instance=member.instance,
        state=state,
        generation=member.status.in_force if member.status else 0,
        reason=reason,
    )


def _pending(member: Member, reason: str) -> InstanceReport:
    """Reports a pending instance and adds what its silence and the list say."""
    if member.status is not None:
        reason += f"; last report {max(0.0, member.silent_s):.0f} s ago"
    if not member.listed:
        reason += (
            "; not in the Instance list, left out after "
            f"{SILENCE_BEFORE_EXCLUSION_S:.0f} s of silence"
        )
    return _instance_report(member, InstanceState.PENDING, reason)


def _decode_record(found: VersionedObject | None) -> ConfigRecord | None:
    if found is None:
        return None
    try:
        return from_json(found.value, ConfigRecord)
    except msgspec.DecodeError:
        return None
