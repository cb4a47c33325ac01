"""Placement of generations on engines, and when a generation waits instead.

Load pattern: long prompts and short interactive questions share the engines, and either
class bursts beyond capacity. While an engine reads a long prompt, the events of all
streams on it are delayed, so interactive streams are packed on as few engines as hold
them, and long prompts go to the others, to the one that has cached most of them and has
least to read. A long prompt goes to an engine with interactive streams only when that
engine has nothing to read and the prompt fits into the streams' pause goal.

In a large fleet every instance knows the others' work a little late, and all of them
would choose the same idle engine. So a request looks at a few engines only: those that
a hash of its shared prompt names, and a few that a hash of its own id names.
"""

import zlib

import msgspec

from ...protocol.routing import EndpointRecord, PromptPart

# Share of an engine's slots that interactive streams fill before the next engine is
# opened to them.
LIGHT_SHARE_OF_SLOTS = 0.6
# At least this share of the engines is left to long prompts.
MIN_HEAVY_SHARE = 0.4
# This share of the engines is kept for streams also when there are few: questions come
# sooner than the news of them.
MIN_LIGHT_SHARE = 0.12
# Share of the goal for the first event that may be spent on reading prompts; the rest
# covers the first event's own steps, the network and errors of the estimate.
PREFILL_SHARE_OF_GOAL = 0.6
# Share of a pause goal that one long prompt may take on an engine with streams.
PROMPT_SHARE_OF_PAUSE = 0.25
# A route's prompts are long if they have more tokens than this for each second of the
# tightest pause goal: present engines read some 20,000 a second, and a quarter of the
# pause may go into reading. What an engine reads at the moment does not count, so that
# an overload does not turn questions into long prompts.
HEAVY_TOKENS_PER_PAUSE_S = 5_000
# Part of a prompt's last shared part that the engine chosen by its hash is taken to
# hold although nobody has reported it read: a peer may have just sent it there.
HASH_SHARE_FIRST = 0.3
# Cost of copying a cached token from another engine, in tokens read.
COPY_COST = 0.3
# Cost of crossing to another zone, and of a request that runs already, in tokens.
CROSS_ZONE_TOKENS = 300
RUNNING_TOKENS = 40
# Cost of a long prompt on an engine with interactive streams, in tokens read: the other
# engines may have that much more to read before it goes there.
BESIDE_STREAMS_TOKENS = 6_000
# Reason of a placement on an engine with interactive streams, as it stands in the log.
PACED_REASON = "paced_beside_streams"
# Long generations that may run on an engine with interactive streams.
MAX_HEAVY_BESIDE_STREAMS = 1
# An engine with so many interactive streams takes long prompts as if it were kept for
# streams, also when fewer engines are kept by now: its streams end within seconds.
STREAMS_THAT_KEEP = 8
# Weight of prompts that an engine has to read when an interactive stream is placed.
PENDING_WEIGHT = 3
# A suspect engine is chosen only if nothing else is left.
SUSPECT_TOKENS = 10_000_000
# Up to this number of engines a request looks at all of them.
SMALL_FLEET = 16
# Engines that a request looks at in a larger one.
SUBJECT_CHOICES = 4
RANDOM_CHOICES = 4
OWNED_CHOICES = 4


class EngineView(msgspec.Struct, kw_only=True):
    """What is known of one engine when a request is placed."""

    id: str
    zone: str
    slots: int
    pending_tokens: int
    light: int
    heavy: int
    # Prompt tokens of this request that the engine has to read, after those that it
    # copies from another engine.
    uncached_tokens: int
    copied_tokens: int = 0
    suspect: bool = False


class PromptJob(msgspec.Struct, kw_only=True):
    """The request that is placed."""

    id: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    heavy: bool
    goal_s: float
    # Tightest pause goal among the service's routes, 0 without one.
    pause_goal_s: float

    def subject(self) -> tuple[str, int]:
        """Returns the id and the size of the last part that other prompts share."""
        if len(self.parts) < 2:
            return (self.parts[0].id if self.parts else self.id), 0
        return self.parts[-2].id, self.parts[-2].tokens


class Placement(msgspec.Struct, kw_only=True):
    """The chosen engine; without one the request waits, for the reason given."""

    engine: str | None
    reason: str
    uncached_tokens: int = 0
    copied_tokens: int = 0
    # What the engine may have to read in all, so that the prompt is read in time; an
    # engine with nothing to read takes a longer prompt too.
    most_tokens: int = 0
    # Long generations that the engine may have beside it, None for any number.
    most_heavy: int | None = None


class Shortlist(msgspec.Struct, kw_only=True):
    """The engines that a request looks at."""

    # Engines for requests of its kind.
    main: list[str]
    # Engines with interactive streams that a long prompt may go to.
    paced: list[str]


def hash_rank(key: str, engine: str) -> int:
    """Returns the weight of an engine for a key (rendezvous hashing)."""
    return zlib.crc32(f"{key}/{engine}".encode())


def interactive_order(engines: list[EndpointRecord]) -> list[str]:
    """Orders engines for interactive streams, the same on every instance.

    Zones take turns, so that each zone keeps engines of both kinds.
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
    """Returns the instance that an engine's hash names among `instances`."""
    return max(instances, key=lambda name: (hash_rank(engine, name), name))


def owned_by(instance: str, instances: list[str], engines: list[str]) -> frozenset[str]:
    """Returns the engines whose hash names `instance` among all instances."""
    return frozenset(
        engine for engine in engines if owner_of(engine, instances) == instance
    )


def top(key: str, engines: list[str], count: int) -> list[str]:
    """Returns the engines with the largest weights for a key."""
    if len(engines) <= count:
        return engines
    return sorted(engines, key=lambda item: -hash_rank(key, item))[:count]


class PackedPlacement:
    """Packs interactive streams, spreads long prompts over the other engines."""

    def __init__(self, *, zone: str):
        self.zone = zone

    def interactive_count(self, engines: int, slots: int, streams: int) -> int:
        """Returns how many engines, from the first on, hold `streams` streams."""
        per_engine = max(1, int(slots * LIGHT_SHARE_OF_SLOTS))
        least = max(1, int(engines * MIN_LIGHT_SHARE))
        wanted = max(least, -(-(streams + 1) // per_engine))
        return min(self.most_for_streams(engines), wanted)

    def most_for_streams(self, engines: int) -> int:
        """Returns how many engines interactive streams may take."""
        return max(1, int(engines * (1 - MIN_HEAVY_SHARE)))

    def shortlist(
        self, job: PromptJob, ordered: list[str], count: int, owned: frozenset[str]
    ) -> Shortlist:
        """Returns the engines to look at; the first `count` hold streams.

        In a large fleet only the instance that owns an engine gives it what needs an
        engine with nothing to read: the others' news of it comes too late.
        """
        light, heavy = ordered[:count], ordered[count:] or ordered
        large = len(ordered) > SMALL_FLEET
        if not job.heavy:
            main = top(job.id, light, RANDOM_CHOICES) if large else light
            return Shortlist(main=main, paced=[])
        if not large:
            paced = [engine for engine in light if engine not in heavy]
            return Shortlist(main=heavy, paced=paced)
        own_heavy = [engine for engine in heavy if engine in owned][:OWNED_CHOICES]
        paced = [engine for engine in light if engine in owned and engine not in heavy]
        if job.goal_s <= 0:
            return Shortlist(main=own_heavy, paced=paced[:OWNED_CHOICES])
        subject, _ = job.subject()
        main = top(subject, heavy, SUBJECT_CHOICES)
        main += [e for e in top(job.id, heavy, RANDOM_CHOICES) if e not in main]
        main += [e for e in own_heavy if e not in main]
        return Shortlist(main=main, paced=paced[:OWNED_CHOICES])

    def choose(
        self,
        job: PromptJob,
        main: list[EngineView],
        paced: list[EngineView],
        rate: float,
        delay_ratio: float = 1.0,
    ) -> Placement:
        """Places a job on a listed engine; `rate` is in prompt tokens per second.

        Prompts lately took `delay_ratio` times as long as what was known of the engines
        explains, so that much less may be sent to one.
        """
        if not main:
            return Placement(engine=None, reason="no_engine")
        sound = [engine for engine in main if not engine.suspect]
        if not job.heavy:
            return self._place_light(sound or main)
        kept = [engine for engine in main if engine.light >= STREAMS_THAT_KEEP]
        if len(kept) < len(main):
            # The engine was kept for streams until now and still answers some.
            sound = [engine for engine in sound if engine.light < STREAMS_THAT_KEEP]
            main = [engine for engine in main if engine.light < STREAMS_THAT_KEEP]
            paced = paced + kept
        budget = rate * job.goal_s * PREFILL_SHARE_OF_GOAL
        budget /= max(1.0, delay_ratio)
        return self._place_heavy(job, sound or main, paced, rate, budget)

    def _place_light(self, engines: list[EngineView]) -> Placement:
        def cost(engine: EngineView) -> tuple[float, str]:
            tokens = (
                PENDING_WEIGHT * engine.pending_tokens
                + engine.uncached_tokens
                + RUNNING_TOKENS * (engine.light + 4 * engine.heavy)
                + self._distance(engine)
            )
            return tokens, engine.id

        return self._placed(min(engines, key=cost), "interactive")

    def _place_heavy(
        self,
        job: PromptJob,
        engines: list[EngineView],
        paced: list[EngineView],
        rate: float,
        budget: float,
    ) -> Placement:
        subject, subject_tokens = job.subject()
        expected = max(engines, key=lambda item: hash_rank(subject, item.id))

        def cost(engine: EngineView) -> float:
            unread = engine.uncached_tokens
            if engine is expected:
                unread -= min(unread, HASH_SHARE_FIRST * subject_tokens)
            return (
                engine.pending_tokens
                + unread
                + COPY_COST * engine.copied_tokens
                + RUNNING_TOKENS * (engine.light + engine.heavy)
                + self._distance(engine)
            )

        free = [
            (cost(engine), engine.id, engine, "cached_and_least_unread")
            for engine in engines
            if engine.heavy + engine.light < engine.slots and self._fits(engine, budget)
        ]
        pause_tokens = rate * job.pause_goal_s * PROMPT_SHARE_OF_PAUSE
        free += [
            (
                cost(engine) + BESIDE_STREAMS_TOKENS,
                engine.id,
                engine,
                PACED_REASON,
            )
            for engine in paced
            if not engine.suspect
            and engine.pending_tokens == 0
            and engine.uncached_tokens <= pause_tokens
            and engine.heavy < MAX_HEAVY_BESIDE_STREAMS
        ]
        if not free:
            return Placement(engine=None, reason="engines_have_enough_to_read")
        _, _, best, reason = min(free)
        if reason == PACED_REASON:
            return self._placed(best, reason, most_heavy=MAX_HEAVY_BESIDE_STREAMS - 1)
        return self._placed(best, reason, most_tokens=int(budget))

    def _fits(self, engine: EngineView, budget: float) -> bool:
        return (
            engine.pending_tokens == 0
            or engine.pending_tokens + engine.uncached_tokens <= budget
        )

    def _distance(self, engine: EngineView) -> int:
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
