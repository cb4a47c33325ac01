"""Simulates LLM engines, to replay load patterns against placement policies.

An engine batches its requests in steps. A step generates one token for each request
whose prefill is complete, and prefills up to one chunk of the next queued prompts,
which lengthens the step. A streamed event carries several tokens.
"""

import heapq
import random
from collections import deque

import msgspec

from lagoonrill._internal.coordination.policy.engine_placement import (
    EngineView,
    PackedPlacement,
    PromptJob,
    interactive_order,
)
from lagoonrill._internal.protocol.routing import EndpointRecord, PromptPart
from lagoonrill._internal.state.engine_load_table import CachedParts

STEP_MS = 3.47
STEP_MS_PER_REQUEST = 0.16
PREFILL_TOKENS_PER_MS = 36.1
PREFILL_CHUNK_TOKENS = 2_048
TOKENS_PER_EVENT = 5
SLOTS = 64
CACHE_TOKENS = 200_000


class RequestKind(msgspec.Struct, kw_only=True, frozen=True):
    """A kind of request with its latency goals in ms."""

    name: str
    heavy: bool
    goal_ms: float
    pause_goal_ms: float
    mean_events: float


class Request(msgspec.Struct, kw_only=True):
    """One request of a replay, with its progress; times are in ms."""

    id: str
    kind: RequestKind
    at: float
    parts: tuple[PromptPart, ...]
    events: int
    prefill_tokens_left: int = 0
    generated_tokens: int = 0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_pause: float = 0.0

    @property
    def prompt_tokens(self) -> int:
        return sum(part.tokens for part in self.parts)

    def met_goals(self) -> bool:
        return (
            self.first_event_at is not None
            and self.first_event_at - self.at <= self.kind.goal_ms
            and self.longest_pause <= self.kind.pause_goal_ms
            and self.generated_tokens >= self.events * TOKENS_PER_EVENT
        )


class ModelEngine:
    """A simulated engine with chunked prefill and a prefix cache."""

    def __init__(self, *, id: str, zone: str):
        self.id = id
        self.zone = zone
        self.prompts: deque[Request] = deque()
        self.running: list[Request] = []
        self.cache = CachedParts(limit_tokens=CACHE_TOKENS)
        self.busy = False

    def add(self, request: Request) -> None:
        request.prefill_tokens_left = (
            request.prompt_tokens - self.cache.expected_tokens(request.parts)
        )
        self.cache.note(request.parts, read=True)
        self.prompts.append(request)

    def step(self, now: float) -> float:
        """Starts a step at `now` and returns its duration in ms."""
        length = STEP_MS + STEP_MS_PER_REQUEST * len(self.running)
        budget = PREFILL_CHUNK_TOKENS
        while budget > 0 and self.prompts and len(self.running) < SLOTS:
            request = self.prompts[0]
            read = min(budget, request.prefill_tokens_left)
            request.prefill_tokens_left -= read
            budget -= read
            length += read / PREFILL_TOKENS_PER_MS
            if request.prefill_tokens_left:
                break
            self.running.append(self.prompts.popleft())
        end = now + length
        for request in self.running:
            self._generate_token(request, end)
        self.running = [
            item
            for item in self.running
            if item.generated_tokens < item.events * TOKENS_PER_EVENT
        ]
        return length

    def _generate_token(self, request: Request, now: float) -> None:
        request.generated_tokens += 1
        if request.generated_tokens % TOKENS_PER_EVENT:
            return
        if request.first_event_at is None:
            request.first_event_at = now
        else:
            pause = now - request.last_event_at
            request.longest_pause = max(request.longest_pause, pause)
        request.last_event_at = now

    def pending_tokens(self) -> int:
        return sum(request.prefill_tokens_left for request in self.prompts)

    def count(self, *, heavy: bool) -> int:
        return sum(
            request.kind.heavy is heavy for request in (*self.prompts, *self.running)
        )


def place_packed(request: Request, engines: list[ModelEngine]) -> ModelEngine | None:
    """Places a request with the router's policy; returns None if it has to wait."""
    records = [
        EndpointRecord(id=e.id, service="m", address="", zone=e.zone, slots=SLOTS)
        for e in engines
    ]
    by_id = {engine.id: engine for engine in engines}
    ordered = interactive_order(records)
    policy = PackedPlacement(zone="")
    streams = sum(engine.count(heavy=False) for engine in engines)
    count = policy.stream_engine_count(len(ordered), SLOTS, streams)
    job = PromptJob(
        id=request.id,
        parts=request.parts,
        prompt_tokens=request.prompt_tokens,
        heavy=request.kind.heavy,
        goal_s=request.kind.goal_ms / 1000,
        pause_goal_s=0.3,
    )
    listed = policy.shortlist(job, ordered, count, frozenset())

    def view(name: str) -> EngineView:
        engine = by_id[name]
        expected = engine.cache.expected_tokens(request.parts)
        return EngineView(
            id=name,
            zone=engine.zone,
            slots=SLOTS,
            pending_tokens=engine.pending_tokens(),
            ahead_tokens=engine.pending_tokens(),
            light=engine.count(heavy=False),
            heavy=engine.count(heavy=True),
            uncached_tokens=request.prompt_tokens - expected,
        )

    placement = policy.choose(
        job,
        [view(name) for name in listed.main],
        [view(name) for name in listed.paced],
        PREFILL_TOKENS_PER_MS * 1000,
    )
    return by_id[placement.engine] if placement.engine else None


def least_outstanding(request: Request, engines: list[ModelEngine]) -> ModelEngine:
    """Returns the engine with the fewest requests, as a baseline policy."""
    return min(engines, key=lambda e: (len(e.prompts) + len(e.running), e.id))


class RoundRobin:
    """Assigns requests to the engines in rotation, as a baseline policy."""

    def __init__(self):
        self.next = 0

    def __call__(self, request: Request, engines: list[ModelEngine]) -> ModelEngine:
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
        for request in waiting:
            engine = place(request, engines)
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
            if kind.heavy:
                parts = (
                    PromptPart(id=f"a{shared % 4}", tokens=2_520),
                    PromptPart(id=f"b{shared}", tokens=3_780),
                    PromptPart(id=f"own{number}", tokens=2_890),
                )
            else:
                parts = (
                    PromptPart(id=f"q{shared % 20}", tokens=198),
                    PromptPart(id=f"own{number}", tokens=628),
                )
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
