"""Decides how many endpoints of each kind a service should have in each zone.

Load pattern: about half of the endpoints stand idle on calm days, the load swings
within some seconds, and bursts of a few seconds need twice as many. An ordered endpoint
serves only seconds later, so most of a burst has to be served by endpoints that exist
before.

Spot endpoints carry what may be lost: each zone keeps a floor of ordinary endpoints,
and without the spot endpoints of any one zone the others serve the mean need.
"""

import math

import msgspec

from .needs import FLOOR_MEAN_S, HOLD_S, LoadHistory, Needs
from .subject import (
    DISCOVERY_S,
    FIRST_REPAIR_S,
    MAX_PAUSE_S,
    MAX_REPAIR_S,
    RESTATE_S,
    STARTUP_MARGIN,
    Subject,
)
from .views import DemandView, Order, ServiceView, ZoneView

# Minimum share of a zone's need on ordinary endpoints.
ORDINARY_SHARE = 0.25
# The rates of the demand meter cover less than its window before this time.
FIRST_SAMPLE_S = 1.5
# Before this time, only waiting requests and notices show that endpoints are missing:
# the measured rates may still be near their initial values.
OBSERVE_S = 5.0

# Differences up to this share are left alone, unless endpoints are required.
GROWTH_BAND = 0.1
SHRINK_BAND = 0.15
# Numbers are lowered when they are still enough for a need this much higher, so that
# small changes of the mean do not raise them again.
KEEP_FACTOR = 1.1
# At most this share of a zone's endpoints is removed in one step: their cached prompts
# have to be read again elsewhere.
SHRINK_STEP_SHARE = 0.25
SHRINK_INTERVAL_S = 3.0
# Nothing is removed while more than this share of the endpoints is slow after a start.
MAX_COLD_SHARE = 0.1

# Spot capacity is not requested again for this time where there was none.
SPOT_PAUSE_S = 5.0
# Orders for the same endpoints within a growing load are batched.
GROWTH_SPACING_S = 0.5


class ServicePlan:
    """Load history, orders and decisions for one service."""

    def __init__(self, *, service: str, now: float):
        self.service = service
        self.started_at = now
        self.history = LoadHistory()
        self.subjects: dict[tuple[str, bool], Subject] = {}
        self.spot_paused_until: dict[str, float] = {}
        self.shrunk_at = -math.inf
        self.needs = Needs()
        self.has_load = False
        self.view: ServiceView | None = None

    def subject(self, zone: str, spot: bool) -> Subject:
        return self.subjects.setdefault((zone, spot), Subject())

    def decide(self, view: ServiceView, now: float) -> list[Order]:
        """Returns the orders that are due, the most urgent first."""
        self.view = view
        self._note_endpoints(view, now)
        if now >= self.started_at + FIRST_SAMPLE_S:
            self.history.add(view, now)
        zones = self._zones(view)
        self.needs = self.history.needs(
            view,
            now,
            zones=len(zones),
            is_zone_lost=any(self._is_lost(view, zone, now) for zone in zones),
        )
        if self.needs.mean > 0:
            self.has_load = True
        if not (self.has_load or now >= self.started_at + FLOOR_MEAN_S):
            # The load is about to begin.
            return []
        orders = self._growth(view, now)
        if not orders:
            orders = self._shrinking(view, now)
        return orders + self._repeated(view, now, orders)

    def _zones(self, view: ServiceView) -> list[str]:
        """Returns the zones in which endpoints are ordered."""
        return sorted(view.profile.zone_prices or view.zones)

    def _price(self, view: ServiceView, zone: str) -> float:
        return view.profile.zone_prices.get(zone, 1.0)

    def _note_endpoints(self, view: ServiceView, now: float) -> None:
        for zone in self._zones(view):
            found = view.zones.get(zone, ZoneView())
            if found.withdrawn:
                self.spot_paused_until[zone] = now + SPOT_PAUSE_S
                subject = self.subject(zone, True)
                if subject.count is not None:
                    subject.count = min(subject.count, found.spot)
                    subject.grown_at = -math.inf
            for spot, ready in ((False, found.ordinary), (True, found.spot)):
                subject = self.subject(zone, spot)
                subject.seen = max(subject.seen, ready)
                if subject.count is None or ready == subject.count:
                    subject.differs_since = None
                    subject.repair_s = FIRST_REPAIR_S
                elif subject.differs_since is None:
                    subject.differs_since = now

    def _expected(self, view: ServiceView, zone: str, spot: bool, now: float) -> int:
        found = view.zones.get(zone, ZoneView())
        ready = found.spot if spot else found.ordinary
        subject = self.subject(zone, spot)
        return subject.expected(ready, now, view.profile.startup_s)

    def _is_lost(self, view: ServiceView, zone: str, now: float) -> bool:
        """Returns whether a zone had endpoints, and has none and starts none."""
        if view.zones.get(zone, ZoneView()).serving:
            return False
        kinds = (False, True)
        return any(self.subject(zone, spot).known for spot in kinds) and not any(
            self._expected(view, zone, spot, now) for spot in kinds
        )

    def _floor(self, view: ServiceView, mean: float) -> int:
        """Returns the minimum number of ordinary endpoints in each zone."""
        zones = len(self._zones(view))
        share = math.ceil(mean / zones * ORDINARY_SHARE) if zones > 1 else 0
        if zones == 1:
            # All spot endpoints may be lost at once.
            share = math.ceil(mean)
        least = max(view.profile.min_endpoints, share)
        return min(view.profile.max_endpoints, least)

    def _zone_floor(self, view: ServiceView, zone: str, floor: int, now: float) -> int:
        """Returns the minimum number of ordinary endpoints in one zone.

        While a zone has no spot capacity, its ordinary endpoints carry its part of what
        is required. More spot endpoints elsewhere do not relieve its instances.
        """
        if view.profile.spot_price >= 1 or not self._is_spot_paused(view, zone, now):
            return floor
        spot = view.zones.get(zone, ZoneView()).spot
        part = math.ceil(self.needs.required / len(self._zones(view))) - spot
        return min(view.profile.max_endpoints, max(floor, part))

    def _is_spot_paused(self, view: ServiceView, zone: str, now: float) -> bool:
        if view.profile.spot_price >= 1:
            return True
        return now < self.spot_paused_until.get(zone, -math.inf)

    def _outside(self, view: ServiceView) -> int:
        """Returns the serving endpoints in zones where none can be ordered."""
        zones = self._zones(view)
        return sum(
            found.serving for zone, found in view.zones.items() if zone not in zones
        )

    def _spot_targets(
        self, view: ServiceView, wanted: float, mean: float, now: float
    ) -> dict[str, int]:
        """Returns the numbers of spot endpoints that would make up the wanted number.

        Zones without spot capacity keep what they have; the others share the rest
        evenly. No zone gets so many that the mean need depends on them.
        """
        most = view.profile.max_endpoints
        most_lost = max(0, math.floor(wanted - mean))
        totals: dict[str, int] = {}
        room: dict[str, int] = {}
        targets: dict[str, int] = {}
        for zone in self._zones(view):
            if self._is_lost(view, zone, now):
                continue
            floor = self._floor(view, self.needs.floor_mean)
            has = self._expected(view, zone, True, now)
            is_limited = self._is_spot_paused(view, zone, now) or (
                # Ordered endpoints have not come; others stand in for them.
                has < (self.subject(zone, True).count or 0)
            )
            limit = has if is_limited else most_lost
            totals[zone] = floor
            targets[zone] = 0
            room[zone] = min(limit, most - floor)
        missing = math.ceil(wanted) - sum(totals.values()) - self._outside(view)
        for _ in range(max(0, missing)):
            free = [zone for zone in totals if targets[zone] < room[zone]]
            if not free:
                break
            zone = min(free, key=lambda item: (totals[item], self._price(view, item)))
            targets[zone] += 1
            totals[zone] += 1
        return targets

    def _ordinary_needed(
        self, view: ServiceView, spots: dict[str, int], total: float, mean: float
    ) -> int:
        """Returns how many ordinary endpoints are needed beside the spot endpoints."""
        spot = sum(spots.values()) + self._outside(view)
        after_loss = max((mean - (spot - lost) for lost in spots.values()), default=0)
        return max(0, math.ceil(total - spot), math.ceil(after_loss))

    def _order(
        self, view: ServiceView, zone: str, spot: bool, count: int, reason: str
    ) -> Order:
        found = view.zones.get(zone, ZoneView())
        subject = self.subject(zone, spot)
        before = None if spot and subject.count is None else subject.known
        return Order(
            service=self.service,
            zone=zone,
            spot=spot,
            count=count,
            before=before,
            reason=reason,
            need=round(self.needs.mean, 1),
            required=self.needs.required,
            wanted=self.needs.wanted,
            ready=found.spot if spot else found.ordinary,
            waiting=view.waiting,
            utilisation=round(self.needs.utilisation, 3),
        )

    def _may_order(self, zone: str, spot: bool, now: float) -> bool:
        subject = self.subject(zone, spot)
        return now >= max(subject.paused_until, subject.ordered_at + GROWTH_SPACING_S)

    def _growth(self, view: ServiceView, now: float) -> list[Order]:
        is_urgent = view.waiting > self._serving(view) or any(
            found.withdrawn for found in view.zones.values()
        )
        if now < self.started_at + OBSERVE_S and not is_urgent:
            return []
        needs = self.needs
        profile = view.profile
        zones = self._zones(view)
        expected = {
            (zone, spot): self._expected(view, zone, spot, now)
            for zone in zones
            for spot in (False, True)
        }
        is_short = sum(expected.values()) + self._outside(view) < needs.required
        orders = []
        targets = self._spot_targets(view, needs.wanted, needs.mean, now)
        missing = sum(
            max(0, target - expected[zone, True]) for zone, target in targets.items()
        )
        band = max(1.0, GROWTH_BAND * needs.wanted)
        if is_short or missing > band or (missing and not self._has_spot(expected)):
            reason = "load" if is_short else "headroom"
            for zone, target in targets.items():
                subject = self.subject(zone, True)
                room = profile.max_endpoints - max(
                    expected[zone, False],
                    view.zones.get(zone, ZoneView()).ordinary,
                    self.subject(zone, False).highest,
                )
                count = min(room, max(target, self._attempted(subject, now)))
                if count <= max(expected[zone, True], subject.count or 0):
                    continue
                if self._is_spot_paused(view, zone, now):
                    continue
                expected[zone, True] = count
                if self._may_order(zone, True, now):
                    orders.append(self._order(view, zone, True, count, reason))
        return orders + self._ordinary_growth(view, expected, now)

    def _has_spot(self, expected: dict[tuple[str, bool], int]) -> bool:
        return any(number for (_, spot), number in expected.items() if spot)

    def _attempted(self, subject: Subject, now: float) -> int:
        """Returns the number of a recent order that was not executed."""
        if subject.attempted is None or now > subject.ordered_at + MAX_PAUSE_S + 1:
            return 0
        return subject.attempted

    def _ordinary_growth(
        self, view: ServiceView, expected: dict[tuple[str, bool], int], now: float
    ) -> list[Order]:
        """Orders ordinary endpoints for what spot endpoints cannot carry."""
        needs = self.needs
        zones = [z for z in self._zones(view) if not self._is_lost(view, z, now)]
        most = view.profile.max_endpoints
        floor = self._floor(view, needs.floor_mean)
        subjects = {zone: self.subject(zone, False) for zone in zones}
        # Endpoints that restart belong to the number that is ordered.
        counts = {
            zone: max(subjects[zone].known, expected[zone, False]) for zone in zones
        }
        reasons: dict[str, str] = {}
        spots = {zone: expected[zone, True] for zone in zones}
        room = {
            zone: most - max(spots[zone], self.subject(zone, True).highest)
            for zone in zones
        }
        for zone in zones:
            least = min(self._zone_floor(view, zone, floor, now), room[zone])
            if counts[zone] < least:
                expected[zone, False] += least - counts[zone]
                counts[zone] = least
                reasons[zone] = "floor"
        needed = self._ordinary_needed(view, spots, needs.required, needs.mean)
        before = sum(expected[zone, False] for zone in zones)
        needed -= before

        def rank(zone: str) -> tuple:
            found = view.zones.get(zone, ZoneView())
            is_failing = found.withdrawn > 0 or counts[zone] > expected[zone, False]
            return is_failing, counts[zone] + spots[zone], self._price(view, zone)

        for _ in range(max(0, needed)):
            free = [zone for zone in zones if counts[zone] < room[zone]]
            if not free:
                break
            zone = min(free, key=rank)
            counts[zone] += 1
            expected[zone, False] += 1
            reasons[zone] = "load"
        orders = []
        for zone, reason in reasons.items():
            count = max(counts[zone], self._attempted(subjects[zone], now))
            count = min(count, max(counts[zone], room[zone]))
            if self._may_order(zone, False, now):
                orders.append(self._order(view, zone, False, count, reason))
        if needed > sum(expected[z, False] for z in zones) - before:
            orders += self._freed(view, spots, now)
        return orders

    def _freed(
        self, view: ServiceView, spots: dict[str, int], now: float
    ) -> list[Order]:
        """Lowers numbers of spot endpoints that have not come.

        They count for the limit of the zone, which keeps ordinary ones out.
        """
        return [
            self._order(view, zone, True, count, "limit")
            for zone, count in spots.items()
            if self.subject(zone, True).highest > count
            and self._is_spot_paused(view, zone, now)
            and now >= self.subject(zone, True).ordered_at + SPOT_PAUSE_S
        ]

    def _shrinking(self, view: ServiceView, now: float) -> list[Order]:
        if now < self.started_at + HOLD_S or now < self.shrunk_at + SHRINK_INTERVAL_S:
            return []
        if any(now < item.paused_until for item in self.subjects.values()):
            return []
        cold = sum(found.cold for found in view.zones.values())
        if cold > MAX_COLD_SHARE * self._serving(view):
            return []
        if view.tokens_per_s > 0 and not self.needs.prefill_rate:
            # How much the engines can read is not known yet.
            return []
        order = self._ordinary_shrinking(view, now) or self._spot_shrinking(view, now)
        return [order] if order else []

    def _serving(self, view: ServiceView) -> int:
        return sum(found.serving for found in view.zones.values())

    def _step(self, view: ServiceView, zone: str) -> int:
        serving = view.zones.get(zone, ZoneView()).serving
        return max(1, int(SHRINK_STEP_SHARE * serving))

    def _removable(self, view: ServiceView, zone: str, total: float) -> int:
        """Returns how many endpoints a zone can lose, down to a total.

        Whichever zone is lost then, the others serve the mean need.
        """
        serving = self._serving(view)
        kept = KEEP_FACTOR * self.needs.mean
        others = [found.serving for name, found in view.zones.items() if name != zone]
        after_loss = math.floor(serving - max(others, default=0) - kept)
        if not others:
            after_loss = serving
        return max(0, min(after_loss, math.floor(serving - total)))

    def _ordinary_shrinking(self, view: ServiceView, now: float) -> Order | None:
        """Lowers the number of ordinary endpoints that others replace already."""
        needs = self.needs
        zones = self._zones(view)
        spots = {zone: view.zones.get(zone, ZoneView()).spot for zone in zones}
        is_starting = any(
            self._expected(view, zone, True, now) > spots[zone] for zone in zones
        )
        # Ordinary endpoints carry the headroom until the spot endpoints serve.
        total = needs.wanted if is_starting else needs.required
        needed = self._ordinary_needed(view, spots, total, KEEP_FACTOR * needs.mean)
        floor = self._floor(view, KEEP_FACTOR * needs.floor_mean)
        counts = {zone: self._expected(view, zone, False, now) for zone in zones}
        surplus = sum(counts.values()) - max(needed, floor * len(zones))
        if surplus <= 0:
            return None
        floors = {zone: self._zone_floor(view, zone, floor, now) for zone in zones}
        candidates = [zone for zone in zones if counts[zone] > floors[zone]]
        candidates.sort(key=lambda zone: (-counts[zone], -self._price(view, zone)))
        for zone in candidates:
            removed = min(
                surplus,
                self._step(view, zone),
                counts[zone] - floors[zone],
                self._removable(view, zone, total),
            )
            if removed > 0:
                count = counts[zone] - removed
                return self._order(view, zone, False, count, "surplus")
        return None

    def _spot_shrinking(self, view: ServiceView, now: float) -> Order | None:
        needs = self.needs
        highest = self.history.highest_wanted()
        wanted = KEEP_FACTOR * highest
        targets = self._spot_targets(view, wanted, needs.mean, now)
        counts = {zone: self._expected(view, zone, True, now) for zone in targets}
        surplus = sum(counts.values()) - sum(targets.values())
        if surplus <= max(2.0, SHRINK_BAND * highest):
            return None
        candidates = [zone for zone in targets if counts[zone] > targets[zone]]
        candidates.sort(key=lambda zone: (-counts[zone], -self._price(view, zone)))
        for zone in candidates:
            removed = min(
                surplus,
                self._step(view, zone),
                counts[zone] - targets[zone],
                self._removable(view, zone, highest),
            )
            if removed > 0:
                return self._order(view, zone, True, counts[zone] - removed, "surplus")
        return None

    def _repeated(
        self, view: ServiceView, now: float, orders: list[Order]
    ) -> list[Order]:
        """Returns orders whose numbers have to be stated again."""
        ordered = {(order.zone, order.spot) for order in orders}
        settle_s = view.profile.startup_s * STARTUP_MARGIN + DISCOVERY_S + RESTATE_S
        found = []
        for (zone, spot), subject in sorted(self.subjects.items()):
            if (zone, spot) in ordered or subject.count is None:
                continue
            if now < subject.paused_until:
                continue
            if spot and self._is_spot_paused(view, zone, now):
                continue
            reason = ""
            if not subject.is_confirmed:
                reason = "unconfirmed"
            elif now < subject.doubt_until + RESTATE_S:
                if now >= subject.ordered_at + RESTATE_S:
                    reason = "call_in_doubt"
            elif (
                subject.differs_since is not None
                and now >= subject.differs_since + settle_s
                and now >= subject.grown_at + settle_s
                and now >= subject.repair_at
            ):
                reason = "number_differs"
                subject.repair_at = now + subject.repair_s
                subject.repair_s = min(MAX_REPAIR_S, 2 * subject.repair_s)
            if reason:
                found.append(self._order(view, zone, spot, subject.count, reason))
        return found

    def note_done(self, order: Order, now: float) -> None:
        """Records an order that the platform has confirmed."""
        subject = self.subject(order.zone, order.spot)
        if order.before is not None and order.count < order.before:
            self.shrunk_at = now
        subject.note_done(order, now)

    def note_none_available(self, order: Order, now: float) -> None:
        """Records that a zone has no spot capacity now."""
        self.spot_paused_until[order.zone] = now + SPOT_PAUSE_S
        subject = self.subject(order.zone, True)
        subject.attempted = None
        subject.failing_since = None
        subject.is_confirmed = True
        subject.ordered_at = now

    def note_failure(self, order: Order, now: float, *, in_doubt: bool) -> None:
        """Records a call that was not executed, or `in_doubt` may be executed late."""
        if order.before is not None and order.count < order.before:
            self.shrunk_at = now
        subject = self.subject(order.zone, order.spot)
        subject.note_failure(order, now, in_doubt=in_doubt)

    def dump(self, now: float) -> dict:
        zones = {}
        for (zone, spot), subject in sorted(dict(self.subjects).items()):
            zones.setdefault(zone, {})["spot" if spot else "ordinary"] = {
                "ordered": subject.count,
                "confirmed": subject.is_confirmed,
                "paused_s": round(max(0.0, subject.paused_until - now), 2),
            }
        for zone, until in dict(self.spot_paused_until).items():
            zones.setdefault(zone, {})["no_spot_s"] = round(max(0.0, until - now), 2)
        return {
            "needs": msgspec.to_builtins(self.needs),
            "view": msgspec.to_builtins(self.view),
            "age_s": round(now - self.started_at, 1),
            "zones": zones,
        }


class ScalingPolicy:
    """Plans of all services; a new holder of the lease starts with `reset`."""

    def __init__(self):
        self.plans: dict[str, ServicePlan] = {}

    def reset(self) -> None:
        """Forgets all orders and hold times: another instance may have ordered."""
        self.plans = {}

    def decide(self, view: DemandView, now: float) -> list[Order]:
        """Returns the orders that are due; `now` is in seconds of any clock."""
        orders = []
        known = {item.service for item in view.services}
        for service in self.plans.keys() - known:
            del self.plans[service]
        for item in view.services:
            plan = self.plans.get(item.service)
            if plan is None:
                plan = ServicePlan(service=item.service, now=now)
                self.plans[item.service] = plan
            orders += plan.decide(item, now)
        return orders

    def plan(self, order: Order) -> ServicePlan:
        """Returns the plan to which the outcome of an order is reported."""
        return self.plans[order.service]

    def dump(self, now: float) -> dict:
        return {name: plan.dump(now) for name, plan in dict(self.plans).items()}
