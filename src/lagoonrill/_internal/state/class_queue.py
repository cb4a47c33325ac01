"""Queue of the waiting requests of one class for one target.

Teams share the slots by start-time fair queueing; within a team the request with the
earliest deadline goes first.
"""

import heapq
import itertools
import threading
from collections.abc import Callable, Container

from ..protocol.errors import RequestError
from ..protocol.manifest import RequestClass
from .tickets import SlotGrant, Ticket

# Unused credit is capped, so that a class that has waited long cannot take many slots
# at once from a burst of a higher tier.
MAX_CREDIT_SLOT_S = 4.0
# A class that runs above its floor while higher tiers wait goes into debt, at most by
# the credit it earns in this time. This bounds its wait for the next slot.
MAX_DEBT_S = 30.0
FLOOR_DEPOSIT_SLOT_S = 1.0
# Lower bound of a charge as a share of the estimated cost. A correction can cancel most
# of a charge, but virtual time must always advance.
MIN_CHARGE_SHARE = 0.1
# A team that was below its share may catch up by this many requests in a row, so that
# its short bursts do not wait behind a team that always has requests queued.
BURST_PICKS = 4
COST_SAMPLE_WEIGHT = 0.05
MIN_STALE_ENTRIES = 16


class QueueEntry:
    """A waiting ticket, which ends once with a grant or an error.

    `wakeup` is set when it ends and when its timer is moved to an earlier time.
    """

    __slots__ = (
        "ticket",
        "queue",
        "team_key",
        "order_key",
        "sequence",
        "grant",
        "error",
        "is_ended",
        "wakeup",
        "latest_start",
        "wake_at",
    )

    def __init__(self, *, ticket: Ticket, sequence: int, wakeup: threading.Event):
        self.ticket = ticket
        self.queue: ClassQueue | None = None
        self.team_key = ""
        self.order_key = 0.0
        self.sequence = sequence
        self.grant: SlotGrant | None = None
        self.error: RequestError | None = None
        self.is_ended = False
        self.wakeup = wakeup
        self.latest_start = ticket.deadline
        self.wake_at = ticket.deadline

    def end(
        self, *, grant: SlotGrant | None = None, error: RequestError | None = None
    ) -> None:
        self.grant = grant
        self.error = error
        self.is_ended = True
        self.wakeup.set()


class TeamQueue:
    """Waiting requests of one team in one class, earliest deadline first."""

    __slots__ = (
        "name",
        "weight",
        "heap",
        "live",
        "start_tag",
        "correction",
        "is_ready",
    )

    def __init__(self, *, name: str, weight: float):
        self.name = name
        self.weight = weight
        self.heap: list[tuple[float, int, QueueEntry]] = []
        self.live = 0
        self.start_tag = 0.0
        self.correction = 0.0
        self.is_ready = False

    def push(self, entry: QueueEntry) -> None:
        heapq.heappush(self.heap, (entry.order_key, entry.sequence, entry))
        self.live += 1

    def head(self) -> QueueEntry | None:
        while self.heap and self.heap[0][2].is_ended:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def pop(self) -> QueueEntry:
        self.live -= 1
        return heapq.heappop(self.heap)[2]

    def count_ended(self) -> None:
        """Counts a ticket that ended while queued; its heap entry is removed later."""
        self.live -= 1
        if len(self.heap) > 2 * self.live + MIN_STALE_ENTRIES:
            self.heap = [item for item in self.heap if not item[2].is_ended]
            heapq.heapify(self.heap)


class ClassQueue:
    """Start-time fair queue over the teams of one class and target.

    Also keeps the class's floor credit in slot-seconds. Callers must hold the
    scheduler's lock. Taking the head costs O(log teams).
    """

    def __init__(self, *, request_class: RequestClass, target: str):
        self.request_class = request_class
        self.target = target
        self.teams: dict[str, TeamQueue] = {}
        self.ready: list[tuple[float, int, TeamQueue]] = []
        self.blocked: set[str] = set()
        self.waiting: dict[QueueEntry, None] = {}
        self.running: dict[SlotGrant, None] = {}
        self.signalled: dict[SlotGrant, None] = {}
        self.virtual_time = 0.0
        self.mean_cost = 0.0
        self.class_tag = 0.0
        self.floor_slots = 0.0
        self.credit = 0.0
        self.advanced_at = 0.0
        self.sequence = itertools.count()

    @property
    def tier(self) -> int:
        return self.request_class.tier

    def push(self, entry: QueueEntry, *, weight: float) -> None:
        team = self.teams.get(entry.team_key)
        if team is None:
            team = TeamQueue(name=entry.team_key, weight=weight)
            self.teams[entry.team_key] = team
        team.weight = weight
        self.waiting[entry] = None
        entry.queue = self
        team.push(entry)
        self._mark_ready(team)

    def _mark_ready(self, team: TeamQueue) -> None:
        if team.is_ready or team.name in self.blocked:
            return
        earliest = self.virtual_time - BURST_PICKS * self.mean_cost / team.weight
        team.start_tag = max(team.start_tag, earliest)
        team.is_ready = True
        heapq.heappush(self.ready, (team.start_tag, next(self.sequence), team))

    def head(self, is_full: Callable[[str], bool]) -> QueueEntry | None:
        """Returns the next request, skipping teams at their in-flight limit."""
        while self.ready:
            team = self.ready[0][2]
            entry = team.head()
            if entry is not None and not is_full(team.name):
                return entry
            heapq.heappop(self.ready)
            team.is_ready = False
            if entry is not None:
                self.blocked.add(team.name)
        return None

    def unblock(self, team_name: str) -> None:
        """Makes a team eligible again after it dropped below its in-flight limit."""
        if team_name not in self.blocked:
            return
        self.blocked.discard(team_name)
        if team_name in self.teams:
            self._mark_ready(self.teams[team_name])

    def take_head(self, cost: float) -> QueueEntry:
        """Removes the request that `head` returned and charges its team."""
        team = self.ready[0][2]
        entry = team.pop()
        del self.waiting[entry]
        self.virtual_time = max(self.virtual_time, team.start_tag)
        self.mean_cost += COST_SAMPLE_WEIGHT * (cost - self.mean_cost)
        charge = max(cost + team.correction, MIN_CHARGE_SHARE * cost)
        team.correction += cost - charge
        team.start_tag += charge / team.weight
        self._update_ready(team)
        return entry

    def defer_head(self) -> QueueEntry:
        """Removes the head without charging its team; `restore` puts it back."""
        team = self.ready[0][2]
        entry = team.pop()
        self._update_ready(team)
        return entry

    def restore(self, entry: QueueEntry) -> None:
        team = self.teams[entry.team_key]
        team.push(entry)
        self._mark_ready(team)

    def _update_ready(self, team: TeamQueue) -> None:
        if team.head() is None:
            heapq.heappop(self.ready)
            team.is_ready = False
            return
        item = (team.start_tag, next(self.sequence), team)
        heapq.heapreplace(self.ready, item)

    def discard(self, entry: QueueEntry) -> None:
        """Removes a request that ended while it was waiting."""
        del self.waiting[entry]
        self.teams[entry.team_key].count_ended()

    def remove_idle_teams(self, known: Container[str]) -> None:
        """Removes teams that are no longer in the manifest and have no requests."""
        for name, team in list(self.teams.items()):
            if name not in known and not team.live:
                del self.teams[name]

    def correct(self, team_name: str, difference: float) -> None:
        """Adds the error of a cost estimate to the team's next charge."""
        team = self.teams.get(team_name)
        if team is not None:
            team.correction += difference

    def newest(self) -> QueueEntry:
        return next(reversed(self.waiting))

    def oldest(self) -> QueueEntry:
        return next(iter(self.waiting))

    def advance(self, now: float, *, higher_tier_waits: bool) -> None:
        """Accrues credit while the class waits; charges it while higher tiers wait."""
        elapsed_s = now - self.advanced_at
        self.advanced_at = now
        if self.floor_slots <= 0.0 or elapsed_s <= 0.0:
            return
        if self.waiting:
            self.credit += self.floor_slots * elapsed_s
        if higher_tier_waits:
            self.credit -= len(self.running) * elapsed_s
        lowest = -self.floor_slots * MAX_DEBT_S
        self.credit = min(MAX_CREDIT_SLOT_S, max(lowest, self.credit))

    def has_floor_credit(self) -> bool:
        return self.floor_slots > 0.0 and self.credit >= FLOOR_DEPOSIT_SLOT_S

    def reserve_floor_credit(self) -> None:
        """Takes a deposit, so that the same credit cannot pay for several slots."""
        self.credit -= FLOOR_DEPOSIT_SLOT_S

    def refund_floor_credit(self) -> None:
        """Refunds the deposit on release; `advance` charges for the time in use."""
        self.credit += FLOOR_DEPOSIT_SLOT_S

    def has_slots_beyond_floor(self) -> bool:
        """Returns whether a grant can be preempted without going below the floor."""
        return len(self.running) - len(self.signalled) > int(self.floor_slots)
