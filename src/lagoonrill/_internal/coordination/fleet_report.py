"""Reports which generation each zone and instance has in force."""

import enum
import time
from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from ..protocol.codec import from_json
from ..protocol.errors import LagoonrillError
from ..protocol.manifest import Manifest
from ..protocol.objects import (
    COMMITTED_NAME,
    PROPOSAL_NAME,
    ConfigRecord,
    VersionedObject,
)
from .fleet_survey import SILENCE_BEFORE_EXCLUSION_S, FleetSurvey, Member


class InstanceState(enum.StrEnum):
    """State of an instance; a zone has the worst state of its instances."""

    ACCEPTED = "accepted"
    STAGED = "staged"
    PENDING = "pending"
    REFUSED = "refused"
    EMPTY = "empty"


class InstanceReport(msgspec.Struct, kw_only=True):
    """State of one instance, with a reason if it is pending or refused."""

    zone: str
    instance: str
    state: InstanceState
    generation: int = 0
    reason: str = ""


class ZoneReport(msgspec.Struct, kw_only=True):
    """State of one availability zone; `empty` if it has no live instance."""

    zone: str
    state: InstanceState
    instances: list[InstanceReport] = []


class FleetReport(msgspec.Struct, kw_only=True):
    """Committed generation, open proposal and state of each zone and instance."""

    generation: int
    digest: str
    proposal_id: str
    open_proposal: str
    zones: list[ZoneReport]


def read_fleet(
    *,
    store,
    instance_list,
    clock: Callable[[], float] = time.monotonic,
    wall_clock: Callable[[], float] = time.time,
) -> Result[FleetReport, LagoonrillError]:
    """Returns the committed generation and the state of each zone and instance."""
    found = {}
    for name in (COMMITTED_NAME, PROPOSAL_NAME):
        match store.get(name):
            case Success(value):
                found[name] = decode_record(value)
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
    """Reports whether an instance has a generation, with this digest, in force."""
    status = member.status
    if status is None:
        return pending_report(member, "has not reported yet")
    if status.in_force == generation and status.digest == digest:
        return instance_report(member, InstanceState.ACCEPTED, "")
    if status.refused_proposal == proposal_id and status.refused_reason:
        return instance_report(member, InstanceState.REFUSED, status.refused_reason)
    reason = f"has generation {status.in_force} in force"
    if status.refused_reason:
        reason += f" ({status.refused_reason})"
    return pending_report(member, reason)


def zones_of(manifest: Manifest) -> set[str]:
    """Returns the zones that a manifest names."""
    return set(manifest.zones) | {endpoint.zone for endpoint in manifest.endpoints}


def group_by_zone(reports: list[InstanceReport], zones: set[str]) -> list[ZoneReport]:
    """Groups reports by zone; zones of the manifest without reports are `empty`."""
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


def instance_report(
    member: Member, state: InstanceState, reason: str
) -> InstanceReport:
    """Returns the report of an instance with a state and reason."""
    return InstanceReport(
        zone=member.zone,
        instance=member.instance,
        state=state,
        generation=member.status.in_force if member.status else 0,
        reason=reason,
    )


def pending_report(member: Member, reason: str) -> InstanceReport:
    """Returns the report of a pending instance.

    Adds to the reason the age of the last report and whether the instance is listed.
    """
    if member.status is not None:
        reason += f"; last report {max(0.0, member.silent_s):.0f} s ago"
    if not member.listed:
        reason += (
            "; not in the Instance list, left out after "
            f"{SILENCE_BEFORE_EXCLUSION_S:.0f} s of silence"
        )
    return instance_report(member, InstanceState.PENDING, reason)


def decode_record(found: VersionedObject | None) -> ConfigRecord | None:
    """Decodes a proposal or commit; returns None if it is absent or invalid."""
    if found is None:
        return None
    try:
        return from_json(found.value, ConfigRecord)
    except msgspec.DecodeError:
        return None
