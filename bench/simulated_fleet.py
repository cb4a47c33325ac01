"""Simulates engines and callers around the real scheduler, on an injected clock."""

import heapq
import itertools
import random
from collections import OrderedDict

import msgspec

from lagoonrill._internal.coordination.policy import CacheEvent, build_policy
from lagoonrill._internal.coordination.policy.prefix_affinity import BLOCK_TOKENS
from lagoonrill._internal.protocol.errors import RequestError
from lagoonrill._internal.protocol.manifest import Endpoint, Manifest, RequestClass
from lagoonrill._internal.state.endpoint_table import EndpointTable, LoadReport
from lagoonrill._internal.state.request_queue import Scheduler, Ticket, Usage

FIRST_STEP_S = 0.05
PREFILL_S_PER_TOKEN = 0.0002
TOKEN_GAP_S = 0.02
# Each stream in the batch lengthens the token gap of a new stream by this share.
BATCH_SLOWDOWN = 0.03
ENGINE_CACHE_BLOCKS = 400
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.3
CACHE_EVENT_LAG_S = 0.3
CACHE_EVENT_LOSS = 0.02
# The relay reports the token gap to the endpoint table after this many tokens.
PROGRESS_TOKENS = 8
REFUSED_RETRY_S = 0.01


class Arrival(msgspec.Struct, kw_only=True):
    """One request of the trial; its output length is hidden from the scheduler."""

    at_s: float
    request_class: RequestClass
    team: str
    target: str
    prompt_tokens: int
    output_tokens: int
    prompt_blocks: tuple[int, ...] = ()


class Fault(msgspec.Struct, kw_only=True):
    """A period in which an engine is slower by `factor`, or crashed."""

    endpoint: str
    kind: str
    from_s: float
    until_s: float
    factor: float = 5.0


class Request:
    """A caller's request and its result.

    It is also the `wakeup` event of its queue entry, hence `set` and `clear`.
    """

    def __init__(self, *, arrival: Arrival, fleet: "Fleet"):
        self.arrival = arrival
        self.fleet = fleet
        self.ticket: Ticket | None = None
        self.entry = None
        self.generated_tokens = 0
        self.first_token_at: float | None = None
        self.finished_at: float | None = None
        self.error: RequestError | None = None
        self.is_abandoned = False
        self.slot_time_s = 0.0
        self.repeated_prefill_s = 0.0
        self.attempts = 0

    def set(self) -> None:
        self.fleet.notified.append(self)

    def clear(self) -> None:
        pass

    @property
    def is_over(self) -> bool:
        return (
            self.finished_at is not None or self.error is not None or self.is_abandoned
        )


class Stream:
    """One attempt of a request, which occupies a slot of an engine."""

    def __init__(self, *, request: Request, engine: "Engine", now: float):
        self.request = request
        self.engine = engine
        self.grant = request.entry.grant
        self.started_at = now
        self.first_at = 0.0
        self.gap_s = 0.0
        self.is_ended = False
        self.is_stopping = False

    def tokens_at(self, now: float) -> int:
        if now < self.first_at:
            return 0
        remaining_tokens = (
            self.request.arrival.output_tokens - self.request.generated_tokens
        )
        return min(remaining_tokens, 1 + int((now - self.first_at) / self.gap_s))


class Engine:
    """A simulated engine with continuous batching and a prefix cache."""

    def __init__(self, *, endpoint: Endpoint):
        self.endpoint = endpoint
        self.streams: set[Stream] = set()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events = itertools.count()
        self.factor = 1.0
        self.is_crashed = False

    def compute_timing(self, stream: Stream, now: float) -> float:
        """Computes the stream's timing and returns its prefill time."""
        request = stream.request
        blocks = request.arrival.prompt_blocks
        cached = 0
        while cached < len(blocks) and blocks[cached] in self.cache:
            cached += 1
        # A resumed stream prefills the tokens generated so far with the prompt.
        tokens = request.arrival.prompt_tokens + request.generated_tokens
        uncached = max(0, tokens - cached * BLOCK_TOKENS)
        batch = 1.0 + BATCH_SLOWDOWN * len(self.streams)
        prefill_s = uncached * PREFILL_S_PER_TOKEN * self.factor
        stream.gap_s = TOKEN_GAP_S * batch * self.factor
        stream.first_at = now + FIRST_STEP_S * self.factor + prefill_s
        return prefill_s

    def store(self, blocks: tuple[int, ...]) -> CacheEvent:
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        evicted = []
        while len(self.cache) > ENGINE_CACHE_BLOCKS:
            evicted.append(self.cache.popitem(last=False)[0])
        return CacheEvent(
            number=next(self.events), stored=blocks, evicted=tuple(evicted)
        )


class Fleet:
    """Runs arrivals and faults against a scheduler with the given policy."""

    def __init__(
        self, *, manifest: Manifest, policy: str, seed: int, caller_timeout_s: dict
    ):
        self.now = 0.0
        self.random = random.Random(seed)
        self.caller_timeout_s = caller_timeout_s
        self.table = EndpointTable(clock=self.clock)
        self.policy = build_policy(policy, zone=manifest.endpoints[0].zone)
        self.scheduler = Scheduler(
            instance="i1", table=self.table, policy=self.policy, clock=self.clock
        )
        self.table.apply_manifest(manifest)
        self.scheduler.apply_manifest(manifest)
        self.engines = {e.id: Engine(endpoint=e) for e in manifest.endpoints}
        self.events: list[tuple] = []
        self.sequence = itertools.count()
        self.notified: list[Request] = []
        self.requests: list[Request] = []
        self.busy_s = 0.0

    def clock(self) -> float:
        return self.now

    def schedule(self, when: float, action, *arguments) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), action, arguments))

    def run(
        self, arrivals: list[Arrival], faults: list[Fault], *, until_s: float
    ) -> None:
        """Runs until all requests have ended, at most until `until_s`."""
        for arrival in arrivals:
            self.schedule(arrival.at_s, self._arrive, arrival)
        for fault in faults:
            self.schedule(fault.from_s, self._set_fault, fault, True)
            self.schedule(fault.until_s, self._set_fault, fault, False)
        self.schedule(REPORT_INTERVAL_S, self._report_loads, until_s)
        while self.now < until_s and self._step():
            self._apply_decisions()

    def _step(self) -> bool:
        wake_at = self.scheduler.next_wake()
        if wake_at is not None and (not self.events or wake_at < self.events[0][0]):
            self.now = max(self.now, wake_at)
            self.scheduler.poll()
            return True
        if not self.events:
            return False
        when, _, action, arguments = heapq.heappop(self.events)
        self.now = max(self.now, when)
        action(*arguments)
        return True

    def _apply_decisions(self) -> None:
        while self.notified:
            request = self.notified.pop(0)
            entry = request.entry
            if entry is not None and entry.is_ended:
                request.entry = None
                self._handle_entry(request, entry)
        for engine in self.engines.values():
            for stream in engine.streams:
                if stream.grant.preempted.is_set() and not stream.is_stopping:
                    stream.is_stopping = True
                    self.schedule(self.now + stream.gap_s, self._pause, stream)

    def _arrive(self, arrival: Arrival) -> None:
        request = Request(arrival=arrival, fleet=self)
        self.requests.append(request)
        request_class = arrival.request_class
        request.ticket = Ticket(
            request_id=str(len(self.requests)),
            team=arrival.team,
            request_class=request_class,
            target=arrival.target,
            prompt_tokens=arrival.prompt_tokens,
            prompt_blocks=arrival.prompt_blocks,
            arrived_at=self.now,
            deadline=self.now + request_class.max_wait_ms / 1000.0,
        )
        self.policy.retries.note_request()
        caller_timeout_s = self.caller_timeout_s.get(request_class.name)
        if caller_timeout_s is not None:
            self.schedule(self.now + caller_timeout_s, self._time_out, request)
        self._submit(request)

    def _submit(self, request: Request) -> None:
        if request.is_over:
            return
        request.entry = self.scheduler.submit(request.ticket, wakeup=request)
        if request.entry.is_ended:
            self.notified.append(request)

    def _handle_entry(self, request: Request, entry) -> None:
        if entry.error is not None:
            if not request.is_abandoned:
                request.error = entry.error
            return
        engine = self.engines[entry.grant.endpoint.id]
        request.entry = entry
        stream = Stream(request=request, engine=engine, now=self.now)
        request.entry = None
        if engine.is_crashed:
            self._refuse(stream)
            return
        request.attempts += 1
        prefill_s = engine.compute_timing(stream, self.now)
        if request.attempts > 1:
            request.repeated_prefill_s += prefill_s + FIRST_STEP_S * engine.factor
        engine.streams.add(stream)
        self.schedule(stream.first_at, self._first_token, stream)
        remaining_tokens = request.arrival.output_tokens - request.generated_tokens
        self.schedule(
            stream.first_at + (remaining_tokens - 1) * stream.gap_s,
            self._finish,
            stream,
        )
        event = engine.store(request.arrival.prompt_blocks)
        if self.random.random() >= CACHE_EVENT_LOSS:
            self.schedule(
                self.now + CACHE_EVENT_LAG_S, self._cache_event, engine, event
            )

    def _refuse(self, stream: Stream) -> None:
        # A refused connection does not use the retry budget: nothing was sent.
        endpoint_id = stream.engine.endpoint.id
        self.table.mark_down(endpoint_id, "connection refused")
        self.scheduler.release(stream.grant, Usage(failed=True))
        self.schedule(self.now + REFUSED_RETRY_S, self._submit, stream.request)

    def _cache_event(self, engine: Engine, event: CacheEvent) -> None:
        self.policy.prefixes.apply_events(engine.endpoint.id, [event])

    def _first_token(self, stream: Stream) -> None:
        if stream.is_ended:
            return
        if stream.request.first_token_at is None:
            stream.request.first_token_at = self.now
        self.table.note_speed(
            stream.engine.endpoint.id, first_token_s=self.now - stream.started_at
        )
        self.schedule(self.now + PROGRESS_TOKENS * stream.gap_s, self._progress, stream)

    def _progress(self, stream: Stream) -> None:
        if not stream.is_ended:
            endpoint_id = stream.engine.endpoint.id
            self.table.note_speed(endpoint_id, token_gap_s=stream.gap_s)

    def _finish(self, stream: Stream) -> None:
        if stream.is_ended:
            return
        stream.request.finished_at = self.now
        self._end(stream)

    def _pause(self, stream: Stream) -> None:
        if stream.is_ended:
            return
        self._end(stream)
        self._submit(stream.request)

    def _time_out(self, request: Request) -> None:
        """Cancels a request whose first token did not arrive in time."""
        if request.is_over or request.first_token_at is not None:
            return
        request.is_abandoned = True
        self.scheduler.cancel(request.ticket)
        for engine in self.engines.values():
            for stream in list(engine.streams):
                if stream.request is request:
                    self._end(stream)

    def _end(self, stream: Stream, *, failed: bool = False) -> None:
        stream.is_ended = True
        stream.engine.streams.discard(stream)
        request = stream.request
        tokens = stream.tokens_at(self.now)
        request.generated_tokens += tokens
        slot_time_s = self.now - stream.started_at
        request.slot_time_s += slot_time_s
        self.busy_s += slot_time_s
        usage = Usage(
            tokens=tokens,
            token_gap_s=stream.gap_s if tokens > 1 else None,
            failed=failed,
        )
        self.scheduler.release(stream.grant, usage)

    def _set_fault(self, fault: Fault, active: bool) -> None:
        engine = self.engines[fault.endpoint]
        if fault.kind == "slow":
            engine.factor = fault.factor if active else 1.0
            return
        engine.is_crashed = active
        if active:
            engine.cache.clear()
            for stream in list(engine.streams):
                self._crash(stream)

    def _crash(self, stream: Stream) -> None:
        endpoint_id = stream.engine.endpoint.id
        self._end(stream, failed=True)
        self.table.mark_down(endpoint_id, "connection lost")
        request = stream.request
        if not self.policy.retries.allow_retry(request.arrival.request_class):
            request.is_abandoned = True
            return
        request.ticket.excluded.add(endpoint_id)
        self._submit(request)

    def _report_loads(self, until_s: float) -> None:
        for engine in self.engines.values():
            if not engine.is_crashed:
                report = LoadReport(
                    running=len(engine.streams),
                    waiting=0,
                    slots=engine.endpoint.slots,
                    age_s=0.0,
                )
                self.schedule(self.now + REPORT_LAG_S, self._deliver, engine, report)
        if self.now < until_s and not self._is_done():
            self.schedule(self.now + REPORT_INTERVAL_S, self._report_loads, until_s)

    def _deliver(self, engine: Engine, report: LoadReport) -> None:
        late = msgspec.structs.replace(report, age_s=REPORT_LAG_S)
        self.table.report_load(engine.endpoint.id, late)

    def _is_done(self) -> bool:
        arriving = any(action == self._arrive for _, _, action, _ in self.events)
        return not arriving and all(request.is_over for request in self.requests)
