"""Simulates LLM engines, to replay load patterns against placement policies.

An engine batches its requests in steps. A step generates one token for each request
whose prefill is complete, and prefills up to one chunk of the next queued prompts,
which lengthens the step. A streamed event carries several tokens.
"""

import heapq
import random

import msgspec

from lagoonrill._internal.coordination.policy.engine_placement import (
    EngineView,
    PackedPlacement,
    PromptJob,
    interactive_order,
)
from lagoonrill._internal.coordination.policy.prompt_kinds import (
    PromptRoute,
    long_prompt_routes,
)
from lagoonrill._internal.protocol.messages import LAST_RANK
from lagoonrill._internal.protocol.routing import EndpointRecord, PromptPart
from lagoonrill._internal.state.engine_load_table import CachedParts


class EngineSpec(msgspec.Struct, kw_only=True, frozen=True):
    """Speed and size of an engine; the defaults are those of the users' first site."""

    step_ms: float = 3.47
    step_ms_per_request: float = 0.16
    prefill_tokens_per_ms: float = 36.1
    chunk_tokens: int = 2_048
    tokens_per_event: int = 5
    slots: int = 64
    cache_tokens: int = 200_000


FIRST_SITE = EngineSpec()


class RequestKind(msgspec.Struct, kw_only=True, frozen=True):
    """A kind of request with its latency goals in ms."""

    name: str
    goal_ms: float
    pause_goal_ms: float
    mean_events: float
    # Engines take prompts with smaller priorities first.
    priority: int = 0
    # Prompt tokens shared by all requests, by those of the same subject, and by none.
    prompt_tokens: tuple[int, int, int] = (0, 198, 628)


class Request(msgspec.Struct, kw_only=True):
    """One request of a replay, with its progress; times are in ms."""

    id: str
    kind: RequestKind
    at: float
    parts: tuple[PromptPart, ...]
    events: int
    prefill_tokens_left: int = 0
    prefill_started: bool = False
    generated_tokens: int = 0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    tokens_per_event: int = 1

    @property
    def complete(self) -> bool:
        return self.generated_tokens >= self.events * self.tokens_per_event

    @property
    def prompt_tokens(self) -> int:
        return sum(part.tokens for part in self.parts)

    def met_goals(self) -> bool:
        return (
            self.first_event_at is not None
            and self.first_event_at - self.at <= self.kind.goal_ms
            and self.longest_pause <= self.kind.pause_goal_ms
            and self.complete
        )


class ModelEngine:
    """A simulated engine with chunked prefill and a prefix cache."""

    def __init__(self, *, id: str, zone: str, spec: EngineSpec = FIRST_SITE):
        self.id = id
        self.zone = zone
        self.spec = spec
        self.prompts: list[Request] = []
        self.running: list[Request] = []
        self.cache = CachedParts(limit_tokens=spec.cache_tokens)
        self.busy = False

    def add(self, request: Request) -> None:
        request.prefill_tokens_left = (
            request.prompt_tokens - self.cache.expected_tokens(request.parts)
        )
        self.cache.note(request.parts, read=True)
        request.tokens_per_event = self.spec.tokens_per_event
        self.prompts.append(request)
        # A prompt that is already being read stays first.
        head, later = self.prompts[:1], self.prompts[1:]
        if head[0].prefill_started:
            self.prompts = head + sorted(later, key=lambda item: item.kind.priority)
        else:
            self.prompts.sort(key=lambda item: item.kind.priority)

    def step(self, now: float) -> float:
        """Starts a step at `now` and returns its duration in ms."""
        spec = self.spec
        length = spec.step_ms + spec.step_ms_per_request * len(self.running)
        budget = spec.chunk_tokens
        while budget > 0 and self.prompts and len(self.running) < spec.slots:
            request = self.prompts[0]
            read = min(budget, request.prefill_tokens_left)
            request.prefill_tokens_left -= read
            budget -= read
            request.prefill_started = True
            length += read / spec.prefill_tokens_per_ms
            if request.prefill_tokens_left:
                break
            self.running.append(self.prompts.pop(0))
        end = now + length
        for request in self.running:
            self._generate_token(request, end)
        self.running = [item for item in self.running if not item.complete]
        return length

    def _generate_token(self, request: Request, now: float) -> None:
        request.generated_tokens += 1
        if request.generated_tokens % request.tokens_per_event:
            return
        if request.first_event_at is None:
            request.first_event_at = now
        else:
            pause = now - request.last_event_at
            request.longest_pause = max(request.longest_pause, pause)
        request.last_event_at = now

    def pending_tokens(self, last_priority: int = LAST_RANK) -> int:
        """Returns the tokens to prefill of prompts up to a priority."""
        return sum(
            request.prefill_tokens_left
            for request in self.prompts
            if request.kind.priority <= last_priority
        )

    def count(self, kinds: frozenset[str]) -> int:
        """Returns the number of requests of the named kinds."""
        return sum(
            request.kind.name in kinds for request in (*self.prompts, *self.running)
        )


class PackedRouter:
    """Places requests of the given kinds with the router's policies."""

    def __init__(self, *, kinds: list[RequestKind], spec: EngineSpec):
        self.spec = spec
        self.policy = PackedPlacement(zone="")
        self.rate = spec.prefill_tokens_per_ms * 1000
        routes = [
            PromptRoute(
                name=kind.name,
                priority=kind.priority,
                pause_goal_s=kind.pause_goal_ms / 1000,
                prompt_tokens=float(sum(kind.prompt_tokens)),
            )
            for kind in kinds
        ]
        self.long = long_prompt_routes(routes, self.rate, frozenset())
        self.light = frozenset(kind.name for kind in kinds) - self.long
        self.pause_goal_s = min(kind.pause_goal_ms for kind in kinds) / 1000
        self.read_fraction = max(
            (self._read_fraction(kind) for kind in kinds if kind.name in self.light),
            default=0.0,
        )

    def _read_fraction(self, kind: RequestKind) -> float:
        spec = self.spec
        step_ms = spec.step_ms + spec.step_ms_per_request * spec.slots / 2
        run_s = kind.mean_events * spec.tokens_per_event * step_ms / 1000
        return sum(kind.prompt_tokens) / (self.rate * run_s)

    def __call__(
        self, request: Request, engines: list[ModelEngine], now: float
    ) -> ModelEngine | None:
        """Returns the engine for a request, or None if it has to wait."""
        records = [
            EndpointRecord(
                id=engine.id,
                service="m",
                address="",
                zone=engine.zone,
                slots=self.spec.slots,
            )
            for engine in engines
        ]
        by_id = {engine.id: engine for engine in engines}
        ordered = interactive_order(records)
        streams = sum(engine.count(self.light) for engine in engines)
        count = self.policy.stream_engine_count(
            len(ordered), self.spec.slots, streams, self.read_fraction
        )
        if not self.long:
            count = len(ordered)
        elif not self.light:
            count = 0
        on_time = now - request.at <= request.kind.goal_ms
        job = PromptJob(
            id=request.id,
            parts=request.parts,
            prompt_tokens=request.prompt_tokens,
            heavy=request.kind.name in self.long,
            goal_s=request.kind.goal_ms / 1000 if on_time else 0.0,
            pause_goal_s=self.pause_goal_s,
        )
        listed = self.policy.shortlist(job, ordered, count, frozenset(by_id))
        placement = self.policy.choose(
            job,
            [self._view(request, by_id[name]) for name in listed.main],
            [self._view(request, by_id[name]) for name in listed.paced],
            self.rate,
        )
        return by_id[placement.engine] if placement.engine else None

    def _view(self, request: Request, engine: ModelEngine) -> EngineView:
        expected = engine.cache.expected_tokens(request.parts)
        return EngineView(
            id=engine.id,
            zone=engine.zone,
            slots=self.spec.slots,
            pending_tokens=engine.pending_tokens(),
            ahead_tokens=engine.pending_tokens(request.kind.priority),
            light=engine.count(self.light),
            heavy=engine.count(self.long),
            uncached_tokens=request.prompt_tokens - expected,
        )


class FixedSplit:
    """Gives the first engines to some kinds and the others to the rest."""

    def __init__(self, *, first: frozenset[str], count: int):
        self.first = first
        self.count = count

    def __call__(
        self, request: Request, engines: list[ModelEngine], now: float
    ) -> ModelEngine:
        own, others = engines[: self.count], engines[self.count :]
        found = own if request.kind.name in self.first else others
        return min(found, key=lambda item: (item.pending_tokens(), item.id))


def least_outstanding(
    request: Request, engines: list[ModelEngine], now: float
) -> ModelEngine:
    """Returns the engine with the fewest requests, as a baseline policy."""
    return min(engines, key=lambda e: (len(e.prompts) + len(e.running), e.id))


class RoundRobin:
    """Assigns requests to the engines in rotation, as a baseline policy."""

    def __init__(self):
        self.next = 0

    def __call__(
        self, request: Request, engines: list[ModelEngine], now: float
    ) -> ModelEngine:
        self.next += 1
        return engines[self.next % len(engines)]


def replay(place, requests: list[Request], engines: list[ModelEngine]) -> None:
    """Replays requests; unplaced ones are retried at each arrival and end of step."""
    events: list[tuple[float, int, str, object]] = []
    for number, request in enumerate(requests):
        heapq.heappush(events, (request.at, number, "arrival", request))
    sequence = len(requests)
    waiting: list[Request] = []
    while events:
        now, _, event_type, item = heapq.heappop(events)
        if event_type == "arrival":
            waiting.append(item)
        else:
            item.busy = False
        still_waiting = []
        waiting.sort(key=lambda item: item.at + item.kind.goal_ms)
        for request in waiting:
            engine = place(request, engines, now)
            if engine is None:
                still_waiting.append(request)
            else:
                engine.add(request)
        waiting = still_waiting
        for engine in engines:
            if not engine.busy and (engine.prompts or engine.running):
                engine.busy = True
                sequence += 1
                end = now + engine.step(now)
                heapq.heappush(events, (end, sequence, "step", engine))


def arrivals(
    kinds: dict[RequestKind, float], *, seconds: float, seed: int, subjects: int = 100
) -> list[Request]:
    """Returns Poisson arrivals; `kinds` maps each kind to its rate per second."""
    rng = random.Random(seed)
    requests = []
    for kind, rate in kinds.items():
        at = 0.0
        while (at := at + rng.expovariate(rate) * 1000) < seconds * 1000:
            number = len(requests)
            shared = rng.randrange(subjects)
            by_all, by_subject, own = kind.prompt_tokens
            parts = (
                PromptPart(id=f"{kind.name}-all{shared % 4}", tokens=by_all),
                PromptPart(id=f"{kind.name}-subject{shared}", tokens=by_subject),
                PromptPart(id=f"own{number}", tokens=own),
            )
            parts = tuple(part for part in parts if part.tokens)
            mean = kind.mean_events
            requests.append(
                Request(
                    id=f"{kind.name}-{number}",
                    kind=kind,
                    at=at,
                    parts=parts,
                    events=max(1, round(rng.gammavariate(2, mean / 2))),
                )
            )
    return sorted(requests, key=lambda request: request.at)


def attainment(requests: list[Request], kind: RequestKind) -> float:
    """Returns the share of a kind's requests that met their latency goals."""
    found = [request for request in requests if request.kind == kind]
    return sum(request.met_goals() for request in found) / max(1, len(found))
