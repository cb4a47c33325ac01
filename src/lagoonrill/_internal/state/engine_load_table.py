"""Outstanding requests and cached prompt parts of the model engines.

Combines the requests that this instance sent with those that its peers report.
"""

import math
import threading
import time
from collections import OrderedDict
from collections.abc import Iterable
from copy import copy

import msgspec

from ..protocol.messages import EngineWork, PromptReply, PromptRequest
from ..protocol.routing import PromptPart
from .engine_speeds import EngineSpeeds
from .prefill_fit import PrefillFit

# Share of an engine's KV memory assumed to hold the prompt parts known here. Peers
# report only the shared two thirds of their prompts, and running requests need memory.
CACHE_SHARE = 0.45
# Capacity assumed for an engine that has not yet reported its memory size.
INITIAL_CACHE_TOKENS = 100_000
# Initial prefill rate in prompt tokens per second, and bounds of the estimate.
INITIAL_PREFILL_RATE = 20_000.0
MIN_PREFILL_RATE = 2_000.0
MAX_PREFILL_RATE = 400_000.0
# Samples can only underestimate the engines' rate, because concurrent requests and late
# reports of them lengthen a sample. The 4:1 ratio of the steps makes the estimate
# converge to the 80th percentile of the samples.
PREFILL_STEP_UP = 0.04
PREFILL_STEP_DOWN = 0.01
# Prompts of other instances that are not known yet lengthen some samples of an idle
# engine. The 19:1 ratio makes the estimate converge to the 95th percentile.
IDLE_STEP_UP = 0.038
IDLE_STEP_DOWN = 0.002
# That estimate contains the time that does not depend on the prompt's length, so it is
# too low. A fit that tells the two apart may exceed it by this factor.
MAX_FIT_RATIO = 4.0
# Number of cached parts remembered for all engines together, and for each at least.
# One takes 0.3 kB, whatever its number of tokens.
MAX_CACHED_PARTS = 40_000
MIN_CACHED_PARTS = 256
# Number of engines remembered per prompt part, and number of parts remembered.
MAX_READERS_PER_PART = 3
MAX_TRACKED_PARTS = 20_000
# The ratio of actual to expected prefill time is a moving average over about 20
# prompts, and each sample is capped.
DELAY_WEIGHT = 0.05
MAX_DELAY_RATIO = 8.0
# Time to the first event that does not depend on the prompt's length.
FIRST_TOKEN_S = 0.03
# A digest that arrives within this time after a grant was probably sent before the
# grant arrived. Messages within a zone take less than this.
GRANT_IN_FLIGHT_S = 0.02
# An owner's reply is used for this long; after that a digest contains the same work.
OWNER_REPLY_TTL_S = 0.15
# The time for smaller prompts is mostly network latency and the first token.
MIN_SAMPLE_TOKENS = 2_000


class EngineJob:
    """One request on an engine."""

    __slots__ = (
        "ahead_tokens",
        "engine",
        "heavy",
        "rank",
        "sent_at",
        "started",
        "tokens",
    )

    def __init__(
        self,
        *,
        engine: str,
        tokens: int,
        ahead_tokens: int,
        heavy: bool,
        rank: int = 0,
    ):
        self.engine = engine
        # Prompt tokens expected to miss the engine's prefix cache.
        self.tokens = tokens
        self.ahead_tokens = ahead_tokens
        self.heavy = heavy
        self.rank = rank
        self.sent_at = time.monotonic()
        self.started = False


class Grant:
    """A prompt that a peer may send and that its digest does not include yet."""

    __slots__ = ("at", "engine", "rank", "tokens")

    def __init__(self, *, engine: str, tokens: int, rank: int, at: float):
        self.engine = engine
        self.tokens = tokens
        self.rank = rank
        self.at = at


class ReplyErrors:
    """Sums of the differences between owners' replies and what was known here."""

    __slots__ = ("excess_tokens", "missed_tokens", "replies")

    def __init__(self):
        self.replies = 0
        self.missed_tokens = 0
        self.excess_tokens = 0

    def add(self, reported: int, known: int) -> None:
        self.replies += 1
        self.missed_tokens += max(0, reported - known)
        self.excess_tokens += max(0, known - reported)


def add_by_rank(total: dict[int, int], change: dict[int, int]) -> None:
    """Adds a change of pending tokens by rank to a total, in place."""
    for rank, tokens in change.items():
        left = total.get(rank, 0) + tokens
        if left:
            total[rank] = left
        else:
            total.pop(rank, None)


class CachedParts:
    """LRU model of the prompt parts in one engine's prefix cache.

    A part is expected once its prompt has been sent, and held once it has been read.

    >>> cache = CachedParts(limit_tokens=100)
    >>> parts = (PromptPart(id="a", tokens=60), PromptPart(id="b", tokens=30))
    >>> cache.note(parts, read=False)
    >>> asked = (*parts, PromptPart(id="c", tokens=20))
    >>> cache.expected_tokens(asked), cache.held_tokens(asked)
    (90, 0)
    >>> cache.note(parts, read=True)
    >>> cache.held_tokens(asked)
    90
    """

    __slots__ = ("limit_parts", "limit_tokens", "parts", "tokens")

    def __init__(self, *, limit_tokens: int, limit_parts: int = MAX_CACHED_PARTS):
        self.limit_tokens = limit_tokens
        # Callers choose how small the parts of a prompt are.
        self.limit_parts = limit_parts
        # Tokens of each part, and whether it was read.
        self.parts: OrderedDict[str, tuple[int, bool]] = OrderedDict()
        self.tokens = 0

    def note(self, parts: tuple[PromptPart, ...], *, read: bool) -> None:
        """Records the parts of a prompt that was sent to or read by the engine."""
        for part in reversed(parts):
            tokens, was_read = self.parts.pop(part.id, (0, False))
            self.tokens += part.tokens - tokens
            self.parts[part.id] = (part.tokens, read or was_read)
        while self.parts and (
            self.tokens > self.limit_tokens or len(self.parts) > self.limit_parts
        ):
            _, (tokens, _) = self.parts.popitem(last=False)
            self.tokens -= tokens

    def expected_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Returns the tokens of the leading parts that were sent or read."""
        total = 0
        for part in parts:
            if part.id not in self.parts:
                break
            total += part.tokens
        return total

    def held_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Returns the tokens of the leading parts that were read."""
        total = 0
        for part in parts:
            if not self.parts.get(part.id, (0, False))[1]:
                break
            total += part.tokens
        return total


class EngineLoadTable:
    """Outstanding work and cached parts of all engines."""

    def __init__(self, *, clock=time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.own: dict[str, EngineWork] = {}
        self.caches: dict[str, CachedParts] = {}
        self.incarnations: dict[str, int] = {}
        # The latest work digest of each live peer.
        self.peers: dict[str, list[EngineWork]] = {}
        # Prompts that this instance, as the engines' owner, granted to each peer.
        self.grants: dict[str, list[Grant]] = {}
        # Corrections to pending tokens from owners' replies, with their expiry times.
        self.owner_corrections: dict[str, tuple[int, float]] = {}
        # Work of this instance and all peers, by engine.
        self.totals: dict[str, EngineWork] = {}
        self.prefill_rates: dict[str, float] = {}
        self.idle_prefill_rates: dict[str, float] = {}
        self.prefill_fits: dict[str, PrefillFit] = {}
        self.delay_ratios: dict[str, float] = {}
        # Factors of the engines on the rates of their services.
        self.speeds = EngineSpeeds(clock=lambda: self.clock())
        self.reply_errors = ReplyErrors()
        # Called without the lock after this instance's own work has changed.
        self.changed = lambda: None
        # Reads not yet sent to the peers.
        self.unshared_reads: list[tuple[str, list[PromptPart]]] = []
        # The engines that read each part most recently, newest last.
        self.readers: dict[str, dict[str, None]] = {}

    def prefill_rate(self, service: str) -> float:
        """Returns the estimated prefill rate of a service's engines in tokens/s."""
        return self.prefill_rates.get(service, INITIAL_PREFILL_RATE)

    def delay_ratio(self, service: str) -> float:
        """Returns the recent mean ratio of actual to expected prefill time.

        It rises when peers' reports are late, so that engines have more pending tokens
        than is known here, or when the engines are slower than usual.
        """
        return self.delay_ratios.get(service, 1.0)

    def idle_prefill_rate(self, service: str) -> float:
        """Returns the prefill rate observed without other prompts ahead, in tokens/s.

        Under overload there are no such prompts, so it keeps its value.
        """
        least = self.idle_prefill_rates.get(service, INITIAL_PREFILL_RATE)
        return min(max(least, self._fitted_rate(service)), MAX_FIT_RATIO * least)

    def is_rate_observed(self, service: str) -> bool:
        """Returns whether enough prompts show the idle prefill rate."""
        return self._fitted_rate(service) > 0

    def _fitted_rate(self, service: str) -> float:
        fit = self.prefill_fits.get(service)
        return fit.tokens_per_s() if fit is not None else 0.0

    def _note_idle_sample(self, service: str, tokens: int, elapsed_s: float) -> None:
        self.prefill_fits.setdefault(service, PrefillFit()).add(tokens, elapsed_s)
        if tokens < MIN_SAMPLE_TOKENS:
            return
        before = self.idle_prefill_rates.get(service, INITIAL_PREFILL_RATE)
        step = IDLE_STEP_UP if tokens / elapsed_s > before else -IDLE_STEP_DOWN
        rate = min(MAX_PREFILL_RATE, max(MIN_PREFILL_RATE, before * (1 + step)))
        self.idle_prefill_rates[service] = rate

    def _note_delay(self, service: str, elapsed_s: float, expected_s: float) -> None:
        ratio = min(MAX_DELAY_RATIO, elapsed_s / expected_s)
        before = self.delay_ratios.get(service, 1.0)
        self.delay_ratios[service] = before + DELAY_WEIGHT * (ratio - before)

    def cache(self, engine: str, *, incarnation: int, tokens: int) -> CachedParts:
        """Returns the cache model of an engine, emptied if the engine restarted."""
        with self.lock:
            if self.incarnations.setdefault(engine, incarnation) != incarnation:
                self.incarnations[engine] = incarnation
                self.caches.pop(engine, None)
            cache = self._cache(engine)
            cache.limit_tokens = max(1, int(tokens * CACHE_SHARE))
            return cache

    def _cache(self, engine: str) -> CachedParts:
        cache = self.caches.get(engine)
        if cache is None:
            cache = self.caches[engine] = CachedParts(limit_tokens=INITIAL_CACHE_TOKENS)
        share = MAX_CACHED_PARTS // len(self.caches)
        cache.limit_parts = max(MIN_CACHED_PARTS, share)
        return cache

    def note_sent(self, engine: str, parts: tuple[PromptPart, ...]) -> None:
        """Records that a prompt was sent to an engine."""
        with self.lock:
            self._cache(engine).note(parts, read=False)

    def note_read(self, engine: str, parts: tuple[PromptPart, ...]) -> None:
        """Records that an engine read a prompt and queues its shared parts for peers.

        The last part is left out, because it is specific to one request.
        """
        with self.lock:
            self._cache(engine).note(parts, read=True)
            if len(parts) > 1:
                self._note_reader(engine, parts[:-1])
                self.unshared_reads.append((engine, list(parts[:-1])))

    def holders(self, parts: tuple[PromptPart, ...]) -> list[str]:
        """Returns the engines that read the last shared part, or else the first one."""
        with self.lock:
            for part in (*parts[-2:-1], *parts[:1]):
                found = self.readers.get(part.id)
                if found:
                    return list(found)
        return []

    def _note_reader(self, engine: str, parts: Iterable[PromptPart]) -> None:
        for part in parts:
            readers = self.readers.pop(part.id, None) or {}
            readers.pop(engine, None)
            readers[engine] = None
            while len(readers) > MAX_READERS_PER_PART:
                del readers[next(iter(readers))]
            self.readers[part.id] = readers
        while len(self.readers) > MAX_TRACKED_PARTS:
            del self.readers[next(iter(self.readers))]

    def take_unshared_reads(self) -> list[tuple[str, list[PromptPart]]]:
        """Returns the reads since the last call."""
        with self.lock:
            reads, self.unshared_reads = self.unshared_reads, []
            return reads

    def record_peer_reads(self, reads: list[tuple[str, list[PromptPart]]]) -> None:
        """Records the prompt parts that engines have read for a peer."""
        with self.lock:
            for engine, parts in reads:
                self._cache(engine).note(tuple(parts), read=True)
                self._note_reader(engine, parts)

    def discard_cache(self, engine: str) -> None:
        """Discards the cache model of an engine after one of its streams failed."""
        with self.lock:
            self.caches.pop(engine, None)

    def keep_only(self, engines: set[str]) -> None:
        """Discards the cache models of engines that no longer exist."""
        with self.lock:
            for engine in set(self.caches) - engines:
                del self.caches[engine]
                self.incarnations.pop(engine, None)
        self.speeds.keep_only(engines)

    def load(self, engine: str) -> EngineWork:
        """Returns an engine's work from this instance and its live peers."""
        with self.lock:
            return self._load(engine)

    def _load(self, engine: str) -> EngineWork:
        total = self.totals.get(engine)
        work = EngineWork(engine=engine)
        if total is not None:
            work = copy(total)
            work.pending_by_rank = dict(total.pending_by_rank)
        if engine in self.owner_corrections:
            tokens, until = self.owner_corrections[engine]
            if until > self.clock():
                work.pending_tokens = max(0, work.pending_tokens + tokens)
            else:
                del self.owner_corrections[engine]
        return work

    def answer_prompt(self, request: PromptRequest) -> PromptReply:
        """Decides, as an engine's owner, whether a peer may send it a prompt."""
        now = self.clock()
        with self.lock:
            work = self._load(request.engine)
            pending = work.pending_ahead(request.rank)
            granted = pending == 0 or pending + request.tokens <= request.most_tokens
            if request.most_heavy is not None and work.heavy > request.most_heavy:
                granted = False
            if granted:
                grant = Grant(
                    engine=request.engine,
                    tokens=request.tokens,
                    rank=request.rank,
                    at=now,
                )
                self.grants.setdefault(request.instance, []).append(grant)
                self._add(
                    request.engine,
                    tokens=request.tokens,
                    by_rank={request.rank: request.tokens},
                    heavy=1,
                )
        return PromptReply(granted=granted, pending_tokens=pending, heavy=work.heavy)

    def _end_grants(self, instance: str, before: float) -> None:
        """Drops a peer's grants that its latest digest already includes."""
        kept = []
        for grant in self.grants.pop(instance, []):
            if grant.at < before:
                self._add(
                    grant.engine,
                    tokens=-grant.tokens,
                    by_rank={grant.rank: -grant.tokens},
                    heavy=-1,
                )
            else:
                kept.append(grant)
        if kept:
            self.grants[instance] = kept

    def note_owner_reply(self, job: EngineJob, pending_tokens: int) -> None:
        """Applies the number of tokens ahead of a job from an owner's reply."""
        job.ahead_tokens = pending_tokens
        with self.lock:
            self.owner_corrections.pop(job.engine, None)
            known = self._load(job.engine).pending_ahead(job.rank) - job.tokens
            self.reply_errors.add(pending_tokens, known)
            until = self.clock() + OWNER_REPLY_TTL_S
            self.owner_corrections[job.engine] = (pending_tokens - known, until)

    def light_streams(self, engines: Iterable[str]) -> int:
        """Returns the number of running requests with short prompts on the engines."""
        with self.lock:
            found = (self.totals.get(engine) for engine in engines)
            return sum(work.light for work in found if work is not None)

    def _add(
        self,
        engine: str,
        *,
        tokens: int,
        by_rank: dict[int, int],
        light: int = 0,
        heavy: int = 0,
    ) -> None:
        total = self.totals.get(engine)
        if total is None:
            total = self.totals[engine] = EngineWork(engine=engine)
        total.pending_tokens += tokens
        total.light += light
        total.heavy += heavy
        add_by_rank(total.pending_by_rank, by_rank)
        if not (total.pending_tokens or total.light or total.heavy):
            del self.totals[engine]

    def _add_digest(self, digest: list[EngineWork], sign: int) -> None:
        for work in digest:
            self._add(
                work.engine,
                tokens=sign * work.pending_tokens,
                by_rank={
                    rank: sign * tokens for rank, tokens in work.pending_by_rank.items()
                },
                light=sign * work.light,
                heavy=sign * work.heavy,
            )

    def begin(
        self, *, engine: str, tokens: int, heavy: bool, rank: int = 0
    ) -> EngineJob:
        """Records that a request is being sent and returns its job."""
        job = EngineJob(
            engine=engine,
            tokens=tokens,
            ahead_tokens=self.load(engine).pending_ahead(rank),
            heavy=heavy,
            rank=rank,
        )
        job.sent_at = self.clock()
        with self.lock:
            self._count_own(job, tokens=tokens, requests=1)
        self.changed()
        return job

    def _count_own(self, job: EngineJob, *, tokens: int, requests: int) -> None:
        light = 0 if job.heavy else requests
        heavy = requests if job.heavy else 0
        own = self.own.setdefault(job.engine, EngineWork(engine=job.engine))
        own.pending_tokens += tokens
        own.light += light
        own.heavy += heavy
        add_by_rank(own.pending_by_rank, {job.rank: tokens})
        if not (own.light or own.heavy):
            del self.own[job.engine]
        self._add(
            job.engine,
            tokens=tokens,
            by_rank={job.rank: tokens},
            light=light,
            heavy=heavy,
        )

    def started(self, job: EngineJob, *, service: str) -> None:
        """Records a request's first event, which shows that its prompt was read."""
        if job.started:
            return
        job.started = True
        elapsed_s = max(1e-3, self.clock() - job.sent_at)
        work = job.ahead_tokens + job.tokens
        factor = self.speeds.factor(service, job.engine)
        expected_s = work / self.prefill_rate(service) + FIRST_TOKEN_S
        with self.lock:
            self._count_own(job, tokens=-job.tokens, requests=0)
            if not job.ahead_tokens:
                self._note_idle_sample(service, job.tokens, elapsed_s * factor)
            if job.tokens >= MIN_SAMPLE_TOKENS:
                rate = work / (elapsed_s * factor)
                rate = min(MAX_PREFILL_RATE, max(MIN_PREFILL_RATE, rate))
                before = self.prefill_rates.get(service, INITIAL_PREFILL_RATE)
                step = PREFILL_STEP_UP if rate > before else -PREFILL_STEP_DOWN
                self.prefill_rates[service] = before * (1 + step)
                self._note_delay(
                    service, elapsed_s, work / (before * factor) + FIRST_TOKEN_S
                )
        self.speeds.add(
            service,
            job.engine,
            took_s=elapsed_s,
            expected_s=expected_s,
            long=job.tokens >= MIN_SAMPLE_TOKENS,
        )
        self.changed()

    def end(self, job: EngineJob) -> None:
        """Records the end of a request, successful or not."""
        with self.lock:
            tokens = 0 if job.started else -job.tokens
            self._count_own(job, tokens=tokens, requests=-1)
        self.changed()

    def own_work(self) -> list[EngineWork]:
        """Returns this instance's own work, to send to its peers."""
        with self.lock:
            return [
                msgspec.structs.replace(
                    load, pending_by_rank=dict(load.pending_by_rank)
                )
                for load in self.own.values()
            ]

    def update_peer_work(self, instance: str, work: list[EngineWork]) -> None:
        """Replaces the work digest of a peer."""
        with self.lock:
            self._add_digest(self.peers.get(instance, []), -1)
            self._add_digest(work, 1)
            self.peers[instance] = work
            self._end_grants(instance, self.clock() - GRANT_IN_FLIGHT_S)

    def drop_peer(self, instance: str) -> None:
        """Removes the work of a peer that has left or stopped sending heartbeats."""
        with self.lock:
            self._add_digest(self.peers.pop(instance, []), -1)
            self._end_grants(instance, math.inf)

    def live_peers(self) -> int:
        """Returns the number of peers whose work digest is known."""
        return len(self.peers)

    def dump(self) -> dict:
        with self.lock:
            return {
                "own": [msgspec.to_builtins(load) for load in self.own.values()],
                "peers": sorted(self.peers),
                "jobs": sum(load.light + load.heavy for load in self.own.values()),
                "prefill_tokens_per_s": dict(self.prefill_rates),
                "idle_prefill_tokens_per_s": dict(self.idle_prefill_rates),
                "speed_factors": self.speeds.dump(),
                "cached_tokens": {n: c.tokens for n, c in self.caches.items()},
            }
