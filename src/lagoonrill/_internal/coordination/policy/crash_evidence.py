"""Decides which prompts are refused because a part of them crashes engines.

Load pattern: one part of a prompt crashes each engine that begins to answer a request
with it. Requests with that part arrive at all instances, beside sound requests of the
same callers that share the other parts. Without a decision, engine after engine
crashes, and each crash breaks off all streams of its engine.

A part with which an answer has begun is sound. A crash speaks against the parts of the
requests that were on the engine and had not begun, unless they are sound, and never
against the last part of a prompt, which no other request has. Parts that only occurred
together cannot be told apart, so prompts are refused that have all of them; a sound
request with some of them clears these.
"""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

# Prompts are refused after crashes of two engines with two different requests, or of
# three engines. Crashes at the same time have a common cause and count once.
MIN_CRASHES = 2
MIN_REQUESTS = 2
CERTAIN_CRASHES = 3
COMMON_CAUSE_S = 0.1
# A crash counts, and prompts are refused, for this long. It ends by time because the
# part may be sound for new weights or a new version of the engines.
EVIDENCE_LIFETIME_S = 600.0
MAX_CRASHES = 200
# Sound parts that are remembered, the most recently used ones.
MAX_SOUND_PARTS = 4_096


class Crash(msgspec.Struct, kw_only=True):
    """Crash of one incarnation of an engine."""

    service: str
    at: float
    # For each suspected part, the requests that had it.
    suspects: dict[str, set[str]] = {}


class CrashEvidence:
    """Parts of prompts that crash engines, by the crashes that all instances report.

    Parts are kept by service, since a part may be sound on the engines of another one.
    Times are on the monotonic clock of `clock`.

    >>> parts = CrashEvidence(clock=lambda: 10.0)
    >>> parts.note_crash("s", "e1", request="r1", suspects=["a", "b"], at=1.0)
    >>> parts.note_begun("s", ["a"])
    []
    >>> parts.note_crash("s", "e2", request="r2", suspects=["a", "b"], at=2.0)
    ['b']
    >>> parts.refused_parts("s", ["a", "b", "c"])
    ['b']
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.sound: OrderedDict[tuple[str, str], None] = OrderedDict()
        # By engine and incarnation.
        self.crashes: OrderedDict[str, Crash] = OrderedDict()
        # Time since which prompts are refused that have all parts of a group.
        self.refused: dict[tuple[str, frozenset[str]], float] = {}

    def note_begun(self, service: str, parts: Iterable[str]) -> list[list[str]]:
        """Records that an answer to a request with these parts has begun.

        Returns the groups of parts that are no longer refused.
        """
        cleared = []
        with self.lock:
            for part in parts:
                key = (service, part)
                if key not in self.sound:
                    cleared += self._clear(service, part)
                self.sound[key] = None
                self.sound.move_to_end(key)
            while len(self.sound) > MAX_SOUND_PARTS:
                self.sound.popitem(last=False)
        return cleared

    def restore(self, service: str, parts: Iterable[str], *, age_s: float) -> bool:
        """Refuses parts that were found before; returns False if they are known."""
        with self.lock:
            group = frozenset(
                part for part in parts if (service, part) not in self.sound
            )
            if not group or self._refuses(service, group):
                return False
            self._refuse(service, group, self.clock() - age_s)
            return True

    def suspects(self, service: str, parts: Iterable[str]) -> list[str]:
        """Returns the parts that are not known to be sound."""
        with self.lock:
            return [part for part in parts if (service, part) not in self.sound]

    def note_crash(
        self,
        service: str,
        engine: str,
        *,
        request: str,
        suspects: Iterable[str],
        at: float,
    ) -> list[str] | None:
        """Records a request that had not begun on an engine when it crashed.

        `engine` identifies the incarnation. Returns the parts that together are refused
        from now on, or None.
        """
        with self.lock:
            self._expire()
            crash = self.crashes.setdefault(engine, Crash(service=service, at=at))
            for part in suspects:
                if (service, part) not in self.sound:
                    crash.suspects.setdefault(part, set()).add(request)
            while len(self.crashes) > MAX_CRASHES:
                self.crashes.popitem(last=False)
            group = self._most_suspected(crash)
            if not group or self._refuses(service, group):
                return None
            self._refuse(service, group, self.clock())
            return sorted(group)

    def refused_parts(self, service: str, parts: Iterable[str]) -> list[str] | None:
        """Returns the parts for which a prompt is refused, or None."""
        # Read without the lock, as this is called for every request.
        if not self.refused:
            return None
        present = frozenset(parts)
        with self.lock:
            self._expire()
            for other, group in self.refused:
                if other == service and group <= present:
                    return sorted(group)
        return None

    def _most_suspected(self, crash: Crash) -> frozenset[str]:
        """Returns the suspects with enough and the most crashes."""
        counts = {
            part: self._crash_count(crash.service, part) for part in crash.suspects
        }
        most = max(counts.values(), default=0)
        if most == 0:
            return frozenset()
        return frozenset(part for part, count in counts.items() if count == most)

    def _crash_count(self, service: str, part: str) -> int:
        """Returns how many crashes speak against a part, or 0 if they are too few."""
        crashes = [
            crash
            for crash in self.crashes.values()
            if crash.service == service
            and part in crash.suspects
            and not self._is_explained(crash, part)
        ]
        count = 0
        counted_at = float("-inf")
        for at in sorted(crash.at for crash in crashes):
            if at - counted_at > COMMON_CAUSE_S:
                count += 1
                counted_at = at
        requests = set().union(*(crash.suspects[part] for crash in crashes))
        if count >= CERTAIN_CRASHES:
            return count
        return count if count >= MIN_CRASHES and len(requests) >= MIN_REQUESTS else 0

    def _is_explained(self, crash: Crash, part: str) -> bool:
        """Returns whether other parts are known to have caused a crash."""
        return any(
            service == crash.service
            and part not in group
            and group <= crash.suspects.keys()
            for service, group in self.refused
        )

    def _refuses(self, service: str, group: frozenset[str]) -> bool:
        return any(other == service and known <= group for other, known in self.refused)

    def _refuse(self, service: str, group: frozenset[str], since: float) -> None:
        for other, known in list(self.refused):
            if other == service and known > group:
                del self.refused[other, known]
        self.refused[service, group] = since

    def _clear(self, service: str, part: str) -> list[list[str]]:
        """Forgets what speaks against a part; returns the groups that had it."""
        cleared = []
        for crash in self.crashes.values():
            if crash.service == service:
                crash.suspects.pop(part, None)
        for (other, group), since in list(self.refused.items()):
            if other != service or part not in group:
                continue
            del self.refused[other, group]
            cleared.append(sorted(group))
            rest = group - {part}
            if rest and not self._refuses(service, rest):
                self._refuse(service, rest, since)
        return cleared

    def _expire(self) -> None:
        oldest = self.clock() - EVIDENCE_LIFETIME_S
        for key in [key for key, since in self.refused.items() if since < oldest]:
            del self.refused[key]
        while self.crashes:
            engine, crash = next(iter(self.crashes.items()))
            if crash.at >= oldest:
                return
            del self.crashes[engine]

    def refused_groups(self) -> list[tuple[str, list[str], float]]:
        """Returns service, parts and age in seconds of all groups that are refused."""
        now = self.clock()
        with self.lock:
            self._expire()
            return [
                (service, sorted(group), now - since)
                for (service, group), since in self.refused.items()
            ]

    def reports(self) -> list[tuple[str, Crash]]:
        """Returns the engines that crashed with suspected parts, and their crashes."""
        with self.lock:
            self._expire()
            return [
                (
                    engine,
                    msgspec.structs.replace(crash, suspects=dict(crash.suspects)),
                )
                for engine, crash in self.crashes.items()
                if crash.suspects
            ]

    def dump(self) -> dict:
        now = self.clock()
        with self.lock:
            return {
                "refused": [
                    {
                        "service": service,
                        "parts": sorted(group),
                        "since_s": round(now - since, 3),
                    }
                    for (service, group), since in self.refused.items()
                ],
                "crashes": len(self.crashes),
                "sound": len(self.sound),
            }
