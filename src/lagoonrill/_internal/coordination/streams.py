"""Relays complete answers from engines that duplicate, delay, reorder or lose events.

Every event carries one token and its offset, so an answer can be reordered, resumed
from the same engine after a gap, and continued on another engine after a failure.
"""

import contextlib
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
from returns.result import Failure, Result

from ..protocol.chat import (
    ChatCompletion,
    CompletionChoice,
    CompletionMessage,
    TokenUsage,
    continuation_body,
    decode_chunk,
)
from ..protocol.endpoint_errors import (
    EndpointBroken,
    EndpointError,
    EndpointNotReached,
    EndpointRefused,
)
from ..protocol.errors import (
    BadRequest,
    DeadlineExceeded,
    EndpointFailed,
    NoEndpoint,
    OutcomeUnknown,
    RequestError,
    RunState,
    Truncated,
)
from ..protocol.manifest import Endpoint
from ..protocol.sse import (
    DONE_DATA,
    EVENT_TERMINATOR,
    EventParser,
    EventTooLarge,
    ServerSentEvent,
    parse_event,
)
from ..state.endpoint_table import EndpointView, median
from ..state.tickets import Usage
from .policy.endpoint_choice import PREFILL_S_PER_TOKEN

DONE_EVENT = b"data: [DONE]\n\n"
# Also the accuracy of the hedge delay, which is at least 0.2 s.
HEDGE_CHECK_INTERVAL_S = 0.025
# The policy hedges after three times the usual time to first token. Without an
# estimate, a sixth of the target makes that half the target, and the next engine has
# the other half.
DEFAULT_FIRST_TOKEN_SHARE = 1 / 6
# A stalled stream moves to another engine after this many token gaps: the class's
# target or the engine's usual gap, whichever is longer. The minimum keeps jitter of the
# engine or of this process, such as a long prefill between two steps, from moving
# streams.
STALL_GAPS = 10.0
MIN_STALL_S = 1.0
CANCEL_THREADS = 4
# Statuses with which an engine rejects the request itself as invalid.
CALLER_ERROR_STATUSES = (400, 413, 422)


class StreamLimits(msgspec.Struct, kw_only=True):
    """Limits on one answer; times are in seconds.

    `gap_wait_s` is the timeout for a missing event, after which the stream is resumed;
    `stall_timeout_s` is the read timeout after the first token. A stream that has begun
    waits up to `continuation_wait_s` for a slot, regardless of its deadline, because
    its caller has already received part of the answer.
    """

    first_event_timeout_s: float = 60.0
    stall_timeout_s: float = 10.0
    gap_wait_s: float = 0.25
    max_pending_events: int = 256
    continuation_wait_s: float = 300.0
    max_resumes: int = 8
    max_engines: int = 6
    retry_pause_s: float = 0.2


class EngineStalled(EndpointBroken):
    """The engine sent nothing before the timeout; a resume would wait as long again."""


class FirstTokenLate(EndpointBroken):
    """The request moves to another engine because its first token is late."""


class CallerGone(Exception):
    """The caller closed its connection and no longer needs the answer."""


class TokenAssembler:
    """Reorders the events of one answer and accumulates its text.

    `next_token` is the offset of the next expected event.
    """

    __slots__ = (
        "done",
        "duplicates",
        "finish_reason",
        "max_pending",
        "next_token",
        "overflowed",
        "parser",
        "pending",
        "text",
    )

    def __init__(self, *, max_pending: int):
        self.max_pending = max_pending
        self.next_token = 0
        self.text: list[str] = []
        self.finish_reason: str | None = None
        self.duplicates = 0
        self.start_reading()

    def start_reading(self) -> None:
        """Resets the parser for a new connection; received tokens are kept."""
        self.parser = EventParser()
        self.pending: dict[int, ServerSentEvent] = {}
        self.overflowed = False
        self.done = False

    @property
    def complete(self) -> bool:
        return self.done and self.finish_reason is not None

    def feed(self, received: bytes) -> bytes:
        """Returns the bytes of the events that are now in order.

        Raises `EndpointBroken` for events that cannot be decoded.
        """
        accepted: list[bytes] = []
        try:
            for block in self.parser.blocks(received):
                if not self._accept_fast(block, accepted):
                    self._accept_slow(parse_event(block), accepted)
        except (msgspec.DecodeError, EventTooLarge) as error:
            raise EndpointBroken(message=f"the event is unknown: {error}") from error
        if self.done and self.finish_reason is not None:
            accepted.append(DONE_EVENT)
        return b"".join(accepted)

    def _accept_fast(self, block: bytes, accepted: list[bytes]) -> bool:
        """Accepts the next expected token; a fast path for the common case."""
        head, _, data = block.partition(b"\ndata: ")
        if head != b"id: %d" % self.next_token or self.pending:
            return False
        choices = decode_chunk(data).choices
        if not choices or choices[0].finish_reason is not None:
            return False
        if self.finish_reason is not None:
            return False
        self.next_token += 1
        self.text.append(choices[0].delta.content or "")
        accepted.append(block + EVENT_TERMINATOR)
        return True

    def _accept_slow(self, event: ServerSentEvent, accepted: list[bytes]) -> None:
        if event.data == DONE_DATA:
            self.done = True
        elif event.id == self.next_token:
            self._accept(event, accepted)
            if self.pending:
                self._accept_pending(accepted)
        else:
            self._buffer_event(event)

    def _accept(self, event: ServerSentEvent, accepted: list[bytes]) -> None:
        if self.finish_reason is not None:
            self.duplicates += 1
            return
        choices = decode_chunk(event.data).choices
        if choices and choices[0].finish_reason is not None:
            self.finish_reason = choices[0].finish_reason
        else:
            self.next_token += 1
            self.text.append((choices[0].delta.content or "") if choices else "")
        accepted.append(event.raw)

    def _accept_pending(self, accepted: list[bytes]) -> None:
        while (event := self.pending.pop(self.next_token, None)) is not None:
            self._accept(event, accepted)

    def _buffer_event(self, event: ServerSentEvent) -> None:
        if event.id is None:
            raise EndpointBroken(message="an event has no id")
        if event.id < self.next_token:
            self.duplicates += 1
        elif len(self.pending) < self.max_pending:
            self.pending[event.id] = event
        else:
            self.overflowed = True


class StreamJob:
    """State of one answer across all the engines that generate it."""

    __slots__ = (
        "assembler",
        "attempt",
        "body",
        "call_deadline",
        "engines",
        "active_request",
        "grant",
        "hedge_at",
        "hedged",
        "keyed",
        "previous_endpoint",
        "once",
        "sent",
        "stream_id",
        "ticket",
        "whole",
    )

    def __init__(
        self,
        *,
        stream_id: str,
        keyed: bool,
        body: bytes,
        ticket,
        active_request,
        limits: StreamLimits,
        whole: bool = False,
        once: bool = False,
        call_deadline: float | None = None,
    ):
        self.stream_id = stream_id
        self.keyed = keyed
        self.body = body
        self.ticket = ticket
        self.active_request = active_request
        # The deadline of the call, which may be later than that of the wait for a slot.
        self.call_deadline = call_deadline or ticket.deadline
        self.whole = whole  # the deadline applies to the last token, not the first
        self.once = once  # must not start on a second engine
        self.sent = False  # an engine may have received the request
        self.previous_endpoint: str | None = (
            None  # endpoint that was used last and given up
        )
        self.assembler = TokenAssembler(max_pending=limits.max_pending_events)
        self.attempt = 0
        self.engines = 0
        self.grant: Any = None
        self.hedge_at: float | None = None  # for the current engine
        self.hedged = False  # the request is moving away from the current engine

    @property
    def engine_stream_id(self) -> str:
        """The stream id that the engine uses for the current attempt."""
        return f"{self.stream_id}-{self.attempt}"

    @property
    def preempted(self) -> bool:
        # A non-repeatable request is not preempted: a restart could run it twice.
        return (
            self.grant is not None and not self.once and self.grant.preempted.is_set()
        )


class LatencyMeter:
    """Measures time to first token and token gaps of one attempt, in seconds."""

    __slots__ = ("first_at", "last_at", "started_at", "tokens")

    def __init__(self):
        self.started_at = time.monotonic()
        self.first_at: float | None = None
        self.last_at = 0.0
        self.tokens = 0

    def note(self, tokens: int) -> None:
        """Records the arrival of tokens."""
        self.last_at = time.monotonic()
        if self.first_at is None:
            self.first_at = self.last_at
        self.tokens += tokens

    @property
    def first_token_s(self) -> float | None:
        return None if self.first_at is None else self.first_at - self.started_at

    @property
    def token_gap_s(self) -> float | None:
        if self.tokens < 2:
            return None
        return (self.last_at - self.first_at) / (self.tokens - 1)


def record_tokens(job: StreamJob, meter: LatencyMeter) -> None:
    """Adds the tokens of one attempt to the request's record."""
    if meter.first_at is not None:
        job.active_request.record.note_tokens(
            first_at=meter.first_at,
            last_at=meter.last_at,
            total=job.assembler.next_token,
        )


class StreamRelay:
    """Relays answers from engines, using slots of the scheduler.

    `record_wasted(cause, tokens)` is called once for each discarded answer.
    `candidates(target)` returns the endpoints that may receive a request now; a request
    whose first token is late moves only if one of them has a free slot.
    """

    def __init__(
        self,
        *,
        client,
        scheduler,
        endpoint_table,
        registry,
        retry_budget,
        record_wasted: Callable[[str, int], None] = lambda cause, tokens: None,
        candidates: Callable[[str], list[EndpointView]] = lambda target: [],
        limits: StreamLimits | None = None,
    ):
        self.client = client
        self.scheduler = scheduler
        self.endpoint_table = endpoint_table
        self.registry = registry
        self.retry_budget = retry_budget
        self.record_wasted = record_wasted
        self.candidates = candidates
        self.limits = limits or StreamLimits()
        self.lock = threading.Lock()
        self.awaiting_first_event: set[StreamJob] = set()
        self.stopping = threading.Event()
        self.thread: threading.Thread | None = None
        self.cancellations: ThreadPoolExecutor | None = None

    def start(self) -> None:
        """Starts the threads that cancel streams and watch for late first tokens."""
        self.cancellations = ThreadPoolExecutor(CANCEL_THREADS, "stream-cancel")
        self.thread = threading.Thread(
            target=self._watch_first_events, name="first-events", daemon=True
        )
        self.thread.start()

    def stop(self) -> None:
        """Sends the queued cancellations and stops the threads."""
        self.stopping.set()
        self.thread.join()
        self.cancellations.shutdown()

    def relay(self, job: StreamJob, located: Endpoint | None = None) -> Iterator[bytes]:
        """Yields the events of the complete answer, from its first token to `[DONE]`.

        `located` is the engine that already runs the stream. Raises `RequestError` if
        the answer cannot be completed and `CallerGone` if the caller disconnected.
        """
        try:
            if located is not None:
                yield from self._read_existing(job, located)
            while not job.assembler.complete:
                job.grant = self._acquire(job)
                yield from self._run_attempt(job)
            job.active_request.record.finish("ok")
        except RequestError as error:
            job.active_request.record.finish(error.kind)
            self._discard(job, "truncated")
            if job.keyed:
                self.registry.discard(job.stream_id)
            raise
        except (CallerGone, GeneratorExit):
            job.active_request.record.finish("cancelled")
            self._discard(job, "caller_gone")
            raise

    def whole_answer(
        self,
        job: StreamJob,
        model: str,
        prompt_tokens: int,
        located: Endpoint | None = None,
    ) -> bytes:
        """Returns the complete answer as JSON; raises the same errors as `relay`."""
        for _ in self.relay(job, located):
            pass
        assembler = job.assembler
        message = CompletionMessage(content="".join(assembler.text))
        usage = TokenUsage(
            prompt_tokens=prompt_tokens,
            completion_tokens=assembler.next_token,
            total_tokens=prompt_tokens + assembler.next_token,
        )
        choice = CompletionChoice(
            message=message, finish_reason=assembler.finish_reason
        )
        return msgspec.json.encode(
            ChatCompletion(id=job.stream_id, model=model, choices=[choice], usage=usage)
        )

    def _acquire(self, job: StreamJob):
        """Waits for a slot; reuses failed endpoints if there are no others."""
        job.engines += 1
        if job.engines > self.limits.max_engines:
            raise self._incomplete(job, "too many engines failed")
        if job.assembler.next_token and not job.whole:
            job.ticket.deadline = time.monotonic() + self.limits.continuation_wait_s
        try:
            return self._acquire_any(job)
        except RequestError as error:
            if job.sent:
                error.run = RunState.UNKNOWN
            raise

    def _acquire_any(self, job: StreamJob):
        try:
            return job.active_request.acquire(self.scheduler, job.ticket)
        except NoEndpoint:
            if not job.ticket.excluded or not job.sent:
                raise
        time.sleep(self.limits.retry_pause_s * job.engines)
        if job.previous_endpoint is not None:
            # Prefer any other engine to the one that was just given up.
            job.ticket.excluded = {job.previous_endpoint}
            with contextlib.suppress(NoEndpoint):
                return job.active_request.acquire(self.scheduler, job.ticket)
        job.ticket.excluded.clear()
        return job.active_request.acquire(self.scheduler, job.ticket)

    def _read_existing(self, job: StreamJob, endpoint: Endpoint) -> Iterator[bytes]:
        """Reads a stream that another request started and holds the slot for."""
        meter = LatencyMeter()
        for _ in range(self.limits.max_resumes):
            opened = self._resume(job, endpoint, meter)
            job.active_request.check()
            if isinstance(opened, Failure):
                return
            error = yield from self._read(job, opened.unwrap(), meter)
            record_tokens(job, meter)
            if error is None:
                self._end(job, endpoint)
                return

    def _run_attempt(self, job: StreamJob) -> Iterator[bytes]:
        """Reads from one engine until the answer is complete or the attempt fails."""
        endpoint = job.grant.endpoint
        job.attempt += 1
        meter = LatencyMeter()
        job.hedged = False
        delay_s = self._hedge_delay_s(job)
        job.hedge_at = None if delay_s is None else meter.started_at + delay_s
        error: Exception | None = CallerGone()
        failed = False
        try:
            if job.keyed:
                self.registry.announce(job.stream_id, endpoint.id, job.attempt)
            with self.lock:
                self.awaiting_first_event.add(job)
            error = yield from self._read_with_resumes(job, endpoint, meter)
            failed = error is not None and not job.preempted
            if failed:
                self._handle_failure(job, endpoint, error)
            error = None
        except RequestError as final_error:
            error = final_error
            raise
        finally:
            self._stop_awaiting(job)
            record_tokens(job, meter)
            self._release(job, meter, failed=failed, discarded=error is not None)
            if not job.assembler.complete:
                self._abandon(job, endpoint, keep=isinstance(error, CallerGone))
            else:
                self._end(job, endpoint)

    def _read_with_resumes(
        self, job: StreamJob, endpoint: Endpoint, meter: LatencyMeter
    ) -> Iterator[bytes]:
        """Reads from an engine; returns None when complete, else the error."""
        resumes = 0
        opened = self._open(job, endpoint)
        while True:
            if isinstance(opened, Failure):
                error = opened.failure()
            else:
                error = yield from self._read(job, opened.unwrap(), meter)
            job.active_request.check()
            if error is None or job.preempted:
                return error
            if job.hedged and meter.first_at is None:
                return FirstTokenLate(message="the first token is late")
            if isinstance(opened, Failure) or isinstance(error, EngineStalled):
                return error
            if resumes >= self.limits.max_resumes:
                return error
            resumes += 1
            opened = self._resume(job, endpoint, meter)

    def _open(self, job: StreamJob, endpoint: Endpoint) -> Result:
        assembler = job.assembler
        body = continuation_body(
            job.body, text="".join(assembler.text), tokens=assembler.next_token
        )
        job.active_request.begin_call()
        opened = self.client.open_stream(
            endpoint,
            body=body,
            stream_id=job.engine_stream_id,
            priority=job.ticket.request_class.tier,
            timeout_s=self._first_event_timeout(job),
            handle=job.active_request.new_handle(self.client),
        )
        reached = not isinstance(opened, Failure) or not isinstance(
            opened.failure(), EndpointNotReached
        )
        job.sent = job.sent or reached
        if not job.sent:
            job.active_request.undo_begin_call()
        return opened

    def _resume(
        self, job: StreamJob, endpoint: Endpoint, meter: LatencyMeter
    ) -> Result:
        return self.client.resume_stream(
            endpoint,
            stream_id=job.engine_stream_id,
            from_token=job.assembler.next_token,
            timeout_s=self._event_timeout(job, meter),
            handle=job.active_request.new_handle(self.client),
        )

    def _event_timeout(self, job: StreamJob, meter: LatencyMeter) -> float:
        if meter.first_at is None:
            return self._first_event_timeout(job)
        if job.whole:
            return min(self.limits.stall_timeout_s, self._remaining(job))
        return self.limits.stall_timeout_s

    def _read_timeout(self, job: StreamJob, meter: LatencyMeter) -> float:
        """Returns the read timeout; it is shorter for a class with a gap target."""
        timeout_s = self._event_timeout(job, meter)
        if meter.first_at is None or not self._may_move_early(job):
            return timeout_s
        gap_s = job.ticket.request_class.latency.token_gap_ms / 1000.0
        for view in self.candidates(job.ticket.target):
            if view.endpoint.id == job.grant.endpoint.id:
                gap_s = max(gap_s, view.token_gap_s or 0.0)
        return min(timeout_s, max(MIN_STALL_S, STALL_GAPS * gap_s))

    def _may_move_early(self, job: StreamJob) -> bool:
        """Returns whether a stalled stream may move before `stall_timeout_s`."""
        # A stream that another request started has no grant here and cannot be moved.
        if job.once or job.grant is None:
            return False
        return job.ticket.request_class.latency.token_gap_ms is not None

    def _must_keep_waiting(self, job: StreamJob, meter: LatencyMeter) -> bool:
        """Returns whether a stalled stream keeps waiting, as no other engine is free.

        Engines that were given up earlier for a late first token count as free.
        """
        now = time.monotonic()
        if meter.first_at is None or not self._may_move_early(job):
            return False
        if now - meter.last_at >= self.limits.stall_timeout_s:
            return False
        if job.preempted or (job.whole and now >= job.call_deadline):
            return False
        return not self._has_free_engine(job, left={job.grant.endpoint.id})

    def _has_free_engine(self, job: StreamJob, *, left: set[str]) -> bool:
        return any(
            not view.trial and view.running + view.waiting < view.slots
            for view in self.candidates(job.ticket.target)
            if view.endpoint.id not in left
        )

    def _first_event_timeout(self, job: StreamJob) -> float:
        limit = self.limits.first_event_timeout_s
        if job.assembler.next_token and not job.whole:
            return limit
        return min(limit, self._remaining(job))

    def _remaining(self, job: StreamJob) -> float:
        """Returns the seconds until the deadline; raises if it has passed."""
        remaining = job.call_deadline - time.monotonic()
        if remaining > 0:
            return remaining
        raise DeadlineExceeded(
            message="the deadline passed before the answer",
            run=RunState.UNKNOWN if job.sent else RunState.NOT_RUN,
            retry_after_s=1.0,
        )

    def _stop_awaiting(self, job: StreamJob) -> None:
        with self.lock:
            self.awaiting_first_event.discard(job)

    def _read(self, job: StreamJob, source, meter: LatencyMeter) -> Iterator[bytes]:
        """Relays one connection; returns None when complete, else the error."""
        assembler = job.assembler
        assembler.start_reading()
        if source.leaving:
            self.endpoint_table.mark_leaving(source.endpoint_id, "answer")
        timeout_s = self._read_timeout(job, meter)
        gap_wait_s = self.limits.gap_wait_s
        try:
            while True:
                before = assembler.next_token
                wait_s = gap_wait_s if assembler.pending else timeout_s
                try:
                    received = source.read(wait_s)
                except TimeoutError:
                    if assembler.pending or not self._must_keep_waiting(job, meter):
                        raise
                    continue
                accepted = assembler.feed(received)
                if accepted:
                    is_first = meter.first_at is None
                    meter.note(assembler.next_token - before)
                    if is_first:
                        self._stop_awaiting(job)
                    yield accepted
                    if is_first or job.whole:
                        timeout_s = self._read_timeout(job, meter)
                if assembler.done and assembler.complete:
                    source.drain()
                    return None
                if assembler.overflowed:
                    return EndpointBroken(message="too many events are missing")
                if job.preempted:
                    return EndpointBroken(message="the stream was preempted")
        except TimeoutError:
            if assembler.pending:
                return EndpointBroken(message="an event is missing")
            return EngineStalled(message="the engine sent nothing for too long")
        except EndpointBroken as error:
            return error
        finally:
            source.close()

    def _handle_failure(
        self, job: StreamJob, endpoint: Endpoint, error: EndpointError
    ) -> None:
        """Prepares the next attempt, or raises if there must be none."""
        job.ticket.excluded.add(endpoint.id)
        job.previous_endpoint = endpoint.id
        if isinstance(error, EndpointNotReached):
            self.endpoint_table.mark_down(endpoint.id, str(error))
            return
        refused = isinstance(error, EndpointRefused)
        if refused and error.status in CALLER_ERROR_STATUSES:
            text = error.body.decode(errors="replace")[:500]
            raise BadRequest(message=f"the engine refused the request: {text}")
        if isinstance(error, FirstTokenLate):
            # No token has arrived, so only the prefill is wasted.
            self.record_wasted("hedged", job.ticket.prompt_tokens)
            return
        if job.once:
            raise OutcomeUnknown(message="the engine broke off after it had begun")
        if job.assembler.next_token:
            return
        self._remaining(job)
        if not self.retry_budget.allow_retry(job.ticket.request_class):
            message = (
                f"the engine failed and the retry budget is spent: {error.message}"
            )
            raise EndpointFailed(message=message, retry_after_s=1.0)

    def _incomplete(self, job: StreamJob, message: str) -> RequestError:
        kind = Truncated if job.assembler.next_token else EndpointFailed
        return kind(message=message, retry_after_s=1.0)

    def _discard(self, job: StreamJob, cause: str) -> None:
        """Counts the tokens of an answer that was not delivered completely."""
        if job.assembler.next_token:
            self.record_wasted(cause, job.assembler.next_token)

    def _release(
        self, job: StreamJob, meter: LatencyMeter, *, failed: bool, discarded: bool
    ) -> None:
        grant, job.grant = job.grant, None
        first_token_s = meter.first_token_s
        if job.hedged and first_token_s is None:
            # A lower bound. Without it, the latency estimate would leave out the slow
            # requests and the engine would appear fast.
            first_token_s = time.monotonic() - meter.started_at
        usage = Usage(
            tokens=meter.tokens,
            wasted_tokens=job.assembler.next_token if discarded else 0,
            first_token_s=first_token_s,
            token_gap_s=meter.token_gap_s,
            failed=failed,
        )
        self.scheduler.release(grant, usage)

    def _end(self, job: StreamJob, endpoint: Endpoint) -> None:
        if job.keyed:
            self.registry.end(job.stream_id, endpoint.id, job.attempt)

    def _abandon(self, job: StreamJob, endpoint: Endpoint, *, keep: bool) -> None:
        """Cancels the attempt, unless its caller disconnected and may retry by key.

        The engine ends a stream that has had no reader for its grace period.
        """
        if keep and job.keyed:
            return
        stream_id = job.engine_stream_id
        self.cancellations.submit(
            self.client.cancel_stream, endpoint, stream_id=stream_id
        )

    def _hedge_delay_s(self, job: StreamJob) -> float | None:
        """Returns the delay before hedging a late first token; None disables it."""
        request_class = job.ticket.request_class
        if job.once or not request_class.repeatable or job.assembler.next_token:
            return None
        views = self.candidates(job.ticket.target)
        if not views:
            return None
        # The median over all endpoints: a slow endpoint's own estimate is high and
        # would keep its requests from being hedged.
        first_token_s = median([view.first_token_s for view in views])
        if first_token_s:
            # The estimate covers the prefill of usual prompts; long ones need more.
            prefill_s = job.ticket.prompt_tokens * PREFILL_S_PER_TOKEN
            first_token_s = max(first_token_s, prefill_s)
        else:
            latency = request_class.latency
            target_ms = latency.first_token_ms or latency.whole_answer_ms
            if target_ms is None:
                return None
            first_token_s = target_ms / 1000.0 * DEFAULT_FIRST_TOKEN_SHARE
        return self.retry_budget.hedge_delay_s(request_class, first_token_s)

    def _may_hedge(self, job: StreamJob) -> bool:
        """Returns whether the request moves to a free engine; uses the hedge budget.

        The request moves instead of running on both engines. A parallel request would
        occupy a second slot and generate tokens twice, for little gain: after three
        times the usual delay, a free engine most likely answers before the silent one.
        """
        now = time.monotonic()
        if job.hedged or job.hedge_at is None or now < job.hedge_at:
            return False
        if now >= job.ticket.deadline:
            return False  # the scheduler would refuse it
        left = {job.grant.endpoint.id, *job.ticket.excluded}
        if not self._has_free_engine(job, left=left):
            return False
        if not self.retry_budget.allow_hedge(job.ticket.request_class):
            job.hedge_at = None
            return False
        return True

    def _watch_first_events(self) -> None:
        """Aborts calls that are preempted or late before their first event."""
        while not self.stopping.wait(HEDGE_CHECK_INTERVAL_S):
            # The lock keeps a job from starting its next call, which the abort would
            # then hit.
            with self.lock:
                for job in self.awaiting_first_event:
                    if not job.preempted:
                        if not self._may_hedge(job):
                            continue
                        job.hedged = True
                    job.active_request.abort_call()
