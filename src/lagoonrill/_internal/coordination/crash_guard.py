"""Refuses requests that crash endpoints, and recognizes crashes of endpoints."""

import time

from ..protocol.refusals import Refusal
from ..protocol.routing import EndpointRecord
from ..state.endpoint_registry import EndpointRegistry
from ..transport.endpoint_connection import ConnectionPool, EndpointFailure
from .crash_reports import CrashReports
from .policy.crash_evidence import Cause, isolated_endpoint
from .sending import Sending

# An endpoint on a reachable machine accepts or refuses a connection within this time.
CRASH_CHECK_S = 0.1
CONNECTION_REFUSED = f"connect: {ConnectionRefusedError.__name__}"


class CrashGuard:
    """Checks requests before and after they are sent to endpoints."""

    def __init__(
        self,
        *,
        crash_reports: CrashReports,
        registry: EndpointRegistry,
        pool: ConnectionPool,
    ):
        self.crash_reports = crash_reports
        self.evidence = crash_reports.evidence
        self.registry = registry
        self.pool = pool

    def check(self, sending: Sending) -> None:
        """Raises `Refusal` for a request that is known to crash endpoints.

        The refusal is final: the request has not run, and a retry would not help.
        """
        cause = self._cause(sending)
        if cause is None:
            return
        if cause.request:
            self.crash_reports.event_log.emit(
                "crashing_request_stopped",
                request=sending.request.id,
                service=cause.service,
                fingerprint=cause.request,
            )
            raise Refusal(
                400,
                "request_crashes_endpoints",
                remedy="Change the request; it has not run this time.",
            )
        raise Refusal(
            400,
            "prompt_crashes_engines",
            remedy=f"Send it without the parts {', '.join(sorted(cause.parts))}.",
        )

    def refused_reason(self, sending: Sending) -> str:
        """Returns why a request was found to crash endpoints meanwhile, or nothing."""
        cause = self._cause(sending)
        if cause is None:
            return ""
        if cause.request:
            return "request_crashes_endpoints"
        return "prompt_crashes_engines"

    def _cause(self, sending: Sending) -> Cause | None:
        if not self.evidence.refused:
            return None
        return self.evidence.refusal(
            sending.request.service,
            request=sending.fingerprint,
            parts=sending.shared_parts,
        )

    def is_suspected(self, sending: Sending) -> bool:
        """Returns whether a crash speaks against the request."""
        if not self.evidence.crashes:
            return False
        service = sending.request.service
        return self.evidence.crash_count(service, sending.fingerprint) > 0

    def note_suspicion(self, sending: Sending) -> bool:
        """Returns whether a crash speaks against the request; its send asks again."""
        sending.was_suspected = self.is_suspected(sending)
        return sending.was_suspected

    def is_newly_suspected(self, sending: Sending) -> bool:
        """Returns whether a request became suspected after its endpoint was chosen."""
        return not sending.was_suspected and self.is_suspected(sending)

    def isolated(self, sending: Sending, endpoints: list[str]) -> list[str]:
        """Returns the endpoints to which a request may be sent.

        A request that was on a crashed endpoint has one of its own.
        """
        if not self.note_suspicion(sending) or not endpoints:
            return endpoints
        trusted = [name for name in endpoints if not self.registry.is_suspect(name)]
        return [isolated_endpoint(sending.fingerprint, trusted or endpoints)]

    def note_begun(self, sending: Sending) -> None:
        """Records that an answer to the request has begun."""
        self.crash_reports.note_begun(sending.request.service, sending.shared_parts)

    def note_answered(self, sending: Sending) -> None:
        """Records that an endpoint has answered the request and goes on."""
        if not self.evidence.is_empty():
            self.crash_reports.note_answered(
                sending.request.service, sending.fingerprint
            )

    def note_failure(
        self, sending: Sending, record: EndpointRecord, failure: EndpointFailure
    ) -> None:
        """Reports an endpoint that crashed while the request was on it."""
        if not (failure.may_have_run and self._was_on_crashed(sending, record)):
            return
        suspects = []
        if not sending.begun:
            suspects = self.evidence.suspects(record.service, sending.shared_parts)
        self.crash_reports.report(
            record,
            request=sending.request.id,
            fingerprint=sending.fingerprint,
            begun=sending.begun,
            ran_s=time.monotonic() - sending.sent_at,
            suspects=suspects,
        )

    def _was_on_crashed(self, sending: Sending, record: EndpointRecord) -> bool:
        """Returns whether an endpoint crashed after the request was sent to it."""
        crashed_at = self.crash_reports.crashed_at(record)
        if crashed_at is None:
            return self._has_crashed(record)
        # A connection that was idle at the crash fails when it is used.
        return sending.sent_at < crashed_at

    def _has_crashed(self, record: EndpointRecord) -> bool:
        """Returns whether an endpoint has ended without having announced it."""
        current = self.registry.records.get(record.id)
        if current is None or current.leaving:
            return False
        if current.incarnation != record.incarnation:
            return True
        return self._refuses_connections(record)

    def _refuses_connections(self, record: EndpointRecord) -> bool:
        """Returns whether no process listens at an endpoint.

        A connection may also fail while the endpoint keeps running.
        """
        connection = self.pool.new(record.address, incarnation=record.incarnation)
        try:
            connection.connect(time.monotonic() + CRASH_CHECK_S, None)
        except EndpointFailure as failure:
            return failure.reason == CONNECTION_REFUSED
        except TimeoutError:
            return False
        connection.close()
        return False
