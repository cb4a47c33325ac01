"""Recent load of a service, and the numbers of endpoints that follow from it.

Three numbers of endpoints follow from the load of the recent past:

- the *mean need* serves the mean load at the target utilisation;
- *required* are enough for the mean need after the loss of one zone, and for the
  highest load of the hold time;
- *wanted* is more, by a headroom for bursts that is only bought on spot capacity.
"""

import math
from collections import deque

import msgspec

from ..protocol.routing import ScalingProfile
from .views import ServiceView

# Fraction of the first-event goal that may pass until the prompt has been read; the
# same as in the placement of prompts.
READ_SHARE_OF_GOAL = 0.6
# Share of prompts that may find more work ahead of them than the goal allows.
LATE_SHARE = 0.02
MIN_UTILISATION = 0.3
MAX_UTILISATION = 0.8
# Target share of slots in use, for engines and for plain endpoints.
SLOT_UTILISATION = 0.7
# Prompts that wait should be read within this time, in addition to those that arrive.
BACKLOG_S = 2.0

# Times over which the mean load is taken: for the number of all endpoints, and for that
# of ordinary ones, which a burst of seconds should not change.
MEAN_S = 30.0
FLOOR_MEAN_S = 60.0
# Numbers fall only when the highest load of this time allows it. It is longer than the
# period of swings in the load (11 s).
HOLD_S = 15.0
# Idle endpoints cost less on spot capacity and are kept longer, up to this time.
MAX_MEMORY_S = 90.0
# The headroom may cost this share of the mean need at ordinary prices, and is at most
# this share of the mean need.
HEADROOM_COST_SHARE = 0.2
MAX_HEADROOM = 1.25


def target_utilisation(*, goal_s: float, read_s: float) -> float:
    """Returns the share of time that engines may read so that prompts meet their goal.

    For random arrivals and equal prompts, the time that a prompt waits exceeds t with a
    probability of about exp(-2 (1 - u) t / (u read_s)) at a utilisation u.

    >>> round(target_utilisation(goal_s=0.8, read_s=0.1), 2)
    0.66
    >>> target_utilisation(goal_s=0.8, read_s=0.4)
    0.3
    """
    if goal_s <= 0 or read_s <= 0:
        return MAX_UTILISATION
    slack_s = goal_s * READ_SHARE_OF_GOAL - read_s
    if slack_s <= 0:
        return MIN_UTILISATION
    found = 1 / (1 - math.log(LATE_SHARE) * read_s / (2 * slack_s))
    return min(MAX_UTILISATION, max(MIN_UTILISATION, found))


class Sample(msgspec.Struct, kw_only=True, frozen=True):
    """Load at one time."""

    at: float
    tokens_per_s: float
    # Including the prompts that wait.
    demanded_tokens_per_s: float
    requests: float
    prefill_rate: float


class Needs(msgspec.Struct, kw_only=True):
    """Numbers of endpoints that follow from the load; see the module's comment."""

    mean: float = 0.0
    floor_mean: float = 0.0
    required: int = 0
    wanted: int = 0
    utilisation: float = 0.0
    target_utilisation: float = 0.0
    # Prompt tokens per second that one engine is assumed to read.
    prefill_rate: float = 0.0


class LoadHistory:
    """Samples of the load, as far back as they are used."""

    def __init__(self):
        self.samples: deque[Sample] = deque()
        # Recent wanted numbers, with their times.
        self.wanted: deque[tuple[float, int]] = deque()

    def add(self, view: ServiceView, now: float) -> None:
        """Adds the load of a view."""
        waiting = view.waiting_tokens / BACKLOG_S
        self.samples.append(
            Sample(
                at=now,
                tokens_per_s=view.tokens_per_s,
                demanded_tokens_per_s=view.tokens_per_s + waiting,
                requests=view.requests,
                prefill_rate=view.prefill_rate,
            )
        )
        oldest = now - memory_s(view.profile)
        while self.samples[0].at < oldest:
            self.samples.popleft()

    def highest_wanted(self) -> int:
        """Returns the highest wanted number of the hold time."""
        return max((number for _, number in self.wanted), default=0)

    def needs(
        self, view: ServiceView, now: float, *, zones: int, is_zone_lost: bool
    ) -> Needs:
        """Returns the numbers for a service with endpoints in so many zones."""
        if not self.samples:
            return Needs()
        profile = view.profile
        # Late reports of other prompts lower the measured rate in bursts, and nothing
        # raises it.
        rate = max(i.prefill_rate for i in self.samples if i.at > now - MEAN_S)
        read_s = 0.0
        if rate > 0 and view.requests_per_s > 0:
            read_s = view.tokens_per_s / view.requests_per_s / rate
        target = target_utilisation(goal_s=view.goal_s, read_s=read_s)

        def endpoints(tokens_per_s: float, requests: float) -> float:
            by_slots = requests / (view.slots * SLOT_UTILISATION)
            return max(by_slots, tokens_per_s / (rate * target) if rate else 0.0)

        def mean(seconds: float) -> float:
            found = [item for item in self.samples if item.at > now - seconds]
            return endpoints(
                sum(item.tokens_per_s for item in found) / len(found),
                sum(item.requests for item in found) / len(found),
            )

        def highest(seconds: float) -> float:
            found = [item for item in self.samples if item.at > now - seconds]
            return endpoints(
                max(item.demanded_tokens_per_s for item in found),
                max(item.requests for item in found),
            )

        limit = profile.max_endpoints * zones
        mean_need = mean(MEAN_S)
        after_loss = mean_need
        if zones > 1 and not is_zone_lost:
            after_loss *= zones / (zones - 1)
        required = max(after_loss, highest(HOLD_S))
        wanted = required
        if profile.spot_price < 1:
            with_headroom = mean_need * (1 + headroom(profile))
            wanted = max(required, with_headroom, highest(memory_s(profile)))
        reading = view.tokens_per_s / rate if rate else 0.0
        load = max(view.requests / view.slots, reading)
        serving = sum(zone.serving for zone in view.zones.values())
        found = Needs(
            mean=min(limit, mean_need),
            floor_mean=min(limit, mean(FLOOR_MEAN_S)),
            required=min(limit, math.ceil(required)),
            wanted=min(limit, math.ceil(wanted)),
            utilisation=load / max(1, serving),
            target_utilisation=target,
            prefill_rate=rate,
        )
        self.wanted.append((now, found.wanted))
        while self.wanted[0][0] < now - HOLD_S:
            self.wanted.popleft()
        return found


def headroom(profile: ScalingProfile) -> float:
    """Returns the headroom on spot capacity, as a share of the mean need."""
    return min(MAX_HEADROOM, HEADROOM_COST_SHARE / max(profile.spot_price, 0.01))


def memory_s(profile: ScalingProfile) -> float:
    """Returns for how long the highest load is kept on spot capacity."""
    price = max(profile.spot_price, HOLD_S / MAX_MEMORY_S)
    return max(FLOOR_MEAN_S, HOLD_S / price)
