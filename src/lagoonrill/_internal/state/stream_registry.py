"""Registry of the endpoints of keyed streams, so that any instance can resume them.

A record is kept in memory by the instance that relays the stream and by the stream's
home instance, which is chosen by rendezvous hashing over the live members.
"""

import collections
import hashlib
import itertools
import threading
import time

import msgspec
from returns.result import Success

from ..protocol.messages import StreamAnnounce, StreamLocate, StreamLocation

# Callers that lost the end of an answer are expected to retry within this time.
ENDED_RETENTION_S = 60.0
# Limits the registry to 10 MB at about 200 bytes per record.
MAX_RECORDS = 50_000
LOCATE_TIMEOUT_S = 0.5


class StreamRecord(msgspec.Struct, kw_only=True):
    """Endpoint of a keyed stream and the attempt that identifies it there.

    `ended_at` is in `time.monotonic()` seconds, or None while the stream is running.
    """

    endpoint: str
    attempt: int
    ended_at: float | None = None


class StreamRegistryDump(msgspec.Struct, kw_only=True):
    """State dump of the registry."""

    running: int
    ended: int
    streams: dict[str, StreamRecord]


def home_instance(stream_id: str, instances: list[str]) -> str:
    """Returns the instance with the highest hash for a stream.

    >>> home_instance("s", ["a", "b"]) == home_instance("s", ["b", "a"])
    True
    """
    return max(
        instances,
        key=lambda name: hashlib.blake2b(f"{name}|{stream_id}".encode()).digest(),
    )


class StreamRegistry:
    """Records keyed streams here and on their home instances, and locates them."""

    def __init__(self, *, instance: str, membership):
        self.instance = instance
        self.membership = membership
        self.lock = threading.Lock()
        self.records: collections.OrderedDict[str, StreamRecord] = (
            collections.OrderedDict()
        )
        membership.register_handler(StreamAnnounce, self._on_announce)
        membership.register_handler(StreamLocate, self._on_locate)

    def announce(self, stream_id: str, endpoint: str, attempt: int) -> None:
        """Records here and on its home instance that a stream runs on an endpoint."""
        self._publish(
            StreamAnnounce(stream_id=stream_id, endpoint=endpoint, attempt=attempt)
        )

    def end(self, stream_id: str, endpoint: str, attempt: int) -> None:
        """Records that a stream ended; the engine may still hold its answer."""
        self._publish(
            StreamAnnounce(
                stream_id=stream_id, endpoint=endpoint, attempt=attempt, ended=True
            )
        )

    def discard(self, stream_id: str) -> None:
        """Removes a stream that can no longer be resumed."""
        self._publish(StreamAnnounce(stream_id=stream_id, endpoint="", ended=True))

    def locate(self, stream_id: str) -> StreamRecord | None:
        """Returns the record of a stream from this instance or its home instance."""
        record = self._lookup(stream_id)
        if record is not None:
            return record
        home = self._home(stream_id)
        if home == self.instance:
            return None
        reply = self.membership.request(
            home, StreamLocate(stream_id=stream_id), LOCATE_TIMEOUT_S
        )
        if not isinstance(reply, Success):
            return None
        location = reply.unwrap()
        if not location.endpoint:
            return None
        return StreamRecord(endpoint=location.endpoint, attempt=location.attempt)

    def hand_over(self) -> None:
        """Sends all records to the home instances that take over from this instance."""
        with self.lock:
            records = dict(self.records)
        peers = [peer.instance for peer in self.membership.live_peers()]
        for stream_id, record in records.items() if peers else ():
            message = StreamAnnounce(
                stream_id=stream_id,
                endpoint=record.endpoint,
                attempt=record.attempt,
                ended=record.ended_at is not None,
            )
            self.membership.send(home_instance(stream_id, peers), message)

    def dump(self) -> StreamRegistryDump:
        """Returns the state dump."""
        with self.lock:
            records = dict(self.records)
        ended = sum(record.ended_at is not None for record in records.values())
        return StreamRegistryDump(
            running=len(records) - ended, ended=ended, streams=records
        )

    def _home(self, stream_id: str) -> str:
        peers = [peer.instance for peer in self.membership.live_peers()]
        return home_instance(stream_id, [self.instance, *peers])

    def _publish(self, message: StreamAnnounce) -> None:
        self._store(message)
        home = self._home(message.stream_id)
        if home != self.instance:
            self.membership.send(home, message)

    def _store(self, message: StreamAnnounce) -> None:
        now = time.monotonic()
        with self.lock:
            if not message.endpoint:
                self.records.pop(message.stream_id, None)
            else:
                self.records[message.stream_id] = StreamRecord(
                    endpoint=message.endpoint,
                    attempt=message.attempt,
                    ended_at=now if message.ended else None,
                )
                self.records.move_to_end(message.stream_id)
            while len(self.records) > MAX_RECORDS:
                self.records.popitem(last=False)
            self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        # Checks only the two oldest records, so that the cost of a call is constant.
        for stream_id in list(itertools.islice(self.records, 2)):
            if not self._drop_if_expired(stream_id, now):
                self.records.move_to_end(stream_id)

    def _drop_if_expired(self, stream_id: str, now: float) -> bool:
        ended_at = self.records[stream_id].ended_at
        if ended_at is None or now - ended_at < ENDED_RETENTION_S:
            return False
        del self.records[stream_id]
        return True

    def _lookup(self, stream_id: str) -> StreamRecord | None:
        with self.lock:
            if stream_id not in self.records:
                return None
            if self._drop_if_expired(stream_id, time.monotonic()):
                return None
            return self.records[stream_id]

    def _on_announce(self, message: StreamAnnounce) -> None:
        self._store(message)

    def _on_locate(self, message: StreamLocate) -> StreamLocation:
        record = self._lookup(message.stream_id)
        return StreamLocation(
            stream_id=message.stream_id,
            endpoint=record.endpoint if record else "",
            attempt=record.attempt if record else 0,
        )
