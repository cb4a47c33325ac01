"""Engines that a request may use, asked anew at each decision.

The list of engines, their versions, the endpoints that were tried and the evidence of
crashes change while a request waits, so an answer holds only for the decision that
asked for it. It names the engines that are allowed: an engine that registers during the
wait is in no list of excluded ones.
"""

import time
from collections import Counter
from collections.abc import Callable, Hashable
from typing import Protocol

from ..protocol.messages import LAST_RANK
from ..protocol.refusals import Refusal
from ..state.endpoint_registry import EndpointRegistry
from .crash_guard import CrashGuard
from .engine_fleet import Fleet
from .sending import Rerouted, Sending

# A caller waits this many pause goals for the next event of its stream.
CALLER_PAUSE_GOALS = 8.0
# Callers of a stream that cannot go on begin a new one after this time.
VERSION_GONE_RETRY_AFTER_S = 0.3


class Eligibility(Protocol):
    """What decides which engines a request may use."""

    def allowed(self, fleet: Fleet) -> frozenset[str] | None:
        """Returns the engines that the request may use now, or None for all."""

    def group(self, fleet: Fleet) -> Hashable:
        """Returns what requests that may use the same engines share; None for all."""

    def version(self, fleet: Fleet) -> str | None:
        """Returns the only version that the request may use, if others serve."""

    def check_wait(self) -> None:
        """Raises `Refusal` or `Rerouted` if the request must not wait any longer."""


class AnyEngine:
    """Lets a request use every engine."""

    __slots__ = ()

    def allowed(self, fleet: Fleet) -> frozenset[str] | None:
        return None

    def group(self, fleet: Fleet) -> Hashable:
        return None

    def version(self, fleet: Fleet) -> str | None:
        return None

    def check_wait(self) -> None:
        pass


ANY_ENGINE = AnyEngine()


class SendingEligibility:
    """Decides by the version, the endpoints tried and the evidence of crashes."""

    __slots__ = ("crash_guard", "registry", "reroute", "sending")

    def __init__(
        self,
        *,
        sending: Sending,
        crash_guard: CrashGuard,
        registry: EndpointRegistry,
        reroute: Callable[[Sending], bool],
    ):
        self.sending = sending
        self.reroute = reroute
        self.crash_guard = crash_guard
        self.registry = registry

    def allowed(self, fleet: Fleet) -> frozenset[str] | None:
        """Returns the engines that the request may use now, or None for all.

        A request that is suspected to crash engines has one of its own, a near one if
        there is one.
        """
        version, tried = self.version(fleet), self.sending.tried
        usable = None
        if version is not None or tried:
            found = fleet.records if version is None else fleet.of_version(version)
            usable = frozenset(name for name in found if name not in tried)
        if not self.crash_guard.note_suspicion(self.sending):
            return usable
        names = fleet.records.keys() if usable is None else usable
        near = [name for name in fleet.ordered if name in names]
        return frozenset(self.crash_guard.isolated(self.sending, near or list(names)))

    def group(self, fleet: Fleet) -> Hashable:
        """Returns what requests that may use the same engines share; None for all."""
        if self.crash_guard.is_suspected(self.sending):
            return self.sending.fingerprint
        version, tried = self.version(fleet), self.sending.tried
        if version is None and not tried:
            return None
        return version, frozenset(tried)

    def version(self, fleet: Fleet) -> str | None:
        """Returns the only version that the request may use, if others serve."""
        version = self.sending.version
        if version is None or len(fleet.of_version(version)) == len(fleet.records):
            return None
        return version

    def check_wait(self) -> None:
        """Raises `Refusal` if no engine can go on with a stream while its caller waits.

        An engine that crashed may be back in time. Raises `Rerouted` if the request has
        to wait elsewhere, or nowhere.
        """
        sending = self.sending
        if self.reroute(sending):
            raise Rerouted
        route = sending.request.route
        if not (sending.origin_known and route.pause_goal_s > 0):
            return
        since = sending.last_event_at or sending.request.arrived_at
        if time.monotonic() < since + CALLER_PAUSE_GOALS * route.pause_goal_s:
            return
        if not any(map(sending.may_use, self.registry.ready(sending.request.service))):
            raise stream_version_gone()


class FailedPlacements:
    """Requests of one review that found no engine, by the engines that they may use.

    After some of a rank, only more urgent requests are tried: for those, an engine's
    backlog of less urgent prompts does not count. A request that may use every engine
    speaks for all others; one that may not speaks only for its group.
    """

    __slots__ = ("blocked", "counts", "most")

    def __init__(self, *, most: int):
        self.most = most
        self.counts: Counter[tuple[int, Hashable]] = Counter()
        # Ranks from which on the requests of a group are not tried.
        self.blocked: dict[Hashable, int] = {}

    def blocks(self, rank: int, group: Hashable = None) -> bool:
        """Returns whether a request of a rank and a group is not worth a try."""
        return rank >= self.blocked.get(group, LAST_RANK + 1)

    def note(self, rank: int, group: Hashable) -> None:
        """Counts a request that found no engine."""
        self.counts[rank, group] += 1
        if self.counts[rank, group] >= self.most:
            self.blocked[group] = min(rank, self.blocked.get(group, rank))


def stream_version_gone() -> Refusal:
    """Returns the refusal of a stream that no endpoint can go on with."""
    return Refusal(
        503,
        "stream_version_gone",
        remedy="Begin a new stream; no endpoint can go on with this one.",
        retry_after_s=VERSION_GONE_RETRY_AFTER_S,
    )
