"""Serves a caller's request: classify, claim, acquire a slot, call, record, release."""

import hashlib
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import unquote

import logbook
import msgspec
from returns.result import Failure

from ..protocol.chat import (
    ChatRequest,
    decode_chat_request,
    estimate_tokens,
    prompt_blocks,
    prompt_text,
)
from ..protocol.claim_errors import ClaimError, KeyReused, OutcomeKnown
from ..protocol.claim_records import Outcome
from ..protocol.endpoint_errors import EndpointError, EndpointNotReached
from ..protocol.errors import (
    BadRequest,
    DeadlineExceeded,
    EndpointFailed,
    KeyMissing,
    NotFound,
    NotReady,
    OutcomeUnknown,
    RequestError,
    RunState,
    TooLarge,
    Truncated,
    Unauthorized,
)
from ..protocol.manifest import Endpoint, Manifest, RequestClass, Service, Team
from ..state.tickets import Ticket, Usage
from .active_request import ActiveRequest
from .caller_thread_limit import CallerThreadLimit
from .streams import CallerGone, StreamJob, StreamRelay

log = logbook.Logger("dispatch")

RETRY_AFTER_S = 1.0
# A non-repeatable call may run this long after its caller's deadline, so that its
# outcome is recorded and a later retry receives it.
OUTCOME_GRACE_S = 120.0
# How long a caller waits, beyond its deadline, for the record that its call never ran.
CLAIM_CLOSE_TIMEOUT_S = 1.0
MAX_KEY_CHARACTERS = 255
# The team's key, the headers of the caller's connection and those that only the router
# reads are not sent to services.
NOT_FORWARDED_HEADERS = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-instance",
        "x-request-class",
    )
)


class CallerRequest(msgspec.Struct, kw_only=True):
    """A request from an authenticated caller; header names are in lower case.

    `path` is still percent-encoded and excludes the query. Times are in seconds.
    """

    team: Team
    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = {}
    body: bytes = b""
    arrived_at: float
    deadline: float

    @property
    def key(self) -> str | None:
        return self.headers.get("idempotency-key")


class Answer(msgspec.Struct, kw_only=True):
    """An answer with any status; a body that is an iterator is streamed."""

    status: int = 200
    content_type: str = "application/json"
    headers: list[tuple[str, str]] = []
    body: bytes | Iterator[bytes] = b""


class ManifestIndex:
    """Indexes the active manifest by the names that requests use."""

    def __init__(self, *, manifest: Manifest):
        self.manifest = manifest
        self.classes = {c.name: c for c in manifest.classes}
        self.models = {m.name: m for m in manifest.models}
        self.services = {s.name: s for s in manifest.services}
        self.endpoints = {e.id: e for e in manifest.endpoints}
        self.teams = {d.lower(): t for t in manifest.teams for d in t.key_digests}

    def class_named(self, name: str) -> RequestClass:
        """Returns the class with this name; raises `NotFound`."""
        if name not in self.classes:
            raise NotFound(message=f"class {name!r} is not declared")
        return self.classes[name]

    def class_of_call(self, service: Service, method: str, path: str) -> RequestClass:
        """Returns the class of the first matching route; raises `NotFound`."""
        for route in service.routes:
            same_method = route.method in ("*", method)
            if same_method and path.startswith(route.path_prefix):
                return self.class_named(route.request_class)
        message = f"service {service.name!r} has no route for {method} {path}"
        raise NotFound(message=message)


def stream_id_for(request: CallerRequest) -> str:
    """Returns a stream id: equal on all instances for a keyed request, else random.

    The digest includes the body, so a key that is reused for another request does not
    receive the first request's answer.
    """
    if request.key is None:
        return uuid.uuid4().hex
    digest = hashlib.sha256()
    for part in (request.team.name.encode(), request.key.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()[:32]


def checked_service_path(path: str) -> str:
    """Returns the decoded path; rejects forms that a service may decode differently.

    The route decides whether a call may be repeated, so the router and the service must
    agree on the path.

    >>> checked_service_path("/orders/a%20b")
    '/orders/a b'
    """
    decoded = unquote(path)
    segments = decoded.split("/")[1:]
    if "" in segments[:-1] or "." in segments or ".." in segments:
        raise BadRequest(message="the path has empty or relative segments")
    if decoded.count("/") != path.count("/") or "\\" in decoded:
        raise BadRequest(message="the path has an encoded separator")
    if "%" in decoded or ";" in decoded:
        raise BadRequest(message="the path is ambiguous")
    return decoded


class Dispatcher:
    """Serves callers' requests; each call runs on the thread of its request.

    `retry_budget` is the retry policy, with `note_request()` and
    `allow_retry(request_class)`.
    """

    def __init__(
        self,
        *,
        generation,
        scheduler,
        endpoint_table,
        claims,
        registry,
        client,
        retry_budget,
        relay: StreamRelay,
        caller_thread_limit: CallerThreadLimit,
        max_prompt_characters: int = 1_000_000,
    ):
        self.generation = generation
        self.scheduler = scheduler
        self.endpoint_table = endpoint_table
        self.claims = claims
        self.registry = registry
        self.client = client
        self.retry_budget = retry_budget
        self.relay = relay
        self.caller_thread_limit = caller_thread_limit
        self.max_prompt_characters = max_prompt_characters
        self.lock = threading.Lock()
        self.index_cache: tuple[Any, ManifestIndex] | None = None
        self.background_calls = 0

    def index(self) -> ManifestIndex:
        """Returns the index of the active manifest; raises `NotReady`."""
        record = self.generation.current()
        if record is None:
            message = "no manifest is in force yet"
            raise NotReady(message=message, retry_after_s=RETRY_AFTER_S)
        cached = self.index_cache
        if cached is None or cached[0] is not record:
            cached = (record, ManifestIndex(manifest=record.manifest))
            self.index_cache = cached
        return cached[1]

    def authenticate(self, authorization: str | None) -> Team:
        """Returns the team that owns a bearer key; raises `Unauthorized`."""
        scheme, _, key = (authorization or "").partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            raise Unauthorized(message="the request has no bearer key")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        team = self.index().teams.get(digest)
        if team is None:
            raise Unauthorized(message="the bearer key is unknown")
        return team

    def calls_in_background(self) -> int:
        """Returns the number of non-repeatable calls that have not ended.

        Such a call may still run after its caller was answered.
        """
        with self.lock:
            return self.background_calls

    def _ticket(
        self,
        request: CallerRequest,
        request_class: RequestClass,
        target: str,
        prompt: str = "",
    ):
        self.retry_budget.note_request()
        longest_wait_s = request_class.max_wait_ms / 1000
        return Ticket(
            request_id=uuid.uuid4().hex,
            team=request.team.name,
            request_class=request_class,
            target=target,
            prompt_tokens=estimate_tokens(prompt) if prompt else 0,
            prompt_blocks=prompt_blocks(prompt),
            arrived_at=request.arrived_at,
            deadline=min(request.deadline, request.arrived_at + longest_wait_s),
        )

    def _call_deadline(
        self, request: CallerRequest, request_class: RequestClass
    ) -> float:
        return request.deadline + (0 if request_class.repeatable else OUTCOME_GRACE_S)

    # Chat

    def chat(self, request: CallerRequest, active_request: ActiveRequest) -> Answer:
        """Answers a chat request; raises `RequestError` or `CallerGone`."""
        chat = self._decode_chat(request.body)
        text = prompt_text(chat)
        if len(text) > self.max_prompt_characters:
            limit = self.max_prompt_characters
            message = f"the prompt has {len(text)} characters; the limit is {limit}"
            raise TooLarge(message=message)
        request_class = self._chat_class(chat, request)
        active_request.begin(request_class, self.caller_thread_limit)
        ticket = self._ticket(request, request_class, chat.model, prompt=text)
        job = StreamJob(
            stream_id=stream_id_for(request),
            keyed=request.key is not None and request_class.repeatable,
            body=request.body,
            ticket=ticket,
            active_request=active_request,
            limits=self.relay.limits,
            whole=not chat.stream,
            once=not request_class.repeatable,
            call_deadline=self._call_deadline(request, request_class),
        )
        if job.once:
            return self._chat_at_most_once(request, chat, job)
        first_attempt = request.headers.get("x-first-attempt", "")
        is_first_attempt = first_attempt.strip().lower() == "true"
        located = self._locate(job, is_first_attempt=is_first_attempt)
        if chat.stream:
            events = self.relay.relay(job, located)
            return Answer(
                content_type="text/event-stream", body=EventBody(events=events)
            )
        body = self.relay.whole_answer(job, chat.model, ticket.prompt_tokens, located)
        return Answer(body=body)

    def _decode_chat(self, body: bytes) -> ChatRequest:
        try:
            return decode_chat_request(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            message = f"the body is not a chat request: {error}"
            raise BadRequest(message=message) from error

    def _chat_class(self, chat: ChatRequest, request: CallerRequest) -> RequestClass:
        index = self.index()
        if chat.model not in index.models:
            raise NotFound(message=f"model {chat.model!r} is not declared")
        default = index.class_named(index.models[chat.model].default_class)
        return self._chosen_class(index, default, request)

    def _chosen_class(
        self, index: ManifestIndex, default: RequestClass, request: CallerRequest
    ) -> RequestClass:
        name = request.headers.get("x-request-class")
        if name is None:
            return default
        chosen = index.class_named(name)
        if chosen.repeatable and not default.repeatable:
            # The header must not disable the protection against running twice.
            message = f"class {name!r} may not replace {default.name!r} for this call"
            raise BadRequest(message=message)
        return chosen

    def _chat_at_most_once(
        self, request: CallerRequest, chat: ChatRequest, job: StreamJob
    ) -> Answer:
        if chat.stream:
            message = "a class that is not repeatable is answered whole"
            raise BadRequest(message=message, remedy="Send the request without stream")

        def execute() -> Answer:
            tokens = job.ticket.prompt_tokens
            return Answer(body=self.relay.whole_answer(job, chat.model, tokens))

        return self._run_at_most_once(request, job.active_request, execute)

    def _locate(self, job: StreamJob, *, is_first_attempt: bool) -> Endpoint | None:
        """Returns the engine that already runs a keyed stream, if it is known."""
        if not job.keyed or is_first_attempt:
            # No stream exists yet for a key on its first attempt. While the key's home
            # instance is down but not yet dropped, the lookup would time out.
            return None
        record = self.registry.locate(job.stream_id)
        endpoint = record and self.index().endpoints.get(record.endpoint)
        if endpoint is None:
            return None
        job.attempt = record.attempt
        return endpoint

    # Plain services

    def service(
        self, name: str, request: CallerRequest, active_request: ActiveRequest
    ) -> Answer:
        """Forwards a call to a plain service; `request.path` is relative to it."""
        index = self.index()
        if name not in index.services:
            raise NotFound(message=f"service {name!r} is not declared")
        path = checked_service_path(request.path)
        default = index.class_of_call(index.services[name], request.method, path)
        request_class = self._chosen_class(index, default, request)
        active_request.begin(request_class, self.caller_thread_limit)
        ticket = self._ticket(request, request_class, name)
        if request_class.repeatable:
            return self._call_service(request, ticket, active_request)

        def execute() -> Answer:
            return self._call_service(request, ticket, active_request, once=True)

        return self._run_at_most_once(request, active_request, execute)

    def _call_service(
        self,
        request: CallerRequest,
        ticket,
        active_request: ActiveRequest,
        *,
        once: bool = False,
    ) -> Answer:
        """Calls the service's workers in turn until one answers."""
        sent = False
        while True:
            try:
                grant = active_request.acquire(self.scheduler, ticket)
            except RequestError as error:
                if sent:
                    error.run = RunState.UNKNOWN
                raise
            answered = self._call_worker(request, ticket, grant, active_request, once)
            if not isinstance(answered, Failure):
                return self._service_answer(grant.endpoint, answered.unwrap())
            error = answered.failure()
            ticket.excluded.add(grant.endpoint.id)
            if isinstance(error, EndpointNotReached):
                self.endpoint_table.mark_down(grant.endpoint.id, str(error))
                active_request.undo_begin_call()
                continue
            sent = True
            if once:
                raise OutcomeUnknown(message=error.message, retry_after_s=RETRY_AFTER_S)
            active_request.check()
            self._allow_retry(ticket, error)

    def _call_worker(
        self, request, ticket, grant, active_request: ActiveRequest, once: bool
    ):
        started_at = time.monotonic()
        usage = Usage(tokens=0, wasted_tokens=0, failed=True)
        try:
            active_request.begin_call()
            answered = self.client.call(
                grant.endpoint,
                method=request.method,
                path=request.path + (f"?{request.query}" if request.query else ""),
                headers=self._forwarded_headers(request),
                body=request.body,
                timeout_s=max(
                    0.001,
                    self._call_deadline(request, ticket.request_class) - started_at,
                ),
                handle=active_request.new_handle(self.client),
                fresh_connection=once,
            )
            if not isinstance(answered, Failure):
                elapsed_s = time.monotonic() - started_at
                usage = Usage(
                    tokens=0, wasted_tokens=0, first_token_s=elapsed_s, failed=False
                )
            return answered
        finally:
            self.scheduler.release(grant, usage)

    def _forwarded_headers(self, request: CallerRequest) -> dict[str, str]:
        return {
            name: value
            for name, value in request.headers.items()
            if name not in NOT_FORWARDED_HEADERS
        }

    def _service_answer(self, endpoint: Endpoint, answer) -> Answer:
        if answer.leaving:
            self.endpoint_table.mark_leaving(endpoint.id, "answer")
        headers = [h for h in answer.headers if h[0].lower() != "content-type"]
        return Answer(
            status=answer.status,
            content_type=answer.content_type,
            headers=headers,
            body=answer.body,
        )

    def _allow_retry(self, ticket, error: EndpointError) -> None:
        """Raises unless the deadline and the retry budget allow another call."""
        if time.monotonic() >= ticket.deadline:
            message = "the deadline passed before the answer"
            raise DeadlineExceeded(message=message, run=RunState.UNKNOWN)
        if not self.retry_budget.allow_retry(ticket.request_class):
            message = f"the call failed and the retry budget is spent: {error.message}"
            raise EndpointFailed(message=message, retry_after_s=RETRY_AFTER_S)

    # Calls that run at most once

    def _run_at_most_once(
        self,
        request: CallerRequest,
        active_request: ActiveRequest,
        execute: Callable[[], Answer],
    ) -> Answer:
        """Claims the request's key and executes the call if the claim is granted."""
        key = request.key
        if not key:
            raise KeyMissing(message="this class needs an Idempotency-Key")
        if len(key) > MAX_KEY_CHARACTERS:
            message = f"the Idempotency-Key is longer than {MAX_KEY_CHARACTERS}"
            raise BadRequest(message=message)
        claimed = self.claims.claim(
            team=request.team.name,
            key=key,
            body_digest=self._call_digest(request),
            deadline=request.deadline,
        )
        if isinstance(claimed, Failure):
            return self._handle_claim_error(claimed.failure())
        call = AtMostOnceCall(
            dispatcher=self,
            grant=claimed.unwrap(),
            active_request=active_request,
            execute=execute,
            deadline=request.deadline,
        )
        return call.run()

    def _call_digest(self, request: CallerRequest) -> str:
        digest = hashlib.sha256()
        parts = (request.method, request.path, request.query)
        for part in (*(p.encode() for p in parts), request.body):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.hexdigest()

    def _handle_claim_error(self, error: ClaimError) -> Answer:
        """Returns the recorded answer or raises why the claim was not granted."""
        if isinstance(error, OutcomeKnown):
            return recorded_answer(error.outcome)
        refusal = error.to_request_error()
        # The key is claimed for another body, so this body never ran under it.
        refusal.covers_all_attempts = isinstance(error, KeyReused)
        raise refusal


def recorded_answer(outcome: Outcome) -> Answer:
    """Returns the recorded answer of an earlier attempt."""
    headers = dict(outcome.headers)
    content_type = headers.pop("Content-Type", "application/json")
    return Answer(
        status=outcome.status,
        content_type=content_type,
        headers=list(headers.items()),
        body=outcome.body,
    )


class AtMostOnceCall:
    """Runs a claimed call on its own thread.

    The outcome is recorded even if the deadline passes or the caller disconnects.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        grant,
        active_request: ActiveRequest,
        execute,
        deadline: float,
    ):
        self.dispatcher = dispatcher
        self.grant = grant
        self.active_request = active_request
        self.execute = execute
        self.deadline = deadline
        self.active_request.once = True
        self.closed = False
        self.answer: Answer | None = None
        self.error: Exception | None = None
        self.ended = threading.Event()

    def run(self) -> Answer:
        """Runs the call; raises `OutcomeUnknown` if it is running at the deadline."""
        with self.dispatcher.lock:
            self.dispatcher.background_calls += 1
        threading.Thread(target=self._execute, name="once-call", daemon=True).start()
        if not self.ended.wait(max(0.0, self.deadline - time.monotonic())):
            if self.active_request.cancel():
                self.ended.wait(CLAIM_CLOSE_TIMEOUT_S)
            if self.closed:
                refusal = DeadlineExceeded(
                    message="the deadline passed before the call was sent",
                    retry_after_s=RETRY_AFTER_S,
                )
                refusal.covers_all_attempts = True
                raise refusal
            raise OutcomeUnknown(
                message="the deadline passed while the call ran",
                retry_after_s=RETRY_AFTER_S,
            )
        if self.error is not None:
            raise self.error
        return self.answer

    def _execute(self) -> None:
        try:
            self.answer = self.execute()
            self._record()
        except Exception as error:
            self._fail(error)
        finally:
            with self.dispatcher.lock:
                self.dispatcher.background_calls -= 1
            self.ended.set()

    def _record(self) -> None:
        headers = dict(self.answer.headers)
        headers["Content-Type"] = self.answer.content_type
        outcome = Outcome(
            status=self.answer.status, headers=headers, body=self.answer.body
        )
        recorded = self.dispatcher.claims.record_outcome(self.grant, outcome)
        if isinstance(recorded, Failure):
            log.warning("outcome not recorded yet: {}", recorded.failure())

    def _fail(self, error: Exception) -> None:
        """Closes the claim if the call was not sent; else reports it as unknown."""
        if isinstance(error, CallerGone):
            not_run = True
        elif isinstance(error, RequestError):
            not_run = error.run is RunState.NOT_RUN
        else:
            log.exception("unexpected error in a non-repeatable call")
            error = OutcomeUnknown(message="the call failed inside the router")
            not_run = False
        if not_run:
            error = self._close(error)
        elif not isinstance(error, OutcomeUnknown):
            error = OutcomeUnknown(message=str(error), retry_after_s=RETRY_AFTER_S)
        self.error = error

    def _close(self, error: Exception) -> Exception:
        """Closes the claim; only the record proves `not_run` to other instances."""
        closed = self.dispatcher.claims.close(self.grant)
        if isinstance(closed, Failure):
            log.warning("claim not closed yet: {}", closed.failure())
            return closed.failure().to_request_error()
        self.closed = True
        error.covers_all_attempts = True
        return error


class EventBody:
    """The body of a streamed answer.

    Creation blocks until the first events, so that an earlier error sets the HTTP
    status. A later error is sent as the last event, without `[DONE]`.
    """

    __slots__ = ("events", "first")

    def __init__(self, *, events: Iterator[bytes]):
        self.events = events
        self.first = next(events)

    def __iter__(self):
        return self

    def __next__(self) -> bytes:
        if self.first:
            first, self.first = self.first, b""
            return first
        try:
            return next(self.events)
        except RequestError as error:
            return error_event(error)
        except CallerGone:
            raise StopIteration from None

    def close(self) -> None:
        """Cancels the relay if it is still running."""
        self.events.close()


def error_event(error: RequestError) -> bytes:
    """Returns the error event that ends a truncated answer."""
    cut_off = Truncated(message=error.message, retry_after_s=error.retry_after_s)
    return b"event: error\ndata: " + error_body(cut_off) + b"\n\n"


class ErrorDetail(msgspec.Struct, kw_only=True):
    """The JSON form of an error."""

    kind: str
    message: str
    run: RunState
    retry_after_s: float | None


class ErrorBody(msgspec.Struct, kw_only=True):
    """The body of an answer with an error status."""

    error: ErrorDetail


def error_body(error: RequestError) -> bytes:
    """Encodes an error as the JSON body of an answer."""
    detail = ErrorDetail(
        kind=error.kind,
        message=str(error),
        run=error.run,
        retry_after_s=error.retry_after_s,
    )
    return msgspec.json.encode(ErrorBody(error=detail))
