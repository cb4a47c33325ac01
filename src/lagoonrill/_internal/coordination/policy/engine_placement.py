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

# Interactive streams that one engine should hold before the next one is opened to them.
LIGHT_STREAMS_PER_ENGINE = 24
# At least this share of the engines is left to long prompts.
MIN_HEAVY_SHARE = 0.4
# Share of the goal for the first event that may be spent on reading prompts; the rest
# covers the first event's own steps, the network and errors of the estimate.
PREFILL_SHARE_OF_GOAL = 0.5
# Share of a pause goal that one long prompt may take on an engine with streams.
PROMPT_SHARE_OF_PAUSE = 0.7
# A prompt is long if reading it takes more than this share of the tightest pause goal.
HEAVY_SHARE_OF_PAUSE = 0.25
# Part of a prompt's shared tokens that the engine chosen by its hash is taken to hold
# although this instance has not sent them there: its peers have.
HASH_SHARE_FIRST = 0.5
HASH_SHARE_SECOND = 0.25
# Cost of crossing to another zone, and of a request that runs already, in tokens.
CROSS_ZONE_TOKENS = 300
RUNNING_TOKENS = 40
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
    # Prompt tokens of this request that the engine has to read.
    uncached_tokens: int
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
    estimated_s: float = 0.0


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
        return self._place_light(job, ordered, count, rate)

    def interactive_count(self, ordered: list[EngineView]) -> int:
        """Returns how many engines, from the first on, hold interactive streams."""
        streams = sum(engine.light for engine in ordered) + 1
        most = max(1, int(len(ordered) * (1 - MIN_HEAVY_SHARE)))
        return min(most, -(-streams // LIGHT_STREAMS_PER_ENGINE))

    def _place_light(
        self, job: PromptJob, ordered: list[EngineView], count: int, rate: float
    ) -> Placement:
        def cost(engine: EngineView) -> float:
            return (
                engine.pending_tokens
                + engine.uncached_tokens
                + RUNNING_TOKENS * (engine.light + 4 * engine.heavy)
                + self._distance(engine)
            )

        best = min(ordered[:count], key=cost)
        if best.light + best.heavy >= best.slots and len(ordered) > count:
            best = min(ordered, key=cost)
        return self._placed(best, "interactive", rate)

    def _place_heavy(
        self, job: PromptJob, ordered: list[EngineView], count: int, rate: float
    ) -> Placement:
        shared = self._shared(job)
        candidates = ordered[count:] or ordered
        ranked = sorted(candidates, key=lambda item: -hash_rank(shared[0], item.id))
        bonus = {}
        for engine, share in zip(
            ranked, (HASH_SHARE_FIRST, HASH_SHARE_SECOND), strict=False
        ):
            bonus[engine.id] = share * shared[1]

        def cost(engine: EngineView) -> float:
            unread = engine.uncached_tokens
            held = min(bonus.get(engine.id, 0.0), max(0, unread))
            return (
                engine.pending_tokens
                + unread
                - held
                + RUNNING_TOKENS * (engine.light + engine.heavy)
                + self._distance(engine)
            )

        budget = rate * job.goal_s * PREFILL_SHARE_OF_GOAL
        free = [
            engine
            for engine in candidates
            if engine.heavy + engine.light < engine.slots and self._fits(engine, budget)
        ]
        if free:
            return self._placed(min(free, key=cost), "cached_and_least_unread", rate)
        pause_tokens = rate * job.pause_goal_s * PROMPT_SHARE_OF_PAUSE
        paced = [
            engine
            for engine in ordered[:count]
            if engine.pending_tokens == 0
            and engine.uncached_tokens <= pause_tokens
            and engine.heavy == 0
        ]
        if paced:
            return self._placed(min(paced, key=cost), "paced_beside_streams", rate)
        return Placement(engine=None, reason="engines_have_enough_to_read")

    def _fits(self, engine: EngineView, budget: float) -> bool:
        return (
            engine.pending_tokens == 0
            or engine.pending_tokens + engine.uncached_tokens <= budget
        )

    def _shared(self, job: PromptJob) -> tuple[str, int]:
        """Returns the last shared part's id and the tokens up to it."""
        if len(job.parts) < 2:
            part = job.parts[0].id if job.parts else ""
            return part, 0
        shared = job.parts[:-1]
        return shared[-1].id, shared[-1].tokens

    def _distance(self, engine: EngineView) -> int:
        cost = 0 if engine.zone == self.zone else CROSS_ZONE_TOKENS
        return cost + (SUSPECT_TOKENS if engine.suspect else 0)

    def _placed(self, engine: EngineView, reason: str, rate: float) -> Placement:
        return Placement(
            engine=engine.id,
            reason=reason,
            uncached_tokens=engine.uncached_tokens,
            estimated_s=(engine.pending_tokens + engine.uncached_tokens) / rate,
        )
