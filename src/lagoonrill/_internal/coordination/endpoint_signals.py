"""Acts on what endpoints say of themselves in answers, and passes it to peers.

Load pattern: the store is slow or cut off while endpoints leave or get into need. Their
answers tell earlier, but each answer tells one instance only.
"""

import time
from collections.abc import Callable

import logbook

from ..event_log import EventLog
from ..protocol.answer_signals import AnswerSignals
from ..protocol.messages import LeavingReport
from ..protocol.routing import EndpointRecord
from ..state.endpoint_limits import LimitEvidence
from ..transport.peer_link import PeerLink
from .endpoint_discovery import EndpointDiscovery
from .send_permits import SendPermits

log = logbook.Logger("signals")


class EndpointSignals:
    """Takes the signals of all answers that this instance receives."""

    def __init__(
        self,
        *,
        instance: str,
        permits: SendPermits,
        event_log: EventLog,
        discovery: EndpointDiscovery | None = None,
        link: PeerLink | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.instance = instance
        self.permits = permits
        self.event_log = event_log
        self.discovery = discovery
        self.link = link
        self.clock = clock
        if link is not None:
            link.register_handler(LeavingReport, self.handle_leaving, inline=True)

    def note_answer(
        self,
        record: EndpointRecord,
        signals: AnswerSignals,
        *,
        sent_at: float,
        is_success: bool,
    ) -> None:
        """Takes the signals of the answer to a request sent at `sent_at`.

        A success is an answer of the endpoint itself, so one without a limit ends the
        limit; another program may have written an error.
        """
        self._note_limit(record, signals, sent_at, is_success)
        self._note_pause(record, signals, sent_at, is_success)
        if signals.leaving:
            self._note_leaving(record)

    def _note_pause(
        self,
        record: EndpointRecord,
        signals: AnswerSignals,
        sent_at: float,
        is_success: bool,
    ) -> None:
        key = (record.id, record.incarnation)
        if signals.invalid_pause is not None:
            text = signals.invalid_pause[:40]
            log.warning("{} names an invalid time to wait: {!r}", record.id, text)
        if signals.pause_s > 0:
            self.permits.pauses.begin(*key, signals.pause_s)
            self.event_log.emit(
                "endpoint_paused", endpoint=record.id, pause_s=signals.pause_s
            )
        elif is_success:
            self.permits.pauses.end(*key, sent_at=sent_at)

    def _note_limit(
        self,
        record: EndpointRecord,
        signals: AnswerSignals,
        sent_at: float,
        is_success: bool,
    ) -> None:
        if signals.invalid_limit is not None:
            text = signals.invalid_limit[:40]
            log.warning("{} names an invalid limit: {!r}", record.id, text)
            return
        if signals.request_limit is None and not is_success:
            return
        self.permits.note_answer(
            LimitEvidence(
                endpoint=record.id,
                incarnation=record.incarnation,
                limit=signals.request_limit,
                sent_at=sent_at,
                received_at=self.clock(),
            )
        )

    def _note_leaving(self, record: EndpointRecord) -> None:
        if self.discovery is None:
            return
        key = (record.id, record.incarnation)
        if self.discovery.note_announced(*key, source="answer") and self.link:
            report = LeavingReport(instance=self.instance, endpoints=[key])
            self.link.send_to(self.link.addresses(), report)

    def handle_leaving(self, report: LeavingReport) -> None:
        """Takes the departures that a peer has learned from answers."""
        for endpoint, incarnation in report.endpoints:
            self.discovery.note_announced(endpoint, incarnation, source=report.instance)

    def send_all(self, addresses: set[str]) -> None:
        """Tells peers all that endpoints have said and that still applies."""
        self.permits.send_all(addresses)
        if self.discovery is None or self.link is None:
            return
        announced = self.discovery.announced_departures()
        if announced:
            report = LeavingReport(instance=self.instance, endpoints=announced)
            self.link.send_to(addresses, report)
