"""Applies a manifest to the fleet: proposes, stages and commits it.

This is the side of the command-line tool. A run ends when all live instances have the
manifest in force.
"""

import enum
import hashlib
import time
import uuid
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from ..protocol.codec import to_json
from ..protocol.errors import (
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
    ConfigRecord,
)
from .fleet_report import (
    InstanceReport,
    InstanceState,
    ZoneReport,
    decode_record,
    group_by_zone,
    in_force_report,
    instance_report,
    pending_report,
    zones_of,
)
from .fleet_survey import FleetSurvey, Member

# The first polls of a stage follow each other closely, because a small fleet reports
# within milliseconds.
FIRST_POLL_INTERVAL_S = 0.02
LONGEST_POLL_INTERVAL_S = 0.2
RETRY_INTERVAL_S = 0.5
DEFAULT_TIMEOUT_S = 60.0
# No run keeps a proposal open for longer than this, so an older one is abandoned.
PROPOSAL_LIFETIME_S = 120.0
# The store accepts values up to 1 MB.
MAX_RECORD_BYTES = 1_000_000


class ApplyResult(enum.StrEnum):
    """Outcome of a run."""

    ACCEPTED = "accepted"
    PENDING = "pending"
    LOST_RACE = "lost_race"
    REFUSED = "refused"
    PLATFORM_ERROR = "platform_error"


class ApplyReport(msgspec.Struct, kw_only=True):
    """Report of a run.

    `committed` is None if the response to the commit write was lost and could not be
    recovered; the manifest may then still come into force. `written` tells whether this
    run wrote a proposal; it does not if the same manifest is already committed.
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


class Stage(enum.StrEnum):
    """Stages of a run, in this order."""

    READ = "read"
    PROPOSE = "propose"
    STAGE = "stage"
    COMMIT = "commit"
    IN_FORCE = "in_force"


def manifest_digest(manifest: Manifest) -> str:
    """Returns the SHA-256 of the manifest's canonical encoding."""
    return hashlib.sha256(to_json(manifest)).hexdigest()


class ManifestRollout:
    """One run that applies a manifest to the fleet.

    `run` repeats `step` until there is a report. Each step makes the calls of one
    stage. It can be retried after a failure, because writes are conditional and contain
    the id of this run's proposal.
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
        # The commit must be written before other runs treat the proposal as abandoned.
        self.deadline = self.started_at + timeout_s
        self.proposal_deadline = self.started_at + min(timeout_s, PROPOSAL_LIFETIME_S)
        self.poll_interval_s = FIRST_POLL_INTERVAL_S
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
        """Runs all stages and returns the report, at the latest after the timeout."""
        while True:
            stage = self.stage
            report = self.step()
            if report is not None:
                return report
            if self.clock() >= self._current_deadline():
                return self.give_up()
            if self.stage is not stage:
                self.poll_interval_s = FIRST_POLL_INTERVAL_S
            elif self._is_retrying():
                self.sleep(RETRY_INTERVAL_S)
            else:
                self.sleep(self.poll_interval_s)
                longer_s = self.poll_interval_s * 1.5
                self.poll_interval_s = min(longer_s, LONGEST_POLL_INTERVAL_S)

    def step(self) -> ApplyReport | None:
        """Runs the current stage once; returns the report if the run has ended."""
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
        """Ends a run that timed out and withdraws its proposal if it is still open."""
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
                committed = decode_record(found)
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
        other = decode_record(found)
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
        """Returns whether another run may still be waiting to commit this proposal."""
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
                # Retrying is safe: identical conditional writes take effect once.
                return self._wait(f"Object API: {error.message}")

    def _resolve_proposal(self) -> ApplyReport | None:
        match self.store.get(PROPOSAL_NAME):
            case Success(found):
                record = decode_record(found)
            case Failure(error):
                return self._wait(f"Object API: {error.message}")
        if record is not None and record.proposal_id == self.proposal_id:
            return self._proposed(found.version)
        if found is None:
            # Another run withdrew its proposal after this run had read it.
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
        """Returns a report if another run replaced the proposal or has committed."""
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
                return self._lost_race_report(decode_record(found))
        return None

    def _staging_report(self, member: Member) -> InstanceReport:
        status = member.status
        if status is None:
            return pending_report(member, "has not reported yet")
        if status.refused_proposal == self.proposal_id:
            return instance_report(member, InstanceState.REFUSED, status.refused_reason)
        if status.staged_proposal == self.proposal_id:
            return instance_report(member, InstanceState.STAGED, "")
        return pending_report(member, "has not staged the proposal")

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
        """Determines which run's commit caused the conflict."""
        match self.store.get(COMMITTED_NAME):
            case Success(found):
                record = decode_record(found)
            case Failure(error):
                return self._wait(f"commit write: {error.message}")
        if record is not None and record.proposal_id == self.proposal_id:
            return self._has_committed()
        self._withdraw()
        return self._lost_race_report(record)

    def _has_committed(self) -> None:
        self.committed = True
        self.stage = Stage.IN_FORCE
        self._rewrite_mark()

    def _lost_race_report(self, record: ConfigRecord | None) -> ApplyReport:
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
                record = decode_record(found)
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
        if self.written:
            self.survey.remove_abandoned()
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
        """Rewrites the mark that instances poll to detect changes early."""
        match self.store.get(CONFIG_MARK_NAME):
            case Success(None):
                self.store.create(CONFIG_MARK_NAME, self.proposal_id.encode())
            case Success(found):
                # A conflict means that another run rewrote it after this run's change.
                value = self.proposal_id.encode()
                self.store.update(CONFIG_MARK_NAME, value, version=found.version)

    def _withdraw(self) -> None:
        """Deletes this run's proposal, so that the next run need not wait for it."""
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
