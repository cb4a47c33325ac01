"""Admission control for engines: places, queues or rejects generations.

The policies `engine_placement` and `waiting_order` decide. This module collects their
inputs and wakes the threads of requests that have been decided.
"""

import threading
import time
import zlib
from collections import defaultdict

import logbook

from ..event_log import EventLog
from ..protocol.messages import PromptRequest
from ..protocol.refusals import Refusal
from ..protocol.routing import (
    EndpointRecord,
    EngineProfile,
    Route,
    RoutingConfig,
)
from ..state.arrival_counts import ArrivalCounts
from ..state.endpoint_registry import EndpointRegistry
from ..state.engine_load_table import EngineLoadTable
from .engine_eligibility import ANY_ENGINE, Eligibility, FailedPlacements
from .engine_fleet import Fleet, NoPeers, PeerInfo, RouteMeans
from .engine_requests import Admission, Engine, Generation, Waiter, WaiterState
from .policy.engine_placement import (
    RANDOM_CHOICES,
    EngineView,
    PackedPlacement,
    Placement,
    PromptJob,
    Shortlist,
    highest_ranked,
    owned_by,
)
from .policy.prompt_kinds import PromptRoute, long_prompt_routes
from .policy.request_limits import request_rate
from .policy.waiting_order import GoalFirstOrder, WaitingJob
from .send_permits import SendPermits

log = logbook.Logger("admission")

# Interval at which a queued request checks whether its caller has disconnected.
CHECK_INTERVAL_S = 0.2
# Queues are reviewed after changes with at least the first pause between reviews, and
# without changes at the second interval.
REVIEW_SPACING_S = 0.02
REVIEW_INTERVAL_S = 0.1
# Maximum fraction of time spent on reviewing long queues: a review of 4,000 queued
# requests takes about 6 ms (`bench/placement_cost.py`).
MAX_REVIEW_SHARE = 0.1
# Weight of the newest request in the running means per route.
MEAN_WEIGHT = 0.1
# Time to the first event in addition to prefill: network and a few decoding steps.
FIRST_EVENT_S = 0.15
# Requests of a rank that may use the same engines and could not be placed before a
# review tries no further ones.
MAX_FAILED_PLACEMENTS = 2
# A cached prefix is copied from another engine if this takes at most this fraction of
# the time to prefill it and saves at least the minimum number of tokens.
MAX_COPY_SHARE = 0.5
MIN_COPY_TOKENS = 256
# A prompt with more denials from engine owners than this waits for the next review.
MAX_DENIALS = 3
DEFAULT_PROFILE = EngineProfile(slots=1, cache_tokens=1)
# A long prompt goes to an engine in another zone only if the backlog there is this many
# times smaller than the limit for the local zone: load updates from other zones are
# older.
FAR_DELAY_FACTOR = 2.0
# Prefill rate assumed while all engines pause, so that waits can be computed.
MIN_TOKENS_PER_S = 1.0
# Retry delay for a request that finds no engine at all; by then the instance may have
# discovered one.
NO_ENGINE_RETRY_S = 0.5


def review_pause_s(took_s: float) -> float:
    """Returns the pause after a review of the queues that took `took_s`.

    >>> review_pause_s(0.0001), review_pause_s(0.01)
    (0.02, 0.09)
    """
    return max(REVIEW_SPACING_S, took_s / MAX_REVIEW_SHARE - took_s)


def allowed_of(engines: list[str], allowed: frozenset[str] | None) -> list[str]:
    """Returns those of some engines that are allowed; None allows all."""
    if allowed is None:
        return engines
    return [engine for engine in engines if engine in allowed]


class EngineAdmission:
    """Decides which engine runs a generation, and when."""

    def __init__(
        self,
        *,
        instance: str,
        zone: str,
        registry: EndpointRegistry,
        load_table: EngineLoadTable,
        permits: SendPermits,
        event_log: EventLog,
        clock=time.monotonic,
    ):
        self.permits = permits
        self.instance = instance
        self.zone = zone
        self.peers: PeerInfo = NoPeers(instance=instance)
        self.registry = registry
        self.load_table = load_table
        self.event_log = event_log
        self.clock = clock
        self.placement = PackedPlacement(zone=zone)
        self.order = GoalFirstOrder()
        self.lock = threading.Lock()
        self.waiting: dict[str, list[Waiter]] = {}
        self.arrivals = ArrivalCounts()
        self.means: dict[str, RouteMeans] = {}
        self.fleets: dict[str, Fleet] = {}
        self.config: RoutingConfig | None = None
        # Tightest pause goal among the routes of each service.
        self.tightest_pauses: dict[str, float] = {}
        # Routes to the engines of each service, and those whose prompts are long.
        self.engine_routes: dict[str, list[Route]] = {}
        self.long_routes: dict[str, frozenset[str]] = {}
        self.changed = threading.Event()
        self.stopping = threading.Event()

    def install(self, config: RoutingConfig) -> None:
        """Installs the routes and services of a new configuration."""
        pauses: dict[str, float] = {}
        engine_routes: dict[str, list[Route]] = {}
        for route in config.routes:
            for item in route.services:
                if route.uses_engine:
                    engine_routes.setdefault(item.service, []).append(route)
                if route.pause_goal_s > 0:
                    before = pauses.get(item.service, route.pause_goal_s)
                    pauses[item.service] = min(before, route.pause_goal_s)
        self.tightest_pauses = pauses
        self.engine_routes = engine_routes
        self.config = config

    def admit(
        self,
        generation: Generation,
        *,
        eligibility: Eligibility = ANY_ENGINE,
        caller_disconnected,
    ) -> Admission | None:
        """Returns an engine for a generation, or None if its caller disconnected.

        Raises `Refusal` if the generation cannot be served in time, and what the wait
        check of `eligibility` raises.
        """
        self._note_prompt(generation)
        started_at = self.clock()
        waiter = Waiter(
            generation=generation,
            view=self._view(generation),
            eligibility=eligibility,
        )
        self.arrivals.note(generation.service, tokens=waiter.view.prompt_tokens)
        while True:
            self.submit(waiter)
            if not self._await_decision(waiter, caller_disconnected):
                return None
            if waiter.state is WaiterState.REFUSED:
                raise self._refusal(generation)
            if self._is_granted(waiter):
                break
        self.load_table.note_sent(waiter.admission.engine, generation.parts)
        waiter.admission.waited_s = self.clock() - started_at
        return waiter.admission

    def _await_decision(self, waiter: Waiter, caller_disconnected) -> bool:
        """Waits for a decision; returns False if the caller disconnected before it.

        Raises `Refusal` at the time limit of the request, whatever became of it.
        """
        if waiter.decided.is_set():
            return True
        self.changed.set()
        deadline = waiter.generation.deadline
        while not waiter.decided.wait(CHECK_INTERVAL_S):
            if self.clock() >= deadline:
                self.withdraw(waiter)
                raise self._refusal(waiter.generation)
            if caller_disconnected():
                self.withdraw(waiter)
                return False
            try:
                waiter.eligibility.check_wait()
            except Exception:
                self.withdraw(waiter)
                raise
        return True

    def _is_granted(self, waiter: Waiter) -> bool:
        """Makes a placement final if the owners of the engine agree."""
        try:
            granted = self._owner_grants(waiter) and self._is_permitted(waiter)
        except BaseException:
            self.withdraw(waiter)
            raise
        if granted:
            self.grant(waiter)
        else:
            self.deny(waiter)
        return granted

    def _is_permitted(self, waiter: Waiter) -> bool:
        """Takes a permit if the engine limits its requests."""
        record = self.registry.records.get(waiter.admission.engine)
        # The send to an engine that is gone fails for that reason.
        return record is None or self.permits.take(record, request=waiter.generation.id)

    def _owner_grants(self, waiter: Waiter) -> bool:
        """Asks the owner of the engine whether it grants a long prompt."""
        admission = waiter.admission
        job = admission.job
        if not job.heavy:
            return True
        placement = admission.placement
        request = PromptRequest(
            instance=self.instance,
            engine=admission.engine,
            tokens=job.tokens,
            most_tokens=placement.most_tokens,
            most_heavy=placement.most_heavy,
            rank=job.rank,
        )
        reply = self.peers.ask_owner(admission.zone, request)
        if reply is None:
            return True
        self.load_table.note_owner_reply(job, reply.pending_tokens)
        if reply.granted:
            return True
        self.event_log.emit(
            "engine_denied",
            request=waiter.generation.id,
            endpoint=admission.engine,
            unread_tokens=job.tokens,
            ahead_tokens=reply.pending_tokens,
            most_tokens=placement.most_tokens,
            heavy=reply.heavy,
            most_heavy=placement.most_heavy,
        )
        return False

    def submit(self, waiter: Waiter) -> None:
        """Places a request if none is queued ahead of it; otherwise queues it.

        A request that would have to queue, or that an owner has denied, is refused
        instead if it can no longer finish in time.
        """
        generation = waiter.generation
        service = generation.service
        now = self.clock()
        with self.lock:
            line = self.waiting.setdefault(service, [])
            earliest = now + self._held_s(self._fleet(service))
            hopeless = not waiter.view.can_finish(earliest)
            if hopeless and waiter.denials:
                waiter.move_to(WaiterState.REFUSED)
                return
            ahead = any(
                other.has_engines
                and other.view.on_time(now)
                and other.view.priority <= waiter.view.priority
                for other in line
            )
            heavy = self._is_heavy(generation)
            denied = waiter.denials > MAX_DENIALS
            if not (ahead and heavy) and not denied:
                fleet = self._fleet(service)
                if self._try_place(waiter, fleet, now):
                    return
            if (line or earliest > now) and hopeless:
                waiter.move_to(WaiterState.REFUSED)
                return
            waiter.move_to(WaiterState.WAITING)
            line.append(waiter)
            length = len(line)
        self.event_log.emit(
            "request_waits",
            request=generation.id,
            route=generation.route.name,
            line=length,
            has_engines=waiter.has_engines,
            time_left_s=round(generation.deadline - now, 3),
        )

    def grant(self, waiter: Waiter) -> None:
        """Makes a placement final."""
        with self.lock:
            waiter.move_to(WaiterState.GRANTED)

    def deny(self, waiter: Waiter) -> None:
        """Undoes a placement that the owner of the engine denied."""
        with self.lock:
            self.load_table.end(waiter.admission.job)
            waiter.note_denial(waiter.admission.engine)

    def withdraw(self, waiter: Waiter) -> None:
        """Ends a request whose caller disconnected, whatever has been decided."""
        with self.lock:
            if waiter.state is WaiterState.REFUSED:
                return
            if waiter.state is WaiterState.WAITING:
                self.waiting[waiter.generation.service].remove(waiter)
            if waiter.state is WaiterState.PLACED:
                self.load_table.end(waiter.admission.job)
            waiter.move_to(WaiterState.WITHDRAWN)

    def _refusal(self, generation: Generation) -> Refusal:
        service = generation.service
        with self.lock:
            views = [item.view for item in self.waiting.get(service, [])]
        spread = zlib.crc32(generation.id.encode()) / 2**32
        if not self.registry.ready(service):
            return Refusal(
                503,
                "no_endpoint",
                remedy="Retry after the time given.",
                retry_after_s=NO_ENGINE_RETRY_S * (1 + spread),
            )
        retry_after_s = self.order.retry_after_s(
            views, self._tokens_per_s(service), spread
        )
        held_s = min(self.permits.held_for_s(r) for r in self.registry.ready(service))
        return Refusal(
            503,
            "engines_busy",
            remedy="Retry after the time given.",
            retry_after_s=max(retry_after_s, held_s),
        )

    def start(self) -> None:
        """Starts the thread that reviews the queues."""
        threading.Thread(target=self._run, name="engine-lines", daemon=True).start()

    def stop(self) -> None:
        """Stops the review thread."""
        self.stopping.set()
        self.changed.set()

    def note_change(self) -> None:
        """Triggers a review if any request is queued."""
        if any(self.waiting.values()):
            self.changed.set()

    def lacks_engines(self) -> bool:
        """Returns whether a queued request waits without any engine that it may use."""
        return any(
            not (waiter.has_engines and self.registry.ready(service))
            for service, line in list(self.waiting.items())
            for waiter in list(line)
        )

    def _run(self) -> None:
        while not self.stopping.is_set():
            self.changed.wait(REVIEW_INTERVAL_S)
            self.changed.clear()
            began = time.monotonic()
            try:
                self.review_all()
            except Exception:
                # If this thread ended, queued requests would wait until their limit.
                log.exception("review of queued generations failed")
            self.stopping.wait(review_pause_s(time.monotonic() - began))

    def review(self, service: str) -> None:
        """Places or rejects the queued requests of a service."""
        with self.lock:
            line = self.waiting.get(service)
            if not line:
                return
            try:
                self._decide(service, line)
            finally:
                line[:] = [item for item in line if item.state is WaiterState.WAITING]

    def _decide(self, service: str, line: list[Waiter]) -> None:
        now = self.clock()
        # Callers choose the ids of requests, so several may have the same one.
        waiters = {id(waiter.view): waiter for waiter in line}
        fleet = self._fleet(service)
        earliest = now + self._held_s(fleet)
        failed = FailedPlacements(most=MAX_FAILED_PLACEMENTS)
        for view in self.order.order([item.view for item in line], now):
            if failed.blocks(view.priority):
                continue
            waiter = waiters[id(view)]
            if not view.can_finish(earliest):
                waiter.move_to(WaiterState.REFUSED)
                continue
            try:
                self._place_waiting(waiter, fleet, now, failed)
            except Exception:
                log.exception("placement of a generation failed")
                if waiter.state is WaiterState.WAITING:
                    waiter.move_to(WaiterState.REFUSED)
        for view in self._late_jobs(service, now):
            waiters[id(view)].move_to(WaiterState.REFUSED)

    def _place_waiting(
        self, waiter: Waiter, fleet: Fleet, now: float, failed: FailedPlacements
    ) -> None:
        rank = waiter.view.priority
        group = waiter.eligibility.group(fleet)
        if failed.blocks(rank, group):
            return
        if not self._try_place(waiter, fleet, now) and waiter.has_engines:
            failed.note(rank, group)

    def _late_jobs(self, service: str, now: float) -> list[WaitingJob]:
        """Returns the queued jobs of a service that cannot finish in time.

        Jobs for the engines of one software version do not wait for those of another
        one, and a job without any engine is in nobody's way.
        """
        fleet = self._fleet(service)
        late = []
        queues: dict[str | None, list[WaitingJob]] = defaultdict(list)
        for waiter in self.waiting[service]:
            if waiter.state is not WaiterState.WAITING:
                continue
            if waiter.has_engines:
                queues[waiter.eligibility.version(fleet)].append(waiter.view)
            elif not waiter.view.can_finish(now):
                late.append(waiter.view)
        rate = self._tokens_per_s(service)
        for version, jobs in queues.items():
            share = 1.0
            if version is not None:
                # The last of them may have left since a job was tried.
                engines = max(1, len(fleet.of_version(version)))
                share = engines / len(fleet.records)
            late += self.order.jobs_to_reject(jobs, now, rate * share)
        return late

    def refuse_waiting(self) -> None:
        """Refuses all queued requests, as the instance is about to exit."""
        with self.lock:
            for line in self.waiting.values():
                for waiter in line:
                    waiter.move_to(WaiterState.REFUSED)
                line.clear()

    def review_all(self) -> None:
        """Reviews the queues of all services."""
        for service, line in list(self.waiting.items()):
            if not line:
                continue
            try:
                self.review(service)
            except Exception:
                # The requests of the other services must not wait for this one.
                log.exception("review of generations for {} failed", service)

    def _fleet(self, service: str) -> Fleet:
        """Returns the engines of a service, cached until the endpoint list changes."""
        fleet = self.fleets.get(service)
        zone = self.zone if self.peers.is_zone_local() else None
        edition = (self.registry.edition, zone)
        if fleet is None or fleet.edition != edition:
            before = fleet
            fleet = Fleet(
                records=self.registry.ready(service), edition=edition, zone=zone
            )
            if before is not None:
                fleet.streams, fleet.streams_at = before.streams, before.streams_at
            self.fleets[service] = fleet
        return fleet

    def stream_engines(self) -> dict[str, int]:
        """Returns the number of engines reserved for streams here, by service."""
        return {
            service: fleet.stream_engines
            for service, fleet in self.fleets.items()
            if fleet.stream_engines
        }

    def tokens_per_event(self, generation: Generation) -> int:
        """Returns the number of output tokens per event of a generation's stream."""
        return self._profile(generation.service).tokens_per_event

    def _owned(self, fleet: Fleet) -> frozenset[str]:
        """Returns the engines that this instance owns among the live instances."""
        members = self.peers.members()
        if members != fleet.members:
            fleet.members = members
            fleet.owned = owned_by(self.instance, members, fleet.ordered)
        return fleet.owned

    def _engine(self, record: EndpointRecord, service: str) -> Engine:
        cache = self.load_table.cache(
            record.id,
            incarnation=record.incarnation,
            tokens=self._profile(service).cache_tokens,
        )
        return Engine(
            record=record,
            load=self.load_table.load(record.id),
            cache=cache,
            suspect=self.registry.is_suspect(record.id),
        )

    def _try_place(self, waiter: Waiter, fleet: Fleet, now: float) -> bool:
        generation = waiter.generation
        service = generation.service
        on_time = waiter.view.on_time(now)
        job = PromptJob(
            id=generation.id,
            parts=generation.parts,
            prompt_tokens=generation.prompt_tokens,
            heavy=self._is_heavy(generation),
            goal_s=generation.route.goal_s if on_time else 0.0,
            pause_goal_s=self._tightest_pause_s(service),
        )
        allowed = waiter.eligibility.allowed(fleet)
        waiter.has_engines = allowed is None or bool(allowed)
        ordered, limited = self._usable_engines(allowed, fleet)
        if not ordered:
            return False
        count = self.placement.stream_engine_count(
            len(ordered),
            fleet.records[ordered[0]].slots,
            fleet.smoothed_streams(self.load_table.light_streams(fleet.ordered), now),
            self._read_fraction(service),
        )
        if allowed is None:
            # Peers keep long prompts from so many engines of the whole fleet.
            fleet.stream_engines = count
        if job.heavy:
            # An engine that any peer reserves for streams gets no long prompt.
            most = self.peers.most_stream_engines(service)
            count = min(
                max(count, most), self.placement.max_stream_engines(len(ordered))
            )
        long = self.long_routes.get(service, frozenset())
        if not long:
            # There are no prompts that streams have to be kept apart from.
            count = len(ordered)
        elif all(route.name in long for route in self.engine_routes.get(service, ())):
            count = 0
        listed = self.placement.shortlist(
            job, ordered, count, self._owned(fleet), skipped=waiter.denied_by
        )
        limited = [engine for engine in limited if engine not in waiter.denied_by]
        listed.main = listed.main + highest_ranked(job.id, limited, RANDOM_CHOICES)
        holder = self._holder(generation, fleet)
        ratio = self.load_table.delay_ratio(service)
        placement = self._choose(job, generation, fleet, holder, listed, ratio)
        if placement.engine is None and job.heavy and on_time:
            most = self.peers.most_stream_engines(service, far=True)
            count = max(count, most)
            far = self._far_shortlist(job, waiter, fleet, allowed, count)
            ratio *= FAR_DELAY_FACTOR
            placement = self._choose(job, generation, fleet, holder, far, ratio)
        if placement.engine is None:
            waiter.denied_by = frozenset()
            return False
        engine_job = self.load_table.begin(
            engine=placement.engine,
            tokens=placement.uncached_tokens,
            heavy=job.heavy,
            rank=generation.priority,
        )
        copies = holder is not None and placement.copied_tokens > 0
        waiter.admission = Admission(
            engine=placement.engine,
            zone=fleet.records[placement.engine].zone,
            job=engine_job,
            placement=placement,
            copy_from=holder.record if copies else None,
            waited_s=0.0,
            run_s=waiter.view.run_s,
        )
        waiter.move_to(WaiterState.PLACED)
        return True

    def _usable_engines(
        self, allowed: frozenset[str] | None, fleet: Fleet
    ) -> tuple[list[str], list[str]]:
        """Returns the engines for a request, and further ones that limit requests.

        Without a permit, an engine that limits its requests is as good as absent. With
        one, it takes requests of any kind, so it belongs to neither group of engines.
        """
        engines = allowed_of(fleet.ordered, allowed)
        if not engines:
            engines = [
                engine for names in fleet.far for engine in allowed_of(names, allowed)
            ]
        limited = self._restricted_engines(fleet)
        free = [engine for engine in engines if engine not in limited]
        trusted = [engine for engine in free if not self.registry.is_suspect(engine)]
        if not limited:
            return trusted or free, []
        permitted = [
            engine
            for engine in engines
            if engine in limited
            and not self.permits.is_held(fleet.records[engine])
            and not self.registry.is_suspect(engine)
        ]
        if trusted:
            return trusted, permitted
        far = [
            engine
            for ordered in fleet.far
            for engine in allowed_of(ordered, allowed)
            if engine not in limited and not self.registry.is_suspect(engine)
        ]
        return permitted or far or free, []

    def _held_s(self, fleet: Fleet) -> float:
        """Returns the time in which no engine of a service takes a request."""
        if not self.permits.has_restrictions():
            return 0.0
        return min(
            (self.permits.held_for_s(record) for record in fleet.records.values()),
            default=0.0,
        )

    def _restricted_engines(self, fleet: Fleet) -> frozenset[str]:
        """Returns the engines, of all zones, that limit their requests or pause."""
        if not self.permits.has_restrictions():
            return frozenset()
        return frozenset(
            name
            for name, record in fleet.records.items()
            if self.permits.is_restricted(record)
        )

    def _choose(
        self,
        job: PromptJob,
        generation: Generation,
        fleet: Fleet,
        holder: Engine | None,
        listed: Shortlist,
        delay_ratio: float,
    ) -> Placement:
        def views(names: list[str]) -> list[EngineView]:
            engines = (
                self._engine(fleet.records[name], generation.service) for name in names
            )
            return [self._engine_view(generation, item, holder) for item in engines]

        return self.placement.choose(
            job,
            views(listed.main),
            views(listed.paced),
            self.load_table.prefill_rate(generation.service),
            delay_ratio=delay_ratio,
            expected=listed.expected,
        )

    def _far_shortlist(
        self,
        job: PromptJob,
        waiter: Waiter,
        fleet: Fleet,
        allowed: frozenset[str] | None,
        count: int,
    ) -> Shortlist:
        """Returns engines of other zones that are not reserved for streams there."""
        unwanted = waiter.denied_by | self._restricted_engines(fleet)
        names = [
            name
            for ordered in fleet.far
            for name in allowed_of(ordered[count:], allowed)
            if name not in unwanted and not self.registry.is_suspect(name)
        ]
        return Shortlist(main=highest_ranked(job.id, names, RANDOM_CHOICES), paced=[])

    def _holder(self, generation: Generation, fleet: Fleet) -> Engine | None:
        """Returns the engine that has most of a prompt cached, if copying is faster."""
        profile = self._profile(generation.service)
        if not (profile.token_bytes and profile.link_bytes_per_s):
            return None
        copy_s = profile.token_bytes / profile.link_bytes_per_s
        read_s = 1 / self.load_table.prefill_rate(generation.service)
        if copy_s > MAX_COPY_SHARE * read_s:
            return None
        best = None
        most = MIN_COPY_TOKENS
        for name in self.load_table.holders(generation.parts):
            record = fleet.records.get(name)
            if record is None or self.registry.is_suspect(name):
                continue
            engine = self._engine(record, generation.service)
            held = engine.cache.held_tokens(generation.parts)
            if held > most:
                best, most = engine, held
        return best

    def _engine_view(
        self, generation: Generation, engine: Engine, holder: Engine | None
    ) -> EngineView:
        expected = engine.cache.expected_tokens(generation.parts)
        copied = 0
        if holder is not None and holder.record.id != engine.record.id:
            copied = holder.cache.held_tokens(generation.parts) - expected
            copied = copied if copied >= MIN_COPY_TOKENS else 0
        return EngineView(
            id=engine.record.id,
            zone=engine.record.zone,
            slots=engine.record.slots,
            pending_tokens=engine.load.pending_tokens,
            ahead_tokens=engine.load.pending_ahead(generation.priority),
            light=engine.load.light,
            heavy=engine.load.heavy,
            uncached_tokens=max(0, generation.prompt_tokens - expected - copied),
            copied_tokens=copied,
            suspect=engine.suspect,
            speed=self.load_table.speeds.factor(generation.service, engine.record.id),
        )

    def _profile(self, service: str) -> EngineProfile:
        found = self.config.services.get(service) if self.config else None
        return found.engine if found and found.engine else DEFAULT_PROFILE

    def _tightest_pause_s(self, service: str) -> float:
        return self.tightest_pauses.get(service, 0.0)

    def _is_heavy(self, generation: Generation) -> bool:
        """Returns whether the route's prompts are long enough to delay streams."""
        return generation.route.name in self.long_routes.get(
            generation.service, frozenset()
        )

    def _read_fraction(self, service: str) -> float:
        """Returns the fraction of its run time that an interactive prompt is read.

        Returns 0, so that only slots decide, until the rate has been observed: a wrong
        prior would reserve engines without need.
        """
        if not self.load_table.is_rate_observed(service):
            return 0.0
        rate = self.load_table.idle_prefill_rate(service)
        long = self.long_routes.get(service, frozenset())
        return max(
            (
                means.unread_tokens / (rate * means.run_s)
                for route in self.engine_routes.get(service, ())
                if route.name not in long and (means := self.means.get(route.name))
            ),
            default=0.0,
        )

    def _tokens_per_s(self, service: str) -> float:
        """Returns this instance's share of the prefill rate for long prompts.

        An engine that limits its requests prefills at most those, and one that pauses
        nothing.
        """
        fleet = self._fleet(service)
        rate = self.load_table.prefill_rate(service)
        restricted = self._restricted_engines(fleet).intersection(fleet.ordered)
        limits = [
            limit
            for name in restricted
            if (limit := self.permits.limit(fleet.records[name])) is not None
        ]
        free = len(fleet.ordered) - len(restricted)
        speeds = self.load_table.speeds.factors(service)
        if speeds:
            # In units of engines of the service's rate.
            free += sum(
                speeds.get(name, 1.0) - 1
                for name in fleet.ordered
                if name not in restricted
            )
        total = rate * max(1, free - 1) if free or not restricted else MIN_TOKENS_PER_S
        if limits:
            mean = self._mean_unread_tokens(service)
            total += sum(min(rate, request_rate(limit) * mean) for limit in limits)
        return total / len(self.peers.members())

    def _mean_unread_tokens(self, service: str) -> float:
        """Returns the mean number of prompt tokens that a request has to prefill."""
        known = [
            means.unread_tokens
            for route in self.engine_routes.get(service, ())
            if (means := self.means.get(route.name)) is not None
        ]
        return max(1.0, sum(known) / len(known)) if known else 1.0

    def _view(self, generation: Generation) -> WaitingJob:
        means = self.means[generation.route.name]
        rate = self.load_table.prefill_rate(generation.service)
        read_s = means.unread_tokens / rate
        return WaitingJob(
            id=generation.id,
            arrived_at=generation.arrived_at,
            goal_at=generation.arrived_at + generation.route.goal_s,
            deadline=generation.deadline,
            priority=generation.priority,
            prompt_tokens=int(means.unread_tokens),
            first_event_s=read_s + FIRST_EVENT_S,
            run_s=read_s + FIRST_EVENT_S + means.output_s(generation.output_tokens),
        )

    def _note_prompt(self, generation: Generation) -> None:
        name = generation.route.name
        with self.lock:
            means = self.means.get(name)
            if means is None:
                means = self.means[name] = RouteMeans()
                means.prompt_tokens = float(generation.prompt_tokens)
                means.unread_tokens = float(generation.prompt_tokens)
            step = generation.prompt_tokens - means.prompt_tokens
            means.prompt_tokens += MEAN_WEIGHT * step
            self._update_long_routes(generation.service)

    def _update_long_routes(self, service: str) -> None:
        before = self.long_routes.get(service, frozenset())
        routes = [
            PromptRoute(
                name=route.name,
                priority=route.priority,
                pause_goal_s=route.pause_goal_s,
                prompt_tokens=self.means[route.name].prompt_tokens,
            )
            for route in self.engine_routes.get(service, ())
            if route.name in self.means
        ]
        rate = self.load_table.idle_prefill_rate(service)
        found = long_prompt_routes(routes, rate, before)
        if found == before:
            return
        self.long_routes[service] = found
        self.event_log.emit(
            "prompt_kinds",
            service=service,
            long=sorted(found),
            tokens={route.name: round(route.prompt_tokens) for route in routes},
            tokens_per_s=round(rate),
        )

    def started(self, admission: Admission, generation: Generation) -> None:
        """Records the first event of a generation."""
        if admission.job.started:
            return
        self.load_table.note_read(admission.engine, generation.parts)
        self.load_table.started(admission.job, service=generation.service)
        means = self.means[generation.route.name]
        step = admission.placement.uncached_tokens - means.unread_tokens
        means.unread_tokens += MEAN_WEIGHT * step
        self.note_change()

    def ended(
        self,
        admission: Admission,
        generation: Generation,
        *,
        complete: bool,
        broken: bool,
        token_s: float | None,
    ) -> None:
        """Records the end of a generation.

        The cache of a `broken` engine is assumed lost. `token_s` is the time per token
        of the answer.
        """
        self.load_table.end(admission.job)
        if token_s is not None:
            means = self.means[generation.route.name]
            weight = MEAN_WEIGHT if means.token_s else 1.0
            means.token_s += weight * (token_s - means.token_s)
        if complete:
            means = self.means[generation.route.name]
            run_s = self.clock() - admission.job.sent_at
            means.run_s += MEAN_WEIGHT * (run_s - means.run_s)
        if broken:
            self.load_table.discard_cache(admission.engine)
        self.note_change()
