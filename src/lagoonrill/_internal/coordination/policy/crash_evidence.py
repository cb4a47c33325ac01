"""Decides which requests are refused because they crash endpoints.

Load pattern: one request crashes each endpoint that begins to run it, and comes again
at any instance; or one part of a prompt does so, in requests no two of which are alike.
Sound requests run on the same endpoints, and sound prompts share the other parts.
Without a decision, endpoint after endpoint crashes, and each crash breaks off all that
runs there.

A crash speaks against each request that was on the endpoint, and against the parts of
those prompts that had not begun, but never against the last part, which no other
request has. Of several requests, the one with the most crashes explains them, and what
it explains speaks against no other. Parts are suspected only if no single request was
on all of their engines, as that is the narrower explanation.

An answer shows that a request is sound, and the beginning of an answer that the parts
of its prompt are. Parts that only occurred together cannot be told apart, so prompts
are refused that have all of them; a sound request with some of them clears these.
"""

import hashlib
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable

import msgspec

from .crash_records import (
    Crash,
    begun_count,
    has_rival,
    independent_count,
    one_request_explains,
    request_crash_count,
)

# A request is refused after this many crashes of endpoints that it was on.
CERTAIN_CRASHES = 3
# A request that another one on the same endpoints may stand for is refused after this
# many crashes. As both go to endpoints of their own, a further crash mostly decides.
AMBIGUOUS_CRASHES = 6
# Prompts with a part are refused after crashes of this many engines that no single
# request explains.
MIN_CRASHES = 2
# A crash counts, and requests are refused, for this long. It ends by time because a
# request may be sound for new weights or a new version of the endpoints.
EVIDENCE_LIFETIME_S = 600.0
MAX_CRASHES = 200
# Sound parts that are remembered, the most recently used ones.
MAX_SOUND_PARTS = 4_096


class Cause(msgspec.Struct, kw_only=True, frozen=True):
    """What crashes the endpoints of a service: one request, or parts of prompts."""

    service: str
    # Fingerprint of the request; empty if the parts are the cause.
    request: str = ""
    # Parts that are the cause if a prompt has all of them.
    parts: frozenset[str] = frozenset()

    def matches(self, request: str, parts: frozenset[str]) -> bool:
        """Returns whether a request, or a prompt with these parts, has this cause."""
        if self.request:
            return self.request == request
        return self.parts <= parts


class Decision(msgspec.Struct, kw_only=True, frozen=True):
    """Causes for which requests are refused from now on, or no longer."""

    refused: tuple[Cause, ...] = ()
    cleared: tuple[Cause, ...] = ()


class CrashEvidence:
    """Crashes that all instances report, and what is refused because of them.

    Causes are kept by service, since a request may be sound on the endpoints of
    another one. Times are on the monotonic clock of `clock`.

    >>> evidence = CrashEvidence(clock=lambda: 10.0)
    >>> decision = evidence.note_crash("s", "e1", request="r1", parts=["a", "b"], at=1)
    >>> decision.refused
    ()
    >>> evidence.note_begun("s", ["a"])
    []
    >>> decision = evidence.note_crash("s", "e2", request="r2", parts=["a", "b"], at=2)
    >>> [sorted(cause.parts) for cause in decision.refused]
    [['b']]
    >>> evidence.refusal("s", request="r3", parts=["a", "b", "c"]) in decision.refused
    True
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.sound: OrderedDict[tuple[str, str], None] = OrderedDict()
        # By endpoint and incarnation.
        self.crashes: OrderedDict[str, Crash] = OrderedDict()
        # Time since which requests are refused for a cause.
        self.refused: dict[Cause, float] = {}
        # Refused requests that the crashes known here explain.
        self.explaining: set[Cause] = set()

    def is_empty(self) -> bool:
        """Returns whether nothing is suspected, without the lock."""
        return not (self.crashes or self.refused)

    def note_begun(self, service: str, parts: Iterable[str]) -> list[Cause]:
        """Records that an answer to a request with these parts has begun.

        Returns the causes for which nothing is refused any longer.
        """
        cleared = []
        with self.lock:
            for part in parts:
                key = (service, part)
                if key not in self.sound:
                    cleared += self._clear_part(service, part)
                self.sound[key] = None
                self.sound.move_to_end(key)
            while len(self.sound) > MAX_SOUND_PARTS:
                self.sound.popitem(last=False)
        return cleared

    def note_answered(self, service: str, request: str) -> tuple[bool, list[Cause]]:
        """Records that an endpoint has answered a request.

        Returns whether anything spoke against the request, and the causes for which
        nothing is refused any longer.
        """
        with self.lock:
            suspected = False
            for crash in self.crashes.values():
                if crash.service == service and request in crash.requests:
                    suspected = True
                    del crash.requests[request]
            cause = Cause(service=service, request=request)
            self.explaining.discard(cause)
            if self.refused.pop(cause, None) is not None:
                return True, [cause]
            return suspected, []

    def restore(self, cause: Cause, *, age_s: float) -> bool:
        """Refuses a cause that was found before; returns False if it is known."""
        with self.lock:
            if cause.parts:
                parts = frozenset(
                    part
                    for part in cause.parts
                    if (cause.service, part) not in self.sound
                )
                cause = msgspec.structs.replace(cause, parts=parts)
            if not (cause.request or cause.parts) or self._refuses(cause):
                return False
            self._refuse(cause, self.clock() - age_s)
            return True

    def suspects(self, service: str, parts: Iterable[str]) -> list[str]:
        """Returns the parts that are not known to be sound."""
        with self.lock:
            return [part for part in parts if (service, part) not in self.sound]

    def note_crash(
        self,
        service: str,
        endpoint: str,
        *,
        request: str,
        at: float,
        ran_s: float = 0.0,
        parts: Iterable[str] = (),
        begun: bool = False,
    ) -> Decision:
        """Records a request that was on an endpoint when it crashed.

        `endpoint` identifies the incarnation; the request had been sent to it `ran_s`
        before the crash.
        """
        with self.lock:
            self._expire()
            crash = self.crashes.setdefault(endpoint, Crash(service=service, at=at))
            crash.note_exposure(request, begun=begun, sent_at=at - ran_s)
            for part in parts:
                if (service, part) not in self.sound:
                    crash.parts.setdefault(part, set()).add(request)
            while len(self.crashes) > MAX_CRASHES:
                self.crashes.popitem(last=False)
            found, cleared = [], []
            if len(self._crashes_with(service, request)) >= CERTAIN_CRASHES:
                found, cleared = self._review_requests(service)
            if parts := self._most_suspected_parts(crash):
                found.append(Cause(service=service, parts=parts))
            new = [cause for cause in found if not self._refuses(cause)]
            for cause in new:
                self._refuse(cause, self.clock())
            return Decision(refused=tuple(new), cleared=tuple(cleared))

    def crash_count(self, service: str, request: str) -> int:
        """Returns the number of crashes that speak against a request.

        Crashes at the same time have a common cause and count once, unless the request
        was sent to the second endpoint after the first one had crashed.
        """
        if not self.crashes:
            return 0
        with self.lock:
            self._expire()
            return self._crash_count(service, request)

    def refusal(
        self, service: str, *, request: str, parts: Iterable[str]
    ) -> Cause | None:
        """Returns the cause for which a request is refused, or None."""
        if not self.refused:
            return None
        present = frozenset(parts)
        with self.lock:
            self._expire()
            for cause in self.refused:
                if cause.service == service and cause.matches(request, present):
                    return cause
        return None

    def _crashes_with(self, service: str, request: str) -> list[Crash]:
        return [
            crash
            for crash in self.crashes.values()
            if crash.service == service and request in crash.requests
        ]

    def _review_requests(self, service: str) -> tuple[list[Cause], list[Cause]]:
        """Returns the requests that explain crashes, and those that no longer do."""
        found = {
            Cause(service=service, request=request)
            for request in self._explaining_requests(service)
        }
        before = {cause for cause in self.explaining if cause.service == service}
        cleared = [cause for cause in before - found if cause in self.refused]
        for cause in cleared:
            del self.refused[cause]
        self.explaining = (self.explaining - before) | found
        return sorted(found, key=lambda cause: cause.request), cleared

    def _explaining_requests(self, service: str) -> set[str]:
        """Returns the requests that explain enough crashes.

        Those with the most crashes come first, then those whose answers had begun
        less often; what they explain does not count for the others. A request that
        cannot be told from another one needs more crashes.
        """
        crashes = [
            crash
            for crash in self.crashes.values()
            if crash.service == service
            and not self._is_explained_by_parts(crash, frozenset())
        ]
        found: set[str] = set()
        while True:
            exposed: dict[str, list[Crash]] = {}
            for crash in crashes:
                for request in crash.requests:
                    exposed.setdefault(request, []).append(crash)
            ranks = {
                request: (
                    request_crash_count(on, request),
                    -begun_count(request, on),
                )
                for request, on in exposed.items()
                if len(on) >= CERTAIN_CRASHES
            }
            most = max(ranks.values(), default=(0, 0))
            if most[0] < CERTAIN_CRASHES:
                return found
            first = {request for request, rank in ranks.items() if rank == most}
            found |= {
                request
                for request in first
                if most[0] >= AMBIGUOUS_CRASHES
                or not has_rival(request, exposed[request])
            }
            crashes = [crash for crash in crashes if first.isdisjoint(crash.requests)]

    def _crash_count(self, service: str, request: str) -> int:
        unexplained = [
            crash
            for crash in self._crashes_with(service, request)
            if not self._is_explained_by_parts(crash, frozenset())
            and not self._is_explained_by_another(crash, request)
        ]
        return request_crash_count(unexplained, request)

    def _is_explained_by_another(self, crash: Crash, request: str) -> bool:
        """Returns whether another refused request was on the endpoint."""
        return any(
            cause.service == crash.service
            and cause.request != request
            and cause.request in crash.requests
            for cause in self.refused
        )

    def _is_explained_by_parts(self, crash: Crash, parts: Collection[str]) -> bool:
        """Returns whether other parts than these are known to have caused a crash."""
        return any(
            cause.service == crash.service
            and cause.parts
            and not cause.parts.intersection(parts)
            and cause.parts <= crash.parts.keys()
            for cause in self.refused
        )

    def _most_suspected_parts(self, crash: Crash) -> frozenset[str]:
        """Returns the suspected parts with enough and the most crashes."""
        counts = {
            part: self._part_crash_count(crash.service, part) for part in crash.parts
        }
        most = max(counts.values(), default=0)
        if most == 0:
            return frozenset()
        return frozenset(part for part, count in counts.items() if count == most)

    def _part_crash_count(self, service: str, part: str) -> int:
        """Returns how many crashes speak against a part, or 0 if they are too few."""
        crashes = [
            crash
            for crash in self.crashes.values()
            if crash.service == service
            and part in crash.parts
            and not self._is_explained_by_parts(crash, (part,))
        ]
        count = independent_count(crashes)
        if count < MIN_CRASHES or one_request_explains(crashes):
            return 0
        return count

    def _refuses(self, cause: Cause) -> bool:
        if cause.request:
            return cause in self.refused
        return any(
            known.service == cause.service
            and known.parts
            and known.parts <= cause.parts
            for known in self.refused
        )

    def _refuse(self, cause: Cause, since: float) -> None:
        for known in list(self.refused):
            if (
                known.service == cause.service
                and cause.parts
                and known.parts > cause.parts
            ):
                del self.refused[known]
        self.refused[cause] = since

    def _clear_part(self, service: str, part: str) -> list[Cause]:
        """Forgets what speaks against a part; returns the causes that had it."""
        cleared = []
        for crash in self.crashes.values():
            if crash.service == service:
                crash.parts.pop(part, None)
        for cause, since in list(self.refused.items()):
            if cause.service != service or part not in cause.parts:
                continue
            del self.refused[cause]
            cleared.append(cause)
            rest = msgspec.structs.replace(cause, parts=cause.parts - {part})
            if rest.parts and not self._refuses(rest):
                self._refuse(rest, since)
        return cleared

    def _expire(self) -> None:
        oldest = self.clock() - EVIDENCE_LIFETIME_S
        for cause in [item for item, since in self.refused.items() if since < oldest]:
            del self.refused[cause]
            self.explaining.discard(cause)
        while self.crashes:
            endpoint, crash = next(iter(self.crashes.items()))
            if crash.at >= oldest:
                return
            del self.crashes[endpoint]

    def refused_causes(self) -> list[tuple[Cause, float]]:
        """Returns all causes for which requests are refused, with their ages."""
        now = self.clock()
        with self.lock:
            self._expire()
            return [(cause, now - since) for cause, since in self.refused.items()]

    def reports(self) -> list[tuple[str, Crash]]:
        """Returns the endpoints that crashed under suspects, and their crashes."""
        with self.lock:
            self._expire()
            return [
                (
                    endpoint,
                    msgspec.structs.replace(
                        crash, requests=dict(crash.requests), parts=dict(crash.parts)
                    ),
                )
                for endpoint, crash in self.crashes.items()
                if crash.requests or crash.parts
            ]

    def dump(self) -> dict:
        now = self.clock()
        with self.lock:
            return {
                "refused": [
                    {
                        "service": cause.service,
                        "request": cause.request,
                        "parts": sorted(cause.parts),
                        "since_s": round(now - since, 3),
                    }
                    for cause, since in self.refused.items()
                ],
                "crashes": len(self.crashes),
                "sound": len(self.sound),
            }


def isolated_endpoint(request: str, endpoints: Iterable[str]) -> str:
    """Returns the endpoint to which a suspected request goes, of those it may go to.

    It is the same at all instances, so that copies of a request that crashes endpoints
    crash one at a time; and different requests rarely meet twice, so that a further
    crash tells them apart. A linear hash such as CRC-32 would not do: requests that
    share their first endpoint would share the second one too.

    >>> isolated_endpoint("r1", ["e1", "e2"]) == isolated_endpoint("r1", ["e2", "e1"])
    True
    """
    return max(
        endpoints,
        key=lambda name: hashlib.blake2b(f"{request}/{name}".encode()).digest(),
    )
