"""Places generations on engines, or decides that a generation waits.

Load pattern: long prompts and short interactive requests share the engines, and either
class can burst beyond capacity. While an engine prefills a long prompt, the events of
all streams on it are delayed. Interactive streams are therefore packed on as few
engines as possible; long prompts go to the other engines, preferring a cached prefix
and a small prefill backlog. A long prompt goes to an engine with interactive streams
only if that engine has no prefill backlog and the prompt fits into the pause goal of
the streams.

In a large fleet, load updates from other instances arrive with a delay, and all
instances would choose the same idle engine. Each request therefore considers only a few
engines: those selected by a hash of its shared prompt prefix, and a few selected by a
hash of its request id.
"""

import zlib

import msgspec

from ...protocol.routing import EndpointRecord, PromptPart

# Fraction of an engine's slots that interactive streams fill before another engine is
# reserved for them.
STREAM_SLOT_FRACTION = 0.6
# Fraction of an engine's time that may be spent on prefilling the prompts of its
# interactive streams, which delays the events of those streams.
STREAM_READ_FRACTION = 0.25
# Minimum fraction of the engines that remains available to long prompts.
MIN_HEAVY_SHARE = 0.125
# Minimum fraction of the engines reserved for streams even if there are few streams:
# interactive requests can arrive before the load updates that report them.
MIN_LIGHT_SHARE = 0.12
# Fraction of the first-event goal that may be spent on prefill. The rest covers
# the decoding of the first event, the network and estimation errors.
PREFILL_SHARE_OF_GOAL = 0.6
# Fraction of a pause goal that one long prompt may use on an engine with streams.
PROMPT_SHARE_OF_PAUSE = 0.25
# Fraction of a prompt's last shared part that the engine selected by its hash is
# assumed to have cached before any report: a peer may have just sent it there.
ASSUMED_CACHED_FRACTION = 0.3
# Cost of copying a cached token from another engine, in prefilled tokens.
COPY_COST = 0.3
# Cost, in tokens, of crossing to another zone and of each running request.
CROSS_ZONE_TOKENS = 300
RUNNING_TOKENS = 40
# Cost, in prefilled tokens, of a long prompt on an engine with interactive streams: it
# goes there only if the backlog of the other engines is larger by that amount.
SHARED_ENGINE_COST_TOKENS = 6_000
# Logged reason for a placement on an engine with interactive streams.
PACED_REASON = "paced_beside_streams"
# Maximum number of long generations on an engine with interactive streams.
MAX_HEAVY_BESIDE_STREAMS = 1
# An engine with interactive streams in at least this fraction of its slots is treated
# as reserved for streams even after the number of reserved engines has dropped: its
# streams end within seconds.
RESERVED_SLOT_FRACTION = 0.1
# Weight of an engine's prefill backlog when an interactive stream is placed.
PENDING_WEIGHT = 3
# Makes a suspect engine the last resort.
SUSPECT_TOKENS = 10_000_000
# In a fleet of up to this many engines, a request considers all of them.
SMALL_FLEET = 16
# Numbers of engines that a long prompt considers in a larger fleet, and that a stream
# does (docs/design/even-load.md).
SHARED_PREFIX_CHOICES = 6
RANDOM_CHOICES = 4
OWNED_CHOICES = 4
STREAM_CHOICES = 3


class EngineView(msgspec.Struct, kw_only=True):
    """State of one engine as known when a request is placed."""

    id: str
    zone: str
    slots: int
    # Backlog of prompt tokens, and the part of it that the engine takes before this
    # request's prompt.
    pending_tokens: int
    ahead_tokens: int
    light: int
    heavy: int
    # Prompt tokens of this request that the engine must prefill, not counting tokens
    # that it copies from another engine.
    uncached_tokens: int
    copied_tokens: int = 0
    suspect: bool = False
    # Speed relative to the prefill rate of the service.
    speed: float = 1.0

    @property
    def reserved(self) -> bool:
        """Whether so many interactive streams run that they have the engine."""
        return self.light >= max(1, int(self.slots * RESERVED_SLOT_FRACTION))


class PromptJob(msgspec.Struct, kw_only=True):
    """Request to place."""

    id: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    heavy: bool
    goal_s: float
    # Tightest pause goal among the routes of the service; 0 if none has one.
    pause_goal_s: float

    def shared_prefix(self) -> tuple[str, int]:
        """Returns the id and token count of the last part shared with other prompts."""
        if len(self.parts) < 2:
            return (self.parts[0].id if self.parts else self.id), 0
        return self.parts[-2].id, self.parts[-2].tokens


class Placement(msgspec.Struct, kw_only=True):
    """Chosen engine; if `engine` is None, the request waits for the given reason."""

    engine: str | None
    reason: str
    uncached_tokens: int = 0
    copied_tokens: int = 0
    # Largest total prefill backlog with which the prompt is still prefilled in time. An
    # engine without a backlog accepts a longer prompt too.
    most_tokens: int = 0
    # Maximum number of other long generations on the engine; None if unlimited.
    most_heavy: int | None = None


class Shortlist(msgspec.Struct, kw_only=True):
    """Engines that a request considers."""

    # Engines for the kind of the request (interactive or long prompt).
    main: list[str]
    # Engines with interactive streams that may accept a long prompt.
    paced: list[str]
    # Engine to which the prompts of this prefix go first; empty if `choose` finds it.
    expected: str = ""


def hash_rank(key: str, engine: str) -> int:
    """Returns the weight of an engine for a key (rendezvous hashing)."""
    return zlib.crc32(f"{key}/{engine}".encode())


def spread_rank(key: str, engine: str) -> int:
    """Returns the weight of an engine for a key, independent of its other weights.

    A CRC is linear: for names of equal length, another key only inverts some bits of
    all weights. Of 23 engines, the four with the largest weights were one of 22 sets,
    and one engine had the largest weight for 2.9 times its share of the keys. The
    multiplications (the finalizer of MurmurHash3) make the weights independent.
    """
    mixed = hash_rank(key, engine)
    mixed = (mixed ^ mixed >> 16) * 0x85EBCA6B & 0xFFFFFFFF
    mixed = (mixed ^ mixed >> 13) * 0xC2B2AE35 & 0xFFFFFFFF
    return mixed ^ mixed >> 16


def interactive_order(engines: list[EndpointRecord]) -> list[str]:
    """Orders engines for interactive streams, identically on every instance.

    Zones alternate, so that each zone has engines for streams and for long prompts.
    """
    zones: dict[str, list[str]] = {}
    for engine in sorted(engines, key=lambda item: hash_rank("light", item.id)):
        zones.setdefault(engine.zone, []).append(engine.id)
    ordered = []
    queues = [zones[zone] for zone in sorted(zones)]
    while any(queues):
        ordered.extend(queue.pop(0) for queue in queues if queue)
    return ordered


def owner_of(engine: str, instances: list[str]) -> str:
    """Returns the instance that owns an engine, by rendezvous hashing.

    Instances of an older version must find the same owner, so that an endpoint with a
    limit has one owner during an upgrade. This is why the weights are those of a CRC.
    """
    return max(instances, key=lambda name: (hash_rank(engine, name), name))


def owned_by(instance: str, instances: list[str], engines: list[str]) -> frozenset[str]:
    """Returns the engines that `instance` owns among all instances."""
    return frozenset(
        engine for engine in engines if owner_of(engine, instances) == instance
    )


def highest_ranked(
    key: str, engines: list[str], count: int, *, rank=spread_rank
) -> list[str]:
    """Returns the `count` engines with the largest weights for a key."""
    if len(engines) <= count:
        return engines
    return sorted(engines, key=lambda item: -rank(key, item))[:count]


class PackedPlacement:
    """Packs interactive streams and spreads long prompts over the other engines."""

    def __init__(self, *, zone: str):
        self.zone = zone

    def stream_engine_count(
        self, engines: int, slots: int, streams: int, read_fraction: float = 0.0
    ) -> int:
        """Returns how many engines, in stream order, `streams` streams need.

        `read_fraction` is the fraction of an engine's time that it prefills for one
        stream at a time: prefill time divided by run time.
        """
        per_engine = slots * STREAM_SLOT_FRACTION
        if read_fraction > 0:
            per_engine = min(per_engine, STREAM_READ_FRACTION / read_fraction)
        per_engine = max(1, int(per_engine))
        least = max(1, int(engines * MIN_LIGHT_SHARE))
        wanted = max(least, -(-(streams + 1) // per_engine))
        return min(self.max_stream_engines(engines), wanted)

    def max_stream_engines(self, engines: int) -> int:
        """Returns the maximum number of engines reserved for interactive streams."""
        return max(1, int(engines * (1 - MIN_HEAVY_SHARE)))

    def shortlist(
        self,
        job: PromptJob,
        ordered: list[str],
        count: int,
        owned: frozenset[str],
        *,
        skipped: frozenset[str] = frozenset(),
    ) -> Shortlist:
        """Returns the engines to consider; the first `count` are reserved for streams.

        `skipped` engines are left out, but count as members of their group.

        In a large fleet, only the owner of an engine gives it requests that need an
        engine without a prefill backlog: other instances learn of its load too late.
        """
        light = [engine for engine in ordered[:count] if engine not in skipped]
        heavy = [
            engine for engine in ordered[count:] or ordered if engine not in skipped
        ]
        large = len(ordered) > SMALL_FLEET
        if not job.heavy:
            main = highest_ranked(job.id, light, STREAM_CHOICES) if large else light
            return Shortlist(main=main, paced=[])
        if not large:
            paced = [engine for engine in light if engine not in heavy]
            return Shortlist(main=heavy, paced=paced)
        own_heavy = [engine for engine in heavy if engine in owned][:OWNED_CHOICES]
        paced = [engine for engine in light if engine in owned and engine not in heavy]
        if job.goal_s <= 0:
            return Shortlist(main=own_heavy, paced=paced[:OWNED_CHOICES])
        shared_prefix, _ = job.shared_prefix()
        main = list(highest_ranked(shared_prefix, heavy, SHARED_PREFIX_CHOICES))
        expected = max(
            heavy, key=lambda item: spread_rank(shared_prefix, item), default=""
        )
        main += [
            e for e in highest_ranked(job.id, heavy, RANDOM_CHOICES) if e not in main
        ]
        main += [e for e in own_heavy if e not in main]
        return Shortlist(main=main, paced=paced[:OWNED_CHOICES], expected=expected)

    def choose(
        self,
        job: PromptJob,
        main: list[EngineView],
        paced: list[EngineView],
        rate: float,
        delay_ratio: float = 1.0,
        expected: str = "",
    ) -> Placement:
        """Places a job on a listed engine; `rate` is in prompt tokens per second.

        `delay_ratio` is the ratio of recent to predicted prefill times; the prefill
        budget of each engine is divided by it. Tokens are compared in the time that
        the engine needs for them: an engine of speed 0.5 counts them twice. `expected`
        is the engine to which the prompts of this prefix go first.
        """
        if not main:
            return Placement(engine=None, reason="no_engine")
        trusted = [engine for engine in main if not engine.suspect]
        if not job.heavy:
            return self._place_light(trusted or main)
        reserved_engines = [engine for engine in main if engine.reserved]
        if len(reserved_engines) < len(main):
            # These engines were reserved for streams until now and still run some.
            trusted = [engine for engine in trusted if not engine.reserved]
            main = [engine for engine in main if not engine.reserved]
            paced = paced + reserved_engines
        budget = rate * job.goal_s * PREFILL_SHARE_OF_GOAL
        budget /= max(1.0, delay_ratio)
        return self._place_heavy(job, trusted or main, paced, rate, budget, expected)

    def _place_light(self, engines: list[EngineView]) -> Placement:
        def cost(engine: EngineView) -> tuple[float, str]:
            tokens = (
                PENDING_WEIGHT * engine.pending_tokens
                + engine.uncached_tokens
                + RUNNING_TOKENS * (engine.light + 4 * engine.heavy)
            )
            return tokens / engine.speed + self._penalty_tokens(engine), engine.id

        return self._placed(min(engines, key=cost), "interactive")

    def _place_heavy(
        self,
        job: PromptJob,
        engines: list[EngineView],
        paced: list[EngineView],
        rate: float,
        budget: float,
        expected: str,
    ) -> Placement:
        shared_prefix, shared_prefix_tokens = job.shared_prefix()
        if not expected:
            names = [engine.id for engine in engines]
            expected = max(names, key=lambda name: hash_rank(shared_prefix, name))

        def cost(engine: EngineView) -> float:
            unread = engine.uncached_tokens
            if engine.id == expected:
                unread -= min(unread, ASSUMED_CACHED_FRACTION * shared_prefix_tokens)
            tokens = (
                engine.pending_tokens
                + unread
                + COPY_COST * engine.copied_tokens
                + RUNNING_TOKENS * (engine.light + engine.heavy)
            )
            return tokens / engine.speed + self._penalty_tokens(engine)

        free = [
            (cost(engine), engine.id, engine, "cached_and_least_unread")
            for engine in engines
            if engine.heavy + engine.light < engine.slots and self._fits(engine, budget)
        ]
        pause_tokens = rate * job.pause_goal_s * PROMPT_SHARE_OF_PAUSE
        free += [
            (
                cost(engine) + SHARED_ENGINE_COST_TOKENS,
                engine.id,
                engine,
                PACED_REASON,
            )
            for engine in paced
            if not engine.suspect
            and engine.pending_tokens == 0
            and engine.uncached_tokens <= pause_tokens * engine.speed
            and engine.heavy < MAX_HEAVY_BESIDE_STREAMS
        ]
        if not free:
            return Placement(engine=None, reason="engines_have_enough_to_read")
        _, _, best, reason = min(free)
        if reason == PACED_REASON:
            return self._placed(best, reason, most_heavy=MAX_HEAVY_BESIDE_STREAMS - 1)
        return self._placed(best, reason, most_tokens=int(budget * best.speed))

    def _fits(self, engine: EngineView, budget: float) -> bool:
        return (
            engine.ahead_tokens == 0
            or engine.ahead_tokens + engine.uncached_tokens <= budget * engine.speed
        )

    def _penalty_tokens(self, engine: EngineView) -> int:
        cost = 0 if engine.zone == self.zone else CROSS_ZONE_TOKENS
        return cost + (SUSPECT_TOKENS if engine.suspect else 0)

    def _placed(self, engine: EngineView, reason: str, **limits) -> Placement:
        return Placement(
            engine=engine.id,
            reason=reason,
            uncached_tokens=engine.uncached_tokens,
            copied_tokens=engine.copied_tokens,
            **limits,
        )
