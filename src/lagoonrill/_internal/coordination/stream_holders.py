"""Reaches the store through peers, for records of streams and for look-ups.

Load pattern: the store turns an instance away, resets its connections or is silent to
it, while streams begin there that have to be recorded, or are taken up there. Its peers
reach the store. Each record goes to a few peers only, so the messages that an instance
receives don't grow with the number of instances.
"""

import threading
import time
from collections.abc import Callable, Iterable

from returns.result import Failure, Result

from ..event_log import EventLog
from ..protocol.messages import (
    BegunStream,
    GatewayDigest,
    KeptStreamReply,
    KeptStreamRequest,
    StreamOriginReply,
    StreamOriginRequest,
    StreamsBegun,
    StreamsBegunReply,
    StreamsShared,
)
from ..transport.peer_link import PeerLink
from .policy.engine_placement import hash_rank, highest_ranked
from .policy.stream_history import StreamRecord
from .record_batches import StoredStream
from .stream_origins import MAX_HOLD_S, MAX_PENDING_S, StreamOrigins
from .stream_records import HOLDERS, HandOver, LookUp

# Peers that are asked to reach the store; one of them may end or lose the store too.
ASKED = 2
# In a larger fleet, peers are not asked what they keep: it is in the store soon.
MAX_KEEPERS_ASKED = 16
# A peer answers once its store has confirmed the record, or after its own limits.
HAND_OVER_TIMEOUT_S = MAX_HOLD_S + MAX_PENDING_S + 0.1
# A peer answers within its own limit for a list of the store, 0.5 s.
LOOK_UP_TIMEOUT_S = 0.6
# A peer answers from memory.
KEPT_TIMEOUT_S = 0.2
# Records in one message, which has 40 kB then.
MAX_SHARED_RECORDS = 500
# After a failure, records are not handed over for this long: a peer that has ended or
# lost the store counts as live and in touch until its digests say otherwise.
FAILED_PAUSE_S = 1.5


class WaitingStream:
    """A record that waits for its hand-over."""

    __slots__ = ("outcome", "stream")

    def __init__(self, *, stream: StoredStream):
        self.stream = stream
        self.outcome: HandOver | None = None


class StreamHolders:
    """Exchanges records of streams with the live peers of a `StreamOrigins`."""

    def __init__(
        self,
        *,
        instance: str,
        link: PeerLink,
        live_digests: Callable[[], list[GatewayDigest]],
        members_since: Callable[[float], tuple[int, int]],
        is_in_touch: Callable[[], bool],
        has_peers: bool,
        origins: StreamOrigins,
        event_log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.instance = instance
        self.link = link
        self.live_digests = live_digests
        # Numbers of instances, and of those that have lost their memory since a time.
        self.members_since = members_since
        # Whether the store answers this instance, as far as known.
        self.is_in_touch = is_in_touch
        # Whether there should be peers, seen or not.
        self.has_peers = has_peers
        self.origins = origins
        self.event_log = event_log
        self.clock = clock
        self.failed_at = float("-inf")
        self.lock = threading.Lock()
        self.waiting: list[WaitingStream] = []
        # Held during a hand-over; records that come meanwhile share the next one.
        self.turn = threading.Lock()
        link.register_handler(StreamsBegun, self.handle_begun)
        link.register_handler(StreamOriginRequest, self.handle_look_up)
        link.register_handler(StreamsShared, self.handle_shared, inline=True)
        link.register_handler(KeptStreamRequest, self.handle_kept, inline=True)

    def are_live(self) -> bool:
        """Returns whether there are peers that can keep records."""
        return bool(self.live_digests())

    def is_reachable(self) -> bool:
        """Returns whether a peer is likely to store a record."""
        is_paused = self.clock() < self.failed_at + FAILED_PAUSE_S
        return not is_paused and any(
            digest.store_in_touch for digest in self.live_digests()
        )

    def hand_over(self, stream: StoredStream) -> HandOver:
        """Lets a peer store a record, and returns what became of it."""
        own = WaitingStream(stream=stream)
        with self.lock:
            self.waiting.append(own)
        with self.turn:
            if own.outcome is None:
                with self.lock:
                    batch, self.waiting = self.waiting, []
                outcome = HandOver.NOT_STORED
                # An earlier one may have failed meanwhile.
                if self.is_reachable():
                    outcome = self._hand_over([item.stream for item in batch])
                for item in batch:
                    item.outcome = outcome
        return own.outcome

    def _hand_over(self, streams: list[StoredStream]) -> HandOver:
        message = StreamsBegun(instance=self.instance, streams=self._encoded(streams))
        outcome = HandOver.NOT_STORED
        for digest in self._asked(streams[0].record.key):
            reply = self.link.request(digest.address, message, HAND_OVER_TIMEOUT_S)
            answer = reply.value_or(None)
            if not isinstance(answer, StreamsBegunReply):
                # It may still store them.
                outcome = HandOver.IN_DOUBT
                self.event_log.emit(
                    "stream_hand_over_failed",
                    peer=digest.instance,
                    reason=failure_reason(reply),
                )
                continue
            if answer.stored:
                return HandOver.STORED
            if answer.in_doubt:
                outcome = HandOver.IN_DOUBT
        self.failed_at = self.clock()
        return outcome

    def share(self, streams: list[StoredStream]) -> None:
        """Sends records to peers, which write them again if the store loses them."""
        addresses = {digest.instance: digest.address for digest in self.live_digests()}
        kept_by: dict[tuple[str, ...], list[StoredStream]] = {}
        for stream in streams:
            names = highest_ranked(
                stream.record.key, list(addresses), HOLDERS, rank=hash_rank
            )
            kept_by.setdefault(tuple(names), []).append(stream)
        for names, kept in kept_by.items():
            encoded = self._encoded(kept)
            for start in range(0, len(encoded), MAX_SHARED_RECORDS):
                message = StreamsShared(
                    instance=self.instance,
                    streams=encoded[start : start + MAX_SHARED_RECORDS],
                )
                self.link.send_to({addresses[name] for name in names}, message)

    def look_up(self, service: str, key: str) -> LookUp | None:
        """Asks peers where a stream began; None if there may be some and none answers.

        The answer is not found out if no peer reaches the store either.
        """
        digests = self._asked(key)
        if not digests:
            return None if self.has_peers else LookUp()
        request = StreamOriginRequest(service=service, key=key)
        answers = []
        for digest in digests:
            reply = self.link.request(digest.address, request, LOOK_UP_TIMEOUT_S)
            answer = reply.value_or(None)
            if not isinstance(answer, StreamOriginReply):
                self.event_log.emit(
                    "stream_look_up_failed",
                    peer=digest.instance,
                    reason=failure_reason(reply),
                )
                continue
            found = LookUp(version=answer.version, found_out=answer.found_out)
            if found.found_out:
                return found
            answers.append(found)
        return answers[0] if answers else None

    def look_up_kept(self, service: str, key: str) -> str | None:
        """Returns at which version a stream began, if the memory of peers proves it."""
        digests = self.live_digests()
        if len(digests) > MAX_KEEPERS_ASKED:
            return None
        kept = [self.origins.kept_record(service, key)]
        for digest in digests:
            request = KeptStreamRequest(service=service, key=key)
            reply = self.link.request(digest.address, request, KEPT_TIMEOUT_S)
            answer = reply.value_or(None)
            if isinstance(answer, KeptStreamReply):
                kept.append(answer)
        return proved_version(kept)

    def handle_kept(self, message: KeptStreamRequest) -> KeptStreamReply:
        """Answers from memory where a stream began."""
        return self.origins.kept_record(message.service, message.key)

    def handle_look_up(self, message: StreamOriginRequest) -> StreamOriginReply:
        """Looks a stream up for a peer."""
        found = self.origins.look_up(message.service, message.key)
        return StreamOriginReply(version=found.version, found_out=found.found_out)

    def _asked(self, key: str) -> list[GatewayDigest]:
        """Returns the peers to ask about a record, those that reach the store first."""
        digests = {digest.instance: digest for digest in self.live_digests()}
        in_touch = [name for name, item in digests.items() if item.store_in_touch]
        names = highest_ranked(key, in_touch, ASKED, rank=hash_rank)
        others = [name for name in digests if name not in in_touch]
        more = highest_ranked(key, others, ASKED, rank=hash_rank)
        names += more[: ASKED - len(names)]
        return [digests[name] for name in names]

    def _encoded(self, streams: Iterable[StoredStream]) -> list[BegunStream]:
        now = self.origins.wall_clock()
        return [
            BegunStream(
                key=item.record.key,
                service=item.record.service,
                version=item.record.version,
                age_s=now - item.begun_at,
            )
            for item in streams
        ]

    def _decoded(self, streams: Iterable[BegunStream]) -> list[StoredStream]:
        now = self.origins.wall_clock()
        return [
            StoredStream(
                record=StreamRecord(
                    key=item.key, service=item.service, version=item.version
                ),
                begun_at=now - item.age_s,
            )
            for item in streams
        ]

    def handle_begun(self, message: StreamsBegun) -> StreamsBegunReply:
        """Stores the records of a peer; replies what became of them."""
        if not self.is_in_touch():
            return StreamsBegunReply(stored=False)
        outcome = self.origins.store_for_peer(self._decoded(message.streams))
        return StreamsBegunReply(
            stored=outcome is HandOver.STORED,
            in_doubt=outcome is HandOver.IN_DOUBT,
        )

    def handle_shared(self, message: StreamsShared) -> None:
        """Keeps the records of a peer."""
        self.origins.hold_for_peer(self._decoded(message.streams))


def proved_version(kept: list[KeptStreamReply]) -> str | None:
    """Returns at which version a stream began, if what instances keep proves it.

    A record is kept by its writer and by `HOLDERS` peers. If at most that many
    instances lack what they kept, one of the others has it, so a stream that none of
    them knows began at the default version.

    >>> new, keeper = (
    ...     KeptStreamReply(version=None, default="v1", keeps_all=keeps, instances=4)
    ...     for keeps in (False, True)
    ... )
    >>> proved_version([new, keeper]), proved_version([new])
    ('v1', None)
    """
    known = {item.version for item in kept if item.version is not None}
    if known:
        return known.pop() if len(known) == 1 else None
    keepers = [item for item in kept if item.keeps_all]
    instances = max(item.instances for item in kept)
    if not keepers or instances - len(keepers) > HOLDERS:
        return None
    defaults = {item.default for item in keepers}
    return defaults.pop() if len(defaults) == 1 else None


def failure_reason(reply: Result) -> str:
    """Returns why a reply is not the expected one."""
    return str(reply.failure()) if isinstance(reply, Failure) else "another message"
