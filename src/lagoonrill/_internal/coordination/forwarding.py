"""Sends a request to endpoints until one answers, and relays the answer.

A request that may have run is retried only if its route is repeatable. A caller gets
"not run" (503) only if no endpoint can have run the request.
"""

import contextlib
import time
import zlib
from collections.abc import Callable

from ..duties.usage import UsageLedger
from ..event_log import EventLog
from ..memory.account import AccountPart
from ..memory.answers import AnswerShare
from ..protocol.answer_signals import read_signals
from ..protocol.headers import (
    CONNECTION_HEADERS,
    HeaderNames,
    RawHeaders,
    parse_prompt_parts,
)
from ..protocol.refusals import Refusal
from ..protocol.routing import EndpointRecord, RouteKind
from ..protocol.sse import (
    MAX_EVENT_BYTES,
    EventTooLarge,
    RawEventSplitter,
    event_id,
)
from ..state.endpoint_registry import EndpointRegistry
from ..state.gateway_metrics import GatewayMetrics
from ..state.route_table import RoutingState
from ..transport.caller_connection import CallerConnection
from ..transport.endpoint_connection import (
    MIN_CHUNK_COST_BYTES,
    NO_ANSWER_MEMORY,
    ConnectionPool,
    EndpointConnection,
    EndpointFailure,
    NoAnswerMemory,
    ResponseHead,
)
from ..transport.sockets import CallerGone
from .crash_guard import CrashGuard
from .crash_reports import CrashReports
from .endpoint_signals import EndpointSignals
from .engine_admission import EngineAdmission
from .engine_eligibility import SendingEligibility, stream_version_gone
from .engine_requests import Admission, Generation
from .policy.shared_retry_budget import SharedRetryBudget
from .routed_request import RequestResolver, RoutedRequest
from .sending import Answer, CallerBreak, Outcome, Rerouted, Sending, Silent
from .service_selection import ServiceSelection
from .stream_origins import StreamOrigins
from .stream_records import Begin

# Maximum number of failed connection attempts per request; they do not count as sends.
MAX_CONNECT_FAILURES = 4
# A request that must not be repeated reuses only a connection that the endpoint cannot
# have closed yet: some endpoints drop connections after 0.3 s without traffic.
MAX_IDLE_UNREPEATABLE_S = 0.25
MAX_IDLE_REPEATABLE_S = 10.0
# A repeatable call without an answer after this fraction of its goal is sent to another
# endpoint.
SILENT_SHARE_OF_GOAL = 0.75
MIN_SILENT_S = 0.2
# A resumable stream without events for this many pause goals is resumed on another
# endpoint; the caller times out after eight pause goals.
STALLED_PAUSE_GOALS = 5.0
MIN_STALL_S = 1.2
# A resumable stream without its first event is sent to another endpoint after this many
# goals; the caller times out after four.
STALLED_FIRST_EVENT_GOALS = 2.0
RETRY_AFTER_S = 0.3
# While the store takes no records, callers of new streams return after this time.
RECORD_RETRY_AFTER_S = 1.0
EVENT_STREAM_TYPE = "text/event-stream"
# An endpoint stops at the time limit that it was given. An answer cut off within this
# time before the limit does not count as an endpoint failure.
TIME_LIMIT_SLACK_S = 0.5
# Statuses that tell the caller "not run"; only the router itself may return them.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Outcome of a request that goes elsewhere by a newer configuration.
REROUTED = "rerouted"
# Outcomes that say nothing about the engine that was sent the request.
ORIGIN_UNRECORDED = "origin_unrecorded"
SOUND_ENGINE_REASONS = frozenset(("time_limit", ORIGIN_UNRECORDED, NO_ANSWER_MEMORY))
# Callers may send ids of any length.
MAX_LOGGED_ID_CHARACTERS = 64


class Forwarder:
    """Forwards routed requests to endpoints."""

    def __init__(
        self,
        *,
        header_names: HeaderNames,
        registry: EndpointRegistry,
        pool: ConnectionPool,
        admission: EngineAdmission,
        signals: EndpointSignals,
        crash_reports: CrashReports,
        zone: str,
        budget: SharedRetryBudget,
        origins: StreamOrigins,
        answer_memory: AccountPart,
        instances,
        list_age_s: Callable[[], float],
        list_confirmed_by: Callable[[], str],
        routing: RoutingState,
        metrics: GatewayMetrics,
        event_log: EventLog,
    ):
        self.header_names = header_names
        self.resolver = RequestResolver(header_names=header_names)
        self.routing = routing
        self.registry = registry
        self.pool = pool
        self.admission = admission
        self.signals = signals
        self.permits = signals.permits
        self.crash_guard = CrashGuard(
            crash_reports=crash_reports, registry=registry, pool=pool
        )
        self.selection = ServiceSelection(
            zone=zone,
            registry=registry,
            permits=signals.permits,
            crash_guard=self.crash_guard,
        )
        self.budget = budget
        self.origins = origins
        self.answer_memory = answer_memory
        self.instances = instances
        # Age and source of the evidence that the endpoint list is current.
        self.list_age_s = list_age_s
        self.list_confirmed_by = list_confirmed_by
        self.metrics = metrics
        self.event_log = event_log
        # Counts requests for usage reports; None if there are none.
        self.usage: UsageLedger | None = None

    def serve(self, request: RoutedRequest, caller: CallerConnection) -> None:
        """Answers a request; raises `Refusal` or `CallerGone`."""
        share = AnswerShare(memory=self.answer_memory)
        sending = Sending(request=request, caller=caller, share=share)
        self._find_version(sending)
        try:
            self._send_until_answered(sending)
        except (CallerGone, CallerBreak) as error:
            error.progress = sending.timing()
            raise
        finally:
            # Until now, a slow caller may not have taken the whole answer.
            share.close()

    def _find_version(self, sending: Sending) -> None:
        """Finds the version that a stream has to go on at; raises `Refusal`."""
        request = sending.request
        if not (request.route.resumable and request.resume_after):
            return
        version = self.origins.version_of(request.service, request.resumes)
        if version is None:
            raise Refusal(
                503,
                "stream_origin_unknown",
                remedy="Retry after the time given, or begin a new stream.",
                retry_after_s=max(RETRY_AFTER_S, self.origins.known_after_s()),
            )
        sending.version = version
        sending.origin_known = True
        if not any(map(sending.may_use, self.registry.ready(request.service))):
            raise stream_version_gone()

    def _send_until_answered(self, sending: Sending) -> None:
        while True:
            outcome = self._send_once(sending)
            if outcome is None:
                return
            self._note_outcome(sending, outcome)
            if sending.refusal is not None:
                self._give_up_refused(sending, sending.refusal)
                return
            if not self._may_retry(sending):
                self._give_up(sending)
                return

    def _count_begun_stream(self, sending: Sending) -> None:
        """Counts a stream at its first event; a resumed one was counted before."""
        if sending.request.resume_after is None:
            self._count_begun(sending, None)

    def _count_begun_call(self, sending: Sending) -> None:
        """Counts a plain call that has or may have run, at the time of its send."""
        if sending.request.route.kind is not RouteKind.STREAM:
            self._count_begun(sending, sending.sent_at)

    def _count_begun(self, sending: Sending, at: float | None) -> None:
        if self.usage is not None and not sending.is_counted:
            sending.is_counted = True
            self.usage.note_begun(sending.request.team, at)

    def _note_outcome(self, sending: Sending, outcome: Outcome) -> None:
        if outcome.may_have_run:
            self._count_begun_call(sending)
        sending.may_have_run |= outcome.may_have_run
        sending.last_reason = outcome.reason
        if outcome.answer is not None:
            sending.last_failure = outcome.answer
        if sending.last_failure is None:
            sending.share.close()
        self.event_log.emit(
            "send_failed",
            request=sending.request.id,
            route=sending.request.route.name,
            endpoint=sending.endpoint,
            begun=sending.begun,
            fingerprint=sending.fingerprint,
            parts=sending.shared_parts,
            reason=outcome.reason,
            may_have_run=outcome.may_have_run,
            sends=sending.sends,
            time_left_s=round(sending.request.deadline - time.monotonic(), 3),
        )
        self.metrics.count("send_failures", reason=outcome.reason.partition(":")[0])

    def _may_retry(self, sending: Sending) -> bool:
        request = sending.request
        route = request.route
        if time.monotonic() >= request.deadline:
            return False
        if sending.connect_failures > MAX_CONNECT_FAILURES:
            return False
        if sending.sends == 0:
            return True
        if sending.sends >= route.max_endpoints:
            return False
        if sending.may_have_run and not route.repeatable:
            return False
        if not self._has_untried_endpoint(sending):
            return False
        allowed = self.budget.allow(request.service, instances=self.instances())
        if not allowed:
            sending.last_reason += " (no retry budget left)"
        return allowed

    def _has_untried_endpoint(self, sending: Sending) -> bool:
        ready = self.registry.ready(sending.request.service)
        return any(
            sending.may_use(record) and not self.permits.is_held(record)
            for record in ready
        )

    def _give_up(self, sending: Sending) -> None:
        """Answers a request that is not retried."""
        request = sending.request
        late = time.monotonic() >= request.deadline
        if sending.stream_started:
            raise CallerBreak(sending.last_reason)
        if sending.last_failure is not None and not late:
            self._answer(sending, sending.last_failure)
            return
        if late and sending.may_have_run:
            raise Refusal(504, "timeout", remedy="Allow more time.")
        if sending.last_reason.startswith(ORIGIN_UNRECORDED):
            raise origin_not_recorded(has_run=True)
        if sending.may_have_run:
            raise Refusal(
                502,
                "endpoint_failed",
                remedy="The request may have run; check before it is repeated.",
            )
        ready = self.registry.ready(request.service)
        held_s = min((self.permits.held_for_s(item) for item in ready), default=0.0)
        # Callers that wait for the same endpoints do not return at the same moment.
        spread = zlib.crc32(request.id.encode()) / 2**32
        raise Refusal(
            503,
            "endpoints_unavailable",
            remedy="Retry after the time given.",
            retry_after_s=max(RETRY_AFTER_S, held_s * (1 + spread)),
        )

    def _give_up_refused(self, sending: Sending, refusal: Refusal) -> None:
        """Answers a request that is refused; raises the refusal if it has not run."""
        if not (sending.may_have_run or sending.stream_started):
            raise refusal
        # The request may have run on another endpoint, so "not run" would be wrong.
        sending.last_reason += f" ({refusal.reason})"
        self._give_up(sending)

    def _send_once(self, sending: Sending) -> Outcome | None:
        """Sends to one endpoint; returns None once the caller has its answer."""
        if self._reroute(sending) and sending.refusal is not None:
            return Outcome(reason=sending.refusal.reason, may_have_run=False)
        self._choose_version(sending)
        if sending.request.route.uses_engine:
            return self._send_to_engine(sending)
        return self._send_to_service(sending)

    def _reroute(self, sending: Sending) -> bool:
        """Routes a request anew if a configuration came into force since.

        Returns whether it goes elsewhere now, or nowhere: `sending.refusal` says why.
        """
        request, table = sending.request, self.routing.table
        if table is None or table.config.version == request.config_version:
            return False
        try:
            sending.request = self.resolver.accept_again(request, table)
            if sending.request.service == request.service:
                return False
            if sending.stream_started:
                raise stream_version_gone()
            sending.version, sending.origin_known = None, False
            self._find_version(sending)
        except Refusal as refusal:
            sending.refusal = refusal
        return True

    def _choose_version(self, sending: Sending) -> None:
        """Lets a resumable stream begin where its origin can be recorded, if it can."""
        if sending.origin_known or not sending.request.route.resumable:
            return
        service = sending.request.service
        sending.version = self.origins.required_version(service)
        if sending.version is not None:
            can_begin = self._is_served(sending, sending.version)
        else:
            can_begin = not sending.request.id or self.origins.may_begin(service)
        if not can_begin:
            raise origin_not_recorded(has_run=sending.may_have_run)

    def _is_served(self, sending: Sending, version: str) -> bool:
        """Returns whether the request may be sent to an endpoint of a version."""
        ready = self.registry.ready(sending.request.service)
        return any(item.version == version and sending.may_use(item) for item in ready)

    def _send_to_engine(self, sending: Sending) -> Outcome | None:
        request = sending.request
        generation = Generation.from_headers(
            usage=request.header(self.header_names.token_usage),
            output_estimate=request.header(self.header_names.output_estimate),
            id=request.id,
            route=request.route,
            service=request.service,
            priority=request.priority,
            parts=parse_request_parts(request, self.header_names),
            arrived_at=request.arrived_at,
            deadline=request.deadline,
        )
        sending.shared_parts = [part.id for part in generation.parts[:-1]]
        try:
            self.crash_guard.check(sending)
            admission = self.admission.admit(
                generation,
                eligibility=SendingEligibility(
                    sending=sending,
                    crash_guard=self.crash_guard,
                    registry=self.registry,
                    reroute=self._reroute,
                ),
                caller_disconnected=sending.caller.is_disconnected,
            )
        except Rerouted:
            return Outcome(reason=REROUTED, may_have_run=False)
        except Refusal as refusal:
            self._give_up_refused(sending, refusal)
            return None
        if admission is None:
            raise CallerGone
        outcome = Outcome(reason="endpoint_left", may_have_run=False)
        complete = False
        broken = False
        try:
            self.metrics.observe("queue", admission.waited_s, route=request.route.name)
            record = self.registry.records.get(admission.engine)
            if record is not None and not record.leaving:
                self._log_placed(request, admission, record)
                sending.copy_from = admission.copy_from
                outcome = self._exchange(
                    sending,
                    record,
                    on_event=lambda: self._begun(sending, admission, generation),
                )
                complete = outcome is None
                broken = outcome is not None and outcome.may_have_run
                broken = broken and outcome.reason not in SOUND_ENGINE_REASONS
            else:
                # It must not be placed there again: the next decision may be made on
                # the same list.
                sending.tried.add(admission.engine)
            return outcome
        finally:
            self.admission.ended(
                admission,
                generation,
                complete=complete,
                broken=broken,
                token_s=sending.token_s(self.admission.tokens_per_event(generation)),
            )

    def _begun(
        self, sending: Sending, admission: Admission, generation: Generation
    ) -> None:
        if not sending.begun:
            self.crash_guard.note_begun(sending)
            self._count_begun_stream(sending)
        self.admission.started(admission, generation)

    def _log_placed(
        self, request: RoutedRequest, admission: Admission, record: EndpointRecord
    ) -> None:
        self.metrics.count("engine_choices", reason=admission.placement.reason)
        self.event_log.emit(
            "request_placed",
            request=request.id,
            route=request.route.name,
            endpoint=record.id,
            zone=record.zone,
            reason=admission.placement.reason,
            waited_ms=round(admission.waited_s * 1000),
            unread_tokens=admission.placement.uncached_tokens,
            copied_tokens=admission.placement.copied_tokens,
            ahead_tokens=admission.job.ahead_tokens,
            expected_run_ms=round(admission.run_s * 1000),
            time_left_ms=round((request.deadline - time.monotonic()) * 1000),
        )

    def _send_to_service(self, sending: Sending) -> Outcome | None:
        try:
            self.crash_guard.check(sending)
        except Refusal as refusal:
            self._give_up_refused(sending, refusal)
            return None
        try:
            record = self.selection.choose(sending, reroute=self._reroute)
        except Rerouted:
            return Outcome(reason=REROUTED, may_have_run=False)
        if record is None:
            self._give_up(sending)
            return None
        with self.registry.call(record.id):
            return self._exchange(
                sending, record, on_event=lambda: self._count_begun_stream(sending)
            )

    def _exchange(
        self, sending: Sending, record: EndpointRecord, on_event
    ) -> Outcome | None:
        """Sends to `record` and relays its answer if it is valid."""
        request = sending.request
        sending.endpoint = record.id
        sending.begun = False
        begun_at = time.monotonic()
        connection = None
        try:
            has_limit = self.permits.limit(record) is not None
            connection = self._connect(sending, record)
            if reason := self._refused_send(sending, record, has_limit=has_limit):
                return Outcome(reason=reason, may_have_run=False)
            sending.tried.add(record.id)
            if sending.sends == 0:
                self.budget.note_request(request.service)
            sending.sends += 1
            self._transmit(sending, record, connection)
            return self._receive(sending, record, connection, on_event)
        except NoAnswerMemory as failure:
            return Outcome(reason=failure.reason, may_have_run=True)
        except EndpointFailure as failure:
            self.crash_guard.note_failure(sending, record, failure)
            return self._failed(sending, record, failure)
        except Silent:
            failure = EndpointFailure("silent", may_have_run=True)
            return self._failed(sending, record, failure)
        except TimeoutError:
            return Outcome(reason="timeout", may_have_run=sending.sends > 0)
        except CallerGone:
            if sending.sent_at >= begun_at:
                self._count_begun_call(sending)
            raise
        finally:
            if connection is not None and connection.finish():
                self.pool.put(connection)

    def _refused_send(
        self, sending: Sending, record: EndpointRecord, *, has_limit: bool
    ) -> str:
        """Returns why a request must not be sent to its endpoint, or nothing.

        It may have waited for a permit or its connection since the endpoint was chosen.
        Raises `Refusal` if the stream can begin nowhere. `has_limit` tells whether the
        permit that it has counts for a limit of the endpoint.
        """
        if self._reroute(sending):
            return REROUTED
        if not self.registry.takes_work(record):
            # The next decision may be made on the same list.
            sending.tried.add(record.id)
            return "endpoint_left"
        if reason := self.crash_guard.refused_reason(sending):
            return reason
        if self.crash_guard.is_newly_suspected(sending):
            return "request_suspected"
        self._choose_version(sending)
        if not sending.fits_version(record):
            return "endpoint_version"
        if self.permits.is_paused(record):
            return "endpoint_paused"
        if not has_limit and self.permits.limit(record) is not None:
            return "endpoint_limited"
        return ""

    def _failed(
        self, sending: Sending, record: EndpointRecord, failure: EndpointFailure
    ) -> Outcome:
        sending.tried.add(record.id)
        if not failure.may_have_run:
            sending.connect_failures += 1
        if time.monotonic() > sending.request.deadline - TIME_LIMIT_SLACK_S:
            return Outcome(reason="time_limit", may_have_run=failure.may_have_run)
        if self.registry.note_failure(record.id, unreachable=True):
            self.event_log.emit(
                "endpoint_suspect",
                endpoint=record.id,
                service=record.service,
                reason=failure.reason,
            )
        return Outcome(reason=failure.reason, may_have_run=failure.may_have_run)

    def _connect(self, sending: Sending, record: EndpointRecord) -> EndpointConnection:
        request = sending.request
        max_idle_s = (
            MAX_IDLE_REPEATABLE_S
            if request.route.repeatable
            else MAX_IDLE_UNREPEATABLE_S
        )
        connection = self.pool.take(
            record.address, incarnation=record.incarnation, max_idle_s=max_idle_s
        )
        if connection is None:
            connection = self.pool.new(record.address, incarnation=record.incarnation)
            self.metrics.count("endpoint_connections", service=record.service)
            try:
                connection.connect(request.deadline, sending.caller.sock)
            except TimeoutError as error:
                raise EndpointFailure("connect: timeout", may_have_run=False) from error
        return connection

    def _transmit(
        self, sending: Sending, record: EndpointRecord, connection: EndpointConnection
    ) -> None:
        request = sending.request
        headers = request.headers_for(
            self.header_names, endpoint=record.id, now=time.monotonic()
        )
        holder = sending.copy_from
        # The address of an engine that left may be in use by another service.
        if holder is not None and self.registry.takes_work(holder):
            name = self.header_names.copy_prompt_from.encode()
            headers.append((name, holder.address.encode()))
        if sending.last_event is not None:
            name = self.header_names.resume_after.encode()
            headers = [item for item in headers if item[0].lower() != name.lower()]
            headers.append((name, b"%d" % sending.last_event))
        self.event_log.emit(
            "request_sent",
            request=request.id,
            endpoint=record.id,
            send=sending.sends,
            reused=connection.served > 0,
            resume_after=sending.last_event,
            resumes=(request.resumes or "")[:MAX_LOGGED_ID_CHARACTERS],
            version=record.version,
            config=request.config_version,
            list_age_ms=round(self.list_age_s() * 1000),
            list_confirmed_by=self.list_confirmed_by(),
        )
        sending.sent_at = time.monotonic()
        connection.send(
            method=request.incoming.method,
            target=request.incoming.target,
            headers=headers,
            body=request.incoming.body,
            deadline=request.deadline,
            caller=sending.caller.sock,
        )

    def _silence_limit_s(self, sending: Sending) -> float | None:
        """Returns how long an endpoint may stay silent; None for no limit."""
        route = sending.request.route
        can_repeat = route.repeatable and sending.sends < route.max_endpoints
        if not can_repeat or not self._has_untried_endpoint(sending):
            return None
        if route.kind is RouteKind.STREAM:
            limit_s = max(MIN_STALL_S, STALLED_PAUSE_GOALS * route.pause_goal_s)
            if sending.last_event is None:
                # Before the first event, the caller waits for several of its goals.
                limit_s = max(limit_s, STALLED_FIRST_EVENT_GOALS * route.goal_s)
            return limit_s
        return max(MIN_SILENT_S, SILENT_SHARE_OF_GOAL * route.goal_s)

    @contextlib.contextmanager
    def _silence_deadline(
        self, sending: Sending, limit_s: float | None, *, since: float | None = None
    ):
        """Yields the deadline of a wait; raises `Silent` if the silence limit ends it.

        Silence is measured from `since` on the monotonic clock, or from now.
        """
        deadline = sending.request.deadline
        begun_at = time.monotonic() if since is None else since
        silent_at = None if limit_s is None else begun_at + limit_s
        shorter = silent_at is not None and silent_at < deadline
        try:
            yield silent_at if shorter else deadline
        except TimeoutError:
            if shorter:
                raise Silent from None
            raise

    def _receive(
        self,
        sending: Sending,
        record: EndpointRecord,
        connection: EndpointConnection,
        on_event,
    ) -> Outcome | None:
        request = sending.request
        sent_at = time.monotonic()
        with self._silence_deadline(
            sending, self._silence_limit_s(sending)
        ) as deadline:
            head = connection.read_head(
                deadline=deadline,
                caller=sending.caller.sock,
                id_header=self.header_names.request_id,
                id=request.id,
                share=sending.share,
            )
            self._note_signals(record, head, sent_at)
            if head.status != 200 or request.route.kind is not RouteKind.STREAM:
                body = connection.read_body(
                    deadline=deadline, caller=sending.caller.sock, share=sending.share
                )
                return self._handle_whole_answer(sending, record, head, body)
        if not self._is_genuine(head):
            raise EndpointFailure("answer without proof", may_have_run=True)
        if sending.stream_started and not is_event_stream(head):
            raise EndpointFailure("no stream: 200", may_have_run=True)
        return self._relay_stream(sending, record, connection, head, on_event)

    def _note_signals(
        self, record: EndpointRecord, head: ResponseHead, sent_at: float
    ) -> None:
        """Takes what the endpoint says of itself in an answer."""
        self.signals.note_answer(
            record,
            read_signals(head.status, head.headers, self.header_names),
            sent_at=sent_at,
            is_success=200 <= head.status < 300 and self._is_genuine(head),
        )

    def _is_genuine(self, head: ResponseHead) -> bool:
        proof = head.value(self.header_names.proof)
        return proof is not None and head.value("Content-Encoding") is None

    def _handle_whole_answer(
        self, sending: Sending, record: EndpointRecord, head: ResponseHead, body: bytes
    ) -> Outcome | None:
        """Relays a whole answer, or returns why it was rejected."""
        not_run = (
            head.value(self.header_names.not_run) is not None or head.status == 421
        )
        if not_run:
            unreachable = head.status == 421
            self.registry.note_failure(record.id, unreachable=unreachable)
            return Outcome(reason=f"not_run: {head.status}", may_have_run=False)
        self._count_begun_call(sending)
        if head.status in NOT_RUN_STATUSES:
            self.registry.note_failure(record.id, unreachable=False)
            return Outcome(reason=f"status: {head.status}", may_have_run=True)
        self.crash_guard.note_answered(sending)
        answer = Answer(
            status=head.status,
            reason=head.reason,
            headers=strip_connection_headers(head.headers),
            body=body,
        )
        if head.status >= 500:
            self.registry.note_failure(record.id, unreachable=False)
            return Outcome(
                reason=f"status: {head.status}", may_have_run=True, answer=answer
            )
        if head.status < 300 and not self._is_genuine(head):
            raise EndpointFailure("answer without proof", may_have_run=True)
        if sending.stream_started:
            # The caller is in the middle of a stream, which this answer is no part of.
            return Outcome(reason=f"no stream: {head.status}", may_have_run=True)
        self._note_success(record)
        self._answer(sending, answer)
        return None

    def _note_success(self, record: EndpointRecord) -> None:
        if self.registry.note_success(record.id):
            self.event_log.emit("endpoint_trusted", endpoint=record.id)

    def _answer(self, sending: Sending, answer: Answer) -> None:
        sending.caller.send_complete(
            answer.status, answer.reason, answer.headers, answer.body
        )
        self._log_answered(sending, answer.status)

    def _log_answered(self, sending: Sending, status: int) -> None:
        request = sending.request
        elapsed_s = time.monotonic() - request.arrived_at
        self.metrics.count(
            "requests", route=request.route.name, outcome=f"status_{status}"
        )
        self.metrics.observe("answer", elapsed_s, route=request.route.name)
        self.event_log.emit(
            "request_answered",
            request=request.id,
            route=request.route.name,
            status=status,
            sends=sending.sends,
            elapsed_ms=round(elapsed_s * 1000),
            **sending.timing(),
        )

    def _relay_stream(
        self,
        sending: Sending,
        record: EndpointRecord,
        connection: EndpointConnection,
        head: ResponseHead,
        on_event,
    ) -> Outcome | None:
        splitter = RawEventSplitter()
        # Only events that the caller has not received count as progress, not bytes.
        progress_at = time.monotonic()
        bytes_since = 0
        while True:
            limit_s = self._silence_limit_s(sending)
            with self._silence_deadline(
                sending, limit_s, since=progress_at
            ) as deadline:
                data = connection.read_data(
                    deadline=deadline, caller=sending.caller.sock
                )
            if data is None:
                break
            bytes_since += max(len(data), MIN_CHUNK_COST_BYTES)
            try:
                events = splitter.feed(data)
            except EventTooLarge as error:
                raise EndpointFailure(str(error), may_have_run=True) from error
            number = sending.last_event
            new_events = self._new_events(sending, events)
            if new_events and (
                sending.last_event is None or sending.last_event != number
            ):
                progress_at = time.monotonic()
                bytes_since = 0
            elif bytes_since > MAX_EVENT_BYTES:
                raise EndpointFailure("bytes without an event", may_have_run=True)
            if not new_events:
                continue
            if not sending.stream_started:
                if not self._note_origin(sending, record):
                    sending.last_event = number
                    return Outcome(reason=ORIGIN_UNRECORDED, may_have_run=True)
                self._start_stream(sending, head)
            on_event()
            sending.begun = True
            sending.note_event()
            sending.events += len(new_events)
            sending.caller.send_data(b"".join(new_events))
        if splitter.rest.strip() or not sending.stream_started:
            raise EndpointFailure("the stream ended early", may_have_run=True)
        self._note_success(record)
        self.crash_guard.note_answered(sending)
        sending.caller.end_stream()
        self._log_answered(sending, 200)
        return None

    def _note_origin(self, sending: Sending, record: EndpointRecord) -> bool:
        """Notes where a stream begins, before its caller gets the first event.

        Returns False if the stream has to begin anew, at the default version, and
        raises `Refusal` if it may not begin at all now.
        """
        request = sending.request
        if sending.origin_known or not request.route.resumable:
            return True
        if request.id:
            begin = self.origins.note_begun(request.service, request.id, record.version)
            if begin is Begin.UNRECORDED:
                self.event_log.emit(
                    "stream_unrecorded",
                    request=request.id,
                    service=request.service,
                    version=record.version,
                )
            elif begin is Begin.NOT_RECORDED and self._may_begin_anew(sending, record):
                return False
            elif not begin.is_allowed:
                raise origin_not_recorded(has_run=True)
        sending.version = record.version
        sending.origin_known = True
        return True

    def _may_begin_anew(self, sending: Sending, record: EndpointRecord) -> bool:
        """Returns whether a stream may begin at another version than a record's."""
        required = self.origins.required_version(sending.request.service)
        if required in (None, record.version):
            return False
        sending.version = None
        return self._is_served(sending, required)

    def _start_stream(self, sending: Sending, head: ResponseHead) -> None:
        request = sending.request
        sending.stream_started = True
        sending.caller.start_stream(
            head.status, head.reason, strip_connection_headers(head.headers)
        )
        elapsed_s = time.monotonic() - request.arrived_at
        self.metrics.observe("first_event", elapsed_s, route=request.route.name)

    def _new_events(self, sending: Sending, events: list[bytes]) -> list[bytes]:
        """Returns the events that the caller has not received; records the last id."""
        new_events = []
        for event in events:
            number = event_id(event)
            if number is not None:
                if sending.last_event is not None and number <= sending.last_event:
                    continue
                sending.last_event = number
            new_events.append(event)
        return new_events


def origin_not_recorded(*, has_run: bool) -> Refusal:
    """Returns the refusal of a stream whose version cannot be recorded now.

    No event has reached the caller, and a stream that may be resumed may run again; but
    503 would say that it has not.
    """
    return Refusal(
        502 if has_run else 503,
        "stream_origin_not_recorded",
        remedy="Retry after the time given; the store does not take records now.",
        retry_after_s=RECORD_RETRY_AFTER_S,
    )


def is_event_stream(head: ResponseHead) -> bool:
    """Returns whether a response says that its body is a stream of events."""
    media_type, _, _ = (head.value("Content-Type") or "").partition(";")
    return media_type.strip().lower() == EVENT_STREAM_TYPE


def strip_connection_headers(headers: RawHeaders) -> RawHeaders:
    """Returns the headers of an answer without connection headers."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in CONNECTION_HEADERS
    ]


def parse_request_parts(request: RoutedRequest, header_names: HeaderNames):
    """Parses the prompt parts from the headers of a request."""
    return parse_prompt_parts(request.header(header_names.prompt_parts))
