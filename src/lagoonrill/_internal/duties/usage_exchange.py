"""Brings the counts of all instances to those that report them or may have to.

The collectors are the holder of the lease, the first two live instances by name, and
the first one of another zone than theirs, so that a successor has the counts of killed
instances, also if a whole zone is lost. Each instance sends them its windows that have
changed; a new collector asks for everything. A group of instances that is cut off from
the holder passes its counts on through the store.
"""

import threading
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure, Result

from ..event_log import EventLog
from ..protocol.errors import StoreError
from ..protocol.messages import GatewayDigest, UsageCounts, WindowUsage
from ..transport.peer_link import PeerLink
from .usage import MAX_OFFSET_ERROR_S, UsageLedger, WindowClock

# Collectors besides the holder and the one of another zone.
COLLECTORS = 2
# Minimum interval between messages of an instance to the collectors, and the number of
# instances from which on it grows: each collector gets at most 120 messages a second.
SPACING_S = 0.25
MAX_MESSAGES_PER_S = 120
# Age of the counts that a new collector is sent.
SENT_TO_NEW_S = 30.0
# The counts of an ended window are sent again at these times after its end, in case
# their last message was lost.
REPEATED_AFTER_S = (1.0, 2.5)
# An instance asks for all counts once it has been a collector for this time. At its
# start, it does not know yet which others there are.
STEADY_S = 1.0
# Time in which the peers answer a new collector.
ANSWER_S = 1.0
# A holder that no instance takes for a collector by its name says so at this interval.
ANNOUNCE_INTERVAL_S = 2.0
# Minimum interval between the messages that tell one peer of a different clock.
TIME_INTERVAL_S = 1.0
# A group that is cut off writes the counts of a window this long after its end, once
# its members have sent them, and those of the window before again.
RELAY_AFTER_S = 2.0
RELAYED_WINDOWS = 2
MAX_ERROR_CHARACTERS = 200


class CountStore(Protocol):
    """Counts in the store, one object for each instance that writes some."""

    def write_counts(
        self, instance: str, usage: list[WindowUsage]
    ) -> Result[object, StoreError]: ...

    def read_counts(self) -> Result[list[WindowUsage], StoreError]: ...


class UsageExchange:
    """Sends and receives `UsageCounts`; `held_token` is None without a lease.

    `known_instances` returns the number of instances that were live lately.
    """

    def __init__(
        self,
        *,
        zone: str,
        ledger: UsageLedger,
        clock: WindowClock,
        link: PeerLink,
        live_digests: Callable[[], list[GatewayDigest]],
        instances: Callable[[], int],
        known_instances: Callable[[], int],
        counts: CountStore,
        held_token: Callable[[], int | None],
        event_log: EventLog,
    ):
        self.zone = zone
        self.ledger = ledger
        self.instance = ledger.own[0]
        self.clock = clock
        self.link = link
        self.live_digests = live_digests
        self.instances = instances
        self.known_instances = known_instances
        self.counts = counts
        self.held_token = held_token
        self.event_log = event_log
        self.lock = threading.Lock()
        # Name and highest token of the holder, as its messages say.
        self.holder = ""
        self.holder_token = 0
        # Collectors that have been sent everything.
        self.informed: set[str] = set()
        self.collector_since: float | None = None
        # Time of the request for all counts, on the boot clock.
        self.asked_at: float | None = None
        self.announced_at = float("-inf")
        self.announced_token = 0
        self.announced_done = 0
        # Ended windows whose counts were sent again, and how many times.
        self.repeated: tuple[int, int] = (0, 0)
        # Last window whose counts were written to the store, or did not have to be.
        self.relayed = 0
        # When peers were told of a different clock.
        self.time_sent_at: dict[str, float] = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, name="usage", daemon=True)
        link.register_handler(UsageCounts, self.handle, inline=True)

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        """Sends the last counts at once and ends the thread."""
        self.stopping.set()
        if self.thread.is_alive():
            self.thread.join(SPACING_S)
        current = self.clock.window()
        self.ledger.take_changed()
        self._send_own({current, current - 1}, self._collectors(self._peers()))

    def is_complete(self) -> bool:
        """Returns whether peers have had time to answer this instance."""
        asked_at = self.asked_at
        return asked_at is not None and self.clock.boot() >= asked_at + ANSWER_S

    def dump(self) -> dict:
        return {
            "holder": self.holder,
            "holder_token": self.holder_token,
            "is_collector": self.asked_at is not None,
            "sources": len(self.ledger.sources),
            "late": self.ledger.late,
            "clock_offset_change_s": round(
                max(
                    (
                        abs(offset - self.clock.offset_s)
                        for offset, _ in list(self.clock.peer_offsets.values())
                    ),
                    default=0.0,
                ),
                3,
            ),
        }

    def _run(self) -> None:
        while not self.stopping.wait(self.spacing_s()):
            try:
                self.tick()
            except Exception as error:
                # If this thread ended, the counts of this instance would be lost.
                self.event_log.emit(
                    "usage_exchange_failed", error=repr(error)[:MAX_ERROR_CHARACTERS]
                )

    def spacing_s(self) -> float:
        return max(SPACING_S, self.instances() / MAX_MESSAGES_PER_S)

    def tick(self) -> None:
        """Sends what has changed."""
        if self.clock.review():
            self.event_log.emit(
                "usage_clock_changed", offset_s=round(self.clock.offset_s, 3)
            )
        peers = self._peers()
        collectors = self._collectors(peers)
        self._note_role(peers)
        new = collectors.keys() - self.informed
        for name in new:
            self.link.send(collectors[name], self._everything())
        self.informed = set(collectors)
        windows = self.ledger.take_changed() | self._repeated_windows()
        known = {name: collectors[name] for name in collectors.keys() - new}
        if windows or self._has_news():
            self._send_own(windows, known)
        self._announce(peers)
        self._relay(peers)
        self.ledger.prune()

    def handle(self, message: UsageCounts) -> None:
        """Takes the counts, the time and the role of a peer."""
        if message.instance == self.instance:
            return
        differs = abs(message.time_s - self.clock.now()) > MAX_OFFSET_ERROR_S
        self.clock.note_peer(message.instance, message.time_s)
        with self.lock:
            if message.token and message.token >= self.holder_token:
                self.holder_token = message.token
                self.holder = message.instance
            elif not message.token and message.instance == self.holder:
                self.holder = ""
        self.ledger.note_done(message.done)
        self.ledger.merge(message.usage)
        if message.asks:
            self.link.send(message.address, self._everything())
        elif differs and self.asked_at is not None:
            self._send_time(message)

    def _peers(self) -> dict[str, GatewayDigest]:
        return {item.instance: item for item in self.live_digests()}

    def _first(self, peers: dict[str, GatewayDigest]) -> list[str]:
        """Returns the collectors besides the holder, which may be this instance."""
        zones = {name: item.zone for name, item in peers.items()}
        zones[self.instance] = self.zone
        names = sorted(zones)
        first = names[:COLLECTORS]
        near = {zones[name] for name in first}
        return first + [name for name in names if zones[name] not in near][:1]

    def _collectors(self, peers: dict[str, GatewayDigest]) -> dict[str, str]:
        """Returns the addresses of the other instances that collect counts."""
        names = {*self._first(peers), self.holder}
        return {name: peers[name].address for name in names if name in peers}

    def _note_role(self, peers: dict[str, GatewayDigest]) -> None:
        now = self.clock.boot()
        is_holder = self.held_token() is not None
        if not is_holder and self.instance not in self._first(peers):
            self.collector_since = self.asked_at = None
            return
        if self.collector_since is None:
            self.collector_since = now
        is_steady = now >= self.collector_since + STEADY_S
        if self.asked_at is None and (is_holder or is_steady):
            self.asked_at = now
            self._send_to_all(peers, self._message(asks=True))

    def _repeated_windows(self) -> set[int]:
        """Returns the last window if its counts are due to be sent again."""
        ended = self.clock.window() - 1
        window, times = self.repeated
        if window != ended:
            times = 0
        if times == len(REPEATED_AFTER_S):
            return set()
        if self.clock.now() < self.clock.end_of(ended) + REPEATED_AFTER_S[times]:
            return set()
        self.repeated = (ended, times + 1)
        return {ended}

    def _has_news(self) -> bool:
        """Returns whether the collectors have to learn that a window is reported."""
        done = self.ledger.done
        if done == self.announced_done:
            return False
        self.announced_done = done
        return self.held_token() is not None

    def _announce(self, peers: dict[str, GatewayDigest]) -> None:
        """Tells all peers who holds the lease, if they would not know otherwise."""
        now = self.clock.boot()
        token = self.held_token() or 0
        is_due = token != self.announced_token
        if token and self.instance not in self._first(peers):
            is_due = is_due or now >= self.announced_at + ANNOUNCE_INTERVAL_S
        if not is_due:
            return
        self.announced_at = now
        self.announced_token = token
        self._send_to_all(peers, self._message())

    def _send_to_all(
        self, peers: dict[str, GatewayDigest], message: UsageCounts
    ) -> None:
        self.link.send_to({item.address for item in peers.values()}, message)

    def _relay(self, peers: dict[str, GatewayDigest]) -> None:
        """Writes the last counts to the store if messages do not reach the holder.

        One instance of a group writes for all of them.
        """
        ended = self.clock.window() - 1
        if self.relayed >= ended:
            return
        if self.clock.now() < self.clock.end_of(ended) + RELAY_AFTER_S:
            return
        self.relayed = ended
        if self.held_token() is not None or self.holder in peers:
            return
        if self.instance != min([self.instance, *peers]) or not self._has_lost_peers():
            return
        usage = self.ledger.usage_since(ended + 1 - RELAYED_WINDOWS)
        result = self.counts.write_counts(self.instance, usage)
        self.event_log.emit(
            "usage_relayed", window=ended, stored=not isinstance(result, Failure)
        )

    def fetch(self) -> None:
        """Takes counts from the store if peers were lost that may have written some."""
        if self._has_lost_peers():
            self.ledger.merge(self.counts.read_counts().value_or([]))

    def _has_lost_peers(self) -> bool:
        return self.known_instances() > 1 + len(self.live_digests())

    def _send_own(self, windows: set[int], collectors: dict[str, str]) -> None:
        if collectors:
            message = self._message(usage=self.ledger.own_usage(windows))
            self.link.send_to(set(collectors.values()), message)

    def _send_time(self, message: UsageCounts) -> None:
        now = self.clock.boot()
        sent_at = self.time_sent_at.get(message.instance, float("-inf"))
        if now - sent_at >= TIME_INTERVAL_S:
            self.time_sent_at[message.instance] = now
            self.link.send(message.address, self._message())

    def _everything(self) -> UsageCounts:
        first = self.clock.window(self.clock.now() - SENT_TO_NEW_S)
        return self._message(usage=self.ledger.usage_since(first))

    def _message(
        self, *, usage: list[WindowUsage] | None = None, asks: bool = False
    ) -> UsageCounts:
        return UsageCounts(
            instance=self.instance,
            address=self.link.address,
            time_s=self.clock.now(),
            token=self.held_token() or 0,
            done=self.ledger.done,
            asks=asks,
            usage=[self.ledger.source_entry(), *(usage or [])],
        )
