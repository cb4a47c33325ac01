"""Scheduler that queues requests by target and class and grants endpoint slots."""

import heapq
import itertools
import threading
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from ..protocol.errors import DeadlineExceeded, NoEndpoint, Overloaded, RequestError
from ..protocol.manifest import Manifest, RequestClass
from ..protocol.messages import EndpointUse
from .class_queue import ClassQueue, QueueEntry
from .endpoint_table import EndpointTable, EndpointView, targets_of
from .forecast import Forecast
from .pools import Pool, build_pools
from .preemption import PREEMPTION_RECHECK_S, Preemptor
from .scheduler_counters import ClassCounters, SchedulerCounters
from .scheduling import SchedulingPolicy
from .slot_ledger import SlotLedger
from .slots import SlotShares
from .tickets import Cancelled, SlotGrant, Ticket, Usage

__all__ = ["Cancelled", "Scheduler", "SlotGrant", "Ticket", "Usage"]

# Each waiting request blocks one caller thread (640 by default), so this limit is only
# reached by a driver that submits without threads. It bounds that driver's memory.
MAX_WAITING = 4_000
# Once this many requests of a class have declined the free endpoints in one dispatch
# round, the round skips the class.
MAX_DECLINES_PER_ROUND = 8
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
MIN_TEAM_WEIGHT = 0.001


class QueueDump(msgspec.Struct, kw_only=True):
    """State dump of one class queue."""

    request_class: str
    target: str
    tier: int
    waiting: int
    running: int
    floor_slots: float
    credit: float


class SchedulerDump(msgspec.Struct, kw_only=True):
    """State dump of the scheduler."""

    queues: list[QueueDump]
    in_use: dict[str, int]
    limits: dict[str, int]
    counters: dict[str, ClassCounters]


class Scheduler:
    """Grants endpoint slots to waiting requests.

    `acquire` blocks the calling thread, which also runs the timers that are due, so the
    scheduler needs no thread of its own.
    """

    def __init__(
        self,
        *,
        instance: str,
        table: EndpointTable,
        policy: SchedulingPolicy,
        max_waiting: int = MAX_WAITING,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.table = table
        self.policy = policy
        self.max_waiting = max_waiting
        self.clock = clock
        self.shares = SlotShares(instance=instance)
        self.lock = threading.Lock()
        self.pools: dict[str, Pool] = {}
        self.queues: dict[tuple[str, str], ClassQueue] = {}
        self.classes: dict[str, RequestClass] = {}
        self.top_tier = 0
        self.entries: dict[Ticket, QueueEntry] = {}
        self.timers: list[tuple[float, int, QueueEntry]] = []
        self.sequence = itertools.count()
        self.counters = SchedulerCounters()
        self.ledger = SlotLedger(limits_teams=policy.team_fairness.limits_in_flight)
        self.forecast = Forecast(policy=policy, ledger=self.ledger)
        self.preemptor = Preemptor(
            policy=policy,
            table=table,
            ledger=self.ledger,
            forecast=self.forecast,
            counters=self.counters,
        )
        table.subscribe(self.refresh)

    # Configuration.

    def apply_manifest(self, manifest: Manifest) -> None:
        """Applies classes, teams and slots of a manifest.

        The manifest must have been applied to the endpoint table before.
        """
        with self.lock:
            now = self.clock()
            self.classes = {item.name: item for item in manifest.classes}
            self.ledger.teams = {team.name: team for team in manifest.teams}
            tiers = [item.tier for item in manifest.classes]
            self.top_tier = min(tiers, default=0)
            self.shares.apply_endpoints(manifest.endpoints)
            self.pools = build_pools(manifest)
            self._place_queues(now)
            self._shares_changed(now)

    def _place_queues(self, now: float) -> None:
        for (target, class_name), queue in list(self.queues.items()):
            queue.request_class = self.classes.get(class_name, queue.request_class)
            queue.remove_idle_teams(self.ledger.teams)
            pool = self.pools.get(target)
            if pool is not None:
                pool.add_queue(queue)
                continue
            for entry in list(queue.waiting):
                self._end_without_endpoint(entry, "the manifest removed the target")
            if not queue.running:
                del self.queues[target, class_name]

    def update_peers(self, uses: dict[str, list[EndpointUse]]) -> None:
        """Applies the slot usage from the latest heartbeats of all live peers."""
        # A membership change computes one hash per member and endpoint. The shares have
        # their own lock, so this does not delay requests.
        self.shares.update_peers(uses)
        with self.lock:
            now = self.clock()
            self._shares_changed(now)
            self._return_borrowed_slots(now)

    def _return_borrowed_slots(self, now: float) -> None:
        """Preempts requests on borrowed slots whose owners use them again.

        Otherwise the owner's request would wait in the engine until the request on the
        borrowed slot ends.
        """
        for endpoint_id, surplus in self.shares.surpluses(self.ledger.in_use).items():
            queues = sorted(self.queues.values(), key=lambda queue: -queue.tier)
            self.preemptor.return_borrowed_slots(queues, endpoint_id, surplus, now)

    def refresh(self) -> None:
        """Dispatches waiting requests after the state of an endpoint changed."""
        with self.lock:
            self._dispatch_all(self.clock())

    def _shares_changed(self, now: float) -> None:
        self.ledger.limits = self.shares.limits()
        for queue in self.queues.values():
            self._set_floor(queue)
        self._dispatch_all(now)

    def _set_floor(self, queue: ClassQueue) -> None:
        pool = self.pools.get(queue.target)
        if pool is None or queue.tier <= self.top_tier:
            queue.floor_slots = 0.0
            return
        endpoints = pool.endpoints[queue.target]
        slots = sum(self.shares.base(endpoint.id) for endpoint in endpoints)
        queue.floor_slots = queue.request_class.floor * slots

    def local_uses(self) -> list[EndpointUse]:
        """Returns slots in use and waiting requests per endpoint, for the heartbeat.

        Omits endpoints that have neither, to keep the heartbeat small.
        """
        with self.lock:
            waiting: dict[str, int] = {}
            for queue in self.queues.values():
                if queue.head(self.ledger.is_team_at_limit) is not None:
                    total = waiting.get(queue.target, 0) + len(queue.waiting)
                    waiting[queue.target] = total
            endpoints = {
                endpoint.id: endpoint
                for pool in self.pools.values()
                for group in pool.endpoints.values()
                for endpoint in group
            }
            uses = [
                EndpointUse(
                    endpoint=endpoint.id,
                    in_use=self.ledger.in_use.get(endpoint.id, 0),
                    waiting=sum(waiting.get(t, 0) for t in targets_of(endpoint)),
                )
                for endpoint in endpoints.values()
            ]
            return [use for use in uses if use.in_use or use.waiting]

    # Requests.

    def acquire(self, ticket: Ticket) -> SlotGrant:
        """Blocks until a slot is granted.

        Raises `Overloaded`, `DeadlineExceeded` or `NoEndpoint` when the request is
        shed, and `Cancelled` after `cancel`. In all cases the request did not run.
        """
        entry = self.submit(ticket)
        try:
            while not entry.is_ended:
                entry.wakeup.wait(self._timeout_s(entry))
                entry.wakeup.clear()
                self.poll()
        except BaseException:
            self._abandon(entry)
            raise
        if entry.error is not None:
            raise entry.error
        return entry.grant

    def _timeout_s(self, entry: QueueEntry) -> float | None:
        if entry.wake_at == float("inf"):
            return None
        return max(0.0, entry.wake_at - self.clock())

    def submit(
        self, ticket: Ticket, *, wakeup: threading.Event | None = None
    ) -> QueueEntry:
        """Queues a ticket without blocking.

        `wakeup` is set when the entry has a grant or an error. A driver without threads
        must call `poll` at the times returned by `next_wake`.
        """
        entry = QueueEntry(
            ticket=ticket,
            sequence=next(self.sequence),
            wakeup=wakeup or threading.Event(),
        )
        with self.lock:
            if ticket in self.entries:
                raise ValueError(f"ticket {ticket.request_id} is already waiting")
            self._accept(entry, self.clock())
        return entry

    def cancel(self, ticket: Ticket) -> bool:
        """Cancels a waiting ticket; returns False if it is no longer waiting."""
        with self.lock:
            entry = self.entries.get(ticket)
            if entry is None:
                return False
            self.counters.of(ticket.request_class).cancelled += 1
            self._end(entry, Cancelled(message="The caller cancelled the request"))
            return True

    def release(self, grant: SlotGrant, usage: Usage) -> None:
        """Releases a slot; releasing the same grant again has no effect."""
        with self.lock:
            if grant.released:
                return
            now = self.clock()
            grant.released = True
            queue = self.queues[self._queue_key(grant.ticket)]
            pool = self.pools.get(queue.target)
            if pool is not None:
                pool.advance(now)
            self._remove_running(grant, queue)
            self._record_usage(grant, queue, usage, now)
            if pool is not None:
                self._dispatch(pool, now)

    def poll(self) -> None:
        """Runs the due timers of waiting requests."""
        with self.lock:
            now = self.clock()
            while self.timers and self.timers[0][0] <= now:
                wake_at, _, entry = heapq.heappop(self.timers)
                if entry.wake_at == wake_at and not entry.is_ended:
                    self._wake(entry, now)

    def next_wake(self) -> float | None:
        """Returns when `poll` is due next, or None if no timer is set."""
        with self.lock:
            self._drop_stale_timers()
            return self.timers[0][0] if self.timers else None

    def dump(self) -> SchedulerDump:
        with self.lock:
            return SchedulerDump(
                queues=[dump_queue(queue) for queue in self.queues.values()],
                in_use=dict(self.ledger.in_use),
                limits=dict(self.ledger.limits),
                counters=self.counters.copy(),
            )

    def _abandon(self, entry: QueueEntry) -> None:
        # Runs when the waiting thread is interrupted, for example by KeyboardInterrupt.
        if not self.cancel(entry.ticket) and entry.grant is not None:
            self.release(entry.grant, Usage())

    # Admission.

    def _accept(self, entry: QueueEntry, now: float) -> None:
        ticket = entry.ticket
        pool = self.pools.get(ticket.target)
        if pool is None:
            self._end_without_endpoint(entry, "no endpoint serves the target")
            return
        pool.advance(now)
        queue = self._queue_for(ticket, pool, now)
        views = self.table.candidates(ticket.target)
        self._set_latest_start(entry, views)
        if not self._may_find_endpoint(entry, views):
            self._end_without_endpoint(entry, "every endpoint is down or leaving")
            return
        error = self._refusal(entry, queue, pool, views, now)
        if error is not None:
            self._shed(entry, error[0], error[1], error[2], now)
            return
        self._enqueue(entry, queue)
        self._dispatch(pool, now)
        if not entry.is_ended:
            self._set_timer(entry, self._next_step_at(entry, pool, views, now))

    def _queue_key(self, ticket: Ticket) -> tuple[str, str]:
        return ticket.target, ticket.request_class.name

    def _queue_for(self, ticket: Ticket, pool: Pool, now: float) -> ClassQueue:
        key = self._queue_key(ticket)
        queue = self.queues.get(key)
        if queue is None:
            queue = ClassQueue(request_class=ticket.request_class, target=ticket.target)
            queue.advanced_at = now
            self.queues[key] = queue
            pool.add_queue(queue)
            self._set_floor(queue)
        return queue

    def _set_latest_start(self, entry: QueueEntry, views: list[EndpointView]) -> None:
        ticket = entry.ticket
        if ticket.resumes:
            entry.latest_start = float("inf")
        elif ticket.request_class.protected:
            # Protected requests are not shed because of an estimated service time.
            entry.latest_start = ticket.deadline
        else:
            least_s = self.policy.load_estimate.least_service_s(ticket, views)
            entry.latest_start = ticket.deadline - least_s

    def _may_find_endpoint(self, entry: QueueEntry, views: list[EndpointView]) -> bool:
        excluded = entry.ticket.excluded
        if any(view.endpoint.id not in excluded for view in views):
            return True
        target = entry.ticket.target
        probe_at = self.table.next_probe_at(target, excluded=excluded)
        if probe_at is not None and probe_at < entry.latest_start:
            return True
        return self.table.has_trial_running(target, excluded=excluded)

    def _refusal(
        self,
        entry: QueueEntry,
        queue: ClassQueue,
        pool: Pool,
        views: list[EndpointView],
        now: float,
    ) -> tuple[type[RequestError], str, str] | None:
        ticket = entry.ticket
        if ticket.resumes:
            return None
        if entry.latest_start <= now:
            return DeadlineExceeded, "deadline", "the deadline cannot be met any more"
        prediction = self.forecast.prediction(ticket, queue, pool, views, now)
        refusal = self.policy.admission.refuse(
            ticket,
            prediction,
            total_waiting=len(self.entries),
            total_limit=self.max_waiting,
        )
        if refusal is None:
            return None
        if refusal.reason == "queue_full" and self._displace_lower(ticket):
            return None
        if ticket.request_class.protected and self.preemptor.is_lower_work_usable(
            entry, pool, now
        ):
            return None
        return Overloaded, refusal.reason, refusal.detail

    def _displace_lower(self, ticket: Ticket) -> bool:
        """Sheds the newest waiting request of the lowest tier below the ticket's."""
        if not self.policy.admission.displaces_lower_tiers:
            return False
        request_class = ticket.request_class
        lower = [
            queue
            for queue in self.queues.values()
            if queue.tier > request_class.tier
            and (request_class.protected or not queue.request_class.protected)
        ]
        for queue in sorted(lower, key=lambda item: -item.tier):
            victim = next(
                (e for e in reversed(queue.waiting) if not e.ticket.resumes), None
            )
            if victim is not None:
                detail = "a request of a higher tier took its place in the full queue"
                self._shed(victim, Overloaded, "displaced", detail, self.clock())
                return True
        return False

    def _enqueue(self, entry: QueueEntry, queue: ClassQueue) -> None:
        ticket = entry.ticket
        fairness = self.policy.team_fairness
        entry.team_key = fairness.team_key(ticket)
        entry.order_key = fairness.order_key(ticket)
        team = self.ledger.teams.get(ticket.team)
        weight = team.weight if team is not None and entry.team_key else 1.0
        if not queue.waiting:
            tags = [q.class_tag for q in self._same_tier(queue) if q.waiting]
            queue.class_tag = max(queue.class_tag, min(tags, default=0.0))
        queue.push(entry, weight=max(MIN_TEAM_WEIGHT, weight))
        self.entries[ticket] = entry

    def _same_tier(self, queue: ClassQueue) -> list[ClassQueue]:
        queues = self.pools[queue.target].queues
        return [other for other in queues if other.tier == queue.tier]

    # Dispatch.

    def _dispatch_all(self, now: float) -> None:
        for pool in {id(pool): pool for pool in self.pools.values()}.values():
            pool.advance(now)
            self._dispatch(pool, now)

    def _dispatch(self, pool: Pool, now: float) -> None:
        """Grants free slots until none is left or no waiting request can use one.

        Requests that exclude the free endpoints or wait for a better one are set aside
        until the end of a round. The number of requests per class that may decline is
        limited, so the cost does not grow with the number of waiting requests.
        """
        if self._dispatch_round(pool, now, final_round=False):
            self._dispatch_round(pool, now, final_round=True)
        self._watch_targets(pool, now)

    def _dispatch_round(self, pool: Pool, now: float, *, final_round: bool) -> bool:
        views: dict[str, list[EndpointView]] = {}
        deferred: list[QueueEntry] = []
        closed: set[ClassQueue] = set()
        declined: Counter[ClassQueue] = Counter()
        while True:
            queues = [
                queue
                for queue in pool.queues
                if queue not in closed and self._can_serve(queue, pool, views)
            ]
            if not queues:
                break
            pick = self.policy.queue_order.pick(queues)
            entry = pick.queue.head(self.ledger.is_team_at_limit)
            view = self._choose(
                entry.ticket, views[pick.queue.target], now, final_round
            )
            if view is None:
                deferred.append(pick.queue.defer_head())
                declined[pick.queue] += not entry.ticket.excluded
                if declined[pick.queue] >= MAX_DECLINES_PER_ROUND:
                    closed.add(pick.queue)
                continue
            self._grant(entry, view, by_floor=pick.by_floor, now=now)
            self._count_in_views(view.endpoint.id, views)
        for entry in deferred:
            entry.queue.restore(entry)
        return bool(deferred)

    def _watch_targets(self, pool: Pool, now: float) -> None:
        """Sets timers for trials and sheds requests for targets without an endpoint.

        Only the head of each queue gets a timer, since a trial takes one request.
        """
        for queue in pool.queues:
            if not queue.waiting:
                continue
            probe_at = self.table.next_probe_at(queue.target)
            if probe_at is not None:
                head = queue.head(self.ledger.is_team_at_limit)
                if head is not None and now < probe_at < head.wake_at:
                    self._set_timer(head, probe_at)
                    head.wakeup.set()
            elif not self._has_endpoint(queue.target):
                for entry in list(queue.waiting):
                    self._end_without_endpoint(entry, "every endpoint is leaving")

    def _has_endpoint(self, target: str) -> bool:
        has_candidates = self.table.has_candidates(target)
        return has_candidates or self.table.has_trial_running(target)

    def _can_serve(
        self, queue: ClassQueue, pool: Pool, views: dict[str, list[EndpointView]]
    ) -> bool:
        if not queue.waiting or queue.head(self.ledger.is_team_at_limit) is None:
            return False
        target = queue.target
        if target not in views:
            views[target] = self._free_views(target, pool)
        return bool(views[target])

    def _free_views(self, target: str, pool: Pool) -> list[EndpointView]:
        free = {
            item.id
            for item in pool.endpoints[target]
            if self.ledger.free_slots(item.id)
        }
        return self.table.candidates(target, among=free) if free else []

    def _choose(
        self, ticket: Ticket, views: list[EndpointView], now: float, final_round: bool
    ) -> EndpointView | None:
        usable = [v for v in views if v.endpoint.id not in ticket.excluded]
        if not usable:
            return None
        return self.policy.endpoint_choice.choose(ticket, usable, now, final_round)

    def _grant(
        self, entry: QueueEntry, view: EndpointView, *, by_floor: bool, now: float
    ) -> None:
        ticket = entry.ticket
        queue = entry.queue
        cost = self._estimated_cost(ticket)
        queue.take_head(cost)
        queue.class_tag += cost
        if by_floor:
            queue.reserve_floor_credit()
        grant = SlotGrant(
            ticket=ticket,
            endpoint=view.endpoint,
            granted_at=now,
            by_floor=by_floor,
            trial=view.trial,
            estimated_cost=cost,
        )
        queue.running[grant] = None
        self.ledger.add_use(grant, 1)
        self.table.note_sent(view.endpoint.id)
        self.policy.endpoint_choice.note_sent(ticket, view.endpoint.id)
        self.counters.note_grant(ticket, by_floor, now)
        del self.entries[ticket]
        entry.end(grant=grant)

    def _estimated_cost(self, ticket: Ticket) -> float:
        tokens = self.policy.output_length.estimate(
            ticket.request_class.name, ticket.team
        )
        left = max(0.0, tokens - ticket.generated_tokens)
        return self.policy.team_fairness.cost(ticket.prompt_tokens, left)

    def _count_in_views(
        self, endpoint_id: str, views: dict[str, list[EndpointView]]
    ) -> None:
        """Updates the views of this dispatch round after a grant."""
        for target, target_views in views.items():
            for view in target_views:
                if view.endpoint.id == endpoint_id:
                    view.running += 1
                    view.in_flight += 1
            views[target] = [
                view
                for view in target_views
                if self.ledger.free_slots(view.endpoint.id) > 0
                and not (view.trial and view.endpoint.id == endpoint_id)
            ]

    # Release.

    def _remove_running(self, grant: SlotGrant, queue: ClassQueue) -> None:
        queue.running.pop(grant, None)
        queue.signalled.pop(grant, None)
        if grant.by_floor:
            queue.refund_floor_credit()
        self.ledger.add_use(grant, -1)
        if not self.ledger.is_team_at_limit(grant.ticket.team):
            for other in self.queues.values():
                other.unblock(grant.ticket.team)

    def _record_usage(
        self, grant: SlotGrant, queue: ClassQueue, usage: Usage, now: float
    ) -> None:
        ticket = grant.ticket
        preempted = grant.preempted.is_set()
        finished = not usage.failed and not preempted and usage.tokens > 0
        self.counters.note_usage(ticket, usage)
        ticket.generated_tokens += usage.tokens
        if preempted or (usage.failed and ticket.generated_tokens > 0):
            ticket.paused_at = now
        actual = self.policy.team_fairness.cost(ticket.prompt_tokens, usage.tokens)
        team_key = self.policy.team_fairness.team_key(ticket)
        queue.correct(team_key, actual - grant.estimated_cost)
        queue.class_tag += actual - grant.estimated_cost
        if finished:
            name = ticket.request_class.name
            total = ticket.generated_tokens
            self.policy.output_length.note(name, ticket.team, total)
        if not usage.failed:
            hold_s = now - grant.granted_at
            self.policy.load_estimate.note_hold(queue.request_class.name, hold_s)
        self._update_endpoint(grant, usage)

    def _update_endpoint(self, grant: SlotGrant, usage: Usage) -> None:
        endpoint_id = grant.endpoint.id
        self.table.note_speed(
            endpoint_id,
            first_token_s=usage.first_token_s,
            token_gap_s=usage.token_gap_s,
        )
        succeeded = not usage.failed and (
            usage.tokens > 0 or usage.first_token_s is not None
        )
        self.table.note_returned(
            endpoint_id, failed=usage.failed, succeeded=succeeded, trial=grant.trial
        )

    # Timers and preemption.

    def _wake(self, entry: QueueEntry, now: float) -> None:
        """Runs a due timer: dispatches, sheds, preempts or sets the next timer."""
        ticket = entry.ticket
        pool = self.pools[ticket.target]
        pool.advance(now)
        views = self.table.candidates(ticket.target)
        if self._free_views(ticket.target, pool):
            self._dispatch(pool, now)
            if entry.is_ended:
                return
        if not self._may_find_endpoint(entry, views):
            self._end_without_endpoint(entry, "every endpoint is down or leaving")
            return
        if now >= entry.latest_start and not self.preemptor.preempt_for_protected(
            entry, pool, now
        ):
            detail = "the deadline passed before a slot was free"
            self._shed(entry, DeadlineExceeded, "deadline", detail, now)
            return
        self._set_timer(entry, self._next_step_at(entry, pool, views, now))

    def _next_step_at(
        self, entry: QueueEntry, pool: Pool, views: list[EndpointView], now: float
    ) -> float:
        times = [self.preemptor.preempt_if_due(entry, pool, views, now)]
        if entry.latest_start > now:
            times.append(entry.latest_start)
        else:
            times.append(now + PREEMPTION_RECHECK_S)
        probe_at = self.table.next_probe_at(entry.ticket.target)
        choose_at = self.policy.endpoint_choice.accepts_any_at(entry.ticket)
        times += [at for at in (probe_at, choose_at) if at is not None and at > now]
        return min(times)

    # Ends and timers.

    def _shed(
        self,
        entry: QueueEntry,
        error: type[RequestError],
        reason: str,
        detail: str,
        now: float,
    ) -> None:
        ticket = entry.ticket
        pool = self.pools.get(ticket.target)
        retry_after_s = MIN_RETRY_AFTER_S
        if pool is not None:
            queue = self._queue_for(ticket, pool, now)
            views = self.table.candidates(ticket.target)
            retry_after_s = self.forecast.predicted_wait_s(ticket, queue, pool, views)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
        self.counters.note_shed(ticket, reason)
        name = ticket.request_class.name
        message = f"Class {name} was shed ({reason}): {detail}"
        self._end(entry, error(message=message, retry_after_s=retry_after_s))

    def _end_without_endpoint(self, entry: QueueEntry, detail: str) -> None:
        ticket = entry.ticket
        probe_at = self.table.next_probe_at(ticket.target)
        wait_s = probe_at - self.clock() if probe_at is not None else 0.0
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        self.counters.note_shed(ticket, "no_endpoint")
        name = ticket.request_class.name
        message = f"Class {name} on {ticket.target} was shed (no_endpoint): {detail}"
        self._end(entry, NoEndpoint(message=message, retry_after_s=retry_after_s))

    def _end(self, entry: QueueEntry, error: RequestError) -> None:
        if self.entries.get(entry.ticket) is entry:
            del self.entries[entry.ticket]
            entry.queue.discard(entry)
        entry.end(error=error)

    def _set_timer(self, entry: QueueEntry, wake_at: float) -> None:
        entry.wake_at = wake_at
        if wake_at < float("inf"):
            heapq.heappush(self.timers, (wake_at, next(self.sequence), entry))
        if len(self.timers) > 4 * len(self.entries) + 64:
            self.timers = [t for t in self.timers if not is_stale(t)]
            heapq.heapify(self.timers)

    def _drop_stale_timers(self) -> None:
        while self.timers and is_stale(self.timers[0]):
            heapq.heappop(self.timers)


def is_stale(timer: tuple[float, int, QueueEntry]) -> bool:
    """Returns whether a timer's request has ended or has a different timer now."""
    wake_at, _, entry = timer
    return entry.is_ended or entry.wake_at != wake_at


def dump_queue(queue: ClassQueue) -> QueueDump:
    """Returns the state dump of one class queue."""
    return QueueDump(
        request_class=queue.request_class.name,
        target=queue.target,
        tier=queue.tier,
        waiting=len(queue.waiting),
        running=len(queue.running),
        floor_slots=queue.floor_slots,
        credit=queue.credit,
    )
