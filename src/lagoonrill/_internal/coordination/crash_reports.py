"""Shares crashes of engines among the instances, with the prompts that may cause them.

The policy `crash_evidence` decides which prompts are refused. Reports are sent to all
peers at once, and to new peers when they appear. Each instance also avoids an engine
whose crash another one reports.
"""

import time
from collections.abc import Callable, Iterable

from ..event_log import EventLog
from ..protocol.messages import CrashReport
from ..protocol.routing import EndpointRecord, PromptPart
from ..state.endpoint_registry import EndpointRegistry
from ..transport.peer_link import PeerLink
from .crash_findings import CrashFindings
from .policy.crash_evidence import CrashEvidence


class CrashReports:
    """Records crashes with the parts of the prompts that had not begun."""

    def __init__(
        self,
        *,
        parts: CrashEvidence,
        registry: EndpointRegistry,
        event_log: EventLog,
        link: PeerLink | None = None,
        findings: CrashFindings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.parts = parts
        self.registry = registry
        self.event_log = event_log
        self.link = link
        self.findings = findings
        self.clock = clock
        if link is not None:
            link.register_handler(CrashReport, self.handle, inline=True)

    def report(
        self, record: EndpointRecord, *, request: str, suspects: list[str]
    ) -> None:
        """Records a crash that this instance has seen, and tells all peers."""
        report = CrashReport(
            service=record.service,
            endpoint=record.id,
            incarnation=record.incarnation,
            request=request,
            suspects=suspects,
        )
        self.event_log.emit(
            "endpoint_crashed",
            request=request,
            endpoint=record.id,
            service=record.service,
            suspects=suspects,
        )
        refused = self._record(report)
        if self.link is not None:
            self.link.send_to(self.link.addresses(), report)
        if self.findings is None:
            return
        if refused is not None:
            self.findings.add(record.service, refused)
        else:
            # An instance that is cut off from this one may know the cause.
            self.findings.refresh()

    def note_begun(self, service: str, parts: Iterable[str]) -> None:
        """Records the parts with which an answer has begun at this instance."""
        cleared = self.parts.note_begun(service, parts)
        if self.findings is not None:
            for group in cleared:
                self.findings.remove(service, group)

    def handle(self, report: CrashReport) -> None:
        """Records a crash that a peer reports, and avoids the engine."""
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
        self._record(report)

    def _record(self, report: CrashReport) -> list[str] | None:
        refused = self.parts.note_crash(
            report.service,
            f"{report.endpoint}/{report.incarnation}",
            request=report.request,
            suspects=report.suspects,
            at=self.clock() - report.age_s,
        )
        if refused is not None:
            self.event_log.emit(
                "prompt_parts_refused",
                service=report.service,
                parts=refused,
                source="crash",
            )
        return refused

    def send_all(self, addresses: set[str]) -> None:
        """Sends all known crashes to peers."""
        now = self.clock()
        for engine, crash in self.parts.reports():
            endpoint, _, incarnation = engine.rpartition("/")
            for request in set().union(*crash.suspects.values()):
                report = CrashReport(
                    service=crash.service,
                    endpoint=endpoint,
                    incarnation=int(incarnation),
                    request=request,
                    suspects=[
                        part
                        for part, requests in crash.suspects.items()
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
                self.parts.note_begun(record.service, [part.id for part in parts])
