"""Complete answers from engines that repeat, delay, reorder, lose or break off events.

Every event carries one token and its offset, so an answer can be put in order, resumed
from the same engine after a gap, and continued on another when the first is gone.
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
    TokenUsage,
    WholeAnswer,
    WholeChoice,
    WholeMessage,
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
    EVENT_END,
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
WATCH_INTERVAL_S = 0.025
# The policy hedges after three times the usual time to the first token. Without an
# estimate, a sixth of the target leaves the second half of it to the next engine.
UNKNOWN_FIRST_TOKEN_SHARE = 1 / 6
# A stream moves after this many gaps, of the class's target or the engine's usual one,
# whichever is longer. The minimum keeps jitter of the engine or of this process, such
# as a long prefill between two steps, from moving streams.
STALL_GAPS = 10.0
MIN_STALL_S = 1.0
CANCEL_THREADS = 4
# Statuses by which an engine says that the request itself is wrong.
CALLER_ERROR_STATUSES = (400, 413, 422)


class StreamLimits(msgspec.Struct, kw_only=True):
    """Limits on one answer; times are in seconds.

    `gap_wait_s` is how long a missing event may be late before the stream is resumed,
    and `stall_timeout_s` how long an engine may send nothing after the first token. A
    stream that has begun waits up to `continuation_wait_s` for a slot, whatever its
    deadline, because its caller holds a part of the answer.
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
    """The engine sent nothing for too long; a resume would wait as long again."""


class FirstTokenLate(EndpointBroken):
    """The request moves to another engine because its first token is late."""


class CallerGone(Exception):
    """The caller closed its connection, so nobody waits for the answer."""


class TokenAssembler:
    """Puts the events of one answer in order and keeps its text.

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
        """Prepares for a new connection; tokens so far are kept."""
        self.parser = EventParser()
        self.pending: dict[int, ServerSentEvent] = {}
        self.overflowed = False
        self.done = False

    @property
    def complete(self) -> bool:
        return self.done and self.finish_reason is not None

    def feed(self, received: bytes) -> bytes:
        """Returns the events that are next in order, as they were received.

        Raises `EndpointBroken` for events that are not part of an answer.
        """
        accepted: list[bytes] = []
        try:
            for block in self.parser.blocks(received):
                if not self._accept_plain(block, accepted):
                    self._accept_any(parse_event(block), accepted)
        except (msgspec.DecodeError, EventTooLarge) as error:
            raise EndpointBroken(message=f"the event is unknown: {error}") from error
        if self.done and self.finish_reason is not None:
            accepted.append(DONE_EVENT)
        return b"".join(accepted)

    def _accept_plain(self, block: bytes, accepted: list[bytes]) -> bool:
        """Accepts the usual event, the next token, with as little work as possible."""
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
        accepted.append(block + EVENT_END)
        return True

    def _accept_any(self, event: ServerSentEvent, accepted: list[bytes]) -> None:
        if event.data == DONE_DATA:
            self.done = True
        elif event.id == self.next_token:
            self._accept(event, accepted)
            if self.pending:
                self._accept_pending(accepted)
        else:
            self._set_aside(event)

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

    def _set_aside(self, event: ServerSentEvent) -> None:
        if event.id is None:
            raise EndpointBroken(message="an event has no id")
        if event.id < self.next_token:
            self.duplicates += 1
        elif len(self.pending) < self.max_pending:
            self.pending[event.id] = event
        else:
            self.overflowed = True


class StreamJob:
    """One answer in the making, across all the engines that work on it."""

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
        "left_last",
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
        # The deadline of the work, which may be later than that of the wait for a slot.
        self.call_deadline = call_deadline or ticket.deadline
        self.whole = whole  # the deadline applies to the last token, not the first
        self.once = once  # the work may not start on a second engine
        self.sent = False  # an engine may have begun the work
        self.left_last: str | None = None  # endpoint that failed or was left last
        self.assembler = TokenAssembler(max_pending=limits.max_pending_events)
        self.attempt = 0
        self.engines = 0
        self.grant: Any = None
        self.hedge_at: float | None = None  # for the current engine
        self.hedged = False  # the current engine is given up for another one

    @property
    def engine_stream_id(self) -> str:
        """The id by which the engine knows the current attempt."""
        return f"{self.stream_id}-{self.attempt}"

    @property
    def preempted(self) -> bool:
        # Work that runs once is not paused, because a restart could run it twice.
        return (
            self.grant is not None and not self.once and self.grant.preempted.is_set()
        )


class SpeedMeter:
    """Measures the first token and the gaps of one use of an engine, in seconds."""

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


def record_tokens(job: StreamJob, meter: SpeedMeter) -> None:
    """Adds the tokens of one use of an engine to the record of the request."""
    if meter.first_at is not None:
        job.active_request.record.note_tokens(
            first_at=meter.first_at,
            last_at=meter.last_at,
            total=job.assembler.next_token,
        )


class StreamRelay:
    """Relays answers from engines, through the scheduler's slots.

    `record_wasted(cause, tokens)` is called once for each answer that was discarded.
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
        """Starts the threads that cancel streams and watch silent engines."""
        self.cancellations = ThreadPoolExecutor(CANCEL_THREADS, "stream-cancel")
        self.thread = threading.Thread(
            target=self._watch_first_events, name="first-events", daemon=True
        )
        self.thread.start()

    def stop(self) -> None:
        """Sends the cancellations that wait, then ends the threads."""
        self.stopping.set()
        self.thread.join()
        self.cancellations.shutdown()

    def relay(self, job: StreamJob, located: Endpoint | None = None) -> Iterator[bytes]:
        """Yields the events of the complete answer, from its first token to `[DONE]`.

        `located` is the engine that already runs the stream. Raises `RequestError` when
        the answer cannot be completed and `CallerGone` when nobody waits for it.
        """
        try:
            if located is not None:
                yield from self._follow(job, located)
            while not job.assembler.complete:
                job.grant = self._acquire(job)
                yield from self._use(job)
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
        """Returns the complete answer as one JSON document; raises as `relay` does."""
        for _ in self.relay(job, located):
            pass
        assembler = job.assembler
        message = WholeMessage(content="".join(assembler.text))
        usage = TokenUsage(
            prompt_tokens=prompt_tokens,
            completion_tokens=assembler.next_token,
            total_tokens=prompt_tokens + assembler.next_token,
        )
        choice = WholeChoice(message=message, finish_reason=assembler.finish_reason)
        return msgspec.json.encode(
            WholeAnswer(id=job.stream_id, model=model, choices=[choice], usage=usage)
        )

    def _acquire(self, job: StreamJob):
        """Waits for a slot; takes endpoints that failed again when no other is left."""
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
        if job.left_last is not None:
            # The engine that was left just now comes after all others.
            job.ticket.excluded = {job.left_last}
            with contextlib.suppress(NoEndpoint):
                return job.active_request.acquire(self.scheduler, job.ticket)
        job.ticket.excluded.clear()
        return job.active_request.acquire(self.scheduler, job.ticket)

    def _follow(self, job: StreamJob, endpoint: Endpoint) -> Iterator[bytes]:
        """Reads a stream that another request started and that holds a slot already."""
        meter = SpeedMeter()
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

    def _use(self, job: StreamJob) -> Iterator[bytes]:
        """Uses one engine until the answer is complete or the engine is given up."""
        endpoint = job.grant.endpoint
        job.attempt += 1
        meter = SpeedMeter()
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
                self._decide(job, endpoint, error)
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
        self, job: StreamJob, endpoint: Endpoint, meter: SpeedMeter
    ) -> Iterator[bytes]:
        """Reads an engine; returns None when complete, else why it was given up."""
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

    def _resume(self, job: StreamJob, endpoint: Endpoint, meter: SpeedMeter) -> Result:
        return self.client.resume_stream(
            endpoint,
            stream_id=job.engine_stream_id,
            from_token=job.assembler.next_token,
            timeout_s=self._event_timeout(job, meter),
            handle=job.active_request.new_handle(self.client),
        )

    def _event_timeout(self, job: StreamJob, meter: SpeedMeter) -> float:
        if meter.first_at is None:
            return self._first_event_timeout(job)
        if job.whole:
            return min(self.limits.stall_timeout_s, self._remaining(job))
        return self.limits.stall_timeout_s

    def _read_timeout(self, job: StreamJob, meter: SpeedMeter) -> float:
        """Returns how long a read may wait; less for a class with a gap target."""
        timeout_s = self._event_timeout(job, meter)
        if meter.first_at is None or not self._moves_early(job):
            return timeout_s
        gap_s = job.ticket.request_class.latency.token_gap_ms / 1000.0
        for view in self.candidates(job.ticket.target):
            if view.endpoint.id == job.grant.endpoint.id:
                gap_s = max(gap_s, view.token_gap_s or 0.0)
        return min(timeout_s, max(MIN_STALL_S, STALL_GAPS * gap_s))

    def _moves_early(self, job: StreamJob) -> bool:
        """Tells whether a stream moves before `stall_timeout_s`."""
        # A stream that another request started has no grant and cannot be moved.
        if job.once or job.grant is None:
            return False
        return job.ticket.request_class.latency.token_gap_ms is not None

    def _must_stay(self, job: StreamJob, meter: SpeedMeter) -> bool:
        """Tells whether a silent stream waits on, because no other engine is free.

        An engine that was left before, for a late first token, may be taken again.
        """
        now = time.monotonic()
        if meter.first_at is None or not self._moves_early(job):
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
        """Returns the time to the deadline in seconds; raises if it has passed."""
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

    def _read(self, job: StreamJob, source, meter: SpeedMeter) -> Iterator[bytes]:
        """Relays one connection; returns None when complete, else why it ended."""
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
                    if assembler.pending or not self._must_stay(job, meter):
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

    def _decide(self, job: StreamJob, endpoint: Endpoint, error: EndpointError) -> None:
        """Prepares for the next engine or raises why there is none."""
        job.ticket.excluded.add(endpoint.id)
        job.left_last = endpoint.id
        if isinstance(error, EndpointNotReached):
            self.endpoint_table.mark_down(endpoint.id, str(error))
            return
        refused = isinstance(error, EndpointRefused)
        if refused and error.status in CALLER_ERROR_STATUSES:
            text = error.body.decode(errors="replace")[:500]
            raise BadRequest(message=f"the engine refused the request: {text}")
        if isinstance(error, FirstTokenLate):
            # No token has arrived, so the discarded work is the prefill.
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
        """Counts the tokens of an answer that nobody received as a whole."""
        if job.assembler.next_token:
            self.record_wasted(cause, job.assembler.next_token)

    def _release(
        self, job: StreamJob, meter: SpeedMeter, *, failed: bool, discarded: bool
    ) -> None:
        grant, job.grant = job.grant, None
        first_token_s = meter.first_token_s
        if job.hedged and first_token_s is None:
            # The time waited is a lower bound; without it the engine would look fast.
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
        """Cancels the attempt unless a retry of a caller that went away may want it.

        The engine itself ends a stream that has had no reader for its grace time.
        """
        if keep and job.keyed:
            return
        stream_id = job.engine_stream_id
        self.cancellations.submit(
            self.client.cancel_stream, endpoint, stream_id=stream_id
        )

    def _hedge_delay_s(self, job: StreamJob) -> float | None:
        """Returns after how long without a first token to move, None for never."""
        request_class = job.ticket.request_class
        if job.once or not request_class.repeatable or job.assembler.next_token:
            return None
        views = self.candidates(job.ticket.target)
        if not views:
            return None
        # The median, because a straggler's own estimate would hide its delay.
        first_token_s = median([view.first_token_s for view in views])
        if first_token_s:
            # The estimate includes the prefill of usual prompts; a long one needs more.
            prefill_s = job.ticket.prompt_tokens * PREFILL_S_PER_TOKEN
            first_token_s = max(first_token_s, prefill_s)
        else:
            latency = request_class.latency
            target_ms = latency.first_token_ms or latency.whole_answer_ms
            if target_ms is None:
                return None
            first_token_s = target_ms / 1000.0 * UNKNOWN_FIRST_TOKEN_SHARE
        return self.retry_budget.hedge_delay_s(request_class, first_token_s)

    def _may_hedge(self, job: StreamJob) -> bool:
        """Takes a token of the budget if the request can move to a free engine.

        The request moves at once; it does not run on both engines. A second request in
        parallel would take a slot and repeat tokens for each late one, while the gain
        is small: after three times the usual delay, a free engine most likely answers
        before the silent one.
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
        """Aborts calls that are preempted, or late, before their first event."""
        while not self.stopping.wait(WATCH_INTERVAL_S):
            # The lock keeps a job from going on to its next call before the abort.
            with self.lock:
                for job in self.awaiting_first_event:
                    if not job.preempted:
                        if not self._may_hedge(job):
                            continue
                        job.hedged = True
                    job.active_request.abort_call()
