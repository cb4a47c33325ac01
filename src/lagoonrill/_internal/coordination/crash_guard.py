"""Refuses prompts that crash engines, and recognizes crashes of engines."""

import time

from ..protocol.refusals import Refusal
from ..protocol.routing import EndpointRecord
from ..transport.endpoint_connection import ConnectionPool, EndpointFailure
from .crash_reports import CrashReports
from .sending import Sending

# An engine on a reachable machine accepts or refuses a connection within this time.
CRASH_CHECK_S = 0.1
CONNECTION_REFUSED = f"connect: {ConnectionRefusedError.__name__}"


class CrashGuard:
    """Checks the prompts of requests before and after they are sent to engines."""

    def __init__(self, *, crash_reports: CrashReports, pool: ConnectionPool):
        self.crash_reports = crash_reports
        self.parts = crash_reports.parts
        self.pool = pool

    def check(self, sending: Sending) -> None:
        """Raises `Refusal` for a prompt that is known to crash engines.

        The refusal is final: the request has not run, and a retry would not help.
        """
        refused = self._refused(sending)
        if refused is not None:
            raise Refusal(
                400,
                "prompt_crashes_engines",
                remedy=f"Send it without the parts {', '.join(refused)}.",
            )

    def is_refused(self, sending: Sending) -> bool:
        """Returns whether the prompt was found to crash engines in the meantime."""
        return self._refused(sending) is not None

    def _refused(self, sending: Sending) -> list[str] | None:
        service = sending.request.service
        return self.parts.refused_parts(service, sending.shared_parts)

    def note_begun(self, sending: Sending) -> None:
        """Records that an answer to the request has begun."""
        self.crash_reports.note_begun(sending.request.service, sending.shared_parts)

    def note_failure(
        self, sending: Sending, record: EndpointRecord, failure: EndpointFailure
    ) -> None:
        """Reports an engine that crashed before it began to answer the request."""
        if not failure.may_have_run or sending.begun:
            return
        suspects = self.parts.suspects(record.service, sending.shared_parts)
        if suspects and self._refuses_connections(record):
            self.crash_reports.report(
                record, request=sending.request.id, suspects=suspects
            )

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
