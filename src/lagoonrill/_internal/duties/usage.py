"""Counts of the requests that endpoints began to run, per team and window.

Each instance counts its own requests. The counters are cumulative and merged by
maximum, so that repeated, late and lost messages do no harm.
"""

import threading
import time
from collections.abc import Callable

import msgspec

from ..protocol.messages import WindowUsage
from .lease import boot_clock

# A collector keeps the counts of this many windows.
KEPT_WINDOWS = 30
# A difference between clocks below this may be the delay of a message.
MAX_OFFSET_ERROR_S = 0.2
# Two clocks that differ do not tell which one is right.
MIN_PEERS_FOR_MEDIAN = 2
# Offsets of peers older than this are not considered.
PEER_OFFSET_LIFETIME_S = 60.0


class WindowClock:
    """Time of day by which windows are numbered, in Unix seconds.

    It is CLOCK_BOOTTIME plus the offset at the start, so steps of the time of day do
    not move windows. If the clocks of peers show that the offset was wrong, it is
    replaced by the median.

    >>> clock = WindowClock(window_s=5, boot=lambda: 2.0, wall=lambda: 1_000_001.0)
    >>> clock.now(), clock.window(), clock.start_of(200_000)
    (1000001.0, 200000, 1000000.0)
    """

    def __init__(
        self,
        *,
        window_s: float,
        boot: Callable[[], float] = boot_clock,
        wall: Callable[[], float] = time.time,
    ):
        self.window_s = float(window_s)
        self.boot = boot
        self.offset_s = wall() - boot()
        # Offset by the name of the peer, and when it was heard.
        self.peer_offsets: dict[str, tuple[float, float]] = {}

    def now(self) -> float:
        return self.boot() + self.offset_s

    def window(self, at: float | None = None) -> int:
        """Returns the number of the window of a time, or of now."""
        return int((self.now() if at is None else at) // self.window_s)

    def start_of(self, window: int) -> float:
        return window * self.window_s

    def end_of(self, window: int) -> float:
        return (window + 1) * self.window_s

    def note_peer(self, name: str, time_s: float) -> None:
        """Takes the time that a peer has sent."""
        now = self.boot()
        offset = time_s - now
        known, known_at = self.peer_offsets.get(name, (offset, now))
        # A late message makes the offset look smaller, so the largest one counts.
        if offset >= known or now - known_at >= PEER_OFFSET_LIFETIME_S:
            self.peer_offsets[name] = (offset, now)

    def review(self) -> bool:
        """Corrects an offset that differs from most peers; returns whether it did."""
        now = self.boot()
        offsets = [
            offset
            for offset, heard_at in list(self.peer_offsets.values())
            if now - heard_at < PEER_OFFSET_LIFETIME_S
        ]
        if len(offsets) < MIN_PEERS_FOR_MEDIAN:
            return False
        median = sorted([*offsets, self.offset_s])[(len(offsets) + 1) // 2]
        if abs(median - self.offset_s) <= MAX_OFFSET_ERROR_S:
            return False
        self.offset_s = median
        return True


class CountSource(msgspec.Struct, kw_only=True):
    """A process that counts, and since when, in Unix seconds."""

    counted_from: float
    # Last window in which it was heard of.
    heard_in: int


class UsageLedger:
    """Counts of this process and of those whose messages it gets; thread-safe.

    `late_after_s` is the time after the end of a window from which a request of that
    window may miss its report. `tolerance` is the share by which a report may differ
    from the truth.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        clock: WindowClock,
        late_after_s: float,
        tolerance: float = 0.0,
    ):
        self.clock = clock
        self.late_after_s = late_after_s
        self.tolerance = tolerance
        self.own = (instance, incarnation)
        self.lock = threading.Lock()
        # Window, then instance and incarnation, then team.
        self.windows: dict[int, dict[tuple[str, int], dict[str, int]]] = {}
        self.sources = {
            self.own: CountSource(counted_from=clock.now(), heard_in=clock.window())
        }
        # Windows with counts of this process that were not sent yet.
        self.changed: set[int] = set()
        # Last window up to which all are reported, as far as known.
        self.done = 0
        # Requests of each team that became known after this instance had fixed the
        # report of a window, by window; and their number since the start.
        self.late_in: dict[int, dict[str, int]] = {}
        self.late = 0
        # Windows whose reports are further from the truth than `tolerance`.
        self.inaccurate: set[int] = set()
        self.pruned_in = 0

    def note_begun(self, team: str | None, at: float | None = None) -> None:
        """Counts a request that an endpoint began to run at a time.

        `at` is on the monotonic clock; without it, the request began now. Requests
        without a team are not part of the reports.
        """
        if team is None:
            return
        now = self.clock.now()
        begun_at = now if at is None else now - max(0.0, time.monotonic() - at)
        window = self.clock.window(begun_at)
        if now >= self.clock.end_of(window) + self.late_after_s:
            window = self.clock.window(now)
        with self.lock:
            counts = self._counts_of(window, self.own)
            counts[team] = counts.get(team, 0) + 1
            self.changed.add(window)

    def take_changed(self) -> set[int]:
        """Returns the windows whose counts have changed since the last call."""
        with self.lock:
            changed, self.changed = self.changed, set()
        return changed

    def own_usage(self, windows: set[int]) -> list[WindowUsage]:
        """Returns the counts of this process in the given windows."""
        return self._usage(lambda window, source: window in windows, own=True)

    def usage_since(self, first: int) -> list[WindowUsage]:
        """Returns all known counts from a window on."""
        return self._usage(lambda window, source: window >= first, own=False)

    def _usage(self, is_wanted, *, own: bool) -> list[WindowUsage]:
        with self.lock:
            return [
                WindowUsage(
                    instance=source[0],
                    incarnation=source[1],
                    counted_from=self.sources[source].counted_from,
                    window=window,
                    counts=dict(counts),
                )
                for window, by_source in self.windows.items()
                for source, counts in by_source.items()
                if is_wanted(window, source) and (source == self.own or not own)
            ]

    def merge(self, usage: list[WindowUsage]) -> None:
        """Takes counts from a message; entries of no team only name their source."""
        current = self.clock.window()
        with self.lock:
            for entry in usage:
                key = (entry.instance, entry.incarnation)
                # The store may have counts of processes that ended long ago.
                if key == self.own or abs(entry.window - current) > KEPT_WINDOWS:
                    continue
                source = self.sources.setdefault(
                    key,
                    CountSource(counted_from=entry.counted_from, heard_in=current),
                )
                source.heard_in = current
                if entry.counts:
                    self._merge_counts(entry, key)

    def _merge_counts(self, entry: WindowUsage, key: tuple[str, int]) -> None:
        known = self._counts_of(entry.window, key)
        for team, count in entry.counts.items():
            added = count - known.get(team, 0)
            if added > 0:
                known[team] = count
                self._note_late(entry.window, team, added)

    def _note_late(self, window: int, team: str, added: int) -> None:
        late = self.late_in.get(window)
        if late is None:
            return
        self.late += added
        late[team] = late.get(team, 0) + added
        sources = self.windows[window].values()
        if late[team] > self.tolerance * sum(item.get(team, 0) for item in sources):
            self.inaccurate.add(window)

    def _counts_of(self, window: int, source: tuple[str, int]) -> dict[str, int]:
        return self.windows.setdefault(window, {}).setdefault(source, {})

    def prune(self) -> None:
        """Forgets old windows and sources, once in each window."""
        current = self.clock.window()
        if current == self.pruned_in:
            return
        self.pruned_in = current
        oldest = current - KEPT_WINDOWS
        with self.lock:
            for window in [item for item in self.windows if item < oldest]:
                del self.windows[window]
                self.late_in.pop(window, None)
            kept = {self.own}.union(*self.windows.values())
            for key, source in list(self.sources.items()):
                if key not in kept and source.heard_in < oldest:
                    del self.sources[key]

    def source_entry(self) -> WindowUsage:
        """Returns an entry that names this process and since when it counts."""
        return WindowUsage(
            instance=self.own[0],
            incarnation=self.own[1],
            counted_from=self.sources[self.own].counted_from,
            window=self.clock.window(),
            counts={},
        )

    def counts(self, window: int) -> dict[str, int]:
        """Returns the requests of each team in a window, of all known instances."""
        total: dict[str, int] = {}
        with self.lock:
            for counts in self.windows.get(window, {}).values():
                for team, count in counts.items():
                    total[team] = total.get(team, 0) + count
        return total

    def fix(self, window: int) -> dict[str, int]:
        """Returns the counts for the report of a window; later ones are late."""
        with self.lock:
            self.late_in[window] = {}
        return self.counts(window)

    def counted_from(self) -> float:
        """Returns the time since which any known instance has counted."""
        with self.lock:
            return min(source.counted_from for source in self.sources.values())

    def is_observed(self, window: int) -> bool:
        """Returns whether the fleet has counted a window from its beginning."""
        return self.counted_from() <= self.clock.start_of(window)

    def note_done(self, window: int) -> None:
        """Notes that a window and those before it are reported."""
        with self.lock:
            self.done = max(self.done, window)
