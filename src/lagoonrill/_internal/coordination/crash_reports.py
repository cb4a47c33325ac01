"""Shares crashes of endpoints among the instances, with the requests on them.

The policy `crash_evidence` decides which requests are refused. Reports are sent to all
peers at once, and to new peers when they appear. Each instance also avoids an endpoint
whose crash another one reports.
"""

import time
from collections.abc import Callable, Iterable

from ..event_log import EventLog
from ..protocol.messages import CrashReport, SoundRequest
from ..protocol.routing import EndpointRecord, PromptPart
from ..state.endpoint_registry import EndpointRegistry
from ..transport.peer_link import PeerLink
from .crash_findings import CrashFindings, log_refused
from .policy.crash_evidence import Cause, CrashEvidence, Decision


class CrashReports:
    """Records crashes with the requests that were on the endpoints."""

    def __init__(
        self,
        *,
        evidence: CrashEvidence,
        registry: EndpointRegistry,
        event_log: EventLog,
        link: PeerLink | None = None,
        findings: CrashFindings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.evidence = evidence
        self.registry = registry
        self.event_log = event_log
        self.link = link
        self.findings = findings
        self.clock = clock
        if link is not None:
            link.register_handler(CrashReport, self.handle, inline=True)
            link.register_handler(SoundRequest, self.handle_sound, inline=True)

    def crashed_at(self, record: EndpointRecord) -> float | None:
        """Returns when this incarnation crashed, or None if no crash was reported."""
        key = crash_key(record.id, record.incarnation)
        crash = self.evidence.crashes.get(key)
        return None if crash is None else crash.at

    def report(
        self,
        record: EndpointRecord,
        *,
        request: str,
        fingerprint: str,
        begun: bool,
        ran_s: float,
        suspects: list[str],
    ) -> None:
        """Records a crash that this instance has seen, and tells all peers.

        `request` is the id of the attempt, for the log; it was sent `ran_s` before.
        """
        report = CrashReport(
            service=record.service,
            endpoint=record.id,
            incarnation=record.incarnation,
            request=fingerprint,
            begun=begun,
            ran_s=ran_s,
            suspects=suspects,
        )
        decision = self._record(report)
        self.event_log.emit(
            "endpoint_crashed",
            request=request,
            endpoint=record.id,
            service=record.service,
            fingerprint=fingerprint,
            begun=begun,
            crashes=self.evidence.crash_count(record.service, fingerprint),
            suspects=suspects,
        )
        if self.link is not None:
            self.link.send_to(self.link.addresses(), report)
        if self.findings is None:
            return
        for cause in decision.refused:
            self.findings.add(cause)
        self._remove(decision.cleared)
        if not decision.refused:
            # An instance that is cut off from this one may know the cause.
            self.findings.refresh()

    def note_begun(self, service: str, parts: Iterable[str]) -> None:
        """Records the parts with which an answer has begun at this instance."""
        self._remove(self.evidence.note_begun(service, parts))

    def note_answered(self, service: str, fingerprint: str) -> None:
        """Records that an endpoint has answered a request of this instance."""
        was_suspected, cleared = self.evidence.note_answered(service, fingerprint)
        if was_suspected and self.link is not None:
            message = SoundRequest(service=service, request=fingerprint)
            self.link.send_to(self.link.addresses(), message)
        self._remove(cleared)

    def _remove(self, cleared: Iterable[Cause]) -> None:
        if self.findings is not None:
            for cause in cleared:
                self.findings.remove(cause)

    def handle(self, report: CrashReport) -> None:
        """Records a crash that a peer reports, and avoids the endpoint."""
        record = self.registry.records.get(report.endpoint)
        if (
            record is not None
            and record.incarnation == report.incarnation
            and report.age_s == 0
            and self.registry.note_failure(record.id, unreachable=True)
        ):
            self.event_log.emit(
                "endpoint_suspect",
                endpoint=record.id,
                service=record.service,
                reason="a peer reports its crash",
            )
        # The instance that wrote a finding does not learn that it is wrong from a
        # crash of its own.
        self._remove(self._record(report).cleared)

    def handle_sound(self, message: SoundRequest) -> None:
        """Drops the evidence against a request that has been answered at a peer."""
        self.evidence.note_answered(message.service, message.request)

    def _record(self, report: CrashReport) -> Decision:
        decision = self.evidence.note_crash(
            report.service,
            crash_key(report.endpoint, report.incarnation),
            request=report.request,
            parts=report.suspects,
            begun=report.begun,
            ran_s=report.ran_s,
            at=self.clock() - report.age_s,
        )
        for cause in decision.refused:
            log_refused(self.event_log, cause, source="crash")
        for cause in decision.cleared:
            self.event_log.emit(
                "request_no_longer_refused",
                service=cause.service,
                fingerprint=cause.request,
            )
        return decision

    def send_all(self, addresses: set[str]) -> None:
        """Sends all known crashes to peers."""
        now = self.clock()
        for key, crash in self.evidence.reports():
            endpoint, _, incarnation = key.rpartition("/")
            for request, exposure in crash.requests.items():
                report = CrashReport(
                    service=crash.service,
                    endpoint=endpoint,
                    incarnation=int(incarnation),
                    request=request,
                    begun=exposure.begun,
                    ran_s=crash.at - exposure.sent_at,
                    suspects=[
                        part
                        for part, requests in crash.parts.items()
                        if request in requests
                    ],
                    age_s=now - crash.at,
                )
                self.link.send_to(addresses, report)

    def note_peer_reads(self, reads: Iterable[tuple[str, list[PromptPart]]]) -> None:
        """Records the parts with which answers have begun at a peer."""
        for engine, parts in reads:
            record = self.registry.records.get(engine)
            if record is not None:
                self.evidence.note_begun(record.service, [part.id for part in parts])


def crash_key(endpoint: str, incarnation: int) -> str:
    """Returns the name of one incarnation of an endpoint."""
    return f"{endpoint}/{incarnation}"
