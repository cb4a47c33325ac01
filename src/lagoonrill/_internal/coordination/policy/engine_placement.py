"""Placement of generations on engines, and when a generation waits instead.

Load pattern: long prompts and short interactive questions share the engines, and either
class bursts beyond capacity. While an engine reads a long prompt, the events of all
streams on it are delayed, so interactive streams are packed on as few engines as hold
them, and long prompts go to the others, to the one that has cached most of them and has
least to read. A long prompt goes to an engine with interactive streams only when that
engine has nothing to read and the prompt fits into the streams' pause goal.
"""

import zlib

import msgspec

from ...protocol.routing import PromptPart

# Share of an engine's slots that interactive streams fill before the next engine is
# opened to them.
LIGHT_SHARE_OF_SLOTS = 0.6
# At least this share of the engines is left to long prompts.
MIN_HEAVY_SHARE = 0.4
# Share of the goal for the first event that may be spent on reading prompts; the rest
# covers the first event's own steps, the network and errors of the estimate.
PREFILL_SHARE_OF_GOAL = 0.5
# Share of a pause goal that one long prompt may take on an engine with streams.
PROMPT_SHARE_OF_PAUSE = 0.4
# A prompt is long if reading it takes more than this share of the tightest pause goal.
HEAVY_SHARE_OF_PAUSE = 0.25
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
# Long generations that may run on an engine with interactive streams.
MAX_HEAVY_BESIDE_STREAMS = 2
# Weight of prompts that an engine has to read when an interactive stream is placed.
PENDING_WEIGHT = 3
# A suspect engine is chosen only if nothing else is left.
SUSPECT_TOKENS = 10_000_000


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

    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    heavy: bool
    goal_s: float
    # Tightest pause goal among the service's other routes, 0 without one.
    pause_goal_s: float


class Placement(msgspec.Struct, kw_only=True):
    """The chosen engine; without one the request waits, for the reason given."""

    engine: str | None
    reason: str
    uncached_tokens: int = 0
    copied_tokens: int = 0


def hash_rank(key: str, engine: str) -> int:
    """Returns the weight of an engine for a key (rendezvous hashing)."""
    return zlib.crc32(f"{key}/{engine}".encode())


def interactive_order(engines: list[EngineView]) -> list[EngineView]:
    """Orders engines for interactive streams, the same on every instance.

    Zones take turns, so that each zone keeps engines of both kinds.
    """
    zones: dict[str, list[EngineView]] = {}
    for engine in sorted(engines, key=lambda item: hash_rank("light", item.id)):
        zones.setdefault(engine.zone, []).append(engine)
    ordered = []
    queues = [zones[zone] for zone in sorted(zones)]
    while any(queues):
        ordered.extend(queue.pop(0) for queue in queues if queue)
    return ordered


class PackedPlacement:
    """Packs interactive streams, spreads long prompts over the other engines."""

    def __init__(self, *, zone: str):
        self.zone = zone

    def choose(
        self, job: PromptJob, engines: list[EngineView], rate: float
    ) -> Placement:
        """Places a job; `rate` is in prompt tokens per second."""
        if not engines:
            return Placement(engine=None, reason="no_engine")
        usable = [engine for engine in engines if not engine.suspect] or engines
        ordered = interactive_order(usable)
        count = self.interactive_count(ordered)
        if job.heavy:
            return self._place_heavy(job, ordered, count, rate)
        return self._place_light(ordered, count)

    def interactive_count(self, ordered: list[EngineView]) -> int:
        """Returns how many engines, from the first on, hold interactive streams."""
        streams = sum(engine.light for engine in ordered) + 1
        most = max(1, int(len(ordered) * (1 - MIN_HEAVY_SHARE)))
        per_engine = max(1, int(ordered[0].slots * LIGHT_SHARE_OF_SLOTS))
        return min(most, -(-streams // per_engine))

    def _place_light(self, ordered: list[EngineView], count: int) -> Placement:
        def cost(engine: EngineView) -> float:
            return (
                PENDING_WEIGHT * engine.pending_tokens
                + engine.uncached_tokens
                + RUNNING_TOKENS * (engine.light + 4 * engine.heavy)
                + self._distance(engine)
            )

        best = min(ordered[:count], key=cost)
        if best.light + best.heavy >= best.slots and len(ordered) > count:
            best = min(ordered, key=cost)
        return self._placed(best, "interactive")

    def _place_heavy(
        self, job: PromptJob, ordered: list[EngineView], count: int, rate: float
    ) -> Placement:
        subject, subject_tokens = self._subject(job)
        candidates = ordered[count:] or ordered
        expected = max(candidates, key=lambda item: hash_rank(subject, item.id))

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

        budget = rate * job.goal_s * PREFILL_SHARE_OF_GOAL
        free = [
            (cost(engine), engine.id, engine, "cached_and_least_unread")
            for engine in candidates
            if engine.heavy + engine.light < engine.slots and self._fits(engine, budget)
        ]
        pause_tokens = rate * job.pause_goal_s * PROMPT_SHARE_OF_PAUSE
        free += [
            (
                cost(engine) + BESIDE_STREAMS_TOKENS,
                engine.id,
                engine,
                "paced_beside_streams",
            )
            for engine in ordered[:count]
            if engine not in candidates
            and engine.pending_tokens == 0
            and engine.uncached_tokens <= pause_tokens
            and engine.heavy < MAX_HEAVY_BESIDE_STREAMS
        ]
        if not free:
            return Placement(engine=None, reason="engines_have_enough_to_read")
        _, _, best, reason = min(free)
        return self._placed(best, reason)

    def _fits(self, engine: EngineView, budget: float) -> bool:
        return (
            engine.pending_tokens == 0
            or engine.pending_tokens + engine.uncached_tokens <= budget
        )

    def _subject(self, job: PromptJob) -> tuple[str, int]:
        """Returns the id and the size of the last part that other prompts share."""
        if len(job.parts) < 2:
            return (job.parts[0].id if job.parts else ""), 0
        return job.parts[-2].id, job.parts[-2].tokens

    def _distance(self, engine: EngineView) -> int:
        cost = 0 if engine.zone == self.zone else CROSS_ZONE_TOKENS
        return cost + (SUSPECT_TOKENS if engine.suspect else 0)

    def _placed(self, engine: EngineView, reason: str) -> Placement:
        return Placement(
            engine=engine.id,
            reason=reason,
            uncached_tokens=engine.uncached_tokens,
            copied_tokens=engine.copied_tokens,
        )
