"""Work on the model engines: this instance's own, its peers', and cached prompts."""

import threading
import time
from collections import OrderedDict

import msgspec

from ..protocol.messages import EngineWork
from ..protocol.routing import PromptPart

# A digest of a peer that is older says nothing about the present load.
PEER_DIGEST_LIFETIME_S = 1.5
# Share of an engine's memory that cached parts are believed to keep beside requests.
CACHE_SHARE = 0.6
# Prompt tokens per second before the first measurement, and bounds of what is measured.
FIRST_PREFILL_RATE = 20_000.0
MIN_PREFILL_RATE = 2_000.0
MAX_PREFILL_RATE = 400_000.0
PREFILL_RATE_WEIGHT = 0.05
# Smaller samples measure the network and the first token rather than the prompt.
MIN_SAMPLE_TOKENS = 2_000


class EngineJob:
    """One request on an engine."""

    __slots__ = ("ahead_tokens", "engine", "heavy", "sent_at", "started", "tokens")

    def __init__(self, *, engine: str, tokens: int, ahead_tokens: int, heavy: bool):
        self.engine = engine
        # Prompt tokens that are probably not cached on the engine.
        self.tokens = tokens
        self.ahead_tokens = ahead_tokens
        self.heavy = heavy
        self.sent_at = time.monotonic()
        self.started = False


class CachedParts:
    """Least-recently-used prompt parts that one engine probably holds.

    A part is expected from the moment its prompt is sent and held once it was read.

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

    __slots__ = ("limit_tokens", "parts", "tokens")

    def __init__(self, *, limit_tokens: int):
        self.limit_tokens = limit_tokens
        # Tokens of each part, and whether it was read.
        self.parts: OrderedDict[str, tuple[int, bool]] = OrderedDict()
        self.tokens = 0

    def note(self, parts: tuple[PromptPart, ...], *, read: bool) -> None:
        """Remembers the parts of a prompt that was sent to the engine or read by it."""
        for part in reversed(parts):
            tokens, was_read = self.parts.pop(part.id, (0, False))
            self.tokens += part.tokens - tokens
            self.parts[part.id] = (part.tokens, read or was_read)
        while self.tokens > self.limit_tokens and self.parts:
            _, (tokens, _) = self.parts.popitem(last=False)
            self.tokens -= tokens

    def expected_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Returns the tokens of the leading parts that are or will be cached."""
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


class EngineBoard:
    """Outstanding work and cached parts of all engines."""

    def __init__(self, *, clock=time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.own: dict[str, EngineWork] = {}
        self.caches: dict[str, CachedParts] = {}
        self.incarnations: dict[str, int] = {}
        self.peers: dict[str, tuple[float, dict[str, EngineWork]]] = {}
        self.prefill_rates: dict[str, float] = {}
        # Called, without the lock, after this instance's own work has changed.
        self.changed = lambda: None
        # Reads that the peers have not been told of yet.
        self.unshared_reads: list[tuple[str, list[PromptPart]]] = []

    def prefill_rate(self, service: str) -> float:
        """Returns the measured prompt tokens per second of a service's engines."""
        return self.prefill_rates.get(service, FIRST_PREFILL_RATE)

    def cache(self, engine: str, *, incarnation: int, tokens: int) -> CachedParts:
        """Returns what an engine probably holds; a restart empties it."""
        with self.lock:
            if self.incarnations.get(engine) != incarnation:
                self.incarnations[engine] = incarnation
                self.caches.pop(engine, None)
            cache = self.caches.get(engine)
            if cache is None:
                limit = max(1, int(tokens * CACHE_SHARE))
                cache = self.caches[engine] = CachedParts(limit_tokens=limit)
            return cache

    def note_sent(self, engine: str, parts: tuple[PromptPart, ...]) -> None:
        """Expects the parts of a prompt on an engine that has a cache here."""
        with self.lock:
            cache = self.caches.get(engine)
            if cache is not None:
                cache.note(parts, read=False)

    def note_read(self, engine: str, parts: tuple[PromptPart, ...]) -> None:
        """Counts the parts of a prompt as held; peers are told of those it shares."""
        with self.lock:
            cache = self.caches.get(engine)
            if cache is not None:
                cache.note(parts, read=True)
            if len(parts) > 1:
                self.unshared_reads.append((engine, list(parts[:-1])))

    def take_unshared_reads(self) -> list[tuple[str, list[PromptPart]]]:
        """Returns the reads since the last call."""
        with self.lock:
            reads, self.unshared_reads = self.unshared_reads, []
            return reads

    def take_peer_reads(self, reads: list[tuple[str, list[PromptPart]]]) -> None:
        """Counts what engines have read for a peer."""
        with self.lock:
            for engine, parts in reads:
                cache = self.caches.get(engine)
                if cache is not None:
                    cache.note(tuple(parts), read=True)

    def forget(self, engine: str) -> None:
        """Drops what is believed about an engine's memory, after it broke off."""
        with self.lock:
            self.caches.pop(engine, None)

    def keep_only(self, engines: set[str]) -> None:
        """Drops what is known of engines that are gone."""
        with self.lock:
            for engine in set(self.caches) - engines:
                del self.caches[engine]
                self.incarnations.pop(engine, None)

    def load(self, engine: str) -> EngineWork:
        """Returns the outstanding work of this instance and its live peers."""
        return self.loads([engine])[engine]

    def loads(self, engines: list[str]) -> dict[str, EngineWork]:
        """Returns `load` for several engines."""
        now = self.clock()
        with self.lock:
            digests = [self.own]
            digests.extend(
                digest
                for received_at, digest in self.peers.values()
                if now - received_at < PEER_DIGEST_LIFETIME_S
            )
            return {engine: _sum(engine, digests) for engine in engines}

    def begin(self, *, engine: str, tokens: int, heavy: bool) -> EngineJob:
        """Counts a request that is sent now."""
        ahead = self.load(engine).pending_tokens
        job = EngineJob(engine=engine, tokens=tokens, ahead_tokens=ahead, heavy=heavy)
        job.sent_at = self.clock()
        with self.lock:
            load = self.own.setdefault(engine, EngineWork(engine=engine))
            load.pending_tokens += tokens
            if heavy:
                load.heavy += 1
            else:
                load.light += 1
        self.changed()
        return job

    def started(self, job: EngineJob, *, service: str) -> None:
        """Counts the first event of a request: its prompt has been read."""
        if job.started:
            return
        job.started = True
        elapsed_s = max(1e-3, self.clock() - job.sent_at)
        work = job.ahead_tokens + job.tokens
        with self.lock:
            self.own[job.engine].pending_tokens -= job.tokens
            if job.tokens >= MIN_SAMPLE_TOKENS:
                rate = work / elapsed_s
                rate = min(MAX_PREFILL_RATE, max(MIN_PREFILL_RATE, rate))
                before = self.prefill_rates.get(service, FIRST_PREFILL_RATE)
                self.prefill_rates[service] = before + PREFILL_RATE_WEIGHT * (
                    rate - before
                )
        self.changed()

    def end(self, job: EngineJob) -> None:
        """Counts the end of a request, whatever it was."""
        with self.lock:
            load = self.own[job.engine]
            if not job.started:
                load.pending_tokens -= job.tokens
            if job.heavy:
                load.heavy -= 1
            else:
                load.light -= 1
            if not (load.light or load.heavy):
                del self.own[job.engine]
        self.changed()

    def own_work(self) -> list[EngineWork]:
        """Returns this instance's own work, for its peers."""
        with self.lock:
            return [msgspec.structs.replace(load) for load in self.own.values()]

    def take_peer(self, instance: str, work: list[EngineWork]) -> None:
        """Replaces what a peer said of its work."""
        digest = {load.engine: load for load in work}
        with self.lock:
            self.peers[instance] = (self.clock(), digest)

    def drop_peer(self, instance: str) -> None:
        """Forgets the work of a peer that has left."""
        with self.lock:
            self.peers.pop(instance, None)

    def live_peers(self) -> int:
        """Returns how many peers were heard of lately."""
        now = self.clock()
        with self.lock:
            return sum(
                now - received_at < PEER_DIGEST_LIFETIME_S
                for received_at, _ in self.peers.values()
            )

    def dump(self) -> dict:
        with self.lock:
            return {
                "own": [msgspec.to_builtins(load) for load in self.own.values()],
                "peers": sorted(self.peers),
                "prefill_tokens_per_s": dict(self.prefill_rates),
                "cached_tokens": {n: c.tokens for n, c in self.caches.items()},
            }


def _sum(engine: str, digests: list[dict[str, EngineWork]]) -> EngineWork:
    total = EngineWork(engine=engine)
    for digest in digests:
        work = digest.get(engine)
        if work is not None:
            total.pending_tokens += work.pending_tokens
            total.light += work.light
            total.heavy += work.heavy
    return total
