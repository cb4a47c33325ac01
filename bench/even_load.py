"""Compares ways of choosing engines by the evenness of their load.

All deciders of a zone choose at the same time, with reports of each other that are 0.1
to 0.3 s old. An engine reads one prompt after the other; running streams slow it down.

    python -m bench.even_load --seconds 10
"""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable

import msgspec
import typer

from lagoonrill._internal.coordination.policy.engine_placement import (
    EngineView,
    PackedPlacement,
    Placement,
    PromptJob,
    Shortlist,
    hash_rank,
    highest_ranked,
    interactive_order,
    owner_of,
    spread_rank,
)
from lagoonrill._internal.protocol.routing import EndpointRecord, PromptPart
from lagoonrill._internal.state.engine_load_table import (
    OWNER_REPLY_TTL_S,
    CachedParts,
)

# A digest arrives this long after it was sent, and one is sent at this interval.
LATENCY_S = 0.1
INTERVAL_S = 0.2
PREFILL_RATE = 12_000.0
SLOTS = 12
CACHE_TOKENS = 120_000
STREAM_RUN_S = 2.0
# Slow-down of an engine's prefill for each stream that runs on it.
STREAM_DRAG = 0.03
FIRST_TOKEN_S = 0.03
LONG_GOAL_S = 1.2
SHORT_GOAL_S = 0.6
PAUSE_GOAL_S = 0.4
# Prompt tokens shared by all requests, by those of one subject, and by none.
LONG_PARTS = (1_000, 3_000, 2_500)
SHORT_PARTS = (0, 200, 600)
# Requests per second and engine.
LONG_RATE = 2.2
SHORT_RATE = 1.0
# Requests that wait for room are placed again at this interval.
RETRY_S = 0.1
MAX_FAILED_PLACEMENTS = 2
MAX_DENIALS = 3
WARM_UP_S = 3.0
NO_WORK = (0, 0, 0)


class Job(msgspec.Struct, kw_only=True):
    """One request; times are in seconds."""

    id: str
    at: float
    decider: int
    heavy: bool
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    goal_s: float
    denied: frozenset[str] = frozenset()
    first_event_at: float = 0.0
    unread: int = 0


class Engine:
    """A simulated engine; `free_at` is the time when it has read all its prompts."""

    def __init__(self, *, record: EndpointRecord, speed: float):
        self.record = record
        self.speed = speed
        self.free_at = 0.0
        self.streams = 0
        # Streams and long prompts that it got.
        self.arrivals = [0, 0]
        self.cache = CachedParts(limit_tokens=CACHE_TOKENS)


class Known:
    """Work by engine that one decider has outstanding, and that it has reported."""

    def __init__(self):
        self.work: dict[str, list[int]] = {}
        self.reported: dict[str, list[int]] = {}


class Figures(msgspec.Struct, kw_only=True):
    """Results of one way in one fleet."""

    # Requests of the busiest engine in relation to the mean of its group.
    busiest_long: float
    busiest_short: float
    # Standard deviation of the engines' backlogs at a moment, in seconds.
    spread_s: float
    longest_s: float
    late_wait_s: float
    long_in_goal: float
    short_in_goal: float
    # Share of the long prompts' tokens that had to be read: prefix hits lost.
    read_share: float
    # Questions to owners of engines for each long prompt.
    questions: float


class Fleet:
    """A zone: deciders, engines, and what each decider knows of the others' work."""

    def __init__(
        self,
        *,
        deciders: int,
        engines: int,
        way: Callable,
        slow_share: float = 0.0,
        seed: int = 1,
        load: float = 1.0,
        fresh: bool = False,
        uses_own: bool = True,
        uses_refusals: bool = True,
    ):
        self.rng = random.Random(seed)
        self.way = way
        self.load = load
        # Whether deciders know all work at once, what they sent since their own digest,
        # and what owners replied.
        self.fresh = fresh
        self.uses_own = uses_own
        self.uses_refusals = uses_refusals
        self.now = 0.0
        self.policy = PackedPlacement(zone="a")
        records = [
            EndpointRecord(
                id=f"engine-{number:03}", service="m", address="", zone="a", slots=SLOTS
            )
            for number in range(engines)
        ]
        slow = set(self.rng.sample(range(engines), int(engines * slow_share)))
        self.engines = {
            record.id: Engine(record=record, speed=0.5 if number in slow else 1.0)
            for number, record in enumerate(records)
        }
        self.ordered = interactive_order(records)
        names = [f"i{number}" for number in range(deciders)]
        self.owners = {
            name: int(owner_of(name, names)[1:]) if deciders > 1 else 0
            for name in self.engines
        }
        self.owned = [
            frozenset(name for name, owner in self.owners.items() if owner == number)
            for number in range(deciders)
        ]
        self.known = [Known() for _ in range(deciders)]
        self.reported = {name: [0, 0, 0] for name in self.engines}
        # What the last reply of an owner adds to the pending tokens, and until when.
        self.corrections: dict[tuple[int, str], tuple[int, float]] = {}
        self.actual = {name: [0, 0, 0] for name in self.engines}
        # Prompts by engine that its owner has granted and that are not reported yet:
        # decider, time and tokens.
        self.grants: dict[str, list[tuple[int, float, int]]] = {}
        self.light_total = 0
        self.events: list = []
        self.sequence = itertools.count()
        self.waiting: list[Job] = []
        self.jobs: list[Job] = []
        self.backlogs: list[float] = []
        self.stream_counts: list[int] = []
        self.questions = 0

    def schedule(self, at: float, action, *details) -> None:
        heapq.heappush(self.events, (at, next(self.sequence), action, details))

    def load_of(self, decider: int, engine: str) -> tuple[int, int, int]:
        """Returns pending tokens, streams and long prompts, as a decider knows them."""
        if self.fresh:
            return tuple(self.actual[engine])
        known = self.known[decider]
        total = self.reported[engine]
        old = known.reported.get(engine, NO_WORK)
        new = known.work.get(engine, NO_WORK) if self.uses_own else old
        return (
            total[0] - old[0] + new[0],
            total[1] - old[1] + new[1],
            total[2] - old[2] + new[2],
        )

    def view(self, job: Job, name: str) -> EngineView:
        engine = self.engines[name]
        pending, light, heavy = self.load_of(job.decider, name)
        tokens, until = self.corrections.get((job.decider, name), (0, 0.0))
        if until > self.now and self.uses_refusals:
            pending = max(0, pending + tokens)
        cached = engine.cache.expected_tokens(job.parts)
        return EngineView(
            id=name,
            zone="a",
            slots=SLOTS,
            pending_tokens=pending,
            ahead_tokens=pending,
            light=light,
            heavy=heavy,
            uncached_tokens=job.prompt_tokens - cached,
            speed=engine.speed,
        )

    def stream_count(self) -> int:
        drag = sum(SHORT_PARTS) / (PREFILL_RATE * STREAM_RUN_S)
        return self.policy.stream_engine_count(
            len(self.ordered), SLOTS, self.light_total, drag
        )

    def prompt_job(self, job: Job) -> PromptJob:
        on_time = self.now - job.at <= job.goal_s
        return PromptJob(
            id=job.id,
            parts=job.parts,
            prompt_tokens=job.prompt_tokens,
            heavy=job.heavy,
            goal_s=job.goal_s if on_time else 0.0,
            pause_goal_s=PAUSE_GOAL_S,
        )

    def change(self, decider: int, engine: str, *amounts: int) -> None:
        work = self.known[decider].work.setdefault(engine, [0, 0, 0])
        for index, amount in enumerate(amounts):
            work[index] += amount
            self.actual[engine][index] += amount
        if not any(work):
            del self.known[decider].work[engine]

    def place(self, job: Job) -> bool:
        """Places a job; returns False if it has to wait."""
        for _ in range(1 + MAX_DENIALS):
            placement = self.way(self, job)
            if placement.engine is None:
                job.denied = frozenset()
                return False
            if self.owner_grants(job, placement):
                self.send(job, placement)
                return True
            job.denied |= {placement.engine}
        return False

    def owner_grants(self, job: Job, placement: Placement) -> bool:
        owner = self.owners[placement.engine]
        if not job.heavy or owner == job.decider or len(self.known) <= 4:
            return True
        self.questions += 1
        pending, _, heavy = self.load_of(owner, placement.engine)
        grants = self.grants.setdefault(placement.engine, [])
        pending += sum(tokens for _, _, tokens in grants)
        heavy += len(grants)
        fits = pending == 0 or (
            pending + placement.uncached_tokens <= placement.most_tokens
        )
        if placement.most_heavy is not None and heavy > placement.most_heavy:
            fits = False
        known = self.load_of(job.decider, placement.engine)[0]
        correction = pending - known, self.now + OWNER_REPLY_TTL_S
        self.corrections[job.decider, placement.engine] = correction
        if fits:
            grants.append((job.decider, self.now, placement.uncached_tokens))
        return fits

    def send(self, job: Job, placement: Placement) -> None:
        engine = self.engines[placement.engine]
        job.unread = job.prompt_tokens - engine.cache.expected_tokens(job.parts)
        engine.cache.note(job.parts, read=True)
        engine.arrivals[job.heavy] += 1
        drag = 1 + STREAM_DRAG * engine.streams
        took_s = job.unread * drag / (PREFILL_RATE * engine.speed)
        engine.free_at = max(self.now, engine.free_at) + took_s
        job.first_event_at = engine.free_at + FIRST_TOKEN_S
        tokens = placement.uncached_tokens
        light, heavy = int(not job.heavy), int(job.heavy)
        self.light_total += light
        self.change(job.decider, placement.engine, tokens, light, heavy)
        engine.streams += light
        name = placement.engine
        self.schedule(job.first_event_at, self.change, job.decider, name, -tokens, 0, 0)
        run_s = STREAM_RUN_S if light else STREAM_RUN_S / 4
        self.schedule(
            job.first_event_at + run_s, self.end, job.decider, name, light, heavy
        )

    def end(self, decider: int, name: str, light: int, heavy: int) -> None:
        self.change(decider, name, 0, -light, -heavy)
        self.light_total -= light
        self.engines[name].streams -= light

    def send_digest(self, decider: int) -> None:
        work = {name: list(item) for name, item in self.known[decider].work.items()}
        self.schedule(
            self.now + LATENCY_S, self.receive_digest, decider, work, self.now
        )
        self.schedule(self.now + INTERVAL_S, self.send_digest, decider)

    def receive_digest(self, decider: int, work: dict, sent_at: float) -> None:
        known = self.known[decider]
        for sign, digest in ((-1, known.reported), (1, work)):
            for name, amounts in digest.items():
                for index, amount in enumerate(amounts):
                    self.reported[name][index] += sign * amount
        known.reported = work
        for name, grants in self.grants.items():
            if any(who == decider and at < sent_at for who, at, _ in grants):
                self.grants[name] = [
                    grant
                    for grant in grants
                    if grant[0] != decider or grant[1] >= sent_at
                ]

    def arrive(self, heavy: bool) -> None:
        rate = LONG_RATE if heavy else SHORT_RATE
        rate *= len(self.engines) * self.load
        self.schedule(self.now + self.rng.expovariate(rate), self.arrive, heavy)
        number = len(self.jobs)
        # A few subjects are asked for much more often than the others.
        subject = int(self.rng.paretovariate(0.8)) % (4 * len(self.engines))
        by_all, by_subject, own = LONG_PARTS if heavy else SHORT_PARTS
        kind = "long" if heavy else "short"
        parts = (
            PromptPart(id=f"{kind}{subject % 4}", tokens=by_all),
            PromptPart(id=f"{kind}-s{subject}", tokens=by_subject),
            PromptPart(id=f"own{number}", tokens=own),
        )
        job = Job(
            id=f"r{number}",
            at=self.now,
            decider=self.rng.randrange(len(self.known)),
            heavy=heavy,
            parts=tuple(part for part in parts if part.tokens),
            prompt_tokens=by_all + by_subject + own,
            goal_s=LONG_GOAL_S if heavy else SHORT_GOAL_S,
        )
        self.jobs.append(job)
        if not self.place(job):
            self.waiting.append(job)

    def retry(self) -> None:
        failed = [0] * len(self.known)
        waiting = []
        for job in self.waiting:
            if failed[job.decider] >= MAX_FAILED_PLACEMENTS or not self.place(job):
                failed[job.decider] += 1
                waiting.append(job)
        self.waiting = waiting
        self.schedule(self.now + RETRY_S, self.retry)

    def sample(self) -> None:
        if self.now >= WARM_UP_S:
            count = self.stream_count()
            self.stream_counts.append(count)
            heavy = self.ordered[count:]
            found = [max(0.0, self.engines[e].free_at - self.now) for e in heavy]
            self.backlogs.append(statistics.pstdev(found))
        self.schedule(self.now + 0.1, self.sample)

    def run(self, seconds: float) -> Figures:
        """Replays requests and returns the figures of those after the warm-up."""
        for decider in range(len(self.known)):
            self.schedule(self.rng.random() * INTERVAL_S, self.send_digest, decider)
        for heavy in (True, False):
            self.schedule(0.0, self.arrive, heavy)
        self.schedule(0.0, self.retry)
        self.schedule(0.0, self.sample)
        while self.events and self.events[0][0] < seconds:
            self.now, _, action, details = heapq.heappop(self.events)
            action(*details)
        return self._figures(seconds)

    def _figures(self, seconds: float) -> Figures:
        jobs = [job for job in self.jobs if job.at >= WARM_UP_S]
        jobs = [job for job in jobs if job.at < seconds - max(LONG_GOAL_S, job.goal_s)]
        ends = {job.id: job.first_event_at or seconds for job in jobs}
        waits = {
            heavy: [ends[job.id] - job.at for job in jobs if job.heavy == heavy]
            for heavy in (True, False)
        }
        heavy = [job for job in jobs if job.heavy]
        most, least = max(self.stream_counts), min(self.stream_counts)
        return Figures(
            busiest_long=self._busiest(self.ordered[most:], True),
            busiest_short=self._busiest(self.ordered[:least], False),
            spread_s=statistics.mean(self.backlogs),
            longest_s=max(waits[True]),
            late_wait_s=sorted(waits[True])[int(0.99 * len(heavy))],
            long_in_goal=statistics.mean(w <= LONG_GOAL_S for w in waits[True]),
            short_in_goal=statistics.mean(w <= SHORT_GOAL_S for w in waits[False]),
            read_share=sum(job.unread for job in heavy)
            / sum(job.prompt_tokens for job in heavy),
            questions=self.questions / max(1, sum(job.heavy for job in self.jobs)),
        )

    def _busiest(self, names: list[str], heavy: bool) -> float:
        found = [self.engines[name].arrivals[heavy] for name in names]
        return max(found) / max(1, statistics.mean(found))


def choose(fleet: Fleet, job: Job, listed: Shortlist) -> Placement:
    """Lets the policy choose among listed engines."""
    return fleet.policy.choose(
        fleet.prompt_job(job),
        [fleet.view(job, name) for name in listed.main],
        [fleet.view(job, name) for name in listed.paced],
        PREFILL_RATE,
        expected=listed.expected,
    )


def groups(fleet: Fleet, job: Job) -> tuple[list[str], list[str]]:
    """Returns the engines for streams and for long prompts."""
    count = fleet.stream_count()
    return (
        [name for name in fleet.ordered[:count] if name not in job.denied],
        [name for name in fleet.ordered[count:] if name not in job.denied],
    )


def by_policy(fleet: Fleet, job: Job) -> Placement:
    """The router's present policy."""
    listed = fleet.policy.shortlist(
        fleet.prompt_job(job),
        fleet.ordered,
        fleet.stream_count(),
        fleet.owned[job.decider],
        skipped=job.denied,
    )
    return choose(fleet, job, listed)


def few(rank: Callable, prefix: int = 4, streams: int = 4) -> Callable:
    """Some engines by the prefix, four by the request and up to four owned ones."""

    def ranked(key: str, names: list[str], count: int) -> list[str]:
        return sorted(names, key=lambda name: -rank(key, name))[:count]

    def way(fleet: Fleet, job: Job) -> Placement:
        light, heavy = groups(fleet, job)
        if not job.heavy:
            main = ranked(job.id, light, streams)
            return choose(fleet, job, Shortlist(main=main, paced=[]))
        owned = fleet.owned[job.decider]
        paced = [name for name in light if name in owned][:4]
        main = [name for name in heavy if name in owned][:4]
        wanted = fleet.prompt_job(job)
        expected = ranked(wanted.shared_prefix()[0], heavy, prefix)
        if wanted.goal_s > 0:
            main = [*expected, *ranked(job.id, heavy, 4), *main]
        main = list(dict.fromkeys(main))
        return choose(
            fleet, job, Shortlist(main=main, paced=paced, expected=expected[0])
        )

    return way


def sampled(count: int) -> Callable:
    """The least loaded of `count` random engines."""

    def way(fleet: Fleet, job: Job) -> Placement:
        light, heavy = groups(fleet, job)
        found = heavy if job.heavy else light
        main = fleet.rng.sample(found, min(count, len(found)))
        return choose(fleet, job, Shortlist(main=main, paced=[]))

    return way


def least_loaded(fleet: Fleet, job: Job) -> Placement:
    """The least loaded of all engines."""
    light, heavy = groups(fleet, job)
    main = heavy if job.heavy else light
    return choose(fleet, job, Shortlist(main=main, paced=[]))


def by_room(fleet: Fleet, job: Job) -> Placement:
    """A random engine in proportion to its room.

    What peers have probably sent since their reports counts as load: equal shares of
    the long prompts of that time.
    """
    light, heavy = groups(fleet, job)
    main = heavy if job.heavy else light
    sent = LONG_RATE * (LATENCY_S + INTERVAL_S / 2) * sum(LONG_PARTS) / 2
    budget = PREFILL_RATE * job.goal_s
    views = [fleet.view(job, name) for name in main]
    rooms = [
        max(
            1.0, budget * view.speed - view.pending_tokens - view.uncached_tokens - sent
        )
        for view in views
    ]
    (name,) = fleet.rng.choices(main, [room**2 for room in rooms])
    return choose(fleet, job, Shortlist(main=[name], paced=[]))


def own_share(fleet: Fleet, job: Job) -> Placement:
    """The least loaded of eight engines that change only with the fleet."""
    light, heavy = groups(fleet, job)
    main = highest_ranked(f"i{job.decider}", heavy if job.heavy else light, 8)
    return choose(fleet, job, Shortlist(main=main, paced=[]))


def run_way(
    way: Callable, deciders: int, engines: int, seconds: float, **options
) -> Figures:
    return Fleet(deciders=deciders, engines=engines, way=way, **options).run(seconds)


# The ways, with the options of the fleet.
WAYS: dict[str, tuple[Callable, dict]] = {
    "few by CRC": (few(hash_rank), {}),
    "few by mixed hash": (few(spread_rank), {}),
    "policy": (by_policy, {}),
    "policy, no refusals": (by_policy, {"uses_refusals": False}),
    "policy, no own sends": (by_policy, {"uses_own": False}),
    "two random": (sampled(2), {}),
    "two random, no delay": (sampled(2), {"fresh": True}),
    "least loaded": (least_loaded, {}),
    "least loaded, no delay": (least_loaded, {"fresh": True}),
    "in proportion to room": (by_room, {}),
    "own share": (own_share, {}),
}
# Deciders and engines of a zone.
FLEETS = ((4, 9), (10, 15), (29, 45), (22, 23), (67, 70), (390, 120))
SEEDS = (1, 2)


def main(seconds: float = 10.0, load: float = 0.8, slow: float = 0.25) -> None:
    """Prints the table of docs/design/even-load.md."""
    print(
        "deciders engines way                    busiest long short  spread s "
        "longest s p99 s  in goal long short   read asked"
    )
    for deciders, engines in FLEETS:
        for name, (way, options) in WAYS.items():
            found = [
                run_way(
                    way,
                    deciders,
                    engines,
                    seconds,
                    seed=seed,
                    load=load,
                    slow_share=slow,
                    **options,
                )
                for seed in SEEDS
            ]
            means = [
                statistics.mean(column)
                for column in zip(*map(msgspec.structs.astuple, found), strict=True)
            ]
            print(
                "{:8} {:7} {:23} {:12.2f} {:5.2f} {:9.3f} {:10.2f} {:5.2f} {:13.3f} "
                "{:5.3f} {:6.3f} {:5.2f}".format(deciders, engines, name, *means),
                flush=True,
            )


if __name__ == "__main__":
    typer.run(main)
